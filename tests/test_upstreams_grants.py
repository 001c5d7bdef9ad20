"""Slots are never granted twice: a stateful test against an oracle.

The oracle counts the requests that each executor runs. Entries use `EntryView`;
updates, replies and announcements are lost, delayed or reordered; processes
restart.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from galenahook import clock as clock_lib
from galenahook import configuration
from galenahook import messages
from galenahook.upstreams import executors as executors_lib
from galenahook.upstreams import grants as grants_lib
from galenahook.upstreams import view as view_lib

LEASE_MS = 2_000
SLOTS = 8
HIGH_DEMAND = 20
SERVICE = "prices"
ENTRIES = ("entry-1", "entry-2", "entry-3")
EXECUTORS = ("executor-1", "executor-2")


class SimulatedClock(clock_lib.Clock):
    """A clock that the test advances."""

    def __init__(self, offset_ms: int = 0) -> None:
        self.now_ms = 1_000_000
        self.offset_ms = offset_ms

    def monotonic_ms(self) -> int:
        return self.now_ms + self.offset_ms


@dataclasses.dataclass(slots=True)
class RunningExecutor:
    """An executor of the oracle: counts its requests."""

    name: str
    clock: SimulatedClock
    generation: int = 1
    sequence: int = 0
    running: int = 0

    def announcement(self) -> messages.ExecutorAnnouncement:
        self.sequence += 1
        return messages.ExecutorAnnouncement(
            name=self.name,
            incarnation=f"{self.name}/{self.generation}",
            sequence=self.sequence,
            sent_at_ms=self.clock.monotonic_ms(),
            address="127.0.0.1:1",
            availability_zone="a",
            service=SERVICE,
            slots=SLOTS,
            connections=64,
            busy_slots=self.running,
        )


@dataclasses.dataclass(slots=True)
class RunningRequest:
    """A request at an executor; `slot` is None once its entry abandoned it."""

    executor: RunningExecutor
    generation: int
    view: view_lib.EntryView | None
    slot: view_lib.Executor | None


@dataclasses.dataclass(slots=True)
class SentUpdate:
    """An update in transit, and its reply once the leader has made one."""

    view: view_lib.EntryView
    update: messages.EntryUpdate
    sent_at_ms: int
    reply: messages.EntryUpdateReply | None = None


class SlotsMachine(stateful.RuleBasedStateMachine):
    """Entries, executors and leaders, connected by a faulty network."""

    def __init__(self) -> None:
        super().__init__()
        self.clocks = [SimulatedClock(7_000 * n) for n in range(6)]
        self.executors = {
            name: RunningExecutor(name, self.clocks[index])
            for index, name in enumerate(EXECUTORS)
        }
        self.views: dict[str, view_lib.EntryView] = {}
        self.sequences: dict[str, int] = {}
        self.started = 0
        for name in ENTRIES:
            self.start_entry(name)
        self.requests: list[RunningRequest] = []
        self.sent: list[SentUpdate] = []
        self.delayed: list[messages.ExecutorAnnouncement] = []
        self.cut_off_entries: set[str] = set()
        self.elect()
        self.run_without_faults(12)

    def start_entry(self, name: str) -> None:
        self.started += 1
        clock = self.clocks[2 + ENTRIES.index(name)]
        view = view_lib.EntryView(name, f"{self.started}", "a", clock)
        view.demand(SERVICE).add()
        self.views[name] = view
        self.sequences[view.incarnation] = 0

    def elect_without_announcements(self) -> None:
        clock = self.clocks[-1]
        self.registry = executors_lib.ExecutorRegistry(clock)
        self.grants = grants_lib.GrantTable(clock, LEASE_MS)

    def elect(self) -> None:
        self.elect_without_announcements()
        for executor in self.executors.values():
            self.registry.announce(executor.announcement())

    def advance(self, duration_ms: int) -> None:
        for clock in self.clocks:
            clock.now_ms += duration_ms

    def send(self, name: str) -> SentUpdate:
        view = self.views[name]
        self.sequences[view.incarnation] += 1
        update = messages.EntryUpdate(
            entry=name,
            incarnation=view.incarnation,
            sequence=self.sequences[view.incarnation],
            availability_zone="a",
            revision=view.revision,
            upstreams_version=view.upstreams_version,
            slots=view.slot_uses(),
        )
        clock = self.clocks[2 + ENTRIES.index(name)]
        return SentUpdate(view, update, clock.monotonic_ms())

    def handle_update(self, sent: SentUpdate) -> None:
        addresses = self.registry.addresses(configuration.ConfigurationRecord())
        known = sent.update.upstreams_version == self.registry.version
        sent.reply = messages.EntryUpdateReply(
            lease_ms=LEASE_MS,
            configuration=messages.EntryConfiguration(revision=1),
            upstreams_version=self.registry.version,
            executors=None if known else addresses,
            grants=self.grants.update(sent.update, self.registry),
        )

    def exchange(self, name: str) -> None:
        sent = self.send(name)
        self.handle_update(sent)
        assert sent.reply is not None
        sent.view.apply_reply(sent.reply, sent.sent_at_ms)

    @stateful.rule(duration_ms=st.sampled_from((20, 200, 900, 2_500)))
    def pass_time(self, duration_ms: int) -> None:
        self.advance(duration_ms)

    @stateful.rule(name=st.sampled_from(ENTRIES))
    def exchange_update(self, name: str) -> None:
        self.exchange(name)

    @stateful.rule(name=st.sampled_from(ENTRIES))
    def cut_off(self, name: str) -> None:
        self.cut_off_entries.add(name)

    @stateful.rule()
    def reconnect(self) -> None:
        self.cut_off_entries.clear()

    @stateful.rule(steps=st.sampled_from((2, 12)))
    def run_without_faults(self, steps: int = 2) -> None:
        """Runs without faults, 250 ms a step."""
        for _ in range(steps):
            self.advance(250)
            self.announce_all()
            for name in ENTRIES:
                if name not in self.cut_off_entries:
                    self.exchange(name)

    @stateful.rule()
    def use_all(self) -> None:
        for name in ENTRIES:
            self.use_all_slots(name)

    @stateful.rule(name=st.sampled_from(ENTRIES))
    def send_update(self, name: str) -> None:
        self.sent.append(self.send(name))

    @stateful.rule()
    def deliver_updates(self) -> None:
        for sent in self.sent:
            self.handle_update(sent)

    @stateful.rule()
    def deliver_replies(self) -> None:
        for sent in self.sent:
            if sent.reply is not None:
                sent.view.apply_reply(sent.reply, sent.sent_at_ms)

    def announce_all(self) -> None:
        for executor in self.executors.values():
            self.registry.announce(executor.announcement())

    @stateful.rule()
    def announce(self) -> None:
        self.announce_all()

    @stateful.rule(name=st.sampled_from(EXECUTORS))
    def delay_announcement(self, name: str) -> None:
        self.delayed.append(self.executors[name].announcement())

    @stateful.rule()
    def deliver_announcements(self) -> None:
        for announcement in self.delayed:
            self.registry.announce(announcement)

    @stateful.rule(name=st.sampled_from(ENTRIES))
    def use_all_slots(self, name: str) -> None:
        view = self.views[name]
        for slot in view.executors.values():
            while view.has_lease() and slot.busy < slot.granted:
                self.start(view, slot)

    def start(self, view: view_lib.EntryView, slot: view_lib.Executor) -> None:
        slot.busy += 1
        executor = self.executors[slot.address.name]
        executor.running += 1
        self.requests.append(
            RunningRequest(executor, executor.generation, view, slot)
        )
        assert executor.running <= SLOTS

    @stateful.rule(
        name=st.sampled_from(ENTRIES),
        demanded=st.sampled_from((0, 4, HIGH_DEMAND)),
    )
    def set_demand(self, name: str, demanded: int) -> None:
        demand = self.views[name].demand(SERVICE)
        demand.current = demanded
        demand.peak = demanded

    @stateful.rule(name=st.sampled_from(ENTRIES))
    def finish_requests(self, name: str) -> None:
        for request in list(self.requests):
            if request.view is self.views[name]:
                self.finish(request)

    def finish(self, request: RunningRequest) -> None:
        self.requests.remove(request)
        if request.generation == request.executor.generation:
            request.executor.running -= 1
        if request.slot is not None:
            request.slot.busy -= 1

    @stateful.rule(name=st.sampled_from(ENTRIES))
    def abandon_requests(self, name: str) -> None:
        for request in self.requests:
            slot = request.slot
            if request.view is self.views[name] and slot is not None:
                slot.busy -= 1
                slot.abandoned += 1
                slot.granted = max(0, slot.granted - 1)
                request.slot = None

    @stateful.rule(name=st.sampled_from(ENTRIES))
    def restart_entry(self, name: str) -> None:
        replaced = self.views[name]
        for request in self.requests:
            if request.view is replaced:
                request.slot = None
        self.sent = [sent for sent in self.sent if sent.view is not replaced]
        self.start_entry(name)

    @stateful.rule(name=st.sampled_from(EXECUTORS))
    def restart_executor(self, name: str) -> None:
        executor = self.executors[name]
        for request in list(self.requests):
            if request.executor is executor:
                self.finish(request)
        executor.generation += 1
        executor.running = 0
        executor.sequence = 0
        self.advance(executors_lib.REPLACE_AFTER_MS)
        self.registry.announce(executor.announcement())

    @stateful.rule()
    def change_leader(self) -> None:
        self.elect()

    def teardown(self) -> None:
        """Checks that without faults every slot is granted again."""
        self.reconnect()
        for request in list(self.requests):
            self.finish(request)
        for _ in range(30):
            self.run_without_faults()
        for name in EXECUTORS:
            granted = sum(
                view.executors[name].granted for view in self.views.values()
            )
            assert granted == SLOTS, f"{name}: {granted} slots granted"


TestSlots = SlotsMachine.TestCase


FAULT_SCENARIOS = {
    "an entry restarts with requests in flight": (
        ("use_all",),
        ("restart_entry", "entry-1"),
        ("run_without_faults", 12),
        ("use_all",),
    ),
    "an entry is cut off with requests in flight": (
        ("use_all",),
        ("cut_off", "entry-1"),
        ("set_demand", "entry-2", HIGH_DEMAND),
        ("run_without_faults", 12),
        ("use_all",),
    ),
    "a cut-off entry goes on after its lease": (
        ("cut_off", "entry-1"),
        ("run_without_faults", 12),
        ("use_all",),
    ),
    "the leader changes while an entry is cut off": (
        ("use_all",),
        ("cut_off", "entry-1"),
        ("change_leader",),
        ("run_without_faults", 12),
        ("use_all",),
    ),
    "a new leader has no update of an entry yet": (
        ("change_leader",),
        ("cut_off", "entry-1"),
        ("run_without_faults", 2),
        ("use_all",),
    ),
    "requests are abandoned": (
        ("use_all",),
        ("abandon_requests", "entry-1"),
        ("run_without_faults", 2),
        ("use_all",),
    ),
    "requests are abandoned while an update is in transit": (
        ("use_all",),
        ("send_update", "entry-1"),
        ("abandon_requests", "entry-1"),
        ("deliver_updates",),
        ("deliver_replies",),
        ("use_all",),
    ),
    "a reply arrives after a later update": (
        ("send_update", "entry-1"),
        ("deliver_updates",),
        ("set_demand", "entry-1", 0),
        ("set_demand", "entry-2", HIGH_DEMAND),
        ("run_without_faults", 30),
        ("deliver_replies",),
        ("use_all",),
    ),
    "an update arrives after a later one": (
        ("set_demand", "entry-1", 0),
        ("set_demand", "entry-2", HIGH_DEMAND),
        ("set_demand", "entry-3", HIGH_DEMAND),
        ("run_without_faults", 30),
        ("send_update", "entry-1"),
        ("set_demand", "entry-1", HIGH_DEMAND),
        ("set_demand", "entry-2", 0),
        ("set_demand", "entry-3", 0),
        ("run_without_faults", 30),
        ("set_demand", "entry-2", HIGH_DEMAND),
        ("exchange_update", "entry-2"),
        ("deliver_updates",),
        ("exchange_update", "entry-2"),
        ("use_all",),
    ),
    "a reply is delayed for most of a lease": (
        ("send_update", "entry-1"),
        ("deliver_updates",),
        ("pass_time", 1_800),
        ("deliver_replies",),
        ("cut_off", "entry-1"),
        ("set_demand", "entry-2", HIGH_DEMAND),
        ("run_without_faults", 3),
        ("use_all",),
    ),
    "a new leader gets delayed announcements first": (
        ("delay_announcement", "executor-1"),
        ("delay_announcement", "executor-2"),
        ("use_all",),
        ("cut_off", "entry-1"),
        ("elect_without_announcements",),
        ("pass_time", 2_500),
        ("deliver_announcements",),
        ("exchange_update", "entry-2"),
        ("exchange_update", "entry-2"),
        ("use_all",),
    ),
    "an announcement is delayed": (
        ("delay_announcement", "executor-1"),
        ("delay_announcement", "executor-2"),
        ("use_all",),
        ("restart_entry", "entry-1"),
        ("pass_time", 2_500),
        ("exchange_update", "entry-2"),
        ("deliver_announcements",),
        ("exchange_update", "entry-2"),
        ("exchange_update", "entry-3"),
        ("exchange_update", "entry-1"),
        ("use_all",),
    ),
    "an executor restarts while an entry is cut off": (
        ("cut_off", "entry-1"),
        ("restart_executor", "executor-1"),
        ("set_demand", "entry-2", HIGH_DEMAND),
        ("run_without_faults", 2),
        ("use_all",),
    ),
}


@pytest.mark.parametrize("name", FAULT_SCENARIOS)
def test_slots_are_not_granted_twice_when(name: str) -> None:
    machine = SlotsMachine()
    for step, *arguments in FAULT_SCENARIOS[name]:
        getattr(machine, step)(*arguments)
    machine.teardown()


def test_abandoned_slots_are_granted_again_under_full_load() -> None:
    machine = SlotsMachine()
    machine.use_all()
    machine.abandon_requests("entry-1")
    for _ in range(80):
        for request in list(machine.requests):
            machine.finish(request)
        machine.use_all()
        machine.run_without_faults(1)
    assert sum(
        executor.granted
        for view in machine.views.values()
        for executor in view.executors.values()
    ) == SLOTS * len(EXECUTORS)
