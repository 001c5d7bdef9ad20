"""Defers batch tasks while a placement would exceed a tail target."""

from collections.abc import Container

from galenahook.scheduling import batch_order

# Limit for jobs without a deadline.
MAX_DEFERRED_MS = 60_000
# Jobs with a deadline wait until this long before their latest start time.
LATEST_START_MARGIN_MS = 500


class Deferral:
    """Decides how long tasks may wait.

    Attributes:
      waiting_since_ms: Wall time when each owner without a deadline began
        to wait.
    """

    def __init__(self) -> None:
        self.waiting_since_ms: dict[str, int] = {}

    def begin_round(self, waiting: Container[str]) -> None:
        """Discards owners that no longer wait."""
        self.waiting_since_ms = {
            owner: at_ms
            for owner, at_ms in self.waiting_since_ms.items()
            if owner in waiting
        }

    def may_wait(
        self, position: batch_order.QueuePosition, now_ms: int
    ) -> bool:
        """Returns whether an owner's tasks may wait longer."""
        match position.rank:
            case batch_order.Rank.SERVICE | batch_order.Rank.URGENT:
                return False
            case batch_order.Rank.NO_DEADLINE:
                first_ms = self.waiting_since_ms.setdefault(
                    position.owner, now_ms
                )
                return now_ms - first_ms < MAX_DEFERRED_MS
            case _:
                return (
                    now_ms < position.latest_start_ms - LATEST_START_MARGIN_MS
                )
