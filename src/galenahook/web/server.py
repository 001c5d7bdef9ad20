"""HTTP server with one listening socket and one task per connection."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import socket as std_socket
import traceback
from typing import Any

import curio
import curio.io

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import errors
from galenahook import logs
from galenahook.web import http
from galenahook.web import stream as stream_lib

ACCEPT_RETRY_MS = 50
# How long a newly accepted connection may take to send its first bytes while
# the listener closes; longer than a round trip between availability zones.
FIRST_BYTES_TIMEOUT_MS = 300

Limits = stream_lib.Limits
CONTROL_LIMITS = Limits(max_body_bytes=defaults.MAX_CONTROL_BODY_BYTES)

Handler = Callable[[http.Request], Awaitable[http.Response]]


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    """One accepted connection.

    Attributes:
      sock: Socket of the connection.
      stream: Reads requests and writes responses.
      accepted_ms: Monotonic time at which it was accepted.
      handling: Whether one of its requests is being handled.
    """

    sock: Any
    stream: stream_lib.ServerStream
    accepted_ms: int
    handling: bool = False


class Server:
    """Serves one listening socket with one task per connection.

    Attributes:
      address: Address of the listening socket, as `host:port`.
      in_flight: Number of requests being handled.
      draining: Once true, each connection closes after its current request.
      limits: Limits of sizes, times and connections.
    """

    def __init__(
        self,
        sock: std_socket.socket,
        handler: Handler,
        limits: Limits,
    ) -> None:
        self.address = http.bound_address(sock)
        self.in_flight = 0
        self.draining = False
        self.limits = limits
        self._handler = handler
        self._clock = clock_lib.Clock()
        self._sock = curio.io.Socket(sock)
        self._connections: dict[_Connection, None] = {}
        self._acceptor: curio.Task | None = None

    async def run(self) -> None:
        """Accepts connections until cancelled or until the listener closes."""
        self._acceptor = await curio.spawn(self._accept_all, daemon=True)
        try:
            await self._acceptor.wait()
        finally:
            await self._acceptor.cancel()

    async def _accept_all(self) -> None:
        while True:
            try:
                sock, peer = await self._sock.accept()
            except OSError:
                await curio.sleep(clock_lib.seconds(ACCEPT_RETRY_MS))
                continue
            async with curio.disable_cancellation():
                await self._accept(sock, peer)

    async def _accept(self, sock: Any, peer: tuple[str, int]) -> None:
        if not self._ensure_capacity():
            await sock.close()
            return
        peer_address = f"{peer[0]}:{peer[1]}"
        stream = stream_lib.ServerStream(sock, self.limits, peer_address)
        connection = _Connection(sock, stream, self._clock.monotonic_ms())
        self._connections[connection] = None
        await curio.spawn(self._serve_connection, connection, daemon=True)

    def _ensure_capacity(self) -> bool:
        """Returns whether a connection may be added; closes one if needed.

        It closes the connection that has been idle longest, or else the one
        that has been sending its request longest. A connection whose request
        is being handled is not closed.
        """
        if len(self._connections) < self.limits.max_connections:
            return True
        candidates = [
            connection
            for connection in self._connections
            if not connection.handling
        ]
        if not candidates:
            return False
        oldest = next(
            (item for item in candidates if item.stream.idle), candidates[0]
        )
        del self._connections[oldest]
        _shut_down_reading(oldest.sock)
        return True

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def close_listener(self) -> None:
        """Stops accepting and closes idle connections; requests continue."""
        self.draining = True
        if self._acceptor is not None:
            # The selector must unregister the socket before its file
            # descriptor can be reused.
            await self._acceptor.cancel()
        await self._accept_backlog()
        await self._sock.close()
        self._shut_down_idle(FIRST_BYTES_TIMEOUT_MS)
        await curio.spawn(self._shut_down_new, daemon=True)

    async def _shut_down_new(self) -> None:
        """Closes the newest connections if they have sent no request."""
        await curio.sleep(clock_lib.seconds(FIRST_BYTES_TIMEOUT_MS))
        self._shut_down_idle(0)

    def _shut_down_idle(self, min_age_ms: int) -> None:
        max_accepted_ms = self._clock.monotonic_ms() - min_age_ms
        for connection in self._connections:
            if (
                connection.stream.idle
                and connection.accepted_ms <= max_accepted_ms
            ):
                _shut_down_reading(connection.sock)

    async def _accept_backlog(self) -> None:
        """Accepts pending connections of the kernel: they may have requests."""
        with contextlib.suppress(OSError):
            while True:
                sock, peer = self._sock._socket.accept()
                await self._accept(curio.io.Socket(sock), peer)

    async def _serve_connection(self, connection: _Connection) -> None:
        sock = connection.sock
        stream = connection.stream
        try:
            http.set_connection_options(sock)
            while await self._serve_request(stream, connection):
                stream.start_next_cycle()
        except (OSError, errors.ProtocolError, curio.TaskTimeout):
            pass
        finally:
            self._connections.pop(connection, None)
            with contextlib.suppress(OSError):
                await sock.close()

    async def _serve_request(
        self, stream: stream_lib.ServerStream, connection: _Connection
    ) -> bool:
        request = await self._read_request(stream)
        if request is None:
            return False
        self.in_flight += 1
        connection.handling = True
        try:
            response = await self._handle(request)
            await stream.send_response(request, response, self.draining)
        finally:
            connection.handling = False
            self.in_flight -= 1
        self._move_to_end(connection)
        return stream.reusable

    def _move_to_end(self, connection: _Connection) -> None:
        """Keeps connections in least recently used order."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    async def _read_request(
        self, stream: stream_lib.ServerStream
    ) -> http.Request | None:
        try:
            return await stream.read_request()
        except stream_lib.RequestReadError as error:
            await stream.refuse(error.status, str(error))
            return None

    async def _handle(self, request: http.Request) -> http.Response:
        try:
            return await self._handler(request)
        except Exception:  # The peer gets a response to any failure.
            logs.error(
                "request:failed",
                method=request.method,
                target=request.target.partition("?")[0],
                traceback=traceback.format_exc(),
            )
            response = http.refusal(500, "internal error")
            response.headers.append((http.OUTCOME_HEADER, b"unknown"))
            return response


def _shut_down_reading(sock: Any) -> None:
    """Makes a connection read only the data that it has already received."""
    with contextlib.suppress(OSError):
        sock._socket.shutdown(std_socket.SHUT_RD)
