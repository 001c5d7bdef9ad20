"""A simulated site whose workers may not reply to the order of a start."""

import curio

import job_simulation

# Time after the order of a start that got no reply until its run has ended.
UNANSWERED_MS = 2_000


class MuteClient(job_simulation.RunningClient):
    """A worker that may not reply to a start, and then doesn't carry it out.

    Attributes:
      ignored: Tasks of which the next start gets no reply.
      lost: Runs whose start got none, by task.
    """

    def __init__(self, ignored):
        super().__init__()
        self.ignored = ignored
        self.lost = {}

    async def start(self, order):
        """Starts the run, or never replies."""
        if order.task in self.ignored:
            self.ignored.discard(order.task)
            self.lost[order.task] = order.run
            await curio.Event().wait()
        return await super().start(order)


class MuteSimulation(job_simulation.Simulation):
    """A leader and workers that may not reply to starts.

    Attributes:
      ignored: Tasks of which the next start gets no reply.
    """

    def __init__(self, workers, *submits):
        super().__init__(workers, *submits)
        self.ignored = set()
        for link in self.dispatcher.links.values():
            link.client = MuteClient(self.ignored)

    def ignore_starts(self, tasks):
        """Lets the next start of each of some tasks get no reply."""
        self.ignored.update(tasks)

    async def _end_runs(self, link):
        # A replica applies a command at the time of its clock.
        self.node.state.jobs.now_ms = self.clock.now_ms
        runs = link.worker.runs
        lost = {
            task: run
            for task, run in runs.items()
            if link.client.lost.get(task) == run.run
        }
        for task in lost:
            del runs[task]
        await super()._end_runs(link)
        runs.update(lost)
        for run in lost.values():
            if self.clock.now_ms - run.ordered_ms >= UNANSWERED_MS:
                await self.end(link, run, "gone")
