"""Run times of tasks, learned from runs that were done."""

import math

from galenahook.jobs import tasks as tasks_lib

# Declared run times are far off: weight of one against a learned one, in
# logarithms, as of an error that is twice the spread of a queue's jobs.
DECLARED_WEIGHT = 0.2
# How much of the mean a further run replaces, at least.
LEAST_STEP = 0.05
# Runs after which a queue's mean is used.
LEAST_RUNS = 5
# Jobs whose own run times are kept; the oldest go first.
MAX_JOBS = 2_000


class RunTimes:
    """Learned run times by queue, and by job while it runs."""

    __slots__ = ("_by_job", "_by_queue")

    def __init__(self) -> None:
        self._by_queue: dict[str, tuple[int, float]] = {}
        self._by_job: dict[str, tuple[int, float]] = {}

    def learn(self, job: tasks_lib.Job, run_ms: int) -> None:
        """Takes the time of a run that was done at full speed."""
        value = math.log(max(1, run_ms))
        queue = job.description.queue
        for known, key in (
            (self._by_queue, queue),
            (self._by_job, job.description.job),
        ):
            count, mean = known.get(key, (0, value))
            step = max(1.0 / (count + 1), LEAST_STEP)
            known[key] = (count + 1, mean + step * (value - mean))
        if len(self._by_job) > MAX_JOBS:
            del self._by_job[next(iter(self._by_job))]

    def expect_ms(self, job: tasks_lib.Job, declared_ms: int) -> float:
        """Returns the run time expected of a task of a job."""
        own = self._by_job.get(job.description.job)
        if own is not None:
            return math.exp(own[1])
        count, mean = self._by_queue.get(job.description.queue, (0, 0.0))
        if count < LEAST_RUNS:
            return float(declared_ms)
        declared = math.log(max(1, declared_ms))
        return math.exp(mean + DECLARED_WEIGHT * (declared - mean))

    def chain_ms(self, job: tasks_lib.Job, left: bool = False) -> float:
        """Returns the time expected of the longest chain of steps.

        Args:
          job: The job.
          left: Whether steps that are done in each occurrence count nothing.
        """
        longest: list[float] = []
        last = job.description.occurrences - 1
        for number, step in enumerate(job.description.steps):
            before = max((longest[index] for index in step.after), default=0.0)
            own = 0.0
            if not left or not job.is_step_done(last, number):
                own = self.expect_ms(job, step.estimate_ms)
            longest.append(before + own)
        return max(longest, default=0.0)
