"""Liveness and readiness checks for the platform's load balancer."""

from collections.abc import Callable

from galenahook import web


class Health:
    """Serves `/live` and `/ready`, the latter also under the platform's path.

    Attributes:
      is_ready: Returns whether the load balancer should route callers to this
        process.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def handle(self, request: web.Request) -> web.Response:
        """Handles one health check."""
        if request.method not in ("GET", "HEAD"):
            return web.refusal(405, "only GET and HEAD")
        match request.target.partition("?")[0]:
            case "/live":
                return web.Response(200)
            case "/ready" | "/galenahook/readiness":
                return web.Response(200 if self.is_ready() else 503)
            case _:
                return web.refusal(404, "no such route")
