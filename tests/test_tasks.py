"""Tests of the task table, to which every replica applies commands."""

from typing import Any

import pytest

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import messages
from galenahook import state as state_lib
from galenahook.scheduling import retries
from galenahook.scheduling import task_table
from galenahook.scheduling import tasks as tasks_lib
import scheduling_model as model

Phase = tasks_lib.Phase
TASK = "job/plan/0"


class Table:
    """A replicated state with helpers that apply commands."""

    def __init__(self, *rows: Any, **fields: Any) -> None:
        self.state = state_lib.State()
        self.changes = 0
        self.change(model.sheet(*rows, **fields))

    def change(self, change: commands.Change, at_ms: int = 0) -> None:
        self.changes += 1
        command = commands.ChangeConfiguration(
            operator="ana",
            number=self.changes,
            base_revision=self.changes - 1,
            at_ms=at_ms,
            change=change,
        )
        result = self.state.apply(command)
        assert isinstance(result, commands.ChangeAccepted)

    def start(self, task: str = TASK, attempt: int = 1, at: str = "w1") -> bool:
        start = commands.AttemptStart(
            task=task,
            attempt=attempt,
            worker=at,
            incarnation="i1",
            reserved=messages.Resources(1_000, 1_000),
        )
        command = commands.StartAttempts(starts=(start,), at_ms=0)
        return self.applied(command)

    def end(
        self, outcome: commands.AttemptEndOutcome, task: str = TASK, attempt=1
    ) -> bool:
        end = commands.AttemptEnd(task=task, attempt=attempt, outcome=outcome)
        return self.applied(commands.EndAttempts(ends=(end,), at_ms=0))

    def evict(self, attempt: int = 1) -> bool:
        ref = messages.AttemptRef(task=TASK, attempt=attempt)
        command = commands.EvictAttempts(attempts=(ref,), reason="zone out")
        return self.applied(command)

    def checkpoint(self, attempt: int = 1, reference: str = "c1") -> bool:
        taken = commands.CheckpointTaken(
            task=TASK, attempt=attempt, reference=reference
        )
        return self.applied(commands.RecordCheckpoints(checkpoints=(taken,)))

    def applied(self, command: commands.Command) -> bool:
        result = self.state.apply(command)
        assert isinstance(result, commands.AttemptsApplied)
        return result.applied[0]

    def record(self, task: str = TASK) -> tasks_lib.TaskRecord:
        return self.state.tasks.records[task]


COMPLETED = commands.AttemptCompleted(run_ms=5_000)
FAILED = commands.AttemptFailed(run_ms=10, reason="exit status 1")
GONE = commands.AttemptGone(reason="stopped")
DOUBT = commands.AttemptGone(reason="lease over", in_doubt=True)
NEVER = commands.AttemptGone(reason="refused", began=False)


@pytest.mark.parametrize(
    ("repeatable", "checkpointed", "outcome", "phase"),
    [
        (True, False, COMPLETED, Phase.DONE),
        (True, False, FAILED, Phase.PENDING),
        (True, False, GONE, Phase.PENDING),
        (True, False, DOUBT, Phase.PENDING),
        (False, False, COMPLETED, Phase.DONE),
        (False, False, FAILED, Phase.FAILED),
        (False, True, FAILED, Phase.PENDING),
        (False, False, NEVER, Phase.PENDING),
        (False, False, GONE, Phase.IN_DOUBT),
        (False, True, GONE, Phase.PENDING),
        (False, False, DOUBT, Phase.IN_DOUBT),
        (False, True, DOUBT, Phase.IN_DOUBT),
    ],
)
def test_end_of_an_attempt(
    repeatable: bool,
    checkpointed: bool,
    outcome: commands.AttemptEndOutcome,
    phase: Phase,
) -> None:
    table = Table(model.job("plan", repeatable=repeatable))
    assert table.start()
    if checkpointed:
        assert table.checkpoint()
    assert table.end(outcome)
    assert table.record().phase is phase
    assert table.state.tasks.held == {}
    assert table.state.tasks.reserved == {}


@pytest.mark.parametrize("outcome", [FAILED, GONE, DOUBT])
def test_only_the_current_attempt_ends(
    outcome: commands.AttemptEndOutcome,
) -> None:
    table = Table(model.job("plan"))
    table.start()
    table.end(GONE)
    table.start(attempt=2, at="w2")
    assert not table.end(outcome, attempt=1)
    assert not table.end(COMPLETED, attempt=1)
    assert not table.start(attempt=2)
    assert not table.start(attempt=3)
    assert not table.evict(attempt=1)
    assert not table.checkpoint(attempt=1)
    assert table.record().worker == "w2"


def test_late_completion_prevents_a_second_run() -> None:
    table = Table(model.job("plan"))
    table.start()
    table.end(DOUBT)
    assert table.end(COMPLETED)
    assert not table.start(attempt=2)
    assert table.record().phase is Phase.DONE


def test_evicted_task_resumes_once() -> None:
    table = Table(model.job("plan"))
    table.start()
    assert table.evict()
    assert table.checkpoint()
    assert table.end(GONE)
    assert not table.end(GONE)
    record = table.record()
    assert (record.phase, record.checkpoint) == (Phase.PENDING, "c1")
    assert (record.evictions, record.evicting) == (1, "")


@pytest.mark.parametrize("reverse", [False, True])
def test_overlapping_cancellations(reverse: bool) -> None:
    names = [f"j{index}" for index in range(20)]
    table = Table(*(model.job(name) for name in names))
    for name in names[::2]:
        table.start(f"job/{name}/0")
    cancellations = [tuple(names), tuple(names[::-1]), ("unknown", *names)]
    for names_cancelled in cancellations[::-1] if reverse else cancellations:
        table.change(commands.CancelJobs(names=names_cancelled))
    for name in names[::2]:
        assert table.record(f"job/{name}/0").evicting == tasks_lib.CANCELLED
        assert table.end(GONE, f"job/{name}/0")
    phases = {table.record(f"job/{name}/0").phase for name in names}
    assert phases == {Phase.CANCELLED}
    assert table.state.tasks.waiting == {}


def test_job_put_again_after_its_cancellation() -> None:
    table = Table(model.job("plan", tasks=3))
    table.start("job/plan/0")
    table.start("job/plan/1")
    table.end(COMPLETED, "job/plan/1")
    table.change(commands.CancelJobs(names=("plan",)))
    table.change(commands.PutJob(job=model.job("plan", tasks=3)))
    assert table.end(GONE, "job/plan/0")
    phases = [table.record(f"job/plan/{index}").phase for index in range(3)]
    assert phases == [Phase.PENDING, Phase.DONE, Phase.PENDING]


def test_ended_tasks_stay_ended_when_the_sheet_is_applied_again() -> None:
    table = Table(model.job("plan", repeatable=False))
    table.start()
    table.end(COMPLETED)
    table.change(model.sheet(model.job("other")))
    table.change(model.sheet(model.job("plan", repeatable=False)))
    assert table.record().phase is Phase.DONE
    old_ms = task_table.ENDED_RETENTION_MS + 1
    table.change(model.sheet(model.job("other")), at_ms=old_ms)
    assert TASK not in table.state.tasks.records


def test_failures_on_distinct_workers_fail_the_task() -> None:
    table = Table(model.job("plan"))
    for number in range(1, retries.MAX_FAILED_WORKERS + 1):
        assert table.record().phase is Phase.PENDING
        assert table.start(attempt=number, at=f"w{number}")
        assert table.end(FAILED, attempt=number)
    assert table.record().phase is Phase.FAILED


def test_failures_of_a_bad_worker_do_not_count_against_the_job() -> None:
    table = Table(model.job("plan"))
    blamed = commands.AttemptFailed(run_ms=1, reason="x", on_worker=True)
    for number in range(1, 10):
        assert table.start(attempt=number, at=f"w{number}")
        assert table.end(blamed, attempt=number)
    assert table.record().phase is Phase.PENDING
    assert table.record().failures == 0


def test_backoff_doubles_up_to_a_cap_with_jitter() -> None:
    waits = [retries.backoff_ms(TASK, count) for count in range(1, 40)]
    assert 500 <= waits[0] <= 1_000
    assert all(wait <= retries.BACKOFF_CAP_MS for wait in waits)
    assert min(waits[10:]) >= retries.BACKOFF_CAP_MS // 2
    same = {retries.backoff_ms(f"job/plan/{index}", 5) for index in range(99)}
    assert len(same) > 50


def test_service_instance_that_exits_is_started_again() -> None:
    table = Table(model.service("prices", instances=1))
    task = "service/prices/0"
    table.start(task)
    assert table.end(COMPLETED, task)
    assert table.record(task).phase is Phase.PENDING


def test_run_times_are_learned_as_ratios() -> None:
    table = Table(model.job("plan", tasks=40, run_ms=1_000))
    for index in range(40):
        table.start(f"job/plan/{index}")
        table.end(COMPLETED, f"job/plan/{index}")
    learned = table.state.tasks.run_times["coating"]
    assert learned.ratios == (5.0,) * task_table.MAX_RUN_TIME_SAMPLES


def test_snapshot_restores_records_and_indexes() -> None:
    table = Table(
        model.job("plan", tasks=4, repeatable=False),
        model.service("prices"),
    )
    table.start("job/plan/0")
    table.evict()
    table.start("job/plan/1")
    table.end(DOUBT, "job/plan/1")
    table.start("job/plan/2")
    table.end(COMPLETED, "job/plan/2")
    restored = state_lib.State()
    restored.restore(list(table.state.snapshot_records()))
    names = [name for name in task_table.TaskTable.__slots__ if name[0] != "_"]
    for name in set(names) - {"reserved", "owner_reserved", "spread"}:
        left = getattr(restored.tasks, name)
        assert left == getattr(table.state.tasks, name), name
    both = (table.state, restored)
    for state in both:
        state.tasks.follow(configuration_lib.ConfigurationRecord(), 0)
    assert both[0].tasks.records == both[1].tasks.records


def test_order_of_tasks_does_not_depend_on_set_order() -> None:
    table = Table(*(model.job(f"j{index}", tasks=3) for index in range(9)))
    expected = [f"job/j{job}/{index}" for job in range(9) for index in range(3)]
    assert list(table.state.tasks.records) == expected
