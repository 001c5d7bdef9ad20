"""A caller's request: validation of its headers, routing and forwarding."""

import dataclasses

import expression

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import messages
from galenahook import web

REPEATABLE_HEADER = b"x-galenahook-repeatable"
KEY_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"x-galenahook-deadline-ms"
REQUEST_HEADER = b"x-galenahook-request"
OUTCOME_HEADER = b"x-galenahook-outcome"

MAX_KEY_BYTES = 256
MAX_DEADLINE_MS = 600_000

_DEADLINE_DIGITS = 9
_NOT_FORWARDED = frozenset(
    (
        b"connection",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        REQUEST_HEADER,
        OUTCOME_HEADER,
        DEADLINE_HEADER,
    )
)


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request in progress.

    Attributes:
      identifier: Identifier in the logs.
      request: The HTTP request.
      repeatable: Whether it may run more than once.
      key: Idempotency key, or an empty string.
      arrived_ms: Monotonic time of its arrival.
      deadline_at_ms: Monotonic time after which a response is of no use.
      may_have_run: Whether an executor may have run it.
    """

    identifier: str
    request: web.Request
    repeatable: bool
    key: str
    arrived_ms: int
    deadline_at_ms: int
    may_have_run: bool = False


def parse(
    request: web.Request, identifier: str, clock: clock_lib.Clock
) -> expression.Result[Call, str]:
    """Validates the headers of a request; the error is for the caller."""
    if request.method == "CONNECT":
        return expression.Error("CONNECT is not served")
    repeatable = request.header(REPEATABLE_HEADER).lower()
    if repeatable not in (b"", b"yes", b"no"):
        return expression.Error("x-galenahook-repeatable: expected yes or no")
    key = request.header(KEY_HEADER)
    if len(key) > MAX_KEY_BYTES:
        return expression.Error(f"idempotency-key: over {MAX_KEY_BYTES} bytes")
    deadline = request.header(DEADLINE_HEADER)
    if not _is_valid_deadline(deadline):
        return expression.Error(
            "x-galenahook-deadline-ms: expected 1 to"
            f" {MAX_DEADLINE_MS} milliseconds"
        )
    arrived_ms = clock.monotonic_ms()
    deadline_ms = int(deadline) if deadline else defaults.REQUEST_DEADLINE_MS
    return expression.Ok(
        Call(
            identifier=identifier,
            request=request,
            repeatable=repeatable == b"yes",
            key=key.decode("latin-1"),
            arrived_ms=arrived_ms,
            deadline_at_ms=arrived_ms + deadline_ms,
        )
    )


def _is_valid_deadline(text: bytes) -> bool:
    if not text:
        return True
    if not text.isdigit() or len(text) > _DEADLINE_DIGITS:
        return False
    return 1 <= int(text) <= MAX_DEADLINE_MS


def find_route(
    target: str, routes: tuple[messages.ServiceRoute, ...]
) -> messages.ServiceRoute | None:
    """Returns the route with the longest prefix of the target's path."""
    path = target.partition("?")[0]
    matching = [route for route in routes if _is_under(path, route.route)]
    return max(matching, key=lambda route: len(route.route), default=None)


def _is_under(path: str, prefix: str) -> bool:
    prefix = prefix.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")


def forwarded(call: Call, remaining_ms: int) -> web.Request:
    """Builds the request that is forwarded to an executor."""
    request = call.request
    headers = end_to_end(request.headers)
    headers.append((REQUEST_HEADER, call.identifier.encode("ascii")))
    headers.append((DEADLINE_HEADER, str(remaining_ms).encode("ascii")))
    return web.Request(request.method, request.target, headers, request.body)


def end_to_end(headers: web.Headers) -> web.Headers:
    """Returns the end-to-end headers, which are forwarded, in order."""
    hop_by_hop = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for name in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in _NOT_FORWARDED and key.lower() not in hop_by_hop
    ]
