"""The configuration: the day's sheet and what operators changed since.

Each accepted change makes a new revision. Revisions only rise. A change is
accepted only on the revision that its operator saw.
"""

from collections.abc import Iterator
import hashlib
import itertools

import msgspec

from galenahook import commands
from galenahook import configuration_changes as changes_lib
from galenahook import configuration_items as items_lib
from galenahook import messages

# Retention of change records: the oldest go first once either is exceeded.
MAX_CHANGE_RECORDS = 4_096
MAX_RETAINED_ITEMS = 40_000

# Items of one change that its record lists; the rest are counted.
MAX_ITEMS_PER_CHANGE = 1_000

_MAX_CHANGES_NAMED = 5
_MAX_ITEMS_NAMED = 3


ConfigurationRecord = items_lib.ConfigurationRecord


class ChangeRecord(messages.Message, frozen=True, kw_only=True, tag="change"):
    """An accepted change, kept to answer a resend and for the audit trail.

    Attributes:
      operator: Who changed.
      number: The operator's number of the change.
      digest: SHA-256 of the change's content.
      result: First answer.
      at_ms: Wall time of the change.
      kind: Kind of change, such as `put-job`.
      items: What it did to each item.
      items_omitted: Further items that it changed.
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
    """Current configuration and the changes that led to it.

    Attributes:
      current: Current configuration.
      changes: Accepted changes by number, oldest first.
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
            changes_lib.nothing_started
        ),
    ) -> commands.ChangeResult:
        """Applies a change if its number is free and its base is current.

        A refusal leaves no trace. A resend of a refused change is refused
        again: either nothing has moved, or its base is old by then.

        Args:
          command: The change.
          has_unfinished_work: Whether a job has begun and not ended.
        """
        digest = digest_of(command.change)
        earlier = self.changes.get(command.number)
        if earlier is not None:
            return self._answer_again(command, digest, earlier)
        if command.base_revision != self.current.revision:
            return self._conflict_of_base(command)
        fault = changes_lib.find_fault(self.current, command.change)
        if fault:
            return commands.ChangeInvalid(
                revision=self.current.revision, reason=fault
            )
        return self._accept(command, digest, has_unfinished_work)

    def _answer_again(
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

    def _conflict_of_base(
        self, command: commands.ChangeConfiguration
    ) -> commands.ChangeResult:
        revision = self.current.revision
        base = command.base_revision
        if base > revision:
            return commands.ChangeInvalid(
                revision=revision,
                reason=f"base revision {base} does not exist yet",
            )
        moved = [
            _describe(record)
            for record in itertools.islice(
                self.changes_after(base), _MAX_CHANGES_NAMED
            )
        ]
        unnamed = revision - base - len(moved)
        if unnamed:
            moved.append(f"{unnamed} earlier changes")
        return commands.ChangeConflict(
            revision=revision,
            reason=(
                f"based on revision {base}, but {revision} is in force;"
                f" moved since: {'; '.join(moved)}"
            ),
        )

    def changes_after(self, revision: int) -> Iterator[ChangeRecord]:
        """Yields the retained changes after a revision, newest first."""
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
        """Returns every record of a consistent view taken now.

        Each row is a record of its own, so that none is large.
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
                # Rows are added in place, so the maps must be its own.
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
    """Returns the first items that changed, and how many more did."""
    changed = changes_lib.changed_items(before, after, change)
    items = tuple(itertools.islice(changed, MAX_ITEMS_PER_CHANGE))
    if len(items) < MAX_ITEMS_PER_CHANGE:
        return items, 0
    return items, changes_lib.count_changed_items(before, after) - len(items)


def _describe(record: ChangeRecord) -> str:
    named = [_describe_item(i) for i in record.items[:_MAX_ITEMS_NAMED]]
    more = len(record.items) + record.items_omitted - len(named)
    if more:
        named.append(f"{more} more")
    what = ", ".join(named) or "nothing"
    return f"revision {record.result.revision} by {record.operator}: {what}"


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
