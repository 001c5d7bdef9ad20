"""Tasks of the sheet and their attempts.

At most one attempt of a task may run at any time. Its capacity stays reserved
until the attempt is proven to run no longer.
"""

from collections.abc import Collection
import enum

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import messages

CANCELLED = "cancelled"
REPLACED = "put again after its cancellation"


class Phase(enum.Enum):
    """Phase of a task.

    `HELD` lasts from the committed start to the proven end of an attempt.
    `IN_DOUBT` means that the last attempt may have had effects and that the
    task must not be repeated. The phase is left if a late report or
    announcement shows how the attempt ended, or if an operator cancels the
    job.
    """

    PENDING = "pending"
    HELD = "held"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IN_DOUBT = "in-doubt"


ENDED_PHASES = (Phase.DONE, Phase.FAILED, Phase.CANCELLED)


class TaskRecord(
    messages.Message, frozen=True, kw_only=True, tag="task", gc=False
):
    """State of one task.

    Attributes:
      task: `job/NAME/INDEX` or `service/NAME/INDEX`.
      phase: Phase of the task.
      attempt: Number of the current or last attempt; 0 before the first.
      worker: Worker of the current or last attempt.
      incarnation: Incarnation of that worker.
      reserved: Resources reserved for the current attempt.
      checkpoint: Reference from which the next attempt resumes.
      evicting: Reason of an eviction in progress, or an empty string.
      evictions: Evictions so far.
      failures: Failed attempts that count against the task.
      failed_workers: Distinct workers on which attempts failed.
      not_before_ms: Wall time when the backoff after a failure ends.
      changed_ms: Wall time of the last start or end.
      reason: Human-readable reason of a failure or loss.
    """

    task: str
    phase: Phase = Phase.PENDING
    attempt: int = 0
    worker: str = ""
    incarnation: str = ""
    reserved: messages.Resources = messages.Resources()
    checkpoint: str = ""
    evicting: str = ""
    evictions: int = 0
    failures: int = 0
    failed_workers: tuple[str, ...] = ()
    not_before_ms: int = 0
    changed_ms: int = 0
    reason: str = ""


class RunTimeRecord(
    messages.Message, frozen=True, kw_only=True, tag="run-time"
):
    """Learned run times of a class of jobs, as ratios to the declared time."""

    job_class: str
    ratios: tuple[float, ...] = ()


def is_current(record: TaskRecord, task: str, attempt: int) -> bool:
    """Returns whether an attempt is the one that the task's record holds."""
    return (
        record.task == task
        and record.phase is Phase.HELD
        and record.attempt == attempt
    )


def may_end(record: TaskRecord, end: commands.AttemptEnd) -> bool:
    """Returns whether the end of an attempt still applies to its task.

    The completion of the last attempt applies until another attempt starts,
    so that a report resent after an expired lease avoids a second run.
    """
    if record.attempt != end.attempt:
        return False
    match end.outcome:
        case commands.AttemptCompleted() if not is_service(record.task):
            return record.phase not in ENDED_PHASES
        case commands.AttemptGone(in_doubt=False):
            return record.phase in (Phase.HELD, Phase.IN_DOUBT)
        case _:
            return record.phase is Phase.HELD


def is_service(task: str) -> bool:
    """Returns whether a task or owner identifier belongs to a service."""
    return task.startswith("service/")


def owner_of(task: str) -> str:
    """Returns `job/NAME` or `service/NAME` of a task identifier."""
    return task.rpartition("/")[0]


def name_of(task: str) -> str:
    """Returns the name of the job or service of a task identifier."""
    return owner_of(task).partition("/")[2]


def is_repeatable(
    current: configuration_lib.ConfigurationRecord, task: str
) -> bool:
    """Returns whether a lost attempt may be run again from the beginning."""
    if is_service(task):
        return True
    job = current.jobs.get(name_of(task))
    return job is None or job.repeatable


def may_resume(
    current: configuration_lib.ConfigurationRecord, record: TaskRecord
) -> bool:
    """Returns whether a failed attempt may be followed by another."""
    return bool(record.checkpoint) or is_repeatable(current, record.task)


def may_repeat(
    current: configuration_lib.ConfigurationRecord,
    record: TaskRecord,
    outcome: commands.AttemptGone,
) -> bool:
    """Returns whether a lost attempt may be followed by another."""
    if is_repeatable(current, record.task):
        return True
    return bool(record.checkpoint) and not outcome.in_doubt


def requested_tasks(
    current: configuration_lib.ConfigurationRecord,
    owners: Collection[str] | None = None,
) -> dict[str, int]:
    """Returns the number of tasks that each owner should have."""
    if owners is not None:
        return {owner: _requested_count(current, owner) for owner in owners}
    requested = {
        f"service/{service.name}": service.instances
        for service in current.services.values()
    }
    for job in current.jobs.values():
        count = 0 if job.name in current.cancelled else job.tasks
        requested[f"job/{job.name}"] = count
    return requested


def _requested_count(
    current: configuration_lib.ConfigurationRecord, owner: str
) -> int:
    kind, _, name = owner.partition("/")
    if kind == "service":
        service = current.services.get(name)
        return service.instances if service else 0
    job = current.jobs.get(name)
    if job is None or name in current.cancelled:
        return 0
    return job.tasks
