"""Grants slots of executors to entries for the duration of their lease.

No grant raises an executor's outstanding slots above its total. Slots that an
entry may still be using stay outstanding: those that it holds, and the
unaccounted ones of expired entries and abandoned requests, until an
announcement of the executor shows that they are free.
"""

from collections.abc import Iterator
import dataclasses
import math

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import messages
from galenahook.upstreams import executors as executors_lib
from galenahook.upstreams import plan as plan_lib

# Time constants of the exponential smoothing of an entry's demand.
DEMAND_RISE_TIME_CONSTANT_MS = 250
DEMAND_FALL_TIME_CONSTANT_MS = 5_000
# An executor with slots unaccounted for this long is left idle to reclaim them.
RECLAIM_DELAY_MS = 3_000
# Several such executors take turns of this length.
RECLAIM_TURN_MS = 2_000

_EntryKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Holding:
    """Slots of one executor that one entry may use.

    Attributes:
      held: Slots under the executor's current incarnation.
      held_before: Slots under earlier incarnations.
      abandoned: Cumulative count of abandoned requests that the entry reports.
    """

    held: int = 0
    held_before: int = 0
    abandoned: int = 0

    def total(self) -> int:
        """Returns the slots under all incarnations."""
        return self.held + self.held_before


@dataclasses.dataclass(slots=True)
class _Unaccounted:
    """Slots of one executor that no live entry accounts for.

    Attributes:
      holdings: Holdings of expired entries.
      unclaimed: Slots of abandoned requests, and slots that an earlier leader
        may have granted.
      bound: Upper bound on how many of these slots are still in use.
      last_start_ms: Latest time at which a request could start on one of them.
    """

    holdings: dict[_EntryKey, _Holding] = dataclasses.field(
        default_factory=dict
    )
    unclaimed: int = 0
    bound: int = 0
    last_start_ms: int = 0

    def total(self) -> int:
        """Returns the slots that must stay outstanding."""
        held = sum(holding.total() for holding in self.holdings.values())
        return min(self.bound, held + self.unclaimed)

    def add_holding(
        self, key: _EntryKey, holding: _Holding, last_start_ms: int
    ) -> None:
        """Adds the holding of an entry whose lease ended."""
        self.holdings[key] = holding
        self._raise_bound(holding.total(), last_start_ms)

    def add_unclaimed(self, slots: int, last_start_ms: int) -> None:
        """Adds slots that no entry will report."""
        self.unclaimed += slots
        self._raise_bound(slots, last_start_ms)

    def _raise_bound(self, slots: int, last_start_ms: int) -> None:
        if slots > 0:
            self.bound += slots
            self.last_start_ms = max(self.last_start_ms, last_start_ms)

    def limit(self, busy: int) -> None:
        """Lowers the bounds to the executor's total of busy slots."""
        self.bound = min(self.bound, busy)
        self.unclaimed = min(self.unclaimed, busy)


@dataclasses.dataclass(slots=True)
class _ExecutorState:
    """Outstanding slots of one executor.

    Attributes:
      incarnation: Incarnation of the executor.
      holdings: Holdings of the entries with a lease.
      unaccounted: Slots that none of these entries accounts for.
      earlier_grants_added: Whether `unaccounted` includes the slots that an
        earlier leader may have granted.
      initially_held: Slots that the entries held in their first reports.
    """

    incarnation: str
    holdings: dict[_EntryKey, _Holding] = dataclasses.field(
        default_factory=dict
    )
    unaccounted: _Unaccounted = dataclasses.field(default_factory=_Unaccounted)
    earlier_grants_added: bool = False
    initially_held: int = 0

    def outstanding(self) -> int:
        """Returns the slots that may be in use."""
        held = sum(holding.total() for holding in self.holdings.values())
        return held + self.unaccounted.total()


@dataclasses.dataclass(slots=True)
class _EntryState:
    """One incarnation of an entry.

    Attributes:
      name: Name and incarnation of the entry.
      sequence: Sequence number of its last update.
      lease_end_ms: Time by which its lease has ended even on a slow clock.
      updated_ms: When its last update arrived.
      leaving: Whether it is draining.
      demand: Smoothed demand by service.
    """

    name: str
    sequence: int
    lease_end_ms: int
    updated_ms: int
    leaving: bool = False
    demand: dict[str, float] = dataclasses.field(default_factory=dict)


class GrantTable:
    """Grants slots to entries, during one leader's term.

    Attributes:
      lease_ms: Duration of an entry's lease and of its grants.
      learning_until_ms: End of the period in which entries may hold slots that
        this leader does not know of, so that it grants no new ones.
    """

    def __init__(self, clock: clock_lib.Clock, lease_ms: int) -> None:
        self.lease_ms = lease_ms
        self._clock = clock
        self._entries: dict[_EntryKey, _EntryState] = {}
        self._executors: dict[str, _ExecutorState] = {}
        self._plans: dict[str, plan_lib.SlotPlan] = {}
        self.learning_until_ms = self._lease_end_ms()

    def update(
        self,
        update: messages.EntryUpdate,
        executors: executors_lib.ExecutorRegistry,
    ) -> tuple[messages.SlotGrant, ...]:
        """Records an entry's update and returns all grants of that entry.

        The grants last for the lease that the same reply renews. An update
        that arrives after a later one is ignored and gets no grants.
        """
        key = (update.entry, update.incarnation)
        entry = self._entries.get(key)
        if entry is not None and update.sequence <= entry.sequence:
            return ()
        self._expire_entries()
        self._sync_executors(executors)
        entry = self._record_entry(key, update)
        self._record_uses(key, update.slots)
        self._record_demand(entry, update.slots, executors)
        if self._clock.monotonic_ms() < self.learning_until_ms:
            return self._grants_of_held_slots(key)
        return tuple(self._grant(key, entry, executors))

    def _lease_end_ms(self) -> int:
        margin = defaults.CLOCK_RATE_MARGIN_PERCENT
        margin_ms = self.lease_ms * margin // 100 + 1
        return self._clock.monotonic_ms() + self.lease_ms + margin_ms

    def _expire_entries(self) -> None:
        now_ms = self._clock.monotonic_ms()
        for key, entry in list(self._entries.items()):
            if entry.lease_end_ms > now_ms:
                continue
            del self._entries[key]
            for executor_state in self._executors.values():
                holding = executor_state.holdings.pop(key, None)
                if holding is not None:
                    executor_state.unaccounted.add_holding(
                        key, holding, entry.lease_end_ms
                    )

    def _sync_executors(
        self, executors: executors_lib.ExecutorRegistry
    ) -> None:
        for name, record in executors.records.items():
            incarnation = record.announcement.incarnation
            executor_state = self._executors.get(name)
            if executor_state is None:
                executor_state = _ExecutorState(incarnation)
                self._executors[name] = executor_state
            elif executor_state.incarnation != incarnation:
                _change_incarnation(executor_state, incarnation)
            self._add_earlier_grants(executor_state, record.slots)
            self._reclaim_unaccounted(name, executor_state, executors)
        for name in self._executors.keys() - executors.records.keys():
            if self._executors[name].outstanding() == 0:
                del self._executors[name]

    def _add_earlier_grants(
        self, executor_state: _ExecutorState, total: int
    ) -> None:
        """Adds slots that an earlier leader may have granted.

        Once every lease of that leader has ended, slots that no entry held in
        its first report to this leader count as unaccounted.
        """
        if executor_state.earlier_grants_added:
            return
        if self._clock.monotonic_ms() < self.learning_until_ms:
            return
        executor_state.earlier_grants_added = True
        unreported = max(0, total - executor_state.initially_held)
        executor_state.unaccounted.add_unclaimed(
            unreported, self.learning_until_ms
        )

    def _reclaim_unaccounted(
        self,
        name: str,
        executor_state: _ExecutorState,
        executors: executors_lib.ExecutorRegistry,
    ) -> None:
        if executor_state.unaccounted.total() == 0:
            return
        busy = executors.busy_slots_after(
            name, executor_state.unaccounted.last_start_ms
        )
        if busy is not None:
            executor_state.unaccounted.limit(busy)

    def _record_entry(
        self, key: _EntryKey, update: messages.EntryUpdate
    ) -> _EntryState:
        entry = self._entries.get(key)
        now_ms = self._clock.monotonic_ms()
        if entry is None:
            entry = _EntryState("/".join(key), 0, 0, now_ms)
            self._entries[key] = entry
        entry.sequence = update.sequence
        entry.lease_end_ms = self._lease_end_ms()
        entry.leaving = update.leaving
        return entry

    def _record_uses(
        self, key: _EntryKey, uses: tuple[messages.SlotUse, ...]
    ) -> None:
        reported: dict[str, _Holding] = {}
        for use in uses:
            executor_state = self._executors.get(use.executor)
            if executor_state is None:
                executor_state = _ExecutorState(use.incarnation)
                self._executors[use.executor] = executor_state
            holding = reported.setdefault(use.executor, _Holding())
            if use.incarnation == executor_state.incarnation:
                holding.held += use.held
                holding.abandoned += use.abandoned
            else:
                holding.held_before += use.held
        for name, executor_state in self._executors.items():
            self._replace_holding(
                key, executor_state, reported.get(name, _Holding())
            )

    def _replace_holding(
        self, key: _EntryKey, executor_state: _ExecutorState, new: _Holding
    ) -> None:
        previous = executor_state.holdings.get(key)
        if previous is None:
            previous = executor_state.unaccounted.holdings.pop(key, None)
        if previous is None:
            previous = _Holding(abandoned=new.abandoned)
            executor_state.initially_held += new.total()
        abandoned = new.abandoned - previous.abandoned
        if abandoned > 0:
            now_ms = self._clock.monotonic_ms()
            executor_state.unaccounted.add_unclaimed(abandoned, now_ms)
        executor_state.holdings[key] = new

    def _record_demand(
        self,
        entry: _EntryState,
        uses: tuple[messages.SlotUse, ...],
        executors: executors_lib.ExecutorRegistry,
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        demand: dict[str, float] = {}
        for use in uses:
            record = executors.records.get(use.executor)
            if record is not None:
                service = record.announcement.service
                demand[service] = demand.get(service, 0) + use.wanted
        elapsed_ms = now_ms - entry.updated_ms
        for service, previous in entry.demand.items():
            reported = demand.get(service, 0.0)
            time_constant_ms = (
                DEMAND_RISE_TIME_CONSTANT_MS
                if reported > previous
                else DEMAND_FALL_TIME_CONSTANT_MS
            )
            decay = math.exp(-elapsed_ms / time_constant_ms)
            demand[service] = reported + (previous - reported) * decay
        entry.demand = demand
        entry.updated_ms = now_ms

    def _grants_of_held_slots(
        self, key: _EntryKey
    ) -> tuple[messages.SlotGrant, ...]:
        return tuple(
            messages.SlotGrant(
                executor=name,
                incarnation=executor_state.incarnation,
                slots=executor_state.holdings[key].held,
            )
            for name, executor_state in sorted(self._executors.items())
            if executor_state.holdings[key].held > 0
        )

    def _grant(
        self,
        key: _EntryKey,
        entry: _EntryState,
        executors: executors_lib.ExecutorRegistry,
    ) -> Iterator[messages.SlotGrant]:
        by_service = _usable_by_service(executors)
        for service in self._plans.keys() - by_service.keys():
            del self._plans[service]
        for service, usable in by_service.items():
            plan = self._plan(service, usable)
            to_reclaim = self._executor_to_reclaim(usable)
            for executor in usable:
                target = plan.planned(entry.name, executor.name)
                if executor is to_reclaim:
                    target = 0
                slots = self._grant_one(key, executor, target)
                if slots > 0:
                    yield messages.SlotGrant(
                        executor=executor.name,
                        incarnation=executor.incarnation,
                        slots=slots,
                    )

    def _plan(
        self, service: str, usable: list[messages.ExecutorAddress]
    ) -> plan_lib.SlotPlan:
        plan = self._plans.setdefault(service, plan_lib.SlotPlan())
        executors = {executor.name: executor.slots for executor in usable}
        demand = {
            entry.name: entry.demand.get(service, 0.0)
            for entry in self._entries.values()
            if not entry.leaving
        }
        plan.update(executors, demand)
        return plan

    def _executor_to_reclaim(
        self, usable: list[messages.ExecutorAddress]
    ) -> messages.ExecutorAddress | None:
        """Returns the executor whose slots are withheld now, if any.

        Under steady load an executor never shows that unaccounted slots are
        free. Executors with unaccounted slots are left idle in turn until
        their announcements show it.
        """
        now_ms = self._clock.monotonic_ms()
        candidates = []
        for executor in usable:
            unaccounted = self._executors[executor.name].unaccounted
            if (
                unaccounted.total()
                and now_ms - unaccounted.last_start_ms >= RECLAIM_DELAY_MS
            ):
                candidates.append(executor)
        if not candidates or len(usable) == 1:
            return None
        return candidates[now_ms // RECLAIM_TURN_MS % len(candidates)]

    def _grant_one(
        self, key: _EntryKey, executor: messages.ExecutorAddress, target: int
    ) -> int:
        executor_state = self._executors[executor.name]
        holding = executor_state.holdings[key]
        free = executor.slots - (executor_state.outstanding() - holding.held)
        granted = max(0, min(target, free))
        # Slots that a smaller grant withdraws stay outstanding until the entry
        # reports that it no longer uses them.
        holding.held = max(holding.held, granted)
        return granted


def _change_incarnation(
    executor_state: _ExecutorState, incarnation: str
) -> None:
    """Moves holdings to `held_before` when an executor has restarted."""
    executor_state.incarnation = incarnation
    unaccounted = executor_state.unaccounted.holdings.values()
    for holding in (*executor_state.holdings.values(), *unaccounted):
        holding.held_before += holding.held
        holding.held = 0
        holding.abandoned = 0


def _usable_by_service(
    executors: executors_lib.ExecutorRegistry,
) -> dict[str, list[messages.ExecutorAddress]]:
    by_service: dict[str, list[messages.ExecutorAddress]] = {}
    for executor in executors.current.values():
        if executor.usable:
            by_service.setdefault(executor.service, []).append(executor)
    return by_service
