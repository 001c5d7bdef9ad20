"""Evictions: checkpoint, commit its reference, stop, prove it stopped.

Each eviction is one curio task, written straight down. It can be abandoned at
any line and begun again, also by another leader: the state has the checkpoint
and the mark, and only a proof ends the attempt.
"""

import curio

from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import tasks as tasks_lib

RETRY_MS = 1_000
PAUSED_PERCENT = 1
FULL_PERCENT = 100


class Evictions:
    """Carries out evictions that are marked in the state.

    Attributes:
      context: What the scheduler's parts share.
      running: Evictions under way, with the time of the next try.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self.context = context
        self.running: dict[tuple[str, int], int] = {}

    async def follow_up(self, checkpoints: bool = True) -> None:
        """Begins or retries the eviction of every marked attempt.

        Args:
          checkpoints: Whether evicted work keeps what it did.
        """
        now_ms = self.context.clock.monotonic_ms()
        marked = {}
        for task in list(self.context.tasks.evicting):
            record = self.context.tasks.records[task]
            key = (task, record.attempt)
            marked[key] = self.running.get(key, 0)
            if marked[key] <= now_ms:
                marked[key] = now_ms + 60_000
                await curio.spawn(self._evict, record, checkpoints, daemon=True)
        self.running = marked

    async def _evict(
        self, record: tasks_lib.TaskRecord, checkpoints: bool
    ) -> None:
        key = (record.task, record.attempt)
        try:
            await self._evict_once(record, checkpoints)
        except errors.ExchangeError:
            pass
        finally:
            if key in self.running:
                now_ms = self.context.clock.monotonic_ms()
                self.running[key] = now_ms + RETRY_MS

    async def _evict_once(
        self, record: tasks_lib.TaskRecord, checkpoints: bool
    ) -> None:
        keeps_work = checkpoints and record.evicting != tasks_lib.CANCELLED
        batch = not tasks_lib.is_service(record.task)
        if keeps_work and batch and not await self._checkpoint(record):
            return
        if not self.context.node.may_act():
            return
        await self.context.post(
            record.worker,
            "/v1/stop",
            messages.StopOrder(task=record.task, attempt=record.attempt),
            messages.StopReply,
        )

    async def _checkpoint(self, record: tasks_lib.TaskRecord) -> bool:
        """Takes and commits a checkpoint; False to leave it running."""
        configuration = self.context.configuration
        if not tasks_lib.is_repeatable(configuration, record.task):
            await self._pause(record)
        reference = await self._take_checkpoint(record)
        if not reference:
            return await self._without_checkpoint(record)
        taken = commands.CheckpointTaken(
            task=record.task, attempt=record.attempt, reference=reference
        )
        result = await self.context.commit(
            commands.RecordCheckpoints(checkpoints=(taken,))
        )
        return isinstance(result, commands.AttemptsApplied) and all(
            result.applied
        )

    async def _take_checkpoint(self, record: tasks_lib.TaskRecord) -> str:
        try:
            reply = await self.context.post(
                record.worker,
                "/v1/checkpoint",
                messages.CheckpointOrder(
                    task=record.task, attempt=record.attempt
                ),
                messages.CheckpointReply,
            )
        except errors.ExchangeError:
            return ""
        return reply.reference

    async def _without_checkpoint(self, record: tasks_lib.TaskRecord) -> bool:
        """Decides after a failed checkpoint whether to stop all the same."""
        repeatable = tasks_lib.is_repeatable(
            self.context.configuration, record.task
        )
        if not repeatable:
            await self.throttle(record, FULL_PERCENT)
        if self.context.is_closed(record.worker):
            return repeatable
        ref = messages.AttemptRef(task=record.task, attempt=record.attempt)
        await self.context.commit(
            commands.EvictAttempts(attempts=(ref,), reason="")
        )
        return False

    async def _pause(self, record: tasks_lib.TaskRecord) -> None:
        await self.throttle(record, PAUSED_PERCENT)

    async def throttle(
        self, record: tasks_lib.TaskRecord, percent: int
    ) -> bool:
        """Sets the share of processors of an attempt; False if unknown."""
        order = messages.ThrottleOrder(
            task=record.task, attempt=record.attempt, percent=percent
        )
        try:
            reply = await self.context.post(
                record.worker, "/v1/throttle", order, messages.ThrottleReply
            )
        except errors.ExchangeError:
            return False
        return reply.applied
