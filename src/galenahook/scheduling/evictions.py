"""Evictions: checkpoint a task, commit the reference, and stop the attempt.

Each eviction runs as a curio task. It can be abandoned at any point and
restarted, also by another leader: the replicated state holds the checkpoint
reference and the eviction mark, and the attempt ends only when its worker's
announcements, its report or an expired lease prove that it has stopped.
"""

import curio

from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import tasks as tasks_lib

RETRY_MS = 1_000
# Speed of a task that may not be repeated while its checkpoint is taken, since
# its work after the checkpoint runs again when it resumes.
CHECKPOINT_SPEED_PERCENT = 1
FULL_PERCENT = 100


class Evictions:
    """Carries out the evictions marked in the replicated state.

    Attributes:
      context: State and services shared by the parts of the scheduler.
      next_try_ms: Monotonic time of the next try, by task and attempt being
        evicted.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self.context = context
        self.next_try_ms: dict[tuple[str, int], int] = {}

    async def follow_up(self, checkpoints: bool = True) -> None:
        """Starts or retries the eviction of every marked attempt.

        Args:
          checkpoints: Whether batch tasks are checkpointed first.
        """
        now_ms = self.context.clock.monotonic_ms()
        marked = {}
        for task in list(self.context.tasks.evicting):
            record = self.context.tasks.records[task]
            key = (task, record.attempt)
            marked[key] = self.next_try_ms.get(key, 0)
            if marked[key] <= now_ms:
                # Tried again after this time even if this try hangs.
                marked[key] = now_ms + 60_000
                await curio.spawn(self._evict, record, checkpoints, daemon=True)
        self.next_try_ms = marked

    async def _evict(
        self, record: tasks_lib.TaskRecord, checkpoints: bool
    ) -> None:
        key = (record.task, record.attempt)
        try:
            await self._evict_once(record, checkpoints)
        except errors.ExchangeError:
            pass
        finally:
            if key in self.next_try_ms:
                now_ms = self.context.clock.monotonic_ms()
                self.next_try_ms[key] = now_ms + RETRY_MS

    async def _evict_once(
        self, record: tasks_lib.TaskRecord, checkpoints: bool
    ) -> None:
        keeps_work = checkpoints and record.evicting != tasks_lib.CANCELLED
        batch = not tasks_lib.is_service(record.task)
        if keeps_work and batch and not await self._checkpoint(record):
            return
        if not self.context.node.has_valid_lease():
            return
        await self.context.post(
            record.worker,
            "/v1/stop",
            messages.StopOrder(task=record.task, attempt=record.attempt),
            messages.StopReply,
        )

    async def _checkpoint(self, record: tasks_lib.TaskRecord) -> bool:
        """Takes and commits a checkpoint; returns whether to stop the task."""
        configuration = self.context.configuration
        if not tasks_lib.is_repeatable(configuration, record.task):
            await self._slow_for_checkpoint(record)
        reference = await self._take_checkpoint(record)
        if not reference:
            return await self._handle_failed_checkpoint(record)
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

    async def _handle_failed_checkpoint(
        self, record: tasks_lib.TaskRecord
    ) -> bool:
        """Decides what happens to a task whose checkpoint failed.

        A task that may not be repeated gets its full speed back and is not
        stopped. Unless the worker is draining, the eviction mark is removed.

        Returns:
          Whether to stop the task: if it may be repeated and its worker is
          draining.
        """
        repeatable = tasks_lib.is_repeatable(
            self.context.configuration, record.task
        )
        if not repeatable:
            await self.throttle(record, FULL_PERCENT)
        if self.context.is_draining(record.worker):
            return repeatable
        ref = messages.AttemptRef(task=record.task, attempt=record.attempt)
        await self.context.commit(
            commands.EvictAttempts(attempts=(ref,), reason="")
        )
        return False

    async def _slow_for_checkpoint(self, record: tasks_lib.TaskRecord) -> None:
        await self.throttle(record, CHECKPOINT_SPEED_PERCENT)

    async def throttle(
        self, record: tasks_lib.TaskRecord, percent: int
    ) -> bool:
        """Sets an attempt's processor share; returns if it took effect."""
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
