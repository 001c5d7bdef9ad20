"""Messages that travel as JSON over HTTP, and their codec.

`docs/INTERFACES.md` gives the routes. Every duration is in milliseconds,
every memory size in MB (2**20 bytes), processors in thousandths of a core.
"""

import functools
from typing import Any
from typing import TypeVar

import msgspec

from galenahook import errors
from galenahook import findings as findings_lib

_MessageT = TypeVar("_MessageT")


class Message(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of every message: immutable, slotted, unknown fields refused."""


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


# --- Upstreams: announcements ------------------------------------------------


class AttemptStatus(Message, frozen=True, kw_only=True, gc=False):
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


class TailSample(Message, frozen=True, kw_only=True):
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


class Announcement(Message, frozen=True, kw_only=True, tag_field="kind"):
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


class AttemptRef(Message, frozen=True, kw_only=True):
    """Names one attempt of one task."""

    task: str
    attempt: int


class AnnouncementReply(Message, frozen=True, kw_only=True):
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


# --- Upstreams: orders from the leader to a worker ---------------------------


class StartOrder(Message, frozen=True, kw_only=True):
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


class StartReply(Message, frozen=True, kw_only=True):
    """Answer to a start: accepted, or certainly not run with a reason."""

    accepted: bool
    reason: str = ""


class CheckpointOrder(Message, frozen=True, kw_only=True):
    """Tells a worker to checkpoint an attempt, which goes on running."""

    task: str
    attempt: int


class CheckpointReply(Message, frozen=True, kw_only=True):
    """Reference of a finished checkpoint; empty if it can't be made."""

    reference: str = ""


class ThrottleOrder(Message, frozen=True, kw_only=True):
    """Sets the share of its processors that an attempt may use."""

    task: str
    attempt: int
    percent: int


class ThrottleReply(Message, frozen=True, kw_only=True):
    """Whether the throttle is in force."""

    applied: bool


class StopOrder(Message, frozen=True, kw_only=True):
    """Tells a worker to stop an attempt; also refuses it from then on."""

    task: str
    attempt: int


class StopReply(Message, frozen=True, kw_only=True):
    """`stopped` is true only once nothing of the attempt runs any more."""

    stopped: bool


# --- Upstreams: reports of a worker ------------------------------------------


class Completed(Message, frozen=True, kw_only=True, tag="completed"):
    """The attempt finished its work."""

    run_ms: int


class Failed(Message, frozen=True, kw_only=True, tag="failed"):
    """The attempt ended without finishing its work."""

    run_ms: int
    reason: str


Outcome = Completed | Failed


class AttemptReport(Message, frozen=True, kw_only=True):
    """A worker's report that an attempt ended; resent until acknowledged."""

    worker: str
    incarnation: str
    task: str
    attempt: int
    outcome: Outcome


class ReportReply(Message, frozen=True, kw_only=True):
    """`acknowledged`: committed, or out of date; stop resending either way."""

    acknowledged: bool
    current: bool = True


# --- Entry to leader ---------------------------------------------------------


class SlotUse(Message, frozen=True, kw_only=True):
    """Use of one executor by one entry.

    Attributes:
      executor: Name of the executor.
      incarnation: Its incarnation when the slots were granted.
      held: Slots that the entry may use; it never exceeds them.
      busy: Requests in flight.
      wanted: Most slots wanted at once since the last update.
      abandoned: Requests given up, since the entry started, that may still
        run there; their slots are no longer among the held.
    """

    executor: str
    incarnation: str
    held: int
    busy: int
    wanted: int
    abandoned: int = 0


class EntryUpdate(Message, frozen=True, kw_only=True):
    """Periodic update of an entry, which also renews its lease.

    Attributes:
      entry: Name of the entry.
      incarnation: Random text, new each time the entry's process starts.
      sequence: Rises with each update.
      availability_zone: Where the entry stands.
      revision: Configuration revision that the entry follows, 0 for none.
      upstreams_version: Version of the executors' list it knows, "" for none.
      announcements: Announcements received since the last update.
      slots: Slots held now.
      leaving: True once the entry drains.
    """

    entry: str
    incarnation: str
    sequence: int
    availability_zone: str
    revision: int
    upstreams_version: str = ""
    announcements: tuple[WorkerAnnouncement | ExecutorAnnouncement, ...] = ()
    slots: tuple[SlotUse, ...] = ()
    leaving: bool = False


class SlotGrant(Message, frozen=True, kw_only=True):
    """Slots of one executor that an entry may use during its lease."""

    executor: str
    incarnation: str
    slots: int


class ExecutorAddress(Message, frozen=True, kw_only=True):
    """An executor that entries may route to."""

    name: str
    incarnation: str
    service: str
    address: str
    availability_zone: str
    slots: int
    connections: int
    usable: bool = True


class ServiceRoute(Message, frozen=True, kw_only=True):
    """A service as entries see it.

    Attributes:
      service: Name in the sheet.
      route: Path prefix of its requests.
      priority: 0 to 100; higher is admitted first under overload.
      tail_target_ms: 99th percentile wanted.
    """

    service: str
    route: str
    priority: int
    tail_target_ms: int


class EntryConfiguration(Message, frozen=True, kw_only=True):
    """The part of the configuration that entries follow."""

    revision: int
    routes: tuple[ServiceRoute, ...] = ()
    availability_zones_out: tuple[str, ...] = ()


class EntryUpdateReply(Message, frozen=True, kw_only=True):
    """Leader's answer, which renews the entry's lease.

    Attributes:
      lease_ms: Counts from the moment the entry sent the update.
      configuration: The configuration, or None if `revision` is current.
      upstreams_version: Version of `executors`.
      executors: Every executor, or None if the entry's list is current.
      grants: Every grant of this entry; what is not listed is not granted.
      replies: Answers to the announcements relayed.
    """

    lease_ms: int
    configuration: EntryConfiguration | None
    upstreams_version: str
    executors: tuple[ExecutorAddress, ...] | None
    grants: tuple[SlotGrant, ...] = ()
    replies: tuple[AnnouncementReply, ...] = ()


class KeyClaim(Message, frozen=True, kw_only=True):
    """One request's claim of an idempotency key.

    Attributes:
      key: The key with its service, as `service:key`.
      token: Names the request; the same claim sent again has the same token.
    """

    key: str
    token: str


class ClaimKeys(Message, frozen=True, kw_only=True):
    """Claims idempotency keys before their requests are sent on.

    Attributes:
      entry: Name of the entry.
      claims: Keys to claim.
      released: Earlier claims whose requests certainly were not run.
    """

    entry: str
    claims: tuple[KeyClaim, ...] = ()
    released: tuple[KeyClaim, ...] = ()


class ClaimKeysReply(Message, frozen=True, kw_only=True):
    """For each claim in order, whether its request holds the key."""

    granted: tuple[bool, ...]


class NotLeader(Message, frozen=True, kw_only=True):
    """Answer of a replica that is not the leader, with status 421."""

    leader: str = ""


class Refusal(Message, frozen=True, kw_only=True):
    """Answer to a request that was refused, with a 4xx or 5xx status.

    Attributes:
      reason: What is wrong, for a person.
      findings: Faults of the input with their places.
    """

    reason: str
    findings: tuple[findings_lib.Finding, ...] = ()


def encode(message: Any) -> bytes:
    """Encodes a message as JSON."""
    return msgspec.json.encode(message)


def decode(data: bytes, message_type: type[_MessageT]) -> _MessageT:
    """Decodes a message.

    Raises:
      errors.InvalidInputError: The data is not JSON, or not of that type.
    """
    try:
        return _decoder_of(message_type).decode(data)  # type: ignore[arg-type]
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.InvalidInputError(
            [_finding_from_error(str(error))]
        ) from error


@functools.cache
def _decoder_of(message_type: Any) -> msgspec.json.Decoder:
    """Returns the decoder of a type; building one for a union is slow."""
    return msgspec.json.Decoder(message_type)


def _finding_from_error(text: str) -> findings_lib.Finding:
    reason, separator, path = text.partition(" - at `")
    place = path.rstrip("`") if separator else "$"
    return findings_lib.Finding(place, reason)
