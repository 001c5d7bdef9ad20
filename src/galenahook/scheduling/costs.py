"""What speaks against placing a task on a worker."""

from collections.abc import Mapping
import dataclasses

from galenahook import configuration as configuration_lib
from galenahook import messages
from galenahook.scheduling import colocation as colocation_lib
from galenahook.scheduling import interference as interference_lib
from galenahook.scheduling import placement
from galenahook.scheduling import tasks as tasks_lib

SAME_WORKER = 1.0
SAME_ZONE = 0.1
SAME_RACK = 0.03
OVER_TARGET_FACTOR = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class Need:
    """What a waiting task asks of a worker.

    Attributes:
      task: Task identifier.
      owner: `job/NAME` or `service/NAME`.
      team: Team that owns it.
      job_class: Class of a job, empty for a service.
      resources: What is reserved for it.
      avoid: Workers on which it failed.
    """

    task: str
    owner: str
    team: str
    job_class: str
    resources: messages.Resources
    avoid: tuple[str, ...] = ()


def tail_harm(
    need: Need,
    slot: placement.Slot,
    colocation: colocation_lib.Colocation,
    model: interference_lib.InterferenceModel,
    configuration: configuration_lib.ConfigurationRecord,
) -> float:
    """Returns the predicted harm to tails of services on the worker's VM.

    It is the relative rise of each service's tail, weighted by its priority,
    and counts more where the tail is then over its target.
    """
    shares = colocation.shares(slot.worker)
    if tasks_lib.is_service(need.owner):
        name = tasks_lib.name_of(f"{need.owner}/0")
        return model.slowdown(name, shares)
    added = need.resources.cores_milli / max(1, slot.capacity.cores_milli)
    harm = 0.0
    for name in colocation.services_beside(slot.worker):
        service = configuration.services.get(name)
        if service is None:
            continue
        rise = model.weight(name, need.job_class) * added
        if rise == 0.0:
            continue
        factor = 1.0
        base = model.baselines.get(name)
        if base is not None:
            slowdown = 1 + model.slowdown(name, shares) + rise
            if base.p99_ms * slowdown > service.tail_target_ms:
                factor = OVER_TARGET_FACTOR
        harm += rise * factor * (1 + service.priority / 100)
    return harm


def crowding(
    near: Mapping[str, int], slot: placement.Slot, index: placement.FreeIndex
) -> float:
    """Returns how close instances of a service are to a worker.

    Args:
      near: Instances by worker.
      slot: The worker considered.
      index: Where workers stand.
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
