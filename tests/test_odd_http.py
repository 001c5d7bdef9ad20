"""A peer that breaks HTTP ends no listener and no client."""

import contextlib
import logging

import curio
import curio.io
import eliot
import pytest

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook import web

ODD_REQUESTS = [
    b"\x00\xff\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1e3\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " + b"9" * 19 + b"\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: "
    + b"9" * 5_000
    + b"\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
    b"content-length: 2\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    + b"f" * 5_000
    + b"\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n12",
    b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\nhost: a\r\n\r\n",
    b"GET / HTTP/9.9\r\nhost: a\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: a\xff\r\nx: \x00\r\n\r\n",
]


@pytest.fixture
def crashes():
    """Returns the list of logged messages about crashed tasks."""
    logged = []

    def record(message):
        if message["message_type"] == "curio":
            logged.append(message)

    eliot.add_destinations(record)
    logger = logging.getLogger("curio")
    handlers, logger.handlers = logger.handlers, [logs._CurioLogHandler()]
    yield logged
    logger.handlers = handlers
    eliot.remove_destination(record)


@pytest.mark.parametrize("data", ODD_REQUESTS, ids=range(len(ODD_REQUESTS)))
def test_a_listener_serves_on_after_an_odd_request(data, crashes):
    async def answer(_request):
        return web.Response(200)

    async def main():
        server = web.Server(
            web.listen("127.0.0.1:0"), answer, web.CONTROL_LIMITS
        )
        await curio.spawn(server.run, daemon=True)
        odd = await curio.open_connection(*web.parse_address(server.address))
        await odd.sendall(data)
        await odd.shutdown(1)
        async with curio.timeout_after(3):
            while await odd.recv(1_000):
                pass
        await odd.close()
        connection = await web.connect(server.address)
        request = web.Request("GET", "/")
        assert (await connection.exchange(request, 1_000)).status == 200
        await connection.close()

    curio.run(main)
    assert not crashes


ODD_RESPONSES = [
    b"\x00\xff\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: " + b"9" * 5_000 + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: " + b"9" * 19 + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n12",
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n12345",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    + b"f" * 5_000
    + b"\r\n",
    b"HTTP/1.1 999 OK\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 00200 OK\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 101 Switching\r\n\r\n",
    b"HTTP/1.1 200 \xff\r\nx: \x00\r\n\r\n",
]


@pytest.mark.parametrize("data", ODD_RESPONSES, ids=range(len(ODD_RESPONSES)))
def test_an_odd_response_is_returned_or_a_failed_exchange(data):
    async def reply_to_all(listener):
        while True:
            sock, _ = await listener.accept()
            await sock.recv(10_000)
            await sock.sendall(data)
            await sock.close()

    async def main():
        sock = web.listen("127.0.0.1:0")
        address = web.bound_address(sock)
        await curio.spawn(reply_to_all, curio.io.Socket(sock), daemon=True)
        client = web.ControlClient(clock_lib.Clock(), [])
        for _ in range(2):
            with contextlib.suppress(errors.ExchangeError):
                request = web.Request("POST", "/", [], b"{}")
                response = await client.send(address, request, 300)
                assert 200 <= response.status <= 999

    curio.run(main)
