"""A scheduler with simulated workers, on a clock that only tests advance.

The workers follow the rules of `docs/INTERFACES.md` and keep their own record
of what runs where. Invariants are checked against this record.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook import settings
from galenahook import state as state_lib
from galenahook import web
from galenahook.scheduling import scheduler as scheduler_lib
from galenahook.scheduling import task_table
from galenahook.scheduling import tasks as tasks_lib
from galenahook.upstreams import workers as workers_lib

# Starts may arrive for this long after a zone was taken out of service or a
# worker began to leave.
START_GRACE_MS = 3_000
LARGE = messages.Resources(8_000, 16_000, 0)
WALL_OFFSET_MS = 1_700_000_000_000


class ManualClock(clock_lib.Clock):
    """A clock that only advances when a test sets it."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000

    def monotonic_ms(self) -> int:
        """Returns the time set by the test."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Returns the time set by the test, as wall time."""
        return WALL_OFFSET_MS + self.now_ms


class FakeNode:
    """A node of a single replica whose leadership is set by tests."""

    def __init__(self) -> None:
        self.state = state_lib.State()
        self.leads = True
        self.current_term = 1
        self.quorum = True
        self.loses_replies = False
        self.slow = False
        self.before_commit: Callable[[], None] | None = None

    async def submit(self, command: commands.Command) -> commands.Result:
        """Applies a command immediately, with the faults set by the test."""
        if not self.leads:
            raise errors.NotLeaderError("r2")
        if not self.quorum:
            raise errors.NoQuorumError("no quorum")
        if self.slow:
            await curio.sleep(0)
        if self.before_commit:
            self.before_commit()
        result = self.state.apply(command)
        if self.loses_replies:
            raise errors.NoQuorumError("committed, but the reply was lost")
        return result

    def is_leader(self) -> bool:
        """Returns the leadership set by the test."""
        return self.leads

    def has_valid_lease(self) -> bool:
        """Returns the leadership set by the test."""
        return self.leads

    def leader_name(self) -> str:
        """Returns the name of another replica."""
        return "r2"

    def term(self) -> int:
        """Returns the term set by the test."""
        return self.current_term


@dataclasses.dataclass(slots=True)
class RunningAttempt:
    """An attempt on a worker."""

    order: messages.StartOrder
    phase: str = "running"
    outcome: messages.Outcome | None = None
    percent: int = 100


class ModelWorker:
    """A simulated worker that keeps its own record of attempts."""

    def __init__(
        self,
        site: "ModelSite",
        name: str,
        zone: str = "a",
        capacity: messages.Resources = LARGE,
        rack: str = "",
    ) -> None:
        self.site = site
        self.name = name
        self.zone = zone
        self.rack = rack
        self.capacity = capacity
        self.leaving = False
        self.connected = True
        self.fails_all = False
        self.checkpoints = True
        self.usage: messages.Resources | None = None
        self.incarnation = ""
        self.incarnation_count = 0
        self.restart()

    def restart(self) -> None:
        """Starts a new incarnation without attempts."""
        self.incarnation_count += 1
        self.incarnation = f"{self.name}-{self.incarnation_count}"
        self.sequence = 0
        self.lease_until_ms = 0
        self.sent: dict[int, int] = {}
        self.attempts: dict[str, RunningAttempt] = {}
        self.highest_attempts: dict[str, int] = {}
        self.stopped: set[tuple[str, int]] = set()
        self.start_replies: dict[tuple[str, int], messages.StartReply] = {}

    def announcement(self) -> messages.WorkerAnnouncement:
        """Returns the next announcement."""
        self.sequence += 1
        now_ms = self.site.clock.now_ms
        self.sent[self.sequence] = now_ms
        return messages.WorkerAnnouncement(
            name=self.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            sent_at_ms=now_ms,
            address=self.name,
            availability_zone=self.zone,
            rack=self.rack,
            vm=self.name,
            leaving=self.leaving,
            capacity=self.capacity,
            attempts=tuple(
                messages.AttemptStatus(
                    task=task,
                    attempt=running.order.attempt,
                    phase=running.phase,
                    usage=self.usage,
                    throttle_percent=running.percent,
                )
                for task, running in self.attempts.items()
            ),
        )

    def take_reply(self, reply: messages.AnnouncementReply) -> None:
        """Processes the reply to an announcement."""
        self.expire()
        if reply.lease_ms:
            end_ms = self.sent[reply.sequence] + reply.lease_ms
            self.lease_until_ms = max(self.lease_until_ms, end_ms)
        for ref in reply.stop:
            self.stop(ref.task, ref.attempt)

    def expire(self) -> None:
        """Stops all attempts if the lease has expired."""
        if self.site.clock.now_ms < self.lease_until_ms:
            return
        for task, running in list(self.attempts.items()):
            if running.phase != "ended":
                del self.attempts[task]

    def is_running(self, task: str) -> bool:
        """Returns whether a task is running on this worker."""
        running = self.attempts.get(task)
        return running is not None and running.phase != "ended"

    def handle(self, target: str, message: Any) -> messages.Message:
        """Processes an order and returns the reply."""
        del target
        self.expire()
        match message:
            case messages.StartOrder():
                return self.start(message)
            case messages.StopOrder():
                self.stop(message.task, message.attempt)
                return messages.StopReply(stopped=True)
            case messages.CheckpointOrder():
                return self.checkpoint(message)
            case messages.ThrottleOrder():
                return self.throttle(message)
            case _:
                raise AssertionError(message)

    def start(self, order: messages.StartOrder) -> messages.StartReply:
        """Starts an attempt or refuses it."""
        key = (order.task, order.attempt)
        if key in self.stopped:
            return messages.StartReply(accepted=False, reason="stopped")
        if key in self.start_replies:
            return self.start_replies[key]
        now_ms = self.site.clock.now_ms
        basis_ms = self.sent.get(order.basis_sequence, -(10**9))
        if (
            order.incarnation != self.incarnation
            or now_ms >= basis_ms + order.ttl_ms
            or order.attempt <= self.highest_attempts.get(order.task, 0)
            or now_ms >= self.lease_until_ms
        ):
            return messages.StartReply(accepted=False, reason="rules")
        self.highest_attempts[order.task] = order.attempt
        self.start_replies[key] = messages.StartReply(accepted=True)
        self.attempts[order.task] = RunningAttempt(order)
        self.site.on_start(self, order)
        return self.start_replies[key]

    def stop(self, task: str, attempt: int) -> None:
        """Stops an attempt and refuses it from then on."""
        self.stopped.add((task, attempt))
        self.highest_attempts[task] = max(
            attempt, self.highest_attempts.get(task, 0)
        )
        running = self.attempts.get(task)
        if running is None or running.order.attempt != attempt:
            return
        if running.phase != "ended":
            del self.attempts[task]

    def throttle(self, order: messages.ThrottleOrder) -> messages.ThrottleReply:
        """Sets the processor share of an attempt."""
        running = self.attempts.get(order.task)
        if running is None or running.order.attempt != order.attempt:
            return messages.ThrottleReply(applied=False)
        running.percent = order.percent
        return messages.ThrottleReply(applied=True)

    def checkpoint(
        self, order: messages.CheckpointOrder
    ) -> messages.CheckpointReply:
        """Returns a checkpoint reference that names the attempt."""
        running = self.attempts.get(order.task)
        if not self.checkpoints or running is None or running.phase == "ended":
            return messages.CheckpointReply()
        reference = f"{order.task}#{order.attempt}"
        self.site.checkpoints.setdefault(order.task, set()).add(reference)
        return messages.CheckpointReply(reference=reference)

    def finish(
        self, task: str, outcome: messages.Outcome | None = None
    ) -> None:
        """Ends the attempt of a task with an outcome."""
        running = self.attempts[task]
        running.phase = "ended"
        running.outcome = outcome or messages.Completed(run_ms=1_000)
        if isinstance(running.outcome, messages.Completed):
            self.site.completions.append(task)
            self.site.ended.add(task)

    def reports(self) -> list[messages.AttemptReport]:
        """Returns the reports that are not acknowledged yet."""
        return [
            messages.AttemptReport(
                worker=self.name,
                incarnation=self.incarnation,
                task=task,
                attempt=running.order.attempt,
                outcome=running.outcome,
            )
            for task, running in self.attempts.items()
            if running.outcome is not None
        ]

    def load(self) -> messages.Resources:
        """Returns the resources of running attempts, by the worker's record."""
        running = [
            one.order.resources
            for one in self.attempts.values()
            if one.phase != "ended"
        ]
        return messages.Resources(
            sum(one.cores_milli for one in running),
            sum(one.memory_mb for one in running),
        )


class ModelClient:
    """Delivers orders to workers, with faults set by tests.

    Attributes:
      lose_request: Workers whose orders are lost.
      lose_reply: Workers whose replies are lost.
      delay: Workers whose orders are delayed until `deliver_delayed`.
    """

    def __init__(self, site: "ModelSite") -> None:
        self.site = site
        self.lose_request: set[str] = set()
        self.lose_reply: set[str] = set()
        self.delay: set[str] = set()
        self.delayed_orders: list[tuple[ModelWorker, str, Any]] = []

    async def post(
        self, address: str, target: str, message: Any, timeout_ms: int = 0
    ) -> web.Response:
        """Delivers one order and returns the reply, unless a fault is set."""
        del timeout_ms
        worker = self.site.workers[address]
        if not worker.connected:
            raise errors.ExchangeError(address, False)
        if address in self.lose_request:
            raise errors.ExchangeError(address, True)
        if address in self.delay:
            self.delayed_orders.append((worker, target, message))
            raise errors.ExchangeError(address, True)
        reply = worker.handle(target, message)
        if address in self.lose_reply:
            raise errors.ExchangeError(address, True)
        return web.json_response(reply)

    def deliver_delayed(self) -> None:
        """Delivers the delayed orders; their replies are lost."""
        delayed_orders, self.delayed_orders = self.delayed_orders, []
        for worker, target, message in delayed_orders:
            worker.handle(target, message)


class NoTailSource:
    """A source of tail latencies without readings."""

    def tail_latencies(self) -> list[Any]:
        """Returns no readings."""
        return []


class ModelSite:
    """The scheduler of a leader and its simulated workers.

    Attributes:
      completions: Tasks completed by workers, once per run.
      violations: Violated invariants, as observed by the workers.
      attempts_started: Attempts started by workers, to detect repeated starts.
      checkpoints: Checkpoint references returned by workers, by task.
      ended: Tasks completed by a worker.
      not_repeatable: Tasks that must not run again after completion.
      zone_out_since_ms: Time when each zone was taken out of service.
      leaving_since_ms: Time when each leaving worker first announced it.
    """

    def __init__(self, tails: Any = None) -> None:
        self.clock = ManualClock()
        self.node = FakeNode()
        self.timing = settings.Timing()
        self.registry = workers_lib.WorkerRegistry(self.clock, self.timing)
        self.client = ModelClient(self)
        self.workers: dict[str, ModelWorker] = {}
        self.completions: list[str] = []
        self.violations: list[str] = []
        self.attempts_started: set[tuple[str, int]] = set()
        self.checkpoints: dict[str, set[str]] = {}
        self.ended: set[str] = set()
        self.zone_out_since_ms: dict[str, int] = {}
        self.leaving_since_ms: dict[str, int] = {}
        self.not_repeatable: set[str] = set()
        self.changes = 0
        self.kernel = curio.Kernel()
        self.scheduler = scheduler_lib.Scheduler(
            self.node,
            self.registry,
            tails or NoTailSource(),
            self.client,
            self.clock,
            self.timing,
        )

    @property
    def tasks(self) -> task_table.TaskTable:
        """The table of all tasks."""
        return self.node.state.tasks

    def close(self) -> None:
        """Shuts down the curio kernel."""
        self.kernel.run(shutdown=True)

    def add_worker(self, name: str, **options: Any) -> ModelWorker:
        """Adds a worker."""
        worker = ModelWorker(self, name, **options)
        self.workers[name] = worker
        return worker

    def change(self, change: commands.Change) -> commands.Result:
        """Applies a change to the configuration."""
        match change:
            case commands.AvailabilityZoneOut(availability_zone=zone):
                self.zone_out_since_ms.setdefault(zone, self.clock.now_ms)
            case commands.AvailabilityZoneIn(availability_zone=zone):
                self.zone_out_since_ms.pop(zone, None)
        self.changes += 1
        command = commands.ChangeConfiguration(
            operator="ana",
            number=self.changes,
            base_revision=self.node.state.configuration.current.revision,
            at_ms=self.clock.wall_ms(),
            change=change,
        )
        return self.node.state.apply(command)

    def announce(self, *names: str) -> None:
        """Sends announcements of workers, of all by default."""
        for name in names or tuple(self.workers):
            worker = self.workers[name]
            worker.expire()
            if worker.connected and self.node.leads:
                if worker.leaving:
                    self.leaving_since_ms.setdefault(name, self.clock.now_ms)
                else:
                    self.leaving_since_ms.pop(name, None)
                reply = self.registry.announce(
                    worker.announcement(), self.tasks
                )
                worker.take_reply(reply)

    def report(self, name: str) -> list[messages.ReportReply]:
        """Sends a worker's reports and returns the replies."""
        worker = self.workers[name]
        replies = []
        for report in worker.reports():
            reply = self.kernel.run(self.scheduler.report, report)
            replies.append(reply)
            if reply.acknowledged:
                del worker.attempts[report.task]
        return replies

    def round(self) -> None:
        """Runs one scheduling round and the curio tasks that it spawned."""
        self.kernel.run(self._round)

    async def _round(self) -> None:
        await self.scheduler.round()
        for _ in range(20):
            await curio.sleep(0)

    def pass_time(self, duration_ms: int, step_ms: int = 500) -> None:
        """Advances the clock in steps, with announcements and rounds."""
        for _ in range(0, duration_ms, step_ms):
            self.clock.now_ms += step_ms
            for worker in self.workers.values():
                worker.expire()
            self.announce()
            self.round()

    def elect(self) -> None:
        """Makes this replica the leader of a new term."""
        self.node.current_term += 1
        self.node.leads = True

    def record(self, task: str) -> tasks_lib.TaskRecord:
        """Returns a task's record."""
        return self.tasks.records[task]

    def workers_running(self, task: str) -> list[str]:
        """Returns the workers that run a task, by their own records."""
        found = []
        for worker in self.workers.values():
            worker.expire()
            if worker.is_running(task):
                found.append(worker.name)
        return found

    def on_start(self, worker: ModelWorker, order: messages.StartOrder) -> None:
        """Checks invariants on the start of an attempt."""
        places = self.workers_running(order.task)
        if len(places) > 1:
            self.violations.append(f"{order.task} runs on {places}")
        now_ms = self.clock.now_ms
        out_ms = self.zone_out_since_ms.get(worker.zone, now_ms)
        if now_ms - out_ms > START_GRACE_MS:
            self.violations.append(
                f"{order.task} started in a zone out of service"
            )
        leaving_since_ms = self.leaving_since_ms.get(worker.name, now_ms)
        if now_ms - leaving_since_ms > START_GRACE_MS:
            self.violations.append(f"{order.task} started on a leaving worker")
        key = (order.task, order.attempt)
        if key in self.attempts_started:
            self.violations.append(f"{key} started twice")
        self.attempts_started.add(key)
        if order.checkpoint and order.checkpoint not in self.checkpoints.get(
            order.task, set()
        ):
            self.violations.append(f"{key} resumed from {order.checkpoint}")
        if order.task in self.not_repeatable and order.task in self.ended:
            self.violations.append(f"{order.task} ran again after completion")
        load = worker.load()
        if (
            load.cores_milli > worker.capacity.cores_milli
            or load.memory_mb > worker.capacity.memory_mb
        ):
            self.violations.append(f"{worker.name} is over capacity")


def job(name: str, **fields: Any) -> commands.JobRow:
    """Returns the row of a job."""
    defaults: dict[str, Any] = {
        "team": "plans",
        "priority": 50,
        "job_class": "coating",
        "tasks": 1,
        "resources": messages.Resources(1_000, 1_000, 0),
        "run_ms": 10_000,
    }
    return commands.JobRow(name=name, **{**defaults, **fields})


def service(name: str, **fields: Any) -> commands.ServiceRow:
    """Returns the row of a service."""
    defaults: dict[str, Any] = {
        "team": "desk",
        "priority": 90,
        "instances": 3,
        "resources": messages.Resources(1_000, 1_000, 0),
        "route": f"/{name}",
        "tail_target_ms": 50,
    }
    return commands.ServiceRow(name=name, **{**defaults, **fields})


def sheet(
    *rows: commands.JobRow | commands.ServiceRow, **fields: Any
) -> commands.ApplySheet:
    """Returns a change that applies a sheet of these rows."""
    return commands.ApplySheet(
        sheet=commands.Sheet(
            services=tuple(
                row for row in rows if isinstance(row, commands.ServiceRow)
            ),
            jobs=tuple(row for row in rows if isinstance(row, commands.JobRow)),
            **fields,
        )
    )
