"""Claims of idempotency keys, so that a resent request runs at most once."""

from collections.abc import Iterator
import dataclasses

from galenahook import commands
from galenahook import messages


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


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """Keys claimed, oldest first."""

    records: dict[str, ClaimRecord] = dataclasses.field(default_factory=dict)

    def claim(self, command: commands.ClaimKeys) -> commands.KeysClaimed:
        """Releases keys, then claims each that is free.

        A claim that was applied before is granted again.
        """
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
        self.records[claim.key] = ClaimRecord(
            key=claim.key,
            token=claim.token,
            entry=command.entry,
            at_ms=command.at_ms,
        )
        return True

    def snapshot_records(self) -> Iterator[ClaimRecord]:
        """Returns every record of a consistent view taken now."""
        return iter(list(self.records.values()))

    def restore_record(self, record: ClaimRecord) -> None:
        """Adds one record of a snapshot."""
        self.records[record.key] = record
