"""Chooses the executor of a request: least expected wait over held slots."""

import dataclasses

from galenahook import clock as clock_lib
from galenahook.upstreams import pool as pool_lib
from galenahook.upstreams import view as view_lib

ZONE_COST_MS = 1.0
LATENCY_WEIGHT = 0.2
LATENCY_HALF_LIFE_MS = 5_000
FAILURES_TO_EJECT = 3
EJECT_MIN_MS = 1_000
EJECT_MAX_MS = 30_000
RETURN_RAMP_MS = 5_000
MAX_EJECTED_SHARE = 0.5
RETRY_TOKENS_MAX = 10.0
RETRY_TOKENS_PER_REQUEST = 0.1


@dataclasses.dataclass(slots=True)
class _Score:
    """What routing has learned of one incarnation of an executor."""

    incarnation: str
    latency_ms: float = 0.0
    sampled_ms: int = 0
    failures: int = 0
    ejections: int = 0
    eject_until_ms: int = 0


@dataclasses.dataclass(slots=True)
class _ServiceStatistics:
    """What routing has learned of one service."""

    latency_ms: float = 0.0
    retry_tokens: float = RETRY_TOKENS_MAX


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
        self._scores: dict[str, _Score] = {}
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
        candidates = list(self.view.usable_executors(service))
        in_service = [
            executor
            for executor in candidates
            if not self._is_ejected(executor, now_ms)
        ]
        if len(in_service) < len(candidates) * (1 - MAX_EJECTED_SHARE):
            in_service = candidates
        if all(item.address.name in exclude for item in in_service):
            exclude = frozenset()
        best = None
        best_ms = 0.0
        for executor in in_service:
            if not self._has_free_slot(executor, now_ms, exclude):
                continue
            wait_ms = self._expected_ms(executor, service, now_ms)
            if best is None or wait_ms < best_ms:
                best = executor
                best_ms = wait_ms
        if best is not None:
            best.busy += 1
        return best

    def _has_free_slot(
        self,
        executor: view_lib.Executor,
        now_ms: int,
        exclude: frozenset[str],
    ) -> bool:
        if executor.address.name in exclude:
            return False
        if executor.busy >= self._slot_limit(executor, now_ms):
            return False
        return self.pool.has_room(executor)

    def _slot_limit(self, executor: view_lib.Executor, now_ms: int) -> int:
        """Returns the granted slots, fewer while it returns from ejection."""
        score = self._score(executor)
        since_ms = now_ms - score.eject_until_ms
        if score.ejections == 0 or since_ms >= RETURN_RAMP_MS:
            return executor.granted
        ramp = int(executor.granted * since_ms / RETURN_RAMP_MS)
        return min(executor.granted, max(1, ramp))

    def _is_ejected(self, executor: view_lib.Executor, now_ms: int) -> bool:
        return now_ms < self._score(executor).eject_until_ms

    def _expected_ms(
        self, executor: view_lib.Executor, service: str, now_ms: int
    ) -> float:
        latency_ms = self._latency_ms(executor, service, now_ms)
        load = executor.busy / max(1, executor.address.slots)
        zone = executor.address.availability_zone
        zone_ms = 0.0 if zone == self.view.availability_zone else ZONE_COST_MS
        return latency_ms * (1 + load) + zone_ms

    def _latency_ms(
        self, executor: view_lib.Executor, service: str, now_ms: int
    ) -> float:
        """Returns the learned latency, which ages towards the service's."""
        typical_ms = self.typical_latency_ms(service)
        score = self._score(executor)
        if score.latency_ms <= 0:
            return typical_ms
        age_ms = now_ms - score.sampled_ms
        keep = 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)
        return typical_ms + (score.latency_ms - typical_ms) * keep

    def typical_latency_ms(self, service: str) -> float:
        """Returns the mean latency of the service's answers, 0 if unknown."""
        return self._statistics(service).latency_ms

    def free_slots(self, service: str) -> int:
        """Returns the granted slots not in use."""
        return sum(
            max(0, executor.granted - executor.busy)
            for executor in self.view.usable_executors(service)
        )

    def held_slots(self, service: str) -> int:
        """Returns the granted slots of usable executors."""
        return sum(
            executor.granted for executor in self.view.usable_executors(service)
        )

    def release(self, executor: view_lib.Executor) -> None:
        """Frees the slot of a request that certainly runs no more."""
        executor.busy -= 1

    def abandon(self, executor: view_lib.Executor) -> None:
        """Gives up the slot of a request that may still be running.

        The leader hands it out again once the executor shows that it is free.
        """
        executor.busy -= 1
        executor.abandoned += 1
        executor.granted = max(0, executor.granted - 1)

    def record_answer(
        self, executor: view_lib.Executor, latency_ms: float
    ) -> None:
        """Learns from a whole answer."""
        now_ms = self._clock.monotonic_ms()
        score = self._score(executor)
        score.failures = 0
        if now_ms - score.eject_until_ms >= RETURN_RAMP_MS:
            score.ejections = 0
        score.latency_ms = _mean_with(score.latency_ms, latency_ms)
        score.sampled_ms = now_ms
        statistics = self._statistics(executor.address.service)
        statistics.latency_ms = _mean_with(statistics.latency_ms, latency_ms)

    def record_failure(self, executor: view_lib.Executor) -> None:
        """Learns from a failed attempt; ejects after several in a row."""
        score = self._score(executor)
        score.failures += 1
        if score.failures < FAILURES_TO_EJECT and score.ejections == 0:
            return
        pause_ms = min(EJECT_MAX_MS, EJECT_MIN_MS << min(score.ejections, 10))
        score.eject_until_ms = self._clock.monotonic_ms() + pause_ms
        score.ejections += 1
        score.failures = 0

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

    def _score(self, executor: view_lib.Executor) -> _Score:
        name = executor.address.name
        score = self._scores.get(name)
        if score is None or score.incarnation != executor.address.incarnation:
            score = _Score(executor.address.incarnation)
            self._scores[name] = score
        return score

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
