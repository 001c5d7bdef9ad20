"""Plans how entries share the slots of one service's executors.

A slot moves only from an entry that has more than it needs to one that has
less, since a slot on the move serves nobody.
"""

import dataclasses
import math

FLOOR_SLOTS = 2
MOVE_RATIO = 1.4
STOP_RATIO = 1.1


def slots_needed(wanted: float) -> float:
    """Returns the slots with which few requests of that demand must wait."""
    return wanted + 2 * math.sqrt(wanted) + FLOOR_SLOTS


@dataclasses.dataclass(slots=True)
class SlotPlan:
    """Whole slots of each executor for each entry.

    Attributes:
      executors: Slots of each usable executor.
      rows: For each entry, its slots by executor.
      needs: Slots that each entry needs.
    """

    executors: dict[str, int] = dataclasses.field(default_factory=dict)
    rows: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    needs: dict[str, float] = dataclasses.field(default_factory=dict)

    def planned(self, entry: str, executor: str) -> int:
        """Returns the slots of an executor that an entry should have."""
        return self.rows.get(entry, {}).get(executor, 0)

    def update(
        self, executors: dict[str, int], wanted: dict[str, float]
    ) -> None:
        """Follows the usable executors and the entries' demand."""
        total = sum(executors.values())
        self.needs = {
            entry: slots_needed(min(demand, total))
            for entry, demand in sorted(wanted.items())
        }
        self._follow_entries()
        self._follow_executors(executors)
        self._assign_free()
        self._balance()

    def _follow_entries(self) -> None:
        self.rows = {entry: self.rows.get(entry, {}) for entry in self.needs}

    def _follow_executors(self, executors: dict[str, int]) -> None:
        self.executors = executors
        for row in self.rows.values():
            for name in row.keys() - executors.keys():
                del row[name]
        for name, slots in executors.items():
            excess = self._assigned(name) - slots
            for row in self.rows.values():
                taken = min(max(0, excess), row.get(name, 0))
                if taken:
                    row[name] -= taken
                    excess -= taken

    def _assigned(self, executor: str) -> int:
        return sum(row.get(executor, 0) for row in self.rows.values())

    def _assign_free(self) -> None:
        """Gives each unassigned slot to the entry that lacks most."""
        if not self.rows:
            return
        totals = {entry: sum(row.values()) for entry, row in self.rows.items()}
        for name, slots in self.executors.items():
            for _ in range(slots - self._assigned(name)):
                entry = min(
                    totals, key=lambda item: totals[item] / self.needs[item]
                )
                self._move(name, None, entry)
                totals[entry] += 1

    def _balance(self) -> None:
        """Moves slots while one entry lacks some and another has spare."""
        totals = {entry: sum(row.values()) for entry, row in self.rows.items()}
        limit = MOVE_RATIO
        for _ in range(sum(self.executors.values())):
            ratios = {e: totals[e] / self.needs[e] for e in totals}
            givers = [e for e in totals if totals[e] > FLOOR_SLOTS]
            if not givers:
                return
            taker = min(ratios, key=lambda entry: ratios[entry])
            giver = max(givers, key=lambda entry: ratios[entry])
            if ratios[taker] >= 1:
                return
            if ratios[giver] <= limit * ratios[taker]:
                return
            limit = STOP_RATIO
            self._move(self._best_executor(giver, taker), giver, taker)
            totals[giver] -= 1
            totals[taker] += 1

    def _best_executor(self, giver: str, taker: str) -> str:
        """Returns where the giver has most beyond the taker."""
        given = self.rows[giver]
        taken = self.rows[taker]
        return max(
            (name for name, slots in given.items() if slots > 0),
            key=lambda name: given[name] - taken.get(name, 0),
        )

    def _move(self, executor: str, giver: str | None, taker: str) -> None:
        if giver is not None:
            self.rows[giver][executor] -= 1
        row = self.rows[taker]
        row[executor] = row.get(executor, 0) + 1
