"""The leader's view of the entries: their leases and revisions."""

import dataclasses

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import messages


@dataclasses.dataclass(slots=True)
class EntryRecord:
    """Latest state of one entry that the leader knows.

    Attributes:
      name: Name of the entry.
      incarnation: Incarnation of its last update.
      sequence: Sequence number of its last update.
      availability_zone: Availability zone in which it runs.
      revision: Configuration revision that it followed at its last update.
      lease_end_ms: Monotonic time by which its lease has certainly expired.
      leaving: Whether it is draining.
    """

    name: str
    incarnation: str
    sequence: int
    availability_zone: str
    revision: int
    lease_end_ms: int
    leaving: bool


class EntryRegistry:
    """Entries that have sent updates to this leader.

    Attributes:
      records: Entries by name.
      earlier_leases_end_ms: Monotonic time until which an entry that has sent
        no update to this leader may hold a lease from an earlier leader.
    """

    def __init__(self, clock: clock_lib.Clock, lease_ms: int) -> None:
        self.records: dict[str, EntryRecord] = {}
        self._clock = clock
        self._lease_ms = lease_ms
        self.earlier_leases_end_ms = self._lease_end_ms()

    def renew(self, update: messages.EntryUpdate) -> None:
        """Records an update before the reply that grants a lease is sent."""
        self.records[update.entry] = EntryRecord(
            name=update.entry,
            incarnation=update.incarnation,
            sequence=update.sequence,
            availability_zone=update.availability_zone,
            revision=update.revision,
            lease_end_ms=self._lease_end_ms(),
            leaving=update.leaving,
        )

    def is_in_force_everywhere(self, revision: int) -> bool:
        """Returns whether no entry can still act on an earlier revision."""
        now_ms = self._clock.monotonic_ms()
        if now_ms < self.earlier_leases_end_ms:
            return False
        return all(
            record.revision >= revision or record.lease_end_ms <= now_ms
            for record in self.records.values()
        )

    def _lease_end_ms(self) -> int:
        margin_ms = self._lease_ms * defaults.CLOCK_RATE_MARGIN_PERCENT // 100
        return self._clock.monotonic_ms() + self._lease_ms + margin_ms + 1
