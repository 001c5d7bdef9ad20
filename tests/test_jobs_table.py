"""The replicated table of jobs: effects of commands, ignored commands."""

import msgspec
import pytest

from galenahook import state as state_lib
from galenahook.jobs import table as table_lib
from galenahook.jobs import tasks as tasks_lib
import job_builders as build

FIRST = f"{build.JOB}.0.0.0"
SECOND = f"{build.JOB}.0.1.0"


@pytest.fixture
def table():
    return table_lib.JobTable()


def the_job(table):
    return table.jobs[build.JOB]


def test_a_job_is_stored_once(table):
    table.submit(build.submit())
    table.record(build.starts(build.start(FIRST)))
    table.submit(build.submit(build.step(tasks=9)))
    assert the_job(table).description.steps[0].tasks == 1
    assert the_job(table).state() == "running"


def test_a_step_waits_until_every_task_before_it_is_done(table):
    table.submit(build.submit(build.step(tasks=2), build.step(after=(0,))))
    other = f"{build.JOB}.0.0.1"
    table.record(build.starts(build.start(FIRST), build.start(other)))
    table.record(build.ends(build.end(FIRST)))
    assert the_job(table).waiting == set()
    table.record(build.ends(build.end(other)))
    assert the_job(table).waiting == {(0, 1, 0)}


def test_a_job_completes_with_its_last_task(table):
    table.submit(build.submit(build.step(), build.step(after=(0,))))
    for task in (FIRST, SECOND):
        assert the_job(table).state() != "completed"
        table.record(build.starts(build.start(task)))
        table.record(build.ends(build.end(task)))
    assert the_job(table).state() == "completed"
    assert table.open == {}


def test_a_job_whose_only_start_is_pending_has_not_begun(table):
    """It counts among the waiting jobs of its queue."""
    table.submit(build.submit())
    table.record(build.starts(build.start(FIRST)))
    table.record(build.ends(build.pending_end(FIRST)))
    assert the_job(table).state() == "queued"
    restored = table_lib.JobTable()
    for record in table.snapshot_records():
        restored.restore_record(record)
    assert the_job(restored).state() == "queued"
    table.record(build.starts(build.start(FIRST, run=2)))
    table.record(build.ends(build.end(FIRST, run=2, outcome="failed")))
    assert the_job(table).state() == "running"


def test_a_job_that_has_begun_stays_so_beside_a_pending_start(table):
    table.submit(build.submit(build.step(tasks=2)))
    other = f"{build.JOB}.0.0.1"
    table.record(build.starts(build.start(FIRST), build.start(other)))
    table.record(build.confirmed(other))
    table.record(build.ends(build.pending_end(FIRST)))
    assert the_job(table).state() == "running"


@pytest.mark.parametrize(
    ("outcome", "state"), [("done", "completed"), ("failed", "running")]
)
def test_an_end_of_a_start_that_was_carried_out_late_counts_once(
    table, outcome, state
):
    """Otherwise the task starts again after it was done."""
    table.submit(build.submit())
    table.record(build.starts(build.start(FIRST)))
    table.record(build.ends(build.pending_end(FIRST)))
    late = msgspec.structs.replace(
        build.end(FIRST, outcome=outcome), is_late=True
    )
    for _ in range(2):
        table.record(build.ends(late))
        assert the_job(table).state() == state
    record = the_job(table).runs[0, 0, 0]
    assert record.failures == (outcome == "failed")
    assert record.pinned_to == ""


def test_a_late_end_does_not_count_for_a_task_that_runs_again(table):
    table.submit(build.submit())
    table.record(build.starts(build.start(FIRST)))
    table.record(build.ends(build.pending_end(FIRST)))
    table.record(build.starts(build.start(FIRST, run=2)))
    late = msgspec.structs.replace(build.end(FIRST), is_late=True)
    table.record(build.ends(late))
    assert the_job(table).active == {(0, 0, 0)}


def test_a_start_is_refused_while_a_run_may_be_active(table):
    table.submit(build.submit())
    table.record(build.starts(build.start(FIRST)))
    result = table.record(build.starts(build.start(FIRST, run=2, worker="w2")))
    assert result.applied == (False,)
    assert the_job(table).runs[0, 0, 0].worker == "w1"


def test_an_end_of_an_earlier_run_is_ignored(table):
    table.submit(build.submit())
    table.record(build.starts(build.start(FIRST)))
    table.record(build.ends(build.end(FIRST, outcome="gone")))
    table.record(build.starts(build.start(FIRST, run=2, worker="w2")))
    table.record(build.ends(build.end(FIRST, run=1)))
    assert the_job(table).state() == "running"
    assert the_job(table).active == {(0, 0, 0)}


@pytest.mark.parametrize(
    ("outcomes", "state"),
    [
        (("failed",), "running"),
        (("failed", "failed"), "failed"),
        (("gone", "gone", "gone"), "running"),
        (("failed", "gone", "done"), "completed"),
    ],
)
def test_only_failed_runs_count_as_attempts(table, outcomes, state):
    table.submit(build.submit())
    for run, outcome in enumerate(outcomes, 1):
        table.record(build.starts(build.start(FIRST, run=run)))
        table.record(build.ends(build.end(FIRST, run=run, outcome=outcome)))
    assert the_job(table).state() == state


@pytest.mark.parametrize("outcome", ["done", "failed", "gone"])
def test_a_serving_task_waits_again_whatever_its_outcome(table, outcome):
    table.submit(build.submit(build.serving_step()))
    for run in range(1, 5):
        table.record(build.starts(build.start(FIRST, run=run)))
        table.record(build.ends(build.end(FIRST, run=run, outcome=outcome)))
    assert the_job(table).state() == "running"
    assert the_job(table).waiting == {(0, 0, 0)}


def test_a_cancelled_job_stays_open_until_its_runs_have_ended(table):
    table.submit(build.submit())
    table.record(build.starts(build.start(FIRST)))
    table.cancel(build.commands.CancelJob(job=build.JOB, at_ms=1))
    assert the_job(table).state() == "cancelled"
    assert build.JOB in table.open
    table.record(build.ends(build.end(FIRST)))
    assert the_job(table).state() == "cancelled"
    assert table.open == {}


def cancel(at_ms=1, job=build.JOB):
    return build.commands.CancelJob(job=job, at_ms=at_ms)


def test_a_job_that_arrives_after_its_cancellation_never_runs(table):
    assert isinstance(table.cancel(cancel()), build.commands.JobUnknown)
    assert table.jobs == {}
    table.submit(build.submit())
    assert the_job(table).state() == "cancelled"
    assert the_job(table).waiting == set()
    assert table.open == {}
    assert table.record(build.starts(build.start(FIRST))).applied == (False,)


def test_cancellations_of_unknown_jobs_are_bounded(table, monkeypatch):
    monkeypatch.setattr(table_lib, "MAX_EARLY_CANCELLATIONS", 2)
    for job in ("0" * 16, "1" * 16, build.JOB):
        table.cancel(cancel(job=job))
    assert list(table.cancelled_early) == ["1" * 16, build.JOB]


def test_a_stepped_clock_does_not_discard_a_cancellation(table):
    table.cancel(cancel(at_ms=1))
    table.cancel(cancel(at_ms=10**9, job="1" * 16))
    table.submit(build.submit())
    assert the_job(table).state() == "cancelled"


def test_a_snapshot_restores_cancellations_of_unknown_jobs():
    state = state_lib.State()
    state.apply(cancel(at_ms=7))
    restored = state_lib.State()
    restored.restore(
        state_lib.decode_record(state_lib.encode_record(record))
        for record in state.snapshot_records()
    )
    restored.apply(build.submit())
    assert restored.jobs.jobs[build.JOB].state() == "cancelled"


def test_a_checkpoint_is_retained_until_a_newer_one(table):
    table.submit(build.submit())
    for run, checkpoint in enumerate(("c1", "", "c3"), 1):
        table.record(build.starts(build.start(FIRST, run=run)))
        end = build.end(FIRST, run, "gone", checkpoint)
        table.record(build.ends(end))
    assert the_job(table).runs[0, 0, 0].checkpoint == "c3"
    assert the_job(table).runs[0, 0, 0].run == 3


def test_a_snapshot_restores_waiting_and_active_tasks():
    state = state_lib.State()
    steps = (build.step(tasks=3), build.step(after=(0,)))
    state.apply(build.submit(*steps))
    state.apply(
        build.starts(*(build.start(f"{build.JOB}.0.0.{i}") for i in range(2)))
    )
    state.apply(build.ends(build.end(FIRST)))
    state.apply(build.put_site(version=7))
    restored = state_lib.State()
    restored.restore(
        state_lib.decode_record(state_lib.encode_record(record))
        for record in state.snapshot_records()
    )
    before, after = state.jobs.jobs[build.JOB], restored.jobs.jobs[build.JOB]
    assert after.waiting == before.waiting == {(0, 0, 2)}
    assert after.active == before.active == {(0, 0, 1)}
    assert after.done == before.done
    assert restored.site.current == state.site.current
    assert restored.site.find_queue("desk.example", "/quotes/x") is not None


def test_each_occurrence_has_its_own_tasks(table):
    table.submit(build.submit(occurrences=2, first_start_ms=5, interval_ms=5))
    assert the_job(table).waiting == {(0, 0, 0), (1, 0, 0)}
    for occurrence in range(2):
        task = f"{build.JOB}.{occurrence}.0.0"
        assert the_job(table).record.outcome is tasks_lib.Outcome.NONE
        table.record(build.starts(build.start(task)))
        table.record(build.ends(build.end(task)))
    assert the_job(table).state() == "completed"


def test_a_task_waits_from_its_submission_then_from_its_last_end(table):
    table.submit(build.submit(build.serving_step()))
    assert the_job(table).waiting_since_ms((0, 0, 0)) == build.WALL_MS
    table.record(build.starts(build.start(FIRST)))
    table.record(build.ends(build.end(FIRST, outcome="failed")))
    assert the_job(table).waiting_since_ms((0, 0, 0)) == build.WALL_MS + 1


def test_a_task_waits_from_the_end_of_the_step_before_it(table):
    table.submit(build.submit(build.step(), build.serving_step(after=(0,))))
    table.record(build.starts(build.start(FIRST)))
    table.record(build.ends(build.end(FIRST)))
    assert the_job(table).waiting_since_ms((0, 1, 0)) == build.WALL_MS + 1


def test_a_task_does_not_wait_before_its_occurrence_is_due(table):
    due_ms = build.WALL_MS + 60_000
    table.submit(
        build.submit(
            build.serving_step(),
            first_start_ms=due_ms,
            interval_ms=5_000,
            occurrences=2,
        )
    )
    assert the_job(table).waiting_since_ms((1, 0, 0)) == due_ms + 5_000
