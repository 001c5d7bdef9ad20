"""Proofs that held attempts do not run any more."""

from galenahook import commands
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import starts as starts_lib
from galenahook.scheduling import tasks as tasks_lib
from galenahook.upstreams import workers as workers_lib


def missing_attempts(
    context: context_lib.Context, starts: starts_lib.Starts, name: str
) -> list[commands.AttemptEnd]:
    """Returns ends of attempts that a worker's announcement proves gone."""
    worker = context.workers.workers.get(name)
    if worker is None:
        return []
    ends = []
    for task in worker.missing:
        record = context.tasks.records.get(task)
        if record is None or record.phase is not tasks_lib.Phase.HELD:
            continue
        if record.worker == name:
            end = _judge(worker, record, starts)
            ends.extend([end] if end else [])
    return ends


def _judge(
    worker: workers_lib.Worker,
    record: tasks_lib.TaskRecord,
    starts: starts_lib.Starts,
) -> commands.AttemptEnd | None:
    announcement = worker.announcement
    if record.incarnation != announcement.incarnation:
        return context_lib.gone(record, "worker restarted", in_doubt=True)
    if (record.task, record.attempt) in worker.vanished:
        return context_lib.gone(record, "stopped by its worker")
    sent = starts.open.get(record.task)
    if sent is None or sent.attempt != record.attempt:
        starts.adopt(record, announcement.sent_at_ms)
    elif starts.is_proven_absent(sent, announcement.sent_at_ms):
        return context_lib.gone(record, "start did not arrive")
    return None


def expired_leases(
    context: context_lib.Context,
) -> list[commands.AttemptEnd]:
    """Returns ends of attempts whose workers' leases are over.

    Their workers are fenced: until these ends are committed, no announcement
    renews anything for them.
    """
    ends = []
    for name in context.workers.over_leases(context.tasks.held):
        context.workers.fence(name)
        for task in context.tasks.held[name]:
            record = context.tasks.records[task]
            end = context_lib.gone(record, "lease over", in_doubt=True)
            ends.append(end)
    return ends
