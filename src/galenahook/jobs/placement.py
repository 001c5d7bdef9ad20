"""Chooses workers for waiting tasks."""

from typing import TYPE_CHECKING

from galenahook import commands
from galenahook.jobs import headroom as headroom_lib
from galenahook.jobs import ordering
from galenahook.jobs import rooms as rooms_lib
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib

Placed = list[tuple[workers_lib.Worker, workers_lib.LiveRun]]
# Service, image and label that tasks which may share a fate have in common.
Kind = tuple[str, str, str]

# Time for which tasks that serve are gathered, so that of those that come at
# once the largest are placed first.
GATHER_MS = 200
# How much a place that suits the image, and idle processors, count in a cost
# that is a fall of the headroom.
SUITED_WEIGHT = 0.5
IDLE_WEIGHT = 0.3


def place(dispatcher: "dispatcher_lib.Dispatcher", limit: int) -> Placed:
    """Chooses a worker for as many waiting tasks as fit."""
    now_wall_ms = dispatcher.clock.wall_ms()
    waiting = [job for job in dispatcher.table.open.values() if job.waiting]
    if not waiting:
        return []
    zones_out = dispatcher.node.state.site.current.zones_out
    now_ms = dispatcher.now_ms()
    rooms = [
        rooms_lib.room_of(link.worker, dispatcher.tails, now_ms)
        for link in dispatcher.links.values()
        if link.worker.is_usable(now_ms)
        and link.worker.heartbeat.availability_zone not in zones_out
    ]
    waiting.sort(
        key=lambda job: ordering.rank(job, dispatcher.run_times, now_wall_ms)
    )
    search = _Search(dispatcher, rooms, now_wall_ms)
    for job in waiting:
        search.place_job(job)
        if len(search.placed) >= limit:
            break
    return search.placed


class _Search:
    """The search for places of one round.

    Attributes:
      rooms: What is free on each worker; it only falls during a round.
      placed: Tasks that found a place, with it.
    """

    def __init__(
        self,
        dispatcher: "dispatcher_lib.Dispatcher",
        rooms: list[rooms_lib.Room],
        now_wall_ms: int,
    ) -> None:
        self.rooms = rooms
        self.placed: Placed = []
        self._dispatcher = dispatcher
        self._now_wall_ms = now_wall_ms
        self._failed: dict[Kind, list[commands.StepDescription]] = {}

    def place_job(self, job: tasks_lib.Job) -> None:
        """Chooses a worker for each task of a job that waits and fits."""
        now_wall_ms = self._now_wall_ms
        full_steps: set[tuple[int, int]] = set()
        for key in sorted(job.waiting):
            step_key = key[:2]
            if step_key in full_steps or not _is_due(job, key, now_wall_ms):
                continue
            step = job.step(key)
            room = self._find(job, key, step)
            if room is None:
                full_steps.add(step_key)
            elif _is_gathered(job, step, now_wall_ms):
                # Nothing else takes its place meanwhile.
                room.take(step, (job.description.job, *step_key))
            else:
                self._take(job, key, step, room)

    def _find(
        self,
        job: tasks_lib.Job,
        key: tasks_lib.TaskKey,
        step: commands.StepDescription,
    ) -> rooms_lib.Room | None:
        """Returns the best place; tasks like one that found none find none."""
        kind = (job.description.service, step.image, step.required_label)
        failed = self._failed.setdefault(kind, [])
        if any(_is_no_smaller(step, other) for other in failed):
            return None
        room = _choose(self._dispatcher, job, key, step, self.rooms)
        if room is None and not step.max_per_worker:
            failed.append(step)
        return room

    def _take(
        self,
        job: tasks_lib.Job,
        key: tasks_lib.TaskKey,
        step: commands.StepDescription,
        room: rooms_lib.Room,
    ) -> None:
        before = job.runs.get(key)
        run = workers_lib.LiveRun(
            task=tasks_lib.task_name(job.description.job, key),
            run=before.run + 1 if before else 1,
            job=job,
            key=key,
            step=step,
            ordered_ms=self._dispatcher.now_ms(),
            checkpoint=before.checkpoint if before else "",
        )
        room.take(step, run.step_id)
        if step.uses_idle_cpu:
            room.add_beside(step)
        room.worker.runs[run.task] = run
        self.placed.append((room.worker, run))


def _is_no_smaller(
    step: commands.StepDescription, other: commands.StepDescription
) -> bool:
    """Whether a task asks for at least what a task of another step does."""
    return (
        step.uses_idle_cpu == other.uses_idle_cpu
        and step.serves == other.serves
        and step.cpu_millis >= other.cpu_millis
        and step.memory_mb >= other.memory_mb
        and step.gpus >= other.gpus
    )


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
    rooms: list[rooms_lib.Room],
) -> rooms_lib.Room | None:
    before = job.runs.get(key)
    avoided = before.last_worker if before else ""
    best: rooms_lib.Room | None = None
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
    room: rooms_lib.Room,
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
    room: rooms_lib.Room,
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
    room: rooms_lib.Room,
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
