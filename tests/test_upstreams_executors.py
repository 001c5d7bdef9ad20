"""The registry of executors: when an announcement was made."""

import pytest

from galenahook import clock as clock_lib
from galenahook import messages
from galenahook.upstreams import executors

DELAY_MS = 2_000
PERIOD_MS = 500
LEASE_END_MS = 10_000


class ManualClock(clock_lib.Clock):
    """A clock that tests set."""

    __slots__ = ("now_ms",)

    def __init__(self) -> None:
        self.now_ms = 0

    def monotonic_ms(self) -> int:
        """Returns the time that tests set."""
        return self.now_ms


def first_proof_ms(delay_ms: int, quotes_answers: bool) -> int | None:
    """Returns when the announcement was made that first counts as later.

    Announcements and answers take the same delay each time.
    """
    clock = ManualClock()
    registry = executors.ExecutorRegistry(clock)
    for sequence in range(1, 60):
        made_ms = sequence * PERIOD_MS
        answered = (made_ms - 2 * delay_ms) // PERIOD_MS
        clock.now_ms = made_ms + delay_ms
        registry.announce(
            messages.ExecutorAnnouncement(
                name="x1",
                incarnation="i1",
                sequence=sequence,
                sent_at_ms=made_ms,
                address="127.0.0.1:9",
                availability_zone="a",
                service="holds",
                answered=max(0, answered) if quotes_answers else 0,
            )
        )
        if registry.busy_since("x1", LEASE_END_MS) is not None:
            return made_ms
    return None


@pytest.mark.parametrize("delay_ms", [0, 100, 400, DELAY_MS])
def test_late_announcements_are_not_taken_for_later_ones(
    delay_ms: int,
) -> None:
    proof_ms = first_proof_ms(delay_ms, quotes_answers=True)
    assert proof_ms is not None
    assert proof_ms >= LEASE_END_MS


def test_executor_without_quoted_answers_is_judged_by_its_clock() -> None:
    proof_ms = first_proof_ms(100, quotes_answers=False)
    assert proof_ms is not None
    assert proof_ms >= LEASE_END_MS
