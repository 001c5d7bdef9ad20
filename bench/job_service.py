"""Measures how callers' jobs are served, by queue and by size.

    python -m job_service [--load NAME] [--workers N] [--seconds N] [--seed N]
        [--fill SHARE]

Runs the leader of `leader_cost` with stand-in workers in simulated time. Task
counts, processors and run times of jobs scatter widely, and serving tasks,
which come and go, reserve most processors. Prints for each queue the share of
jobs that ended in time, of the largest tenth by work, the fifth below it, the
others and all of them, and the share of the owed work that was done in time.
"""

import argparse
import dataclasses
import math
import random
import types

import curio
import curio.kernel
import msgspec

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook.jobs import calls
from galenahook.jobs import tasks as tasks_lib
import leader_cost

# Sizes of the VMs, relative to the smallest.
WORKER_SIZES = (1.0, 1.0, 1.5)
SERVING_STAY_S = 70.0
# Standard deviation of the logarithm of run times within a step.
RUN_TIME_SIGMA = 0.3
# Largest shares of the jobs by work, and their names.
SIZE_CLASSES = (("largest 10%", 0.9), ("next 20%", 0.7), ("others", 0.0))


@dataclasses.dataclass(slots=True, frozen=True)
class Queue:
    """Priority and latency objective of a queue's jobs."""

    priority: int
    stretch: float
    objective_ms: int


QUEUES = {
    "table": Queue(priority=0, stretch=1.5, objective_ms=300),
    "rota": Queue(priority=2, stretch=2.0, objective_ms=1_000),
    "board": Queue(priority=0, stretch=2.2, objective_ms=2_500),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Steps:
    """Sizes of the steps of one kind of job; they scatter log-normally.

    Attributes:
      tasks: Mean, spread and maximum of the number of tasks.
      cpu_millis: The same of the processors of a task.
      memory_mb: The same of its memory.
      run_ms: The same of its run time.
      rate: Jobs per second and worker; 0 if they follow from the others.
    """

    tasks: tuple[float, float, float]
    cpu_millis: tuple[float, float, float]
    memory_mb: tuple[float, float, float]
    run_ms: tuple[float, float, float]
    rate: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """VMs and jobs of a site.

    Attributes:
      cpu_millis: Processors of the smallest VM.
      memory_mb: Memory of the smallest VM.
      serving: Jobs whose tasks serve until they are cancelled.
      query: Short jobs that reserve processors.
      batch: Jobs whose tasks use idle processors.
    """

    cpu_millis: int
    memory_mb: int
    serving: Steps
    query: Steps
    batch: Steps


LOADS = {
    "bookings": Load(
        cpu_millis=32_000,
        memory_mb=125_000,
        serving=Steps(
            tasks=(14, 0.4, 28),
            cpu_millis=(6_400, 0.25, 10_000),
            memory_mb=(13_000, 0.3, 26_000),
            run_ms=(320, 0.0, 320),
        ),
        query=Steps(
            tasks=(9.5, 0.8, 57),
            cpu_millis=(5_300, 0.45, 16_000),
            memory_mb=(11_000, 0.3, 21_000),
            run_ms=(800, 0.5, 2_000),
            rate=0.0288,
        ),
        batch=Steps(
            tasks=(20, 0.6, 80),
            cpu_millis=(3_500, 0.3, 7_000),
            memory_mb=(6_400, 0.0, 6_400),
            run_ms=(2_200, 0.5, 5_400),
            rate=0.0435,
        ),
    ),
    "orders": Load(
        cpu_millis=64_000,
        memory_mb=256_000,
        serving=Steps(
            tasks=(24, 0.4, 48),
            cpu_millis=(13_000, 0.25, 20_000),
            memory_mb=(26_000, 0.3, 51_000),
            run_ms=(500, 0.0, 500),
        ),
        query=Steps(
            tasks=(9.4, 0.8, 56),
            cpu_millis=(12_000, 0.45, 37_000),
            memory_mb=(24_000, 0.3, 48_000),
            run_ms=(640, 0.5, 1_600),
            rate=0.0323,
        ),
        batch=Steps(
            tasks=(39, 0.6, 160),
            cpu_millis=(7_000, 0.3, 14_000),
            memory_mb=(13_000, 0.3, 26_000),
            run_ms=(2_700, 0.5, 6_800),
            rate=0.0182,
        ),
    ),
}


def work_of(job: tasks_lib.Job) -> float:
    """Returns the core milliseconds that a job takes."""
    return sum(
        step.tasks * step.cpu_millis / 1_000 * step.estimate_ms
        for step in job.description.steps
    )


class Site(leader_cost.Fleet):
    """A fleet whose workers and jobs differ widely in size.

    Attributes:
      load: Sizes of its workers and jobs.
      fill: Share of all processors that the first serving jobs reserve.
    """

    def __init__(
        self,
        workers: int,
        seed: int,
        clock: clock_lib.Clock,
        fill: float,
        load: Load,
    ) -> None:
        super().__init__(workers, seed, clock)
        self.load = load
        self.cpu_millis = load.cpu_millis
        self.fill = fill
        self.draws = random.Random(seed)

    def heartbeat(self, index: int) -> calls.WorkerHeartbeat:
        """Returns the next heartbeat of a worker."""
        size = WORKER_SIZES[index % len(WORKER_SIZES)]
        beat = super().heartbeat(index)
        return msgspec.structs.replace(
            beat,
            cpu_millis=round(size * self.load.cpu_millis),
            memory_mb=round(size * self.load.memory_mb),
        )

    def run_time_ms(self, task: str, step: commands.StepDescription) -> float:
        """Returns the time that a task takes at full speed."""
        scatter = random.Random(task).lognormvariate(0, RUN_TIME_SIGMA)
        return step.estimate_ms * scatter

    def target_ms(self, job: tasks_lib.Job) -> float:
        """Returns the time in which a job of consecutive steps should end."""
        chain_ms = sum(
            max(
                self.run_time_ms(
                    f"{job.description.job}.0.{number}.{index}", step
                )
                for index in range(step.tasks)
            )
            for number, step in enumerate(job.description.steps)
        )
        return job.description.stretch * chain_ms + job.description.objective_ms

    def _is_in_time(self, job: tasks_lib.Job) -> bool:
        """Returns whether a job was completed within its target duration."""
        if job.record.outcome is not tasks_lib.Outcome.COMPLETED:
            return False
        took_ms = job.record.ended_ms - job.record.submitted_ms
        return took_ms <= self.target_ms(job)

    def total_cpu_millis(self) -> int:
        """Returns the processors of all workers."""
        return sum(
            self.heartbeat(index).cpu_millis for index in range(self.workers)
        )

    def submit(self, queue: str, *steps: commands.StepDescription) -> None:
        """Stores a job with the parameters of its queue."""
        self.jobs += 1
        row = QUEUES[queue]
        self.node.state.apply(
            commands.SubmitJob(
                description=commands.JobDescription(
                    job=f"{self.jobs:016x}",
                    queue=queue,
                    service="desk",
                    spec="spec",
                    steps=steps,
                    priority=row.priority,
                    max_attempts=3,
                    stretch=row.stretch,
                    objective_ms=row.objective_ms,
                ),
                at_ms=self.clock.wall_ms(),
            )
        )
        self.dispatcher.service_levels.note_submitted(
            self.node.state.jobs.jobs[f"{self.jobs:016x}"]
        )

    def _draw(self, distribution: tuple[float, float, float]) -> int:
        """Draws from a mean, a spread and a maximum."""
        mean, spread, largest = distribution
        if not spread:
            return round(mean)
        variance = math.log(1 + spread * spread)
        value = self.draws.lognormvariate(
            math.log(mean) - variance / 2, math.sqrt(variance)
        )
        return max(1, round(min(value, largest)))

    def submit_serving(self) -> None:
        """Stores a job whose tasks serve until they are stopped."""
        sizes = self.load.serving
        image = f"s{self.draws.randrange(leader_cost.SERVING_IMAGES)}"
        self.submit(
            "board",
            commands.StepDescription(
                tasks=self._draw(sizes.tasks),
                cpu_millis=self._draw(sizes.cpu_millis),
                memory_mb=self._draw(sizes.memory_mb),
                estimate_ms=self._draw(sizes.run_ms),
                serves=True,
                image=image,
                tail_target_ms=45,
                max_per_worker=int(self.draws.random() < 0.5),
            ),
        )

    def submit_query(self) -> None:
        """Stores a short job that reserves processors."""
        sizes = self.load.query
        spread = int(self.draws.random() < 0.15)
        tasks = self._draw(sizes.tasks)
        cpu_millis = self._draw(sizes.cpu_millis)
        memory_mb = self._draw(sizes.memory_mb)
        self.submit(
            "table",
            *(
                commands.StepDescription(
                    tasks=tasks,
                    cpu_millis=cpu_millis,
                    memory_mb=memory_mb,
                    estimate_ms=self._draw(sizes.run_ms),
                    max_per_worker=spread,
                    after=(number - 1,) if number else (),
                )
                for number in range(self.draws.choice((1, 1, 2, 2, 2)))
            ),
        )

    def submit_batch(self) -> None:
        """Stores a job whose tasks use idle processors."""
        sizes = self.load.batch
        image = f"b{self.draws.randrange(leader_cost.BATCH_IMAGES)}"
        tasks = self._draw(sizes.tasks)
        cpu_millis = self._draw(sizes.cpu_millis)
        memory_mb = self._draw(sizes.memory_mb)
        self.submit(
            "rota",
            *(
                commands.StepDescription(
                    tasks=tasks,
                    cpu_millis=cpu_millis,
                    memory_mb=memory_mb,
                    estimate_ms=self._draw(sizes.run_ms),
                    uses_idle_cpu=True,
                    saves_checkpoints=True,
                    image=image,
                    after=(number - 1,) if number else (),
                )
                for number in range(2)
            ),
        )

    def fill_up(self) -> None:
        """Stores serving jobs until they reserve their share."""
        left = self.fill * self.total_cpu_millis()
        while left > 0:
            self.submit_serving()
            job = self.node.state.jobs.jobs[f"{self.jobs:016x}"]
            step = job.description.steps[0]
            left -= step.tasks * step.cpu_millis

    def _serving_jobs(self) -> list[tasks_lib.Job]:
        return [
            job
            for job in self.node.state.jobs.open.values()
            if job.description.queue == "board" and not job.ended
        ]

    async def cancel_serving(self) -> None:
        """Cancels serving jobs at random times until cancelled itself."""
        while True:
            count = max(1, len(self._serving_jobs()))
            await curio.sleep(self.draws.expovariate(count / SERVING_STAY_S))
            if serving := self._serving_jobs():
                identifier = self.draws.choice(serving).description.job
                self.node.state.apply(
                    commands.CancelJob(
                        job=identifier, at_ms=self.clock.wall_ms()
                    )
                )
                await self.dispatcher.wake()

    async def play(self, warm_up_s: float, seconds: float) -> list[str]:
        """Plays the site; returns the lines of the report."""
        self.fill_up()
        tasks = [
            await curio.spawn(self.dispatcher.run),
            await curio.spawn(self.send_heartbeats),
            await curio.spawn(self.cancel_serving),
            await curio.spawn(
                self.submit_jobs,
                len(self._serving_jobs()) / SERVING_STAY_S,
                self.submit_serving,
            ),
            await curio.spawn(
                self.submit_jobs,
                self.load.query.rate * self.workers,
                self.submit_query,
            ),
            await curio.spawn(
                self.submit_jobs,
                self.load.batch.rate * self.workers,
                self.submit_batch,
            ),
        ]
        await curio.sleep(warm_up_s)
        began_ms = self.clock.wall_ms()
        await curio.sleep(seconds)
        lines = self.report(began_ms)
        for task in tasks:
            await task.cancel()
        await self.dispatcher.close()
        return lines

    def report(self, began_ms: int) -> list[str]:
        """Returns the shares of jobs and of work in time, by queue and size."""
        now_ms = self.clock.wall_ms()
        lines = []
        for queue in ("table", "rota"):
            due = sorted(
                (
                    job
                    for job in self.node.state.jobs.jobs.values()
                    if job.description.queue == queue
                    and began_ms <= job.record.submitted_ms
                    and job.record.submitted_ms + self.target_ms(job) <= now_ms
                ),
                key=work_of,
            )
            before = len(due)
            groups = [("all", due)]
            for name, share in SIZE_CLASSES:
                first = round(share * len(due))
                groups.append((name, due[first:before]))
                before = first
            for name, jobs in groups:
                in_time = [job for job in jobs if self._is_in_time(job)]
                owed = sum(map(work_of, jobs))
                lines.append(
                    f"{queue:6} {name:12} jobs {len(jobs):4}"
                    f"  in time {len(in_time) / max(1, len(jobs)):.2f}"
                    f"  work {sum(map(work_of, in_time)) / max(1, owed):.2f}"
                )
        return lines


def main() -> None:
    """Prints the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=246)
    parser.add_argument("--warm-up", type=float, default=8.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fill", type=float, default=0.9)
    parser.add_argument("--load", choices=sorted(LOADS), default="bookings")
    arguments = parser.parse_args()
    simulated = leader_cost.SimulatedTime()
    curio.kernel.time = types.SimpleNamespace(  # type: ignore[assignment]
        monotonic=simulated.monotonic
    )
    site = Site(
        arguments.workers,
        arguments.seed,
        leader_cost.SimulatedClock(simulated),
        arguments.fill,
        LOADS[arguments.load],
    )
    lines = curio.run(
        site.play, arguments.warm_up, arguments.seconds, selector=simulated
    )
    print(*lines, sep="\n")


if __name__ == "__main__":
    main()
