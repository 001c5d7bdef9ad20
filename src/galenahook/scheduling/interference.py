"""Interference: how much batch work of a class slows a service beside it.

For each service and job class a weight is learned: the relative rise of the
service's 99th percentile if the class took the whole VM. The samples lag, so
they are set against the batch work that ran when they were taken. A weight
with few samples is drawn towards the mean of its class, and samples lose
their say when the service's load shifts.
"""

from collections.abc import Mapping
import dataclasses

PRIOR_WEIGHT = 0.3
SHRINKAGE_SAMPLES = 4.0
MAX_SAMPLES = 20.0
MIN_REQUESTS = 5
FULL_REQUESTS = 40
QUIET_SHARE = 0.03
BASE_STEP = 0.2
BASE_STEP_BESIDE_BATCH = 0.02
LOAD_STEP = 0.2
LOAD_SHIFT = 1.5
KEPT_AFTER_SHIFT = 0.7
MAX_SLOWDOWN = 20.0

Shares = Mapping[str, float]


@dataclasses.dataclass(slots=True)
class Weight:
    """Learned weight of one pair.

    Attributes:
      value: Relative rise of the tail at a share of 1.
      samples: How many samples speak for it.
    """

    value: float = PRIOR_WEIGHT
    samples: float = 0.0


@dataclasses.dataclass(slots=True)
class Baseline:
    """A service's tail without batch work beside it.

    Attributes:
      p99_ms: 99th percentile.
      load: Requests in a window, as a moving mean.
    """

    p99_ms: float
    load: float


class InterferenceModel:
    """Weights of every pair seen, and the baseline of every service.

    Attributes:
      weights: Weights by service and class.
      classes: Mean weight of each class over services.
      baselines: Baselines by service.
    """

    __slots__ = ("baselines", "classes", "weights")

    def __init__(self) -> None:
        self.weights: dict[tuple[str, str], Weight] = {}
        self.classes: dict[str, Weight] = {}
        self.baselines: dict[str, Baseline] = {}

    def weight(self, service: str, job_class: str) -> float:
        """Returns the weight of a pair, drawn towards its class's mean."""
        mean = self.classes.get(job_class)
        prior = mean.value if mean else PRIOR_WEIGHT
        own = self.weights.get((service, job_class))
        if own is None:
            return prior
        total = own.samples + SHRINKAGE_SAMPLES
        return (own.samples * own.value + SHRINKAGE_SAMPLES * prior) / total

    def slowdown(self, service: str, shares: Shares) -> float:
        """Returns the predicted relative rise of a service's tail."""
        return sum(
            self.weight(service, job_class) * share
            for job_class, share in shares.items()
        )

    def observe(
        self, service: str, p99_ms: float, requests: int, shares: Shares
    ) -> None:
        """Learns from one window.

        Args:
          service: Name of the service.
          p99_ms: 99th percentile of the window.
          requests: Requests in the window.
          shares: Share of the VM's processors that each class had then.
        """
        if requests < MIN_REQUESTS or p99_ms <= 0:
            return
        trust = min(1.0, requests / FULL_REQUESTS)
        predicted = self.slowdown(service, shares)
        base = self.baselines.get(service)
        if base is None:
            base = Baseline(p99_ms / (1 + predicted), float(requests))
            self.baselines[service] = base
        self._follow_load(service, base, requests)
        rise = min(MAX_SLOWDOWN, p99_ms / base.p99_ms - 1)
        if sum(shares.values()) < QUIET_SHARE:
            base.p99_ms += BASE_STEP * trust * (p99_ms - base.p99_ms)
            return
        quiet_ms = p99_ms / (1 + predicted)
        step = BASE_STEP if rise < 0 else BASE_STEP_BESIDE_BATCH
        base.p99_ms += step * trust * (quiet_ms - base.p99_ms)
        self._correct(service, shares, rise - predicted, trust)

    def _follow_load(self, service: str, base: Baseline, requests: int) -> None:
        ratio = requests / max(1.0, base.load)
        base.load += LOAD_STEP * (requests - base.load)
        if 1 / LOAD_SHIFT < ratio < LOAD_SHIFT:
            return
        for (name, _), weight in self.weights.items():
            if name == service:
                weight.samples *= KEPT_AFTER_SHIFT

    def _correct(
        self, service: str, shares: Shares, error: float, trust: float
    ) -> None:
        norm = sum(share * share for share in shares.values()) + 1e-3
        for job_class, share in shares.items():
            weight = self.weights.get((service, job_class))
            if weight is None:
                start = self.weight(service, job_class)
                weight = Weight(value=start)
                self.weights[service, job_class] = weight
            part = share * share / norm
            step = trust * part / (1 + 0.3 * weight.samples)
            weight.value = max(0.0, weight.value + step * error / share)
            weight.samples = min(MAX_SAMPLES, weight.samples + trust * part)
            self._renew_mean(job_class)

    def _renew_mean(self, job_class: str) -> None:
        total = SHRINKAGE_SAMPLES
        value = SHRINKAGE_SAMPLES * PRIOR_WEIGHT
        for (_, name), weight in self.weights.items():
            if name == job_class:
                total += weight.samples
                value += weight.samples * weight.value
        self.classes[job_class] = Weight(value / total, total)
