"""Builders of messages, sheets, settings and commands for tests.

Each returns a valid object; keyword arguments override its fields.
"""

from typing import Any

import msgspec

from galenahook import commands
from galenahook import messages
from galenahook import settings as settings_lib

CAPACITY = messages.Resources(64_000, 250_000, 0)
SIZE = messages.Resources(2_000, 4_000, 0)
WALL_MS = 1_800_000_000_000


def resources(
    cores_milli: int = SIZE.cores_milli,
    memory_mb: int = SIZE.memory_mb,
    accelerators: int = 0,
) -> messages.Resources:
    """Builds an amount of resources."""
    return messages.Resources(cores_milli, memory_mb, accelerators)


def service(name: str = "prices", **changes: Any) -> commands.ServiceRow:
    """Builds a service with one instance and the route `/NAME`."""
    row = commands.ServiceRow(
        name=name,
        team="order-desk",
        priority=80,
        instances=1,
        resources=SIZE,
        route=f"/{name}",
        tail_target_ms=100,
        command="run_ms=0",
    )
    return msgspec.structs.replace(row, **changes)


def job(name: str = "plan", **changes: Any) -> commands.JobRow:
    """Builds a repeatable job with one short task and no deadline."""
    row = commands.JobRow(
        name=name,
        team="cutting",
        priority=50,
        job_class="coating",
        tasks=1,
        resources=SIZE,
        run_ms=300,
        command="run_ms=300 class=coating",
    )
    return msgspec.structs.replace(row, **changes)


def sheet(
    services: tuple[commands.ServiceRow, ...] = (),
    jobs: tuple[commands.JobRow, ...] = (),
    **changes: Any,
) -> commands.Sheet:
    """Builds a sheet."""
    return commands.Sheet(services=services, jobs=jobs, **changes)


def apply_sheet(
    services: tuple[commands.ServiceRow, ...] = (),
    jobs: tuple[commands.JobRow, ...] = (),
    **changes: Any,
) -> commands.ApplySheet:
    """Builds a change that applies a sheet."""
    return commands.ApplySheet(sheet=sheet(services, jobs, **changes))


def change(
    change: commands.Change | None = None,
    number: int = 1,
    base_revision: int = 0,
    operator: str = "ana",
    at_ms: int = WALL_MS,
) -> commands.ChangeConfiguration:
    """Builds the command for an operator's change."""
    return commands.ChangeConfiguration(
        operator=operator,
        number=number,
        base_revision=base_revision,
        at_ms=at_ms,
        change=change or apply_sheet(),
    )


def attempt_start(
    task: str = "job/plan/0", attempt: int = 1, **changes: Any
) -> commands.AttemptStart:
    """Builds the start of one attempt, as the log records it."""
    start = commands.AttemptStart(
        task=task,
        attempt=attempt,
        worker="worker-1",
        incarnation="i1",
        reserved=SIZE,
    )
    return msgspec.structs.replace(start, **changes)


def start_attempts(
    *starts: commands.AttemptStart, at_ms: int = WALL_MS
) -> commands.StartAttempts:
    """Builds the command that starts attempts."""
    return commands.StartAttempts(starts=starts, at_ms=at_ms)


def end_attempts(
    *ends: commands.AttemptEnd, at_ms: int = WALL_MS
) -> commands.EndAttempts:
    """Builds the command that ends attempts."""
    return commands.EndAttempts(ends=ends, at_ms=at_ms)


def worker_announcement(
    name: str = "worker-1", sequence: int = 1, **changes: Any
) -> messages.WorkerAnnouncement:
    """Builds a worker's announcement."""
    announcement = messages.WorkerAnnouncement(
        name=name,
        incarnation="i1",
        sequence=sequence,
        sent_at_ms=1_000,
        address="127.0.0.1:9",
        availability_zone="a",
        rack="a-0",
        vm=name,
        capacity=CAPACITY,
    )
    return msgspec.structs.replace(announcement, **changes)


def executor_announcement(
    name: str = "executor-1", sequence: int = 1, **changes: Any
) -> messages.ExecutorAnnouncement:
    """Builds an executor's announcement."""
    announcement = messages.ExecutorAnnouncement(
        name=name,
        incarnation="i1",
        sequence=sequence,
        sent_at_ms=1_000,
        address="127.0.0.1:9",
        availability_zone="a",
        rack="a-0",
        vm="vm-1",
        service="prices",
    )
    return msgspec.structs.replace(announcement, **changes)


def entry_update(
    entry: str = "entry-1", sequence: int = 1, **changes: Any
) -> messages.EntryUpdate:
    """Builds an entry's update."""
    update = messages.EntryUpdate(
        entry=entry,
        incarnation="e1",
        sequence=sequence,
        availability_zone="a",
        revision=0,
    )
    return msgspec.structs.replace(update, **changes)


def start_order(**changes: Any) -> messages.StartOrder:
    """Builds a start order."""
    order = messages.StartOrder(
        task="job/plan/0",
        attempt=1,
        incarnation="i1",
        basis_sequence=1,
        ttl_ms=2_000,
        resources=SIZE,
        command="run_ms=300",
    )
    return msgspec.structs.replace(order, **changes)


def report(**changes: Any) -> messages.AttemptReport:
    """Builds a worker's report of a completed attempt."""
    message = messages.AttemptReport(
        worker="worker-1",
        incarnation="i1",
        task="job/plan/0",
        attempt=1,
        outcome=messages.Completed(run_ms=300),
    )
    return msgspec.structs.replace(message, **changes)


def replica_settings(
    name: str = "replica-1", data_folder: str = "data", **changes: Any
) -> settings_lib.ReplicaSettings:
    """Builds settings of the only replica of a site."""
    settings = settings_lib.ReplicaSettings(
        name=name,
        site="test",
        availability_zone="a",
        peers=settings_lib.Listener(listen="127.0.0.1:0"),
        platform=settings_lib.Listener(listen="127.0.0.1:0"),
        replicas={name: "127.0.0.1:1"},
        data_folder=data_folder,
        site_key_file="site.key",
    )
    return msgspec.structs.replace(settings, **changes)
