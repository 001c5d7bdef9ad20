"""Processors that short jobs ask for."""

import msgspec
import pytest

from galenahook.jobs import demand as demand_lib
from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import tasks as tasks_lib
import job_builders as build

QUEUE = demand_lib.Queue("desk", "quotes", 0)


def job(*steps, submitted_ms=0, **changes):
    """Builds a job that was submitted at a time after `build.WALL_MS`."""
    stored = build.job(*steps, **changes)
    stored.record = msgspec.structs.replace(
        stored.record, submitted_ms=build.WALL_MS + submitted_ms
    )
    return stored


def measure(*jobs, now_ms, run_times=None):
    """Returns the demand by queue."""
    demand = demand_lib.ShortDemand()
    for item in jobs:
        demand.add(item)
    times = run_times or run_times_lib.RunTimes()
    return demand.cpu_millis(times, build.WALL_MS + now_ms)


def test_work_is_averaged_over_the_time_since_the_first_job():
    jobs = [
        job(build.step(tasks=2, estimate_ms=1_000), submitted_ms=at_ms)
        for at_ms in range(0, 4_000, 500)
    ]
    assert measure(*jobs, now_ms=4_000) == {QUEUE: 4_000}


def test_work_of_a_new_queue_is_not_averaged_over_an_instant():
    small = job(build.step(estimate_ms=demand_lib.MIN_WINDOW_MS))
    assert measure(small, now_ms=10) == {QUEUE: 1_000}


def test_work_counts_for_the_window_only():
    early = job(build.step(tasks=50))
    late = job(build.step(estimate_ms=800), submitted_ms=19_000)
    now_ms = 20_000
    assert measure(early, late, now_ms=now_ms) == {
        QUEUE: 1_000 * 800 / demand_lib.WINDOW_MS
    }
    assert measure(early, now_ms=now_ms) == {}


def test_learned_run_times_count_rather_than_declared_ones():
    stored = job(build.step(estimate_ms=50))
    times = run_times_lib.RunTimes()
    times.learn(stored, 1_000)
    (cpu_millis,) = measure(stored, now_ms=1_000, run_times=times).values()
    assert cpu_millis == pytest.approx(1_000)


def test_each_occurrence_counts_once_it_is_due():
    timed = job(
        build.step(estimate_ms=1_000),
        first_start_ms=build.WALL_MS + 60_000,
        interval_ms=1_000,
        occurrences=3,
    )
    assert measure(timed, now_ms=59_000) == {}
    assert measure(timed, now_ms=60_000) == {QUEUE: 1_000 / 8}
    assert measure(timed, now_ms=62_000) == {QUEUE: 3_000 / 8}
    assert measure(timed, now_ms=62_000 + demand_lib.WINDOW_MS) == {}


def test_serving_jobs_and_jobs_on_idle_processors_do_not_count():
    assert measure(job(build.serving_step()), now_ms=500) == {}
    assert measure(job(build.batch_step()), now_ms=500) == {}


def test_a_measurement_is_repeated_after_a_time():
    demand = demand_lib.ShortDemand()
    times = run_times_lib.RunTimes()
    demand.add(job(build.step(estimate_ms=1_000)))

    def total(now_ms):
        measured = demand.cpu_millis(times, build.WALL_MS + now_ms)
        return sum(measured.values())

    before = total(1_000)
    demand.add(job(build.step(tasks=9), submitted_ms=1_001))
    assert total(1_000 + demand_lib.REFRESH_MS - 1) == before
    assert total(1_000 + demand_lib.REFRESH_MS) > before


def test_a_wall_clock_that_was_set_back_does_not_stop_the_measurement():
    demand = demand_lib.ShortDemand()
    times = run_times_lib.RunTimes()
    demand.cpu_millis(times, build.WALL_MS + 60_000)
    demand.add(job(build.step(estimate_ms=1_000)))
    assert demand.cpu_millis(times, build.WALL_MS + 1_000) == {QUEUE: 1_000}


def test_a_later_first_occurrence_does_not_shorten_the_window():
    timed = job(
        build.step(estimate_ms=1_000), first_start_ms=build.WALL_MS + 90_000
    )
    now_ms = 30_000
    late = job(build.step(estimate_ms=800), submitted_ms=29_000)
    assert measure(timed, late, now_ms=now_ms) == {QUEUE: 100}


def test_a_job_that_has_ended_asks_for_nothing_more():
    timed = job(
        build.step(estimate_ms=1_000),
        first_start_ms=build.WALL_MS + 1_000,
        interval_ms=1_000,
        occurrences=100,
    )
    assert measure(timed, now_ms=30_000) == {QUEUE: 1_000}
    timed.record = msgspec.structs.replace(
        timed.record,
        outcome=tasks_lib.Outcome.CANCELLED,
        ended_ms=build.WALL_MS + 25_000,
    )
    # Due in the window at 23, 24 and 25 s.
    assert measure(timed, now_ms=30_000) == {QUEUE: 3_000 / 8}
    assert measure(timed, now_ms=40_000) == {}


def test_a_wall_clock_that_is_ahead_for_a_moment_loses_no_job():
    demand = demand_lib.ShortDemand()
    times = run_times_lib.RunTimes()
    demand.add(job(build.step(estimate_ms=1_000)))
    assert demand.cpu_millis(times, build.WALL_MS + 20_000) == {}
    assert demand.cpu_millis(times, build.WALL_MS + 1_000) == {QUEUE: 1_000}
