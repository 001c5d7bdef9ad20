"""One attempt of a request at one executor."""

import dataclasses

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import errors
from galenahook import web
from galenahook.callers import calls
from galenahook.upstreams import routing
from galenahook.upstreams import view as view_lib

SILENCE_FACTOR = 8
SILENCE_MIN_MS = 500
SILENCE_MAX_MS = defaults.ATTEMPT_TIMEOUT_MS // 4

_STATUS_SERVER_ERROR = 500


@dataclasses.dataclass(slots=True)
class Answered:
    """The executor's whole answer."""

    response: web.Response


@dataclasses.dataclass(slots=True)
class Unsent:
    """Nothing was sent, so the executor has certainly not run it."""

    reason: str


@dataclasses.dataclass(slots=True)
class Uncertain:
    """The executor may have run the request; there is no whole answer."""

    reason: str


Result = Answered | Unsent | Uncertain


class Attempter:
    """Sends requests to executors over pooled connections.

    Attributes:
      router: Slots, and what is learned of executors.
      pool: Connections.
    """

    def __init__(self, router: routing.Router, clock: clock_lib.Clock) -> None:
        self.router = router
        self.pool = router.pool
        self._clock = clock

    async def attempt(
        self, call: calls.Call, executor: view_lib.Executor
    ) -> Result:
        """Sends a request once, in a slot that it gives back or gives up."""
        started_ms = self._clock.monotonic_ms()
        end_ms = min(
            call.deadline_at_ms, started_ms + defaults.ATTEMPT_TIMEOUT_MS
        )
        try:
            connection = await self.pool.take(
                executor, call.repeatable, max(1, end_ms - started_ms)
            )
        except errors.ExchangeError as error:
            self.router.record_failure(executor)
            self.router.release(executor)
            return Unsent(str(error))
        except BaseException:
            self.router.release(executor)
            raise
        if not self.router.view.may_start():
            await self.pool.put(executor, connection)
            self.router.release(executor)
            return Unsent("the lease ended before the request was sent")
        had_run = call.may_have_run
        call.may_have_run = True
        try:
            response = await self._exchange(call, executor, connection, end_ms)
        except errors.ExchangeError as error:
            await self._give_up(executor, connection, error.sent)
            if error.sent:
                return Uncertain(str(error))
            call.may_have_run = had_run
            return Unsent(str(error))
        except BaseException:
            await self._give_up(executor, connection, sent=True)
            raise
        await self.pool.put(executor, connection)
        self.router.release(executor)
        self._learn(executor, response, started_ms)
        return Answered(response)

    async def _exchange(
        self,
        call: calls.Call,
        executor: view_lib.Executor,
        connection: web.ClientConnection,
        end_ms: int,
    ) -> web.Response:
        left_ms = max(1, end_ms - self._clock.monotonic_ms())
        await connection.send(calls.forwarded(call, left_ms), left_ms)
        silence_ms = min(self._silence_ms(executor), left_ms)
        if not await connection.wait_readable(silence_ms):
            await self._check_silent(call, executor, connection)
        left_ms = max(1, end_ms - self._clock.monotonic_ms())
        return await connection.receive(left_ms)

    def _silence_ms(self, executor: view_lib.Executor) -> float:
        service = executor.address.service
        latency_ms = self.router.typical_latency_ms(service)
        silence_ms = SILENCE_FACTOR * latency_ms
        return min(SILENCE_MAX_MS, max(SILENCE_MIN_MS, silence_ms))

    async def _check_silent(
        self,
        call: calls.Call,
        executor: view_lib.Executor,
        connection: web.ClientConnection,
    ) -> None:
        """Tries a new connection to tell a silent one from a dead upstream.

        Raises:
          errors.ExchangeError: The attempt should end here and the request,
            which is repeatable, be sent again.
        """
        try:
            fresh = await self.pool.open(executor, defaults.CONNECT_TIMEOUT_MS)
        except errors.ExchangeError as error:
            if call.repeatable:
                raise errors.ExchangeError(str(error), True) from error
            return
        await self.pool.close_idle(executor, connection.opened_ms + 1)
        await self.pool.put(executor, fresh)
        if call.repeatable and self.router.spend_retry(
            executor.address.service
        ):
            raise errors.ExchangeError(
                f"{connection.address}: connection went silent", True
            )

    async def _give_up(
        self,
        executor: view_lib.Executor,
        connection: web.ClientConnection,
        sent: bool,
    ) -> None:
        self.router.record_failure(executor)
        if sent:
            self.router.abandon(executor)
        else:
            self.router.release(executor)
        await self.pool.discard(executor, connection)

    def _learn(
        self,
        executor: view_lib.Executor,
        response: web.Response,
        started_ms: int,
    ) -> None:
        if response.status >= _STATUS_SERVER_ERROR:
            self.router.record_failure(executor)
            return
        latency_ms = self._clock.monotonic_ms() - started_ms
        self.router.record_answer(executor, latency_ms)
