"""Detects held attempts that are proven to run no longer."""

from galenahook import commands
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import starts as starts_lib
from galenahook.scheduling import tasks as tasks_lib
from galenahook.upstreams import workers as workers_lib


def missing_attempts(
    context: context_lib.Context, starts: starts_lib.Starts, name: str
) -> list[commands.AttemptEnd]:
    """Returns ends of attempts that an announcement proves not to run."""
    worker = context.workers.workers.get(name)
    if worker is None:
        return []
    ends = []
    for task in worker.missing_tasks:
        record = context.tasks.records.get(task)
        if record is None or record.phase is not tasks_lib.Phase.HELD:
            continue
        if record.worker == name:
            end = _end_of_missing(worker, record, starts)
            ends.extend([end] if end else [])
    return ends


def _end_of_missing(
    worker: workers_lib.Worker,
    record: tasks_lib.TaskRecord,
    starts: starts_lib.Starts,
) -> commands.AttemptEnd | None:
    announcement = worker.announcement
    if record.incarnation != announcement.incarnation:
        return context_lib.attempt_gone(
            record, "worker restarted", in_doubt=True
        )
    if (record.task, record.attempt) in worker.vanished_attempts:
        return context_lib.attempt_gone(record, "stopped by its worker")
    sent = starts.unannounced.get(record.task)
    if sent is None or sent.attempt != record.attempt:
        starts.adopt(record, announcement.sent_at_ms)
    elif starts.is_proven_absent(sent, announcement.sent_at_ms):
        return context_lib.attempt_gone(record, "start did not arrive")
    return None


def expired_leases(
    context: context_lib.Context,
) -> list[commands.AttemptEnd]:
    """Returns ends of attempts on workers whose leases have expired.

    The workers are fenced: until these ends are committed, announcements do
    not renew their leases.
    """
    ends = []
    for name in context.workers.expired_leases(context.tasks.held):
        context.workers.fence(name)
        for task in context.tasks.held[name]:
            record = context.tasks.records[task]
            end = context_lib.attempt_gone(record, "lease over", in_doubt=True)
            ends.append(end)
    return ends


class InDoubtTasks:
    """Resolves tasks in doubt when their worker returns.

    A worker that returns with the same incarnation lists attempts that ended
    by themselves until they are acknowledged. An attempt that is missing from
    an announcement sent after the lease expired was interrupted before it
    completed, and may resume from its checkpoint.

    Attributes:
      context: State and services shared by the parts of the scheduler.
      noted_ms: Send time, on the worker's clock, of the last announcement
        when the doubt was first seen, by task and attempt.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self.context = context
        self.noted_ms: dict[tuple[str, int], int] = {}

    def resolved(self) -> list[commands.AttemptEnd]:
        """Returns ends of attempts that are proven not to have completed."""
        ends = []
        noted_ms = {}
        for task in self.context.tasks.in_doubt:
            record = self.context.tasks.records[task]
            worker = self.context.workers.workers.get(record.worker)
            if worker is None or not record.checkpoint:
                continue
            announcement = worker.announcement
            if announcement.incarnation != record.incarnation:
                continue
            key = (task, record.attempt)
            sent_ms = announcement.sent_at_ms
            noted_ms[key] = self.noted_ms.get(key, sent_ms)
            lease_ms = self.context.timing.worker_lease_ms
            is_later = sent_ms >= noted_ms[key] + lease_ms
            if is_later and task not in worker.attempts:
                ends.append(
                    context_lib.attempt_gone(record, "cut off unfinished")
                )
        self.noted_ms = noted_ms
        return ends
