"""Ranks workers for the tasks of one step, by cost."""

import heapq

from galenahook import commands
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import headroom as headroom_lib
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

# Weights of two terms that are subtracted from the headroom reduction in the
# cost of a placement: the reduction that an average batch image would cause on
# the worker, and the idle share of its processors.
MEAN_REDUCTION_WEIGHT = 0.5
IDLE_CPU_WEIGHT = 0.3


class Ranking:
    """Candidates for the tasks of one step, by cost.

    Candidates of equal cost rank in the order in which they were first added.
    """

    def __init__(
        self,
        model: headroom_lib.HeadroomModel,
        job: tasks_lib.Job,
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
        is_isolated: bool,
    ) -> None:
        self._is_isolated = is_isolated
        self._model = model
        self._service = job.description.service
        self._step = step
        self._step_id = step_id
        self._numbers: dict[str, int] = {}
        self._heap: list[
            tuple[tuple[float, ...], int, free_capacity_lib.FreeCapacity]
        ] = []

    def add(self, candidate: free_capacity_lib.FreeCapacity) -> None:
        """Adds a candidate at its current cost if it may run one more task."""
        name = candidate.worker.name
        number = self._numbers.setdefault(name, len(self._numbers))
        if not candidate.fits(self._step) or not self._is_allowed(candidate):
            return
        cost = _cost(self._model, self._step, candidate)
        if cost is not None:
            if self._is_isolated:
                cost = (float(candidate.starting > 0), *cost)
            heapq.heappush(self._heap, (cost, number, candidate))

    def _is_allowed(self, candidate: free_capacity_lib.FreeCapacity) -> bool:
        if candidate.has_suspect_start:
            return False
        step = self._step
        if step.uses_idle_cpu and candidate.idle_cpu_millis < step.cpu_millis:
            return False
        return candidate.is_allowed(self._service, step, self._step_id)

    def pop(self, avoided_worker: str) -> free_capacity_lib.FreeCapacity | None:
        """Removes and returns the cheapest candidate, or None.

        Args:
          avoided_worker: Worker that is returned only if there is no other.
        """
        if not self._heap:
            return None
        first = heapq.heappop(self._heap)
        if first[2].worker.name == avoided_worker and self._heap:
            first = heapq.heapreplace(self._heap, first)
        return first[2]


def _cost(
    model: headroom_lib.HeadroomModel,
    step: commands.StepDescription,
    candidate: free_capacity_lib.FreeCapacity,
) -> tuple[float, ...] | None:
    """Returns the cost of a placement, compared part by part.

    A serving task prefers the worker with the fewest serving tasks of other
    images, then one that already runs its image, then the one with the least
    unreserved processors. A task that reserves processors and does not serve
    prefers the worker with the fewest unreserved ones, as larger tasks need the
    others. None if serving tasks do not tolerate a colocated batch task.
    """
    worker = candidate.worker
    if step.uses_idle_cpu:
        return _colocation_cost(model, step, candidate)
    if step.serves:
        images = [
            run.step.image for run in worker.runs.values() if run.step.serves
        ]
        others = sum(image != step.image for image in images)
        is_first = step.image not in images
        free_share = worker.share_of(candidate.cpu_millis)
        return (float(others), float(is_first), free_share)
    return (float(candidate.cpu_millis),)


def _colocation_cost(
    model: headroom_lib.HeadroomModel,
    step: commands.StepDescription,
    candidate: free_capacity_lib.FreeCapacity,
) -> tuple[float, ...] | None:
    """Returns the cost of colocating a batch task; None if not tolerated.

    Prefers workers whose serving tasks tolerate this image better than batch
    images on average, so that workers that tolerate every image stay free.
    """
    if not candidate.tolerates(model, step):
        return None
    share = candidate.share_of(step)
    weights = [
        model.weight(item.image, step.image).value
        for item in candidate.serving_steps
    ]
    mean_weights = [
        model.mean_weight(item.image) for item in candidate.serving_steps
    ]
    reduction = share * max(weights, default=0.0)
    mean_reduction = share * max(mean_weights, default=0.0)
    idle = candidate.worker.share_of(candidate.idle_cpu_millis)
    return (
        reduction
        - MEAN_REDUCTION_WEIGHT * mean_reduction
        - IDLE_CPU_WEIGHT * idle,
    )
