"""HTTP/1.1 with JSON bodies for the stand-ins, with the standard library."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import time
from typing import Any

Answer = tuple[int, dict[str, Any] | None]


@dataclasses.dataclass(slots=True)
class Request:
    """A request; names of headers are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.rstrip("\r\n").split("\r\n")
    pairs = [line.partition(":") for line in rest]
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    answer: Callable[[Request], Awaitable[Answer]],
) -> None:
    """Answers the requests of one connection until it closes."""
    try:
        while True:
            first, headers = await _read_head(reader)
            method, path, _ = first.split(" ", 2)
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
            status, reply = await answer(Request(method, path, headers, body))
            data = b"" if reply is None else json.dumps(reply).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = 3.0,
    **headers: str,
) -> tuple[int, Any]:
    """Sends a request on a new connection.

    Returns:
      The status and the decoded body; 0 and the reason without an answer.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, method, path, body, headers)
    except (OSError, EOFError, ValueError) as error:
        return 0, repr(error)


@dataclasses.dataclass(slots=True)
class Call:
    """A consumer's call.

    Attributes:
      path: Path of the request.
      sent_at: When its last byte was sent; 0 if there was no connection.
      status: Status of the complete answer; 0 without one.
      waited_ms: Time from its last byte to its end.
      ended: How it ended: answered, closed or timeout.
    """

    path: str
    sent_at: float = 0.0
    status: int = 0
    waited_ms: int = 0
    ended: str = ""


async def ask(
    address: str, path: str, route_host: str, timeout_s: float = 3.0
) -> Call:
    """Sends a GET on a new connection; tells how the connection ended."""
    host, port = address.split(":")
    call = Call(path)
    head = (
        f"GET {path} HTTP/1.1\r\nhost: {route_host}\r\n"
        f"x-deadline-ms: {int(timeout_s * 1000)}\r\n\r\n"
    )
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return call
    try:
        async with asyncio.timeout(timeout_s):
            writer.write(head.encode())
            await writer.drain()
            call.sent_at = time.monotonic()
            first, headers = await _read_head(reader)
            await reader.readexactly(int(headers.get("content-length", "0")))
            call.status, call.ended = int(first.split(" ")[1]), "answered"
    except TimeoutError:
        call.ended = "timeout"
    except (OSError, EOFError):
        call.ended = "closed"
    finally:
        writer.close()
    call.waited_ms = int((time.monotonic() - call.sent_at) * 1000)
    return call


async def text(address: str, path: str) -> str:
    """Returns the text at a path; "" without an answer."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"GET {path} HTTP/1.1\r\nhost: {address}\r\n"
                    "connection: close\r\n\r\n".encode()
                )
                return (await reader.read()).decode("latin-1")
            finally:
                writer.close()
    except OSError:
        return ""


async def _exchange(
    address: str, method: str, path: str, body: Any, headers: dict[str, str]
) -> tuple[int, Any]:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = {
            "host": address,
            "content-type": "application/json",
            "content-length": str(len(data)),
            **{name.replace("_", "-"): text for name, text in headers.items()},
        }
        head = "".join(f"{name}: {text}\r\n" for name, text in lines.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
        await writer.drain()
        first, answered = await _read_head(reader)
        length = int(answered.get("content-length", "0"))
        reply = await reader.readexactly(length)
        return int(first.split(" ")[1]), json.loads(reply) if reply else None
    finally:
        writer.close()
