"""Processors of some workers that are kept for short jobs as their share.

Where short jobs ask for more than that, a draw decides which of them are served
first, whatever their size, so that few jobs are begun and not finished.

Serving tasks leave them, unless they are overdue. Where serving tasks already
fill every worker, some on the chosen workers are stopped while short jobs wait,
as far as their steps may miss tasks, and go elsewhere.

The workers with the fewest processors in use by serving tasks are chosen, so
that the next leader chooses mostly those that the one before it has cleared.
Those with hardware that serving tasks need go last.
"""

from collections.abc import Set
import dataclasses
import zlib

from galenahook.jobs import demand as demand_lib
from galenahook.jobs import drawn_jobs
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import queue_shares
from galenahook.jobs import rotation as rotation_lib
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

# Serving runs are stopped on at most one of so many workers at a time, but
# always on one.
WORKERS_PER_CLEARED = 64


@dataclasses.dataclass(slots=True, frozen=True)
class KeptWorker:
    """A worker of which processors are kept for short jobs.

    Attributes:
      candidate: Its free capacity.
      cpu_millis: Processors that are kept.
    """

    candidate: free_capacity_lib.FreeCapacity
    cpu_millis: float

    def missing_cpu_millis(self) -> float:
        """Returns how many of them serving tasks use and will go on to."""
        worker = self.candidate.worker
        left = worker.heartbeat.cpu_millis - serving_cpu_millis(worker)
        return self.cpu_millis - left

    def usable_cpu_millis(self) -> float:
        """Returns how many of them serving tasks do not use."""
        return self.cpu_millis - max(0.0, self.missing_cpu_millis())

    def is_being_cleared(self) -> bool:
        """Returns whether a serving run there is being stopped."""
        return any(
            run.step.serves and run.stopping
            for run in self.candidate.worker.runs.values()
        )


class ShortWorkers:
    """Workers kept for short jobs during one round.

    Attributes:
      kept: The workers, those with the fewest serving tasks first.
    """

    __slots__ = (
        "_candidates",
        "_drawn",
        "_rotation",
        "_shares",
        "_usable",
        "kept",
    )

    def __init__(
        self,
        shares: queue_shares.QueueShares,
        candidates: list[free_capacity_lib.FreeCapacity],
        rotation: rotation_lib.Rotation,
        drawn: drawn_jobs.DrawnJobs,
    ) -> None:
        self._candidates = candidates
        self._drawn = drawn
        self._rotation = rotation
        self._shares = shares
        self.kept: list[KeptWorker] = []
        scarce = shares.serving_labels
        # Part of the kept processors that serving tasks do not use, by service.
        self._usable: dict[str, float] = {}
        for service in sorted(shares.contended):
            cpu_millis = shares.short_cpu_millis(service)
            if cpu_millis:
                kept = _choose(candidates, service, cpu_millis, scarce)
                usable = sum(item.usable_cpu_millis() for item in kept)
                self._usable[service] = usable / cpu_millis
                self.kept += kept

    def close(self) -> None:
        """Keeps serving tasks off the workers for the rest of the round."""
        for item in self.kept:
            item.candidate.kept_cpu_millis = item.cpu_millis

    def are_kept_for(self, service: str) -> bool:
        """Returns whether workers of a service are kept."""
        return service in self._usable

    def is_drawn(self, job: tasks_lib.Job) -> bool:
        """Returns whether a short job is to be served before others.

        As many are drawn as the processors serve that their queue can use.
        """
        share = self._shares.short.get(demand_lib.queue_of(job.description))
        if share is None or not share.asked_cpu_millis:
            return True
        usable = self._usable.get(job.description.service, 1.0)
        return self._drawn.is_drawn(
            job, usable * share.cpu_millis / share.asked_cpu_millis
        )

    def runs_to_stop(
        self, waiting_services: set[str]
    ) -> list[tuple[workers_lib.Worker, workers_lib.LiveRun]]:
        """Returns serving runs to stop, with their workers.

        Args:
          waiting_services: Services with short jobs that wait for processors.
        """
        limit = max(1, len(self._candidates) // WORKERS_PER_CLEARED)
        in_progress = sum(item.is_being_cleared() for item in self.kept)
        chosen = []
        for item in self.kept:
            if in_progress >= limit:
                break
            worker = item.candidate.worker
            missing = item.missing_cpu_millis()
            if (
                missing <= 0
                or worker.heartbeat.service not in waiting_services
                or item.is_being_cleared()
            ):
                continue
            runs = self._rotation.spare_on(item.candidate, missing)
            chosen += [(worker, run) for run in runs]
            in_progress += bool(runs)
        return chosen


def _choose(
    candidates: list[free_capacity_lib.FreeCapacity],
    service: str,
    cpu_millis: float,
    serving_labels: Set[str],
) -> list[KeptWorker]:
    """Chooses workers for a number of processors; the last one in part."""
    ranked = sorted(
        (
            candidate
            for candidate in candidates
            if candidate.worker.heartbeat.service == service
        ),
        # A worker that is reserved at this time is so for a serving task. Names
        # of workers of one zone or rack may follow each other.
        key=lambda candidate: (
            not serving_labels.isdisjoint(candidate.worker.heartbeat.labels),
            candidate.worker.heartbeat.gpus,
            candidate.reserved_for is not None,
            candidate.serving_cpu_millis,
            zlib.crc32(candidate.worker.name.encode()),
        ),
    )
    kept = []
    for candidate in ranked:
        if cpu_millis <= 0:
            break
        own = candidate.worker.heartbeat.cpu_millis
        kept.append(KeptWorker(candidate, min(own, cpu_millis)))
        cpu_millis -= own
    return kept


def serving_cpu_millis(worker: workers_lib.Worker) -> int:
    """Returns the processors that serving tasks on a worker reserve.

    Without those that are being stopped.
    """
    return sum(
        run.step.cpu_millis
        for run in worker.runs.values()
        if run.step.serves and not run.stopping
    )
