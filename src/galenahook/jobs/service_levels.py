"""Compares and reports how callers' jobs are served, by queue and size."""

import bisect
import collections
from collections.abc import Iterable
import enum

from galenahook import commands
from galenahook import job_metrics
from galenahook import logs
from galenahook.jobs import demand as demand_lib
from galenahook.jobs import ordering
from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import tasks as tasks_lib

# Latest jobs of a queue among which a job is ranked by its work.
MAX_RANKED_JOBS = 400


class SizeClass(enum.Enum):
    """Rank of a job by its work among the latest jobs of its queue."""

    LARGEST = "largest-tenth"
    LARGE = "next-fifth"
    OTHER = "other"


# Lowest rank of each class, as a share of the jobs of a queue.
_LOWEST_RANKS = ((0.9, SizeClass.LARGEST), (0.7, SizeClass.LARGE))


class SizeRanks:
    """Ranks jobs by work among the latest jobs of their queue."""

    __slots__ = ("_latest", "_sorted")

    def __init__(self) -> None:
        self._latest: dict[str, collections.deque[float]] = {}
        self._sorted: dict[str, list[float]] = {}

    def add(self, job: tasks_lib.Job) -> None:
        """Adds a job to the latest ones of its queue."""
        work = declared_work(job)
        queue = job.description.queue
        latest = self._latest.setdefault(queue, collections.deque())
        ranked = self._sorted.setdefault(queue, [])
        latest.append(work)
        bisect.insort(ranked, work)
        if len(latest) > MAX_RANKED_JOBS:
            del ranked[bisect.bisect_left(ranked, latest.popleft())]

    def size_class(self, job: tasks_lib.Job) -> SizeClass:
        """Returns the class of a job; `OTHER` in a queue without jobs."""
        ranked = self._sorted.get(job.description.queue, [])
        rank = bisect.bisect_left(ranked, declared_work(job))
        for lowest, size_class in _LOWEST_RANKS:
            if ranked and rank >= lowest * len(ranked):
                return size_class
        return SizeClass.OTHER


class ServiceLevels:
    """Logs and counts the ends of jobs that callers submitted.

    Attributes:
      demand: Processors that short jobs ask for.
      ranks: Sizes of the latest jobs.
    """

    __slots__ = (
        "_metrics",
        "_run_times",
        "_unreported",
        "demand",
        "ranks",
    )

    def __init__(
        self,
        metrics: job_metrics.JobMetrics,
        run_times: run_times_lib.RunTimes,
        jobs: Iterable[tasks_lib.Job],
    ) -> None:
        self.demand = demand_lib.ShortDemand()
        self.ranks = SizeRanks()
        self._metrics = metrics
        self._run_times = run_times
        # Jobs with ends whose commit may be under way.
        self._unreported: dict[str, tasks_lib.Job] = {}
        for job in jobs:
            self.note_submitted(job)

    def note_submitted(self, job: tasks_lib.Job) -> None:
        """Records a job that was stored."""
        self.ranks.add(job)
        self.demand.add(job)

    def expect_ends(
        self, ends: list[commands.RunEnd], jobs: dict[str, tasks_lib.Job]
    ) -> None:
        """Remembers the jobs that may end when ends of runs are committed."""
        for end in ends:
            job = jobs.get(tasks_lib.parse_task_name(end.task)[0])
            if job is not None and not job.ended:
                self._unreported[job.description.job] = job

    def report_ended(self) -> None:
        """Reports the expected jobs that have ended; forgets the others."""
        jobs, self._unreported = self._unreported, {}
        for job in jobs.values():
            if job.ended and job.record.outcome != tasks_lib.Outcome.CANCELLED:
                self._report(job)

    def _report(self, job: tasks_lib.Job) -> None:
        record = job.record
        took_ms = record.ended_ms - record.submitted_ms
        target_ms = ordering.target_duration_ms(job, self._run_times)
        result = _result(record.outcome, took_ms, target_ms)
        size_class = self.ranks.size_class(job)
        self._metrics.jobs_ended.labels(
            record.description.queue, size_class.value, result
        ).inc()
        logs.info(
            "job:ended",
            job=record.description.job,
            queue=record.description.queue,
            zone=record.description.availability_zone,
            size=size_class.value,
            result=result,
            took_ms=took_ms,
            target_ms=round(target_ms),
            expected_core_ms=round(self._expected_work(job)),
            **measures(job),
        )

    def _expected_work(self, job: tasks_lib.Job) -> float:
        """Returns the work of a job by learned run times, in core ms."""
        return job.description.occurrences * sum(
            step.tasks
            * step.cpu_millis
            / 1_000
            * self._run_times.expected_ms(job, step.estimate_ms, number)
            for number, step in enumerate(job.description.steps)
        )


def declared_work(job: tasks_lib.Job) -> float:
    """Returns the declared work of a job in core milliseconds."""
    return job.description.occurrences * sum(
        step.tasks * step.cpu_millis * max(1, step.estimate_ms) / 1_000
        for step in job.description.steps
    )


def measures(job: tasks_lib.Job) -> dict[str, int]:
    """Returns the size of a job, for log lines."""
    steps = job.description.steps
    return {
        "work_core_ms": round(declared_work(job)),
        "tasks": sum(step.tasks for step in steps),
        "largest_cpu_millis": max(step.cpu_millis for step in steps),
        "largest_memory_mb": max(step.memory_mb for step in steps),
    }


def _result(outcome: tasks_lib.Outcome, took_ms: int, target_ms: float) -> str:
    if outcome is not tasks_lib.Outcome.COMPLETED:
        return outcome.value
    if took_ms <= target_ms:
        return "in-time"
    if took_ms <= ordering.MAX_OBJECTIVE_MULTIPLE * target_ms:
        return "late"
    return "expired"
