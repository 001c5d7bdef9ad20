"""Work that must leave its worker, and work that has left with it."""

from typing import TYPE_CHECKING

from galenahook import commands
from galenahook import logs
from galenahook.jobs import workers as workers_lib

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib
    from galenahook.jobs import link as link_lib

# Added to the longest lease before work of an unheard worker is given up.
LEASE_SLACK_MS = 500
# Time that a worker takes to end after it said so.
LEAVE_SLACK_MS = 1_000
# A worker that is silent for so long is forgotten; its next heartbeat brings
# it back.
FORGET_MS = 60_000
# Room for the stop and the resume before a worker that drains is gone.
DRAIN_MARGIN_MS = 800


async def find_lost(
    dispatcher: "dispatcher_lib.Dispatcher",
) -> list[commands.RunEnd]:
    """Ends runs whose workers are proven to have ended or lost their lease."""
    now_ms = dispatcher.now_ms()
    is_settled = now_ms > _earlier_leases_end_ms(dispatcher)
    ends = []
    if is_settled and dispatcher.unattached:
        ends += _give_up_unattached(dispatcher)
    for name, link in list(dispatcher.links.items()):
        worker = link.worker
        if worker.left_ms and now_ms - worker.left_ms > LEAVE_SLACK_MS:
            reason = "its worker left"
            ends += await link.end_incarnation(None, reason)
            _forget(dispatcher, name, link)
        elif is_settled and worker.is_lease_over(now_ms):
            ends += _end_lapsed(link)
            if now_ms - max(worker.heard_ms, worker.clock_at_ms) > FORGET_MS:
                await link.end_incarnation(None, "its worker is silent")
                _forget(dispatcher, name, link)
    return ends


def _earlier_leases_end_ms(dispatcher: "dispatcher_lib.Dispatcher") -> float:
    """Returns when every lease that an earlier leader sent has ended."""
    longest_ms = dispatcher.lease_ms / workers_lib.SLOWEST_CLOCK
    return dispatcher.started_ms + longest_ms + LEASE_SLACK_MS


def _give_up_unattached(
    dispatcher: "dispatcher_lib.Dispatcher",
) -> list[commands.RunEnd]:
    ends = []
    for record in dispatcher.unattached.values():
        logs.warning(
            "run:end",
            task=record.task,
            run=record.run,
            worker=record.worker,
            outcome="gone",
            detail="its worker is not heard in this term",
        )
        ends.append(
            commands.RunEnd(task=record.task, run=record.run, outcome="gone")
        )
    dispatcher.unattached.clear()
    return ends


def _end_lapsed(link: "link_lib.Link") -> list[commands.RunEnd]:
    return [
        link.end_run(run, "gone", "", "its lease has ended")
        for run in list(link.worker.runs.values())
    ]


def _forget(
    dispatcher: "dispatcher_lib.Dispatcher", name: str, link: "link_lib.Link"
) -> None:
    dispatcher.links.pop(name, None)
    dispatcher.pool.remove(link.worker)


async def stop_leaving(dispatcher: "dispatcher_lib.Dispatcher") -> None:
    """Stops runs of jobs that have ended, and on workers that drain."""
    now_ms = dispatcher.now_ms()
    for link in list(dispatcher.links.values()):
        is_draining = link.worker.heartbeat.draining
        for run in list(link.worker.runs.values()):
            if run.stopping:
                continue
            if run.job.ended:
                outcome = run.job.record.outcome.value
                await dispatcher.spawn(link.stop, run, f"its job is {outcome}")
            elif is_draining and not _ends_in_time(link.worker, run, now_ms):
                await dispatcher.spawn(link.stop, run, "its worker drains")


def _ends_in_time(
    worker: workers_lib.Worker, run: workers_lib.LiveRun, now_ms: int
) -> bool:
    """Whether a run will be done before its worker that drains is gone."""
    if run.step.serves or not run.seen or not run.ordered_ms:
        return False
    if run.percent <= 0:
        return False
    ran_ms = now_ms - run.ordered_ms
    left_ms = ran_ms * (100 - run.percent) / run.percent
    return left_ms < worker.heartbeat.drain_remaining_ms - DRAIN_MARGIN_MS
