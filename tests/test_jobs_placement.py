"""Placement of waiting tasks on workers."""

import msgspec
import pytest

from galenahook import commands
from galenahook.jobs import free_capacity
from galenahook.jobs import headroom
from galenahook.jobs import overdue
from galenahook.jobs import placement
from galenahook.jobs import workers as workers_lib
import job_builders as build

OTHER_JOB = "00000000000000e2"


def place(site, limit=100):
    return placement.place_waiting(
        site.inputs(), site.reservations, site.overdue, site.failures, limit
    )


def placements_of(site, limit=100):
    return [
        (worker.name, run.task.split(".", 1)[1])
        for worker, run in place(site, limit)
    ]


def test_capacity_of_a_worker_is_never_exceeded():
    submitted = build.submit(build.step(tasks=20, cpu_millis=3_000))
    placed = placements_of(build.Site([build.worker()], submitted))
    assert len(placed) == 2


def test_memory_of_tasks_on_idle_processors_is_reserved():
    submitted = build.submit(
        build.batch_step(tasks=20, cpu_millis=100, memory_mb=10_000)
    )
    placed = placements_of(build.Site([build.worker()], submitted))
    assert len(placed) == 3


def test_capacity_of_a_stopping_run_stays_reserved():
    worker = build.worker()
    stopping = build.live_run(
        build.job(build.step(cpu_millis=6_000), job="00000000000000d0"),
        stopping=True,
    )
    worker.runs[stopping.task] = stopping
    submitted = build.submit(build.step(tasks=9, cpu_millis=1_000))
    assert len(placements_of(build.Site([worker], submitted))) == 2


@pytest.mark.parametrize(
    ("worker", "zones_out"),
    [
        ({"draining": True}, ()),
        ({"service": "else"}, ()),
        ({"labels": ("b", "r1")}, ()),
        ({}, ("zone-a",)),
    ],
)
def test_nothing_is_placed_on_an_excluded_worker(worker, zones_out):
    submitted = build.submit(build.step(required_label="a"))
    workers = [build.worker(**worker)]
    assert (
        placements_of(build.Site(workers, submitted, zones_out=zones_out)) == []
    )


def test_tasks_of_a_step_are_spread_over_workers():
    workers = [build.worker("w1"), build.worker("w2")]
    submitted = build.submit(build.step(tasks=6, max_per_worker=2))
    placed = placements_of(build.Site(workers, submitted))
    assert sorted(name for name, _ in placed) == ["w1", "w1", "w2", "w2"]


def test_small_tasks_leave_large_free_pieces_to_large_tasks():
    workers = [
        build.worker("w1", cpu_millis=8_000),
        build.worker("w2", cpu_millis=3_500),
    ]
    small = build.submit(build.step(cpu_millis=3_000), priority=0)
    large = build.submit(
        build.step(cpu_millis=7_000), job=OTHER_JOB, priority=1
    )
    placed = placements_of(build.Site(workers, small, large))
    assert sorted(name for name, _ in placed) == ["w1", "w2"]


def test_serving_jobs_are_placed_before_others():
    submitted = (
        build.submit(build.step(cpu_millis=6_000), job="00000000000000e0"),
        build.submit(
            build.serving_step(cpu_millis=6_000),
            job="00000000000000e1",
            priority=5,
        ),
    )
    site = build.Site([build.worker(cpu_millis=11_000)], *submitted)
    placed = place(site)
    assert [run.job.description.job for _, run in placed] == [
        "00000000000000e1"
    ]


def serving_worker(name, image, **changes):
    """Returns a worker with a serving task that is ready."""
    worker = build.worker(name, **changes)
    job = build.job(
        build.serving_step(image=image), job=f"00000000000000{name}"
    )
    run = build.live_run(job, progress_percent=100, measurement=40.0)
    worker.runs[run.task] = run
    return worker


def train(site, weights, baseline=2.5):
    """Trains the baseline of all serving steps and sets weights."""
    model = site.tails.model
    for worker in site.workers:
        for run in worker.runs.values():
            for now_ms in range(-20_000, 0, 250):
                model.learn(run.step.image, run.step_id, {}, baseline, now_ms)
    for pair, value in weights.items():
        model.weights[pair] = headroom.Weight(value, 0.01)


def test_a_batch_task_is_placed_where_it_does_no_harm():
    workers = [serving_worker("w1", "shop"), serving_worker("w2", "till")]
    site = build.Site(workers, build.submit(build.batch_step(tasks=2)))
    train(site, {("shop", "batch"): 20.0, ("till", "batch"): 0.5})
    assert {name for name, _ in placements_of(site)} == {"w2"}


def test_a_harmless_image_is_placed_whatever_the_baseline():
    site = build.Site(
        [serving_worker("w1", "shop")], build.submit(build.batch_step())
    )
    train(site, {("shop", "batch"): 0.3}, baseline=0.9)
    assert len(placements_of(site)) == 1


def test_a_harmful_image_waits_for_a_higher_baseline():
    for baseline, count in ((1.5, 0), (3.5, 1)):
        site = build.Site(
            [serving_worker("w1", "shop")], build.submit(build.batch_step())
        )
        train(site, {("shop", "batch"): 8.0}, baseline=baseline)
        assert len(placements_of(site)) == count


def test_a_worker_that_tolerates_every_image_is_used_last():
    workers = [serving_worker("w1", "shop"), serving_worker("w2", "till")]
    site = build.Site(workers, build.submit(build.batch_step()))
    train(
        site,
        {
            ("shop", "batch"): 0.5,
            ("shop", "other"): 9.0,
            ("till", "batch"): 0.5,
            ("till", "other"): 0.5,
        },
    )
    assert [name for name, _ in placements_of(site)] == ["w1"]


def test_a_scheduled_occurrence_waits_until_it_is_due():
    submitted = build.submit(
        occurrences=3,
        first_start_ms=build.SITE_WALL_MS - 10,
        interval_ms=10,
    )
    placed = placements_of(build.Site([build.worker()], submitted))
    assert [task for _, task in placed] == ["0.0.0", "1.0.0"]


@pytest.mark.parametrize(("age_ms", "count"), [(0, 0), (500, 1)])
def test_placement_of_new_serving_tasks_is_delayed(age_ms, count):
    site = build.Site([build.worker()], build.submit(build.serving_step()))
    job = site.table.jobs[build.JOB]
    job.record = msgspec.structs.replace(
        job.record, submitted_ms=build.SITE_WALL_MS - age_ms
    )
    assert len(placements_of(site)) == count


def test_restart_of_serving_tasks_is_not_delayed():
    site = build.Site([build.worker()], build.submit(build.serving_step()))
    job = site.table.jobs[build.JOB]
    job.record = msgspec.structs.replace(
        job.record, submitted_ms=build.SITE_WALL_MS
    )
    job.began = True
    assert len(placements_of(site)) == 1


def test_capacity_of_a_delayed_serving_task_is_reserved():
    site = build.Site(
        [build.worker(cpu_millis=8_500)],
        build.submit(
            build.serving_step(cpu_millis=7_000), job="00000000000000e1"
        ),
        build.submit(build.step(cpu_millis=2_000), job="00000000000000e2"),
    )
    job = site.table.jobs["00000000000000e1"]
    job.record = msgspec.structs.replace(
        job.record, submitted_ms=build.SITE_WALL_MS
    )
    assert placements_of(site) == []


@pytest.mark.parametrize(
    ("changes", "count"),
    [
        ({}, 0),
        ({"cpu_millis": 7_000}, 1),
        ({"cpu_millis": 7_000, "required_label": "b"}, 0),
        ({"cpu_millis": 7_000, "memory_mb": 64_000}, 0),
    ],
)
def test_a_task_that_does_not_fit_blocks_only_tasks_as_large(changes, count):
    large = {"cpu_millis": 9_000, "memory_mb": 2_000}
    submitted = (
        build.submit(build.step(**large), job="00000000000000e1"),
        build.submit(
            build.step(**{**large, **changes}), job="00000000000000e2"
        ),
    )
    assert len(placements_of(build.Site([build.worker()], *submitted))) == count


def test_a_step_with_a_limit_per_worker_blocks_no_other():
    submitted = (
        build.submit(
            build.step(tasks=2, max_per_worker=1), job="00000000000000e1"
        ),
        build.submit(build.step(), job="00000000000000e2"),
    )
    assert len(placements_of(build.Site([build.worker()], *submitted))) == 2


def count_checks(monkeypatch):
    """Returns a list that grows with each check of a candidate's capacity."""
    checks = []
    fits = free_capacity.FreeCapacity.fits

    def counted(candidate, step):
        checks.append(candidate.worker.name)
        return fits(candidate, step)

    monkeypatch.setattr(free_capacity.FreeCapacity, "fits", counted)
    return checks


@pytest.mark.parametrize(
    "step", [build.step, build.serving_step, build.batch_step]
)
def test_tasks_of_a_step_do_not_compare_all_workers_each(monkeypatch, step):
    checks = count_checks(monkeypatch)
    workers = [build.worker(f"w{index}") for index in range(50)]
    submitted = build.submit(step(tasks=40, cpu_millis=100))
    assert len(placements_of(build.Site(workers, submitted))) == 40
    assert len(checks) <= 50 + 40


def test_a_failed_task_avoids_its_last_worker_unless_it_is_the_only_one():
    for names, expected in ((["w1", "w2"], "w2"), (["w1"], "w1")):
        site = build.Site(
            [build.worker(name) for name in names],
            build.submit(build.step(tasks=1)),
        )
        table = site.table
        table.record(build.starts(build.start(f"{build.JOB}.0.0.0")))
        table.record(
            build.ends(build.end(f"{build.JOB}.0.0.0", outcome="failed"))
        )
        assert placements_of(site) == [(expected, "0.0.0")]


def submit_with_suspect(table):
    """Submits a job whose only task may have crashed its worker."""
    table.submit(build.submit())
    task = f"{build.JOB}.0.0.0"
    table.record(build.starts(build.start(task, worker="w0")))
    end = build.end(task, outcome="gone")
    table.record(
        build.ends(msgspec.structs.replace(end, blame=commands.Blame.UNLIKELY))
    )


def test_nothing_starts_beside_a_suspected_task_that_is_starting():
    site = build.Site([build.worker()])
    submit_with_suspect(site.table)
    site.table.submit(build.submit(job=OTHER_JOB))
    ((_, suspect),) = place(site)
    assert suspect.job.description.job == build.JOB
    site.table.record(build.starts(build.start(suspect.task, run=2)))
    suspect.ordered_ms = suspect.confirmed_ms = 1
    site.now_ms = workers_lib.START_SETTLE_MS
    assert placements_of(site) == []
    site.now_ms = workers_lib.START_SETTLE_MS + 1
    ((_, run),) = place(site)
    assert run.job.description.job == OTHER_JOB


def test_a_suspected_task_starts_where_nothing_else_is_starting():
    def site_with(seen):
        idle, busy = build.worker("w1"), build.worker("w2")
        for worker, cpu_millis in ((idle, 6_000), (busy, 1_000)):
            job = build.job(build.step(cpu_millis=cpu_millis), job=OTHER_JOB)
            run = build.live_run(job, seen=worker is busy or seen)
            run.confirmed_ms = 0
            worker.runs[run.task] = run
        site = build.Site([idle, busy])
        submit_with_suspect(site.table)
        return site

    assert placements_of(site_with(seen=True)) == [("w1", "0.0.0")]
    assert placements_of(site_with(seen=False)) == [("w2", "0.0.0")]


def site_with_pending_start(step=None, runs=1):
    """Builds a site whose only task has pending starts on `w1`."""
    site = build.Site(
        [build.worker(), build.worker("w2")],
        build.submit(step or build.serving_step()),
    )
    task = f"{build.JOB}.0.0.0"
    for run in range(1, runs + 1):
        site.table.record(
            build.starts(build.start(task, run, is_pinned=run > 1))
        )
        site.table.record(build.ends(build.pending_end(task, run)))
    return site


def set_time(site, now_ms, *silent):
    """Sets the time; all workers but the silent ones have just replied."""
    site.now_ms = now_ms
    for worker in site.workers:
        if worker.name not in silent:
            worker.last_reply_ms = worker.clock_at_ms = now_ms


# When an order sent at time 0 has been carried out, and the lease has expired
# that the worker took with it.
CARRIED_OUT_MS = (
    workers_lib.MAX_ORDER_DELAY_MS + workers_lib.UNRESPONSIVE_AFTER_MS
)
LEASE_END_MS = (
    workers_lib.MAX_ORDER_DELAY_MS
    + workers_lib.MAX_SEND_DELAY_MS
    + int(build.LEASE_MS / workers_lib.MIN_CLOCK_RATE)
)


def test_a_task_that_may_be_done_before_a_late_start_waits_for_it():
    """The start would be carried out after the task was done."""
    site = site_with_pending_start(build.step())
    set_time(site, CARRIED_OUT_MS)
    assert placements_of(site) == []
    set_time(site, CARRIED_OUT_MS + 1)
    assert len(placements_of(site)) == 1


def test_a_serving_task_runs_only_where_its_pending_start_may_be_carried_out():
    """Its worker may restart and carry the start out beside another run."""
    site = site_with_pending_start()
    site.workers[0].heartbeat = build.heartbeat("w1", draining=True)
    set_time(site, workers_lib.MAX_ORDER_DELAY_MS)
    assert placements_of(site) == []
    site.workers[0].heartbeat = build.heartbeat("w1", born_ms=2)
    ((worker, run),) = place(site)
    assert worker.name == "w1"
    assert run.is_pinned


@pytest.mark.parametrize("waited_ms", [0, overdue.OVERDUE_AFTER_MS])
def test_no_other_serving_task_takes_the_place_of_a_pinned_one(waited_ms):
    """Larger tasks and overdue ones may use the other worker."""
    site = site_with_pending_start(build.serving_step(cpu_millis=6_000))
    larger = build.serving_step(cpu_millis=8_000, tasks=2)
    command = build.submit(larger, job="00000000000000f1")
    site.submit(
        msgspec.structs.replace(command, at_ms=build.SITE_WALL_MS - waited_ms)
    )
    set_time(site, workers_lib.UNRESPONSIVE_AFTER_MS)
    pinned, other = place(site)
    assert (pinned[0].name, pinned[1].is_pinned) == ("w1", True)
    assert other[0].name == "w2"


def test_a_pinned_task_does_not_start_before_its_occurrence_is_due():
    """The wall clock may have been set back since its last start."""
    now_ms = workers_lib.UNRESPONSIVE_AFTER_MS
    submitted = build.submit(
        build.serving_step(),
        first_start_ms=build.SITE_WALL_MS + now_ms + 1,
        interval_ms=1_000,
    )
    site = build.Site([build.worker(), build.worker("w2")], submitted)
    task = f"{build.JOB}.0.0.0"
    site.table.record(build.starts(build.start(task)))
    site.table.record(build.ends(build.pending_end(task)))
    set_time(site, now_ms)
    assert placements_of(site) == []
    set_time(site, now_ms + 1)
    assert placements_of(site) == [("w1", "0.0.0")]


def test_a_task_runs_anywhere_once_its_worker_lists_no_late_start():
    site = site_with_pending_start()
    site.workers[0].heartbeat = build.heartbeat("w1", draining=True)
    set_time(site, CARRIED_OUT_MS)
    assert placements_of(site) == []
    set_time(site, CARRIED_OUT_MS + 1)
    site.workers[0].has_stray_runs = True
    assert placements_of(site) == []
    site.workers[0].has_stray_runs = False
    ((worker, run),) = place(site)
    assert worker.name == "w2"
    assert not run.is_pinned


@pytest.mark.parametrize("is_known", [False, True])
def test_a_task_waits_for_the_lease_of_a_start_that_a_silent_worker_took(
    is_known,
):
    """A start that is carried out at the last moment begins a whole lease."""
    site = site_with_pending_start()
    if not is_known:
        site.workers.pop(0)
    set_time(site, LEASE_END_MS, "w1")
    assert placements_of(site) == []
    set_time(site, LEASE_END_MS + 1, "w1")
    assert placements_of(site) == [("w2", "0.0.0")]


def test_a_task_waits_for_the_last_lease_that_a_silent_worker_was_sent():
    site = site_with_pending_start()
    site.workers[0].lease_sent_ms = 5_000
    set_time(site, LEASE_END_MS + 5_000, "w1")
    assert placements_of(site) == []
    set_time(site, LEASE_END_MS + 5_001, "w1")
    assert placements_of(site) == [("w2", "0.0.0")]


def test_a_task_is_not_started_for_ever_on_a_worker_that_replies_to_no_start():
    site = site_with_pending_start(runs=2)
    set_time(site, CARRIED_OUT_MS)
    assert placements_of(site) == []
    set_time(site, CARRIED_OUT_MS + 1)
    assert len(placements_of(site)) == 1


def test_a_task_with_a_pending_start_gets_no_worker_reserved():
    site = site_with_pending_start()
    site.workers.pop(0)
    for now_ms in range(0, workers_lib.MAX_ORDER_DELAY_MS, 100):
        set_time(site, now_ms)
        assert place(site) == []
        step_id = (build.JOB, 0, 0)
        assert site.reservations.candidates_of(step_id) == []


def test_a_restored_pending_start_was_sent_before_the_term():
    """When the end of its run was applied is not in the snapshot."""
    site = site_with_pending_start()
    restored = build.Site([build.worker("w2")])
    for record in site.table.snapshot_records():
        restored.table.restore_record(record)
    restored.term_started_ms = 50_000
    latest_ms = restored.term_started_ms + LEASE_END_MS
    set_time(restored, latest_ms)
    assert placements_of(restored) == []
    set_time(restored, latest_ms + 1)
    assert placements_of(restored) == [("w2", "0.0.0")]


def test_a_task_stays_pinned_by_an_earlier_start_after_another_run():
    site = site_with_pending_start()
    task = f"{build.JOB}.0.0.0"
    site.table.record(build.starts(build.start(task, run=2, is_pinned=True)))
    site.table.record(build.ends(build.end(task, run=2, outcome="gone")))
    site.workers.pop(0)
    set_time(site, workers_lib.MAX_ORDER_DELAY_MS)
    assert placements_of(site) == []
    site.table.record(build.starts(build.start(task, run=3)))
    record = site.table.jobs[build.JOB].runs[0, 0, 0]
    assert (record.pinned_to, record.pending_starts) == ("", 0)
