"""HTTP server and client with malformed, slow, oversize or truncated data."""

from collections.abc import Awaitable
from collections.abc import Callable
import socket
import threading
import time
from typing import Any

import curio
import curio.io
import curio.workers
import eliot
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
RESPONSE_TIMEOUT_S = 2.0


async def echo(request: web.Request) -> web.Response:
    match request.target:
        case "/fault":
            raise ValueError("planned")
        case "/slow":
            await curio.sleep(0.3)
        case "/large":
            return web.Response(200, [], b"x" * 30_000_000)
    return web.Response(200, [], request.target.encode() + request.body)


def run_with_server(test: Callable[[web.Server], Awaitable[None]]) -> None:
    async def main() -> None:
        server = web.Server(web.listen("127.0.0.1:0"), echo, LIMITS)
        task = await curio.spawn(server.run, daemon=True)
        async with curio.timeout_after(10):
            await test(server)
        await task.cancel()

    curio.run(main)


async def open_socket(server: web.Server) -> Any:
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


POST_HEAD = b"POST /a HTTP/1.1\r\nhost: x\r\n"
MANY_HEADERS = b"".join(b"h%d: v\r\n" % number for number in range(30))

INVALID_REQUESTS = {
    "not HTTP": (b"\x00\x01\x02\r\n\r\n", 400),
    "no such version": (b"GET / HTTP/9.9\r\nhost: x\r\n\r\n", 505),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400),
    "space in a name": (POST_HEAD + b"a b: c\r\n\r\n", 400),
    "two lengths": (
        POST_HEAD + b"content-length: 1\r\ncontent-length: 2\r\n\r\nab",
        400,
    ),
    "negative length": (POST_HEAD + b"content-length: -1\r\n\r\n", 400),
    "unknown coding": (POST_HEAD + b"transfer-encoding: gzip\r\n\r\n", 501),
    "broken chunk": (
        POST_HEAD + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
        400,
    ),
    "long header at once": (
        POST_HEAD + b"a: " + b"v" * 6_000 + b"\r\n\r\n",
        431,
    ),
    "header without end": (POST_HEAD + b"a: " + b"v" * 9_000, 431),
    "many headers": (POST_HEAD + MANY_HEADERS + b"\r\n", 431),
    "length over the limit": (
        POST_HEAD + b"content-length: 99999\r\n\r\n",
        413,
    ),
    "body over the limit": (
        POST_HEAD + b"content-length: 99999\r\n\r\n" + b"x" * 99_999,
        413,
    ),
    "absurd length": (
        POST_HEAD + b"content-length: " + b"9" * 19 + b"\r\n\r\n",
        413,
    ),
    "chunks over the limit": (
        POST_HEAD
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
    "slow body": (POST_HEAD + b"content-length: 9\r\n\r\nab", 408),
}


@pytest.mark.parametrize("name", INVALID_REQUESTS)
def test_invalid_request_is_rejected_in_time(name: str) -> None:
    data, status = INVALID_REQUESTS[name]

    async def test(server: web.Server) -> None:
        sock = await open_socket(server)
        started = time.monotonic()
        await sock.sendall(data)
        response = await read_all(sock)
        assert time.monotonic() - started < RESPONSE_TIMEOUT_S
        assert response.startswith(b"HTTP/1.1 %d " % status)
        assert b"x-galenahook-outcome: not-run" in response

    run_with_server(test)


def test_truncated_request_is_not_handled() -> None:
    async def test(server: web.Server) -> None:
        sock = await open_socket(server)
        await sock.sendall(POST_HEAD + b"content-length: 9\r\n\r\nab")
        await sock.shutdown(1)
        response = await read_all(sock)
        assert response.startswith(b"HTTP/1.1 400 ")

    run_with_server(test)


def test_slow_callers_do_not_block_others() -> None:
    async def test(server: web.Server) -> None:
        for _ in range(LIMITS.max_connections + 3):
            slow = await open_socket(server)
            await slow.sendall(b"GET / HTT")
        client = await web.connect(server.address)
        response = await client.exchange(web.Request("GET", "/a"), 1_000)
        assert response.body == b"/a"

    run_with_server(test)


def test_idle_connection_is_closed_before_a_busy_one() -> None:
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

    run_with_server(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test(server: web.Server) -> None:
        sock = await open_socket(server)
        targets = [b"/slow", b"/b", b"/c"]
        requests = [b"GET %b HTTP/1.1\r\nhost: x\r\n\r\n" % t for t in targets]
        await sock.sendall(b"".join(requests))
        await sock.shutdown(1)
        response = await read_all(sock)
        positions = [response.index(b"\r\n\r\n" + target) for target in targets]
        assert positions == sorted(positions)
        assert response.count(b"HTTP/1.1 200") == len(targets)

    run_with_server(test)


def test_handler_exception_gets_a_response() -> None:
    async def test(server: web.Server) -> None:
        client = await web.connect(server.address)
        response = await client.exchange(web.Request("GET", "/fault"), 1_000)
        assert response.status == 500
        assert response.header(b"x-galenahook-outcome") == b"unknown"
        again = await client.exchange(web.Request("GET", "/a"), 1_000)
        assert again.body == b"/a"

    run_with_server(test)


def test_handler_exception_is_logged_with_its_place() -> None:
    lines: list[dict[str, Any]] = []

    async def test(server: web.Server) -> None:
        client = await web.connect(server.address)
        eliot.add_destinations(lines.append)
        lines.clear()
        try:
            await client.exchange(web.Request("POST", "/fault"), 1_000)
        finally:
            eliot.remove_destination(lines.append)

    run_with_server(test)
    [line] = lines
    assert line["message_type"] == "request:failed"
    assert line["level"] == "error"
    assert (line["method"], line["target"]) == ("POST", "/fault")
    assert "ValueError: planned" in line["traceback"]
    assert "in echo" in line["traceback"]


def test_connection_of_slow_reader_is_closed() -> None:
    async def test(server: web.Server) -> None:
        sock = await open_socket(server)
        await sock.sendall(b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n")
        deadline = time.monotonic() + RESPONSE_TIMEOUT_S
        await curio.sleep(0.1)
        while server.in_flight and time.monotonic() < deadline:
            await curio.sleep(0.02)
        assert server.in_flight == 0
        assert len(await read_all(sock)) < 30_000_000

    run_with_server(test)


def test_drain_closes_idle_connections_but_finishes_requests() -> None:
    async def test(server: web.Server) -> None:
        idle = await open_socket(server)
        partial = await open_socket(server)
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

    run_with_server(test)


def test_new_socket_may_reuse_the_file_descriptor_of_the_listener() -> None:
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

    run_with_server(test)


# --- Client ------------------------------------------------------------------

RESPONSE_WITH_LENGTH = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
CHUNKED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
)
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nhello"
CLOSING_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello"
)
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
NOT_MODIFIED = b"HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n"
RESPONSE_TO_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"

COMPLETE_RESPONSES = {
    "length": ("GET", RESPONSE_WITH_LENGTH, b"hello", True),
    "chunks": ("GET", CHUNKED_RESPONSE, b"hello", True),
    "1xx first": (
        "GET",
        EARLY_HINTS + EARLY_HINTS + RESPONSE_WITH_LENGTH,
        b"hello",
        True,
    ),
    "connection: close": ("GET", CLOSING_RESPONSE, b"hello", False),
    "204": ("GET", NO_CONTENT, b"", True),
    "304 with a length": ("GET", NOT_MODIFIED, b"", True),
    "HEAD": ("HEAD", RESPONSE_TO_HEAD, b"", True),
    "bytes after the response": (
        "GET",
        RESPONSE_WITH_LENGTH + b"x",
        b"hello",
        False,
    ),
    "second response": (
        "GET",
        RESPONSE_WITH_LENGTH + RESPONSE_WITH_LENGTH,
        b"hello",
        False,
    ),
}


def exchange_with(data: bytes, method: str) -> tuple[Any, web.ClientConnection]:
    """Exchanges one request with a server that responds with `data`."""

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


@pytest.mark.parametrize("name", COMPLETE_RESPONSES)
def test_complete_response_is_accepted(name: str) -> None:
    method, data, body, reusable = COMPLETE_RESPONSES[name]
    response, client = exchange_with(data, method)
    assert response.body == body
    assert client.reusable == reusable


@pytest.mark.parametrize(
    "data", [RESPONSE_WITH_LENGTH, CHUNKED_RESPONSE, CLOSING_RESPONSE]
)
def test_response_truncated_at_any_byte_is_rejected(data: bytes) -> None:
    for size in range(len(data)):
        result, client = exchange_with(data[:size], "GET")
        assert isinstance(result, errors.ExchangeError), data[:size]
        assert result.sent
        assert not client.reusable


def test_response_delimited_by_connection_close_is_rejected() -> None:
    result, _ = exchange_with(RESPONSE_WITHOUT_LENGTH, "GET")
    assert isinstance(result, errors.ExchangeError)


def test_connection_does_not_wait_for_a_thread() -> None:
    started = threading.Semaphore(0)
    release = threading.Event()

    def occupy() -> None:
        started.release()
        release.wait()

    async def test(server: web.Server) -> None:
        busy = [
            await curio.spawn(curio.run_in_thread, occupy)
            for _ in range(curio.workers.MAX_WORKER_THREADS)
        ]
        try:
            for _ in busy:
                while not started.acquire(blocking=False):
                    await curio.sleep(0.001)
            connection = await web.connect(server.address, timeout_ms=500)
            await connection.close()
        finally:
            release.set()
            for task in busy:
                await task.join()

    run_with_server(test)


@pytest.mark.parametrize("port", ["65536", "-1"])
def test_connection_to_an_invalid_port_fails_as_any_other(port: str) -> None:
    async def test(_server: web.Server) -> None:
        with pytest.raises(errors.ExchangeError):
            await web.connect(f"127.0.0.1:{port}")

    run_with_server(test)
