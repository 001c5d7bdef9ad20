"""Measures the decisions against first fit and least loaded, in one run.

Each scenario runs every policy with the same work and seeds, side by side in
processes of their own. `python bench/decisions.py` prints one table.
"""

import argparse
from collections.abc import Callable
import dataclasses
import json
import random
import statistics
import subprocess
import sys

import curio

import decisions_stage as stage_lib
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import messages
from galenahook.scheduling import policy as policy_lib

SEEDS = (1, 2, 3)
WARM_UP_MS = 6_000
JOB_PERIOD_MS = 400
AFTER_RETURN_MS = 4_000
REACTIVE = policy_lib.TailLimits(
    evictions_per_minute=1_000, throttles_first=False
)

POLICIES: dict[str, policy_lib.Policy] = {
    "galenahook tail": policy_lib.TAIL_LATENCY,
    "galenahook throughput": policy_lib.THROUGHPUT,
    "first fit": policy_lib.FirstFit(),
    "least loaded": policy_lib.LeastLoaded(),
    "first fit, evicts": policy_lib.FirstFit(limits=REACTIVE),
    "first fit, restarts": policy_lib.FirstFit(checkpoints=False),
    "first fit, evicts and restarts": policy_lib.FirstFit(
        limits=REACTIVE, checkpoints=False
    ),
}


@dataclasses.dataclass(slots=True, frozen=True)
class BatchClass:
    """A class of batch work.

    Attributes:
      name: Name of the class.
      weight: Share of the jobs.
      cores: Processors of a task.
      run_ms: Declared run time.
      real: Factor from the declared to the real run time.
      unbroken: Whether it is to be left alone.
    """

    name: str
    weight: float
    cores: int
    run_ms: int
    real: float
    unbroken: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """One site with its work.

    Attributes:
      name: Name of the scenario.
      policies: Names of the policies compared; the first is ours.
      workers: Number of workers.
      zones: Availability zones.
      cores: Processors of a worker.
      services: Services with the instances of each.
      classes: Classes of batch work.
      interference: Slowdown by pair, by one unthrottled task.
      fill: Batch work put in, as a share of what all workers hold.
      duration_ms: Length of a run.
      zone_out_ms: When a zone goes out and comes back, or None.
      urgent_period_ms: Time between urgent jobs; 0 for none.
    """

    name: str
    policies: tuple[str, ...]
    workers: int
    zones: tuple[str, ...]
    cores: int
    services: tuple[tuple[stage_lib.Service, int, int], ...]
    classes: tuple[BatchClass, ...]
    interference: dict[tuple[str, str], float]
    fill: float
    duration_ms: int
    zone_out_ms: tuple[int, int] | None = None
    urgent_period_ms: int = 0


BOOKING = (
    (stage_lib.Service("holds", 10.0, 0.3, 120), 5, 30),
    (stage_lib.Service("boards", 6.0, 0.3, 120), 4, 20),
)
ORDER = (
    (stage_lib.Service("prices", 20.0, 0.3, 100), 4, 70),
    (stage_lib.Service("racks", 10.0, 0.3, 80), 3, 40),
)
CLASSES = (
    BatchClass("rota", 0.3, 4, 1_500, 1.6),
    BatchClass("photos", 0.3, 4, 2_000, 0.7),
    BatchClass("mail", 0.4, 2, 1_000, 1.0),
)
PLANS = (
    BatchClass("plan", 0.35, 4, 2_000, 1.5, unbroken=True),
    BatchClass("stock", 0.35, 4, 1_500, 0.8),
    BatchClass("report", 0.3, 2, 1_000, 1.2),
)
NIGHT_PLANS = (
    BatchClass("plan", 0.5, 4, 6_000, 1.3, unbroken=True),
    BatchClass("stock", 0.25, 4, 3_000, 0.8),
    BatchClass("report", 0.25, 2, 1_500, 1.2),
)
PAIRS = {
    ("holds", "rota"): 0.6,
    ("holds", "photos"): 0.08,
    ("holds", "mail"): 0.02,
    ("boards", "rota"): 0.05,
    ("boards", "photos"): 0.5,
    ("boards", "mail"): 0.02,
    ("prices", "plan"): 0.06,
    ("prices", "stock"): 0.5,
    ("prices", "report"): 0.05,
    ("racks", "plan"): 0.3,
    ("racks", "stock"): 0.05,
    ("racks", "report"): 0.02,
}

SCENARIOS = (
    Scenario(
        "booking",
        ("galenahook tail", "first fit", "least loaded", "first fit, evicts"),
        12,
        ("a", "b", "c"),
        32,
        BOOKING,
        CLASSES,
        PAIRS,
        0.65,
        26_000,
    ),
    Scenario(
        "order",
        (
            "galenahook throughput",
            "first fit, evicts",
            "first fit, evicts and restarts",
            "first fit",
        ),
        12,
        ("a", "b", "c", "d"),
        32,
        ORDER,
        PLANS,
        PAIRS,
        0.9,
        26_000,
        urgent_period_ms=1_200,
    ),
    Scenario(
        "zone leaves and returns",
        (
            "galenahook throughput",
            "first fit",
            "first fit, restarts",
            "least loaded",
        ),
        12,
        ("a", "b", "c", "d"),
        32,
        ORDER,
        NIGHT_PLANS,
        PAIRS,
        0.9,
        28_000,
        zone_out_ms=(10_000, 17_000),
    ),
)


def build_stage(
    scenario: Scenario, policy: policy_lib.Policy, seed: int
) -> stage_lib.Stage:
    """Builds the workers and services of a scenario."""
    stage = stage_lib.Stage(
        policy,
        [service for service, _, _ in scenario.services],
        scenario.interference,
        seed,
    )
    for index in range(scenario.workers):
        zone = scenario.zones[index % len(scenario.zones)]
        stage.add_worker(
            f"w{index:02}",
            zone,
            f"{zone}{index // 6}",
            scenario.cores,
            scenario.cores * 4_000,
        )
    rows = tuple(
        commands.ServiceRow(
            name=service.name,
            team="desk",
            priority=90,
            instances=instances,
            resources=messages.Resources(2_000, 2_000),
            route=f"/{service.name}",
            tail_target_ms=target_ms,
        )
        for service, instances, target_ms in scenario.services
    )
    sheet = commands.Sheet(services=rows, objective="tail")
    stage.change(commands.ApplySheet(sheet=sheet))
    return stage


async def play(scenario: Scenario, stage: stage_lib.Stage, seed: int) -> None:
    """Puts jobs in at a steady rate, and plays the scenario's events."""
    begun_ms = stage.clock.monotonic_ms()
    draw = random.Random(f"{scenario.name}/{seed}")
    mean_core_ms = statistics.fmean(
        one.weight * len(scenario.classes) * one.cores * one.run_ms * one.real
        for one in scenario.classes
    )
    held_cores = scenario.workers * scenario.cores
    per_period = scenario.fill * held_cores * JOB_PERIOD_MS / mean_core_ms
    number = 0
    owed = 0.0
    zone_changes = list(scenario.zone_out_ms or ())
    next_urgent_ms = scenario.urgent_period_ms
    await curio.sleep(1)
    while True:
        elapsed_ms = stage.clock.monotonic_ms() - begun_ms
        stage.counting = elapsed_ms >= WARM_UP_MS
        stage.load = 1.25 if elapsed_ms > scenario.duration_ms / 2 else 1.0
        owed += per_period
        while owed >= 1:
            tasks = min(int(owed), draw.choice((1, 2, 3)))
            owed -= tasks
            number += 1
            put_job(scenario, stage, draw, number, tasks)
        if scenario.urgent_period_ms and elapsed_ms >= next_urgent_ms:
            next_urgent_ms += scenario.urgent_period_ms
            number += 1
            put_urgent(scenario, stage, number)
        if zone_changes and elapsed_ms >= zone_changes[0]:
            zone_changes.pop(0)
            out = len(zone_changes) == 1
            stage.change(
                commands.AvailabilityZoneOut(availability_zone="a")
                if out
                else commands.AvailabilityZoneIn(availability_zone="a")
            )
        if scenario.zone_out_ms:
            first_ms, last_ms = scenario.zone_out_ms
            if first_ms <= elapsed_ms <= last_ms + AFTER_RETURN_MS:
                stage.mark_work()
        await curio.sleep(clock_lib.seconds(JOB_PERIOD_MS))


def put_job(
    scenario: Scenario,
    stage: stage_lib.Stage,
    draw: random.Random,
    number: int,
    tasks: int,
) -> None:
    """Puts one job of a drawn class in."""
    weights = [one.weight for one in scenario.classes]
    one = draw.choices(scenario.classes, weights)[0]
    real_ms = int(one.run_ms * one.real * draw.uniform(0.8, 1.2))
    slack = draw.choice((1.6, 2.5, 5.0))
    deadline_ms = stage.clock.wall_ms() + int(
        one.run_ms * max(one.real, 1.0) * 1.2 * slack + 500
    )
    row = commands.JobRow(
        name=f"{one.name}-{number}",
        team="plans",
        priority=50,
        job_class=one.name,
        tasks=tasks,
        resources=messages.Resources(one.cores * 1_000, one.cores * 2_000),
        run_ms=one.run_ms,
        deadline_ms=deadline_ms,
        unbroken=one.unbroken,
    )
    stage.put_job(row, real_ms)


def put_urgent(scenario: Scenario, stage: stage_lib.Stage, number: int) -> None:
    """Puts an urgent job in that takes half of a worker."""
    cores = scenario.cores // 2
    row = commands.JobRow(
        name=f"urgent-{number}",
        team="plans",
        priority=90,
        job_class="urgent",
        tasks=1,
        resources=messages.Resources(cores * 1_000, cores * 2_000),
        run_ms=1_000,
        deadline_ms=stage.clock.wall_ms() + 5_400,
        urgent=True,
    )
    stage.put_job(row, 1_000)


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def measure(scenario: Scenario, policy: str, seed: int) -> dict[str, float]:
    """Runs one scenario with one policy; returns its figures by name."""
    stage = build_stage(scenario, POLICIES[policy], seed)
    outcome = curio.run(
        stage.run, play(scenario, stage, seed), scenario.duration_ms
    )
    figures: dict[str, float] = {}
    every: list[float] = []
    for service, _, target_ms in scenario.services:
        latencies = outcome.latencies[service.name]
        figures[f"p99 {service.name}"] = quantile(latencies, 0.99)
        every += [latency / target_ms for latency in latencies]
    for share, name in ((0.5, "p50"), (0.99, "p99"), (0.999, "p99.9")):
        figures[f"{name}/target"] = quantile(every, share)
    figures["within target"] = outcome.within_target / outcome.requests
    figures["good requests"] = outcome.within_target
    figures["work core s"] = outcome.work_core_s
    if scenario.zone_out_ms:
        figures["work in outage"] = stage.work_between()
    figures["by deadline"] = outcome.by_deadline / max(1, outcome.deadlines)
    figures["evictions"] = outcome.evictions
    figures["not done"] = outcome.not_done
    return figures


def measure_all(
    scenario: Scenario, seeds: tuple[int, ...]
) -> dict[str, list[dict[str, float]]]:
    """Runs every policy of a scenario; policies of one seed run together."""
    results: dict[str, list[dict[str, float]]] = {}
    for seed in seeds:
        running = {
            policy: subprocess.Popen(
                [sys.executable, __file__, "--one", scenario.name]
                + ["--policy", policy, "--seed", str(seed)],
                stdout=subprocess.PIPE,
            )
            for policy in scenario.policies
        }
        for policy, process in running.items():
            output, _ = process.communicate(timeout=120)
            if process.returncode:
                raise SystemExit(f"{scenario.name}, {policy}: failed")
            results.setdefault(policy, []).append(json.loads(output))
    return results


def print_table(
    scenario: Scenario, results: dict[str, list[dict[str, float]]]
) -> None:
    """Prints the mean of each figure and its range over the seeds."""
    names = list(next(iter(results.values()))[0])
    print(f"\n{scenario.name}: mean (least to most) over the seeds")
    for policy, runs in results.items():
        print(f"  {policy}")
        for name in names:
            values = [run[name] for run in runs]
            print(
                f"    {name:16} {statistics.fmean(values):9.3f}"
                f"  ({min(values):.3f} to {max(values):.3f})"
            )


def ratio(
    results: dict[str, list[dict[str, float]]],
    name: str,
    policy: str,
    base: str,
) -> float:
    """Returns our mean of a figure over a baseline's."""
    ours = statistics.fmean(run[name] for run in results[policy])
    theirs = statistics.fmean(run[name] for run in results[base])
    return ours / theirs if theirs else float("inf")


Bound = tuple[str, str, Callable[[float], bool], str]
LEAST = "at least"
MOST = "at most"

BOUNDS = (
    ("booking", "p99/target", "first fit", MOST, 0.70),
    ("booking", "work core s", "first fit", LEAST, 0.95),
    ("order", "by deadline", "first fit", LEAST, 1.0),
    ("order", "evictions", "first fit", MOST, 0.70),
    ("order", "by deadline", "first fit, evicts", LEAST, 1.0),
    ("order", "evictions", "first fit, evicts", MOST, 0.70),
    ("order", "by deadline", "first fit, evicts and restarts", LEAST, 1.0),
    ("order", "evictions", "first fit, evicts and restarts", MOST, 0.70),
    ("zone leaves and returns", "work in outage", "first fit", LEAST, 1.10),
    (
        "zone leaves and returns",
        "work in outage",
        "first fit, restarts",
        LEAST,
        1.10,
    ),
    ("zone leaves and returns", "good requests", "first fit", LEAST, 1.10),
)


def print_bounds(
    scenario: Scenario, results: dict[str, list[dict[str, float]]]
) -> None:
    """Prints for each bound whether it was met."""
    for name, figure, base, kind, bound in BOUNDS:
        if name != scenario.name:
            continue
        value = ratio(results, figure, scenario.policies[0], base)
        met = value <= bound if kind == MOST else value >= bound
        print(
            f"  {'met' if met else 'NOT MET':8} {figure} over {base}:"
            f" {value:.3f}, {kind} {bound:.2f}"
        )


def main() -> None:
    """Runs the scenarios, or one run of one policy."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--one", default="")
    parser.add_argument("--policy", default="")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--only", default="")
    parser.add_argument("--seeds", type=int, default=len(SEEDS))
    arguments = parser.parse_args()
    by_name = {scenario.name: scenario for scenario in SCENARIOS}
    if arguments.one:
        figures = measure(
            by_name[arguments.one], arguments.policy, arguments.seed
        )
        print(json.dumps(figures))
        return
    seeds = tuple(range(1, arguments.seeds + 1))
    print(f"decisions, seeds {seeds}, warm-up {WARM_UP_MS} ms not counted")
    for scenario in SCENARIOS:
        if arguments.only and arguments.only != scenario.name:
            continue
        results = measure_all(scenario, seeds)
        print_table(scenario, results)
        print_bounds(scenario, results)


if __name__ == "__main__":
    main()
