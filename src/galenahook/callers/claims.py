"""Claims of idempotency keys, so that a resent request runs at most once.

Claims are retained for `RETENTION_MS`, but at most about `MAX_RECORDS` of them.
A key that is a UUID of version 7 contains its creation time: once its claim may
have been dropped, the key is always refused. Any other key is recognized only
as long as its claim is retained.
"""

from collections.abc import Iterator
import dataclasses
import itertools
import uuid

from galenahook import commands
from galenahook import messages

RETENTION_MS = 3_600_000
MAX_RECORDS = 200_000
# Bounds the work of one command.
MAX_DROPPED_PER_COMMAND = 1_000
# Tolerated difference between a caller's clock and the wall time of claims.
CLOCK_SKEW_MS = 60_000

_UUID_VERSION_WITH_TIME = 7
_UUID_TIME_SHIFT = 80
_UUID_CHARACTERS = 36


class ClaimRecord(
    messages.Message, frozen=True, kw_only=True, tag="claim", gc=False
):
    """The claim of a key.

    Attributes:
      key: `service:key`.
      token: Identifies the request that holds the key.
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
    """Times of a claim table, so that every replica drops the same claims.

    Attributes:
      now_ms: Wall time of the last claim.
      dropped_ms: Claims up to this time may have been dropped.
    """

    now_ms: int
    dropped_ms: int


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """Claimed keys, oldest first.

    Attributes:
      records: Claims by key, in nondecreasing order of their times.
      now_ms: Wall time of the last claim; never decreases.
      dropped_ms: Claims up to this time may have been dropped.
    """

    records: dict[str, ClaimRecord] = dataclasses.field(default_factory=dict)
    now_ms: int = 0
    dropped_ms: int = 0

    def claim(self, command: commands.ClaimKeys) -> commands.KeysClaimed:
        """Releases keys, then claims each that is free.

        A claim that the same request already holds is granted again.
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
        if not self._is_within_retention(claim.key):
            return False
        self.records[claim.key] = ClaimRecord(
            key=claim.key,
            token=claim.token,
            entry=command.entry,
            at_ms=self.now_ms,
        )
        return True

    def _drop_old(self) -> None:
        """Drops expired claims, and the oldest ones above the limit."""
        oldest_ms = self.now_ms - RETENTION_MS
        excess = len(self.records) - MAX_RECORDS
        dropped: list[ClaimRecord] = []
        for record in itertools.islice(
            self.records.values(), MAX_DROPPED_PER_COMMAND
        ):
            if record.at_ms > oldest_ms and len(dropped) >= excess:
                break
            dropped.append(record)
        for record in dropped:
            del self.records[record.key]
            self.dropped_ms = max(self.dropped_ms, record.at_ms)

    def _is_within_retention(self, key: str) -> bool:
        """Returns whether a claim of the key could not have been dropped.

        True for keys without a creation time; false for keys that are created
        more than `CLOCK_SKEW_MS` in the future.
        """
        created_ms = key_time_ms(key)
        if created_ms is None:
            return True
        if created_ms > self.now_ms + CLOCK_SKEW_MS:
            return False
        oldest_ms = max(self.dropped_ms, self.now_ms - RETENTION_MS)
        return created_ms > oldest_ms + CLOCK_SKEW_MS

    def snapshot_records(self) -> Iterator[ClaimRecord | ClaimTimesRecord]:
        """Returns the records of a consistent snapshot taken now."""
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
    """Returns the creation time that a `service:key` contains, if any.

    Returns:
      Milliseconds since the Unix epoch, or None if the key is not a UUID of
      version 7.
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
