"""The executor registry: bounds on when an announcement was made."""

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
        """Returns the time that the test set."""
        return self.now_ms


def first_accepted_ms(delay_ms: int, quotes_replies: bool) -> int | None:
    """Returns when the first accepted announcement was made.

    It is the first that `busy_slots_after` uses. All announcements and replies
    have the same delay.
    """
    clock = ManualClock()
    registry = executors.ExecutorRegistry(clock)
    for sequence in range(1, 60):
        made_ms = sequence * PERIOD_MS
        replied = (made_ms - 2 * delay_ms) // PERIOD_MS
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
                answered=max(0, replied) if quotes_replies else 0,
            )
        )
        if registry.busy_slots_after("x1", LEASE_END_MS) is not None:
            return made_ms
    return None


@pytest.mark.parametrize("delay_ms", [0, 100, 400, DELAY_MS])
def test_delayed_announcements_do_not_count_as_made_later(
    delay_ms: int,
) -> None:
    accepted_ms = first_accepted_ms(delay_ms, quotes_replies=True)
    assert accepted_ms is not None
    assert accepted_ms >= LEASE_END_MS


def test_executor_clock_is_used_without_quoted_replies() -> None:
    accepted_ms = first_accepted_ms(100, quotes_replies=False)
    assert accepted_ms is not None
    assert accepted_ms >= LEASE_END_MS
