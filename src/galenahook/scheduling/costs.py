"""Costs of placing a task on a worker: interference and proximity."""

from collections.abc import Mapping
import dataclasses

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import messages
from galenahook.scheduling import colocation as colocation_lib
from galenahook.scheduling import interference as interference_lib
from galenahook.scheduling import placement
from galenahook.scheduling import task_table
from galenahook.scheduling import tasks as tasks_lib

# Cost per instance of the same service; a shared rack adds to a shared zone.
SAME_WORKER_COST = 1.0
SAME_ZONE_COST = 0.1
SAME_RACK_COST = 0.03
# Cost per other service on the same worker.
OTHER_SERVICE_COST = 0.04
# Multiplies the impact on a service whose tail latency exceeds its target.
OVER_TARGET_FACTOR = 4.0
# A smaller relative increase does not count as exceeding the target.
NEGLIGIBLE_INCREASE = 0.01
# Scarcity rises linearly from 0 to 1 between these shares of used capacity.
SCARCITY_MIN_UTILIZATION = 0.3
SCARCITY_MAX_UTILIZATION = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementRequest:
    """Requirements of a waiting task.

    Attributes:
      task: Task identifier.
      owner: `job/NAME` or `service/NAME`.
      team: Team that owns it.
      job_class: Class of a job, empty for a service.
      resources: Resources to reserve for it.
      excluded_workers: Workers that it failed on and may not be placed on.
    """

    task: str
    owner: str
    team: str
    job_class: str
    resources: messages.Resources
    excluded_workers: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class TailImpact:
    """Predicted impact of a task on the tail latency of services on a VM.

    Attributes:
      amount: Sum of the relative increases, weighted by the priority of each
        service and by whether its target is then exceeded. For an instance
        of a service: the slowdown that it would suffer itself.
      average_amount: Impact of a task of average class on the same VM, scaled
        by the scarcity of free capacity. It is subtracted from `amount`, so
        that a class with less impact than average prefers VMs with services.
      over_target: Whether a service would exceed its target.
    """

    amount: float
    average_amount: float = 0.0
    over_target: bool = False


class TailImpactPredictor:
    """Predicts the impact on tail latency during one round.

    Attributes:
      mean_weights: Interference weight of the average batch task, by service.
      scarcity: Scarcity of free capacity, from 0 to 1.
    """

    __slots__ = (
        "_colocation",
        "_configuration",
        "_class_mix",
        "_model",
        "_slowdowns",
        "mean_weights",
        "scarcity",
    )

    def __init__(
        self,
        colocation: colocation_lib.Colocation,
        model: interference_lib.InterferenceModel,
        configuration: configuration_lib.ConfigurationRecord,
        mix: Mapping[str, float],
        used_share: float,
        mean_weights: dict[str, float],
    ) -> None:
        self._colocation = colocation
        self._model = model
        self._configuration = configuration
        self._class_mix = mix
        self.mean_weights = mean_weights
        self._slowdowns: dict[tuple[str, str], float] = {}
        scarcity = (used_share - SCARCITY_MIN_UTILIZATION) / (
            SCARCITY_MAX_UTILIZATION - SCARCITY_MIN_UTILIZATION
        )
        self.scarcity = min(1.0, max(0.0, scarcity))

    def predict(
        self, request: PlacementRequest, candidate: placement.WorkerCapacity
    ) -> TailImpact:
        """Returns the impact of placing a task on a worker's VM."""
        if tasks_lib.is_service(request.owner):
            name = tasks_lib.name_of(request.task)
            return TailImpact(self._slowdown(name, candidate.worker))
        added = request.resources.cores_milli / max(
            1, candidate.capacity.cores_milli
        )
        amount = 0.0
        average_amount = 0.0
        over_target = False
        for name in self._colocation.services_on(candidate.worker):
            service = self._configuration.services.get(name)
            if service is None:
                continue
            importance = 1 + service.priority / 100
            increase = self._model.weight(name, request.job_class) * added
            exceeds = self._exceeds_target(service, candidate.worker, increase)
            factor = OVER_TARGET_FACTOR if exceeds else 1.0
            over_target = over_target or exceeds
            amount += increase * factor * importance
            average_amount += self._mean_weight(name) * added * importance
        return TailImpact(amount, self.scarcity * average_amount, over_target)

    def _exceeds_target(
        self,
        service: commands.ServiceRow,
        worker: str,
        increase: float,
    ) -> bool:
        base = self._model.baselines.get(service.name)
        if base is None or increase < NEGLIGIBLE_INCREASE:
            return False
        slowdown = 1 + self._slowdown(service.name, worker) + increase
        return base.p99_ms * slowdown > service.tail_target_ms

    def _slowdown(self, service: str, worker: str) -> float:
        """Returns the slowdown by held tasks, without this round's starts."""
        key = (service, worker)
        known = self._slowdowns.get(key)
        if known is None:
            shares = self._colocation.shares(worker)
            known = self._model.slowdown(service, shares)
            self._slowdowns[key] = known
        return known

    def _mean_weight(self, service: str) -> float:
        known = self.mean_weights.get(service)
        if known is None:
            known = sum(
                share * self._model.weight(service, job_class)
                for job_class, share in self._class_mix.items()
            )
            self.mean_weights[service] = known
        return known


def class_mix(
    table: task_table.TaskTable,
    configuration: configuration_lib.ConfigurationRecord,
) -> dict[str, float]:
    """Returns the share of each class in the processors held by jobs."""
    cores: dict[str, float] = {}
    for owner, reserved in table.owner_reserved.items():
        job = configuration.jobs.get(owner.partition("/")[2])
        if job is not None and not tasks_lib.is_service(owner):
            known = cores.get(job.job_class, 0.0)
            cores[job.job_class] = known + reserved.cores_milli
    total = sum(cores.values()) or 1.0
    return {name: amount / total for name, amount in cores.items()}


def proximity_cost(
    instances: Mapping[str, int],
    candidate: placement.WorkerCapacity,
    index: placement.FreeIndex,
) -> float:
    """Returns the cost of instances of a service close to a worker.

    Args:
      instances: Number of instances by worker.
      candidate: The worker considered.
      index: Availability zones and racks of workers.
    """
    sum_ = 0.0
    for name, count in instances.items():
        other = index.workers.get(name)
        if other is None:
            continue
        if name == candidate.worker:
            sum_ += SAME_WORKER_COST * count
        if other.availability_zone == candidate.availability_zone:
            sum_ += SAME_ZONE_COST * count
            if other.rack == candidate.rack:
                sum_ += SAME_RACK_COST * count
    return sum_
