"""The order in which owners of waiting tasks are scheduled.

Services come first, then urgent jobs, then other jobs by latest start time.
Jobs that can no longer meet their deadline follow those that can; jobs
without a deadline come last.
"""

from collections.abc import Iterable
import dataclasses
import enum

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook.scheduling import estimates
from galenahook.scheduling import tasks as tasks_lib

NO_DEADLINE_MS = 2**62
# Each step of priority counts as a latest start earlier by this time.
PRIORITY_ADVANCE_MS = 10_000


class Rank(enum.IntEnum):
    """Rank of an owner; lower ranks are scheduled first."""

    SERVICE = 0
    URGENT = 1
    ON_TIME = 2
    LATE = 3
    NO_DEADLINE = 4


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class QueuePosition:
    """Position of an owner in the queue; the smallest is scheduled first.

    Attributes:
      rank: Rank of the owner.
      order_ms: Latest start time, made earlier by the priority.
      priority: Negated priority of the sheet row.
      owner: `job/NAME` or `service/NAME`.
      latest_start_ms: Wall time by which a task should start.
    """

    rank: Rank
    order_ms: int
    priority: int
    owner: str
    latest_start_ms: int = NO_DEADLINE_MS


def queue_positions(
    owners: Iterable[str],
    current: configuration_lib.ConfigurationRecord,
    run_times: dict[str, tasks_lib.RunTimeRecord],
    now_ms: int,
) -> list[QueuePosition]:
    """Returns the queue positions of owners with waiting tasks, in order.

    Jobs whose earliest start time is in the future are left out.
    """
    found = []
    for owner in owners:
        name = owner.partition("/")[2]
        if tasks_lib.is_service(owner):
            service = current.services.get(name)
            if service is not None:
                position = QueuePosition(
                    Rank.SERVICE, 0, -service.priority, owner
                )
                found.append(position)
            continue
        job = current.jobs.get(name)
        if job is not None and job.earliest_ms <= now_ms:
            found.append(_position_of_job(owner, job, run_times, now_ms))
    return sorted(found)


def _position_of_job(
    owner: str,
    job: commands.JobRow,
    run_times: dict[str, tasks_lib.RunTimeRecord],
    now_ms: int,
) -> QueuePosition:
    latest_ms = latest_start_ms(job, run_times)
    order_ms = latest_ms - job.priority * PRIORITY_ADVANCE_MS
    rank = Rank.ON_TIME
    shortest_ms = estimates.run_ms(
        job, run_times, estimates.SHORT_RUN_TIME_QUANTILE
    )
    if job.urgent:
        rank = Rank.URGENT
    elif not job.deadline_ms:
        rank = Rank.NO_DEADLINE
    elif now_ms + shortest_ms > job.deadline_ms:
        rank = Rank.LATE
    return QueuePosition(rank, order_ms, -job.priority, owner, latest_ms)


def latest_start_ms(
    job: commands.JobRow, run_times: dict[str, tasks_lib.RunTimeRecord]
) -> int:
    """Returns the wall time by which the tasks of a job should start."""
    if not job.deadline_ms:
        return NO_DEADLINE_MS
    return job.deadline_ms - estimates.run_ms(job, run_times)
