"""Excludes workers that fail runs or refuse starts from placement."""

import dataclasses

from galenahook.jobs import workers as workers_lib

# Tasks that failed with none done since, which exclude a worker.
EXCLUSION_FAILURES = 2
# Time of the first exclusion; it doubles with each further failure.
FIRST_EXCLUSION_MS = 1_500
MAX_EXCLUSION_MS = 6_000
# Time of the exclusion after a refused start.
REFUSAL_EXCLUSION_MS = 300


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Excludes workers on which several tasks in a row failed.

    A task that has failed on another worker says nothing about this one.
    """

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
        elif outcome == "failed" and not _has_failed_elsewhere(worker, run):
            worker.failed_tasks.add(run.task)
            excess = len(worker.failed_tasks) - EXCLUSION_FAILURES
            if excess >= 0:
                exclusion_ms = min(
                    FIRST_EXCLUSION_MS << excess, MAX_EXCLUSION_MS
                )
                worker.excluded_until_ms = now_ms + exclusion_ms

    def note_refusal(self, worker: workers_lib.Worker, now_ms: int) -> None:
        """Excludes the worker for a short time after a refused start."""
        worker.excluded_until_ms = max(
            worker.excluded_until_ms, now_ms + REFUSAL_EXCLUSION_MS
        )


def _has_failed_elsewhere(
    worker: workers_lib.Worker, run: workers_lib.LiveRun
) -> bool:
    """Returns whether the task of a run has failed on another worker before."""
    # The end of this run is not in the record yet.
    before = run.job.runs.get(run.key)
    return before is not None and before.last_worker not in ("", worker.name)
