"""Helpers for indexes of tasks that are updated with each change."""

from galenahook import messages


class Reserved:
    """Sum of the reservations of held tasks.

    Attributes:
      cores_milli: Processor capacity in millicores.
      memory_mb: Memory in MB.
      accelerators: Number of accelerators.
      tasks: Number of tasks.
    """

    __slots__ = ("accelerators", "cores_milli", "memory_mb", "tasks")

    def __init__(self) -> None:
        self.cores_milli = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.tasks = 0

    def add(self, amount: messages.Resources, sign: int) -> None:
        """Adds the reservation of one task, or subtracts it if sign is -1."""
        self.cores_milli += sign * amount.cores_milli
        self.memory_mb += sign * amount.memory_mb
        self.accelerators += sign * amount.accelerators
        self.tasks += sign


def update_names(names: dict[str, None], name: str, sign: int) -> None:
    """Adds a name, or removes it if sign is -1."""
    if sign > 0:
        names[name] = None
    else:
        del names[name]


def update_group(
    groups: dict[str, dict[str, None]], group: str, name: str, sign: int
) -> None:
    """Adds a name to a group, or removes it if sign is -1."""
    names = groups.setdefault(group, {})
    update_names(names, name, sign)
    if not names:
        del groups[group]


def update_count(
    groups: dict[str, dict[str, int]], group: str, name: str, sign: int
) -> None:
    """Increments the count of a name in a group by sign."""
    counts = groups.setdefault(group, {})
    counts[name] = counts.get(name, 0) + sign
    if not counts[name]:
        del counts[name]
    if not counts:
        del groups[group]


def update_sum(
    sums: dict[str, Reserved],
    name: str,
    amount: messages.Resources,
    sign: int,
) -> None:
    """Adds a reservation to the sum of a name, or subtracts it."""
    total = sums.get(name)
    if total is None:
        total = sums[name] = Reserved()
    total.add(amount, sign)
    if not total.tasks:
        del sums[name]
