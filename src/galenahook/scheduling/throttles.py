"""Throttles of running attempts, kept in force until they are taken back."""

import dataclasses

import curio

from galenahook import errors
from galenahook import messages
from galenahook.scheduling import colocation as colocation_lib
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import tasks as tasks_lib

FULL_PERCENT = 100


@dataclasses.dataclass(slots=True, frozen=True)
class _Wanted:
    attempt: int
    percent: int


class Throttles:
    """Throttles by task, sent again where a worker does not show them.

    Attributes:
      context: What the scheduler's parts share.
      colocation: Told of each throttle, since it lessens interference.
    """

    def __init__(
        self,
        context: context_lib.Context,
        colocation: colocation_lib.Colocation,
    ) -> None:
        self.context = context
        self.colocation = colocation
        self._wanted: dict[str, _Wanted] = {}

    async def set(self, task: str, percent: int) -> None:
        """Throttles a task's current attempt to a share of its processors."""
        record = self.context.tasks.records[task]
        self._wanted[task] = _Wanted(record.attempt, percent)
        self.colocation.throttles[task] = percent
        self.colocation.refresh([record.worker])
        await curio.spawn(self._send, record, percent, daemon=True)

    async def follow_up(self) -> None:
        """Forgets throttles of attempts that ended."""
        for task, wanted in list(self._wanted.items()):
            record = self.context.tasks.records.get(task)
            if (
                record is None
                or not tasks_lib.is_current(record, task, wanted.attempt)
                or wanted.percent == FULL_PERCENT
            ):
                del self._wanted[task]
                self.colocation.throttles.pop(task, None)

    async def _send(self, record: tasks_lib.TaskRecord, percent: int) -> None:
        order = messages.ThrottleOrder(
            task=record.task, attempt=record.attempt, percent=percent
        )
        try:
            await self.context.post(
                record.worker, "/v1/throttle", order, messages.ThrottleReply
            )
        except errors.ExchangeError:
            self._wanted.pop(record.task, None)
            self.colocation.throttles.pop(record.task, None)
