"""Chooses an executor for each request by least expected latency."""

import dataclasses
import random

from galenahook import clock as clock_lib
from galenahook.upstreams import pool as pool_lib
from galenahook.upstreams import view as view_lib

# Added to the expected latency of executors in other availability zones.
CROSS_ZONE_COST_MS = 1.0
# Weight of a new sample in the moving averages of latency.
LATENCY_SAMPLE_WEIGHT = 0.2
LATENCY_HALF_LIFE_MS = 5_000
# A service's mean latency starts to decay this long after the last sample.
LATENCY_DECAY_DELAY_MS = 1_000
FAILURES_TO_EJECT = 3
EJECTION_MIN_MS = 1_000
EJECTION_MAX_MS = 30_000
# An executor regains its slots gradually over this time after an ejection.
SLOT_RAMP_MS = 5_000
MAX_CANDIDATES = 8
# With more executors of a service ejected, ejections are ignored.
MAX_EJECTED_FRACTION = 0.5
RETRY_TOKENS_MAX = 10.0
RETRY_TOKENS_PER_REQUEST = 0.1


@dataclasses.dataclass(slots=True)
class _ServiceStatistics:
    """Routing statistics of one service.

    Attributes:
      latency_ms: Moving average of the response latency, 0 without samples.
      sampled_ms: When the last response arrived.
      retry_tokens: Retries left in the budget.
      busy: Slots in use.
      held: Slots granted on usable executors.
      held_version: `EntryView.changes` when `held` was counted.
    """

    latency_ms: float = 0.0
    sampled_ms: int = 0
    retry_tokens: float = RETRY_TOKENS_MAX
    busy: int = 0
    held: int = 0
    held_version: int = -1


class Router:
    """Reserves slots of executors for requests.

    Attributes:
      view: The entry's view.
      pool: Connections to the executors.
    """

    def __init__(
        self,
        view: view_lib.EntryView,
        pool: pool_lib.ExecutorPool,
        clock: clock_lib.Clock,
    ) -> None:
        self.view = view
        self.pool = pool
        self._clock = clock
        self._random = random.Random()
        self._services: dict[str, _ServiceStatistics] = {}

    def reserve(
        self, service: str, exclude: frozenset[str] = frozenset()
    ) -> view_lib.Executor | None:
        """Reserves a slot of the executor with the least expected latency.

        Args:
          service: The requested service.
          exclude: Names of executors that this request has already tried.

        Returns:
          The executor, whose slot must be released, or None if no slot is
          free.
        """
        if not self.view.has_lease():
            return None
        now_ms = self._clock.monotonic_ms()
        candidates = self._candidates(service, now_ms, exclude)
        typical_ms = self.typical_latency_ms(service)
        while candidates:
            best = min(
                candidates,
                key=lambda item: self._expected_ms(item, typical_ms, now_ms),
            )
            if self.pool.has_connection(best):
                best.busy += 1
                self._statistics(service).busy += 1
                return best
            candidates.remove(best)
        return None

    def _candidates(
        self, service: str, now_ms: int, exclude: frozenset[str]
    ) -> list[view_lib.Executor]:
        """Returns executors with a free slot, a random sample if many have."""
        usable = self.view.usable_executors(service)
        in_service = [
            executor
            for executor in usable
            if now_ms >= executor.statistics.eject_until_ms
        ]
        if len(in_service) < len(usable) * (1 - MAX_EJECTED_FRACTION):
            in_service = usable
        if all(item.address.name in exclude for item in in_service):
            exclude = frozenset()
        free = [
            executor
            for executor in in_service
            if executor.busy < executor.granted
            and executor.busy < self._slot_limit(executor, now_ms)
            and executor.address.name not in exclude
        ]
        if len(free) > MAX_CANDIDATES:
            free = self._random.sample(free, MAX_CANDIDATES)
        return free

    def _slot_limit(self, executor: view_lib.Executor, now_ms: int) -> int:
        """Returns the usable slots, fewer than granted after an ejection.

        The limit rises linearly over `SLOT_RAMP_MS`. An executor that is
        still ejected is a candidate only if too many others are ejected too;
        all of its granted slots are usable then.
        """
        statistics = executor.statistics
        since_ms = now_ms - statistics.eject_until_ms
        if statistics.ejections == 0 or not 0 <= since_ms < SLOT_RAMP_MS:
            return executor.granted
        ramp = int(executor.granted * since_ms / SLOT_RAMP_MS)
        return min(executor.granted, max(1, ramp))

    def _expected_ms(
        self, executor: view_lib.Executor, typical_ms: float, now_ms: int
    ) -> float:
        """Returns the expected latency, weighted by load and zone.

        An executor's average decays towards the service's typical latency.
        """
        statistics = executor.statistics
        latency_ms = typical_ms
        if statistics.latency_ms > 0:
            age_ms = now_ms - statistics.sampled_ms
            decay = 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)
            latency_ms += (statistics.latency_ms - typical_ms) * decay
        address = executor.address
        load = executor.busy / max(1, address.slots)
        if address.availability_zone == self.view.availability_zone:
            return latency_ms * (1 + load)
        return latency_ms * (1 + load) + CROSS_ZONE_COST_MS

    def typical_latency_ms(self, service: str) -> float:
        """Returns the mean response latency of the service, 0 if unknown.

        It decays while no response arrives: otherwise a high estimate could
        get every request refused, and would never be measured again.
        """
        statistics = self._statistics(service)
        age_ms = self._clock.monotonic_ms() - statistics.sampled_ms
        if age_ms <= LATENCY_DECAY_DELAY_MS:
            return statistics.latency_ms
        return statistics.latency_ms * 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)

    def free_slots(self, service: str) -> int:
        """Returns the granted slots not in use.

        Negative if a grant was reduced below the slots in use.
        """
        return self.held_slots(service) - self._statistics(service).busy

    def held_slots(self, service: str) -> int:
        """Returns the granted slots of usable executors."""
        statistics = self._statistics(service)
        if statistics.held_version != self.view.changes:
            statistics.held_version = self.view.changes
            statistics.held = sum(
                executor.granted
                for executor in self.view.usable_executors(service)
            )
        return statistics.held

    def release(self, executor: view_lib.Executor) -> None:
        """Releases the slot of a request that is certainly not running."""
        executor.busy -= 1
        self._statistics(executor.address.service).busy -= 1

    def abandon(self, executor: view_lib.Executor) -> None:
        """Abandons the slot of a request that may still be running.

        The leader grants it again once an announcement of the executor shows
        that it is free.
        """
        self.release(executor)
        executor.abandoned += 1
        executor.granted = max(0, executor.granted - 1)

    def record_response(
        self, executor: view_lib.Executor, latency_ms: float
    ) -> None:
        """Updates the statistics after a complete response."""
        now_ms = self._clock.monotonic_ms()
        statistics = executor.statistics
        statistics.failures = 0
        if now_ms - statistics.eject_until_ms >= SLOT_RAMP_MS:
            statistics.ejections = 0
        statistics.latency_ms = _moving_average(
            statistics.latency_ms, latency_ms
        )
        statistics.sampled_ms = now_ms
        by_service = self._statistics(executor.address.service)
        by_service.latency_ms = _moving_average(
            by_service.latency_ms, latency_ms
        )
        by_service.sampled_ms = now_ms

    def record_failure(self, executor: view_lib.Executor) -> None:
        """Counts a failed attempt; ejects the executor after several in a row.

        Until it responds after its slots are fully restored, every further
        failure ejects it again, for twice as long.
        """
        statistics = executor.statistics
        statistics.failures += 1
        if (
            statistics.failures < FAILURES_TO_EJECT
            and statistics.ejections == 0
        ):
            return
        ejection_ms = min(
            EJECTION_MAX_MS, EJECTION_MIN_MS << min(statistics.ejections, 10)
        )
        statistics.eject_until_ms = self._clock.monotonic_ms() + ejection_ms
        statistics.ejections += 1
        statistics.failures = 0

    def earn_retry_tokens(self, service: str) -> None:
        """Adds the retry tokens that one request earns to the budget."""
        statistics = self._statistics(service)
        tokens = statistics.retry_tokens + RETRY_TOKENS_PER_REQUEST
        statistics.retry_tokens = min(RETRY_TOKENS_MAX, tokens)

    def spend_retry_token(self, service: str) -> bool:
        """Takes a token from the retry budget; returns False if it is empty."""
        statistics = self._statistics(service)
        if statistics.retry_tokens < 1:
            return False
        statistics.retry_tokens -= 1
        return True

    def _statistics(self, service: str) -> _ServiceStatistics:
        statistics = self._services.get(service)
        if statistics is None:
            statistics = _ServiceStatistics()
            self._services[service] = statistics
        return statistics


def _moving_average(mean: float, sample: float) -> float:
    if mean <= 0:
        return sample
    return mean + LATENCY_SAMPLE_WEIGHT * (sample - mean)
