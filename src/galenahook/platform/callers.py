"""Listener for callers: the platform's HTTP requests for jobs and queues."""

import msgspec

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import job_metrics
from galenahook import logs
from galenahook import web
from galenahook.jobs import calls
from galenahook.jobs import gateway as gateway_lib
from galenahook.platform import wire

# Used for a request without a valid `x-deadline-ms` header.
DEFAULT_TIMEOUT_MS = 3_000
MAX_TIMEOUT_DIGITS = 9
# Part of the timeout reserved for sending the response to the caller.
RESPONSE_MARGIN_MS = 60

_STATUS_BY_OUTCOME = {
    "stored": 200,
    "cancelled": 200,
    "state": 200,
    "queue": 200,
    "done": 200,
    "no-queue": 404,
    "no-configuration": 503,
    "unknown-job": 410,
    "invalid": 400,
    "overloaded": 429,
}


class CallerListener:
    """Translates callers' requests into calls to the leader.

    Attributes:
      response_deadline_ms: Monotonic time by which every request must be
        answered; None unless a planned stop has begun.
    """

    def __init__(
        self,
        gateway: gateway_lib.Gateway,
        clock: clock_lib.Clock,
        metrics: job_metrics.JobMetrics,
        availability_zone: str,
    ) -> None:
        self.response_deadline_ms: int | None = None
        self._gateway = gateway
        self._clock = clock
        self._metrics = metrics
        self._availability_zone = availability_zone

    async def handle(self, request: web.Request) -> web.Response:
        """Handles one request of a caller."""
        started_ms = self._clock.monotonic_ms()
        response = await self._respond(request)
        seconds = clock_lib.seconds(self._clock.monotonic_ms() - started_ms)
        self._metrics.record_request(request.method, response.status, seconds)
        return response

    async def _respond(self, request: web.Request) -> web.Response:
        call = self._parse_call(request)
        if isinstance(call, web.Response):
            return call
        try:
            reply = await self._gateway.call(call, self._timeout_ms(request))
        except gateway_lib.UnansweredError as error:
            status = 504 if error.may_have_run else 503
            reply = calls.JobReply(outcome="unanswered", reason=str(error))
        else:
            status = _STATUS_BY_OUTCOME.get(reply.outcome, 500)
        if status >= 400:
            logs.warning(
                "caller:refused",
                request=request.target.rpartition("/")[2],
                method=request.method,
                target=request.target,
                status=status,
                outcome=reply.outcome,
                reason=reply.reason,
            )
        return _response(status, reply)

    def _timeout_ms(self, request: web.Request) -> int:
        text = request.header(b"x-deadline-ms")
        is_valid = text.isdigit() and len(text) <= MAX_TIMEOUT_DIGITS
        timeout_ms = int(text) if is_valid else DEFAULT_TIMEOUT_MS
        timeout_ms -= RESPONSE_MARGIN_MS
        if self.response_deadline_ms is not None:
            timeout_ms = min(
                timeout_ms,
                self.response_deadline_ms - self._clock.monotonic_ms(),
            )
        return max(0, timeout_ms)

    def _parse_call(self, request: web.Request) -> calls.JobCall | web.Response:
        host = request.header(b"host").decode("latin-1").partition(":")[0]
        path = request.target.partition("?")[0]
        match request.method:
            case "GET":
                return calls.JobStateCall(host=host, path=path)
            case "DELETE":
                return calls.CancelJobCall(host=host, path=path)
            case "POST":
                try:
                    order = wire.decode_job(request.body)
                except errors.InvalidInputError as error:
                    return web.refusal(400, "invalid job", error.findings)
                return calls.SubmitJobCall(
                    host=host,
                    path=path,
                    order=order,
                    availability_zone=self._availability_zone,
                )
        return web.refusal(405, "expected GET, POST or DELETE")


def _response(status: int, reply: calls.JobReply) -> web.Response:
    body: dict[str, object] = {}
    if reply.outcome == "state":
        body["state"] = reply.state
    elif reply.outcome == "queue":
        body["pending"] = reply.pending
    elif reply.reason:
        body["reason"] = reply.reason
    headers = [(b"content-type", b"application/json")]
    if status in (429, 503):
        headers.append(wire.RETRY_AFTER)
    return web.Response(status, headers, msgspec.json.encode(body))
