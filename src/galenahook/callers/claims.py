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
      entry: Entry that claimed it.
      at_ms: Wall time of the claim.
    """

    key: str
    entry: str
    at_ms: int


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """Keys claimed, oldest first."""

    records: dict[str, ClaimRecord] = dataclasses.field(default_factory=dict)

    def claim(self, command: commands.ClaimKeys) -> commands.KeysClaimed:
        """Claims each key that is free."""
        granted = tuple(self._claim_one(command, key) for key in command.keys)
        return commands.KeysClaimed(granted=granted)

    def _claim_one(self, command: commands.ClaimKeys, key: str) -> bool:
        if key in self.records:
            return False
        self.records[key] = ClaimRecord(
            key=key, entry=command.entry, at_ms=command.at_ms
        )
        return True

    def snapshot_records(self) -> Iterator[ClaimRecord]:
        """Returns every record of a consistent view taken now."""
        return iter(list(self.records.values()))

    def restore_record(self, record: ClaimRecord) -> None:
        """Adds one record of a snapshot."""
        self.records[record.key] = record
