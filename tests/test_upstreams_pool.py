"""Reuse of connections that an executor closes once they are idle."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

import curio
import curio.io

from galenahook import clock as clock_lib
from galenahook import messages
from galenahook import web
from galenahook.callers import attempts
from galenahook.callers import calls
from galenahook.upstreams import pool as pool_lib
from galenahook.upstreams import routing
from galenahook.upstreams import view as view_lib

SERVICE = "prices"
LEASE_MS = 10_000_000
SLOTS = 8
KEEP_ALIVE_MS = 20
RESPONSE = b"HTTP/1.1 200 x\r\ncontent-length: 2\r\n\r\nok"


class ManualClock(clock_lib.Clock):
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now_ms = 1_000

    def monotonic_ms(self) -> int:
        return self.now_ms


@dataclasses.dataclass(slots=True)
class ClosingExecutor:
    """An executor whose close of an idle connection crosses the next request.

    Attributes:
      keep_alive_ms: Idle time after which it closes a connection.
      opened: Number of connections opened so far.
      lost: Number of requests that arrived on a connection it was closing.
    """

    clock: ManualClock
    listener: Any
    keep_alive_ms: int = KEEP_ALIVE_MS
    opened: int = 0
    lost: int = 0

    async def run(self) -> None:
        while True:
            sock, _ = await self.listener.accept()
            self.opened += 1
            await curio.spawn(self.serve, sock, daemon=True)

    async def serve(self, sock: Any) -> None:
        idle_since_ms = self.clock.now_ms
        async with sock:
            while await sock.recv(65_536):
                if self.clock.now_ms - idle_since_ms >= self.keep_alive_ms:
                    self.lost += 1
                    return
                await sock.sendall(RESPONSE)
                idle_since_ms = self.clock.now_ms


@dataclasses.dataclass(slots=True)
class Entry:
    """The part of an entry that sends requests to one executor."""

    clock: ManualClock
    stub: ClosingExecutor
    router: routing.Router
    attempter: attempts.Attempter

    @property
    def executor(self) -> view_lib.Executor:
        return self.router.view.executors["x"]

    async def send(self) -> attempts.Result:
        slot = self.router.reserve(SERVICE)
        assert slot is not None, "no slot left"
        request = web.Request("POST", "/prices/1")
        call = calls.parse(request, "r", self.clock).ok
        return await self.attempter.attempt(call, slot)

    async def send_each(self, count: int, idle_ms: int) -> int:
        """Sends requests, each after a pause; returns how many got answers."""
        answered = 0
        for _ in range(count):
            result = await self.send()
            answered += isinstance(result, attempts.Answered)
            self.clock.now_ms += idle_ms
        return answered


def run(
    test: Callable[[Entry], Awaitable[None]], keep_alive_ms: int = KEEP_ALIVE_MS
) -> None:
    async def main() -> None:
        clock = ManualClock()
        listener = curio.io.Socket(web.listen("127.0.0.1:0"))
        stub = ClosingExecutor(clock, listener, keep_alive_ms)
        await curio.spawn(stub.run, daemon=True)
        view = view_lib.EntryView("e", "i", "a", clock)
        view.apply_reply(reply(web.bound_address(listener)), clock.now_ms)
        pool = pool_lib.ExecutorPool(view, clock)
        router = routing.Router(view, pool, clock)
        entry = Entry(clock, stub, router, attempts.Attempter(router, clock))
        async with curio.timeout_after(20):
            await test(entry)

    curio.run(main)


def reply(address: str) -> messages.EntryUpdateReply:
    executor = messages.ExecutorAddress(
        name="x",
        incarnation="i",
        service=SERVICE,
        address=address,
        availability_zone="a",
        slots=SLOTS,
        connections=64,
    )
    return messages.EntryUpdateReply(
        lease_ms=LEASE_MS,
        configuration=messages.EntryConfiguration(revision=1),
        upstreams_version="v",
        executors=(executor,),
        grants=(
            messages.SlotGrant(executor="x", incarnation="i", slots=SLOTS),
        ),
    )


def test_executor_that_closes_idle_connections_costs_at_most_one_slot() -> None:
    async def test(entry: Entry) -> None:
        assert await entry.send_each(20, KEEP_ALIVE_MS) >= 19
        assert entry.executor.granted >= SLOTS - 1
        assert entry.stub.lost <= 1

    run(test)


def test_close_of_an_idle_connection_is_a_warning_before_any_request() -> None:
    """An idle connection found closed limits the reuse of the next one."""

    async def test(entry: Entry) -> None:
        await entry.send()
        [connections] = entry.router.pool._by_executor.values()
        [idle] = connections.idle
        entry.clock.now_ms += KEEP_ALIVE_MS
        # The peer's end of the connection, as the executor would close it.
        await close_by_peer(idle.connection)
        assert await entry.send_each(10, KEEP_ALIVE_MS) == 10
        assert entry.stub.lost == 0

    run(test)


async def close_by_peer(connection: web.ClientConnection) -> None:
    connection._sock._socket.shutdown(0)
    while connection.is_open_and_idle():
        await curio.sleep(0.001)


def test_connections_that_stay_open_are_reused_for_their_whole_time() -> None:
    async def test(entry: Entry) -> None:
        idle_ms = pool_lib.IDLE_TIMEOUT_NOT_REPEATABLE_MS
        assert await entry.send_each(20, idle_ms) == 20
        assert entry.stub.opened == 1

    run(test, keep_alive_ms=LEASE_MS)


def test_one_early_close_limits_reuse_only_for_some_time() -> None:
    async def test(entry: Entry) -> None:
        assert await entry.send_each(2, KEEP_ALIVE_MS) == 1
        entry.stub.keep_alive_ms = LEASE_MS
        assert await entry.send_each(5, KEEP_ALIVE_MS) == 5
        assert entry.stub.opened == 6
        entry.clock.now_ms += pool_lib.IDLE_CLOSE_MEMORY_MS
        assert await entry.send_each(20, KEEP_ALIVE_MS) == 20
        assert entry.stub.opened == 7

    run(test)


def test_early_closes_leave_a_connection_for_each_slot() -> None:
    """Requests that are too frequent for new connections reuse one."""

    async def test(entry: Entry) -> None:
        entry.stub.keep_alive_ms = 2
        assert await entry.send_each(2, 2) == 1
        entry.stub.keep_alive_ms = LEASE_MS
        assert await entry.send_each(100, 2) == 100
        executor = entry.executor
        allowed = executor.granted * executor.connections_per_slot
        assert executor.connections <= allowed - executor.granted

    run(test)


def test_closes_of_idle_connections_do_not_eject_the_executor() -> None:
    """Requests sent together on connections that are closed at that moment."""

    async def test(entry: Entry) -> None:
        count = 2 * routing.FAILURES_TO_EJECT
        for pause_ms in (KEEP_ALIVE_MS, 0):
            tasks = [await curio.spawn(entry.send) for _ in range(count)]
            results = [await task.join() for task in tasks]
            entry.clock.now_ms += pause_ms
        assert entry.stub.lost == count
        assert not any(isinstance(item, attempts.Answered) for item in results)
        statistics = entry.executor.statistics
        assert statistics.ejections == 0
        assert statistics.failures == 0

    run(test)
