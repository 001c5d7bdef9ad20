"""Kalman filters for a baseline headroom that oscillates with the load.

The headroom of a serving step without colocated batch tasks oscillates with
the load of its users. The period of the load is not known, so there is one
filter for each of several candidate periods.
"""

import math

# Candidate periods of the load, spaced closely enough for a filter to track a
# period between two of them by adjusting its phase.
PERIODS_MS = tuple(round(4_000 * 1.15**power) for power in range(15))
# Baseline and amplitude of an unknown step. The tail latency of an idle service
# is a quarter to a half of its target.
PRIOR_BASELINE = 2.5
PRIOR_BASELINE_VARIANCE = 0.25
PRIOR_AMPLITUDE_VARIANCE = 0.5
# Variance added to each component of a state per second.
DRIFT_VARIANCE = 0.03
# Mean age of what a tail latency measures: it covers the last 500 ms.
MEASUREMENT_AGE_MS = 250
# Time over which measurements of one step are averaged for one correction.
CORRECTION_PERIOD_MS = 250
# Variance of each component of a state that an earlier leader stored.
INHERITED_VARIANCE = 0.05
# Lower bound of the standard deviation of a measured baseline.
MIN_NOISE = 0.05


class PeriodicFilter:
    """A Kalman filter for a baseline that oscillates with one period.

    Attributes:
      period_ms: Its period.
      state: Mean, cosine coefficient and sine coefficient.
      covariance: Covariance of the state, by rows.
    """

    __slots__ = ("covariance", "period_ms", "state")

    def __init__(
        self, period_ms: int, baseline: float, amplitude_variance: float
    ) -> None:
        self.period_ms = period_ms
        self.state = [baseline, 0.0, 0.0]
        self.covariance = [
            [PRIOR_BASELINE_VARIANCE, 0.0, 0.0],
            [0.0, amplitude_variance, 0.0],
            [0.0, 0.0, amplitude_variance],
        ]

    def _factors(self, at_ms: float) -> tuple[float, float, float]:
        phase = 2 * math.pi * at_ms / self.period_ms
        return 1.0, math.cos(phase), math.sin(phase)

    def predict(self, at_ms: float) -> tuple[float, float]:
        """Returns the forecast baseline at a time, and its variance."""
        factors = self._factors(at_ms)
        mean = sum(f * x for f, x in zip(factors, self.state, strict=True))
        variance = sum(
            factors[i] * factors[j] * self.covariance[i][j]
            for i in range(3)
            for j in range(3)
        )
        return mean, variance

    def state_at(self, now_ms: int) -> tuple[float, float, float]:
        """Returns the state with its phase relative to a time."""
        _, cosine, sine = self._factors(now_ms)
        mean, a, b = self.state
        return mean, a * cosine + b * sine, b * cosine - a * sine

    def set_state(self, state: tuple[float, float, float], now_ms: int) -> None:
        """Sets the state from one whose phase is relative to a time."""
        _, cosine, sine = self._factors(now_ms)
        mean, a, b = state
        self.state = [mean, a * cosine - b * sine, b * cosine + a * sine]
        for index in range(3):
            self.covariance[index][index] = INHERITED_VARIANCE

    def correct(
        self, at_ms: float, value: float, variance: float, elapsed_ms: float
    ) -> float:
        """Corrects the state with a measured baseline.

        Returns:
          The log-likelihood of the measurement, up to a constant.
        """
        drift = DRIFT_VARIANCE * elapsed_ms / 1_000
        for index in range(3):
            self.covariance[index][index] += drift
        factors = self._factors(at_ms)
        rows = self.covariance
        projected = [
            row[0] * factors[0] + row[1] * factors[1] + row[2] * factors[2]
            for row in rows
        ]
        error_variance = variance + sum(
            f * c for f, c in zip(factors, projected, strict=True)
        )
        error = value - sum(
            f * x for f, x in zip(factors, self.state, strict=True)
        )
        for i in range(3):
            gain = projected[i] / error_variance
            self.state[i] += gain * error
            for j in range(3):
                rows[i][j] -= gain * projected[j]
        return -0.5 * (
            error * error / error_variance + math.log(error_variance)
        )


class StepBaseline:
    """The baseline headroom of one step, estimated for each period.

    Attributes:
      filters: Filter of each period, in the order of `PERIODS_MS`.
      corrected_ms: When the filters were last corrected.
    """

    __slots__ = ("_weight_sum", "_weighted_sum", "corrected_ms", "filters")

    def __init__(
        self, now_ms: int, baseline: float, amplitude_variance: float
    ) -> None:
        self.filters = [
            PeriodicFilter(period, baseline, amplitude_variance)
            for period in PERIODS_MS
        ]
        self.corrected_ms = now_ms
        self._weighted_sum = 0.0
        self._weight_sum = 0.0

    def add_measurement(self, value: float, variance: float) -> None:
        """Adds a measured baseline to the next correction."""
        self._weighted_sum += value / variance
        self._weight_sum += 1.0 / variance

    def correct(self, now_ms: int) -> list[float] | None:
        """Corrects the filters with the measurements of the last period.

        Returns:
          The log-likelihood for each filter, or None if no correction is due.
        """
        elapsed_ms = now_ms - self.corrected_ms
        if elapsed_ms < CORRECTION_PERIOD_MS or not self._weight_sum:
            return None
        value = self._weighted_sum / self._weight_sum
        variance = 1.0 / self._weight_sum + MIN_NOISE**2
        self._weighted_sum = self._weight_sum = 0.0
        self.corrected_ms = now_ms
        at_ms = now_ms - MEASUREMENT_AGE_MS
        return [
            item.correct(at_ms, value, variance, elapsed_ms)
            for item in self.filters
        ]
