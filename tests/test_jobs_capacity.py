"""Capacity of workers that shrinks and grows while they run."""

import pytest

from galenahook.jobs import tail_latency as tail_latency_lib
import job_builders as build
import test_jobs_placement as placements


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
    dispatcher = placements.dispatcher_of([worker], submitted)
    assert placements.placements_of(dispatcher) == []


@pytest.mark.parametrize(
    "step", [build.step, build.serving_step, build.batch_step]
)
def test_a_task_without_needs_fits_a_worker_without_capacity(step):
    worker = build.worker(cpu_millis=0, memory_mb=0)
    submitted = build.submit(step(cpu_millis=0, memory_mb=0))
    dispatcher = placements.dispatcher_of([worker], submitted)
    assert placements.placements_of(dispatcher) == [("w1", "0.0.0")]


def test_shares_of_a_worker_without_capacity_are_those_of_a_whole_worker():
    worker = build.worker(cpu_millis=0)
    _, batch = serving_and_batch_runs(worker)
    assert tail_latency_lib.expected_shares(worker) == {"batch": 1.0}
    assert tail_latency_lib.measured_shares(worker, 0) == {"batch": 1.0}
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
