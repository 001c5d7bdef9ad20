"""Slots of executors, granted to entries for as long as their lease.

No more slots are out than an executor has. Slots that an entry may still be
using stay out: those it holds, those of an entry whose lease ended, until the
executor shows that they are free, and those of requests that were given up.
"""

from collections.abc import Iterator
import dataclasses
import math

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import messages
from galenahook.upstreams import executors as executors_lib
from galenahook.upstreams import plan as plan_lib

DEMAND_RISE_MS = 250
DEMAND_FALL_MS = 5_000
RECLAIM_AFTER_MS = 3_000
RECLAIM_TURN_MS = 2_000

_EntryKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Holding:
    """Slots of one executor that one entry may use.

    Attributes:
      held: Slots under the executor's current incarnation.
      held_before: Slots under earlier incarnations.
      abandoned: Requests given up, as the entry counts them.
    """

    held: int = 0
    held_before: int = 0
    abandoned: int = 0

    def total(self) -> int:
        """Returns the slots under any incarnation."""
        return self.held + self.held_before


@dataclasses.dataclass(slots=True)
class _Lost:
    """Slots that nobody answers for.

    Attributes:
      holdings: What each entry held whose lease ended.
      unclaimed: Slots of requests given up or granted by an earlier leader.
      bound: Most that all of them together may still be using.
      since_ms: When the last of them could have started a request.
    """

    holdings: dict[_EntryKey, _Holding] = dataclasses.field(
        default_factory=dict
    )
    unclaimed: int = 0
    bound: int = 0
    since_ms: int = 0

    def total(self) -> int:
        """Returns the slots that must stay out."""
        held = sum(holding.total() for holding in self.holdings.values())
        return min(self.bound, held + self.unclaimed)

    def add_holding(
        self, key: _EntryKey, holding: _Holding, since_ms: int
    ) -> None:
        """Adds what an entry held when its lease ended."""
        self.holdings[key] = holding
        self._raise_bound(holding.total(), since_ms)

    def add_unclaimed(self, slots: int, since_ms: int) -> None:
        """Adds slots that no entry will report again."""
        self.unclaimed += slots
        self._raise_bound(slots, since_ms)

    def _raise_bound(self, slots: int, since_ms: int) -> None:
        if slots > 0:
            self.bound += slots
            self.since_ms = max(self.since_ms, since_ms)

    def prove(self, busy: int) -> None:
        """Learns that no more than `busy` slots are in use at all."""
        self.bound = min(self.bound, busy)
        self.unclaimed = min(self.unclaimed, busy)


@dataclasses.dataclass(slots=True)
class _ExecutorSlots:
    """Slots of one executor and who may use them."""

    incarnation: str
    holdings: dict[_EntryKey, _Holding] = dataclasses.field(
        default_factory=dict
    )
    lost: _Lost = dataclasses.field(default_factory=_Lost)
    earlier_counted: bool = False
    first_reported: int = 0

    def out(self) -> int:
        """Returns the slots that may be in use."""
        held = sum(holding.total() for holding in self.holdings.values())
        return held + self.lost.total()


@dataclasses.dataclass(slots=True)
class _EntryState:
    """One incarnation of an entry.

    Attributes:
      name: Name and incarnation of the entry.
      sequence: Its last update.
      lease_end_ms: When its lease is surely over.
      updated_ms: When its last update came.
      leaving: Whether it drains.
      wanted: Smoothed demand by service.
    """

    name: str
    sequence: int
    lease_end_ms: int
    updated_ms: int
    leaving: bool = False
    wanted: dict[str, float] = dataclasses.field(default_factory=dict)


class GrantTable:
    """Grants slots to entries, during one leader's term.

    Attributes:
      lease_ms: Lease of an entry, which its grants share.
      learning_until_ms: Until then entries may hold slots that this leader
        does not know of, and nothing new is granted.
    """

    def __init__(self, clock: clock_lib.Clock, lease_ms: int) -> None:
        self.lease_ms = lease_ms
        self._clock = clock
        self._entries: dict[_EntryKey, _EntryState] = {}
        self._executors: dict[str, _ExecutorSlots] = {}
        self._plans: dict[str, plan_lib.SlotPlan] = {}
        self.learning_until_ms = self._lease_end_ms()

    def update(
        self,
        update: messages.EntryUpdate,
        executors: executors_lib.ExecutorRegistry,
    ) -> tuple[messages.SlotGrant, ...]:
        """Takes an entry's report and returns every grant of that entry.

        The grants last for the lease that the same answer renews. An update
        that comes after a later one changes nothing and gets no grants.
        """
        key = (update.entry, update.incarnation)
        entry = self._entries.get(key)
        if entry is not None and update.sequence <= entry.sequence:
            return ()
        self._expire_entries()
        self._follow_executors(executors)
        entry = self._record_entry(key, update)
        self._record_uses(key, update.slots)
        self._record_demand(entry, update.slots, executors)
        if self._clock.monotonic_ms() < self.learning_until_ms:
            return self._grants_as_held(key)
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
            for slots in self._executors.values():
                holding = slots.holdings.pop(key, None)
                if holding is not None:
                    slots.lost.add_holding(key, holding, entry.lease_end_ms)

    def _follow_executors(
        self, executors: executors_lib.ExecutorRegistry
    ) -> None:
        for name, record in executors.records.items():
            incarnation = record.announcement.incarnation
            slots = self._executors.get(name)
            if slots is None:
                slots = _ExecutorSlots(incarnation)
                self._executors[name] = slots
            elif slots.incarnation != incarnation:
                _restart(slots, incarnation)
            self._count_earlier(slots, record.slots)
            self._prove_free(name, slots, executors)
        for name in self._executors.keys() - executors.records.keys():
            if self._executors[name].out() == 0:
                del self._executors[name]

    def _count_earlier(self, slots: _ExecutorSlots, total: int) -> None:
        """Counts what entries of an earlier leader may hold unreported."""
        if slots.earlier_counted:
            return
        if self._clock.monotonic_ms() < self.learning_until_ms:
            return
        slots.earlier_counted = True
        unknown = max(0, total - slots.first_reported)
        slots.lost.add_unclaimed(unknown, self.learning_until_ms)

    def _prove_free(
        self,
        name: str,
        slots: _ExecutorSlots,
        executors: executors_lib.ExecutorRegistry,
    ) -> None:
        if slots.lost.total() == 0:
            return
        busy = executors.busy_since(name, slots.lost.since_ms)
        if busy is not None:
            slots.lost.prove(busy)

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
            slots = self._executors.get(use.executor)
            if slots is None:
                slots = _ExecutorSlots(use.incarnation)
                self._executors[use.executor] = slots
            holding = reported.setdefault(use.executor, _Holding())
            if use.incarnation == slots.incarnation:
                holding.held += use.held
                holding.abandoned += use.abandoned
            else:
                holding.held_before += use.held
        for name, slots in self._executors.items():
            self._replace_holding(key, slots, reported.get(name, _Holding()))

    def _replace_holding(
        self, key: _EntryKey, slots: _ExecutorSlots, new: _Holding
    ) -> None:
        before = slots.holdings.get(key)
        if before is None:
            before = slots.lost.holdings.pop(key, None)
        if before is None:
            before = _Holding(abandoned=new.abandoned)
            slots.first_reported += new.total()
        abandoned = new.abandoned - before.abandoned
        if abandoned > 0:
            now_ms = self._clock.monotonic_ms()
            slots.lost.add_unclaimed(abandoned, now_ms)
        slots.holdings[key] = new

    def _record_demand(
        self,
        entry: _EntryState,
        uses: tuple[messages.SlotUse, ...],
        executors: executors_lib.ExecutorRegistry,
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        wanted: dict[str, float] = {}
        for use in uses:
            record = executors.records.get(use.executor)
            if record is not None:
                service = record.announcement.service
                wanted[service] = wanted.get(service, 0) + use.wanted
        elapsed_ms = now_ms - entry.updated_ms
        for service, before in entry.wanted.items():
            now = wanted.get(service, 0.0)
            constant_ms = DEMAND_RISE_MS if now > before else DEMAND_FALL_MS
            keep = math.exp(-elapsed_ms / constant_ms)
            wanted[service] = now + (before - now) * keep
        entry.wanted = wanted
        entry.updated_ms = now_ms

    def _grants_as_held(self, key: _EntryKey) -> tuple[messages.SlotGrant, ...]:
        return tuple(
            messages.SlotGrant(
                executor=name,
                incarnation=slots.incarnation,
                slots=slots.holdings[key].held,
            )
            for name, slots in sorted(self._executors.items())
            if slots.holdings[key].held > 0
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
            reclaimed = self._reclaimed(usable)
            for address in usable:
                target = plan.planned(entry.name, address.name)
                if address is reclaimed:
                    target = 0
                slots = self._grant_one(key, address, target)
                if slots > 0:
                    yield messages.SlotGrant(
                        executor=address.name,
                        incarnation=address.incarnation,
                        slots=slots,
                    )

    def _plan(
        self, service: str, usable: list[messages.ExecutorAddress]
    ) -> plan_lib.SlotPlan:
        plan = self._plans.setdefault(service, plan_lib.SlotPlan())
        executors = {address.name: address.slots for address in usable}
        wanted = {
            entry.name: entry.wanted.get(service, 0.0)
            for entry in self._entries.values()
            if not entry.leaving
        }
        plan.update(executors, wanted)
        return plan

    def _reclaimed(
        self, usable: list[messages.ExecutorAddress]
    ) -> messages.ExecutorAddress | None:
        """Returns the executor that gets nothing for a moment, if any.

        Under steady load an executor never shows that lost slots are free.
        Those with lost slots take turns in being left idle until they do.
        """
        now_ms = self._clock.monotonic_ms()
        waiting = []
        for address in usable:
            lost = self._executors[address.name].lost
            if lost.total() and now_ms - lost.since_ms >= RECLAIM_AFTER_MS:
                waiting.append(address)
        if not waiting or len(usable) == 1:
            return None
        return waiting[now_ms // RECLAIM_TURN_MS % len(waiting)]

    def _grant_one(
        self, key: _EntryKey, address: messages.ExecutorAddress, target: int
    ) -> int:
        slots = self._executors[address.name]
        holding = slots.holdings[key]
        free = address.slots - (slots.out() - holding.held)
        granted = max(0, min(target, free))
        holding.held = max(holding.held, granted)
        return granted


def _restart(slots: _ExecutorSlots, incarnation: str) -> None:
    """Carries what entries may hold over to a new incarnation."""
    slots.incarnation = incarnation
    lost = slots.lost.holdings.values()
    for holding in (*slots.holdings.values(), *lost):
        holding.held_before += holding.held
        holding.held = 0
        holding.abandoned = 0


def _usable_by_service(
    executors: executors_lib.ExecutorRegistry,
) -> dict[str, list[messages.ExecutorAddress]]:
    by_service: dict[str, list[messages.ExecutorAddress]] = {}
    for address in executors.current.values():
        if address.usable:
            by_service.setdefault(address.service, []).append(address)
    return by_service
