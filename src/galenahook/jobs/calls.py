"""Calls about jobs that entries and control listeners send to the leader."""

import dataclasses

from galenahook import commands
from galenahook import messages


class JobOrder(messages.Message, frozen=True, kw_only=True):
    """A job as a caller submits it.

    Attributes:
      spec: Text that is passed on to the workers.
      steps: Steps; each depends on earlier ones only.
      occurrences: How many times the steps run; at least 1.
      first_start_ms: Wall time of the first occurrence; 0 to start now.
      interval_ms: Time from one occurrence to the next.
    """

    spec: str
    steps: tuple[commands.StepDescription, ...]
    occurrences: int = 1
    first_start_ms: int = 0
    interval_ms: int = 0


class SubmitJobCall(messages.Message, frozen=True, kw_only=True, tag="submit"):
    """A caller submits a job.

    Attributes:
      host: Host of the caller's request.
      path: Path of the caller's request.
      order: The job: spec, steps and times.
      availability_zone: Availability zone of the entry; empty if not known.
    """

    host: str
    path: str
    order: JobOrder
    availability_zone: str = ""


class JobStateCall(messages.Message, frozen=True, kw_only=True, tag="state"):
    """A caller asks for the state of a job, or of a queue."""

    host: str
    path: str


class CancelJobCall(messages.Message, frozen=True, kw_only=True, tag="cancel"):
    """A caller cancels a job."""

    host: str
    path: str


class PutSiteCall(messages.Message, frozen=True, kw_only=True, tag="put-site"):
    """An operator puts a configuration that is already decoded and checked."""

    command: commands.PutSite


class ReadSiteCall(
    messages.Message, frozen=True, kw_only=True, tag="read-site"
):
    """An operator reads the configuration in force."""


class ZoneTicketCall(
    messages.Message, frozen=True, kw_only=True, tag="zone-ticket"
):
    """A replica asks for the ticket of the next order about a zone."""

    availability_zone: str


class ZoneCall(messages.Message, frozen=True, kw_only=True, tag="zone"):
    """An operator puts an availability zone out of service or in service.

    Attributes:
      availability_zone: The zone.
      out: Whether it goes out of service.
      ticket: Ticket of the leader; the call has no effect if another order
        about the zone was handled since it was issued.
    """

    availability_zone: str
    out: bool
    ticket: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerIdentity:
    """What never changes during an incarnation of a worker.

    Attributes:
      worker: Identifier of the worker.
      born_ms: Start of its incarnation, Unix milliseconds.
      machine: VM that it runs on.
      address: `host:port` of its own listener.
      availability_zone: Availability zone of the VM.
      service: Pool that it belongs to.
      labels: Its kind and its rack.
    """

    worker: str
    born_ms: int
    machine: str
    address: str
    availability_zone: str
    service: str
    labels: tuple[str, ...]

    def completes(self, other: "WorkerIdentity") -> bool:
        """Returns whether it says the same, or names a VM or labels as well."""
        return other == dataclasses.replace(
            self,
            machine=self.machine if other.machine else "",
            labels=self.labels if other.labels else (),
        )


class WorkerHeartbeat(
    messages.Message, frozen=True, kw_only=True, tag="worker-heartbeat"
):
    """A worker announces itself and its capacity.

    Attributes:
      worker: Identifier of the worker.
      born_ms: Start of its incarnation, Unix milliseconds.
      machine: VM that it runs on.
      address: `host:port` of its own listener.
      availability_zone: Availability zone of the VM.
      service: Pool that it belongs to.
      draining: Whether it is about to end.
      drain_remaining_ms: Lower bound of the time until a draining worker ends.
      sequence: Increases with each heartbeat of an incarnation.
      clock_ms: Its monotonic clock when it sent the heartbeat.
      cpu_millis: Thousandths of a core that it offers.
      memory_mb: Memory that it offers.
      gpus: Accelerators that it offers.
      labels: Its kind and its rack.
    """

    worker: str
    born_ms: int
    machine: str
    address: str
    availability_zone: str
    service: str
    draining: bool
    drain_remaining_ms: int
    sequence: int
    clock_ms: int
    cpu_millis: int
    memory_mb: int
    gpus: int
    labels: tuple[str, ...]

    @property
    def identity(self) -> WorkerIdentity:
        """What every heartbeat of the same incarnation says."""
        return WorkerIdentity(
            worker=self.worker,
            born_ms=self.born_ms,
            machine=self.machine,
            address=self.address,
            availability_zone=self.availability_zone,
            service=self.service,
            labels=self.labels,
        )


class WorkerLeft(
    messages.Message, frozen=True, kw_only=True, tag="worker-left"
):
    """A worker announces that it ends now.

    Attributes:
      worker: Identifier of the worker.
      born_ms: Start of its incarnation; 0 if not given.
    """

    worker: str
    born_ms: int = 0


class EntryPoll(messages.Message, frozen=True, kw_only=True, tag="entry-poll"):
    """An entry asks whether this replica leads, and for the members."""

    entry: str


JobCall = (
    SubmitJobCall
    | JobStateCall
    | CancelJobCall
    | PutSiteCall
    | ReadSiteCall
    | ZoneTicketCall
    | ZoneCall
    | WorkerHeartbeat
    | WorkerLeft
    | EntryPoll
)


class JobReply(messages.Message, frozen=True, kw_only=True):
    """The leader's reply to a call.

    Attributes:
      outcome: `stored`, `cancelled`, `state`, `queue`, `done`, `no-queue`,
        `no-configuration`, `unknown-job`, `invalid`, `overloaded`, to a
        `ZoneCall` `outdated` or, to an `EntryPoll`, `not-leader`.
      state: State of the job, for `state`.
      pending: Jobs of the queue that have not begun, for `queue`.
      reason: Explanation for a person.
      document: The configuration, for `ReadSiteCall`.
      version: Version of the configuration in force.
      replicas: Address of each replica by name, for `EntryPoll`.
      ticket: The ticket, for `ZoneTicketCall`.
    """

    outcome: str
    state: str = ""
    pending: int = 0
    reason: str = ""
    document: str = ""
    version: int = 0
    replicas: dict[str, str] = {}
    ticket: str = ""
