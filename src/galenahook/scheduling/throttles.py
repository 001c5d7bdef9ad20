"""Throttles of running attempts, enforced until they are lifted."""

from collections.abc import Iterable
import contextlib
import dataclasses

import curio

from galenahook import errors
from galenahook import messages
from galenahook.scheduling import colocation as colocation_lib
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import tasks as tasks_lib

FULL_PERCENT = 100
RESEND_PERIOD_MS = 1_500


@dataclasses.dataclass(slots=True)
class _RequestedThrottle:
    attempt: int
    percent: int
    sent_ms: int


class Throttles:
    """Throttles by task, resent if a worker does not announce them.

    Attributes:
      context: State and services shared by the parts of the scheduler.
      colocation: Updated with each throttle, as it reduces interference.
    """

    def __init__(
        self,
        context: context_lib.Context,
        colocation: colocation_lib.Colocation,
    ) -> None:
        self.context = context
        self.colocation = colocation
        self._requested: dict[str, _RequestedThrottle] = {}

    async def set(self, task: str, percent: int) -> None:
        """Limits a task's current attempt to a percentage of its processors."""
        record = self.context.tasks.records[task]
        self._request(record, percent)
        self.colocation.refresh([record.worker])
        await curio.spawn(self._send, record, percent, daemon=True)

    def adopt(self, names: Iterable[str]) -> None:
        """Adopts throttles that an earlier leader set."""
        for name in names:
            worker = self.context.workers.workers.get(name)
            for task in worker.throttled if worker else ():
                record = self.context.tasks.records.get(task)
                if worker is None or record is None or task in self._requested:
                    continue
                status = worker.attempts[task]
                if tasks_lib.is_current(record, task, status.attempt):
                    self._request(record, status.throttle_percent)

    def _request(self, record: tasks_lib.TaskRecord, percent: int) -> None:
        now_ms = self.context.clock.monotonic_ms()
        self._requested[record.task] = _RequestedThrottle(
            record.attempt, percent, now_ms
        )
        self.colocation.throttles[record.task] = percent

    async def follow_up(self) -> None:
        """Resends throttles not announced, discards those no longer needed."""
        now_ms = self.context.clock.monotonic_ms()
        for task, requested in list(self._requested.items()):
            record = self.context.tasks.records.get(task)
            if record is None or not tasks_lib.is_current(
                record, task, requested.attempt
            ):
                self._discard(task)
                continue
            if now_ms - requested.sent_ms < RESEND_PERIOD_MS:
                continue
            announced = self._announced_percent(record)
            if announced != requested.percent:
                requested.sent_ms = now_ms
                await curio.spawn(
                    self._send, record, requested.percent, daemon=True
                )
            elif requested.percent == FULL_PERCENT:
                self._discard(task)

    def _discard(self, task: str) -> None:
        del self._requested[task]
        self.colocation.throttles.pop(task, None)

    def _announced_percent(self, record: tasks_lib.TaskRecord) -> int:
        worker = self.context.workers.workers.get(record.worker)
        status = worker.attempts.get(record.task) if worker else None
        return status.throttle_percent if status else FULL_PERCENT

    async def _send(self, record: tasks_lib.TaskRecord, percent: int) -> None:
        order = messages.ThrottleOrder(
            task=record.task, attempt=record.attempt, percent=percent
        )
        with contextlib.suppress(errors.ExchangeError):
            await self.context.post(
                record.worker, "/v1/throttle", order, messages.ThrottleReply
            )
