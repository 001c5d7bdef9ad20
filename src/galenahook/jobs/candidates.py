"""Workers that have announced themselves and are not established yet.

Anybody can send an announcement, and a delayed one may be of a worker that has
ended. So an announcement changes nothing by itself: once its service is known,
the process at its address is asked, on a link of its own, which incarnation it
is. Its reply establishes the worker, unless another one is established under
its identifier or on its VM and may still be up.
"""

import dataclasses

from galenahook.jobs import calls
from galenahook.jobs import link as link_lib
from galenahook.jobs import workers as workers_lib

# Time after its last announcement for which a candidate is asked.
RETENTION_MS = 60_000
# More than the workers of the largest site that is planned for.
MAX_CANDIDATES = 10_000


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that has announced itself.

    Attributes:
      link: Link to it, through which it is sent neither a lease nor orders.
      announced_ms: When its last announcement arrived.
      is_asked: Whether a task asks its process which incarnation it is.
    """

    link: link_lib.Link
    announced_ms: int
    is_asked: bool = False


class Candidates:
    """Candidates of a term, bounded in number and time.

    Attributes:
      by_identity: The candidates, the last announced one at the end. Different
        announcements under one identifier are different candidates.
    """

    __slots__ = ("by_identity",)

    def __init__(self) -> None:
        self.by_identity: dict[calls.WorkerIdentity, Candidate] = {}

    def record(
        self, heartbeat: calls.WorkerHeartbeat, now_ms: int
    ) -> Candidate | None:
        """Records the announcement of a known candidate, if it is one."""
        candidate = self.by_identity.pop(heartbeat.identity, None)
        if candidate is None:
            return None
        self.by_identity[heartbeat.identity] = candidate
        candidate.announced_ms = now_ms
        worker = candidate.link.worker
        if heartbeat.sequence > worker.heartbeat.sequence:
            worker.heartbeat = heartbeat
        return candidate

    def add(self, link: link_lib.Link, now_ms: int) -> Candidate:
        """Adds a candidate; drops the longest silent one if there are many."""
        if len(self.by_identity) >= MAX_CANDIDATES:
            self.drop(next(iter(self.by_identity.values())))
        candidate = Candidate(link, now_ms)
        self.by_identity[link.worker.heartbeat.identity] = candidate
        return candidate

    def unasked(self) -> list[Candidate]:
        """Returns the candidates that no task asks yet."""
        return [
            candidate
            for candidate in self.by_identity.values()
            if not candidate.is_asked
        ]

    def drop(self, candidate: Candidate) -> None:
        """Ends a candidate; its next announcement adds it again."""
        candidate.link.ended = True
        self.remove(candidate)

    def remove(self, candidate: Candidate) -> None:
        """Removes a candidate that was established."""
        identity = candidate.link.worker.heartbeat.identity
        if self.by_identity.get(identity) is candidate:
            del self.by_identity[identity]

    def drop_silent(self, now_ms: int) -> None:
        """Drops the candidates that have not announced themselves for long."""
        for candidate in list(self.by_identity.values()):
            if now_ms - candidate.announced_ms <= RETENTION_MS:
                break
            self.drop(candidate)


def proves_end(
    candidate: workers_lib.Worker,
    rival: workers_lib.Worker,
    asked_ms: int,
    now_ms: int,
) -> bool:
    """Returns whether a candidate that replied shows that its rival has ended.

    Args:
      candidate: A candidate that has just replied under its identifier, as the
        incarnation that was announced.
      rival: An established worker of its identifier or on its VM.
      asked_ms: When the candidate was asked.
      now_ms: The time.
    """
    if asked_ms < rival.last_reply_ms:
        return False
    if candidate.heartbeat.address == rival.heartbeat.address:
        # One process listens there at a time.
        return True
    if not rival.is_unresponsive:
        return False
    if candidate.heartbeat.born_ms > rival.heartbeat.born_ms:
        return True
    return not rival.runs and rival.is_lease_expired(now_ms)
