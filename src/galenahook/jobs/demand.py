"""Processors that short jobs ask for, measured from what was submitted."""

import collections
import dataclasses

from galenahook import commands
from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import tasks as tasks_lib

# Time over which submitted work is averaged.
WINDOW_MS = 8_000
# Shortest time over which the work of a new queue is averaged.
MIN_WINDOW_MS = 1_000
# Time after which a job no longer counts, even if the clock is set back.
RETENTION_MS = 60_000
# Time for which a measurement is used.
REFRESH_MS = 250


@dataclasses.dataclass(slots=True, frozen=True)
class Queue:
    """A queue of one service, with the priority of its jobs.

    Attributes:
      service: Pool of workers.
      name: Name of the queue.
      priority: Priority; lower ones are more urgent.
    """

    service: str
    name: str
    priority: int


def queue_of(description: commands.JobDescription) -> Queue:
    """Returns the queue of a job."""
    return Queue(description.service, description.queue, description.priority)


def is_short(job: tasks_lib.Job) -> bool:
    """Returns whether no task of a job serves and one reserves processors."""
    steps = job.description.steps
    return not any(step.serves for step in steps) and any(
        not step.uses_idle_cpu for step in steps
    )


class ShortDemand:
    """Work that short jobs ask for by time, by queue.

    It is computed from the replicated submissions, so that a new leader finds
    what the one before it found.
    """

    __slots__ = ("_first_ms", "_jobs", "_measured", "_measured_ms")

    def __init__(self) -> None:
        self._jobs: collections.deque[tasks_lib.Job] = collections.deque()
        # When a job of a queue was first submitted.
        self._first_ms: dict[Queue, int] = {}
        self._measured: dict[Queue, float] = {}
        self._measured_ms: int | None = None

    def add(self, job: tasks_lib.Job) -> None:
        """Adds a job that was submitted."""
        if is_short(job):
            queue = queue_of(job.description)
            submitted_ms = job.record.submitted_ms
            first_ms = self._first_ms.get(queue, submitted_ms)
            self._first_ms[queue] = min(first_ms, submitted_ms)
            self._jobs.append(job)

    def cpu_millis(
        self, run_times: run_times_lib.RunTimes, now_wall_ms: int
    ) -> dict[Queue, float]:
        """Returns the mean processors that the latest jobs of a queue need.

        Args:
          run_times: Estimated run times.
          now_wall_ms: Wall time.
        """
        measured_ms = self._measured_ms
        if (
            measured_ms is None
            or not 0 <= now_wall_ms - measured_ms < REFRESH_MS
        ):
            self._measured = self._measure(run_times, now_wall_ms)
            self._measured_ms = now_wall_ms
        return self._measured

    def _measure(
        self, run_times: run_times_lib.RunTimes, now_wall_ms: int
    ) -> dict[Queue, float]:
        since_ms = now_wall_ms - WINDOW_MS
        self._jobs = collections.deque(
            job
            for job in self._jobs
            if _last_due_ms(job) > now_wall_ms - RETENTION_MS
        )
        work: collections.Counter[Queue] = collections.Counter()
        for job in self._jobs:
            occurrences = _due_between(job, since_ms, now_wall_ms)
            if occurrences:
                work[queue_of(job.description)] += occurrences * round(
                    _work(job, run_times)
                )
        return {
            queue: total / self._window_ms(queue, now_wall_ms)
            for queue, total in work.items()
        }

    def _window_ms(self, queue: Queue, now_wall_ms: int) -> int:
        """Returns the time over which the work of a queue is averaged."""
        known_ms = now_wall_ms - self._first_ms[queue]
        # The clock may have been set back.
        if known_ms < 0:
            return WINDOW_MS
        return min(WINDOW_MS, max(MIN_WINDOW_MS, known_ms))


def _work(job: tasks_lib.Job, run_times: run_times_lib.RunTimes) -> float:
    """Returns the work of one occurrence in millis of cores times ms."""
    return sum(
        step.tasks
        * step.cpu_millis
        * run_times.expected_ms(job, step.estimate_ms, number)
        for number, step in enumerate(job.description.steps)
        if not step.uses_idle_cpu
    )


def _due_ms(job: tasks_lib.Job) -> int:
    """Returns the wall time from which the first occurrence may run."""
    return max(job.record.submitted_ms, job.description.first_start_ms)


def _last_due_ms(job: tasks_lib.Job) -> int:
    """Returns when the last occurrence becomes due, or the job has ended."""
    description = job.description
    later_ms = (description.occurrences - 1) * description.interval_ms
    last_ms = _due_ms(job) + max(0, later_ms)
    return min(last_ms, job.record.ended_ms) if job.ended else last_ms


def _due_between(job: tasks_lib.Job, after_ms: int, until_ms: int) -> int:
    """Returns the number of occurrences that became due in a time.

    Of a job that has ended, those that were due before.
    """
    first_ms = _due_ms(job)
    if job.ended:
        until_ms = min(until_ms, job.record.ended_ms)
    if first_ms > until_ms:
        return 0
    last = job.description.occurrences - 1
    interval_ms = job.description.interval_ms
    if interval_ms <= 0:
        return (last + 1) * (after_ms < first_ms)
    newest = min(last, (until_ms - first_ms) // interval_ms)
    oldest = max(0, (after_ms - first_ms) // interval_ms + 1)
    return max(0, newest - oldest + 1)
