"""An entry's view: its lease, configuration, executors and slots."""

import dataclasses

from galenahook import clock as clock_lib
from galenahook import messages

_NO_REVISION = 0


@dataclasses.dataclass(slots=True)
class ExecutorStatistics:
    """Routing statistics of one incarnation of an executor.

    Attributes:
      latency_ms: Moving average of its response latency, 0 without samples.
      sampled_ms: When the last response arrived.
      failures: Failures since the last response or ejection.
      ejections: Ejections since it last worked normally.
      eject_until_ms: End of the last ejection.
    """

    latency_ms: float = 0.0
    sampled_ms: int = 0
    failures: int = 0
    ejections: int = 0
    eject_until_ms: int = 0


@dataclasses.dataclass(slots=True)
class Executor:
    """One incarnation of an executor, as this entry uses it.

    Attributes:
      address: Its latest address record.
      granted: Slots that the last reply granted.
      busy: Slots in use: requests in flight or about to be sent.
      abandoned: Cumulative count of requests that were abandoned while they
        may still have been running there.
      abandoned_reported: `abandoned` in the last update.
      connections: Connections that the executor may count as open.
      statistics: Routing statistics.
    """

    address: messages.ExecutorAddress
    granted: int = 0
    busy: int = 0
    abandoned: int = 0
    abandoned_reported: int = 0
    connections: int = 0
    statistics: ExecutorStatistics = dataclasses.field(
        default_factory=ExecutorStatistics
    )

    @property
    def connections_per_slot(self) -> int:
        """Connections that an entry may have open for each slot it holds.

        Half of the executor's limit is reserved for connections that failed
        entries have not closed.
        """
        slots = max(1, self.address.slots)
        return max(1, self.address.connections // (2 * slots))

    def slots_for_connections(self) -> int:
        """Slots that must be held to cover the open connections."""
        return -(-self.connections // self.connections_per_slot)


@dataclasses.dataclass(slots=True)
class Demand:
    """Demand for one service at this entry, in concurrent requests.

    Attributes:
      current: Requests waiting or in flight.
      peak: Highest `current` since the last update.
      refused_ms: Estimated total latency of the requests refused since then.
    """

    current: int = 0
    peak: int = 0
    refused_ms: float = 0.0

    def add(self) -> None:
        """Counts a request that arrived."""
        self.current += 1
        self.peak = max(self.peak, self.current)

    def remove(self) -> None:
        """Counts a request that ended."""
        self.current -= 1

    def refuse(self, latency_ms: float) -> None:
        """Counts a refused request by its estimated latency."""
        self.refused_ms += latency_ms

    def take(self, period_ms: int) -> int:
        """Returns the demand of the period that ends now; starts the next."""
        refused = self.refused_ms / max(1, period_ms)
        demand = self.peak + int(refused)
        self.peak = self.current
        self.refused_ms = 0.0
        return demand


class EntryView:
    """An entry's lease, configuration, executors and grants.

    The lease is counted from when the entry sent its update. Without a valid
    lease no request is started: the configuration may be outdated, and the
    slots may have been granted to other entries.

    Attributes:
      name: Name of the entry.
      incarnation: Random text, new at each start of the process.
      availability_zone: Availability zone of the entry.
      configuration: Configuration in force; its revision never decreases.
      upstreams_version: Version of the list of executors.
      executors: Current incarnation of each executor by name.
      demands: Demand by service.
      changes: Incremented whenever a reply is applied.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        availability_zone: str,
        clock: clock_lib.Clock,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.availability_zone = availability_zone
        self.configuration = messages.EntryConfiguration(revision=_NO_REVISION)
        self.upstreams_version = ""
        self.executors: dict[str, Executor] = {}
        self.demands: dict[str, Demand] = {}
        self.changes = 0
        self._clock = clock
        self._retired: list[Executor] = []
        self._by_service: dict[str, list[Executor]] = {}
        self._usable: dict[str, list[Executor]] = {}
        self._lease_end_ms = 0
        self._last_report_ms = 0

    @property
    def revision(self) -> int:
        """Configuration revision in force here, 0 for none."""
        return self.configuration.revision

    def has_lease(self) -> bool:
        """Returns whether the entry holds a valid lease now."""
        return self._clock.monotonic_ms() < self._lease_end_ms

    def lease_left_ms(self) -> int:
        """Returns the remaining time of the lease; 0 after its end."""
        return max(0, self._lease_end_ms - self._clock.monotonic_ms())

    def apply_reply(
        self, reply: messages.EntryUpdateReply, sent_at_ms: int
    ) -> bool:
        """Applies the leader's reply to the update sent at `sent_at_ms`.

        A reply to an earlier update than the last one is ignored, since a
        later update may have returned slots that the reply grants. So is a
        reply with an older configuration.

        Returns:
          Whether the reply was applied.
        """
        if sent_at_ms < self._last_report_ms:
            return False
        new = reply.configuration
        if new is not None and new.revision < self.revision:
            return False
        if new is not None:
            self.configuration = new
        if reply.executors is not None:
            self._replace_executors(reply.executors)
            self.upstreams_version = reply.upstreams_version
        self._replace_grants(reply.grants)
        self._update_usable()
        lease_end_ms = sent_at_ms + reply.lease_ms
        self._lease_end_ms = max(self._lease_end_ms, lease_end_ms)
        self.changes += 1
        return True

    def _replace_executors(
        self, addresses: tuple[messages.ExecutorAddress, ...]
    ) -> None:
        known = {
            _key(executor.address): executor
            for executor in (*self._retired, *self.executors.values())
        }
        self.executors = {}
        for address in addresses:
            executor = known.pop(_key(address), None) or Executor(address)
            executor.address = address
            self.executors[address.name] = executor
        self._retired = list(known.values())
        for executor in self._retired:
            executor.granted = 0
        self._by_service = {}
        for executor in self.executors.values():
            service = executor.address.service
            self._by_service.setdefault(service, []).append(executor)

    def _replace_grants(self, grants: tuple[messages.SlotGrant, ...]) -> None:
        granted = {
            (grant.executor, grant.incarnation): grant.slots for grant in grants
        }
        for executor in self.executors.values():
            slots = granted.get(_key(executor.address), 0)
            unreported = executor.abandoned - executor.abandoned_reported
            executor.granted = max(0, slots - unreported)

    def slot_uses(self) -> tuple[messages.SlotUse, ...]:
        """Returns the slots and demand for the next update.

        Starts a new demand period. Slots that are no longer reported as held
        are thereby returned to the leader.
        """
        previous_ms = self._last_report_ms
        self._last_report_ms = self._clock.monotonic_ms()
        self._retired = [
            executor for executor in self._retired if executor.busy > 0
        ]
        demands = self._take_demand(self._last_report_ms - previous_ms)
        uses = []
        for executor in (*self.executors.values(), *self._retired):
            use = self._slot_use(executor, demands)
            if use.held or use.wanted or use.abandoned:
                uses.append(use)
        return tuple(uses)

    def _slot_use(
        self, executor: Executor, demands: dict[str, int]
    ) -> messages.SlotUse:
        address = executor.address
        current = self.executors.get(address.name) is executor
        executor.abandoned_reported = executor.abandoned
        return messages.SlotUse(
            executor=address.name,
            incarnation=address.incarnation,
            held=self.held(executor),
            busy=executor.busy,
            wanted=demands.get(address.name, 0) if current else 0,
            abandoned=executor.abandoned,
        )

    def held(self, executor: Executor) -> int:
        """Returns the slots of an executor that this entry may be using."""
        if self.executors.get(executor.address.name) is not executor:
            return executor.busy
        granted = executor.granted if self.has_lease() else 0
        return max(granted, executor.busy, executor.slots_for_connections())

    def _take_demand(self, period_ms: int) -> dict[str, int]:
        """Divides each service's demand evenly among its executors."""
        demands = {}
        for service, executors in self._by_service.items():
            demand = self.demands.get(service)
            if demand is None:
                continue
            share, rest = divmod(demand.take(period_ms), len(executors))
            for index, executor in enumerate(executors):
                demands[executor.address.name] = share + (index < rest)
        return demands

    def _update_usable(self) -> None:
        zones_out = self.configuration.availability_zones_out
        self._usable = {
            service: [
                executor
                for executor in executors
                if executor.address.usable
                and executor.address.availability_zone not in zones_out
            ]
            for service, executors in self._by_service.items()
        }

    def usable_executors(self, service: str) -> list[Executor]:
        """Returns the executors that may be given new requests now."""
        return self._usable.get(service, [])

    def demand(self, service: str) -> Demand:
        """Returns the demand record of a service."""
        return self.demands.setdefault(service, Demand())


def _key(address: messages.ExecutorAddress) -> tuple[str, str]:
    return (address.name, address.incarnation)
