"""Quotas: what each team's tasks may reserve at once."""

from galenahook import configuration as configuration_lib
from galenahook import messages
from galenahook.scheduling import rows
from galenahook.scheduling import task_index
from galenahook.scheduling import task_table


class TeamUse:
    """What each team reserves, followed through rounds of decisions.

    Ends of attempts are left out until it is built again, so that it never
    shows less than is reserved.
    """

    __slots__ = ("quotas", "use")

    def __init__(
        self,
        current: configuration_lib.ConfigurationRecord,
        table: task_table.TaskTable,
    ) -> None:
        self.quotas = current.quotas
        self.use: dict[str, task_index.Reserved] = {}
        if not self.quotas:
            return
        for owner, reserved in table.owner_reserved.items():
            total = self._total(rows.team_of(current, owner))
            total.cores_milli += reserved.cores_milli
            total.memory_mb += reserved.memory_mb
            total.accelerators += reserved.accelerators

    def _total(self, team: str) -> task_index.Reserved:
        return self.use.setdefault(team, task_index.Reserved())

    def allows(self, team: str, amount: messages.Resources) -> bool:
        """Returns whether a team may reserve an amount more."""
        quota = self.quotas.get(team)
        if quota is None:
            return True
        used = self._total(team)
        most = quota.resources
        return (
            used.cores_milli + amount.cores_milli <= most.cores_milli
            and used.memory_mb + amount.memory_mb <= most.memory_mb
            and used.accelerators + amount.accelerators <= most.accelerators
        )

    def take(self, team: str, amount: messages.Resources) -> None:
        """Counts a start that was decided."""
        if team in self.quotas:
            self._total(team).add(amount, 1)
