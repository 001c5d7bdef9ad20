"""One attempt of a request at one executor."""

import dataclasses

import curio

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
        """Sends a request once.

        The slot is given back when the executor has surely ended the request,
        which may be after this returns.
        """
        started_ms = self._clock.monotonic_ms()
        end_ms = started_ms + defaults.ATTEMPT_TIMEOUT_MS
        try:
            connection = await self._connect(call, executor)
        except errors.ExchangeError as error:
            return Unsent(str(error))
        if not self.router.view.may_start():
            await self.pool.put(executor, connection)
            self.router.release(executor)
            return Unsent("the lease ended before the request was sent")
        had_run = call.may_have_run
        call.may_have_run = True
        try:
            uncertain = await self._send_and_wait(call, executor, connection)
            if uncertain is not None:
                await curio.spawn(
                    self._finish_late,
                    executor,
                    connection,
                    started_ms,
                    daemon=True,
                )
                return uncertain
            response = await connection.receive(self._left_ms(end_ms))
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

    def _left_ms(self, end_ms: int) -> int:
        return max(1, end_ms - self._clock.monotonic_ms())

    async def _connect(
        self, call: calls.Call, executor: view_lib.Executor
    ) -> web.ClientConnection:
        """Takes a connection, or frees the slot.

        Raises:
          errors.ExchangeError: There is none; nothing was sent.
        """
        try:
            return await self.pool.take(
                executor, call.repeatable, self._left_ms(call.deadline_at_ms)
            )
        except errors.ConnectionLimitError:
            self.router.release(executor)
            raise
        except errors.ExchangeError:
            self.router.record_failure(executor)
            self.router.release(executor)
            raise
        except BaseException:
            self.router.release(executor)
            raise

    async def _send_and_wait(
        self,
        call: calls.Call,
        executor: view_lib.Executor,
        connection: web.ClientConnection,
    ) -> Uncertain | None:
        """Sends a request and waits for the first bytes of its answer.

        Returns:
          Why waiting any longer is of no use, or None when bytes came.
        """
        left_ms = self._left_ms(call.deadline_at_ms)
        await connection.send(calls.forwarded(call, left_ms), left_ms)
        silence_ms = self._silence_ms(executor)
        if await connection.wait_readable(min(silence_ms, left_ms)):
            return None
        if silence_ms < left_ms:
            self.router.record_failure(executor)
            if await self._is_silent(call, executor, connection):
                return Uncertain(f"{connection.address}: no answer")
            left_ms = self._left_ms(call.deadline_at_ms)
            left_ms = min(left_ms, defaults.ATTEMPT_TIMEOUT_MS)
            if await connection.wait_readable(left_ms):
                return None
        return Uncertain(f"{connection.address}: no answer in time")

    async def _is_silent(
        self,
        call: calls.Call,
        executor: view_lib.Executor,
        connection: web.ClientConnection,
    ) -> bool:
        """Tries a new connection, and tells whether to give up the old one.

        Only a repeatable request can be sent again, so another one goes on
        waiting. Idle connections as old as this one are closed if a new one
        works, since they may have gone silent with it.
        """
        try:
            fresh = await self.pool.open(executor, defaults.CONNECT_TIMEOUT_MS)
        except errors.ExchangeError:
            return call.repeatable
        await self.pool.close_idle(executor, connection.opened_ms + 1)
        await self.pool.put(executor, fresh)
        return call.repeatable

    async def _finish_late(
        self,
        executor: view_lib.Executor,
        connection: web.ClientConnection,
        started_ms: int,
    ) -> None:
        """Waits for an answer that nobody wants, to free slot and connection.

        The answer is dropped whole, so it can't reach another caller.
        """
        end_ms = started_ms + defaults.ATTEMPT_TIMEOUT_MS
        try:
            response = await connection.receive(self._left_ms(end_ms))
        except errors.ExchangeError:
            await self._give_up(executor, connection, sent=True)
            return
        except BaseException:
            await self._give_up(executor, connection, sent=True)
            raise
        await self.pool.put(executor, connection)
        self.router.release(executor)
        self._learn(executor, response, started_ms)

    def _silence_ms(self, executor: view_lib.Executor) -> float:
        service = executor.address.service
        latency_ms = self.router.typical_latency_ms(service)
        silence_ms = SILENCE_FACTOR * latency_ms
        return min(SILENCE_MAX_MS, max(SILENCE_MIN_MS, silence_ms))

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
