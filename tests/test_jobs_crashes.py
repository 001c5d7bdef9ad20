"""Tasks that crash their workers, and tasks beside them."""

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
from galenahook.jobs import crashes
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import lost_runs
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import worker_api
from galenahook.jobs import workers as workers_lib
import job_builders as build

TASK = f"{build.JOB}.0.0.0"
OTHER_JOB = "00000000000000b2"
OTHER_TASK = f"{OTHER_JOB}.0.0.0"
# The platform's rules permit two more starts after three crashes.
MAX_STARTS = 5


class FakeNode:
    """A replica that leads and commits at once."""

    def __init__(self):
        self.state = state_lib.State()

    def term(self):
        return 7

    def has_valid_lease(self):
        return True

    def is_leader(self):
        return True

    async def submit(self, command):
        return self.state.apply(command)


class FakeWorker(worker_api.WorkerClient):
    """A worker that runs everything but one task, which may crash it.

    Attributes:
      born_ms: Its incarnation.
      answer: What the leader is told of the start that crashes it; None if the
        task does no harm.
      listed: Whether it lists its runs.
      failure: Why polls get no reply; None if they do.
      is_silent: Whether it does nothing, and its connections close only when it
        crashes.
      is_replaced: Whether another worker replies at its address.
    """

    def __init__(self, answer, listed, born_ms):
        self.born_ms = born_ms
        self.is_silent = False
        self.is_replaced = False
        self.answer = answer
        self.listed = listed
        self.started = []
        self.running = {}
        self.failure = None

    async def start(self, order):
        if self.is_silent:
            while self.failure is None:
                await curio.sleep(0.01)
            return worker_api.StartAnswer.BROKEN_OFF, "crashed"
        self.started.append(order.task)
        if order.task == TASK and self.answer is not None:
            self.failure = ConnectionRefusedError()
            return self.answer, "crashed"
        self.running[order.task] = order.run
        return worker_api.StartAnswer.RUNNING, ""

    async def stop(self, _task, _run, _term):
        return self.failure is None

    async def poll(self, *_arguments):
        await curio.sleep(0.002)
        while self.is_silent and self.failure is None:
            await curio.sleep(0.01)
        if self.is_replaced:
            raise worker_api.ReplacedError("w")
        if self.failure is not None:
            raise errors.ExchangeError("no reply", False) from self.failure
        rows = [
            worker_api.RunningRow(task, run, "", 10.0, None)
            for task, run in self.running.items()
            if self.listed
        ]
        return worker_api.PollReply(
            self.born_ms, 10_000, rows, [], complete=True
        )

    async def close(self):
        pass


class Site:
    """A leader with one VM, whose worker restarts under a new identifier."""

    def __init__(self, answer=None, node=None, listed=True):
        self.node = node or FakeNode()
        self.answer = answer
        self.listed = listed
        self.clients = []
        self.dispatcher = dispatcher_lib.Dispatcher(
            self.node,
            clock_lib.Clock(),
            self._connect,
            3_000,
            job_metrics.JobMetrics(),
        )

    def _connect(self, heartbeat):
        self.clients.append(
            FakeWorker(self.answer, self.listed, heartbeat.born_ms)
        )
        return self.clients[-1]

    @property
    def jobs(self):
        return self.node.state.jobs.jobs

    @property
    def worker(self):
        return self.dispatcher.links[f"w{len(self.clients)}"].worker

    async def restart_worker(self, **changes):
        self.end_worker()
        born_ms = len(self.clients) + 1
        values = {"born_ms": born_ms, "machine": "m-1", **changes}
        await announced_workers.join_and_reply(
            self.dispatcher, build.heartbeat(f"w{born_ms}", **values)
        )
        await curio.sleep(0.02)

    def end_worker(self):
        for client in self.clients:
            client.is_replaced = True

    async def round(self):
        await self.dispatcher._round()
        await curio.sleep(0.02)

    async def run_rounds(self, count):
        """Places tasks repeatedly; restarts the worker after each crash."""
        for _ in range(count):
            await self.round()
            await curio.sleep(workers_lib.START_SETTLE_MS / 1000)
            if self.clients[-1].failure is not None:
                await self.restart_worker()

    def starts_of(self, task):
        return sum(client.started.count(task) for client in self.clients)

    def suspicion_of(self, identifier):
        return self.jobs[identifier].runs[0, 0, 0].suspicion


def run(scenario, *arguments, **site):
    async def main():
        built = Site(**site)
        built.node.state.apply(build.submit())
        await built.restart_worker()
        await scenario(built, *arguments)
        await built.dispatcher.close()

    curio.run(main)


def test_a_task_that_crashes_its_workers_is_not_started_for_ever():
    async def scenario(site):
        await site.run_rounds(MAX_STARTS + 3)
        assert site.starts_of(TASK) <= MAX_STARTS
        assert site.jobs[build.JOB].state() == "failed"
        assert site.node.state.jobs.open == {}

    run(scenario, answer=worker_api.StartAnswer.UNKNOWN)


@pytest.mark.parametrize(
    "answer",
    [worker_api.StartAnswer.BROKEN_OFF, worker_api.StartAnswer.RUNNING],
)
def test_two_crashes_at_the_start_of_a_task_give_up_its_job(answer):
    async def scenario(site):
        await site.run_rounds(3)
        assert site.starts_of(TASK) == 2
        assert site.jobs[build.JOB].state() == "failed"

    run(scenario, answer=answer)


@pytest.mark.parametrize(
    "answer",
    [worker_api.StartAnswer.BROKEN_OFF, worker_api.StartAnswer.RUNNING],
)
def test_a_task_beside_one_that_crashes_its_workers_goes_on(answer):
    async def scenario(site):
        site.node.state.apply(build.submit(job=OTHER_JOB))
        await site.run_rounds(MAX_STARTS + 3)
        assert site.starts_of(TASK) <= 3
        assert site.jobs[build.JOB].state() == "failed"
        assert site.jobs[OTHER_JOB].state() == "running"

    run(scenario, answer=answer)


def test_every_task_on_a_worker_is_suspected_of_an_unexplained_crash():
    async def scenario(site):
        site.node.state.apply(build.submit(job=OTHER_JOB))
        await site.round()
        await site.restart_worker()
        await site.round()
        assert site.suspicion_of(build.JOB) == 2
        assert site.suspicion_of(OTHER_JOB) == 2
        assert site.jobs[build.JOB].state() == "running"

    run(scenario)


def test_an_order_to_a_silent_worker_is_not_blamed_for_its_crash():
    """Guards against jobs given up though none of their tasks had begun."""

    async def scenario(site):
        for _ in range(3):
            site.clients[-1].is_silent = True
            # The poll that is under way still gets a reply.
            await curio.sleep(0.02)
            await site.round()
            assert site.worker.runs[TASK].sent
            await curio.sleep(0.5)
            site.clients[-1].failure = ConnectionRefusedError()
            await site.restart_worker()
        assert site.starts_of(TASK) == 0
        await site.round()
        assert site.starts_of(TASK) == 1
        assert site.suspicion_of(build.JOB) == 0
        assert site.jobs[build.JOB].state() != "failed"

    run(scenario)


@pytest.mark.parametrize("announcement", ["draining", "left"])
def test_an_announced_end_of_a_worker_is_no_crash(announcement):
    async def scenario(site):
        for _ in range(5):
            await site.round()
            name, born_ms = site.worker.name, site.worker.heartbeat.born_ms
            if announcement == "left":
                message = calls.WorkerLeft(worker=name, born_ms=born_ms)
                await site.dispatcher.leave(message)
            else:
                site.worker.heartbeat = msgspec.structs.replace(
                    site.worker.heartbeat, draining=True
                )
            await site.restart_worker()
        await site.round()
        assert site.starts_of(TASK) == 6
        assert site.suspicion_of(build.JOB) == 0

    run(scenario)


def test_a_start_that_was_not_sent_is_not_blamed():
    async def scenario(site):
        await site.round()
        site.worker.runs[TASK].sent = False
        await site.restart_worker()
        await site.round()
        assert site.suspicion_of(build.JOB) == 0

    run(scenario)


def test_a_restart_under_the_same_identifier_is_a_crash():
    async def scenario(site):
        await site.round()
        assert site.starts_of(TASK) == 1
        run = site.worker.runs[TASK]
        site.end_worker()
        await announced_workers.join(
            site.dispatcher,
            build.heartbeat("w1", born_ms=9, machine="m-1"),
        )
        assert run.blame is commands.Blame.POSSIBLE
        await curio.sleep(0.1)
        await site.round()
        assert site.suspicion_of(build.JOB) == 2

    run(scenario, answer=worker_api.StartAnswer.UNKNOWN)


@pytest.mark.parametrize(
    ("failure", "suspicion"),
    [(ConnectionRefusedError(), 2), (curio.TaskTimeout(), 0)],
)
def test_only_a_worker_that_refuses_connections_has_crashed_with_its_lease(
    failure, suspicion
):
    async def scenario(site):
        await site.round()
        site.clients[-1].failure = failure
        await curio.sleep(0.02)
        site.dispatcher.started_ms -= 60_000
        site.worker.lease_until_ms = 1
        site.worker.inherited_lease_until_ms = 0
        ends = await lost_runs.end_lost_runs(site.dispatcher)
        await site.dispatcher.queue_ends(ends)
        await site.dispatcher._commit_ends()
        assert site.suspicion_of(build.JOB) == suspicion

    run(scenario)


def test_a_new_leader_counts_a_crash_that_the_earlier_one_did_not_see():
    node = FakeNode()
    node.state.apply(build.submit())
    node.state.apply(build.starts(build.start(TASK)))

    async def main():
        site = Site(node=node)
        await site.dispatcher.handle_heartbeat(
            build.heartbeat("w1", born_ms=2, machine="m-1")
        )
        await curio.sleep(0.02)
        await site.dispatcher._commit_ends()
        assert site.suspicion_of(build.JOB) == 1
        assert site.jobs[build.JOB].waiting == {(0, 0, 0)}
        await site.dispatcher.close()

    curio.run(main)


def test_a_new_leader_ends_the_runs_of_a_worker_that_was_replaced_before():
    async def scenario(site):
        await site.round()
        later = Site(node=site.node)
        assert site.jobs[build.JOB].active == {(0, 0, 0)}
        await announced_workers.join(
            later.dispatcher,
            build.heartbeat("w2", born_ms=2, machine="m-1"),
        )
        await later.dispatcher._commit_ends()
        assert site.jobs[build.JOB].waiting == {(0, 0, 0)}
        assert site.suspicion_of(build.JOB) == 1
        assert later.dispatcher.unattached.take_all(False) == []
        await later.dispatcher.close()

    run(scenario)


@pytest.mark.parametrize(
    "changes",
    [{"machine": "m-2"}, {"born_ms": 1}, {"machine": ""}],
)
def test_a_run_may_go_on_beside_workers_that_do_not_replace_its_own(changes):
    async def scenario(site):
        await site.round()
        later = Site(node=site.node)
        values = {"born_ms": 2, "machine": "m-1", **changes}
        beat = build.heartbeat("w2", **values)
        await announced_workers.join(later.dispatcher, beat)
        await later.dispatcher._commit_ends()
        assert site.jobs[build.JOB].active == {(0, 0, 0)}
        await later.dispatcher.close()

    run(scenario)


@pytest.mark.parametrize(
    ("listed_for_ms", "blame"),
    [
        (crashes.STABLE_MS, commands.Blame.CLEARED),
        (crashes.STABLE_MS - 1, commands.Blame.UNLIKELY),
    ],
)
def test_a_serving_task_that_was_up_did_not_crash_its_worker(
    listed_for_ms, blame
):
    worker = build.worker(now_ms=20_000)
    job = build.job(build.serving_step())
    live = build.live_run(job, sent=True, seen_ms=20_000 - listed_for_ms)
    worker.runs[live.task] = live
    crashes.blame_runs(worker)
    assert live.blame is blame


SETTLE_MS = workers_lib.START_SETTLE_MS


@pytest.mark.parametrize(
    ("ages_ms", "blames"),
    [
        # The last start of several that the worker never listed.
        ((SETTLE_MS, SETTLE_MS + 1), ("likely", "unlikely", "unlikely")),
        ((SETTLE_MS, 0), ("possible", "possible", "unlikely")),
        ((SETTLE_MS + 1, 400), ("possible", "possible", "unlikely")),
        # Another cause is as likely as a start that was over.
        ((400, None), ("possible", "unlikely", "unlikely")),
        ((None, None), ("possible", "possible", "possible")),
    ],
)
def test_the_latest_starts_before_a_crash_are_blamed_most(ages_ms, blames):
    worker = build.worker()
    worker.broken_off_ms = 10_000
    job = build.job(build.step(tasks=3))
    for index, age_ms in enumerate((*ages_ms, None)):
        live = build.live_run(job, index, sent=True, seen=age_ms is None)
        if age_ms is not None:
            live.confirmed_ms = worker.broken_off_ms - age_ms
        worker.runs[live.task] = live
    crashes.blame_runs(worker)
    found = tuple(live.blame.value for live in worker.runs.values())
    assert found == blames


def crash(table, blame, run, outcome="gone"):
    table.record(build.starts(build.start(TASK, run=run)))
    end = build.end(TASK, run=run, outcome=outcome)
    table.record(build.ends(msgspec.structs.replace(end, blame=blame)))


@pytest.mark.parametrize("step", [build.step(), build.serving_step()])
@pytest.mark.parametrize(
    ("blames", "state"),
    [
        (("possible", "possible"), "running"),
        (("possible", "", "possible", "possible"), "failed"),
        (("possible", "likely"), "failed"),
        (("likely",), "running"),
        (("unlikely",) * 4, "running"),
        (("unlikely",) * 5, "failed"),
        (("possible", "possible", "cleared", "possible"), "running"),
    ],
)
def test_crashes_of_a_task_are_counted(step, blames, state):
    table = state_lib.State().jobs
    table.submit(build.submit(step))
    for run_number, blame in enumerate(blames, 1):
        crash(table, commands.Blame(blame), run_number)
    assert table.jobs[build.JOB].state() == state


def test_a_task_that_is_done_is_not_given_up():
    table = state_lib.State().jobs
    table.submit(build.submit())
    crash(table, commands.Blame.POSSIBLE, 1)
    crash(table, commands.Blame.LIKELY, 2, outcome="done")
    assert table.jobs[build.JOB].state() == "completed"


def test_crashes_survive_a_snapshot_and_the_next_start():
    table = state_lib.State().jobs
    table.submit(build.submit())
    crash(table, commands.Blame.POSSIBLE, 1)
    table.record(build.starts(build.start(TASK, run=2)))
    restored = state_lib.State().jobs
    for record in table.snapshot_records():
        encoded = msgspec.json.encode(record)
        restored.restore_record(
            msgspec.json.decode(encoded, type=tasks_lib.SnapshotRecord)
        )
    assert restored.jobs[build.JOB].runs[0, 0, 0].suspicion == 2


def test_records_and_commands_of_earlier_versions_are_read():
    record = msgspec.json.decode(
        b'{"type":"run","task":"%s","run":1,"worker":"w1","born_ms":1}'
        % TASK.encode(),
        type=tasks_lib.SnapshotRecord,
    )
    assert (record.suspicion, record.machine) == (0, "")
    command = commands.decode_command(
        b'{"type":"record-runs","at_ms":1,'
        b'"ends":[{"task":"a.0.0.0","run":1,"outcome":"gone"}],'
        b'"starts":[{"task":"a.0.0.0","run":2,"worker":"w","born_ms":1}]}'
    )
    assert command.ends[0].blame is commands.Blame.NONE
    assert command.starts[0].machine == ""
