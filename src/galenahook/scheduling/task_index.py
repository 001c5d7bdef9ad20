"""Indexes of tasks by group, kept up to date with each change."""

from galenahook import messages


class Reserved:
    """Sum of what held tasks reserve.

    Attributes:
      cores_milli: Thousandths of a processor core.
      memory_mb: Memory in MB.
      accelerators: Whole accelerators.
      tasks: Number of tasks.
    """

    __slots__ = ("accelerators", "cores_milli", "memory_mb", "tasks")

    def __init__(self) -> None:
        self.cores_milli = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.tasks = 0

    def add(self, amount: messages.Resources, sign: int) -> None:
        """Adds one task's amount, or takes it away with a sign of -1."""
        self.cores_milli += sign * amount.cores_milli
        self.memory_mb += sign * amount.memory_mb
        self.accelerators += sign * amount.accelerators
        self.tasks += sign


def toggle(names: dict[str, None], name: str, sign: int) -> None:
    """Adds a name, or takes it away with a sign of -1."""
    if sign > 0:
        names[name] = None
    else:
        del names[name]


def mark(
    groups: dict[str, dict[str, None]], group: str, name: str, sign: int
) -> None:
    """Adds a name to a group, or takes it away."""
    names = groups.setdefault(group, {})
    toggle(names, name, sign)
    if not names:
        del groups[group]


def count(
    groups: dict[str, dict[str, int]], group: str, name: str, sign: int
) -> None:
    """Counts a name in a group up or down."""
    counts = groups.setdefault(group, {})
    counts[name] = counts.get(name, 0) + sign
    if not counts[name]:
        del counts[name]
    if not counts:
        del groups[group]


def add_to_sum(
    sums: dict[str, Reserved],
    name: str,
    amount: messages.Resources,
    sign: int,
) -> None:
    """Adds an amount to a group's sum, or takes it away."""
    total = sums.get(name)
    if total is None:
        total = sums[name] = Reserved()
    total.add(amount, sign)
    if not total.tasks:
        del sums[name]
