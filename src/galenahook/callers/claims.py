"""Claims of idempotency keys, so that a resent request runs at most once.

Claims are kept for `RETENTION_MS`, and fewer than `MAX_RECORDS` of them. A key
in the form of a UUID of version 7 carries the time at which it was made: once
its claim may have been dropped, it is refused for good. A key of another form
is known only as long as its claim is kept.
"""

from collections.abc import Iterator
import dataclasses
import itertools
import uuid

from galenahook import commands
from galenahook import messages

RETENTION_MS = 3_600_000
MAX_RECORDS = 200_000
MAX_DROPPED = 1_000
CLOCK_SKEW_MS = 60_000

_UUID_VERSION_WITH_TIME = 7
_UUID_TIME_SHIFT = 80
_UUID_CHARACTERS = 36


class ClaimRecord(
    messages.Message, frozen=True, kw_only=True, tag="claim", gc=False
):
    """A key claimed.

    Attributes:
      key: `service:key`.
      token: Names the request that holds the key.
      entry: Entry that claimed it.
      at_ms: Wall time of the claim.
    """

    key: str
    token: str
    entry: str
    at_ms: int


class ClaimTimesRecord(
    messages.Message, frozen=True, kw_only=True, tag="claim-times"
):
    """Times of a claim table, by which every replica drops the same claims.

    Attributes:
      now_ms: Wall time of the last claim.
      dropped_ms: Claims up to this time may have been dropped.
    """

    now_ms: int
    dropped_ms: int


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """Keys claimed, oldest first.

    Attributes:
      records: Claims by key; their times never fall.
      now_ms: Wall time of the last claim, which never falls.
      dropped_ms: Claims up to this time may have been dropped.
    """

    records: dict[str, ClaimRecord] = dataclasses.field(default_factory=dict)
    now_ms: int = 0
    dropped_ms: int = 0

    def claim(self, command: commands.ClaimKeys) -> commands.KeysClaimed:
        """Releases keys, then claims each that is free.

        A claim that was applied before is granted again.
        """
        self.now_ms = max(self.now_ms, command.at_ms)
        self._drop_old()
        for released in command.released:
            self._release(released)
        granted = tuple(
            self._claim_one(command, claim) for claim in command.claims
        )
        return commands.KeysClaimed(granted=granted)

    def _release(self, released: messages.KeyClaim) -> None:
        record = self.records.get(released.key)
        if record is not None and record.token == released.token:
            del self.records[released.key]

    def _claim_one(
        self, command: commands.ClaimKeys, claim: messages.KeyClaim
    ) -> bool:
        record = self.records.get(claim.key)
        if record is not None:
            return record.token == claim.token
        if not self._is_in_time(claim.key):
            return False
        self.records[claim.key] = ClaimRecord(
            key=claim.key,
            token=claim.token,
            entry=command.entry,
            at_ms=self.now_ms,
        )
        return True

    def _drop_old(self) -> None:
        """Drops claims past the retention, and the oldest beyond the limit."""
        horizon_ms = self.now_ms - RETENTION_MS
        excess = len(self.records) - MAX_RECORDS
        dropped: list[ClaimRecord] = []
        for record in itertools.islice(self.records.values(), MAX_DROPPED):
            if record.at_ms > horizon_ms and len(dropped) >= excess:
                break
            dropped.append(record)
        for record in dropped:
            del self.records[record.key]
            self.dropped_ms = max(self.dropped_ms, record.at_ms)

    def _is_in_time(self, key: str) -> bool:
        """Whether a key's claim, had there been one, would still be kept."""
        made_ms = key_time_ms(key)
        if made_ms is None:
            return True
        if made_ms > self.now_ms + CLOCK_SKEW_MS:
            return False
        horizon_ms = max(self.dropped_ms, self.now_ms - RETENTION_MS)
        return made_ms > horizon_ms + CLOCK_SKEW_MS

    def snapshot_records(self) -> Iterator[ClaimRecord | ClaimTimesRecord]:
        """Returns every record of a consistent view taken now."""
        times = ClaimTimesRecord(now_ms=self.now_ms, dropped_ms=self.dropped_ms)
        records: list[ClaimRecord | ClaimTimesRecord]
        records = [times, *self.records.values()]
        return iter(records)

    def restore_record(self, record: ClaimRecord | ClaimTimesRecord) -> None:
        """Adds one record of a snapshot."""
        match record:
            case ClaimTimesRecord():
                self.now_ms = record.now_ms
                self.dropped_ms = record.dropped_ms
            case ClaimRecord():
                self.records[record.key] = record


def key_time_ms(key: str) -> int | None:
    """Returns when a `service:key` was made, if its form tells.

    Returns:
      Milliseconds since the Unix epoch, or None if it is no UUID of version 7.
    """
    text = key.partition(":")[2]
    if len(text) != _UUID_CHARACTERS:
        return None
    try:
        identifier = uuid.UUID(text)
    except ValueError:
        return None
    if identifier.version != _UUID_VERSION_WITH_TIME:
        return None
    return identifier.int >> _UUID_TIME_SHIFT
