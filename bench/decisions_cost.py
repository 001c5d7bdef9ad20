"""Measures the cost of scheduling decisions at the target size, on one core.

With 5,800 workers and 200,000 tasks, prints the processor time per placement,
announcement and idle round, and the memory per task record and worker.
"""

import dataclasses
import gc
import os
import pathlib
import time
from typing import Any

import curio

import decisions_stage as stage_lib
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import messages
from galenahook import settings
from galenahook.scheduling import scheduler as scheduler_lib
from galenahook.upstreams import workers as workers_lib

WORKERS = 5_800
ZONES = 12
WORKERS_PER_RACK = 40
SERVICES = 300
INSTANCES_PER_SERVICE = 100
JOBS = 1_700
TASKS_PER_JOB = 100
TASKS_TO_PLACE = 4_000
TEAMS = 380
ANNOUNCEMENTS = 2_000


class UpstreamStub:
    """Accepts every start order and reports no tail latencies."""

    async def post(self, *_: Any, **__: Any) -> Any:
        """Returns a reply that accepts a start order."""
        return stage_lib.web.json_response(messages.StartReply(accepted=True))

    def tail_latencies(self) -> list[Any]:
        """Returns an empty list."""
        return []


@dataclasses.dataclass(slots=True)
class Fleet:
    """A scheduler and its workers.

    Attributes:
      node: A single node that is always the leader.
      registry: Registry of all workers.
      scheduler: The scheduler measured.
    """

    node: stage_lib.SingleNode
    registry: workers_lib.WorkerRegistry
    scheduler: scheduler_lib.Scheduler


def resident_mb() -> float:
    """Returns the resident memory of this process in MB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def build() -> Fleet:
    """Builds a fleet in which no worker has announced itself yet."""
    node = stage_lib.SingleNode()
    clock = clock_lib.Clock()
    registry = workers_lib.WorkerRegistry(clock, settings.Timing())
    stub = UpstreamStub()
    scheduler = scheduler_lib.Scheduler(
        node,  # type: ignore[arg-type]
        registry,
        stub,
        stub,
        clock,
        settings.Timing(),
    )
    return Fleet(node, registry, scheduler)


def announcement(
    fleet: Fleet, index: int, sequence: int
) -> messages.WorkerAnnouncement:
    """Builds a worker's announcement with every attempt that it holds."""
    name = f"w{index:04}"
    records = fleet.node.state.tasks.records
    held = fleet.node.state.tasks.held.get(name, {})
    return messages.WorkerAnnouncement(
        name=name,
        incarnation="i1",
        sequence=sequence,
        sent_at_ms=fleet.registry.clock.monotonic_ms(),
        address=f"10.0.{index // 256}.{index % 256}:80",
        availability_zone=f"zone-{index % ZONES}",
        rack=f"rack-{index // WORKERS_PER_RACK}",
        vm=name,
        capacity=messages.Resources(64_000, 250_000),
        attempts=tuple(
            messages.AttemptStatus(
                task=task,
                attempt=records[task].attempt,
                usage=messages.Resources(900, 3_000),
                sample_age_ms=1_000,
            )
            for task in held
        ),
    )


def announce_all(
    fleet: Fleet, sequence: int, through_json: bool = False
) -> None:
    """Announces every worker once.

    Args:
      fleet: The fleet.
      sequence: Sequence number of the announcements.
      through_json: Whether they are first encoded as JSON and decoded.
    """
    for index in range(WORKERS):
        one = announcement(fleet, index, sequence)
        if through_json:
            data = messages.encode(one)
            one = messages.decode(data, messages.WorkerAnnouncement)
        fleet.registry.announce(one, fleet.node.state.tasks)


def apply_sheet(fleet: Fleet) -> None:
    """Applies a sheet with the services and jobs of the target size."""
    services = tuple(
        commands.ServiceRow(
            name=f"service-{index}",
            team=f"team-{index % TEAMS}",
            priority=80,
            instances=INSTANCES_PER_SERVICE,
            resources=messages.Resources(1_000, 4_000),
            route=f"/{index}",
            tail_target_ms=50,
        )
        for index in range(SERVICES)
    )
    jobs = tuple(
        commands.JobRow(
            name=f"job-{index}",
            team=f"team-{index % TEAMS}",
            priority=50,
            job_class=f"class-{index % 20}",
            tasks=TASKS_PER_JOB,
            resources=messages.Resources(1_000, 4_000),
            run_ms=600_000,
            deadline_ms=fleet.registry.clock.wall_ms() + 36_000_000 + index,
        )
        for index in range(JOBS)
    )
    quotas = tuple(
        commands.TeamQuota(
            team=f"team-{index}",
            resources=messages.Resources(10**9, 10**9),
        )
        for index in range(TEAMS)
    )
    sheet = commands.Sheet(services=services, jobs=jobs, quotas=quotas)
    fleet.node.state.apply(
        commands.ChangeConfiguration(
            operator="ana",
            number=1,
            base_revision=0,
            at_ms=0,
            change=commands.ApplySheet(sheet=sheet),
        )
    )


def start_most_tasks(fleet: Fleet) -> None:
    """Starts all but the last tasks, distributed evenly over the workers."""
    names = list(fleet.node.state.tasks.records)
    starts = tuple(
        commands.AttemptStart(
            task=task,
            attempt=1,
            worker=f"w{index % WORKERS:04}",
            incarnation="i1",
            reserved=messages.Resources(1_000, 4_000),
        )
        for index, task in enumerate(names[:-TASKS_TO_PLACE])
    )
    fleet.node.state.apply(commands.StartAttempts(starts=starts, at_ms=0))


async def place_remaining(fleet: Fleet) -> tuple[float, float, int]:
    """Places the waiting tasks.

    Returns:
      Processor time in s spent on choosing and on whole rounds, and the
      number of placements.
    """
    scheduler = fleet.scheduler
    choosing_s = 0.0
    placed = 0
    choose = scheduler.decisions.choose

    def timed() -> Any:
        nonlocal choosing_s, placed
        started = time.process_time()
        choices = choose()
        choosing_s += time.process_time() - started
        placed += len(choices.starts)
        return choices

    scheduler.decisions.choose = timed  # type: ignore[method-assign]
    rounds_s = 0.0
    sequence = 4
    while fleet.node.state.tasks.waiting:
        announce_all(fleet, sequence)
        sequence += 1
        started = time.process_time()
        await scheduler.round()
        rounds_s += time.process_time() - started
    return choosing_s, rounds_s, placed


async def measure() -> None:
    """Runs all measurements and prints them."""
    fleet = build()
    await fleet.scheduler.round()
    base_mb = resident_mb()
    for sequence in (1, 2):
        announce_all(fleet, sequence)
    print(
        f"memory per worker {(resident_mb() - base_mb) * 1024 / WORKERS:.2f} KB"
    )
    base_mb = resident_mb()
    apply_sheet(fleet)
    start_most_tasks(fleet)
    tasks = SERVICES * INSTANCES_PER_SERVICE + JOBS * TASKS_PER_JOB
    used_kb = (resident_mb() - base_mb) * 1024
    print(f"memory per task   {used_kb / tasks:.2f} KB, of {tasks} tasks")
    base_mb = resident_mb()
    announce_all(fleet, 3, through_json=True)
    used_kb = (resident_mb() - base_mb) * 1024
    print(f"memory per announced attempt {used_kb / tasks:.2f} KB")
    for index in range(SERVICES):
        fleet.scheduler.decisions.model.observe(
            f"service-{index}", 20.0, 100, {"class-1": 0.2}
        )
    longest_s = 0.0
    while fleet.registry.changed:
        started = time.process_time()
        await fleet.scheduler.round()
        longest_s = max(longest_s, time.process_time() - started)
    print(f"longest round after an election {longest_s * 1000:.1f} ms")
    choosing_s, rounds_s, placed = await place_remaining(fleet)
    print(
        f"placement         {choosing_s / placed * 1000:.4f} ms,"
        f" {placed} placed"
    )
    print(f"placement with commit and orders {rounds_s / placed * 1000:.4f} ms")
    gc.collect()
    announcements = [
        announcement(fleet, index, 1_000) for index in range(ANNOUNCEMENTS)
    ]
    started = time.process_time()
    for one in announcements:
        fleet.registry.announce(one, fleet.node.state.tasks)
    spent_s = time.process_time() - started
    print(
        f"announcement      {spent_s / ANNOUNCEMENTS * 1000:.4f} ms,"
        " 34 attempts"
    )
    announce_all(fleet, 1_001)
    encoded = messages.encode(announcements[0])
    started = time.process_time()
    for _ in range(1_000):
        messages.decode(encoded, messages.WorkerAnnouncement)
    spent_s = time.process_time() - started
    print(f"announcement decoding {spent_s:.4f} ms, {len(encoded)} bytes")
    while fleet.registry.changed:
        await fleet.scheduler.round()
    started = time.process_time()
    for _ in range(20):
        await fleet.scheduler.round()
    spent_s = time.process_time() - started
    print(f"idle round        {spent_s / 20 * 1000:.3f} ms")
    print(f"resident memory at the end {resident_mb():.0f} MB")


if __name__ == "__main__":
    curio.run(measure)
