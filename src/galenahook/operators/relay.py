"""Authenticates operators at an entry and relays requests to the leader."""

from collections.abc import Callable
import secrets
from typing import Protocol
import urllib.parse

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook import secrets_files
from galenahook import web
from galenahook.operators import wire

# An operator gets a response, or "no quorum", within this time; a request
# with a large body gets more.
RESPONSE_TIMEOUT_MS = 950
BODY_BYTES_PER_MS = 10_000

_ATTEMPT_TIMEOUT_MS = 450
_RETRY_DELAY_MS = 50
_REQUEST_ID_BYTES = 8
_BEARER_PREFIX = b"bearer "

_FORWARDED_HEADERS = (b"content-type",)

_ROUTES = frozenset(
    (
        ("POST", wire.CHANGES_TARGET),
        ("POST", wire.SHEET_CHECK_TARGET),
        ("POST", wire.SHEET_DIFF_TARGET),
        ("GET", wire.STATUS_TARGET),
        ("GET", wire.EXPLAIN_TARGET),
        ("GET", wire.JOBS_TARGET),
        ("GET", wire.AUDIT_TARGET),
        ("GET", wire.REVISION_TARGET),
        ("POST", wire.REPLICAS_TARGET),
    )
)


class Leader(Protocol):
    """The part of `leader_client.LeaderClient` that the relay uses."""

    async def send(self, request: web.Request, timeout_ms: int) -> web.Response:
        """Sends one request to the leader and returns its response."""


class OperatorRelay:
    """Handles operators' requests at an entry.

    Attributes:
      tokens: Token of each operator.
    """

    def __init__(
        self,
        leader: Leader,
        tokens_file: str,
        clock: clock_lib.Clock,
        explain_request: Callable[[str], tuple[str, ...]] | None = None,
    ) -> None:
        """Reads the operators' tokens.

        Args:
          leader: Sends requests to the leader.
          tokens_file: JSON object of tokens by operator.
          clock: Clock of the process.
          explain_request: Returns why this entry refused a caller's request,
            by its identifier; empty if it doesn't know the request.

        Raises:
          errors.InvalidInputError: The token file has faults.
        """
        loaded = secrets_files.load_operator_tokens(tokens_file)
        if loaded.is_error():
            raise errors.InvalidInputError(loaded.error)
        self.tokens = loaded.ok
        self._leader = leader
        self._explain_request = explain_request
        self._clock = clock

    async def handle(self, request: web.Request) -> web.Response:
        """Authenticates an operator and relays the request to the leader."""
        operator = self.tokens.find_operator(_bearer_token(request))
        if not operator:
            return web.refusal(401, "unknown operator: bearer token required")
        path, _, query = request.target.partition("?")
        if (request.method, path) not in _ROUTES:
            return web.refusal(404, "no such route")
        if path == wire.EXPLAIN_TARGET and query.startswith("request="):
            return self._explain(query)
        identifier = secrets.token_hex(_REQUEST_ID_BYTES)
        relayed = web.Request(
            request.method,
            _leader_target(path, query),
            _relayed_headers(request, operator, identifier),
            request.body,
        )
        response = await self._send(relayed, request.is_abandoned)
        logs.info(
            "operator:answered",
            request=identifier,
            operator=operator,
            method=request.method,
            path=path,
            status=response.status,
        )
        return response

    def _explain(self, query: str) -> web.Response:
        """Explains a caller's request; only the entry that handled it can."""
        identifier = urllib.parse.unquote(query.removeprefix("request="))
        lines: tuple[str, ...] = ()
        if self._explain_request is not None:
            lines = self._explain_request(identifier)
        explanation = wire.Explanation(
            subject=f"request {identifier}",
            known=bool(lines),
            lines=lines
            or ("not among the requests that this entry refused recently",),
        )
        return web.json_response(explanation, 200 if lines else 404)

    async def _send(
        self, request: web.Request, is_abandoned: Callable[[], bool]
    ) -> web.Response:
        """Sends a request until the leader gives a response other than 503.

        This is safe, since every request of an operator is idempotent. One
        whose operator has closed the connection is not sent: it may have lain
        in the socket while this process was frozen, and its operator may have
        given the opposite order since.
        """
        extra_ms = len(request.body) // BODY_BYTES_PER_MS
        end_ms = self._clock.monotonic_ms() + RESPONSE_TIMEOUT_MS + extra_ms
        headers = request.headers
        refused: web.Response | None = None
        while (left_ms := end_ms - self._clock.monotonic_ms()) > 0:
            if is_abandoned():
                return web.refusal(503, "the operator no longer waits")
            request.headers = list(headers)
            attempt_ms = min(left_ms, _ATTEMPT_TIMEOUT_MS + extra_ms)
            try:
                response = await self._leader.send(request, attempt_ms)
                if response.status != 503:
                    return response
                refused = response
            except (errors.NoQuorumError, errors.ExchangeError):
                pass
            delay_ms = min(_RETRY_DELAY_MS, left_ms)
            await curio.sleep(clock_lib.seconds(delay_ms))
        return refused or web.refusal(503, "no quorum")


def _bearer_token(request: web.Request) -> bytes:
    value = request.header(b"authorization")
    if value[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return b""
    return value[len(_BEARER_PREFIX) :].strip()


def _leader_target(path: str, query: str) -> str:
    target = wire.LEADER_PREFIX + path.removeprefix("/v1")
    return f"{target}?{query}" if query else target


def _relayed_headers(
    request: web.Request, operator: str, identifier: str
) -> web.Headers:
    headers = [
        (name, value)
        for name, value in request.headers
        if name in _FORWARDED_HEADERS
    ]
    headers.append((wire.OPERATOR_HEADER, operator.encode("utf-8")))
    headers.append((wire.REQUEST_HEADER, identifier.encode("ascii")))
    return headers
