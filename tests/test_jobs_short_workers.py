"""Processors of workers that are kept for short jobs."""

import msgspec
import pytest

from galenahook.jobs import demand as demand_lib
from galenahook.jobs import drawn_jobs
from galenahook.jobs import placement
from galenahook.jobs import queue_shares
from galenahook.jobs import rotation as rotation_lib
from galenahook.jobs import short_workers
import job_builders as build

LASTING_JOB = "00000000000000e1"
NOW_MS = rotation_lib.MIN_WORK_MS + 1_000
QUEUE = demand_lib.Queue("desk", "quotes", 0)
CPU_MILLIS = 8_000


def lasting_run(name, cpu_millis=6_000, **changes):
    """Builds a run of a lasting task that has been at work for long."""
    job = build.job(
        build.serving_step(cpu_millis=cpu_millis),
        job=f"00000000000000{name}",
        queue="racks",
    )
    return build.live_run(job, progress_percent=100, **changes)


def worker(name, *runs):
    """Builds a worker of 8 cores with runs."""
    built = build.worker(name, now_ms=NOW_MS)
    for run in runs:
        built.runs[run.task] = run
    return built


def shares(cores, asked=None):
    """Builds shares of short jobs beside lasting ones."""
    made = queue_shares.QueueShares(build.Site([]).inputs(), [])
    made.contended = {"desk"}
    made.serving_labels = {"scarce"}
    made.short = {
        QUEUE: queue_shares.QueueShare(1_000 * (asked or cores), 1_000 * cores)
    }
    return made


def kept_on(workers, cores, asked=None):
    """Chooses workers for a number of cores."""
    site = build.Site(workers)
    site.now_ms = NOW_MS
    candidates = site.inputs().usable_capacity()
    rotation = rotation_lib.Rotation(candidates, NOW_MS)
    return short_workers.ShortWorkers(
        shares(cores, asked), candidates, rotation, site.drawn
    )


def names(kept):
    return [(item.candidate.worker.name, item.cpu_millis) for item in kept.kept]


def test_the_workers_with_the_fewest_serving_tasks_are_kept():
    workers = [
        worker("w1", lasting_run("f1")),
        worker("w2"),
        worker("w3", lasting_run("f3", cpu_millis=2_000)),
    ]
    assert names(kept_on(workers, 8)) == [("w2", 8_000)]
    assert names(kept_on(workers, 11)) == [("w2", 8_000), ("w3", 3_000)]


def test_workers_with_hardware_that_serving_tasks_need_go_last():
    labelled, accelerated = worker("w1"), worker("w2")
    labelled.heartbeat = msgspec.structs.replace(
        labelled.heartbeat, labels=("scarce",)
    )
    accelerated.heartbeat = msgspec.structs.replace(
        accelerated.heartbeat, gpus=1
    )
    other = worker("w3", lasting_run("f1"))
    kept = kept_on([labelled, accelerated, other], 12)
    assert names(kept) == [("w3", 8_000), ("w2", 4_000)]


def test_nothing_is_kept_without_serving_jobs():
    kept = kept_on([worker("w1")], 0)
    assert not kept.kept
    assert not kept.are_kept_for("desk")


def test_a_serving_task_leaves_the_kept_processors():
    kept = kept_on([worker("w1", lasting_run("f1", cpu_millis=2_000))], 3)
    kept.close()
    candidate = kept.kept[0].candidate

    def fits(cpu_millis, make=build.serving_step):
        step = make(cpu_millis=cpu_millis)
        return candidate.is_allowed("desk", step, (LASTING_JOB, 0, 0))

    assert fits(3_000)
    assert not fits(3_001)
    assert fits(6_000, build.step)


def stopped(workers, cores, services=("desk",)):
    """Returns the tasks of the runs to stop."""
    return [
        run.task
        for _, run in kept_on(workers, cores).runs_to_stop(set(services))
    ]


def test_serving_runs_make_room_while_short_jobs_wait():
    run = lasting_run("f1")
    workers = [worker("w1", run)]
    assert stopped(workers, 8) == [run.task]
    assert stopped(workers, 3) == [run.task]
    assert stopped(workers, 2) == []
    assert stopped(workers, 8, services=()) == []


@pytest.mark.parametrize(
    "changes",
    [{"ordered_ms": NOW_MS - 1_000}, {"stopping": True}],
    ids=["began lately", "is stopping"],
)
def test_a_run_that_may_not_be_stopped_stays(changes):
    assert stopped([worker("w1", lasting_run("f1", **changes))], 8) == []


def test_no_more_runs_are_stopped_than_needed():
    runs = [lasting_run(f"f{n}", cpu_millis=2_000) for n in range(4)]
    assert len(stopped([worker("w1", *runs)], 3)) == 2


def test_few_workers_are_cleared_at_a_time():
    workers = [worker(f"w{n}", lasting_run(f"f{n}")) for n in range(4)]
    assert len(stopped(workers, 30)) == 1


def drawn_share(kept, count=400):
    """Returns the share of small jobs that are drawn."""
    factor = 0x9E3779B97F4A7C15
    jobs = [
        build.job(build.step(), job=f"{number * factor % 2**64:016x}")
        for number in range(count)
    ]
    return sum(map(kept.is_drawn, jobs)) / count


def test_every_job_is_drawn_if_the_share_serves_all():
    assert drawn_share(kept_on([worker("w1")], 8)) == 1


def test_jobs_are_drawn_as_far_as_the_share_serves_them():
    kept = kept_on([worker("w1")], 8, asked=25)
    assert drawn_share(kept) == pytest.approx(8 / 25, abs=0.08)


def test_jobs_are_drawn_as_far_as_the_kept_processors_are_cleared():
    kept = kept_on([worker("w1", lasting_run("f1"))], 8)
    assert drawn_share(kept) == pytest.approx(2 / 8, abs=0.08)


def test_the_draw_does_not_depend_on_the_size_of_a_job():
    kept = kept_on([worker("w1")], 8, asked=25)
    for number in range(50):
        name = f"{number:016x}"
        small = build.job(build.step(), job=name)
        large = build.job(build.step(tasks=56, cpu_millis=37_000), job=name)
        assert kept.is_drawn(small) == kept.is_drawn(large)


def test_a_drawn_job_stays_drawn_while_it_is_open():
    """Its tasks that are done would have been run for nothing."""
    drawn = drawn_jobs.DrawnJobs()
    jobs = [build.job(job=f"{number:016x}") for number in range(100)]

    def count(share):
        return sum(drawn.is_drawn(job, share) for job in jobs)

    before = count(0.5)
    assert 30 <= before <= 70
    assert count(0.1) == before
    assert count(0.9) > before
    drawn.forget_closed(())
    assert count(0.1) < before


def test_a_worker_reserved_for_a_serving_task_is_kept_last():
    """The place of a run that was stopped for the task is not taken."""
    workers = [worker("w1"), worker("w2", lasting_run("f2"))]
    site = build.Site(workers)
    site.now_ms = NOW_MS
    candidates = site.inputs().usable_capacity()
    candidates[0].reserved_for = (LASTING_JOB, 0, 0)
    kept = short_workers.ShortWorkers(
        shares(8),
        candidates,
        rotation_lib.Rotation(candidates, NOW_MS),
        site.drawn,
    )
    assert names(kept) == [("w2", 8_000)]


def test_jobs_of_a_queue_without_a_share_are_drawn():
    kept = kept_on([worker("w1")], 8, asked=25)
    assert drawn_share(kept) < 1
    other = build.job(build.step(), queue="holds")
    assert kept.is_drawn(other)


def test_a_lasting_task_uses_kept_processors_once_it_is_overdue():
    """Nothing else may be free for it; it is lost 9 s after its last run."""
    site = build.Site(
        [build.worker(clock_ms=0)],
        build.submit(
            build.serving_step(cpu_millis=CPU_MILLIS),
            job=LASTING_JOB,
            queue="racks",
        ),
    )
    began_ms = []
    for now_ms in range(0, 9_000, 100):
        site.now_ms = now_ms
        site.workers[0].last_reply_ms = now_ms
        if now_ms % 1_000 == 0:
            job = f"{0xA000 + now_ms:016x}"
            command = build.submit(build.step(cpu_millis=500), job=job)
            site.submit(at(now_ms, command))
        placed = placement.place_waiting(
            site.inputs(), site.reservations, site.overdue, site.failures, 100
        )
        for _, run in placed:
            if run.step.serves:
                began_ms.append(now_ms)
            else:
                del site.workers[0].runs[run.task]
                site.table.record(build.starts(build.start(run.task)))
                site.table.record(at(now_ms, build.ends(build.end(run.task))))
        if began_ms:
            break
    # Submitted a second before time 0.
    assert 4_000 <= began_ms[0] <= 6_000


@pytest.mark.parametrize("cpu_millis", [CPU_MILLIS, CPU_MILLIS + 1])
def test_serving_runs_make_room_only_for_tasks_that_fit_a_worker(cpu_millis):
    """Also where they leave short jobs nothing, so that none is drawn."""
    run = lasting_run("f1", cpu_millis=CPU_MILLIS)
    site = build.Site(
        [worker("w1", run)],
        build.submit(*run.job.description.steps, job=run.job.description.job),
    )
    site.table.record(build.starts(build.start(run.task)))
    site.now_ms = NOW_MS
    short = build.step(cpu_millis=cpu_millis)
    site.submit(at(NOW_MS, build.submit(short, job="00000000000000e2")))
    placement.place_waiting(
        site.inputs(), site.reservations, site.overdue, site.failures, 100
    )
    stops = site.reservations.runs_to_preempt(NOW_MS)
    is_too_large = cpu_millis > CPU_MILLIS
    assert bool(stops) != is_too_large


def at(now_ms, command):
    """Returns a command of a time of the site."""
    return msgspec.structs.replace(command, at_ms=build.SITE_WALL_MS + now_ms)
