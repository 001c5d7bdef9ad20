"""Messages between entries and the leader."""

from galenahook import findings as findings_lib
from galenahook.messages import codec
from galenahook.messages import upstreams


class SlotUse(codec.Message, frozen=True, kw_only=True):
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


class EntryUpdate(codec.Message, frozen=True, kw_only=True):
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
    """An executor that entries may route to."""

    name: str
    incarnation: str
    service: str
    address: str
    availability_zone: str
    slots: int
    connections: int
    usable: bool = True


class ServiceRoute(codec.Message, frozen=True, kw_only=True):
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


class EntryConfiguration(codec.Message, frozen=True, kw_only=True):
    """The part of the configuration that entries follow."""

    revision: int
    routes: tuple[ServiceRoute, ...] = ()
    availability_zones_out: tuple[str, ...] = ()


class EntryUpdateReply(codec.Message, frozen=True, kw_only=True):
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
    replies: tuple[upstreams.AnnouncementReply, ...] = ()


class KeyClaim(codec.Message, frozen=True, kw_only=True):
    """One request's claim of an idempotency key.

    Attributes:
      key: The key with its service, as `service:key`.
      token: Names the request; the same claim sent again has the same token.
    """

    key: str
    token: str


class ClaimKeys(codec.Message, frozen=True, kw_only=True):
    """Claims idempotency keys before their requests are sent on.

    Attributes:
      entry: Name of the entry.
      claims: Keys to claim.
      released: Earlier claims whose requests certainly were not run.
    """

    entry: str
    claims: tuple[KeyClaim, ...] = ()
    released: tuple[KeyClaim, ...] = ()


class ClaimKeysReply(codec.Message, frozen=True, kw_only=True):
    """For each claim in order, whether its request holds the key."""

    granted: tuple[bool, ...]


class NotLeader(codec.Message, frozen=True, kw_only=True):
    """Answer of a replica that is not the leader, with status 421."""

    leader: str = ""


class Refusal(codec.Message, frozen=True, kw_only=True):
    """Answer to a request that was refused, with a 4xx or 5xx status.

    Attributes:
      reason: What is wrong, for a person.
      findings: Faults of the input with their places.
    """

    reason: str
    findings: tuple[findings_lib.Finding, ...] = ()
