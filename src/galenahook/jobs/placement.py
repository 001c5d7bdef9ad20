"""Chooses workers for waiting tasks."""

import itertools

from galenahook import commands
from galenahook import logs
from galenahook.jobs import demand as demand_lib
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import last_resort as last_resort_lib
from galenahook.jobs import ordering
from galenahook.jobs import overdue as overdue_lib
from galenahook.jobs import pending_starts
from galenahook.jobs import queue_shares as queue_shares_lib
from galenahook.jobs import ranking as ranking_lib
from galenahook.jobs import reservations as reservations_lib
from galenahook.jobs import rotation as rotation_lib
from galenahook.jobs import round_input
from galenahook.jobs import short_workers as short_workers_lib
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

Placements = list[tuple[workers_lib.Worker, workers_lib.LiveRun]]
# Service, image and required label of a task, and whether the kept workers are
# left out. Once a task without a limit per worker could not be placed, tasks of
# its class that need at least as much are skipped in that round.
PlacementClass = tuple[str, str, str, bool]

# Delay before the tasks of a new serving job are placed, so that of jobs that
# are submitted together those with the largest tasks are placed first.
SERVING_DELAY_MS = 200
# Time after which a job whose placement raised an exception is tried again.
FAILURE_PAUSE_MS = 2_000


class JobFailures:
    """Pauses jobs whose placement raised an exception, so that others go on."""

    __slots__ = ("_until_ms",)

    def __init__(self) -> None:
        self._until_ms: dict[str, int] = {}

    def is_paused(self, job: tasks_lib.Job, now_ms: int) -> bool:
        """Returns whether the placement of a job raised an exception lately."""
        until_ms = self._until_ms.get(job.description.job)
        return until_ms is not None and now_ms < until_ms

    def note(self, job: tasks_lib.Job, error: Exception, now_ms: int) -> None:
        """Logs an exception and pauses the job."""
        self._until_ms = {
            identifier: until_ms
            for identifier, until_ms in self._until_ms.items()
            if now_ms < until_ms
        }
        self._until_ms[job.description.job] = now_ms + FAILURE_PAUSE_MS
        logs.failure("job:not-placed", error, job=job.description.job)


def place_waiting(
    inputs: round_input.RoundInput,
    reservations: reservations_lib.Reservations,
    overdue: overdue_lib.OverdueTasks,
    failures: JobFailures,
    limit: int,
) -> Placements:
    """Places waiting tasks on workers, job by job in the order of their rank.

    Args:
      inputs: State of the site. Placed runs are added to its workers.
      reservations: Workers reserved for tasks that fit no worker.
      overdue: Serving tasks that have waited for long.
      failures: Jobs whose placement raised an exception.
      limit: Number of placed tasks after which no further job is placed.
    """
    waiting = [
        job
        for job in inputs.open_jobs.values()
        if job.waiting and not failures.is_paused(job, inputs.now_ms)
    ]
    if not waiting:
        reservations.clear(inputs.now_ms)
        return []
    candidates = inputs.usable_capacity()
    reservations.begin_round(inputs, candidates)
    shares = queue_shares_lib.QueueShares(inputs, candidates)
    search = _PlacementRound(inputs, reservations, shares, overdue, candidates)
    _place_pinned(inputs, failures, waiting, search)
    _place_overdue(inputs, overdue, failures, waiting, search)
    reservations.hold_for_short_jobs()
    search.short_workers.close()
    inputs.drawn.forget_closed(inputs.open_jobs)
    for job in _in_order(waiting, inputs, search.short_workers, failures):
        try:
            search.place_job(job)
        except Exception as error:
            failures.note(job, error, inputs.now_ms)
        if len(search.placed) >= limit:
            break
    reservations.reserve_for_short_jobs(inputs, candidates)
    reservations.clear_for_short_jobs(search.runs_to_stop())
    return search.placed


def _place_pinned(
    inputs: round_input.RoundInput,
    failures: JobFailures,
    waiting: list[tasks_lib.Job],
    search: "_PlacementRound",
) -> None:
    """Places serving tasks that only one worker may run.

    They go before others, which would take the place that the end of their last
    run has just left there, and may run elsewhere.
    """
    for job in filter(ordering.serves, waiting):
        try:
            search.place_pinned(job)
        except Exception as error:
            failures.note(job, error, inputs.now_ms)


def _place_overdue(
    inputs: round_input.RoundInput,
    overdue: overdue_lib.OverdueTasks,
    failures: JobFailures,
    waiting: list[tasks_lib.Job],
    search: "_PlacementRound",
) -> None:
    """Places overdue tasks, those of the step with the longest wait first."""
    due = overdue.due(waiting, inputs.now_ms, inputs.now_wall_ms)
    for job, keys in due:
        try:
            search.place_overdue(job, keys)
        except Exception as error:
            failures.note(job, error, inputs.now_ms)


def _in_order(
    jobs: list[tasks_lib.Job],
    inputs: round_input.RoundInput,
    short_workers: short_workers_lib.ShortWorkers,
    failures: JobFailures,
) -> list[tasks_lib.Job]:
    """Returns jobs by rank, without those whose rank can't be computed."""
    ranks: list[tuple[tuple[float, ...], int]] = []
    for number, job in enumerate(jobs):
        try:
            rank = ordering.rank(
                job,
                inputs.run_times,
                inputs.now_wall_ms,
                short_workers.is_drawn(job),
            )
        except Exception as error:
            failures.note(job, error, inputs.now_ms)
        else:
            ranks.append((rank, number))
    return [jobs[number] for _, number in sorted(ranks)]


class _PlacementRound:
    """Places tasks during one round.

    Attributes:
      candidates: Free capacity of each usable worker. It only decreases during
        a round.
      placed: Tasks that were placed, each with its worker.
      short_workers: Workers kept for short jobs.
    """

    def __init__(
        self,
        inputs: round_input.RoundInput,
        reservations: reservations_lib.Reservations,
        shares: queue_shares_lib.QueueShares,
        overdue: overdue_lib.OverdueTasks,
        candidates: list[free_capacity_lib.FreeCapacity],
    ) -> None:
        self.candidates = candidates
        self._overdue = overdue
        self._rotation = rotation_lib.Rotation(candidates, inputs.now_ms)
        self.short_workers = short_workers_lib.ShortWorkers(
            shares, candidates, self._rotation, inputs.drawn
        )
        # Services with short jobs that wait for processors, and those of them
        # with drawn ones.
        self._short_waiting: set[str] = set()
        self._drawn_waiting: set[str] = set()
        self.placed: Placements = []
        self._inputs = inputs
        self._reservations = reservations
        self._may_reserve_for_overdue = True
        # Job and task.
        self._placed_tasks: set[tuple[str, tasks_lib.TaskKey]] = set()
        self._failed: dict[PlacementClass, list[commands.StepDescription]] = {}

    def place_pinned(self, job: tasks_lib.Job) -> None:
        """Places the waiting tasks of a job that only one worker may run.

        One that does not fit there waits without a reservation, as it may soon
        run elsewhere.
        """
        for key in sorted(job.waiting):
            name = pending_starts.pinned_worker(self._inputs, job, key)
            if not name or not job.is_due(key, self._inputs.now_wall_ms):
                continue
            candidates = [
                candidate
                for candidate in self.candidates
                if candidate.worker.name == name
            ]
            is_suspect = tasks_lib.is_suspect(job, key)
            self._place_tasks(
                job, [key], candidates, is_isolated=is_suspect, is_pinned=True
            )

    def place_overdue(
        self, job: tasks_lib.Job, keys: list[tasks_lib.TaskKey]
    ) -> None:
        """Places tasks of one step ahead of all others until one does not fit.

        The first step of a round for which a worker can be reserved gets one.
        """
        keys = self._unpinned(job, keys)
        if not keys:
            return
        step_id = (job.description.job, *_step_key(keys[0]))
        candidates = self._candidates_for(job, job.step(keys[0]), step_id)
        if candidates and self._place_keys(job, keys, candidates):
            return
        step = job.step(keys[0])
        self._note_failed(job, step)
        if self._may_reserve_for_overdue:
            self._reservations.request(
                self._inputs, self.candidates, job, step_id
            )
            if self._reservations.candidates_of(step_id):
                self._may_reserve_for_overdue = False
        self._rotate(job, keys, step, step_id, is_overdue=True)

    def place_job(self, job: tasks_lib.Job) -> None:
        """Places the waiting tasks of a job that are due and fit."""
        waiting = sorted(
            key
            for key in job.waiting
            if (job.description.job, key) not in self._placed_tasks
        )
        for _, group in itertools.groupby(waiting, _step_key):
            keys = list(group)
            if not job.is_due(keys[0], self._inputs.now_wall_ms):
                continue
            keys = self._unpinned(job, keys)
            if keys:
                self._place_step(job, keys)

    def _unpinned(
        self, job: tasks_lib.Job, keys: list[tasks_lib.TaskKey]
    ) -> list[tasks_lib.TaskKey]:
        """Returns the tasks that any worker may run."""
        return [
            key
            for key in keys
            if pending_starts.pinned_worker(self._inputs, job, key) is None
        ]

    def _place_step(
        self, job: tasks_lib.Job, keys: list[tasks_lib.TaskKey]
    ) -> None:
        """Places waiting tasks of one step until one does not fit."""
        step = job.step(keys[0])
        step_id = (job.description.job, *_step_key(keys[0]))
        candidates = self._candidates_for(job, step, step_id)
        placed_before = len(self.placed)
        if candidates and self._place_keys(job, keys, candidates):
            return
        self._note_failed(job, step)
        if step.serves:
            self._reservations.request(
                self._inputs, self.candidates, job, step_id
            )
            self._rotate(job, keys, step, step_id, is_overdue=False)
            return
        if not step.uses_idle_cpu and self._is_owed_room(job, step, step_id):
            self._short_waiting.add(job.description.service)
            if self.short_workers.is_drawn(job):
                self._drawn_waiting.add(job.description.service)
                self._reservations.note_short(self._inputs.now_ms, job, step_id)
                return
        if not job.active and len(self.placed) == placed_before:
            self._note_overtaken(job, keys[0], step, step_id)

    def _is_owed_room(
        self,
        job: tasks_lib.Job,
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
    ) -> bool:
        """Returns whether serving tasks are to leave room for a short job.

        It can still be served, and a worker is large enough for its tasks.
        """
        return (
            demand_lib.is_short(job)
            and not ordering.has_expired(
                job, self._inputs.run_times, self._inputs.now_wall_ms
            )
            and any(
                candidate.would_fit_if_empty(step)
                and candidate.is_allowed(job.description.service, step, step_id)
                for candidate in self.candidates
            )
        )

    def runs_to_stop(
        self,
    ) -> list[tuple[workers_lib.Worker, workers_lib.LiveRun]]:
        """Returns serving runs to stop on the workers kept for short jobs."""
        return self.short_workers.runs_to_stop(self._short_waiting)

    def _rotate(
        self,
        job: tasks_lib.Job,
        keys: list[tasks_lib.TaskKey],
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
        is_overdue: bool,
    ) -> None:
        """Lets tasks that wait for long take the places of runs of others."""
        if not self.short_workers.are_kept_for(job.description.service):
            return
        reserved = len(self._reservations.candidates_of(step_id))
        since_ms = sorted(
            self._overdue.since_ms(job, key)
            for key in keys
            if (job.description.job, key) not in self._placed_tasks
            and not tasks_lib.is_suspect(job, key)
        )
        for task_since_ms in since_ms[reserved:]:
            waited_ms = self._inputs.now_ms - task_since_ms
            if waited_ms < rotation_lib.ROTATE_AFTER_MS:
                return
            if not self._reservations.may_reserve(len(self.candidates)):
                return
            replacement = self._rotation.choose(
                job.description, step, step_id, is_overdue
            )
            if replacement is None:
                return
            self._reservations.replace(
                replacement, step, step_id, waited_ms, self._inputs.now_ms
            )

    def _candidates_for(
        self,
        job: tasks_lib.Job,
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
    ) -> list[free_capacity_lib.FreeCapacity]:
        """Returns the workers to search for the tasks of a step.

        Only those that are reserved for the step if the search failed in this
        round for a task of the same class that requires no more. While drawn
        jobs wait, others leave them the kept workers, so that pieces grow there
        until large tasks fit.
        """
        if self._is_known_to_fail(job, step):
            return self._reservations.candidates_of(step_id)
        if self._leaves_kept(job):
            return [
                candidate
                for candidate in self.candidates
                if not candidate.kept_cpu_millis
            ]
        return self.candidates

    def _is_known_to_fail(
        self, job: tasks_lib.Job, step: commands.StepDescription
    ) -> bool:
        failed = self._failed.get(self._placement_class(job, step), ())
        return any(_requires_at_least(step, other) for other in failed)

    def _leaves_kept(self, job: tasks_lib.Job) -> bool:
        """Returns whether a job leaves the kept workers to drawn ones."""
        return (
            job.description.service in self._drawn_waiting
            and demand_lib.is_short(job)
            and not self.short_workers.is_drawn(job)
        )

    def _placement_class(
        self, job: tasks_lib.Job, step: commands.StepDescription
    ) -> PlacementClass:
        service = job.description.service
        return service, step.image, step.required_label, self._leaves_kept(job)

    def _note_failed(
        self, job: tasks_lib.Job, step: commands.StepDescription
    ) -> None:
        """Records that a task of a step fits no worker in this round."""
        if step.max_per_worker or self._is_known_to_fail(job, step):
            return
        placement_class = self._placement_class(job, step)
        self._failed.setdefault(placement_class, []).append(step)

    def _note_overtaken(
        self,
        job: tasks_lib.Job,
        key: tasks_lib.TaskKey,
        step: commands.StepDescription,
        step_id: workers_lib.StepId,
    ) -> None:
        """Records a step that fits no worker while its job runs nowhere.

        After a long wait, one of its tasks is placed where serving tasks leave
        it the most headroom.
        """
        now_ms = self._inputs.now_ms
        since_ms = self._reservations.note_overtaken(now_ms, job, step_id)
        last_resort = self._reservations.last_resort
        identifier = job.description.job
        waited_ms = now_ms - since_ms
        if not step.uses_idle_cpu or not last_resort.is_due(
            identifier, len(self.candidates), waited_ms, now_ms
        ):
            return
        chosen = last_resort_lib.best_candidate(
            self.candidates,
            self._inputs.tails.model,
            job.description.service,
            step,
            step_id,
        )
        if chosen is None:
            return
        last_resort.note_start(identifier, len(self.candidates), now_ms)
        run = self._assign(job, key, step, chosen)
        run.is_last_resort = True
        logs.info(
            "run:last-resort",
            job=identifier,
            task=run.task,
            worker=chosen.worker.name,
            waited_ms=waited_ms,
        )

    def _place_keys(
        self,
        job: tasks_lib.Job,
        keys: list[tasks_lib.TaskKey],
        candidates: list[free_capacity_lib.FreeCapacity],
    ) -> bool:
        """Places tasks of one step; returns whether all of them fit.

        Tasks that may have crashed workers go last and by themselves.
        """
        suspects = [key for key in keys if tasks_lib.is_suspect(job, key)]
        others = [key for key in keys if not tasks_lib.is_suspect(job, key)]
        return self._place_tasks(
            job, others, candidates, is_isolated=False
        ) and self._place_tasks(job, suspects, candidates, is_isolated=True)

    def _place_tasks(
        self,
        job: tasks_lib.Job,
        keys: list[tasks_lib.TaskKey],
        candidates: list[free_capacity_lib.FreeCapacity],
        is_isolated: bool,
        is_pinned: bool = False,
    ) -> bool:
        """Places tasks of one step; returns whether all of them fit.

        Args:
          job: Their job.
          keys: The tasks.
          candidates: Free capacity of the workers to choose from.
          is_isolated: Whether to prefer workers on which nothing else is about
            to start.
          is_pinned: Whether only these workers may run the tasks now.
        """
        if not keys:
            return True
        step = job.step(keys[0])
        step_id = (job.description.job, *_step_key(keys[0]))
        is_delayed = _is_delayed(job, step, self._inputs.now_wall_ms)
        model = self._inputs.tails.model
        ranking = ranking_lib.Ranking(model, job, step, step_id, is_isolated)
        for candidate in candidates:
            ranking.add(candidate)
        for key in keys:
            before = job.runs.get(key)
            chosen = ranking.pop(before.last_worker if before else "")
            if chosen is None:
                return False
            if is_delayed:
                # Reserve the capacity so that no other task uses it meanwhile.
                chosen.reserve(step, step_id)
            else:
                run = self._assign(job, key, step, chosen)
                run.is_pinned = is_pinned
                if step.uses_idle_cpu:
                    self._reservations.last_resort.note_placed(
                        self._inputs.now_ms
                    )
            ranking.add(chosen)
        return True

    def _assign(
        self,
        job: tasks_lib.Job,
        key: tasks_lib.TaskKey,
        step: commands.StepDescription,
        candidate: free_capacity_lib.FreeCapacity,
    ) -> workers_lib.LiveRun:
        before = job.runs.get(key)
        run = workers_lib.LiveRun(
            task=tasks_lib.task_name(job.description.job, key),
            run=before.run + 1 if before else 1,
            job=job,
            key=key,
            step=step,
            ordered_ms=self._inputs.now_ms,
            checkpoint=before.checkpoint if before else "",
        )
        if step.serves:
            since_ms = job.waiting_since_ms(key)
            run.waited_ms = self._inputs.now_wall_ms - since_ms
        candidate.reserve(step, run.step_id)
        if step.uses_idle_cpu:
            candidate.add_colocated(step)
        candidate.note_start(run)
        candidate.worker.runs[run.task] = run
        self._placed_tasks.add((job.description.job, key))
        self.placed.append((candidate.worker, run))
        if candidate.reserved_for is not None:
            self._reservations.note_placed(candidate, self._inputs.now_ms)
        return run


def _requires_at_least(
    step: commands.StepDescription, other: commands.StepDescription
) -> bool:
    """Returns whether a step requires at least as much as another one."""
    return (
        step.uses_idle_cpu == other.uses_idle_cpu
        and step.serves == other.serves
        and step.cpu_millis >= other.cpu_millis
        and step.memory_mb >= other.memory_mb
        and step.gpus >= other.gpus
    )


def _step_key(key: tasks_lib.TaskKey) -> tasks_lib.StepKey:
    """Returns the occurrence and step of a task."""
    return key[:2]


def _is_delayed(
    job: tasks_lib.Job, step: commands.StepDescription, now_wall_ms: int
) -> bool:
    """Returns whether the placement of a new serving job is delayed."""
    age_ms = now_wall_ms - job.record.submitted_ms
    return step.serves and not job.began and 0 <= age_ms < SERVING_DELAY_MS
