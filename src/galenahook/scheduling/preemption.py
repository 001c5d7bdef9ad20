"""Frees capacity for services and urgent jobs by preemption.

For an urgent job, the worker with the lowest eviction cost is reserved. It
takes no other work for a short time, so that tasks that complete there free
part of the capacity; then the rest is freed by evictions. For a service,
tasks are evicted at once.
"""

from collections.abc import Iterable
import dataclasses

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import estimates
from galenahook.scheduling import placement
from galenahook.scheduling import tasks as tasks_lib

MAX_WORKERS_CONSIDERED = 48
# A reserved worker has this long to free capacity before tasks are evicted.
EVICTION_DELAY_MS = 2_000
# Costs of evicting a task. They are added up, together with the priority of the
# job (0 to 100), but a task that completes within `EVICTION_DELAY_MS` costs
# `ENDS_SOON_COST` alone. The worker with the lowest total cost is chosen.
UNBROKEN_COST = 1_000.0
DEADLINE_RISK_COST = 100.0
BASE_EVICTION_COST = 10.0
ENDS_SOON_COST = 0.1
# Stored in the replicated state and matched there, so it must not change.
REASON_PREFIX = "room for "


@dataclasses.dataclass(slots=True, frozen=True)
class Victims:
    """Tasks of one worker whose eviction frees enough capacity.

    Attributes:
      worker: Name of the worker.
      tasks: Tasks to evict.
      cost: Sum of their eviction costs.
    """

    worker: str
    tasks: tuple[str, ...]
    cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerReservation:
    """A worker reserved for an owner's next task.

    Attributes:
      worker: Name of the worker.
      since_ms: Monotonic time when it was reserved.
    """

    worker: str
    since_ms: int


class Preemption:
    """Reserves workers for urgent jobs and chooses tasks to evict.

    Attributes:
      context: State and services shared by the parts of the scheduler.
      reservations: Reserved workers by owner of the waiting task.
      minimizes_cost: Whether tasks to evict are chosen by cost and urgent
        jobs first wait for tasks to complete. If not, the first tasks of the
        first worker are evicted at once.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self.context = context
        self.reservations: dict[str, WorkerReservation] = {}
        self.minimizes_cost = True

    def begin_round(self, waiting: Iterable[str]) -> None:
        """Releases workers reserved for owners that no longer wait."""
        owners = set(waiting)
        self.reservations = {
            owner: reservation
            for owner, reservation in self.reservations.items()
            if owner in owners
        }

    def is_reserved_for_other(self, worker: str, owner: str) -> bool:
        """Returns whether a worker is reserved for another owner."""
        return any(
            reservation.worker == worker and holder != owner
            for holder, reservation in self.reservations.items()
        )

    def choose_eviction(
        self,
        owner: str,
        candidates: list[placement.WorkerCapacity],
        need: messages.Resources,
    ) -> commands.EvictAttempts | None:
        """Returns a command that marks tasks for eviction, if due now.

        Args:
          owner: Owner of the task that fits nowhere.
          candidates: Workers to consider.
          need: Capacity to free.
        """
        if self._is_preempting(owner):
            return None
        now_ms = self.context.clock.monotonic_ms()
        reservation = self.reservations.get(owner)
        if reservation is not None:
            reserved_candidates = [
                candidate
                for candidate in candidates
                if candidate.worker == reservation.worker
            ]
            if (
                reserved_candidates
                and now_ms - reservation.since_ms < EVICTION_DELAY_MS
            ):
                return None
            candidates = reserved_candidates or candidates
        best = self._choose(candidates, need)
        if best is None:
            self.reservations.pop(owner, None)
            return None
        waits = self.minimizes_cost and not tasks_lib.is_service(owner)
        if reservation is None and waits:
            self.reservations[owner] = WorkerReservation(best.worker, now_ms)
            return None
        return self._eviction_command(best, owner)

    def _is_preempting(self, owner: str) -> bool:
        records = self.context.tasks.records
        return any(
            records[task].evicting == REASON_PREFIX + owner
            for task in self.context.tasks.evicting
        )

    def _eviction_command(
        self, victims: Victims, owner: str
    ) -> commands.EvictAttempts:
        records = self.context.tasks.records
        refs = tuple(
            messages.AttemptRef(task=task, attempt=records[task].attempt)
            for task in victims.tasks
        )
        return commands.EvictAttempts(
            attempts=refs, reason=REASON_PREFIX + owner
        )

    def _choose(
        self,
        candidates: list[placement.WorkerCapacity],
        need: messages.Resources,
    ) -> Victims | None:
        found = []
        for candidate in candidates:
            victims = self._victims_on(candidate, need)
            if victims is not None:
                found.append(victims)
        if not found:
            return None
        if not self.minimizes_cost:
            return min(found, key=lambda victims: victims.worker)
        return min(found, key=lambda victims: (victims.cost, victims.worker))

    def _victims_on(
        self, candidate: placement.WorkerCapacity, need: messages.Resources
    ) -> Victims | None:
        if not placement.fits(need, candidate.capacity):
            return None
        free = candidate.free
        chosen = []
        cost = 0.0
        for task_cost, task in self._evictable(candidate.worker):
            if placement.fits(need, free):
                break
            reserved = self.context.tasks.records[task].reserved
            free = placement.add(free, reserved)
            chosen.append(task)
            cost += task_cost
        if not chosen or not placement.fits(need, free):
            return None
        return Victims(candidate.worker, tuple(chosen), cost)

    def _evictable(self, worker: str) -> list[tuple[float, str]]:
        """Returns evictable tasks with their costs.

        They are sorted by cost if tasks to evict are chosen by cost.
        """
        found = []
        for task in self.context.tasks.held.get(worker, ()):
            job = self.context.configuration.jobs.get(tasks_lib.name_of(task))
            record = self.context.tasks.records[task]
            if tasks_lib.is_service(task) or job is None or record.evicting:
                continue
            if job.urgent or not job.repeatable:
                continue
            found.append((self._cost(job, record), task))
        return sorted(found) if self.minimizes_cost else found

    def _cost(
        self, job: commands.JobRow, record: tasks_lib.TaskRecord
    ) -> float:
        run_times = self.context.tasks.run_times
        now_ms = self.context.clock.wall_ms()
        remaining_ms = estimates.remaining_ms(job, record, run_times, now_ms)
        if remaining_ms < EVICTION_DELAY_MS:
            return ENDS_SOON_COST
        cost = BASE_EVICTION_COST + job.priority + UNBROKEN_COST * job.unbroken
        if estimates.is_deadline_at_risk(job, record, run_times, now_ms):
            cost += DEADLINE_RISK_COST
        return cost
