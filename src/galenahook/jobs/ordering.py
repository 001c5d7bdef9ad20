"""The order in which jobs are considered for room."""

from galenahook import commands
from galenahook.jobs import tasks as tasks_lib

# A job that ends later than this many objectives earns nothing.
LATEST_OBJECTIVES = 3.0


def chain_ms(description: commands.JobDescription) -> int:
    """Returns the declared run time of the longest chain of steps."""
    longest: list[int] = []
    for step in description.steps:
        before = max((longest[index] for index in step.after), default=0)
        longest.append(before + step.estimate_ms)
    return max(longest, default=0)


def objective_ms(description: commands.JobDescription) -> float:
    """Returns the time from its submission in which a job should end."""
    wanted = description.stretch * chain_ms(description)
    return wanted + description.objective_ms


def rank(job: tasks_lib.Job, now_wall_ms: int) -> tuple[float, ...]:
    """Returns the sort key of a job: what serves, priority, then slack."""
    description = job.description
    serves = any(step.serves for step in description.steps)
    age_ms = now_wall_ms - job.record.submitted_ms
    objective = objective_ms(description)
    is_hopeless = age_ms > LATEST_OBJECTIVES * objective
    is_late = age_ms > objective
    return (
        0 if serves else 1,
        description.priority,
        2 if is_hopeless else 1 if is_late else 0,
        0 if job.began else 1,
        job.record.submitted_ms + objective,
    )
