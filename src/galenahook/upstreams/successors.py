"""Incarnations of workers that would replace another one of their name.

An announcement may have been delayed until after a restart of its worker, and
nothing in it tells which of two incarnations is the later one. A process that
is up announces itself again when it is asked to.
"""

import dataclasses

from galenahook import clock as clock_lib
from galenahook import messages

# Further ones of a name are forgotten, the oldest first.
MAX_SUCCESSORS = 8


@dataclasses.dataclass(slots=True)
class Successor:
    """An incarnation that was asked to announce itself again.

    Attributes:
      sequence: Sequence number of its first announcement.
      announced_at_ms: When that announcement arrived.
    """

    sequence: int
    announced_at_ms: int


class Successors:
    """Incarnations that were asked to announce themselves again.

    Attributes:
      by_name: Those of each name, by incarnation.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.by_name: dict[str, dict[str, Successor]] = {}
        self._clock = clock

    def confirm(
        self, announcement: messages.WorkerAnnouncement, other_ms: int
    ) -> bool:
        """Returns whether an incarnation has shown that it is the latest.

        That is so from its second announcement on, made after the reply to the
        first, if the other one has announced nothing in between.

        Args:
          announcement: Its announcement; if the result is False, the reply has
            to ask for another one.
          other_ms: When the other incarnation last announced itself.
        """
        successors = self.by_name.setdefault(announcement.name, {})
        first = successors.get(announcement.incarnation)
        if first is not None and _is_later(announcement, first):
            if first.announced_at_ms >= other_ms:
                del self.by_name[announcement.name]
                return True
            del successors[announcement.incarnation]
        if len(successors) >= MAX_SUCCESSORS:
            del successors[next(iter(successors))]
        successors.setdefault(
            announcement.incarnation,
            Successor(announcement.sequence, self._clock.monotonic_ms()),
        )
        return False

    def clear(self) -> None:
        """Forgets all of them."""
        self.by_name.clear()

    def forget(self, name: str) -> None:
        """Forgets those of a worker that was removed."""
        self.by_name.pop(name, None)


def _is_later(
    announcement: messages.WorkerAnnouncement, first: Successor
) -> bool:
    """Returns whether it was made after the reply to a first announcement.

    A worker that does not quote replies may have made it before.
    """
    return announcement.sequence > first.sequence and (
        not announcement.answered or announcement.answered >= first.sequence
    )
