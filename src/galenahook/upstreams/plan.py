"""Plans how entries share the slots of one service's executors.

Slots move only to an entry that has fewer than it needs, and only from one
that is clearly better supplied: no entry can use a slot while it moves.
"""

import dataclasses
import math

# Part of every entry's need; an entry with no more than these loses none.
MIN_ENTRY_SLOTS = 2
# Hysteresis of the ratio between the supplies of two entries: slots start to
# move above the first value and go on moving down to the second.
MOVE_START_RATIO = 1.4
MOVE_STOP_RATIO = 1.1


def slots_needed(demand: float) -> float:
    """Returns the slots with which few requests have to wait.

    Square-root staffing: the demand, twice its square root, and a minimum.
    """
    return demand + 2 * math.sqrt(demand) + MIN_ENTRY_SLOTS


@dataclasses.dataclass(slots=True)
class SlotPlan:
    """Number of slots of each executor that each entry should have.

    Attributes:
      executors: Slots of each usable executor.
      rows: Slots by executor, for each entry.
      needs: Slots that each entry needs.
    """

    executors: dict[str, int] = dataclasses.field(default_factory=dict)
    rows: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    needs: dict[str, float] = dataclasses.field(default_factory=dict)

    def planned(self, entry: str, executor: str) -> int:
        """Returns the slots of an executor that an entry should have."""
        return self.rows.get(entry, {}).get(executor, 0)

    def update(
        self, executors: dict[str, int], demands: dict[str, float]
    ) -> None:
        """Adapts the plan to the usable executors and the entries' demand."""
        total = sum(executors.values())
        self.needs = {
            entry: slots_needed(min(demand, total))
            for entry, demand in sorted(demands.items())
        }
        self._sync_entries()
        self._sync_executors(executors)
        self._assign_free()
        self._balance()

    def _sync_entries(self) -> None:
        self.rows = {entry: self.rows.get(entry, {}) for entry in self.needs}

    def _sync_executors(self, executors: dict[str, int]) -> None:
        self.executors = executors
        for row in self.rows.values():
            for name in row.keys() - executors.keys():
                del row[name]
        for name, slots in executors.items():
            excess = self._assigned(name) - slots
            for row in self.rows.values():
                removed = min(max(0, excess), row.get(name, 0))
                if removed:
                    row[name] -= removed
                    excess -= removed

    def _assigned(self, executor: str) -> int:
        return sum(row.get(executor, 0) for row in self.rows.values())

    def _assign_free(self) -> None:
        """Assigns each free slot to the entry with the lowest supply ratio."""
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
        """Moves slots from well supplied entries to those that lack some."""
        totals = {entry: sum(row.values()) for entry, row in self.rows.items()}
        limit = MOVE_START_RATIO
        for _ in range(sum(self.executors.values())):
            ratios = {e: totals[e] / self.needs[e] for e in totals}
            donors = [e for e in totals if totals[e] > MIN_ENTRY_SLOTS]
            if not donors:
                return
            recipient = min(ratios, key=lambda entry: ratios[entry])
            donor = max(donors, key=lambda entry: ratios[entry])
            if ratios[recipient] >= 1:
                return
            if ratios[donor] <= limit * ratios[recipient]:
                return
            limit = MOVE_STOP_RATIO
            self._move(self._best_executor(donor, recipient), donor, recipient)
            totals[donor] -= 1
            totals[recipient] += 1

    def _best_executor(self, donor: str, recipient: str) -> str:
        """Returns the executor where the donor exceeds the recipient most."""
        donor_row = self.rows[donor]
        recipient_row = self.rows[recipient]
        return max(
            (name for name, slots in donor_row.items() if slots > 0),
            key=lambda name: donor_row[name] - recipient_row.get(name, 0),
        )

    def _move(self, executor: str, donor: str | None, recipient: str) -> None:
        if donor is not None:
            self.rows[donor][executor] -= 1
        row = self.rows[recipient]
        row[executor] = row.get(executor, 0) + 1
