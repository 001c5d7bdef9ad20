"""A clock for groups of replicas that run in one process."""

import time

from galenahook import clock as clock_lib

MAX_STEP_MS = 5


class ProcessClock(clock_lib.Clock):
    """A monotonic clock that hardly advances while the process is stalled.

    Replicas that share a process also share its stalls, which would count
    against the timeout of each message between them. The time between two
    readings therefore counts as `MAX_STEP_MS` at most. A test must read the
    clock more often than that while the process is idle.
    """

    __slots__ = ("_last", "_now", "_read")

    def __init__(self) -> None:
        self._read = time.monotonic
        self._last = self._now = self._read()

    def monotonic(self) -> float:
        """Returns monotonic seconds, in place of `time.monotonic`."""
        last, self._last = self._last, self._read()
        step = min(self._last - last, clock_lib.seconds(MAX_STEP_MS))
        self._now += step
        return self._now

    def monotonic_ms(self) -> int:
        """Returns monotonic milliseconds."""
        return int(self.monotonic() * 1000)
