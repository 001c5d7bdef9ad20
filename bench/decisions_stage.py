"""Runs a leader's scheduler with stand-in workers in one process.

It runs in real time, with durations scaled down. Batch tasks slow colocated
services according to a table of interference that the scheduler doesn't see:
it sees only latency samples of a window that ended a while ago.
"""

import collections
import dataclasses
import random
from typing import Any

import curio

from fakes import vm as vm_lib
from fakes import worker as fake_worker
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import messages
from galenahook import settings
from galenahook import state as state_lib
from galenahook import web
from galenahook.scheduling import policy as policy_lib
from galenahook.scheduling import scheduler as scheduler_lib
from galenahook.scheduling import task_table
from galenahook.scheduling import tasks as tasks_lib
from galenahook.upstreams import executors as executors_lib
from galenahook.upstreams import workers as workers_lib

SAMPLE_PERIOD_MS = 50
LATENCY_WINDOW_MS = 500
# Age of the newest usage and latency samples that the scheduler sees.
SAMPLE_LAG_MS = 400
ANNOUNCE_PERIOD_MS = 250
COMMIT_OR_ORDER_DELAY_MS = 2


class SingleNode:
    """A single node that is always the leader and commits in memory."""

    def __init__(self) -> None:
        self.state = state_lib.State()

    async def submit(self, command: commands.Command) -> commands.Result:
        """Applies a command after the delay of a commit."""
        await curio.sleep(clock_lib.seconds(COMMIT_OR_ORDER_DELAY_MS))
        return self.state.apply(command)

    def is_leader(self) -> bool:
        """Returns True."""
        return True

    def has_valid_lease(self) -> bool:
        """Returns True."""
        return True

    def leader_name(self) -> str:
        """Returns the name of this node."""
        return "r1"

    def term(self) -> int:
        """Returns the only term."""
        return 1


class SimulatedWorker(fake_worker.FakeWorker):
    """A stand-in worker that is called directly, without a connection."""

    def __init__(
        self, site: "SimulatedSite", name: str, **options: Any
    ) -> None:
        super().__init__(name, [name], **options)
        self.site = site
        self.advertise = name
        self.usage_lag_ms = SAMPLE_LAG_MS
        self.checkpoint_ms = 60

    async def run(self) -> None:
        """Announces until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            self._group = group
            await group.spawn(self._announce_periodically)
            await group.spawn(self._watch_lease)

    async def _announce(self) -> None:
        sequence = next(self._sequence)
        sent_ms = self._clock.monotonic_ms()
        self._sent[sequence] = sent_ms
        self._sent.pop(sequence - fake_worker.MAX_RECORDED_ANNOUNCEMENTS, None)
        reply = self.site.registry.announce(
            self._announcement(sequence, sent_ms), self.site.tasks
        )
        self.site.scheduler.wake()
        await self._apply_reply(reply, sent_ms)

    async def _post_report(
        self, report: messages.AttemptReport, index: int
    ) -> messages.ReportReply:
        del index
        return await self.site.scheduler.report(report)

    async def handle_order(self, target: str, message: Any) -> web.Response:
        """Handles an order and returns the response."""
        body = messages.encode(message)
        return await self._route(web.Request("POST", target, [], body))


@dataclasses.dataclass(slots=True)
class Service:
    """The load and the latency of a service.

    Attributes:
      name: Name in the sheet.
      base_latency_ms: Median latency without colocated batch tasks.
      sigma: Standard deviation of the logarithm of the latency.
      requests_per_second: Request rate at each instance.
    """

    name: str
    base_latency_ms: float
    sigma: float
    requests_per_second: int


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one run measured.

    Attributes:
      latencies: Latency of each request after the warm-up, by service.
      within_target: Requests answered within the target.
      requests: Requests after the warm-up.
      work_core_s: Batch work done and not lost, in core seconds.
      by_deadline: Jobs whose deadline lies in the run and was met.
      deadlines: Jobs whose deadline lies in the run.
      evictions: Evictions of batch tasks.
      not_done: Batch tasks submitted and not done at the end.
    """

    latencies: dict[str, list[float]]
    within_target: int = 0
    requests: int = 0
    work_core_s: float = 0.0
    by_deadline: int = 0
    deadlines: int = 0
    evictions: int = 0
    not_done: int = 0


class SimulatedSite:
    """Workers, services and a scheduler with one policy.

    Attributes:
      load: Factor on the request rate and the interference.
      batch_tasks: Actual run time in ms and cores of each batch task, by name.
      is_measuring: Whether requests are counted in the outcome.
      outcome: What was measured so far.
    """

    def __init__(
        self,
        policy: policy_lib.Policy,
        services: list[Service],
        interference: dict[tuple[str, str], float],
        seed: int,
    ) -> None:
        self.clock = clock_lib.Clock()
        self.node = SingleNode()
        self.registry = workers_lib.WorkerRegistry(
            self.clock, settings.Timing()
        )
        self.services = {service.name: service for service in services}
        self.interference = interference
        self.load = 1.0
        self.random = random.Random(seed)
        self.workers: dict[str, SimulatedWorker] = {}
        self.outcome = Outcome({service.name: [] for service in services})
        self.is_measuring = False
        self.change_count = 0
        self.batch_tasks: dict[str, tuple[int, float]] = {}
        self._work_samples: list[float] = []
        self._windows: dict[
            tuple[str, str], collections.deque[tuple[int, float]]
        ] = {}
        self.scheduler = scheduler_lib.Scheduler(
            self.node,  # type: ignore[arg-type]
            self.registry,
            self,
            self,
            self.clock,
            settings.Timing(),
            lambda _: policy,
        )

    @property
    def tasks(self) -> task_table.TaskTable:
        """The table of all tasks."""
        return self.node.state.tasks

    def add_worker(
        self, name: str, zone: str, rack: str, cores: int, memory_mb: int
    ) -> None:
        """Adds a worker with its own VM."""
        self.workers[name] = SimulatedWorker(
            self,
            name,
            capacity=messages.Resources(cores * 1_000, memory_mb),
            availability_zone=zone,
            rack=rack,
            vm=vm_lib.Vm(name, self.interference),
            period_ms=ANNOUNCE_PERIOD_MS,
        )

    async def post(
        self, address: str, target: str, message: Any, timeout_ms: int = 0
    ) -> web.Response:
        """Delivers an order to its worker and returns the response."""
        del timeout_ms
        await curio.sleep(clock_lib.seconds(COMMIT_OR_ORDER_DELAY_MS))
        return await self.workers[address].handle_order(target, message)

    def change(self, change: commands.Change) -> None:
        """Applies a configuration change."""
        self.change_count += 1
        self.node.state.apply(
            commands.ChangeConfiguration(
                operator="ana",
                number=self.change_count,
                base_revision=self.node.state.configuration.current.revision,
                at_ms=self.clock.wall_ms(),
                change=change,
            )
        )

    def submit_job(self, row: commands.JobRow, actual_run_ms: int) -> None:
        """Submits a job whose tasks may run longer or shorter than declared."""
        cores = row.resources.cores_milli / 1_000
        for index in range(row.tasks):
            self.batch_tasks[f"job/{row.name}/{index}"] = (actual_run_ms, cores)
        command = f"run_ms={actual_run_ms} class={row.job_class}"
        job = commands.JobRow(
            **{
                name: getattr(row, name)
                for name in row.__struct_fields__
                if name != "command"
            },
            command=command,
        )
        self.change(commands.PutJob(job=job))

    async def run(self, driver: Any, duration_ms: int) -> Outcome:
        """Runs the site and a driver of events for a limited time."""
        async with curio.TaskGroup(wait=None) as group:
            for worker in self.workers.values():
                await group.spawn(worker.run)
            await group.spawn(self.scheduler.run)
            await group.spawn(self._sample_periodically)
            await group.spawn(driver)
            await curio.sleep(clock_lib.seconds(duration_ms))
            self._count_work()
            await group.cancel_remaining()
        return self.outcome

    async def _sample_periodically(self) -> None:
        while True:
            await curio.sleep(clock_lib.seconds(SAMPLE_PERIOD_MS))
            for worker in self.workers.values():
                for task in list(worker.attempts):
                    if tasks_lib.is_service(task):
                        self._sample_requests(worker, tasks_lib.name_of(task))

    def _sample_requests(self, worker: SimulatedWorker, name: str) -> None:
        service = self.services[name]
        rows = self.node.state.configuration.current.services
        slowdown = 1 + (worker.vm.slowdown(name) - 1) * self.load
        now_ms = self.clock.monotonic_ms()
        window = self._windows.setdefault(
            (name, worker.name), collections.deque()
        )
        mean = service.requests_per_second * self.load * SAMPLE_PERIOD_MS / 1000
        for _ in range(round(mean)):
            latency_ms = slowdown * self.random.lognormvariate(0, service.sigma)
            latency_ms *= service.base_latency_ms
            window.append((now_ms, latency_ms))
            if self.is_measuring:
                self.outcome.latencies[name].append(latency_ms)
                self.outcome.requests += 1
                target_ms = rows[name].tail_target_ms
                self.outcome.within_target += latency_ms <= target_ms

    def tail_latencies(self) -> list[executors_lib.TailLatencyRecord]:
        """Returns the tail latency of each instance, delayed by the lag."""
        now_ms = self.clock.monotonic_ms()
        last_ms = now_ms - SAMPLE_LAG_MS
        first_ms = last_ms - LATENCY_WINDOW_MS
        records = []
        for (name, vm), window in self._windows.items():
            while window and window[0][0] < first_ms:
                window.popleft()
            latencies = sorted(ms for at_ms, ms in window if at_ms <= last_ms)
            if len(latencies) < 5:
                continue
            sample = messages.TailSample(
                count=len(latencies),
                p50_ms=latencies[len(latencies) // 2],
                p99_ms=latencies[
                    min(len(latencies) - 1, len(latencies) * 99 // 100)
                ],
                sample_age_ms=SAMPLE_LAG_MS + LATENCY_WINDOW_MS // 2,
            )
            records.append(
                executors_lib.TailLatencyRecord(
                    name, f"{name}@{vm}", vm, sample, now_ms
                )
            )
        return records

    def sample_work(self) -> None:
        """Records the batch work done and not lost until now."""
        self._work_samples.append(self._work_done_core_s())

    def sampled_work(self) -> float:
        """Returns the batch work done between the first and the last sample."""
        return self._work_samples[-1] - self._work_samples[0]

    def _work_done_core_s(self) -> float:
        """Returns the batch work done and not lost, in core seconds."""
        total = 0.0
        for task, (run_ms, cores) in self.batch_tasks.items():
            record = self.tasks.records[task]
            done_ms = fake_worker.progress_of_reference(record.checkpoint)
            if record.phase is tasks_lib.Phase.DONE:
                done_ms = run_ms
            elif record.phase is tasks_lib.Phase.HELD:
                attempt = self.workers[record.worker].attempts.get(task)
                done_ms = attempt.done_ms if attempt else done_ms
            total += min(done_ms, run_ms) * cores / 1_000
        return total

    def _count_work(self) -> None:
        outcome = self.outcome
        outcome.work_core_s = self._work_done_core_s()
        for task in self.batch_tasks:
            record = self.tasks.records[task]
            outcome.not_done += record.phase is not tasks_lib.Phase.DONE
            outcome.evictions += record.evictions
        self._count_deadlines()

    def _count_deadlines(self) -> None:
        now_ms = self.clock.wall_ms()
        jobs = self.node.state.configuration.current.jobs
        for job in jobs.values():
            if not job.deadline_ms or job.deadline_ms > now_ms:
                continue
            records = [
                self.tasks.records[f"job/{job.name}/{index}"]
                for index in range(job.tasks)
            ]
            self.outcome.deadlines += 1
            self.outcome.by_deadline += all(
                record.phase is tasks_lib.Phase.DONE
                and record.changed_ms <= job.deadline_ms
                for record in records
            )
