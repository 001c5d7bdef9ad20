"""Chooses attempts to evict from workers that all tasks must leave.

Services are evicted first, since callers wait for them. Batch tasks follow,
with a limited number of evictions at a time.
"""

from collections.abc import Iterable

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import tasks as tasks_lib

# Batch tasks are marked up to this number of evictions in progress.
MAX_CONCURRENT_EVICTIONS = 256


def from_draining_workers(
    context: context_lib.Context, draining: Iterable[str]
) -> list[commands.EvictAttempts]:
    """Returns a command to evict attempts from draining workers, if any."""
    services: list[messages.AttemptRef] = []
    batch: list[messages.AttemptRef] = []
    for name in sorted(draining):
        for task in context.tasks.held.get(name, ()):
            record = context.tasks.records[task]
            if record.evicting:
                continue
            ref = messages.AttemptRef(task=task, attempt=record.attempt)
            group = services if tasks_lib.is_service(task) else batch
            group.append(ref)
    remaining = max(0, MAX_CONCURRENT_EVICTIONS - len(context.tasks.evicting))
    chosen = (*services, *batch[:remaining])
    if not chosen:
        return []
    return [commands.EvictAttempts(attempts=chosen, reason="worker closed")]
