"""Quotas: limits of what the tasks of each team reserve at a time."""

from galenahook import configuration as configuration_lib
from galenahook import messages
from galenahook.scheduling import rows
from galenahook.scheduling import task_index
from galenahook.scheduling import task_table


class TeamUsage:
    """Resources reserved by each team, updated with each decided start.

    Attempts that end are ignored until the next instance is built, so that
    the usage is never underestimated.
    """

    __slots__ = ("quotas", "usage")

    def __init__(
        self,
        current: configuration_lib.ConfigurationRecord,
        table: task_table.TaskTable,
    ) -> None:
        self.quotas = current.quotas
        self.usage: dict[str, task_index.Reserved] = {}
        if not self.quotas:
            return
        for owner, reserved in table.owner_reserved.items():
            total = self._total(rows.team_of(current, owner))
            total.cores_milli += reserved.cores_milli
            total.memory_mb += reserved.memory_mb
            total.accelerators += reserved.accelerators

    def _total(self, team: str) -> task_index.Reserved:
        return self.usage.setdefault(team, task_index.Reserved())

    def allows(self, team: str, amount: messages.Resources) -> bool:
        """Returns whether a team may reserve another amount."""
        quota = self.quotas.get(team)
        if quota is None:
            return True
        used = self._total(team)
        limit = quota.resources
        return (
            used.cores_milli + amount.cores_milli <= limit.cores_milli
            and used.memory_mb + amount.memory_mb <= limit.memory_mb
            and used.accelerators + amount.accelerators <= limit.accelerators
        )

    def reserve(self, team: str, amount: messages.Resources) -> None:
        """Adds the amount of a decided start to a team's usage."""
        if team in self.quotas:
            self._total(team).add(amount, 1)
