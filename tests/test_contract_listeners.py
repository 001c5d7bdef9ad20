"""The routes of each listener in INTERFACES.md, on real processes."""

import curio
import msgspec
import pytest

import builders
from fakes import site as site_lib
from galenahook import messages
from galenahook import web

ANNOUNCEMENT = messages.encode(builders.worker_announcement())
UNKNOWN_FIELD = ANNOUNCEMENT[:-1] + b',"surprise":1}'
LONG = b"x" * 20_000
BIG = b"x" * (2 * 1024 * 1024)
AUTHORIZED = "operator"
KEYED = "site key"
UPDATE = messages.encode(builders.entry_update("entry-9"))
CHANGE = b'{"number":1,"base_revision":0,"change":{"type":"surprise"}}'

# Listener, method, target, header, body, expected status.
ROWS = [
    ("callers", "GET", "/nowhere", "", b"", 404),
    ("callers", "POST", "/nowhere", "", BIG, 413),
    ("callers", "GET", "/v1/revision", AUTHORIZED, b"", 404),
    ("callers", "POST", "/v1/announce", "", ANNOUNCEMENT, 404),
    ("callers", "POST", "/v1/entry/update", KEYED, UPDATE, 404),
    ("callers", "GET", "/ready", "", b"", 404),
    ("upstreams", "POST", "/v1/announce", "", ANNOUNCEMENT, 200),
    ("upstreams", "POST", "/v1/announce", "", UNKNOWN_FIELD, 400),
    ("upstreams", "POST", "/v1/announce", "", b"{", 400),
    ("upstreams", "POST", "/v1/announce", "", b'{"kind":"x"}', 400),
    ("upstreams", "POST", "/v1/report", "", b"[]", 400),
    ("upstreams", "GET", "/v1/announce", "", b"", 404),
    ("upstreams", "POST", "/v1/changes", AUTHORIZED, CHANGE, 404),
    ("operators", "GET", "/v1/revision", AUTHORIZED, b"", 200),
    ("operators", "GET", "/v1/revision", "", b"", 401),
    ("operators", "GET", "/v1/revision", "wrong", b"", 401),
    ("operators", "GET", "/v1/status", AUTHORIZED, b"", 200),
    ("operators", "GET", "/v1/nowhere", AUTHORIZED, b"", 404),
    ("operators", "POST", "/v1/changes", AUTHORIZED, CHANGE, 400),
    ("operators", "POST", "/v1/changes", AUTHORIZED, b"", 400),
    ("operators", "POST", "/v1/changes", "", CHANGE, 401),
    ("operators", "POST", "/v1/announce", "", ANNOUNCEMENT, 401),
    ("platform", "GET", "/live", "", b"", 200),
    ("platform", "GET", "/ready", "", b"", 200),
    ("platform", "GET", "/v1/revision", AUTHORIZED, b"", 404),
    ("peers", "POST", "/v1/entry/update", KEYED, UPDATE, 200),
    ("peers", "POST", "/v1/entry/update", "", UPDATE, 403),
    ("peers", "POST", "/v1/entry/update", "wrong", UPDATE, 403),
    ("peers", "POST", "/v1/entry/update", KEYED, b"{}", 400),
    ("peers", "POST", "/v1/entry/nowhere", KEYED, b"{}", 404),
    ("peers", "POST", "/v1/replicas/append", "", b"{}", 403),
]


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """A site of one replica and one entry, shared by the rows."""
    folder = str(tmp_path_factory.mktemp("contract"))
    site = site_lib.Site(folder, site_lib.Layout(replicas=1, entries=1))
    site.start()
    curio.run(site.wait_ready)
    yield site
    site.stop()


def address_of(site, listener):
    name = "replica-1" if listener == "peers" else "entry-1"
    return getattr(site.settings[name], listener).listen


def headers_of(site, kind):
    match kind:
        case "operator":
            token = site.tokens["ana"].encode()
            return [(b"authorization", b"Bearer " + token)]
        case "site key":
            return [(b"x-galenahook-key", site.key.encode())]
        case "wrong":
            return [
                (b"authorization", b"Bearer wrong"),
                (b"x-galenahook-key", b"wrong"),
            ]
        case _:
            return []


async def send(site, listener, request):
    connection = await web.connect(address_of(site, listener))
    response = await connection.exchange(request, 5_000)
    await connection.close()
    return response


@pytest.mark.parametrize(
    "row", ROWS, ids=lambda row: " ".join(map(str, (*row[:4], row[5])))
)
def test_route_returns_the_expected_status(site, row):
    listener, method, target, header, body, expected = row
    headers = headers_of(site, header)
    request = web.Request(method, target, headers, body)
    response = curio.run(send, site, listener, request)
    assert response.status == expected, response.body[:300]
    if expected >= 400 and listener != "platform":
        refusal = msgspec.json.decode(response.body, type=messages.Refusal)
        assert refusal.reason
    if listener == "callers":
        assert response.header(b"x-galenahook-outcome") == b"not-run"
        assert expected != 404 or response.header(b"x-galenahook-request")


@pytest.mark.parametrize(
    "listener", ["callers", "upstreams", "operators", "platform", "peers"]
)
def test_oversize_headers_are_refused(site, listener):
    request = web.Request("GET", "/", [(b"x-long", LONG)])
    response = curio.run(send, site, listener, request)
    assert response.status in (400, 413, 431)


def test_replicas_that_do_not_lead_reply_with_421(make_site):
    async def main():
        site = make_site(site_lib.Layout(replicas=3, entries=1))
        site.start()
        await site.wait_ready()
        statuses = []
        for name in site.replica_names():
            address = site.settings[name].peers.listen
            connection = await web.connect(address)
            headers = headers_of(site, KEYED)
            request = web.Request("POST", "/v1/entry/update", headers, UPDATE)
            response = await connection.exchange(request, 5_000)
            await connection.close()
            statuses.append(response.status)
            if response.status == 421:
                reply = messages.decode(response.body, messages.NotLeader)
                assert reply.leader in site.replica_names()
        assert sorted(statuses) == [200, 421, 421]

    curio.run(main)
