"""Results of applying a command."""

from galenahook import messages


class Done(messages.Message, frozen=True, kw_only=True, tag="done"):
    """The command was applied and has no result of its own."""


class ChangeAccepted(
    messages.Message, frozen=True, kw_only=True, tag="accepted"
):
    """The change is in effect from this revision on."""

    revision: int


class ChangeConflict(
    messages.Message, frozen=True, kw_only=True, tag="conflict"
):
    """Nothing changed: the number was used, or the revision is outdated.

    Attributes:
      revision: Current revision.
      reason: Human-readable reason, such as what changed since the base
        revision.
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
    """For each start or end in order, whether it was applied."""

    applied: tuple[bool, ...]


class JobStored(messages.Message, frozen=True, kw_only=True, tag="job-stored"):
    """The job is stored, by this command or by an earlier one."""


class JobUnknown(
    messages.Message, frozen=True, kw_only=True, tag="job-unknown"
):
    """No such job exists."""


Result = (
    Done
    | ChangeAccepted
    | ChangeConflict
    | ChangeInvalid
    | KeysClaimed
    | AttemptsApplied
    | JobStored
    | JobUnknown
)
