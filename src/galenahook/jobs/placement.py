"""Chooses workers for waiting tasks."""

import dataclasses
from typing import TYPE_CHECKING

from galenahook import commands
from galenahook.jobs import headroom as headroom_lib
from galenahook.jobs import ordering
from galenahook.jobs import tails as tails_lib
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib

Placed = list[tuple[workers_lib.Worker, workers_lib.LiveRun]]

# Share of its reservation that a task which serves uses in the mean; work
# beside it was never slowed by less on the users' bench.
SERVING_USE = 0.42
# Time for which tasks that serve are gathered, so that of those that come at
# once the largest are placed first.
GATHER_MS = 200
# Age of a run from which its measured use of processors is that of full speed.
SETTLED_MS = 1_200
# Standard deviations by which a weight is taken to be higher than learned, so
# that a pair that is new is tried where it can do no harm.
CAUTION = 0.75
# A fall of the headroom by one task that is always borne; harmless pairs have
# weights up to 1 and tasks take a tenth of a worker.
BORNE_FALL = 0.12
# How much a place that suits the image, and idle processors, count in a cost
# that is a fall of the headroom.
SUITED_WEIGHT = 0.5
IDLE_WEIGHT = 0.3


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


def place(dispatcher: "dispatcher_lib.Dispatcher", limit: int) -> Placed:
    """Chooses a worker for as many waiting tasks as fit."""
    now_wall_ms = dispatcher.clock.wall_ms()
    waiting = [job for job in dispatcher.table.open.values() if job.waiting]
    if not waiting:
        return []
    zones_out = dispatcher.node.state.site.current.zones_out
    now_ms = dispatcher.now_ms()
    rooms = [
        room_of(link.worker, dispatcher.tails, now_ms)
        for link in dispatcher.links.values()
        if link.worker.is_usable(now_ms)
        and link.worker.heartbeat.availability_zone not in zones_out
    ]
    waiting.sort(
        key=lambda job: ordering.rank(job, dispatcher.run_times, now_wall_ms)
    )
    placed: Placed = []
    for job in waiting:
        _place_job(dispatcher, job, rooms, now_wall_ms, placed)
        if len(placed) >= limit:
            break
    return placed


def _place_job(
    dispatcher: "dispatcher_lib.Dispatcher",
    job: tasks_lib.Job,
    rooms: list[Room],
    now_wall_ms: int,
    placed: Placed,
) -> None:
    full_steps: set[tuple[int, int]] = set()
    for key in sorted(job.waiting):
        step_key = key[:2]
        if step_key in full_steps or not _is_due(job, key, now_wall_ms):
            continue
        step = job.step(key)
        room = _choose(dispatcher, job, key, step, rooms)
        if room is not None and _is_gathered(job, step, now_wall_ms):
            # Nothing else takes its place meanwhile.
            room.take(step, (job.description.job, *step_key))
            continue
        if room is None:
            full_steps.add(step_key)
            continue
        before = job.runs.get(key)
        run = workers_lib.LiveRun(
            task=tasks_lib.task_name(job.description.job, key),
            run=before.run + 1 if before else 1,
            job=job,
            key=key,
            step=step,
            ordered_ms=dispatcher.now_ms(),
            checkpoint=before.checkpoint if before else "",
        )
        room.take(step, run.step_id)
        if step.uses_idle_cpu:
            room.add_beside(step)
        room.worker.runs[run.task] = run
        placed.append((room.worker, run))


def _is_gathered(
    job: tasks_lib.Job, step: commands.StepDescription, now_wall_ms: int
) -> bool:
    """Whether a new job that serves waits for others that may come with it."""
    age_ms = now_wall_ms - job.record.submitted_ms
    return step.serves and not job.began and 0 <= age_ms < GATHER_MS


def _is_due(
    job: tasks_lib.Job, key: tasks_lib.TaskKey, now_wall_ms: int
) -> bool:
    description = job.description
    if not description.first_start_ms:
        return True
    due_ms = description.first_start_ms + key[0] * description.interval_ms
    return now_wall_ms >= due_ms


def _choose(
    dispatcher: "dispatcher_lib.Dispatcher",
    job: tasks_lib.Job,
    key: tasks_lib.TaskKey,
    step: commands.StepDescription,
    rooms: list[Room],
) -> Room | None:
    before = job.runs.get(key)
    avoided = before.last_worker if before else ""
    best: Room | None = None
    best_cost: tuple[float, ...] = (float("inf"),)
    for room in rooms:
        if not room.fits(step) or not _is_allowed(job, key, step, room):
            continue
        if step.uses_idle_cpu and room.idle_millis < step.cpu_millis:
            continue
        cost = _cost(dispatcher, step, room)
        if cost is None:
            continue
        key_cost = (float(room.worker.name == avoided), *cost)
        if key_cost < best_cost:
            best, best_cost = room, key_cost
    return best


def _is_allowed(
    job: tasks_lib.Job,
    key: tasks_lib.TaskKey,
    step: commands.StepDescription,
    room: Room,
) -> bool:
    heartbeat = room.worker.heartbeat
    if heartbeat.service != job.description.service:
        return False
    if step.required_label and step.required_label not in heartbeat.labels:
        return False
    if not step.max_per_worker:
        return True
    step_id = (job.description.job, key[0], key[1])
    return room.placed.get(step_id, 0) < step.max_per_worker


def _cost(
    dispatcher: "dispatcher_lib.Dispatcher",
    step: commands.StepDescription,
    room: Room,
) -> tuple[float, ...] | None:
    worker = room.worker
    capacity = worker.heartbeat.cpu_millis
    if step.uses_idle_cpu:
        return _cost_beside(dispatcher.tails.model, step, room)
    if step.serves:
        images = [
            run.step.image for run in worker.runs.values() if run.step.serves
        ]
        others = sum(image != step.image for image in images)
        is_first = step.image not in images
        return (float(others), float(is_first), room.cpu_millis / capacity)
    return (-room.cpu_millis / capacity,)


def _cost_beside(
    model: headroom_lib.HeadroomModel,
    step: commands.StepDescription,
    room: Room,
) -> tuple[float, ...] | None:
    """Returns the cost of a place for work beside; None if it would harm.

    Places that suit the image better than others are preferred, so that those
    that suit every image stay free.
    """
    if not room.bears(model, step):
        return None
    share = room.share_of(step)
    weights = [
        model.weight(item.image, step.image).value for item in room.served
    ]
    others = [model.mean_weight(item.image) for item in room.served]
    fall = share * max(weights, default=0.0)
    usual_fall = share * max(others, default=0.0)
    idle = room.idle_millis / room.worker.heartbeat.cpu_millis
    return (fall - SUITED_WEIGHT * usual_fall - IDLE_WEIGHT * idle,)
