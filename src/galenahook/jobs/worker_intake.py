"""Takes in the heartbeats of workers and their notices of leaving."""

from typing import TYPE_CHECKING

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import logs
from galenahook.jobs import calls
from galenahook.jobs import candidates as candidates_lib
from galenahook.jobs import link as link_lib
from galenahook.jobs import lost_runs
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib


async def handle_heartbeat(
    dispatcher: "dispatcher_lib.Dispatcher", heartbeat: calls.WorkerHeartbeat
) -> None:
    """Records a heartbeat; asks a new incarnation of a known service."""
    if dispatcher.pool.record(heartbeat):
        return
    now_ms = dispatcher.now_ms()
    candidate = dispatcher.candidates.record(heartbeat, now_ms)
    if candidate is None:
        candidate = dispatcher.candidates.add(
            _make_link(dispatcher, heartbeat), now_ms
        )
    if not candidate.is_asked:
        await _ask_known(dispatcher, [candidate])


async def review_candidates(dispatcher: "dispatcher_lib.Dispatcher") -> None:
    """Drops silent candidates; asks those whose service has become known."""
    dispatcher.candidates.drop_silent(dispatcher.now_ms())
    await _ask_known(dispatcher, dispatcher.candidates.unasked())


async def _ask_known(
    dispatcher: "dispatcher_lib.Dispatcher",
    unasked: list[candidates_lib.Candidate],
) -> None:
    """Starts asking the candidates whose service is known.

    It is known if the configuration names it, or if open jobs run there, as a
    configuration may drop the service of jobs that go on.
    """
    configured = {
        pool.name for pool in dispatcher.node.state.site.current.services
    }
    in_use: set[str] | None = None
    for candidate in unasked:
        service = candidate.link.worker.heartbeat.service
        if service not in configured:
            if in_use is None:
                jobs = dispatcher.table.open.values()
                in_use = {job.description.service for job in jobs}
            if service not in in_use:
                continue
        candidate.is_asked = True
        await dispatcher.spawn(_follow, dispatcher, candidate)


def _make_link(
    dispatcher: "dispatcher_lib.Dispatcher", heartbeat: calls.WorkerHeartbeat
) -> link_lib.Link:
    worker = workers_lib.Worker(heartbeat, dispatcher.now_ms())
    if dispatcher.heartbeat_period_ms is not None:
        worker.heartbeat_period_ms = dispatcher.heartbeat_period_ms
    return link_lib.Link(
        worker,
        dispatcher.make_client(heartbeat),
        dispatcher,
        dispatcher.lease_ms,
    )


async def _follow(
    dispatcher: "dispatcher_lib.Dispatcher",
    candidate: candidates_lib.Candidate,
) -> None:
    """Asks a candidate until it is established or dropped; then polls it."""
    link = candidate.link
    try:
        while not link.ended:
            if dispatcher.may_lead() and await _try_establish(
                dispatcher, candidate
            ):
                break
            await curio.sleep(clock_lib.seconds(link_lib.POLL_RETRY_MS))
    finally:
        if link.ended:
            await link.client.close()
    if not link.ended:
        await link.run()


async def _try_establish(
    dispatcher: "dispatcher_lib.Dispatcher",
    candidate: candidates_lib.Candidate,
) -> bool:
    """Asks a candidate once; an unexpected exception counts as no reply."""
    try:
        return await _establish_if_up(dispatcher, candidate)
    except Exception as error:
        logs.failure(
            "worker:not-established", error, worker=candidate.link.worker.name
        )
        return False


async def _establish_if_up(
    dispatcher: "dispatcher_lib.Dispatcher",
    candidate: candidates_lib.Candidate,
) -> bool:
    """Asks a candidate who it is and establishes it if its reply proves it."""
    link = candidate.link
    heartbeat = link.worker.heartbeat
    incumbent = dispatcher.links.get(link.worker.name)
    # A higher fencing token would shut out the link of a worker that is up.
    fence = dispatcher.latest_fence() if incumbent is None else incumbent.fence
    asked_ms = dispatcher.now_ms()
    identification = await link.identify(fence)
    if link.ended or identification is link_lib.Identification.UNKNOWN:
        return False
    known = dispatcher.pool.workers.get(link.worker.name)
    is_known = known is not None and (
        known.heartbeat.born_ms == heartbeat.born_ms
    )
    if identification is link_lib.Identification.OTHER or is_known:
        logs.warning(
            "worker:announcement-refuted",
            worker=heartbeat.worker,
            born_ms=heartbeat.born_ms,
            address=heartbeat.address,
            machine=heartbeat.machine,
            service=heartbeat.service,
        )
        dispatcher.candidates.drop(candidate)
        return False
    rivals = dispatcher.pool.rivals(heartbeat)
    now_ms = dispatcher.now_ms()
    for rival in rivals:
        if not candidates_lib.proves_end(link.worker, rival, asked_ms, now_ms):
            dispatcher.pool.log_ignored(rival, heartbeat)
            return False
    dispatcher.candidates.remove(candidate)
    await _establish(dispatcher, link, rivals)
    return True


async def _establish(
    dispatcher: "dispatcher_lib.Dispatcher",
    link: link_lib.Link,
    ended: list[workers_lib.Worker],
) -> None:
    """Establishes a worker and ends the runs of those that it succeeds."""
    worker = link.worker
    heartbeat = worker.heartbeat
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
    # Higher than the tokens with which its process was asked.
    link.fence = dispatcher.next_fence()
    # What earlier leaders sent to the worker, and earlier links.
    worker.lease_sent_ms = dispatcher.started_ms
    for other in ended:
        if other.name == worker.name:
            worker.lease_sent_ms = other.lease_sent_ms
            worker.inherit_lease(
                other.lease_sent_ms + workers_lib.MAX_ORDER_DELAY_MS,
                dispatcher.lease_ms,
            )
    before = [dispatcher.links.pop(other.name, None) for other in ended]
    for other in ended:
        dispatcher.pool.remove(other)
    dispatcher.pool.add(worker)
    dispatcher.links[worker.name] = link
    _attach(dispatcher, worker)
    ends = lost_runs.end_replaced(dispatcher, heartbeat)
    for other_link in before:
        if other_link is not None:
            is_same = other_link.worker.name == worker.name
            ends += await other_link.end_incarnation(
                link if is_same else None, "worker restarted"
            )
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

    The notice may arrive after the next incarnation of the worker, or be of
    another writer. Without an incarnation it counts only if the worker drains,
    as every worker does before it announces its end. It ends no run by itself,
    and the next heartbeat of a worker that does not drain withdraws it.
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
