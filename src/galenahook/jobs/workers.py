"""Workers of the current term: incarnations, leases and runs."""

import dataclasses

from galenahook import commands
from galenahook.jobs import calls
from galenahook.jobs import tasks as tasks_lib

# Slowest rate of a worker's monotonic clock that the platform permits.
MIN_CLOCK_RATE = 0.98
# Longest time after which a worker may still carry out an order.
MAX_ORDER_DELAY_MS = 12_000
# Longest time from the decision to send an order to its sending.
MAX_SEND_DELAY_MS = 500
# Time without a response after which nothing new starts on a worker.
UNRESPONSIVE_AFTER_MS = 1_500
# Period of heartbeats if the settings don't contain it.
HEARTBEAT_PERIOD_MS = 1_500
# Time after which an overdue heartbeat leaves the worker's capacity unknown.
MAX_HEARTBEAT_DELAY_MS = 2_500
# Measured tail latencies are means over this time.
MEASUREMENT_WINDOW_MS = 500
# Time after the confirmation of a start in which it still counts as starting,
# since a task that crashes its worker may do so only then.
START_SETTLE_MS = 50

StepId = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class LiveRun:
    """A run that may be running on a worker.

    Attributes:
      task: Task identifier.
      run: Number of the run.
      job: Its job.
      key: Occurrence, step and index of its task.
      step: Its step.
      ordered_ms: When the start was ordered through the link to its present
        incarnation; 0 for a run of an earlier term or incarnation.
      confirmed_ms: When the worker confirmed that it runs; 0 before.
      sent: Whether the order to start it may have been sent.
      sent_ms: When that order was sent in this term; 0 before.
      unanswered_ms: When it became certain that the order gets no reply; 0
        before.
      broken_off: Whether the connection of that order closed without a reply.
      seen: Whether the worker has listed it as running.
      seen_ms: When the worker first listed it in this term; 0 before.
      was_confirmed: Whether its start was confirmed in an earlier term.
      earlier_ms: How long it had run when this term began to track it.
      stop_confirmed_ms: When the worker confirmed a stop, after which this run
        can't start there; 0 before.
      stopping: Whether a stop was ordered.
      stop_reason: Why it was stopped.
      blame: How likely it has caused the crash of a worker.
      checkpoint: Latest reported checkpoint.
      progress_percent: Latest reported progress.
      measurement: Latest report: tail latency in milliseconds of a serving run,
        thousandths of a core in use by any other; None before.
      throttle_percent: Percent of full speed that it may use.
      slowed_ms: When it was last throttled below half its speed.
      target_missed_since_ms: Since when its tail latency has exceeded the
        target; 0 if it does not.
      is_last_resort: Whether it was started where serving tasks may not
        tolerate it.
      reported_miss_ms: That time when a miss was last logged; 0 for none.
      waited_ms: How long its task had waited when it was placed; 0 if it does
        not serve.
      is_pinned: Whether its worker may still carry out an earlier start of the
        task.
      step_id: Job, occurrence and number of its step.
    """

    task: str
    run: int
    job: tasks_lib.Job
    key: tasks_lib.TaskKey
    step: commands.StepDescription
    ordered_ms: int = 0
    confirmed_ms: int = 0
    sent: bool = False
    sent_ms: int = 0
    unanswered_ms: int = 0
    broken_off: bool = False
    seen: bool = False
    seen_ms: int = 0
    was_confirmed: bool = False
    earlier_ms: int = 0
    stop_confirmed_ms: int = 0
    stopping: bool = False
    stop_reason: str = ""
    blame: commands.Blame = commands.Blame.NONE
    checkpoint: str = ""
    progress_percent: float = 0.0
    measurement: float | None = None
    throttle_percent: int = 100
    slowed_ms: int = 0
    target_missed_since_ms: int = 0
    is_last_resort: bool = False
    reported_miss_ms: int = 0
    waited_ms: int = 0
    is_pinned: bool = False
    step_id: StepId = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.step_id = (self.job.description.job, self.key[0], self.key[1])

    def is_starting(self, now_ms: int) -> bool:
        """Returns whether its start was ordered in this term just now."""
        if not self.ordered_ms or self.seen or self.stopping:
            return False
        return (
            not self.confirmed_ms
            or now_ms - self.confirmed_ms < START_SETTLE_MS
        )

    @property
    def is_confirmed(self) -> bool:
        """Whether the worker has confirmed its start or listed it."""
        return bool(self.confirmed_ms) or self.seen or self.was_confirmed

    @property
    def start_pending(self) -> bool:
        """Whether its start order was sent and may be carried out later."""
        return self.sent and not self.is_confirmed

    @property
    def is_suspect(self) -> bool:
        """Whether earlier runs of the task may have crashed their workers."""
        return tasks_lib.is_suspect(self.job, self.key)


class Worker:
    """One incarnation of a worker.

    Attributes:
      heartbeat: Its latest heartbeat.
      runs: Runs that may be on it, by task.
      last_reply_ms: When it last replied to a poll; 0 before.
      clock_ms: Lower bound of its clock at `clock_at_ms`.
      clock_at_ms: When that clock reading was received.
      lease_until_ms: Latest end of a lease sent to it, on its own clock.
      lease_sent_ms: When a lease was last sent to it or to an earlier
        incarnation, by this leader or, at the latest, by an earlier one.
      inherited_lease_until_ms: When every lease that was sent to an earlier
        incarnation and may be received by this one has expired, on the leader's
        clock; 0 for none.
      acknowledged: Number of the last end that is committed.
      last_processed_end: Number of the last end processed from its list.
      leaving_since_ms: When it announced that it ends; 0 before.
      excluded_until_ms: Until when nothing new starts on it.
      failed_tasks: Tasks that failed on it since it last completed one.
      last_done_ms: When it last completed one; 0 before.
      has_polled: Whether it has replied to a poll in this term.
      has_stray_runs: Whether it last listed runs that the replicated state does
        not contain, and whose needs may not be known.
      heartbeat_period_ms: Time between two of its heartbeats.
      is_unresponsive: Whether this incarnation did not reply to the last poll;
        another one may have.
      broken_off_ms: When its connection closed during a poll, since its last
        reply; 0 if it did not.
      ended_batch_runs: Runs on idle processors that have just ended: time of
        the end, image and processor use.
      throttles_changed_ms: When a throttle of its runs last changed; 0 before.
      throttles_reviewed_ms: When these throttles were last reviewed; 0 before.
      ignored_logged_ms: When an announcement that was ignored because of this
        worker was last logged; 0 before.
    """

    __slots__ = (
        "acknowledged",
        "broken_off_ms",
        "excluded_until_ms",
        "clock_at_ms",
        "clock_ms",
        "ended_batch_runs",
        "failed_tasks",
        "last_done_ms",
        "last_reply_ms",
        "heartbeat",
        "ignored_logged_ms",
        "inherited_lease_until_ms",
        "is_unresponsive",
        "lease_sent_ms",
        "lease_until_ms",
        "leaving_since_ms",
        "has_polled",
        "has_stray_runs",
        "heartbeat_period_ms",
        "runs",
        "last_processed_end",
        "throttles_changed_ms",
        "throttles_reviewed_ms",
    )

    def __init__(self, heartbeat: calls.WorkerHeartbeat, now_ms: int) -> None:
        self.heartbeat = heartbeat
        self.runs: dict[str, LiveRun] = {}
        self.last_reply_ms = 0
        self.clock_ms = heartbeat.clock_ms
        self.clock_at_ms = now_ms
        self.lease_until_ms = 0
        self.lease_sent_ms = 0
        self.inherited_lease_until_ms = 0.0
        self.acknowledged = 0
        self.last_processed_end = 0
        self.leaving_since_ms = 0
        self.excluded_until_ms = 0
        self.failed_tasks: set[str] = set()
        self.last_done_ms = 0
        self.has_polled = False
        self.has_stray_runs = False
        self.heartbeat_period_ms = HEARTBEAT_PERIOD_MS
        self.is_unresponsive = False
        self.broken_off_ms = 0
        self.ended_batch_runs: list[tuple[int, str, float]] = []
        self.throttles_changed_ms = 0
        self.throttles_reviewed_ms = 0
        self.ignored_logged_ms = 0

    @property
    def name(self) -> str:
        """Identifier of the worker."""
        return self.heartbeat.worker

    @property
    def is_leaving(self) -> bool:
        """Whether it has announced its end."""
        return self.heartbeat.draining or self.leaving_since_ms > 0

    @property
    def rack(self) -> str:
        """Rack of the worker, the last of its labels."""
        return self.heartbeat.labels[-1] if self.heartbeat.labels else ""

    def begin_clock(self, clock_ms: int, now_ms: int) -> None:
        """Records the first reading of the clock that the worker itself gave.

        The clock in its heartbeats may be that of another writer.
        """
        self.clock_ms = clock_ms
        self.clock_at_ms = now_ms

    def record_clock(self, clock_ms: int, now_ms: int) -> None:
        """Records a reading of the worker's clock if it raises the bound."""
        if clock_ms >= self.min_clock_ms(now_ms):
            self.clock_ms = clock_ms
            self.clock_at_ms = now_ms

    def min_clock_ms(self, now_ms: int) -> float:
        """Returns a lower bound of the worker's clock at a time."""
        return self.clock_ms + (now_ms - self.clock_at_ms) * MIN_CLOCK_RATE

    def extend_lease(self, now_ms: int, length_ms: int) -> int:
        """Records a lease to send; returns its end on the worker's clock."""
        end_ms = int(self.min_clock_ms(now_ms)) + length_ms
        self.lease_until_ms = max(self.lease_until_ms, end_ms)
        self.lease_sent_ms = now_ms
        return end_ms

    def lease_for_start(self, now_ms: int, length_ms: int) -> int:
        """Returns the end of the lease to send with a start.

        Polls renew the lease. A start extends only one that ends soon, as the
        worker may have ended, and its runs are waited for until then.
        """
        self.lease_sent_ms = now_ms
        left_ms = self.lease_until_ms - self.min_clock_ms(now_ms)
        if left_ms < length_ms / 2:
            return self.extend_lease(now_ms, length_ms)
        return self.lease_until_ms

    def inherit_lease(self, latest_ms: int, length_ms: int) -> None:
        """Records until when it may take leases that its link did not send."""
        # Its clock has restarted, so only the length of the lease is known.
        self.inherited_lease_until_ms = latest_ms + length_ms / MIN_CLOCK_RATE

    def is_lease_expired(self, now_ms: int) -> bool:
        """Returns whether every lease that it may hold has expired."""
        return (
            now_ms > self.inherited_lease_until_ms
            and self.min_clock_ms(now_ms) > self.lease_until_ms
        )

    def remove_run(self, run: LiveRun, now_ms: int) -> None:
        """Removes a run that has ended."""
        if self.runs.pop(run.task, None) and run.step.uses_idle_cpu:
            ended = (now_ms, run.step.image, run.measurement or 0.0)
            self.ended_batch_runs.append(ended)

    def ended_run_shares(self, now_ms: int) -> dict[str, float]:
        """Returns the shares of runs that ended in the measurement window.

        Each share is weighted by the part of the window before its end.
        """
        self.ended_batch_runs = [
            ended
            for ended in self.ended_batch_runs
            if now_ms - ended[0] < MEASUREMENT_WINDOW_MS
        ]
        shares: dict[str, float] = {}
        for ended_ms, image, used in self.ended_batch_runs:
            weight = 1 - (now_ms - ended_ms) / MEASUREMENT_WINDOW_MS
            share = weight * self.share_of(used)
            shares[image] = shares.get(image, 0.0) + share
        return shares

    def share_of(self, cpu_millis: float) -> float:
        """Returns a processor use as a share of the worker, at most 1.

        Its capacity may have shrunk below the use, and to zero.
        """
        return min(1.0, cpu_millis / max(1, self.heartbeat.cpu_millis))

    def is_heartbeat_outdated(self, now_ms: int) -> bool:
        """Returns whether its capacity may have changed unnoticed.

        A delayed heartbeat is as old as it is by the worker's clock, if it
        contains that clock.
        """
        if not self.heartbeat.clock_ms:
            return False
        age_ms = self.min_clock_ms(now_ms) - self.heartbeat.clock_ms
        return age_ms > self.heartbeat_period_ms + MAX_HEARTBEAT_DELAY_MS

    def is_over_capacity(self) -> bool:
        """Returns whether its runs reserve more than its capacity."""
        steps = [run.step for run in self.runs.values()]
        reserved_cpu_millis = sum(
            step.cpu_millis for step in steps if not step.uses_idle_cpu
        )
        return (
            reserved_cpu_millis > self.heartbeat.cpu_millis
            or sum(step.memory_mb for step in steps) > self.heartbeat.memory_mb
            or sum(step.gpus for step in steps) > self.heartbeat.gpus
        )

    def is_usable(self, now_ms: int) -> bool:
        """Returns whether new runs may start on it."""
        return not self.unusable_reason(now_ms)

    def unusable_reason(self, now_ms: int) -> str:
        """Returns why no new run may start on it; empty if one may."""
        if not self.has_polled:
            return "not-polled"
        if self.is_unresponsive:
            return "unresponsive"
        if self.has_stray_runs:
            return "stray-runs"
        if self.is_leaving:
            return "leaving"
        if now_ms - self.last_reply_ms >= UNRESPONSIVE_AFTER_MS:
            return "silent"
        if now_ms < self.excluded_until_ms:
            return "excluded"
        if self.is_heartbeat_outdated(now_ms):
            return "heartbeat-outdated"
        return ""
