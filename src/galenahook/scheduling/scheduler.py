"""The leader's scheduling loop.

Each round ends attempts that are proven to run no longer, marks tasks for
eviction, and starts waiting tasks. Each order to a worker is sent by a curio
task of its own, so that an unresponsive worker does not delay the others.
"""

from collections.abc import Callable
import itertools

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook import settings
from galenahook.platform import metrics as metrics_lib
from galenahook.replicas import node as node_lib
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import decisions as decisions_lib
from galenahook.scheduling import evictions as evictions_lib
from galenahook.scheduling import explanations
from galenahook.scheduling import journal as journal_lib
from galenahook.scheduling import lost_attempts
from galenahook.scheduling import memory_pressure
from galenahook.scheduling import policy as policy_lib
from galenahook.scheduling import quarantine as quarantine_lib
from galenahook.scheduling import rows
from galenahook.scheduling import starts as starts_lib
from galenahook.scheduling import tail_control as tail_control_lib
from galenahook.scheduling import tail_source as tail_source_lib
from galenahook.scheduling import tasks as tasks_lib
from galenahook.scheduling import throttles as throttles_lib
from galenahook.scheduling import worker_drains
from galenahook.upstreams import workers as workers_lib

ROUND_PERIOD_MS = 100
# How often the wait for the next round checks for a wake-up.
WAKE_PERIOD_MS = 20
LEASE_CHECK_PERIOD_MS = 500
# Changed workers processed in one round; the others follow in later rounds.
MAX_CHANGED_PER_ROUND = 250
TAIL_POLL_PERIOD_MS = 250


class Scheduler:
    """Schedules tasks while its node is the leader.

    Attributes:
      context: State and services shared by the parts of the scheduler.
      policy_for: Returns the policy for the objective of a sheet.
      decisions: Chooses placements.
      starts: Starts not announced by their workers yet.
      in_doubt_tasks: Resolves tasks in doubt when their workers return.
      evictions: Evictions in progress.
      throttles: Throttles in force.
      tail_control: Controls the tail latency of services.
    """

    def __init__(
        self,
        node: node_lib.Node,
        workers: workers_lib.WorkerRegistry,
        executors: tail_source_lib.TailSource,
        client: context_lib.OrderClient,
        clock: clock_lib.Clock,
        timing: settings.Timing,
        policy_for: Callable[
            [str], policy_lib.Policy
        ] = policy_lib.for_objective,
        metrics: metrics_lib.Metrics | None = None,
    ) -> None:
        self.context = context_lib.Context(
            node=node,
            workers=workers,
            client=client,
            clock=clock,
            timing=timing,
            quarantine=quarantine_lib.Quarantine(clock),
            journal=journal_lib.Journal(
                metrics or metrics_lib.Metrics("", "replica")
            ),
        )
        self.executors = executors
        self.policy_for = policy_for
        self._wake_requested = False
        self._blame_by_attempt: dict[tuple[str, int], bool] = {}
        self._term = -1
        self._leases_checked_ms = 0
        self._tails_read_ms = 0
        self._reset()

    def _reset(self) -> None:
        self.context.quarantine.clear()
        self.starts = starts_lib.Starts(self.context)
        self.in_doubt_tasks = lost_attempts.InDoubtTasks(self.context)
        self._blame_by_attempt.clear()
        self.evictions = evictions_lib.Evictions(self.context)
        self.decisions = decisions_lib.Decisions(self.context, self.policy_for)
        colocation = self.decisions.colocation
        self.throttles = throttles_lib.Throttles(self.context, colocation)
        self.tail_control = tail_control_lib.TailControl(
            self.context, colocation, self.decisions.model
        )

    async def run(self) -> None:
        """Runs rounds until cancelled, while the node is the leader."""
        node = self.context.node
        while True:
            await self._wait_for_round()
            if node.is_leader() and node.has_valid_lease():
                await self.round()

    async def _wait_for_round(self) -> None:
        waited_ms = 0
        while waited_ms < ROUND_PERIOD_MS:
            await curio.sleep(clock_lib.seconds(WAKE_PERIOD_MS))
            waited_ms += WAKE_PERIOD_MS
            if self._wake_requested:
                break
        self._wake_requested = False

    def wake(self) -> None:
        """Makes the next round begin early if any worker changed."""
        self._wake_requested = self._wake_requested or bool(
            self.context.workers.changed
        )

    async def notify(self) -> None:
        """Calls `wake`; for callers that await."""
        self.wake()

    async def round(self) -> None:
        """Runs one scheduling round."""
        self._reset_on_new_term()
        changed = self._take_changed()
        await self.context.commit_ends(self._losses(changed))
        await self.context.commit_ends(self.in_doubt_tasks.resolved())
        await self.context.commit_ends(await self.starts.follow_up())
        changed.update(self.context.quarantine.take_released())
        self.decisions.refresh(changed)
        draining = self.decisions.draining_workers
        await self._commit_evictions(
            worker_drains.from_draining_workers(self.context, draining)
        )
        await self._commit_evictions(
            memory_pressure.memory_evictions(self.context, changed)
        )
        await self._control_tails(changed)
        policy = self.policy_for(self.context.configuration.objective)
        await self.evictions.follow_up(policy.checkpoints)
        await self._start_waiting()

    def _reset_on_new_term(self) -> None:
        term = self.context.node.term()
        if term != self._term:
            self._term = term
            self.context.workers.reset_for_term()
            self._reset()

    def _take_changed(self) -> set[str]:
        """Removes and returns the changed workers to process in this round."""
        waiting = self.context.workers.changed
        taken = set(itertools.islice(waiting, MAX_CHANGED_PER_ROUND))
        waiting -= taken
        return taken

    def _losses(self, changed: set[str]) -> list[commands.AttemptEnd]:
        ends = []
        for name in sorted(changed):
            ends.extend(
                lost_attempts.missing_attempts(self.context, self.starts, name)
            )
        now_ms = self.context.clock.monotonic_ms()
        if now_ms - self._leases_checked_ms >= LEASE_CHECK_PERIOD_MS:
            self._leases_checked_ms = now_ms
            self.context.journal.gauges(
                self.context.tasks, len(self.decisions.blocked)
            )
            ended = {end.task for end in ends}
            expired = lost_attempts.expired_leases(self.context)
            ends.extend(end for end in expired if end.task not in ended)
        return ends

    async def _commit_evictions(
        self, evictions: list[commands.EvictAttempts]
    ) -> None:
        for command in evictions:
            await self.context.commit(command)

    async def _control_tails(self, changed: set[str]) -> None:
        policy = self.policy_for(self.context.configuration.objective)
        self.throttles.adopt(changed)
        await self.throttles.follow_up()
        now_ms = self.context.clock.monotonic_ms()
        if now_ms - self._tails_read_ms < TAIL_POLL_PERIOD_MS:
            return
        self._tails_read_ms = now_ms
        actions = self.tail_control.observe(
            self.executors.tail_latencies(), policy.limits
        )
        for action in actions:
            if isinstance(action, tail_control_lib.Throttle):
                await self.throttles.set(action.task, action.percent)
        command = tail_control_lib.eviction_command(self.context.tasks, actions)
        await self._commit_evictions([command] if command else [])

    async def _start_waiting(self) -> None:
        decisions = self.decisions.choose()
        await self._commit_evictions(decisions.evictions)
        chosen = decisions.starts
        if not chosen:
            return
        result = await self.context.commit(
            commands.StartAttempts(
                starts=tuple(chosen), at_ms=self.context.clock.wall_ms()
            )
        )
        self.context.workers.changed.update(start.worker for start in chosen)
        if isinstance(result, commands.AttemptsApplied):
            applied = zip(chosen, result.applied, strict=True)
            await self.starts.begin(
                start for start, is_applied in applied if is_applied
            )

    def explain(self, subject: str) -> explanations.Explanation:
        """Explains the state of a job, a service or one of its tasks.

        Args:
          subject: `job/NAME`, `service/NAME` or a task identifier.
        """
        return explanations.explain(
            self.context, self.decisions.blocked, subject
        )

    def status(self) -> explanations.SchedulingStatus:
        """Returns the state of workers and tasks."""
        return explanations.status(self.context, self.decisions.blocked)

    async def report(
        self, report: messages.AttemptReport
    ) -> messages.ReportReply:
        """Commits the report of a worker and returns the reply.

        Raises:
          errors.NotLeaderError: Another replica leads; nothing was recorded.
          errors.NoQuorumError: It is unknown whether the report was recorded;
            the worker resends it.
          errors.StorageError: As for `NoQuorumError`.
        """
        context = self.context
        if not context.node.is_leader() or not context.node.has_valid_lease():
            raise errors.NotLeaderError(context.node.leader_name())
        record = context.tasks.records.get(report.task)
        out_of_date = messages.ReportReply(acknowledged=True, current=False)
        if record is None or not _is_from(record, report):
            return out_of_date
        if _is_accepted(record, report):
            return messages.ReportReply(acknowledged=True)
        end = self._end_of(report)
        if not tasks_lib.may_end(record, end):
            return out_of_date
        result = await context.node.submit(
            commands.EndAttempts(ends=(end,), at_ms=context.clock.wall_ms())
        )
        self._blame_by_attempt.pop((report.task, report.attempt), None)
        context.workers.changed.add(report.worker)
        self.wake()
        applied = isinstance(result, commands.AttemptsApplied) and all(
            result.applied
        )
        if applied:
            context.journal.ended([end])
        accepted = _is_accepted(context.tasks.records[report.task], report)
        return messages.ReportReply(
            acknowledged=True, current=applied or accepted
        )

    def _count_failure(
        self, report: messages.AttemptReport, owner: str
    ) -> bool:
        """Returns whether the worker is blamed; counts resent reports once."""
        key = (report.task, report.attempt)
        if key not in self._blame_by_attempt:
            self._blame_by_attempt[key] = self.context.quarantine.note_failure(
                report.worker, owner
            )
        return self._blame_by_attempt[key]

    def _end_of(self, report: messages.AttemptReport) -> commands.AttemptEnd:
        owner = tasks_lib.owner_of(report.task)
        quarantine = self.context.quarantine
        outcome: commands.AttemptEndOutcome
        match report.outcome:
            case messages.Completed(run_ms=run_ms):
                quarantine.note_success(report.worker, owner)
                outcome = commands.AttemptCompleted(run_ms=run_ms)
            case messages.Failed(run_ms=run_ms, reason=reason):
                blamed = self._count_failure(report, owner)
                outcome = commands.AttemptFailed(
                    run_ms=run_ms, reason=reason, on_worker=blamed
                )
        row = rows.row_of(self.context.configuration, owner)
        if row is not None:
            key = rows.size_key(row)
            reserved = self.context.tasks.records[report.task].reserved
            self.decisions.sizes.finish(report.task, key, reserved)
        return commands.AttemptEnd(
            task=report.task, attempt=report.attempt, outcome=outcome
        )


def _is_from(
    record: tasks_lib.TaskRecord, report: messages.AttemptReport
) -> bool:
    return (
        record.worker == report.worker
        and record.incarnation == report.incarnation
        and record.attempt == report.attempt
    )


def _is_accepted(
    record: tasks_lib.TaskRecord, report: messages.AttemptReport
) -> bool:
    """Returns whether a completion was committed already."""
    return record.phase is tasks_lib.Phase.DONE and isinstance(
        report.outcome, messages.Completed
    )
