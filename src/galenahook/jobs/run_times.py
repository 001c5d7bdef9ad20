"""Run times of tasks, estimated from completed runs."""

import math

from galenahook.jobs import tasks as tasks_lib

# Weight of a declared run time against the mean of its queue, both as
# logarithms. Declared run times are inaccurate: their error is about twice the
# spread of a queue's run times.
DECLARED_WEIGHT = 0.2
# Lower bound of the weight of a new run in the mean.
MIN_LEARNING_RATE = 0.05
# Number of runs that a queue needs before its mean is used.
MIN_QUEUE_RUNS = 5
# Limit of jobs with a mean of their own; the oldest is discarded first.
MAX_TRACKED_JOBS = 2_000


class RunTimes:
    """Mean run times by queue and by job.

    Means are those of logarithms.
    """

    __slots__ = ("_by_job", "_by_queue")

    def __init__(self) -> None:
        self._by_queue: dict[str, tuple[int, float]] = {}
        self._by_job: dict[str, tuple[int, float]] = {}

    def learn(self, job: tasks_lib.Job, run_ms: int) -> None:
        """Adds the time of a run that completed at full speed."""
        value = math.log(max(1, run_ms))
        queue = job.description.queue
        for known, key in (
            (self._by_queue, queue),
            (self._by_job, job.description.job),
        ):
            count, mean = known.get(key, (0, value))
            rate = max(1.0 / (count + 1), MIN_LEARNING_RATE)
            known[key] = (count + 1, mean + rate * (value - mean))
        if len(self._by_job) > MAX_TRACKED_JOBS:
            del self._by_job[next(iter(self._by_job))]

    def expected_ms(self, job: tasks_lib.Job, declared_ms: int) -> float:
        """Returns the expected run time of a task of a job."""
        own = self._by_job.get(job.description.job)
        if own is not None:
            return math.exp(own[1])
        count, mean = self._by_queue.get(job.description.queue, (0, 0.0))
        if count < MIN_QUEUE_RUNS:
            return float(declared_ms)
        declared = math.log(max(1, declared_ms))
        return math.exp(mean + DECLARED_WEIGHT * (declared - mean))

    def critical_path_ms(
        self, job: tasks_lib.Job, remaining: bool = False
    ) -> float:
        """Returns the expected time of a job's longest chain of steps.

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
                own = self.expected_ms(job, step.estimate_ms)
            longest.append(before + own)
        return max(longest, default=0.0)
