"""Starts that a later incarnation of a worker may still carry out.

An order without a reply may be carried out seconds later, by whatever
incarnation of the worker runs then. Each proof that it no longer can, such as a
confirmed stop or a refusal of its fencing token, binds only the incarnation
that gave it. Until the order can't be carried out any more, its task waits. A
serving task may run meanwhile on the same worker, to which it is pinned: what
ran on an incarnation has ended when the next one carries out the order.
"""

from collections.abc import Mapping

from galenahook.jobs import round_input
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import worker_api
from galenahook.jobs import workers as workers_lib

# Pending starts of a serving task after which it waits as well, as its worker
# replies to no start.
MAX_PENDING_STARTS = 2


def pinned_worker(
    inputs: round_input.RoundInput, job: tasks_lib.Job, key: tasks_lib.TaskKey
) -> str | None:
    """Returns the only worker that may run a task now.

    Returns:
      Its identifier, an empty string if no worker may run the task, or None if
      any may.
    """
    record = job.runs.get(key)
    if record is None or not record.pinned_to:
        return None
    # Of a task that was restored from a snapshot, the order was sent before the
    # term.
    since_ms = job.pinned_ms.get(key, inputs.term_started_ms)
    if _has_ended(inputs, record.pinned_to, since_ms):
        return None
    # Any other task may be done there before the order is carried out.
    may_run_there = (
        job.step(key).serves and record.pending_starts < MAX_PENDING_STARTS
    )
    return record.pinned_to if may_run_there else ""


def is_late_end(
    jobs: Mapping[str, tasks_lib.Job],
    worker: workers_lib.Worker,
    row: worker_api.FinishedRow,
) -> bool:
    """Returns whether an end is of a start that was carried out late.

    Its run ended for the leader while the start was pending, and its task has
    waited since.
    """
    if row.outcome not in ("done", "failed"):
        return False
    try:
        identifier, key = tasks_lib.parse_task_name(row.task)
    except ValueError:
        return False
    job = jobs.get(identifier)
    if job is None or key not in job.waiting:
        return False
    record = job.runs.get(key)
    return (
        record is not None
        and record.run == row.run
        and record.pinned_to == worker.name
    )


def _has_ended(
    inputs: round_input.RoundInput, name: str, since_ms: int
) -> bool:
    """Returns whether a start on a worker neither runs nor will.

    Args:
      inputs: State of the site.
      name: The worker.
      since_ms: When the order had been sent at the latest.
    """
    order_end_ms = since_ms + workers_lib.MAX_ORDER_DELAY_MS
    if inputs.now_ms <= order_end_ms:
        return False
    worker = inputs.worker(name)
    if worker is None:
        return inputs.now_ms > _lease_end_ms(since_ms, inputs.lease_ms)
    # A list that is older than this may have been made before the order.
    listed_ms = order_end_ms + workers_lib.UNRESPONSIVE_AFTER_MS
    if worker.last_reply_ms > listed_ms:
        return not worker.has_stray_runs
    return has_ended_on_silent(worker, inputs.now_ms, inputs.lease_ms)


def has_ended_on_silent(
    worker: workers_lib.Worker, now_ms: int, lease_ms: int
) -> bool:
    """Returns whether a pending start on a silent worker can't be running.

    It may have been carried out as late as the last call that extends a lease,
    and then runs until that lease ends.
    """
    return now_ms > _lease_end_ms(worker.lease_sent_ms, lease_ms)


def _lease_end_ms(sent_ms: int, lease_ms: int) -> float:
    """Returns when a lease has expired that was sent at a time."""
    return (
        sent_ms
        + workers_lib.MAX_SEND_DELAY_MS
        + workers_lib.MAX_ORDER_DELAY_MS
        + lease_ms / workers_lib.MIN_CLOCK_RATE
    )
