"""The order in which jobs are considered for room."""

import math

from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import tasks as tasks_lib

# A job that ends later than this many objectives earns nothing.
LATEST_OBJECTIVES = 3.0
# What a late job earns, as a share of one in time, and what is set for one that
# earns nothing, so that it is done at last.
LATE_SHARE = 0.15
HOPELESS_SHARE = 0.001
# A job with less of its work left counts as if so much were.
LEAST_WORK_LEFT = 0.05


def objective_ms(
    job: tasks_lib.Job, run_times: run_times_lib.RunTimes
) -> float:
    """Returns the time from its submission in which a job should end."""
    wanted = job.description.stretch * run_times.chain_ms(job)
    return wanted + job.description.objective_ms


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
    return max(left / total, LEAST_WORK_LEFT)


def rank(
    job: tasks_lib.Job, run_times: run_times_lib.RunTimes, now_wall_ms: int
) -> tuple[float, ...]:
    """Returns the sort key of a job: what serves, priority, then its gain.

    Among jobs that serve, those with the largest tasks go first, as small ones
    still fit beside them. The gain is what a job earns by the work that is left
    of it, in powers of two: a job that is nearly done goes before one that has
    not begun, and one that can't end in time any more behind others unless
    little is left.
    """
    description = job.description
    serving = [step.cpu_millis for step in description.steps if step.serves]
    if serving:
        submitted_ms = float(job.record.submitted_ms)
        return 0, description.priority, -max(serving), submitted_ms
    objective = objective_ms(job, run_times)
    age_ms = now_wall_ms - job.record.submitted_ms
    end_ms = age_ms + run_times.chain_ms(job, left=True)
    earns = 1.0
    if end_ms > LATEST_OBJECTIVES * objective:
        earns = HOPELESS_SHARE
    elif end_ms > objective:
        earns = LATE_SHARE
    return (
        1,
        description.priority,
        -math.floor(math.log2(earns / work_left(job))),
        job.record.submitted_ms + objective,
    )
