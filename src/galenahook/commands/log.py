"""Commands of the replicated log, and their encoding."""

import msgspec

from galenahook import messages
from galenahook.commands import changes
from galenahook.commands import jobs


class Noop(messages.Message, frozen=True, kw_only=True, tag="noop"):
    """First entry of a leader's term."""


class ChangeConfiguration(
    messages.Message, frozen=True, kw_only=True, tag="change-configuration"
):
    """A configuration change by an operator.

    Attributes:
      operator: Operator who makes the change.
      number: The operator's sequence number of the change; a retry has the
        same number.
      base_revision: Revision on which the operator based the change.
      at_ms: Wall time at which the leader received the change, for the audit.
      change: The change.
    """

    operator: str
    number: int
    base_revision: int
    at_ms: int
    change: changes.Change


class AttemptStart(messages.Message, frozen=True, kw_only=True):
    """An attempt that is about to be started.

    Attributes:
      task: Task identifier.
      attempt: One more than the task's last attempt.
      worker: Name of the worker.
      incarnation: Incarnation of the worker.
      reserved: Reserved resources: the larger of the declared and the learned
        size.
    """

    task: str
    attempt: int
    worker: str
    incarnation: str
    reserved: messages.Resources


class StartAttempts(
    messages.Message, frozen=True, kw_only=True, tag="start-attempts"
):
    """Reserves workers and fences earlier attempts, before starts are sent."""

    starts: tuple[AttemptStart, ...]
    at_ms: int


class AttemptCompleted(
    messages.Message, frozen=True, kw_only=True, tag="completed"
):
    """The attempt completed."""

    run_ms: int


class AttemptFailed(messages.Message, frozen=True, kw_only=True, tag="failed"):
    """The attempt failed.

    Attributes:
      run_ms: Run time of the attempt.
      reason: Human-readable reason.
      on_worker: Whether the worker caused the failure, which then does not
        count against the task.
    """

    run_ms: int
    reason: str
    on_worker: bool = False


class AttemptGone(messages.Message, frozen=True, kw_only=True, tag="gone"):
    """The attempt is proven to be no longer running: it was evicted or lost.

    Attributes:
      reason: Human-readable reason.
      began: False if it is proven that it never ran.
      in_doubt: Whether it may have completed although no report was received.
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
    """Records ends of attempts; only a task's current attempt can end."""

    ends: tuple[AttemptEnd, ...]
    at_ms: int


class CheckpointTaken(messages.Message, frozen=True, kw_only=True):
    """A completed checkpoint of an attempt."""

    task: str
    attempt: int
    reference: str


class RecordCheckpoints(
    messages.Message, frozen=True, kw_only=True, tag="record-checkpoints"
):
    """Records checkpoints from which tasks resume, before stops are sent."""

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
    """Changes the cluster membership by one member.

    Attributes:
      members: Voters after the change, as `name=host:port#folder`.
      learners: Replicas that receive the log but have no vote.
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
    | jobs.SubmitJob
    | jobs.CancelJob
    | jobs.RecordRuns
    | jobs.PutSite
    | jobs.SetZoneService
    | jobs.StoreHeadroomModel
)


def encode_command(command: Command) -> bytes:
    """Encodes a command for the log."""
    return msgspec.json.encode(command)


def decode_command(data: bytes) -> Command:
    """Decodes a command of the log.

    Raises:
      errors.InvalidInputError: The data is not a valid command.
    """
    return messages.decode(data, Command)  # type: ignore[arg-type]
