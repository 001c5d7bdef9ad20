"""Tasks: what the sheet asks to run, and the attempt each one is at.

The table is part of the replicated state. A task has at most one attempt that
may run anywhere; while that attempt is not proven gone, it stays reserved.
"""

from collections.abc import Iterator
import enum

import msgspec

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import messages


class Phase(enum.Enum):
    """Phase of a task.

    `HELD` covers everything from the committed start to the proven end.
    """

    PENDING = "pending"
    HELD = "held"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskRecord(messages.Message, frozen=True, kw_only=True, tag="task"):
    """One task.

    Attributes:
      task: `job/NAME/INDEX` or `service/NAME/INDEX`.
      phase: Phase of the task.
      attempt: Number of the current or last attempt, 0 before the first.
      worker: Worker of the current attempt.
      incarnation: Incarnation of that worker.
      reserved: What the current attempt reserves.
      checkpoint: Reference from which the next attempt resumes.
      evicting: Reason of an eviction under way, or an empty string.
      evictions: Evictions so far.
      failures: Failed attempts so far.
      failed_workers: Workers on which attempts failed.
      not_before_ms: Wall time of the earliest next start, after a failure.
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


class RunTimeRecord(
    messages.Message, frozen=True, kw_only=True, tag="run-time"
):
    """Run times learned for a class of jobs, as ratios to the declared time."""

    job_class: str
    ratios: tuple[float, ...] = ()


class TaskTable:
    """Every task, replaced record by record.

    Attributes:
      records: Tasks by identifier.
      held: Identifiers of held tasks by worker.
      run_times: Learned run times by class of jobs.
    """

    __slots__ = ("held", "records", "run_times")

    def __init__(self) -> None:
        self.records: dict[str, TaskRecord] = {}
        self.held: dict[str, set[str]] = {}
        self.run_times: dict[str, RunTimeRecord] = {}

    def follow(
        self, current: configuration_lib.ConfigurationRecord, at_ms: int
    ) -> None:
        """Adds, cancels and removes tasks to match a new configuration."""
        del at_ms
        wanted = set(_task_names(current))
        for name in wanted - self.records.keys():
            self.records[name] = TaskRecord(task=name)
        for name in self.records.keys() - wanted:
            record = self.records[name]
            if record.phase is Phase.PENDING:
                self._put(record, phase=Phase.CANCELLED)
            elif record.phase is Phase.HELD and not record.evicting:
                self._put(record, evicting="cancelled")

    def start(self, command: commands.StartAttempts) -> commands.Result:
        """Fences earlier attempts and reserves the worker."""
        applied = tuple(self._start_one(start) for start in command.starts)
        return commands.AttemptsApplied(applied=applied)

    def _start_one(self, start: commands.AttemptStart) -> bool:
        record = self.records.get(start.task)
        if record is None or record.phase is not Phase.PENDING:
            return False
        if start.attempt != record.attempt + 1:
            return False
        self._put(
            record,
            phase=Phase.HELD,
            attempt=start.attempt,
            worker=start.worker,
            incarnation=start.incarnation,
            reserved=start.reserved,
        )
        self.held.setdefault(start.worker, set()).add(start.task)
        return True

    def end(self, command: commands.EndAttempts) -> commands.Result:
        """Ends current attempts; others are void."""
        applied = tuple(self._end_one(end) for end in command.ends)
        return commands.AttemptsApplied(applied=applied)

    def _end_one(self, end: commands.AttemptEnd) -> bool:
        record = self.records.get(end.task)
        if record is None or not is_current(record, end.task, end.attempt):
            return False
        self.held[record.worker].discard(record.task)
        match end.outcome:
            case commands.AttemptCompleted():
                self._put(record, phase=Phase.DONE, evicting="")
            case commands.AttemptFailed():
                self._put(
                    record,
                    phase=Phase.PENDING,
                    failures=record.failures + 1,
                    failed_workers=(*record.failed_workers, record.worker),
                    evicting="",
                )
            case commands.AttemptGone():
                cancelled = record.evicting == "cancelled"
                self._put(
                    record,
                    phase=Phase.CANCELLED if cancelled else Phase.PENDING,
                    evictions=record.evictions + bool(record.evicting),
                    evicting="",
                )
        return True

    def record_checkpoints(
        self, command: commands.RecordCheckpoints
    ) -> commands.Result:
        """Records where the next attempts resume."""
        applied = []
        for taken in command.checkpoints:
            record = self.records.get(taken.task)
            current = record is not None and is_current(
                record, taken.task, taken.attempt
            )
            if current and record is not None:
                self._put(record, checkpoint=taken.reference)
            applied.append(current)
        return commands.AttemptsApplied(applied=tuple(applied))

    def evict(self, command: commands.EvictAttempts) -> commands.Result:
        """Marks current attempts as being evicted."""
        applied = []
        for ref in command.attempts:
            record = self.records.get(ref.task)
            current = record is not None and is_current(
                record, ref.task, ref.attempt
            )
            if current and record is not None and not record.evicting:
                self._put(record, evicting=command.reason)
            applied.append(current)
        return commands.AttemptsApplied(applied=tuple(applied))

    def _put(self, record: TaskRecord, **changes: object) -> None:
        self.records[record.task] = msgspec.structs.replace(record, **changes)

    def snapshot_records(self) -> Iterator[TaskRecord | RunTimeRecord]:
        """Returns every record of a consistent view taken now."""
        records: list[TaskRecord | RunTimeRecord]
        records = [*self.records.values(), *self.run_times.values()]
        return iter(records)

    def restore_record(self, record: TaskRecord | RunTimeRecord) -> None:
        """Adds one record of a snapshot."""
        match record:
            case TaskRecord():
                self.records[record.task] = record
                if record.phase is Phase.HELD:
                    self.held.setdefault(record.worker, set()).add(record.task)
            case RunTimeRecord():
                self.run_times[record.job_class] = record


def is_current(record: TaskRecord, task: str, attempt: int) -> bool:
    """Returns whether the attempt is the task's held one."""
    return (
        record.task == task
        and record.phase is Phase.HELD
        and record.attempt == attempt
    )


def _task_names(
    current: configuration_lib.ConfigurationRecord,
) -> Iterator[str]:
    for service in current.services.values():
        for index in range(service.instances):
            yield f"service/{service.name}/{index}"
    for job in current.jobs.values():
        if job.name in current.cancelled:
            continue
        for index in range(job.tasks):
            yield f"job/{job.name}/{index}"
