"""Routes and messages of the operators' interface.

`docs/INTERFACES.md` describes the routes; `commands` defines the changes.
"""

from galenahook import audit
from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import messages

CHANGES_TARGET = "/v1/changes"
SHEET_CHECK_TARGET = "/v1/sheet/check"
SHEET_DIFF_TARGET = "/v1/sheet/diff"
STATUS_TARGET = "/v1/status"
EXPLAIN_TARGET = "/v1/explain"
AUDIT_TARGET = "/v1/audit"
REVISION_TARGET = "/v1/revision"
JOBS_TARGET = "/v1/jobs"
REPLICAS_TARGET = "/v1/replicas"

# The entry puts this prefix before an operator's route when it relays.
LEADER_PREFIX = "/v1/operators"

OPERATOR_HEADER = b"x-galenahook-operator"
REQUEST_HEADER = b"x-galenahook-request"


class OperatorChange(messages.Message, frozen=True, kw_only=True):
    """A change that an operator requests.

    Attributes:
      number: Number that the operator gave the change; a resend repeats it.
      base_revision: Revision that the change is based on.
      change: The change.
    """

    number: int
    base_revision: int
    change: commands.Change


class RevisionReply(messages.Message, frozen=True, kw_only=True):
    """The configuration's revision.

    Attributes:
      revision: Last accepted revision, on which a change can be based.
      in_force: Whether no process can still act on an earlier one.
      behind: Entries that hold a lease on an earlier revision.
    """

    revision: int
    in_force: bool
    behind: tuple[str, ...] = ()


class SheetFindings(messages.Message, frozen=True, kw_only=True):
    """Faults that a check of a sheet found; none if it may be applied."""

    findings: tuple[findings_lib.Finding, ...] = ()


class RowDifference(messages.Message, frozen=True, kw_only=True):
    """One row that a sheet would change.

    Attributes:
      row: `service NAME`, `job NAME`, `quota TEAM` or `objective`.
      action: `add`, `change`, `remove`, `finish` for a started job that the
        sheet no longer lists, or `stays cancelled` for a listed job.
      fields: Fields that change, each as `name: before -> after`.
    """

    row: str
    action: str
    fields: tuple[str, ...] = ()


class SheetDifference(messages.Message, frozen=True, kw_only=True):
    """What applying a sheet on a revision would change."""

    revision: int
    rows: tuple[RowDifference, ...] = ()


class AuditReply(messages.Message, frozen=True, kw_only=True):
    """Accepted changes of a range of revisions, oldest first.

    Attributes:
      records: At most a thousand.
      next_revision: First revision of the next request; 0 if the range is
        complete.
    """

    records: tuple[audit.AuditLine, ...]
    next_revision: int = 0


class ReplicaLine(messages.Message, frozen=True, kw_only=True):
    """One replica of the group.

    Attributes:
      name: Name of the replica.
      address: Address of its `peers` listener.
      voter: False for a learner.
      silent_ms: Age of its last reply to the leader; -1 for none.
      behind: Log entries that it has not synced yet.
    """

    name: str
    address: str
    voter: bool
    silent_ms: int
    behind: int


class EntryStatus(messages.Message, frozen=True, kw_only=True):
    """One entry.

    Attributes:
      name: Name of the entry.
      availability_zone: Its availability zone.
      revision: Revision that it uses.
      leaving: Whether it is draining.
      behind: Whether it may still act on an earlier revision.
    """

    name: str
    availability_zone: str
    revision: int
    leaving: bool
    behind: bool


class AvailabilityZoneStatus(messages.Message, frozen=True, kw_only=True):
    """One availability zone.

    Attributes:
      name: Name of the availability zone.
      out: Whether operators took it out of service.
      workers: Number of workers there that have announced themselves.
      executors: Number of executors there that have announced themselves.
      service_tasks: Number of service instances placed on workers there.
      batch_tasks: Number of batch tasks placed on workers there.
    """

    name: str
    out: bool
    workers: int
    executors: int
    service_tasks: int
    batch_tasks: int


class ServiceStatus(messages.Message, frozen=True, kw_only=True):
    """One service.

    Attributes:
      name: Name of the service.
      instances: Number of requested instances.
      held: Number of instances placed on a worker.
      executors: Number of its executors that have announced themselves.
    """

    name: str
    instances: int
    held: int
    executors: int


class JobCounts(messages.Message, frozen=True, kw_only=True):
    """Jobs of the sheet, and their tasks by phase."""

    jobs: int
    tasks_pending: int
    tasks_held: int
    tasks_done: int
    tasks_failed: int
    tasks_cancelled: int


class StatusReply(messages.Message, frozen=True, kw_only=True):
    """The state of the site.

    Attributes:
      leader: Name of the leading replica.
      term: Its term.
      revision: Revision of the configuration.
      in_force: Whether no process can still act on an earlier one.
      objective: `tail` or `throughput`.
      replicas: Replicas of the group.
      entries: Entries that have sent an update in this term.
      availability_zones: Every availability zone known.
      services: Services of the sheet.
      jobs: Jobs of the sheet.
      workers: Number of workers that have announced themselves.
      executors: Number of executors that have announced themselves.
      leaving: Upstreams that are about to stop.
      silent: Workers without a recent announcement.
      drained: Upstreams that operators drained.
      quarantined: Workers that get no work because of repeated failures.
      in_doubt: Tasks that must not be repeated and may or may not have run;
        an operator has to decide on each.
      short: Problems, each as a line of text.
    """

    leader: str
    term: int
    revision: int
    in_force: bool
    objective: str
    replicas: tuple[ReplicaLine, ...]
    entries: tuple[EntryStatus, ...]
    availability_zones: tuple[AvailabilityZoneStatus, ...]
    services: tuple[ServiceStatus, ...]
    jobs: JobCounts
    workers: int
    executors: int
    leaving: tuple[str, ...]
    silent: tuple[str, ...]
    drained: tuple[str, ...]
    quarantined: tuple[str, ...]
    in_doubt: tuple[str, ...]
    short: tuple[str, ...]


class Explanation(messages.Message, frozen=True, kw_only=True):
    """Explains the state of a job, a service or a request.

    Attributes:
      subject: What is explained, such as `job NAME`.
      known: Whether the site knows it.
      lines: The explanation, as lines of text.
    """

    subject: str
    known: bool
    lines: tuple[str, ...] = ()


class JobStatus(messages.Message, frozen=True, kw_only=True):
    """One job of the sheet, and its tasks by phase."""

    name: str
    team: str
    priority: int
    deadline_ms: int
    cancelled: bool
    pending: int
    held: int
    done: int
    failed: int


class JobsReply(messages.Message, frozen=True, kw_only=True):
    """Every job of the sheet."""

    jobs: tuple[JobStatus, ...]


class AddReplica(messages.Message, frozen=True, kw_only=True, tag="add"):
    """Adds a replica with an empty data folder as a learner."""

    name: str
    address: str


class PromoteReplica(
    messages.Message, frozen=True, kw_only=True, tag="promote"
):
    """Promotes a learner that has caught up to a voter."""

    name: str


class RemoveReplica(messages.Message, frozen=True, kw_only=True, tag="remove"):
    """Removes a replica from the group."""

    name: str


ReplicaChange = AddReplica | PromoteReplica | RemoveReplica


class ReplicaMembers(messages.Message, frozen=True, kw_only=True):
    """Names of the group's members after a change."""

    voters: tuple[str, ...]
    learners: tuple[str, ...]
