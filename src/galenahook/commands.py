"""Commands: the entries of the replicated log.

Every replica applies the same commands in the same order, so applying one
depends on the command and the state alone, never on a clock or on chance.
"""

import msgspec

from galenahook import messages


class ServiceRow(messages.Message, frozen=True, kw_only=True):
    """A latency-critical service of the sheet.

    Attributes:
      name: Unique name.
      team: Owner, whose quota its instances count against.
      priority: 0 to 100, higher goes first.
      instances: Instances to run, spread over availability zones and racks.
      resources: Declared size of one instance.
      route: Path prefix of its requests.
      tail_target_ms: 99th percentile wanted.
      command: What an instance runs.
    """

    name: str
    team: str
    priority: int
    instances: int
    resources: messages.Resources
    route: str
    tail_target_ms: int
    command: str = ""


class JobRow(messages.Message, frozen=True, kw_only=True):
    """A batch job of the sheet.

    Attributes:
      name: Unique name.
      team: Owner, whose quota its tasks count against.
      priority: 0 to 100, higher goes first.
      job_class: Kind of work, by which run times and interference are learned.
      tasks: Number of tasks.
      resources: Declared size of one task.
      run_ms: Declared run time of one task.
      deadline_ms: Wall time by which all tasks must be done; 0 for none.
      earliest_ms: Wall time before which none starts; 0 for none.
      urgent: Starts before all other batch work.
      unbroken: Evicted only when nothing else helps.
      repeatable: Whether a lost attempt may be run again from its start.
      command: What a task runs.
    """

    name: str
    team: str
    priority: int
    job_class: str
    tasks: int
    resources: messages.Resources
    run_ms: int
    deadline_ms: int = 0
    earliest_ms: int = 0
    urgent: bool = False
    unbroken: bool = False
    repeatable: bool = True
    command: str = ""


class TeamQuota(messages.Message, frozen=True, kw_only=True):
    """Most that a team's tasks may reserve at once."""

    team: str
    resources: messages.Resources


class Sheet(messages.Message, frozen=True, kw_only=True):
    """The day's plan.

    Attributes:
      objective: `tail` or `throughput`; chooses the weights of decisions.
      availability_zones: Availability zones of the site; upstreams may stand
        in others too.
    """

    services: tuple[ServiceRow, ...] = ()
    jobs: tuple[JobRow, ...] = ()
    quotas: tuple[TeamQuota, ...] = ()
    objective: str = "tail"
    availability_zones: tuple[str, ...] = ()


# --- Changes of configuration ------------------------------------------------


class ApplySheet(
    messages.Message, frozen=True, kw_only=True, tag="apply-sheet"
):
    """Replaces the whole sheet.

    A job that is no longer listed goes on to its end if any of its work has
    begun, else it is withdrawn. Availability zones out, drains and
    cancellations stay.
    """

    sheet: Sheet


class PutService(
    messages.Message, frozen=True, kw_only=True, tag="put-service"
):
    """Adds or replaces one service."""

    service: ServiceRow


class RemoveService(
    messages.Message, frozen=True, kw_only=True, tag="remove-service"
):
    """Stops a service and removes it."""

    name: str


class PutJob(messages.Message, frozen=True, kw_only=True, tag="put-job"):
    """Adds a job, or changes one; tasks that ended stay ended."""

    job: JobRow


class CancelJobs(
    messages.Message, frozen=True, kw_only=True, tag="cancel-jobs"
):
    """Cancels jobs; naming a job that has ended or is unknown is no fault."""

    names: tuple[str, ...]


class AvailabilityZoneOut(
    messages.Message, frozen=True, kw_only=True, tag="availability-zone-out"
):
    """Takes an availability zone out of service."""

    availability_zone: str


class AvailabilityZoneIn(
    messages.Message, frozen=True, kw_only=True, tag="availability-zone-in"
):
    """Brings an availability zone back into service."""

    availability_zone: str


class DrainUpstream(
    messages.Message, frozen=True, kw_only=True, tag="drain-upstream"
):
    """Gives an upstream no new work and moves its tasks away."""

    name: str


class UndrainUpstream(
    messages.Message, frozen=True, kw_only=True, tag="undrain-upstream"
):
    """Lets a drained upstream take work again."""

    name: str


Change = (
    ApplySheet
    | PutService
    | RemoveService
    | PutJob
    | CancelJobs
    | AvailabilityZoneOut
    | AvailabilityZoneIn
    | DrainUpstream
    | UndrainUpstream
)


# --- Commands ----------------------------------------------------------------


class Noop(messages.Message, frozen=True, kw_only=True, tag="noop"):
    """First entry of a leader's term."""


class ChangeConfiguration(
    messages.Message, frozen=True, kw_only=True, tag="change-configuration"
):
    """A change by an operator.

    Attributes:
      operator: Who changes.
      number: The operator's own number of the change; a resend has the same.
      base_revision: Revision that the operator saw.
      at_ms: Wall time at which the leader took the change, for the audit.
      change: What changes.
    """

    operator: str
    number: int
    base_revision: int
    at_ms: int
    change: Change


class AttemptStart(messages.Message, frozen=True, kw_only=True):
    """One attempt to start.

    Attributes:
      task: Task identifier.
      attempt: One more than the task's last attempt.
      worker: Name of the worker.
      incarnation: Incarnation of the worker.
      reserved: The larger of the declared and the learned size.
    """

    task: str
    attempt: int
    worker: str
    incarnation: str
    reserved: messages.Resources


class StartAttempts(
    messages.Message, frozen=True, kw_only=True, tag="start-attempts"
):
    """Reserves workers and fences earlier attempts; no start is sent before."""

    starts: tuple[AttemptStart, ...]
    at_ms: int


class AttemptCompleted(
    messages.Message, frozen=True, kw_only=True, tag="completed"
):
    """The attempt's work is done."""

    run_ms: int


class AttemptFailed(messages.Message, frozen=True, kw_only=True, tag="failed"):
    """The attempt failed.

    Attributes:
      run_ms: How long it ran.
      reason: Why, for a person.
      on_worker: The worker is to blame; it does not count against the task.
    """

    run_ms: int
    reason: str
    on_worker: bool = False


class AttemptGone(messages.Message, frozen=True, kw_only=True, tag="gone"):
    """The attempt is proven not to run any more: evicted or lost.

    Attributes:
      reason: How it went, for a person.
      began: False if it is proven that it never ran.
      in_doubt: It may have run to its end with its report not heard.
    """

    reason: str
    began: bool = True
    in_doubt: bool = False


AttemptEndOutcome = AttemptCompleted | AttemptFailed | AttemptGone


class AttemptEnd(messages.Message, frozen=True, kw_only=True):
    """One attempt that ended."""

    task: str
    attempt: int
    outcome: AttemptEndOutcome


class EndAttempts(
    messages.Message, frozen=True, kw_only=True, tag="end-attempts"
):
    """Records ends of attempts; only current attempts can end."""

    ends: tuple[AttemptEnd, ...]
    at_ms: int


class CheckpointTaken(messages.Message, frozen=True, kw_only=True):
    """A finished checkpoint of an attempt."""

    task: str
    attempt: int
    reference: str


class RecordCheckpoints(
    messages.Message, frozen=True, kw_only=True, tag="record-checkpoints"
):
    """Records from where the next attempts resume, before any stop is sent."""

    checkpoints: tuple[CheckpointTaken, ...]


class EvictAttempts(
    messages.Message, frozen=True, kw_only=True, tag="evict-attempts"
):
    """Marks attempts as being evicted, with the reason."""

    attempts: tuple[messages.AttemptRef, ...]
    reason: str


class ClaimKeys(messages.Message, frozen=True, kw_only=True, tag="claim-keys"):
    """Claims idempotency keys for an entry, after releasing others."""

    entry: str
    claims: tuple[messages.KeyClaim, ...]
    released: tuple[messages.KeyClaim, ...] = ()
    at_ms: int


class ChangeMembers(
    messages.Message, frozen=True, kw_only=True, tag="change-members"
):
    """Changes the group of replicas by one member.

    Attributes:
      members: Voting replicas as `name=host:port#folder` after the change.
      learners: Replicas that receive the log without a vote.
    """

    members: tuple[str, ...]
    learners: tuple[str, ...] = ()


Command = (
    Noop
    | ChangeConfiguration
    | StartAttempts
    | EndAttempts
    | RecordCheckpoints
    | EvictAttempts
    | ClaimKeys
    | ChangeMembers
)


# --- Results of applying a command -------------------------------------------


class Done(messages.Message, frozen=True, kw_only=True, tag="done"):
    """The command was applied and has no result of its own."""


class ChangeAccepted(
    messages.Message, frozen=True, kw_only=True, tag="accepted"
):
    """The change is in force from this revision on."""

    revision: int


class ChangeConflict(
    messages.Message, frozen=True, kw_only=True, tag="conflict"
):
    """Nothing changed: the number was used, or the base revision is old.

    Attributes:
      revision: Current revision.
      reason: What moved since the base revision, for a person.
    """

    revision: int
    reason: str


class ChangeInvalid(messages.Message, frozen=True, kw_only=True, tag="invalid"):
    """Nothing changed: the change can't be applied to this configuration."""

    revision: int
    reason: str


ChangeResult = ChangeAccepted | ChangeConflict | ChangeInvalid


class KeysClaimed(
    messages.Message, frozen=True, kw_only=True, tag="keys-claimed"
):
    """For each claim in order, whether its request holds the key."""

    granted: tuple[bool, ...]


class AttemptsApplied(
    messages.Message, frozen=True, kw_only=True, tag="attempts-applied"
):
    """For each start or end in order, whether it took effect."""

    applied: tuple[bool, ...]


Result = (
    Done
    | ChangeAccepted
    | ChangeConflict
    | ChangeInvalid
    | KeysClaimed
    | AttemptsApplied
)


def encode_command(command: Command) -> bytes:
    """Encodes a command for the log."""
    return msgspec.json.encode(command)


def decode_command(data: bytes) -> Command:
    """Decodes a command of the log.

    Raises:
      errors.InvalidInputError: The data is no command.
    """
    return messages.decode(data, Command)  # type: ignore[arg-type]
