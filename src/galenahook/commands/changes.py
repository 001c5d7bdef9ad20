"""Changes of the configuration by operators."""

from galenahook import messages
from galenahook.commands import sheet


class ApplySheet(
    messages.Message, frozen=True, kw_only=True, tag="apply-sheet"
):
    """Replaces the whole sheet.

    A job that is no longer listed goes on to its end if any of its work has
    begun, else it is withdrawn. Availability zones out, drains and
    cancellations stay.
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
    """Adds a job, or changes one; tasks that ended stay ended."""

    job: sheet.JobRow


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
