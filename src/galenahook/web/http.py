"""HTTP messages, addresses and sockets, shared by client and server."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import socket as std_socket
from typing import Any

import curio

from galenahook import clock as clock_lib
from galenahook import findings as findings_lib
from galenahook import messages

RECEIVE_MAX_BYTES = 64 * 1024
JSON_HEADER = (b"content-type", b"application/json")
OUTCOME_HEADER = b"x-galenahook-outcome"
FRAMING_HEADERS = frozenset(
    (b"content-length", b"transfer-encoding", b"connection", b"keep-alive")
)

MAX_PORT = 65_535
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 10_000

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True)
class Request:
    """A complete HTTP request.

    Attributes:
      method: Method in upper case.
      target: Path and query string as sent.
      headers: Header fields in order, with names in lower case.
      body: Complete body.
      peer: Address of the client as `host:port`; empty for outgoing requests.
      is_abandoned: Returns whether the client has closed its side of the
        connection; always false for outgoing requests.
    """

    method: str
    target: str
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    peer: str = ""
    is_abandoned: Callable[[], bool] = lambda: False

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header (lower-case name), or `b""`."""
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header (lower-case name), or `b""`."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of a header (lower-case name), or `b""`."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def json_response(message: Any, status: int = 200) -> Response:
    """Returns a JSON response with a message."""
    return Response(status, [JSON_HEADER], messages.encode(message))


def refusal(
    status: int,
    reason: str,
    findings: Iterable[findings_lib.Finding] = (),
) -> Response:
    """Returns a JSON error response with a reason and findings."""
    message = messages.Refusal(reason=reason, findings=tuple(findings))
    return json_response(message, status)


def may_have_body(method: str, status: int) -> bool:
    """Returns whether a response to this method may have a body."""
    return method != "HEAD" and status >= 200 and status not in (204, 304)


def parse_address(address: str) -> tuple[str, int]:
    """Splits `host:port`.

    Raises:
      ValueError: The address is not of this form.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host:
        raise ValueError(f"expected host:port, got {address!r}")
    number = int(port)
    if not 0 <= number <= MAX_PORT:
        raise ValueError(
            f"port {number} of {address!r} is not in 0 to {MAX_PORT}"
        )
    return host, number


def listen(address: str) -> std_socket.socket:
    """Opens a listening socket; port 0 lets the kernel choose."""
    sock = std_socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_REUSEADDR, 1)
    sock.bind(parse_address(address))
    sock.listen(1024)
    return sock


def bound_address(sock: std_socket.socket) -> str:
    """Returns the address of a bound socket, as `host:port`."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def set_connection_options(sock: Any) -> None:
    """Disables Nagle's algorithm; lets the kernel detect dead peers."""
    tcp = std_socket.IPPROTO_TCP
    sock.setsockopt(tcp, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, std_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, std_socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


async def send_all(sock: Any, data: bytes, timeout_ms: float) -> None:
    """Sends all data.

    Raises:
      OSError: The connection failed.
      curio.TaskTimeout: Not all data could be sent in time.
    """
    try:
        sent = sock._socket_send(data)
    except BlockingIOError:
        sent = 0
    if sent == len(data):
        return
    async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
        await sock.sendall(data[sent:])
