"""The order in which jobs are considered for room."""

from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import tasks as tasks_lib

# A job that ends later than this many objectives earns nothing.
LATEST_OBJECTIVES = 3.0


def objective_ms(
    job: tasks_lib.Job, run_times: run_times_lib.RunTimes
) -> float:
    """Returns the time from its submission in which a job should end."""
    wanted = job.description.stretch * run_times.chain_ms(job)
    return wanted + job.description.objective_ms


def rank(
    job: tasks_lib.Job, run_times: run_times_lib.RunTimes, now_wall_ms: int
) -> tuple[float, ...]:
    """Returns the sort key of a job: what serves, priority, then lateness.

    A job that can't end within its objective any more goes behind those that
    can, and one that can't end within three times that behind all others.
    """
    description = job.description
    serves = any(step.serves for step in description.steps)
    objective = objective_ms(job, run_times)
    age_ms = now_wall_ms - job.record.submitted_ms
    end_ms = age_ms + run_times.chain_ms(job, left=True)
    is_hopeless = end_ms > LATEST_OBJECTIVES * objective
    is_late = end_ms > objective
    return (
        0 if serves else 1,
        description.priority,
        2 if is_hopeless else 1 if is_late else 0,
        0 if job.began else 1,
        job.record.submitted_ms + objective,
    )
