"""Chooses the executor of a request: least expected wait over held slots."""

import dataclasses
import random

from galenahook import clock as clock_lib
from galenahook.upstreams import pool as pool_lib
from galenahook.upstreams import view as view_lib

ZONE_COST_MS = 1.0
LATENCY_WEIGHT = 0.2
LATENCY_HALF_LIFE_MS = 5_000
LATENCY_FRESH_MS = 1_000
FAILURES_TO_EJECT = 3
EJECT_MIN_MS = 1_000
EJECT_MAX_MS = 30_000
RETURN_RAMP_MS = 5_000
MAX_CANDIDATES = 8
MAX_EJECTED_SHARE = 0.5
RETRY_TOKENS_MAX = 10.0
RETRY_TOKENS_PER_REQUEST = 0.1


@dataclasses.dataclass(slots=True)
class _ServiceStatistics:
    """What routing knows of one service.

    Attributes:
      latency_ms: Mean latency of its answers, 0 before the first.
      sampled_ms: When the last answer came.
      retry_tokens: Retries left in the budget.
      busy: Slots in use.
      held: Slots granted on usable executors.
      held_changes: `EntryView.changes` when `held` was counted.
    """

    latency_ms: float = 0.0
    sampled_ms: int = 0
    retry_tokens: float = RETRY_TOKENS_MAX
    busy: int = 0
    held: int = 0
    held_changes: int = -1


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
        """Takes a free slot of the executor with the least expected wait.

        Args:
          service: The service asked for.
          exclude: Names of executors that this request has already tried.

        Returns:
          The executor, whose slot must be released, or None if no slot is
          free.
        """
        if not self.view.may_start():
            return None
        now_ms = self._clock.monotonic_ms()
        candidates = self._candidates(service, now_ms, exclude)
        typical_ms = self.typical_latency_ms(service)
        while candidates:
            best = min(
                candidates,
                key=lambda item: self._expected_ms(item, typical_ms, now_ms),
            )
            if self.pool.has_room(best):
                best.busy += 1
                self._statistics(service).busy += 1
                return best
            candidates.remove(best)
        return None

    def _candidates(
        self, service: str, now_ms: int, exclude: frozenset[str]
    ) -> list[view_lib.Executor]:
        """Returns executors with a free slot, a few of them if many have."""
        usable = self.view.usable_executors(service)
        in_service = [
            executor
            for executor in usable
            if now_ms >= executor.learned.eject_until_ms
        ]
        if len(in_service) < len(usable) * (1 - MAX_EJECTED_SHARE):
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
        """Returns the granted slots, fewer while it returns from ejection.

        An ejected executor is used only where too few others are left, and
        then with all its slots.
        """
        learned = executor.learned
        since_ms = now_ms - learned.eject_until_ms
        if learned.ejections == 0 or not 0 <= since_ms < RETURN_RAMP_MS:
            return executor.granted
        ramp = int(executor.granted * since_ms / RETURN_RAMP_MS)
        return min(executor.granted, max(1, ramp))

    def _expected_ms(
        self, executor: view_lib.Executor, typical_ms: float, now_ms: int
    ) -> float:
        """Returns the expected wait; what was learned ages to the typical."""
        learned = executor.learned
        latency_ms = typical_ms
        if learned.latency_ms > 0:
            age_ms = now_ms - learned.sampled_ms
            keep = 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)
            latency_ms += (learned.latency_ms - typical_ms) * keep
        address = executor.address
        load = executor.busy / max(1, address.slots)
        if address.availability_zone == self.view.availability_zone:
            return latency_ms * (1 + load)
        return latency_ms * (1 + load) + ZONE_COST_MS

    def typical_latency_ms(self, service: str) -> float:
        """Returns the mean latency of the service's answers, 0 if unknown.

        It fades while no answer comes, so that requests refused for a high
        latency do not keep it from being measured again.
        """
        statistics = self._statistics(service)
        age_ms = self._clock.monotonic_ms() - statistics.sampled_ms
        if age_ms <= LATENCY_FRESH_MS:
            return statistics.latency_ms
        return statistics.latency_ms * 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)

    def free_slots(self, service: str) -> int:
        """Returns the granted slots not in use; negative if some went."""
        return self.held_slots(service) - self._statistics(service).busy

    def held_slots(self, service: str) -> int:
        """Returns the granted slots of usable executors."""
        statistics = self._statistics(service)
        if statistics.held_changes != self.view.changes:
            statistics.held_changes = self.view.changes
            statistics.held = sum(
                executor.granted
                for executor in self.view.usable_executors(service)
            )
        return statistics.held

    def release(self, executor: view_lib.Executor) -> None:
        """Frees the slot of a request that certainly runs no more."""
        executor.busy -= 1
        self._statistics(executor.address.service).busy -= 1

    def abandon(self, executor: view_lib.Executor) -> None:
        """Gives up the slot of a request that may still be running.

        The leader hands it out again once the executor shows that it is free.
        """
        self.release(executor)
        executor.abandoned += 1
        executor.granted = max(0, executor.granted - 1)

    def record_answer(
        self, executor: view_lib.Executor, latency_ms: float
    ) -> None:
        """Learns from a whole answer."""
        now_ms = self._clock.monotonic_ms()
        learned = executor.learned
        learned.failures = 0
        if now_ms - learned.eject_until_ms >= RETURN_RAMP_MS:
            learned.ejections = 0
        learned.latency_ms = _mean_with(learned.latency_ms, latency_ms)
        learned.sampled_ms = now_ms
        statistics = self._statistics(executor.address.service)
        statistics.latency_ms = _mean_with(statistics.latency_ms, latency_ms)
        statistics.sampled_ms = now_ms

    def record_failure(self, executor: view_lib.Executor) -> None:
        """Learns from a failed attempt; ejects after several in a row."""
        learned = executor.learned
        learned.failures += 1
        if learned.failures < FAILURES_TO_EJECT and learned.ejections == 0:
            return
        pause_ms = min(EJECT_MAX_MS, EJECT_MIN_MS << min(learned.ejections, 10))
        learned.eject_until_ms = self._clock.monotonic_ms() + pause_ms
        learned.ejections += 1
        learned.failures = 0

    def earn_retry(self, service: str) -> None:
        """Adds one request's share to the retry budget."""
        statistics = self._statistics(service)
        tokens = statistics.retry_tokens + RETRY_TOKENS_PER_REQUEST
        statistics.retry_tokens = min(RETRY_TOKENS_MAX, tokens)

    def spend_retry(self, service: str) -> bool:
        """Takes one retry from the budget, if it has one."""
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


def _mean_with(mean: float, sample: float) -> float:
    if mean <= 0:
        return sample
    return mean + LATENCY_WEIGHT * (sample - mean)
