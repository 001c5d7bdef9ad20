"""Finds the worker that has capacity for one more task the soonest."""

import dataclasses
import heapq

from galenahook import commands
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import workers as workers_lib

# Workers, those that lack least, whose runs one search examines.
MAX_EXAMINED_WORKERS = 32
# Lower bound of the speed assumed for a throttled run.
MIN_SPEED = 0.1


def soonest(
    run_times: run_times_lib.RunTimes,
    candidates: list[free_capacity_lib.FreeCapacity],
    step: commands.StepDescription,
) -> tuple[float, free_capacity_lib.FreeCapacity] | None:
    """Returns the worker where a task is expected to fit first, and when.

    Examines only the workers that lack the smallest share of their capacity.
    """
    nearest = heapq.nsmallest(
        MAX_EXAMINED_WORKERS,
        candidates,
        key=lambda candidate: _missing_share(candidate, step),
    )
    if not nearest:
        return None
    times = [_time_to_fit_ms(run_times, item.worker, step) for item in nearest]
    index = min(range(len(times)), key=times.__getitem__)
    return times[index], nearest[index]


def _missing_share(
    candidate: free_capacity_lib.FreeCapacity, step: commands.StepDescription
) -> float:
    """Returns the largest share of its capacity that a worker lacks."""
    heartbeat = candidate.worker.heartbeat
    if step.uses_idle_cpu:
        free_cpu_millis = candidate.idle_cpu_millis
    else:
        free_cpu_millis = candidate.cpu_millis
    return max(
        (step.cpu_millis - free_cpu_millis) / max(1, heartbeat.cpu_millis),
        (step.memory_mb - candidate.memory_mb) / max(1, heartbeat.memory_mb),
        (step.gpus - candidate.gpus) / max(1, heartbeat.gpus),
    )


@dataclasses.dataclass(slots=True)
class _Shortage:
    """Capacity that a worker lacks for one more task; negative for a surplus.

    Attributes:
      cpu_millis: Processors, in thousandths of a core.
      memory_mb: Memory in megabytes.
      gpus: Accelerators.
    """

    cpu_millis: int
    memory_mb: int
    gpus: int

    def add(self, step: commands.StepDescription) -> None:
        """Adds what a task of a step reserves."""
        self.cpu_millis += 0 if step.uses_idle_cpu else step.cpu_millis
        self.memory_mb += step.memory_mb
        self.gpus += step.gpus

    def subtract(self, step: commands.StepDescription) -> None:
        """Subtracts what a task of a step reserves."""
        self.cpu_millis -= 0 if step.uses_idle_cpu else step.cpu_millis
        self.memory_mb -= step.memory_mb
        self.gpus -= step.gpus

    def is_over(self) -> bool:
        """Returns whether nothing is lacking."""
        return max(self.cpu_millis, self.memory_mb, self.gpus) <= 0

    def is_reduced_by(self, step: commands.StepDescription) -> bool:
        """Returns whether a task of a step reserves something that lacks."""
        return bool(
            (self.cpu_millis > 0 and not step.uses_idle_cpu and step.cpu_millis)
            or (self.memory_mb > 0 and step.memory_mb)
            or (self.gpus > 0 and step.gpus)
        )


def _shortage(
    worker: workers_lib.Worker,
    step: commands.StepDescription,
    runs: list[workers_lib.LiveRun],
) -> _Shortage:
    """Returns what a worker with some runs lacks for a task of a step."""
    heartbeat = worker.heartbeat
    shortage = _Shortage(
        -heartbeat.cpu_millis, -heartbeat.memory_mb, -heartbeat.gpus
    )
    shortage.add(step)
    for run in runs:
        shortage.add(run.step)
    return shortage


def _time_to_fit_ms(
    run_times: run_times_lib.RunTimes,
    worker: workers_lib.Worker,
    step: commands.StepDescription,
) -> float:
    """Returns in which time enough batch runs are expected to have ended.

    A task on idle processors waits for all of them, as serving tasks may not
    tolerate it beside any.
    """
    shortage = _shortage(worker, step, list(worker.runs.values()))
    ends = sorted(
        (
            (_expected_left_ms(run_times, run), run)
            for run in worker.runs.values()
            if run.stopping or not run.step.serves
        ),
        key=lambda item: item[0],
    )
    time_ms = 0.0
    for end_ms, run in ends:
        if shortage.is_over() and not step.uses_idle_cpu:
            break
        time_ms = end_ms
        shortage.subtract(run.step)
    return time_ms


def _expected_left_ms(
    run_times: run_times_lib.RunTimes, run: workers_lib.LiveRun
) -> float:
    if run.stopping:
        return 0.0
    whole_ms = run_times.expected_ms(run.job, run.step.estimate_ms, run.key[1])
    speed = max(run.throttle_percent / 100, MIN_SPEED)
    return whole_ms * (1 - run.progress_percent / 100) / speed


def runs_to_stop(
    worker: workers_lib.Worker, step: commands.StepDescription
) -> list[workers_lib.LiveRun]:
    """Returns batch runs whose end makes room for a task of a step, or none.

    Prefers runs that resume from a checkpoint, then those with least progress.
    """
    staying = [run for run in worker.runs.values() if not run.stopping]
    shortage = _shortage(worker, step, staying)
    chosen = []
    for run in sorted(
        (run for run in staying if not run.step.serves),
        key=lambda run: (not run.step.saves_checkpoints, run.progress_percent),
    ):
        if shortage.is_reduced_by(run.step):
            chosen.append(run)
            shortage.subtract(run.step)
    return chosen if shortage.is_over() else []
