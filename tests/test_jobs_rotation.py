"""Serving tasks that take the place of runs at work for long."""

import msgspec
import pytest

import full_site
from galenahook.jobs import placement
from galenahook.jobs import rotation
import job_builders as build
import job_simulation

NOW_MS = 100_000
STEP_ID = ("00000000000000e1", 0, 0)


def worker_with(*runs, name="w1", cpu_millis=8_000):
    """Builds a worker with runs."""
    worker = build.worker(name, cpu_millis=cpu_millis)
    for run in runs:
        worker.runs[run.task] = run
    return worker


def serving_run(
    job="00000000000000f1", age_ms=rotation.MIN_WORK_MS, priority=0, **step
):
    """Builds a run of a serving task that has been at work for a time."""
    run = build.live_run(
        build.job(
            build.serving_step(**{"cpu_millis": 6_000, **step}),
            job=job,
            priority=priority,
        )
    )
    run.seen = True
    run.seen_ms = NOW_MS - age_ms
    run.progress_percent = 100
    return run


def choose(*workers, priority=0, is_overdue=False, **step):
    """Returns the task of the run that gives its place, or None."""
    site = build.Site(list(workers))
    candidates = site.inputs().usable_capacity()
    replacement = rotation.Rotation(candidates, NOW_MS).choose(
        build.description(priority=priority),
        build.serving_step(**{"cpu_millis": 6_000, **step}),
        STEP_ID,
        is_overdue,
    )
    return replacement and replacement.run.task


def test_a_run_at_work_for_long_gives_its_place():
    run = serving_run()
    assert choose(worker_with(run)) == run.task


@pytest.mark.parametrize(
    "changes",
    [
        {"age_ms": rotation.MIN_WORK_MS - 1},
        {"max_unavailable": 0},
        {"tasks": 2},
        {"serves": False},
    ],
    ids=[
        "began lately",
        "may not be unavailable",
        "another task of its step is away",
        "does not serve",
    ],
)
def test_a_run_keeps_its_place(changes):
    assert choose(worker_with(serving_run(**changes))) is None


def runs_of_a_step_that_misses_many(**step):
    """Builds workers with two of four tasks of a step at work."""
    runs = [serving_run(tasks=4, **step), serving_run(tasks=4, **step)]
    runs[1].task = f"{runs[1].job.description.job}.0.0.1"
    return [
        worker_with(run, name=f"w{number}") for number, run in enumerate(runs)
    ]


def test_a_step_that_misses_many_tasks_spares_one_more_for_an_overdue_task():
    workers = runs_of_a_step_that_misses_many()
    assert choose(*workers) is None
    assert choose(*workers, is_overdue=True) is not None


def test_an_overdue_task_takes_the_place_of_a_step_that_misses_few_first():
    workers = runs_of_a_step_that_misses_many()
    other = serving_run("00000000000000f2", cpu_millis=7_500)
    workers.append(worker_with(other, name="w2"))
    assert choose(*workers, is_overdue=True) == other.task


def test_a_declared_limit_holds_beside_overdue_tasks():
    workers = runs_of_a_step_that_misses_many(max_unavailable=2)
    assert choose(*workers, is_overdue=True) is None


def test_the_last_run_of_a_step_keeps_its_place_beside_overdue_tasks():
    run = serving_run(tasks=2)
    assert choose(worker_with(run), is_overdue=True) is None


def test_a_run_of_an_earlier_term_gives_its_place_once_it_is_not_stopping():
    """The leader before may have stopped it, or another one of its step."""
    run = serving_run(age_ms=rotation.MAX_STOP_MS - 1)
    run.earlier_ms = rotation.MIN_WORK_MS
    assert choose(worker_with(run)) is None
    run.seen_ms -= 1
    assert choose(worker_with(run)) == run.task


def test_a_step_is_spared_while_one_of_its_runs_may_be_stopping():
    at_work = serving_run(tasks=2, max_unavailable=1)
    adopted = serving_run(age_ms=0, tasks=2, max_unavailable=1)
    adopted.earlier_ms = rotation.MIN_WORK_MS
    assert choose(worker_with(at_work), worker_with(adopted, name="w2")) is None


def test_a_run_that_leaves_too_little_room_keeps_its_place():
    run = serving_run(cpu_millis=3_000)
    assert choose(worker_with(run, cpu_millis=5_000)) is None


def test_a_step_that_permits_more_may_lose_another_task():
    run = serving_run(tasks=3, max_unavailable=3)
    assert choose(worker_with(run)) == run.task


def test_a_run_that_leaves_few_processors_goes_first():
    large, small = (
        serving_run(cpu_millis=6_500),
        serving_run("00000000000000f2"),
    )
    workers = [
        worker_with(large, name="w1", cpu_millis=12_000),
        worker_with(small, name="w2", cpu_millis=6_500),
    ]
    assert choose(*workers) == small.task


def test_a_run_of_the_same_image_goes_first_where_both_leave_little():
    other = serving_run(image="a", cpu_millis=6_000)
    same = serving_run("00000000000000f2", image="b", cpu_millis=7_000)
    workers = [worker_with(other, name="w1"), worker_with(same, name="w2")]
    assert choose(*workers, image="b") == same.task


def test_no_lasting_task_waits_for_long_beside_short_jobs():
    """Some always wait where lasting tasks and short ones exceed the site."""
    longest_ms = 0
    since_ms = {}

    async def scenario(simulation):
        site = full_site.FullSite(simulation, seed=1)

        def note_waits():
            nonlocal longest_ms, since_ms
            now_ms = simulation.clock.now_ms
            waiting = {
                (identifier, key)
                for identifier in site.lasting
                for key in simulation.job(identifier).waiting
            }
            since_ms = {task: since_ms.get(task, now_ms) for task in waiting}
            longest_ms = max(
                longest_ms, now_ms - min(since_ms.values(), default=now_ms)
            )

        await site.play(20_000, note_waits)

    job_simulation.run(scenario, full_site.workers())
    assert longest_ms < 9_000


def test_a_more_urgent_run_keeps_its_place():
    run = serving_run(priority=0)
    assert choose(worker_with(run), priority=1) is None


def test_a_run_with_scarce_hardware_keeps_its_place():
    run = serving_run(required_label="fast")
    assert choose(worker_with(run)) is None


def rounds_without_orders(count, **step):
    """Plays rounds in which no stop is ordered; returns the runs to stop.

    The tasks of one job run; those of another one wait behind short jobs.
    """
    running = build.submit(
        build.serving_step(cpu_millis=6_000, tasks=16, **step),
        job="00000000000000f1",
    )
    site = build.Site(
        [
            build.worker(f"w{number}", clock_ms=0, cpu_millis=6_500)
            for number in range(16)
        ],
        running,
    )
    placed = placement.place_waiting(
        site.inputs(), site.reservations, site.overdue, site.failures, 100
    )
    assert len(placed) == 16
    for _, run in placed:
        run.seen = True
        run.progress_percent = 100
        site.table.record(build.starts(build.start(run.task)))
    site.submit(
        build.submit(
            build.serving_step(cpu_millis=6_000, tasks=2),
            job="00000000000000f2",
        )
    )
    short = build.submit(
        build.step(cpu_millis=6_000, estimate_ms=60_000),
        job="00000000000000f3",
        queue="holds",
    )
    began_ms = build.SITE_WALL_MS + rotation.MIN_WORK_MS
    site.submit(msgspec.structs.replace(short, at_ms=began_ms))
    to_stop = []
    for _ in range(count):
        site.now_ms = max(site.now_ms + 100, rotation.MIN_WORK_MS + 1_000)
        for worker in site.workers:
            worker.last_reply_ms = site.now_ms
        placement.place_waiting(
            site.inputs(), site.reservations, site.overdue, site.failures, 100
        )
        to_stop.append(site.reservations.runs_to_preempt(site.now_ms))
    return to_stop


def test_no_second_task_of_a_step_is_stopped_after_a_failed_round():
    """The stop of the first one was not ordered in the round that chose it."""
    to_stop = rounds_without_orders(20, max_unavailable=1)
    assert any(to_stop)
    assert all(len(runs) <= 1 for runs in to_stop)


def test_the_longest_wait_gets_the_only_place_although_a_larger_task_waits():
    run = serving_run(age_ms=rotation.MIN_WORK_MS)
    worker = worker_with(run)
    site = build.Site([worker])
    site.now_ms = NOW_MS
    worker.last_reply_ms = worker.clock_at_ms = NOW_MS
    wall_ms = build.SITE_WALL_MS + NOW_MS

    def submit(job, step, waited_ms):
        command = build.submit(step, job=job)
        site.submit(msgspec.structs.replace(command, at_ms=wall_ms - waited_ms))

    larger, smaller = "00000000000000b1", "00000000000000b2"
    submit(larger, build.serving_step(cpu_millis=7_000), 7_000)
    submit(smaller, build.serving_step(cpu_millis=6_500), 8_000)
    # Rotation frees places only where processors are kept for short jobs.
    submit("00000000000000b3", build.step(cpu_millis=500), 100)
    placement.place_waiting(
        site.inputs(), site.reservations, site.overdue, site.failures, 100
    )
    assert site.reservations.candidates_of((smaller, 0, 0))
    assert not site.reservations.candidates_of((larger, 0, 0))
