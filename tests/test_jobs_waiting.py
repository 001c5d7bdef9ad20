"""Reports of waiting tasks."""

import eliot
import pytest

from galenahook.jobs import overdue
from galenahook.jobs import waiting
import job_builders as build


def obstacles_of(step, *workers):
    site = build.Site(workers, build.submit(step))
    (job,) = site.table.open.values()
    return [
        waiting.obstacle(site.tails.model, job, min(job.waiting), candidate)
        for candidate in site.inputs().usable_capacity()
    ]


@pytest.mark.parametrize(
    ("step", "worker", "obstacle"),
    [
        ({}, {}, "none"),
        ({}, {"service": "else"}, "service"),
        ({"required_label": "b"}, {}, "label"),
        ({"cpu_millis": 9_000}, {}, "cpu"),
        ({"memory_mb": 40_000}, {}, "memory"),
        ({"gpus": 1}, {}, "gpus"),
        ({"cpu_millis": 9_000, "uses_idle_cpu": True}, {}, "idle-cpu"),
    ],
)
def test_the_obstacle_of_a_waiting_task_is_named(step, worker, obstacle):
    assert obstacles_of(build.step(**step), build.worker(**worker)) == [
        obstacle
    ]


@pytest.fixture
def lines():
    """Returns the list to which messages are appended."""
    messages = []
    eliot.add_destinations(messages.append)
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)


def test_scattered_free_processors_are_reported_once_in_a_period(lines):
    workers = [build.worker("w1"), build.worker("w2")]
    site = build.Site(workers, build.submit(build.step(cpu_millis=12_000)))
    report = waiting.WaitingReport(-waiting.REPORT_PERIOD_MS)
    report.log(site.inputs(), site.reservations)
    report.log(site.inputs(), site.reservations)
    free, queue = lines
    assert (free["cpu_millis"], free["largest_cpu_millis"]) == (16_000, 8_000)
    assert (queue["tasks"], queue["obstacles"]) == (1, {"cpu": 2})
    # A task of 12 cores and 0.5 s, submitted a second ago, and half as much.
    assert queue["asked_cpu_millis"] == queue["share_cpu_millis"] == 9_000


def test_waits_of_serving_tasks_are_reported(lines):
    site = build.Site(
        [build.worker()],
        build.submit(build.serving_step(cpu_millis=12_000, tasks=2)),
    )
    site.now_ms = overdue.OVERDUE_AFTER_MS
    waiting.WaitingReport(-waiting.REPORT_PERIOD_MS).log(
        site.inputs(), site.reservations
    )
    (queue,) = [line for line in lines if "queue" in line]
    assert queue["serving_overdue"] == 2
    waited_ms = build.SITE_WALL_MS + site.now_ms - build.WALL_MS
    assert queue["serving_waited_ms"] == waited_ms


def test_a_worker_reserved_for_another_step_is_an_obstacle():
    site = build.Site([build.worker()], build.submit(build.step()))
    (job,) = site.table.open.values()
    (candidate,) = site.inputs().usable_capacity()
    candidate.reserved_for = ("00000000000000e1", 0, 0)
    key = min(job.waiting)
    assert waiting.obstacle(site.tails.model, job, key, candidate) == "reserved"


def test_the_longest_wait_of_a_serving_task_is_explained(lines):
    site = build.Site(
        [build.worker("w1"), build.worker("w2")],
        build.submit(build.serving_step(cpu_millis=12_000, tasks=2)),
    )
    site.workers[0].has_stray_runs = True
    waiting.WaitingReport(-waiting.REPORT_PERIOD_MS).log(
        site.inputs(), site.reservations
    )
    (free,) = [line for line in lines if "unusable" in line]
    assert free["unusable"] == {"stray-runs": 1}
    (longest,) = [line for line in lines if "reserved" in line]
    assert longest["task"].endswith(".0.0.0")
    assert longest["obstacles"] == {"cpu": 1}
    assert longest["waiting"] == 2
