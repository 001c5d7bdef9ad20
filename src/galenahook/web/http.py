"""HTTP messages, addresses and sockets that both sides share."""

from collections.abc import Iterable
import dataclasses
import socket as std_socket
from typing import Any

import curio

from galenahook import clock as clock_lib
from galenahook import findings as findings_lib
from galenahook import messages

READ_BYTES = 64 * 1024
JSON_HEADER = (b"content-type", b"application/json")
OUTCOME_HEADER = b"x-galenahook-outcome"
FRAMING_HEADERS = frozenset(
    (b"content-length", b"transfer-encoding", b"connection", b"keep-alive")
)

KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MAX_MS = 10_000

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
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class Response:
    """A whole HTTP response."""

    status: int
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes:
        """Returns the first header of that lower-case name, or `b""`."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes:
    """Returns the first header of that lower-case name, or `b""`."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def json_response(message: Any, status: int = 200) -> Response:
    """Builds a JSON response from a message."""
    return Response(status, [JSON_HEADER], messages.encode(message))


def refusal(
    status: int,
    reason: str,
    findings: Iterable[findings_lib.Finding] = (),
) -> Response:
    """Builds a response that refuses a request with a reason."""
    message = messages.Refusal(reason=reason, findings=tuple(findings))
    return json_response(message, status)


def may_have_body(method: str, status: int) -> bool:
    """Whether a response to a request of that method may have a body."""
    return method != "HEAD" and status >= 200 and status not in (204, 304)


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


def set_connection_options(sock: Any) -> None:
    """Sends without delay, and ends connections whose peer is gone."""
    tcp = std_socket.IPPROTO_TCP
    sock.setsockopt(tcp, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, std_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, std_socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS)


async def send_all(sock: Any, data: bytes, timeout_ms: float) -> None:
    """Sends all of the data.

    Raises:
      OSError: The connection failed.
      curio.TaskTimeout: Not all could be sent in time.
    """
    try:
        sent = sock._socket_send(data)
    except BlockingIOError:
        sent = 0
    if sent == len(data):
        return
    async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
        await sock.sendall(data[sent:])
