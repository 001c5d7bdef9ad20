"""Starts tasks and tracks their runs while this replica leads.

Each round commits the ends of runs, places waiting tasks, commits their starts
and then orders them. No start is ordered before it is committed.
"""

from collections.abc import Callable
from typing import Any

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import job_metrics
from galenahook import logs
from galenahook.jobs import calls
from galenahook.jobs import candidates as candidates_lib
from galenahook.jobs import contention as contention_lib
from galenahook.jobs import drawn_jobs
from galenahook.jobs import health as health_lib
from galenahook.jobs import learned_model
from galenahook.jobs import link as link_lib
from galenahook.jobs import link_owner
from galenahook.jobs import lost_runs
from galenahook.jobs import overdue as overdue_lib
from galenahook.jobs import pending_starts
from galenahook.jobs import placement
from galenahook.jobs import reservations as reservations_lib
from galenahook.jobs import round_input
from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import service_levels as service_levels_lib
from galenahook.jobs import tail_latency as tail_latency_lib
from galenahook.jobs import throttles
from galenahook.jobs import unattached as unattached_lib
from galenahook.jobs import waiting
from galenahook.jobs import worker_api
from galenahook.jobs import worker_intake
from galenahook.jobs import worker_pool
from galenahook.jobs import workers as workers_lib
from galenahook.replicas import node as node_lib
from galenahook.replicas import notify

# Longest time between two rounds, for changes that no event announces.
ROUND_PERIOD_MS = 100
# Delay before a round, so that events that come together share one.
ROUND_DELAY_MS = 10
# Pause after a round that failed to commit.
ROUND_RETRY_MS = 50
# Fencing tokens of a term, one for each link.
FENCES_PER_TERM = 1 << 24
# Longest time for which confirmations of runs wait for a commit of ends.
CONFIRMED_DELAY_MS = 500
# Starts in one command after which no further job is placed, so that a burst
# does not delay other commits.
MAX_STARTS = 200

# The task whose first start counts as the start of its job in the metrics.
FIRST_TASK = (0, 0, 0)

ClientFactory = Callable[[calls.WorkerHeartbeat], worker_api.WorkerClient]


class Dispatcher(link_owner.LinkOwner):
    """Places tasks during one term.

    Attributes:
      term: Term of this leader.
      started_ms: When the term began here.
      heartbeat_period_ms: Time between two heartbeats of a worker; None for
        the default.
      candidates: Workers that sent a heartbeat and are not established.
      pool: Established workers.
      links: Link to each established worker by its identifier.
      unattached: Runs of earlier terms whose worker is not established yet.
      health: Excludes workers that fail runs.
      tails: Throttles batch tasks that slow serving tasks.
      run_times: Estimated run times of tasks.
      reservations: Workers reserved for serving tasks that fit no worker.
      service_levels: Reports ended jobs.
      make_client: Makes the client of a worker.
    """

    def __init__(
        self,
        node: node_lib.Node,
        clock: clock_lib.Clock,
        make_client: ClientFactory,
        lease_ms: int,
        metrics: job_metrics.JobMetrics,
        heartbeat_period_ms: int | None = None,
    ) -> None:
        self.node = node
        self.clock = clock
        self.term = node.term()
        self.lease_ms = lease_ms
        self.metrics = metrics
        self.heartbeat_period_ms = heartbeat_period_ms
        self.candidates = candidates_lib.Candidates()
        self.pool = worker_pool.WorkerPool(clock)
        self.links: dict[str, link_lib.Link] = {}
        self.health = health_lib.WorkerHealth()
        self.tails = tail_latency_lib.TailLatencyControl()
        self.run_times = run_times_lib.RunTimes()
        self.reservations = reservations_lib.Reservations()
        self.service_levels = service_levels_lib.ServiceLevels(
            metrics, self.run_times, node.state.jobs.jobs.values()
        )
        self.now_ms = clock.monotonic_ms
        self.started_ms = self.now_ms()
        self.unattached = _active_runs(node)
        self.make_client = make_client
        self._links_made = 0
        self._overdue = overdue_lib.OverdueTasks()
        self._drawn = drawn_jobs.DrawnJobs()
        self._placement_failures = placement.JobFailures()
        self._ends: list[commands.RunEnd] = []
        self._confirmed: list[commands.RunConfirmed] = []
        self._confirmed_ms = self.started_ms
        self._wake = notify.Signal()
        self._is_woken = False
        self._model_stored_ms = self.started_ms
        self._waiting_report = waiting.WaitingReport(self.started_ms)
        self._contention = contention_lib.ContentionLog()
        learned_model.restore(self)

    @property
    def table(self) -> Any:
        """The replicated jobs."""
        return self.node.state.jobs

    def may_lead(self) -> bool:
        """Returns whether the leader lease is valid and the term unchanged."""
        return self.node.has_valid_lease() and self.node.term() == self.term

    def next_fence(self) -> int:
        """Returns a fencing token, higher than all that were in use before."""
        self._links_made += 1
        return self.term * FENCES_PER_TERM + self._links_made

    def latest_fence(self) -> int:
        """Returns the highest fencing token that is in use."""
        return self.term * FENCES_PER_TERM + self._links_made

    def is_zone_out(self, availability_zone: str) -> bool:
        """Returns whether operators have taken a zone out of service."""
        return availability_zone in self.node.state.site.current.zones_out

    async def spawn(
        self, function: Callable[..., Any], *arguments: Any
    ) -> None:
        """Spawns a task that runs concurrently with the rounds."""
        await curio.spawn(function, *arguments, daemon=True)

    async def wake(self) -> None:
        """Requests a round without waiting for the period."""
        self._is_woken = True
        await self._wake.notify()

    async def run(self) -> None:
        """Runs rounds until cancelled or until the term is over."""
        while self.node.term() == self.term:
            if not self._is_woken:
                await self._wake.wait(ROUND_PERIOD_MS)
            await curio.sleep(clock_lib.seconds(ROUND_DELAY_MS))
            self._is_woken = False
            began_ms = self.now_ms()
            try:
                await self._round()
            except errors.GalenahookError as error:
                logs.warning("round:failed", term=self.term, reason=str(error))
                await curio.sleep(clock_lib.seconds(ROUND_RETRY_MS))
            else:
                seconds = clock_lib.seconds(self.now_ms() - began_ms)
                self.metrics.round_seconds.observe(seconds)

    async def commit(self, command: commands.Command) -> commands.Result:
        """Commits a command and returns its result.

        Raises:
          errors.NotLeaderError: It is certainly not committed.
          errors.NoQuorumError: It may or may not be committed.
        """
        began_ms = self.now_ms()
        result = await self.node.submit(command)
        seconds = clock_lib.seconds(self.now_ms() - began_ms)
        self.metrics.commit_seconds.observe(seconds)
        return result

    async def close(self) -> None:
        """Ends every link."""
        for link in self.links.values():
            link.ended = True
        for candidate in self.candidates.by_identity.values():
            candidate.link.ended = True

    async def _round(self) -> None:
        if not self.node.is_leader():
            return
        await worker_intake.review_candidates(self)
        self._ends += await lost_runs.end_lost_runs(self)
        # Stops need no commit, which may take seconds.
        await lost_runs.stop_ended_and_draining(self)
        await self._commit_ends()
        await self._order_throttles()
        await self._start_waiting()
        for worker, run, reason in self.reservations.runs_to_preempt(
            self.now_ms()
        ):
            await self._order_stop(worker, run, reason)
        self._waiting_report.log(self._round_input(), self.reservations)
        if (
            self.now_ms() - self._model_stored_ms
            >= learned_model.STORE_PERIOD_MS
        ):
            self._model_stored_ms = self.now_ms()
            await self.spawn(learned_model.store, self)

    def _round_input(self) -> round_input.RoundInput:
        return round_input.RoundInput(
            now_ms=self.now_ms(),
            now_wall_ms=self.clock.wall_ms(),
            open_jobs=self.table.open,
            workers=[link.worker for link in self.links.values()],
            zones_out=self.node.state.site.current.zones_out,
            run_times=self.run_times,
            tails=self.tails,
            demand=self.service_levels.demand,
            drawn=self._drawn,
            term_started_ms=self.started_ms,
            lease_ms=self.lease_ms,
        )

    async def _order_throttles(self) -> None:
        workers = [link.worker for link in self.links.values()]
        for decision in self.tails.review(workers, self.now_ms()):
            match decision:
                case tail_latency_lib.ThrottleRun(worker, run, percent):
                    self.metrics.throttles.inc()
                    link = self._link_to(worker)
                    if link is not None:
                        await self.spawn(
                            throttles.order_throttle, link, run, percent
                        )
                case tail_latency_lib.MigrateRun(worker, run):
                    reason = "slows colocated serving tasks"
                    await self._order_stop(worker, run, reason)

    async def _order_stop(
        self,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        reason: str,
    ) -> None:
        link = self._link_to(worker)
        if link is not None:
            await self.spawn(link.stop, run, reason)

    def _link_to(self, worker: workers_lib.Worker) -> link_lib.Link | None:
        """Returns the link to an incarnation, or None if it was replaced."""
        link = self.links.get(worker.name)
        return link if link is not None and link.worker is worker else None

    async def _commit_ends(self) -> None:
        ends, self._ends = self._ends, []
        marks = [(link, link.queued_end) for link in self.links.values()]
        waited_ms = self.now_ms() - self._confirmed_ms
        if ends or (self._confirmed and waited_ms >= CONFIRMED_DELAY_MS):
            confirmed, self._confirmed = self._confirmed, []
            self.service_levels.expect_ends(ends, self.table.jobs)
            command = commands.RecordRuns(
                confirmed=tuple(confirmed),
                ends=tuple(ends),
                at_ms=self.clock.wall_ms(),
            )
            try:
                await self.commit(command)
            except errors.GalenahookError:
                self._ends = ends + self._ends
                self._confirmed = confirmed + self._confirmed
                raise
            self.service_levels.report_ended()
        for end in ends:
            self.metrics.run_ends.labels(end.outcome).inc()
        for link, mark in marks:
            if link.worker.acknowledged < mark:
                await link.note_committed(mark)

    async def _start_waiting(self) -> None:
        inputs = self._round_input()
        placed = placement.place_waiting(
            inputs,
            self.reservations,
            self._overdue,
            self._placement_failures,
            MAX_STARTS,
        )
        if placed:
            await self._start_placed(placed)
        self._contention.log(inputs, placed)

    async def _start_placed(self, placed: placement.Placements) -> None:
        """Commits starts, then orders them."""
        command = commands.RecordRuns(
            starts=tuple(_start_of(worker, run) for worker, run in placed),
            at_ms=self.clock.wall_ms(),
        )
        try:
            result = await self.commit(command)
        except errors.GalenahookError:
            # The starts may yet be committed, but none was ordered.
            for worker, run in placed:
                self._withdraw(worker, run)
            raise
        assert isinstance(result, commands.AttemptsApplied)
        for (worker, run), applied in zip(placed, result.applied, strict=True):
            link = self._link_to(worker)
            if applied and link is not None:
                self._note_start(worker, run)
                await self.spawn(link.start, run)
            else:
                self._withdraw(worker, run)
        if len(placed) >= MAX_STARTS:
            await self.wake()

    def _note_start(
        self, worker: workers_lib.Worker, run: workers_lib.LiveRun
    ) -> None:
        self.metrics.run_starts.inc()
        waited_ms = self.clock.wall_ms() - run.job.record.submitted_ms
        if run.key == FIRST_TASK and run.run == 1:
            seconds = clock_lib.seconds(max(0, waited_ms))
            self.metrics.first_start_seconds.observe(seconds)
        logs.info(
            "run:start",
            job=run.job.description.job,
            queue=run.job.description.queue,
            task=run.task,
            run=run.run,
            worker=worker.name,
            born_ms=worker.heartbeat.born_ms,
            zone=worker.heartbeat.availability_zone,
            waited_ms=waited_ms,
            task_waited_ms=run.waited_ms,
        )

    def _withdraw(
        self, worker: workers_lib.Worker, run: workers_lib.LiveRun
    ) -> None:
        """Reverts a placement whose start was not ordered."""
        if worker.runs.get(run.task) is run:
            del worker.runs[run.task]
        self._ends.append(
            commands.RunEnd(task=run.task, run=run.run, outcome="gone")
        )

    # --- Workers --------------------------------------------------------------

    async def handle_heartbeat(self, heartbeat: calls.WorkerHeartbeat) -> None:
        """Records a heartbeat; asks the process of a new incarnation."""
        await worker_intake.handle_heartbeat(self, heartbeat)

    async def leave(self, message: calls.WorkerLeft) -> None:
        """Records that a worker announced its end."""
        await worker_intake.leave(self, message)

    # --- Reports of links -----------------------------------------------------

    async def note_deposed_by(self, worker: workers_lib.Worker) -> None:
        """Logs that a worker has seen a leader of a later term."""
        logs.warning("leader:deposed", worker=worker.name, term=self.term)

    def note_confirmed(
        self, worker: workers_lib.Worker, run: workers_lib.LiveRun
    ) -> None:
        """Queues the confirmation of a run for a commit."""
        if not self._confirmed:
            self._confirmed_ms = self.now_ms()
        self._confirmed.append(
            commands.RunConfirmed(
                task=run.task, run=run.run, born_ms=worker.heartbeat.born_ms
            )
        )

    def note_untracked_end(
        self, worker: workers_lib.Worker, row: worker_api.FinishedRow
    ) -> None:
        """Queues the end of a start that was carried out late."""
        if pending_starts.is_late_end(self.table.jobs, worker, row):
            logs.warning(
                "run:late-end",
                task=row.task,
                run=row.run,
                worker=worker.name,
                born_ms=worker.heartbeat.born_ms,
                outcome=row.outcome,
            )
            self._ends.append(
                commands.RunEnd(
                    task=row.task,
                    run=row.run,
                    outcome=row.outcome,
                    checkpoint=row.checkpoint,
                    is_late=True,
                )
            )

    async def queue_ends(self, ends: list[commands.RunEnd]) -> None:
        """Queues ends for a commit in the next round."""
        self._ends += ends
        await self.wake()

    def observe(self, worker: workers_lib.Worker) -> None:
        """Updates the headroom model after a poll of a worker."""
        self.tails.observe(worker, self.now_ms())

    def note_end(
        self, worker: workers_lib.Worker, run: workers_lib.LiveRun, outcome: str
    ) -> None:
        """Updates worker health and run times after the end of a run."""
        now_ms = self.now_ms()
        self.health.note_end(worker, run, outcome, now_ms)
        self._contention.note_end(worker, run, now_ms)
        is_full_speed = run.run == 1 and run.ordered_ms and not run.slowed_ms
        if outcome == "done" and is_full_speed and not run.step.serves:
            self.run_times.learn(run.job, now_ms - run.ordered_ms, run.key[1])

    def note_refusal(
        self,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        answer: worker_api.StartAnswer,
        reason: str,
    ) -> None:
        """Records a start that the worker refused."""
        logs.warning(
            "run:refused",
            job=run.job.description.job,
            task=run.task,
            run=run.run,
            worker=worker.name,
            answer=answer.value,
            reason=reason,
        )
        self.metrics.run_refusals.labels(answer.value).inc()
        self.health.note_refusal(worker, self.now_ms())


def _active_runs(node: node_lib.Node) -> unattached_lib.UnattachedRuns:
    return unattached_lib.UnattachedRuns(
        job.runs[key]
        for job in node.state.jobs.open.values()
        for key in job.active
    )


def _start_of(
    worker: workers_lib.Worker, run: workers_lib.LiveRun
) -> commands.RunStart:
    return commands.RunStart(
        task=run.task,
        run=run.run,
        worker=worker.name,
        born_ms=worker.heartbeat.born_ms,
        machine=worker.heartbeat.machine,
        is_pinned=run.is_pinned,
    )
