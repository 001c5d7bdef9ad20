"""What is free on a worker during one round."""

import dataclasses

from galenahook import commands
from galenahook.jobs import headroom as headroom_lib
from galenahook.jobs import tails as tails_lib
from galenahook.jobs import workers as workers_lib

# Share of its reservation that a task which serves uses in the mean; work
# beside it was never slowed by less on the users' bench.
SERVING_USE = 0.42
# Age of a run from which its measured use of processors is that of full speed.
SETTLED_MS = 1_200
# Standard deviations by which a weight is taken to be higher than learned, so
# that a pair that is new is tried where it can do no harm.
CAUTION = 0.75
# A fall of the headroom by one task that is always borne; harmless pairs have
# weights up to 1 and tasks take a tenth of a worker.
BORNE_FALL = 0.12


@dataclasses.dataclass(slots=True)
class Room:
    """What is free on a worker during one round.

    Attributes:
      worker: The worker.
      cpu_millis: Processors that no task reserves.
      memory_mb: Memory that no task reserves.
      gpus: Accelerators that no task reserves.
      idle_millis: Processors that no task is expected to use.
      served: Steps that serve there, with forecasts of their headroom.
      shares: Share of the worker that each image beside is to use.
      placed: Tasks there of each step, by job, occurrence and step.
    """

    worker: workers_lib.Worker
    cpu_millis: int
    memory_mb: int
    gpus: int
    idle_millis: float
    served: list[tails_lib.Served] = dataclasses.field(default_factory=list)
    shares: headroom_lib.Shares = dataclasses.field(default_factory=dict)
    placed: dict[workers_lib.StepId, int] = dataclasses.field(
        default_factory=dict
    )

    def take(
        self,
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
        used_millis: float | None = None,
    ) -> None:
        """Reserves one task of a step.

        Args:
          step: Its step.
          step_id: Where that step belongs.
          used_millis: Processors that it was measured to use; None if it
            counts as its step says.
        """
        self.memory_mb -= step.memory_mb
        self.gpus -= step.gpus
        self.placed[step_id] = self.placed.get(step_id, 0) + 1
        if step.uses_idle_cpu:
            used = step.cpu_millis if used_millis is None else used_millis
            self.idle_millis -= used
        else:
            self.cpu_millis -= step.cpu_millis
            used = SERVING_USE if step.serves else 1.0
            self.idle_millis -= used * step.cpu_millis

    def fits(self, step: commands.StepDescription) -> bool:
        """Whether one more task of a step fits what is reserved."""
        cpu = 0 if step.uses_idle_cpu else step.cpu_millis
        return (
            cpu <= self.cpu_millis
            and step.memory_mb <= self.memory_mb
            and step.gpus <= self.gpus
        )

    def share_of(self, step: commands.StepDescription) -> float:
        """Returns the share of the worker that a task may use."""
        return step.cpu_millis / self.worker.heartbeat.cpu_millis

    def bears(
        self, model: headroom_lib.HeadroomModel, step: commands.StepDescription
    ) -> bool:
        """Whether the tails of what serves bear one more task of a step.

        A fall too small to matter is borne whatever the level.
        """
        share = self.share_of(step)
        shares = self.shares.copy()
        shares[step.image] = shares.get(step.image, 0.0) + share
        own = {step.image: share}
        for item in self.served:
            if model.fall(item.image, own, CAUTION) <= BORNE_FALL:
                continue
            left = item.level - model.fall(item.image, shares, CAUTION)
            if left < tails_lib.PLACED_HEADROOM:
                return False
        return True

    def add_beside(self, step: commands.StepDescription) -> None:
        """Adds one more task of a step to the work beside."""
        share = self.shares.get(step.image, 0.0) + self.share_of(step)
        self.shares[step.image] = share


def room_of(
    worker: workers_lib.Worker, tails: tails_lib.TailControl, now_ms: int
) -> Room:
    """Returns what is free on a worker."""
    heartbeat = worker.heartbeat
    room = Room(
        worker,
        heartbeat.cpu_millis,
        heartbeat.memory_mb,
        heartbeat.gpus,
        heartbeat.cpu_millis,
    )
    for run in worker.runs.values():
        room.take(run.step, run.step_id, _used_millis(run, now_ms))
    room.shares = tails_lib.expected_shares(worker, unthrottled=True)
    room.served = tails.served(worker, now_ms, tails_lib.PLACED_AHEAD_MS)
    return room


def _used_millis(run: workers_lib.LiveRun, now_ms: int) -> float | None:
    """Returns the processors that a run at full speed was measured to use."""
    is_settled = now_ms - run.ordered_ms > SETTLED_MS and run.throttle == 100
    return run.measure if is_settled else None
