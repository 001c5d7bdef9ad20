"""What the scheduler's parts share: the state, the workers and the wires."""

from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import Protocol
from typing import TypeVar

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import errors
from galenahook import messages
from galenahook import settings
from galenahook import web
from galenahook.replicas import node as node_lib
from galenahook.scheduling import journal as journal_lib
from galenahook.scheduling import quarantine as quarantine_lib
from galenahook.scheduling import task_table
from galenahook.scheduling import tasks as tasks_lib
from galenahook.upstreams import workers as workers_lib

_ReplyT = TypeVar("_ReplyT")


class OrderClient(Protocol):
    """The part of `web.ControlClient` that sends orders."""

    async def post(
        self, address: str, target: str, message: Any, timeout_ms: int = ...
    ) -> web.Response:
        """Posts a message and returns the whole response."""


@dataclasses.dataclass(slots=True)
class Context:
    """Shared by the scheduler's parts.

    Attributes:
      node: The replica that this leader runs on.
      workers: Workers heard of in this term.
      client: Sends orders to workers.
      clock: Clock of this process.
      timing: Periods of the site.
      quarantine: Failures by worker and by job.
      journal: Log lines and metrics.
    """

    node: node_lib.Node
    workers: workers_lib.WorkerRegistry
    client: OrderClient
    clock: clock_lib.Clock
    timing: settings.Timing
    quarantine: quarantine_lib.Quarantine
    journal: journal_lib.Journal

    @property
    def tasks(self) -> task_table.TaskTable:
        """Every task."""
        return self.node.state.tasks

    @property
    def configuration(self) -> configuration_lib.ConfigurationRecord:
        """The configuration in force."""
        return self.node.state.configuration.current

    def is_closed(self, name: str) -> bool:
        """Returns whether a worker is to be emptied."""
        worker = self.workers.workers.get(name)
        if worker is None:
            return False
        announcement = worker.announcement
        configuration = self.configuration
        return (
            announcement.leaving
            or name in configuration.drained
            or announcement.availability_zone
            in configuration.availability_zones_out
        )

    def may_start_on(self, name: str) -> bool:
        """Returns whether a start may be sent to a worker at this moment."""
        return (
            self.workers.is_usable(name)
            and not self.is_closed(name)
            and not self.quarantine.is_closed(name)
        )

    async def commit(self, command: commands.Command) -> commands.Result | None:
        """Commits a command; None if it is not known to be committed.

        The next round reads from the state what became of it.
        """
        try:
            result = await self.node.submit(command)
        except (
            errors.NotLeaderError,
            errors.NoQuorumError,
            errors.StorageError,
        ):
            return None
        self._record(command)
        return result

    def _record(self, command: commands.Command) -> None:
        match command:
            case commands.StartAttempts(starts=starts):
                self.journal.started(starts)
            case commands.EvictAttempts(attempts=refs, reason=reason):
                self.journal.evicting(refs, reason)
            case commands.EndAttempts(ends=ends):
                self.journal.ended(ends)

    async def commit_ends(self, ends: Iterable[commands.AttemptEnd]) -> None:
        """Commits ends of attempts, if there are any."""
        listed = tuple(ends)
        if not listed:
            return
        touched = {
            self.tasks.records[end.task].worker
            for end in listed
            if end.task in self.tasks.records
        }
        await self.commit(
            commands.EndAttempts(ends=listed, at_ms=self.clock.wall_ms())
        )
        self.workers.changed.update(touched)

    async def post(
        self,
        worker: str,
        target: str,
        order: messages.Message,
        reply_type: type[_ReplyT],
    ) -> _ReplyT:
        """Posts an order to a worker and returns its reply.

        Raises:
          errors.ExchangeError: No valid reply arrived in time.
        """
        known = self.workers.workers.get(worker)
        if known is None:
            raise errors.ExchangeError(f"{worker}: unknown worker", False)
        address = known.announcement.address
        response = await self.client.post(address, target, order)
        if response.status != 200:
            raise errors.ExchangeError(
                f"{address}: status {response.status}", True
            )
        try:
            return messages.decode(response.body, reply_type)
        except errors.InvalidInputError as error:
            raise errors.ExchangeError(f"{address}: {error}", True) from error


def gone(
    record: tasks_lib.TaskRecord,
    reason: str,
    began: bool = True,
    in_doubt: bool = False,
) -> commands.AttemptEnd:
    """Returns the end of a held attempt that is proven not to run."""
    outcome = commands.AttemptGone(
        reason=reason, began=began, in_doubt=in_doubt
    )
    return commands.AttemptEnd(
        task=record.task, attempt=record.attempt, outcome=outcome
    )
