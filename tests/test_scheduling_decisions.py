"""Tests of scheduling decisions and their effect on workers."""

from collections.abc import Iterator
import dataclasses
import random

import pytest

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import batch_order
from galenahook.scheduling import deferral as deferral_lib
from galenahook.scheduling import estimates
from galenahook.scheduling import interference as interference_lib
from galenahook.scheduling import placement
from galenahook.scheduling import tasks as tasks_lib
import scheduling_model as model

Phase = tasks_lib.Phase
HALF = messages.Resources(4_000, 4_000)
QUARTER = messages.Resources(2_000, 2_000)


@dataclasses.dataclass(slots=True)
class Reading:
    """Latency window of one executor."""

    executor: str
    service: str
    vm: str
    sample: messages.TailSample
    received_ms: int


class FakeTailSource:
    """A source of tail latencies set by tests."""

    def __init__(self) -> None:
        self.site: model.ModelSite | None = None
        self.p99_ms: dict[str, float] = {}

    def tail_latencies(self) -> list[Reading]:
        assert self.site is not None
        return [
            Reading(
                f"prices@{vm}",
                "prices",
                vm,
                messages.TailSample(
                    count=50, p50_ms=1, p99_ms=p99_ms, sample_age_ms=300
                ),
                self.site.clock.now_ms,
            )
            for vm, p99_ms in self.p99_ms.items()
        ]


@pytest.fixture
def tails() -> FakeTailSource:
    return FakeTailSource()


@pytest.fixture
def site(tails: FakeTailSource) -> Iterator[model.ModelSite]:
    site = model.ModelSite(tails)
    tails.site = site
    yield site
    site.close()
    assert not site.violations


def fill(site: model.ModelSite, workers: int, *rows: object) -> None:
    for index in range(workers):
        site.add_worker(f"w{index}", zone="ab"[index % 2])
    site.change(model.sheet(*rows))
    site.pass_time(2_000)


def wall(site: model.ModelSite, ahead_ms: int) -> int:
    return site.clock.wall_ms() + ahead_ms


def test_scheduling_order() -> None:
    now_ms = 1_000_000
    jobs = [
        model.job("late", run_ms=5_000, deadline_ms=now_ms + 1_000),
        model.job("slack", run_ms=1_000, deadline_ms=now_ms + 900_000),
        model.job("tight", run_ms=8_000, deadline_ms=now_ms + 9_000),
        model.job("none"),
        model.job("urgent", urgent=True),
        model.job("early", earliest_ms=now_ms + 1),
        model.job("long", run_ms=400_000, deadline_ms=now_ms + 900_000),
    ]
    site = model.ModelSite()
    site.change(model.sheet(model.service("prices"), *jobs))
    current = site.node.state.configuration.current
    owners = [f"job/{job.name}" for job in jobs] + ["service/prices"]
    queue_positions = batch_order.queue_positions(owners, current, {}, now_ms)
    assert [
        position.owner.partition("/")[2] for position in queue_positions
    ] == [
        "prices",
        "urgent",
        "tight",
        "long",
        "slack",
        "late",
        "none",
    ]
    site.close()


def test_learned_run_time_is_a_quantile_and_orders_jobs() -> None:
    row = model.job("plan", run_ms=1_000)
    ratios = (1.0, 1.0, 1.0, 1.0, 5.0)
    known = {
        "coating": tasks_lib.RunTimeRecord(job_class="coating", ratios=ratios)
    }
    assert estimates.run_ms(row, {}) == 1_000
    assert estimates.run_ms(row, known) == 5_000
    few = {
        "coating": tasks_lib.RunTimeRecord(job_class="coating", ratios=(9.0,))
    }
    assert estimates.run_ms(row, few) == 1_000


def test_quota_of_a_team_is_never_exceeded(site: model.ModelSite) -> None:
    quota = commands.TeamQuota(team="plans", resources=HALF)
    for index in range(3):
        site.add_worker(f"w{index}")
    plan = model.job("plan", tasks=8, resources=QUARTER)
    other = model.job("other", tasks=2, resources=QUARTER, team="desk")
    site.change(model.sheet(plan, other, quotas=(quota,)))
    site.pass_time(3_000)
    reserved = site.tasks.owner_reserved["job/plan"]
    assert reserved.cores_milli == HALF.cores_milli
    assert site.tasks.owner_reserved["job/other"].tasks == 2
    assert "quota" in site.scheduler.explain("job/plan").summary


def test_urgent_job_preempts_and_evicted_tasks_resume(
    site: model.ModelSite,
) -> None:
    filler = model.job("filler", tasks=8, resources=QUARTER, run_ms=600_000)
    fill(site, 2, filler)
    started_ms = site.clock.now_ms
    urgent = model.job("urgent", urgent=True, resources=HALF)
    site.change(commands.PutJob(job=urgent))
    while not site.workers_running("job/urgent/0"):
        site.pass_time(100, step_ms=100)
        assert site.clock.now_ms - started_ms <= 5_400
    evictions = [site.record(f"job/filler/{n}").evictions for n in range(8)]
    assert sum(evictions) == 2
    (worker_name,) = site.workers_running("job/urgent/0")
    site.workers[worker_name].finish("job/urgent/0")
    site.report(worker_name)
    site.pass_time(2_000)
    assert all(site.workers_running(f"job/filler/{n}") for n in range(8))


def test_urgent_job_waits_for_tasks_that_end_soon(
    site: model.ModelSite,
) -> None:
    filler = model.job("filler", tasks=8, resources=QUARTER, run_ms=3_000)
    fill(site, 1, filler)
    urgent = model.job("urgent", urgent=True, resources=HALF)
    site.change(commands.PutJob(job=urgent))
    site.pass_time(500)
    for index in range(2):
        site.workers["w0"].finish(f"job/filler/{index}")
        site.report("w0")
        site.pass_time(500)
    assert site.workers_running("job/urgent/0") == ["w0"]
    assert site.record("job/filler/3").evictions == 0


def test_unbroken_and_not_repeatable_tasks_are_not_evicted_for_urgent_jobs(
    site: model.ModelSite,
) -> None:
    fill(
        site,
        1,
        model.job("night", resources=QUARTER, unbroken=True),
        model.job("plan", resources=HALF, repeatable=False),
        model.job("spare", resources=QUARTER),
    )
    site.change(
        commands.PutJob(job=model.job("urgent", urgent=True, resources=QUARTER))
    )
    site.pass_time(4_000)
    assert site.workers_running("job/urgent/0") == ["w0"]
    assert site.record("job/spare/0").evictions == 1


def test_unschedulable_job_is_reported_and_does_not_block_others(
    site: model.ModelSite,
) -> None:
    huge = model.job(
        "huge", urgent=True, resources=messages.Resources(99_000, 1_000)
    )
    fill(site, 1, huge, model.job("plan"))
    assert site.workers_running("job/plan/0") == ["w0"]
    summary = site.scheduler.explain("job/huge").summary
    assert "unschedulable" in summary
    assert "99000" in summary


def test_worker_that_fails_all_tasks_does_not_consume_the_queue(
    site: model.ModelSite,
) -> None:
    plans = [model.job(f"j{n}", tasks=5, resources=QUARTER) for n in range(6)]
    fill(site, 3, *plans)
    site.workers["w0"].fails_all = True
    failed = 0
    for _ in range(60):
        for worker in site.workers.values():
            for task in list(worker.attempts):
                if not worker.is_running(task):
                    continue
                fails = worker.fails_all
                failed += fails
                worker.finish(
                    task,
                    messages.Failed(run_ms=1, reason="bad") if fails else None,
                )
            site.report(worker.name)
        site.pass_time(500)
    assert failed <= 8
    phases = {record.phase for record in site.tasks.records.values()}
    assert phases == {Phase.DONE}


def test_job_that_fails_everywhere_quarantines_no_worker(
    site: model.ModelSite,
) -> None:
    bad = model.job("bad", tasks=20, resources=QUARTER)
    fill(site, 4, bad)
    for _ in range(12):
        for worker in site.workers.values():
            for task in list(worker.attempts):
                if worker.is_running(task):
                    worker.finish(
                        task, messages.Failed(run_ms=1, reason="exit 1")
                    )
            site.report(worker.name)
        site.pass_time(1_000)
    assert site.scheduler.context.quarantine.quarantined() == ()
    assert site.tasks.owner_reserved.get("job/bad", None) is None or (
        site.tasks.owner_reserved["job/bad"].tasks <= 1
    )
    site.change(commands.PutJob(job=model.job("good")))
    site.pass_time(1_000)
    assert site.workers_running("job/good/0")


def test_memory_shortage_evicts_a_task_whose_learned_size_is_reserved(
    site: model.ModelSite,
) -> None:
    plan = model.job("plan", tasks=4, resources=QUARTER)
    fill(site, 1, plan)
    site.workers["w0"].usage = messages.Resources(2_000, 4_500)
    site.pass_time(1_000)
    evicted = [
        record for record in site.tasks.records.values() if record.evictions
    ]
    assert len(evicted) == 1
    size = site.scheduler.decisions.sizes.size_for_retry(
        evicted[0].task, QUARTER
    )
    assert size.memory_mb == 4_500
    assert evicted[0].phase is Phase.PENDING


def test_services_are_evicted_from_a_zone_before_batch_tasks(
    site: model.ModelSite,
) -> None:
    fill(site, 4, model.job("plan", tasks=8))
    prices = model.service("prices", instances=4)
    site.change(commands.PutService(service=prices))
    site.pass_time(1_000)
    order: list[str] = []
    submit = site.node.submit

    async def recorded(command: commands.Command) -> commands.Result:
        if isinstance(command, commands.EvictAttempts):
            order.extend(ref.task for ref in command.attempts)
        return await submit(command)

    site.node.submit = recorded  # type: ignore[method-assign]
    site.change(commands.AvailabilityZoneOut(availability_zone="a"))
    site.pass_time(3_000)
    kinds = [task.partition("/")[0] for task in order]
    assert kinds == sorted(kinds, reverse=True)
    assert kinds.count("service") == 2
    assert not site.workers["w0"].attempts
    assert not site.workers["w2"].attempts


def test_zone_that_returns_is_refilled_slowly(site: model.ModelSite) -> None:
    fill(site, 2)
    site.change(commands.AvailabilityZoneOut(availability_zone="a"))
    site.pass_time(1_000)
    plan = model.job("plan", tasks=30, resources=messages.Resources(500, 500))
    site.change(commands.AvailabilityZoneIn(availability_zone="a"))
    site.change(commands.PutJob(job=plan))
    site.round()
    assert not site.workers["w0"].attempts
    site.pass_time(1_200, step_ms=100)
    assert 0 < len(site.workers["w0"].attempts) <= 12
    site.pass_time(3_000, step_ms=100)
    assert sum(len(one.attempts) for one in site.workers.values()) == 30


def test_tail_control_throttles_then_evicts_then_lifts_throttles(
    site: model.ModelSite, tails: FakeTailSource
) -> None:
    orders: list[messages.ThrottleOrder] = []
    fill(
        site,
        1,
        model.service("prices", instances=1),
        model.job("plan", tasks=2),
    )
    handle = site.workers["w0"].handle

    def recorded(target: str, message: object) -> messages.Message:
        if isinstance(message, messages.ThrottleOrder):
            orders.append(message)
        return handle(target, message)

    site.workers["w0"].handle = recorded  # type: ignore[method-assign]
    tails.p99_ms["w0"] = 90.0
    site.pass_time(1_500, step_ms=250)
    assert orders[0].percent < 100
    assert sum(record.evictions for record in site.tasks.records.values()) == 0
    site.pass_time(3_000, step_ms=250)
    evicting = [r for r in site.tasks.records.values() if r.evictions]
    assert evicting
    assert all(record.task.startswith("job/") for record in evicting)
    tails.p99_ms["w0"] = 10.0
    orders.clear()
    site.pass_time(6_000, step_ms=250)
    assert {order.percent for order in orders} <= {100}
    assert not site.scheduler.decisions.colocation.throttles


def test_evictions_for_tail_latency_stay_within_budget(
    site: model.ModelSite, tails: FakeTailSource
) -> None:
    for index in range(6):
        site.add_worker(f"w{index}")
    rows = (
        model.service("prices", instances=6),
        model.job("plan", tasks=36, run_ms=600_000),
    )
    site.change(model.sheet(*rows, objective="throughput"))
    site.pass_time(2_000)
    for name in site.workers:
        tails.p99_ms[name] = 500.0
    site.pass_time(30_000, step_ms=500)
    evictions = sum(one.evictions for one in site.tasks.records.values())
    assert 0 < evictions <= 3


def test_weights_are_learned_from_noisy_samples() -> None:
    truth = {("holds", "rota"): 4.0, ("holds", "mail"): 0.2}
    learned = interference_lib.InterferenceModel()
    draw = random.Random(7)
    for _ in range(300):
        shares = {"rota": draw.random() / 2, "mail": draw.random() / 2}
        rise = sum(
            truth["holds", name] * share for name, share in shares.items()
        )
        p99_ms = 20.0 * (1 + rise) * draw.uniform(0.9, 1.1)
        learned.observe("holds", p99_ms, 60, shares)
        learned.observe("holds", 20.0 * draw.uniform(0.9, 1.1), 60, {})
    assert learned.weight("holds", "rota") == pytest.approx(4.0, rel=0.3)
    assert learned.weight("holds", "mail") < 1.0
    assert learned.baselines["holds"].p99_ms == pytest.approx(20.0, rel=0.1)


def test_weight_with_few_samples_is_shrunk_towards_its_class() -> None:
    learned = interference_lib.InterferenceModel()
    for service in ("a", "b", "c"):
        for _ in range(30):
            learned.observe(service, 10.0, 60, {})
            learned.observe(service, 20.0, 60, {"rota": 0.5})
    unseen = learned.weight("new", "rota")
    assert unseen > 2 * interference_lib.PRIOR_WEIGHT
    learned.observe("new", 10.0, 60, {})
    learned.observe("new", 10.0, 60, {"rota": 0.5})
    assert learned.weight("new", "rota") > unseen / 3


def test_sample_count_decays_when_the_load_shifts() -> None:
    learned = interference_lib.InterferenceModel()
    for _ in range(30):
        learned.observe("holds", 20.0, 60, {"rota": 0.5})
    before = learned.weights["holds", "rota"].samples
    learned.observe("holds", 20.0, 600, {"rota": 0.5})
    assert learned.weights["holds", "rota"].samples < before


def test_sample_is_matched_with_tasks_running_when_it_was_taken(
    site: model.ModelSite,
) -> None:
    fill(site, 1, model.job("plan"))
    colocation = site.scheduler.decisions.colocation
    now_ms = site.clock.now_ms
    assert colocation.shares_at("w0", now_ms) == {"coating": 0.125}
    assert colocation.shares_at("w0", now_ms - 1_600) == {}


@pytest.mark.parametrize("seed", range(5))
def test_index_finds_a_worker_if_any_fits(seed: int) -> None:
    draw = random.Random(seed)
    index = placement.FreeIndex(seed)
    whole = messages.Resources(64_000, 64_000)
    for number in range(300):
        free = messages.Resources(
            draw.randrange(-500, 8_000), draw.randrange(8_000)
        )
        name = f"w{draw.randrange(200)}"
        if number % 7 == 3:
            index.remove(name)
        else:
            index.put(placement.WorkerCapacity(name, "a", "r", whole, free))
        need = messages.Resources(draw.randrange(8_000), draw.randrange(8_000))
        fitting = {
            candidate.worker
            for candidate in index.workers.values()
            if placement.fits(need, candidate.free)
        }
        sampled = {candidate.worker for candidate in index.candidates(need)}
        assert sampled <= fitting
        found = index.first_fitting(need, lambda _: True)
        assert (found.worker in fitting) if found else not fitting
    free = sum(
        candidate.free.cores_milli for candidate in index.workers.values()
    )
    assert index.zone_free["a"] == free


def test_bucket_number_increases_with_the_amount() -> None:
    buckets = [placement.bucket_of(amount) for amount in range(0, 70_000, 50)]
    assert buckets == sorted(buckets)


@pytest.mark.parametrize(
    ("fields", "waits_ms"),
    [
        ({"urgent": True}, 0),
        ({"deadline_ms": 100_000, "run_ms": 40_000}, 59_500),
        ({"deadline_ms": 30_000, "run_ms": 40_000}, 0),
        ({}, deferral_lib.MAX_DEFERRED_MS),
    ],
)
def test_tasks_are_deferred_up_to_their_limit(
    fields: dict[str, int], waits_ms: int
) -> None:
    site = model.ModelSite()
    site.change(model.sheet(model.job("plan", **fields)))
    current = site.node.state.configuration.current
    deferral = deferral_lib.Deferral()
    waited_ms = 0
    for now_ms in range(0, 120_000, 500):
        (position,) = batch_order.queue_positions(
            ["job/plan"], current, {}, now_ms
        )
        if not deferral.may_wait(position, now_ms):
            break
        waited_ms = now_ms + 500
    assert waited_ms == waits_ms
    site.close()
