"""Chooses serving runs that give their place to tasks that wait for long.

Where serving tasks ask for more than short jobs leave them, some always wait.
Without rotation these are always the same, until they take the processors that
the short jobs use. A run that has been at work for long is stopped instead, and
its task waits for a while in turn.
"""

import collections
import dataclasses

from galenahook import commands
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import workers as workers_lib

# How long a serving task waits behind short jobs before it takes the place of
# another one.
ROTATE_AFTER_MS = 4_000
# Least time for which a run has been at work before it is stopped.
MIN_WORK_MS = 6_000
# Time after which a run of an earlier term that is still listed counts as at
# work. The leader before may have ordered its stop just before the election.
MAX_STOP_MS = 1_000
# Rotation makes at most one of so many tasks of a step unavailable, but always
# one, if the step permits any number. For overdue tasks it makes more of them
# unavailable where no other run can be spared.
TASKS_PER_UNAVAILABLE = 3
# Unreserved processors that a replacement may leave on a worker if that keeps
# tasks of one image together.
MAX_LEFT_CPU_MILLIS = 2_000


@dataclasses.dataclass(slots=True, frozen=True)
class Replacement:
    """A run whose worker has room for another task once it has ended.

    Attributes:
      candidate: Free capacity of its worker.
      run: The run.
      is_last_choice: Whether so many tasks of its step are unavailable already
        that it is spared for overdue tasks only.
    """

    candidate: free_capacity_lib.FreeCapacity
    run: workers_lib.LiveRun
    is_last_choice: bool


class Rotation:
    """Serving runs that may be stopped during one round."""

    __slots__ = ("_candidates", "_chosen", "_now_ms", "_spared")

    def __init__(
        self,
        candidates: list[free_capacity_lib.FreeCapacity],
        now_ms: int,
    ) -> None:
        self._candidates = candidates
        self._now_ms = now_ms
        # Runs that may be stopped; None until first needed.
        self._spared: list[Replacement] | None = None
        self._chosen: set[workers_lib.StepId] = set()

    def spare_on(
        self, candidate: free_capacity_lib.FreeCapacity, cpu_millis: float
    ) -> list[workers_lib.LiveRun]:
        """Returns runs of a worker to stop for some of its processors.

        At most one of a step; fewer if others may not be stopped. None of them
        is chosen for another task afterwards.
        """
        runs = []
        for item in self._spared_runs():
            if cpu_millis <= 0:
                break
            if (
                item.candidate is candidate
                and not item.is_last_choice
                and item.run.step_id not in self._chosen
            ):
                self._chosen.add(item.run.step_id)
                runs.append(item.run)
                cpu_millis -= item.run.step.cpu_millis
        return runs

    def choose(
        self,
        description: commands.JobDescription,
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
        is_overdue: bool = False,
    ) -> Replacement | None:
        """Returns the run to stop for a task of a step, or None.

        The run is not more urgent and needs no hardware that the task does not.

        Of the runs that have been at work for long, prefers those whose step
        misses few tasks, then those that leave few unreserved processors, then
        those of the same image, then the one that leaves the fewest, then the
        oldest.

        Args:
          description: Job of the task.
          step: Step of the task.
          step_id: Its job, occurrence and number.
          is_overdue: Whether the task is overdue, so that steps that miss many
            tasks spare one more.
        """
        best: tuple[tuple[int, ...], Replacement] | None = None
        for item in self._spared_runs():
            if item.is_last_choice and not is_overdue:
                continue
            candidate, run = item.candidate, item.run
            left = candidate.cpu_millis + run.step.cpu_millis
            left -= step.cpu_millis
            rank = (
                int(item.is_last_choice),
                int(left > MAX_LEFT_CPU_MILLIS),
                int(run.step.image != step.image),
                left,
                -_worked_ms(run, self._now_ms),
            )
            if best is not None and rank >= best[0]:
                continue
            if (
                _makes_room(candidate, run, step)
                and run.step_id != step_id
                and run.step_id not in self._chosen
                and run.job.description.priority >= description.priority
                and candidate.reserved_for is None
                and candidate.is_allowed(description.service, step, step_id)
            ):
                best = rank, item
        if best is None:
            return None
        self._chosen.add(best[1].run.step_id)
        return best[1]

    def _spared_runs(self) -> list[Replacement]:
        """Returns the runs that have worked for long and can be spared."""
        if self._spared is not None:
            return self._spared
        at_work = [
            (candidate, run)
            for candidate in self._candidates
            for run in candidate.worker.runs.values()
            if _is_at_work(run, self._now_ms)
        ]
        counts = collections.Counter(run.step_id for _, run in at_work)
        self._spared = []
        for candidate, run in at_work:
            if _worked_ms(run, self._now_ms) < MIN_WORK_MS:
                continue
            missing = run.step.tasks - counts[run.step_id]
            if missing < _max_missing(run.step):
                is_last_choice = missing >= _usual_missing(run.step)
                self._spared.append(Replacement(candidate, run, is_last_choice))
        return self._spared


def _usual_missing(step: commands.StepDescription) -> int:
    """Returns how many tasks of a step rotation makes unavailable as a rule."""
    if step.max_unavailable >= 0:
        return step.max_unavailable
    return max(1, step.tasks // TASKS_PER_UNAVAILABLE)


def _max_missing(step: commands.StepDescription) -> int:
    """Returns how many tasks of a step rotation makes unavailable at most.

    One stays at work where the step permits any number and has several tasks.
    """
    if step.max_unavailable >= 0:
        return step.max_unavailable
    return max(1, step.tasks - 1)


def _is_at_work(run: workers_lib.LiveRun, now_ms: int) -> bool:
    if run.earlier_ms and now_ms - run.seen_ms < MAX_STOP_MS:
        return False
    return (
        run.step.serves
        and run.seen
        and not run.stopping
        and run.progress_percent >= 100
    )


def _worked_ms(run: workers_lib.LiveRun, now_ms: int) -> int:
    """Returns for how long a run has been at work, also in earlier terms."""
    return now_ms - (run.seen_ms or run.ordered_ms) + run.earlier_ms


def _makes_room(
    candidate: free_capacity_lib.FreeCapacity,
    run: workers_lib.LiveRun,
    step: commands.StepDescription,
) -> bool:
    """Returns whether a task fits once a serving run has ended."""
    return (
        step.cpu_millis <= candidate.cpu_millis + run.step.cpu_millis
        and step.memory_mb <= candidate.memory_mb + run.step.memory_mb
        and run.step.gpus <= step.gpus <= candidate.gpus + run.step.gpus
        and run.step.required_label in ("", step.required_label)
    )
