"""HTTP client for messages to the system's processes and to workers."""

from collections.abc import Callable
import dataclasses
from typing import Any

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import errors
from galenahook import messages
from galenahook.web import client
from galenahook.web import http

IDLE_TIMEOUT_MS = 10_000


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    """An open connection that is available for another exchange."""

    connection: client.ClientConnection
    since_ms: int


class ControlClient:
    """Exchanges JSON messages with the system's own processes and workers.

    It keeps idle connections open for a limited time and reuses them. It does
    not retry a failed exchange: whether to retry is left to the code that calls
    it.

    Attributes:
      headers: Headers that `post` adds to each request, such as the site's
        shared key.
    """

    def __init__(self, clock: clock_lib.Clock, headers: http.Headers) -> None:
        self.clock = clock
        self.headers = headers
        self._idle: dict[str, list[_IdleConnection]] = {}

    async def post(
        self,
        address: str,
        target: str,
        message: Any,
        timeout_ms: int = defaults.CONTROL_TIMEOUT_MS,
    ) -> http.Response:
        """Posts a message and returns the complete response.

        Raises:
          errors.ExchangeError: No complete response arrived in time.
        """
        body = messages.encode(message)
        headers = [http.JSON_HEADER, *self.headers]
        request = http.Request("POST", target, headers, body)
        return await self.send(address, request, timeout_ms)

    async def send(
        self,
        address: str,
        request: http.Request,
        timeout_ms: int,
        may_send: Callable[[], bool] | None = None,
    ) -> http.Response:
        """Sends a request and returns the complete response.

        Args:
          address: The peer's `host:port`.
          request: The request.
          timeout_ms: Timeout of the exchange in milliseconds.
          may_send: Checked once there is a connection; the request is not sent
            if it returns False.

        Raises:
          errors.ExchangeError: No complete response arrived in time, or the
            request was not sent.
        """
        connection = await self._acquire(address, timeout_ms)
        if may_send is not None and not may_send():
            await self._release(address, connection)
            raise errors.ExchangeError(
                f"{address}: no longer permitted to send", sent=False
            )
        try:
            response = await connection.exchange(
                request, timeout_ms, defaults.MAX_CONTROL_BODY_BYTES
            )
        except errors.ExchangeError:
            await self._close_idle(address)
            raise
        if connection.reusable:
            await self._release(address, connection)
        return response

    async def _release(
        self, address: str, connection: client.ClientConnection
    ) -> None:
        """Makes a connection available and closes those idle for too long.

        Peers that are no longer called, as they were replaced, are not reused
        and may never close their end.
        """
        now_ms = self.clock.monotonic_ms()
        connections = self._idle.pop(address, [])
        connections.append(_IdleConnection(connection, now_ms))
        self._idle[address] = connections
        for expired in self._take_expired(connections, now_ms):
            await expired.connection.close()

    def _take_expired(
        self, released: list[_IdleConnection], now_ms: int
    ) -> list[_IdleConnection]:
        """Removes and returns connections that were idle for too long.

        Args:
          released: Connections of the address that was released last.
          now_ms: Current monotonic time.
        """
        oldest_valid_ms = now_ms - IDLE_TIMEOUT_MS
        expired = []
        while released[0].since_ms < oldest_valid_ms:
            expired.append(released.pop(0))
        # Addresses are in the order of their last release.
        while True:
            address, connections = next(iter(self._idle.items()))
            if connections and connections[-1].since_ms >= oldest_valid_ms:
                return expired
            del self._idle[address]
            expired += connections
            connections.clear()

    async def _acquire(
        self, address: str, timeout_ms: int
    ) -> client.ClientConnection:
        idle = self._idle.get(address, [])
        while idle:
            newest = idle.pop()
            if self._is_reusable(newest):
                return newest.connection
            await newest.connection.close()
        connect_ms = min(timeout_ms, defaults.CONNECT_TIMEOUT_MS)
        return await client.connect(address, connect_ms, self.clock)

    def _is_reusable(self, idle: _IdleConnection) -> bool:
        now_ms = self.clock.monotonic_ms()
        return (
            now_ms - idle.since_ms <= IDLE_TIMEOUT_MS
            and now_ms - idle.connection.opened_ms
            <= defaults.CONNECTION_MAX_AGE_MS
            and idle.connection.is_open_and_idle()
        )

    async def _close_idle(self, address: str) -> None:
        """Closes an address's idle connections, which may have failed too."""
        for idle in self._idle.pop(address, []):
            await idle.connection.close()

    async def close(self) -> None:
        """Closes every idle connection."""
        for address in list(self._idle):
            await self._close_idle(address)
