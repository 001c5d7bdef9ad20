"""Chooses a worker for each waiting task, in the order of their turns."""

import collections
from collections.abc import Callable
import dataclasses

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import batch_order
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import estimates
from galenahook.scheduling import placement
from galenahook.scheduling import policy as policy_lib
from galenahook.scheduling import quotas
from galenahook.scheduling import tasks as tasks_lib

MAX_STARTS_PER_ROUND = 100
MAX_TASKS_LOOKED_AT = 64


@dataclasses.dataclass(slots=True, frozen=True)
class Need:
    """What a waiting task asks of a worker.

    Attributes:
      task: Task identifier.
      owner: `job/NAME` or `service/NAME`.
      team: Team that owns it.
      resources: What is reserved for it.
      avoid: Workers on which it failed.
    """

    task: str
    owner: str
    team: str
    resources: messages.Resources
    avoid: tuple[str, ...] = ()


class Decisions:
    """Chooses placements over an index of free room.

    Attributes:
      context: What the scheduler's parts share.
      index: Free room of workers that may be given work.
      sizes: Learned sizes.
      blocked: Why owners wait, from the last round that considered them.
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
        self.blocked: dict[str, str] = {}
        self._closed_at = (frozenset[str](), frozenset[str]())
        self._round_spread: dict[str, collections.Counter[str]] = {}

    def refresh(self, changed: set[str]) -> None:
        """Brings the index up to date with workers that changed."""
        configuration = self.context.configuration
        closed = (
            configuration.availability_zones_out,
            configuration.drained,
        )
        if closed != self._closed_at:
            self._closed_at = closed
            changed = changed | set(self.context.workers.workers)
        for name in changed:
            self._refresh_one(name)

    def _refresh_one(self, name: str) -> None:
        context = self.context
        worker = context.workers.workers.get(name)
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

    def choose(self) -> list[commands.AttemptStart]:
        """Returns the starts of this round."""
        context = self.context
        configuration = context.configuration
        policy = self.policy(configuration.objective)
        turns = batch_order.turns(
            context.tasks.waiting,
            configuration,
            context.tasks.run_times,
            context.clock.wall_ms(),
        )
        teams = quotas.TeamUse(configuration, context.tasks)
        chosen: list[commands.AttemptStart] = []
        self.blocked.clear()
        self._round_spread.clear()
        for turn in turns:
            if len(chosen) >= MAX_STARTS_PER_ROUND:
                break
            self._choose_for_owner(turn.owner, policy, teams, chosen)
        return chosen

    def _choose_for_owner(
        self,
        owner: str,
        policy: policy_lib.Policy,
        teams: quotas.TeamUse,
        chosen: list[commands.AttemptStart],
    ) -> None:
        for need in self._needs(owner):
            if len(chosen) >= MAX_STARTS_PER_ROUND:
                return
            if not teams.allows(need.team, need.resources):
                self.blocked[owner] = f"quota of team {need.team} is used up"
                return
            slot = self._place(need, policy)
            if slot is None:
                self.blocked[owner] = "no worker has room now"
                return
            self.index.take(slot.worker, need.resources)
            teams.take(need.team, need.resources)
            spread = self._round_spread.setdefault(owner, collections.Counter())
            spread[slot.worker] += 1
            chosen.append(self._start(need, slot))

    def _needs(self, owner: str) -> list[Need]:
        context = self.context
        configuration = context.configuration
        name = owner.partition("/")[2]
        row: commands.ServiceRow | commands.JobRow | None
        if tasks_lib.is_service(owner):
            row = configuration.services.get(name)
        else:
            row = configuration.jobs.get(name)
        if row is None:
            return []
        size = self.sizes.reserve(owner, row.resources)
        now_ms = context.clock.wall_ms()
        needs = []
        waiting = context.tasks.waiting[owner]
        for task, _ in zip(waiting, range(MAX_TASKS_LOOKED_AT), strict=False):
            record = context.tasks.records[task]
            if record.not_before_ms > now_ms:
                self.blocked[owner] = "waits after a failure"
                continue
            needs.append(
                Need(task, owner, row.team, size, record.failed_workers)
            )
        return needs

    def _place(
        self, need: Need, policy: policy_lib.Policy
    ) -> placement.Slot | None:
        def allowed(slot: placement.Slot) -> bool:
            return slot.worker not in need.avoid and self.context.may_start_on(
                slot.worker
            )

        slots = self.index.candidates(need.resources, allowed)
        if not slots:
            return None
        match policy:
            case policy_lib.FirstFit():
                return min(slots, key=lambda slot: slot.worker)
            case policy_lib.LeastLoaded():
                return max(
                    slots,
                    key=lambda slot: placement.leftover_share(
                        need.resources, slot
                    ),
                )
            case policy_lib.Weighted():
                return min(
                    slots, key=lambda slot: self._cost(need, slot, policy)
                )

    def _cost(
        self, need: Need, slot: placement.Slot, weights: policy_lib.Weighted
    ) -> float:
        cost = weights.packing * placement.leftover_share(need.resources, slot)
        zone = slot.availability_zone
        free = self.index.zone_free[zone]
        capacity = max(1, self.index.zone_capacity[zone])
        cost += weights.zone_balance * (1 - free / capacity)
        if tasks_lib.is_service(need.owner):
            cost += weights.spread * self._crowding(need.owner, slot)
        return cost

    def _crowding(self, owner: str, slot: placement.Slot) -> float:
        """Returns how many instances of a service are near a worker."""
        crowding = 0.0
        near = collections.Counter(self.context.tasks.spread.get(owner, {}))
        near.update(self._round_spread.get(owner, {}))
        for name, count in near.items():
            other = self.index.slots.get(name)
            if other is None:
                continue
            if name == slot.worker:
                crowding += count
            if other.availability_zone == slot.availability_zone:
                crowding += 0.1 * count
                if other.rack == slot.rack:
                    crowding += 0.03 * count
        return crowding

    def _start(self, need: Need, slot: placement.Slot) -> commands.AttemptStart:
        record = self.context.tasks.records[need.task]
        worker = self.context.workers.workers[slot.worker]
        return commands.AttemptStart(
            task=need.task,
            attempt=record.attempt + 1,
            worker=slot.worker,
            incarnation=worker.announcement.incarnation,
            reserved=need.resources,
        )
