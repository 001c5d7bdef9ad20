"""Where waiting tasks go, and where they must not."""

import types

import msgspec
import pytest

from galenahook.jobs import headroom
from galenahook.jobs import placement
from galenahook.jobs import run_times
from galenahook.jobs import table as table_lib
from galenahook.jobs import tails as tails_lib
import job_builders as build

# Jobs of these tests were submitted a second ago.
NOW_MS = build.WALL_MS + 1_000


class FakeClock:
    """A clock that stands still."""

    def wall_ms(self):
        return NOW_MS


def dispatcher_of(workers, *submits, zones_out=()):
    """Returns what placement reads of a dispatcher."""
    table = table_lib.JobTable()
    for command in submits:
        table.submit(command)
    current = types.SimpleNamespace(zones_out=zones_out)
    state = types.SimpleNamespace(site=types.SimpleNamespace(current=current))
    return types.SimpleNamespace(
        clock=FakeClock(),
        table=table,
        now_ms=lambda: 0,
        node=types.SimpleNamespace(state=state),
        links={w.name: types.SimpleNamespace(worker=w) for w in workers},
        tails=tails_lib.TailControl(),
        run_times=run_times.RunTimes(),
    )


def places(dispatcher, limit=100):
    return [
        (worker.name, run.task.split(".", 1)[1])
        for worker, run in placement.place(dispatcher, limit)
    ]


def test_a_worker_is_never_given_more_than_it_holds():
    wanted = build.submit(build.step(tasks=20, cpu_millis=3_000))
    placed = places(dispatcher_of([build.worker()], wanted))
    assert len(placed) == 2


def test_memory_of_work_on_idle_processors_counts():
    wanted = build.submit(
        build.beside_step(tasks=20, cpu_millis=100, memory_mb=10_000)
    )
    placed = places(dispatcher_of([build.worker()], wanted))
    assert len(placed) == 3


def test_a_stopping_run_still_counts():
    worker = build.worker()
    held = build.live_run(
        build.job(build.step(cpu_millis=6_000), job="00000000000000d0"),
        stopping=True,
    )
    worker.runs[held.task] = held
    wanted = build.submit(build.step(tasks=9, cpu_millis=1_000))
    assert len(places(dispatcher_of([worker], wanted))) == 2


@pytest.mark.parametrize(
    ("worker", "zones_out"),
    [
        ({"draining": True}, ()),
        ({"service": "else"}, ()),
        ({"labels": ("b", "r1")}, ()),
        ({}, ("zone-a",)),
    ],
)
def test_nothing_starts_where_it_may_not(worker, zones_out):
    wanted = build.submit(build.step(required_label="a"))
    workers = [build.worker(**worker)]
    assert places(dispatcher_of(workers, wanted, zones_out=zones_out)) == []


def test_tasks_of_a_step_keep_apart():
    workers = [build.worker("w1"), build.worker("w2")]
    wanted = build.submit(build.step(tasks=6, max_per_worker=2))
    placed = places(dispatcher_of(workers, wanted))
    assert sorted(name for name, _ in placed) == ["w1", "w1", "w2", "w2"]


def test_work_that_serves_goes_before_other_work():
    wanted = (
        build.submit(build.step(cpu_millis=6_000), job="00000000000000e0"),
        build.submit(
            build.serving_step(cpu_millis=6_000),
            job="00000000000000e1",
            priority=5,
        ),
    )
    dispatcher = dispatcher_of([build.worker()], *wanted)
    placed = placement.place(dispatcher, 100)
    assert [run.job.description.job for _, run in placed] == [
        "00000000000000e1"
    ]


def serving_worker(name, image, **changes):
    """Returns a worker with a task that serves at work."""
    worker = build.worker(name, **changes)
    job = build.job(
        build.serving_step(image=image), job=f"00000000000000{name}"
    )
    run = build.live_run(job, percent=100, measure=40.0)
    worker.runs[run.task] = run
    return worker


def know(dispatcher, weights, level=2.5):
    """Lets a model know the level of all that serves, and weights."""
    model = dispatcher.tails.model
    for link in dispatcher.links.values():
        for run in link.worker.runs.values():
            for now_ms in range(-20_000, 0, 250):
                model.learn(run.step.image, run.step_id, {}, level, now_ms)
    for pair, value in weights.items():
        model.weights[pair] = headroom.Weight(value, 0.01)


def test_work_beside_goes_where_it_harms_nothing():
    workers = [serving_worker("w1", "shop"), serving_worker("w2", "till")]
    dispatcher = dispatcher_of(
        workers, build.submit(build.beside_step(tasks=2))
    )
    know(dispatcher, {("shop", "batch"): 20.0, ("till", "batch"): 0.5})
    assert {name for name, _ in places(dispatcher)} == {"w2"}


def test_a_harmless_image_is_placed_whatever_the_level():
    dispatcher = dispatcher_of(
        [serving_worker("w1", "shop")], build.submit(build.beside_step())
    )
    know(dispatcher, {("shop", "batch"): 0.3}, level=0.9)
    assert len(places(dispatcher)) == 1


def test_an_image_that_harms_waits_for_a_higher_level():
    for level, count in ((1.5, 0), (3.5, 1)):
        dispatcher = dispatcher_of(
            [serving_worker("w1", "shop")], build.submit(build.beside_step())
        )
        know(dispatcher, {("shop", "batch"): 8.0}, level=level)
        assert len(places(dispatcher)) == count


def test_a_place_that_suits_every_image_is_left_to_those_that_need_it():
    workers = [serving_worker("w1", "shop"), serving_worker("w2", "till")]
    dispatcher = dispatcher_of(workers, build.submit(build.beside_step()))
    know(
        dispatcher,
        {
            ("shop", "batch"): 0.5,
            ("shop", "other"): 9.0,
            ("till", "batch"): 0.5,
            ("till", "other"): 0.5,
        },
    )
    assert [name for name, _ in places(dispatcher)] == ["w1"]


def test_a_timed_occurrence_waits_until_it_is_due():
    wanted = build.submit(
        occurrences=3,
        first_start_ms=NOW_MS - 10,
        interval_ms=10,
    )
    placed = places(dispatcher_of([build.worker()], wanted))
    assert [task for _, task in placed] == ["0.0.0", "1.0.0"]


@pytest.mark.parametrize(("age_ms", "count"), [(0, 0), (500, 1)])
def test_tasks_that_serve_are_gathered_before_they_are_placed(age_ms, count):
    dispatcher = dispatcher_of(
        [build.worker()], build.submit(build.serving_step())
    )
    job = dispatcher.table.jobs[build.JOB]
    job.record = msgspec.structs.replace(
        job.record, submitted_ms=NOW_MS - age_ms
    )
    assert len(places(dispatcher)) == count


def test_tasks_that_serve_are_started_again_at_once():
    dispatcher = dispatcher_of(
        [build.worker()], build.submit(build.serving_step())
    )
    job = dispatcher.table.jobs[build.JOB]
    job.record = msgspec.structs.replace(job.record, submitted_ms=NOW_MS)
    job.began = True
    assert len(places(dispatcher)) == 1


def test_nothing_takes_the_place_of_a_task_that_is_gathered():
    dispatcher = dispatcher_of(
        [build.worker()],
        build.submit(
            build.serving_step(cpu_millis=7_000), job="00000000000000e1"
        ),
        build.submit(build.step(cpu_millis=2_000), job="00000000000000e2"),
    )
    job = dispatcher.table.jobs["00000000000000e1"]
    job.record = msgspec.structs.replace(job.record, submitted_ms=NOW_MS)
    assert places(dispatcher) == []


@pytest.mark.parametrize(
    ("changes", "count"),
    [
        ({}, 0),
        ({"cpu_millis": 7_000}, 1),
        ({"cpu_millis": 7_000, "required_label": "b"}, 0),
        ({"cpu_millis": 7_000, "memory_mb": 64_000}, 0),
    ],
)
def test_a_task_without_a_place_holds_back_only_tasks_no_smaller(
    changes, count
):
    large = {"cpu_millis": 9_000, "memory_mb": 2_000}
    wanted = (
        build.submit(build.step(**large), job="00000000000000e1"),
        build.submit(
            build.step(**{**large, **changes}), job="00000000000000e2"
        ),
    )
    assert len(places(dispatcher_of([build.worker()], *wanted))) == count


def test_a_step_that_keeps_apart_holds_back_no_other():
    wanted = (
        build.submit(
            build.step(tasks=2, max_per_worker=1), job="00000000000000e1"
        ),
        build.submit(build.step(), job="00000000000000e2"),
    )
    assert len(places(dispatcher_of([build.worker()], *wanted))) == 2
