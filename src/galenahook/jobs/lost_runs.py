"""Ends runs of workers that have ended; stops runs that must not go on."""

from typing import TYPE_CHECKING

from galenahook import commands
from galenahook import logs
from galenahook.jobs import calls
from galenahook.jobs import crashes
from galenahook.jobs import pending_starts
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib
    from galenahook.jobs import link as link_lib

# Added to the longest lease before the runs of a worker that was not
# established in this term are ended.
LEASE_MARGIN_MS = 500
# Least time from the announcement of a worker that it ends to the end of its
# runs. It may run on for longer, for example if the reply to it was lost.
LEAVE_GRACE_MS = 1_000
# Unresponsive workers are removed after this time. The next heartbeat adds them
# again.
WORKER_RETENTION_MS = 60_000
# Time reserved for stopping a run and resuming it elsewhere before its draining
# worker ends.
DRAIN_MARGIN_MS = 800


async def end_lost_runs(
    dispatcher: "dispatcher_lib.Dispatcher",
) -> list[commands.RunEnd]:
    """Ends runs whose worker has certainly ended or lost its lease."""
    now_ms = dispatcher.now_ms()
    is_settled = now_ms > _earlier_leaders_leases_end_ms(dispatcher)
    ends = []
    if is_settled:
        ends += _end_unattached(dispatcher, now_ms)
    for name, link in list(dispatcher.links.items()):
        worker = link.worker
        is_over = (
            worker.leaving_since_ms > 0
            and now_ms - worker.leaving_since_ms > LEAVE_GRACE_MS
            and link.is_gone
        )
        if is_over:
            ends += _end_seen(link)
        if is_settled and worker.is_lease_expired(now_ms):
            ends += _end_expired(link, now_ms)
            silent_ms = now_ms - max(worker.last_reply_ms, worker.clock_at_ms)
            is_over = is_over or silent_ms > WORKER_RETENTION_MS
        if is_over and not worker.runs:
            await link.end_incarnation(None, "worker removed")
            _remove_worker(dispatcher, name, link)
    return ends


def _earlier_leaders_leases_end_ms(
    dispatcher: "dispatcher_lib.Dispatcher",
) -> float:
    """Returns when every lease sent by earlier leaders has expired."""
    longest_ms = dispatcher.lease_ms / workers_lib.MIN_CLOCK_RATE
    return dispatcher.started_ms + longest_ms + LEASE_MARGIN_MS


def end_replaced(
    dispatcher: "dispatcher_lib.Dispatcher", heartbeat: calls.WorkerHeartbeat
) -> list[commands.RunEnd]:
    """Ends runs of earlier terms whose worker's VM runs a newer worker."""
    return [
        _end_record(record, "worker restarted", commands.Blame.UNLIKELY)
        for record in dispatcher.unattached.take_replaced_by(heartbeat)
    ]


def _end_unattached(
    dispatcher: "dispatcher_lib.Dispatcher", now_ms: int
) -> list[commands.RunEnd]:
    """Ends runs of earlier terms whose worker is not established in this term.

    A start that was never confirmed may be carried out late, by a later
    incarnation that holds a lease from then on.
    """
    may_be_pending = (
        now_ms
        <= _earlier_leaders_leases_end_ms(dispatcher)
        + workers_lib.MAX_ORDER_DELAY_MS
    )
    return [
        _end_record(record, "worker did not reply in this term")
        for record in dispatcher.unattached.take_all(may_be_pending)
    ]


def _end_record(
    record: tasks_lib.RunRecord,
    detail: str,
    blame: commands.Blame = commands.Blame.NONE,
) -> commands.RunEnd:
    """Ends a run of an earlier term."""
    logs.warning(
        "run:end",
        task=record.task,
        run=record.run,
        worker=record.worker,
        outcome="gone",
        detail=detail,
        blame=blame.value,
    )
    return commands.RunEnd(
        task=record.task, run=record.run, outcome="gone", blame=blame
    )


def _end_seen(link: "link_lib.Link") -> list[commands.RunEnd]:
    """Ends the runs of an incarnation that left.

    A start that it never listed may have reached the next one under the same
    identifier, which adopts it.
    """
    return [
        link.end_run(run, "gone", "", "worker left")
        for run in list(link.worker.runs.values())
        if run.seen
    ]


def _end_expired(link: "link_lib.Link", now_ms: int) -> list[commands.RunEnd]:
    """Ends the runs of a worker whose lease has expired.

    A worker that merely does not reply may be partitioned. If its address
    refuses connections, it has crashed. A run that it never confirmed may run,
    or start later, on its next incarnation, whose lease is not known.
    """
    worker = link.worker
    are_over = pending_starts.has_ended_on_silent(worker, now_ms, link.lease_ms)
    expired = [
        run for run in worker.runs.values() if not run.start_pending or are_over
    ]
    if expired:
        logs.warning(
            "worker:lease-expired",
            worker=worker.name,
            born_ms=worker.heartbeat.born_ms,
            silent_ms=now_ms - worker.last_reply_ms,
            lease_until_ms=worker.lease_until_ms,
            min_clock_ms=int(worker.min_clock_ms(now_ms)),
            ended=len(expired),
            left=len(worker.runs) - len(expired),
        )
    if link.is_gone:
        crashes.blame_runs(worker)
    return [
        link.end_run(
            run, "gone", "", "worker lease expired", can_start_later=False
        )
        for run in expired
    ]


def _remove_worker(
    dispatcher: "dispatcher_lib.Dispatcher", name: str, link: "link_lib.Link"
) -> None:
    dispatcher.links.pop(name, None)
    dispatcher.pool.remove(link.worker)


async def stop_ended_and_draining(
    dispatcher: "dispatcher_lib.Dispatcher",
) -> None:
    """Stops runs of ended jobs, and runs on draining workers.

    A run that is expected to be done in time goes on, until its worker
    announces its end. Such a notice stops nothing on a worker that does not
    drain.
    """
    now_ms = dispatcher.now_ms()
    for link in list(dispatcher.links.values()):
        is_leaving = link.worker.leaving_since_ms > 0
        is_draining = link.worker.heartbeat.draining
        for run in list(link.worker.runs.values()):
            if run.stopping:
                continue
            if run.job.ended:
                outcome = run.job.record.outcome.value
                await dispatcher.spawn(link.stop, run, f"job {outcome}")
            elif is_leaving and is_draining:
                await dispatcher.spawn(link.stop, run, "worker leaving")
            elif is_draining and not _ends_in_time(link.worker, run, now_ms):
                await dispatcher.spawn(link.stop, run, "worker draining")


def _ends_in_time(
    worker: workers_lib.Worker, run: workers_lib.LiveRun, now_ms: int
) -> bool:
    """Returns whether a run is expected to be done before its worker ends."""
    if run.step.serves or not run.seen or not run.ordered_ms:
        return False
    if run.progress_percent <= 0:
        return False
    elapsed_ms = now_ms - run.ordered_ms
    left_ms = elapsed_ms * (100 - run.progress_percent) / run.progress_percent
    return left_ms < worker.heartbeat.drain_remaining_ms - DRAIN_MARGIN_MS
