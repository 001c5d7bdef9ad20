"""Messages of workers and executors, and orders to workers."""

import msgspec

from galenahook.messages import codec


class Resources(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False
):
    """An amount of each resource that a worker offers or a task takes.

    Attributes:
      cores_milli: Thousandths of a processor core.
      memory_mb: Memory in MB.
      accelerators: Whole accelerators.
    """

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class AttemptStatus(codec.Message, frozen=True, kw_only=True, gc=False):
    """One attempt that a worker holds at the time of its announcement.

    Attributes:
      task: Task identifier, such as `job/plan-7/2` or `service/prices/0`.
      attempt: Attempt number of the task.
      phase: `running`, `checkpointing`, or `ended` while its report has not
        been acknowledged.
      usage: Measured use, or None before the first sample.
      sample_age_ms: Age of the sample when the announcement was made.
      throttle_percent: Share of its processors the attempt may use.
      progress_percent: Work done, 0 to 100.
    """

    task: str
    attempt: int
    phase: str = "running"
    usage: Resources | None = None
    sample_age_ms: int = 0
    throttle_percent: int = 100
    progress_percent: int = 0


class TailSample(codec.Message, frozen=True, kw_only=True):
    """Latency that an executor measured over its last window.

    Attributes:
      count: Requests in the window.
      p50_ms: Median latency.
      p99_ms: 99th percentile.
      sample_age_ms: Age of the window's middle when announced.
    """

    count: int
    p50_ms: float
    p99_ms: float
    sample_age_ms: int = 0


class Announcement(codec.Message, frozen=True, kw_only=True, tag_field="kind"):
    """What an upstream tells any entry, periodically and when it changes.

    Attributes:
      name: Name of the upstream, unique in the site.
      incarnation: Random text, new each time the upstream's process starts.
      sequence: Rises by one with each announcement of an incarnation.
      sent_at_ms: The upstream's own monotonic clock when it was made.
      address: `host:port` where it takes requests.
      availability_zone: Where it stands.
      rack: Rack in the availability zone.
      vm: Name of the VM; executors and workers on one VM give the same name.
      leaving: True from the moment that it plans to stop.
      answered: Highest sequence number of its own whose answer had arrived
        when this announcement was made, 0 for none. It proves that this one
        was made after that answer.
    """

    name: str
    incarnation: str
    sequence: int
    sent_at_ms: int
    address: str
    availability_zone: str
    rack: str = ""
    vm: str = ""
    leaving: bool = False
    answered: int = 0


class WorkerAnnouncement(Announcement, frozen=True, kw_only=True, tag="worker"):
    """Announcement of an upstream that runs tasks.

    Attributes:
      capacity: What the VM offers to tasks.
      attempts: Every attempt that it holds, unless `attempts_as_of` is set.
      attempts_as_of: 0, or the sequence number of an answered announcement
        since which nothing that it holds has started, ended or changed phase;
        `attempts` is then left empty.
    """

    capacity: Resources
    attempts: tuple[AttemptStatus, ...] = ()
    attempts_as_of: int = 0


class ExecutorAnnouncement(
    Announcement, frozen=True, kw_only=True, tag="executor"
):
    """Announcement of an upstream that serves requests of one service.

    Attributes:
      service: Name of the service in the sheet.
      slots: Requests that it runs at once.
      connections: Connections that it accepts at once.
      busy_slots: Requests running now.
      tail: Latency of its last window, None before the first.
    """

    service: str
    slots: int = 8
    connections: int = 64
    busy_slots: int = 0
    tail: TailSample | None = None


class AttemptRef(codec.Message, frozen=True, kw_only=True):
    """Names one attempt of one task."""

    task: str
    attempt: int


class AnnouncementReply(codec.Message, frozen=True, kw_only=True):
    """Answer to an announcement.

    Attributes:
      name: The upstream's name.
      sequence: Sequence number of the announcement answered.
      lease_ms: A worker may run its tasks this long from the moment that it
        sent this announcement; 0 renews nothing.
      stop: Attempts that it must stop at once, since they are out of date.
      send_attempts: The leader doesn't know the announcement that
        `attempts_as_of` names: announce again at once, with every attempt.
    """

    name: str
    sequence: int
    lease_ms: int
    stop: tuple[AttemptRef, ...] = ()
    send_attempts: bool = False


class StartOrder(codec.Message, frozen=True, kw_only=True):
    """Tells a worker to start an attempt.

    A worker refuses it if `incarnation` is not its own, or once `ttl_ms` have
    passed since it sent announcement `basis_sequence`, or when it knows a
    higher attempt of the task. The same order again is answered as the first.

    Attributes:
      task: Task identifier.
      attempt: Attempt number, committed before this order leaves.
      incarnation: The worker's incarnation that the order is for.
      basis_sequence: Announcement from which the time to live counts.
      ttl_ms: Time to live on the worker's own clock.
      resources: What is reserved for the attempt.
      command: What to run, from the sheet.
      checkpoint: Reference to resume from, or an empty string.
    """

    task: str
    attempt: int
    incarnation: str
    basis_sequence: int
    ttl_ms: int
    resources: Resources
    command: str = ""
    checkpoint: str = ""


class StartReply(codec.Message, frozen=True, kw_only=True):
    """Answer to a start: accepted, or certainly not run with a reason."""

    accepted: bool
    reason: str = ""


class CheckpointOrder(codec.Message, frozen=True, kw_only=True):
    """Tells a worker to checkpoint an attempt, which goes on running."""

    task: str
    attempt: int


class CheckpointReply(codec.Message, frozen=True, kw_only=True):
    """Reference of a finished checkpoint; empty if it can't be made."""

    reference: str = ""


class ThrottleOrder(codec.Message, frozen=True, kw_only=True):
    """Sets the share of its processors that an attempt may use."""

    task: str
    attempt: int
    percent: int


class ThrottleReply(codec.Message, frozen=True, kw_only=True):
    """Whether the throttle is in force."""

    applied: bool


class StopOrder(codec.Message, frozen=True, kw_only=True):
    """Tells a worker to stop an attempt; also refuses it from then on."""

    task: str
    attempt: int


class StopReply(codec.Message, frozen=True, kw_only=True):
    """`stopped` is true only once nothing of the attempt runs any more."""

    stopped: bool


class Completed(codec.Message, frozen=True, kw_only=True, tag="completed"):
    """The attempt finished its work."""

    run_ms: int


class Failed(codec.Message, frozen=True, kw_only=True, tag="failed"):
    """The attempt ended without finishing its work."""

    run_ms: int
    reason: str


Outcome = Completed | Failed


class AttemptReport(codec.Message, frozen=True, kw_only=True):
    """A worker's report that an attempt ended; resent until acknowledged."""

    worker: str
    incarnation: str
    task: str
    attempt: int
    outcome: Outcome


class ReportReply(codec.Message, frozen=True, kw_only=True):
    """`acknowledged`: committed, or out of date; stop resending either way."""

    acknowledged: bool
    current: bool = True
