"""The configuration: the current sheet and the later changes of operators.

Each accepted change creates a new revision. Revisions only increase. A change
is accepted only if it is based on the current revision.
"""

from collections.abc import Iterator
import hashlib
import itertools

import msgspec

from galenahook import commands
from galenahook import configuration_changes as changes_lib
from galenahook import configuration_items as items_lib
from galenahook import messages

# Limits on the retained change records. Once either is exceeded, the oldest
# records are discarded.
MAX_CHANGE_RECORDS = 4_096
MAX_RETAINED_ITEMS = 40_000

# Items listed in the record of one change; further items are only counted.
MAX_ITEMS_PER_CHANGE = 1_000

_MAX_DESCRIBED_CHANGES = 5
_MAX_DESCRIBED_ITEMS = 3


ConfigurationRecord = items_lib.ConfigurationRecord


class ChangeRecord(messages.Message, frozen=True, kw_only=True, tag="change"):
    """An accepted change, retained to reply to resends and for the audit trail.

    Attributes:
      operator: Operator who made the change.
      number: The operator's number of the change.
      digest: SHA-256 of the change's content.
      result: Result returned to the first request.
      at_ms: Wall time of the change.
      kind: Kind of change, such as `put-job`.
      items: Each changed item with its values before and after.
      items_omitted: Number of further items that it changed.
    """

    operator: str
    number: int
    digest: str
    result: commands.ChangeAccepted
    at_ms: int
    kind: str
    items: tuple[items_lib.ItemChange, ...]
    items_omitted: int = 0


SnapshotRecord = ConfigurationRecord | ChangeRecord | items_lib.RowItem


class ConfigurationState:
    """Current configuration and the latest changes that led to it.

    Attributes:
      current: Current configuration.
      changes: Retained accepted changes by number, oldest first.
    """

    __slots__ = ("_retained_items", "changes", "current")

    def __init__(self) -> None:
        self.current = ConfigurationRecord()
        self.changes: dict[int, ChangeRecord] = {}
        self._retained_items = 0

    def change(
        self,
        command: commands.ChangeConfiguration,
        has_unfinished_work: changes_lib.HasUnfinishedWork = (
            changes_lib.no_job_started
        ),
    ) -> commands.ChangeResult:
        """Applies a change if its number is unused and its base is current.

        A rejected change is not recorded. A resend of a change that was
        rejected on an existing base revision is rejected again: either the
        configuration is still the same, or its base is outdated by then.

        Args:
          command: The change.
          has_unfinished_work: Returns whether a sheet job has started and not
            ended.
        """
        digest = digest_of(command.change)
        earlier = self.changes.get(command.number)
        if earlier is not None:
            return self._reply_to_used_number(command, digest, earlier)
        if command.base_revision != self.current.revision:
            return self._base_conflict(command)
        reason = changes_lib.rejection_reason(self.current, command.change)
        if reason:
            return commands.ChangeInvalid(
                revision=self.current.revision, reason=reason
            )
        return self._accept(command, digest, has_unfinished_work)

    def _reply_to_used_number(
        self,
        command: commands.ChangeConfiguration,
        digest: str,
        earlier: ChangeRecord,
    ) -> commands.ChangeResult:
        if earlier.operator == command.operator and earlier.digest == digest:
            return earlier.result
        return commands.ChangeConflict(
            revision=self.current.revision,
            reason=(
                f"change number {command.number} was used by"
                f" {earlier.operator} for another change, revision"
                f" {earlier.result.revision}"
            ),
        )

    def _base_conflict(
        self, command: commands.ChangeConfiguration
    ) -> commands.ChangeResult:
        revision = self.current.revision
        base = command.base_revision
        if base > revision:
            return commands.ChangeInvalid(
                revision=revision,
                reason=f"base revision {base} does not exist yet",
            )
        described = [
            _describe(record)
            for record in itertools.islice(
                self.changes_after(base), _MAX_DESCRIBED_CHANGES
            )
        ]
        omitted_count = revision - base - len(described)
        if omitted_count:
            described.append(f"{omitted_count} earlier changes")
        return commands.ChangeConflict(
            revision=revision,
            reason=(
                f"based on revision {base}, but {revision} is in force;"
                f" moved since: {'; '.join(described)}"
            ),
        )

    def changes_after(self, revision: int) -> Iterator[ChangeRecord]:
        """Yields the retained changes made after a revision, newest first."""
        return itertools.takewhile(
            lambda record: record.result.revision > revision,
            reversed(self.changes.values()),
        )

    def _accept(
        self,
        command: commands.ChangeConfiguration,
        digest: str,
        has_unfinished_work: changes_lib.HasUnfinishedWork,
    ) -> commands.ChangeAccepted:
        before = self.current
        result = commands.ChangeAccepted(revision=before.revision + 1)
        changed = changes_lib.apply_change(
            before, command.change, has_unfinished_work
        )
        self.current = msgspec.structs.replace(
            changed, revision=result.revision
        )
        items, omitted = _summarize(before, self.current, command.change)
        self._retain(
            ChangeRecord(
                operator=command.operator,
                number=command.number,
                digest=digest,
                result=result,
                at_ms=command.at_ms,
                kind=str(type(command.change).__struct_config__.tag),
                items=items,
                items_omitted=omitted,
            )
        )
        return result

    def _retain(self, record: ChangeRecord) -> None:
        self.changes[record.number] = record
        self._retained_items += len(record.items)
        while (
            len(self.changes) > MAX_CHANGE_RECORDS
            or self._retained_items > MAX_RETAINED_ITEMS
        ):
            oldest = self.changes.pop(next(iter(self.changes)))
            self._retained_items -= len(oldest.items)

    def snapshot_records(self) -> Iterator[SnapshotRecord]:
        """Returns every record of a consistent view of the current state.

        Each row is a separate record, so that no record is large.
        """
        current = self.current
        changes = list(self.changes.values())
        header = msgspec.structs.replace(
            current, services={}, jobs={}, quotas={}
        )
        return itertools.chain(
            (header,),
            (items_lib.ServiceItem(row=r) for r in current.services.values()),
            (items_lib.JobItem(row=r) for r in current.jobs.values()),
            (items_lib.QuotaItem(row=r) for r in current.quotas.values()),
            changes,
        )

    def restore_record(self, record: SnapshotRecord) -> None:
        """Adds one record of a snapshot to a state being restored."""
        match record:
            case ConfigurationRecord():
                # Rows are added in place, so the maps must not be shared.
                self.current = msgspec.structs.replace(
                    record,
                    services=dict(record.services),
                    jobs=dict(record.jobs),
                    quotas=dict(record.quotas),
                )
            case items_lib.ServiceItem(row=row):
                self.current.services[row.name] = row
            case items_lib.JobItem(row=row):
                self.current.jobs[row.name] = row
            case items_lib.QuotaItem(row=row):
                self.current.quotas[row.team] = row
            case ChangeRecord():
                self._retain(record)


def _summarize(
    before: ConfigurationRecord,
    after: ConfigurationRecord,
    change: commands.Change,
) -> tuple[tuple[items_lib.ItemChange, ...], int]:
    """Returns the first changed items and the number of further ones."""
    changed = changes_lib.changed_items(before, after, change)
    items = tuple(itertools.islice(changed, MAX_ITEMS_PER_CHANGE))
    if len(items) < MAX_ITEMS_PER_CHANGE:
        return items, 0
    return items, changes_lib.count_changed_items(before, after) - len(items)


def _describe(record: ChangeRecord) -> str:
    parts = [_describe_item(i) for i in record.items[:_MAX_DESCRIBED_ITEMS]]
    more = len(record.items) + record.items_omitted - len(parts)
    if more:
        parts.append(f"{more} more")
    summary = ", ".join(parts) or "nothing"
    return f"revision {record.result.revision} by {record.operator}: {summary}"


def _describe_item(change: items_lib.ItemChange) -> str:
    match change:
        case items_lib.ItemChange(after=items_lib.SettingItem(value=value)):
            return f"{change.item} {value}"
        case items_lib.ItemChange(before=items_lib.SettingItem(value=value)):
            return f"{change.item} no longer {value}"
    return change.item


def digest_of(change: commands.Change) -> str:
    """Returns the SHA-256 of a change's content."""
    return hashlib.sha256(messages.encode(change)).hexdigest()
