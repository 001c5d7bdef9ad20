"""Liveness and readiness for the platform's balancer."""

from collections.abc import Callable

from galenahook import web


class Health:
    """Answers `/live` and `/ready`, by whichever name the balancer uses.

    Attributes:
      is_ready: Whether the balancer should send callers here.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def handle(self, request: web.Request) -> web.Response:
        """Answers one health check."""
        if request.method not in ("GET", "HEAD"):
            return web.refusal(405, "only GET and HEAD")
        match request.target.partition("?")[0]:
            case "/live":
                return web.Response(200)
            case "/ready" | "/galenahook/readiness":
                return web.Response(200 if self.is_ready() else 503)
            case _:
                return web.refusal(404, "no such route")
