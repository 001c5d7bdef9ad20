"""Reserves workers for tasks that fit no worker.

Without a reservation, smaller tasks take each piece of capacity that becomes
free, and a large task may wait forever. A serving task gets a worker within a
second, and batch runs there are stopped for it. A step of a short job gets one
once the batch runs there have ended by themselves, the one that has waited
longest first, and so does another job that has nothing running, which counts as
overtaken.
The reservations of a term end with it; the next leader makes its own.
"""

import dataclasses

from galenahook import commands
from galenahook import logs
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import last_resort
from galenahook.jobs import pending_starts
from galenahook.jobs import rotation
from galenahook.jobs import round_input
from galenahook.jobs import shortages
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

# How long a step must have fit no worker before one is reserved for it.
RESERVATION_DELAY_MS = 300
# Time after which a step for which no worker could be reserved is tried again.
RESERVATION_RETRY_MS = 300
# Time after which a step that is no longer found to fit no worker counts as
# not waiting.
WAIT_RETENTION_MS = 500
# Least time between two searches for a worker to reserve. One for a serving
# step that finds none is cheap and delays no other, or steps that fit nowhere
# would take the turns of those that fit.
SEARCH_PERIOD_MS = 50
# At most one of so many usable workers is reserved, but always one.
WORKERS_PER_RESERVATION = 8
MAX_RESERVATIONS = 32
# How long a worker is reserved before batch runs that have not ended by
# themselves are stopped.
PREEMPTION_DELAY_MS = 1_000
# How long a job with nothing running must have fit no worker before it counts
# as overtaken.
OVERTAKEN_AFTER_MS = 2_000
# The same for a job for which a worker was reserved lately: its next task waits
# for other batch runs again, and nothing of the job may run for 3 s at most.
OVERTAKEN_AGAIN_AFTER_MS = 300
OVERTAKEN_LATELY_MS = 60_000
# How long a worker stays reserved while a run that is stopped for another task
# has not ended.
REPLACEMENT_HOLD_MS = 3_000
# How long a step of a short job must have fit no worker before one is reserved
# for it.
SHORT_DELAY_MS = 100
# At most one of so many usable workers is reserved for overtaken jobs, but
# always one.
WORKERS_PER_OVERTAKEN_JOB = 128
# The same for short jobs.
WORKERS_PER_SHORT_JOB = 16
# A worker reserved for one is released after the time in which its batch runs
# were expected to end, times the factor, and this time, as its serving tasks
# may no longer tolerate the task.
OVERTAKEN_HOLD_MS = 1_000
OVERTAKEN_HOLD_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class Reservation:
    """A worker on which nothing but the tasks of one step may start.

    Attributes:
      candidate: Free capacity of the worker in this round.
      step: The step.
      step_id: Its job, occurrence and number.
      reserved_ms: When the reservation was made.
      until_ms: When it ends for a task that does not serve.
      replaced: Serving run that is stopped for the task; None for none.
      is_short: Whether it was made for a short job.
    """

    candidate: free_capacity_lib.FreeCapacity
    step: commands.StepDescription
    step_id: workers_lib.StepId
    reserved_ms: int
    until_ms: float
    replaced: workers_lib.LiveRun | None = None
    is_short: bool = False

    @property
    def worker(self) -> workers_lib.Worker:
        """The reserved worker."""
        return self.candidate.worker

    def is_over(self, now_ms: int) -> bool:
        """Returns whether the worker has been reserved for too long."""
        if now_ms <= self.until_ms:
            return False
        return not self.step.serves or self.is_replaced_run_left()

    def is_replaced_run_left(self) -> bool:
        """Returns whether the run to stop for the task has not ended yet."""
        run = self.replaced
        return run is not None and run.task in self.worker.runs


@dataclasses.dataclass(slots=True)
class _Wait:
    """A step that fits no worker.

    Attributes:
      since_ms: When it was first found so.
      seen_ms: When it was last found so.
      search_ms: When the next search for a worker is due.
    """

    since_ms: int
    seen_ms: int
    search_ms: int


class Reservations:
    """Workers reserved for steps that fit no worker.

    Attributes:
      last_resort: Decides on starts that serving tasks tolerate nowhere.
    """

    __slots__ = (
        "_by_worker",
        "_cleared",
        "_overtaken",
        "_overtaken_ms",
        "_searched_ms",
        "_short",
        "_waits",
        "last_resort",
    )

    def __init__(self) -> None:
        self._by_worker: dict[str, Reservation] = {}
        self._waits: dict[workers_lib.StepId, _Wait] = {}
        # Overtaken steps of this round, with their jobs.
        self._overtaken: dict[workers_lib.StepId, tasks_lib.Job] = {}
        # Those of them that are steps of short jobs.
        self._short: set[workers_lib.StepId] = set()
        # Serving runs to stop for short jobs.
        self._cleared: list[tuple[workers_lib.Worker, workers_lib.LiveRun]] = []
        # When a worker was last reserved for an overtaken job.
        self._overtaken_ms: dict[str, int] = {}
        self._searched_ms = -SEARCH_PERIOD_MS
        self.last_resort = last_resort.LastResort()

    def clear(self, now_ms: int) -> None:
        """Releases every worker, as no task is waiting."""
        for reservation in list(self._by_worker.values()):
            self._release(reservation, "not needed", now_ms)
        self._waits.clear()
        self._cleared.clear()

    def begin_round(
        self,
        inputs: round_input.RoundInput,
        candidates: list[free_capacity_lib.FreeCapacity],
    ) -> None:
        """Releases workers that are unusable or no longer needed.

        Marks the candidates that stay reserved for serving tasks.
        """
        now_ms = inputs.now_ms
        # A round that places many tasks does not reach every waiting job.
        self._waits = {
            step_id: wait
            for step_id, wait in self._waits.items()
            if now_ms - wait.seen_ms <= WAIT_RETENTION_MS
        }
        self._overtaken.clear()
        self._short.clear()
        self._cleared.clear()
        if not self._by_worker:
            return
        usable = {candidate.worker.name: candidate for candidate in candidates}
        needed = _waiting_counts(
            inputs, {item.step_id for item in self._by_worker.values()}
        )
        for name, reservation in list(self._by_worker.items()):
            candidate = usable.get(name)
            if needed[reservation.step_id] <= 0:
                self._release(reservation, "not needed", now_ms)
            elif candidate is None or not _may_host(candidate, reservation):
                self._release(reservation, "worker is unusable", now_ms)
            elif reservation.is_replaced_run_left() and not (
                reservation.replaced and reservation.replaced.stopping
            ):
                # Other tasks of its step may have become unavailable since.
                self._release(reservation, "stop was not ordered", now_ms)
            elif reservation.is_over(now_ms):
                self._release(reservation, "did not fit in time", now_ms)
            else:
                needed[reservation.step_id] -= 1
                reservation.candidate = candidate
                if reservation.step.serves:
                    candidate.reserved_for = reservation.step_id

    def hold_for_short_jobs(self) -> None:
        """Marks the workers reserved for tasks that do not serve.

        Overdue serving tasks, which are placed before, may use them.
        """
        for reservation in self._by_worker.values():
            if not reservation.step.serves:
                reservation.candidate.reserved_for = reservation.step_id

    def mark(self, candidates: list[free_capacity_lib.FreeCapacity]) -> None:
        """Marks the candidates that are reserved, for whatever step."""
        for candidate in candidates:
            reservation = self._by_worker.get(candidate.worker.name)
            if reservation is not None:
                candidate.reserved_for = reservation.step_id

    def candidates_of(
        self, step_id: workers_lib.StepId
    ) -> list[free_capacity_lib.FreeCapacity]:
        """Returns the workers that are reserved for a step."""
        return [
            reservation.candidate
            for reservation in self._by_worker.values()
            if reservation.step_id == step_id
        ]

    def _add(self, reservation: Reservation) -> None:
        """Adds a reservation; one for an overdue task ends an earlier one."""
        earlier = self._by_worker.get(reservation.worker.name)
        if earlier is not None:
            now_ms = reservation.reserved_ms
            self._release(earlier, "needed for an overdue task", now_ms)
        self._by_worker[reservation.worker.name] = reservation

    def note_placed(
        self, candidate: free_capacity_lib.FreeCapacity, now_ms: int
    ) -> None:
        """Releases a worker on which the task was placed."""
        candidate.reserved_for = None
        reservation = self._by_worker[candidate.worker.name]
        self._release(reservation, "placed", now_ms)

    def _release(
        self, reservation: Reservation, reason: str, now_ms: int
    ) -> None:
        del self._by_worker[reservation.worker.name]
        logs.info(
            "worker:released",
            worker=reservation.worker.name,
            job=reservation.step_id[0],
            step=reservation.step_id[2],
            held_ms=now_ms - reservation.reserved_ms,
            reason=reason,
        )

    def request(
        self,
        inputs: round_input.RoundInput,
        candidates: list[free_capacity_lib.FreeCapacity],
        job: tasks_lib.Job,
        step_id: workers_lib.StepId,
    ) -> None:
        """Reserves a worker for a serving step that has fit none for a time."""
        wait = self._note_wait(step_id, inputs.now_ms, RESERVATION_DELAY_MS)
        if self.may_reserve(len(candidates)):
            self._search(inputs, candidates, job, step_id, wait)

    def note_overtaken(
        self, now_ms: int, job: tasks_lib.Job, step_id: workers_lib.StepId
    ) -> int:
        """Records that a step fits no worker while its job runs nowhere.

        Returns:
          Since when it has been found so.
        """
        before_ms = self._overtaken_ms.get(step_id[0])
        if before_ms is None or now_ms - before_ms >= OVERTAKEN_LATELY_MS:
            delay_ms = OVERTAKEN_AFTER_MS
        else:
            delay_ms = OVERTAKEN_AGAIN_AFTER_MS
        wait = self._note_wait(step_id, now_ms, delay_ms)
        self._overtaken[step_id] = job
        return wait.since_ms

    def note_short(
        self, now_ms: int, job: tasks_lib.Job, step_id: workers_lib.StepId
    ) -> None:
        """Records that a step of a short job fits no worker."""
        self._note_wait(step_id, now_ms, SHORT_DELAY_MS)
        self._overtaken[step_id] = job
        self._short.add(step_id)

    def reserve_for_short_jobs(
        self,
        inputs: round_input.RoundInput,
        candidates: list[free_capacity_lib.FreeCapacity],
    ) -> None:
        """Reserves a worker for the step of these that has waited longest."""
        short = [
            item for item in self._by_worker.values() if not item.step.serves
        ]
        reserved_short = sum(item.is_short for item in short)
        reserved_overtaken = len(short) - reserved_short
        overtaken = max(1, len(candidates) // WORKERS_PER_OVERTAKEN_JOB)
        most_short = max(1, len(candidates) // WORKERS_PER_SHORT_JOB)
        due = [
            step_id
            for step_id in self._overtaken
            if self._waits[step_id].search_ms <= inputs.now_ms
            and (
                reserved_short < most_short
                if step_id in self._short
                else reserved_overtaken < overtaken
                and not self.candidates_of(step_id)
            )
        ]
        if due:
            step_id = min(due, key=lambda item: self._waits[item].since_ms)
            self._search(
                inputs,
                candidates,
                self._overtaken[step_id],
                step_id,
                self._waits[step_id],
            )

    def _note_wait(
        self, step_id: workers_lib.StepId, now_ms: int, delay_ms: int
    ) -> _Wait:
        """Records that a step fits no worker; returns since when."""
        wait = self._waits.get(step_id)
        if wait is None:
            wait = _Wait(now_ms, now_ms, now_ms + delay_ms)
            self._waits[step_id] = wait
        wait.seen_ms = now_ms
        return wait

    def _note_overtaken_job(self, job: str, now_ms: int) -> None:
        self._overtaken_ms = {
            other: at_ms
            for other, at_ms in self._overtaken_ms.items()
            if now_ms - at_ms < OVERTAKEN_LATELY_MS
        }
        self._overtaken_ms[job] = now_ms

    def _search(
        self,
        inputs: round_input.RoundInput,
        candidates: list[free_capacity_lib.FreeCapacity],
        job: tasks_lib.Job,
        step_id: workers_lib.StepId,
        wait: _Wait,
    ) -> None:
        """Reserves the worker that may host a step the soonest, if one may."""
        now_ms = inputs.now_ms
        if (
            now_ms < wait.search_ms
            or now_ms - self._searched_ms < SEARCH_PERIOD_MS
        ):
            return
        waiting = _waiting_counts(inputs, {step_id})[step_id]
        if len(self.candidates_of(step_id)) >= waiting:
            return
        step = job.description.steps[step_id[2]]
        model = inputs.tails.model
        found = shortages.soonest(
            inputs.run_times,
            [
                candidate
                for candidate in candidates
                if candidate.reserved_for is None
                and candidate.is_allowed(job.description.service, step, step_id)
                and candidate.fits_without_batch(step)
                and (
                    not step.uses_idle_cpu
                    or candidate.tolerates_without_batch(model, step)
                )
            ],
            step,
        )
        if found is not None or not step.serves:
            self._searched_ms = now_ms
        if found is None:
            wait.search_ms = now_ms + RESERVATION_RETRY_MS
            return
        expected_ms, candidate = found
        if not step.serves:
            self._note_overtaken_job(step_id[0], now_ms)
        hold_ms = OVERTAKEN_HOLD_FACTOR * expected_ms + OVERTAKEN_HOLD_MS
        candidate.reserved_for = step_id
        self._add(
            Reservation(
                candidate,
                step,
                step_id,
                now_ms,
                now_ms + hold_ms,
                is_short=step_id in self._short,
            )
        )
        logs.info(
            "worker:reserved",
            worker=candidate.worker.name,
            job=step_id[0],
            step=step_id[2],
            serves=step.serves,
            cpu_millis=step.cpu_millis,
            memory_mb=step.memory_mb,
            waited_ms=now_ms - wait.since_ms,
            expected_ms=round(expected_ms),
        )

    def replace(
        self,
        replacement: rotation.Replacement,
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
        waited_ms: int,
        now_ms: int,
    ) -> None:
        """Reserves a worker on which a serving run is stopped for a task.

        Args:
          replacement: The run and its worker.
          step: Step of the task.
          step_id: Its job, occurrence and number.
          waited_ms: How long the task has waited.
          now_ms: When the round began.
        """
        candidate = replacement.candidate
        candidate.reserved_for = step_id
        self._add(
            Reservation(
                candidate,
                step,
                step_id,
                now_ms,
                now_ms + REPLACEMENT_HOLD_MS,
                replacement.run,
            )
        )
        logs.info(
            "worker:reserved",
            worker=candidate.worker.name,
            job=step_id[0],
            step=step_id[2],
            serves=step.serves,
            cpu_millis=step.cpu_millis,
            memory_mb=step.memory_mb,
            waited_ms=waited_ms,
            expected_ms=0,
            replaced=replacement.run.task,
        )

    def clear_for_short_jobs(
        self, runs: list[tuple[workers_lib.Worker, workers_lib.LiveRun]]
    ) -> None:
        """Sets the serving runs to stop on workers kept for short jobs."""
        self._cleared = runs

    def may_reserve(self, candidates: int) -> bool:
        """Returns whether one more worker may be reserved for serving steps."""
        limit = min(candidates // WORKERS_PER_RESERVATION, MAX_RESERVATIONS)
        reserved = sum(item.step.serves for item in self._by_worker.values())
        return reserved < max(1, limit)

    def runs_to_preempt(
        self, now_ms: int
    ) -> list[tuple[workers_lib.Worker, workers_lib.LiveRun, str]]:
        """Returns runs to stop, each with its worker and the reason.

        Batch runs on workers reserved for long, serving runs that give their
        place to another task, and those on workers kept for short jobs.
        """
        cleared = [
            (worker, run, "makes room for short jobs")
            for worker, run in self._cleared
            if not run.stopping
        ]
        replaced = [
            (item.worker, item.replaced, _reason(item))
            for item in self._by_worker.values()
            if item.replaced is not None and not item.replaced.stopping
        ]
        return (
            cleared
            + replaced
            + [
                (reservation.worker, run, _reason(reservation))
                for reservation in self._by_worker.values()
                if reservation.step.serves
                and reservation.replaced is None
                and now_ms - reservation.reserved_ms >= PREEMPTION_DELAY_MS
                for run in shortages.runs_to_stop(
                    reservation.worker, reservation.step
                )
            ]
        )


def _reason(reservation: Reservation) -> str:
    return f"makes room for a serving task of job {reservation.step_id[0]}"


def _waiting_counts(
    inputs: round_input.RoundInput, step_ids: set[workers_lib.StepId]
) -> dict[workers_lib.StepId, int]:
    """Returns how many tasks of each of some steps a reserved worker may run.

    Those that may run on no worker, or on only one, use no reservation.
    """
    counts = {}
    for step_id in step_ids:
        job = inputs.open_jobs.get(step_id[0])
        counts[step_id] = 0
        if job is not None:
            counts[step_id] = sum(
                key[:2] == step_id[1:]
                and pending_starts.pinned_worker(inputs, job, key) is None
                for key in job.waiting
            )
    return counts


def _may_host(
    candidate: free_capacity_lib.FreeCapacity, reservation: Reservation
) -> bool:
    """Returns whether a reserved worker is the same and still large enough."""
    if candidate.worker is not reservation.worker:
        return False
    return reservation.is_replaced_run_left() or candidate.fits_without_batch(
        reservation.step
    )
