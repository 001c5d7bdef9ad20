"""State that a new leader restores from an earlier one."""

import curio
import pytest

import announced_workers
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import job_metrics
from galenahook import state as state_lib
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import headroom
from galenahook.jobs import learned_model
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


def make(node):
    return dispatcher_lib.Dispatcher(
        node,
        clock_lib.Clock(),
        announced_workers.AnnouncedClient,
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
        await announced_workers.join(dispatcher, build.heartbeat())
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
    curio.run(learned_model.store, first)
    later = make(node)
    assert later.tails.model.weight("shop", "batch").value == 9.0


def test_an_empty_model_is_not_stored():
    node = FakeNode()
    curio.run(learned_model.store, make(node))
    assert node.submitted == []


def test_a_failed_commit_of_the_model_is_ignored():
    node = FakeNode()
    dispatcher = make(node)
    dispatcher.tails.model.learn("shop", (build.JOB, 0, 0), {}, 2.5, 0)
    node.has_quorum = False
    curio.run(learned_model.store, dispatcher)
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


def test_a_delayed_heartbeat_of_an_earlier_incarnation_takes_no_run():
    """The next incarnation would adopt the run, and stop it."""
    node = FakeNode()
    node.state.apply(build.submit())
    start = commands.RunStart(task=TASK, run=1, worker="w1", born_ms=2)
    node.state.apply(build.starts(start))
    dispatcher = make(node)

    async def main():
        await announced_workers.join(dispatcher, build.heartbeat(born_ms=1))
        assert dispatcher.links["w1"].worker.runs == {}
        await announced_workers.join(dispatcher, build.heartbeat(born_ms=2))
        await curio.sleep(0.02)
        run = dispatcher.links["w1"].worker.runs[TASK]
        assert not run.stopping
        await dispatcher.close()

    curio.run(main)


@pytest.mark.parametrize(
    ("changes", "ended"),
    [
        ({}, True),
        ({"machine": "m-else"}, False),
        ({"machine": ""}, False),
        ({"born_ms": 1}, False),
    ],
)
def test_a_run_of_an_earlier_term_ends_with_the_next_worker_on_its_vm(
    changes, ended
):
    """Otherwise its task waits for a whole lease from the new term on."""
    node = FakeNode()
    node.state.apply(build.submit(build.serving_step()))
    worker = build.worker()
    live = build.live_run(node.state.jobs.jobs[build.JOB])
    node.state.apply(build.starts(dispatcher_lib._start_of(worker, live)))
    dispatcher = make(node)

    async def main():
        values = {"born_ms": 2, "machine": "m-w1", **changes}
        beat = build.heartbeat("w2", **values)
        await announced_workers.join(dispatcher, beat)
        await dispatcher._round()
        assert (not node.state.jobs.jobs[build.JOB].active) is ended
        await dispatcher.close()

    curio.run(main)
