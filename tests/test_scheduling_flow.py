"""Tests of a task's life cycle, from the sheet to its end."""

from collections.abc import Iterator

import eliot
import pytest

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import tasks as tasks_lib
import scheduling_model as model

Phase = tasks_lib.Phase


@pytest.fixture
def site() -> Iterator[model.ModelSite]:
    site = model.ModelSite()
    yield site
    site.close()
    assert not site.violations


def started_site(
    site: model.ModelSite, *rows: object, workers: int = 2
) -> None:
    for index in range(workers):
        site.add_worker(f"w{index}", zone="ab"[index % 2])
    site.change(model.sheet(*rows))
    site.pass_time(1_500)


def test_job_runs_to_completion(site: model.ModelSite) -> None:
    started_site(site, model.job("plan"))
    (worker_name,) = site.workers_running("job/plan/0")
    site.workers[worker_name].finish("job/plan/0")
    assert site.report(worker_name) == [messages.ReportReply(acknowledged=True)]
    site.pass_time(1_000)
    assert site.record("job/plan/0").phase is Phase.DONE
    assert site.workers_running("job/plan/0") == []


def test_service_instances_are_spread(site: model.ModelSite) -> None:
    started_site(site, model.service("prices", instances=4), workers=4)
    places = [
        site.workers_running(f"service/prices/{index}") for index in range(4)
    ]
    assert sorted(places) == [["w0"], ["w1"], ["w2"], ["w3"]]


def test_lost_start_is_resent(site: model.ModelSite) -> None:
    site.client.lose_request.add("w0")
    started_site(site, model.job("plan"), workers=1)
    assert site.workers_running("job/plan/0") == []
    assert site.record("job/plan/0").phase is Phase.HELD
    site.client.lose_request.clear()
    site.pass_time(1_000)
    assert site.workers_running("job/plan/0") == ["w0"]
    assert site.record("job/plan/0").attempt == 1


def test_lost_start_is_reserved_until_proven_absent(
    site: model.ModelSite,
) -> None:
    whole = model.job("plan", resources=model.LARGE)
    site.client.delay.add("w0")
    started_site(site, whole, workers=1)
    site.change(commands.PutJob(job=model.job("next", resources=model.LARGE)))
    site.pass_time(1_000)
    assert site.record("job/next/0").phase is Phase.PENDING
    site.client.deliver_delayed()
    assert site.workers_running("job/plan/0") == ["w0"]
    site.client.delay.clear()
    site.pass_time(4_000)
    assert site.record("job/plan/0").attempt == 1
    assert site.workers_running("job/plan/0") == ["w0"]


def test_evicted_task_resumes_once_from_its_checkpoint(
    site: model.ModelSite,
) -> None:
    started_site(site, model.job("plan"))
    (worker_name,) = site.workers_running("job/plan/0")
    zone = site.workers[worker_name].zone
    site.change(commands.AvailabilityZoneOut(availability_zone=zone))
    site.pass_time(2_000)
    (new_worker_name,) = site.workers_running("job/plan/0")
    assert new_worker_name != worker_name
    running = site.workers[new_worker_name].attempts["job/plan/0"]
    assert running.order.checkpoint == "job/plan/0#1"
    record = site.record("job/plan/0")
    assert (record.attempt, record.evictions) == (2, 1)


def test_completion_racing_an_eviction_is_kept(site: model.ModelSite) -> None:
    started_site(site, model.job("plan"))
    (worker_name,) = site.workers_running("job/plan/0")
    site.workers[worker_name].finish("job/plan/0")
    zone = site.workers[worker_name].zone
    site.change(commands.AvailabilityZoneOut(availability_zone=zone))
    site.pass_time(3_000)
    assert site.workers_running("job/plan/0") == []
    site.report(worker_name)
    assert site.record("job/plan/0").phase is Phase.DONE
    assert site.completions == ["job/plan/0"]


def test_task_of_a_disconnected_worker_moves_after_its_lease(
    site: model.ModelSite,
) -> None:
    started_site(site, model.job("plan"))
    (worker_name,) = site.workers_running("job/plan/0")
    site.workers[worker_name].connected = False
    site.pass_time(7_000)
    assert site.record("job/plan/0").attempt == 1
    site.pass_time(3_000)
    (new_worker_name,) = site.workers_running("job/plan/0")
    assert new_worker_name != worker_name


def test_report_resent_after_an_expired_lease_is_accepted(
    site: model.ModelSite,
) -> None:
    started_site(site, model.job("plan"), workers=1)
    worker = site.workers["w0"]
    worker.finish("job/plan/0")
    worker.connected = False
    site.pass_time(9_000)
    assert site.record("job/plan/0").phase is Phase.PENDING
    site.report("w0")
    assert site.record("job/plan/0").phase is Phase.DONE


def test_not_repeatable_task_lost_without_a_report_is_in_doubt(
    site: model.ModelSite,
) -> None:
    started_site(site, model.job("plan", repeatable=False))
    (worker_name,) = site.workers_running("job/plan/0")
    worker = site.workers[worker_name]
    worker.finish("job/plan/0")
    worker.connected = False
    site.pass_time(10_000)
    assert site.record("job/plan/0").phase is Phase.IN_DOUBT
    site.pass_time(5_000)
    assert site.record("job/plan/0").attempt == 1
    worker.connected = True
    site.report(worker_name)
    assert site.record("job/plan/0").phase is Phase.DONE
    assert site.completions == ["job/plan/0"]


def test_new_leader_waits_a_full_lease(site: model.ModelSite) -> None:
    started_site(site, model.job("plan"))
    (worker_name,) = site.workers_running("job/plan/0")
    site.workers[worker_name].connected = False
    site.elect()
    site.pass_time(7_500)
    assert site.record("job/plan/0").attempt == 1
    site.pass_time(2_000)
    assert site.record("job/plan/0").attempt == 2


def test_job_can_be_traced_in_the_log(site: model.ModelSite) -> None:
    lines: list[dict[str, object]] = []
    eliot.add_destinations(lines.append)
    lines.clear()
    try:
        started_site(site, model.job("plan"))
        (worker_name,) = site.workers_running("job/plan/0")
        site.workers[worker_name].finish("job/plan/0")
        site.report(worker_name)
    finally:
        eliot.remove_destination(lines.append)
    found = [line for line in lines if line.get("task") == "job/plan/0"]
    types = [line["message_type"] for line in found]
    assert types == ["scheduling:start", "scheduling:end"]
    assert found[0]["worker"] == worker_name
    assert found[1]["outcome"] == "AttemptCompleted"
