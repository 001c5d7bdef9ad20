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

# After this multiple of the typical latency without a response, a new
# connection probes whether the executor can still be reached.
PROBE_LATENCY_FACTOR = 8
MIN_PROBE_DELAY_MS = 500
MAX_PROBE_DELAY_MS = defaults.ATTEMPT_TIMEOUT_MS // 4

_STATUS_SERVER_ERROR = 500


@dataclasses.dataclass(slots=True)
class Answered:
    """The executor's complete response."""

    response: web.Response


@dataclasses.dataclass(slots=True)
class Unsent:
    """Nothing was sent, so the executor has not run the request."""

    reason: str


@dataclasses.dataclass(slots=True)
class Uncertain:
    """The executor may have run the request, but did not respond in full."""

    reason: str


Result = Answered | Unsent | Uncertain


class Attempter:
    """Sends requests to executors over pooled connections.

    Attributes:
      router: Holds the slots and statistics of the executors.
      pool: Connections to the executors.
    """

    def __init__(self, router: routing.Router, clock: clock_lib.Clock) -> None:
        self.router = router
        self.pool = router.pool
        self._clock = clock

    async def attempt(
        self, call: calls.Call, executor: view_lib.Executor
    ) -> Result:
        """Sends a request once.

        The slot is released once the executor has certainly finished the
        request, which may be after this returns; if that stays unknown, it is
        abandoned.
        """
        started_ms = self._clock.monotonic_ms()
        end_ms = started_ms + defaults.ATTEMPT_TIMEOUT_MS
        try:
            connection = await self._connect(call, executor)
        except errors.ExchangeError as error:
            return Unsent(str(error))
        if not self.router.view.has_lease():
            await self.pool.release(executor, connection)
            self.router.release(executor)
            return Unsent("the lease ended before the request was sent")
        may_have_run_before = call.may_have_run
        call.may_have_run = True
        try:
            uncertain = await self._send_and_wait(call, executor, connection)
            if uncertain is not None:
                await curio.spawn(
                    self._discard_late_response,
                    executor,
                    connection,
                    started_ms,
                    daemon=True,
                )
                return uncertain
            response = await connection.receive(self._remaining_ms(end_ms))
        except errors.ExchangeError as error:
            await self._abort_exchange(executor, connection, error.sent)
            if error.sent:
                return Uncertain(str(error))
            call.may_have_run = may_have_run_before
            return Unsent(str(error))
        except BaseException:
            await self._abort_exchange(executor, connection, sent=True)
            raise
        await self.pool.release(executor, connection)
        self.router.release(executor)
        self._record_response(executor, response, started_ms)
        return Answered(response)

    def _remaining_ms(self, end_ms: int) -> int:
        return max(1, end_ms - self._clock.monotonic_ms())

    async def _connect(
        self, call: calls.Call, executor: view_lib.Executor
    ) -> web.ClientConnection:
        """Acquires a connection, or releases the slot.

        Raises:
          errors.ExchangeError: No connection; nothing was sent.
        """
        try:
            return await self.pool.acquire(
                executor,
                call.repeatable,
                self._remaining_ms(call.deadline_at_ms),
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
        """Sends a request and waits for the first bytes of the response.

        Returns:
          The result if the wait ended without a response, or None once bytes
          have arrived.
        """
        remaining_ms = self._remaining_ms(call.deadline_at_ms)
        await connection.send(calls.forwarded(call, remaining_ms), remaining_ms)
        probe_delay_ms = self._probe_delay_ms(executor)
        if await connection.wait_readable(min(probe_delay_ms, remaining_ms)):
            return None
        if probe_delay_ms < remaining_ms:
            self.router.record_failure(executor)
            if await self._probe_connection(call, executor, connection):
                return Uncertain(f"{connection.address}: no answer")
            remaining_ms = self._remaining_ms(call.deadline_at_ms)
            remaining_ms = min(remaining_ms, defaults.ATTEMPT_TIMEOUT_MS)
            if await connection.wait_readable(remaining_ms):
                return None
        return Uncertain(f"{connection.address}: no answer in time")

    async def _probe_connection(
        self,
        call: calls.Call,
        executor: view_lib.Executor,
        connection: web.ClientConnection,
    ) -> bool:
        """Opens a new connection; returns whether to abandon the old one.

        Only a repeatable request is abandoned, since no other may be sent
        again. If the new connection works, idle connections opened no later
        than the old one are closed, since they may be dead too.
        """
        try:
            fresh = await self.pool.open(executor, defaults.CONNECT_TIMEOUT_MS)
        except errors.ExchangeError:
            return call.repeatable
        await self.pool.close_idle(executor, connection.opened_ms + 1)
        await self.pool.release(executor, fresh)
        return call.repeatable

    async def _discard_late_response(
        self,
        executor: view_lib.Executor,
        connection: web.ClientConnection,
        started_ms: int,
    ) -> None:
        """Reads a late response, to release the slot and reuse the connection.

        It is read in full and discarded, so that it can't reach another caller.
        """
        end_ms = started_ms + defaults.ATTEMPT_TIMEOUT_MS
        try:
            response = await connection.receive(self._remaining_ms(end_ms))
        except errors.ExchangeError:
            await self._abort_exchange(executor, connection, sent=True)
            return
        except BaseException:
            await self._abort_exchange(executor, connection, sent=True)
            raise
        await self.pool.release(executor, connection)
        self.router.release(executor)
        self._record_response(executor, response, started_ms)

    def _probe_delay_ms(self, executor: view_lib.Executor) -> float:
        service = executor.address.service
        latency_ms = self.router.typical_latency_ms(service)
        probe_delay_ms = PROBE_LATENCY_FACTOR * latency_ms
        return min(MAX_PROBE_DELAY_MS, max(MIN_PROBE_DELAY_MS, probe_delay_ms))

    async def _abort_exchange(
        self,
        executor: view_lib.Executor,
        connection: web.ClientConnection,
        sent: bool,
    ) -> None:
        # A close that crossed the request shows no fault of the executor.
        if not connection.closed_while_idle:
            self.router.record_failure(executor)
        if sent:
            self.router.abandon(executor)
        else:
            self.router.release(executor)
        await self.pool.discard(executor, connection)

    def _record_response(
        self,
        executor: view_lib.Executor,
        response: web.Response,
        started_ms: int,
    ) -> None:
        if response.status >= _STATUS_SERVER_ERROR:
            self.router.record_failure(executor)
            return
        latency_ms = self._clock.monotonic_ms() - started_ms
        self.router.record_response(executor, latency_ms)
