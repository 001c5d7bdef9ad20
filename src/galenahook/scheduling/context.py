"""State, workers and connections shared by the parts of the scheduler."""

from collections.abc import Iterable
import dataclasses
import itertools
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
    """Sends orders; the subset of `web.ControlClient` that is used here."""

    async def post(
        self, address: str, target: str, message: Any, timeout_ms: int = ...
    ) -> web.Response:
        """Posts a message and returns the whole response."""


@dataclasses.dataclass(slots=True)
class Context:
    """State and services shared by the parts of the scheduler.

    Attributes:
      node: Replica that the scheduler runs on.
      workers: Workers that announced themselves in this term.
      client: Sends orders to workers.
      clock: Clock of this process.
      timing: Periods and timeouts of the site.
      quarantine: Tracks failures by worker and by job.
      journal: Writes log lines and metrics.
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
        """The table of all tasks."""
        return self.node.state.tasks

    @property
    def configuration(self) -> configuration_lib.ConfigurationRecord:
        """The configuration in force."""
        return self.node.state.configuration.current

    def is_draining(self, name: str) -> bool:
        """Returns whether all tasks must leave a worker."""
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
        """Returns whether a start may be sent to a worker now."""
        return (
            self.workers.is_usable(name)
            and not self.is_draining(name)
            and not self.quarantine.is_quarantined(name)
        )

    async def commit(self, command: commands.Command) -> commands.Result | None:
        """Commits a command and returns its result.

        Returns None if it is unknown whether the command was committed. The
        next round sees in the state whether it was.
        """
        try:
            result = await self.node.submit(command)
        except (
            errors.NotLeaderError,
            errors.NoQuorumError,
            errors.StorageError,
        ):
            return None
        if isinstance(result, commands.AttemptsApplied):
            self._record(command, result.applied)
        return result

    def _record(
        self, command: commands.Command, applied: tuple[bool, ...]
    ) -> None:
        """Logs the parts of a command that took effect."""
        match command:
            case commands.StartAttempts(starts=starts):
                self.journal.started(itertools.compress(starts, applied))
            case commands.EvictAttempts(attempts=refs, reason=reason):
                chosen = itertools.compress(refs, applied)
                self.journal.evicting(chosen, reason)
            case commands.EndAttempts(ends=ends):
                self.journal.ended(itertools.compress(ends, applied))

    async def commit_ends(self, ends: Iterable[commands.AttemptEnd]) -> None:
        """Commits ends of attempts, if any are given."""
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


def attempt_gone(
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
