"""Tail control: acts when the tail latency of a service exceeds its target.

The batch tasks on the VM are throttled first, the most harmful one first, and
then checkpointed and evicted. If no batch task may be evicted, the instance of
the service is moved. Each action waits for a sample taken after the previous
one took effect. Once the tail latency has been well below the target for some
time, throttles are lifted one at a time.
"""

from collections.abc import Iterable
import dataclasses

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import colocation as colocation_lib
from galenahook.scheduling import context as context_lib
from galenahook.scheduling import estimates
from galenahook.scheduling import interference as interference_lib
from galenahook.scheduling import policy as policy_lib
from galenahook.scheduling import tail_source as tail_source_lib
from galenahook.scheduling import task_table
from galenahook.scheduling import tasks as tasks_lib

# Samples taken sooner after an action do not show its effect yet.
SETTLE_MS = 300
# Readings taken within this time of the last one show the same window.
MIN_WINDOW_SPACING_MS = 100
# Consecutive windows over the limit before an action is taken.
WINDOWS_BEFORE_ACTION = 2
# Windows well below the limit before a throttle is lifted.
WINDOWS_BEFORE_LIFT = 4
MAX_WINDOWS_BEFORE_LIFT = 64
# Share of the limit that counts as well below it.
LIFT_THRESHOLD_FACTOR = 0.8
THROTTLE_PERCENT = 40
UNTHROTTLED_PERCENT = 100
# Batch tasks with a smaller weight are left alone, and a service with a
# smaller predicted slowdown is not moved.
MIN_SLOWDOWN = 0.02
MINUTE_MS = 60_000
REASON_PREFIX = "tail of "


@dataclasses.dataclass(slots=True)
class TailWatch:
    """State of the control of one executor.

    Attributes:
      sampled_ms: Monotonic time of the last window.
      acted_ms: Monotonic time of the last action.
      windows_over: Consecutive windows over the limit.
      windows_below: Windows well below the limit since one was over it or a
        throttle was lifted.
      windows_before_lift: Value of `windows_below` that lifts a throttle;
        doubles if the limit is exceeded again after a throttle was lifted.
      lifted_ms: Monotonic time when a throttle was last lifted; 0 if none
        was, or if `windows_before_lift` was doubled since.
    """

    sampled_ms: int = -1
    acted_ms: int = 0
    windows_over: int = 0
    windows_below: int = 0
    windows_before_lift: int = WINDOWS_BEFORE_LIFT
    lifted_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Throttle:
    """Limits an attempt of a task to a percentage of its processors."""

    task: str
    percent: int


@dataclasses.dataclass(slots=True, frozen=True)
class Evict:
    """Evicts a task; a batch task is checkpointed first."""

    task: str
    reason: str


Action = Throttle | Evict


class TailControl:
    """Watches tail latencies and chooses actions.

    Attributes:
      context: State and services shared by the parts of the scheduler.
      colocation: Services and batch tasks on each VM.
      model: Learned interference of batch tasks with services.
      watches: Control state by executor.
      eviction_times_ms: Times of evictions within the last minute.
    """

    def __init__(
        self,
        context: context_lib.Context,
        colocation: colocation_lib.Colocation,
        model: interference_lib.InterferenceModel,
    ) -> None:
        self.context = context
        self.colocation = colocation
        self.model = model
        self.watches: dict[str, TailWatch] = {}
        self.eviction_times_ms: list[int] = []

    def observe(
        self,
        readings: Iterable[tail_source_lib.TailReading],
        limits: policy_lib.TailLimits | None,
    ) -> list[Action]:
        """Updates the model with new windows and returns actions to take."""
        actions: list[Action] = []
        services: dict[str, set[str]] = {}
        for reading in readings:
            services.setdefault(reading.vm, set()).add(reading.service)
            watch = self.watches.setdefault(reading.executor, TailWatch())
            if taken_ms(reading) <= watch.sampled_ms + MIN_WINDOW_SPACING_MS:
                continue
            watch.sampled_ms = taken_ms(reading)
            self._learn(reading)
            if limits is not None:
                actions += self._control(watch, reading, limits)
        self.colocation.services = services
        return actions

    def _learn(self, reading: tail_source_lib.TailReading) -> None:
        worker = self.colocation.worker_on(reading.vm)
        self.model.observe(
            reading.service,
            reading.sample.p99_ms,
            reading.sample.count,
            self.colocation.shares_at(worker, taken_ms(reading)),
        )

    def _control(
        self,
        watch: TailWatch,
        reading: tail_source_lib.TailReading,
        limits: policy_lib.TailLimits,
    ) -> list[Action]:
        service = self.context.configuration.services.get(reading.service)
        if service is None or taken_ms(reading) < watch.acted_ms + SETTLE_MS:
            return []
        if reading.sample.count < interference_lib.MIN_REQUESTS:
            return []
        limit_ms = service.tail_target_ms * limits.slack
        self._count_window(watch, reading.sample.p99_ms, limit_ms)
        now_ms = self.context.clock.monotonic_ms()
        worker = self.colocation.worker_on(reading.vm)
        if watch.windows_over >= WINDOWS_BEFORE_ACTION:
            action = self._mitigate(worker, reading.service, limits, now_ms)
            if action is not None:
                watch.acted_ms = now_ms
                watch.windows_over = 0
            return [action] if action is not None else []
        if watch.windows_below >= watch.windows_before_lift:
            watch.windows_below = 0
            return self._lift_throttle(watch, worker, now_ms)
        return []

    def _count_window(
        self, watch: TailWatch, p99_ms: float, limit_ms: float
    ) -> None:
        if p99_ms > limit_ms:
            watch.windows_over += 1
            watch.windows_below = 0
            if watch.lifted_ms and watch.windows_over == WINDOWS_BEFORE_ACTION:
                watch.windows_before_lift = min(
                    MAX_WINDOWS_BEFORE_LIFT, 2 * watch.windows_before_lift
                )
                watch.lifted_ms = 0
        else:
            watch.windows_over = 0
            watch.windows_below += p99_ms < LIFT_THRESHOLD_FACTOR * limit_ms

    def _mitigate(
        self,
        worker: str,
        service: str,
        limits: policy_lib.TailLimits,
        now_ms: int,
    ) -> Action | None:
        ranked = self._by_impact(worker, service, limits)
        for task in ranked if limits.throttles_first else ():
            if self.colocation.throttles.get(task, 100) > THROTTLE_PERCENT:
                return Throttle(task, THROTTLE_PERCENT)
        if not self._may_evict(limits, now_ms):
            return None
        for task in ranked:
            if self._is_evictable(task):
                self.eviction_times_ms.append(now_ms)
                return Evict(task, REASON_PREFIX + service)
        return self._evict_service(worker, service, now_ms)

    def _evict_service(
        self, worker: str, service: str, now_ms: int
    ) -> Action | None:
        shares = self.colocation.shares(worker)
        if self.model.slowdown(service, shares) < MIN_SLOWDOWN:
            return None
        for task in self.context.tasks.held.get(worker, ()):
            owner = f"service/{service}"
            record = self.context.tasks.records[task]
            if tasks_lib.owner_of(task) == owner and not record.evicting:
                self.eviction_times_ms.append(now_ms)
                return Evict(task, REASON_PREFIX + service)
        return None

    def _may_evict(self, limits: policy_lib.TailLimits, now_ms: int) -> bool:
        self.eviction_times_ms = [
            at_ms
            for at_ms in self.eviction_times_ms
            if now_ms - at_ms < MINUTE_MS
        ]
        return len(self.eviction_times_ms) < limits.evictions_per_minute

    def _by_impact(
        self, worker: str, service: str, limits: policy_lib.TailLimits
    ) -> list[str]:
        """Returns the batch tasks on a VM, the most harmful first.

        Tasks of unbroken jobs come after all others.
        """
        found = []
        run_times = self.context.tasks.run_times
        now_ms = self.context.clock.wall_ms()
        for task in self.context.tasks.held.get(worker, ()):
            job = self.context.configuration.jobs.get(tasks_lib.name_of(task))
            record = self.context.tasks.records[task]
            if job is None or tasks_lib.is_service(task) or record.evicting:
                continue
            if limits.spares_deadlines and estimates.is_deadline_at_risk(
                job, record, run_times, now_ms
            ):
                continue
            weight = self.model.weight(service, job.job_class)
            percent = self.colocation.throttles.get(task, 100)
            impact = weight * record.reserved.cores_milli * percent
            if weight >= MIN_SLOWDOWN:
                found.append((job.unbroken, -impact, task))
        return [task for _, _, task in sorted(found)]

    def _is_evictable(self, task: str) -> bool:
        job = self.context.configuration.jobs[tasks_lib.name_of(task)]
        return job.repeatable and not job.unbroken and not job.urgent

    def _lift_throttle(
        self, watch: TailWatch, worker: str, now_ms: int
    ) -> list[Action]:
        for task in self.context.tasks.held.get(worker, ()):
            if self.colocation.throttles.get(task, 100) < UNTHROTTLED_PERCENT:
                watch.acted_ms = now_ms
                watch.lifted_ms = now_ms
                return [Throttle(task, UNTHROTTLED_PERCENT)]
        return []


def taken_ms(reading: tail_source_lib.TailReading) -> int:
    """Returns the monotonic time of the middle of a reading's window."""
    return reading.received_ms - reading.sample.sample_age_ms


def eviction_command(
    table: task_table.TaskTable, actions: Iterable[Action]
) -> commands.EvictAttempts | None:
    """Returns a command that marks tasks for eviction; None if none is."""
    evictions = [action for action in actions if isinstance(action, Evict)]
    if not evictions:
        return None
    refs = tuple(
        messages.AttemptRef(
            task=action.task, attempt=table.records[action.task].attempt
        )
        for action in evictions
    )
    return commands.EvictAttempts(attempts=refs, reason=evictions[0].reason)
