"""Messages about jobs between an entry, or a listener, and the leader."""

from galenahook import commands
from galenahook import messages


class JobOrder(messages.Message, frozen=True, kw_only=True):
    """What a caller says of a job.

    Attributes:
      spec: Text for the workers.
      steps: Steps in the order in which they depend on each other.
      occurrences: How many times the steps run; at least 1.
      first_start_ms: Wall time of the first occurrence; 0 for at once.
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
      host: Host that the caller named.
      path: Path that the caller named.
      order: The job as JSON: spec, steps and times.
    """

    host: str
    path: str
    order: JobOrder


class JobStateCall(messages.Message, frozen=True, kw_only=True, tag="state"):
    """A caller asks for the state of a job, or of a queue."""

    host: str
    path: str


class CancelJobCall(messages.Message, frozen=True, kw_only=True, tag="cancel"):
    """A caller cancels a job."""

    host: str
    path: str


class PutSiteCall(messages.Message, frozen=True, kw_only=True, tag="put-site"):
    """An operator puts a configuration, already checked and decoded."""

    command: commands.PutSite


class ReadSiteCall(
    messages.Message, frozen=True, kw_only=True, tag="read-site"
):
    """An operator reads the configuration in force."""


class ZoneCall(messages.Message, frozen=True, kw_only=True, tag="zone"):
    """An operator takes an availability zone out of service, or back."""

    availability_zone: str
    out: bool


class WorkerHeartbeat(
    messages.Message, frozen=True, kw_only=True, tag="worker-heartbeat"
):
    """A worker says that it is there.

    Attributes:
      worker: Identifier of the worker.
      born_ms: Start of its incarnation, Unix milliseconds.
      machine: VM that it runs on.
      address: `host:port` of its own listener.
      availability_zone: Where it stands.
      service: Pool that it belongs to.
      draining: Whether it is about to leave.
      drain_remaining_ms: Least time that it still serves while draining.
      sequence: Rises with each heartbeat of an incarnation.
      clock_ms: Its steady clock when it sent the heartbeat.
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


class WorkerLeft(
    messages.Message, frozen=True, kw_only=True, tag="worker-left"
):
    """A worker ends now.

    Attributes:
      worker: Identifier of the worker.
      born_ms: Start of its incarnation; 0 if it did not say.
    """

    worker: str
    born_ms: int = 0


class EntryPoll(messages.Message, frozen=True, kw_only=True, tag="entry-poll"):
    """An entry asks whether it may serve."""

    entry: str


JobCall = (
    SubmitJobCall
    | JobStateCall
    | CancelJobCall
    | PutSiteCall
    | ReadSiteCall
    | ZoneCall
    | WorkerHeartbeat
    | WorkerLeft
    | EntryPoll
)


class JobReply(messages.Message, frozen=True, kw_only=True):
    """The leader's answer to a call.

    Attributes:
      outcome: `stored`, `cancelled`, `state`, `queue`, `done`, `no-queue`,
        `no-configuration`, `unknown-job`, `invalid`, `overloaded` or, to an
        `EntryPoll`, `not-leader`.
      state: State of the job, for `state`.
      pending: Jobs of the queue that have not begun, for `queue`.
      reason: Why, for a person.
      document: The configuration, for `ReadSiteCall`.
      version: Version of the configuration in force.
      replicas: Address of each replica by name, for `EntryPoll`.
    """

    outcome: str
    state: str = ""
    pending: int = 0
    reason: str = ""
    document: str = ""
    version: int = 0
    replicas: dict[str, str] = {}
