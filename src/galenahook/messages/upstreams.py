"""Announcements of workers and executors, and orders to workers."""

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

    cores_milli: codec.Integer = 0
    memory_mb: codec.Integer = 0
    accelerators: codec.Integer = 0


class AttemptStatus(codec.Message, frozen=True, kw_only=True, gc=False):
    """An attempt on a worker at the time of the worker's announcement.

    Attributes:
      task: Task identifier, such as `job/plan-7/2` or `service/prices/0`.
      attempt: Attempt number of the task.
      phase: `running`, `checkpointing`, or `ended` until its report is
        acknowledged.
      usage: Measured resource usage, None before the first sample.
      sample_age_ms: Age of the sample when the announcement was made.
      throttle_percent: Percentage of its processors that the attempt may use.
      progress_percent: Progress of the work, 0 to 100.
    """

    task: str
    attempt: codec.Integer
    phase: str = "running"
    usage: Resources | None = None
    sample_age_ms: codec.Integer = 0
    throttle_percent: codec.Integer = 100
    progress_percent: codec.Integer = 0


class TailSample(codec.Message, frozen=True, kw_only=True):
    """Latency that an executor measured over its last window.

    Attributes:
      count: Requests in the window.
      p50_ms: Median latency.
      p99_ms: 99th percentile.
      sample_age_ms: Age of the middle of the window at the announcement.
    """

    count: codec.Integer
    p50_ms: codec.Amount
    p99_ms: codec.Amount
    sample_age_ms: codec.Integer = 0


class Announcement(codec.Message, frozen=True, kw_only=True, tag_field="kind"):
    """State that an upstream announces to any entry.

    It is sent periodically and after each change.

    Attributes:
      name: Name of the upstream, unique in the site.
      incarnation: Random identifier, new at each start of the upstream's
        process.
      sequence: Increases by one with each announcement of an incarnation.
      sent_at_ms: Time of the announcement on the upstream's monotonic clock.
      address: `host:port` at which it accepts requests.
      availability_zone: Availability zone of the upstream.
      rack: Rack in the availability zone.
      vm: Name of the VM; the same for all executors and workers on the VM.
      leaving: True once the upstream intends to stop.
      answered: Highest sequence number among the upstream's announcements whose
        reply had arrived when this one was made, 0 for none. It proves that
        this one was made after that reply.
    """

    name: str
    incarnation: str
    sequence: codec.Integer
    sent_at_ms: codec.Integer
    address: str
    availability_zone: str
    rack: str = ""
    vm: str = ""
    leaving: bool = False
    answered: codec.Integer = 0


class WorkerAnnouncement(Announcement, frozen=True, kw_only=True, tag="worker"):
    """Announcement of a worker, an upstream that runs tasks.

    Attributes:
      capacity: Resources of the VM that are available to tasks.
      attempts: All attempts on the worker, unless `attempts_as_of` is set.
      attempts_as_of: Sequence number of an answered announcement since which no
        attempt on the worker has started, ended or changed phase, or 0. If it
        is set, `attempts` is empty.
    """

    capacity: Resources
    attempts: tuple[AttemptStatus, ...] = ()
    attempts_as_of: codec.Integer = 0


class ExecutorAnnouncement(
    Announcement, frozen=True, kw_only=True, tag="executor"
):
    """Announcement of an executor, which serves requests of one service.

    Attributes:
      service: Name of the service in the sheet.
      slots: Maximum number of concurrent requests.
      connections: Maximum number of open connections.
      busy_slots: Number of running requests.
      tail: Latency in the last window, None before the first.
    """

    service: str
    slots: codec.Integer = 8
    connections: codec.Integer = 64
    busy_slots: codec.Integer = 0
    tail: TailSample | None = None


class AttemptRef(codec.Message, frozen=True, kw_only=True):
    """Identifies one attempt of a task."""

    task: str
    attempt: int


class AnnouncementReply(codec.Message, frozen=True, kw_only=True):
    """Reply to an announcement.

    Attributes:
      name: The upstream's name.
      sequence: Sequence number of that announcement.
      lease_ms: How long a worker may run its tasks from the time at which it
        sent that announcement; 0 does not renew the lease.
      stop: Outdated attempts that the worker must stop at once.
      send_attempts: True if the leader does not have the attempts of the
        announcement that `attempts_as_of` refers to; the worker must announce
        again at once, with all attempts.
    """

    name: str
    sequence: int
    lease_ms: int
    stop: tuple[AttemptRef, ...] = ()
    send_attempts: bool = False


class StartOrder(codec.Message, frozen=True, kw_only=True):
    """Tells a worker to start an attempt.

    The worker refuses the order if `incarnation` is not its own, if more than
    `ttl_ms` have passed since it sent announcement `basis_sequence`, or if it
    knows a later attempt of the task. A repeated order gets the same reply.

    Attributes:
      task: Task identifier.
      attempt: Attempt number, committed before the order is sent.
      incarnation: Incarnation of the worker that the order is for.
      basis_sequence: Sequence number of the announcement from whose sending
        the time to live counts.
      ttl_ms: Time to live on the worker's own clock.
      resources: Resources reserved for the attempt.
      command: Command to run, from the sheet.
      checkpoint: Reference of the checkpoint to resume from, or "".
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
    """Reply to a start order: accepted, or definitely not run and why."""

    accepted: bool
    reason: str = ""


class CheckpointOrder(codec.Message, frozen=True, kw_only=True):
    """Tells a worker to checkpoint an attempt while it keeps running."""

    task: str
    attempt: int


class CheckpointReply(codec.Message, frozen=True, kw_only=True):
    """Reference of the new checkpoint; empty if it could not be made."""

    reference: str = ""


class ThrottleOrder(codec.Message, frozen=True, kw_only=True):
    """Sets the percentage of its processors that an attempt may use."""

    task: str
    attempt: int
    percent: int


class ThrottleReply(codec.Message, frozen=True, kw_only=True):
    """States whether the throttle was applied."""

    applied: bool


class StopOrder(codec.Message, frozen=True, kw_only=True):
    """Tells a worker to stop an attempt and to refuse later starts of it."""

    task: str
    attempt: int


class StopReply(codec.Message, frozen=True, kw_only=True):
    """`stopped` is true only once no part of the attempt is running."""

    stopped: bool


class Completed(codec.Message, frozen=True, kw_only=True, tag="completed"):
    """The attempt finished its work."""

    run_ms: codec.Count


class Failed(codec.Message, frozen=True, kw_only=True, tag="failed"):
    """The attempt ended without finishing its work."""

    run_ms: codec.Count
    reason: str


Outcome = Completed | Failed


class AttemptReport(codec.Message, frozen=True, kw_only=True):
    """A worker's report that an attempt ended; resent until acknowledged."""

    worker: str
    incarnation: str
    task: str
    attempt: codec.Integer
    outcome: Outcome


class ReportReply(codec.Message, frozen=True, kw_only=True):
    """`acknowledged` is true if the report is committed or outdated.

    In both cases the worker stops resending it. `current` is false if the
    report is outdated and changed no task.
    """

    acknowledged: bool
    current: bool = True
