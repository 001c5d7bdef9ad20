"""Makes room for services and urgent jobs by evicting other batch work."""

import dataclasses

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import placement
from galenahook.scheduling import tasks as tasks_lib

MAX_WORKERS_LOOKED_AT = 48
ROOM_FOR = "room for "
UNBROKEN_COST = 1_000.0
VICTIM_COST = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class Victims:
    """Tasks of one worker that would make the room.

    Attributes:
      worker: Name of the worker.
      tasks: What to evict.
      cost: How much it hurts; the smallest is chosen.
    """

    worker: str
    tasks: tuple[str, ...]
    cost: float


def make_room(
    context: context_lib.Context,
    slots: list[placement.Slot],
    need: messages.Resources,
    reason: str,
) -> commands.EvictAttempts | None:
    """Returns the mark of the cheapest evictions that make room, if any."""
    found = []
    for slot in slots[:MAX_WORKERS_LOOKED_AT]:
        victims = _victims_on(context, slot, need)
        if victims is not None:
            found.append(victims)
    if not found:
        return None
    best = min(found, key=lambda victims: (victims.cost, victims.worker))
    refs = tuple(
        messages.AttemptRef(
            task=task, attempt=context.tasks.records[task].attempt
        )
        for task in best.tasks
    )
    return commands.EvictAttempts(attempts=refs, reason=reason)


def _victims_on(
    context: context_lib.Context,
    slot: placement.Slot,
    need: messages.Resources,
) -> Victims | None:
    if not placement.fits(need, slot.capacity):
        return None
    free = slot.free
    chosen = []
    cost = 0.0
    for task_cost, task in _evictable(context, slot.worker):
        if placement.fits(need, free):
            break
        reserved = context.tasks.records[task].reserved
        free = placement.subtract(free, _negative(reserved))
        chosen.append(task)
        cost += task_cost
    if not chosen or not placement.fits(need, free):
        return None
    return Victims(slot.worker, tuple(chosen), cost)


def _evictable(
    context: context_lib.Context, worker: str
) -> list[tuple[float, str]]:
    found = []
    for task in context.tasks.held.get(worker, ()):
        job = context.configuration.jobs.get(tasks_lib.name_of(task))
        record = context.tasks.records[task]
        if tasks_lib.is_service(task) or job is None or record.evicting:
            continue
        if job.urgent or not job.repeatable:
            continue
        cost = VICTIM_COST + job.priority + UNBROKEN_COST * job.unbroken
        found.append((cost, task))
    return sorted(found)


def _negative(amount: messages.Resources) -> messages.Resources:
    return messages.Resources(
        -amount.cores_milli, -amount.memory_mb, -amount.accelerators
    )
