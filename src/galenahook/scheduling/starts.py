"""Sends orders for committed starts and detects those that never arrived.

The capacity of a start stays reserved while no reply arrives. The order is
resent a few times, based on a newer announcement. After that, the worker's
announcements show whether the attempt runs there, once the time to live of
every order sent has passed on the worker's clock.
"""

from collections.abc import Iterable
import dataclasses

import curio

from galenahook import commands
from galenahook import defaults
from galenahook import errors
from galenahook import messages
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import rows
from galenahook.scheduling import tasks as tasks_lib
from galenahook.upstreams import workers as workers_lib

MAX_SEND_ATTEMPTS = 3
RESEND_PERIOD_MS = defaults.ANNOUNCE_PERIOD_MS


@dataclasses.dataclass(slots=True)
class SentStart:
    """A committed start that its worker has not announced yet.

    Attributes:
      task: Task identifier.
      attempt: Attempt number.
      worker: Name of the worker.
      incarnation: Incarnation of the worker.
      basis_sent_ms: Send time, on the worker's clock, of the newest
        announcement that an order was based on.
      sends: Number of orders that may have reached the worker.
      sent_ms: Monotonic time of the last order.
      posting: Whether an order is being sent now.
      inherited: Whether an earlier leader may have sent orders too.
    """

    task: str
    attempt: int
    worker: str
    incarnation: str
    basis_sent_ms: int = 0
    sends: int = 0
    sent_ms: int = 0
    posting: bool = False
    inherited: bool = False


class Starts:
    """Tracks starts that their workers have not announced yet.

    Attributes:
      context: State and services shared by the parts of the scheduler.
      unannounced: Starts by task.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self.context = context
        self.unannounced: dict[str, SentStart] = {}

    async def begin(self, starts: Iterable[commands.AttemptStart]) -> None:
        """Sends orders for starts that were just committed."""
        for start in starts:
            sent = SentStart(
                start.task, start.attempt, start.worker, start.incarnation
            )
            self.unannounced[start.task] = sent
            await self._spawn(sent)

    async def follow_up(self) -> list[commands.AttemptEnd]:
        """Resends orders that are due; returns ends of starts never sent."""
        ends = []
        for sent in list(self.unannounced.values()):
            record = self.context.tasks.records.get(sent.task)
            if record is None or not tasks_lib.is_current(
                record, sent.task, sent.attempt
            ):
                del self.unannounced[sent.task]
                continue
            if self._is_announced(sent):
                del self.unannounced[sent.task]
                continue
            if sent.posting:
                continue
            if not sent.sends and not sent.inherited:
                ends.append(
                    context_lib.attempt_gone(record, "not sent", began=False)
                )
            elif self._is_resend_due(sent, record):
                await self._spawn(sent)
        return ends

    def adopt(self, record: tasks_lib.TaskRecord, sent_ms: int) -> None:
        """Tracks an attempt that an earlier leader may have started.

        Args:
          record: The held task.
          sent_ms: Send time, on the worker's clock, of an announcement that
            does not list the attempt.
        """
        self.unannounced[record.task] = SentStart(
            record.task,
            record.attempt,
            record.worker,
            record.incarnation,
            basis_sent_ms=sent_ms,
            inherited=True,
        )

    def is_proven_absent(self, sent: SentStart, sent_ms: int) -> bool:
        """Returns whether an announcement proves that a start never runs.

        Args:
          sent: The start.
          sent_ms: Send time, on the worker's clock, of an announcement that
            does not list the attempt.
        """
        timing = self.context.timing
        limit_ms = timing.start_ttl_ms
        if sent.inherited:
            limit_ms += timing.worker_lease_ms
        return not sent.posting and sent_ms >= sent.basis_sent_ms + limit_ms

    def _is_announced(self, sent: SentStart) -> bool:
        worker = self.context.workers.workers.get(sent.worker)
        if worker is None or sent.incarnation != _incarnation(worker):
            return False
        status = worker.attempts.get(sent.task)
        return status is not None and status.attempt == sent.attempt

    def _is_resend_due(
        self, sent: SentStart, record: tasks_lib.TaskRecord
    ) -> bool:
        elapsed_ms = self.context.clock.monotonic_ms() - sent.sent_ms
        return (
            sent.sends < MAX_SEND_ATTEMPTS
            and elapsed_ms >= RESEND_PERIOD_MS
            and not record.evicting
        )

    async def _spawn(self, sent: SentStart) -> None:
        sent.posting = True
        await curio.spawn(self._send, sent, daemon=True)

    async def _send(self, sent: SentStart) -> None:
        try:
            await self._post(sent)
        finally:
            sent.posting = False

    async def _post(self, sent: SentStart) -> None:
        order = self._order(sent)
        if order is None:
            return
        sent.sends += 1
        sent.sent_ms = self.context.clock.monotonic_ms()
        try:
            reply = await self.context.post(
                sent.worker, "/v1/start", order, messages.StartReply
            )
        except errors.ExchangeError as error:
            sent.sends -= not error.sent
            self.context.quarantine.note_not_accepted(sent.worker)
            return
        if reply.accepted:
            self.context.quarantine.note_accepted(sent.worker)
        elif sent.sends == 1 and not sent.inherited:
            await self._handle_refusal(sent, reply.reason)

    def _order(self, sent: SentStart) -> messages.StartOrder | None:
        """Returns the order, or None if it may not be sent now."""
        context = self.context
        record = context.tasks.records.get(sent.task)
        worker = context.workers.workers.get(sent.worker)
        if record is None or worker is None or record.evicting:
            return None
        if not tasks_lib.is_current(record, sent.task, sent.attempt):
            return None
        if sent.incarnation != _incarnation(worker):
            return None
        if (
            not context.may_start_on(sent.worker)
            or not context.node.has_valid_lease()
        ):
            return None
        announcement = worker.announcement
        sent.basis_sent_ms = max(sent.basis_sent_ms, announcement.sent_at_ms)
        return messages.StartOrder(
            task=sent.task,
            attempt=sent.attempt,
            incarnation=sent.incarnation,
            basis_sequence=announcement.sequence,
            ttl_ms=context.timing.start_ttl_ms,
            resources=record.reserved,
            command=rows.command_of(
                context.configuration, tasks_lib.owner_of(sent.task)
            ),
            checkpoint=record.checkpoint,
        )

    async def _handle_refusal(self, sent: SentStart, reason: str) -> None:
        self.context.quarantine.note_not_accepted(sent.worker)
        record = self.context.tasks.records.get(sent.task)
        if record is None or not tasks_lib.is_current(
            record, sent.task, sent.attempt
        ):
            return
        end = context_lib.attempt_gone(
            record, f"refused: {reason}", began=False
        )
        await self.context.commit_ends([end])


def _incarnation(worker: workers_lib.Worker) -> str:
    return worker.announcement.incarnation
