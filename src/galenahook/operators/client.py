"""HTTP client of the operators' routes, for the command line."""

import secrets
from typing import TypeVar
import urllib.parse

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import findings as findings_lib
from galenahook import messages
from galenahook import web
from galenahook.operators import client_settings
from galenahook.operators import wire

READ_TIMEOUT_MS = 5_000
CHANGE_TIMEOUT_MS = 15_000

_ATTEMPT_TIMEOUT_MS = 3_000
_RETRY_DELAY_MS = 200
_CHANGE_NUMBER_BITS = 48

_ReplyT = TypeVar("_ReplyT")


class RefusedError(errors.GalenahookError):
    """A request was refused; a retry would not help.

    Attributes:
      status: HTTP status.
      findings: Faults of the input.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        findings: tuple[findings_lib.Finding, ...],
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.findings = findings


def new_change_number() -> int:
    """Returns a change number that no other change is likely to have."""
    return secrets.randbits(_CHANGE_NUMBER_BITS) + 1


class OperatorClient:
    """Sends an operator's requests to the first entry that responds.

    Attributes:
      access: Addresses of the entries and the operator's token.
    """

    def __init__(
        self, access: client_settings.Access, clock: clock_lib.Clock
    ) -> None:
        self.access = access
        self._clock = clock

    def for_entry(self, address: str) -> "OperatorClient":
        """Returns a client that uses only this entry."""
        access = client_settings.Access(
            entries=(address,), token=self.access.token
        )
        return OperatorClient(access, self._clock)

    async def get(
        self, target: str, reply_type: type[_ReplyT], **query: str
    ) -> _ReplyT:
        """Sends a GET request and decodes the reply.

        Raises:
          errors.NoQuorumError: No entry gave a final response in time.
          RefusedError: The request was refused.
        """
        text = urllib.parse.urlencode({k: v for k, v in query.items() if v})
        target = f"{target}?{text}" if text else target
        response = await self._send("GET", target, b"", b"", READ_TIMEOUT_MS)
        return _decode(response, reply_type, (200, 404))

    async def post(
        self,
        target: str,
        body: bytes,
        content_type: bytes,
        reply_type: type[_ReplyT],
    ) -> _ReplyT:
        """Sends a POST request and decodes the reply.

        Raises:
          errors.NoQuorumError: No entry gave a final response in time.
          RefusedError: The request was refused.
        """
        response = await self._send(
            "POST", target, body, content_type, CHANGE_TIMEOUT_MS
        )
        return _decode(response, reply_type, (200,))

    async def change(
        self, operator_change: wire.OperatorChange
    ) -> commands.ChangeResult:
        """Requests a change, resending it under its number until answered.

        Raises:
          errors.NoQuorumError: No final response in time; the change may have
            been accepted, or may still be. A resend with the same number
            returns its result.
          RefusedError: The request was refused.
        """
        response = await self._send(
            "POST",
            wire.CHANGES_TARGET,
            messages.encode(operator_change),
            b"application/json",
            CHANGE_TIMEOUT_MS,
        )
        result = _try_result(response)
        if result is not None:
            return result
        raise _refused_error(response)

    async def _send(
        self,
        method: str,
        target: str,
        body: bytes,
        content_type: bytes,
        timeout_ms: int,
    ) -> web.Response:
        """Sends to the entries in turn until one does not respond with 503."""
        headers = [
            (b"authorization", b"Bearer " + self.access.token.encode("ascii"))
        ]
        if content_type:
            headers.append((b"content-type", content_type))
        request = web.Request(method, target, headers, body)
        end_ms = self._clock.monotonic_ms() + timeout_ms
        failure = "no response"
        while True:
            for address in self.access.entries:
                try:
                    response = await _exchange(address, request)
                except errors.ExchangeError as error:
                    failure = str(error)
                    continue
                if response.status != 503:
                    return response
                failure = f"{address}: {_reason(response)}"
            if self._clock.monotonic_ms() >= end_ms:
                raise errors.NoQuorumError(failure)
            await curio.sleep(clock_lib.seconds(_RETRY_DELAY_MS))


async def _exchange(address: str, request: web.Request) -> web.Response:
    connection = await web.connect(address)
    response = await connection.exchange(request, _ATTEMPT_TIMEOUT_MS)
    await connection.close()
    return response


def _try_result(response: web.Response) -> commands.ChangeResult | None:
    try:
        return messages.decode(response.body, commands.ChangeResult)  # type: ignore[arg-type]
    except errors.InvalidInputError:
        return None


def _decode(
    response: web.Response, reply_type: type[_ReplyT], expected: tuple[int, ...]
) -> _ReplyT:
    if response.status in expected:
        try:
            return messages.decode(response.body, reply_type)
        except errors.InvalidInputError:
            pass
    raise _refused_error(response)


def _refused_error(response: web.Response) -> RefusedError:
    try:
        refusal = messages.decode(response.body, messages.Refusal)
    except errors.InvalidInputError:
        refusal = messages.Refusal(reason=f"status {response.status}")
    return RefusedError(response.status, refusal.reason, refusal.findings)


def _reason(response: web.Response) -> str:
    return str(_refused_error(response))
