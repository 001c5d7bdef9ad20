"""Takes in the heartbeats of workers and their notices of leaving."""

from typing import TYPE_CHECKING

from galenahook import commands
from galenahook import logs
from galenahook.jobs import calls
from galenahook.jobs import link as link_lib
from galenahook.jobs import lost_runs
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib


async def handle_heartbeat(
    dispatcher: "dispatcher_lib.Dispatcher", heartbeat: calls.WorkerHeartbeat
) -> None:
    """Records a heartbeat and opens a link to a new incarnation."""
    worker, ended = dispatcher.pool.handle_heartbeat(heartbeat)
    if worker is None:
        return
    logs.info(
        "worker:joined",
        worker=worker.name,
        born_ms=heartbeat.born_ms,
        address=heartbeat.address,
        machine=heartbeat.machine,
        service=heartbeat.service,
        ended=[other.name for other in ended],
        ended_born_ms=[other.heartbeat.born_ms for other in ended],
    )
    link = link_lib.Link(
        worker,
        dispatcher.make_client(heartbeat),
        dispatcher,
        dispatcher.lease_ms,
    )
    # What earlier leaders sent to the worker, and earlier links.
    worker.lease_sent_ms = dispatcher.started_ms
    for other in ended:
        if other.name == worker.name:
            worker.lease_sent_ms = other.lease_sent_ms
            worker.inherit_lease(
                other.lease_sent_ms + workers_lib.MAX_ORDER_DELAY_MS,
                dispatcher.lease_ms,
            )
    links = dispatcher.links
    before = {other.name: links.pop(other.name, None) for other in ended}
    links[worker.name] = link
    _attach(dispatcher, worker)
    ends = lost_runs.end_replaced(dispatcher, heartbeat)
    for other in ended:
        other_link = before[other.name]
        if other.name != worker.name:
            dispatcher.pool.remove(other)
        if other_link is not None:
            successor = link if other.name == worker.name else None
            ends += await other_link.end_incarnation(
                successor, "worker restarted"
            )
    await dispatcher.spawn(link.run)
    if ends:
        await dispatcher.queue_ends(ends)


def _attach(
    dispatcher: "dispatcher_lib.Dispatcher", worker: workers_lib.Worker
) -> None:
    """Attaches runs of earlier terms to the worker that was to run them."""
    for record in dispatcher.unattached.take_runs_of(worker.heartbeat):
        run = _live_run(dispatcher, record.task, record.run)
        if run is not None:
            if record.born_ms < worker.heartbeat.born_ms:
                run.blame = commands.Blame.UNLIKELY
            run.checkpoint = record.checkpoint
            run.was_confirmed = record.confirmed
            if record.started_ms:
                age_ms = dispatcher.clock.wall_ms() - record.started_ms
                run.earlier_ms = max(0, age_ms)
            # The throttle that an earlier leader set is not known.
            run.throttle_percent = 0 if run.step.uses_idle_cpu else 100
            run.slowed_ms = dispatcher.now_ms()
            run.sent = True
            worker.runs[record.task] = run


def _live_run(
    dispatcher: "dispatcher_lib.Dispatcher", task: str, run: int
) -> workers_lib.LiveRun | None:
    """Returns a run to track, or None if its job is not known."""
    identifier, key = tasks_lib.parse_task_name(task)
    job = dispatcher.table.jobs.get(identifier)
    if job is None:
        return None
    return workers_lib.LiveRun(task, run, job, key, job.step(key))


async def leave(
    dispatcher: "dispatcher_lib.Dispatcher", message: calls.WorkerLeft
) -> None:
    """Records that a worker announced its end.

    The notice may arrive after the next incarnation of the worker. Without an
    incarnation it counts only if the worker drains, as every worker does before
    it announces its end.
    """
    worker = dispatcher.pool.workers.get(message.worker)
    if worker is None or worker.leaving_since_ms:
        return
    if message.born_ms:
        is_current = message.born_ms == worker.heartbeat.born_ms
    else:
        is_current = worker.heartbeat.draining
    if not is_current:
        logs.warning(
            "worker:left-ignored",
            worker=worker.name,
            born_ms=message.born_ms,
        )
        return
    worker.leaving_since_ms = dispatcher.now_ms()
    logs.info("worker:left", worker=worker.name)
    await dispatcher.wake()
