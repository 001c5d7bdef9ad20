"""Serving tasks that have waited for long although others go before them.

Short jobs may use every piece of processors again as soon as it is free, so
that a serving task that has lost its own would never get another one. One that
has waited for long therefore goes before them, as do all others: at a limited
rate, the waits would grow as soon as more tasks wait.
"""

from collections.abc import Collection

from galenahook.jobs import ordering
from galenahook.jobs import tasks as tasks_lib

# Time after which a waiting serving task is overdue. One that has not run for
# 6 s counts as lost once it has had room for 3 s more.
OVERDUE_AFTER_MS = 6_000

# Overdue tasks of one step and their job.
OverdueStep = tuple[tasks_lib.Job, list[tasks_lib.TaskKey]]


class OverdueTasks:
    """Tracks how long serving tasks wait."""

    __slots__ = ("_since_ms",)

    def __init__(self) -> None:
        # Since when a task has been found waiting, by job and task.
        self._since_ms: dict[tuple[str, tasks_lib.TaskKey], int] = {}

    def since_ms(self, job: tasks_lib.Job, key: tasks_lib.TaskKey) -> int:
        """Returns since when a waiting task of this round has waited."""
        return self._since_ms[job.description.job, key]

    def due(
        self,
        waiting: Collection[tasks_lib.Job],
        now_ms: int,
        now_wall_ms: int,
    ) -> list[OverdueStep]:
        """Returns the overdue tasks by step, longest wait first.

        A step counts as waiting for as long as the first of its tasks. The wait
        of a task that was not waiting before is that of its replicated record,
        so that a new leader does not count it anew.

        Args:
          waiting: Jobs with waiting tasks.
          now_ms: Monotonic time.
          now_wall_ms: Wall time.
        """
        since_ms = {}
        for job in filter(ordering.serves, waiting):
            for key in job.waiting:
                if not job.step(key).serves or not job.is_due(key, now_wall_ms):
                    continue
                task = job.description.job, key
                if task in self._since_ms:
                    since_ms[task] = self._since_ms[task]
                else:
                    waited_ms = now_wall_ms - job.waiting_since_ms(key)
                    since_ms[task] = now_ms - max(0, waited_ms)
        self._since_ms = since_ms
        jobs = {job.description.job: job for job in waiting}
        overdue: dict[tuple[str, tasks_lib.StepKey], OverdueStep] = {}
        for task, task_since_ms in sorted(
            since_ms.items(), key=lambda item: (item[1], item[0])
        ):
            if now_ms - task_since_ms >= OVERDUE_AFTER_MS:
                identifier, key = task
                step = overdue.setdefault(
                    (identifier, key[:2]), (jobs[identifier], [])
                )
                step[1].append(key)
        return list(overdue.values())
