"""HTTP on both sides: broken, slow and oversize peers, and cut answers."""

from collections.abc import Awaitable
from collections.abc import Callable
import socket
import time
from typing import Any

import curio
import curio.io
import pytest

from galenahook import errors
from galenahook import web

LIMITS = web.Limits(
    header_timeout_ms=200,
    body_timeout_ms=200,
    idle_timeout_ms=5_000,
    write_timeout_ms=300,
    max_header_bytes=4_096,
    max_header_count=20,
    max_body_bytes=10_000,
    max_connections=4,
)
BOUND_S = 2.0


async def echo(request: web.Request) -> web.Response:
    match request.target:
        case "/fault":
            raise ValueError("planned")
        case "/slow":
            await curio.sleep(0.3)
        case "/large":
            return web.Response(200, [], b"x" * 30_000_000)
    return web.Response(200, [], request.target.encode() + request.body)


def run(test: Callable[[web.Server], Awaitable[None]]) -> None:
    async def main() -> None:
        server = web.Server(web.listen("127.0.0.1:0"), echo, LIMITS)
        task = await curio.spawn(server.run, daemon=True)
        async with curio.timeout_after(10):
            await test(server)
        await task.cancel()

    curio.run(main)


async def dial(server: web.Server) -> Any:
    host, port = server.address.split(":")
    return await curio.open_connection(host, int(port))


async def read_all(sock: Any) -> bytes:
    parts = []
    while True:
        try:
            data = await sock.recv(65_536)
        except ConnectionResetError:
            data = b""
        if not data:
            return b"".join(parts)
        parts.append(data)


HEAD = b"POST /a HTTP/1.1\r\nhost: x\r\n"
MANY_HEADERS = b"".join(b"h%d: v\r\n" % number for number in range(30))

BROKEN = {
    "not HTTP": (b"\x00\x01\x02\r\n\r\n", 400),
    "no such version": (b"GET / HTTP/9.9\r\nhost: x\r\n\r\n", 505),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400),
    "space in a name": (HEAD + b"a b: c\r\n\r\n", 400),
    "two lengths": (
        HEAD + b"content-length: 1\r\ncontent-length: 2\r\n\r\nab",
        400,
    ),
    "negative length": (HEAD + b"content-length: -1\r\n\r\n", 400),
    "unknown coding": (HEAD + b"transfer-encoding: gzip\r\n\r\n", 501),
    "broken chunk": (
        HEAD + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
        400,
    ),
    "long header at once": (HEAD + b"a: " + b"v" * 6_000 + b"\r\n\r\n", 431),
    "header without end": (HEAD + b"a: " + b"v" * 9_000, 431),
    "many headers": (HEAD + MANY_HEADERS + b"\r\n", 431),
    "length over the limit": (HEAD + b"content-length: 99999\r\n\r\n", 413),
    "body over the limit": (
        HEAD + b"content-length: 99999\r\n\r\n" + b"x" * 99_999,
        413,
    ),
    "absurd length": (
        HEAD + b"content-length: " + b"9" * 19 + b"\r\n\r\n",
        413,
    ),
    "chunks over the limit": (
        HEAD
        + b"transfer-encoding: chunked\r\n\r\n"
        + b"1000\r\n"
        + b"x" * 4_096
        + b"\r\n1000\r\n"
        + b"x" * 4_096
        + b"\r\n1000\r\n"
        + b"x" * 4_096
        + b"\r\n0\r\n\r\n",
        413,
    ),
    "slow header": (b"GET / HTT", 408),
    "slow body": (HEAD + b"content-length: 9\r\n\r\nab", 408),
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_input_is_refused_in_time(name: str) -> None:
    data, status = BROKEN[name]

    async def test(server: web.Server) -> None:
        sock = await dial(server)
        started = time.monotonic()
        await sock.sendall(data)
        answer = await read_all(sock)
        assert time.monotonic() - started < BOUND_S
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert b"x-galenahook-outcome: not-run" in answer

    run(test)


def test_request_cut_by_its_sender_is_not_handled() -> None:
    async def test(server: web.Server) -> None:
        sock = await dial(server)
        await sock.sendall(HEAD + b"content-length: 9\r\n\r\nab")
        await sock.shutdown(1)
        answer = await read_all(sock)
        assert answer.startswith(b"HTTP/1.1 400 ")

    run(test)


def test_other_callers_are_served_beside_slow_ones() -> None:
    async def test(server: web.Server) -> None:
        for _ in range(LIMITS.max_connections + 3):
            slow = await dial(server)
            await slow.sendall(b"GET / HTT")
        client = await web.connect(server.address)
        response = await client.exchange(web.Request("GET", "/a"), 1_000)
        assert response.body == b"/a"

    run(test)


def test_idle_connection_makes_room_before_a_working_one() -> None:
    async def test(server: web.Server) -> None:
        working = await web.connect(server.address)
        idle = [await web.connect(server.address) for _ in range(3)]
        for client in idle:
            await client.exchange(web.Request("GET", "/a"), 1_000)
        slow = await curio.spawn(
            working.exchange, web.Request("GET", "/slow"), 1_000
        )
        await curio.sleep(0.1)
        late = await web.connect(server.address)
        response = await late.exchange(web.Request("GET", "/b"), 1_000)
        assert response.body == b"/b"
        assert (await slow.join()).body == b"/slow"

    run(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test(server: web.Server) -> None:
        sock = await dial(server)
        targets = [b"/slow", b"/b", b"/c"]
        requests = [b"GET %b HTTP/1.1\r\nhost: x\r\n\r\n" % t for t in targets]
        await sock.sendall(b"".join(requests))
        await sock.shutdown(1)
        answer = await read_all(sock)
        places = [answer.index(b"\r\n\r\n" + target) for target in targets]
        assert places == sorted(places)
        assert answer.count(b"HTTP/1.1 200") == len(targets)

    run(test)


def test_fault_in_a_handler_is_answered() -> None:
    async def test(server: web.Server) -> None:
        client = await web.connect(server.address)
        response = await client.exchange(web.Request("GET", "/fault"), 1_000)
        assert response.status == 500
        assert response.header(b"x-galenahook-outcome") == b"unknown"
        again = await client.exchange(web.Request("GET", "/a"), 1_000)
        assert again.body == b"/a"

    run(test)


def test_slow_reader_is_closed() -> None:
    async def test(server: web.Server) -> None:
        sock = await dial(server)
        await sock.sendall(b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n")
        deadline = time.monotonic() + BOUND_S
        await curio.sleep(0.1)
        while server.in_flight and time.monotonic() < deadline:
            await curio.sleep(0.02)
        assert server.in_flight == 0
        assert len(await read_all(sock)) < 30_000_000

    run(test)


def test_drain_ends_idle_connections_and_no_request() -> None:
    async def test(server: web.Server) -> None:
        idle = await dial(server)
        partial = await dial(server)
        await partial.sendall(b"GET /part")
        busy = await web.connect(server.address)
        slow = await curio.spawn(
            busy.exchange, web.Request("GET", "/slow"), 1_000
        )
        await curio.sleep(0.05)
        host, port = server.address.split(":")
        accepted = socket.create_connection((host, int(port)))
        accepted.sendall(b"GET /waiting HTTP/1.1\r\nhost: x\r\n\r\n")
        waiting = curio.io.Socket(accepted)
        await server.close_listener()
        await curio.sleep(0.05)
        await partial.sendall(b"ial HTTP/1.1\r\nhost: x\r\n\r\n")
        assert await read_all(idle) == b""
        assert b"\r\n\r\n/waiting" in await read_all(waiting)
        assert b"\r\n\r\n/partial" in await read_all(partial)
        assert (await slow.join()).body == b"/slow"
        assert not busy.reusable

    run(test)


def test_socket_opened_after_the_listener_closed_may_take_its_number() -> None:
    async def test(server: web.Server) -> None:
        peers = web.Server(web.listen("127.0.0.1:0"), echo, web.Limits())
        peer_task = await curio.spawn(peers.run)
        await curio.sleep(0.03)
        await server.close_listener()
        for _ in range(3):
            connection = await web.connect(peers.address)
            request = web.Request("GET", "/later")
            assert (await connection.exchange(request, 500)).body == b"/later"
        await peer_task.cancel()

    run(test)


# --- The client's side -------------------------------------------------------

LENGTH = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
CHUNKS = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
)
INFORMATION = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nhello"
CLOSING = (
    b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello"
)
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
NOT_MODIFIED = b"HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n"
LENGTH_OF_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"

WHOLE = {
    "length": ("GET", LENGTH, b"hello", True),
    "chunks": ("GET", CHUNKS, b"hello", True),
    "1xx first": ("GET", INFORMATION + INFORMATION + LENGTH, b"hello", True),
    "connection: close": ("GET", CLOSING, b"hello", False),
    "204": ("GET", NO_CONTENT, b"", True),
    "304 with a length": ("GET", NOT_MODIFIED, b"", True),
    "HEAD": ("HEAD", LENGTH_OF_HEAD, b"", True),
    "bytes after the answer": ("GET", LENGTH + b"x", b"hello", False),
    "an answer too many": ("GET", LENGTH + LENGTH, b"hello", False),
}


def exchange_with(data: bytes, method: str) -> tuple[Any, web.ClientConnection]:
    """Lets a client exchange one request with a server that sends `data`."""

    async def serve(sock: Any, _: Any) -> None:
        await sock.recv(65_536)
        await sock.sendall(data)
        await sock.shutdown(1)
        await sock.recv(1)

    async def main() -> tuple[Any, web.ClientConnection]:
        listener = curio.io.Socket(web.listen("127.0.0.1:0"))
        address = web.bound_address(listener)

        async def accept() -> None:
            sock, peer = await listener.accept()
            await serve(sock, peer)

        await curio.spawn(accept, daemon=True)
        client = await web.connect(address)
        result: Any
        try:
            result = await client.exchange(web.Request(method, "/"), 500)
        except errors.ExchangeError as error:
            result = error
        return result, client

    return curio.run(main)


@pytest.mark.parametrize("name", WHOLE)
def test_whole_answer_is_taken(name: str) -> None:
    method, data, body, reusable = WHOLE[name]
    response, client = exchange_with(data, method)
    assert response.body == body
    assert client.reusable == reusable


@pytest.mark.parametrize("data", [LENGTH, CHUNKS, CLOSING])
def test_answer_cut_at_any_byte_is_no_answer(data: bytes) -> None:
    for size in range(len(data)):
        result, client = exchange_with(data[:size], "GET")
        assert isinstance(result, errors.ExchangeError), data[:size]
        assert result.sent
        assert not client.reusable


def test_answer_that_ends_with_the_connection_is_no_answer() -> None:
    result, _ = exchange_with(WITHOUT_LENGTH, "GET")
    assert isinstance(result, errors.ExchangeError)
