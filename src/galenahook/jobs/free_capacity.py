"""Free capacity of workers during one placement round."""

import dataclasses
import math

from galenahook import commands
from galenahook.jobs import headroom as headroom_lib
from galenahook.jobs import shares as shares_lib
from galenahook.jobs import tail_latency as tail_latency_lib
from galenahook.jobs import workers as workers_lib

# Share of its reserved processors that a serving task uses on average. At this
# value, colocated batch tasks are not slowed by a lack of processors.
SERVING_CPU_USE = 0.42
# Age of a run after which its measured processor use is that of full speed.
SETTLED_USE_AGE_MS = 1_200
# Standard deviations added to a weight, so that an unknown pair of images is
# tried only where the headroom is large.
WEIGHT_MARGIN_SIGMAS = 0.75
# Headroom reduction by one task that is always tolerated. Harmless pairs have
# weights up to 1, and a task uses about a tenth of a worker.
NEGLIGIBLE_REDUCTION = 0.12


@dataclasses.dataclass(slots=True)
class FreeCapacity:
    """Free capacity of one worker during a placement round.

    What is known of the tail latencies there is computed when a batch task is
    first considered, as most rounds consider one on few workers.

    Attributes:
      worker: The worker.
      tails: Forecasts of tail latencies.
      now_ms: When the round began.
      cpu_millis: Processors that no task reserves.
      memory_mb: Memory that no task reserves.
      gpus: Accelerators that no task reserves.
      idle_cpu_millis: Processors that no task is expected to use.
      batch_cpu_millis: Processors that batch tasks reserve.
      batch_memory_mb: Memory that batch tasks reserve.
      batch_gpus: Accelerators that batch tasks reserve.
      batch_used_cpu_millis: Processors that batch tasks are expected to use.
      reserved_for: Step for which the worker is reserved; None for no step.
      kept_cpu_millis: Processors that serving tasks must leave.
      serving_cpu_millis: Processors that serving tasks reserve.
      task_counts: Number of tasks on the worker by job, occurrence and step.
      starting: Number of runs that are starting.
      has_suspect_start: Whether one of these is of a task that may have crashed
        earlier workers.
    """

    worker: workers_lib.Worker
    tails: tail_latency_lib.TailLatencyControl
    now_ms: int
    cpu_millis: int
    memory_mb: int
    gpus: int
    idle_cpu_millis: float
    batch_cpu_millis: int = 0
    batch_memory_mb: int = 0
    batch_gpus: int = 0
    batch_used_cpu_millis: float = 0.0
    reserved_for: workers_lib.StepId | None = None
    kept_cpu_millis: float = 0.0
    serving_cpu_millis: int = 0
    task_counts: dict[workers_lib.StepId, int] = dataclasses.field(
        default_factory=dict
    )
    starting: int = 0
    has_suspect_start: bool = False
    _shares: headroom_lib.Shares | None = None
    _serving_steps: list[tail_latency_lib.ServingStep] | None = None

    @property
    def shares(self) -> headroom_lib.Shares:
        """Share of the worker that each colocated image is expected to use."""
        if self._shares is None:
            self._shares = shares_lib.expected_shares(
                self.worker, unthrottled=True
            )
        return self._shares

    @property
    def serving_steps(self) -> list[tail_latency_lib.ServingStep]:
        """Serving steps on the worker, with their forecast baselines."""
        if self._serving_steps is None:
            self._serving_steps = self.tails.serving_steps(
                self.worker, self.now_ms, tail_latency_lib.PLACEMENT_HORIZON_MS
            )
        return self._serving_steps

    def note_start(self, run: workers_lib.LiveRun) -> None:
        """Records a run that is starting."""
        self.starting += 1
        self.has_suspect_start = self.has_suspect_start or run.is_suspect

    def reserve(
        self,
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
        used_cpu_millis: float | None = None,
    ) -> None:
        """Reserves the capacity of one task.

        Args:
          step: Step of the task.
          step_id: Job, occurrence and number of the step.
          used_cpu_millis: Measured processor use of a task on idle processors;
            None if not known, so that the step's declared use counts.
        """
        self.memory_mb -= step.memory_mb
        self.gpus -= step.gpus
        self.task_counts[step_id] = self.task_counts.get(step_id, 0) + 1
        if step.uses_idle_cpu:
            used = (
                step.cpu_millis if used_cpu_millis is None else used_cpu_millis
            )
        else:
            self.cpu_millis -= step.cpu_millis
            used = step.cpu_millis * (SERVING_CPU_USE if step.serves else 1.0)
        self.idle_cpu_millis -= used
        if step.serves:
            self.serving_cpu_millis += step.cpu_millis
        else:
            self.batch_used_cpu_millis += used
            self.batch_memory_mb += step.memory_mb
            self.batch_gpus += step.gpus
            if not step.uses_idle_cpu:
                self.batch_cpu_millis += step.cpu_millis

    def is_allowed(
        self,
        service: str,
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
    ) -> bool:
        """Returns whether tasks of a step may run here, capacity aside."""
        heartbeat = self.worker.heartbeat
        if heartbeat.service != service:
            return False
        if step.required_label and step.required_label not in heartbeat.labels:
            return False
        if self.reserved_for not in (None, step_id):
            return False
        if step.serves and not self._leaves_kept(step):
            return False
        if not step.max_per_worker:
            return True
        return self.task_counts.get(step_id, 0) < step.max_per_worker

    def _leaves_kept(self, step: commands.StepDescription) -> bool:
        """Returns whether a serving task leaves the processors kept here."""
        if not self.kept_cpu_millis:
            return True
        used = self.serving_cpu_millis + step.cpu_millis
        return used + self.kept_cpu_millis <= self.worker.heartbeat.cpu_millis

    def fits_without_batch(self, step: commands.StepDescription) -> bool:
        """Returns whether a task would fit if no batch task ran."""
        if step.uses_idle_cpu:
            free_cpu_millis = self.idle_cpu_millis + self.batch_used_cpu_millis
        else:
            free_cpu_millis = self.cpu_millis + self.batch_cpu_millis
        return (
            step.cpu_millis <= free_cpu_millis
            and step.memory_mb <= self.memory_mb + self.batch_memory_mb
            and step.gpus <= self.gpus + self.batch_gpus
        )

    def would_fit_if_empty(self, step: commands.StepDescription) -> bool:
        """Returns whether a task would fit if nothing else ran."""
        heartbeat = self.worker.heartbeat
        return (
            step.cpu_millis <= heartbeat.cpu_millis
            and step.memory_mb <= heartbeat.memory_mb
            and step.gpus <= heartbeat.gpus
        )

    def fits(self, step: commands.StepDescription) -> bool:
        """Returns whether the unreserved capacity holds one more task."""
        cpu = 0 if step.uses_idle_cpu else step.cpu_millis
        return (
            cpu <= self.cpu_millis
            and step.memory_mb <= self.memory_mb
            and step.gpus <= self.gpus
        )

    def share_of(self, step: commands.StepDescription) -> float:
        """Returns the share of the worker that a task of a step may use."""
        return self.worker.share_of(step.cpu_millis)

    def tolerates(
        self, model: headroom_lib.HeadroomModel, step: commands.StepDescription
    ) -> bool:
        """Returns whether the serving tasks tolerate one more batch task.

        A negligible headroom reduction is tolerated whatever the baseline.
        """
        return self._tolerates_beside(self.shares, model, step)

    def tolerates_without_batch(
        self, model: headroom_lib.HeadroomModel, step: commands.StepDescription
    ) -> bool:
        """Returns whether they would tolerate it if no other batch task ran."""
        return self._tolerates_beside({}, model, step)

    def _tolerates_beside(
        self,
        others: headroom_lib.Shares,
        model: headroom_lib.HeadroomModel,
        step: commands.StepDescription,
    ) -> bool:
        share = self.share_of(step)
        shares = others.copy()
        shares[step.image] = shares.get(step.image, 0.0) + share
        own = {step.image: share}
        for item in self.serving_steps:
            if (
                model.reduction(item.image, own, WEIGHT_MARGIN_SIGMAS)
                <= NEGLIGIBLE_REDUCTION
            ):
                continue
            headroom = item.baseline - model.reduction(
                item.image, shares, WEIGHT_MARGIN_SIGMAS
            )
            if headroom < tail_latency_lib.PLACEMENT_HEADROOM:
                return False
        return True

    def headroom_beside(
        self, model: headroom_lib.HeadroomModel, step: commands.StepDescription
    ) -> float:
        """Returns the least headroom expected beside one more batch task."""
        shares = self.shares.copy()
        shares[step.image] = shares.get(step.image, 0.0) + self.share_of(step)
        return min(
            (
                item.baseline - model.reduction(item.image, shares)
                for item in self.serving_steps
            ),
            default=math.inf,
        )

    def add_colocated(self, step: commands.StepDescription) -> None:
        """Adds the expected use of a batch task before it is on the worker."""
        share = self.shares.get(step.image, 0.0) + self.share_of(step)
        self.shares[step.image] = share


def free_capacity_of(
    worker: workers_lib.Worker,
    tails: tail_latency_lib.TailLatencyControl,
    now_ms: int,
) -> FreeCapacity:
    """Returns the free capacity of a worker."""
    heartbeat = worker.heartbeat
    capacity = FreeCapacity(
        worker,
        tails,
        now_ms,
        heartbeat.cpu_millis,
        heartbeat.memory_mb,
        heartbeat.gpus,
        heartbeat.cpu_millis,
    )
    for run in worker.runs.values():
        capacity.reserve(run.step, run.step_id, _used_cpu_millis(run, now_ms))
        if run.is_starting(now_ms):
            capacity.note_start(run)
    return capacity


def _used_cpu_millis(run: workers_lib.LiveRun, now_ms: int) -> float | None:
    """Returns the measured processor use of a run; None unless settled.

    A use counts as settled if the run is not throttled and old enough.
    """
    is_settled = (
        now_ms - run.ordered_ms > SETTLED_USE_AGE_MS
        and run.throttle_percent == 100
    )
    return run.measurement if is_settled else None
