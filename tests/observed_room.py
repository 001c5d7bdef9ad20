"""Waits of lasting tasks as an observer of the workers sees them."""

import collections

import curio

import announced_workers
import full_site
from galenahook import job_metrics
from galenahook.jobs import dispatcher as dispatcher_lib
import job_simulation

WORKERS = 40
# Time after the order of a run until an observer of its worker sees it.
START_DELAY_MS = 200
# Time after the last run of a lasting task from which it counts as lost if it
# waits beside room at two moments `job_simulation.MAX_WAIT_MS` apart.
LOST_AFTER_MS = 6_000
# Longest wait of a task for which there is room all the time.
MAX_TOTAL_WAIT_MS = LOST_AFTER_MS + job_simulation.MAX_WAIT_MS
# Time before these two moments in which no unplanned faults may occur.
CALM_MS = 4_000


class SilentClient(
    announced_workers.AnnouncedClient, job_simulation.RunningClient
):
    """A worker that replies once; the simulation reports its runs."""

    def __init__(self, heartbeat):
        announced_workers.AnnouncedClient.__init__(self, heartbeat)
        job_simulation.RunningClient.__init__(self)

    async def poll_again(self):
        """Waits until the link is cancelled."""
        await curio.Event().wait()


class ElectedNode(job_simulation.LeadingNode):
    """A replica that leads in a later term, with the state of an earlier one.

    Attributes:
      state: The replicated state.
    """

    def __init__(self, before):
        self.state = before.state
        self._term = before.term() + 1

    def term(self):
        """Returns its only term."""
        return self._term


async def change_leader(simulation):
    """Replaces the leader; the workers and their runs stay.

    The new leader knows the runs from the replicated state and sees them listed
    at once.
    """
    before = simulation.dispatcher
    await before.close()
    simulation.node = ElectedNode(simulation.node)
    simulation.dispatcher = dispatcher_lib.Dispatcher(
        simulation.node,
        simulation.clock,
        SilentClient,
        before.lease_ms,
        job_metrics.JobMetrics(),
    )
    for link in before.links.values():
        await announced_workers.join(
            simulation.dispatcher, link.worker.heartbeat
        )
        worker = simulation.worker(link.worker.name)
        worker.has_polled = True
        for run in worker.runs.values():
            run.seen = True
            run.seen_ms = simulation.clock.now_ms


def workers():
    """Builds the workers of the site."""
    return full_site.workers(WORKERS)


class WaitWatch:
    """Measures the waits of lasting tasks, each from its last run's end.

    Attributes:
      site: The site.
      since_ms: Since when each task waits, by job and task.
      longest_ms: Longest wait of each task, whether or not it is over.
    """

    def __init__(self, site):
        self.site = site
        self.since_ms = {}
        self.longest_ms = collections.Counter()
        self._last_runs = {}

    def note_round(self):
        """Updates the waits after a round."""
        now_ms = self.site.simulation.clock.now_ms
        since_ms = {}
        last_runs = {}
        for identifier in self.site.lasting:
            job = self.site.simulation.job(identifier)
            for key in job.waiting:
                task = identifier, key
                run = job.runs.get(key)
                last_runs[task] = run.run if run else 0
                is_known = self._last_runs.get(task) == last_runs[task]
                since_ms[task] = self.since_ms[task] if is_known else now_ms
                waited_ms = now_ms - since_ms[task]
                self.longest_ms[task] = max(self.longest_ms[task], waited_ms)
        self.since_ms = since_ms
        self._last_runs = last_runs

    def waits_over(self, limit_ms):
        """Returns the waits over a limit in milliseconds, longest first."""
        waits = self.longest_ms.values()
        return sorted((w for w in waits if w > limit_ms), reverse=True)


class RoomObserver:
    """Finds lasting tasks that wait beside room, as an observer sees it.

    The observer sees an end at once and a new run `START_DELAY_MS` after its
    order.

    Attributes:
      waits: The waits of the lasting tasks.
      found: Tasks that count as lost.
      longest_ms: Longest time without a break for which a task that may count
        as lost waited beside room.
    """

    def __init__(self, site, workers):
        self.waits = WaitWatch(site)
        self.found = set()
        self.longest_ms = 0
        self._site = site
        self._workers = workers
        self._beside_room_since_ms = {}
        rounds = job_simulation.MAX_WAIT_MS // job_simulation.ROUND_MS
        # Time and tasks beside room, with the beginnings of their waits.
        self._history = collections.deque(maxlen=rounds + 1)

    def note_round(self):
        """Compares the tasks beside room with those `MAX_WAIT_MS` ago."""
        self.waits.note_round()
        now_ms = self._site.simulation.clock.now_ms
        beside_room = self._beside_room(now_ms)
        self._history.append((now_ms, beside_room))
        self._beside_room_since_ms = {
            task: self._beside_room_since_ms.get(task, now_ms)
            for task in beside_room
            if now_ms - task[1] >= LOST_AFTER_MS
        }
        self.longest_ms = max(
            self.longest_ms,
            *(now_ms - at_ms for at_ms in self._beside_room_since_ms.values()),
            0,
        )
        first_ms, first = self._history[0]
        lost_ms = self._site.lost_ms
        is_calm = lost_ms is None or first_ms - lost_ms >= CALM_MS
        if len(self._history) == self._history.maxlen and is_calm:
            self.found |= {
                task
                for task, since_ms in beside_room & first
                if first_ms - since_ms >= LOST_AFTER_MS
            }

    def _beside_room(self, now_ms):
        """Returns the waiting tasks beside room, each with its wait's begin."""
        free = [
            self._free_of(link.worker, now_ms)
            for link in self._site.simulation.dispatcher.links.values()
        ]
        has_room = {}
        for identifier, _ in self.waits.since_ms:
            if identifier not in has_room:
                job = self._site.simulation.job(identifier)
                (step,) = job.description.steps
                has_room[identifier] = self._workers <= sum(
                    step.cpu_millis <= cpu_millis
                    and step.memory_mb <= memory_mb
                    and not 0 < step.max_per_worker <= steps[identifier, 0, 0]
                    for cpu_millis, memory_mb, steps in free
                )
        return {
            (task, since_ms)
            for task, since_ms in self.waits.since_ms.items()
            if has_room[task[0]]
        }

    def _free_of(self, worker, now_ms):
        """Returns free processors and memory of a worker, and steps on it."""
        runs = [
            run
            for run in worker.runs.values()
            if now_ms - run.ordered_ms >= START_DELAY_MS
        ]
        beat = worker.heartbeat
        return (
            beat.cpu_millis - sum(run.step.cpu_millis for run in runs),
            beat.memory_mb - sum(run.step.memory_mb for run in runs),
            collections.Counter(run.step_id for run in runs),
        )


class OvertakingWatch:
    """Measures waits of lasting tasks whose pieces larger ones get.

    Attributes:
      waits: The waits of the lasting tasks.
      longest_ms: Longest wait of each task at the start of a larger lasting
        task whose wait began later, on a worker on which it would have fitted.
    """

    def __init__(self, site):
        self.waits = WaitWatch(site)
        self.longest_ms = collections.Counter()
        self._site = site

    def note_round(self):
        """Compares the lasting tasks that were started with those waiting."""
        simulation = self._site.simulation
        now_ms = simulation.clock.now_ms
        since_ms = dict(self.waits.since_ms)
        self.waits.note_round()
        waiting = [
            (task, task_since_ms, simulation.job(task[0]).step(task[1]))
            for task, task_since_ms in self.waits.since_ms.items()
        ]
        for link in simulation.dispatcher.links.values():
            runs = link.worker.runs.values()
            steps = collections.Counter(run.step_id for run in runs)
            for run in runs:
                if run.ordered_ms != now_ms or not run.step.serves:
                    continue
                run_since_ms = since_ms.get((run.step_id[0], run.key), now_ms)
                for task, task_since_ms, step in waiting:
                    own = steps[task[0], *task[1][:2]]
                    if (
                        task_since_ms < run_since_ms
                        and step.cpu_millis < run.step.cpu_millis
                        and step.memory_mb <= run.step.memory_mb
                        and not 0 < step.max_per_worker <= own
                    ):
                        waited_ms = now_ms - task_since_ms
                        self.longest_ms[task] = max(
                            self.longest_ms[task], waited_ms
                        )
