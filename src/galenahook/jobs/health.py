"""Excludes workers that fail runs or refuse starts from placement."""

from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

# Tasks that failed with none done since, which exclude a worker.
EXCLUSION_FAILURES = 2
# A worker on which a task was done within this time, and no task of another job
# has failed since, counts as sound.
SOUND_AFTER_DONE_MS = 2_000
# Limit of jobs whose failures are remembered; the oldest is forgotten first.
MAX_TRACKED_JOBS = 500
# Time of the first exclusion; it doubles with each further failure.
FIRST_EXCLUSION_MS = 1_500
MAX_EXCLUSION_MS = 6_000
# Time of the exclusion after a refused start.
REFUSAL_EXCLUSION_MS = 300


class WorkerHealth:
    """Excludes workers on which several tasks in a row failed.

    A task that has failed on another worker says nothing about this one. A job
    of which no task was done, and which fails on a second worker that is sound,
    is at fault itself, so that its failures no longer exclude the first one.
    """

    __slots__ = ("_failed_on",)

    def __init__(self) -> None:
        # Workers on which tasks of a job failed since one was done.
        self._failed_on: dict[str, dict[str, workers_lib.Worker]] = {}

    def note_end(
        self,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        outcome: str,
        now_ms: int,
    ) -> None:
        """Updates the failed tasks of a worker after the end of a run."""
        if outcome == "done":
            worker.failed_tasks.clear()
            worker.last_done_ms = now_ms
            self._failed_on.pop(run.job.description.job, None)
        elif outcome == "failed":
            if self._note_failed_job(worker, run, now_ms):
                return
            if _has_failed_elsewhere(worker, run):
                return
            worker.failed_tasks.add(run.task)
            excess = len(worker.failed_tasks) - EXCLUSION_FAILURES
            if excess >= 0:
                exclusion_ms = min(
                    FIRST_EXCLUSION_MS << excess, MAX_EXCLUSION_MS
                )
                worker.excluded_until_ms = now_ms + exclusion_ms

    def _note_failed_job(
        self,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        now_ms: int,
    ) -> bool:
        """Records where a job failed; returns whether it is at fault itself.

        If so, its failures no longer count against any worker.
        """
        job = run.job
        if any(job.done.values()):
            return False
        identifier = job.description.job
        failed_on = self._failed_on.setdefault(identifier, {})
        failed_on[worker.name] = worker
        if len(self._failed_on) > MAX_TRACKED_JOBS:
            del self._failed_on[next(iter(self._failed_on))]
        if len(failed_on) < 2 or not _is_sound(worker, identifier, now_ms):
            return False
        for other in failed_on.values():
            _clear_failures(other, identifier)
        return True

    def note_refusal(self, worker: workers_lib.Worker, now_ms: int) -> None:
        """Excludes the worker for a short time after a refused start."""
        worker.excluded_until_ms = max(
            worker.excluded_until_ms, now_ms + REFUSAL_EXCLUSION_MS
        )


def _is_sound(worker: workers_lib.Worker, job: str, now_ms: int) -> bool:
    """Returns whether a worker has lately done tasks of other jobs."""
    return (
        worker.last_done_ms > 0
        and now_ms - worker.last_done_ms < SOUND_AFTER_DONE_MS
        and not _failed_tasks_of_others(worker, job)
    )


def _failed_tasks_of_others(worker: workers_lib.Worker, job: str) -> set[str]:
    return {
        task
        for task in worker.failed_tasks
        if tasks_lib.parse_task_name(task)[0] != job
    }


def _clear_failures(worker: workers_lib.Worker, job: str) -> None:
    """Discards the failed tasks of a job, and an exclusion that they caused."""
    was_excluded = len(worker.failed_tasks) >= EXCLUSION_FAILURES
    worker.failed_tasks = _failed_tasks_of_others(worker, job)
    if was_excluded and len(worker.failed_tasks) < EXCLUSION_FAILURES:
        worker.excluded_until_ms = 0


def _has_failed_elsewhere(
    worker: workers_lib.Worker, run: workers_lib.LiveRun
) -> bool:
    """Returns whether the task of a run has failed on another worker before."""
    # The end of this run is not in the record yet.
    before = run.job.runs.get(run.key)
    return before is not None and before.last_worker not in ("", worker.name)
