"""Workers that fail or refuse what they are given, by comparison."""

import dataclasses

from galenahook.jobs import workers as workers_lib

# Failed runs in a row, without one done, that close a worker.
CLOSING_FAILURES = 2
# First time that a worker stays closed; doubles with each further failure.
FIRST_CLOSED_MS = 1_500
MAX_CLOSED_MS = 12_000
# Time that a worker stays closed after it refused a start.
REFUSED_CLOSED_MS = 300


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Closes workers that fail several runs in a row."""

    def note_end(
        self,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        outcome: str,
        now_ms: int,
    ) -> None:
        """Learns from the end of a run."""
        del run
        if outcome == "done":
            worker.failures = 0
        elif outcome == "failed":
            worker.failures += 1
            over = worker.failures - CLOSING_FAILURES
            if over >= 0:
                closed_ms = min(FIRST_CLOSED_MS << over, MAX_CLOSED_MS)
                worker.bad_until_ms = now_ms + closed_ms

    def note_refusal(self, worker: workers_lib.Worker, now_ms: int) -> None:
        """Learns from a start that was refused."""
        worker.bad_until_ms = max(
            worker.bad_until_ms, now_ms + REFUSED_CLOSED_MS
        )
