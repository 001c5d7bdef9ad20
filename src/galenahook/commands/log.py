"""Commands, the entries of the replicated log."""

import msgspec

from galenahook import messages
from galenahook.commands import changes
from galenahook.commands import jobs


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
    change: changes.Change


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
    | jobs.SubmitJob
    | jobs.CancelJob
    | jobs.RecordRuns
    | jobs.PutSite
    | jobs.SetZoneService
    | jobs.KeepLearned
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
