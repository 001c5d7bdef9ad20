"""Admission control: a bounded queue for each service, and early refusals.

A request whose response would come too late is refused at once, before it
uses any resources. A request refused before its first attempt was not run.
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

# Requests of all services that wait; above it, a new request is refused, or a
# waiting one of lower priority.
MAX_WAITING_REQUESTS = 1_000
# Requests of one service that wait while this entry holds no slot of it.
MAX_WAITING_WITHOUT_SLOTS = 64
# A queue that has not been empty for this long gets a stricter wait limit.
STANDING_QUEUE_MS = 100
# Shortest timeout of a wait for a slot, and the timeout before another attempt.
# A deadline may end the wait earlier.
MIN_WAIT_TIMEOUT_MS = 300
# Timeout of a wait that begins while this entry holds no slot of the service.
WAIT_WITHOUT_SLOTS_TIMEOUT_MS = 1_000
# Latency assumed for a service without samples.
DEFAULT_LATENCY_MS = 20.0


@dataclasses.dataclass(slots=True)
class Refused:
    """A refusal; this attempt did not run the request.

    Attributes:
      status: HTTP status.
      reason: Explanation for people.
    """

    status: int
    reason: str


@dataclasses.dataclass(slots=True, eq=False)
class AdmittedRequest:
    """An admitted request that needs a slot.

    Attributes:
      call: The request.
      route: Route of its service.
      wait_until_ms: When its wait times out.
      exclude: Names of executors already tried.
      ready: Set when it gets a slot or is refused.
      executor: Executor whose slot it got, if any.
      refused: Set if it was refused while it waited.
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
    """Admitted requests of one service that have no slot.

    Attributes:
      waiting: Requests waiting for a slot, in order.
      without_slot: Number of admitted requests without a slot, including those
        that do not wait yet.
      last_empty_ms: Last time at which no request had to wait.
    """

    waiting: collections.deque[AdmittedRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    without_slot: int = 0
    last_empty_ms: int = 0


class Admission:
    """Admits or refuses requests, and assigns slots to them in order.

    Attributes:
      router: Reserves slots.
      waiting: Number of waiting requests of all services.
    """

    def __init__(self, router: routing.Router, clock: clock_lib.Clock) -> None:
        self.router = router
        self.waiting = 0
        self._clock = clock
        self._queues: dict[str, _ServiceQueue] = {}

    async def admit(
        self, call: calls.Call, route: messages.ServiceRoute
    ) -> expression.Result[AdmittedRequest, Refused]:
        """Admits a request to its service's queue, or refuses it at once."""
        queue = self._queue(route.service)
        now_ms = self._clock.monotonic_ms()
        held = self.router.held_slots(route.service)
        ahead = queue.without_slot - self.router.free_slots(route.service)
        if ahead < 0:
            queue.last_empty_ms = now_ms
        limit_ms = self._wait_limit_ms(call, route, queue)
        refused = self._check(route, held, ahead, limit_ms)
        if refused is None and self.waiting >= MAX_WAITING_REQUESTS:
            refused = await self._displace_lower_priority(route.priority)
        if refused is not None:
            return expression.Error(refused)
        # The actual wait may be twice the longest expected wait.
        wait_ms = WAIT_WITHOUT_SLOTS_TIMEOUT_MS if held == 0 else 2 * limit_ms
        wait_ms = max(wait_ms, MIN_WAIT_TIMEOUT_MS)
        queue.without_slot += 1
        return expression.Ok(
            AdmittedRequest(
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
        """Returns the longest expected wait at which a request is admitted."""
        now_ms = self._clock.monotonic_ms()
        latency_ms = self._latency_ms(route.service)
        # Leaves 1.5 times the typical latency of the target for running the
        # request, but allows a wait of at least the typical latency.
        limit_ms = max(latency_ms, route.tail_target_ms - 1.5 * latency_ms)
        if now_ms - queue.last_empty_ms > STANDING_QUEUE_MS:
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
        return self.router.typical_latency_ms(service) or DEFAULT_LATENCY_MS

    async def _displace_lower_priority(self, priority: int) -> Refused | None:
        """Refuses a waiting request of lower priority, to admit a new one.

        It is the last one in the queue with the lowest priority. If there is
        none, returns the refusal of the new request.
        """
        lowest: AdmittedRequest | None = None
        for queue in self._queues.values():
            if not queue.waiting:
                continue
            last = queue.waiting[-1]
            if lowest is None or last.route.priority < lowest.route.priority:
                lowest = last
        if lowest is None or lowest.route.priority >= priority:
            return Refused(503, "overloaded: too many requests wait")
        self._remove_from_queue(lowest)
        lowest.refused = Refused(503, "overloaded: displaced by priority")
        await lowest.ready.set()
        return None

    def readmit(
        self, admitted: AdmittedRequest, tried: view_lib.Executor
    ) -> AdmittedRequest:
        """Admits a request for one more attempt, on another executor."""
        self._queue(admitted.route.service).without_slot += 1
        now_ms = self._clock.monotonic_ms()
        return AdmittedRequest(
            call=admitted.call,
            route=admitted.route,
            wait_until_ms=min(
                admitted.call.deadline_at_ms, now_ms + MIN_WAIT_TIMEOUT_MS
            ),
            exclude=admitted.exclude | {tried.address.name},
        )

    def stop_counting(self, admitted: AdmittedRequest) -> None:
        """Stops counting an admitted request as one without a slot."""
        self._queue(admitted.route.service).without_slot -= 1

    async def wait(
        self, admitted: AdmittedRequest
    ) -> expression.Result[view_lib.Executor, Refused]:
        """Waits for a slot.

        Afterwards the request no longer counts as one without a slot, even if
        the wait failed.
        """
        try:
            executor = self._reserve_at_once(admitted)
            if executor is not None:
                return expression.Ok(executor)
            return await self._wait_in_queue(admitted)
        finally:
            self.stop_counting(admitted)

    def _reserve_at_once(
        self, admitted: AdmittedRequest
    ) -> view_lib.Executor | None:
        queue = self._queue(admitted.route.service)
        if queue.waiting:
            return None
        return self.router.reserve(admitted.route.service, admitted.exclude)

    async def _wait_in_queue(
        self, admitted: AdmittedRequest
    ) -> expression.Result[view_lib.Executor, Refused]:
        queue = self._queue(admitted.route.service)
        if admitted.exclude:
            queue.waiting.appendleft(admitted)
        else:
            queue.waiting.append(admitted)
        self.waiting += 1
        remaining_ms = admitted.wait_until_ms - self._clock.monotonic_ms()
        try:
            async with curio.timeout_after(
                clock_lib.seconds(max(0, remaining_ms))
            ):
                await admitted.ready.wait()
        except curio.TaskTimeout:
            pass
        except BaseException:
            self._release_slot(admitted)
            raise
        finally:
            self._remove_from_queue(admitted)
        if admitted.executor is not None:
            return expression.Ok(admitted.executor)
        refused = admitted.refused or Refused(503, "no slot came free in time")
        return expression.Error(refused)

    def _release_slot(self, admitted: AdmittedRequest) -> None:
        if admitted.executor is not None:
            self.router.release(admitted.executor)

    def _remove_from_queue(self, admitted: AdmittedRequest) -> None:
        queue = self._queue(admitted.route.service)
        if admitted in queue.waiting:
            queue.waiting.remove(admitted)
            self.waiting -= 1

    async def dispatch(self, service: str) -> None:
        """Assigns free slots to the waiting requests of a service, in order."""
        queue = self._queue(service)
        while await self._assign_one(queue, service):
            pass
        if not queue.waiting:
            queue.last_empty_ms = self._clock.monotonic_ms()

    async def _assign_one(self, queue: _ServiceQueue, service: str) -> bool:
        for admitted in queue.waiting:
            executor = self.router.reserve(service, admitted.exclude)
            if executor is not None:
                admitted.executor = executor
                self._remove_from_queue(admitted)
                await admitted.ready.set()
                return True
            if not admitted.exclude:
                return False
        return False

    async def dispatch_all(self) -> None:
        """Assigns free slots to the waiting requests of all services."""
        for service in list(self._queues):
            await self.dispatch(service)

    def _queue(self, service: str) -> _ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = _ServiceQueue(last_empty_ms=self._clock.monotonic_ms())
            self._queues[service] = queue
        return queue
