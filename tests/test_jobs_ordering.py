"""Order of jobs for placement, and estimated run times."""

import math
import random

import pytest

from galenahook.jobs import ordering
from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import table as table_lib
import job_builders as build

NOW_MS = build.WALL_MS


def job(name, *steps, age_ms=0, **changes):
    """Returns a stored job of a given age, and its table."""
    table = table_lib.JobTable()
    command = build.submit(*steps, job=f"00000000000000{name}", **changes)
    table.submit(command)
    stored = table.jobs[command.description.job]
    stored.record = type(stored.record)(
        description=stored.description, submitted_ms=NOW_MS - age_ms
    )
    return stored, table


def finish(stored, table, *tasks):
    for task in tasks:
        name = f"{stored.description.job}.0.{task}"
        table.record(build.starts(build.start(name)))
        table.record(build.ends(build.end(name)))


def order(*jobs):
    times = run_times_lib.RunTimes()
    ranked = sorted(jobs, key=lambda j: ordering.rank(j, times, NOW_MS))
    return [j.description.job[-2:] for j in ranked]


def test_serving_jobs_go_first_then_jobs_by_priority():
    serving, _ = job("a1", build.serving_step(), priority=5)
    urgent, _ = job("a2", priority=0)
    other, _ = job("a3", priority=2)
    assert order(other, urgent, serving) == ["a1", "a2", "a3"]


def test_serving_jobs_with_larger_tasks_go_first():
    small, _ = job("a1", build.serving_step(), age_ms=500)
    large, _ = job("a2", build.serving_step(cpu_millis=9_000))
    assert order(small, large) == ["a2", "a1"]


def test_a_job_that_can_end_in_time_goes_before_one_that_cannot():
    late, _ = job("a1", age_ms=1_000)
    fresh, _ = job("a2")
    assert order(late, fresh) == ["a2", "a1"]


def test_a_late_job_that_is_nearly_done_goes_before_a_fresh_one():
    late, table = job("a1", build.step(tasks=20), age_ms=1_000)
    finish(late, table, *(f"0.{index}" for index in range(19)))
    fresh, _ = job("a2", build.step(tasks=20))
    assert order(fresh, late) == ["a1", "a2"]


def test_an_expired_job_goes_last_even_if_nearly_done():
    expired, table = job("a1", build.step(tasks=20), age_ms=60_000)
    finish(expired, table, *(f"0.{index}" for index in range(19)))
    late, _ = job("a2", build.step(tasks=20), age_ms=1_000)
    assert order(expired, late) == ["a2", "a1"]


def test_a_half_done_job_goes_before_one_that_is_due_earlier():
    half, table = job("a1", build.step(tasks=4))
    finish(half, table, "0.0", "0.1", "0.2")
    fresh, _ = job("a2", build.step(tasks=4), age_ms=100)
    assert order(fresh, half) == ["a1", "a2"]


def test_declared_run_time_is_used_until_a_queue_has_runs():
    times = run_times_lib.RunTimes()
    stored, _ = job("a1")
    assert times.expected_ms(stored, 500) == 500.0


def test_learned_run_times_of_a_queue_outweigh_declared_ones():
    times = run_times_lib.RunTimes()
    for number in range(10):
        other, _ = job(f"b{number}")
        times.learn(other, 2_000)
    stored, _ = job("a1")
    assert 1_200 < times.expected_ms(stored, 500) < 2_000
    assert times.expected_ms(stored, 2_000) == pytest.approx(2_000)


def test_run_times_of_the_job_itself_override_its_queue():
    times = run_times_lib.RunTimes()
    stored, _ = job("a1")
    times.learn(stored, 4_000)
    assert times.expected_ms(stored, 500) == pytest.approx(4_000)


def learn_steps(times, sigma, declared_error=1):
    """Learns steps of 200 to 3,200 ms with four runs each."""
    draws = random.Random(1)
    for number in range(100):
        mean_ms = 200 * 2 ** (number % 5)
        other, _ = job(
            f"{number:02x}", build.step(estimate_ms=mean_ms * declared_error)
        )
        for _ in range(4):
            times.learn(other, round(mean_ms * draws.lognormvariate(0, sigma)))


def test_declared_run_times_that_prove_accurate_outweigh_the_queue():
    times = run_times_lib.RunTimes()
    learn_steps(times, sigma=0.1)
    stored, _ = job("a1")
    assert times.expected_ms(stored, 3_200) == pytest.approx(3_200, rel=0.1)


def test_declared_run_times_that_are_far_off_are_hardly_used():
    times = run_times_lib.RunTimes()
    learn_steps(times, sigma=0.1, declared_error=20)
    stored, _ = job("a1")
    assert times.expected_ms(stored, 20 * 800) < 1_600


def test_run_times_are_learned_by_step():
    times = run_times_lib.RunTimes()
    steps = (build.step(estimate_ms=500), build.step(estimate_ms=900))
    stored, _ = job("a1", *steps)
    times.learn(stored, 4_000, 0)
    assert times.expected_ms(stored, 900, 1) == 900


def test_a_step_takes_as_long_as_its_longest_task():
    times = run_times_lib.RunTimes()
    learn_steps(times, sigma=0.3)
    narrow, _ = job("a1", build.step(estimate_ms=800))
    wide, _ = job("a2", build.step(estimate_ms=800, tasks=40))
    assert times.longest_ms(narrow, 0) == pytest.approx(800, rel=0.1)
    # The expected maximum of 40 standard normal values is 2.16.
    longest_ms = 800 * math.exp(2.16 * 0.3)
    assert times.longest_ms(wide, 0) == pytest.approx(longest_ms, rel=0.1)


def test_wide_and_long_jobs_are_not_taken_for_late_too_early():
    times = run_times_lib.RunTimes()
    learn_steps(times, sigma=0.3)
    # With the mean run time of the queue, all would be late by now.
    narrow, _ = job("a1", build.step(estimate_ms=400), age_ms=900)
    wide, _ = job("a2", build.step(estimate_ms=400, tasks=40), age_ms=900)
    long, _ = job("a3", build.step(estimate_ms=3_200), age_ms=900)
    ranked = sorted(
        (narrow, wide, long), key=lambda j: ordering.rank(j, times, NOW_MS)
    )
    assert [j.description.job[-2:] for j in ranked] == ["a2", "a3", "a1"]


def test_failed_runs_extend_the_target_duration():
    times = run_times_lib.RunTimes()
    stored, table = job("a1", build.step(tasks=2), max_attempts=3)
    assert ordering.target_duration_ms(stored, times) == 1_250
    task = f"{stored.description.job}.0.0.0"
    for run in (1, 2):
        table.record(build.starts(build.start(task, run)))
        table.record(build.ends(build.end(task, run, outcome="failed")))
        assert ordering.target_duration_ms(stored, times) == 1_250 + 500 * run
    restored = table_lib.JobTable()
    for record in table.snapshot_records():
        restored.restore_record(record)
    again = restored.jobs[stored.description.job]
    assert ordering.target_duration_ms(again, times) == 2_250


def test_number_of_jobs_with_run_times_is_bounded():
    times = run_times_lib.RunTimes()
    for number in range(run_times_lib.MAX_TRACKED_STEPS + 10):
        stored, _ = job(f"{number % 256:02x}", queue=f"q{number}")
        stored.record = build.job(job=f"{number:016x}").record
        times.learn(stored, 1_000)
    assert len(times._by_step) == run_times_lib.MAX_TRACKED_STEPS


def test_the_critical_path_adds_up_dependent_steps():
    times = run_times_lib.RunTimes()
    steps = (
        build.step(estimate_ms=100),
        build.step(estimate_ms=900),
        build.step(estimate_ms=300, after=(0,)),
    )
    stored, table = job("a1", *steps)
    assert times.critical_path_ms(stored) == 900.0
    finish(stored, table, "1.0")
    assert times.critical_path_ms(stored, remaining=True) == 400.0


def test_a_job_that_is_not_drawn_goes_after_those_that_are():
    """It still goes before those that have expired and less urgent ones."""
    times = run_times_lib.RunTimes()

    def rank(name, is_drawn=True, **changes):
        stored, _ = job(name, **changes)
        return ordering.rank(stored, times, NOW_MS, is_drawn)

    late = rank("a1", age_ms=1_000)
    not_drawn = rank("a2", is_drawn=False)
    assert late < not_drawn
    assert not_drawn < rank("a3", age_ms=60_000)
    assert not_drawn < rank("a4", priority=1)
