"""A planned stop of a job entry interrupts no request."""

import socket

import curio
import curio.io
import pytest

from galenahook import clock as clock_lib
from galenahook import job_entry
from galenahook import settings as settings_lib

HEAD = (
    b"POST /q/00000000000000a1 HTTP/1.1\r\nhost: desk.example\r\n"
    b"x-deadline-ms: %d\r\ncontent-length: 38\r\n\r\n"
)
BODY = b'{"spec": "s", "steps": [{"count": 1}]}'
NOTICE_MS = 150


@pytest.fixture(autouse=True)
def short_notice(monkeypatch):
    monkeypatch.setattr(job_entry, "DRAIN_NOTICE_PERIOD_MS", NOTICE_MS)


def run_entry(test, stop_ms=3_000):
    """Runs a test with an entry that has no known leader."""

    async def main():
        entry = job_entry.JobEntry(
            settings_lib.JobEntrySettings(
                name="entry",
                availability_zone="zone-a",
                callers=settings_lib.Listener(listen="127.0.0.1:0"),
                platform=settings_lib.Listener(listen="127.0.0.1:0"),
                metrics=settings_lib.Listener(listen="127.0.0.1:0"),
                seeds=("127.0.0.1:1",),
                peer_port=1,
                stop_ms=stop_ms,
            ),
            clock_lib.Clock(),
            None,
        )
        stop = curio.Event()
        task = await curio.spawn(entry.run, stop)
        async with curio.timeout_after(10):
            await test(entry, stop, task)
            await task.join()

    curio.run(main)


async def connect(entry):
    host, _, port = entry.callers_server.address.partition(":")
    sock = curio.io.Socket(socket.create_connection((host, int(port))))
    await curio.sleep(0.03)
    return sock


async def read_status_line(sock):
    """Returns the status line of the response; empty if there is none."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = await sock.recv(65_536)
        if not more:
            break
        data += more
    return data.partition(b"\r\n")[0]


def test_stop_waits_for_a_request_that_arrives_in_pieces():
    async def test(entry, stop, task):
        sock = await connect(entry)
        await sock.sendall(HEAD % 300 + BODY[:10])
        await stop.set()
        await curio.sleep((NOTICE_MS + 150) / 1000)
        assert not task.terminated
        await sock.sendall(BODY[10:])
        assert (await read_status_line(sock)).startswith(b"HTTP/1.1 503")

    run_entry(test)


def test_stop_waits_for_the_first_bytes_of_a_new_connection():
    async def test(entry, stop, _task):
        await stop.set()
        await curio.sleep((NOTICE_MS - 60) / 1000)
        sock = await connect(entry)
        await curio.sleep(0.1)
        await sock.sendall(HEAD % 300 + BODY)
        assert (await read_status_line(sock)).startswith(b"HTTP/1.1 503")

    run_entry(test)


def test_stop_answers_a_late_request_before_the_process_ends():
    async def test(entry, stop, task):
        await stop.set()
        sock = await connect(entry)
        await sock.sendall(HEAD % 8_000 + BODY)
        assert (await read_status_line(sock)).startswith(b"HTTP/1.1 503")
        assert not task.terminated

    run_entry(test)


def test_stop_closes_persistent_connections_after_the_next_response():
    async def test(entry, stop, _task):
        sock = await connect(entry)
        await stop.set()
        await curio.sleep(0.03)
        await sock.sendall(HEAD % 200 + BODY)
        data = b""
        while more := await sock.recv(65_536):
            data += more
        assert b"connection: close" in data

    run_entry(test)
