"""Serving tasks that wait beside workers reserved for others."""

import msgspec

import job_builders as build
import job_simulation
import observed_room
import pending_starts_site

WORKERS = 32
# Workers whose memory batch runs reserve; serving tasks fill those after them.
BATCH_WORKERS = range(4, 7)
LASTING_JOB = "00000000000000e1"
WIDE_JOB = "00000000000000e2"
# Unanswered starts of the wide job.
UNANSWERED = (f"{WIDE_JOB}.0.0.0", f"{WIDE_JOB}.0.0.1")


class ObservedJob:
    """A simulation with one serving job to observe.

    Attributes:
      simulation: The leader and its workers.
      lasting: Identifiers of the observed jobs.
      lost_ms: None, as no runs are lost at once.
    """

    def __init__(self, simulation, job):
        self.simulation = simulation
        self.lasting = [job]
        self.lost_ms = None


class UsableRoomObserver(observed_room.RoomObserver):
    """An observer for whom a worker that leaves has no room."""

    def _free_of(self, worker, now_ms):
        cpu_millis, memory_mb, steps = super()._free_of(worker, now_ms)
        if worker.heartbeat.draining:
            return 0, 0, steps
        return cpu_millis, memory_mb, steps


def labels(number):
    """Returns the labels of a worker, which keep the first four empty."""
    if number < BATCH_WORKERS.start:
        return ("left",)
    return ("batch",) if number in BATCH_WORKERS else ("full",)


def workers():
    """Builds workers with the labels of what fills them."""
    return [
        build.worker(f"w{number:02}", labels=labels(number))
        for number in range(WORKERS)
    ]


def serving(job, **changes):
    """Builds the command that stores a serving job."""
    return build.submit(build.serving_step(**changes), job=job, queue="racks")


async def fill(simulation):
    """Fills all workers but the first four."""
    simulation.submit(
        serving(
            "00000000000000d1",
            cpu_millis=8_000,
            tasks=WORKERS - BATCH_WORKERS.stop,
            required_label="full",
        )
    )
    step = build.batch_step(
        memory_mb=32_000,
        tasks=len(BATCH_WORKERS),
        estimate_ms=60_000,
        required_label="batch",
    )
    simulation.submit(build.submit(step, job="00000000000000c1"))
    await simulation.advance(500)


async def leave(simulation):
    """Lets the first four workers leave; the runs there end."""
    links = list(simulation.dispatcher.links.values())
    for link in links[: BATCH_WORKERS.start]:
        worker = link.worker
        worker.heartbeat = msgspec.structs.replace(
            worker.heartbeat, draining=True
        )
        for run in list(worker.runs.values()):
            await simulation.end(link, run, "gone")


def test_a_serving_task_does_not_wait_beside_workers_held_for_pinned_tasks():
    """A task that may not start anywhere now keeps a worker reserved."""

    async def scenario(simulation):
        await fill(simulation)
        simulation.submit(serving(LASTING_JOB, cpu_millis=3_000))
        await simulation.advance(500)
        simulation.ignore_starts(UNANSWERED)
        simulation.submit(serving(WIDE_JOB, cpu_millis=6_000, tasks=3))
        # Each is pinned to a worker that then leaves; all others are full.
        await simulation.advance(pending_starts_site.UNANSWERED_MS + 250)
        await leave(simulation)
        site = ObservedJob(simulation, LASTING_JOB)
        observer = UsableRoomObserver(site, workers=2)
        job = simulation.job(LASTING_JOB)
        for _ in range(0, 20_000, job_simulation.ROUND_MS):
            await simulation.advance(job_simulation.ROUND_MS)
            observer.note_round()
            if not job.waiting:
                break
        (waited_ms,) = observer.waits.longest_ms.values()
        assert not observer.found, (
            f"waited for {waited_ms} ms, overdue for {observer.longest_ms} ms"
            " beside room without a break"
        )

    job_simulation.run(
        scenario, workers(), make=pending_starts_site.MuteSimulation
    )
