"""Paces starts in an availability zone that came back into service.

Services come first; batch work follows a little later and a few tasks at a
time, so that the return does not hurt the tails there.
"""

from collections.abc import Iterable

from galenahook import clock as clock_lib

PACED_MS = 20_000
SERVICES_FIRST_MS = 1_000
STARTS_PER_ROUND = 4


class Refill:
    """Limits starts in availability zones that came back lately.

    Attributes:
      paced: Whether starts are limited at all.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.paced = True
        self._returned_ms: dict[str, int] = {}
        self._left: dict[str, int] = {}

    def note_returned(self, zones: Iterable[str]) -> None:
        """Takes in that availability zones are in service again."""
        now_ms = self.clock.monotonic_ms()
        self._returned_ms.update(dict.fromkeys(zones, now_ms))

    def begin_round(self) -> None:
        """Gives each returned availability zone its starts of a round."""
        now_ms = self.clock.monotonic_ms()
        self._returned_ms = {
            zone: at_ms
            for zone, at_ms in self._returned_ms.items()
            if now_ms - at_ms < PACED_MS
        }
        self._left = dict.fromkeys(self._returned_ms, STARTS_PER_ROUND)

    def allows(self, zone: str, is_service: bool) -> bool:
        """Returns whether one more start may go to an availability zone."""
        returned_ms = self._returned_ms.get(zone)
        if returned_ms is None or is_service or not self.paced:
            return True
        elapsed_ms = self.clock.monotonic_ms() - returned_ms
        return elapsed_ms >= SERVICES_FIRST_MS and self._left[zone] > 0

    def take(self, zone: str) -> None:
        """Counts a start that was decided."""
        if zone in self._left:
            self._left[zone] -= 1
