"""Tracks whether the current revision is in force everywhere."""

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import leader as leader_lib
from galenahook import settings as settings_lib
from galenahook.operators import wire


class RevisionTracker:
    """Tracks the last revision that this leader accepted.

    A revision is in force once no entry can act on an earlier one, and no
    worker can still accept a start order that was sent before it.

    Attributes:
      leader: The leader's state in this term.
    """

    def __init__(
        self,
        leader: leader_lib.Leader,
        timing: settings_lib.Timing,
        clock: clock_lib.Clock,
    ) -> None:
        self.leader = leader
        self._clock = clock
        margin_ms = timing.start_ttl_ms * defaults.CLOCK_RATE_MARGIN_PERCENT
        self._start_lifetime_ms = timing.start_ttl_ms + margin_ms // 100 + 1
        # An earlier leader's revision counts as accepted at this leader's
        # election, since start orders sent before may still be valid.
        self._revision = leader.node.state.configuration.current.revision
        self._accepted_ms = clock.monotonic_ms()

    def record_accepted(self, revision: int) -> None:
        """Records that a revision was accepted now."""
        if revision > self._revision:
            self._revision = revision
            self._accepted_ms = self._clock.monotonic_ms()

    def revision(self) -> wire.RevisionReply:
        """Returns the current revision and whether it is in force."""
        revision = self.leader.node.state.configuration.current.revision
        self.record_accepted(revision)
        behind = self._entries_behind(revision)
        starts_expired_ms = self._accepted_ms + self._start_lifetime_ms
        in_force = (
            self.leader.entries.is_in_force_everywhere(revision)
            and self._clock.monotonic_ms() >= starts_expired_ms
        )
        return wire.RevisionReply(
            revision=revision, in_force=in_force, behind=behind
        )

    def _entries_behind(self, revision: int) -> tuple[str, ...]:
        now_ms = self._clock.monotonic_ms()
        return tuple(
            sorted(
                record.name
                for record in self.leader.entries.records.values()
                if record.revision < revision and record.lease_end_ms > now_ms
            )
        )
