"""Listener for workers and operators, in the platform's protocol."""

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook import web
from galenahook.jobs import calls
from galenahook.jobs import zone_orders
from galenahook.platform import wire
from galenahook.platform import wire_site
from galenahook.platform import wire_workers

_PREFIX = "/galenahook/"
# Workers wait 1 second for a response, operators at least as long.
HEARTBEAT_TIMEOUT_MS = 800
OPERATOR_TIMEOUT_MS = 900


class ControlListener:
    """Translates requests of workers and operators into calls to the leader.

    Attributes:
      call_leader: Sends a call to the leader and returns its reply within a
        timeout in milliseconds.
    """

    def __init__(
        self, call_leader: zone_orders.LeaderCall, clock: clock_lib.Clock
    ) -> None:
        self.call_leader = call_leader
        self._clock = clock

    async def handle(self, request: web.Request) -> web.Response:
        """Handles one request."""
        path = request.target.partition("?")[0]
        if not path.startswith(_PREFIX):
            return web.refusal(404, f"no such route: {path}")
        segments = path.removeprefix(_PREFIX).split("/")
        try:
            call = self._parse_call(request, segments)
        except errors.InvalidInputError as error:
            logs.warning(
                "control:invalid", target=path, reason=str(error)[:500]
            )
            return web.refusal(400, "invalid message", error.findings)
        if call is None:
            return web.refusal(404, f"no such route: {path}")
        try:
            reply = await self._send(call, request)
        except errors.GalenahookError as error:
            logs.warning(
                "control:unanswered", target=path, reason=str(error)[:500]
            )
            response = web.refusal(503, str(error))
            if isinstance(error, errors.OverloadedError):
                response.headers.append(wire.RETRY_AFTER)
            return response
        if isinstance(call, calls.ReadSiteCall):
            return _site_response(reply)
        return web.Response(
            200, [(b"content-type", b"application/json")], b"{}"
        )

    async def _send(
        self, call: calls.JobCall, request: web.Request
    ) -> calls.JobReply:
        match call:
            case calls.WorkerHeartbeat():
                return await self.call_leader(call, HEARTBEAT_TIMEOUT_MS)
            case calls.ZoneCall():
                return await zone_orders.carry_out(
                    call,
                    self.call_leader,
                    request.is_abandoned,
                    self._clock,
                    OPERATOR_TIMEOUT_MS,
                )
            case _:
                return await self.call_leader(call, OPERATOR_TIMEOUT_MS)

    def _parse_call(
        self, request: web.Request, segments: list[str]
    ) -> calls.JobCall | None:
        match request.method, segments:
            case "POST", ["instances", worker, "heartbeat"]:
                return wire_workers.decode_heartbeat(worker, request.body)
            case "POST", ["instances", worker, "deregister"]:
                return wire_workers.decode_deregistration(worker, request.body)
            case "POST", ["config", "put"]:
                command = wire_site.decode_site(
                    request.body, self._clock.wall_ms()
                )
                return calls.PutSiteCall(command=command)
            case "GET", ["config", "get"]:
                return calls.ReadSiteCall()
            case "POST", ["evacuate", zone, ("start" | "finish") as action]:
                return calls.ZoneCall(
                    availability_zone=zone, out=action == "start"
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
