"""Workers reserved for tasks that fit no worker."""

import eliot
import pytest

from galenahook.jobs import headroom
from galenahook.jobs import last_resort
from galenahook.jobs import reservations
import job_builders as build
import job_simulation

SERVING_JOB = "00000000000000e1"
BATCH_JOB = "00000000000000e2"
SERVING_TASK = f"{SERVING_JOB}.0.0.0"
# By so much longer than in these tests may other batch runs take.
SLOWEST_RUN_MS = 1_500
# The 3 s count only from 4 s after the last disturbance.
CALM_AFTER_MS = 4_000


@pytest.fixture
def lines():
    """Returns the list to which messages are appended."""
    messages = []
    eliot.add_destinations(messages.append)
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)


def events(lines, message_type):
    return [line for line in lines if line["message_type"] == message_type]


def small_jobs(**changes):
    """Submits jobs of different run times that keep every worker full."""
    changes = {"tasks": 500, "max_per_worker": 1, **changes}
    return [
        build.submit(
            build.step(
                cpu_millis=1_300,
                estimate_ms=400 + 100 * number,
                **changes,
            ),
            job=f"00000000000000f{number}",
        )
        for number in range(6)
    ]


def large_serving_task(**changes):
    step = build.serving_step(**{"cpu_millis": 7_000, **changes})
    return build.submit(step, job=SERVING_JOB)


@pytest.mark.parametrize("count", [1, 4, 20])
def test_a_large_serving_task_is_not_kept_waiting_by_smaller_tasks(count):
    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(large_serving_task())
        await simulation.advance_until_started(SERVING_TASK)

    job_simulation.run(scenario, job_simulation.workers(count), *small_jobs())


def test_a_large_batch_task_is_not_kept_waiting_by_smaller_ones():
    """Nothing but small batch tasks ran for the rest of the day."""
    large = build.submit(build.batch_step(cpu_millis=7_000), job=BATCH_JOB)

    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(large)
        await simulation.advance_until_started(f"{BATCH_JOB}.0.0.0")

    small = small_jobs(uses_idle_cpu=True, image="small")
    job_simulation.run(scenario, job_simulation.workers(4), *small)


def large_batch_job(number=0, **changes):
    """Submits a job whose task fits no worker beside a small one."""
    step = build.batch_step(**{"cpu_millis": 7_000, **changes})
    return build.submit(step, job=f"00000000000000c{number}")


def small_batch_jobs():
    return small_jobs(uses_idle_cpu=True, image="small")


def test_no_job_is_overtaken_for_longer_than_stated():
    """One worker at a time serves the jobs in the order of their waits."""
    count = 5
    longest_run_ms = 900
    first_tasks = [f"00000000000000c{n}.0.0.0" for n in range(count)]

    async def scenario(simulation):
        await simulation.advance(2_000)
        for number in range(count):
            simulation.node.state.apply(large_batch_job(number))
            await simulation.advance(2 * job_simulation.ROUND_MS)
        await simulation.advance(
            reservations.OVERTAKEN_AFTER_MS
            + count * (longest_run_ms + 4 * job_simulation.ROUND_MS)
        )
        began = [task for task in simulation.started if task in first_tasks]
        assert began == first_tasks

    job_simulation.run(scenario, job_simulation.workers(4), *small_batch_jobs())


def test_an_overtaken_job_is_not_lost_after_its_first_task():
    """From the first start on, nothing runs of it for at most 3 s."""
    job = "00000000000000c0"

    async def scenario(simulation):
        simulation.submit(large_batch_job(tasks=4, estimate_ms=1_200))
        await simulation.advance_until_started(f"{job}.0.0.0")
        idle_ms = longest_ms = 0
        while not simulation.job(job).ended:
            await simulation.advance(job_simulation.ROUND_MS)
            idle_ms += job_simulation.ROUND_MS
            if simulation.job(job).active:
                idle_ms = 0
            longest_ms = max(longest_ms, idle_ms)
        assert longest_ms < job_simulation.MAX_WAIT_MS - SLOWEST_RUN_MS

    job_simulation.run(scenario, job_simulation.workers(4), *small_batch_jobs())


def test_one_worker_at_a_time_is_reserved_for_overtaken_jobs(lines):
    async def scenario(simulation):
        for number in range(5):
            simulation.node.state.apply(large_batch_job(number))
        most = 0
        for _ in range(60):
            await simulation.advance(job_simulation.ROUND_MS)
            reserved = len(events(lines, "worker:reserved"))
            released = len(events(lines, "worker:released"))
            most = max(most, reserved - released)
        assert most == 1

    job_simulation.run(
        scenario, job_simulation.workers(10), *small_batch_jobs()
    )


def test_a_job_that_runs_somewhere_is_not_overtaken(lines):
    async def scenario(simulation):
        # The running task of the job leaves no room for its second one.
        simulation.node.state.apply(
            large_batch_job(tasks=2, estimate_ms=60_000)
        )
        await simulation.advance(5_000)

    job_simulation.run(scenario, job_simulation.workers(1))
    assert not events(lines, "worker:reserved")


def test_no_run_is_stopped_for_an_overtaken_job():
    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(large_batch_job(memory_mb=15_000))
        await simulation.advance(5_000)
        assert simulation.stopped() == []

    job_simulation.run(scenario, job_simulation.workers(1), long_job())


def test_an_overtaken_job_gets_no_worker_that_does_not_tolerate_it(lines):
    async def scenario(simulation):
        model = simulation.dispatcher.tails.model
        model.weights[("shop", "batch")] = headroom.Weight(40.0, 0.01, 10**9)
        await simulation.advance(500)
        simulation.node.state.apply(large_batch_job())
        await simulation.advance(3_000)

    serving = build.submit(build.serving_step(), job=SERVING_JOB)
    job_simulation.run(scenario, job_simulation.workers(1), serving)
    assert not events(lines, "worker:reserved")


@pytest.mark.parametrize("weight", [headroom.PRIOR_WEIGHT, 40.0])
def test_a_job_that_is_tolerated_nowhere_is_not_lost(weight):
    """From the first start on, nothing runs of it for at most 3 s."""
    job = "00000000000000c0"

    async def scenario(simulation):
        model = simulation.dispatcher.tails.model
        if weight != headroom.PRIOR_WEIGHT:
            model.weights["shop", "batch"] = headroom.Weight(
                weight, 0.01, 10**9
            )
        await simulation.advance(500)
        simulation.submit(large_batch_job(tasks=3, cpu_millis=4_000))
        await simulation.advance_until_started(
            f"{job}.0.0.0", last_resort.FIRST_DELAY_MS + 1_000
        )
        idle_ms = 0
        while not simulation.job(job).ended:
            await simulation.advance(job_simulation.ROUND_MS)
            idle_ms += job_simulation.ROUND_MS
            if simulation.job(job).active:
                idle_ms = 0
            assert idle_ms < job_simulation.MAX_WAIT_MS

    serving = build.submit(
        build.serving_step(tasks=4, max_per_worker=1), job=SERVING_JOB
    )
    job_simulation.run(scenario, job_simulation.workers(4), serving)


def test_no_last_resort_while_other_batch_tasks_find_workers(lines):
    async def scenario(simulation):
        model = simulation.dispatcher.tails.model
        model.weights["shop", "batch"] = headroom.Weight(40.0, 0.01, 10**9)
        model.weights["shop", "small"] = headroom.Weight(0.0, 0.01, 10**9)
        await simulation.advance(500)
        simulation.submit(large_batch_job(cpu_millis=4_000))
        await simulation.advance(last_resort.FIRST_DELAY_MS + 5_000)

    serving = build.submit(
        build.serving_step(tasks=4, max_per_worker=1), job=SERVING_JOB
    )
    job_simulation.run(
        scenario, job_simulation.workers(4), serving, *small_batch_jobs()
    )
    assert not events(lines, "run:last-resort")


def test_last_resorts_are_few_on_a_site_that_is_full(lines):
    async def scenario(simulation):
        model = simulation.dispatcher.tails.model
        model.weights["shop", "batch"] = headroom.Weight(40.0, 0.01, 10**9)
        await simulation.advance(500)
        for number in range(9):
            simulation.submit(large_batch_job(number, cpu_millis=4_000))
        await simulation.advance(last_resort.FIRST_DELAY_MS + 3_000)

    serving = build.submit(
        build.serving_step(tasks=4, max_per_worker=1), job=SERVING_JOB
    )
    job_simulation.run(scenario, job_simulation.workers(4), serving)
    starts = len(events(lines, "run:last-resort"))
    assert 1 <= starts <= 1 + 3_000 * 4 // last_resort.PERIOD_PER_WORKER_MS


def test_a_worker_that_an_overtaken_job_does_not_fit_in_time_is_released(lines):
    async def scenario(simulation):
        await simulation.advance(500)
        simulation.node.state.apply(large_batch_job(memory_mb=15_000))
        await simulation.advance(reservations.OVERTAKEN_AFTER_MS + 100)
        assert len(events(lines, "worker:reserved")) == 1
        for run_ in simulation.worker("w0").runs.values():
            simulation.prolong(run_, 14_000)
        await simulation.advance(10_000)
        (released,) = events(lines, "worker:released")
        assert released["reason"] == "did not fit in time"

    job_simulation.run(
        scenario, job_simulation.workers(1), long_job(estimate_ms=6_000)
    )


def long_job(**changes):
    """Submits a job that fills the memory of a worker for a minute."""
    values = {"tasks": 3, "memory_mb": 10_000, "estimate_ms": 60_000}
    step = build.batch_step(**{**values, "cpu_millis": 100, **changes})
    return build.submit(step, job=BATCH_JOB)


def test_runs_that_do_not_end_in_time_make_room_for_a_serving_task():
    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(large_serving_task(memory_mb=15_000))
        await simulation.advance_until_started(SERVING_TASK)
        # A run of 10,000 MB goes on beside the task of 15,000 MB.
        assert len(simulation.stopped()) == 2

    job_simulation.run(scenario, job_simulation.workers(1), long_job())


def test_runs_with_checkpoints_make_room_first():
    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(large_serving_task(memory_mb=9_000))
        await simulation.advance_until_started(SERVING_TASK)
        assert simulation.stopped() == [f"{BATCH_JOB}.0.1.0"]

    step = build.batch_step(
        memory_mb=10_000, cpu_millis=100, estimate_ms=60_000
    )
    steps = (
        step,
        build.batch_step(
            memory_mb=10_000,
            cpu_millis=100,
            estimate_ms=60_000,
            saves_checkpoints=True,
        ),
    )
    job_simulation.run(
        scenario,
        job_simulation.workers(1),
        build.submit(*steps, step, job=BATCH_JOB),
    )


def test_no_run_is_stopped_while_others_end_in_time():
    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(large_serving_task())
        await simulation.advance_until_started(SERVING_TASK)
        assert simulation.stopped() == []

    job_simulation.run(scenario, job_simulation.workers(20), *small_jobs())


def test_a_serving_task_that_may_fit_nowhere_reserves_no_worker(lines):
    async def scenario(simulation):
        simulation.node.state.apply(large_serving_task(cpu_millis=9_000))
        await simulation.advance(5_000)

    job_simulation.run(scenario, job_simulation.workers(3), *small_jobs())
    assert not events(lines, "worker:reserved")


def test_a_worker_where_serving_tasks_leave_no_room_is_not_reserved(lines):
    async def scenario(simulation):
        await simulation.advance(500)
        (filled,) = {simulation.started[f"{BATCH_JOB}.0.0.0"]}
        for command in small_jobs(tasks=20):
            simulation.node.state.apply(command)
        await simulation.advance(1_000)
        simulation.node.state.apply(large_serving_task())
        await simulation.advance_until_started(SERVING_TASK)
        assert simulation.started[SERVING_TASK] != filled

    step = build.serving_step(cpu_millis=2_000)
    job_simulation.run(
        scenario, job_simulation.workers(2), build.submit(step, job=BATCH_JOB)
    )
    reserved = events(lines, "worker:reserved")
    assert len([line for line in reserved if line["serves"]]) == 1
    others = [line for line in reserved if not line["serves"]]
    assert all(line["cpu_millis"] == 1_300 for line in others)


def test_few_workers_are_reserved_at_a_time(lines):
    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(large_serving_task(tasks=30))
        most = 0
        for _ in range(40):
            await simulation.advance(job_simulation.ROUND_MS)
            reserved = len(events(lines, "worker:reserved"))
            released = len(events(lines, "worker:released"))
            most = max(most, reserved - released)
        assert most == 5

    job_simulation.run(scenario, job_simulation.workers(40), *small_jobs())


def test_a_worker_is_released_once_its_job_has_ended(lines):
    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(large_serving_task())
        await simulation.advance(400)
        assert len(events(lines, "worker:reserved")) == 1
        simulation.node.state.apply(
            build.commands.CancelJob(job=SERVING_JOB, at_ms=1)
        )
        await simulation.advance(job_simulation.ROUND_MS)
        assert len(events(lines, "worker:released")) == 1

    job_simulation.run(scenario, job_simulation.workers(2), *small_jobs())


@pytest.mark.parametrize("changes", [{"draining": True}, {"memory_mb": 900}])
def test_another_worker_is_reserved_once_the_first_is_unusable(lines, changes):
    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(large_serving_task())
        await simulation.advance(400)
        (first,) = events(lines, "worker:reserved")
        worker = simulation.worker(first["worker"])
        worker.heartbeat = build.heartbeat(worker.name, **changes)
        await simulation.advance_until_started(SERVING_TASK)
        assert simulation.started[SERVING_TASK] != worker.name

    job_simulation.run(scenario, job_simulation.workers(2), *small_jobs())


def test_a_reserved_worker_is_used_although_a_smaller_task_does_not_fit():
    """The smaller task may not use it, so its failure proves nothing."""

    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.node.state.apply(
            build.submit(
                build.serving_step(cpu_millis=7_000),
                job=SERVING_JOB,
                priority=1,
            )
        )
        await simulation.advance(400)
        simulation.node.state.apply(
            build.submit(
                build.serving_step(cpu_millis=6_000),
                job="00000000000000e3",
                priority=0,
            )
        )
        await simulation.advance_until_started(SERVING_TASK)

    job_simulation.run(scenario, job_simulation.workers(2), *small_jobs())


@pytest.mark.parametrize("step", [build.step, build.serving_step])
def test_a_task_that_always_fails_keeps_no_other_from_the_workers(step):
    async def scenario(simulation):
        simulation.failing.add(BATCH_JOB)
        await simulation.advance(20_000)
        simulation.node.state.apply(build.submit(step(), job=SERVING_JOB))
        await simulation.advance_until_started(SERVING_TASK)

    failing = build.submit(build.serving_step(tasks=3), job=BATCH_JOB)
    job_simulation.run(scenario, job_simulation.workers(4), failing)


def test_a_worker_that_no_longer_fails_tasks_is_used_in_time():
    async def scenario(simulation):
        simulation.failing.add(BATCH_JOB)
        await simulation.advance(500)
        simulation.failing.clear()
        simulation.node.state.apply(large_serving_task(cpu_millis=1_000))
        await simulation.advance_until_started(
            SERVING_TASK, job_simulation.MAX_WAIT_MS + CALM_AFTER_MS
        )

    failing = build.submit(build.serving_step(tasks=6), job=BATCH_JOB)
    job_simulation.run(scenario, job_simulation.workers(1), failing)


def test_workers_reserved_for_short_jobs_leave_one_to_an_overtaken_job():
    step = build.step(cpu_millis=6_000, tasks=8, estimate_ms=500)
    short = build.submit(step, job="00000000000000a1")
    overtaken = build.submit(step, job="00000000000000a2")
    workers = [build.worker(f"w{n}", clock_ms=0) for n in range(64)]
    site = build.Site(workers, short, overtaken)
    occupant = build.job(build.step(cpu_millis=6_000, estimate_ms=500))
    for worker in workers:
        run = build.live_run(occupant)
        worker.runs[run.task] = run
    short_job, overtaken_job = site.table.open.values()
    for _ in range(60):
        site.now_ms += reservations.SEARCH_PERIOD_MS
        for worker in workers:
            worker.last_reply_ms = site.now_ms
        inputs = site.inputs()
        candidates = inputs.usable_capacity()
        site.reservations.begin_round(inputs, candidates)
        site.reservations.hold_for_short_jobs()
        for job, note in (
            (short_job, site.reservations.note_short),
            (overtaken_job, site.reservations.note_overtaken),
        ):
            note(site.now_ms, job, (job.description.job, 0, 0))
        site.reservations.reserve_for_short_jobs(inputs, candidates)
    held = [
        len(site.reservations.candidates_of((job.description.job, 0, 0)))
        for job in (short_job, overtaken_job)
    ]
    assert held == [4, 1]


@pytest.mark.parametrize("larger", [0, 8])
def test_a_task_gets_a_worker_beside_larger_ones_for_which_none_is_found(
    larger,
):
    """Each worker has room for the task once batch runs there are stopped."""
    wide = build.submit(
        build.serving_step(
            tasks=20, cpu_millis=46_000, max_per_worker=1, max_unavailable=0
        ),
        job="00000000000000d1",
        queue="racks",
    )
    batch = build.submit(
        build.step(cpu_millis=6_000, tasks=60, estimate_ms=60_000),
        job="00000000000000c1",
    )

    def lasting(job, cpu_millis):
        step = build.serving_step(
            cpu_millis=cpu_millis, memory_mb=26_000, image=job
        )
        return build.submit(step, job=job, queue="racks")

    async def scenario(simulation):
        await simulation.advance(2_000)
        simulation.submit(batch)
        await simulation.advance(500)
        for number in range(larger):
            simulation.submit(lasting(f"{0xB000 + number:016x}", 20_000))
        await simulation.advance(500)
        simulation.submit(lasting("00000000000000e1", 18_000))
        await simulation.advance(3_000)
        assert "00000000000000e1.0.0.0" in simulation.started

    workers = job_simulation.workers(20, cpu_millis=64_000, memory_mb=256_000)
    job_simulation.run(scenario, workers, wide)
