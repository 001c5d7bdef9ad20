"""Explains to operators where tasks run and why they wait."""

import collections
from collections.abc import Mapping

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import estimates
from galenahook.scheduling import placement
from galenahook.scheduling import tasks as tasks_lib

MAX_TASKS_SHOWN = 50


class TaskExplanation(messages.Message, frozen=True, kw_only=True):
    """State of one task.

    Attributes:
      task: Task identifier.
      phase: Phase of the task.
      attempt: Number of the current or last attempt.
      worker: Worker of that attempt.
      evictions: Evictions so far.
      failures: Failures that count against the task.
      reason: Human-readable reason of the phase.
    """

    task: str
    phase: str
    attempt: int
    worker: str
    evictions: int
    failures: int
    reason: str


class Explanation(messages.Message, frozen=True, kw_only=True):
    """State of a job, a service or a task, and its reason.

    Attributes:
      subject: Name that was asked for.
      known: Whether there are task records for the subject.
      summary: One sentence for the operator.
      phases: Number of tasks by phase.
      run_ms: Expected run time of a task; 0 for services.
      latest_start_ms: Wall time by which tasks should start; 0 without a
        deadline.
      tasks: Some of its tasks, those that need attention first.
    """

    subject: str
    known: bool
    summary: str
    phases: dict[str, int] = {}
    run_ms: int = 0
    latest_start_ms: int = 0
    tasks: tuple[TaskExplanation, ...] = ()

    def __str__(self) -> str:
        return self.summary


class WorkerStatus(messages.Message, frozen=True, kw_only=True):
    """State of one worker.

    Attributes:
      name: Name of the worker.
      availability_zone: Availability zone of its VM.
      state: `usable`, `silent`, `closed`, `quarantined` or `lease over`.
      capacity: Total capacity.
      free: Unreserved capacity.
      tasks: Number of tasks held there.
      heard_ms_ago: Time since its last announcement.
    """

    name: str
    availability_zone: str
    state: str
    capacity: messages.Resources
    free: messages.Resources
    tasks: int
    heard_ms_ago: int


class SchedulingStatus(messages.Message, frozen=True, kw_only=True):
    """State of workers and tasks, as shown to operators.

    Attributes:
      workers: Every known worker.
      phases: Number of tasks by phase.
      evicting: Number of evictions in progress.
      blocked: Why jobs and services wait, by `job/NAME` or `service/NAME`.
      in_doubt: Tasks that an operator must decide on.
    """

    workers: tuple[WorkerStatus, ...]
    phases: dict[str, int]
    evicting: int
    blocked: dict[str, str]
    in_doubt: tuple[str, ...]


def explain(
    context: context_lib.Context, blocked: Mapping[str, str], subject: str
) -> Explanation:
    """Returns the explanation of a job, a service or a task."""
    table = context.tasks
    owner = subject if subject in table.sizes else ""
    if subject in table.records:
        owner = tasks_lib.owner_of(subject)
        records = [table.records[subject]]
    elif owner:
        names = (f"{owner}/{index}" for index in range(table.sizes[owner]))
        records = [table.records[name] for name in names]
    else:
        return Explanation(
            subject=subject, known=False, summary="not in the sheet"
        )
    phases = collections.Counter(record.phase.value for record in records)
    ordered = sorted(records, key=_attention_key)[:MAX_TASKS_SHOWN]
    job = context.configuration.jobs.get(tasks_lib.name_of(f"{owner}/0"))
    if tasks_lib.is_service(owner):
        job = None
    run_ms = estimates.run_ms(job, table.run_times) if job else 0
    deadline_ms = job.deadline_ms if job else 0
    return Explanation(
        subject=subject,
        known=True,
        summary=_summary(context, blocked, owner, phases, job),
        phases=dict(phases),
        run_ms=run_ms,
        latest_start_ms=deadline_ms - run_ms if deadline_ms else 0,
        tasks=tuple(_explain_task(record) for record in ordered),
    )


def _attention_key(record: tasks_lib.TaskRecord) -> tuple[int, str]:
    order = [
        tasks_lib.Phase.IN_DOUBT,
        tasks_lib.Phase.FAILED,
        tasks_lib.Phase.PENDING,
        tasks_lib.Phase.HELD,
        tasks_lib.Phase.CANCELLED,
        tasks_lib.Phase.DONE,
    ]
    return order.index(record.phase), record.task


def _summary(
    context: context_lib.Context,
    blocked: Mapping[str, str],
    owner: str,
    phases: Mapping[str, int],
    job: commands.JobRow | None,
) -> str:
    if phases.get(tasks_lib.Phase.IN_DOUBT.value):
        return (
            "in doubt: a lost attempt may have had effects and must not be"
            " repeated; cancel the job, or put it under another name"
        )
    if phases.get(tasks_lib.Phase.PENDING.value):
        now_ms = context.clock.wall_ms()
        if job is not None and now_ms < job.earliest_ms:
            return "waiting for its earliest start time"
        return blocked.get(owner, "waiting for the next scheduling round")
    if phases.get(tasks_lib.Phase.HELD.value):
        return "assigned to workers"
    return "ended"


def _explain_task(record: tasks_lib.TaskRecord) -> TaskExplanation:
    reason = record.reason
    if record.evicting:
        reason = f"being evicted: {record.evicting}"
    return TaskExplanation(
        task=record.task,
        phase=record.phase.value,
        attempt=record.attempt,
        worker=record.worker,
        evictions=record.evictions,
        failures=record.failures,
        reason=reason,
    )


def status(
    context: context_lib.Context, blocked: Mapping[str, str]
) -> SchedulingStatus:
    """Returns the state of workers and tasks."""
    phases = collections.Counter(
        record.phase.value for record in context.tasks.records.values()
    )
    names = sorted(context.workers.workers)
    return SchedulingStatus(
        workers=tuple(_status_of(context, name) for name in names),
        phases=dict(phases),
        evicting=len(context.tasks.evicting),
        blocked=dict(blocked),
        in_doubt=tuple(context.tasks.in_doubt),
    )


def _status_of(context: context_lib.Context, name: str) -> WorkerStatus:
    worker = context.workers.workers[name]
    announcement = worker.announcement
    now_ms = context.clock.monotonic_ms()
    return WorkerStatus(
        name=name,
        availability_zone=announcement.availability_zone,
        state=_state_of(context, name),
        capacity=announcement.capacity,
        free=context.workers.free_capacity(name, context.tasks),
        tasks=len(context.tasks.held.get(name, ())),
        heard_ms_ago=now_ms - worker.announced_at_ms,
    )


def _state_of(context: context_lib.Context, name: str) -> str:
    if context.workers.is_lease_expired(name):
        return "lease over"
    if context.workers.is_unresponsive(context.workers.workers[name]):
        return "silent"
    if context.is_draining(name):
        return "closed"
    if context.quarantine.is_quarantined(name):
        return "quarantined"
    return "usable"


def why_unplaceable(
    context: context_lib.Context, requested: messages.Resources
) -> str:
    """Returns why no worker fits a task that requests some resources."""
    capacities = list(context.workers.capacities())
    if any(placement.fits(requested, capacity) for capacity in capacities):
        return "no worker has enough free capacity now"
    if not capacities:
        return "no worker has announced itself yet"
    largest = capacities[0]
    for capacity in capacities:
        largest = placement.larger(largest, capacity)
    return (
        f"unschedulable: a task requests {requested.cores_milli} millicores,"
        f" {requested.memory_mb} MB and {requested.accelerators} accelerators,"
        " which no VM offers; VMs offer at most"
        f" {largest.cores_milli} millicores, {largest.memory_mb} MB"
        f" and {largest.accelerators} accelerators"
    )
