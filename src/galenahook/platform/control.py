"""Listener of workers and operators, in the platform's protocol."""

from collections.abc import Awaitable
from collections.abc import Callable

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook import web
from galenahook.jobs import calls
from galenahook.platform import wire_site
from galenahook.platform import wire_workers

_PREFIX = "/galenahook/"
# A worker waits a second for its answer, an operator as long or longer.
HEARTBEAT_WAIT_MS = 800
OPERATOR_WAIT_MS = 900

Caller = Callable[[calls.JobCall, int], Awaitable[calls.JobReply]]


class ControlListener:
    """Translates requests of workers and operators into calls.

    Attributes:
      call: Takes a call to the leader, with the time to wait.
    """

    def __init__(self, call: Caller, clock: clock_lib.Clock) -> None:
        self.call = call
        self._clock = clock

    async def handle(self, request: web.Request) -> web.Response:
        """Answers one request."""
        path = request.target.partition("?")[0]
        if not path.startswith(_PREFIX):
            return web.refusal(404, f"no such route: {path}")
        parts = path.removeprefix(_PREFIX).split("/")
        try:
            call = self._call_of(request, parts)
        except errors.InvalidInputError as error:
            logs.warning(
                "control:invalid", target=path, reason=str(error)[:500]
            )
            return web.refusal(400, "invalid message", error.findings)
        if call is None:
            return web.refusal(404, f"no such route: {path}")
        is_heartbeat = isinstance(call, calls.WorkerHeartbeat)
        wait_ms = HEARTBEAT_WAIT_MS if is_heartbeat else OPERATOR_WAIT_MS
        try:
            reply = await self.call(call, wait_ms)
        except errors.GalenahookError as error:
            logs.warning(
                "control:unanswered", target=path, reason=str(error)[:500]
            )
            return web.refusal(503, str(error))
        if isinstance(call, calls.ReadSiteCall):
            return _site_response(reply)
        return web.Response(
            200, [(b"content-type", b"application/json")], b"{}"
        )

    def _call_of(
        self, request: web.Request, parts: list[str]
    ) -> calls.JobCall | None:
        match request.method, parts:
            case "POST", ["instances", worker, "heartbeat"]:
                return wire_workers.heartbeat(worker, request.body)
            case "POST", ["instances", worker, "deregister"]:
                return wire_workers.worker_left(worker, request.body)
            case "POST", ["config", "put"]:
                command = wire_site.site_command(
                    request.body, self._clock.wall_ms()
                )
                return calls.PutSiteCall(command=command)
            case "GET", ["config", "get"]:
                return calls.ReadSiteCall()
            case "POST", ["evacuate", zone, ("start" | "finish") as order]:
                return calls.ZoneCall(
                    availability_zone=zone, out=order == "start"
                )
        return None


def _site_response(reply: calls.JobReply) -> web.Response:
    if reply.outcome != "done":
        return web.refusal(503, "no configuration yet")
    return web.Response(
        200,
        [(b"content-type", b"application/json")],
        reply.document.encode("utf-8"),
    )
