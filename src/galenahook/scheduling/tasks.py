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
from galenahook.scheduling import retries

CANCELLED = "cancelled"
REPLACED = "put again after its cancellation"
ENDED_RETENTION_MS = 7 * 24 * 3_600_000
MAX_RUN_TIMES = 32


class Phase(enum.Enum):
    """Phase of a task.

    `HELD` covers everything from the committed start to the proven end.
    `IN_DOUBT` is a task that must not be repeated and whose last attempt may
    have had effects; only its own late report or an operator moves it on.
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
    """One task.

    Attributes:
      task: `job/NAME/INDEX` or `service/NAME/INDEX`.
      phase: Phase of the task.
      attempt: Number of the current or last attempt, 0 before the first.
      worker: Worker of the current or last attempt.
      incarnation: Incarnation of that worker.
      reserved: What the current attempt reserves.
      checkpoint: Reference from which the next attempt resumes.
      evicting: Reason of an eviction under way, or an empty string.
      evictions: Evictions so far.
      failures: Failed attempts that count against the task.
      failed_workers: Distinct workers on which attempts failed.
      not_before_ms: Wall time of the earliest next start, after a failure.
      changed_ms: Wall time of the last start or end.
      reason: Why it failed or is in doubt, for a person.
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
    """Run times learned for a class of jobs, as ratios to the declared time."""

    job_class: str
    ratios: tuple[float, ...] = ()


class Reserved:
    """Sum of what held tasks reserve.

    Attributes:
      cores_milli: Thousandths of a processor core.
      memory_mb: Memory in MB.
      accelerators: Whole accelerators.
      tasks: Number of tasks.
    """

    __slots__ = ("accelerators", "cores_milli", "memory_mb", "tasks")

    def __init__(self) -> None:
        self.cores_milli = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.tasks = 0

    def add(self, amount: messages.Resources, sign: int) -> None:
        """Adds one task's amount, or takes it away with a sign of -1."""
        self.cores_milli += sign * amount.cores_milli
        self.memory_mb += sign * amount.memory_mb
        self.accelerators += sign * amount.accelerators
        self.tasks += sign


class TaskTable:
    """Every task, replaced record by record.

    All but `records` and `run_times` are indexes that follow from `records`.

    Attributes:
      records: Tasks by identifier.
      run_times: Learned run times by class of jobs.
      held: Identifiers of held tasks by worker, in the order of their start.
      waiting: Identifiers of pending tasks by owner (`job/NAME`).
      evicting: Held tasks whose eviction is under way.
      in_doubt: Tasks in doubt.
      reserved: What held tasks reserve, by worker.
      owner_reserved: What held tasks reserve, by owner.
      sizes: Number of task records by owner.
      spread: Number of held tasks by owner and worker.
      services: Number of held instances by worker and service.
    """

    __slots__ = (
        "_wanted",
        "evicting",
        "held",
        "in_doubt",
        "owner_reserved",
        "records",
        "reserved",
        "run_times",
        "services",
        "sizes",
        "spread",
        "waiting",
    )

    def __init__(self) -> None:
        self.records: dict[str, TaskRecord] = {}
        self.run_times: dict[str, RunTimeRecord] = {}
        self.held: dict[str, dict[str, None]] = {}
        self.waiting: dict[str, dict[str, None]] = {}
        self.evicting: dict[str, None] = {}
        self.in_doubt: dict[str, None] = {}
        self.reserved: dict[str, Reserved] = {}
        self.owner_reserved: dict[str, Reserved] = {}
        self.sizes: dict[str, int] = {}
        self.spread: dict[str, dict[str, int]] = {}
        self.services: dict[str, dict[str, int]] = {}
        self._wanted: dict[str, int] = {}

    # --- Configuration -------------------------------------------------------

    def follow(
        self, current: configuration_lib.ConfigurationRecord, at_ms: int
    ) -> None:
        """Adds, cancels and removes tasks to match a new configuration.

        An owner whose number of tasks is unchanged costs nothing.
        """
        wanted = wanted_tasks(current)
        for owner, count in wanted.items():
            if self._wanted.get(owner) != count:
                self._follow_owner(current, owner, count)
        for owner in [name for name in self.sizes if name not in wanted]:
            if self._wanted.get(owner) != 0:
                self._follow_owner(current, owner, 0)
            self._purge(owner, at_ms)
        self._wanted = wanted
        for owner in self.sizes:
            self._wanted.setdefault(owner, 0)

    def _follow_owner(
        self,
        current: configuration_lib.ConfigurationRecord,
        owner: str,
        count: int,
    ) -> None:
        size = self.sizes.get(owner, 0)
        for index in range(max(size, count)):
            task = f"{owner}/{index}"
            record = self.records.get(task)
            if index >= count and record is not None:
                self._cancel(record)
            elif record is None and index < count:
                self._store(None, TaskRecord(task=task))
            elif record is not None and index < count:
                self._revive(current, record)

    def _cancel(self, record: TaskRecord) -> None:
        if record.phase in (Phase.PENDING, Phase.IN_DOUBT):
            self._put(record, phase=Phase.CANCELLED)
        elif record.phase is Phase.HELD and record.evicting != CANCELLED:
            self._put(record, evicting=CANCELLED)

    def _revive(
        self,
        current: configuration_lib.ConfigurationRecord,
        record: TaskRecord,
    ) -> None:
        if record.phase is Phase.HELD and record.evicting == CANCELLED:
            self._put(record, evicting=REPLACED)
        elif record.phase is Phase.CANCELLED:
            began = record.attempt > 0 and not record.checkpoint
            if is_repeatable(current, record.task) or not began:
                self._put(record, phase=Phase.PENDING)

    def _purge(self, owner: str, at_ms: int) -> None:
        names = [f"{owner}/{index}" for index in range(self.sizes[owner])]
        records = [self.records[name] for name in names]
        old_ms = at_ms - ENDED_RETENTION_MS
        if all(
            record.phase in ENDED_PHASES and record.changed_ms < old_ms
            for record in records
        ):
            for record in records:
                self._store(record, None)
            del self.sizes[owner]

    # --- Starts and ends -----------------------------------------------------

    def start(self, command: commands.StartAttempts) -> commands.Result:
        """Fences earlier attempts and reserves the worker."""
        applied = tuple(
            self._start_one(start, command.at_ms) for start in command.starts
        )
        return commands.AttemptsApplied(applied=applied)

    def _start_one(self, start: commands.AttemptStart, at_ms: int) -> bool:
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
            changed_ms=at_ms,
            reason="",
        )
        return True

    def end(
        self,
        command: commands.EndAttempts,
        current: configuration_lib.ConfigurationRecord,
    ) -> commands.Result:
        """Ends current attempts; others are void."""
        applied = tuple(
            self._end_one(end, current, command.at_ms) for end in command.ends
        )
        return commands.AttemptsApplied(applied=applied)

    def _end_one(
        self,
        end: commands.AttemptEnd,
        current: configuration_lib.ConfigurationRecord,
        at_ms: int,
    ) -> bool:
        record = self.records.get(end.task)
        if record is None or not may_end(record, end):
            return False
        match end.outcome:
            case commands.AttemptCompleted() as outcome:
                self._complete(record, outcome, current, at_ms)
            case commands.AttemptFailed() as outcome:
                self._fail(record, outcome, current, at_ms)
            case commands.AttemptGone() as outcome:
                self._lose(record, outcome, current, at_ms)
        return True

    def _complete(
        self,
        record: TaskRecord,
        outcome: commands.AttemptCompleted,
        current: configuration_lib.ConfigurationRecord,
        at_ms: int,
    ) -> None:
        if is_service(record.task):
            exited = commands.AttemptFailed(
                run_ms=outcome.run_ms, reason="exited"
            )
            self._fail(record, exited, current, at_ms)
            return
        self._learn_run_time(record, outcome.run_ms, current)
        self._put(
            record, phase=Phase.DONE, evicting="", reason="", changed_ms=at_ms
        )

    def _learn_run_time(
        self,
        record: TaskRecord,
        run_ms: int,
        current: configuration_lib.ConfigurationRecord,
    ) -> None:
        job = current.jobs.get(name_of(record.task))
        if job is None or job.run_ms <= 0 or record.checkpoint:
            return
        known = self.run_times.get(job.job_class)
        ratios = known.ratios if known else ()
        ratio = round(run_ms / job.run_ms, 3)
        self.run_times[job.job_class] = RunTimeRecord(
            job_class=job.job_class,
            ratios=(*ratios, ratio)[-MAX_RUN_TIMES:],
        )

    def _fail(
        self,
        record: TaskRecord,
        outcome: commands.AttemptFailed,
        current: configuration_lib.ConfigurationRecord,
        at_ms: int,
    ) -> None:
        workers = record.failed_workers
        counted = not outcome.on_worker
        if counted and record.worker not in workers:
            workers = (*workers, record.worker)
        failures = record.failures + counted
        phase = Phase.PENDING
        if record.evicting == CANCELLED:
            phase = Phase.CANCELLED
        elif not is_service(record.task) and (
            retries.is_exhausted(failures, len(workers))
            or not may_resume(current, record)
        ):
            phase = Phase.FAILED
        backoff_ms = retries.backoff_ms(record.task, max(failures, 1))
        self._put(
            record,
            phase=phase,
            failures=failures,
            failed_workers=workers,
            evicting="",
            not_before_ms=at_ms + backoff_ms,
            changed_ms=at_ms,
            reason=outcome.reason,
        )

    def _lose(
        self,
        record: TaskRecord,
        outcome: commands.AttemptGone,
        current: configuration_lib.ConfigurationRecord,
        at_ms: int,
    ) -> None:
        phase = Phase.PENDING
        if record.evicting == CANCELLED:
            phase = Phase.CANCELLED
        elif outcome.began and not may_repeat(current, record, outcome):
            phase = Phase.IN_DOUBT
        self._put(
            record,
            phase=phase,
            evictions=record.evictions + bool(record.evicting),
            evicting="",
            changed_ms=at_ms,
            reason=outcome.reason,
        )

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
        """Marks current attempts as being evicted; an empty reason ends it."""
        applied = []
        for ref in command.attempts:
            record = self.records.get(ref.task)
            current = (
                record is not None
                and is_current(record, ref.task, ref.attempt)
                and record.evicting not in (CANCELLED, REPLACED)
            )
            if current and record is not None:
                self._put(record, evicting=command.reason)
            applied.append(current)
        return commands.AttemptsApplied(applied=tuple(applied))

    # --- Records and indexes -------------------------------------------------

    def _put(self, record: TaskRecord, **changes: object) -> None:
        self._store(record, msgspec.structs.replace(record, **changes))

    def _store(self, old: TaskRecord | None, new: TaskRecord | None) -> None:
        if old is not None:
            self._index(old, -1)
            if new is None:
                del self.records[old.task]
        if new is not None:
            self.records[new.task] = new
            self._index(new, 1)

    def _index(self, record: TaskRecord, sign: int) -> None:
        owner = owner_of(record.task)
        if sign > 0:
            index = int(record.task[len(owner) + 1 :])
            self.sizes[owner] = max(self.sizes.get(owner, 0), index + 1)
        match record.phase:
            case Phase.PENDING:
                _mark(self.waiting, owner, record.task, sign)
            case Phase.HELD:
                _mark(self.held, record.worker, record.task, sign)
                _sum(self.reserved, record.worker, record.reserved, sign)
                _sum(self.owner_reserved, owner, record.reserved, sign)
                _count(self.spread, owner, record.worker, sign)
                if is_service(owner):
                    service = owner.partition("/")[2]
                    _count(self.services, record.worker, service, sign)
                if record.evicting:
                    _toggle(self.evicting, record.task, sign)
            case Phase.IN_DOUBT:
                _toggle(self.in_doubt, record.task, sign)

    def snapshot_records(self) -> Iterator[TaskRecord | RunTimeRecord]:
        """Returns every record of a consistent view taken now."""
        records: list[TaskRecord | RunTimeRecord]
        records = [*self.records.values(), *self.run_times.values()]
        return iter(records)

    def restore_record(self, record: TaskRecord | RunTimeRecord) -> None:
        """Adds one record of a snapshot."""
        match record:
            case TaskRecord():
                self._store(None, record)
            case RunTimeRecord():
                self.run_times[record.job_class] = record


def is_current(record: TaskRecord, task: str, attempt: int) -> bool:
    """Returns whether the attempt is the task's held one."""
    return (
        record.task == task
        and record.phase is Phase.HELD
        and record.attempt == attempt
    )


def may_end(record: TaskRecord, end: commands.AttemptEnd) -> bool:
    """Returns whether an end still says something about its task.

    The last attempt's completion counts as long as no other attempt began, so
    that a report resent after a lost lease spares a second run.
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
    """Returns whether the task or owner is a service's."""
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
    """Returns whether a lost attempt may be run again from its start."""
    if is_service(task):
        return True
    job = current.jobs.get(name_of(task))
    return job is None or job.repeatable


def may_resume(
    current: configuration_lib.ConfigurationRecord, record: TaskRecord
) -> bool:
    """Returns whether an unfinished attempt may be followed by another."""
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


def wanted_tasks(
    current: configuration_lib.ConfigurationRecord,
) -> dict[str, int]:
    """Returns how many tasks each owner should have."""
    wanted = {
        f"service/{service.name}": service.instances
        for service in current.services.values()
    }
    for job in current.jobs.values():
        count = 0 if job.name in current.cancelled else job.tasks
        wanted[f"job/{job.name}"] = count
    return wanted


def _toggle(names: dict[str, None], name: str, sign: int) -> None:
    if sign > 0:
        names[name] = None
    else:
        del names[name]


def _mark(
    groups: dict[str, dict[str, None]], group: str, name: str, sign: int
) -> None:
    names = groups.setdefault(group, {})
    _toggle(names, name, sign)
    if not names:
        del groups[group]


def _count(
    groups: dict[str, dict[str, int]], group: str, name: str, sign: int
) -> None:
    counts = groups.setdefault(group, {})
    counts[name] = counts.get(name, 0) + sign
    if not counts[name]:
        del counts[name]
    if not counts:
        del groups[group]


def _sum(
    sums: dict[str, Reserved],
    name: str,
    amount: messages.Resources,
    sign: int,
) -> None:
    total = sums.get(name)
    if total is None:
        total = sums[name] = Reserved()
    total.add(amount, sign)
    if not total.tasks:
        del sums[name]
