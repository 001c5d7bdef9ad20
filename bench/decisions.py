"""Compares the scheduling policies with first fit and least loaded.

Each scenario runs its policies with the same jobs and seeds, concurrently and
each in its own process. `python bench/decisions.py` prints a table for each
scenario.
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
# Requests before this time of a run are left out of the figures.
WARM_UP_MS = 6_000
JOB_PERIOD_MS = 400
# Work is counted until this long after the zone returns to service.
AFTER_ZONE_RETURN_MS = 4_000
# Evicts colocated batch tasks without throttling them first, in practice
# without a limit on the rate.
REACTIVE_EVICTION = policy_lib.TailLimits(
    evictions_per_minute=1_000, throttles_first=False
)

# Baselines marked `evicts` evict batch tasks to protect tail latency; with
# `restarts`, an evicted task starts over for want of a checkpoint.
POLICIES: dict[str, policy_lib.Policy] = {
    "galenahook tail": policy_lib.TAIL_LATENCY,
    "galenahook throughput": policy_lib.THROUGHPUT,
    "first fit": policy_lib.FirstFit(),
    "least loaded": policy_lib.LeastLoaded(),
    "first fit, evicts": policy_lib.FirstFit(limits=REACTIVE_EVICTION),
    "first fit, restarts": policy_lib.FirstFit(checkpoints=False),
    "first fit, evicts and restarts": policy_lib.FirstFit(
        limits=REACTIVE_EVICTION, checkpoints=False
    ),
}


@dataclasses.dataclass(slots=True, frozen=True)
class BatchClass:
    """A class of batch jobs.

    Attributes:
      name: Name of the class.
      weight: Fraction of the jobs that are of this class.
      cores: Processors reserved by each task.
      run_ms: Declared run time.
      run_time_factor: Actual run time divided by the declared one.
      unbroken: Whether its tasks are evicted only as a last resort.
    """

    name: str
    weight: float
    cores: int
    run_ms: int
    run_time_factor: float
    unbroken: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """A site with its services and batch jobs.

    Attributes:
      name: Name of the scenario.
      policies: Names of the policies compared; the first is galenahook's and
        the others are baselines.
      workers: Number of workers.
      zones: Availability zones.
      cores: Processors of a worker.
      services: Each service with its number of instances and its target of
        the tail latency in ms.
      classes: Classes of batch jobs.
      interference: Slowdown added to a service by one unthrottled task of a
        class, by `(service, class)`.
      batch_load: Offered batch load, as a fraction of the processors of all
        workers.
      duration_ms: Length of a run.
      zone_outage_ms: When availability zone a is taken out of service and when
        it returns, or None.
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
    batch_load: float
    duration_ms: int
    zone_outage_ms: tuple[int, int] | None = None
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
        zone_outage_ms=(10_000, 17_000),
    ),
)


def build_site(
    scenario: Scenario, policy: policy_lib.Policy, seed: int
) -> stage_lib.SimulatedSite:
    """Builds the simulated site of a scenario, with its services."""
    site = stage_lib.SimulatedSite(
        policy,
        [service for service, _, _ in scenario.services],
        scenario.interference,
        seed,
    )
    for index in range(scenario.workers):
        zone = scenario.zones[index % len(scenario.zones)]
        site.add_worker(
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
    site.change(commands.ApplySheet(sheet=sheet))
    return site


async def drive(
    scenario: Scenario, site: stage_lib.SimulatedSite, seed: int
) -> None:
    """Submits jobs at a constant rate and triggers the scenario's events."""
    started_ms = site.clock.monotonic_ms()
    rng = random.Random(f"{scenario.name}/{seed}")
    mean_core_ms = statistics.fmean(
        batch_class.weight
        * len(scenario.classes)
        * batch_class.cores
        * batch_class.run_ms
        * batch_class.run_time_factor
        for batch_class in scenario.classes
    )
    total_cores = scenario.workers * scenario.cores
    tasks_per_period = (
        scenario.batch_load * total_cores * JOB_PERIOD_MS / mean_core_ms
    )
    number = 0
    due_tasks = 0.0
    zone_changes_ms = list(scenario.zone_outage_ms or ())
    next_urgent_ms = scenario.urgent_period_ms
    await curio.sleep(1)
    while True:
        elapsed_ms = site.clock.monotonic_ms() - started_ms
        site.is_measuring = elapsed_ms >= WARM_UP_MS
        site.load = 1.25 if elapsed_ms > scenario.duration_ms / 2 else 1.0
        due_tasks += tasks_per_period
        while due_tasks >= 1:
            tasks = min(int(due_tasks), rng.choice((1, 2, 3)))
            due_tasks -= tasks
            number += 1
            submit_job(scenario, site, rng, number, tasks)
        if scenario.urgent_period_ms and elapsed_ms >= next_urgent_ms:
            next_urgent_ms += scenario.urgent_period_ms
            number += 1
            submit_urgent_job(scenario, site, number)
        if zone_changes_ms and elapsed_ms >= zone_changes_ms[0]:
            zone_changes_ms.pop(0)
            goes_out = len(zone_changes_ms) == 1
            site.change(
                commands.AvailabilityZoneOut(availability_zone="a")
                if goes_out
                else commands.AvailabilityZoneIn(availability_zone="a")
            )
        if scenario.zone_outage_ms:
            first_ms, last_ms = scenario.zone_outage_ms
            if first_ms <= elapsed_ms <= last_ms + AFTER_ZONE_RETURN_MS:
                site.sample_work()
        await curio.sleep(clock_lib.seconds(JOB_PERIOD_MS))


def submit_job(
    scenario: Scenario,
    site: stage_lib.SimulatedSite,
    rng: random.Random,
    number: int,
    tasks: int,
) -> None:
    """Submits a job of a class drawn at random by weight."""
    weights = [batch_class.weight for batch_class in scenario.classes]
    batch_class = rng.choices(scenario.classes, weights)[0]
    actual_run_ms = int(
        batch_class.run_ms * batch_class.run_time_factor * rng.uniform(0.8, 1.2)
    )
    slack = rng.choice((1.6, 2.5, 5.0))
    deadline_ms = site.clock.wall_ms() + int(
        batch_class.run_ms * max(batch_class.run_time_factor, 1.0) * 1.2 * slack
        + 500
    )
    row = commands.JobRow(
        name=f"{batch_class.name}-{number}",
        team="plans",
        priority=50,
        job_class=batch_class.name,
        tasks=tasks,
        resources=messages.Resources(
            batch_class.cores * 1_000, batch_class.cores * 2_000
        ),
        run_ms=batch_class.run_ms,
        deadline_ms=deadline_ms,
        unbroken=batch_class.unbroken,
    )
    site.submit_job(row, actual_run_ms)


def submit_urgent_job(
    scenario: Scenario, site: stage_lib.SimulatedSite, number: int
) -> None:
    """Submits an urgent job that needs half of a worker's processors."""
    cores = scenario.cores // 2
    row = commands.JobRow(
        name=f"urgent-{number}",
        team="plans",
        priority=90,
        job_class="urgent",
        tasks=1,
        resources=messages.Resources(cores * 1_000, cores * 2_000),
        run_ms=1_000,
        deadline_ms=site.clock.wall_ms() + 5_400,
        urgent=True,
    )
    site.submit_job(row, 1_000)


def quantile(values: list[float], fraction: float) -> float:
    """Returns the value below which this fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def measure(scenario: Scenario, policy: str, seed: int) -> dict[str, float]:
    """Runs one scenario with one policy and returns the figures by name."""
    site = build_site(scenario, POLICIES[policy], seed)
    outcome = curio.run(
        site.run, drive(scenario, site, seed), scenario.duration_ms
    )
    figures: dict[str, float] = {}
    relative_latencies: list[float] = []
    for service, _, target_ms in scenario.services:
        latencies = outcome.latencies[service.name]
        figures[f"p99 {service.name}"] = quantile(latencies, 0.99)
        relative_latencies += [latency / target_ms for latency in latencies]
    for fraction, name in ((0.5, "p50"), (0.99, "p99"), (0.999, "p99.9")):
        figures[f"{name}/target"] = quantile(relative_latencies, fraction)
    figures["within target"] = outcome.within_target / outcome.requests
    figures["good requests"] = outcome.within_target
    figures["work, core-s"] = outcome.work_core_s
    if scenario.zone_outage_ms:
        figures["work in outage"] = site.sampled_work()
    figures["jobs in time"] = outcome.by_deadline / max(1, outcome.deadlines)
    figures["evictions"] = outcome.evictions
    figures["tasks not done"] = outcome.not_done
    return figures


def measure_all(
    scenario: Scenario, seeds: tuple[int, ...]
) -> dict[str, list[dict[str, float]]]:
    """Runs every policy of a scenario; the runs of a seed are concurrent.

    Returns:
      The figures of each seed's run, by policy.
    """
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
                raise SystemExit(
                    f"scenario {scenario.name}, policy {policy}: the run failed"
                )
            results.setdefault(policy, []).append(json.loads(output))
    return results


def print_table(
    scenario: Scenario, results: dict[str, list[dict[str, float]]]
) -> None:
    """Prints the mean and the range of each figure over the seeds."""
    names = list(next(iter(results.values()))[0])
    print(f"\n{scenario.name}: mean (minimum to maximum) over the seeds")
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
    baseline: str,
) -> float:
    """Returns the ratio of a policy's mean figure to that of a baseline."""
    mean = statistics.fmean(run[name] for run in results[policy])
    baseline_mean = statistics.fmean(run[name] for run in results[baseline])
    return mean / baseline_mean if baseline_mean else float("inf")


Bound = tuple[str, str, Callable[[float], bool], str]
AT_LEAST = "at least"
AT_MOST = "at most"

BOUNDS = (
    ("booking", "p99/target", "first fit", AT_MOST, 0.70),
    ("booking", "work, core-s", "first fit", AT_LEAST, 0.95),
    ("order", "jobs in time", "first fit", AT_LEAST, 1.0),
    ("order", "evictions", "first fit", AT_MOST, 0.70),
    ("order", "jobs in time", "first fit, evicts", AT_LEAST, 1.0),
    ("order", "evictions", "first fit, evicts", AT_MOST, 0.70),
    ("order", "jobs in time", "first fit, evicts and restarts", AT_LEAST, 1.0),
    ("order", "evictions", "first fit, evicts and restarts", AT_MOST, 0.70),
    ("zone leaves and returns", "work in outage", "first fit", AT_LEAST, 1.10),
    (
        "zone leaves and returns",
        "work in outage",
        "first fit, restarts",
        AT_LEAST,
        1.10,
    ),
    ("zone leaves and returns", "good requests", "first fit", AT_LEAST, 1.10),
)


def print_bounds(
    scenario: Scenario, results: dict[str, list[dict[str, float]]]
) -> None:
    """Prints whether the scenario's bounds are met."""
    for name, figure, baseline, relation, bound in BOUNDS:
        if name != scenario.name:
            continue
        value = ratio(results, figure, scenario.policies[0], baseline)
        met = value <= bound if relation == AT_MOST else value >= bound
        print(
            f"  {'met' if met else 'NOT MET':8} {figure}, ratio to"
            f" {baseline}: {value:.3f}, {relation} {bound:.2f}"
        )


def main() -> None:
    """Runs the scenarios, or one policy once with `--one`."""
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
    print(
        f"decisions, seeds {seeds}, requests of the first {WARM_UP_MS} ms not"
        " counted"
    )
    for scenario in SCENARIOS:
        if arguments.only and arguments.only != scenario.name:
            continue
        results = measure_all(scenario, seeds)
        print_table(scenario, results)
        print_bounds(scenario, results)


if __name__ == "__main__":
    main()
