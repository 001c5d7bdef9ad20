"""Handles callers' requests from arrival to outcome."""

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import traceback

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook import messages
from galenahook import web
from galenahook.callers import admission as admission_lib
from galenahook.callers import attempts
from galenahook.callers import calls
from galenahook.callers import claimant as claimant_lib
from galenahook.callers import recent as recent_lib
from galenahook.platform import metrics as metrics_lib
from galenahook.upstreams import routing
from galenahook.upstreams import view as view_lib

MAX_ATTEMPTS = 3
# Slots from new grants or ended ejections are assigned at this interval.
DISPATCH_PERIOD_MS = 20
# Idle connections to executors that are stale or exceed the granted slots are
# closed at this interval.
CONNECTION_REAP_PERIOD_MS = 200
METRICS_PERIOD_MS = 1_000


class Outcome(enum.Enum):
    """Outcome of a request, as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class CallerHandler:
    """Handles the requests of callers at one entry.

    Attributes:
      view: The entry's lease, configuration and slots.
      router: Chooses executors.
      admission: Admission control and the queues of the services.
      recent: Recent requests, for log lines and explanations.
      handled: Number of requests so far.
    """

    def __init__(
        self,
        view: view_lib.EntryView,
        router: routing.Router,
        claim_keys: claimant_lib.ClaimFunction,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self.view = view
        self.router = router
        self.admission = admission_lib.Admission(router, clock)
        self._attempter = attempts.Attempter(router, clock)
        self._claimant = claimant_lib.Claimant(claim_keys, clock)
        self._clock = clock
        self._metrics = metrics
        self.recent = recent_lib.RecentRequests(clock)
        self.handled = 0
        self._periodic_started = False

    async def handle(self, request: web.Request) -> web.Response:
        """Responds to one request, even after an internal error."""
        await self._start_periodic()
        self.handled += 1
        identifier = (
            f"{self.view.name}-{self.view.incarnation[:8]}-{self.handled}"
        )
        started_ms = self._clock.monotonic_ms()
        parsed = calls.parse(request, identifier, self._clock)
        if parsed.is_error():
            response = _refuse(400, parsed.error)
        else:
            response = await self._handle_safely(parsed.ok)
        response.headers.append(
            (calls.REQUEST_HEADER, identifier.encode("ascii"))
        )
        elapsed_ms = self._clock.monotonic_ms() - started_ms
        self._count(response, elapsed_ms)
        outcome = response.header(calls.OUTCOME_HEADER).decode("ascii")
        self.recent.record(identifier, request, response, outcome, elapsed_ms)
        return response

    def _count(self, response: web.Response, elapsed_ms: int) -> None:
        outcome = response.header(calls.OUTCOME_HEADER).decode("ascii")
        self._metrics.increment(f"requests.{outcome}")
        self._metrics.timing(f"requests.{outcome}_ms", elapsed_ms)

    async def _handle_safely(self, call: calls.Call) -> web.Response:
        try:
            return await self._route(call)
        except Exception:  # An internal error must still report the outcome.
            self._metrics.increment("requests.faults")
            logs.error(
                "request:failed",
                request=call.identifier,
                method=call.request.method,
                target=call.request.target.partition("?")[0],
                traceback=traceback.format_exc(),
            )
            return _failure(call, 500, "internal error")

    async def _route(self, call: calls.Call) -> web.Response:
        if not self.view.has_lease():
            return _refuse(503, "this entry holds no lease")
        routes = self.view.configuration.routes
        route = calls.find_route(call.request.target, routes)
        if route is None:
            return _refuse(404, "no service has this route")
        demand = self.view.demand(route.service)
        demand.add()
        try:
            return await self._admit(call, route)
        finally:
            demand.remove()

    async def _admit(
        self, call: calls.Call, route: messages.ServiceRoute
    ) -> web.Response:
        decision = await self.admission.admit(call, route)
        if decision.is_error():
            latency_ms = self.router.typical_latency_ms(route.service)
            self.view.demand(route.service).refuse(latency_ms)
            return _refuse(decision.error.status, decision.error.reason)
        admitted = decision.ok
        if not call.key:
            return await self._run(call, route, admitted)
        return await self._run_with_key(call, route, admitted)

    async def _run_with_key(
        self,
        call: calls.Call,
        route: messages.ServiceRoute,
        admitted: admission_lib.AdmittedRequest,
    ) -> web.Response:
        claim = messages.KeyClaim(
            key=f"{route.service}:{call.key}", token=call.identifier
        )
        refusal = await self._claim(call, claim, admitted)
        if refusal is not None:
            return refusal
        try:
            return await self._run(call, route, admitted)
        finally:
            if not call.may_have_run:
                await self._claimant.release(claim)

    async def _claim(
        self,
        call: calls.Call,
        claim: messages.KeyClaim,
        admitted: admission_lib.AdmittedRequest,
    ) -> web.Response | None:
        try:
            granted = await self._claimant.claim(claim, call.deadline_at_ms)
        except errors.GalenahookError as error:
            self.admission.stop_counting(admitted)
            return _refuse(503, f"the key could not be claimed: {error}")
        except BaseException:
            self.admission.stop_counting(admitted)
            raise
        if not granted:
            self.admission.stop_counting(admitted)
            return _refuse(409, "duplicate")
        return None

    async def _run(
        self,
        call: calls.Call,
        route: messages.ServiceRoute,
        admitted: admission_lib.AdmittedRequest,
    ) -> web.Response:
        self.router.earn_retry_tokens(route.service)
        reason = ""
        for number in range(1, MAX_ATTEMPTS + 1):
            waited = await self.admission.wait(admitted)
            if waited.is_error():
                return _failure(call, 503, waited.error.reason)
            executor = waited.ok
            result = await self._attempt(call, executor)
            match result:
                case attempts.Answered(response=response):
                    return _answered(response)
                case attempts.Unsent(reason=reason):
                    pass
                case attempts.Uncertain(reason=reason):
                    if not call.repeatable or self._is_past_deadline(call):
                        return _failure(call, 504, reason)
            if number == MAX_ATTEMPTS:
                break
            if not self.router.spend_retry_token(route.service):
                reason = f"{reason}; no retry left in the budget"
                break
            admitted = self.admission.readmit(admitted, executor)
        return _failure(call, 502, reason)

    def _is_past_deadline(self, call: calls.Call) -> bool:
        return self._clock.monotonic_ms() >= call.deadline_at_ms

    async def _attempt(
        self, call: calls.Call, executor: view_lib.Executor
    ) -> attempts.Result:
        try:
            return await self._attempter.attempt(call, executor)
        finally:
            await self.admission.dispatch(executor.address.service)

    async def _start_periodic(self) -> None:
        if not self._periodic_started:
            self._periodic_started = True
            await curio.spawn(
                self._run_periodically,
                DISPATCH_PERIOD_MS,
                self._dispatch_waiting,
                daemon=True,
            )
            await curio.spawn(
                self._run_periodically,
                CONNECTION_REAP_PERIOD_MS,
                self._reap,
                daemon=True,
            )
            await curio.spawn(
                self._run_periodically,
                METRICS_PERIOD_MS,
                self._report_gauges,
                daemon=True,
            )

    async def _run_periodically(
        self, period_ms: int, action: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await curio.sleep(clock_lib.seconds(period_ms))
            try:
                await action()
            except Exception:  # A failure must not stop the periodic task.
                self._metrics.increment("requests.faults")
                logs.error("periodic:failed", traceback=traceback.format_exc())

    async def _dispatch_waiting(self) -> None:
        """Assigns slots that became free by new grants or ended ejections."""
        if self.admission.waiting:
            await self.admission.dispatch_all()

    async def _report_gauges(self) -> None:
        self._metrics.gauge("requests.waiting", self.admission.waiting)
        for route in self.view.configuration.routes:
            service = route.service
            held = self.router.held_slots(service)
            free = self.router.free_slots(service)
            self._metrics.gauge(f"slots.{service}.held", held)
            self._metrics.gauge(f"slots.{service}.busy", held - free)

    async def _reap(self) -> None:
        await self.router.pool.reap()


def _answered(response: web.Response) -> web.Response:
    headers = calls.end_to_end(response.headers)
    forwarded = web.Response(response.status, headers, response.body)
    return _with_outcome(forwarded, Outcome.ANSWERED)


def _refuse(status: int, reason: str) -> web.Response:
    return _with_outcome(web.refusal(status, reason), Outcome.NOT_RUN)


def _failure(call: calls.Call, status: int, reason: str) -> web.Response:
    """Builds the response to a request that ended without an answer.

    If an executor may have run it, the outcome is unknown, and a status of 503
    becomes 504, since 503 is for requests that were not run. If none has run
    it, the status is always 503.
    """
    if call.may_have_run:
        status = 504 if status == 503 else status
        return _with_outcome(web.refusal(status, reason), Outcome.UNKNOWN)
    return _refuse(503, reason)


def _with_outcome(response: web.Response, outcome: Outcome) -> web.Response:
    value = outcome.value.encode("ascii")
    response.headers.append((calls.OUTCOME_HEADER, value))
    return response
