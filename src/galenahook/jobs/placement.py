"""Chooses workers for waiting tasks."""

import dataclasses
from typing import TYPE_CHECKING

from galenahook import commands
from galenahook.jobs import ordering
from galenahook.jobs import tails as tails_lib
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib

StepId = tuple[str, int, int]
Placed = list[tuple[workers_lib.Worker, workers_lib.LiveRun]]

# Share of its reservation that a task which serves uses in the mean; work
# beside it was never slowed by less on the users' bench.
SERVING_USE = 0.42


@dataclasses.dataclass(slots=True)
class Room:
    """What is free on a worker during one round.

    Attributes:
      worker: The worker.
      cpu_millis: Processors that no task reserves.
      memory_mb: Memory that no task reserves.
      gpus: Accelerators that no task reserves.
      idle_millis: Processors that no task is expected to use.
      tails: Tail expected of each image that serves there, as a share of its
        target, with what this round adds.
      placed: Tasks there of each step, by job, occurrence and step.
    """

    worker: workers_lib.Worker
    cpu_millis: int
    memory_mb: int
    gpus: int
    idle_millis: float
    tails: dict[str, float] = dataclasses.field(default_factory=dict)
    placed: dict[StepId, int] = dataclasses.field(default_factory=dict)

    def take(self, step: commands.StepDescription, step_id: StepId) -> None:
        """Reserves one task of a step."""
        self.memory_mb -= step.memory_mb
        self.gpus -= step.gpus
        self.placed[step_id] = self.placed.get(step_id, 0) + 1
        if step.uses_idle_cpu:
            self.idle_millis -= step.cpu_millis
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

    def worst_tail(
        self, model: tails_lib.TailModel, step: commands.StepDescription
    ) -> float:
        """Returns the highest tail expected with one more task of a step."""
        share = self.share_of(step)
        return max(
            (
                tail + model.weight(serving, step.image) * share
                for serving, tail in self.tails.items()
            ),
            default=0.0,
        )

    def add_harm(
        self, model: tails_lib.TailModel, step: commands.StepDescription
    ) -> None:
        """Adds what one more task of a step does to the tails."""
        share = self.share_of(step)
        for serving in self.tails:
            self.tails[serving] += model.weight(serving, step.image) * share


def room_of(worker: workers_lib.Worker, model: tails_lib.TailModel) -> Room:
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
        room.take(run.step, (run.job.description.job, run.key[0], run.key[1]))
    shares = tails_lib.expected_shares(worker)
    for run in worker.runs.values():
        image = run.step.image
        if run.step.tail_target_ms and image not in room.tails:
            room.tails[image] = model.predict(image, shares)
    return room


def place(dispatcher: "dispatcher_lib.Dispatcher", limit: int) -> Placed:
    """Chooses a worker for as many waiting tasks as fit."""
    now_wall_ms = dispatcher.clock.wall_ms()
    waiting = [job for job in dispatcher.table.open.values() if job.waiting]
    if not waiting:
        return []
    zones_out = dispatcher.node.state.site.current.zones_out
    now_ms = dispatcher.now_ms()
    rooms = [
        room_of(link.worker, dispatcher.tails.model)
        for link in dispatcher.links.values()
        if link.worker.is_usable(now_ms)
        and link.worker.heartbeat.availability_zone not in zones_out
    ]
    waiting.sort(key=lambda job: ordering.rank(job, now_wall_ms))
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
        room.take(step, (job.description.job, key[0], key[1]))
        if step.uses_idle_cpu:
            room.add_harm(dispatcher.tails.model, step)
        room.worker.runs[run.task] = run
        placed.append((room.worker, run))


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
        worst = room.worst_tail(dispatcher.tails.model, step)
        if worst > tails_lib.PLACED_TAIL:
            return None
        return (worst - room.idle_millis / capacity,)
    if step.serves:
        images = [
            run.step.image for run in worker.runs.values() if run.step.serves
        ]
        others = sum(image != step.image for image in images)
        is_first = step.image not in images
        return (float(others), float(is_first), room.cpu_millis / capacity)
    return (-room.cpu_millis / capacity,)
