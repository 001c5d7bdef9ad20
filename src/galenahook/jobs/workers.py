"""Workers of the current term: incarnations, leases, room and runs."""

import dataclasses

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook.jobs import calls
from galenahook.jobs import tasks as tasks_lib

# The slowest that a worker's steady clock may run, as the platform states it.
SLOWEST_CLOCK = 0.98
# Time without an answer after which nothing new starts on a worker.
SUSPECT_MS = 1_500
# Measured tails are means of this time.
MEASURED_MS = 500

StepId = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class LiveRun:
    """A run that may be running on a worker.

    Attributes:
      task: Task identifier.
      run: Number of the run.
      job: Its job.
      key: Its place in the job.
      step: Its step.
      ordered_ms: When the start was ordered in this term; 0 for a run of an
        earlier term.
      confirmed_ms: When the worker answered that it runs; 0 before.
      seen: Whether the worker has listed it as running.
      refused_after_ms: When a stop was answered, after which the run can't
        start; 0 before.
      stopping: Whether a stop was ordered.
      stop_reason: Why it was stopped.
      checkpoint: Latest checkpoint heard of.
      percent: Progress heard of.
      measure: Latest tail or use of processors.
      throttle: Share in percent that it may work at.
      slowed_ms: When it was last throttled below half its speed.
      over_since_ms: Since when its tail has been over the target; 0 if not.
    """

    task: str
    run: int
    job: tasks_lib.Job
    key: tasks_lib.TaskKey
    step: commands.StepDescription
    ordered_ms: int = 0
    confirmed_ms: int = 0
    seen: bool = False
    refused_after_ms: int = 0
    stopping: bool = False
    stop_reason: str = ""
    checkpoint: str = ""
    percent: float = 0.0
    measure: float | None = None
    throttle: int = 100
    slowed_ms: int = 0
    over_since_ms: int = 0

    @property
    def step_id(self) -> StepId:
        """Its step: job, occurrence and number of the step."""
        return self.job.description.job, self.key[0], self.key[1]


class Worker:
    """One incarnation of a worker.

    Attributes:
      heartbeat: Its latest heartbeat.
      runs: Runs that may be on it, by task.
      heard_ms: When it last answered a look; 0 before.
      clock_ms: Its clock at `clock_at_ms`, a lower bound.
      clock_at_ms: When that clock was received.
      lease_until_ms: Latest end of a lease that was sent to it.
      acknowledged: Number of the last end that is committed.
      seen_end: Number of the last end taken from its list.
      left_ms: When it said that it ends; 0 before.
      bad_until_ms: Until when nothing new starts there.
      failures: Starts or runs in a row that failed.
      looked: Whether it has answered a look in this term.
      ended_beside: Work on idle processors that has just ended: when, image
        and processors used.
    """

    __slots__ = (
        "acknowledged",
        "bad_until_ms",
        "clock_at_ms",
        "clock_ms",
        "ended_beside",
        "failures",
        "heard_ms",
        "heartbeat",
        "lease_until_ms",
        "left_ms",
        "looked",
        "runs",
        "seen_end",
    )

    def __init__(self, heartbeat: calls.WorkerHeartbeat, now_ms: int) -> None:
        self.heartbeat = heartbeat
        self.runs: dict[str, LiveRun] = {}
        self.heard_ms = 0
        self.clock_ms = heartbeat.clock_ms
        self.clock_at_ms = now_ms
        self.lease_until_ms = 0
        self.acknowledged = 0
        self.seen_end = 0
        self.left_ms = 0
        self.bad_until_ms = 0
        self.failures = 0
        self.looked = False
        self.ended_beside: list[tuple[int, str, float]] = []

    @property
    def name(self) -> str:
        """Identifier of the worker."""
        return self.heartbeat.worker

    @property
    def rack(self) -> str:
        """Rack of the worker, the last of its labels."""
        return self.heartbeat.labels[-1] if self.heartbeat.labels else ""

    def note_clock(self, clock_ms: int, now_ms: int) -> None:
        """Takes a reading of the worker's clock, a lower bound from now on."""
        if clock_ms >= self.least_clock_ms(now_ms):
            self.clock_ms = clock_ms
            self.clock_at_ms = now_ms

    def least_clock_ms(self, now_ms: int) -> float:
        """Returns the least that the worker's clock shows by now."""
        return self.clock_ms + (now_ms - self.clock_at_ms) * SLOWEST_CLOCK

    def next_lease_ms(self, now_ms: int, length_ms: int) -> int:
        """Returns the end of a lease to send now, on the worker's clock."""
        end_ms = int(self.least_clock_ms(now_ms)) + length_ms
        self.lease_until_ms = max(self.lease_until_ms, end_ms)
        return end_ms

    def is_lease_over(self, now_ms: int) -> bool:
        """Whether every lease sent to it has ended on its own clock."""
        return self.least_clock_ms(now_ms) > self.lease_until_ms

    def take_off(self, run: LiveRun, now_ms: int) -> None:
        """Takes a run that has ended off the worker."""
        if self.runs.pop(run.task, None) and run.step.uses_idle_cpu:
            ended = (now_ms, run.step.image, run.measure or 0.0)
            self.ended_beside.append(ended)

    def ended_shares(self, now_ms: int) -> dict[str, float]:
        """Returns the share that work which ended takes of measured tails."""
        self.ended_beside = [
            ended
            for ended in self.ended_beside
            if now_ms - ended[0] < MEASURED_MS
        ]
        shares: dict[str, float] = {}
        for ended_ms, image, used in self.ended_beside:
            part = 1 - (now_ms - ended_ms) / MEASURED_MS
            share = part * used / self.heartbeat.cpu_millis
            shares[image] = shares.get(image, 0.0) + share
        return shares

    def is_usable(self, now_ms: int) -> bool:
        """Whether new runs may start there."""
        return (
            self.looked
            and not self.heartbeat.draining
            and not self.left_ms
            and now_ms - self.heard_ms < SUSPECT_MS
            and now_ms >= self.bad_until_ms
        )


class WorkerPool:
    """The workers that this leader has heard of.

    Attributes:
      workers: Current incarnation of each worker by identifier.
    """

    __slots__ = ("_clock", "workers")

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self.workers: dict[str, Worker] = {}

    def hear(
        self, heartbeat: calls.WorkerHeartbeat
    ) -> tuple[Worker | None, list[Worker]]:
        """Takes a heartbeat.

        Returns:
          The worker if its incarnation is new, and the incarnations that this
          one proves to have ended.
        """
        now_ms = self._clock.monotonic_ms()
        known = self.workers.get(heartbeat.worker)
        if known is not None and known.heartbeat.born_ms == heartbeat.born_ms:
            if heartbeat.sequence > known.heartbeat.sequence:
                known.heartbeat = heartbeat
                known.note_clock(heartbeat.clock_ms, now_ms)
            return None, []
        if known is not None and known.heartbeat.born_ms > heartbeat.born_ms:
            return None, []
        if self._is_outdated(heartbeat):
            return None, []
        ended = [
            worker
            for worker in self.workers.values()
            if worker.heartbeat.worker == heartbeat.worker
            or _replaces(heartbeat, worker.heartbeat)
        ]
        worker = Worker(heartbeat, now_ms)
        self.workers[heartbeat.worker] = worker
        return worker, ended

    def _is_outdated(self, heartbeat: calls.WorkerHeartbeat) -> bool:
        """Whether a later life of the same VM is known already."""
        return any(
            _replaces(worker.heartbeat, heartbeat)
            for worker in self.workers.values()
            if worker.heartbeat.worker != heartbeat.worker
        )

    def remove(self, worker: Worker) -> None:
        """Forgets an incarnation that has ended."""
        if self.workers.get(worker.name) is worker:
            del self.workers[worker.name]


def _replaces(
    newer: calls.WorkerHeartbeat, older: calls.WorkerHeartbeat
) -> bool:
    """Whether one life of a VM came after another of the same VM."""
    return bool(
        newer.machine
        and newer.machine == older.machine
        and newer.born_ms > older.born_ms
    )
