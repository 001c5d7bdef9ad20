"""Replicated records of jobs and of the runs of their tasks."""

import enum

from galenahook import commands
from galenahook import messages

TaskKey = tuple[int, int, int]
StepKey = tuple[int, int]


class Outcome(enum.Enum):
    """How a job ended; `NONE` before its end."""

    NONE = ""
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobRecord(messages.Message, frozen=True, kw_only=True, tag="job"):
    """A stored job.

    Attributes:
      description: What was submitted.
      submitted_ms: Wall time at which it was stored.
      outcome: How it ended.
      ended_ms: Wall time of its end; 0 before.
    """

    description: commands.JobDescription
    submitted_ms: int
    outcome: Outcome = Outcome.NONE
    ended_ms: int = 0


class RunRecord(messages.Message, frozen=True, kw_only=True, tag="run"):
    """The latest run of a task; a task without one has never been started.

    Attributes:
      task: Task identifier.
      run: Number of the run, from 1.
      worker: Worker that was ordered to run it.
      born_ms: Incarnation of that worker.
      active: Whether it may be running.
      done: Whether the task is done.
      failures: Runs that failed.
      checkpoint: Checkpoint from which the next run resumes; empty for none.
      last_worker: Worker of the last run that failed; empty if none did.
      machine: VM of the worker; empty if not known.
      suspicion: Sum of the blame for crashes of workers under the task.
      ended_ms: Wall time at which its end was committed; 0 before.
      started_ms: Wall time at which its start was committed; 0 if not known.
      confirmed: Whether the worker has confirmed its start, or listed it.
      pinned_to: Worker that may still carry out the start of this run or of an
        earlier one; until it no longer can, a serving task may run on no other
        one, and any other task waits. Empty for none.
      pending_starts: Number of runs whose start it may still carry out.
    """

    task: str
    run: int
    worker: str
    born_ms: int
    machine: str = ""
    active: bool = True
    done: bool = False
    failures: int = 0
    checkpoint: str = ""
    last_worker: str = ""
    suspicion: int = 0
    ended_ms: int = 0
    started_ms: int = 0
    confirmed: bool = False
    pinned_to: str = ""
    pending_starts: int = 0


class CancellationRecord(
    messages.Message, frozen=True, kw_only=True, tag="cancellation"
):
    """The cancellation of a job that is not stored.

    Attributes:
      job: Identifier of the job.
      at_ms: Wall time of the cancellation.
    """

    job: str
    at_ms: int


SnapshotRecord = JobRecord | RunRecord | CancellationRecord


def task_name(job: str, key: TaskKey) -> str:
    """Returns the identifier of a task: job, occurrence, step and index."""
    return f"{job}.{key[0]}.{key[1]}.{key[2]}"


def parse_task_name(name: str) -> tuple[str, TaskKey]:
    """Splits the identifier of a task.

    Raises:
      ValueError: It is malformed.
    """
    job, occurrence, step, index = name.split(".")
    return job, (int(occurrence), int(step), int(index))


def is_suspect(job: "Job", key: TaskKey) -> bool:
    """Returns whether runs of a task may have crashed their workers."""
    run = job.runs.get(key)
    return run is not None and run.suspicion > 0


class Job:
    """A job with the state that is derived from its records.

    Attributes:
      record: Its record.
      runs: Latest run of each task that was ever started.
      done: Number of tasks done, by occurrence and step.
      waiting: Tasks whose step is ready and that have no active run.
      active: Tasks that may be running.
      began: Whether any task was ever started, as far as is known: not if each
        start was pending when its run ended.
      failed_runs: Largest number of failed runs of one task, by occurrence and
        step.
      pinned_ms: Monotonic time of this replica at which it applied the end that
        pinned a task to its worker. Not replicated, and not known of tasks that
        were restored from a snapshot.
    """

    __slots__ = (
        "active",
        "began",
        "pinned_ms",
        "done",
        "failed_runs",
        "record",
        "runs",
        "waiting",
    )

    def __init__(self, record: JobRecord) -> None:
        self.record = record
        self.runs: dict[TaskKey, RunRecord] = {}
        self.done: dict[StepKey, int] = {}
        self.waiting: set[TaskKey] = set()
        self.active: set[TaskKey] = set()
        self.began = False
        self.failed_runs: dict[StepKey, int] = {}
        self.pinned_ms: dict[TaskKey, int] = {}
        self.refresh_waiting()

    @property
    def description(self) -> commands.JobDescription:
        """What was submitted."""
        return self.record.description

    @property
    def ended(self) -> bool:
        """Returns whether the job has an outcome."""
        return self.record.outcome is not Outcome.NONE

    def step(self, key: TaskKey) -> commands.StepDescription:
        """Returns the step of a task."""
        return self.record.description.steps[key[1]]

    def state(self) -> str:
        """Returns the state that callers are shown."""
        if self.ended:
            return self.record.outcome.value
        return "running" if self.began else "queued"

    def note_failed_runs(self, key: TaskKey, failures: int) -> None:
        """Records how many runs of a task have failed."""
        if failures > self.failed_runs.get(key[:2], 0):
            self.failed_runs[key[:2]] = failures

    def is_due(self, key: TaskKey, now_wall_ms: int) -> bool:
        """Returns whether the occurrence of a task may begin."""
        description = self.description
        if not description.first_start_ms:
            return True
        due_ms = description.first_start_ms + key[0] * description.interval_ms
        return now_wall_ms >= due_ms

    def waiting_since_ms(self, key: TaskKey) -> int:
        """Returns the wall time since which a waiting task could have run.

        The latest of the end of its last run, of the last run that its step
        depends on, of the time its occurrence was due, and of the submission.
        """
        description = self.description
        occurrence, number, _ = key
        times = [self.record.submitted_ms]
        if description.first_start_ms:
            delay_ms = occurrence * description.interval_ms
            times.append(description.first_start_ms + delay_ms)
        if key in self.runs:
            times.append(self.runs[key].ended_ms)
        before = description.steps[number].after
        if before:
            times += [
                run.ended_ms
                for other, run in self.runs.items()
                if other[0] == occurrence and other[1] in before
            ]
        return max(times)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Returns whether every task of a step is done."""
        total = self.description.steps[step].tasks
        return self.done.get((occurrence, step), 0) >= total

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Returns whether every step that it depends on is done."""
        return all(
            self.is_step_done(occurrence, before)
            for before in self.description.steps[step].after
        )

    def is_done(self) -> bool:
        """Returns whether every task of every occurrence is done."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.description.occurrences)
            for step in range(len(self.description.steps))
        )

    def refresh_waiting(self) -> None:
        """Recomputes the waiting tasks; called after a step is done."""
        self.waiting.clear()
        if self.ended:
            return
        for occurrence in range(self.description.occurrences):
            for number, step in enumerate(self.description.steps):
                if not self.is_step_ready(occurrence, number):
                    continue
                for index in range(step.tasks):
                    key = (occurrence, number, index)
                    run = self.runs.get(key)
                    if run is None or not (run.active or run.done):
                        self.waiting.add(key)
