"""Decoding of the platform's messages, and rejection of invalid ones."""

import json
import pathlib
import re

import pytest

from galenahook import errors
from galenahook.jobs import worker_api
from galenahook.platform import wire
from galenahook.platform import wire_site
from galenahook.platform import wire_workers

_SOURCE_FOLDER = pathlib.Path(wire.__file__).parents[1]
_WIRE_NAMES = re.compile(
    r"ack_cursor|fencing_token|run-start|run-stop|/galenahook/|long_running"
)


def job_document(**changes):
    return {"spec": "s", "steps": [{"count": 1, "cpu": 500}], **changes}


def site_document(**changes):
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
    return {**site_document()["routes"][0], **changes}


def heartbeat_document(**changes):
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


def encode(document):
    return json.dumps(document).encode()


def test_wire_names_occur_only_in_the_platform_adapter():
    found = [
        str(path.relative_to(_SOURCE_FOLDER))
        for path in _SOURCE_FOLDER.rglob("*.py")
        if "platform" not in path.parts and _WIRE_NAMES.search(path.read_text())
    ]
    assert found == []


def test_step_fields_are_decoded():
    order = wire.decode_job(
        encode(
            job_document(
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
        (job_document(steps=[]), "$.steps"),
        (job_document(steps=[{"count": 0}]), "$.steps[0].count"),
        (job_document(steps=[{"count": 10**9}]), "$.steps[0].count"),
        (job_document(steps=[{"count": 1, "cpu": -1}]), "$.steps[0].cpu"),
        (
            job_document(steps=[{"count": 1, "depends_on": [0]}]),
            "$.steps[0].depends_on",
        ),
        (
            job_document(steps=[{"count": 1, "depends_on": [1]}, {"count": 1}]),
            "$.steps[0].depends_on",
        ),
        (job_document(spec="x" * 4001), "$.spec"),
        (job_document(steps=[{"count": "two"}]), "$"),
        ([], "$"),
    ],
)
def test_invalid_job_is_rejected(document, place):
    with pytest.raises(errors.InvalidInputError) as caught:
        wire.decode_job(encode(document))
    assert place in [finding.place for finding in caught.value.findings]


@pytest.mark.parametrize("body", [b"", b"{", b"\xff", b"[" * 100_000])
def test_malformed_json_is_rejected(body):
    for decode in (wire.decode_job, lambda d: wire_site.decode_site(d, 0)):
        with pytest.raises(errors.InvalidInputError):
            decode(body)


def test_configuration_document_is_stored_unchanged():
    body = encode(site_document())
    command = wire_site.decode_site(body, 5)
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
def test_invalid_configuration_is_rejected(changes, place):
    with pytest.raises(errors.InvalidInputError) as caught:
        wire_site.decode_site(encode(site_document(**changes)), 0)
    assert place in [finding.place for finding in caught.value.findings]


def test_truncated_configuration_is_rejected():
    with pytest.raises(errors.InvalidInputError):
        wire_site.decode_site(encode(site_document())[:-20], 0)


def test_heartbeat_is_decoded():
    heartbeat = wire_workers.decode_heartbeat(
        "i-1", encode(heartbeat_document(state="draining"))
    )
    assert heartbeat.worker == "i-1"
    assert heartbeat.draining
    assert heartbeat.born_ms == 5
    assert (heartbeat.cpu_millis, heartbeat.memory_mb) == (16000, 32768)


def test_heartbeat_of_a_worker_whose_capacity_shrank_to_zero_is_decoded():
    heartbeat = wire_workers.decode_heartbeat(
        "i-1", encode(heartbeat_document(capacity={"cpu": 0, "mem_mb": 0}))
    )
    assert (heartbeat.cpu_millis, heartbeat.memory_mb) == (0, 0)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"seq": "four"},
        {"capacity": None},
        {"capacity": {"cpu": -1, "mem_mb": 32768}},
        {"labels": "a"},
        {"address": 7},
    ],
)
def test_invalid_heartbeat_is_rejected(changes):
    with pytest.raises(errors.InvalidInputError):
        wire_workers.decode_heartbeat(
            "i-1", encode(heartbeat_document(**changes))
        )


def test_rows_of_a_poll_response_are_decoded():
    lists = wire_workers.decode_lists(
        encode(
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


def test_full_list_of_ends_is_reported_as_incomplete():
    rows = [[n, "j.0.0.2", 1, "done", ""] for n in range(1, 501)]
    body = encode({"clock_ms": 9, "running": [], "finished": rows})
    assert not wire_workers.decode_lists(body).complete


@pytest.mark.parametrize(
    "rows", [[["only-a-task"]], [["t", "two", "", 0]], [[None, None, None]]]
)
def test_malformed_rows_are_rejected(rows):
    with pytest.raises(errors.InvalidInputError):
        wire_workers.decode_lists(encode({"clock_ms": 9, "running": rows}))


@pytest.mark.parametrize(
    ("status", "reason", "answer"),
    [
        (200, "", worker_api.StartAnswer.RUNNING),
        (409, "fence", worker_api.StartAnswer.DEPOSED),
        (409, "room", worker_api.StartAnswer.NO_CAPACITY),
        (409, "late", worker_api.StartAnswer.REFUSED),
        (409, "old", worker_api.StartAnswer.REFUSED),
        (421, "", worker_api.StartAnswer.REFUSED),
        (429, "", worker_api.StartAnswer.UNHEALTHY),
        (503, "", worker_api.StartAnswer.UNHEALTHY),
        (500, "", worker_api.StartAnswer.UNKNOWN),
    ],
)
def test_start_responses_are_decoded(status, reason, answer):
    body = encode({"clock_ms": 1, "reason": reason})
    assert wire_workers.decode_start_response(status, body)[0] is answer


def test_a_start_confirmed_with_an_earlier_clock_was_not_by_its_incarnation():
    body = encode({"clock_ms": 99})
    for min_clock_ms, answer in (
        (99, worker_api.StartAnswer.RUNNING),
        (100, worker_api.StartAnswer.UNKNOWN),
    ):
        decoded = wire_workers.decode_start_response(200, body, min_clock_ms)
        assert decoded[0] is answer


@pytest.mark.parametrize(("lease_until_ms", "sent"), [(9, True), (0, False)])
def test_a_poll_without_a_lease_names_no_deadline(lease_until_ms, sent):
    poll = json.loads(wire_workers.encode_poll(7, 3, lease_until_ms, 5))
    assert ("deadline_ms" in poll) is sent
