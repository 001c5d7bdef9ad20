"""Configuration changes by operators."""

from galenahook import messages
from galenahook.commands import sheet


class ApplySheet(
    messages.Message, frozen=True, kw_only=True, tag="apply-sheet"
):
    """Replaces the whole sheet.

    A job that is no longer listed runs to its end if any of its tasks has
    started, otherwise it is withdrawn. Availability zones out of service,
    drains and cancellations remain in effect.
    """

    sheet: sheet.Sheet


class PutService(
    messages.Message, frozen=True, kw_only=True, tag="put-service"
):
    """Adds or replaces one service."""

    service: sheet.ServiceRow


class RemoveService(
    messages.Message, frozen=True, kw_only=True, tag="remove-service"
):
    """Stops a service and removes it."""

    name: str


class PutJob(messages.Message, frozen=True, kw_only=True, tag="put-job"):
    """Adds or changes a job; tasks that have ended remain ended."""

    job: sheet.JobRow


class CancelJobs(
    messages.Message, frozen=True, kw_only=True, tag="cancel-jobs"
):
    """Cancels jobs; a job that has ended or is unknown is not an error."""

    names: tuple[str, ...]


class AvailabilityZoneOut(
    messages.Message, frozen=True, kw_only=True, tag="availability-zone-out"
):
    """Takes an availability zone out of service."""

    availability_zone: str


class AvailabilityZoneIn(
    messages.Message, frozen=True, kw_only=True, tag="availability-zone-in"
):
    """Returns an availability zone to service."""

    availability_zone: str


class DrainUpstream(
    messages.Message, frozen=True, kw_only=True, tag="drain-upstream"
):
    """Places no new tasks on an upstream and moves its tasks elsewhere."""

    name: str


class UndrainUpstream(
    messages.Message, frozen=True, kw_only=True, tag="undrain-upstream"
):
    """Allows new tasks on a drained upstream again."""

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
