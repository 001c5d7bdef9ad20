"""A scheduler between plain workers, on a clock that only tests move.

The workers keep the rules of `docs/INTERFACES.md` and count for themselves
what runs where; they are what an oracle looks at.
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

START_AFTER_OUT_MS = 3_000
LARGE = messages.Resources(8_000, 16_000, 0)
WALL_OFFSET_MS = 1_700_000_000_000


class ManualClock(clock_lib.Clock):
    """A clock that stands still until it is moved."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000

    def monotonic_ms(self) -> int:
        """Returns the time that tests set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Returns the time that tests set, as a wall time."""
        return WALL_OFFSET_MS + self.now_ms


class ManualNode:
    """A node of one replica whose leadership tests take and give."""

    def __init__(self) -> None:
        self.state = state_lib.State()
        self.leads = True
        self.current_term = 1
        self.quorum = True
        self.loses_answers = False
        self.slow = False
        self.before_commit: Callable[[], None] | None = None

    async def submit(self, command: commands.Command) -> commands.Result:
        """Applies a command at once."""
        if not self.leads:
            raise errors.NotLeaderError("r2")
        if not self.quorum:
            raise errors.NoQuorumError("no quorum")
        if self.slow:
            await curio.sleep(0)
        if self.before_commit:
            self.before_commit()
        result = self.state.apply(command)
        if self.loses_answers:
            raise errors.NoQuorumError("committed, but not known to be")
        return result

    def is_leader(self) -> bool:
        """Returns what tests set."""
        return self.leads

    def may_act(self) -> bool:
        """Returns what tests set."""
        return self.leads

    def leader_name(self) -> str:
        """Returns another replica's name."""
        return "r2"

    def term(self) -> int:
        """Returns what tests set."""
        return self.current_term


@dataclasses.dataclass(slots=True)
class Running:
    """An attempt at a worker."""

    order: messages.StartOrder
    phase: str = "running"
    outcome: messages.Outcome | None = None
    percent: int = 100


class ModelWorker:
    """A worker that keeps the rules and counts for itself."""

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
        self.lives = 0
        self.restart()

    def restart(self) -> None:
        """Begins a new incarnation with nothing running."""
        self.lives += 1
        self.incarnation = f"{self.name}-{self.lives}"
        self.sequence = 0
        self.lease_until_ms = 0
        self.sent: dict[int, int] = {}
        self.attempts: dict[str, Running] = {}
        self.highest: dict[str, int] = {}
        self.stopped: set[tuple[str, int]] = set()
        self.answers: dict[tuple[str, int], messages.StartReply] = {}

    def announcement(self) -> messages.WorkerAnnouncement:
        """Makes the next announcement."""
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
        """Takes the answer to an announcement."""
        self.expire()
        if reply.lease_ms:
            end_ms = self.sent[reply.sequence] + reply.lease_ms
            self.lease_until_ms = max(self.lease_until_ms, end_ms)
        for ref in reply.stop:
            self.stop(ref.task, ref.attempt)

    def expire(self) -> None:
        """Stops everything at the end of the lease."""
        if self.site.clock.now_ms < self.lease_until_ms:
            return
        for task, running in list(self.attempts.items()):
            if running.phase != "ended":
                del self.attempts[task]

    def is_running(self, task: str) -> bool:
        """Returns whether a task runs here."""
        running = self.attempts.get(task)
        return running is not None and running.phase != "ended"

    def handle(self, target: str, message: Any) -> messages.Message:
        """Answers an order."""
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
        """Starts an attempt, or refuses it."""
        key = (order.task, order.attempt)
        if key in self.stopped:
            return messages.StartReply(accepted=False, reason="stopped")
        if key in self.answers:
            return self.answers[key]
        now_ms = self.site.clock.now_ms
        basis_ms = self.sent.get(order.basis_sequence, -(10**9))
        if (
            order.incarnation != self.incarnation
            or now_ms >= basis_ms + order.ttl_ms
            or order.attempt <= self.highest.get(order.task, 0)
            or now_ms >= self.lease_until_ms
        ):
            return messages.StartReply(accepted=False, reason="rules")
        self.highest[order.task] = order.attempt
        self.answers[key] = messages.StartReply(accepted=True)
        self.attempts[order.task] = Running(order)
        self.site.on_start(self, order)
        return self.answers[key]

    def stop(self, task: str, attempt: int) -> None:
        """Stops an attempt and refuses it for good."""
        self.stopped.add((task, attempt))
        self.highest[task] = max(attempt, self.highest.get(task, 0))
        running = self.attempts.get(task)
        if running is None or running.order.attempt != attempt:
            return
        if running.phase != "ended":
            del self.attempts[task]

    def throttle(self, order: messages.ThrottleOrder) -> messages.ThrottleReply:
        """Sets the share of processors of an attempt."""
        running = self.attempts.get(order.task)
        if running is None or running.order.attempt != order.attempt:
            return messages.ThrottleReply(applied=False)
        running.percent = order.percent
        return messages.ThrottleReply(applied=True)

    def checkpoint(
        self, order: messages.CheckpointOrder
    ) -> messages.CheckpointReply:
        """Answers with a reference that names the attempt."""
        running = self.attempts.get(order.task)
        if not self.checkpoints or running is None or running.phase == "ended":
            return messages.CheckpointReply()
        reference = f"{order.task}#{order.attempt}"
        self.site.checkpoints.setdefault(order.task, set()).add(reference)
        return messages.CheckpointReply(reference=reference)

    def finish(
        self, task: str, outcome: messages.Outcome | None = None
    ) -> None:
        """Ends an attempt by itself."""
        running = self.attempts[task]
        running.phase = "ended"
        running.outcome = outcome or messages.Completed(run_ms=1_000)
        if isinstance(running.outcome, messages.Completed):
            self.site.completions.append(task)
            self.site.ended.add(task)

    def reports(self) -> list[messages.AttemptReport]:
        """Returns the reports not acknowledged yet."""
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
        """Returns what the worker was given, by its own count."""
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
    """Carries orders to workers, with faults that tests set.

    Attributes:
      lose_request: Orders to these workers get lost on the way.
      lose_reply: Replies of these workers get lost.
      delay: Orders to these workers are kept back for `deliver_late`.
    """

    def __init__(self, site: "ModelSite") -> None:
        self.site = site
        self.lose_request: set[str] = set()
        self.lose_reply: set[str] = set()
        self.delay: set[str] = set()
        self.late: list[tuple[ModelWorker, str, Any]] = []

    async def post(
        self, address: str, target: str, message: Any, timeout_ms: int = 0
    ) -> web.Response:
        """Carries one order, or loses it."""
        del timeout_ms
        worker = self.site.workers[address]
        if not worker.connected:
            raise errors.ExchangeError(address, False)
        if address in self.lose_request:
            raise errors.ExchangeError(address, True)
        if address in self.delay:
            self.late.append((worker, target, message))
            raise errors.ExchangeError(address, True)
        reply = worker.handle(target, message)
        if address in self.lose_reply:
            raise errors.ExchangeError(address, True)
        return web.json_response(reply)

    def deliver_late(self) -> None:
        """Delivers the orders kept back."""
        late, self.late = self.late, []
        for worker, target, message in late:
            worker.handle(target, message)


class NoTails:
    """No executor has measured anything."""

    def tails(self) -> list[Any]:
        """Returns nothing."""
        return []


class ModelSite:
    """A leader's scheduler and its workers.

    Attributes:
      completions: Tasks that ended their work at a worker, once per run.
      violations: What the workers saw that must never happen.
      attempts_begun: Attempts that workers began, to tell repeats.
      checkpoints: Checkpoint references that workers gave, by task.
      ended: Tasks whose work came to its end at a worker.
      not_repeatable: Tasks that must not run again after their end.
      out_since_ms: When each availability zone out was taken out.
      left_ms: When each leaving worker first said so.
    """

    def __init__(self, tails: Any = None) -> None:
        self.clock = ManualClock()
        self.node = ManualNode()
        self.timing = settings.Timing()
        self.registry = workers_lib.WorkerRegistry(self.clock, self.timing)
        self.client = ModelClient(self)
        self.workers: dict[str, ModelWorker] = {}
        self.completions: list[str] = []
        self.violations: list[str] = []
        self.attempts_begun: set[tuple[str, int]] = set()
        self.checkpoints: dict[str, set[str]] = {}
        self.ended: set[str] = set()
        self.out_since_ms: dict[str, int] = {}
        self.left_ms: dict[str, int] = {}
        self.not_repeatable: set[str] = set()
        self.changes = 0
        self.kernel = curio.Kernel()
        self.scheduler = scheduler_lib.Scheduler(
            self.node,
            self.registry,
            tails or NoTails(),
            self.client,
            self.clock,
            self.timing,
        )

    @property
    def tasks(self) -> task_table.TaskTable:
        """Every task."""
        return self.node.state.tasks

    def close(self) -> None:
        """Ends the kernel."""
        self.kernel.run(shutdown=True)

    def add_worker(self, name: str, **options: Any) -> ModelWorker:
        """Adds a worker."""
        worker = ModelWorker(self, name, **options)
        self.workers[name] = worker
        return worker

    def change(self, change: commands.Change) -> commands.Result:
        """Applies a change of the configuration."""
        match change:
            case commands.AvailabilityZoneOut(availability_zone=zone):
                self.out_since_ms.setdefault(zone, self.clock.now_ms)
            case commands.AvailabilityZoneIn(availability_zone=zone):
                self.out_since_ms.pop(zone, None)
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
        """Lets workers announce themselves, all by default."""
        for name in names or tuple(self.workers):
            worker = self.workers[name]
            worker.expire()
            if worker.connected and self.node.leads:
                if worker.leaving:
                    self.left_ms.setdefault(name, self.clock.now_ms)
                else:
                    self.left_ms.pop(name, None)
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
        """Runs one round and what it spawned."""
        self.kernel.run(self._round)

    async def _round(self) -> None:
        await self.scheduler.round()
        for _ in range(20):
            await curio.sleep(0)

    def pass_time(self, duration_ms: int, step_ms: int = 500) -> None:
        """Moves the clock, with announcements and rounds on the way."""
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

    def places(self, task: str) -> list[str]:
        """Returns the workers that run a task by their own count."""
        found = []
        for worker in self.workers.values():
            worker.expire()
            if worker.is_running(task):
                found.append(worker.name)
        return found

    def on_start(self, worker: ModelWorker, order: messages.StartOrder) -> None:
        """Checks what must always hold, as the workers see it."""
        places = self.places(order.task)
        if len(places) > 1:
            self.violations.append(f"{order.task} runs at {places}")
        now_ms = self.clock.now_ms
        out_ms = self.out_since_ms.get(worker.zone, now_ms)
        if now_ms - out_ms > START_AFTER_OUT_MS:
            self.violations.append(f"{order.task} starts in a zone out")
        left_ms = self.left_ms.get(worker.name, now_ms)
        if now_ms - left_ms > START_AFTER_OUT_MS:
            self.violations.append(f"{order.task} starts where work leaves")
        key = (order.task, order.attempt)
        if key in self.attempts_begun:
            self.violations.append(f"{key} began twice")
        self.attempts_begun.add(key)
        if order.checkpoint and order.checkpoint not in self.checkpoints.get(
            order.task, set()
        ):
            self.violations.append(f"{key} resumes from {order.checkpoint}")
        if order.task in self.not_repeatable and order.task in self.ended:
            self.violations.append(f"{order.task} runs again after its end")
        load = worker.load()
        if (
            load.cores_milli > worker.capacity.cores_milli
            or load.memory_mb > worker.capacity.memory_mb
        ):
            self.violations.append(f"{worker.name} is over capacity")


def job(name: str, **fields: Any) -> commands.JobRow:
    """Builds a job's row."""
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
    """Builds a service's row."""
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
    """Builds a change that applies a sheet of these rows."""
    return commands.ApplySheet(
        sheet=commands.Sheet(
            services=tuple(
                row for row in rows if isinstance(row, commands.ServiceRow)
            ),
            jobs=tuple(row for row in rows if isinstance(row, commands.JobRow)),
            **fields,
        )
    )
