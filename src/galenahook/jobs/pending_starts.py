"""Starts that a later incarnation of a worker may still carry out.

An order without a reply may be carried out seconds later, by whatever
incarnation of the worker runs then. Each proof that it no longer can, such as a
confirmed stop or a refusal of its fencing token, binds only the incarnation
that gave it. Until the order can't be carried out any more, its task runs on no
other worker: whatever ran on an incarnation has ended when the next one carries
out the order.
"""

from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib


def bound_worker(
    job: tasks_lib.Job,
    key: tasks_lib.TaskKey,
    now_ms: int,
    term_started_ms: int,
) -> str:
    """Returns the only worker that may run a task now; empty if any may.

    Args:
      job: Job of the task.
      key: Occurrence, step and index of the task.
      now_ms: Monotonic time.
      term_started_ms: When the term of this leader began, before which the
        order of a task that was restored from a snapshot was sent.
    """
    record = job.runs.get(key)
    if record is None or not record.bound_to:
        return ""
    since_ms = job.bound_ms.get(key, term_started_ms)
    if now_ms - since_ms > workers_lib.MAX_ORDER_DELAY_MS:
        return ""
    return record.bound_to


def has_certainly_ended(
    worker: workers_lib.Worker, now_ms: int, lease_ms: int
) -> bool:
    """Returns whether a pending start on a silent worker can't be running.

    It may have been carried out as late as the last call that extends a lease,
    and then runs until that lease ends.
    """
    end_ms = (
        worker.lease_sent_ms
        + workers_lib.MAX_ORDER_DELAY_MS
        + lease_ms / workers_lib.MIN_CLOCK_RATE
    )
    return now_ms > end_ms
