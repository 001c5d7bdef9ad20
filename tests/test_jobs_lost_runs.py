"""Runs of workers that leave, and of jobs that have ended."""

import curio
import pytest

import announced_workers
from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import job_metrics
from galenahook import state as state_lib
from galenahook.jobs import calls
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import lost_runs
from galenahook.jobs import worker_api
from galenahook.jobs import workers as workers_lib
import job_builders as build
import scheduling_model

TASK = f"{build.JOB}.0.0.0"
GRACE_MS = 60
COMMIT_TIMEOUT_S = 2.5
LEASE_MS = 3_000
# A start that is carried out as late as possible, and its whole lease.
LATEST_END_MS = workers_lib.MAX_ORDER_DELAY_MS + LEASE_MS + 1_000


@pytest.fixture(autouse=True)
def short_grace(monkeypatch):
    monkeypatch.setattr(lost_runs, "LEAVE_GRACE_MS", GRACE_MS)


class FakeNode:
    """A replica that leads; without a quorum a commit fails after a time."""

    def __init__(self):
        self.state = state_lib.State()
        self.has_quorum = True

    def term(self):
        return 7

    def has_valid_lease(self):
        return True

    def is_leader(self):
        return True

    async def submit(self, command):
        if not self.has_quorum:
            await curio.sleep(COMMIT_TIMEOUT_S)
            raise errors.NoQuorumError("no majority")
        return self.state.apply(command)


class FakeClient(worker_api.WorkerClient):
    """A worker that runs one task and ignores stops.

    Attributes:
      failure: Why polls get no reply, or None if they do.
      born_ms: Incarnation that replies.
    """

    def __init__(self):
        self.failure = None
        self.born_ms = 1
        self.stopped = []

    async def poll(self, *_arguments):
        await curio.sleep(0.005)
        if self.failure is not None:
            raise errors.ExchangeError("no reply", False) from self.failure
        row = worker_api.RunningRow(TASK, 1, "", 10.0, None)
        return worker_api.PollReply(
            self.born_ms, 10_000, [row], [], complete=True
        )

    async def stop(self, task, run, _term):
        self.stopped.append((task, run))
        return True

    async def close(self):
        pass


def run_with_worker(scenario):
    """Runs a scenario with a leader that has attached the only run."""

    async def main():
        node = FakeNode()
        node.state.apply(build.submit())
        node.state.apply(build.starts(build.start(TASK)))
        client = FakeClient()
        dispatcher = dispatcher_lib.Dispatcher(
            node,
            clock_lib.Clock(),
            lambda _heartbeat: client,
            LEASE_MS,
            job_metrics.JobMetrics(),
        )
        await announced_workers.join_and_reply(dispatcher, build.heartbeat())
        await curio.sleep(0.02)
        await scenario(node, dispatcher, client)
        await dispatcher.close()

    curio.run(main)


async def restart(dispatcher, client, **changes):
    """Restarts the worker; returns once the next incarnation has joined."""
    client.born_ms = 2
    await announced_workers.join(
        dispatcher, build.heartbeat(born_ms=2, **changes)
    )


def leave():
    return calls.WorkerLeft(worker="w1", born_ms=1)


def test_a_leaving_worker_that_goes_on_is_still_stopped():
    async def scenario(node, dispatcher, client):
        await dispatcher.leave(leave())
        await curio.sleep(GRACE_MS * 2 / 1000)
        node.state.apply(build.commands.CancelJob(job=build.JOB, at_ms=1))
        await dispatcher._round()
        await curio.sleep(0.02)
        assert client.stopped == [(TASK, 1)]
        assert TASK in dispatcher.links["w1"].worker.runs
        assert node.state.jobs.jobs[build.JOB].active == {(0, 0, 0)}

    run_with_worker(scenario)


def test_runs_of_a_worker_that_left_end_after_the_grace_time():
    async def scenario(node, dispatcher, client):
        await dispatcher.leave(leave())
        client.failure = ConnectionRefusedError()
        await curio.sleep(0.02)
        await dispatcher._round()
        assert node.state.jobs.jobs[build.JOB].active == {(0, 0, 0)}
        await curio.sleep(GRACE_MS * 2 / 1000)
        await dispatcher._round()
        assert node.state.jobs.jobs[build.JOB].active == set()
        assert dispatcher.links == {}

    run_with_worker(scenario)


def test_runs_of_a_leaving_worker_go_on_while_a_poll_only_times_out():
    async def scenario(node, dispatcher, client):
        await dispatcher.leave(leave())
        client.failure = curio.TaskTimeout()
        await curio.sleep(GRACE_MS * 2 / 1000)
        await dispatcher._round()
        assert node.state.jobs.jobs[build.JOB].active == {(0, 0, 0)}

    run_with_worker(scenario)


def test_an_unseen_start_outlives_the_announced_end_of_its_worker():
    """The next incarnation may have received it before its heartbeat."""

    async def scenario(node, dispatcher, client):
        run = dispatcher.links["w1"].worker.runs[TASK]
        run.seen = False
        client.born_ms = 2
        await curio.sleep(0.02)
        await dispatcher.leave(leave())
        await curio.sleep(GRACE_MS * 2 / 1000)
        await dispatcher._round()
        assert node.state.jobs.jobs[build.JOB].active == {(0, 0, 0)}
        await restart(dispatcher, client)
        assert dispatcher.links["w1"].worker.runs == {TASK: run}

    run_with_worker(scenario)


def test_an_unseen_start_of_a_worker_that_left_ends_with_its_lease():
    async def scenario(node, dispatcher, client):
        worker = dispatcher.links["w1"].worker
        worker.runs[TASK].seen = False
        client.failure = ConnectionRefusedError()
        await curio.sleep(0.02)
        await dispatcher.leave(leave())
        await curio.sleep(GRACE_MS * 2 / 1000)
        dispatcher.started_ms -= 60_000
        worker.lease_until_ms = 1
        worker.inherited_lease_until_ms = 0
        await dispatcher._round()
        assert node.state.jobs.jobs[build.JOB].active == {(0, 0, 0)}
        worker.lease_sent_ms -= LATEST_END_MS
        await dispatcher._round()
        assert node.state.jobs.jobs[build.JOB].active == set()
        await dispatcher._round()
        assert dispatcher.links == {}

    run_with_worker(scenario)


def test_ended_jobs_are_stopped_while_ends_can_not_be_committed():
    async def scenario(node, dispatcher, client):
        node.state.apply(build.commands.CancelJob(job=build.JOB, at_ms=1))
        await dispatcher.queue_ends([build.end("00000000000000b2.0.0.0")])
        node.has_quorum = False
        round_task = await curio.spawn(dispatcher._round)
        await curio.sleep(0.02)
        assert client.stopped == [(TASK, 1)]
        await round_task.cancel()

    run_with_worker(scenario)


@pytest.mark.parametrize("born_ms", [0, 1])
def test_a_late_leave_notice_does_not_end_the_next_incarnation(born_ms):
    async def scenario(_node, dispatcher, client):
        await restart(dispatcher, client)
        await dispatcher.leave(calls.WorkerLeft(worker="w1", born_ms=born_ms))
        await dispatcher._round()
        await curio.sleep(0.02)
        assert not dispatcher.links["w1"].worker.leaving_since_ms

    run_with_worker(scenario)


def test_a_leave_notice_without_incarnation_ends_a_draining_worker():
    async def scenario(_node, dispatcher, client):
        draining = build.heartbeat(
            sequence=2, draining=True, drain_remaining_ms=60_000
        )
        await dispatcher.handle_heartbeat(draining)
        await dispatcher.leave(calls.WorkerLeft(worker="w1"))
        await dispatcher._round()
        await curio.sleep(0.02)
        assert client.stopped == [(TASK, 1)]
        assert dispatcher.links["w1"].worker.leaving_since_ms

    run_with_worker(scenario)


def test_an_adopted_start_goes_on_before_the_first_poll_of_its_worker():
    """Its worker was sent no lease yet, but may hold that of the start."""

    async def scenario(node, dispatcher, client):
        run = dispatcher.links["w1"].worker.runs[TASK]
        run.ordered_ms, run.seen = dispatcher.now_ms(), False
        # The leases of earlier leaders have expired.
        dispatcher.started_ms -= 60_000
        await restart(dispatcher, client, clock_ms=20)
        assert await lost_runs.end_lost_runs(dispatcher) == []
        assert dispatcher.links["w1"].worker.runs == {TASK: run}
        assert node.state.jobs.jobs[build.JOB].active == {(0, 0, 0)}

    run_with_worker(scenario)


def test_a_worker_that_never_returns_is_removed_with_its_link():
    async def main():
        node = FakeNode()
        node.state.apply(build.submit())
        node.state.apply(build.starts(build.start(TASK)))
        node.state.apply(build.confirmed(TASK))
        clock = scheduling_model.ManualClock()
        client = FakeClient()
        dispatcher = dispatcher_lib.Dispatcher(
            node,
            clock,
            lambda _heartbeat: client,
            LEASE_MS,
            job_metrics.JobMetrics(),
        )
        await announced_workers.join(dispatcher, build.heartbeat())
        client.failure = TimeoutError("no power")
        link = dispatcher.links["w1"]
        await curio.sleep(0.02)
        clock.now_ms += 10_000
        (end,) = await lost_runs.end_lost_runs(dispatcher)
        assert (end.task, end.outcome) == (TASK, "gone")
        assert dispatcher.pool.workers.keys() == {"w1"}
        clock.now_ms += lost_runs.WORKER_RETENTION_MS
        assert await lost_runs.end_lost_runs(dispatcher) == []
        assert link.ended
        assert dispatcher.links == dispatcher.pool.workers == {}

    curio.run(main)


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_a_new_leader_waits_for_a_start_that_may_be_carried_out_late(
    is_confirmed,
):
    """Its worker may come back, and carry it out, without being reached."""

    async def main():
        node = FakeNode()
        node.state.apply(build.submit())
        node.state.apply(build.starts(build.start(TASK)))
        if is_confirmed:
            node.state.apply(build.confirmed(TASK))
        clock = scheduling_model.ManualClock()
        dispatcher = dispatcher_lib.Dispatcher(
            node,
            clock,
            lambda _heartbeat: FakeClient(),
            LEASE_MS,
            job_metrics.JobMetrics(),
        )
        clock.now_ms += 2 * LEASE_MS
        assert len(await lost_runs.end_lost_runs(dispatcher)) == is_confirmed
        clock.now_ms += LATEST_END_MS
        assert len(await lost_runs.end_lost_runs(dispatcher)) != is_confirmed

    curio.run(main)


async def restart_after_lease(dispatcher, client):
    """Replaces a worker that was just sent a lease; returns the next one."""
    dispatcher.links["w1"].worker.lease_sent_ms = dispatcher.now_ms()
    client.failure = None
    await restart(dispatcher, client)
    client.failure = curio.TaskTimeout()
    return dispatcher.links["w1"].worker


def test_a_lease_that_was_sent_to_the_earlier_incarnation_is_waited_for():
    """The next one may take it late, before its first reply."""

    async def scenario(_node, dispatcher, client):
        client.failure = curio.TaskTimeout()
        sent_ms = dispatcher.now_ms()
        worker = await restart_after_lease(dispatcher, client)
        worker.lease_until_ms = 0
        late_ms = sent_ms + workers_lib.MAX_ORDER_DELAY_MS
        assert not worker.is_lease_expired(late_ms + LEASE_MS)
        assert worker.is_lease_expired(late_ms + LEASE_MS + 500)

    run_with_worker(scenario)


def test_a_pending_start_of_a_restarted_worker_ends_with_its_latest_lease():
    """The next incarnation never replies, but may have carried it out."""

    async def scenario(node, dispatcher, client):
        client.failure = curio.TaskTimeout()
        await curio.sleep(0.02)
        run = dispatcher.links["w1"].worker.runs[TASK]
        run.seen = False
        worker = await restart_after_lease(dispatcher, client)
        dispatcher.started_ms -= 60_000
        worker.lease_until_ms = worker.inherited_lease_until_ms = 0
        await dispatcher._round()
        assert worker.runs == {TASK: run}
        worker.lease_sent_ms -= LATEST_END_MS
        await dispatcher._round()
        assert node.state.jobs.jobs[build.JOB].active == set()

    run_with_worker(scenario)


def test_a_run_that_goes_on_in_a_later_incarnation_is_recorded_there():
    """A late heartbeat of the earlier one does not attach it to that."""

    async def scenario(node, dispatcher, client):
        run = dispatcher.links["w1"].worker.runs[TASK]
        run.seen = False
        await restart(dispatcher, client)
        await curio.sleep(0.05)
        dispatcher._confirmed_ms -= dispatcher_lib.CONFIRMED_DELAY_MS
        await dispatcher._commit_ends()
        record = node.state.jobs.jobs[build.JOB].runs[0, 0, 0]
        assert record.confirmed
        assert record.born_ms == 2

    run_with_worker(scenario)


def test_a_task_that_a_late_start_has_done_does_not_start_again():
    """Its end is listed for a run that the leader no longer tracks."""

    async def scenario(node, dispatcher, _client):
        node.state.apply(build.ends(build.pending_end(TASK)))
        worker = dispatcher.links["w1"].worker
        worker.runs.clear()
        for task in (TASK, "odd", f"{build.JOB}.0.0.7"):
            row = worker_api.FinishedRow(1, task, 1, "done", "", "done")
            dispatcher.note_untracked_end(worker, row)
        await dispatcher._commit_ends()
        assert node.state.jobs.jobs[build.JOB].state() == "completed"

    run_with_worker(scenario)
