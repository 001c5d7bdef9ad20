"""Evicts tasks from VMs that run short of memory.

Declared sizes of jobs are often far off. The batch task that exceeds its
reservation the most is evicted; its next attempt reserves the learned size.
"""

from collections.abc import Iterable

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import tasks as tasks_lib

EVICTION_REASON = "its VM is short of memory"


def memory_evictions(
    context: context_lib.Context, changed: Iterable[str]
) -> list[commands.EvictAttempts]:
    """Returns commands to evict one task on each worker short of memory."""
    refs = []
    for name in sorted(changed):
        worker = context.workers.workers.get(name)
        if worker is None or not worker.excess_usage.memory_mb:
            continue
        if context.workers.free_capacity(name, context.tasks).memory_mb >= 0:
            continue
        ref = _largest_excess(context, name)
        if ref is not None:
            refs.append(ref)
    if not refs:
        return []
    return [
        commands.EvictAttempts(attempts=tuple(refs), reason=EVICTION_REASON)
    ]


def _largest_excess(
    context: context_lib.Context, name: str
) -> messages.AttemptRef | None:
    worker = context.workers.workers[name]
    best: tuple[int, messages.AttemptRef] | None = None
    for task in context.tasks.held.get(name, ()):
        record = context.tasks.records[task]
        if record.evicting:
            return None
        status = worker.attempts.get(task)
        if tasks_lib.is_service(task) or status is None or not status.usage:
            continue
        if not tasks_lib.is_repeatable(context.configuration, task):
            continue
        over_mb = status.usage.memory_mb - record.reserved.memory_mb
        if over_mb > 0 and (best is None or over_mb > best[0]):
            ref = messages.AttemptRef(task=task, attempt=record.attempt)
            best = (over_mb, ref)
    return best[1] if best else None
