"""The replicated table of jobs, changed only by applying commands."""

from collections.abc import Iterator

import msgspec

from galenahook import commands
from galenahook.jobs import tasks as tasks_lib

# Limit of retained cancellations of unknown jobs; the oldest is discarded
# first. A submission that is delayed or sent again arrives within seconds.
MAX_EARLY_CANCELLATIONS = 10_000
# Suspicion that one crash of a worker adds to a task under which it crashed.
SUSPICION = {
    commands.Blame.UNLIKELY: 1,
    commands.Blame.POSSIBLE: 2,
    commands.Blame.LIKELY: 3,
}
# Suspicion with which a task is given up, and its job has failed: after two to
# five crashes.
MAX_SUSPICION = 5


class JobTable:
    """Every stored job.

    Attributes:
      jobs: Jobs by identifier.
      open: Jobs by identifier that have not ended, or still have runs that may
        be active.
      cancelled_early: Jobs that were cancelled before they were stored, with
        the wall time of the cancellation, oldest first.
      now_ms: Monotonic time of this replica at which it applies a command.
    """

    __slots__ = ("cancelled_early", "jobs", "now_ms", "open")

    def __init__(self) -> None:
        self.jobs: dict[str, tasks_lib.Job] = {}
        self.open: dict[str, tasks_lib.Job] = {}
        self.cancelled_early: dict[str, int] = {}
        self.now_ms = 0

    def submit(self, command: commands.SubmitJob) -> commands.Result:
        """Stores a job unless its identifier is known.

        A job that was cancelled before is stored as cancelled.
        """
        identifier = command.description.job
        if identifier in self.jobs:
            return commands.JobStored()
        record = tasks_lib.JobRecord(
            description=command.description, submitted_ms=command.at_ms
        )
        cancelled_ms = self.cancelled_early.pop(identifier, None)
        if cancelled_ms is not None:
            record = msgspec.structs.replace(
                record,
                outcome=tasks_lib.Outcome.CANCELLED,
                ended_ms=cancelled_ms,
            )
        self._add(record)
        return commands.JobStored()

    def _add(self, record: tasks_lib.JobRecord) -> None:
        job = tasks_lib.Job(record)
        self.jobs[record.description.job] = job
        if not job.ended:
            self.open[record.description.job] = job

    def cancel(self, command: commands.CancelJob) -> commands.Result:
        """Cancels a job unless it has ended.

        The cancellation of an unknown job is retained, as its submission may
        still be under way.
        """
        job = self.jobs.get(command.job)
        if job is None:
            self._cancel_early(command)
            return commands.JobUnknown()
        if not job.ended:
            self._end(job, tasks_lib.Outcome.CANCELLED, command.at_ms)
        return commands.Done()

    def _cancel_early(self, command: commands.CancelJob) -> None:
        early = self.cancelled_early
        early.setdefault(command.job, command.at_ms)
        if len(early) > MAX_EARLY_CANCELLATIONS:
            del early[next(iter(early))]

    def record(self, command: commands.RecordRuns) -> commands.Result:
        """Records confirmations, ends, then starts; ignores outdated ones."""
        for confirmed in command.confirmed:
            self._record_confirmed(confirmed)
        for end in command.ends:
            self._record_end(end, command.at_ms)
        started = tuple(
            self._record_start(start, command.at_ms) for start in command.starts
        )
        return commands.AttemptsApplied(applied=started)

    def _find(
        self, task: str
    ) -> tuple[tasks_lib.Job, tasks_lib.TaskKey] | None:
        identifier, key = tasks_lib.parse_task_name(task)
        job = self.jobs.get(identifier)
        return None if job is None else (job, key)

    def _record_confirmed(self, confirmed: commands.RunConfirmed) -> None:
        found = self._find(confirmed.task)
        if found is None:
            return
        job, key = found
        run = job.runs.get(key)
        if run is not None and run.run == confirmed.run:
            job.runs[key] = msgspec.structs.replace(
                run, confirmed=True, born_ms=confirmed.born_ms
            )

    def _record_start(self, start: commands.RunStart, at_ms: int) -> bool:
        found = self._find(start.task)
        if found is None:
            return False
        job, key = found
        before = job.runs.get(key)
        number = before.run if before else 0
        if job.ended or key not in job.waiting or start.run != number + 1:
            return False
        run = tasks_lib.RunRecord(
            task=start.task,
            run=start.run,
            worker=start.worker,
            born_ms=start.born_ms,
            machine=start.machine,
            started_ms=at_ms,
        )
        if before is not None:
            run = msgspec.structs.replace(
                run,
                failures=before.failures,
                checkpoint=before.checkpoint,
                last_worker=before.last_worker,
                suspicion=before.suspicion,
                pinned_to=before.pinned_to if start.is_pinned else "",
                pending_starts=before.pending_starts * start.is_pinned,
            )
        job.runs[key] = run
        job.waiting.discard(key)
        job.active.add(key)
        job.began = True
        return True

    def _record_end(self, end: commands.RunEnd, at_ms: int) -> None:
        found = self._find(end.task)
        if found is None:
            return
        job, key = found
        run = job.runs.get(key)
        if run is None or run.run != end.run:
            return
        is_late = end.is_late and bool(run.pinned_to) and key in job.waiting
        if not run.active and not is_late:
            return
        job.waiting.discard(key)
        failed = end.outcome == "failed"
        run = msgspec.structs.replace(
            run,
            active=False,
            done=end.outcome == "done",
            failures=run.failures + failed,
            checkpoint=end.checkpoint or run.checkpoint,
            last_worker=run.worker if failed else run.last_worker,
            suspicion=_suspicion_after(run.suspicion, end.blame),
            ended_ms=at_ms,
            pinned_to=run.worker if end.start_pending else run.pinned_to,
            pending_starts=run.pending_starts + end.start_pending,
        )
        if is_late:
            run = msgspec.structs.replace(run, pinned_to="", pending_starts=0)
            job.began = True
        job.runs[key] = run
        if end.start_pending:
            job.pinned_ms[key] = self.now_ms
            job.began = any(map(_has_begun, job.runs.values()))
        job.note_failed_runs(key, run.failures)
        job.active.discard(key)
        is_given_up = not run.done and run.suspicion >= MAX_SUSPICION
        if is_given_up and not job.ended:
            self._end(job, tasks_lib.Outcome.FAILED, at_ms)
        self._advance_job(job, key, run, at_ms)

    def _advance_job(
        self,
        job: tasks_lib.Job,
        key: tasks_lib.TaskKey,
        run: tasks_lib.RunRecord,
        at_ms: int,
    ) -> None:
        step = job.step(key)
        if not job.ended and not step.serves:
            if run.done:
                self._count_done(job, key, at_ms)
            elif run.failures >= job.description.max_attempts:
                self._end(job, tasks_lib.Outcome.FAILED, at_ms)
        if job.ended:
            self._close(job)
        elif not run.done or step.serves:
            if run.done:
                job.runs[key] = msgspec.structs.replace(run, done=False)
            job.waiting.add(key)

    def _count_done(
        self, job: tasks_lib.Job, key: tasks_lib.TaskKey, at_ms: int
    ) -> None:
        step_key = key[:2]
        job.done[step_key] = job.done.get(step_key, 0) + 1
        if not job.is_step_done(*step_key):
            return
        if job.is_done():
            self._end(job, tasks_lib.Outcome.COMPLETED, at_ms)
        else:
            job.refresh_waiting()

    def _end(
        self, job: tasks_lib.Job, outcome: tasks_lib.Outcome, at_ms: int
    ) -> None:
        job.record = msgspec.structs.replace(
            job.record, outcome=outcome, ended_ms=at_ms
        )
        job.waiting.clear()
        self._close(job)

    def _close(self, job: tasks_lib.Job) -> None:
        if not job.active:
            self.open.pop(job.description.job, None)

    def snapshot_records(self) -> Iterator[tasks_lib.SnapshotRecord]:
        """Returns the records of a consistent snapshot."""
        jobs = [job.record for job in self.jobs.values()]
        runs = [run for job in self.jobs.values() for run in job.runs.values()]
        cancellations = [
            tasks_lib.CancellationRecord(job=identifier, at_ms=at_ms)
            for identifier, at_ms in self.cancelled_early.items()
        ]
        return iter([*jobs, *runs, *cancellations])

    def restore_record(self, record: tasks_lib.SnapshotRecord) -> None:
        """Adds one record of a snapshot; a job comes before its runs."""
        match record:
            case tasks_lib.CancellationRecord():
                self.cancelled_early[record.job] = record.at_ms
            case tasks_lib.JobRecord():
                self._add(record)
            case tasks_lib.RunRecord():
                self._restore_run(record)

    def _restore_run(self, run: tasks_lib.RunRecord) -> None:
        identifier, key = tasks_lib.parse_task_name(run.task)
        job = self.jobs[identifier]
        job.runs[key] = run
        job.note_failed_runs(key, run.failures)
        job.began = job.began or run.active or _has_begun(run)
        if run.active or run.done:
            job.waiting.discard(key)
        if run.active:
            job.active.add(key)
            self.open[identifier] = job
        if run.done:
            job.done[key[:2]] = job.done.get(key[:2], 0) + 1
            if job.is_step_done(*key[:2]):
                job.refresh_waiting()


def _has_begun(run: tasks_lib.RunRecord) -> bool:
    """Returns whether a run was started, or an earlier one of its task."""
    is_pending = run.pending_starts > 0 and not run.confirmed
    return not is_pending or run.failures > 0


def _suspicion_after(suspicion: int, blame: commands.Blame) -> int:
    """Returns the suspicion against a task after one more end of a run."""
    if blame is commands.Blame.CLEARED:
        return 0
    return suspicion + SUSPICION.get(blame, 0)
