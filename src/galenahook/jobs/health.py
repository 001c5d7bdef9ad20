"""Excludes workers that fail runs or refuse starts from placement."""

import dataclasses

from galenahook.jobs import workers as workers_lib

# Consecutive failed runs that exclude a worker.
EXCLUSION_FAILURES = 2
# Time of the first exclusion; it doubles with each further failure.
FIRST_EXCLUSION_MS = 1_500
MAX_EXCLUSION_MS = 12_000
# Time of the exclusion after a refused start.
REFUSAL_EXCLUSION_MS = 300


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Excludes workers that fail several runs in a row."""

    def note_end(
        self,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        outcome: str,
        now_ms: int,
    ) -> None:
        """Updates the worker's failures after the end of a run."""
        del run
        if outcome == "done":
            worker.failures = 0
        elif outcome == "failed":
            worker.failures += 1
            excess = worker.failures - EXCLUSION_FAILURES
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
