"""How much the tails of tasks that serve can still bear.

The headroom of a task that serves is the target of its tail over its tail: 1
at the target, 4 at a quarter of it. A tail grows as the reciprocal of what is
left over, so the headroom falls by the same amount for each share of a worker
that work beside it takes, whatever else is there:

    headroom = level of its step now - sum of weight x share of the work beside

The level swings with the load of the step's own users. One Kalman filter for
each step follows it, for each of several periods that the swing may have; the
period that predicts all steps best is used. A weight belongs to a pair of
images, one that serves and one beside it, and is followed by a filter of its
own, so that what is well known is hardly blamed.
"""

from collections.abc import Iterable
import dataclasses
import math

from galenahook import commands
from galenahook.jobs import waves

# A weight of which nothing is known; measured ones are from 0 to 1 or 4 to 20.
PRIOR_WEIGHT = 2.0
PRIOR_WEIGHT_VARIANCE = 16.0
# How fast a weight may shift, for each measured tail.
WEIGHT_DRIFT_VARIANCE = 0.002
# Time in which half of what is known of a pair that is not seen is forgotten,
# so that wrong blame does not last.
FORGET_WEIGHT_MS = 20_000
# Time after which a pair counts as not seen.
AGE_MS = 1_000
# How far levels are from the truth beyond their own variance.
MODEL_VARIANCE = 0.05
# Spread of measured tails, as a share of the headroom.
NOISE_SHARE = 0.08
# A headroom below this says no more than that it is low.
LEAST_HEADROOM = 0.3
# A share below this says nothing of an image.
LEAST_SHARE = 0.01
# Standard deviations by which a level is taken to be lower than forecast.
LEVEL_CAUTION = 0.25
# Time for which a forecast is used again.
FORECAST_MS = 100
# Lead of the period that an earlier leader found best.
TAKEN_SCORE = 10.0
# How much of the score of a period each correction of a step leaves.
SCORE_MEMORY = 0.999

Shares = dict[str, float]
StepId = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class Weight:
    """A learned weight of a pair of images.

    Attributes:
      value: Fall of the headroom if the image took the whole worker.
      variance: How uncertain the value is.
      seen_ms: When the pair was last seen.
    """

    value: float = PRIOR_WEIGHT
    variance: float = PRIOR_WEIGHT_VARIANCE
    seen_ms: int = 0

    def age(self, now_ms: int) -> None:
        """Forgets a part of what is known, by the time since it was seen."""
        kept = 0.5 ** ((now_ms - self.seen_ms) / FORGET_WEIGHT_MS)
        self.seen_ms = now_ms
        self.value = PRIOR_WEIGHT + kept * (self.value - PRIOR_WEIGHT)
        self.variance = PRIOR_WEIGHT_VARIANCE + kept * (
            self.variance - PRIOR_WEIGHT_VARIANCE
        )


_UNKNOWN = Weight()


class HeadroomModel:
    """Levels of steps that serve, and weights of pairs of images.

    Attributes:
      weights: Weight by serving image and image beside it.
      levels: Level by step.
      scores: How well each period predicted the levels.
    """

    __slots__ = ("_forecasts", "levels", "scores", "weights")

    def __init__(self) -> None:
        self.weights: dict[tuple[str, str], Weight] = {}
        self.levels: dict[StepId, waves.StepLevel] = {}
        self.scores = [0.0] * len(waves.PERIODS_MS)
        self._forecasts: dict[tuple[StepId, int], tuple[int, float]] = {}

    def weight(self, serving: str, beside: str) -> Weight:
        """Returns the weight of a pair."""
        return self.weights.get((serving, beside), _UNKNOWN)

    def _seen(self, serving: str, beside: str, now_ms: int) -> Weight:
        known = self.weights.get((serving, beside))
        if known is None:
            known = self.weights[(serving, beside)] = Weight(seen_ms=now_ms)
        known.seen_ms = now_ms
        return known

    def age(self, now_ms: int) -> None:
        """Forgets a part of what is known of pairs that were not seen."""
        for weight in self.weights.values():
            if now_ms - weight.seen_ms >= AGE_MS:
                weight.age(now_ms)

    def mean_weight(self, serving: str) -> float:
        """Returns the mean weight of the images seen beside one that serves."""
        values = [
            weight.value
            for (image, _), weight in self.weights.items()
            if image == serving
        ]
        return sum(values) / len(values) if values else PRIOR_WEIGHT

    def _best(self) -> int:
        return max(range(len(self.scores)), key=self.scores.__getitem__)

    def _level(self, step: StepId, now_ms: int) -> waves.StepLevel:
        known = self.levels.get(step)
        if known is None:
            level, swing = self._typical()
            known = self.levels[step] = waves.StepLevel(now_ms, level, swing)
        return known

    def _typical(self) -> tuple[float, float]:
        """Returns the level and the variance of swings of known steps."""
        best = self._best()
        known = [
            level.waves[best]
            for level in self.levels.values()
            if level.waves[best].covariance[1][1]
            < waves.PRIOR_SWING_VARIANCE / 4
        ]
        if len(known) < 3:
            return waves.PRIOR_LEVEL, waves.PRIOR_SWING_VARIANCE
        count = len(known)
        level = sum(wave.state[0] for wave in known) / count
        swing = sum(w.state[1] ** 2 + w.state[2] ** 2 for w in known) / count
        return level, swing / 2 + 0.02

    def level(self, step: StepId, at_ms: float) -> tuple[float, float]:
        """Returns the level of a step expected at a time, and its variance."""
        known = self.levels.get(step)
        if known is None:
            level, swing = self._typical()
            return level, waves.PRIOR_LEVEL_VARIANCE + swing
        return known.waves[self._best()].predict(at_ms)

    def least_level(self, step: StepId, now_ms: int, ahead_ms: int) -> float:
        """Returns the least level expected of a step in a time ahead."""
        known = self._forecasts.get((step, ahead_ms))
        if known is not None and now_ms - known[0] < FORECAST_MS:
            return known[1]
        least = min(
            self._careful_level(step, now_ms + ahead_ms * part / 4)
            for part in range(5)
        )
        self._forecasts[(step, ahead_ms)] = (now_ms, least)
        return least

    def _careful_level(self, step: StepId, at_ms: float) -> float:
        mean, variance = self.level(step, at_ms)
        return mean - LEVEL_CAUTION * math.sqrt(variance)

    def fall(self, serving: str, shares: Shares, sigmas: float = 0.0) -> float:
        """Returns by how much work beside lowers a headroom.

        Args:
          serving: Image that serves.
          shares: Share of the worker that each image beside takes.
          sigmas: Standard deviations added to each weight.
        """
        total = 0.0
        for image, share in shares.items():
            weight = self.weight(serving, image)
            value = weight.value
            if sigmas:
                value += sigmas * math.sqrt(weight.variance)
            total += value * share
        return total

    def learn(
        self,
        serving: str,
        step: StepId,
        shares: Shares,
        measured: float,
        now_ms: int,
    ) -> None:
        """Takes one measured headroom of a task of a step."""
        level = self._level(step, now_ms)
        mean, variance = self.level(step, now_ms - waves.MEASURE_AGE_MS)
        beside = [
            (self._seen(serving, image, now_ms), share)
            for image, share in shares.items()
            if share >= LEAST_SHARE
        ]
        fall = sum(weight.value * share for weight, share in beside)
        unsure = sum(weight.variance * s * s for weight, s in beside)
        measured = max(measured, LEAST_HEADROOM)
        if measured == LEAST_HEADROOM and mean - fall < measured:
            return
        noise = max(waves.LEAST_NOISE, NOISE_SHARE * measured) ** 2
        level.gather(measured + fall, noise + unsure)
        error = measured - (mean - fall)
        spread = noise + variance + unsure + MODEL_VARIANCE
        for weight, share in beside:
            gain = weight.variance * share / spread
            weight.value = max(0.0, weight.value - gain * error)
            weight.variance *= 1 - gain * share
            weight.variance += WEIGHT_DRIFT_VARIANCE
        scores = level.correct(now_ms)
        if scores is not None:
            self.scores = [
                SCORE_MEMORY * score + new
                for score, new in zip(self.scores, scores, strict=True)
            ]

    def export(self, now_ms: int, wall_ms: int) -> commands.KeepLearned:
        """Returns what is learned, for a leader to come."""
        best = self._best()
        return commands.KeepLearned(
            weights=tuple(
                commands.LearnedWeight(
                    serving=serving,
                    beside=beside,
                    value=weight.value,
                    variance=weight.variance,
                )
                for (serving, beside), weight in self.weights.items()
            ),
            levels=tuple(
                commands.LearnedLevel(
                    step=step, state=level.waves[best].state_at(now_ms)
                )
                for step, level in self.levels.items()
            ),
            period_ms=waves.PERIODS_MS[best],
            at_ms=wall_ms,
        )

    def take(self, learned: commands.KeepLearned, at_ms: int) -> None:
        """Takes what an earlier leader had learned.

        Args:
          learned: What it had learned.
          at_ms: When, on this clock. If it is far off, as wall clocks may
            step, the levels are soon learned again.
        """
        for item in learned.weights:
            self.weights[(item.serving, item.beside)] = Weight(
                item.value, item.variance, at_ms
            )
        if learned.period_ms not in waves.PERIODS_MS:
            return
        best = waves.PERIODS_MS.index(learned.period_ms)
        self.scores[best] += TAKEN_SCORE
        for level in learned.levels:
            taken = waves.StepLevel(
                at_ms, level.state[0], waves.PRIOR_SWING_VARIANCE
            )
            taken.waves[best].set_state(level.state, at_ms)
            self.levels[level.step] = taken

    def forget(self, steps: Iterable[StepId]) -> None:
        """Forgets steps that no longer serve."""
        for step in steps:
            self.levels.pop(step, None)
        self._forecasts.clear()
