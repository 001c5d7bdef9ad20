"""Chooses a worker for each waiting task, in scheduling order."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import batch_order
from galenahook.scheduling import colocation as colocation_lib
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import costs
from galenahook.scheduling import deferral as deferral_lib
from galenahook.scheduling import estimates
from galenahook.scheduling import explanations
from galenahook.scheduling import interference as interference_lib
from galenahook.scheduling import placement
from galenahook.scheduling import policy as policy_lib
from galenahook.scheduling import preemption
from galenahook.scheduling import quotas
from galenahook.scheduling import refill as refill_lib
from galenahook.scheduling import retries
from galenahook.scheduling import rows
from galenahook.scheduling import tasks as tasks_lib

MAX_STARTS_PER_ROUND = 100
# Waiting tasks of one owner that a round considers.
MAX_TASKS_LOOKED_AT = 64
# Sums over all jobs are recomputed after this time, or on a new revision.
SUMS_PERIOD_MS = 1_000


@dataclasses.dataclass(slots=True)
class Choices:
    """Decisions of one scheduling round.

    Attributes:
      starts: Attempts to start.
      evictions: Commands that mark attempts for eviction, to free capacity.
    """

    starts: list[commands.AttemptStart]
    evictions: list[commands.EvictAttempts]


class Decisions:
    """Chooses placements from an index of free capacity.

    Attributes:
      context: State and services shared by the parts of the scheduler.
      index: Free capacity of workers that may be given work.
      sizes: Task sizes learned from reported usage.
      colocation: Services and batch tasks on each VM.
      model: Learned interference of batch tasks with services.
      closed: Workers that all tasks must leave.
      preemption: Frees capacity for services and urgent jobs.
      deferral: Limits how long batch tasks wait for a better placement.
      refill: Paces starts in an availability zone that returned to service.
      blocked: Why each owner waits, as of the last round.
    """

    def __init__(
        self,
        context: context_lib.Context,
        policy: Callable[[str], policy_lib.Policy],
        seed: int = 1,
    ) -> None:
        self.context = context
        self.policy = policy
        self.index = placement.FreeIndex(seed)
        self.sizes = estimates.Sizes()
        self.colocation = colocation_lib.Colocation(context)
        self.model = interference_lib.InterferenceModel()
        self.refill = refill_lib.Refill(context.clock)
        self.preemption = preemption.Preemption(context)
        self.deferral = deferral_lib.Deferral()
        self.blocked: dict[str, str] = {}
        self.closed: set[str] = set()
        self._drained: frozenset[str] = frozenset()
        self._zones_out: frozenset[str] = frozenset()
        self._round_spread: dict[str, collections.Counter[str]] = {}
        self._no_room_for: list[messages.Resources] = []
        self._summed_revision = -1
        self._summed_ms = 0
        self._mix: dict[str, float] = {}
        self._mean_weights: dict[str, float] = {}
        self._follow_sums()
        self._begin_harms()

    def refresh(self, changed: set[str]) -> None:
        """Updates the index for workers that changed.

        Workers that all tasks must leave are collected in `closed`.
        """
        configuration = self.context.configuration
        zones_out = configuration.availability_zones_out
        if (zones_out, configuration.drained) != (
            self._zones_out,
            self._drained,
        ):
            self.refill.note_returned(self._zones_out - zones_out)
            self._zones_out = zones_out
            self._drained = configuration.drained
            self.context.workers.changed.update(self.context.workers.workers)
        for name in changed:
            self._refresh_one(name)
        self.colocation.refresh(changed)
        self._observe_usage(changed)

    def _observe_usage(self, changed: set[str]) -> None:
        for name in changed:
            worker = self.context.workers.workers.get(name)
            for task in worker.over if worker else ():
                usage = worker.attempts[task].usage if worker else None
                if usage is not None:
                    self.sizes.observe(task, usage)

    def _refresh_one(self, name: str) -> None:
        context = self.context
        worker = context.workers.workers.get(name)
        if context.is_closed(name):
            self.closed.add(name)
        else:
            self.closed.discard(name)
        if worker is None or not context.may_start_on(name):
            self.index.remove(name)
            return
        announcement = worker.announcement
        self.index.put(
            placement.Slot(
                name,
                announcement.availability_zone,
                announcement.rack,
                announcement.capacity,
                context.workers.free(name, context.tasks),
            )
        )

    def choose(self) -> Choices:
        """Returns the decisions of this round."""
        context = self.context
        configuration = context.configuration
        policy = self.policy(configuration.objective)
        turns = batch_order.turns(
            context.tasks.waiting,
            configuration,
            context.tasks.run_times,
            context.clock.wall_ms(),
        )
        teams = self._follow_sums()
        choices = Choices([], [])
        self.blocked.clear()
        self._round_spread.clear()
        self._no_room_for.clear()
        self.refill.begin_round()
        self.preemption.begin_round(context.tasks.waiting)
        self.deferral.begin_round(context.tasks.waiting)
        self.preemption.patient = isinstance(policy, policy_lib.Weighted)
        self.refill.paced = policy.paces_refill
        self._begin_harms()
        for turn in turns:
            if len(choices.starts) >= MAX_STARTS_PER_ROUND:
                break
            self._choose_for_owner(turn, policy, teams, choices)
        return choices

    def _follow_sums(self) -> quotas.TeamUse:
        """Recomputes the sums over all jobs when they are out of date."""
        context = self.context
        configuration = context.configuration
        now_ms = context.clock.monotonic_ms()
        if (
            self._summed_revision != configuration.revision
            or now_ms - self._summed_ms >= SUMS_PERIOD_MS
        ):
            self._summed_revision = configuration.revision
            self._summed_ms = now_ms
            self._teams = quotas.TeamUse(configuration, context.tasks)
            self._mix = costs.class_mix(context.tasks, configuration)
            self._mean_weights.clear()
        return self._teams

    def _begin_harms(self) -> None:
        context = self.context
        capacity = sum(self.index.zone_capacity.values())
        free = sum(self.index.zone_free.values())
        self._harms = costs.Harms(
            self.colocation,
            self.model,
            context.configuration,
            self._mix,
            1 - free / capacity if capacity else 0.0,
            self._mean_weights,
        )

    def _choose_for_owner(
        self,
        turn: batch_order.Turn,
        policy: policy_lib.Policy,
        teams: quotas.TeamUse,
        choices: Choices,
    ) -> None:
        owner = turn.owner
        for need in self._needs(owner):
            if len(choices.starts) >= MAX_STARTS_PER_ROUND:
                return
            if not teams.allows(need.team, need.resources):
                self.blocked[owner] = f"quota of team {need.team} is used up"
                return
            slot = self._place(need, policy)
            if slot is None:
                self.blocked[owner] = explanations.why_no_room(
                    self.context, need.resources
                )
                self._make_room(turn, need, choices)
                return
            if self._should_wait(turn, need, slot, policy):
                self.blocked[owner] = (
                    "deferred: the best placement would push the tail latency"
                    " of a service over its target"
                )
                return
            self._take(need, slot, teams)
            choices.starts.append(self._start(need, slot))

    def _take(
        self, need: costs.Need, slot: placement.Slot, teams: quotas.TeamUse
    ) -> None:
        self.index.take(slot.worker, need.resources)
        self.refill.take(slot.availability_zone)
        teams.take(need.team, need.resources)
        spread = self._round_spread.setdefault(
            need.owner, collections.Counter()
        )
        spread[slot.worker] += 1

    def _needs(self, owner: str) -> Iterator[costs.Need]:
        """Yields placement requests for an owner's first waiting tasks."""
        context = self.context
        row = rows.row_of(context.configuration, owner)
        if row is None:
            return
        blamed = context.quarantine.is_owner_blamed(owner)
        if blamed:
            self.blocked[owner] = "its tasks fail on several workers"
        if blamed and owner in context.tasks.spread:
            return
        job_class = row.job_class if isinstance(row, commands.JobRow) else ""
        size = self.sizes.reserve(rows.size_key(row), row.resources)
        now_ms = context.clock.wall_ms()
        waiting = context.tasks.waiting[owner]
        most = 1 if blamed else MAX_TASKS_LOOKED_AT
        for task in list(itertools.islice(waiting, most)):
            record = context.tasks.records[task]
            if retries.is_waiting(record.not_before_ms, now_ms):
                self.blocked[owner] = (
                    f"waiting to retry after a failure: {record.reason}"
                )
                continue
            yield costs.Need(
                task,
                owner,
                row.team,
                job_class,
                self.sizes.reserve_again(task, size),
                record.failed_workers,
            )

    def _place(
        self, need: costs.Need, policy: policy_lib.Policy
    ) -> placement.Slot | None:
        if any(
            placement.fits(size, need.resources) for size in self._no_room_for
        ):
            return None
        for slot in self._ranked(need, policy):
            if self._is_allowed(need, slot):
                return slot
        rest = self.index.first_fitting(
            need.resources, lambda slot: self._is_allowed(need, slot)
        )
        if rest is None and not need.avoid:
            self._no_room_for.append(need.resources)
        return rest

    def _ranked(
        self, need: costs.Need, policy: policy_lib.Policy
    ) -> list[placement.Slot]:
        """Returns sampled workers with enough free capacity, best first."""
        slots = self.index.candidates(need.resources)
        match policy:
            case policy_lib.FirstFit():
                return sorted(
                    slots,
                    key=lambda slot: (self._near(need, slot), slot.worker),
                )
            case policy_lib.LeastLoaded():
                return sorted(
                    slots,
                    key=lambda slot: (
                        self._near(need, slot),
                        -placement.leftover_share(need.resources, slot),
                    ),
                )
            case policy_lib.Weighted():
                return sorted(
                    slots, key=lambda slot: self._cost(need, slot, policy)
                )

    def _is_allowed(self, need: costs.Need, slot: placement.Slot) -> bool:
        context = self.context
        name = slot.worker
        if name in need.avoid or not context.may_start_on(name):
            return False
        if self.preemption.is_kept_for_other(name, need.owner):
            return False
        if not self.refill.allows(slot.availability_zone, need.job_class == ""):
            return False
        return not (
            context.quarantine.is_on_probation(name)
            and (name in context.tasks.held or self._is_taken(name))
        )

    def _is_taken(self, worker: str) -> bool:
        return any(worker in spread for spread in self._round_spread.values())

    def _cost(
        self,
        need: costs.Need,
        slot: placement.Slot,
        weights: policy_lib.Weighted,
    ) -> float:
        cost = weights.packing * placement.leftover_share(need.resources, slot)
        zone = slot.availability_zone
        free = self.index.zone_free[zone]
        capacity = max(1, self.index.zone_capacity[zone])
        cost += weights.zone_balance * (1 - free / capacity)
        harm = self._harms.of(need, slot)
        cost += weights.tail * (harm.amount - harm.spared)
        return cost + weights.spread * self._near(need, slot)

    def _should_wait(
        self,
        turn: batch_order.Turn,
        need: costs.Need,
        slot: placement.Slot,
        policy: policy_lib.Policy,
    ) -> bool:
        """Returns whether a task waits, as it would push a tail over target."""
        if not isinstance(policy, policy_lib.Weighted) or not policy.defers:
            return False
        return self._harms.of(need, slot).over_target and (
            self.deferral.may_wait(turn, self.context.clock.wall_ms())
        )

    def _near(self, need: costs.Need, slot: placement.Slot) -> float:
        """Returns the cost of services close to a worker; 0 for jobs.

        Counts instances of the same service by distance, and other services
        on the same worker.
        """
        if not tasks_lib.is_service(need.owner):
            return 0.0
        near = collections.Counter(
            self.context.tasks.spread.get(need.owner, {})
        )
        near.update(self._round_spread.get(need.owner, {}))
        others = set(self.colocation.services_beside(slot.worker))
        for owner, spread in self._round_spread.items():
            if tasks_lib.is_service(owner) and slot.worker in spread:
                others.add(owner.partition("/")[2])
        others.discard(tasks_lib.name_of(need.task))
        crowding = costs.crowding(near, slot, self.index)
        return crowding + costs.OTHER_SERVICE * len(others)

    def _make_room(
        self, turn: batch_order.Turn, need: costs.Need, choices: Choices
    ) -> None:
        if turn.rank > batch_order.Rank.URGENT:
            return
        slots = [
            slot
            for slot in self.index.sample(preemption.MAX_WORKERS_LOOKED_AT)
            if self._is_allowed(need, slot)
        ]
        mark = self.preemption.make_room(need.owner, slots, need.resources)
        if mark is not None:
            choices.evictions.append(mark)

    def _start(
        self, need: costs.Need, slot: placement.Slot
    ) -> commands.AttemptStart:
        record = self.context.tasks.records[need.task]
        worker = self.context.workers.workers[slot.worker]
        return commands.AttemptStart(
            task=need.task,
            attempt=record.attempt + 1,
            worker=slot.worker,
            incarnation=worker.announcement.incarnation,
            reserved=need.resources,
        )
