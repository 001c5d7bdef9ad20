"""What the decisions of one round are made from.

Decisions read nothing else, so that tests and simulations call them without a
replica, a network or a clock.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from galenahook.jobs import demand as demand_lib
from galenahook.jobs import drawn_jobs
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import tail_latency as tail_latency_lib
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib


@dataclasses.dataclass(slots=True, frozen=True)
class RoundInput:
    """State of the site at the beginning of a round.

    Attributes:
      now_ms: Monotonic time.
      now_wall_ms: Wall time.
      open_jobs: Jobs that have not ended, by identifier.
      workers: Workers that the leader polls.
      zones_out: Availability zones that operators have taken out of service.
      run_times: Estimated run times.
      tails: Forecasts of tail latencies.
      demand: Processors that short jobs ask for.
      drawn: Short jobs that were drawn.
      term_started_ms: When the term of the leader began.
      lease_ms: Longest lease of a worker.
    """

    now_ms: int
    now_wall_ms: int
    open_jobs: Mapping[str, tasks_lib.Job]
    workers: Collection[workers_lib.Worker]
    zones_out: Collection[str]
    run_times: run_times_lib.RunTimes
    tails: tail_latency_lib.TailLatencyControl
    demand: demand_lib.ShortDemand
    drawn: drawn_jobs.DrawnJobs
    term_started_ms: int
    lease_ms: int

    def worker(self, name: str) -> workers_lib.Worker | None:
        """Returns a worker by its identifier, or None."""
        return next((it for it in self.workers if it.name == name), None)

    def unusable_workers(self) -> collections.Counter[str]:
        """Returns the number of workers on which no run may start by reason."""
        reasons: collections.Counter[str] = collections.Counter()
        for worker in self.workers:
            reason = worker.unusable_reason(self.now_ms)
            if not reason and self._is_zone_out(worker):
                reason = "zone-out"
            if reason:
                reasons[reason] += 1
        return reasons

    def _is_zone_out(self, worker: workers_lib.Worker) -> bool:
        return worker.heartbeat.availability_zone in self.zones_out

    def usable_capacity(self) -> list[free_capacity_lib.FreeCapacity]:
        """Returns the free capacity of each worker on which runs may start."""
        return [
            free_capacity_lib.free_capacity_of(worker, self.tails, self.now_ms)
            for worker in self.workers
            if worker.is_usable(self.now_ms) and not self._is_zone_out(worker)
        ]
