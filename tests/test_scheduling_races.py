"""Tests of faults that occur between two steps of the scheduler."""

from collections.abc import Callable
from collections.abc import Iterator

import curio
import pytest

from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook.scheduling import tasks as tasks_lib
import scheduling_model as model

Phase = tasks_lib.Phase
TASK = "job/plan/0"


@pytest.fixture
def site() -> Iterator[model.ModelSite]:
    site = model.ModelSite()
    site.add_worker("w0", zone="a")
    site.pass_time(1_500)
    yield site
    site.close()
    assert not site.violations


def zone_out(site: model.ModelSite) -> None:
    site.change(commands.AvailabilityZoneOut(availability_zone="a"))


def lose_leadership(site: model.ModelSite) -> None:
    site.node.leads = False


def leave(site: model.ModelSite) -> None:
    site.workers["w0"].leaving = True
    site.announce()


def drain(site: model.ModelSite) -> None:
    site.change(commands.DrainUpstream(name="w0"))


def restart(site: model.ModelSite) -> None:
    site.workers["w0"].restart()
    site.announce()


@pytest.mark.parametrize(
    "fault", [zone_out, lose_leadership, leave, drain, restart]
)
def test_start_is_checked_again_after_its_commit(
    site: model.ModelSite, fault: Callable[[model.ModelSite], None]
) -> None:
    def inject_once() -> None:
        site.node.before_commit = None
        fault(site)

    site.change(model.sheet(model.job("plan")))
    site.node.before_commit = inject_once
    site.round()
    assert site.node.before_commit is None
    assert site.workers_running(TASK) == []
    assert site.workers["w0"].start_replies == {}


def test_delayed_start_of_an_evicted_attempt(site: model.ModelSite) -> None:
    site.add_worker("w1", zone="b")
    site.change(commands.DrainUpstream(name="w1"))
    site.pass_time(1_500)
    site.client.delay.add("w0")
    site.change(model.sheet(model.job("plan")))
    site.round()
    zone_out(site)
    site.change(commands.UndrainUpstream(name="w1"))
    site.pass_time(1_500)
    site.client.deliver_delayed()
    assert len(site.workers_running(TASK)) <= 1
    site.client.delay.clear()
    site.pass_time(4_000)
    assert site.workers_running(TASK) == ["w1"]


def test_refused_start_waits_for_another_worker(site: model.ModelSite) -> None:
    site.workers["w0"].lease_until_ms = 0
    site.change(model.sheet(model.job("plan", repeatable=False)))
    site.round()
    assert site.record(TASK).phase is Phase.PENDING
    assert site.record(TASK).reason.startswith("refused")
    site.pass_time(2_000)
    assert site.workers_running(TASK) == ["w0"]


def test_completion_before_the_eviction_is_executed(
    site: model.ModelSite,
) -> None:
    site.add_worker("w1", zone="b")
    site.change(model.sheet(model.job("plan", repeatable=False)))
    site.pass_time(1_000)
    (worker_name,) = site.workers_running(TASK)
    worker = site.workers[worker_name]
    worker.finish(TASK)
    site.announce()
    site.change(commands.DrainUpstream(name=worker_name))
    site.pass_time(3_000)
    assert site.report(worker_name) == [messages.ReportReply(acknowledged=True)]
    assert site.record(TASK).phase is Phase.DONE


def test_not_repeatable_task_is_not_stopped_if_its_checkpoint_fails(
    site: model.ModelSite,
) -> None:
    site.add_worker("w1", zone="b")
    site.change(model.sheet(model.job("plan", repeatable=False)))
    site.pass_time(1_000)
    (worker_name,) = site.workers_running(TASK)
    site.workers[worker_name].checkpoints = False
    site.change(commands.DrainUpstream(name=worker_name))
    site.pass_time(5_000)
    assert site.workers_running(TASK) == [worker_name]
    site.workers[worker_name].checkpoints = True
    site.pass_time(3_000)
    assert site.workers_running(TASK) != [worker_name]
    assert site.record(TASK).checkpoint == f"{TASK}#1"


def test_repeated_cancellations_stop_all_tasks(site: model.ModelSite) -> None:
    site.change(model.sheet(*(model.job(f"j{number}") for number in range(12))))
    site.pass_time(1_000)
    names = tuple(f"j{number}" for number in range(12))
    for _ in range(3):
        site.change(commands.CancelJobs(names=names))
    site.pass_time(2_000)
    assert not any(site.workers_running(f"job/{name}/0") for name in names)
    phases = {site.record(f"job/{name}/0").phase for name in names}
    assert phases == {Phase.CANCELLED}


def test_frozen_leader_commits_nothing_after_its_term(
    site: model.ModelSite,
) -> None:
    site.change(model.sheet(model.job("plan")))
    site.pass_time(1_000)
    site.workers["w0"].finish(TASK)
    site.node.leads = False
    with pytest.raises(Exception, match="not the leader"):
        site.report("w0")
    assert site.record(TASK).phase is Phase.HELD


@pytest.mark.parametrize(
    ("checkpointed", "ended", "phase"),
    [
        (True, False, Phase.HELD),
        (False, False, Phase.IN_DOUBT),
        (True, True, Phase.IN_DOUBT),
    ],
)
def test_interrupted_not_repeatable_task_resumes_if_its_worker_returns(
    site: model.ModelSite, checkpointed: bool, ended: bool, phase: Phase
) -> None:
    site.change(model.sheet(model.job("plan", repeatable=False)))
    site.pass_time(1_000)
    if checkpointed:
        reference = site.workers["w0"].checkpoint(
            messages.CheckpointOrder(task=TASK, attempt=1)
        )
        taken = commands.CheckpointTaken(
            task=TASK, attempt=1, reference=reference.reference
        )
        site.node.state.apply(commands.RecordCheckpoints(checkpoints=(taken,)))
    site.workers["w0"].connected = False
    if ended:
        site.workers["w0"].finish(TASK)
    site.pass_time(10_000)
    assert site.record(TASK).phase is Phase.IN_DOUBT
    site.workers["w0"].connected = True
    site.pass_time(15_000)
    assert site.record(TASK).phase is phase
    assert site.record(TASK).attempt == (2 if phase is Phase.HELD else 1)


def test_lost_order_to_lift_a_throttle_is_resent(
    site: model.ModelSite,
) -> None:
    site.change(model.sheet(model.job("plan")))
    site.pass_time(1_000)
    throttles = site.scheduler.throttles
    site.kernel.run(throttles.set, TASK, 40)
    site.pass_time(1_000)
    assert site.workers["w0"].attempts[TASK].percent == 40
    site.client.lose_request.add("w0")
    site.kernel.run(throttles.set, TASK, 100)
    site.pass_time(1_000)
    site.client.lose_request.clear()
    site.pass_time(3_000)
    assert site.workers["w0"].attempts[TASK].percent == 100
    assert site.scheduler.decisions.colocation.throttles == {}


def test_new_leader_adopts_existing_throttles(
    site: model.ModelSite,
) -> None:
    site.change(model.sheet(model.job("plan")))
    site.pass_time(1_000)
    site.kernel.run(site.scheduler.throttles.set, TASK, 40)
    site.pass_time(500)
    site.elect()
    site.pass_time(1_500)
    assert site.scheduler.decisions.colocation.throttles == {TASK: 40}


def test_failure_resent_without_a_quorum_is_counted_once(
    site: model.ModelSite,
) -> None:
    site.change(model.sheet(model.job("plan")))
    site.pass_time(1_000)
    worker = site.workers["w0"]
    worker.finish(TASK, messages.Failed(run_ms=1, reason="x"))
    site.node.quorum = False
    for _ in range(5):
        with pytest.raises(errors.NoQuorumError):
            site.report("w0")
    site.node.quorum = True
    site.report("w0")
    assert not site.scheduler.context.quarantine.is_quarantined("w0")
    assert site.record(TASK).failures == 1


def test_unreachable_worker_is_used_soon_after_it_is_reachable_again(
    site: model.ModelSite,
) -> None:
    """Three starts without a reply quarantined a healthy worker for 20 s."""
    site.client.lose_request.add("w0")
    site.change(model.sheet(model.job("plan", tasks=4)))
    site.pass_time(5_000)
    assert site.workers_running(TASK) == []
    site.client.lose_request.clear()
    site.pass_time(7_000)
    assert all(site.workers_running(f"job/plan/{index}") for index in range(4))


def test_completion_resent_after_a_lost_reply_gets_the_first_reply(
    site: model.ModelSite,
) -> None:
    """The resent report was rejected as out of date."""
    site.change(model.sheet(model.job("plan")))
    site.pass_time(1_000)
    site.workers["w0"].finish(TASK)
    site.node.loses_replies = True
    with pytest.raises(errors.NoQuorumError):
        site.report("w0")
    site.node.loses_replies = False
    assert site.report("w0") == [messages.ReportReply(acknowledged=True)]
    assert site.record(TASK).phase is Phase.DONE


def test_completion_resent_while_its_commit_is_in_progress(
    site: model.ModelSite,
) -> None:
    """The second of two concurrent reports was rejected as out of date."""
    site.change(model.sheet(model.job("plan")))
    site.pass_time(1_000)
    worker = site.workers["w0"]
    worker.finish(TASK)
    (report,) = worker.reports()
    site.node.slow = True

    async def report_twice() -> list[messages.ReportReply]:
        sent = [
            await curio.spawn(site.scheduler.report, report) for _ in range(2)
        ]
        return [await one.join() for one in sent]

    accepted = messages.ReportReply(acknowledged=True)
    assert site.kernel.run(report_twice) == [accepted, accepted]
