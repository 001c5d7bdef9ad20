"""Levels that swing, each followed by Kalman filters.

The headroom of a step that serves, without work beside it, swings with the
load of its users. The period is not known, so that there is a filter for each
of several.
"""

import math

# Periods that a swing may have; neighbours are close enough for a filter that
# keeps adjusting the phase.
PERIODS_MS = tuple(round(4_000 * 1.15**power) for power in range(15))
# Level and swing of a step of which nothing is known: tails of idle services
# stood at a quarter to a half of their targets.
PRIOR_LEVEL = 2.5
PRIOR_LEVEL_VARIANCE = 0.25
PRIOR_SWING_VARIANCE = 0.5
# How fast a level and its swing may change, in a second.
DRIFT_VARIANCE = 0.03
# Measured tails are means of the last half second.
MEASURE_AGE_MS = 250
# Time over which tails of one step are gathered into one correction.
GATHER_MS = 250
# How uncertain a level and its swing are that an earlier leader learned.
TAKEN_VARIANCE = 0.05
# Least spread of measured levels.
LEAST_NOISE = 0.05


class Wave:
    """A level that swings with one period, and how uncertain it is.

    Attributes:
      period_ms: Its period.
      state: Mean, cosine part and sine part.
      covariance: Covariance of the state, by rows.
    """

    __slots__ = ("covariance", "period_ms", "state")

    def __init__(self, period_ms: int, level: float, swing: float) -> None:
        self.period_ms = period_ms
        self.state = [level, 0.0, 0.0]
        self.covariance = [
            [PRIOR_LEVEL_VARIANCE, 0.0, 0.0],
            [0.0, swing, 0.0],
            [0.0, 0.0, swing],
        ]

    def _factors(self, at_ms: float) -> tuple[float, float, float]:
        phase = 2 * math.pi * at_ms / self.period_ms
        return 1.0, math.cos(phase), math.sin(phase)

    def predict(self, at_ms: float) -> tuple[float, float]:
        """Returns the level expected at a time, and its variance."""
        factors = self._factors(at_ms)
        mean = sum(f * x for f, x in zip(factors, self.state, strict=True))
        variance = sum(
            factors[i] * factors[j] * self.covariance[i][j]
            for i in range(3)
            for j in range(3)
        )
        return mean, variance

    def state_at(self, now_ms: int) -> tuple[float, float, float]:
        """Returns the state with the swing counted from a time."""
        _, cosine, sine = self._factors(now_ms)
        level, a, b = self.state
        return level, a * cosine + b * sine, b * cosine - a * sine

    def set_state(self, state: tuple[float, float, float], now_ms: int) -> None:
        """Takes a state whose swing is counted from a time."""
        _, cosine, sine = self._factors(now_ms)
        level, a, b = state
        self.state = [level, a * cosine - b * sine, b * cosine + a * sine]
        for index in range(3):
            self.covariance[index][index] = TAKEN_VARIANCE

    def correct(
        self, at_ms: float, value: float, variance: float, passed_ms: float
    ) -> float:
        """Takes a measured level; returns how well it was predicted.

        The result is the logarithm of its likelihood, but for a constant.
        """
        drift = DRIFT_VARIANCE * passed_ms / 1_000
        for index in range(3):
            self.covariance[index][index] += drift
        factors = self._factors(at_ms)
        rows = self.covariance
        carried = [
            row[0] * factors[0] + row[1] * factors[1] + row[2] * factors[2]
            for row in rows
        ]
        spread = variance + sum(
            f * c for f, c in zip(factors, carried, strict=True)
        )
        error = value - sum(
            f * x for f, x in zip(factors, self.state, strict=True)
        )
        for i in range(3):
            gain = carried[i] / spread
            self.state[i] += gain * error
            for j in range(3):
                rows[i][j] -= gain * carried[j]
        return -0.5 * (error * error / spread + math.log(spread))


class StepLevel:
    """The level of one step, as each period would have it.

    Attributes:
      waves: The level by period.
      corrected_ms: When it was last corrected.
    """

    __slots__ = ("_gathered", "_weight", "corrected_ms", "waves")

    def __init__(self, now_ms: int, level: float, swing: float) -> None:
        self.waves = [Wave(period, level, swing) for period in PERIODS_MS]
        self.corrected_ms = now_ms
        self._gathered = 0.0
        self._weight = 0.0

    def gather(self, value: float, variance: float) -> None:
        """Adds a measured level to the next correction."""
        self._gathered += value / variance
        self._weight += 1.0 / variance

    def correct(self, now_ms: int) -> list[float] | None:
        """Corrects every wave if it is time to; returns their scores."""
        passed_ms = now_ms - self.corrected_ms
        if passed_ms < GATHER_MS or not self._weight:
            return None
        value = self._gathered / self._weight
        variance = 1.0 / self._weight + LEAST_NOISE**2
        self._gathered = self._weight = 0.0
        self.corrected_ms = now_ms
        at_ms = now_ms - MEASURE_AGE_MS
        return [
            wave.correct(at_ms, value, variance, passed_ms)
            for wave in self.waves
        ]
