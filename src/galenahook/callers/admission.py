"""Admission: a bounded queue for each service, and early refusals.

A request is refused as soon as its answer would come too late, before it
costs anything. Refused means that it was not run.
"""

import collections
import dataclasses

import curio
import expression

from galenahook import clock as clock_lib
from galenahook import messages
from galenahook.callers import calls
from galenahook.upstreams import routing
from galenahook.upstreams import view as view_lib

MAX_WAITING = 1_000
MAX_WAITING_WITHOUT_SLOTS = 64
STANDING_QUEUE_MS = 100
WAIT_LIMIT_MIN_MS = 300
WAIT_WITHOUT_SLOTS_MS = 1_000
LATENCY_UNKNOWN_MS = 20.0


@dataclasses.dataclass(slots=True)
class Refused:
    """A refusal; the request was not run by this attempt.

    Attributes:
      status: HTTP status.
      reason: Why, for a person.
    """

    status: int
    reason: str


@dataclasses.dataclass(slots=True, eq=False)
class Place:
    """A request's place in the queue of its service.

    Attributes:
      call: The request.
      route: Its service.
      wait_until_ms: When it gives up waiting.
      exclude: Executors already tried.
      ready: Set when the wait is over.
      executor: Whose slot it got.
      refused: Why it got none.
    """

    call: calls.Call
    route: messages.ServiceRoute
    wait_until_ms: int
    exclude: frozenset[str] = frozenset()
    ready: curio.Event = dataclasses.field(default_factory=curio.Event)
    executor: view_lib.Executor | None = None
    refused: Refused | None = None


@dataclasses.dataclass(slots=True)
class _ServiceQueue:
    """Requests of one service without a slot.

    Attributes:
      waiting: Those that wait for a slot, in order.
      entered: All admitted without a slot, also those not yet waiting.
      empty_ms: When nothing waited last.
    """

    waiting: collections.deque[Place] = dataclasses.field(
        default_factory=collections.deque
    )
    entered: int = 0
    empty_ms: int = 0


class Admission:
    """Decides which requests are taken, and hands slots to them in order.

    Attributes:
      router: Reserves slots.
      waiting: Requests that wait, over all services.
    """

    def __init__(self, router: routing.Router, clock: clock_lib.Clock) -> None:
        self.router = router
        self.waiting = 0
        self._clock = clock
        self._queues: dict[str, _ServiceQueue] = {}

    async def enter(
        self, call: calls.Call, route: messages.ServiceRoute
    ) -> expression.Result[Place, Refused]:
        """Admits a request to its service's queue, or refuses it at once."""
        queue = self._queue(route.service)
        now_ms = self._clock.monotonic_ms()
        held = self.router.held_slots(route.service)
        ahead = queue.entered - self.router.free_slots(route.service)
        if ahead < 0:
            queue.empty_ms = now_ms
        limit_ms = self._wait_limit_ms(call, route, queue)
        refused = self._check(route, held, ahead, limit_ms)
        if refused is None and self.waiting >= MAX_WAITING:
            refused = await self._make_room(route.priority)
        if refused is not None:
            return expression.Error(refused)
        wait_ms = WAIT_WITHOUT_SLOTS_MS if held == 0 else 2 * limit_ms
        wait_ms = max(wait_ms, WAIT_LIMIT_MIN_MS)
        queue.entered += 1
        return expression.Ok(
            Place(
                call=call,
                route=route,
                wait_until_ms=min(call.deadline_at_ms, now_ms + int(wait_ms)),
            )
        )

    def _wait_limit_ms(
        self,
        call: calls.Call,
        route: messages.ServiceRoute,
        queue: _ServiceQueue,
    ) -> float:
        """Returns the longest expected wait that is worth admitting."""
        now_ms = self._clock.monotonic_ms()
        latency_ms = self._latency_ms(route.service)
        limit_ms = max(latency_ms, route.tail_target_ms - 1.5 * latency_ms)
        if now_ms - queue.empty_ms > STANDING_QUEUE_MS:
            limit_ms = min(limit_ms, latency_ms)
        return min(limit_ms, call.deadline_at_ms - now_ms - latency_ms)

    def _check(
        self,
        route: messages.ServiceRoute,
        held: int,
        ahead: int,
        limit_ms: float,
    ) -> Refused | None:
        if limit_ms < 0:
            return Refused(503, "its deadline can't be met")
        if held == 0:
            if ahead >= MAX_WAITING_WITHOUT_SLOTS:
                return Refused(503, "no slots of the service are held here")
            return None
        if ahead < 0:
            return None
        wait_ms = (ahead + 1) * self._latency_ms(route.service) / held
        if wait_ms > limit_ms:
            return Refused(503, "overloaded: the wait would be too long")
        return None

    def _latency_ms(self, service: str) -> float:
        return self.router.typical_latency_ms(service) or LATENCY_UNKNOWN_MS

    async def _make_room(self, priority: int) -> Refused | None:
        """Refuses the latest waiting request of the lowest priority."""
        lowest: Place | None = None
        for queue in self._queues.values():
            if not queue.waiting:
                continue
            last = queue.waiting[-1]
            if lowest is None or last.route.priority < lowest.route.priority:
                lowest = last
        if lowest is None or lowest.route.priority >= priority:
            return Refused(503, "overloaded: too many requests wait")
        self._remove(lowest)
        lowest.refused = Refused(503, "overloaded: displaced by priority")
        await lowest.ready.set()
        return None

    def enter_again(self, place: Place, tried: view_lib.Executor) -> Place:
        """Admits a request for one more attempt, at another executor."""
        self._queue(place.route.service).entered += 1
        now_ms = self._clock.monotonic_ms()
        return Place(
            call=place.call,
            route=place.route,
            wait_until_ms=min(
                place.call.deadline_at_ms, now_ms + WAIT_LIMIT_MIN_MS
            ),
            exclude=place.exclude | {tried.address.name},
        )

    def leave(self, place: Place) -> None:
        """Gives up a place that never got a slot."""
        self._queue(place.route.service).entered -= 1

    async def wait(
        self, place: Place
    ) -> expression.Result[view_lib.Executor, Refused]:
        """Waits for a slot; the place is given up either way."""
        try:
            executor = self._reserve_at_once(place)
            if executor is not None:
                return expression.Ok(executor)
            return await self._wait_in_line(place)
        finally:
            self.leave(place)

    def _reserve_at_once(self, place: Place) -> view_lib.Executor | None:
        queue = self._queue(place.route.service)
        if queue.waiting:
            return None
        return self.router.reserve(place.route.service, place.exclude)

    async def _wait_in_line(
        self, place: Place
    ) -> expression.Result[view_lib.Executor, Refused]:
        queue = self._queue(place.route.service)
        if place.exclude:
            queue.waiting.appendleft(place)
        else:
            queue.waiting.append(place)
        self.waiting += 1
        left_ms = place.wait_until_ms - self._clock.monotonic_ms()
        try:
            async with curio.timeout_after(clock_lib.seconds(max(0, left_ms))):
                await place.ready.wait()
        except curio.TaskTimeout:
            pass
        except BaseException:
            self._give_back(place)
            raise
        finally:
            self._remove(place)
        if place.executor is not None:
            return expression.Ok(place.executor)
        refused = place.refused or Refused(503, "no slot came free in time")
        return expression.Error(refused)

    def _give_back(self, place: Place) -> None:
        if place.executor is not None:
            self.router.release(place.executor)

    def _remove(self, place: Place) -> None:
        queue = self._queue(place.route.service)
        if place in queue.waiting:
            queue.waiting.remove(place)
            self.waiting -= 1

    async def dispatch(self, service: str) -> None:
        """Gives free slots to waiting requests, first come first served."""
        queue = self._queue(service)
        while await self._serve_one(queue, service):
            pass
        if not queue.waiting:
            queue.empty_ms = self._clock.monotonic_ms()

    async def _serve_one(self, queue: _ServiceQueue, service: str) -> bool:
        for place in queue.waiting:
            executor = self.router.reserve(service, place.exclude)
            if executor is not None:
                place.executor = executor
                self._remove(place)
                await place.ready.set()
                return True
            if not place.exclude:
                return False
        return False

    async def dispatch_all(self) -> None:
        """Gives free slots to waiting requests of every service."""
        for service in list(self._queues):
            await self.dispatch(service)

    def _queue(self, service: str) -> _ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = _ServiceQueue(empty_ms=self._clock.monotonic_ms())
            self._queues[service] = queue
        return queue
