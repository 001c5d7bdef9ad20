"""Keeps the tail latency of serving tasks below its target.

Batch tasks colocated with serving tasks are throttled as far as the forecast
headroom of the serving tasks requires and released when it allows. Tasks that
would stay throttled are stopped, so that they may start on another worker.
"""

from collections.abc import Iterable
import dataclasses
import math

from galenahook import logs
from galenahook.jobs import headroom as headroom_lib
from galenahook.jobs import shares as shares_lib
from galenahook.jobs import workers as workers_lib

# Headroom that must be left to serving tasks when a batch task is placed, when
# the speed of one is raised, and while they run. The last one has no margin: a
# target missed for a moment costs less than batch tasks that wait. Measured
# tail latencies scatter by 10% around the forecast.
PLACEMENT_HEADROOM = 1.1
RELEASE_HEADROOM = 1.12
THROTTLE_HEADROOM = 1.0
# Forecast horizon of a placement; most tasks run for 1 to 4 s.
PLACEMENT_HORIZON_MS = 2_000
# Forecast horizon of a throttle. A throttle takes effect after 100 ms, and
# measured tail latencies show it 500 ms later.
THROTTLE_HORIZON_MS = 800
# Once a target is missed for this long, batch tasks are slowed until
# `RELEASE_HEADROOM` is left. A target missed for 4 s without interruption
# counts as a broken objective.
LONG_MISS_MS = 1_000
# Least time between two reviews of all workers, and between two changes of
# throttles on one worker.
REVIEW_PERIOD_MS = 50
THROTTLE_SETTLE_MS = 300
# Time after which a worker that sent no measurements is reviewed again, as
# forecasts change.
UNCHANGED_REVIEW_PERIOD_MS = 200
# Smallest increase of the allowed speed that is ordered, in percent of full
# speed; an increase to full speed is always ordered.
MIN_THROTTLE_RAISE_PERCENT = 20
# Tasks throttled below this share of their speed are migrated if they would
# stay there.
MIGRATION_THROTTLE_PERCENT = 50
# How long a task must have been throttled before it is migrated, and the
# forecast horizon over which it would stay so.
MIGRATION_DELAY_MS = 600
MIGRATION_HORIZON_MS = 2_000
# How long a task that was started where it may not be tolerated stays there.
LAST_RESORT_STAY_MS = 5_000
# Tasks without checkpoints are migrated only up to this progress.
MIGRATION_MAX_PROGRESS_PERCENT = 25
# An image that reduces a headroom by less than this is not throttled.
MIN_HEADROOM_REDUCTION = 0.1
# Limit of the search for throttles. Each iteration throttles one image further,
# and a worker runs few images.
MAX_THROTTLE_ITERATIONS = 20
# Measured tail latencies are whole milliseconds. The headroom of a smaller one
# may be infinite.
MIN_TAIL_MS = 1.0
# Steps without a measured tail latency for this long are discarded.
STEP_RETENTION_MS = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class ServingStep:
    """A serving step on a worker.

    Attributes:
      image: Its image.
      baseline: Lowest expected headroom without colocated batch tasks.
    """

    image: str
    baseline: float


@dataclasses.dataclass(slots=True, frozen=True)
class ThrottleRun:
    """Decision to let a run use a percentage of its full speed."""

    worker: workers_lib.Worker
    run: workers_lib.LiveRun
    percent: int


@dataclasses.dataclass(slots=True, frozen=True)
class MigrateRun:
    """Decision to stop a throttled run, so that it starts elsewhere."""

    worker: workers_lib.Worker
    run: workers_lib.LiveRun


class TailLatencyControl:
    """Estimates headrooms and throttles batch tasks that use them up.

    Attributes:
      model: Estimates of headrooms.
    """

    def __init__(self) -> None:
        self.model = headroom_lib.HeadroomModel()
        self._pruned_ms = 0
        self._reviewed_ms = 0

    def observe(self, worker: workers_lib.Worker, now_ms: int) -> None:
        """Updates the model with the tail latencies that a worker reported."""
        shares = shares_lib.measured_shares(worker, now_ms)
        for run in worker.runs.values():
            if _has_measured_tail(run):
                _record_missed_target(run, now_ms)
                self._report_long_miss(worker, run, shares, now_ms)
                self.model.learn(
                    run.step.image,
                    run.step_id,
                    shares,
                    _headroom(run),
                    now_ms,
                )

    def _report_long_miss(
        self,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        shares: headroom_lib.Shares,
        now_ms: int,
    ) -> None:
        """Logs once that a run has missed its target for long, and why."""
        since_ms = run.target_missed_since_ms
        is_long = since_ms and now_ms - since_ms >= LONG_MISS_MS
        if not is_long or run.reported_miss_ms == since_ms:
            return
        run.reported_miss_ms = since_ms
        image = run.step.image
        baseline, variance = self.model.baseline(run.step_id, now_ms)
        logs.info(
            "target:missed",
            job=run.job.description.job,
            task=run.task,
            worker=worker.name,
            missed_ms=now_ms - since_ms,
            headroom=round(_headroom(run), 2),
            baseline=round(baseline, 2),
            deviation=round(math.sqrt(variance), 2),
            reductions={
                batch_image: round(
                    self.model.reduction(image, {batch_image: share}), 2
                )
                for batch_image, share in shares.items()
            },
            percents={
                other.step.image: other.throttle_percent
                for other in _colocated_runs(worker)
            },
        )

    def serving_steps(
        self, worker: workers_lib.Worker, now_ms: int, horizon_ms: int
    ) -> list[ServingStep]:
        """Returns the serving steps on a worker, with their forecasts."""
        steps = {
            run.step_id: run.step.image
            for run in worker.runs.values()
            if run.step.tail_target_ms
        }
        return [
            ServingStep(
                image, self.model.min_baseline(step_id, now_ms, horizon_ms)
            )
            for step_id, image in steps.items()
        ]

    def review(
        self, workers: Iterable[workers_lib.Worker], now_ms: int
    ) -> list[ThrottleRun | MigrateRun]:
        """Decides which colocated batch tasks to throttle, release or migrate.

        The new throttles are recorded in the runs.
        """
        decisions: list[ThrottleRun | MigrateRun] = []
        if now_ms - self._reviewed_ms < REVIEW_PERIOD_MS:
            return decisions
        self._reviewed_ms = now_ms
        self.model.decay_unobserved(now_ms)
        self._prune(now_ms)
        for worker in workers:
            is_unchanged = worker.last_reply_ms < worker.throttles_reviewed_ms
            review_age_ms = now_ms - worker.throttles_reviewed_ms
            if is_unchanged and review_age_ms < UNCHANGED_REVIEW_PERIOD_MS:
                continue
            colocated = _colocated_runs(worker)
            changed_ms = worker.throttles_changed_ms
            is_settling = (
                changed_ms and now_ms - changed_ms < THROTTLE_SETTLE_MS
            )
            if not colocated or is_settling:
                continue
            worker.throttles_reviewed_ms = now_ms
            for run, percent in self.throttle_changes(
                worker, colocated, now_ms
            ):
                if run.throttle_percent >= MIGRATION_THROTTLE_PERCENT > percent:
                    run.slowed_ms = now_ms
                run.throttle_percent = percent
                worker.throttles_changed_ms = now_ms
                decisions.append(ThrottleRun(worker, run, percent))
            decisions += [
                MigrateRun(worker, run)
                for run in self.runs_to_migrate(worker, colocated, now_ms)
            ]
        return decisions

    def _prune(self, now_ms: int) -> None:
        if now_ms - self._pruned_ms < STEP_RETENTION_MS:
            return
        self._pruned_ms = now_ms
        self.model.discard(
            [
                step_id
                for step_id, baseline in self.model.baselines.items()
                if now_ms - baseline.corrected_ms > STEP_RETENTION_MS
            ]
        )

    def throttle_changes(
        self,
        worker: workers_lib.Worker,
        colocated: list[workers_lib.LiveRun],
        now_ms: int,
    ) -> list[tuple[workers_lib.LiveRun, int]]:
        """Returns the runs whose throttle changes, with their new percent."""
        serving_steps = self._measured_serving_steps(worker, now_ms)
        is_long_miss = any(
            run.target_missed_since_ms
            and now_ms - run.target_missed_since_ms >= LONG_MISS_MS
            for run in worker.runs.values()
        )
        released = self.allowed_percents(
            worker, serving_steps, RELEASE_HEADROOM
        )
        throttled = released
        # Images that may run at full speed beside a larger headroom may do so
        # beside a smaller one.
        if not is_long_miss and min(released.values(), default=100) < 100:
            throttled = self.allowed_percents(
                worker, serving_steps, THROTTLE_HEADROOM
            )
        changes = []
        for run in colocated:
            image = run.step.image
            if throttled[image] < run.throttle_percent:
                changes.append((run, throttled[image]))
            elif (
                released[image] == 100 > run.throttle_percent
                or released[image]
                >= run.throttle_percent + MIN_THROTTLE_RAISE_PERCENT
            ):
                changes.append((run, released[image]))
        return changes

    def _measured_serving_steps(
        self, worker: workers_lib.Worker, now_ms: int
    ) -> list[ServingStep]:
        """Returns forecasts, and measured baselines for missed targets."""
        serving_steps = self.serving_steps(worker, now_ms, THROTTLE_HORIZON_MS)
        missing = [
            run
            for run in worker.runs.values()
            if _has_measured_tail(run) and _headroom(run) < 1.0
        ]
        if missing:
            shares = shares_lib.measured_shares(worker, now_ms)
            for run in missing:
                reduction = self.model.reduction(run.step.image, shares)
                serving_steps.append(
                    ServingStep(run.step.image, _headroom(run) + reduction)
                )
        return serving_steps

    def allowed_percents(
        self,
        worker: workers_lib.Worker,
        serving_steps: list[ServingStep],
        required: float,
    ) -> dict[str, int]:
        """Returns the percent of full speed that each batch image may use.

        Args:
          worker: The worker.
          serving_steps: Serving steps on the worker.
          required: Headroom that must be left to each serving step.
        """
        shares = shares_lib.expected_shares(worker, unthrottled=True)
        speeds = dict.fromkeys(shares, 1.0)
        for _ in range(MAX_THROTTLE_ITERATIONS):
            if not self._slow_worst_image(
                serving_steps, shares, speeds, required
            ):
                break
        return {
            image: math.floor(speed * 10 + 1e-6) * 10
            for image, speed in speeds.items()
        }

    def _slow_worst_image(
        self,
        serving_steps: list[ServingStep],
        shares: headroom_lib.Shares,
        speeds: dict[str, float],
        required: float,
    ) -> bool:
        """Slows the worst image for the first step with too little headroom.

        Returns:
          Whether an image was slowed.
        """
        for item in serving_steps:
            reductions = {
                image: self.model.weight(item.image, image).value * share
                for image, share in shares.items()
            }
            missing = required - item.baseline
            missing += sum(
                reduction * speeds[image]
                for image, reduction in reductions.items()
            )
            if missing <= 0:
                continue
            worst = max(
                reductions, key=lambda i: reductions[i] * speeds[i], default=""
            )
            if (
                not worst
                or reductions[worst] * speeds[worst] < MIN_HEADROOM_REDUCTION
            ):
                continue
            speed = speeds[worst] - missing / reductions[worst]
            speeds[worst] = max(0.0, speed)
            return True
        return False

    def runs_to_migrate(
        self,
        worker: workers_lib.Worker,
        colocated: list[workers_lib.LiveRun],
        now_ms: int,
    ) -> list[workers_lib.LiveRun]:
        """Returns the throttled runs that would stay throttled here."""
        throttled = [
            run
            for run in colocated
            if run.throttle_percent < MIGRATION_THROTTLE_PERCENT
            and not _stays_by_last_resort(run, now_ms)
            and now_ms - run.slowed_ms >= MIGRATION_DELAY_MS
            and (
                run.step.saves_checkpoints
                or run.progress_percent <= MIGRATION_MAX_PROGRESS_PERCENT
            )
        ]
        if not throttled:
            return []
        serving_steps = self.serving_steps(worker, now_ms, MIGRATION_HORIZON_MS)
        allowed = self.allowed_percents(worker, serving_steps, RELEASE_HEADROOM)
        return [
            run
            for run in throttled
            if allowed[run.step.image] < MIGRATION_THROTTLE_PERCENT
        ]


def _stays_by_last_resort(run: workers_lib.LiveRun, now_ms: int) -> bool:
    """Returns whether a run was started lately though it may stay throttled."""
    return run.is_last_resort and now_ms - run.ordered_ms < LAST_RESORT_STAY_MS


def _has_measured_tail(run: workers_lib.LiveRun) -> bool:
    """Returns whether a serving run is ready and has a measured tail."""
    return bool(
        run.step.tail_target_ms
        and run.measurement
        and run.progress_percent >= 100
    )


def _record_missed_target(run: workers_lib.LiveRun, now_ms: int) -> None:
    """Records since when a run has missed its target."""
    if _headroom(run) >= 1.0:
        run.target_missed_since_ms = 0
    elif not run.target_missed_since_ms:
        run.target_missed_since_ms = now_ms


def _headroom(run: workers_lib.LiveRun) -> float:
    measured_ms = max(run.measurement or 0.0, MIN_TAIL_MS)
    return run.step.tail_target_ms / measured_ms


def _colocated_runs(worker: workers_lib.Worker) -> list[workers_lib.LiveRun]:
    return [
        run
        for run in worker.runs.values()
        if run.step.uses_idle_cpu and run.seen and not run.stopping
    ]
