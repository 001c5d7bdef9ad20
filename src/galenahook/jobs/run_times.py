"""Run times of tasks, estimated from completed runs."""

import functools
import math
import statistics
from typing import Any

from galenahook.jobs import tasks as tasks_lib

# Variances of logarithms assumed until a queue has many runs: of run times
# around the mean of their queue, and of the errors of declared run times.
PRIOR_QUEUE_VARIANCE = 0.16
PRIOR_DECLARED_VARIANCE = 0.64
# Number of runs that these priors count for.
PRIOR_RUNS = 5
# Lower bound of the weight of a new run in the mean.
MIN_LEARNING_RATE = 0.05
# Number of runs that a queue needs before its mean is used.
MIN_QUEUE_RUNS = 5
# Share of its run time after which a run that fails has failed on average.
FAILED_RUN_SHARE = 0.5
# Limit of steps with a mean of their own; the oldest is discarded first.
MAX_TRACKED_STEPS = 2_000


class RunTimes:
    """Mean run times by queue and by step, and how they scatter in a queue.

    Means and variances are those of logarithms.
    """

    __slots__ = (
        "_by_queue",
        "_by_step",
        "_declared_variances",
        "_queue_variances",
        "_step_variances",
    )

    def __init__(self) -> None:
        self._by_queue: dict[str, tuple[int, float]] = {}
        self._by_step: dict[tuple[str, int], tuple[int, float]] = {}
        # By queue: variances within steps, around the mean of the queue, and
        # around the declared run times.
        self._step_variances: dict[str, tuple[int, float]] = {}
        self._queue_variances: dict[str, tuple[int, float]] = {}
        self._declared_variances: dict[str, tuple[int, float]] = {}

    def learn(self, job: tasks_lib.Job, run_ms: int, step: int = 0) -> None:
        """Adds the time of a step's run that completed at full speed."""
        value = math.log(max(1, run_ms))
        queue = job.description.queue
        step_key = (job.description.job, step)
        before = self._by_step.get(step_key)
        if before is not None:
            # The mean of the earlier runs scatters as well.
            share = before[0] / (before[0] + 1)
            _add(self._step_variances, queue, share * (value - before[1]) ** 2)
        declared = math.log(max(1, job.description.steps[step].estimate_ms))
        _, mean = self._by_queue.get(queue, (0, value))
        for variances, prior, center in (
            (self._queue_variances, PRIOR_QUEUE_VARIANCE, mean),
            (self._declared_variances, PRIOR_DECLARED_VARIANCE, declared),
        ):
            variances.setdefault(queue, (PRIOR_RUNS, prior))
            _add(variances, queue, (value - center) ** 2)
        _add(self._by_queue, queue, value)
        _add(self._by_step, step_key, value)
        if len(self._by_step) > MAX_TRACKED_STEPS:
            del self._by_step[next(iter(self._by_step))]

    def expected_ms(
        self, job: tasks_lib.Job, declared_ms: int, step: int = 0
    ) -> float:
        """Returns the expected run time of a task of a step.

        Without runs of the step, the declared time and the mean of the queue
        weigh the more the less they have been off.
        """
        own = self._by_step.get((job.description.job, step))
        if own is not None:
            return math.exp(own[1])
        count, mean = self._by_queue.get(job.description.queue, (0, 0.0))
        if count < MIN_QUEUE_RUNS:
            return float(declared_ms)
        declared = math.log(max(1, declared_ms))
        weight = self._declared_weight(job.description.queue)
        return math.exp(mean + weight * (declared - mean))

    def _declared_weight(self, queue: str) -> float:
        """Returns the weight of declared run times, from 0 to 1."""
        _, within = self._step_variances.get(queue, (0, 0.0))
        # Neither estimate can foresee the scatter within a step.
        queue_variance = max(0.0, self._queue_variances[queue][1] - within)
        declared_variance = max(
            0.0, self._declared_variances[queue][1] - within
        )
        total = queue_variance + declared_variance
        return queue_variance / total if total else 0.0

    def longest_ms(self, job: tasks_lib.Job, step: int) -> float:
        """Returns the expected run time of the longest task of a step."""
        row = job.description.steps[step]
        _, variance = self._step_variances.get(job.description.queue, (0, 0.0))
        sigmas = _expected_maximum(row.tasks) * math.sqrt(variance)
        return self.expected_ms(job, row.estimate_ms, step) * math.exp(sigmas)

    def critical_path_ms(
        self, job: tasks_lib.Job, remaining: bool = False
    ) -> float:
        """Returns the expected time of a job's longest chain of steps.

        A step takes as long as its longest task, and longer by the failed runs
        of a task, unless only the remaining time is asked for.

        Args:
          job: The job.
          remaining: Whether to leave out steps that are done in the last
            occurrence.
        """
        longest: list[float] = []
        last = job.description.occurrences - 1
        for number, step in enumerate(job.description.steps):
            before = max((longest[index] for index in step.after), default=0.0)
            own = 0.0
            if not remaining or not job.is_step_done(last, number):
                own = self.longest_ms(job, number)
            if not remaining:
                failed = job.failed_runs.get((last, number), 0)
                mean_ms = self.expected_ms(job, step.estimate_ms, number)
                own += failed * FAILED_RUN_SHARE * mean_ms
            longest.append(before + own)
        return max(longest, default=0.0)


def _add(known: dict[Any, tuple[int, float]], key: Any, value: float) -> None:
    """Adds a value to the mean of a key."""
    count, mean = known.get(key, (0, value))
    rate = max(1.0 / (count + 1), MIN_LEARNING_RATE)
    known[key] = (count + 1, mean + rate * (value - mean))


@functools.lru_cache(maxsize=1_024)
def _expected_maximum(count: int) -> float:
    """Returns the expected maximum of so many standard normal values.

    Blom's approximation.
    """
    return statistics.NormalDist().inv_cdf((count - 0.375) / (count + 0.25))
