"""Server side of one connection: reads requests and writes responses."""

import contextlib
import dataclasses
import socket as std_socket
from typing import Any

import curio
import h11

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import errors
from galenahook.web import http

LINGER_MAX_BYTES = 256 * 1024
LINGER_TIMEOUT_MS = 500

_HTTP_VERSIONS = (b"1.0", b"1.1")


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits of a listener."""

    header_timeout_ms: int = defaults.CALLER_HEADER_TIMEOUT_MS
    body_timeout_ms: int = defaults.CALLER_BODY_TIMEOUT_MS
    idle_timeout_ms: int = defaults.CALLER_IDLE_TIMEOUT_MS
    write_timeout_ms: int = defaults.CALLER_BODY_TIMEOUT_MS
    max_header_bytes: int = defaults.MAX_HEADER_BYTES
    max_header_count: int = defaults.MAX_HEADER_COUNT
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    max_connections: int = defaults.MAX_CONNECTIONS


class RequestReadError(errors.ProtocolError):
    """A request could not be read.

    Attributes:
      status: HTTP status of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ServerStream:
    """Reads requests and writes responses on one accepted connection.

    Attributes:
      idle: Whether no byte of the next request has arrived yet.
      reusable: Whether another request may follow.
    """

    def __init__(self, sock: Any, limits: Limits, peer: str) -> None:
        self.idle = True
        self.reusable = True
        self._sock = sock
        self._limits = limits
        self._peer = peer
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )

    def start_next_cycle(self) -> None:
        """Prepares for the next request."""
        self._connection.start_next_cycle()

    async def read_request(self) -> http.Request | None:
        """Returns the next request, or None if none will follow.

        Raises:
          RequestReadError: The request is malformed, too large or too slow.
        """
        try:
            head = await self._read_head()
            if head is None:
                return None
            self._check_head(head)
            body = await self._read_body()
        except curio.TaskTimeout as error:
            raise RequestReadError(
                408, "request not received in time"
            ) from error
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise RequestReadError(status, str(error)) from error
        return http.Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers),
            body=body,
            peer=self._peer,
            is_abandoned=self.is_closed_by_peer,
        )

    def is_closed_by_peer(self) -> bool:
        """Returns whether the client has closed its side of the connection."""
        flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
        try:
            return not self._sock._socket.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def _read_head(self) -> h11.Request | None:
        if (
            not self._connection.trailing_data[0]
            and not await self._wait_for_data()
        ):
            return None
        event = self._connection.next_event()
        if event is h11.NEED_DATA:
            timeout = clock_lib.seconds(self._limits.header_timeout_ms)
            async with curio.timeout_after(timeout):
                event = await self._next_event()
        if isinstance(event, h11.Request):
            return event
        return None

    async def _wait_for_data(self) -> bool:
        """Waits for the first bytes of a request; False after a timeout."""
        self.idle = True
        timeout = clock_lib.seconds(self._limits.idle_timeout_ms)
        try:
            async with curio.timeout_after(timeout):
                data = await self._sock.recv(http.RECEIVE_MAX_BYTES)
        except curio.TaskTimeout:
            return False
        self.idle = False
        self._connection.receive_data(data)
        return True

    def _check_head(self, head: h11.Request) -> None:
        if head.http_version not in _HTTP_VERSIONS:
            raise RequestReadError(505, "expected HTTP/1.1 or HTTP/1.0")
        if len(head.headers) > self._limits.max_header_count:
            raise RequestReadError(431, "too many header fields")
        size = len(head.target)
        size += sum(len(name) + len(value) for name, value in head.headers)
        if size > self._limits.max_header_bytes:
            raise RequestReadError(431, "header fields too large")
        length = http.find_header(list(head.headers), b"content-length")
        if length and int(length) > self._limits.max_body_bytes:
            raise RequestReadError(413, "request body too large")

    async def _read_body(self) -> bytes:
        if self._connection.they_are_waiting_for_100_continue:
            await self._send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        event = self._connection.next_event()
        if isinstance(event, h11.EndOfMessage):
            return b""
        timeout = clock_lib.seconds(self._limits.body_timeout_ms)
        async with curio.timeout_after(timeout):
            return await self._read_body_from(event)

    async def _read_body_from(self, event: Any) -> bytes:
        parts: list[bytes] = []
        size = 0
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.Data):
                size += len(event.data)
                parts.append(bytes(event.data))
            elif event is not h11.NEED_DATA:
                raise RequestReadError(400, "request cut short")
            if size > self._limits.max_body_bytes:
                raise RequestReadError(413, "request body too large")
            event = await self._next_event()
        return b"".join(parts)

    async def _next_event(self) -> Any:
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._sock.recv(http.RECEIVE_MAX_BYTES)
            self._connection.receive_data(data)

    async def send_response(
        self, request: http.Request, response: http.Response, close: bool
    ) -> None:
        """Sends a response; with `close`, no other request may follow."""
        data = self._encode(request.method, response, close)
        await http.send_all(self._sock, data, self._limits.write_timeout_ms)
        self.reusable = (
            self._connection.our_state is h11.DONE
            and self._connection.their_state is h11.DONE
        )

    def _encode(
        self, method: str, response: http.Response, close: bool
    ) -> bytes:
        headers = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in http.FRAMING_HEADERS
        ]
        has_body = http.may_have_body(method, response.status)
        length = response.header(b"content-length")
        if has_body:
            length = str(len(response.body)).encode("ascii")
        if length and response.status >= 200 and response.status != 204:
            headers.append((b"content-length", length))
        if close:
            headers.append((b"connection", b"close"))
        connection = self._connection
        data = connection.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        if has_body:
            data += connection.send(h11.Data(data=response.body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        return data

    async def refuse(self, status: int, reason: str) -> None:
        """Sends an error response if possible; no other request may follow."""
        self.reusable = False
        if self._connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = http.refusal(status, reason)
        response.headers.append((http.OUTCOME_HEADER, b"not-run"))
        with contextlib.suppress(
            h11.LocalProtocolError, OSError, curio.TaskTimeout
        ):
            await self.send_response(http.Request("GET", "/"), response, True)
            await self._linger()

    async def _linger(self) -> None:
        """Reads and discards data, as closing now could lose the response."""
        await self._sock.shutdown(1)
        read = 0
        async with curio.timeout_after(clock_lib.seconds(LINGER_TIMEOUT_MS)):
            while read < LINGER_MAX_BYTES:
                data = await self._sock.recv(http.RECEIVE_MAX_BYTES)
                if not data:
                    return
                read += len(data)

    async def _send(self, event: Any) -> None:
        await self._sock.sendall(self._connection.send(event))
