"""Estimates the headroom that colocated batch tasks leave to serving tasks.

The headroom of a serving task is its target tail latency divided by its
measured tail latency: 1 at the target, 4 at a quarter of it. Tail latency
grows as the reciprocal of the capacity that is left over, so the headroom
falls linearly with the share of the worker that colocated batch tasks use:

    headroom = baseline of its step - sum of weight x share of each batch image

The baseline oscillates with the load of the step's own users. It is estimated
by one Kalman filter for each of several candidate periods of the load; the
period that predicts the baselines of all steps best is used. A weight belongs
to a pair of a serving image and a batch image. Each has a variance of its own,
so that a prediction error is attributed mostly to the pairs that are least
known.
"""

from collections.abc import Iterable
import dataclasses
import math

from galenahook import commands
from galenahook.jobs import periodic_filters

# Weight of an unknown pair. Weights of real pairs are 0 to 1 or 4 to 20.
PRIOR_WEIGHT = 2.0
PRIOR_WEIGHT_VARIANCE = 16.0
# Added to the variance of a weight with each measurement, as weights may shift.
WEIGHT_DRIFT_VARIANCE = 0.002
# A missed target that is this many standard deviations below the prediction
# shows that a weight is wrong, however certain it seemed: measured tail
# latencies lag behind the start of a batch task, so that its weight may have
# been learned too early. Its variance is raised to this value at least.
SURPRISE_SIGMAS = 3.0
SURPRISE_WEIGHT_VARIANCE = 8.0
# Half-life with which the weight of an unobserved pair returns to the prior,
# so that a wrong attribution does not last.
WEIGHT_HALF_LIFE_MS = 20_000
# Time without a measurement after which a pair counts as unobserved.
DECAY_AFTER_MS = 1_000
# Error of the model itself, in addition to the variances of its estimates.
MODEL_VARIANCE = 0.05
# Standard deviation of a measured headroom, as a share of the headroom.
RELATIVE_NOISE = 0.08
# Measured headrooms are clamped to this, as a lower one only shows that the
# headroom is low.
MIN_HEADROOM = 0.3
# Images that use less than this share of a worker are ignored.
MIN_SHARE = 0.01
# Standard deviations subtracted from a forecast baseline.
BASELINE_MARGIN_SIGMAS = 0.25
# Time for which a forecast is cached.
FORECAST_CACHE_MS = 100
# Score added to the period that an earlier leader used.
INHERITED_PERIOD_SCORE = 10.0
# Factor by which the score of a period decays with each correction of a step.
SCORE_DECAY = 0.999

Shares = dict[str, float]
StepId = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class Weight:
    """An estimated weight of a pair of images.

    Attributes:
      value: Headroom reduction if the batch image used the whole worker.
      variance: Variance of the value.
      updated_ms: When the pair was last observed or its weight last decayed.
    """

    value: float = PRIOR_WEIGHT
    variance: float = PRIOR_WEIGHT_VARIANCE
    updated_ms: int = 0

    def decay(self, now_ms: int) -> None:
        """Decays the estimate to the prior by the time since `updated_ms`."""
        retained = 0.5 ** ((now_ms - self.updated_ms) / WEIGHT_HALF_LIFE_MS)
        self.updated_ms = now_ms
        self.value = PRIOR_WEIGHT + retained * (self.value - PRIOR_WEIGHT)
        self.variance = PRIOR_WEIGHT_VARIANCE + retained * (
            self.variance - PRIOR_WEIGHT_VARIANCE
        )


_UNKNOWN = Weight()


def _weight_variance(colocated: list[tuple[Weight, float]]) -> float:
    """Returns the variance of a reduction by weights with their shares."""
    return sum(weight.variance * share**2 for weight, share in colocated)


class HeadroomModel:
    """Estimates baselines of serving steps and weights of pairs of images.

    Attributes:
      weights: Weight by serving image and batch image.
      baselines: Baseline headroom by step.
      scores: Log-likelihood of each period, decayed over time.
    """

    __slots__ = (
        "_forecasts",
        "_mean_weights",
        "baselines",
        "scores",
        "weights",
    )

    def __init__(self) -> None:
        self.weights: dict[tuple[str, str], Weight] = {}
        self.baselines: dict[StepId, periodic_filters.StepBaseline] = {}
        self.scores = [0.0] * len(periodic_filters.PERIODS_MS)
        self._forecasts: dict[tuple[StepId, int], tuple[int, float]] = {}
        self._mean_weights: dict[str, float] = {}

    def weight(self, serving_image: str, batch_image: str) -> Weight:
        """Returns the weight of a pair."""
        return self.weights.get((serving_image, batch_image), _UNKNOWN)

    def _observed_weight(
        self, serving_image: str, batch_image: str, now_ms: int
    ) -> Weight:
        """Returns the weight of a pair, marked as observed now."""
        known = self.weights.get((serving_image, batch_image))
        if known is None:
            known = self.weights[(serving_image, batch_image)] = Weight(
                updated_ms=now_ms
            )
        known.updated_ms = now_ms
        return known

    def decay_unobserved(self, now_ms: int) -> None:
        """Decays the weights of pairs that were not observed lately."""
        for weight in self.weights.values():
            if now_ms - weight.updated_ms >= DECAY_AFTER_MS:
                weight.decay(now_ms)
        self._mean_weights.clear()

    def mean_weight(self, serving_image: str) -> float:
        """Returns the mean weight of the known pairs of a serving image."""
        known = self._mean_weights.get(serving_image)
        if known is not None:
            return known
        values = [
            weight.value
            for (image, _), weight in self.weights.items()
            if image == serving_image
        ]
        mean = sum(values) / len(values) if values else PRIOR_WEIGHT
        self._mean_weights[serving_image] = mean
        return mean

    def _best_period(self) -> int:
        """Returns the index of the period with the highest score."""
        return max(range(len(self.scores)), key=self.scores.__getitem__)

    def _step_baseline(
        self, step_id: StepId, now_ms: int
    ) -> periodic_filters.StepBaseline:
        """Returns the baseline of a step, added if the step is new."""
        known = self.baselines.get(step_id)
        if known is None:
            baseline, amplitude_variance = self._typical()
            known = self.baselines[step_id] = periodic_filters.StepBaseline(
                now_ms, baseline, amplitude_variance
            )
        return known

    def _typical(self) -> tuple[float, float]:
        """Returns the baseline and amplitude variance to assume for a new step.

        They are averages over the steps whose amplitude is well known, or the
        prior if there are fewer than three.
        """
        best = self._best_period()
        known = [
            baseline.filters[best]
            for baseline in self.baselines.values()
            if baseline.filters[best].covariance[1][1]
            < periodic_filters.PRIOR_AMPLITUDE_VARIANCE / 4
        ]
        if len(known) < 3:
            return (
                periodic_filters.PRIOR_BASELINE,
                periodic_filters.PRIOR_AMPLITUDE_VARIANCE,
            )
        count = len(known)
        baseline = sum(item.state[0] for item in known) / count
        power = sum(f.state[1] ** 2 + f.state[2] ** 2 for f in known) / count
        return baseline, power / 2 + 0.02

    def baseline(self, step_id: StepId, at_ms: float) -> tuple[float, float]:
        """Returns the forecast baseline of a step at a time; its variance."""
        known = self.baselines.get(step_id)
        if known is None:
            mean, amplitude_variance = self._typical()
            return (
                mean,
                periodic_filters.PRIOR_BASELINE_VARIANCE + amplitude_variance,
            )
        return known.filters[self._best_period()].predict(at_ms)

    def min_baseline(
        self, step_id: StepId, now_ms: int, horizon_ms: int
    ) -> float:
        """Returns the lowest forecast baseline of a step up to a horizon."""
        known = self._forecasts.get((step_id, horizon_ms))
        if known is not None and now_ms - known[0] < FORECAST_CACHE_MS:
            return known[1]
        lowest = min(
            self._cautious_baseline(step_id, now_ms + horizon_ms * part / 4)
            for part in range(5)
        )
        self._forecasts[(step_id, horizon_ms)] = (now_ms, lowest)
        return lowest

    def _cautious_baseline(self, step_id: StepId, at_ms: float) -> float:
        mean, variance = self.baseline(step_id, at_ms)
        return mean - BASELINE_MARGIN_SIGMAS * math.sqrt(variance)

    def reduction(
        self, serving_image: str, shares: Shares, sigmas: float = 0.0
    ) -> float:
        """Returns by how much colocated batch tasks reduce a headroom.

        Args:
          serving_image: Image of the serving task.
          shares: Share of the worker that each batch image uses.
          sigmas: Standard deviations added to each weight.
        """
        total = 0.0
        for image, share in shares.items():
            weight = self.weight(serving_image, image)
            value = weight.value
            if sigmas:
                value += sigmas * math.sqrt(weight.variance)
            total += value * share
        return total

    def learn(
        self,
        serving_image: str,
        step_id: StepId,
        shares: Shares,
        measured: float,
        now_ms: int,
    ) -> None:
        """Updates the estimates with one measured headroom of a task."""
        baseline = self._step_baseline(step_id, now_ms)
        mean, variance = self.baseline(
            step_id, now_ms - periodic_filters.MEASUREMENT_AGE_MS
        )
        colocated = [
            (self._observed_weight(serving_image, image, now_ms), share)
            for image, share in shares.items()
            if share >= MIN_SHARE
        ]
        self._mean_weights.pop(serving_image, None)
        reduction = sum(weight.value * share for weight, share in colocated)
        measured = max(measured, MIN_HEADROOM)
        if measured == MIN_HEADROOM and mean - reduction < measured:
            return
        noise = max(periodic_filters.MIN_NOISE, RELATIVE_NOISE * measured) ** 2
        weight_variance = _weight_variance(colocated)
        expected_variance = noise + variance + weight_variance + MODEL_VARIANCE
        surprise = mean - reduction - measured
        if measured < 1.0 and (
            surprise > SURPRISE_SIGMAS * math.sqrt(expected_variance)
        ):
            for weight, _ in colocated:
                weight.variance = max(weight.variance, SURPRISE_WEIGHT_VARIANCE)
            weight_variance = _weight_variance(colocated)
        baseline.add_measurement(measured + reduction, noise + weight_variance)
        error = measured - (mean - reduction)
        error_variance = noise + variance + weight_variance + MODEL_VARIANCE
        for weight, share in colocated:
            gain = weight.variance * share / error_variance
            weight.value = max(0.0, weight.value - gain * error)
            weight.variance *= 1 - gain * share
            weight.variance += WEIGHT_DRIFT_VARIANCE
        scores = baseline.correct(now_ms)
        if scores is not None:
            self.scores = [
                SCORE_DECAY * score + new
                for score, new in zip(self.scores, scores, strict=True)
            ]

    def export(self, now_ms: int, wall_ms: int) -> commands.StoreHeadroomModel:
        """Returns the estimates, to be stored for the next leader."""
        best = self._best_period()
        return commands.StoreHeadroomModel(
            weights=tuple(
                commands.LearnedWeight(
                    serving=serving_image,
                    beside=batch_image,
                    value=weight.value,
                    variance=weight.variance,
                )
                for (serving_image, batch_image), weight in self.weights.items()
            ),
            levels=tuple(
                commands.LearnedBaseline(
                    step=step_id, state=baseline.filters[best].state_at(now_ms)
                )
                for step_id, baseline in self.baselines.items()
            ),
            period_ms=periodic_filters.PERIODS_MS[best],
            at_ms=wall_ms,
        )

    def restore(self, learned: commands.StoreHeadroomModel, at_ms: int) -> None:
        """Restores the estimates that an earlier leader stored.

        Args:
          learned: The stored estimates.
          at_ms: When they were exported, on this process's monotonic clock. If
            it is far off, as wall clocks may step, new measurements soon
            correct the baselines.
        """
        for item in learned.weights:
            self.weights[(item.serving, item.beside)] = Weight(
                item.value, item.variance, at_ms
            )
        self._mean_weights.clear()
        if learned.period_ms not in periodic_filters.PERIODS_MS:
            return
        best = periodic_filters.PERIODS_MS.index(learned.period_ms)
        self.scores[best] += INHERITED_PERIOD_SCORE
        for level in learned.levels:
            baseline = periodic_filters.StepBaseline(
                at_ms, level.state[0], periodic_filters.PRIOR_AMPLITUDE_VARIANCE
            )
            baseline.filters[best].set_state(level.state, at_ms)
            self.baselines[level.step] = baseline

    def discard(self, step_ids: Iterable[StepId]) -> None:
        """Discards the baselines of steps that no longer serve."""
        for step_id in step_ids:
            self.baselines.pop(step_id, None)
        self._forecasts.clear()
