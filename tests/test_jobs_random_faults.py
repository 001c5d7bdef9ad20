"""Leaders and workers under random faults: late orders, lost replies, restarts.

Simulated workers follow the platform's protocol. Times are a tenth of the real
ones. After the faults, and after each acknowledged cancellation, the rules of
the platform hold.
"""

import collections
import contextlib
import random

import curio
import pytest

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import job_metrics
from galenahook import state as state_lib
from galenahook.jobs import calls
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import leader as leader_lib
from galenahook.jobs import link as link_lib
from galenahook.jobs import lost_runs
from galenahook.jobs import worker_api
from galenahook.jobs import workers as workers_lib
import job_builders as build

LEASE_MS = 1_000
CLOCK_RATES = (workers_lib.MIN_CLOCK_RATE, 1.0)
CANCEL_MS = 400
STOP_MS = 40
CONTACT_MS = 400
# For the scheduling delays of a loaded machine.
SLACK_MS = 300
HEARTBEAT_MS = 110
ORDER_TIMEOUT_MS = 100
MAX_LATE_MS = 1_200
FAULTS_S = 3.0
CALM_MS = MAX_LATE_MS + CONTACT_MS + CANCEL_MS + STOP_MS + SLACK_MS

CLOCK = clock_lib.Clock()


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    for module, name, value in (
        (link_lib, "POLL_WAIT_MS", 50),
        (link_lib, "POLL_RETRY_MS", 25),
        (link_lib, "COMMIT_WAIT_MS", 50),
        (link_lib, "STOP_RETRY_MS", 40),
        (link_lib, "UNANSWERED_START_WAIT_MS", 70),
        (lost_runs, "LEASE_MARGIN_MS", 50),
        (lost_runs, "LEAVE_GRACE_MS", 100),
        (workers_lib, "UNRESPONSIVE_AFTER_MS", 150),
        (workers_lib, "HEARTBEAT_PERIOD_MS", 150),
        (workers_lib, "MAX_HEARTBEAT_DELAY_MS", 250),
        (workers_lib, "MAX_ORDER_DELAY_MS", MAX_LATE_MS),
        (dispatcher_lib, "ROUND_PERIOD_MS", 20),
        (dispatcher_lib, "ROUND_DELAY_MS", 2),
    ):
        monkeypatch.setattr(module, name, value)


class SimulatedRun:
    """A run on a simulated worker."""

    def __init__(self, run, work_ms, is_late):
        self.run = run
        self.started_ms = CLOCK.monotonic_ms()
        self.work_ms = work_ms
        self.is_late = is_late
        self.checkpoint = ""


class SimulatedWorker:
    """One machine, which may restart under the same identifier.

    Attributes:
      system: Checks the rules on each start.
      running: Runs by task.
    """

    def __init__(self, system, name):
        self.system = system
        self.name = name
        self.clock_rate = system.rng.choice(CLOCK_RATES)
        self.incarnation = 0
        self.leaving_until_ms = 0
        self.restart()

    def restart(self):
        """Starts a new incarnation, which knows nothing of the earlier one."""
        self.incarnation += 1
        self.born_ms = self.incarnation
        self.sequence = 0
        self.started_ms = CLOCK.monotonic_ms()
        self.running = {}
        self.highest = collections.Counter()
        self.ends = []
        self.end_count = 0
        self.done_ms = {}
        self.fence = 0
        self.lease_until_ms = 0
        self.draining = False

    def clock_ms(self):
        """Returns its clock, which restarts with it and may be slow."""
        return (CLOCK.monotonic_ms() - self.started_ms) * self.clock_rate

    def extend_lease(self, until_ms):
        """Takes a lease, which never shortens and has a longest duration."""
        self.expire()
        until_ms = min(until_ms, self.clock_ms() + LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def expire(self):
        """Ends everything once the lease has expired.

        An end that is acknowledged only afterwards doesn't count as noted.
        """
        if self.clock_ms() > self.lease_until_ms:
            self.done_ms.clear()
            for task in list(self.running):
                self.end(task, "gone")

    def heartbeat(self):
        self.sequence += 1
        return build.heartbeat(
            self.name,
            born_ms=self.born_ms,
            sequence=self.sequence,
            clock_ms=int(self.clock_ms()),
            draining=self.draining,
        )

    def advance(self):
        """Ends runs that are done or whose lease has expired."""
        self.expire()
        now_ms = CLOCK.monotonic_ms()
        for task, run in list(self.running.items()):
            run.checkpoint = f"{task}@{now_ms}"
            self.system.checkpoints[task].add(run.checkpoint)
            if now_ms - run.started_ms > run.work_ms:
                self.end(task, "done")

    def end(self, task, outcome):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest[task], run.run)
        self.end_count += 1
        row = worker_api.FinishedRow(
            self.end_count, task, run.run, outcome, run.checkpoint, outcome
        )
        self.ends.append(row)
        if outcome == "done":
            self.done_ms[self.end_count] = CLOCK.monotonic_ms()

    def check_fence(self, fence):
        if fence < self.fence:
            raise worker_api.DeposedError(self.name)
        self.fence = fence

    def start(self, order, is_late):
        try:
            self.check_fence(order.fence)
        except worker_api.DeposedError:
            return worker_api.StartAnswer.DEPOSED, "fence"
        self.extend_lease(order.lease_until_ms)
        present = self.running.get(order.task)
        if present is not None and present.run == order.run:
            return worker_api.StartAnswer.RUNNING, ""
        if order.run <= self.highest[order.task] or present is not None:
            return worker_api.StartAnswer.REFUSED, "old"
        if order.lease_until_ms < self.clock_ms():
            return worker_api.StartAnswer.REFUSED, "late"
        work_ms = int(order.spec)
        self.running[order.task] = SimulatedRun(order.run, work_ms, is_late)
        self.system.check_start(self, order, is_late)
        return worker_api.StartAnswer.RUNNING, ""

    def stop(self, task, run, fence):
        self.check_fence(fence)
        self.highest[task] = max(self.highest[task], run)
        if task in self.running and self.running[task].run <= run:
            self.end(task, "gone")
        return True

    def poll(self, fence, acknowledged, lease_until_ms):
        self.check_fence(fence)
        self.extend_lease(lease_until_ms)
        for row in self.ends:
            if row.number <= acknowledged and row.number in self.done_ms:
                self.system.done[row.task] = self.done_ms[row.number]
        self.ends = [row for row in self.ends if row.number > acknowledged]

    def lists(self):
        self.expire()
        running = [
            worker_api.RunningRow(task, run.run, run.checkpoint, 50.0, None)
            for task, run in self.running.items()
        ]
        return worker_api.PollReply(
            self.born_ms, int(self.clock_ms()), running, list(self.ends), True
        )


class FaultyClient(worker_api.WorkerClient):
    """Carries orders out at once, late, or without a reply."""

    def __init__(self, worker, rng):
        self.worker = worker
        self.rng = rng

    async def _exchange(self, carry_out):
        """Returns the result of an order; None without a reply.

        The incarnation that runs when the order arrives carries it out. It may
        not be the one that the leader knows, as both have the same identifier.
        """
        system = self.worker.system
        fault = self.rng.random() if system.faulty else 1.0
        await curio.sleep(self.rng.random() * 0.01)
        if fault < 0.1:
            delay_s = self.rng.random() * MAX_LATE_MS / 1000
            await curio.spawn(self._carry_out_late, carry_out, delay_s)
        elif fault < 0.2:
            carry_out(False)
        elif fault >= 0.25:
            result = carry_out(False)
            await curio.sleep(self.rng.random() * 0.01)
            return result
        await curio.sleep(ORDER_TIMEOUT_MS / 1000)
        return None

    async def _carry_out_late(self, carry_out, delay_s):
        """Carries out an order late, by the incarnation that runs then."""
        await curio.sleep(delay_s)
        with contextlib.suppress(worker_api.DeposedError):
            carry_out(True)

    async def start(self, order):
        answer = await self._exchange(
            lambda is_late: self.worker.start(order, is_late)
        )
        if (
            answer is not None
            and answer[0] is worker_api.StartAnswer.RUNNING
            and self.worker.clock_ms() < order.min_clock_ms
        ):
            return worker_api.StartAnswer.UNKNOWN, "another incarnation"
        return answer or (worker_api.StartAnswer.UNKNOWN, "no reply")

    async def stop(self, task, run, fence):
        return bool(
            await self._exchange(
                lambda _late: self.worker.stop(task, run, fence)
            )
        )

    async def poll(self, fence, acknowledged, lease_until_ms, wait_ms):
        def carry_out(_late):
            self.worker.poll(fence, acknowledged, lease_until_ms)
            return True

        if not await self._exchange(carry_out):
            raise errors.ExchangeError("no reply", sent=True)
        end_ms = CLOCK.monotonic_ms() + wait_ms
        while not self.worker.ends and CLOCK.monotonic_ms() < end_ms:
            await curio.sleep(0.005)
        return self.worker.lists()

    async def throttle(self, *_arguments):
        return True

    async def close(self):
        pass


class Node:
    """A replica that leads until the next term begins."""

    def __init__(self, system, term):
        self.system = system
        self.state = system.state
        self._term = term

    def term(self):
        return self.system.term

    def has_valid_lease(self):
        return self.system.term == self._term

    def is_leader(self):
        return self.has_valid_lease()

    async def submit(self, command):
        await curio.sleep(0.002 + 0.01 * self.system.rng.random())
        if not self.has_valid_lease():
            raise errors.NoQuorumError("not the leader")
        self.state.jobs.now_ms = CLOCK.monotonic_ms()
        result = self.state.apply(command)
        if self.system.faulty and self.system.rng.random() < 0.02:
            raise errors.NoQuorumError("no reply")
        return result


class System:
    """A leader at a time, workers, and callers that cancel jobs.

    Attributes:
      broken: Broken rules.
      cancelled: When the cancellation of each job was acknowledged.
      done: When each task was done whose end was acknowledged.
      started: Last start of each task, except those carried out late.
    """

    worker_type = SimulatedWorker

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.state = state_lib.State()
        self.state.apply(build.put_site())
        self.term = 0
        self.faulty = True
        self.broken = []
        self.cancelled = {}
        self.done = {}
        self.started = {}
        self.checkpoints = collections.defaultdict(set)
        self.workers = {
            name: self.worker_type(self, name)
            for name in (f"w{number}" for number in range(5))
        }
        self.leader = None

    async def elect(self):
        self.term += 1
        if self.leader is not None:
            await self.leader.dispatcher.close()
        await curio.sleep(self.rng.random() * 0.1)
        node = Node(self, self.term)
        dispatcher = dispatcher_lib.Dispatcher(
            node,
            CLOCK,
            lambda beat: FaultyClient(self.workers[beat.worker], self.rng),
            LEASE_MS,
            job_metrics.JobMetrics(),
        )
        self.leader = leader_lib.JobLeader(node, CLOCK, dispatcher)
        await curio.spawn(dispatcher.run, daemon=True)

    async def call(self, call):
        """Sends a call until it is answered."""
        while True:
            try:
                return await self.leader.handle_call(call)
            except errors.NoQuorumError:
                await curio.sleep(0.01)
            except errors.NotLeaderError:
                await curio.sleep(0.01)

    def check_start(self, worker, order, is_late):
        now_ms = CLOCK.monotonic_ms()
        job = order.task.partition(".")[0]
        cancelled_ms = self.cancelled.get(job)
        if (
            cancelled_ms is not None
            and not is_late
            and now_ms - cancelled_ms > CANCEL_MS + SLACK_MS
        ):
            self.broken.append(f"{order.task} started after its cancellation")
        if order.checkpoint and (
            order.checkpoint not in self.checkpoints[order.task]
        ):
            self.broken.append(f"{order.task}: foreign checkpoint")
        for other in self.workers.values():
            if other is worker:
                continue
            other.expire()
            if order.task in other.running:
                self.broken.append(f"{order.task} runs twice")
        if not is_late:
            self.started[order.task] = now_ms

    def check_cancelled(self):
        """Checks that no task of a cancelled job runs on for too long."""
        now_ms = CLOCK.monotonic_ms()
        bound_ms = CANCEL_MS + STOP_MS + SLACK_MS
        for worker in self.workers.values():
            for task, run in worker.running.items():
                cancelled_ms = self.cancelled.get(task.partition(".")[0])
                if cancelled_ms is None:
                    continue
                since_ms = cancelled_ms
                if run.is_late:
                    since_ms = max(since_ms, run.started_ms + CONTACT_MS)
                if now_ms - since_ms > bound_ms:
                    self.broken.append(f"{task} runs after its cancellation")

    # --- Processes ------------------------------------------------------------

    async def run_workers(self):
        while True:
            await curio.sleep(0.01)
            for worker in self.workers.values():
                worker.advance()

    async def send_heartbeats(self, worker):
        while True:
            await curio.sleep(HEARTBEAT_MS / 1000)
            if self.leader is not None and (
                not self.faulty or self.rng.random() > 0.2
            ):
                await self.call(worker.heartbeat())

    async def cause_faults(self):
        while True:
            await curio.sleep(0.3 + self.rng.random() * 0.5)
            worker = self.rng.choice(list(self.workers.values()))
            match self.rng.randrange(4):
                case 0:
                    await self.elect()
                case 1:
                    worker.restart()
                case 2:
                    await self.call(
                        calls.WorkerLeft(
                            worker=worker.name, born_ms=worker.born_ms
                        )
                    )
                    await curio.sleep(self.rng.random() * 0.3)
                    worker.restart()
                case 3:
                    worker.draining = True
                    await curio.sleep(0.2)
                    worker.restart()

    def step(self):
        """Returns the step of the next job."""
        return build.step(tasks=4, cpu_millis=200, memory_mb=10)

    async def run_caller(self, number):
        """Submits a job, and cancels some: also before the submission ends."""
        job = f"{number:016x}"
        path = f"/quotes/{job}"
        await curio.sleep(self.rng.random() * FAULTS_S)
        work_ms = self.rng.choice((20, 100, 400, 60_000))
        order = calls.JobOrder(
            spec=str(work_ms),
            steps=(self.step(),),
        )
        submission = await curio.spawn(
            self.call,
            calls.SubmitJobCall(host="desk.example", path=path, order=order),
        )
        if work_ms == 60_000 or self.rng.random() < 0.3:
            await curio.sleep(self.rng.choice((0.0, 0.005, 0.1, 0.5)))
            await self.call(calls.CancelJobCall(host="desk.example", path=path))
            self.cancelled[job] = CLOCK.monotonic_ms()
        await submission.join()

    async def play(self):
        await self.elect()
        async with curio.TaskGroup() as callers:
            tasks = [await curio.spawn(self.run_workers, daemon=True)]
            tasks += [
                await curio.spawn(self.send_heartbeats, worker, daemon=True)
                for worker in self.workers.values()
            ]
            faults = await curio.spawn(self.cause_faults, daemon=True)
            for number in range(40):
                await callers.spawn(self.run_caller, number)
        await faults.cancel()
        self.faulty = False
        end_ms = CLOCK.monotonic_ms() + CALM_MS
        while CLOCK.monotonic_ms() < end_ms:
            await curio.sleep(0.02)
        for _ in range(50):
            self.check_cancelled()
            await curio.sleep(0.02)
        for task, done_ms in self.done.items():
            if self.started.get(task, 0) > done_ms:
                self.broken.append(f"{task} started after it was done")
        for task in tasks:
            await task.cancel()
        await self.leader.dispatcher.close()


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_start_nothing_that_no_caller_sent(seed):
    system = System(seed)
    curio.run(system.play)
    assert system.broken == []
    assert len(system.state.jobs.jobs) == 40
    for job in system.state.jobs.jobs.values():
        assert job.ended, job.description.job
    assert system.state.jobs.open == {}
