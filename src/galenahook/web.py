"""HTTP/1.1 over curio sockets, with h11 on both sides.

A server runs one task per connection. A client connection carries one request
at a time; after anything but a whole exchange it is closed and not reused.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import socket as std_socket
import time
from typing import Any
from typing import NoReturn

import curio
import curio.io
import curio.traps
import h11

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import errors
from galenahook import messages

_READ_BYTES = 64 * 1024
_JSON = (b"content-type", b"application/json")

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True)
class Request:
    """A whole HTTP request.

    Attributes:
      method: Method in capitals.
      target: Path and query as sent.
      headers: Names in lower case, in order.
      body: Whole body.
      peer: Address of the peer as `host:port`; empty when outgoing.
    """

    method: str
    target: str
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    peer: str = ""

    def header(self, name: bytes) -> bytes:
        """Returns the first header of that lower-case name, or `b""`."""
        return _find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class Response:
    """A whole HTTP response."""

    status: int
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes:
        """Returns the first header of that lower-case name, or `b""`."""
        return _find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class Limits:
    """Bounds of a listener."""

    header_timeout_ms: int = defaults.CALLER_HEADER_TIMEOUT_MS
    body_timeout_ms: int = defaults.CALLER_BODY_TIMEOUT_MS
    idle_timeout_ms: int = defaults.CALLER_IDLE_TIMEOUT_MS
    write_timeout_ms: int = defaults.CALLER_BODY_TIMEOUT_MS
    max_header_bytes: int = defaults.MAX_HEADER_BYTES
    max_header_count: int = defaults.MAX_HEADER_COUNT
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    max_connections: int = defaults.MAX_CONNECTIONS


CONTROL_LIMITS = Limits(max_body_bytes=defaults.MAX_CONTROL_BODY_BYTES)

Handler = Callable[[Request], Awaitable[Response]]


def json_response(message: Any, status: int = 200) -> Response:
    """Builds a JSON response from a message."""
    return Response(status, [_JSON], messages.encode(message))


def refusal(status: int, reason: str) -> Response:
    """Builds a response that refuses a request with a reason."""
    return json_response(messages.Refusal(reason=reason), status)


def parse_address(address: str) -> tuple[str, int]:
    """Splits `host:port`.

    Raises:
      ValueError: The address has another form.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host:
        raise ValueError(f"expected host:port, got {address!r}")
    return host, int(port)


def listen(address: str) -> std_socket.socket:
    """Opens a listening socket; port 0 lets the kernel choose."""
    sock = std_socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_REUSEADDR, 1)
    sock.bind(parse_address(address))
    sock.listen(1024)
    return sock


def bound_address(sock: std_socket.socket) -> str:
    """Returns the address that a listening socket got, as `host:port`."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


class Server:
    """Serves one listening socket with one task per connection.

    Attributes:
      address: Address in use, as `host:port`.
      in_flight: Requests being handled now.
      draining: Once true, each connection ends after its current request.
    """

    def __init__(
        self,
        sock: std_socket.socket,
        handler: Handler,
        limits: Limits,
    ) -> None:
        self.address = bound_address(sock)
        self.in_flight = 0
        self.draining = False
        self.limits = limits
        self._handler = handler
        self._sock = curio.io.Socket(sock)
        self._connections = 0

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        while True:
            client, peer = await self._sock.accept()
            if self._connections >= self.limits.max_connections:
                await client.close()
                continue
            _set_no_delay(client)
            self._connections += 1
            await curio.spawn(self._serve_connection, client, peer, daemon=True)

    async def close_listener(self) -> None:
        """Stops accepting; connections in progress go on."""
        self.draining = True
        await self._sock.close()

    async def _serve_connection(
        self, client: Any, peer: tuple[str, int]
    ) -> None:
        connection = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.max_header_bytes,
        )
        stream = _ServerStream(client, connection, self.limits, peer)
        try:
            while await self._serve_request(stream):
                connection.start_next_cycle()
        except (OSError, errors.ProtocolError, curio.TaskTimeout):
            pass
        finally:
            self._connections -= 1
            with contextlib.suppress(OSError):
                await client.close()

    async def _serve_request(self, stream: "_ServerStream") -> bool:
        try:
            request = await stream.read_request()
        except errors.MessageTooLargeError as error:
            await stream.send_error(413, str(error))
            return False
        except curio.TaskTimeout:
            await stream.send_error(408, "request not received in time")
            return False
        except (errors.ProtocolError, h11.RemoteProtocolError) as error:
            await stream.send_error(400, str(error))
            return False
        if request is None:
            return False
        self.in_flight += 1
        try:
            response = await self._handler(request)
            await stream.send_response(request, response, self.draining)
        finally:
            self.in_flight -= 1
        return stream.reusable


class _ServerStream:
    """Reads requests and writes responses on one accepted connection."""

    def __init__(
        self,
        client: Any,
        connection: h11.Connection,
        limits: Limits,
        peer: tuple[str, int],
    ) -> None:
        self.client = client
        self.connection = connection
        self.limits = limits
        self.peer = f"{peer[0]}:{peer[1]}"
        self.reusable = True

    async def read_request(self) -> Request | None:
        """Returns the next request, or None when the peer has closed."""
        head = await self._read_head()
        if head is None:
            return None
        if len(head.headers) > self.limits.max_header_count:
            raise errors.MessageTooLargeError("too many header fields")
        body_timeout = clock_lib.seconds(self.limits.body_timeout_ms)
        async with curio.timeout_after(body_timeout):
            body = await self._read_body()
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers),
            body=body,
            peer=self.peer,
        )

    async def _read_head(self) -> h11.Request | None:
        if not self.connection.trailing_data[0]:
            idle_timeout = clock_lib.seconds(self.limits.idle_timeout_ms)
            try:
                async with curio.timeout_after(idle_timeout):
                    data = await self.client.recv(_READ_BYTES)
            except curio.TaskTimeout:
                return None
            self.connection.receive_data(data)
        header_timeout = clock_lib.seconds(self.limits.header_timeout_ms)
        async with curio.timeout_after(header_timeout):
            event = await self._next_event()
        if isinstance(event, h11.Request):
            return event
        return None

    async def _read_body(self) -> bytes:
        if self.connection.they_are_waiting_for_100_continue:
            await self._send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise errors.ProtocolError("request cut short")
            size += len(event.data)
            if size > self.limits.max_body_bytes:
                raise errors.MessageTooLargeError("request body too large")
            parts.append(bytes(event.data))

    async def _next_event(self) -> Any:
        while True:
            event = self.connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.connection.receive_data(await self.client.recv(_READ_BYTES))

    async def send_response(
        self, request: Request, response: Response, close: bool
    ) -> None:
        """Sends a whole response; `close` ends the connection after it."""
        headers = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in _HOP_HEADERS
        ]
        if _may_have_body(request.method, response.status):
            length = str(len(response.body)).encode("ascii")
            headers.append((b"content-length", length))
        elif request.method == "HEAD" and response.header(b"content-length"):
            length = response.header(b"content-length")
            headers.append((b"content-length", length))
        if close:
            headers.append((b"connection", b"close"))
        data = self.connection.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        if _may_have_body(request.method, response.status):
            data += self.connection.send(h11.Data(data=response.body)) or b""
        data += self.connection.send(h11.EndOfMessage()) or b""
        async with curio.timeout_after(
            clock_lib.seconds(self.limits.write_timeout_ms)
        ):
            await self.client.sendall(data)
        self.reusable = (
            self.connection.our_state is h11.DONE
            and self.connection.their_state is h11.DONE
        )

    async def send_error(self, status: int, reason: str) -> None:
        """Answers broken input if the connection still allows it."""
        self.reusable = False
        if self.connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = refusal(status, reason)
        with contextlib.suppress(h11.LocalProtocolError, OSError):
            await self.send_response(Request("GET", "/"), response, True)

    async def _send(self, event: Any) -> None:
        await self.client.sendall(self.connection.send(event))


_HOP_HEADERS = frozenset(
    (b"content-length", b"transfer-encoding", b"connection", b"keep-alive")
)


class ClientConnection:
    """One connection to a peer; carries one exchange at a time.

    Attributes:
      address: The peer's `host:port`.
      reusable: Whether another exchange may follow on this connection.
      opened_ms: Monotonic time of the connect.
    """

    def __init__(self, address: str, sock: Any, opened_ms: int) -> None:
        self.address = address
        self.reusable = True
        self.opened_ms = opened_ms
        self._sock = sock
        self._connection = h11.Connection(h11.CLIENT)

    async def exchange(
        self,
        request: Request,
        timeout_ms: float,
        max_response_bytes: int = defaults.MAX_RESPONSE_BYTES,
    ) -> Response:
        """Sends a request and reads its whole response.

        Raises:
          errors.ExchangeError: No whole response arrived in time. The
            connection is closed.
        """
        deadline_ms = time.monotonic() * 1000 + timeout_ms
        await self.send(request, timeout_ms)
        left_ms = deadline_ms - time.monotonic() * 1000
        return await self.receive(left_ms, max_response_bytes)

    async def send(self, request: Request, timeout_ms: float) -> None:
        """Sends a request, whose response must then be received.

        Raises:
          errors.ExchangeError: It was not sent whole. The connection is
            closed.
        """
        self.reusable = False
        sent = False
        try:
            data = self._encode(request)
            sent = True
            async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
                await self._sock.sendall(data)
        except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
            await self._fail(error, sent)
        except BaseException:
            await self.close()
            raise

    async def receive(
        self,
        timeout_ms: float,
        max_response_bytes: int = defaults.MAX_RESPONSE_BYTES,
    ) -> Response:
        """Reads the whole response to the request sent.

        Raises:
          errors.ExchangeError: No whole response arrived in time. The
            connection is closed.
        """
        try:
            async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
                response = await self._read_response(max_response_bytes)
        except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
            await self._fail(error, sent=True)
        except BaseException:
            await self.close()
            raise
        await self._finish_cycle()
        return response

    async def _fail(self, error: BaseException, sent: bool) -> NoReturn:
        await self.close()
        raise errors.ExchangeError(
            f"{self.address}: {type(error).__name__}: {error}", sent
        ) from error

    def _encode(self, request: Request) -> bytes:
        headers = [
            (name, value)
            for name, value in request.headers
            if name not in _HOP_HEADERS and name != b"host"
        ]
        headers.insert(0, (b"host", self.address.encode("ascii")))
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            length = str(len(request.body)).encode("ascii")
            headers.append((b"content-length", length))
        data = self._connection.send(
            h11.Request(
                method=request.method, target=request.target, headers=headers
            )
        )
        if request.body:
            data += self._connection.send(h11.Data(data=request.body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        return data

    async def _read_response(self, max_bytes: int) -> Response:
        head: h11.Response | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                data = await self._sock.recv(_READ_BYTES)
                self._connection.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_bytes:
                    raise h11.RemoteProtocolError("response body too large")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return Response(
                    head.status_code, list(head.headers), b"".join(parts)
                )
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before the response")

    async def _finish_cycle(self) -> None:
        connection = self._connection
        done = (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
            and not connection.trailing_data[0]
        )
        if done:
            connection.start_next_cycle()
            self.reusable = True
        else:
            await self.close()

    def is_quiet(self) -> bool:
        """Whether the peer has neither closed nor sent anything unasked."""
        try:
            flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
            self._sock._socket_recv(1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def wait_readable(self, timeout_ms: float) -> bool:
        """Waits until the peer sends something; False after the timeout."""
        try:
            async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
                await curio.traps._read_wait(self._sock._fileno)
        except curio.TaskTimeout:
            return False
        return True

    async def close(self) -> None:
        """Closes the connection; it is never reused."""
        self.reusable = False
        with contextlib.suppress(OSError):
            await self._sock.close()


async def connect(
    address: str,
    timeout_ms: int = defaults.CONNECT_TIMEOUT_MS,
    clock: clock_lib.Clock | None = None,
) -> ClientConnection:
    """Opens a connection to a peer.

    Raises:
      errors.ExchangeError: It could not be opened; nothing was sent.
    """
    clock = clock or clock_lib.Clock()
    try:
        async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
            sock = await curio.open_connection(*parse_address(address))
    except (OSError, ValueError, curio.TaskTimeout) as error:
        raise errors.ExchangeError(f"{address}: {error!r}", False) from error
    _set_no_delay(sock)
    return ClientConnection(address, sock, clock.monotonic_ms())


class ControlClient:
    """Exchanges JSON messages with the system's own processes and workers.

    It keeps idle connections by address. An exchange that fails on a kept
    connection is not repeated here; the caller decides.

    Attributes:
      headers: Sent with every request, such as the site's shared key.
    """

    def __init__(self, clock: clock_lib.Clock, headers: Headers) -> None:
        self.clock = clock
        self.headers = headers
        self._idle: dict[str, list[ClientConnection]] = {}

    async def post(
        self,
        address: str,
        target: str,
        message: Any,
        timeout_ms: int = defaults.CONTROL_TIMEOUT_MS,
    ) -> Response:
        """Posts a message and returns the whole response.

        Raises:
          errors.ExchangeError: No whole response arrived in time.
        """
        body = messages.encode(message)
        headers = [_JSON, *self.headers]
        request = Request("POST", target, headers, body)
        return await self.send(address, request, timeout_ms)

    async def send(
        self, address: str, request: Request, timeout_ms: int
    ) -> Response:
        """Sends a request and returns the whole response.

        Raises:
          errors.ExchangeError: No whole response arrived in time.
        """
        connection = await self._take(address)
        response = await connection.exchange(
            request, timeout_ms, defaults.MAX_CONTROL_BODY_BYTES
        )
        if connection.reusable:
            self._idle.setdefault(address, []).append(connection)
        return response

    async def _take(self, address: str) -> ClientConnection:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if not self._is_stale(connection):
                return connection
            await connection.close()
        return await connect(address, clock=self.clock)

    def _is_stale(self, connection: ClientConnection) -> bool:
        age_ms = self.clock.monotonic_ms() - connection.opened_ms
        return age_ms > defaults.CONNECTION_MAX_AGE_MS

    async def close(self) -> None:
        """Closes every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.close()
        self._idle.clear()


def _find_header(headers: Headers, name: bytes) -> bytes:
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def _may_have_body(method: str, status: int) -> bool:
    return method != "HEAD" and status >= 200 and status not in (204, 304)


def _set_no_delay(sock: Any) -> None:
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
