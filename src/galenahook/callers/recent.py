"""Recent requests: rate-limited log lines, and explanations of refusals."""

from collections import OrderedDict
import dataclasses

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook import messages
from galenahook import web

MAX_UNANSWERED = 2_000
MAX_LINES_PER_SECOND = 200

_SECOND_MS = 1_000
_MAX_TARGET_CHARS = 200
_ANSWERED = "answered"


@dataclasses.dataclass(slots=True, frozen=True)
class Unanswered:
    """A request that was refused, or whose outcome is unknown.

    Attributes:
      at_ms: Wall time of the response.
      method: Method of the request.
      target: Path and query, truncated.
      status: Status of the response.
      outcome: `not-run` or `unknown`.
      elapsed_ms: Time from the request to the response.
      body: Body of the response, which contains the reason.
    """

    at_ms: int
    method: str
    target: str
    status: int
    outcome: str
    elapsed_ms: int
    body: bytes

    def reason(self) -> str:
        """Returns the reason in the response, or an empty string."""
        try:
            return messages.decode(self.body, messages.Refusal).reason
        except errors.InvalidInputError:
            return ""


class RecentRequests:
    """Requests that an entry handled recently.

    Attributes:
      unanswered: Requests not answered by an executor, oldest first.
      unlogged_count: Number of requests not logged because of the rate limit.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.unanswered: OrderedDict[str, Unanswered] = OrderedDict()
        self.unlogged_count = 0
        self._clock = clock
        self._second = -1
        self._lines = 0

    def record(
        self,
        identifier: str,
        request: web.Request,
        response: web.Response,
        outcome: str,
        elapsed_ms: int,
    ) -> None:
        """Records and logs a request after its response."""
        target = request.target[:_MAX_TARGET_CHARS]
        if outcome != _ANSWERED:
            self.unanswered[identifier] = Unanswered(
                at_ms=self._clock.wall_ms(),
                method=request.method,
                target=target,
                status=response.status,
                outcome=outcome,
                elapsed_ms=elapsed_ms,
                body=response.body,
            )
            if len(self.unanswered) > MAX_UNANSWERED:
                self.unanswered.popitem(last=False)
        if self._may_log():
            logs.info(
                "caller:answered",
                request=identifier,
                method=request.method,
                target=target,
                status=response.status,
                outcome=outcome,
                elapsed_ms=elapsed_ms,
            )

    def _may_log(self) -> bool:
        second = self._clock.monotonic_ms() // _SECOND_MS
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            self.unlogged_count += 1
            return False
        return True

    def explain(self, identifier: str) -> tuple[str, ...]:
        """Returns why a request was not answered; empty if it is unknown."""
        found = self.unanswered.get(identifier)
        if found is None:
            return ()
        at = clock_lib.iso_from_wall_ms(found.at_ms)
        return (
            f"{found.method} {found.target}: {found.outcome}, status"
            f" {found.status} after {found.elapsed_ms} ms, at {at}",
            found.reason() or "no reason given",
        )
