"""Order in which jobs are considered for placement."""

import math

from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import tasks as tasks_lib

# A job that is expected to take longer than this many times its target
# duration has expired.
MAX_OBJECTIVE_MULTIPLE = 3.0
# Value of a late job, relative to one in time, and of an expired one. The
# latter is above 0 so that the job still runs in the end.
LATE_VALUE = 0.15
EXPIRED_VALUE = 0.001
# Lower bound of the share of a job's work that counts as left.
MIN_WORK_LEFT = 0.05


def target_duration_ms(
    job: tasks_lib.Job, run_times: run_times_lib.RunTimes
) -> float:
    """Returns the time after its submission in which a job should end."""
    stretched_ms = job.description.stretch * run_times.critical_path_ms(job)
    return stretched_ms + job.description.objective_ms


def work_left(job: tasks_lib.Job) -> float:
    """Returns the share of a job's work that is not done, above 0."""
    total = left = 0.0
    occurrences = job.description.occurrences
    for number, step in enumerate(job.description.steps):
        done = sum(
            job.done.get((occurrence, number), 0)
            for occurrence in range(occurrences)
        )
        size = step.cpu_millis or 1
        total += size * step.tasks * occurrences
        left += size * (step.tasks * occurrences - done)
    return max(left / total, MIN_WORK_LEFT)


def serves(job: tasks_lib.Job) -> bool:
    """Returns whether a job has serving tasks."""
    return any(step.serves for step in job.description.steps)


def has_expired(
    job: tasks_lib.Job, run_times: run_times_lib.RunTimes, now_wall_ms: int
) -> bool:
    """Returns whether a job is expected to end too late to earn anything."""
    target_ms = target_duration_ms(job, run_times)
    return _value(job, run_times, now_wall_ms, target_ms) <= EXPIRED_VALUE


def _value(
    job: tasks_lib.Job,
    run_times: run_times_lib.RunTimes,
    now_wall_ms: int,
    target_ms: float,
) -> float:
    """Returns what a job can still earn, relative to one in time."""
    age_ms = now_wall_ms - job.record.submitted_ms
    end_ms = age_ms + run_times.critical_path_ms(job, remaining=True)
    if end_ms > MAX_OBJECTIVE_MULTIPLE * target_ms:
        return EXPIRED_VALUE
    return LATE_VALUE if end_ms > target_ms else 1.0


def rank(
    job: tasks_lib.Job,
    run_times: run_times_lib.RunTimes,
    now_wall_ms: int,
    is_drawn: bool = True,
) -> tuple[float, ...]:
    """Returns the sort key of a job.

    Serving jobs go first, then jobs by priority. Among serving jobs of one
    priority, those with the largest tasks go first, as small tasks still fit
    into the capacity that they leave.

    Other jobs of one priority go by their gain: the value of a job divided by
    the share of its work that is left, rounded down to a power of two. A job
    that is nearly done goes before one that has not begun, and a job that can
    no longer end in time goes after others unless little of it is left. Jobs of
    equal gain go by the end of their target duration. Where not all short jobs
    can be served, those that are drawn go before the others, and expired jobs
    go last.
    """
    description = job.description
    if serves(job):
        largest = max(
            step.cpu_millis for step in description.steps if step.serves
        )
        submitted_ms = float(job.record.submitted_ms)
        return 0, description.priority, -largest, submitted_ms
    target_ms = target_duration_ms(job, run_times)
    value = _value(job, run_times, now_wall_ms, target_ms)
    gain = math.floor(math.log2(value / work_left(job)))
    return (
        1,
        description.priority,
        value <= EXPIRED_VALUE,
        not is_drawn,
        -gain,
        job.record.submitted_ms + target_ms,
    )
