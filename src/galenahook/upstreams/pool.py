"""Pooled connections from an entry to executors.

A connection carries one request at a time, and is closed after any exchange
that does not end cleanly. Connections that the executor may still count as open
are limited by the slots that the entry holds there.

An executor may close an idle connection while a request is on its way, and the
request's outcome is unknown then. Once an executor has closed a connection that
was idle for some time, connections are reused only after a shorter time.
"""

import collections
import dataclasses

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import errors
from galenahook import web
from galenahook.upstreams import view as view_lib

IDLE_TIMEOUT_MS = 15_000
IDLE_TIMEOUT_NOT_REPEATABLE_MS = 2_000
# A closed connection counts as open for this long, since the executor notices
# its end late, and much later if the connection is dead.
CLOSED_LINGER_MS = 250
DEAD_LINGER_MS = 60_000
# Share of the shortest idle time after which an executor closed a connection
# that another connection may have been idle when it is reused.
REUSE_IDLE_FRACTION = 0.5
# How long such a time is remembered: its cause may have been a single event.
IDLE_CLOSE_MEMORY_MS = 60_000


@dataclasses.dataclass(slots=True)
class _Idle:
    """An idle connection, available for the next request."""

    connection: web.ClientConnection
    since_ms: int


@dataclasses.dataclass(slots=True)
class _Closed:
    """A closed connection that the executor may still count as open."""

    until_ms: int


@dataclasses.dataclass(slots=True)
class _IdleClose:
    """The shortest idle time after which an executor closed a connection."""

    idle_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class _ExecutorConnections:
    """Connections to one incarnation of an executor."""

    executor: view_lib.Executor
    idle: collections.deque[_Idle] = dataclasses.field(
        default_factory=collections.deque
    )
    closed: list[_Closed] = dataclasses.field(default_factory=list)
    idle_close: _IdleClose | None = None


class ExecutorPool:
    """Pools connections to executors for reuse.

    Attributes:
      view: The entry's view, whose executors count their connections.
    """

    def __init__(
        self, view: view_lib.EntryView, clock: clock_lib.Clock
    ) -> None:
        self.view = view
        self._clock = clock
        self._by_executor: dict[tuple[str, str], _ExecutorConnections] = {}

    def has_connection(self, executor: view_lib.Executor) -> bool:
        """Returns whether a connection is available for one more request."""
        connections = self._connections(executor)
        self._expire_closed(connections)
        if connections.idle:
            return True
        return executor.connections < _allowed_connections(executor)

    async def acquire(
        self, executor: view_lib.Executor, repeatable: bool, timeout_ms: int
    ) -> web.ClientConnection:
        """Returns an idle connection or opens a new one.

        A request that is not repeatable gets only a recently used connection,
        since its outcome would be unknown if the connection were dead. A
        connection that the executor may be about to close is replaced.

        Raises:
          errors.ExchangeError: No connection is available; nothing was sent.
        """
        connections = self._connections(executor)
        max_idle_ms = (
            IDLE_TIMEOUT_MS if repeatable else IDLE_TIMEOUT_NOT_REPEATABLE_MS
        )
        while connections.idle:
            idle = connections.idle.pop()
            fresh = self._is_fresh(connections, idle, max_idle_ms)
            idle_ms = self._clock.monotonic_ms() - idle.since_ms
            if fresh and not self._should_replace(connections, idle_ms):
                idle.connection.idle_ms = idle_ms
                return idle.connection
            await self._close(connections, idle.connection, CLOSED_LINGER_MS)
        return await self.open(executor, timeout_ms)

    async def open(
        self, executor: view_lib.Executor, timeout_ms: int
    ) -> web.ClientConnection:
        """Opens a new connection.

        Raises:
          errors.ConnectionLimitError: The held slots allow no more.
          errors.ExchangeError: It can't be opened; nothing was sent.
        """
        connections = self._connections(executor)
        self._expire_closed(connections)
        address = executor.address.address
        if executor.connections >= _allowed_connections(executor):
            raise errors.ConnectionLimitError(
                f"{address}: no connection left", False
            )
        executor.connections += 1
        try:
            return await web.connect(
                address,
                min(timeout_ms, defaults.CONNECT_TIMEOUT_MS),
                self._clock,
            )
        except errors.ExchangeError:
            self._linger(connections, CLOSED_LINGER_MS)
            raise
        except BaseException:
            self._linger(connections, CLOSED_LINGER_MS)
            raise

    async def release(
        self, executor: view_lib.Executor, connection: web.ClientConnection
    ) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        connections = self._connections(executor)
        if not connection.reusable:
            await self._close(connections, connection, CLOSED_LINGER_MS)
            return
        idle = _Idle(connection, self._clock.monotonic_ms())
        connections.idle.append(idle)

    async def discard(
        self, executor: view_lib.Executor, connection: web.ClientConnection
    ) -> None:
        """Closes a connection whose exchange did not end cleanly."""
        connections = self._connections(executor)
        if connection.closed_while_idle and connection.idle_ms is not None:
            self._record_idle_close(connections, connection.idle_ms)
        may_be_dead = not connection.ended_by_peer
        linger_ms = DEAD_LINGER_MS if may_be_dead else CLOSED_LINGER_MS
        await self._close(connections, connection, linger_ms)

    async def close_idle(
        self, executor: view_lib.Executor, opened_before_ms: int
    ) -> None:
        """Closes idle connections that may be dead."""
        connections = self._connections(executor)
        kept: collections.deque[_Idle] = collections.deque()
        stale = []
        for idle in connections.idle:
            if idle.connection.opened_ms < opened_before_ms:
                stale.append(idle)
            else:
                kept.append(idle)
        connections.idle = kept
        for idle in stale:
            await self._close(connections, idle.connection, DEAD_LINGER_MS)

    async def reap(self) -> None:
        """Closes idle connections that are stale or above the granted slots."""
        for key, connections in list(self._by_executor.items()):
            self._expire_closed(connections)
            await self._reap_idle(connections)
            if connections.executor.connections == 0:
                del self._by_executor[key]

    async def _reap_idle(self, connections: _ExecutorConnections) -> None:
        executor = connections.executor
        while connections.idle:
            oldest = connections.idle[0]
            surplus = len(connections.idle) + executor.busy > executor.granted
            fresh = self._is_fresh(connections, oldest, IDLE_TIMEOUT_MS)
            if fresh and not surplus:
                return
            connections.idle.popleft()
            await self._close(connections, oldest.connection, CLOSED_LINGER_MS)

    async def close(self) -> None:
        """Closes every idle connection."""
        for connections in self._by_executor.values():
            while connections.idle:
                await connections.idle.popleft().connection.close()

    def _connections(self, executor: view_lib.Executor) -> _ExecutorConnections:
        key = (executor.address.name, executor.address.incarnation)
        connections = self._by_executor.get(key)
        if connections is None:
            connections = _ExecutorConnections(executor)
            self._by_executor[key] = connections
        return connections

    def _is_fresh(
        self, connections: _ExecutorConnections, idle: _Idle, max_idle_ms: int
    ) -> bool:
        now_ms = self._clock.monotonic_ms()
        idle_ms = now_ms - idle.since_ms
        if idle_ms > max_idle_ms:
            return False
        if not idle.connection.is_open_and_idle():
            self._record_idle_close(connections, idle_ms)
            return False
        age_ms = now_ms - idle.connection.opened_ms
        return age_ms <= defaults.CONNECTION_MAX_AGE_MS

    def _should_replace(
        self, connections: _ExecutorConnections, idle_ms: int
    ) -> bool:
        """Returns whether the executor may be about to close a connection.

        Returns False nevertheless if new connections would leave less than
        one for each slot.
        """
        idle_close = connections.idle_close
        if (
            idle_close is None
            or self._clock.monotonic_ms() >= idle_close.until_ms
            or idle_ms <= idle_close.idle_ms * REUSE_IDLE_FRACTION
        ):
            return False
        self._expire_closed(connections)
        executor = connections.executor
        spare = _allowed_connections(executor) - executor.connections
        return spare > max(executor.granted, executor.busy)

    def _record_idle_close(
        self, connections: _ExecutorConnections, idle_ms: int
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        known = connections.idle_close
        if (
            known is None
            or now_ms >= known.until_ms
            or idle_ms <= known.idle_ms
        ):
            connections.idle_close = _IdleClose(
                idle_ms, now_ms + IDLE_CLOSE_MEMORY_MS
            )

    async def _close(
        self,
        connections: _ExecutorConnections,
        connection: web.ClientConnection,
        linger_ms: int,
    ) -> None:
        self._linger(connections, linger_ms)
        await connection.close()

    def _linger(
        self, connections: _ExecutorConnections, linger_ms: int
    ) -> None:
        until_ms = self._clock.monotonic_ms() + linger_ms
        connections.closed.append(_Closed(until_ms))

    def _expire_closed(self, connections: _ExecutorConnections) -> None:
        if not connections.closed:
            return
        now_ms = self._clock.monotonic_ms()
        kept = [
            closed for closed in connections.closed if closed.until_ms > now_ms
        ]
        connections.executor.connections -= len(connections.closed) - len(kept)
        connections.closed = kept


def _allowed_connections(executor: view_lib.Executor) -> int:
    slots = max(executor.granted, executor.busy)
    return slots * executor.connections_per_slot
