"""HTTP client connection, which carries one exchange at a time."""

import contextlib
import socket as std_socket
import time
from typing import Any
from typing import NoReturn

import curio
import curio.socket
import curio.traps
import h11

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import errors
from galenahook.web import http


class ClientConnection:
    """A connection to a peer, which carries one exchange at a time.

    Attributes:
      address: The peer's `host:port`.
      reusable: Whether another exchange may follow on this connection.
      opened_ms: Monotonic time at which the connection was opened.
      ended_by_peer: Whether an exchange failed other than by a timeout, for
        example because the peer closed the connection.
      idle_ms: How long it was idle before the current exchange, None if it
        was not idle; set by the pool that it belongs to.
    """

    def __init__(self, address: str, sock: Any, opened_ms: int) -> None:
        self.address = address
        self.reusable = True
        self.opened_ms = opened_ms
        self.ended_by_peer = False
        self.idle_ms: int | None = None
        self._sock = sock
        self._response_started = False
        self._connection = h11.Connection(h11.CLIENT)
        self._method = ""

    async def exchange(
        self,
        request: http.Request,
        timeout_ms: float,
        max_response_bytes: int = defaults.MAX_RESPONSE_BYTES,
    ) -> http.Response:
        """Sends a request and reads the complete response.

        Raises:
          errors.ExchangeError: No complete response arrived in time. The
            connection is closed.
        """
        deadline_ms = time.monotonic() * 1000 + timeout_ms
        await self.send(request, timeout_ms)
        remaining_ms = deadline_ms - time.monotonic() * 1000
        return await self.receive(remaining_ms, max_response_bytes)

    async def send(self, request: http.Request, timeout_ms: float) -> None:
        """Sends a request; its response must be read with `receive`.

        Raises:
          errors.ExchangeError: The request was not sent completely. The
            connection is closed.
        """
        self.reusable = False
        self._response_started = False
        sent = False
        try:
            data = self._encode(request)
            sent = True
            await http.send_all(self._sock, data, timeout_ms)
        except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
            await self._fail(error, sent)
        except BaseException:
            await self.close()
            raise

    async def receive(
        self,
        timeout_ms: float,
        max_response_bytes: int = defaults.MAX_RESPONSE_BYTES,
    ) -> http.Response:
        """Reads the complete response to the request sent last.

        Raises:
          errors.ExchangeError: No complete response arrived in time. The
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

    @property
    def closed_while_idle(self) -> bool:
        """Whether the peer may have closed it before the request arrived.

        So it is if a connection that was idle ended without any byte of a
        response.
        """
        return (
            self.ended_by_peer
            and self.idle_ms is not None
            and not self._response_started
        )

    async def _fail(self, error: BaseException, sent: bool) -> NoReturn:
        self.ended_by_peer = not isinstance(error, curio.TaskTimeout)
        await self.close()
        raise errors.ExchangeError(
            f"{self.address}: {type(error).__name__}: {error}", sent
        ) from error

    def _encode(self, request: http.Request) -> bytes:
        headers = [
            (name, value)
            for name, value in request.headers
            if name not in http.FRAMING_HEADERS and name != b"host"
        ]
        self._method = request.method
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

    async def _read_response(self, max_bytes: int) -> http.Response:
        head: h11.Response | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                data = await self._sock.recv(http.RECEIVE_MAX_BYTES)
                self._response_started |= bool(data)
                self._connection.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
                self._check_framing(head)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_bytes:
                    raise h11.RemoteProtocolError("response body too large")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return http.Response(
                    head.status_code, list(head.headers), b"".join(parts)
                )
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before the response")

    def _check_framing(self, head: h11.Response) -> None:
        """Rejects a body delimited by connection close: it may be truncated."""
        if not http.may_have_body(self._method, head.status_code):
            return
        headers = list(head.headers)
        length = http.find_header(headers, b"content-length")
        transfer_encoding = http.find_header(headers, b"transfer-encoding")
        if not length and not transfer_encoding:
            raise h11.RemoteProtocolError("response body without its length")

    async def _finish_cycle(self) -> None:
        connection = self._connection
        complete = (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
            and not connection.trailing_data[0]
        )
        if complete:
            connection.start_next_cycle()
            self.reusable = True
        else:
            await self.close()

    def is_open_and_idle(self) -> bool:
        """Returns whether the connection is open without unread data."""
        try:
            flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
            self._sock._socket_recv(1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def wait_readable(self, timeout_ms: float) -> bool:
        """Waits until the socket is readable; returns False on a timeout."""
        try:
            async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
                await curio.traps._read_wait(self._sock._fileno)
        except curio.TaskTimeout:
            return False
        return True

    async def close(self) -> None:
        """Closes the connection, which can't be reused."""
        self.reusable = False
        with contextlib.suppress(OSError):
            await self._sock.close()


async def _open_socket(host: str, port: int) -> Any:
    """Opens a TCP connection.

    Only a host name is resolved. `curio` does that in a thread, which may have
    to wait for other threads, even if the host is an IP address.
    """
    if not _is_ip_address(host):
        return await curio.open_connection(host, port)
    sock = curio.socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    return sock


def _is_ip_address(host: str) -> bool:
    try:
        std_socket.inet_pton(std_socket.AF_INET, host)
    except OSError:
        return False
    return True


async def connect(
    address: str,
    timeout_ms: int = defaults.CONNECT_TIMEOUT_MS,
    clock: clock_lib.Clock | None = None,
) -> ClientConnection:
    """Opens a connection to a peer.

    Raises:
      errors.ExchangeError: It could not be opened; no request was sent.
    """
    clock = clock or clock_lib.Clock()
    try:
        async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
            sock = await _open_socket(*http.parse_address(address))
    except (OSError, ValueError, curio.TaskTimeout) as error:
        raise errors.ExchangeError(f"{address}: {error!r}", False) from error
    http.set_connection_options(sock)
    return ClientConnection(address, sock, clock.monotonic_ms())
