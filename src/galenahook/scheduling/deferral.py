"""Batch tasks that wait for a placement that keeps tail targets."""

from collections.abc import Container

from galenahook.scheduling import batch_order

# Limit for jobs without a deadline.
MAX_DEFERRED_MS = 60_000
# Jobs with a deadline wait until this long before their latest start time.
MARGIN_MS = 500


class Deferral:
    """Decides how long tasks may wait.

    Attributes:
      since_ms: Wall time when each owner without a deadline began to wait.
    """

    def __init__(self) -> None:
        self.since_ms: dict[str, int] = {}

    def begin_round(self, waiting: Container[str]) -> None:
        """Discards owners that no longer wait."""
        self.since_ms = {
            owner: at_ms
            for owner, at_ms in self.since_ms.items()
            if owner in waiting
        }

    def may_wait(self, turn: batch_order.Turn, now_ms: int) -> bool:
        """Returns whether an owner's tasks may wait longer."""
        match turn.rank:
            case batch_order.Rank.SERVICE | batch_order.Rank.URGENT:
                return False
            case batch_order.Rank.NO_DEADLINE:
                first_ms = self.since_ms.setdefault(turn.owner, now_ms)
                return now_ms - first_ms < MAX_DEFERRED_MS
            case _:
                return now_ms < turn.latest_start_ms - MARGIN_MS
