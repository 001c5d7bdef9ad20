"""Announcements of workers: what they change, and what they don't.

Anybody can send one. Fake processes listen at addresses; what an announcement
says of them may be wrong.
"""

import curio
import msgspec
import pytest

import announced_workers
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import job_metrics
from galenahook import state as state_lib
from galenahook.jobs import calls
from galenahook.jobs import candidates as candidates_lib
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import worker_api
import job_builders as build

TASK = f"{build.JOB}.0.0.0"
LEASE_MS = 3_000
ADDRESS = "127.0.0.1:9"
OTHER_ADDRESS = "127.0.0.1:10"
REFUSED = ConnectionRefusedError()


class FakeNode:
    """A replica that leads and commits at once."""

    def __init__(self, state=None, term=7):
        self.state = state or state_lib.State()
        self._term = term

    def term(self):
        return self._term

    def has_valid_lease(self):
        return True

    def is_leader(self):
        return True

    async def submit(self, command):
        return self.state.apply(command)


class Process:
    """A process that listens at an address.

    Attributes:
      name: Identifier of its worker.
      born_ms: Its incarnation.
      failure: Why its calls get no reply; None if they do.
      running: Run of each task that it runs.
      fence: Highest fencing token that it has seen.
      lease_until_ms: Latest end of a lease that it was sent.
      acknowledged: Highest end that was acknowledged.
    """

    def __init__(self, name="w1", born_ms=1):
        self.name = name
        self.born_ms = born_ms
        self.failure = None
        self.running = {}
        self.fence = 0
        self.lease_until_ms = 0
        self.acknowledged = 0

    def check(self, worker, fence):
        if self.failure is not None:
            raise errors.ExchangeError("no reply", True) from self.failure
        if worker != self.name:
            raise worker_api.ReplacedError(worker)
        if fence < self.fence:
            raise worker_api.DeposedError(worker)
        self.fence = fence


class Client(worker_api.WorkerClient):
    """Sends calls to whatever process listens at the announced address."""

    def __init__(self, heartbeat, processes):
        self.worker = heartbeat.worker
        self.address = heartbeat.address
        self.processes = processes
        self.polls = 0

    def require(self, _may_order):
        pass

    def process(self, fence):
        process = self.processes.get(self.address)
        if process is None:
            raise errors.ExchangeError("refused", False) from REFUSED
        process.check(self.worker, fence)
        return process

    async def poll(self, fence, acknowledged, lease_until_ms, _wait_ms):
        await curio.sleep(0.002)
        self.polls += 1
        process = self.process(fence)
        process.acknowledged = max(process.acknowledged, acknowledged)
        process.lease_until_ms = max(process.lease_until_ms, lease_until_ms)
        rows = [
            worker_api.RunningRow(task, run, "", 10.0, None)
            for task, run in process.running.items()
        ]
        return worker_api.PollReply(process.born_ms, 10_000, rows, [], True)

    async def start(self, order):
        process = self.process(order.fence)
        process.running[order.task] = order.run
        return worker_api.StartAnswer.RUNNING, ""

    async def stop(self, task, _run, fence):
        self.process(fence).running.pop(task, None)
        return True

    async def close(self):
        pass


class Site:
    """A leader and the processes that it can reach.

    Attributes:
      processes: Process at each address.
      node: The replica that leads.
      dispatcher: Its dispatcher; a test runs the rounds.
    """

    def __init__(self, node=None, processes=None):
        self.processes = processes or {ADDRESS: Process()}
        self.node = node or FakeNode()
        self.dispatcher = dispatcher_lib.Dispatcher(
            self.node,
            clock_lib.Clock(),
            lambda heartbeat: Client(heartbeat, self.processes),
            LEASE_MS,
            job_metrics.JobMetrics(),
        )

    @property
    def process(self):
        return self.processes[ADDRESS]

    @property
    def job(self):
        return self.node.state.jobs.jobs[build.JOB]

    @property
    def worker(self):
        return self.dispatcher.links["w1"].worker

    async def announce(self, name="w1", **changes):
        """Sends a heartbeat; returns once its worker was asked and polled."""
        values = {"machine": "m-1", "sequence": 9, **changes}
        heartbeat = build.heartbeat(name, **values)
        await self.dispatcher.handle_heartbeat(heartbeat)
        candidates = self.dispatcher.candidates.by_identity
        candidate = candidates.get(heartbeat.identity)
        if candidate is not None and candidate.is_asked:
            link = candidate.link
            before = link.client.polls
            await announced_workers.until(lambda: link.client.polls > before)
            await curio.sleep(0.005)
            if heartbeat.identity not in candidates and not link.ended:
                worker = link.worker
                await announced_workers.until(
                    lambda: worker.has_polled or worker.is_unresponsive
                )
        await curio.sleep(0.02)

    async def round(self):
        await self.dispatcher._round()
        await curio.sleep(0.02)

    async def lead_again(self):
        """Replaces the leader by one that has only the state."""
        await self.dispatcher.close()
        node = FakeNode(self.node.state, self.node.term() + 1)
        return Site(node, self.processes)


def run(scenario, *arguments):
    """Runs a scenario with a worker that runs the only task."""

    async def main():
        site = Site()
        site.node.state.apply(build.put_site())
        site.node.state.apply(build.submit())
        await site.announce(sequence=1)
        await site.round()
        await announced_workers.until(lambda: site.process.running)
        assert site.process.running == {TASK: 1}
        await scenario(site, *arguments)
        await site.dispatcher.close()

    curio.run(main)


def check_goes_on(site):
    """Checks that the worker still runs its task and is usable."""
    assert site.process.running == {TASK: 1}
    assert site.job.active == {(0, 0, 0)}
    assert site.job.runs[0, 0, 0].run == 1
    assert set(site.dispatcher.links) == {"w1"}
    assert site.worker.heartbeat.address == ADDRESS
    assert site.worker.runs.keys() == {TASK}
    assert site.worker.is_usable(site.dispatcher.now_ms())


# What another writer may say beside the worker w1, born at 1 ms on the VM m-1.
OTHER_INCARNATIONS = {
    "its VM": {"name": "x", "born_ms": 2, "address": OTHER_ADDRESS},
    "its VM and address": {"name": "x", "born_ms": 2},
    "its identifier": {"born_ms": 2, "address": OTHER_ADDRESS},
    "its identifier and address": {"born_ms": 2},
    "its identifier, earlier": {"born_ms": 0},
    "its identifier, another VM": {"born_ms": 2, "machine": "m-2"},
    "its incarnation, elsewhere": {"address": OTHER_ADDRESS},
}
CONTRADICTIONS = {
    "another VM": {"machine": "m-2"},
    "another service": {"service": "other"},
    "another zone": {"availability_zone": "zone-b"},
    "no labels": {"labels": ()},
    "no capacity": {"address": OTHER_ADDRESS, "cpu_millis": 0},
    "draining": {"address": OTHER_ADDRESS, "draining": True},
}


@pytest.mark.parametrize(
    "stranger", OTHER_INCARNATIONS.values(), ids=OTHER_INCARNATIONS
)
def test_a_run_goes_on_beside_an_announcement_that_names_its_worker(stranger):
    """Guards against runs that an unverified announcement ends."""

    async def scenario(site):
        for sequence in range(10, 13):
            await site.announce(**{"sequence": sequence, **stranger})
            await site.round()
        check_goes_on(site)

    run(scenario)


@pytest.mark.parametrize(
    "stranger", OTHER_INCARNATIONS.values(), ids=OTHER_INCARNATIONS
)
def test_a_new_leader_ends_no_run_for_an_announcement(stranger):
    """Guards against the same where only the state tells of the run."""

    async def scenario(site):
        later = await site.lead_again()
        await later.announce(**stranger)
        await later.round()
        assert later.job.active == {(0, 0, 0)}
        assert later.dispatcher.links == {}
        await later.announce()
        await later.round()
        check_goes_on(later)
        await later.dispatcher.close()

    run(scenario)


@pytest.mark.parametrize(
    "stranger", CONTRADICTIONS.values(), ids=CONTRADICTIONS
)
def test_a_contradiction_does_not_change_what_is_known_of_a_worker(stranger):
    """Guards against workers that lose work to another writer's heartbeat."""

    async def scenario(site):
        before = site.worker.heartbeat
        await site.announce(sequence=99, **stranger)
        assert site.worker.heartbeat is before
        await site.announce(sequence=10)
        assert site.worker.heartbeat.sequence == 10
        check_goes_on(site)

    run(scenario)


def test_a_worker_gets_work_while_its_vm_is_announced_by_another():
    """Guards against a worker that is shut out for as long as that goes on."""

    async def scenario(site):
        for sequence in range(10, 15):
            await site.announce("x", born_ms=2, address=OTHER_ADDRESS)
            await site.announce(sequence=sequence)
        assert site.worker.heartbeat.sequence == 14
        other_job = "00000000000000a2"
        site.node.state.apply(build.submit(job=other_job))
        await site.round()
        assert f"{other_job}.0.0.0" in site.process.running

    run(scenario)


# How a worker may come back after its process has ended.
RESTARTS = {
    "same identifier": {"born_ms": 2},
    "same identifier, elsewhere": {"born_ms": 2, "address": OTHER_ADDRESS},
    "same VM": {"name": "w2", "born_ms": 2},
    "same VM, elsewhere": {
        "name": "w2",
        "born_ms": 2,
        "address": OTHER_ADDRESS,
    },
    "same identifier, clock set back": {"born_ms": 0},
}


def restart(site, change):
    """Ends the process of w1 and starts its successor."""
    name, born_ms = change.get("name", "w1"), change["born_ms"]
    del site.processes[ADDRESS]
    address = change.get("address", ADDRESS)
    site.processes[address] = Process(name, born_ms)


@pytest.mark.parametrize("is_led_anew", [False, True])
@pytest.mark.parametrize("change", RESTARTS.values(), ids=RESTARTS)
def test_a_run_ends_as_soon_as_the_successor_of_its_worker_has_replied(
    change, is_led_anew
):
    async def scenario(site):
        restart(site, change)
        if is_led_anew:
            site = await site.lead_again()
        await site.announce(**change)
        await site.announce(**change)
        assert list(site.dispatcher.links) == [change.get("name", "w1")]
        await site.dispatcher._commit_ends()
        if is_led_anew and change["born_ms"] == 0:
            # Nobody has shown that the later incarnation has ended.
            assert site.job.active == {(0, 0, 0)}
        else:
            assert site.job.active == set()
        await site.dispatcher.close()

    run(scenario)


def test_a_successor_on_the_vm_waits_until_the_worker_before_is_silent():
    """Two processes that both reply can't be on one VM."""

    async def scenario(site):
        site.processes[OTHER_ADDRESS] = Process("w2", 2)
        beat = {"name": "w2", "born_ms": 2, "address": OTHER_ADDRESS}
        await site.announce(**beat)
        await curio.sleep(0.3)
        check_goes_on(site)
        site.process.failure = curio.TaskTimeout()
        await curio.sleep(0.3)
        assert list(site.dispatcher.links) == ["w2"]
        assert site.process.acknowledged == 0

    run(scenario)


def test_an_earlier_worker_that_replies_succeeds_a_silent_one_with_its_lease():
    """Guards against a clock set back that shuts out a VM for good."""

    async def scenario(site):
        site.process.failure = curio.TaskTimeout()
        site.processes[OTHER_ADDRESS] = Process("w2", 0)
        await site.announce("w2", born_ms=0, address=OTHER_ADDRESS)
        assert list(site.dispatcher.links) == ["w1"]
        assert site.job.active == {(0, 0, 0)}
        worker = site.worker
        worker.lease_until_ms = 1
        worker.inherited_lease_until_ms = 0
        site.dispatcher.started_ms -= 60_000
        await site.round()
        await curio.sleep(0.3)
        assert list(site.dispatcher.links) == ["w2"]
        assert site.job.runs[0, 0, 0].run == 1

    run(scenario)


def test_a_delayed_announcement_of_an_ended_incarnation_changes_nothing():
    async def scenario(site):
        restart(site, {"born_ms": 2})
        await site.announce(born_ms=2)
        worker = site.worker
        await site.announce(born_ms=1, sequence=99)
        assert site.worker is worker
        assert site.dispatcher.candidates.by_identity == {}

    run(scenario)


def test_asking_a_candidate_neither_fences_nor_leases_the_worker_in_use():
    async def scenario(site):
        process = site.process
        fence, lease_until_ms = process.fence, process.lease_until_ms
        process.failure = curio.TaskTimeout()
        await curio.sleep(0.02)
        process.failure = None
        await site.announce(born_ms=2)
        assert process.fence == fence == site.dispatcher.links["w1"].fence
        assert process.lease_until_ms == lease_until_ms

    run(scenario)


def test_a_worker_that_was_removed_joins_again():
    """Guards against a fence in use that refuses the next question."""

    async def scenario(site):
        for _ in range(3):
            dispatcher = site.dispatcher
            link = dispatcher.links.pop("w1")
            dispatcher.pool.remove(link.worker)
            await link.end_incarnation(None, "worker removed")
            await site.announce()
            assert site.process.fence == dispatcher.links["w1"].fence

    run(scenario)


def test_a_worker_of_an_unknown_service_does_not_hold_a_vm():
    """Guards against a VM that another system's process takes from its worker.

    It replies at its address, and the leader hears of it first.
    """

    async def scenario(site):
        other = site.processes[OTHER_ADDRESS] = Process("x", 2)
        later = await site.lead_again()
        stranger = {"service": "other", "address": OTHER_ADDRESS, "born_ms": 2}
        for _ in range(3):
            await later.announce("x", **stranger)
            await later.announce()
            await later.round()
        check_goes_on(later)
        assert other.fence == 0
        await later.dispatcher.close()

    run(scenario)


def test_a_worker_joins_once_a_configuration_names_its_service():
    """Guards against a worker that announced itself too early."""

    async def scenario(site):
        site.processes[OTHER_ADDRESS] = Process("w2")
        beat = {"service": "new", "address": OTHER_ADDRESS, "machine": "m-2"}
        await site.announce("w2", **beat)
        await site.round()
        assert set(site.dispatcher.links) == {"w1"}
        command = build.put_site(2)
        services = (*command.services, commands.ServicePool(name="new"))
        site.node.state.apply(
            msgspec.structs.replace(command, services=services)
        )
        await site.round()
        assert set(site.dispatcher.links) == {"w1", "w2"}

    run(scenario)


def test_a_worker_that_runs_jobs_of_a_dropped_service_joins_a_new_leader():
    """Guards against runs that are lost with the service of their worker."""

    async def scenario(site):
        command = build.put_site(2, queues=())
        site.node.state.apply(msgspec.structs.replace(command, services=()))
        later = await site.lead_again()
        await later.announce()
        await later.round()
        check_goes_on(later)
        await later.dispatcher.close()

    run(scenario)


def test_a_silent_candidate_is_dropped(monkeypatch):
    monkeypatch.setattr(candidates_lib, "RETENTION_MS", 300)

    async def scenario(site):
        await site.announce("x", address=OTHER_ADDRESS)
        await site.round()
        assert len(site.dispatcher.candidates.by_identity) == 1
        await curio.sleep(0.35)
        await site.round()
        assert site.dispatcher.candidates.by_identity == {}

    run(scenario)


def test_candidates_are_bounded_in_number(monkeypatch):
    """Guards against another writer that fills the memory of the leader."""
    monkeypatch.setattr(candidates_lib, "MAX_CANDIDATES", 3)

    async def scenario(site):
        for number in range(10):
            await site.dispatcher.handle_heartbeat(
                build.heartbeat(f"x{number}", address=OTHER_ADDRESS)
            )
        names = [
            identity.worker
            for identity in site.dispatcher.candidates.by_identity
        ]
        assert names == ["x7", "x8", "x9"]
        check_goes_on(site)

    run(scenario)


def test_an_unexpected_error_does_not_keep_a_worker_from_joining():
    async def scenario(site):
        asked = []

        def make_client(heartbeat):
            client = Client(heartbeat, site.processes)
            poll = client.poll

            async def failing_once(*arguments):
                asked.append(arguments)
                if len(asked) == 1:
                    raise ZeroDivisionError
                return await poll(*arguments)

            client.poll = failing_once
            return client

        site.dispatcher.make_client = make_client
        site.processes[OTHER_ADDRESS] = Process("w2")
        beat = build.heartbeat("w2", address=OTHER_ADDRESS, machine="m-2")
        await announced_workers.join(site.dispatcher, beat)
        assert set(site.dispatcher.links) == {"w1", "w2"}

    run(scenario)


def test_a_worker_stays_in_use_after_a_notice_of_another_writer():
    """Guards against runs that are moved, and a worker shut out, for one."""

    async def scenario(site):
        await site.dispatcher.leave(calls.WorkerLeft(worker="w1", born_ms=1))
        assert not site.worker.is_usable(site.dispatcher.now_ms())
        await site.round()
        await site.announce(sequence=10)
        await site.round()
        check_goes_on(site)
        assert not site.worker.is_leaving

    run(scenario)


def test_a_notice_holds_until_a_later_heartbeat_without_a_drain():
    """A delayed heartbeat or one of a drain does not bring a worker back."""

    async def scenario(site):
        await site.announce(sequence=10, draining=True)
        await site.dispatcher.leave(calls.WorkerLeft(worker="w1", born_ms=1))
        for changes in ({"sequence": 9}, {"sequence": 11, "draining": True}):
            await site.announce(**changes)
            assert site.worker.leaving_since_ms

    run(scenario)


def test_a_worker_whose_first_announcement_lacked_fields_is_known_in_full():
    """Guards against a worker without labels, as another writer left them out.

    A new leader hears of the copy first.
    """

    async def scenario(site):
        later = await site.lead_again()
        await later.announce(machine="", labels=(), sequence=8)
        await later.announce()
        check_goes_on(later)
        assert later.worker.heartbeat.labels == ("a", "r1")
        await later.announce(machine="", labels=(), sequence=10)
        assert later.worker.heartbeat.machine == "m-1"
        successor = build.heartbeat("w2", machine="m-1", born_ms=2)
        assert later.dispatcher.pool.rivals(successor) == [later.worker]
        await later.dispatcher.close()

    run(scenario)
