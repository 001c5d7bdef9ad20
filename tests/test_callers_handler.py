"""Outcomes of callers' requests at executors with scripted faults."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import functools
import time
from typing import Any

import curio
import curio.io
import eliot
import pytest

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook import web
from galenahook.callers import claims as claims_lib
from galenahook.callers import handler as handler_lib
from galenahook.platform import metrics
from galenahook.upstreams import pool as pool_lib
from galenahook.upstreams import routing
from galenahook.upstreams import view as view_lib

SERVICE = "prices"
LEASE_MS = 60_000
ROUTE = messages.ServiceRoute(
    service=SERVICE, route="/prices", priority=50, tail_target_ms=100
)
OUTCOME = b"x-galenahook-outcome"


class StubExecutor:
    """An executor that acts as the second segment of a request's target says.

    Attributes:
      received: Target of each request whose header it received.
      unresponsive_connections: Connections up to this number are read, but get
        no response.
    """

    def __init__(self, name: str, seen: set[str], zone: str = "a") -> None:
        self.name = name
        self.seen = seen
        self.zone = zone
        self.received: list[str] = []
        self.busy = 0
        self.max_busy = 0
        self.opened = 0
        self.unresponsive_connections = 0
        self.listener = curio.io.Socket(web.listen("127.0.0.1:0"))
        self.address = web.bound_address(self.listener)

    async def run(self) -> None:
        while True:
            sock, _ = await self.listener.accept()
            self.opened += 1
            await curio.spawn(self.serve, sock, self.opened, daemon=True)

    async def serve(self, sock: Any, number: int) -> None:
        try:
            while await self.serve_one(sock, number):
                pass
        except OSError:
            pass
        await sock.close()

    async def serve_one(self, sock: Any, number: int) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            more = await sock.recv(65_536)
            if not more:
                return False
            data += more
        target = data.split(b" ")[1].decode()
        self.received.append(target)
        if number <= self.unresponsive_connections:
            await curio.sleep(60)
        self.busy += 1
        self.max_busy = max(self.max_busy, self.busy)
        try:
            return await self.answer(sock, target)
        finally:
            self.busy -= 1

    async def answer(self, sock: Any, target: str) -> bool:
        action = target.split("/")[2]
        if action.startswith("sleep"):
            await curio.sleep(int(action[5:]) / 1000)
        first = target not in self.seen
        self.seen.add(target)
        body = target.encode()
        head = (
            b"HTTP/1.1 %d x\r\ncontent-length: %d\r\nx-galenahook-outcome: no"
            b"\r\n\r\n" % (500 if action == "fault" else 200, len(body))
        )
        if action == "cut" or (action == "cut-once" and first):
            await sock.sendall(head + body[:4])
            return False
        if action == "reset":
            return False
        await sock.sendall(head + body)
        return True


@dataclasses.dataclass(slots=True)
class RequestPath:
    """The request path of one entry, with stub executors."""

    executors: list[StubExecutor]
    view: view_lib.EntryView
    router: routing.Router
    handler: handler_lib.CallerHandler
    claimed: list[tuple[messages.KeyClaim, ...]]
    slots: int

    def reply(self, **changes: Any) -> messages.EntryUpdateReply:
        unusable = changes.pop("unusable", ())
        out = changes.pop("out", ())
        values: dict[str, Any] = {
            "lease_ms": LEASE_MS,
            "configuration": messages.EntryConfiguration(
                revision=1, routes=(ROUTE,), availability_zones_out=out
            ),
            "upstreams_version": "1",
            "executors": tuple(
                messages.ExecutorAddress(
                    name=executor.name,
                    incarnation="i",
                    service=SERVICE,
                    address=executor.address,
                    availability_zone=executor.zone,
                    slots=8,
                    connections=64,
                    usable=executor.name not in unusable,
                )
                for executor in self.executors
            ),
            "grants": tuple(
                messages.SlotGrant(
                    executor=executor.name, incarnation="i", slots=self.slots
                )
                for executor in self.executors
            ),
        }
        return messages.EntryUpdateReply(**{**values, **changes})

    def apply(self, **changes: Any) -> None:
        now_ms = clock_lib.Clock().monotonic_ms()
        assert self.view.apply_reply(self.reply(**changes), now_ms)

    async def send(self, action: str, **headers: str) -> web.Response:
        header_pairs = [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in headers.items()
        ]
        return await self.handler.handle(
            web.Request("POST", f"/prices/{action}", header_pairs, b"x")
        )

    def received(self) -> list[str]:
        return [target for item in self.executors for target in item.received]


def run(
    test: Callable[[RequestPath], Awaitable[None]],
    count: int = 2,
    slots: int = 4,
) -> None:
    async def main() -> None:
        clock = clock_lib.Clock()
        view = view_lib.EntryView("entry-1", "i", "a", clock)
        router = routing.Router(view, pool_lib.ExecutorPool(view, clock), clock)
        claimed: list[tuple[messages.KeyClaim, ...]] = []
        table = claims_lib.ClaimTable()

        async def claim(
            claims: tuple[messages.KeyClaim, ...],
            released: tuple[messages.KeyClaim, ...],
        ) -> tuple[bool, ...]:
            claimed.append(claims)
            await curio.sleep(0.01)
            if any("lost" in item.key for item in claims):
                raise errors.NoQuorumError("planned")
            command = commands.ClaimKeys(
                entry="entry-1", claims=claims, released=released, at_ms=1
            )
            return table.claim(command).granted

        handler = handler_lib.CallerHandler(
            view, router, claim, clock, metrics.Metrics("", "entry-1")
        )
        seen: set[str] = set()
        executors = [
            StubExecutor(f"x{number}", seen) for number in range(count)
        ]
        for executor in executors:
            await curio.spawn(executor.run, daemon=True)
        path = RequestPath(executors, view, router, handler, claimed, slots)
        path.apply()
        async with curio.timeout_after(20):
            await test(path)

    curio.run(main)


REPEATABLE = {"x_galenahook_repeatable": "yes"}
SHORT_DEADLINE = {"x_galenahook_deadline_ms": "250"}
# name: action, headers, status, outcome, number of runs
OUTCOMES: dict[str, tuple[str, dict[str, str], int, bytes, int]] = {
    "answered": ("ok", {}, 200, b"answered", 1),
    "executor's internal error": ("fault", {}, 500, b"answered", 1),
    "cut off": ("cut", {}, 504, b"unknown", 1),
    "closed without a response": ("reset", {}, 504, b"unknown", 1),
    "cut off, not repeatable": (
        "cut-once",
        {"x_galenahook_repeatable": "no"},
        504,
        b"unknown",
        1,
    ),
    "cut off, with a key": (
        "cut-once",
        {"idempotency_key": "k"},
        504,
        b"unknown",
        1,
    ),
    "cut off, repeatable": ("cut-once", REPEATABLE, 200, b"answered", 2),
    "cut off each time, repeatable": ("cut", REPEATABLE, 502, b"unknown", 3),
    "deadline passes": ("sleep500", SHORT_DEADLINE, 504, b"unknown", 1),
    "deadline passes, repeatable": (
        "sleep500",
        REPEATABLE | SHORT_DEADLINE,
        504,
        b"unknown",
        1,
    ),
    "deadline is not a number": (
        "ok",
        {"x_galenahook_deadline_ms": "soon"},
        400,
        b"not-run",
        0,
    ),
    "invalid value of repeatable": (
        "ok",
        {"x_galenahook_repeatable": "perhaps"},
        400,
        b"not-run",
        0,
    ),
    "key can't be claimed": (
        "ok",
        {"idempotency_key": "lost"} | SHORT_DEADLINE,
        503,
        b"not-run",
        0,
    ),
    "key too long": ("ok", {"idempotency_key": "k" * 300}, 400, b"not-run", 0),
}


@pytest.mark.parametrize("name", OUTCOMES)
def test_outcome_matches_what_was_run(name: str) -> None:
    action, headers, status, outcome, runs = OUTCOMES[name]

    async def test(path: RequestPath) -> None:
        response = await path.send(action, **headers)
        assert response.status == status
        assert [v for n, v in response.headers if n == OUTCOME] == [outcome]
        assert len(path.received()) == runs
        if outcome == b"answered":
            assert response.body == f"/prices/{action}".encode()

    run(test)


# name: changes to the leader's reply, whether requests may run
REPLIES: dict[str, tuple[dict[str, Any], bool]] = {
    "lease ended": ({"lease_ms": 0}, False),
    "no slots": ({"grants": ()}, False),
    "all unusable": ({"unusable": ("x0", "x1")}, False),
    "zone out of service": ({"out": ("a",)}, False),
    "one unusable": ({"unusable": ("x0",)}, True),
}


@pytest.mark.parametrize("name", REPLIES)
def test_no_request_is_sent_where_none_may_start(name: str) -> None:
    reply, runs = REPLIES[name]

    async def test(path: RequestPath) -> None:
        path.view._lease_end_ms = 0
        path.apply(**reply)
        for number in range(8):
            response = await path.send(f"ok/{number}", **SHORT_DEADLINE)
            expected = b"answered" if runs else b"not-run"
            assert response.header(OUTCOME) == expected
        assert path.executors[0].received == []
        assert len(path.received()) == (8 if runs else 0)

    run(test)


def test_unsent_request_is_retried_on_another_executor() -> None:
    async def test(path: RequestPath) -> None:
        await path.executors[0].listener.close()
        for number in range(12):
            response = await path.send(f"ok/{number}")
            assert response.header(OUTCOME) == b"answered"
        assert len(path.executors[1].received) == 12

    run(test)


def test_request_is_not_run_if_no_executor_can_be_reached() -> None:
    async def test(path: RequestPath) -> None:
        for executor in path.executors:
            await executor.listener.close()
        response = await path.send("ok")
        assert response.status == 503
        assert response.header(OUTCOME) == b"not-run"

    run(test)


def test_request_is_not_sent_if_the_lease_ends_while_connecting() -> None:
    async def test(path: RequestPath) -> None:
        acquire = path.router.pool.acquire

        async def acquire_and_end_lease(
            *arguments: Any,
        ) -> web.ClientConnection:
            connection = await acquire(*arguments)
            path.view._lease_end_ms = 0
            return connection

        path.router.pool.acquire = acquire_and_end_lease  # type: ignore[method-assign]
        response = await path.send("ok", **SHORT_DEADLINE)
        assert response.header(OUTCOME) == b"not-run"
        await curio.sleep(0.05)
        assert path.received() == []
        assert all(item.busy == 0 for item in path.view.executors.values())

    run(test)


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    """Returns the list to which messages of the log are appended."""
    messages_logged: list[dict[str, Any]] = []
    eliot.add_destinations(messages_logged.append)
    messages_logged.clear()
    yield messages_logged
    eliot.remove_destination(messages_logged.append)


def test_internal_error_of_a_request_is_logged(
    lines: list[dict[str, Any]],
) -> None:
    async def test(path: RequestPath) -> None:
        def fail(*_: Any) -> None:
            raise ValueError("planned")

        path.router.reserve = fail  # type: ignore[method-assign]
        response = await path.send("ok")
        assert response.status == 503
        [line] = [
            item for item in lines if item["message_type"] == "request:failed"
        ]
        identifier = response.header(b"x-galenahook-request").decode()
        assert line["request"] == identifier
        assert line["target"] == "/prices/ok"
        assert "ValueError: planned" in line["traceback"]

    run(test)


def test_failure_of_a_periodic_action_is_logged(
    lines: list[dict[str, Any]],
) -> None:
    async def test(path: RequestPath) -> None:
        async def fail() -> None:
            raise ValueError("planned")

        path.router.pool.reap = fail  # type: ignore[method-assign]
        assert (await path.send("ok")).status == 200
        async with curio.timeout_after(10):
            while not any(
                item["message_type"] == "periodic:failed"
                and "ValueError: planned" in item["traceback"]
                for item in lines
            ):
                await curio.sleep(0.02)

    run(test)


def test_old_high_latency_does_not_refuse_requests_forever() -> None:
    async def test(path: RequestPath) -> None:
        statistics = path.router._statistics(SERVICE)
        statistics.latency_ms = 10_000
        statistics.sampled_ms = clock_lib.Clock().monotonic_ms()
        assert (await path.send("ok/1", **SHORT_DEADLINE)).status == 503
        statistics.sampled_ms -= 60_000
        assert (await path.send("ok/2", **SHORT_DEADLINE)).status == 200

    run(test)


def test_late_responses_update_the_latency() -> None:
    async def test(path: RequestPath) -> None:
        await path.send("sleep400", **SHORT_DEADLINE)
        await curio.sleep(0.3)
        assert path.router.typical_latency_ms(SERVICE) >= 400

    run(test)


def test_same_key_runs_once_and_claims_share_commits() -> None:
    async def test(path: RequestPath) -> None:
        tasks = [
            await curio.spawn(
                functools.partial(path.send, "ok", idempotency_key=f"{n}")
            )
            for n in [1] * 5 + [2, 3, 4]
        ]
        outcomes = [(await t.join()).header(OUTCOME) for t in tasks]
        assert outcomes.count(b"answered") == 4
        assert outcomes.count(b"not-run") == 4
        assert len(path.received()) == 4
        assert len(path.claimed) <= 2

    run(test)


def test_overload_never_exceeds_slots_and_refused_is_not_run() -> None:
    async def test(path: RequestPath) -> None:
        started = time.monotonic()
        refused_s: list[float] = []

        async def send(number: int) -> bytes:
            response = await path.send(f"sleep30/{number}")
            if response.status == 503:
                refused_s.append(time.monotonic() - started)
            return response.header(OUTCOME)

        tasks = [await curio.spawn(send, number) for number in range(120)]
        outcomes = [await task.join() for task in tasks]
        assert sorted(refused_s)[len(refused_s) // 2] < 0.15
        answered = outcomes.count(b"answered")
        assert answered >= 4
        assert answered + outcomes.count(b"not-run") == 120
        assert outcomes.count(b"not-run") > 0
        assert len(path.received()) == answered
        assert all(item.max_busy <= 2 for item in path.executors)
        assert (await path.send("ok")).header(OUTCOME) == b"answered"
        assert path.handler.admission.waiting == 0

    run(test, slots=2)


def test_late_response_is_discarded_and_its_slot_stays_busy() -> None:
    async def test(path: RequestPath) -> None:
        late = await path.send("sleep400/late", **SHORT_DEADLINE)
        assert late.header(OUTCOME) == b"unknown"
        [executor] = path.view.executors.values()
        assert executor.busy == 1
        refused = await path.send("ok/1", x_galenahook_deadline_ms="60")
        assert refused.header(OUTCOME) == b"not-run"
        deadline = time.monotonic() + 2
        while executor.busy and time.monotonic() < deadline:
            await curio.sleep(0.02)
        response = await path.send("ok/2")
        assert response.body == b"/prices/ok/2"
        assert executor.abandoned == 0
        assert path.executors[0].max_busy == 1

    run(test, count=1, slots=1)


def test_unresponsive_connections_are_replaced_by_new_ones() -> None:
    async def test(path: RequestPath) -> None:
        [stub] = path.executors
        tasks = [
            await curio.spawn(path.send, f"sleep50/{number}")
            for number in range(3)
        ]
        for task in tasks:
            await task.join()
        stub.unresponsive_connections = stub.opened
        started = time.monotonic()
        response = await path.send("ok/again", **REPEATABLE)
        assert response.body == b"/prices/ok/again"
        tasks = [
            await curio.spawn(path.send, f"sleep50/once-{number}")
            for number in range(3)
        ]
        for number, task in enumerate(tasks):
            target = f"/prices/sleep50/once-{number}"
            assert (await task.join()).body == target.encode()
            assert stub.received.count(target) == 1
        assert time.monotonic() - started < 3
        [executor] = path.view.executors.values()
        assert executor.connections <= 16

    run(test, count=1, slots=4)


def test_connection_closed_by_its_executor_soon_stops_counting() -> None:
    async def test(path: RequestPath) -> None:
        for number in range(3):
            await path.send(f"reset/{number}")
        executors = path.view.executors.values()
        deadline = time.monotonic() + 3
        while time.monotonic() < deadline:
            if not any(item.connections for item in executors):
                return
            await curio.sleep(0.05)
        raise AssertionError([item.connections for item in executors])

    run(test)


def test_failing_executor_is_ejected_and_returns() -> None:
    async def test(path: RequestPath) -> None:
        first = path.view.executors["x0"]
        for _ in range(routing.FAILURES_TO_EJECT):
            path.router.record_failure(first)
        for number in range(10):
            await path.send(f"ok/{number}")
        assert path.executors[0].received == []
        await curio.sleep(routing.EJECTION_MIN_MS / 1000 + 0.1)
        tasks = [
            await curio.spawn(path.send, f"sleep50/{number}")
            for number in range(6)
        ]
        for task in tasks:
            await task.join()
        assert 0 < path.executors[0].max_busy <= 2

    run(test)


def test_retries_stay_within_the_budget() -> None:
    async def test(path: RequestPath) -> None:
        for number in range(40):
            await path.send(f"cut/{number}", **REPEATABLE)
        budget = (
            routing.RETRY_TOKENS_MAX + 40 * routing.RETRY_TOKENS_PER_REQUEST
        )
        assert 40 < len(path.received()) <= 40 + budget

    run(test, slots=40)


def test_higher_priority_displaces_lower_when_too_many_are_waiting() -> None:
    async def test(path: RequestPath) -> None:
        admission = path.handler.admission
        route = messages.ServiceRoute(
            service="urgent", route="/u", priority=90, tail_target_ms=100
        )
        waiting = await curio.spawn(lambda: path.send("ok", **SHORT_DEADLINE))
        await curio.sleep(0.02)
        assert admission.waiting == 1
        refused = await admission._displace_lower_priority(route.priority)
        assert refused is None
        response = await waiting.join()
        assert response.header(OUTCOME) == b"not-run"
        refused = await admission._displace_lower_priority(10)
        assert refused is not None

    run(test, count=1, slots=0)
