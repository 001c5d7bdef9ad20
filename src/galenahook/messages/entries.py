"""Messages between entries and the leader."""

from galenahook import findings as findings_lib
from galenahook.messages import codec
from galenahook.messages import upstreams


class SlotUse(codec.Message, frozen=True, kw_only=True):
    """An entry's use of one executor.

    Attributes:
      executor: Name of the executor.
      incarnation: Incarnation of the executor that the slots belong to.
      held: Slots that the entry may use on the executor; it never uses more.
      busy: Requests in flight.
      wanted: The executor's share of the peak slot demand for its service since
        the last update.
      abandoned: Number of requests since the entry started that were abandoned
        while they might still run on the executor; `held` no longer includes
        their slots.
    """

    executor: str
    incarnation: str
    held: int
    busy: int
    wanted: int
    abandoned: int = 0


class EntryUpdate(codec.Message, frozen=True, kw_only=True):
    """Periodic update from an entry, which also renews its lease.

    Attributes:
      entry: Name of the entry.
      incarnation: Random identifier, new at each start of the entry's process.
      sequence: Increases with each update.
      availability_zone: Availability zone of the entry.
      revision: Configuration revision that the entry uses, 0 for none.
      upstreams_version: Version of the executor list that the entry has, "" for
        none.
      announcements: Announcements of upstreams received since the last update.
      slots: Current use of each executor.
      leaving: True once the entry is draining.
    """

    entry: str
    incarnation: str
    sequence: int
    availability_zone: str
    revision: int
    upstreams_version: str = ""
    announcements: tuple[
        upstreams.WorkerAnnouncement | upstreams.ExecutorAnnouncement, ...
    ] = ()
    slots: tuple[SlotUse, ...] = ()
    leaving: bool = False


class SlotGrant(codec.Message, frozen=True, kw_only=True):
    """Slots of one executor that an entry may use during its lease."""

    executor: str
    incarnation: str
    slots: int


class ExecutorAddress(codec.Message, frozen=True, kw_only=True):
    """An executor to which entries may route requests."""

    name: str
    incarnation: str
    service: str
    address: str
    availability_zone: str
    slots: int
    connections: int
    usable: bool = True


class ServiceRoute(codec.Message, frozen=True, kw_only=True):
    """Routing settings of a service.

    Attributes:
      service: Name of the service in the sheet.
      route: Path prefix of its requests.
      priority: 0 to 100; higher is admitted first under overload.
      tail_target_ms: Target 99th percentile latency.
    """

    service: str
    route: str
    priority: int
    tail_target_ms: int


class EntryConfiguration(codec.Message, frozen=True, kw_only=True):
    """The part of the configuration that entries use."""

    revision: int
    routes: tuple[ServiceRoute, ...] = ()
    availability_zones_out: tuple[str, ...] = ()


class EntryUpdateReply(codec.Message, frozen=True, kw_only=True):
    """The leader's reply to an `EntryUpdate`, which renews the entry's lease.

    Attributes:
      lease_ms: Length of the lease, from the time the entry sent the update.
      configuration: The configuration, or None if the entry's is current.
      upstreams_version: Version of `executors`.
      executors: All executors, or None if the entry's list is current.
      grants: All grants of the entry; they replace the earlier ones.
      replies: Replies to the announcements that the entry relayed.
    """

    lease_ms: int
    configuration: EntryConfiguration | None
    upstreams_version: str
    executors: tuple[ExecutorAddress, ...] | None
    grants: tuple[SlotGrant, ...] = ()
    replies: tuple[upstreams.AnnouncementReply, ...] = ()


class KeyClaim(codec.Message, frozen=True, kw_only=True):
    """A request's claim of an idempotency key.

    Attributes:
      key: Service and idempotency key, as `service:key`.
      token: Identifies the request; a resent claim has the same token.
    """

    key: str
    token: str


class ClaimKeys(codec.Message, frozen=True, kw_only=True):
    """Claims idempotency keys before their requests are forwarded.

    Attributes:
      entry: Name of the entry.
      claims: Keys to claim.
      released: Earlier claims whose requests were definitely not run.
    """

    entry: str
    claims: tuple[KeyClaim, ...] = ()
    released: tuple[KeyClaim, ...] = ()


class ClaimKeysReply(codec.Message, frozen=True, kw_only=True):
    """States for each claim, in order, whether its request holds the key."""

    granted: tuple[bool, ...]


class NotLeader(codec.Message, frozen=True, kw_only=True):
    """Response of a replica that is not the leader, with status 421."""

    leader: str = ""


class Refusal(codec.Message, frozen=True, kw_only=True):
    """Response to a rejected request, with a 4xx or 5xx status.

    Attributes:
      reason: Human-readable explanation.
      findings: Errors in the input and their locations.
    """

    reason: str
    findings: tuple[findings_lib.Finding, ...] = ()
