"""A fake caller: single requests, and open-loop load over several entries."""

import dataclasses
import itertools
import random

import curio
import msgspec

from fakes import executor as executor_lib
from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import web

TIMEOUT_MS = 35_000
OUTCOME_HEADER = b"x-galenahook-outcome"


@dataclasses.dataclass(slots=True)
class Result:
    """What a caller observed of one request.

    Attributes:
      request: Identifier chosen by the caller, sent as `x-request-id`.
      status: Status, 0 without a complete response.
      outcome: The outcome header; `none` without a complete response.
      latency_ms: Time from `sent_ms` to the response or error.
      sent_ms: Monotonic time at which it was due to be sent.
      wrong: The response is not that to this request.
      body: Body of the response, or the error without one.
      key: Idempotency key, or an empty string.
    """

    request: str
    status: int = 0
    outcome: str = "none"
    latency_ms: float = 0.0
    sent_ms: int = 0
    wrong: bool = False
    body: bytes = b""
    key: str = ""


@dataclasses.dataclass(slots=True)
class Tally:
    """Results of a load.

    Attributes:
      results: Every request sent.
    """

    results: list[Result] = dataclasses.field(default_factory=list)

    def count(self, outcome: str) -> int:
        """Returns the number of requests with this outcome."""
        return sum(result.outcome == outcome for result in self.results)

    def wrong(self) -> list[Result]:
        """Returns the requests with a partial or another request's response."""
        return [result for result in self.results if result.wrong]

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the latency of answered requests."""
        latencies = sorted(
            result.latency_ms
            for result in self.results
            if result.outcome == "answered"
        )
        if not latencies:
            return 0.0
        index = min(len(latencies) - 1, int(len(latencies) * percent / 100))
        return latencies[index]


class FakeCaller:
    """Sends requests to entries and checks the responses.

    Attributes:
      entries: Address of each entry's `callers` listener.
      tally: Results so far.
    """

    def __init__(
        self,
        entries: list[str],
        *,
        name: str = "caller",
        weights: list[float] | None = None,
        seed: int = 0,
    ) -> None:
        self.entries = entries
        self.name = name
        self.weights = weights or [1.0] * len(entries)
        self.tally = Tally()
        self._clock = clock_lib.Clock()
        self._random = random.Random(seed)
        self._sequence = itertools.count(1)
        self._idle: dict[str, list[web.ClientConnection]] = {}

    async def send(
        self,
        target: str,
        *,
        method: str = "GET",
        entry: int | None = None,
        body: bytes = b"",
        key: str = "",
        repeatable: bool = False,
        deadline_ms: int = 0,
        due_ms: int = 0,
        timeout_ms: int = TIMEOUT_MS,
    ) -> Result:
        """Sends one request and records its result."""
        identifier = f"{self.name}-{next(self._sequence)}"
        headers = [(b"x-request-id", identifier.encode("ascii"))]
        if key:
            headers.append((b"idempotency-key", key.encode("ascii")))
        if repeatable:
            headers.append((b"x-galenahook-repeatable", b"yes"))
        if deadline_ms:
            value = str(deadline_ms).encode("ascii")
            headers.append((b"x-galenahook-deadline-ms", value))
        request = web.Request(method, target, headers, body)
        result = Result(request=identifier, key=key)
        result.sent_ms = due_ms or self._clock.monotonic_ms()
        self.tally.results.append(result)
        address = self._choose(entry)
        try:
            response = await self._exchange(address, request, timeout_ms)
            _check_response(result, request, response)
        except errors.ExchangeError as error:
            result.body = str(error).encode("utf-8")
        result.latency_ms = self._clock.monotonic_ms() - result.sent_ms
        return result

    def _choose(self, entry: int | None) -> str:
        if entry is not None:
            return self.entries[entry]
        return self._random.choices(self.entries, self.weights)[0]

    async def _exchange(
        self, address: str, request: web.Request, timeout_ms: int
    ) -> web.Response:
        idle = self._idle.setdefault(address, [])
        connection = idle.pop() if idle else await web.connect(address)
        response = await connection.exchange(request, timeout_ms)
        if connection.reusable:
            idle.append(connection)
        return response

    async def load(
        self,
        target: str,
        *,
        rate: float,
        duration_ms: int,
        deadline_ms: int = 0,
        repeatable: bool = True,
        method: str = "GET",
    ) -> Tally:
        """Sends requests as a Poisson process, whatever the responses.

        Args:
          target: Path of the requests.
          rate: Mean number of requests a second.
          duration_ms: Time during which new requests are sent.
          deadline_ms: Deadline of each request, 0 for none.
          repeatable: Whether requests are marked as repeatable.
          method: Method of the requests.
        """
        start_ms = self._clock.monotonic_ms()
        due_ms = float(start_ms)
        async with curio.TaskGroup() as group:
            while due_ms < start_ms + duration_ms:
                wait_ms = due_ms - self._clock.monotonic_ms()
                if wait_ms > 0:
                    await curio.sleep(clock_lib.seconds(wait_ms))
                await group.spawn(
                    self._send_due,
                    target,
                    method,
                    int(due_ms),
                    deadline_ms,
                    repeatable,
                )
                due_ms += self._random.expovariate(rate) * 1000
        return self.tally

    async def _send_due(
        self,
        target: str,
        method: str,
        due_ms: int,
        deadline_ms: int,
        repeatable: bool,
    ) -> None:
        await self.send(
            target,
            method=method,
            due_ms=due_ms,
            deadline_ms=deadline_ms,
            repeatable=repeatable,
        )

    async def close(self) -> None:
        """Closes the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.close()
        self._idle.clear()


def _check_response(
    result: Result, request: web.Request, response: web.Response
) -> None:
    result.status = response.status
    result.body = response.body
    outcome = response.header(OUTCOME_HEADER).decode("latin-1")
    result.outcome = outcome or "missing"
    if outcome != "answered" or request.method == "HEAD":
        return
    try:
        response_body = msgspec.json.decode(
            response.body, type=executor_lib.ResponseBody
        )
    except msgspec.MsgspecError:
        result.wrong = True
        return
    result.wrong = (
        response_body.request != result.request
        or response_body.target != request.target
        or response_body.body.encode("latin-1") != request.body
    )
