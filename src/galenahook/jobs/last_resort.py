"""Starts batch tasks that serving tasks tolerate nowhere, one at a time.

Without it, a job whose image is harmful beside every serving task, or whose
effect is not known where headrooms are small, would never start. Its tasks are
throttled like any other, so that they use what headroom there is. While other
batch tasks find workers, such a job waits, as it would raise tail latencies.
"""

import collections

from galenahook import commands
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import headroom as headroom_lib

# How long a job with nothing running must have fit no worker, and how long if
# it was started so lately. A job that nothing runs of for 3 s counts as lost.
FIRST_DELAY_MS = 5_000
REPEATED_DELAY_MS = 500
# Time for which a job counts as started so lately.
RECENT_MS = 60_000
# Other batch tasks count as finding workers if as many as this share of the
# workers were placed in this time.
BUSY_SHARE = 1 / 8
BUSY_WINDOW_MS = 2_000
# Least time between two such starts, divided by the number of workers.
PERIOD_PER_WORKER_MS = 6_000


class LastResort:
    """Decides when a task is started where no serving task tolerates it."""

    __slots__ = ("_next_ms", "_placed_ms", "_started_ms")

    def __init__(self) -> None:
        # When other batch tasks were placed lately.
        self._placed_ms: collections.deque[int] = collections.deque()
        self._next_ms = 0
        # When each job was last started so.
        self._started_ms: dict[str, int] = {}

    def note_placed(self, now_ms: int) -> None:
        """Records that serving tasks tolerate another batch task."""
        self._placed_ms.append(now_ms)
        self._discard_old(now_ms)

    def _discard_old(self, now_ms: int) -> None:
        while self._placed_ms and self._placed_ms[0] < now_ms - BUSY_WINDOW_MS:
            self._placed_ms.popleft()

    def is_due(
        self, job: str, workers: int, waited_ms: int, now_ms: int
    ) -> bool:
        """Returns whether a task of a job that has waited is to be started."""
        self._discard_old(now_ms)
        if len(self._placed_ms) >= max(1.0, BUSY_SHARE * workers):
            return False
        started_ms = self._started_ms.get(job)
        is_repeated = started_ms is not None and now_ms - started_ms < RECENT_MS
        delay_ms = REPEATED_DELAY_MS if is_repeated else FIRST_DELAY_MS
        return waited_ms >= delay_ms and now_ms >= self._next_ms

    def note_start(self, job: str, workers: int, now_ms: int) -> None:
        """Records a start; delays the next one by the number of workers."""
        self._started_ms = {
            other: started_ms
            for other, started_ms in self._started_ms.items()
            if now_ms - started_ms < RECENT_MS
        }
        self._started_ms[job] = now_ms
        self._next_ms = now_ms + PERIOD_PER_WORKER_MS // max(1, workers)


def best_candidate(
    candidates: list[free_capacity_lib.FreeCapacity],
    model: headroom_lib.HeadroomModel,
    service: str,
    step: commands.StepDescription,
    step_id: headroom_lib.StepId,
) -> free_capacity_lib.FreeCapacity | None:
    """Returns the worker with room for a task that keeps the most headroom."""
    return max(
        (
            candidate
            for candidate in candidates
            if candidate.fits(step)
            and candidate.idle_cpu_millis >= step.cpu_millis
            and not candidate.has_suspect_start
            and candidate.is_allowed(service, step, step_id)
        ),
        key=lambda candidate: candidate.headroom_beside(model, step),
        default=None,
    )
