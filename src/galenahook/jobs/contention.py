"""Logs which queue gets processors that tasks of other queues wait for."""

import collections
import dataclasses

from galenahook import commands
from galenahook import logs
from galenahook.jobs import placement
from galenahook.jobs import round_input
from galenahook.jobs import workers as workers_lib

# Queues with most waiting tasks that one line includes.
MAX_QUEUES = 8
# Time after which a release of processors is forgotten.
RELEASE_RETENTION_MS = 60_000


@dataclasses.dataclass(slots=True, frozen=True)
class _Release:
    """The latest release of reserved processors on a worker."""

    queue: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class _WaitingStep:
    """Tasks of one step that wait for processors."""

    queue: str
    cpu_millis: int
    tasks: int
    since_ms: int


class ContentionLog:
    """Logs starts on processors that tasks of other queues wait for.

    At most one line is logged for each start.
    """

    __slots__ = ("_releases", "_since_ms")

    def __init__(self) -> None:
        # By worker.
        self._releases: dict[str, _Release] = {}
        # Since when tasks of a step have been found waiting.
        self._since_ms: dict[workers_lib.StepId, int] = {}

    def note_end(
        self, worker: workers_lib.Worker, run: workers_lib.LiveRun, now_ms: int
    ) -> None:
        """Records that a run no longer reserves processors."""
        if run.step.uses_idle_cpu:
            return
        self._releases = {
            name: release
            for name, release in self._releases.items()
            if now_ms - release.at_ms < RELEASE_RETENTION_MS
        }
        self._releases[worker.name] = _Release(
            run.job.description.queue, now_ms
        )

    def log(
        self, inputs: round_input.RoundInput, placed: placement.Placements
    ) -> None:
        """Logs the committed starts of a round that others wait for."""
        placed = [item for item in placed if not item[1].step.uses_idle_cpu]
        waiting = self._waiting_steps(inputs)
        if not waiting or not placed:
            return
        free = {
            worker.name: _unreserved_cpu_millis(worker) for worker, _ in placed
        }
        for worker, run in reversed(placed):
            free[worker.name] += run.step.cpu_millis
            self._log_start(
                inputs.now_ms, worker, run, free[worker.name], waiting
            )

    def _waiting_steps(
        self, inputs: round_input.RoundInput
    ) -> list[_WaitingStep]:
        """Returns the steps with tasks that wait for processors."""
        since_ms: dict[workers_lib.StepId, int] = {}
        steps = []
        for job in inputs.open_jobs.values():
            identifier = job.description.job
            counts = collections.Counter(
                key[:2]
                for key in job.waiting
                if not job.step(key).uses_idle_cpu
            )
            for step_key, count in counts.items():
                step = job.description.steps[step_key[1]]
                step_id = (identifier, *step_key)
                since_ms[step_id] = self._since_ms.get(step_id, inputs.now_ms)
                steps.append(
                    _WaitingStep(
                        job.description.queue,
                        step.cpu_millis,
                        count,
                        since_ms[step_id],
                    )
                )
        self._since_ms = since_ms
        return steps

    def _log_start(
        self,
        now_ms: int,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        free_cpu_millis: int,
        waiting: list[_WaitingStep],
    ) -> None:
        """Logs a start if a task of another queue fits the same processors."""
        queue = run.job.description.queue
        tasks: collections.Counter[str] = collections.Counter()
        waited_ms: dict[str, int] = {}
        for item in waiting:
            if item.queue != queue and item.cpu_millis <= free_cpu_millis:
                tasks[item.queue] += item.tasks
                waited_ms[item.queue] = max(
                    waited_ms.get(item.queue, 0), now_ms - item.since_ms
                )
        if not tasks:
            return
        release = self._releases.get(worker.name)
        logs.info(
            "capacity:contested",
            job=run.job.description.job,
            queue=queue,
            task=run.task,
            worker=worker.name,
            cpu_millis=run.step.cpu_millis,
            free_cpu_millis=free_cpu_millis,
            released_by=release.queue if release else "",
            released_ms_ago=now_ms - release.at_ms if release else 0,
            waiting={
                name: {"tasks": count, "waited_ms": waited_ms[name]}
                for name, count in tasks.most_common(MAX_QUEUES)
            },
        )


def _unreserved_cpu_millis(worker: workers_lib.Worker) -> int:
    """Returns the processors of a worker that none of its runs reserves."""
    return worker.heartbeat.cpu_millis - reserved_cpu_millis(
        [run.step for run in worker.runs.values()]
    )


def reserved_cpu_millis(steps: list[commands.StepDescription]) -> int:
    """Returns the processors that one task of each step reserves in sum."""
    return sum(step.cpu_millis for step in steps if not step.uses_idle_cpu)
