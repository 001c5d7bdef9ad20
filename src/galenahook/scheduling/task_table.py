"""The table of all tasks, which is part of the replicated state."""

from collections.abc import Collection
from collections.abc import Iterator

import msgspec

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook.scheduling import retries
from galenahook.scheduling import task_index
from galenahook.scheduling import tasks as tasks_lib

ENDED_RETENTION_MS = 7 * 24 * 3_600_000
MAX_RUN_TIME_SAMPLES = 32


class TaskTable:
    """Records of all tasks; a change replaces a record.

    All attributes but `records` and `run_times` are indexes derived from
    `records`.

    Attributes:
      records: Tasks by identifier.
      run_times: Learned run times by class of jobs.
      held: Identifiers of held tasks by worker, in order of their last change.
      waiting: Identifiers of pending tasks by owner (`job/NAME`).
      evicting: Held tasks whose eviction is in progress.
      in_doubt: Tasks in doubt.
      reserved: Resources reserved by held tasks, by worker.
      owner_reserved: Resources reserved by held tasks, by owner.
      sizes: Number of task records by owner.
      spread: Number of held tasks by owner and worker.
      services: Number of held instances by worker and service.
    """

    __slots__ = (
        "_requested_counts",
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
        self.records: dict[str, tasks_lib.TaskRecord] = {}
        self.run_times: dict[str, tasks_lib.RunTimeRecord] = {}
        self.held: dict[str, dict[str, None]] = {}
        self.waiting: dict[str, dict[str, None]] = {}
        self.evicting: dict[str, None] = {}
        self.in_doubt: dict[str, None] = {}
        self.reserved: dict[str, task_index.Reserved] = {}
        self.owner_reserved: dict[str, task_index.Reserved] = {}
        self.sizes: dict[str, int] = {}
        self.spread: dict[str, dict[str, int]] = {}
        self.services: dict[str, dict[str, int]] = {}
        self._requested_counts: dict[str, int] = {}

    # --- Configuration -------------------------------------------------------

    def follow(
        self,
        current: configuration_lib.ConfigurationRecord,
        at_ms: int,
        touched: Collection[str] | None = None,
    ) -> None:
        """Adds, cancels and removes tasks to match a new configuration.

        Owners whose number of tasks is unchanged are skipped.

        Args:
          current: The new configuration.
          at_ms: Wall time of the change.
          touched: Owners that may have changed. If None, all are checked,
            and tasks of removed owners are purged some time after they ended.
        """
        requested = tasks_lib.requested_tasks(current, touched)
        for owner, count in requested.items():
            if not count and owner not in self.sizes:
                continue
            if self._requested_counts.get(owner) != count:
                self._update_owner(current, owner, count)
            self._requested_counts[owner] = count
        if touched is not None:
            return
        for owner in [name for name in self.sizes if name not in requested]:
            if self._requested_counts.get(owner) != 0:
                self._update_owner(current, owner, 0)
            self._requested_counts[owner] = 0
            self._purge(owner, at_ms)

    def _update_owner(
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
                self._store(None, tasks_lib.TaskRecord(task=task))
            elif record is not None and index < count:
                self._restore_cancelled(current, record)

    def _cancel(self, record: tasks_lib.TaskRecord) -> None:
        if record.phase in (tasks_lib.Phase.PENDING, tasks_lib.Phase.IN_DOUBT):
            self._replace(record, phase=tasks_lib.Phase.CANCELLED)
        elif (
            record.phase is tasks_lib.Phase.HELD
            and record.evicting != tasks_lib.CANCELLED
        ):
            self._replace(record, evicting=tasks_lib.CANCELLED)

    def _restore_cancelled(
        self,
        current: configuration_lib.ConfigurationRecord,
        record: tasks_lib.TaskRecord,
    ) -> None:
        if (
            record.phase is tasks_lib.Phase.HELD
            and record.evicting == tasks_lib.CANCELLED
        ):
            self._replace(record, evicting=tasks_lib.REPLACED)
        elif record.phase is tasks_lib.Phase.CANCELLED:
            began = record.attempt > 0 and not record.checkpoint
            if tasks_lib.is_repeatable(current, record.task) or not began:
                self._replace(record, phase=tasks_lib.Phase.PENDING)

    def _purge(self, owner: str, at_ms: int) -> None:
        names = [f"{owner}/{index}" for index in range(self.sizes[owner])]
        records = [self.records[name] for name in names]
        old_ms = at_ms - ENDED_RETENTION_MS
        if all(
            record.phase in tasks_lib.ENDED_PHASES
            and record.changed_ms < old_ms
            for record in records
        ):
            for record in records:
                self._store(record, None)
            del self.sizes[owner]
            del self._requested_counts[owner]

    # --- Starts and ends -----------------------------------------------------

    def start(self, command: commands.StartAttempts) -> commands.Result:
        """Starts attempts of pending tasks and reserves their capacity."""
        applied = tuple(
            self._start_one(start, command.at_ms) for start in command.starts
        )
        return commands.AttemptsApplied(applied=applied)

    def _start_one(self, start: commands.AttemptStart, at_ms: int) -> bool:
        record = self.records.get(start.task)
        if record is None or record.phase is not tasks_lib.Phase.PENDING:
            return False
        if start.attempt != record.attempt + 1:
            return False
        self._replace(
            record,
            phase=tasks_lib.Phase.HELD,
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
        """Ends attempts; ends that no longer apply are ignored."""
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
        if record is None or not tasks_lib.may_end(record, end):
            return False
        match end.outcome:
            case commands.AttemptCompleted() as outcome:
                self._apply_completion(record, outcome, current, at_ms)
            case commands.AttemptFailed() as outcome:
                self._apply_failure(record, outcome, current, at_ms)
            case commands.AttemptGone() as outcome:
                self._apply_loss(record, outcome, current, at_ms)
        return True

    def _apply_completion(
        self,
        record: tasks_lib.TaskRecord,
        outcome: commands.AttemptCompleted,
        current: configuration_lib.ConfigurationRecord,
        at_ms: int,
    ) -> None:
        if tasks_lib.is_service(record.task):
            exited = commands.AttemptFailed(
                run_ms=outcome.run_ms, reason="exited"
            )
            self._apply_failure(record, exited, current, at_ms)
            return
        self._learn_run_time(record, outcome.run_ms, current)
        self._replace(
            record,
            phase=tasks_lib.Phase.DONE,
            evicting="",
            reason="",
            changed_ms=at_ms,
        )

    def _learn_run_time(
        self,
        record: tasks_lib.TaskRecord,
        run_ms: int,
        current: configuration_lib.ConfigurationRecord,
    ) -> None:
        job = current.jobs.get(tasks_lib.name_of(record.task))
        if job is None or job.run_ms <= 0 or record.checkpoint:
            return
        known = self.run_times.get(job.job_class)
        ratios = known.ratios if known else ()
        ratio = round(run_ms / job.run_ms, 3)
        self.run_times[job.job_class] = tasks_lib.RunTimeRecord(
            job_class=job.job_class,
            ratios=(*ratios, ratio)[-MAX_RUN_TIME_SAMPLES:],
        )

    def _apply_failure(
        self,
        record: tasks_lib.TaskRecord,
        outcome: commands.AttemptFailed,
        current: configuration_lib.ConfigurationRecord,
        at_ms: int,
    ) -> None:
        workers = record.failed_workers
        counted = not outcome.on_worker
        if counted and record.worker not in workers:
            workers = (*workers, record.worker)
        failures = record.failures + counted
        phase = tasks_lib.Phase.PENDING
        if record.evicting == tasks_lib.CANCELLED:
            phase = tasks_lib.Phase.CANCELLED
        elif not tasks_lib.is_service(record.task) and (
            retries.is_exhausted(failures, len(workers))
            or not tasks_lib.may_resume(current, record)
        ):
            phase = tasks_lib.Phase.FAILED
        backoff_ms = retries.backoff_ms(record.task, max(failures, 1))
        self._replace(
            record,
            phase=phase,
            failures=failures,
            failed_workers=workers,
            evicting="",
            not_before_ms=at_ms + backoff_ms,
            changed_ms=at_ms,
            reason=outcome.reason,
        )

    def _apply_loss(
        self,
        record: tasks_lib.TaskRecord,
        outcome: commands.AttemptGone,
        current: configuration_lib.ConfigurationRecord,
        at_ms: int,
    ) -> None:
        phase = tasks_lib.Phase.PENDING
        if record.evicting == tasks_lib.CANCELLED:
            phase = tasks_lib.Phase.CANCELLED
        elif outcome.began and not tasks_lib.may_repeat(
            current, record, outcome
        ):
            phase = tasks_lib.Phase.IN_DOUBT
        self._replace(
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
        """Records checkpoints that the next attempts resume from."""
        applied = []
        for taken in command.checkpoints:
            record = self.records.get(taken.task)
            current = record is not None and tasks_lib.is_current(
                record, taken.task, taken.attempt
            )
            if current and record is not None:
                self._replace(record, checkpoint=taken.reference)
            applied.append(current)
        return commands.AttemptsApplied(applied=tuple(applied))

    def evict(self, command: commands.EvictAttempts) -> commands.Result:
        """Marks attempts as being evicted; an empty reason removes the mark."""
        applied = []
        for ref in command.attempts:
            record = self.records.get(ref.task)
            current = (
                record is not None
                and tasks_lib.is_current(record, ref.task, ref.attempt)
                and record.evicting
                not in (tasks_lib.CANCELLED, tasks_lib.REPLACED)
            )
            if current and record is not None:
                self._replace(record, evicting=command.reason)
            applied.append(current)
        return commands.AttemptsApplied(applied=tuple(applied))

    # --- Records and indexes -------------------------------------------------

    def _replace(self, record: tasks_lib.TaskRecord, **changes: object) -> None:
        self._store(record, msgspec.structs.replace(record, **changes))

    def _store(
        self, old: tasks_lib.TaskRecord | None, new: tasks_lib.TaskRecord | None
    ) -> None:
        if old is not None:
            self._index(old, -1)
            if new is None:
                del self.records[old.task]
        if new is not None:
            self.records[new.task] = new
            self._index(new, 1)

    def _index(self, record: tasks_lib.TaskRecord, sign: int) -> None:
        owner = tasks_lib.owner_of(record.task)
        if sign > 0:
            index = int(record.task[len(owner) + 1 :])
            self.sizes[owner] = max(self.sizes.get(owner, 0), index + 1)
        match record.phase:
            case tasks_lib.Phase.PENDING:
                task_index.update_group(self.waiting, owner, record.task, sign)
            case tasks_lib.Phase.HELD:
                task_index.update_group(
                    self.held, record.worker, record.task, sign
                )
                task_index.update_sum(
                    self.reserved, record.worker, record.reserved, sign
                )
                task_index.update_sum(
                    self.owner_reserved, owner, record.reserved, sign
                )
                task_index.update_count(self.spread, owner, record.worker, sign)
                if tasks_lib.is_service(owner):
                    service = owner.partition("/")[2]
                    task_index.update_count(
                        self.services, record.worker, service, sign
                    )
                if record.evicting:
                    task_index.update_names(self.evicting, record.task, sign)
            case tasks_lib.Phase.IN_DOUBT:
                task_index.update_names(self.in_doubt, record.task, sign)

    def snapshot_records(
        self,
    ) -> Iterator[tasks_lib.TaskRecord | tasks_lib.RunTimeRecord]:
        """Returns an iterator over a consistent copy of all records."""
        records: list[tasks_lib.TaskRecord | tasks_lib.RunTimeRecord]
        records = [*self.records.values(), *self.run_times.values()]
        return iter(records)

    def restore_record(
        self, record: tasks_lib.TaskRecord | tasks_lib.RunTimeRecord
    ) -> None:
        """Restores one record of a snapshot."""
        match record:
            case tasks_lib.TaskRecord():
                self._store(None, record)
            case tasks_lib.RunTimeRecord():
                self.run_times[record.job_class] = record
