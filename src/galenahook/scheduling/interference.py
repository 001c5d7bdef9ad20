"""Interference: how much a class of batch tasks slows a colocated service.

For each service and job class a weight is learned: the relative increase of
the service's 99th percentile if the class used the whole VM. Samples arrive
with a delay, so they are matched with the batch tasks that ran when they were
taken. A weight with few samples is shrunk towards the mean of its class, and
older samples count less after the load of the service shifts.
"""

from collections.abc import Mapping
import dataclasses

# Weight of a pair or class without samples.
PRIOR_WEIGHT = 0.3
# Number of samples that the mean of the class counts for.
SHRINKAGE_SAMPLES = 4.0
# Bounds the sample count, so that a weight keeps adapting.
MAX_SAMPLES = 20.0
# Windows with fewer requests are ignored.
MIN_REQUESTS = 5
# Windows with fewer requests are weighted down in proportion.
FULL_CONFIDENCE_REQUESTS = 40
# With a smaller share of batch tasks, a window counts as undisturbed.
NEGLIGIBLE_BATCH_SHARE = 0.03
# Gains of moving averages; the baseline adapts more slowly when a service is
# slower than its baseline while batch tasks are colocated, as they may be the
# cause.
BASELINE_GAIN = 0.2
COLOCATED_BASELINE_GAIN = 0.02
LOAD_GAIN = 0.2
# Ratio of a window's requests to the mean, up or down, that counts as a shift.
LOAD_SHIFT_RATIO = 1.5
# Factor applied to sample counts after a load shift.
LOAD_SHIFT_DECAY = 0.7
# Bounds the relative increase that is learned from one window.
MAX_SLOWDOWN = 20.0

Shares = Mapping[str, float]


@dataclasses.dataclass(slots=True)
class Weight:
    """Learned weight of a service and a job class.

    Attributes:
      value: Relative increase of the tail latency if the class uses the
        whole VM.
      samples: Effective number of samples.
    """

    value: float = PRIOR_WEIGHT
    samples: float = 0.0


@dataclasses.dataclass(slots=True)
class Baseline:
    """Tail latency of a service without colocated batch tasks.

    Attributes:
      p99_ms: 99th percentile.
      load: Moving average of the number of requests in a window.
    """

    p99_ms: float
    load: float


class InterferenceModel:
    """Learned interference weights and baselines of services.

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
        """Returns the weight of a pair, shrunk towards its class's mean."""
        mean = self.classes.get(job_class)
        prior = mean.value if mean else PRIOR_WEIGHT
        own = self.weights.get((service, job_class))
        if own is None:
            return prior
        total = own.samples + SHRINKAGE_SAMPLES
        return (own.samples * own.value + SHRINKAGE_SAMPLES * prior) / total

    def slowdown(self, service: str, shares: Shares) -> float:
        """Returns the predicted relative increase of a service's tail."""
        return sum(
            self.weight(service, job_class) * share
            for job_class, share in shares.items()
        )

    def observe(
        self, service: str, p99_ms: float, requests: int, shares: Shares
    ) -> None:
        """Updates the model with one measured window.

        Args:
          service: Name of the service.
          p99_ms: 99th percentile of the window.
          requests: Requests in the window.
          shares: Share of the VM's processors that each class used then.
        """
        if requests < MIN_REQUESTS or p99_ms <= 0:
            return
        confidence = min(1.0, requests / FULL_CONFIDENCE_REQUESTS)
        predicted = self.slowdown(service, shares)
        base = self.baselines.get(service)
        if base is None:
            base = Baseline(p99_ms / (1 + predicted), float(requests))
            self.baselines[service] = base
        self._update_load(service, base, requests)
        increase = min(MAX_SLOWDOWN, p99_ms / base.p99_ms - 1)
        if sum(shares.values()) < NEGLIGIBLE_BATCH_SHARE:
            base.p99_ms += BASELINE_GAIN * confidence * (p99_ms - base.p99_ms)
            return
        uncontended_ms = p99_ms / (1 + predicted)
        step = BASELINE_GAIN if increase < 0 else COLOCATED_BASELINE_GAIN
        base.p99_ms += step * confidence * (uncontended_ms - base.p99_ms)
        self._update_weights(service, shares, increase - predicted, confidence)

    def _update_load(self, service: str, base: Baseline, requests: int) -> None:
        ratio = requests / max(1.0, base.load)
        base.load += LOAD_GAIN * (requests - base.load)
        if 1 / LOAD_SHIFT_RATIO < ratio < LOAD_SHIFT_RATIO:
            return
        for (name, _), weight in self.weights.items():
            if name == service:
                weight.samples *= LOAD_SHIFT_DECAY

    def _update_weights(
        self, service: str, shares: Shares, error: float, confidence: float
    ) -> None:
        norm = sum(share * share for share in shares.values()) + 1e-3
        for job_class, share in shares.items():
            weight = self.weights.get((service, job_class))
            if weight is None:
                start = self.weight(service, job_class)
                weight = Weight(value=start)
                self.weights[service, job_class] = weight
            part = share * share / norm
            step = confidence * part / (1 + 0.3 * weight.samples)
            weight.value = max(0.0, weight.value + step * error / share)
            weight.samples = min(
                MAX_SAMPLES, weight.samples + confidence * part
            )
            self._update_class_mean(job_class)

    def _update_class_mean(self, job_class: str) -> None:
        total = SHRINKAGE_SAMPLES
        value = SHRINKAGE_SAMPLES * PRIOR_WEIGHT
        for (_, name), weight in self.weights.items():
            if name == job_class:
                total += weight.samples
                value += weight.samples * weight.value
        self.classes[job_class] = Weight(value / total, total)
