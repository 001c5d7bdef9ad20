"""State that a new leader restores from an earlier one."""

import curio
import eliot
import pytest

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import job_metrics
from galenahook import state as state_lib
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import headroom
from galenahook.jobs import worker_api
import job_builders as build

TASK = f"{build.JOB}.0.0.0"


class FakeNode:
    """A replica that leads and commits at once."""

    def __init__(self):
        self.state = state_lib.State()
        self.submitted = []
        self.has_quorum = True

    def term(self):
        return 7

    def has_valid_lease(self):
        return True

    def is_leader(self):
        return True

    async def submit(self, command):
        if not self.has_quorum:
            raise errors.NoQuorumError("no majority")
        self.submitted.append(command)
        return self.state.apply(command)


class FakeClient:
    """A client of a worker that never replies."""

    async def poll(self, *_arguments):
        raise errors.ExchangeError("no reply", sent=False)

    async def close(self):
        """Does nothing."""


def make(node, make_client=FakeClient):
    return dispatcher_lib.Dispatcher(
        node,
        clock_lib.Clock(),
        lambda _heartbeat: make_client(),
        3_000,
        job_metrics.JobMetrics(),
    )


def node_running(step):
    """Returns a node whose state has a run on the worker w1."""
    node = FakeNode()
    node.state.apply(build.submit(step))
    node.state.apply(build.starts(build.start(TASK)))
    return node


def adopt(node):
    dispatcher = make(node)

    async def main():
        await dispatcher.handle_heartbeat(build.heartbeat())
        await dispatcher.close()

    curio.run(main)
    return dispatcher.links["w1"].worker.runs[TASK]


def test_an_adopted_batch_run_counts_as_throttled():
    assert adopt(node_running(build.batch_step())).throttle_percent == 0


@pytest.mark.parametrize("step", [build.step(), build.serving_step()])
def test_an_adopted_run_of_another_kind_is_at_full_speed(step):
    assert adopt(node_running(step)).throttle_percent == 100


def test_a_new_leader_restores_the_weights_of_the_earlier_one():
    node = FakeNode()
    first = make(node)
    weights = first.tails.model.weights
    weights[("shop", "batch")] = headroom.Weight(9.0, 0.1)
    first.tails.model.learn("shop", (build.JOB, 0, 0), {}, 2.5, 0)
    curio.run(first._store_model)
    later = make(node)
    assert later.tails.model.weight("shop", "batch").value == 9.0


def test_an_empty_model_is_not_stored():
    node = FakeNode()
    curio.run(make(node)._store_model)
    assert node.submitted == []


def test_a_failed_commit_of_the_model_is_ignored():
    node = FakeNode()
    dispatcher = make(node)
    dispatcher.tails.model.learn("shop", (build.JOB, 0, 0), {}, 2.5, 0)
    node.has_quorum = False
    curio.run(dispatcher._store_model)
    assert node.submitted == []


def test_run_times_are_learned_from_complete_runs_at_full_speed():
    node = node_running(build.step())
    dispatcher = make(node)
    job = node.state.jobs.jobs[build.JOB]
    worker = build.worker()
    for changes, known in (
        ({"slowed_ms": 5}, 500.0),
        ({"ordered_ms": 0}, 500.0),
        ({"ordered_ms": dispatcher.now_ms() - 2_000}, 2_000.0),
    ):
        dispatcher.note_end(worker, build.live_run(job, **changes), "done")
        learned = dispatcher.run_times.expected_ms(job, 500)
        assert learned == pytest.approx(known, rel=0.05)


class FailingNode(FakeNode):
    """A replica whose first commit of ends or starts fails unexpectedly."""

    def __init__(self):
        super().__init__()
        self.failures = 1

    async def submit(self, command):
        if isinstance(command, commands.RecordRuns) and self.failures:
            self.failures -= 1
            raise KeyError("commit")
        return await super().submit(command)


def run_rounds(dispatcher, prepare):
    """Runs rounds for 300 ms; returns the logged failures."""
    messages = []

    async def main():
        await prepare()
        task = await curio.spawn(dispatcher.run)
        await curio.sleep(0.3)
        assert not task.terminated
        await task.cancel()
        await dispatcher.close()

    eliot.add_destinations(messages.append)
    try:
        curio.run(main)
    finally:
        eliot.remove_destination(messages.append)
    return [
        (message["message_type"], message["reason"])
        for message in messages
        if "Traceback" in message.get("traceback", "")
    ]


def test_rounds_go_on_after_an_unexpected_exception_and_lose_no_ends():
    node = FailingNode()
    node.state.apply(build.submit())
    node.state.apply(build.starts(build.start(TASK)))
    dispatcher = make(node)

    async def prepare():
        await dispatcher.queue_ends([build.end(TASK)])

    failures = run_rounds(dispatcher, prepare)
    assert failures == [("round:failed", "KeyError('commit')")]
    assert node.state.jobs.jobs[build.JOB].active == set()


def test_a_start_whose_commit_fails_unexpectedly_is_placed_again():
    node = FailingNode()
    node.state.apply(build.put_site())
    node.state.apply(build.submit())
    started = []

    class Client(FakeClient):
        async def poll(self, *_arguments):
            await curio.sleep(0.01)
            return worker_api.PollReply(1, 10_000, [], [], complete=True)

        async def start(self, order):
            started.append((order.task, order.run))
            return worker_api.StartAnswer.RUNNING, ""

    dispatcher = make(node, Client)

    async def prepare():
        await dispatcher.handle_heartbeat(build.heartbeat())
        await curio.sleep(0.05)

    failures = run_rounds(dispatcher, prepare)
    assert failures == [("round:failed", "KeyError('commit')")]
    assert (TASK, 1) in started
