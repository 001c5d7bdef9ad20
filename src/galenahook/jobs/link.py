"""The leader's conversation with one incarnation of a worker.

One task looks at the worker over and over: each look renews its lease,
acknowledges ends that are committed and lists what runs. Orders go out beside
it. A run leaves the worker's table only on a proof that it can't run there
any more.
"""

from collections.abc import Callable
from typing import Any

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import logs
from galenahook.jobs import worker_api
from galenahook.jobs import workers as workers_lib
from galenahook.replicas import notify

# Ends wake a look; tails and usage are renewed each half second.
LOOK_WAIT_MS = 500
# Pause after a look that failed, so that a worker that is down costs little.
LOOK_RETRY_MS = 250
# Longest wait for the commit of ends before the next look.
COMMIT_WAIT_MS = 500
# Pause before a stop that was not answered is sent again.
STOP_RETRY_MS = 400
# Time in which a start without an answer may still show up by itself.
START_PATIENCE_MS = 700


class Link:
    """Looks at one worker and sends it orders.

    Attributes:
      worker: The worker.
      ended: Whether the incarnation has ended.
      lease_ms: Length of the leases to send.
      recorded_end: Number of the last end handed over for its commit.
    """

    def __init__(
        self,
        worker: workers_lib.Worker,
        client: worker_api.WorkerClient,
        owner: "LinkOwner",
        lease_ms: int,
    ) -> None:
        self.worker = worker
        self.client = client
        self.ended = False
        self.lease_ms = lease_ms
        self.recorded_end = 0
        self._owner = owner
        self._is_silent = False
        self._strays: set[tuple[str, int]] = set()
        self._committed = notify.Signal()

    async def run(self) -> None:
        """Looks at the worker until its incarnation has ended."""
        try:
            while not self.ended:
                if not self._owner.may_act() or not await self._look():
                    await curio.sleep(clock_lib.seconds(LOOK_RETRY_MS))
        finally:
            await self.client.close()

    async def note_committed(self, number: int) -> None:
        """Acknowledges ends up to a number with the next look."""
        self.worker.acknowledged = max(self.worker.acknowledged, number)
        await self._committed.notify()

    async def _look(self) -> bool:
        worker = self.worker
        if worker.acknowledged < worker.seen_end:
            await self._committed.wait(COMMIT_WAIT_MS)
        sent_ms = self._owner.now_ms()
        try:
            lists = await self.client.look(
                self._owner.term,
                worker.acknowledged,
                self._next_lease_ms(sent_ms),
                LOOK_WAIT_MS,
            )
        except worker_api.DeposedError:
            await self._owner.depose(worker)
            return False
        except worker_api.ReplacedError:
            return False
        except errors.ExchangeError as error:
            self._is_silent = True
            self._note_silence(str(error))
            return False
        self._is_silent = False
        if lists.born_ms not in (0, worker.heartbeat.born_ms):
            return False
        await self._take(lists, sent_ms)
        return True

    def _next_lease_ms(self, now_ms: int) -> int:
        """Returns the end of the lease to send with a look.

        A worker that did not answer may have taken the lease. While it is
        silent the lease is not extended, so that it ends.
        """
        worker = self.worker
        if self._is_silent and worker.lease_until_ms:
            return worker.lease_until_ms
        return worker.next_lease_ms(now_ms, self.lease_ms)

    def _note_silence(self, reason: str) -> None:
        worker = self.worker
        silent_ms = self._owner.now_ms() - worker.heard_ms
        if worker.looked and silent_ms < workers_lib.SUSPECT_MS * 2:
            logs.warning(
                "worker:silent",
                worker=worker.name,
                silent_ms=silent_ms,
                reason=reason,
            )

    async def _take(self, lists: worker_api.Lists, sent_ms: int) -> None:
        worker = self.worker
        now_ms = self._owner.now_ms()
        worker.note_clock(lists.clock_ms, now_ms)
        worker.heard_ms = now_ms
        first = not worker.looked
        worker.looked = True
        ends = self._take_finished(lists.finished)
        listed = {row.task: row for row in lists.running}
        await self._take_running(lists.running)
        if lists.complete:
            ends += self._find_absent(listed, sent_ms)
        self._owner.observe(worker)
        moved = self.recorded_end < worker.seen_end
        self.recorded_end = worker.seen_end
        if ends or first or moved:
            await self._owner.record_ends(ends)

    def _take_finished(
        self, rows: list[worker_api.FinishedRow]
    ) -> list[commands.RunEnd]:
        ends = []
        worker = self.worker
        for row in rows:
            if row.number <= worker.seen_end:
                continue
            worker.seen_end = row.number
            run = worker.runs.get(row.task)
            if run is None or run.run != row.run:
                continue
            self._owner.note_end(worker, run, row.outcome)
            ends.append(
                self.end_run(run, row.outcome, row.checkpoint, row.detail)
            )
        return ends

    def end_run(
        self,
        run: workers_lib.LiveRun,
        outcome: str,
        checkpoint: str,
        detail: str,
    ) -> commands.RunEnd:
        """Takes a run that is proven to have ended off the worker."""
        self.worker.take_off(run, self._owner.now_ms())
        logs.info(
            "run:end",
            job=run.job.description.job,
            task=run.task,
            run=run.run,
            worker=self.worker.name,
            outcome=outcome,
            detail=run.stop_reason or detail,
        )
        return commands.RunEnd(
            task=run.task,
            run=run.run,
            outcome=outcome,
            checkpoint=checkpoint or run.checkpoint,
        )

    async def _take_running(self, rows: list[worker_api.RunningRow]) -> None:
        for row in rows:
            run = self.worker.runs.get(row.task)
            if run is None or run.run != row.run:
                await self._stop_stray(row)
                continue
            run.seen = True
            run.checkpoint = row.checkpoint or run.checkpoint
            run.percent = row.percent
            run.measure = row.measure

    async def _stop_stray(self, row: worker_api.RunningRow) -> None:
        """Stops a run that the replicated state does not know."""
        stray = (row.task, row.run)
        if stray in self._strays:
            return
        self._strays.add(stray)
        logs.warning(
            "run:stray", task=row.task, run=row.run, worker=self.worker.name
        )
        await self._owner.spawn(self._send_stray_stop, row.task, row.run)

    async def _send_stray_stop(self, task: str, run: int) -> None:
        try:
            await self.client.stop(task, run, self._owner.term)
        except worker_api.DeposedError:
            await self._owner.depose(self.worker)
        self._strays.discard((task, run))

    def _find_absent(
        self, listed: dict[str, worker_api.RunningRow], sent_ms: int
    ) -> list[commands.RunEnd]:
        """Ends runs that this look proves not to be there any more."""
        absent = [
            run
            for run in self.worker.runs.values()
            if run.task not in listed and _is_proven_absent(run, sent_ms)
        ]
        return [self.end_run(run, "gone", "", "not listed") for run in absent]

    async def start(self, run: workers_lib.LiveRun) -> None:
        """Orders a start whose run is committed."""
        worker = self.worker
        now_ms = self._owner.now_ms()
        record = run.job.runs[run.key]
        answer, reason = worker_api.StartAnswer.REFUSED, "not leading"
        if self._owner.may_act() and run.job.ended:
            reason = "the job has ended"
        elif self._owner.may_act():
            answer, reason = await self.client.start(
                worker_api.StartOrder(
                    task=run.task,
                    run=run.run,
                    spec=run.job.description.spec,
                    checkpoint=record.checkpoint,
                    lease_until_ms=worker.next_lease_ms(now_ms, self.lease_ms),
                    term=self._owner.term,
                )
            )
        await self._take_start_answer(run, answer, reason)

    async def _take_start_answer(
        self,
        run: workers_lib.LiveRun,
        answer: worker_api.StartAnswer,
        reason: str,
    ) -> None:
        match answer:
            case worker_api.StartAnswer.RUNNING:
                run.confirmed_ms = self._owner.now_ms()
            case worker_api.StartAnswer.UNKNOWN:
                await self._resolve_start(run, reason)
            case worker_api.StartAnswer.DEPOSED:
                await self._owner.depose(self.worker)
            case _:
                self._owner.note_refusal(self.worker, run, answer, reason)
                if self.worker.runs.get(run.task) is run:
                    end = self.end_run(run, "gone", "", reason)
                    await self._owner.record_ends([end])

    async def _resolve_start(
        self, run: workers_lib.LiveRun, reason: str
    ) -> None:
        """Waits for a start without an answer to show up, else stops it."""
        logs.warning(
            "run:start-unanswered",
            job=run.job.description.job,
            task=run.task,
            run=run.run,
            worker=self.worker.name,
            reason=reason,
        )
        await curio.sleep(clock_lib.seconds(START_PATIENCE_MS))
        if not run.seen:
            await self.stop(run, "its start was not answered")

    async def stop(self, run: workers_lib.LiveRun, reason: str) -> None:
        """Orders a stop until the run has ended."""
        if run.stopping:
            return
        run.stopping = True
        run.stop_reason = reason
        while self.worker.runs.get(run.task) is run and not self.ended:
            if self._owner.may_act():
                await self._order_stop(run)
            await curio.sleep(clock_lib.seconds(STOP_RETRY_MS))

    async def _order_stop(self, run: workers_lib.LiveRun) -> None:
        try:
            answered = await self.client.stop(
                run.task, run.run, self._owner.term
            )
        except worker_api.DeposedError:
            await self._owner.depose(self.worker)
            return
        if answered and not run.refused_after_ms:
            run.refused_after_ms = self._owner.now_ms()

    async def throttle(self, run: workers_lib.LiveRun, percent: int) -> bool:
        """Orders a share of its speed; False without an answer."""
        if not self._owner.may_act():
            return False
        return await self.client.throttle(
            run.task, run.run, percent, self._owner.term
        )

    async def end_incarnation(
        self, successor: "Link | None", reason: str
    ) -> list[commands.RunEnd]:
        """Ends every run, as the incarnation is proven to have ended.

        A start that was never seen may yet reach a successor that has the
        same identifier, so it is followed there.
        """
        self.ended = True
        ends = []
        for run in list(self.worker.runs.values()):
            if successor is not None and not run.seen and run.ordered_ms:
                self.worker.runs.pop(run.task)
                await successor.adopt(run)
            else:
                ends.append(self.end_run(run, "gone", "", reason))
        return ends

    async def adopt(self, run: workers_lib.LiveRun) -> None:
        """Follows a start that may have reached this incarnation instead."""
        run.confirmed_ms = 0
        run.stopping = False
        self.worker.runs[run.task] = run
        await self._owner.spawn(self.stop, run, "its worker started again")


def _is_proven_absent(run: workers_lib.LiveRun, sent_ms: int) -> bool:
    """Whether a look sent then and without the run proves that it is gone."""
    if not run.ordered_ms:
        # Ordered in an earlier term, whose orders the look has fenced.
        return True
    if run.refused_after_ms and run.refused_after_ms < sent_ms:
        return True
    return bool(run.confirmed_ms and run.confirmed_ms < sent_ms)


class LinkOwner:
    """What a link needs of the leader."""

    term: int
    now_ms: Callable[[], int]
    may_act: Callable[[], bool]

    async def spawn(
        self, function: Callable[..., Any], *arguments: Any
    ) -> None:
        """Runs a task beside the rounds."""
        raise NotImplementedError

    async def depose(self, worker: workers_lib.Worker) -> None:
        """Takes note that a later leader gives orders."""
        raise NotImplementedError

    async def record_ends(self, ends: list[commands.RunEnd]) -> None:
        """Commits ends soon."""
        raise NotImplementedError

    def observe(self, worker: workers_lib.Worker) -> None:
        """Learns from a worker's answer to a look."""
        raise NotImplementedError

    def note_end(
        self, worker: workers_lib.Worker, run: workers_lib.LiveRun, outcome: str
    ) -> None:
        """Learns from the end of a run."""
        raise NotImplementedError

    def note_refusal(
        self,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        answer: worker_api.StartAnswer,
        reason: str,
    ) -> None:
        """Learns from a start that the worker refused."""
        raise NotImplementedError
