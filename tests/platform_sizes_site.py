"""A full site whose short jobs have the sizes and run times of the platform."""

import dataclasses
import math
import random

import changed_leader_site
import full_site
import job_builders as build
import job_simulation
import wide_jobs_site

# Standard deviations of the logarithms of declared run times around the true
# ones, and of the run times of the tasks of a step around their mean.
DECLARED_SIGMA = 0.9
SCATTER_SIGMA = 0.28
# Time after the end of a run until the leader knows of it.
END_DELAY_MS = 200
MIN_DECLARED_MS = 20


@dataclasses.dataclass(frozen=True)
class Size:
    """A log-normal size within bounds.

    Attributes:
      mean: Its mean before the bounds.
      spread: Its standard deviation as a share of the mean.
      least: Its lower bound.
      most: Its upper bound.
    """

    mean: float
    spread: float
    least: int
    most: int

    def draw(self, generator):
        """Returns a size in whole units."""
        sigma = math.sqrt(math.log(1 + self.spread**2))
        value = self.mean * math.exp(generator.gauss(-(sigma**2) / 2, sigma))
        return round(min(max(value, self.least), self.most))


STEPS = Size(mean=1.6, spread=0.4, least=1, most=4)
TASKS = Size(mean=9.4, spread=0.8, least=1, most=56)
CPU_MILLIS = Size(mean=12_000, spread=0.45, least=3_000, most=37_000)
MEMORY_MB = Size(mean=24_000, spread=0.3, least=1, most=48_000)
RUN_MS = Size(mean=640, spread=0.5, least=100, most=1_600)


class ScatteredSimulation(job_simulation.Simulation):
    """A simulation whose run times differ from the declared ones.

    Attributes:
      true_ms: Mean run time of the tasks of each step, by job.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.true_ms = {}
        self._run_ms = {}

    def run_ms(self, run):
        """Returns the time after which the leader knows that a run ended."""
        key = run.task, run.run
        if key not in self._run_ms:
            # The same run takes the same time whatever else is started.
            generator = random.Random(f"{run.task} {run.run}")
            scatter = math.exp(
                generator.gauss(-(SCATTER_SIGMA**2) / 2, SCATTER_SIGMA)
            )
            mean_ms = self.true_ms[run.job.description.job][run.key[1]]
            self._run_ms[key] = mean_ms * scatter + END_DELAY_MS
        return self._run_ms[key]


class PlatformSizesSite(changed_leader_site.ChangedLeaderSite):
    """A full site with short jobs of the platform's sizes and run times.

    Its simulation is a `ScatteredSimulation`.
    """

    def submit_short(self):
        """Submits a short job.

        Returns:
          The true work of its steps, in millis of cores times milliseconds.
        """
        super().submit_short()
        return self.true_work(self.shorts[-1])

    def true_work(self, identifier):
        """Returns the work of a short job with its true run times."""
        steps = self.simulation.job(identifier).description.steps
        return sum(
            step.tasks * step.cpu_millis * true_ms
            for step, true_ms in zip(
                steps, self.simulation.true_ms[identifier], strict=True
            )
        )

    def deadline_ms(self, identifier):
        """Returns the wall time by which a short job must end to be served."""
        job = self.simulation.job(identifier)
        target_ms = job.description.objective_ms + (
            job.description.stretch * sum(self.simulation.true_ms[identifier])
        )
        return job.record.submitted_ms + full_site.MAX_LATENESS * target_ms

    def served_shares(self):
        """Returns the served shares of the jobs whose deadline has passed."""
        now_ms = self.simulation.clock.wall_ms()
        judged = [
            identifier
            for identifier in self.shorts
            if self.deadline_ms(identifier) <= now_ms
        ]
        return wide_jobs_site.shares_by_work(
            [
                wide_jobs_site.has_ended_by(
                    self.simulation.job(identifier),
                    self.deadline_ms(identifier),
                )
                for identifier in sorted(judged, key=self.true_work)
            ]
        )

    def _draw_short_steps(self):
        true_ms = []
        steps = []
        for number in range(STEPS.draw(self.random)):
            true_ms.append(RUN_MS.draw(self.random))
            declared_ms = true_ms[-1] * math.exp(
                self.random.gauss(0, DECLARED_SIGMA)
            )
            steps.append(
                build.step(
                    tasks=TASKS.draw(self.random),
                    cpu_millis=CPU_MILLIS.draw(self.random),
                    memory_mb=MEMORY_MB.draw(self.random),
                    estimate_ms=max(MIN_DECLARED_MS, round(declared_ms)),
                    after=(number - 1,) if number else (),
                )
            )
        self.simulation.true_ms[self.shorts[-1]] = true_ms
        return steps
