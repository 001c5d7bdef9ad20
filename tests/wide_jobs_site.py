"""A full site whose short jobs differ widely in size."""

import dataclasses
import math

import full_site
from galenahook.jobs import tasks as tasks_lib
import job_builders as build

MEMORY_MB = 15_000
OBJECTIVE_MS = 300


@dataclasses.dataclass(frozen=True)
class ShortSizes:
    """Sizes of short jobs; tasks and processors are log-normal.

    Attributes:
      mean_tasks: Mean number of tasks of a step, before the bound.
      tasks_sigma: Standard deviation of its logarithm.
      max_tasks: Most tasks of a step.
      mean_cpu_millis: Mean processors of a task, before the bounds.
      cpu_sigma: Standard deviation of their logarithm.
      min_cpu_millis: Fewest processors of a task.
      max_cpu_millis: Most processors of a task.
    """

    mean_tasks: float = 9.5
    tasks_sigma: float = 0.7
    max_tasks: int = 57
    mean_cpu_millis: float = 11_250
    cpu_sigma: float = 0.45
    min_cpu_millis: int = 3_750
    max_cpu_millis: int = 34_500


class WideJobsSite(full_site.FullSite):
    """A full site with wide short jobs that may lose many lasting runs at once.

    Attributes:
      sizes: Sizes of the short jobs.
      loss: Share of the lasting runs that are lost at once at `loss_ms`, beside
        the single ones that are lost all the time.
      loss_ms: Time from the start of the site to that loss.
    """

    def __init__(
        self,
        simulation,
        seed,
        sizes=None,
        loss=0.0,
        loss_ms=12_000,
        objective_ms=OBJECTIVE_MS,
        **options,
    ):
        super().__init__(simulation, seed, objective_ms=objective_ms, **options)
        self.sizes = sizes or ShortSizes()
        self.loss = loss
        self.loss_ms = loss_ms
        self._began_ms = simulation.dispatcher.now_ms()

    def judged_jobs(self):
        """Returns the short jobs whose deadline has passed."""
        now_ms = self.simulation.clock.wall_ms()
        return [
            job
            for job in map(self.simulation.job, self.shorts)
            if deadline_ms(job) <= now_ms
        ]

    def _draw_short_steps(self):
        sizes = self.sizes
        tasks = round(self._draw_size(sizes.mean_tasks, sizes.tasks_sigma))
        cpu_millis = round(
            self._draw_size(sizes.mean_cpu_millis, sizes.cpu_sigma)
        )
        return [
            build.step(
                tasks=min(max(tasks, 1), sizes.max_tasks),
                cpu_millis=min(
                    max(cpu_millis, sizes.min_cpu_millis), sizes.max_cpu_millis
                ),
                memory_mb=MEMORY_MB,
                estimate_ms=round(self._draw(800, 400, 150, 2_000)),
                after=(number - 1,) if number else (),
            )
            for number in range(self.random.randint(1, 2))
        ]

    def _draw_size(self, mean, sigma):
        return mean * math.exp(self.random.gauss(-(sigma**2) / 2, sigma))

    async def _end_lasting_run(self):
        age_ms = self.simulation.dispatcher.now_ms() - self._began_ms
        if not self.loss or age_ms <= self.loss_ms:
            await super()._end_lasting_run()
            return
        loss, self.loss = self.loss, 0.0
        self.lost_ms = self.simulation.dispatcher.now_ms()
        for link in list(self.simulation.dispatcher.links.values()):
            for run in list(link.worker.runs.values()):
                is_lasting = run.step.serves and run.seen
                if is_lasting and self.random.random() < loss:
                    await self.simulation.end(link, run, "gone")


@dataclasses.dataclass(frozen=True)
class ServedShares:
    """Shares of short jobs that ended by their deadline, by work.

    Attributes:
      all: Share of all jobs.
      largest_tenth: Share of the tenth with the most work.
      fifth_below: Share of the fifth below that tenth.
      jobs: Number of all jobs.
    """

    all: float
    largest_tenth: float
    fifth_below: float
    jobs: int


def served_shares(jobs):
    """Returns the shares of jobs that ended by their deadline.

    Args:
      jobs: Short jobs of one or several sites whose deadline has passed, at
        least ten.
    """
    by_work = sorted(
        jobs,
        key=lambda job: sum(map(full_site.work_of, job.description.steps)),
    )
    return shares_by_work(list(map(_is_served, by_work)))


def shares_by_work(served):
    """Returns the shares of jobs that ended by their deadline.

    Args:
      served: Whether each job ended by its deadline, in order of work; at least
        ten.
    """
    tenth = len(served) // 10
    return ServedShares(
        all=_mean(served),
        largest_tenth=_mean(served[-tenth:]),
        fifth_below=_mean(served[-3 * tenth : -tenth]),
        jobs=len(served),
    )


def deadline_ms(job):
    """Returns the wall time by which a short job must end to be served."""
    return job.record.submitted_ms + (
        full_site.MAX_LATENESS * full_site.target_ms(job)
    )


def has_ended_by(job, wall_ms):
    """Returns whether a job had completed by a wall time."""
    return (
        job.record.outcome is tasks_lib.Outcome.COMPLETED
        and job.record.ended_ms <= wall_ms
    )


def _mean(flags):
    return sum(flags) / len(flags)


def _is_served(job):
    return has_ended_by(job, deadline_ms(job))
