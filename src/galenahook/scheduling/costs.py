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
SAME_WORKER = 1.0
SAME_ZONE = 0.1
SAME_RACK = 0.03
# Cost per other service on the same worker.
OTHER_SERVICE = 0.04
# Multiplies the impact on a service whose tail latency exceeds its target.
OVER_TARGET_FACTOR = 4.0
# A smaller relative increase does not count as exceeding the target.
NEGLIGIBLE_RISE = 0.01
# Scarcity rises linearly from 0 to 1 between these shares of used capacity.
SCARCE_FROM = 0.3
SCARCE_TO = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Need:
    """Requirements of a waiting task.

    Attributes:
      task: Task identifier.
      owner: `job/NAME` or `service/NAME`.
      team: Team that owns it.
      job_class: Class of a job, empty for a service.
      resources: Resources to reserve for it.
      avoid: Workers that it failed on and may not be placed on.
    """

    task: str
    owner: str
    team: str
    job_class: str
    resources: messages.Resources
    avoid: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Harm:
    """Predicted impact of a task on the tail latency of services on a VM.

    Attributes:
      amount: Sum of the relative increases, weighted by the priority of each
        service and by whether its target is then exceeded. For an instance
        of a service: the slowdown that it would suffer itself.
      spared: Impact of a task of average class on the same VM, scaled by the
        scarcity of free capacity. It is subtracted from `amount`, so that a
        class with less impact than average prefers VMs with services.
      over_target: Whether a service would exceed its target.
    """

    amount: float
    spared: float = 0.0
    over_target: bool = False


class Harms:
    """Predicts the impact on tail latency during one round.

    Attributes:
      mean_weights: Interference weight of the average batch task, by service.
      scarcity: Scarcity of free capacity, from 0 to 1.
    """

    __slots__ = (
        "_colocation",
        "_configuration",
        "_mix",
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
        self._mix = mix
        self.mean_weights = mean_weights
        self._slowdowns: dict[tuple[str, str], float] = {}
        busy = (used_share - SCARCE_FROM) / (SCARCE_TO - SCARCE_FROM)
        self.scarcity = min(1.0, max(0.0, busy))

    def of(self, need: Need, slot: placement.Slot) -> Harm:
        """Returns the impact of placing a task on a worker's VM."""
        if tasks_lib.is_service(need.owner):
            name = tasks_lib.name_of(need.task)
            return Harm(self._slowdown(name, slot.worker))
        added = need.resources.cores_milli / max(1, slot.capacity.cores_milli)
        amount = 0.0
        spared = 0.0
        over_target = False
        for name in self._colocation.services_beside(slot.worker):
            service = self._configuration.services.get(name)
            if service is None:
                continue
            importance = 1 + service.priority / 100
            rise = self._model.weight(name, need.job_class) * added
            over = self._is_over(service, slot.worker, rise)
            factor = OVER_TARGET_FACTOR if over else 1.0
            over_target = over_target or over
            amount += rise * factor * importance
            spared += self._mean_weight(name) * added * importance
        return Harm(amount, self.scarcity * spared, over_target)

    def _is_over(
        self,
        service: commands.ServiceRow,
        worker: str,
        rise: float,
    ) -> bool:
        base = self._model.baselines.get(service.name)
        if base is None or rise < NEGLIGIBLE_RISE:
            return False
        slowdown = 1 + self._slowdown(service.name, worker) + rise
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
                for job_class, share in self._mix.items()
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


def crowding(
    near: Mapping[str, int], slot: placement.Slot, index: placement.FreeIndex
) -> float:
    """Returns the cost of instances of a service close to a worker.

    Args:
      near: Number of instances by worker.
      slot: The worker considered.
      index: Availability zones and racks of workers.
    """
    sum_ = 0.0
    for name, count in near.items():
        other = index.slots.get(name)
        if other is None:
            continue
        if name == slot.worker:
            sum_ += SAME_WORKER * count
        if other.availability_zone == slot.availability_zone:
            sum_ += SAME_ZONE * count
            if other.rack == slot.rack:
                sum_ += SAME_RACK * count
    return sum_
