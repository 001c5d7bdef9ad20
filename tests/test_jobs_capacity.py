"""Capacity of workers that shrinks and grows while they run."""

import curio
import eliot
import pytest

import announced_workers
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import job_metrics
from galenahook import state as state_lib
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import shares as shares_lib
from galenahook.jobs import tail_latency as tail_latency_lib
from galenahook.jobs import worker_api
from galenahook.jobs import workers as workers_lib
import job_builders as build
import test_jobs_placement as placements

TASK = f"{build.JOB}.0.0.0"
OTHER_JOB = "00000000000000a2"
MAX_HEARTBEAT_AGE_MS = (
    workers_lib.HEARTBEAT_PERIOD_MS + workers_lib.MAX_HEARTBEAT_DELAY_MS
)


class FakeNode:
    """A replica that leads; a test may run a function during a commit."""

    def __init__(self):
        self.state = state_lib.State()
        self.during_commit = None

    def term(self):
        return 7

    def has_valid_lease(self):
        return True

    def is_leader(self):
        return True

    async def submit(self, command):
        if self.during_commit is not None:
            await self.during_commit()
        return self.state.apply(command)


class FakeWorker(worker_api.WorkerClient):
    """A worker that never checks its capacity.

    Attributes:
      running: Run of each task that it lists.
      clock_ms: Its clock in replies to polls.
      started: Tasks whose starts were ordered.
      stopped: Tasks whose stops were ordered; each stays listed.
      answer: Answer to a start, which runs only after `RUNNING`.
    """

    def __init__(self, running=(), clock_ms=10_000):
        self.running = dict(running)
        self.clock_ms = clock_ms
        self.started = []
        self.stopped = []
        self.answer = worker_api.StartAnswer.RUNNING

    async def start(self, order):
        self.started.append(order.task)
        if self.answer is worker_api.StartAnswer.RUNNING:
            self.running[order.task] = order.run
        return self.answer, self.answer.value

    async def stop(self, task, _run, _term):
        self.stopped.append(task)
        return True

    async def poll(self, *_arguments):
        await curio.sleep(0.005)
        rows = [
            worker_api.RunningRow(task, run, "", 50.0, None)
            for task, run in self.running.items()
        ]
        return worker_api.PollReply(1, self.clock_ms, rows, [], complete=True)

    async def throttle(self, *_arguments):
        return True

    async def close(self):
        pass


class Leader:
    """A leader of fake workers.

    Attributes:
      node: Its replica.
      workers: Fake workers by name.
      dispatcher: Its dispatcher; a test runs the rounds.
    """

    def __init__(self, *applied, **workers):
        self.node = FakeNode()
        for command in (build.put_site(), *applied):
            self.node.state.apply(command)
        self.workers = workers or {"w1": FakeWorker()}
        self.dispatcher = dispatcher_lib.Dispatcher(
            self.node,
            clock_lib.Clock(),
            lambda heartbeat: self.workers[heartbeat.worker],
            3_000,
            job_metrics.JobMetrics(),
        )

    async def announce(self, name="w1", **changes):
        await announced_workers.join_and_reply(
            self.dispatcher, build.heartbeat(name, **changes)
        )
        await curio.sleep(0.02)

    async def place(self):
        await self.dispatcher._round()
        await curio.sleep(0.02)

    def runs(self, name="w1"):
        return self.dispatcher.links[name].worker.runs


def lead(scenario, *applied, **workers):
    """Runs a scenario with a leader of the given state and workers."""

    async def main():
        leader = Leader(*applied, **workers)
        await scenario(leader)
        await leader.dispatcher.close()

    curio.run(main)


def serving_and_batch_runs(worker, **changes):
    """Adds a serving run and a batch run on idle processors to a worker."""
    job = build.job(
        build.serving_step(**changes), build.batch_step(), job="0" * 14 + "d0"
    )
    runs = [
        build.live_run(job, progress_percent=100, measurement=40.0),
        build.live_run(job, step_index=1, measurement=500.0),
    ]
    for run in runs:
        worker.runs[run.task] = run
    return runs


@pytest.mark.parametrize(
    "step", [build.step, build.serving_step, build.batch_step]
)
@pytest.mark.parametrize("cpu_millis", [0, 1_000])
def test_nothing_is_placed_on_a_worker_whose_capacity_shrank_to_zero(
    step, cpu_millis
):
    worker = build.worker(cpu_millis=0, memory_mb=0)
    serving_and_batch_runs(worker)
    submitted = build.submit(step(cpu_millis=cpu_millis))
    site = build.Site([worker], submitted)
    assert placements.placements_of(site) == []


@pytest.mark.parametrize(
    "step", [build.step, build.serving_step, build.batch_step]
)
def test_a_task_without_needs_fits_a_worker_without_capacity(step):
    worker = build.worker(cpu_millis=0, memory_mb=0)
    submitted = build.submit(step(cpu_millis=0, memory_mb=0))
    site = build.Site([worker], submitted)
    assert placements.placements_of(site) == [("w1", "0.0.0")]


def test_shares_of_a_worker_without_capacity_are_those_of_a_whole_worker():
    worker = build.worker(cpu_millis=0)
    _, batch = serving_and_batch_runs(worker)
    assert shares_lib.expected_shares(worker) == {"batch": 1.0}
    assert shares_lib.measured_shares(worker, 0) == {"batch": 1.0}
    worker.remove_run(batch, 0)
    assert worker.ended_run_shares(0) == {"batch": 1.0}


def test_tail_latencies_of_a_worker_without_capacity_are_learned():
    worker = build.worker(cpu_millis=0)
    serving, batch = serving_and_batch_runs(worker)
    tails = tail_latency_lib.TailLatencyControl()
    tails.observe(worker, 1_000)
    assert list(tails.model.baselines) == [serving.step_id]
    assert tails.throttle_changes(worker, [batch], 1_000) == []


def test_a_use_above_a_shrunken_capacity_counts_as_the_whole_worker():
    assert build.worker(cpu_millis=400).share_of(500) == 1.0
    assert build.worker(cpu_millis=1_000).share_of(500) == 0.5


@pytest.mark.parametrize(
    ("shrunk", "started"),
    [
        ({}, 4),
        ({"cpu_millis": 7_999}, 3),
        ({"cpu_millis": 2_000}, 1),
        ({"memory_mb": 2_500}, 2),
        ({"gpus": 3}, 3),
        ({"cpu_millis": 0, "memory_mb": 0, "gpus": 0}, 0),
    ],
)
def test_a_start_is_not_sent_if_the_capacity_shrank_during_its_commit(
    shrunk, started
):
    async def scenario(leader):
        await leader.announce(gpus=4)

        async def shrink():
            await leader.announce(**{"gpus": 4, "sequence": 2, **shrunk})

        leader.node.during_commit = shrink
        await leader.place()
        leader.node.during_commit = None
        worker = leader.workers["w1"]
        assert len(worker.started) == started
        assert sorted(leader.runs()) == sorted(worker.started)
        await leader.place()
        assert len(worker.started) == started

    step = build.step(tasks=4, cpu_millis=2_000, memory_mb=1_000, gpus=1)
    lead(scenario, build.submit(step))


def test_processors_of_tasks_on_idle_ones_withhold_no_start():
    async def scenario(leader):
        await leader.announce()

        async def shrink():
            await leader.announce(sequence=2, cpu_millis=1_000, memory_mb=2_500)

        leader.node.during_commit = shrink
        await leader.place()
        assert len(leader.workers["w1"].started) == 2

    step = build.batch_step(tasks=4, cpu_millis=1_000, memory_mb=1_000)
    lead(scenario, build.submit(step))


def test_nothing_starts_beside_a_run_that_the_state_does_not_contain():
    async def scenario(leader):
        worker = leader.workers["w1"]
        await leader.announce()
        await leader.place()
        assert worker.started == []
        assert set(worker.stopped) == {f"{OTHER_JOB}.0.0.0"}
        del worker.running[f"{OTHER_JOB}.0.0.0"]
        await curio.sleep(0.02)
        await leader.place()
        assert worker.started == [TASK]

    lead(
        scenario,
        build.submit(build.step(cpu_millis=8_000)),
        w1=FakeWorker({f"{OTHER_JOB}.0.0.0": 1}),
    )


def test_a_delayed_heartbeat_does_not_tell_a_new_leader_the_capacity():
    """The capacity may have shrunk since the heartbeat was sent."""

    async def scenario(leader):
        worker = leader.workers["w1"]
        await leader.announce(sequence=4, clock_ms=10_000)
        await leader.place()
        assert worker.started == []
        await leader.announce(sequence=8, clock_ms=17_900, cpu_millis=1_000)
        await leader.place()
        assert len(worker.started) == 1

    submitted = build.submit(build.step(tasks=4))
    lead(scenario, submitted, w1=FakeWorker(clock_ms=18_000))


def test_nothing_starts_on_a_worker_whose_heartbeats_do_not_arrive():
    async def scenario(leader):
        worker = leader.workers["w1"]
        await leader.announce()
        worker.clock_ms += MAX_HEARTBEAT_AGE_MS + 100
        await curio.sleep(0.02)
        assert not leader.dispatcher.links["w1"].is_gone
        await leader.place()
        assert worker.started == []
        await leader.announce(sequence=2, clock_ms=worker.clock_ms)
        await leader.place()
        assert worker.started == [TASK]

    lead(scenario, build.submit())


def test_a_start_is_not_sent_if_its_commit_outlasts_the_heartbeat():
    async def scenario(leader):
        worker = leader.workers["w1"]
        await leader.announce()

        async def wait():
            worker.clock_ms += MAX_HEARTBEAT_AGE_MS + 100
            await curio.sleep(0.02)

        leader.node.during_commit = wait
        await leader.place()
        assert worker.started == []
        assert leader.runs() == {}

    lead(scenario, build.submit())


def test_a_start_is_not_sent_if_its_worker_drains_during_its_commit():
    async def scenario(leader):
        await leader.announce()

        async def drain():
            await leader.announce(sequence=2, draining=True)

        leader.node.during_commit = drain
        await leader.place()
        assert leader.workers["w1"].started == []
        assert leader.runs() == {}

    lead(scenario, build.submit())


def test_a_start_is_not_sent_if_its_zone_is_taken_out_during_its_commit():
    async def scenario(leader):
        await leader.announce()

        async def take_out():
            leader.node.state.apply(
                commands.SetZoneService(
                    availability_zone="zone-a", out=True, at_ms=1
                )
            )

        leader.node.during_commit = take_out
        await leader.place()
        assert leader.workers["w1"].started == []
        assert leader.runs() == {}

    lead(scenario, build.submit())


@pytest.mark.parametrize("sequence", [1, 3, 4])
def test_a_late_heartbeat_does_not_restore_an_earlier_capacity(sequence):
    async def scenario(leader):
        await leader.announce(sequence=4, cpu_millis=1_000)
        await leader.announce(sequence=sequence, cpu_millis=8_000)
        await leader.place()
        assert len(leader.workers["w1"].started) == 1

    lead(scenario, build.submit(build.step(tasks=4)))


def test_a_heartbeat_of_an_earlier_incarnation_does_not_restore_a_capacity():
    async def scenario(leader):
        await leader.announce(born_ms=1, cpu_millis=1_000)
        await leader.announce(born_ms=0, sequence=9, cpu_millis=8_000)
        await leader.place()
        assert len(leader.workers["w1"].started) == 1

    lead(scenario, build.submit(build.step(tasks=4)))


def test_a_capacity_that_has_grown_again_is_used():
    async def scenario(leader):
        started = leader.workers["w1"].started
        for sequence, (cpu_millis, count) in enumerate(
            [(2_000, 2), (0, 2), (1_000, 2), (3_000, 3), (8_000, 4)], 1
        ):
            await leader.announce(sequence=sequence, cpu_millis=cpu_millis)
            await leader.place()
            assert len(started) == count

    lead(scenario, build.submit(build.step(tasks=4)))


@pytest.mark.parametrize(
    "needs",
    [{"cpu_millis": 5_000}, {"memory_mb": 20_000}, {"gpus": 1}],
)
def test_nothing_starts_beside_what_runs_over_a_shrunken_capacity(needs):
    """What runs goes on, and is neither stopped nor joined."""

    async def scenario(leader):
        worker = leader.workers["w1"]
        await leader.announce(gpus=1)
        await leader.place()
        assert worker.started == [TASK]
        leader.node.state.apply(build.submit(build.step(), job=OTHER_JOB))
        await leader.announce(
            sequence=2, cpu_millis=4_000, memory_mb=16_000, gpus=0
        )
        await leader.place()
        assert worker.started == [TASK]
        assert worker.stopped == []

    lead(scenario, build.submit(build.step(**needs)))


NEEDS = {"cpu_millis": 5_000, "memory_mb": 20_000, "gpus": 2}
OTHER_NEEDS = [
    {"cpu_millis": 3_001, "memory_mb": 1_000},
    {"cpu_millis": 100, "memory_mb": 12_001},
    {"cpu_millis": 100, "memory_mb": 100, "gpus": 3},
    {"cpu_millis": 100, "memory_mb": 12_001, "uses_idle_cpu": True},
]


@pytest.mark.parametrize("other", OTHER_NEEDS)
@pytest.mark.parametrize("ended", [False, True])
def test_a_run_of_an_earlier_term_takes_its_capacity(other, ended):
    """Also that of a job that has ended, until the worker lists its end."""

    async def scenario(leader):
        worker = leader.workers["w1"]
        await leader.announce(gpus=4)
        await leader.place()
        assert worker.started == []
        assert bool(worker.stopped) is ended
        del worker.running[TASK]
        await curio.sleep(0.02)
        await leader.place()
        assert worker.started == [f"{OTHER_JOB}.0.0.0" if ended else TASK]

    commands = [
        build.submit(build.step(**NEEDS)),
        build.starts(build.start(TASK)),
        build.submit(build.step(**other), job=OTHER_JOB),
    ]
    if ended:
        commands.append(build.commands.CancelJob(job=build.JOB, at_ms=1))
    lead(scenario, *commands, w1=FakeWorker({TASK: 1}))


@pytest.mark.parametrize("other", OTHER_NEEDS)
def test_a_start_without_a_reply_takes_its_capacity(other):
    async def scenario(leader):
        worker = leader.workers["w1"]
        worker.answer = worker_api.StartAnswer.UNKNOWN
        await leader.announce(gpus=4)
        await leader.place()
        assert worker.started == [TASK]
        leader.node.state.apply(
            build.submit(build.step(**other), job=OTHER_JOB)
        )
        await leader.place()
        assert worker.started == [TASK]

    lead(scenario, build.submit(build.step(**NEEDS)))


def test_a_new_leader_starts_nothing_before_a_worker_has_replied():
    async def scenario(leader):
        worker = leader.workers["w1"]
        replied = curio.Event()
        poll = worker.poll

        async def poll_late(*arguments):
            await replied.wait()
            return await poll(*arguments)

        worker.poll = poll_late
        await leader.place()
        await leader.dispatcher.handle_heartbeat(build.heartbeat())
        await leader.place()
        assert worker.started == []
        await replied.set()
        await leader.announce()
        await leader.place()
        assert worker.started == [TASK]

    lead(scenario, build.submit())


def test_processors_of_tasks_on_idle_ones_stay_free_for_others():
    async def scenario(leader):
        worker = leader.workers["w1"]
        await leader.announce(cpu_millis=2_000, memory_mb=3_000)
        await leader.place()
        leader.node.state.apply(
            build.submit(build.step(tasks=4), job=OTHER_JOB)
        )
        await leader.place()
        assert worker.started == [
            TASK,
            f"{OTHER_JOB}.0.0.0",
            f"{OTHER_JOB}.0.0.1",
        ]

    lead(scenario, build.submit(build.batch_step()))


def test_a_start_refused_for_lack_of_capacity_is_placed_elsewhere():
    async def scenario(leader):
        full = leader.workers["w1"]
        full.answer = worker_api.StartAnswer.NO_CAPACITY
        await leader.announce("w1")
        await leader.announce("w2", cpu_millis=9_000)
        await leader.place()
        assert full.started == [TASK]
        await leader.place()
        assert leader.workers["w2"].started == [TASK]
        assert full.started == [TASK]

    lead(scenario, build.submit(), w1=FakeWorker(), w2=FakeWorker())


def test_refusals_for_lack_of_capacity_cause_no_busy_loop():
    """The worker refuses until its heartbeat tells that it has shrunk."""

    async def scenario(leader):
        worker = leader.workers["w1"]
        worker.answer = worker_api.StartAnswer.NO_CAPACITY
        await leader.announce()
        rounds = await curio.spawn(leader.dispatcher.run)
        await curio.sleep(0.6)
        assert 1 <= len(worker.started) <= 3
        await leader.announce(sequence=2, cpu_millis=0)
        count = len(worker.started)
        await curio.sleep(0.6)
        assert len(worker.started) == count
        worker.answer = worker_api.StartAnswer.RUNNING
        await leader.announce(sequence=3)
        async with curio.timeout_after(10):
            while TASK not in worker.running:
                await curio.sleep(0.01)
        assert len(worker.started) == count + 1
        await rounds.cancel()

    lead(scenario, build.submit())


@pytest.fixture
def changes():
    """Returns the list of logged capacities."""
    messages = []

    def record(message):
        if message.get("message_type") == "worker:capacity":
            values = (message["cpu_millis"], message["memory_mb"])
            messages.append((message["worker"], *values, message["gpus"]))

    eliot.add_destinations(record)
    # The first destination receives messages of earlier tests.
    messages.clear()
    yield messages
    eliot.remove_destination(record)


def test_a_change_of_the_capacity_is_logged_once(changes):
    async def scenario(leader):
        await leader.announce(sequence=1)
        await leader.announce(sequence=2)
        await leader.announce(sequence=4, cpu_millis=0, gpus=1)
        await leader.announce(sequence=3)
        await leader.announce(sequence=5, cpu_millis=0, gpus=1)

    lead(scenario)
    assert changes == [("w1", 0, 32_000, 1)]
