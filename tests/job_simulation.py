"""A leader and its workers in simulated time, with the real decisions."""

import curio
import msgspec

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import job_metrics
from galenahook import state as state_lib
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import link as link_lib
from galenahook.jobs import worker_api
import job_builders as build

ROUND_MS = 50
FAILURE_AGE_MS = 300
# A lasting task that waits for longer counts as lost.
MAX_WAIT_MS = 3_000


class SimulatedClock(clock_lib.Clock):
    """A clock that only the simulation advances."""

    __slots__ = ("now_ms",)

    def __init__(self):
        self.now_ms = 1_000

    def monotonic_ms(self):
        """Returns simulated milliseconds."""
        return self.now_ms

    def wall_ms(self):
        """Returns the wall time of the simulation."""
        return build.WALL_MS + self.now_ms


class LeadingNode:
    """A replica that leads and commits at once."""

    def __init__(self):
        self.state = state_lib.State()

    def term(self):
        """Returns the only term."""
        return 7

    def has_valid_lease(self):
        """Returns True."""
        return True

    def is_leader(self):
        """Returns True."""
        return True

    async def submit(self, command):
        """Applies a command at once."""
        return self.state.apply(command)


class RunningClient(worker_api.WorkerClient):
    """A worker that starts what it is ordered to start, and records stops."""

    def __init__(self):
        self.stopped = []
        self.stopping = set()

    async def start(self, _order):
        """Starts the run."""
        return worker_api.StartAnswer.RUNNING, ""

    async def stop(self, task, _run, _term):
        """Records a stop; it is sent again until the run has ended."""
        if task not in self.stopping:
            self.stopping.add(task)
            self.stopped.append(task)
        return True

    async def poll(self, *_arguments):
        """Does not reply; the simulation reports the runs itself."""
        raise errors.ExchangeError("no reply", sent=False)

    async def close(self):
        """Does nothing."""


def check_starts(worker, now_ms):
    """Checks that no start of this round exceeds the capacity."""
    runs = worker.runs.values()
    if all(run.ordered_ms != now_ms for run in runs):
        return
    cpu_millis = sum(
        run.step.cpu_millis for run in runs if not run.step.uses_idle_cpu
    )
    assert cpu_millis <= worker.heartbeat.cpu_millis
    memory_mb = sum(run.step.memory_mb for run in runs)
    assert memory_mb <= worker.heartbeat.memory_mb


class Simulation:
    """A leader and workers whose runs end after the estimate of their step.

    Attributes:
      failing: Jobs whose runs fail soon after their start.
      failing_workers: Workers on which every run fails soon after its start.
      started: Worker of the first run of each task that was started.
    """

    def __init__(self, workers, *submits):
        self.clock = SimulatedClock()
        self.node = LeadingNode()
        self.dispatcher = dispatcher_lib.Dispatcher(
            self.node,
            self.clock,
            lambda _heartbeat: RunningClient(),
            6_000,
            job_metrics.JobMetrics(),
        )
        for worker in workers:
            self.dispatcher.links[worker.name] = link_lib.Link(
                worker, RunningClient(), self.dispatcher, 6_000
            )
        self.failing = set()
        self.failing_workers = set()
        self.started = {}
        # When each run was ordered, which a later leader does not know.
        self._ordered_ms = {}
        for command in submits:
            self.node.state.apply(command)

    def submit(self, command):
        """Stores a job as submitted now."""
        self.node.state.apply(
            msgspec.structs.replace(command, at_ms=self.clock.wall_ms())
        )
        job = self.job(command.description.job)
        self.dispatcher.service_levels.note_submitted(job)

    def job(self, identifier):
        """Returns a stored job."""
        return self.node.state.jobs.jobs[identifier]

    def worker(self, name):
        """Returns a worker by name."""
        return self.dispatcher.links[name].worker

    def stopped(self):
        """Returns the tasks that workers were ordered to stop."""
        return [
            task
            for link in self.dispatcher.links.values()
            for task in link.client.stopped
        ]

    async def advance(self, duration_ms):
        """Ends runs and plays rounds for a time."""
        for _ in range(duration_ms // ROUND_MS):
            self.clock.now_ms += ROUND_MS
            for link in self.dispatcher.links.values():
                await self._end_runs(link)
            await self.dispatcher._round()
            await curio.sleep(0)
            for link in self.dispatcher.links.values():
                check_starts(link.worker, self.clock.now_ms)
                for task, run in link.worker.runs.items():
                    self.started.setdefault(task, link.worker.name)
                    self._ordered_ms.setdefault((task, run.run), run.ordered_ms)

    def run_ms(self, run):
        """Returns the time after which a run has ended as the leader sees it.

        Args:
          run: A run that does not serve.
        """
        return run.step.estimate_ms

    async def _end_runs(self, link):
        now_ms = self.clock.now_ms
        link.worker.last_reply_ms = now_ms
        link.worker.extend_lease(now_ms, 6_000)
        link.worker.heartbeat = msgspec.structs.replace(
            link.worker.heartbeat, clock_ms=link.worker.min_clock_ms(now_ms)
        )
        for run in list(link.worker.runs.values()):
            run.seen = True
            ordered_ms = self._ordered_ms.get(
                (run.task, run.run), run.ordered_ms
            )
            age_ms = now_ms - ordered_ms
            is_failing = (
                run.job.description.job in self.failing
                or link.worker.name in self.failing_workers
            )
            if run.task in link.client.stopping:
                await self.end(link, run, "gone")
            elif is_failing:
                if age_ms >= FAILURE_AGE_MS:
                    await self.end(link, run, "failed")
            elif run.step.serves:
                run.progress_percent = 100
            else:
                run_ms = self.run_ms(run)
                run.progress_percent = 100 * age_ms / run_ms
                if age_ms >= run_ms:
                    await self.end(link, run, "done")

    async def end(self, link, run, outcome):
        """Ends a run."""
        link.client.stopping.discard(run.task)
        end = link.end_run(run, outcome, run.checkpoint, "")
        self.dispatcher.note_end(link.worker, run, outcome)
        await self.dispatcher.queue_ends([end])

    def prolong(self, run, by_ms):
        """Lets a run take longer than its step was estimated to."""
        self._ordered_ms[run.task, run.run] += by_ms

    async def advance_until_started(self, task, limit_ms=MAX_WAIT_MS):
        """Advances until a task has started."""
        began_ms = self.clock.now_ms
        while task not in self.started:
            assert self.clock.now_ms - began_ms < limit_ms, "not started"
            await self.advance(ROUND_MS)


def run(scenario, *arguments, make=Simulation):
    """Runs a scenario with a simulation of some workers and jobs.

    Args:
      scenario: Function that is called with the simulation.
      *arguments: Arguments of the simulation.
      make: Makes the simulation.
    """

    async def main():
        simulation = make(*arguments)
        await scenario(simulation)
        await simulation.dispatcher.close()

    curio.run(main)


def workers(count, **changes):
    """Builds workers that have just replied."""
    return [build.worker(f"w{number}", **changes) for number in range(count)]
