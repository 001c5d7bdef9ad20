"""The leader's link to one incarnation of a worker.

One curio task polls the worker continuously: each poll renews its lease,
acknowledges committed ends and lists its runs. Orders are sent concurrently. A
run is removed from the worker only when it is certain that it can no longer run
there.
"""

import enum

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import logs
from galenahook.jobs import crashes
from galenahook.jobs import link_owner
from galenahook.jobs import worker_api
from galenahook.jobs import workers as workers_lib
from galenahook.replicas import notify

# Longest wait of a poll. An end completes it at once; tail latency and
# processor use are updated at this period.
POLL_WAIT_MS = 500
# Wait of a poll whose reply is needed at once, and whose timeout is short.
SHORTEST_WAIT_MS = 1
# Reply time, without any wait for ends, of a worker that counts as slow.
SLOW_REPLY_MS = 600
# Pause after a failed poll, so that a worker that is down costs little.
POLL_RETRY_MS = 250
# Longest wait for the commit of ends before the next poll.
COMMIT_WAIT_MS = 500
# Time between two stops for the same run.
STOP_RETRY_MS = 400
# Time in which a start without a reply may still appear in a poll.
UNANSWERED_START_WAIT_MS = 700


class Identification(enum.Enum):
    """Which incarnation replied at the address of an announced worker."""

    ANNOUNCED = "announced"
    OTHER = "other"
    UNKNOWN = "unknown"


class Link:
    """Polls one worker and sends it orders.

    Attributes:
      worker: The worker.
      ended: Whether polling has ended: the incarnation was replaced or removed,
        or the term is over.
      lease_ms: Duration of the leases to send.
      queued_end: Number of the last end queued for its commit.
      fence: Fencing token of its calls. A worker that has seen it refuses the
        calls of earlier links and leaders, which it may otherwise carry out
        although they were sent to an earlier incarnation.
      is_gone: Whether the last poll showed that the incarnation has ended: its
        address refused the connection, or another incarnation replied.
    """

    def __init__(
        self,
        worker: workers_lib.Worker,
        client: worker_api.WorkerClient,
        owner: link_owner.LinkOwner,
        lease_ms: int,
    ) -> None:
        self.worker = worker
        self.client = client
        self.ended = False
        client.require(self._may_send)
        self.lease_ms = lease_ms
        self.queued_end = 0
        self.fence = owner.next_fence()
        self._owner = owner
        self.is_gone = False
        # Whether it accepts connections but takes long to reply.
        self._is_slow = False
        self._stray_stops: set[tuple[str, int]] = set()
        self._committed = notify.Signal()

    def _may_send(self) -> bool:
        return not self.ended and self._owner.may_lead()

    async def run(self) -> None:
        """Polls the worker until `ended` is set."""
        try:
            while not self.ended:
                if not self._owner.may_lead() or not await self._try_poll():
                    await curio.sleep(clock_lib.seconds(POLL_RETRY_MS))
        finally:
            await self.client.close()

    async def identify(self, fence: int) -> Identification:
        """Asks which incarnation listens at the worker's address.

        The poll carries no lease and acknowledges nothing.

        Args:
          fence: Fencing token that a worker which is in use has seen already.
        """
        try:
            reply = await self.client.poll(fence, 0, 0, self._short_wait_ms())
        except worker_api.DeposedError:
            await self._note_deposed()
            return Identification.UNKNOWN
        except worker_api.ReplacedError:
            return Identification.OTHER
        except errors.ExchangeError as error:
            self._note_failure(error)
            return Identification.UNKNOWN
        if reply.born_ms != self.worker.heartbeat.born_ms:
            return Identification.OTHER
        now_ms = self._owner.now_ms()
        self.worker.begin_clock(reply.clock_ms, now_ms)
        self.worker.last_reply_ms = now_ms
        self.worker.broken_off_ms = 0
        self.is_gone = self.worker.is_unresponsive = False
        return Identification.ANNOUNCED

    def _short_wait_ms(self) -> int:
        return 0 if self._is_slow else SHORTEST_WAIT_MS

    async def note_committed(self, number: int) -> None:
        """Acknowledges ends up to a number with the next poll."""
        self.worker.acknowledged = max(self.worker.acknowledged, number)
        await self._committed.notify()

    async def _try_poll(self) -> bool:
        """Polls once; an unexpected exception counts as a failed poll."""
        try:
            return await self._poll()
        except Exception as error:
            logs.failure("worker:poll-failed", error, worker=self.worker.name)
            return False

    async def _poll(self) -> bool:
        worker = self.worker
        if worker.acknowledged < worker.last_processed_end:
            await self._committed.wait(COMMIT_WAIT_MS)
            if self.ended or not self._owner.may_lead():
                return False
        sent_ms = self._owner.now_ms()
        try:
            reply = await self.client.poll(
                self.fence,
                self._end_to_acknowledge(),
                self._lease_end_to_send_ms(sent_ms),
                self._wait_ms(),
            )
        except worker_api.DeposedError:
            await self._note_deposed()
            return False
        except worker_api.ReplacedError:
            self.is_gone = self.worker.is_unresponsive = True
            return False
        except errors.ExchangeError as error:
            self._note_failure(error)
            self._log_unresponsive(str(error))
            return False
        except Exception:
            self.worker.is_unresponsive = True
            raise
        self.is_gone = reply.born_ms not in (0, worker.heartbeat.born_ms)
        self.worker.is_unresponsive = self.is_gone
        if self.is_gone:
            return False
        reply_ms = self._owner.now_ms() - sent_ms
        self._is_slow = self._is_slow and reply_ms > SLOW_REPLY_MS
        await self._apply_reply(reply, sent_ms)
        return True

    def _wait_ms(self) -> int:
        """Returns how long the next poll waits for an end.

        Nothing starts on a worker before its first reply.
        """
        if self._is_slow or not self.worker.has_polled:
            return self._short_wait_ms()
        return POLL_WAIT_MS

    def _note_failure(self, error: errors.ExchangeError) -> None:
        """Records that a poll got no reply."""
        cause = error.__cause__
        self.is_gone = isinstance(cause, ConnectionRefusedError)
        is_timeout = isinstance(cause, curio.TaskTimeout)
        is_closed = cause is not None and not is_timeout
        # The second poll in a row without a reply is sent on a connection that
        # was opened for it.
        self._is_slow = (
            self.worker.is_unresponsive and is_timeout and error.sent
        )
        if is_closed and not self.worker.is_unresponsive:
            self.worker.broken_off_ms = self._owner.now_ms()
        self.worker.is_unresponsive = True

    def _end_to_acknowledge(self) -> int:
        """Returns the number of the end to acknowledge with a poll.

        An unresponsive worker may have restarted under its identifier. Nothing
        is acknowledged until this incarnation replies again, as the number
        would also discard ends of the next incarnation.
        """
        return 0 if self.worker.is_unresponsive else self.worker.acknowledged

    def _lease_end_to_send_ms(self, now_ms: int) -> int:
        """Returns the end of the lease to send with a poll; 0 for none.

        A worker whose reply was lost may have received the lease. While it is
        unresponsive no lease is sent, so that it expires. The last one would
        extend that of the next incarnation, whose clock has restarted.
        """
        if self.worker.is_unresponsive:
            return 0
        return self.worker.extend_lease(now_ms, self.lease_ms)

    def _log_unresponsive(self, reason: str) -> None:
        worker = self.worker
        silent_ms = self._owner.now_ms() - worker.last_reply_ms
        if (
            worker.has_polled
            and silent_ms < workers_lib.UNRESPONSIVE_AFTER_MS * 2
        ):
            logs.warning(
                "worker:silent",
                worker=worker.name,
                silent_ms=silent_ms,
                reason=reason,
            )

    async def _apply_reply(
        self, reply: worker_api.PollReply, sent_ms: int
    ) -> None:
        worker = self.worker
        now_ms = self._owner.now_ms()
        worker.record_clock(reply.clock_ms, now_ms)
        worker.last_reply_ms = now_ms
        worker.broken_off_ms = 0
        is_first = not worker.has_polled
        worker.has_polled = True
        if is_first:
            # Until now it took calls of earlier links, and their leases.
            worker.inherit_lease(now_ms, self.lease_ms)
        ends: list[commands.RunEnd] = []
        try:
            self._process_finished(reply.finished, ends)
            listed = {row.task: row for row in reply.running}
            await self._process_running(reply.running)
            if reply.complete:
                ends += self._end_absent(listed, sent_ms)
            self._owner.observe(worker)
        finally:
            # The runs that have ended are removed already, also after an error.
            has_new_ends = self.queued_end < worker.last_processed_end
            self.queued_end = worker.last_processed_end
            if ends or is_first or has_new_ends:
                await self._owner.queue_ends(ends)

    def _process_finished(
        self, rows: list[worker_api.FinishedRow], ends: list[commands.RunEnd]
    ) -> None:
        """Removes runs that have ended; adds their ends to a list."""
        worker = self.worker
        for row in rows:
            if row.number <= worker.last_processed_end:
                continue
            run = worker.runs.get(row.task)
            if run is None or run.run != row.run:
                self._owner.note_untracked_end(worker, row)
                worker.last_processed_end = row.number
                continue
            run.seen = True
            ends.append(
                self.end_run(run, row.outcome, row.checkpoint, row.detail)
            )
            worker.last_processed_end = row.number
            self._owner.note_end(worker, run, row.outcome)

    def end_run(
        self,
        run: workers_lib.LiveRun,
        outcome: str,
        checkpoint: str,
        detail: str,
        can_start_later: bool = True,
    ) -> commands.RunEnd:
        """Removes a run that has certainly ended; returns its end.

        Args:
          run: The run.
          outcome: Its outcome.
          checkpoint: Its latest checkpoint; empty for none.
          detail: The proof, for the log.
          can_start_later: Whether a later incarnation of the worker may carry
            out its start order, if that is still pending.
        """
        start_pending = can_start_later and run.start_pending
        self.worker.remove_run(run, self._owner.now_ms())
        logs.info(
            "run:end",
            job=run.job.description.job,
            queue=run.job.description.queue,
            task=run.task,
            run=run.run,
            worker=self.worker.name,
            born_ms=self.worker.heartbeat.born_ms,
            outcome=outcome,
            detail=run.stop_reason or detail,
            proof=detail,
            start_pending=start_pending,
            blame=run.blame.value,
        )
        return commands.RunEnd(
            task=run.task,
            run=run.run,
            outcome=outcome,
            checkpoint=checkpoint or run.checkpoint,
            blame=run.blame,
            start_pending=start_pending,
        )

    async def _process_running(self, rows: list[worker_api.RunningRow]) -> None:
        strays = []
        for row in rows:
            run = self.worker.runs.get(row.task)
            if run is None or run.run != row.run:
                strays.append(row)
                continue
            if not run.is_confirmed:
                self._owner.note_confirmed(self.worker, run)
            if not run.seen:
                # An adopted run did not end with its earlier incarnation.
                run.blame = commands.Blame.NONE
            run.seen = True
            run.seen_ms = run.seen_ms or self.worker.last_reply_ms
            run.checkpoint = row.checkpoint or run.checkpoint
            run.progress_percent = row.percent
            run.measurement = row.measurement
        self.worker.has_stray_runs = bool(strays)
        for row in strays:
            await self._stop_stray(row)

    async def _stop_stray(self, row: worker_api.RunningRow) -> None:
        """Stops a run that the replicated state does not contain."""
        stray = (row.task, row.run)
        if stray in self._stray_stops:
            return
        self._stray_stops.add(stray)
        logs.warning(
            "run:stray",
            task=row.task,
            run=row.run,
            worker=self.worker.name,
            born_ms=self.worker.heartbeat.born_ms,
        )
        await self._owner.spawn(self._send_stray_stop, row.task, row.run)

    async def _send_stray_stop(self, task: str, run: int) -> None:
        try:
            await self.client.stop(task, run, self.fence)
        except worker_api.DeposedError:
            await self._note_deposed()
        except Exception as error:
            self._log_failure("run:stop-failed", error, task, run)
        finally:
            self._stray_stops.discard((task, run))

    async def _note_deposed(self) -> None:
        """Reports that the worker has seen a later leader.

        A link that has ended may have been refused because of its successor.
        """
        if not self.ended:
            await self._owner.note_deposed_by(self.worker)

    def _log_failure(
        self, message_type: str, error: Exception, task: str, run: int
    ) -> None:
        logs.failure(
            message_type, error, task=task, run=run, worker=self.worker.name
        )

    def _end_absent(
        self, listed: dict[str, worker_api.RunningRow], sent_ms: int
    ) -> list[commands.RunEnd]:
        """Ends runs whose absence from a complete list proves their end."""
        absent = [
            run
            for run in self.worker.runs.values()
            if run.task not in listed and _is_proven_absent(run, sent_ms)
        ]
        return [self.end_run(run, "gone", "", "not listed") for run in absent]

    async def start(self, run: workers_lib.LiveRun) -> None:
        """Orders a start whose run is committed, unless it must not start."""
        if self.worker.runs.get(run.task) is not run:
            logs.info(
                "run:not-ordered",
                task=run.task,
                run=run.run,
                worker=self.worker.name,
            )
            return
        obstacle = self._start_obstacle(run)
        if obstacle:
            await self._end_unordered(run, obstacle)
            return
        try:
            answer, reason = await self._order_start(run)
        except Exception as error:
            self._log_failure("run:start-failed", error, run.task, run.run)
            answer, reason = worker_api.StartAnswer.UNKNOWN, repr(error)
        await self._handle_start_answer(run, answer, reason)

    def _start_obstacle(self, run: workers_lib.LiveRun) -> str:
        """Returns why a run must not start since its placement; else ""."""
        if not self._owner.may_lead():
            return "not the leader"
        if run.job.ended:
            return "job has ended"
        if self.worker.is_leaving:
            return "worker is leaving"
        if self.worker.is_unresponsive:
            return "worker does not reply"
        zone = self.worker.heartbeat.availability_zone
        if self._owner.is_zone_out(zone):
            return "availability zone is out of service"
        if self.worker.is_heartbeat_outdated(self._owner.now_ms()):
            return "heartbeat is outdated"
        if self.worker.is_over_capacity():
            return "capacity has shrunk"
        return ""

    async def _end_unordered(
        self, run: workers_lib.LiveRun, reason: str
    ) -> None:
        end = self.end_run(run, "gone", "", reason, can_start_later=False)
        await self._owner.queue_ends([end])

    async def _order_start(
        self, run: workers_lib.LiveRun
    ) -> tuple[worker_api.StartAnswer, str]:
        now_ms = run.sent_ms = self._owner.now_ms()
        min_clock_ms = self.worker.min_clock_ms(now_ms)
        run.sent = True
        return await self.client.start(
            worker_api.StartOrder(
                task=run.task,
                run=run.run,
                spec=run.job.description.spec,
                checkpoint=run.job.runs[run.key].checkpoint,
                lease_until_ms=self.worker.lease_for_start(
                    now_ms, self.lease_ms
                ),
                fence=self.fence,
                min_clock_ms=int(min_clock_ms),
            )
        )

    async def _handle_start_answer(
        self,
        run: workers_lib.LiveRun,
        answer: worker_api.StartAnswer,
        reason: str,
    ) -> None:
        match answer:
            case worker_api.StartAnswer.RUNNING:
                if not run.is_confirmed:
                    self._owner.note_confirmed(self.worker, run)
                run.confirmed_ms = self._owner.now_ms()
            case worker_api.StartAnswer.BROKEN_OFF:
                run.broken_off = True
                await self._resolve_start(run, reason)
            case worker_api.StartAnswer.UNKNOWN:
                await self._resolve_start(run, reason)
            case worker_api.StartAnswer.DEPOSED:
                await self._note_deposed()
            case _:
                self._owner.note_refusal(self.worker, run, answer, reason)
                if self.worker.runs.get(run.task) is run:
                    end = self.end_run(
                        run, "gone", "", reason, can_start_later=False
                    )
                    await self._owner.queue_ends([end])

    async def _resolve_start(
        self, run: workers_lib.LiveRun, reason: str
    ) -> None:
        """Waits for an unconfirmed start to appear in a poll, or stops it."""
        run.unanswered_ms = self._owner.now_ms()
        logs.warning(
            "run:start-unanswered",
            job=run.job.description.job,
            task=run.task,
            run=run.run,
            worker=self.worker.name,
            born_ms=self.worker.heartbeat.born_ms,
            waited_ms=run.unanswered_ms - run.sent_ms,
            reason=reason,
        )
        await curio.sleep(clock_lib.seconds(UNANSWERED_START_WAIT_MS))
        if not run.seen:
            await self.stop(run, "no reply to the start order")

    async def stop(self, run: workers_lib.LiveRun, reason: str) -> None:
        """Orders a stop repeatedly until the run has ended or is adopted."""
        if run.stopping or self.worker.runs.get(run.task) is not run:
            return
        run.stopping = True
        run.stop_reason = reason
        while self.worker.runs.get(run.task) is run and not self.ended:
            if self._owner.may_lead():
                await self._order_stop(run)
            await curio.sleep(clock_lib.seconds(STOP_RETRY_MS))

    async def _order_stop(self, run: workers_lib.LiveRun) -> None:
        try:
            is_confirmed = await self.client.stop(run.task, run.run, self.fence)
        except worker_api.DeposedError:
            await self._note_deposed()
            return
        except Exception as error:
            self._log_failure("run:stop-failed", error, run.task, run.run)
            return
        # An incarnation that has adopted the run must confirm its own stop.
        is_own = self.worker.runs.get(run.task) is run
        if is_confirmed and is_own and not run.stop_confirmed_ms:
            run.stop_confirmed_ms = self._owner.now_ms()

    async def throttle(self, run: workers_lib.LiveRun, percent: int) -> bool:
        """Orders a throttle.

        Returns:
          Whether the worker applied or refused the limit.
        """
        if not self._owner.may_lead():
            return False
        try:
            return await self.client.throttle(
                run.task, run.run, percent, self.fence
            )
        except Exception as error:
            self._log_failure("run:throttle-failed", error, run.task, run.run)
            return False

    async def end_incarnation(
        self, successor: "Link | None", reason: str
    ) -> list[commands.RunEnd]:
        """Ends every run, as the incarnation has certainly ended.

        A start without a reply may have reached a successor with the same
        identifier, or may still do so, so the successor adopts it. No other
        incarnation can receive it if there is no successor.
        """
        self.ended = True
        crashes.blame_runs(self.worker)
        ends = []
        for run in list(self.worker.runs.values()):
            if successor is not None and run.start_pending:
                self.worker.runs.pop(run.task)
                successor.adopt(run)
            else:
                end = self.end_run(
                    run, "gone", "", reason, can_start_later=False
                )
                ends.append(end)
        return ends

    def adopt(self, run: workers_lib.LiveRun) -> None:
        """Tracks a run that may have started on this incarnation instead.

        Its first reply shows whether it has: it then refuses the order.
        """
        run.ordered_ms = run.stop_confirmed_ms = 0
        run.stopping = run.broken_off = False
        run.stop_reason = ""
        self.worker.runs[run.task] = run


def _is_proven_absent(run: workers_lib.LiveRun, sent_ms: int) -> bool:
    """Returns whether absence from a poll sent at a time proves the end."""
    if not run.ordered_ms:
        # Ordered through an earlier link, whose orders the poll has fenced.
        return True
    if run.stop_confirmed_ms and run.stop_confirmed_ms < sent_ms:
        return True
    return bool(run.confirmed_ms and run.confirmed_ms < sent_ms)
