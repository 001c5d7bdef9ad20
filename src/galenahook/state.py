"""The replicated state that every replica builds by applying the log.

Records are immutable and replaced on change, so a shallow copy of the maps is
a consistent view, from which a snapshot can be written in small steps.
"""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import configuration_changes as changes_lib
from galenahook import messages
from galenahook.callers import claims as claims_lib
from galenahook.jobs import site as site_lib
from galenahook.jobs import table as job_table
from galenahook.jobs import tasks as job_tasks
from galenahook.scheduling import task_table
from galenahook.scheduling import tasks as tasks_lib

SnapshotRecord = (
    configuration_lib.SnapshotRecord
    | tasks_lib.TaskRecord
    | tasks_lib.RunTimeRecord
    | claims_lib.ClaimRecord
    | claims_lib.ClaimTimesRecord
    | job_tasks.SnapshotRecord
    | site_lib.SiteRecord
    | commands.StoreHeadroomModel
)


class State:
    """The whole replicated state.

    Attributes:
      configuration: Sheet, availability zones, drains and change numbers.
      tasks: Tasks of services and sheet jobs, with their current attempts.
      claims: Idempotency keys claimed.
      jobs: Jobs that callers submitted.
      site: Queues and worker pools of these jobs.
      headroom_model: Tail-latency estimates that the last leader learned.
    """

    __slots__ = (
        "claims",
        "configuration",
        "jobs",
        "headroom_model",
        "site",
        "tasks",
    )

    def __init__(self) -> None:
        self.configuration = configuration_lib.ConfigurationState()
        self.tasks = task_table.TaskTable()
        self.claims = claims_lib.ClaimTable()
        self.jobs = job_table.JobTable()
        self.site = site_lib.SiteState()
        self.headroom_model = commands.StoreHeadroomModel()

    def apply(self, command: commands.Command) -> commands.Result:
        """Applies one committed command and returns its result."""
        match command:
            case commands.ChangeConfiguration():
                return self._change_configuration(command)
            case commands.StartAttempts():
                return self.tasks.start(command)
            case commands.EndAttempts():
                return self.tasks.end(command, self.configuration.current)
            case commands.RecordCheckpoints():
                return self.tasks.record_checkpoints(command)
            case commands.EvictAttempts():
                return self.tasks.evict(command)
            case commands.ClaimKeys():
                return self.claims.claim(command)
            case _:
                return self._apply_to_job_site(command)

    def _apply_to_job_site(self, command: commands.Command) -> commands.Result:
        match command:
            case commands.SubmitJob():
                return self.jobs.submit(command)
            case commands.CancelJob():
                return self.jobs.cancel(command)
            case commands.RecordRuns():
                return self.jobs.record(command)
            case commands.PutSite():
                return self.site.put(command)
            case commands.SetZoneService():
                return self.site.set_zone_service(command)
            case commands.StoreHeadroomModel():
                self.headroom_model = command
                return commands.Done()
            case _:
                return commands.Done()

    def _change_configuration(
        self, command: commands.ChangeConfiguration
    ) -> commands.Result:
        before = self.configuration.current
        result = self.configuration.change(command, self.has_unfinished_work)
        if self.configuration.current is not before:
            self.tasks.follow(
                self.configuration.current,
                command.at_ms,
                changes_lib.affected_owners(command.change),
            )
        return result

    def has_unfinished_work(self, job: str) -> bool:
        """Returns whether a sheet job has started and has unended tasks.

        Such a job must continue, even if a new sheet omits it.
        """
        row = self.configuration.current.jobs.get(job)
        if row is None:
            return False
        records = [
            record
            for index in range(row.tasks)
            if (record := self.tasks.records.get(f"job/{job}/{index}"))
        ]
        return any(record.attempt for record in records) and any(
            record.phase not in tasks_lib.ENDED_PHASES for record in records
        )

    def snapshot_records(self) -> Iterator[SnapshotRecord]:
        """Returns the records of a consistent view of the current state.

        The iterator may be consumed slowly while further commands are applied.
        """
        parts = (
            self.configuration.snapshot_records(),
            self.tasks.snapshot_records(),
            self.claims.snapshot_records(),
            self.site.snapshot_records(),
            self.jobs.snapshot_records(),
            (self.headroom_model,) if self.headroom_model.at_ms else (),
        )
        return (record for part in parts for record in part)

    def restore(self, records: Iterable[SnapshotRecord]) -> None:
        """Replaces the whole state with the records of a snapshot."""
        self.__init__()  # type: ignore[misc]
        for record in records:
            self.restore_record(record)

    def restore_record(self, record: SnapshotRecord) -> None:
        """Adds one record of a snapshot."""
        match record:
            case tasks_lib.TaskRecord() | tasks_lib.RunTimeRecord():
                self.tasks.restore_record(record)
            case claims_lib.ClaimRecord() | claims_lib.ClaimTimesRecord():
                self.claims.restore_record(record)
            case (
                job_tasks.JobRecord()
                | job_tasks.RunRecord()
                | job_tasks.CancellationRecord()
            ):
                self.jobs.restore_record(record)
            case site_lib.SiteRecord():
                self.site.restore_record(record)
            case commands.StoreHeadroomModel():
                self.headroom_model = record
            case _:
                self.configuration.restore_record(record)


def encode_record(record: SnapshotRecord) -> bytes:
    """Encodes one record of a snapshot."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> SnapshotRecord:
    """Decodes one record of a snapshot."""
    return messages.decode(data, SnapshotRecord)  # type: ignore[arg-type]
