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
MAX_TASKS_PER_OWNER = 64
# Sums over all jobs are recomputed after this time, or on a new revision.
AGGREGATES_PERIOD_MS = 1_000


@dataclasses.dataclass(slots=True)
class RoundDecisions:
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
      policy_for: Returns the policy for the objective of a sheet.
      index: Free capacity of workers that may be given work.
      sizes: Task sizes learned from reported usage.
      colocation: Services and batch tasks on each VM.
      model: Learned interference of batch tasks with services.
      draining_workers: Workers that all tasks must leave.
      preemption: Frees capacity for services and urgent jobs.
      deferral: Limits how long batch tasks wait for a better placement.
      refill: Paces starts in an availability zone that returned to service.
      blocked: Why each owner waits, as of the last round.
    """

    def __init__(
        self,
        context: context_lib.Context,
        policy_for: Callable[[str], policy_lib.Policy],
        seed: int = 1,
    ) -> None:
        self.context = context
        self.policy_for = policy_for
        self.index = placement.FreeIndex(seed)
        self.sizes = estimates.Sizes()
        self.colocation = colocation_lib.Colocation(context)
        self.model = interference_lib.InterferenceModel()
        self.refill = refill_lib.Refill(context.clock)
        self.preemption = preemption.Preemption(context)
        self.deferral = deferral_lib.Deferral()
        self.blocked: dict[str, str] = {}
        self.draining_workers: set[str] = set()
        self._drained: frozenset[str] = frozenset()
        self._zones_out: frozenset[str] = frozenset()
        self._round_spread: dict[str, collections.Counter[str]] = {}
        self._unplaceable_sizes: list[messages.Resources] = []
        self._aggregates_revision = -1
        self._aggregates_ms = 0
        self._class_mix: dict[str, float] = {}
        self._mean_weights: dict[str, float] = {}
        self._update_aggregates()
        self._create_impact_predictor()

    def refresh(self, changed: set[str]) -> None:
        """Updates the index for workers that changed.

        Workers that all tasks must leave are collected in `draining_workers`.
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
            for task in worker.tasks_over_reservation if worker else ():
                usage = worker.attempts[task].usage if worker else None
                if usage is not None:
                    self.sizes.observe(task, usage)

    def _refresh_one(self, name: str) -> None:
        context = self.context
        worker = context.workers.workers.get(name)
        if context.is_draining(name):
            self.draining_workers.add(name)
        else:
            self.draining_workers.discard(name)
        if worker is None or not context.may_start_on(name):
            self.index.remove(name)
            return
        announcement = worker.announcement
        self.index.put(
            placement.WorkerCapacity(
                name,
                announcement.availability_zone,
                announcement.rack,
                announcement.capacity,
                context.workers.free_capacity(name, context.tasks),
            )
        )

    def choose(self) -> RoundDecisions:
        """Returns the decisions of this round."""
        context = self.context
        configuration = context.configuration
        policy = self.policy_for(configuration.objective)
        queue_positions = batch_order.queue_positions(
            context.tasks.waiting,
            configuration,
            context.tasks.run_times,
            context.clock.wall_ms(),
        )
        teams = self._update_aggregates()
        decisions = RoundDecisions([], [])
        self.blocked.clear()
        self._round_spread.clear()
        self._unplaceable_sizes.clear()
        self.refill.begin_round()
        self.preemption.begin_round(context.tasks.waiting)
        self.deferral.begin_round(context.tasks.waiting)
        self.preemption.minimizes_cost = isinstance(policy, policy_lib.Weighted)
        self.refill.paced = policy.paces_refill
        self._create_impact_predictor()
        for position in queue_positions:
            if len(decisions.starts) >= MAX_STARTS_PER_ROUND:
                break
            self._choose_for_owner(position, policy, teams, decisions)
        return decisions

    def _update_aggregates(self) -> quotas.TeamUsage:
        """Recomputes the sums over all jobs when they are out of date."""
        context = self.context
        configuration = context.configuration
        now_ms = context.clock.monotonic_ms()
        if (
            self._aggregates_revision != configuration.revision
            or now_ms - self._aggregates_ms >= AGGREGATES_PERIOD_MS
        ):
            self._aggregates_revision = configuration.revision
            self._aggregates_ms = now_ms
            self._teams = quotas.TeamUsage(configuration, context.tasks)
            self._class_mix = costs.class_mix(context.tasks, configuration)
            self._mean_weights.clear()
        return self._teams

    def _create_impact_predictor(self) -> None:
        context = self.context
        capacity = sum(self.index.zone_capacity.values())
        free = sum(self.index.zone_free.values())
        self._impact_predictor = costs.TailImpactPredictor(
            self.colocation,
            self.model,
            context.configuration,
            self._class_mix,
            1 - free / capacity if capacity else 0.0,
            self._mean_weights,
        )

    def _choose_for_owner(
        self,
        position: batch_order.QueuePosition,
        policy: policy_lib.Policy,
        teams: quotas.TeamUsage,
        decisions: RoundDecisions,
    ) -> None:
        owner = position.owner
        for request in self._requests(owner):
            if len(decisions.starts) >= MAX_STARTS_PER_ROUND:
                return
            if not teams.allows(request.team, request.resources):
                self.blocked[owner] = f"quota of team {request.team} is used up"
                return
            candidate = self._find_worker(request, policy)
            if candidate is None:
                self.blocked[owner] = explanations.why_unplaceable(
                    self.context, request.resources
                )
                self._preempt(position, request, decisions)
                return
            if self._should_wait(position, request, candidate, policy):
                self.blocked[owner] = (
                    "deferred: the best placement would push the tail latency"
                    " of a service over its target"
                )
                return
            self._reserve(request, candidate, teams)
            decisions.starts.append(self._start(request, candidate))

    def _reserve(
        self,
        request: costs.PlacementRequest,
        candidate: placement.WorkerCapacity,
        teams: quotas.TeamUsage,
    ) -> None:
        self.index.reserve(candidate.worker, request.resources)
        self.refill.count_start(candidate.availability_zone)
        teams.reserve(request.team, request.resources)
        spread = self._round_spread.setdefault(
            request.owner, collections.Counter()
        )
        spread[candidate.worker] += 1

    def _requests(self, owner: str) -> Iterator[costs.PlacementRequest]:
        """Yields placement requests for an owner's first waiting tasks."""
        context = self.context
        row = rows.row_of(context.configuration, owner)
        if row is None:
            return
        blamed = context.quarantine.is_owner_blamed(owner)
        if blamed:
            # It gets one task at a time until one completes successfully.
            self.blocked[owner] = "its tasks fail on several workers"
        if blamed and owner in context.tasks.spread:
            return
        job_class = row.job_class if isinstance(row, commands.JobRow) else ""
        size = self.sizes.size_for(rows.size_key(row), row.resources)
        now_ms = context.clock.wall_ms()
        waiting = context.tasks.waiting[owner]
        limit = 1 if blamed else MAX_TASKS_PER_OWNER
        for task in list(itertools.islice(waiting, limit)):
            record = context.tasks.records[task]
            if retries.is_waiting(record.not_before_ms, now_ms):
                self.blocked[owner] = (
                    f"waiting to retry after a failure: {record.reason}"
                )
                continue
            yield costs.PlacementRequest(
                task,
                owner,
                row.team,
                job_class,
                self.sizes.size_for_retry(task, size),
                record.failed_workers,
            )

    def _find_worker(
        self, request: costs.PlacementRequest, policy: policy_lib.Policy
    ) -> placement.WorkerCapacity | None:
        if any(
            placement.fits(size, request.resources)
            for size in self._unplaceable_sizes
        ):
            return None
        for candidate in self._ranked(request, policy):
            if self._is_allowed(request, candidate):
                return candidate
        fallback = self.index.first_fitting(
            request.resources,
            lambda candidate: self._is_allowed(request, candidate),
        )
        if fallback is None and not request.excluded_workers:
            self._unplaceable_sizes.append(request.resources)
        return fallback

    def _ranked(
        self, request: costs.PlacementRequest, policy: policy_lib.Policy
    ) -> list[placement.WorkerCapacity]:
        """Returns sampled workers with enough free capacity, best first."""
        candidates = self.index.candidates(request.resources)
        match policy:
            case policy_lib.FirstFit():
                return sorted(
                    candidates,
                    key=lambda candidate: (
                        self._proximity_cost(request, candidate),
                        candidate.worker,
                    ),
                )
            case policy_lib.LeastLoaded():
                return sorted(
                    candidates,
                    key=lambda candidate: (
                        self._proximity_cost(request, candidate),
                        -placement.leftover_share(request.resources, candidate),
                    ),
                )
            case policy_lib.Weighted():
                return sorted(
                    candidates,
                    key=lambda candidate: self._cost(
                        request, candidate, policy
                    ),
                )

    def _is_allowed(
        self,
        request: costs.PlacementRequest,
        candidate: placement.WorkerCapacity,
    ) -> bool:
        context = self.context
        name = candidate.worker
        if name in request.excluded_workers or not context.may_start_on(name):
            return False
        if self.preemption.is_reserved_for_other(name, request.owner):
            return False
        if not self.refill.allows(
            candidate.availability_zone, request.job_class == ""
        ):
            return False
        return not (
            context.quarantine.is_on_probation(name)
            and (name in context.tasks.held or self._is_chosen_this_round(name))
        )

    def _is_chosen_this_round(self, worker: str) -> bool:
        return any(worker in spread for spread in self._round_spread.values())

    def _cost(
        self,
        request: costs.PlacementRequest,
        candidate: placement.WorkerCapacity,
        weights: policy_lib.Weighted,
    ) -> float:
        cost = weights.packing * placement.leftover_share(
            request.resources, candidate
        )
        zone = candidate.availability_zone
        free = self.index.zone_free[zone]
        capacity = max(1, self.index.zone_capacity[zone])
        cost += weights.zone_balance * (1 - free / capacity)
        impact = self._impact_predictor.predict(request, candidate)
        cost += weights.tail * (impact.amount - impact.average_amount)
        return cost + weights.spread * self._proximity_cost(request, candidate)

    def _should_wait(
        self,
        position: batch_order.QueuePosition,
        request: costs.PlacementRequest,
        candidate: placement.WorkerCapacity,
        policy: policy_lib.Policy,
    ) -> bool:
        """Returns whether to defer a task that would exceed a tail target."""
        if not isinstance(policy, policy_lib.Weighted) or not policy.defers:
            return False
        return self._impact_predictor.predict(
            request, candidate
        ).over_target and (
            self.deferral.may_wait(position, self.context.clock.wall_ms())
        )

    def _proximity_cost(
        self,
        request: costs.PlacementRequest,
        candidate: placement.WorkerCapacity,
    ) -> float:
        """Returns the cost of services close to a worker; 0 for jobs.

        Counts instances of the same service by distance, and other services
        on the same worker.
        """
        if not tasks_lib.is_service(request.owner):
            return 0.0
        instances = collections.Counter(
            self.context.tasks.spread.get(request.owner, {})
        )
        instances.update(self._round_spread.get(request.owner, {}))
        others = set(self.colocation.services_on(candidate.worker))
        for owner, spread in self._round_spread.items():
            if tasks_lib.is_service(owner) and candidate.worker in spread:
                others.add(owner.partition("/")[2])
        others.discard(tasks_lib.name_of(request.task))
        proximity_cost = costs.proximity_cost(instances, candidate, self.index)
        return proximity_cost + costs.OTHER_SERVICE_COST * len(others)

    def _preempt(
        self,
        position: batch_order.QueuePosition,
        request: costs.PlacementRequest,
        decisions: RoundDecisions,
    ) -> None:
        if position.rank > batch_order.Rank.URGENT:
            return
        candidates = [
            candidate
            for candidate in self.index.sample(
                preemption.MAX_WORKERS_CONSIDERED
            )
            if self._is_allowed(request, candidate)
        ]
        command = self.preemption.choose_eviction(
            request.owner, candidates, request.resources
        )
        if command is not None:
            decisions.evictions.append(command)

    def _start(
        self,
        request: costs.PlacementRequest,
        candidate: placement.WorkerCapacity,
    ) -> commands.AttemptStart:
        record = self.context.tasks.records[request.task]
        worker = self.context.workers.workers[candidate.worker]
        return commands.AttemptStart(
            task=request.task,
            attempt=record.attempt + 1,
            worker=candidate.worker,
            incarnation=worker.announcement.incarnation,
            reserved=request.resources,
        )
