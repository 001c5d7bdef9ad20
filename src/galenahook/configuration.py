"""The configuration: the day's sheet and what operators changed since.

Each accepted change makes a new revision. Revisions only rise.
"""

from collections.abc import Iterator
import dataclasses
import hashlib

import msgspec

from galenahook import commands
from galenahook import messages


class ConfigurationRecord(
    messages.Message, frozen=True, kw_only=True, tag="configuration"
):
    """One revision of the configuration.

    Attributes:
      revision: Number of the last accepted change, 0 before the first.
      services: Services by name.
      jobs: Jobs by name.
      quotas: Quotas by team.
      objective: `tail` or `throughput`.
      availability_zones_out: Availability zones out of service.
      drained: Upstreams that get no new work.
      cancelled: Jobs that an operator cancelled.
    """

    revision: int = 0
    services: dict[str, commands.ServiceRow] = {}
    jobs: dict[str, commands.JobRow] = {}
    quotas: dict[str, commands.TeamQuota] = {}
    objective: str = "tail"
    availability_zones_out: frozenset[str] = frozenset()
    drained: frozenset[str] = frozenset()
    cancelled: frozenset[str] = frozenset()


class ChangeRecord(messages.Message, frozen=True, kw_only=True, tag="change"):
    """What became of a change, kept to answer a resend.

    Attributes:
      operator: Who changed.
      number: The operator's number of the change.
      digest: SHA-256 of the change's content.
      result: First answer.
      at_ms: Wall time of the change.
      change: What was changed.
    """

    operator: str
    number: int
    digest: str
    result: commands.ChangeResult
    at_ms: int
    change: commands.Change


@dataclasses.dataclass(slots=True)
class ConfigurationState:
    """Current configuration and the changes that led to it."""

    current: ConfigurationRecord = dataclasses.field(
        default_factory=ConfigurationRecord
    )
    changes: dict[int, ChangeRecord] = dataclasses.field(default_factory=dict)

    def change(
        self, command: commands.ChangeConfiguration
    ) -> commands.ChangeResult:
        """Applies a change if its number is free and its base is current."""
        digest = digest_of(command.change)
        earlier = self.changes.get(command.number)
        if earlier is not None:
            return self._answer_again(command, digest, earlier)
        result = self._apply_on_base(command)
        if isinstance(result, commands.ChangeAccepted):
            self.changes[command.number] = ChangeRecord(
                operator=command.operator,
                number=command.number,
                digest=digest,
                result=result,
                at_ms=command.at_ms,
                change=command.change,
            )
        return result

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
                f" {earlier.operator} for another change"
            ),
        )

    def _apply_on_base(
        self, command: commands.ChangeConfiguration
    ) -> commands.ChangeResult:
        revision = self.current.revision
        if command.base_revision != revision:
            return commands.ChangeConflict(
                revision=revision,
                reason=(
                    f"based on revision {command.base_revision}, but"
                    f" {revision} is in force"
                ),
            )
        changed = apply_change(self.current, command.change)
        self.current = msgspec.structs.replace(changed, revision=revision + 1)
        return commands.ChangeAccepted(revision=revision + 1)

    def snapshot_records(self) -> Iterator[ConfigurationRecord | ChangeRecord]:
        """Returns every record of a consistent view taken now."""
        records: list[ConfigurationRecord | ChangeRecord]
        records = [self.current, *self.changes.values()]
        return iter(records)

    def restore_record(
        self, record: ConfigurationRecord | ChangeRecord
    ) -> None:
        """Adds one record of a snapshot."""
        match record:
            case ConfigurationRecord():
                self.current = record
            case ChangeRecord():
                self.changes[record.number] = record


def apply_change(
    current: ConfigurationRecord, change: commands.Change
) -> ConfigurationRecord:
    """Returns the configuration after a change, with the revision unchanged."""
    replace = msgspec.structs.replace
    match change:
        case commands.ApplySheet(sheet=sheet):
            return replace(
                current,
                services={row.name: row for row in sheet.services},
                jobs={row.name: row for row in sheet.jobs},
                quotas={row.team: row for row in sheet.quotas},
                objective=sheet.objective,
                cancelled=frozenset(),
            )
        case commands.PutService(service=row):
            return replace(
                current, services={**current.services, row.name: row}
            )
        case commands.RemoveService(name=name):
            services = dict(current.services)
            services.pop(name, None)
            return replace(current, services=services)
        case commands.PutJob(job=row):
            return replace(
                current,
                jobs={**current.jobs, row.name: row},
                cancelled=current.cancelled - {row.name},
            )
        case commands.CancelJobs(names=names):
            return replace(current, cancelled=current.cancelled | set(names))
        case commands.AvailabilityZoneOut(availability_zone=name):
            out = current.availability_zones_out | {name}
            return replace(current, availability_zones_out=out)
        case commands.AvailabilityZoneIn(availability_zone=name):
            out = current.availability_zones_out - {name}
            return replace(current, availability_zones_out=out)
        case commands.DrainUpstream(name=name):
            return replace(current, drained=current.drained | {name})
        case commands.UndrainUpstream(name=name):
            return replace(current, drained=current.drained - {name})


def digest_of(change: commands.Change) -> str:
    """Returns the SHA-256 of a change's content."""
    return hashlib.sha256(messages.encode(change)).hexdigest()
