"""Tests of operators' routes: authentication, relay, changes, queries."""

import json

import curio
import pytest

import builders
from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook.operators import wire
import operator_model

ZONE_OUT = commands.AvailabilityZoneOut(availability_zone="a")
SETTLED_MS = settings_lib.Timing().worker_lease_ms + 1


@pytest.fixture
def site(tmp_path):
    return operator_model.ModelSite(tmp_path)


def _body(response):
    return json.loads(response.body)


REFUSED = [
    ("GET", "/v1/status", "wrong-token-of-ana", 401),
    ("GET", "/v1/status", "", 401),
    ("GET", "/v1/status", "\xe9" * 16, 401),
    ("GET", "/v1/nothing", None, 404),
    ("GET", "/v1/changes", None, 404),
    ("POST", "/v1/status", None, 404),
    ("POST", "/v1/entry/update", None, 404),
    ("POST", "/v1/../entry/claim", None, 404),
    ("GET", "/v1/explain", None, 400),
    ("GET", "/v1/explain?job=none", None, 404),
    ("GET", "/v1/audit?from=x", None, 400),
    ("POST", "/v1/changes", None, 400),
    ("POST", "/v1/replicas", None, 400),
]


@pytest.mark.parametrize(("method", "target", "token", "status"), REFUSED)
def test_request_is_refused(site, method, target, token, status):
    token = operator_model.TOKENS["ana"] if token is None else token
    response = curio.run(
        lambda: site.request(method, target, b"{", token=token)
    )
    assert response.status == status
    if status == 401 or "entry" in target:
        assert not site.link.requests


def test_operator_is_identified_by_the_token(site):
    async def run():
        await site.change(ZONE_OUT, token=operator_model.TOKENS["bo"])
        return await site.request("GET", "/v1/audit")

    (record,) = _body(curio.run(run))["records"]
    assert record["operator"] == "bo"
    names = [name for name, _ in site.link.requests[0].headers]
    assert names.count(wire.OPERATOR_HEADER) == 1
    assert b"authorization" not in names


def test_wire_forms(site, snapshot):
    async def run():
        await site.announce_upstreams()
        sheet = builders.apply_sheet((builders.service(),), (builders.job(),))
        responses = [
            await site.change(sheet),
            await site.change(ZONE_OUT),
            await site.change(sheet, number=2),
            await site.change(ZONE_OUT, number=7, base_revision=1),
            await site.change(commands.RemoveService(name="none")),
            await site.change({"type": "put-job", "job": {"name": 1}}),
        ]
        for target in ("revision", "status", "jobs", "audit?from=2"):
            responses.append(await site.request("GET", f"/v1/{target}"))
        for target in ("check", "diff"):
            responses.append(
                await site.request(
                    "POST",
                    f"/v1/sheet/{target}",
                    b"kind;name\nzone;\n",
                    content_type=b"text/csv",
                )
            )
        responses.append(
            await site.request("POST", "/v1/sheet/diff", builders.sheet())
        )
        return responses

    responses = curio.run(run)
    assert [(a.status, _body(a)) for a in responses] == snapshot


def test_lost_response_is_retried_and_the_change_applied_once(site):
    site.link.responses_to_lose = 2
    response = curio.run(lambda: site.change(ZONE_OUT))
    assert _body(response) == {"type": "accepted", "revision": 1}
    assert len(site.link.requests) == 3
    assert site.node.state.configuration.current.revision == 1


@pytest.mark.parametrize("fault", ["unreachable", "stalled", "deposed"])
def test_no_quorum_is_reported_within_a_second(site, fault):
    site.link.is_unreachable = fault == "unreachable"
    site.node.is_stalled = fault == "stalled"
    site.node.leads = fault != "deposed"

    async def run():
        async with curio.timeout_after(1.2):
            return await site.change(ZONE_OUT)

    response = curio.run(run)
    assert response.status == 503
    assert _body(response)["reason"] == "no quorum"


def test_storage_error_is_reported(site):
    site.node.failure = errors.StorageError("log: No space left on device")
    response = curio.run(lambda: site.change(ZONE_OUT))
    assert response.status == 503
    assert "No space left" in _body(response)["reason"]


def test_revision_is_in_force_after_entries_follow_and_starts_expire(site):
    async def run():
        observed = []

        async def record(step):
            reply = _body(await site.request("GET", "/v1/revision"))
            observed.append((step, reply["in_force"], reply["behind"]))

        site.clock.now_ms += SETTLED_MS
        await site.announce_upstreams()
        await site.change(ZONE_OUT)
        await record("accepted")
        await site.leader.update(builders.entry_update(sequence=2, revision=1))
        await record("entry follows")
        site.clock.now_ms += 2_050
        await record("starts expired")
        await site.change(commands.DrainUpstream(name="worker-1"))
        await site.leader.update(builders.entry_update(sequence=3, revision=1))
        site.clock.now_ms += 2_050
        await record("entry behind")
        site.clock.now_ms += 480
        await record("entry's lease over")
        return observed

    assert curio.run(run) == [
        ("accepted", False, ["entry-1"]),
        ("entry follows", False, []),
        ("starts expired", True, []),
        ("entry behind", False, ["entry-1"]),
        ("entry's lease over", True, []),
    ]


@pytest.mark.parametrize("field", ["name", "availability_zone"])
def test_unknown_name_is_refused_once_all_upstreams_can_be_known(site, field):
    def change(name):
        if field == "name":
            return commands.DrainUpstream(name=name)
        return commands.AvailabilityZoneOut(availability_zone=name)

    async def run():
        responses = [await site.change(change("early"))]
        site.clock.now_ms += SETTLED_MS
        await site.announce_upstreams()
        responses.append(await site.change(change("late")))
        # A resend of the accepted change gets its first result.
        early = change("early")
        responses.append(await site.change(early, number=1, base_revision=0))
        return [response.status for response in responses]

    assert curio.run(run) == [200, 422, 200]


def test_status_lists_what_is_missing(site):
    async def run():
        await site.change(builders.apply_sheet((builders.service("holds"),)))
        return messages.decode(
            (await site.request("GET", "/v1/status")).body, wire.StatusReply
        )

    short = curio.run(run).short
    assert "service holds: 0 of 1 instances are placed" in short
    assert "service holds: no executor has announced itself" in short
