"""Paces starts in an availability zone that returned to service.

Services start first. Batch tasks follow after a delay, a few per round, so
that refilling the zone does not degrade the tail latency of services there.
"""

from collections.abc import Iterable

from galenahook import clock as clock_lib

# Starts are paced for this long after an availability zone returned.
PACING_DURATION_MS = 20_000
BATCH_START_DELAY_MS = 1_000
# Batch starts per availability zone and round.
BATCH_STARTS_PER_ROUND = 4


class Refill:
    """Limits starts in availability zones that returned recently.

    Attributes:
      paced: Whether starts are limited.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.paced = True
        self._returned_ms: dict[str, int] = {}
        self._remaining_starts: dict[str, int] = {}

    def note_returned(self, zones: Iterable[str]) -> None:
        """Records that availability zones returned to service."""
        now_ms = self.clock.monotonic_ms()
        self._returned_ms.update(dict.fromkeys(zones, now_ms))

    def begin_round(self) -> None:
        """Resets the number of starts allowed in each returned zone."""
        now_ms = self.clock.monotonic_ms()
        self._returned_ms = {
            zone: at_ms
            for zone, at_ms in self._returned_ms.items()
            if now_ms - at_ms < PACING_DURATION_MS
        }
        self._remaining_starts = dict.fromkeys(
            self._returned_ms, BATCH_STARTS_PER_ROUND
        )

    def allows(self, zone: str, is_service: bool) -> bool:
        """Returns whether one more start may go to an availability zone."""
        returned_ms = self._returned_ms.get(zone)
        if returned_ms is None or is_service or not self.paced:
            return True
        elapsed_ms = self.clock.monotonic_ms() - returned_ms
        return (
            elapsed_ms >= BATCH_START_DELAY_MS
            and self._remaining_starts[zone] > 0
        )

    def count_start(self, zone: str) -> None:
        """Counts a decided start against the limit of its zone."""
        if zone in self._remaining_starts:
            self._remaining_starts[zone] -= 1
