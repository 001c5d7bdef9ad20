"""The platform's messages: decoded once, refused with every finding."""

import json
import pathlib
import re

import pytest

from galenahook import errors
from galenahook.jobs import worker_api
from galenahook.platform import wire
from galenahook.platform import wire_site
from galenahook.platform import wire_workers

_SOURCE = pathlib.Path(wire.__file__).parents[1]
_WIRE_NAMES = re.compile(
    r"ack_cursor|fencing_token|run-start|run-stop|/galenahook/|long_running"
)


def job(**changes):
    return {"spec": "s", "steps": [{"count": 1, "cpu": 500}], **changes}


def site(**changes):
    row = {
        "name": "r",
        "host": "h.example",
        "path_prefix": "/p/",
        "type": "unsafe",
        "timeout_ms": 3000,
        "slo_ms": 250,
        "backend": "desk",
        "max_attempts": 4,
        "stretch": 1.5,
    }
    return {
        "version": 7,
        "routes": [row],
        "services": [{"name": "desk"}],
        "limits": {},
        **changes,
    }


def route(**changes):
    return {**site()["routes"][0], **changes}


def beat(**changes):
    return {
        "backend": "desk",
        "address": "127.0.0.1:1",
        "zone": "z",
        "state": "ready",
        "seq": 4,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1"],
        "machine": "m",
        "born": 5,
        "clock_ms": 9,
        **changes,
    }


def data(document):
    return json.dumps(document).encode()


def test_wire_names_stay_in_the_adapter():
    found = [
        str(path.relative_to(_SOURCE))
        for path in _SOURCE.rglob("*.py")
        if "platform" not in path.parts and _WIRE_NAMES.search(path.read_text())
    ]
    assert found == []


def test_a_step_says_what_its_fields_hold():
    order = wire.job_order(
        data(
            job(
                steps=[
                    {"count": 2, "cpu": 500, "mem_mb": 9, "new_field": 1},
                    {
                        "count": 3,
                        "depends_on": [0],
                        "fills": True,
                        "long_running": True,
                        "target_ms": 45,
                        "anti_affinity": 2,
                        "may_miss": 1,
                        "checkpointing": True,
                        "image": "i",
                    },
                ]
            )
        )
    )
    first, second = order.steps
    assert (first.tasks, first.cpu_millis, first.memory_mb) == (2, 500, 9)
    assert first.max_unavailable == -1
    assert second.after == (0,)
    assert second.uses_idle_cpu
    assert second.serves
    assert second.saves_checkpoints
    assert (second.tail_target_ms, second.max_per_worker) == (45, 2)
    assert second.max_unavailable == 1


@pytest.mark.parametrize(
    ("document", "place"),
    [
        (job(steps=[]), "$.steps"),
        (job(steps=[{"count": 0}]), "$.steps[0].count"),
        (job(steps=[{"count": 10**9}]), "$.steps[0].count"),
        (job(steps=[{"count": 1, "cpu": -1}]), "$.steps[0].cpu"),
        (job(steps=[{"count": 1, "depends_on": [0]}]), "$.steps[0].depends_on"),
        (
            job(steps=[{"count": 1, "depends_on": [1]}, {"count": 1}]),
            "$.steps[0].depends_on",
        ),
        (job(spec="x" * 4001), "$.spec"),
        (job(steps=[{"count": "two"}]), "$"),
        ([], "$"),
    ],
)
def test_a_job_that_makes_no_sense_is_refused(document, place):
    with pytest.raises(errors.InvalidInputError) as caught:
        wire.job_order(data(document))
    assert place in [finding.place for finding in caught.value.findings]


@pytest.mark.parametrize("body", [b"", b"{", b"\xff", b"[" * 100_000])
def test_what_is_no_json_is_refused(body):
    for decode in (wire.job_order, lambda d: wire_site.site_command(d, 0)):
        with pytest.raises(errors.InvalidInputError):
            decode(body)


def test_a_configuration_keeps_the_operators_words():
    body = data(site())
    command = wire_site.site_command(body, 5)
    assert command.document == body.decode()
    assert command.version == 7
    queue = command.queues[0]
    assert (queue.objective_ms, queue.stretch) == (250, 1.5)
    assert queue.service == "desk"


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        ({"routes": [route(backend="else")]}, "$.routes[0].backend"),
        ({"routes": [route(timeout_ms=0)]}, "$.routes[0].timeout_ms"),
        ({"routes": [route(), route(name="q")]}, "$.routes[1]"),
        ({"version": "seven"}, "$"),
    ],
)
def test_an_invalid_configuration_is_refused(changes, place):
    with pytest.raises(errors.InvalidInputError) as caught:
        wire_site.site_command(data(site(**changes)), 0)
    assert place in [finding.place for finding in caught.value.findings]


def test_a_configuration_that_is_cut_short_is_refused():
    with pytest.raises(errors.InvalidInputError):
        wire_site.site_command(data(site())[:-20], 0)


def test_a_heartbeat_becomes_the_products_own():
    heartbeat = wire_workers.heartbeat("i-1", data(beat(state="draining")))
    assert heartbeat.worker == "i-1"
    assert heartbeat.draining
    assert heartbeat.born_ms == 5
    assert (heartbeat.cpu_millis, heartbeat.memory_mb) == (16000, 32768)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"seq": "four"},
        {"capacity": None},
        {"labels": "a"},
        {"address": 7},
    ],
)
def test_a_heartbeat_of_another_writer_names_no_worker(changes):
    with pytest.raises(errors.InvalidInputError):
        wire_workers.heartbeat("i-1", data(beat(**changes)))


def test_rows_of_a_look_are_named():
    lists = wire_workers.lists(
        data(
            {
                "clock_ms": 9,
                "born": 5,
                "running": [["j.0.0.1", 2, "c", 41, 12]],
                "finished": [
                    [3, "j.0.0.2", 1, "done", ""],
                    [4, "j.0.0.3", 1, "lapsed", "c"],
                ],
            }
        )
    )
    assert lists.running == [
        worker_api.RunningRow("j.0.0.1", 2, "c", 41.0, 12.0)
    ]
    assert [row.outcome for row in lists.finished] == ["done", "gone"]
    assert lists.finished[1].checkpoint == "c"
    assert lists.complete


def test_a_full_list_of_ends_is_not_complete():
    rows = [[n, "j.0.0.2", 1, "done", ""] for n in range(1, 501)]
    body = data({"clock_ms": 9, "running": [], "finished": rows})
    assert not wire_workers.lists(body).complete


@pytest.mark.parametrize(
    "rows", [[["only-a-task"]], [["t", "two", "", 0]], [[None, None, None]]]
)
def test_rows_that_cannot_be_read_are_refused(rows):
    with pytest.raises(errors.InvalidInputError):
        wire_workers.lists(data({"clock_ms": 9, "running": rows}))


@pytest.mark.parametrize(
    ("status", "reason", "answer"),
    [
        (200, "", worker_api.StartAnswer.RUNNING),
        (409, "fence", worker_api.StartAnswer.DEPOSED),
        (409, "room", worker_api.StartAnswer.NO_ROOM),
        (409, "late", worker_api.StartAnswer.REFUSED),
        (409, "old", worker_api.StartAnswer.REFUSED),
        (421, "", worker_api.StartAnswer.REFUSED),
        (429, "", worker_api.StartAnswer.UNHEALTHY),
        (503, "", worker_api.StartAnswer.UNHEALTHY),
        (500, "", worker_api.StartAnswer.UNKNOWN),
    ],
)
def test_answers_to_a_start(status, reason, answer):
    body = data({"clock_ms": 1, "reason": reason})
    assert wire_workers.start_answer(status, body)[0] is answer
