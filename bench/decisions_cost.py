"""Measures what decisions cost at the target size, on one core.

5,800 workers, 200,000 held tasks. Prints processor time by placement, by
announcement and by idle round, and memory by task record and by worker.
"""

import dataclasses
import gc
import os
import pathlib
import time
from typing import Any

import curio

import decisions_stage as stage_lib
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import messages
from galenahook import settings
from galenahook.scheduling import scheduler as scheduler_lib
from galenahook.upstreams import workers as workers_lib

WORKERS = 5_800
ZONES = 12
RACK = 40
SERVICES = 300
INSTANCES = 100
JOBS = 1_700
TASKS_PER_JOB = 100
PLACED = 4_000
TEAMS = 380
ANNOUNCED = 2_000


class Silent:
    """Answers no order and knows no tails."""

    async def post(self, *_: Any, **__: Any) -> Any:
        """Accepts every start."""
        return stage_lib.web.json_response(messages.StartReply(accepted=True))

    def tail_latencies(self) -> list[Any]:
        """Returns nothing."""
        return []


@dataclasses.dataclass(slots=True)
class Fleet:
    """A scheduler with every worker announced.

    Attributes:
      node: A node that leads alone.
      registry: Every worker.
      scheduler: The scheduler measured.
    """

    node: stage_lib.LoneNode
    registry: workers_lib.WorkerRegistry
    scheduler: scheduler_lib.Scheduler


def resident_mb() -> float:
    """Returns the resident size."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def build() -> Fleet:
    """Builds the fleet with nothing running."""
    node = stage_lib.LoneNode()
    clock = clock_lib.Clock()
    registry = workers_lib.WorkerRegistry(clock, settings.Timing())
    silent = Silent()
    scheduler = scheduler_lib.Scheduler(
        node,  # type: ignore[arg-type]
        registry,
        silent,
        silent,
        clock,
        settings.Timing(),
    )
    return Fleet(node, registry, scheduler)


def announcement(
    fleet: Fleet, index: int, sequence: int
) -> messages.WorkerAnnouncement:
    """Builds a worker's announcement with everything that it holds."""
    name = f"w{index:04}"
    records = fleet.node.state.tasks.records
    held = fleet.node.state.tasks.held.get(name, {})
    return messages.WorkerAnnouncement(
        name=name,
        incarnation="i1",
        sequence=sequence,
        sent_at_ms=fleet.registry.clock.monotonic_ms(),
        address=f"10.0.{index // 256}.{index % 256}:80",
        availability_zone=f"zone-{index % ZONES}",
        rack=f"rack-{index // RACK}",
        vm=name,
        capacity=messages.Resources(64_000, 250_000),
        attempts=tuple(
            messages.AttemptStatus(
                task=task,
                attempt=records[task].attempt,
                usage=messages.Resources(900, 3_000),
                sample_age_ms=1_000,
            )
            for task in held
        ),
    )


def announce_all(
    fleet: Fleet, sequence: int, from_the_wire: bool = False
) -> None:
    """Takes one announcement of every worker."""
    for index in range(WORKERS):
        one = announcement(fleet, index, sequence)
        if from_the_wire:
            data = messages.encode(one)
            one = messages.decode(data, messages.WorkerAnnouncement)
        fleet.registry.announce(one, fleet.node.state.tasks)


def put_sheet(fleet: Fleet) -> None:
    """Puts in the target's services and jobs."""
    services = tuple(
        commands.ServiceRow(
            name=f"service-{index}",
            team=f"team-{index % TEAMS}",
            priority=80,
            instances=INSTANCES,
            resources=messages.Resources(1_000, 4_000),
            route=f"/{index}",
            tail_target_ms=50,
        )
        for index in range(SERVICES)
    )
    jobs = tuple(
        commands.JobRow(
            name=f"job-{index}",
            team=f"team-{index % TEAMS}",
            priority=50,
            job_class=f"class-{index % 20}",
            tasks=TASKS_PER_JOB,
            resources=messages.Resources(1_000, 4_000),
            run_ms=600_000,
            deadline_ms=fleet.registry.clock.wall_ms() + 36_000_000 + index,
        )
        for index in range(JOBS)
    )
    quotas = tuple(
        commands.TeamQuota(
            team=f"team-{index}",
            resources=messages.Resources(10**9, 10**9),
        )
        for index in range(TEAMS)
    )
    sheet = commands.Sheet(services=services, jobs=jobs, quotas=quotas)
    fleet.node.state.apply(
        commands.ChangeConfiguration(
            operator="ana",
            number=1,
            base_revision=0,
            at_ms=0,
            change=commands.ApplySheet(sheet=sheet),
        )
    )


def hold_most(fleet: Fleet) -> None:
    """Starts all but the last tasks, spread evenly over the workers."""
    names = list(fleet.node.state.tasks.records)
    starts = tuple(
        commands.AttemptStart(
            task=task,
            attempt=1,
            worker=f"w{index % WORKERS:04}",
            incarnation="i1",
            reserved=messages.Resources(1_000, 4_000),
        )
        for index, task in enumerate(names[:-PLACED])
    )
    fleet.node.state.apply(commands.StartAttempts(starts=starts, at_ms=0))


async def place_rest(fleet: Fleet) -> tuple[float, float, int]:
    """Returns seconds in choosing and in whole rounds, and the placements."""
    scheduler = fleet.scheduler
    choosing = 0.0
    placed = 0
    choose = scheduler.decisions.choose

    def timed() -> Any:
        nonlocal choosing, placed
        begun = time.process_time()
        choices = choose()
        choosing += time.process_time() - begun
        placed += len(choices.starts)
        return choices

    scheduler.decisions.choose = timed  # type: ignore[method-assign]
    rounds = 0.0
    sequence = 4
    while fleet.node.state.tasks.waiting:
        announce_all(fleet, sequence)
        sequence += 1
        begun = time.process_time()
        await scheduler.round()
        rounds += time.process_time() - begun
    return choosing, rounds, placed


async def measure() -> None:
    """Runs all measurements and prints them."""
    fleet = build()
    await fleet.scheduler.round()
    base_mb = resident_mb()
    for sequence in (1, 2):
        announce_all(fleet, sequence)
    print(
        f"memory by worker  {(resident_mb() - base_mb) * 1024 / WORKERS:.2f} KB"
    )
    base_mb = resident_mb()
    put_sheet(fleet)
    hold_most(fleet)
    tasks = SERVICES * INSTANCES + JOBS * TASKS_PER_JOB
    used_kb = (resident_mb() - base_mb) * 1024
    print(f"memory by task    {used_kb / tasks:.2f} KB, of {tasks} tasks")
    base_mb = resident_mb()
    announce_all(fleet, 3, from_the_wire=True)
    used_kb = (resident_mb() - base_mb) * 1024
    print(f"memory by attempt announced {used_kb / tasks:.2f} KB")
    for index in range(SERVICES):
        fleet.scheduler.decisions.model.observe(
            f"service-{index}", 20.0, 100, {"class-1": 0.2}
        )
    longest = 0.0
    while fleet.registry.changed:
        begun = time.process_time()
        await fleet.scheduler.round()
        longest = max(longest, time.process_time() - begun)
    print(f"longest round after an election {longest * 1000:.1f} ms")
    choosing, rounds, placed = await place_rest(fleet)
    print(
        f"placement         {choosing / placed * 1000:.4f} ms, {placed} placed"
    )
    print(f"placement, with commit and orders {rounds / placed * 1000:.4f} ms")
    gc.collect()
    made = [announcement(fleet, index, 1_000) for index in range(ANNOUNCED)]
    begun = time.process_time()
    for one in made:
        fleet.registry.announce(one, fleet.node.state.tasks)
    spent = time.process_time() - begun
    print(f"announcement      {spent / ANNOUNCED * 1000:.4f} ms, 34 attempts")
    announce_all(fleet, 1_001)
    encoded = messages.encode(made[0])
    begun = time.process_time()
    for _ in range(1_000):
        messages.decode(encoded, messages.WorkerAnnouncement)
    spent = time.process_time() - begun
    print(f"decoding it       {spent:.4f} ms, {len(encoded)} bytes")
    while fleet.registry.changed:
        await fleet.scheduler.round()
    begun = time.process_time()
    for _ in range(20):
        await fleet.scheduler.round()
    spent = time.process_time() - begun
    print(f"round with no work {spent / 20 * 1000:.3f} ms")
    print(f"resident at the end {resident_mb():.0f} MB")


if __name__ == "__main__":
    curio.run(measure)
