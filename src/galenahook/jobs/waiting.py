"""Reports why tasks wait for a worker."""

import collections
from collections.abc import Mapping

from galenahook import commands
from galenahook import logs
from galenahook.jobs import contention
from galenahook.jobs import demand as demand_lib
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import headroom as headroom_lib
from galenahook.jobs import ordering
from galenahook.jobs import overdue as overdue_lib
from galenahook.jobs import queue_shares
from galenahook.jobs import reservations as reservations_lib
from galenahook.jobs import round_input
from galenahook.jobs import tasks as tasks_lib

REPORT_PERIOD_MS = 1_000
# Tasks that have waited less are not reported.
MIN_WAIT_MS = 300
# Queues with most waiting tasks that one report includes.
MAX_QUEUES = 8


class WaitingReport:
    """Logs the obstacles of waiting tasks by queue once in a period."""

    __slots__ = ("_reported_ms",)

    def __init__(self, now_ms: int) -> None:
        self._reported_ms = now_ms

    def log(
        self,
        inputs: round_input.RoundInput,
        reservations: reservations_lib.Reservations,
    ) -> None:
        """Logs a line for each queue with tasks that have waited for long.

        One more line is about the serving task that has waited longest.
        """
        if inputs.now_ms - self._reported_ms < REPORT_PERIOD_MS:
            return
        self._reported_ms = inputs.now_ms
        submitted_by_ms = inputs.now_wall_ms - MIN_WAIT_MS
        queues: dict[str, list[tasks_lib.Job]] = collections.defaultdict(list)
        for job in inputs.open_jobs.values():
            if job.waiting and job.record.submitted_ms <= submitted_by_ms:
                queues[job.description.queue].append(job)
        if not queues:
            return
        candidates = inputs.usable_capacity()
        reservations.mark(candidates)
        free = [candidate.cpu_millis for candidate in candidates]
        logs.info(
            "workers:free",
            workers=len(free),
            cpu_millis=sum(free),
            largest_cpu_millis=max(free, default=0),
            unusable=inputs.unusable_workers(),
        )
        _log_longest_serving_wait(inputs, reservations, candidates, queues)
        reserved = _reserved_cpu_millis(inputs)
        shares = queue_shares.QueueShares(inputs, candidates).short
        for queue, jobs in sorted(
            queues.items(), key=lambda item: -_task_count(item[1])
        )[:MAX_QUEUES]:
            job = min(jobs, key=lambda item: item.record.submitted_ms)
            key = min(job.waiting)
            step = job.step(key)
            logs.info(
                "queue:waiting",
                queue=queue,
                jobs=len(jobs),
                tasks=_task_count(jobs),
                waiting_cpu_millis=_waiting_cpu_millis(jobs),
                reserved_cpu_millis=reserved[queue],
                **_share(shares, queue),
                job=job.description.job,
                step=key[1],
                waited_ms=inputs.now_wall_ms - job.record.submitted_ms,
                **_serving_waits(jobs, inputs.now_wall_ms),
                cpu_millis=step.cpu_millis,
                memory_mb=step.memory_mb,
                max_per_worker=step.max_per_worker,
                obstacles=collections.Counter(
                    obstacle(inputs.tails.model, job, key, candidate)
                    for candidate in candidates
                ),
            )


def _log_longest_serving_wait(
    inputs: round_input.RoundInput,
    reservations: reservations_lib.Reservations,
    candidates: list[free_capacity_lib.FreeCapacity],
    queues: Mapping[str, list[tasks_lib.Job]],
) -> None:
    """Logs why the serving task that has waited longest does not start."""
    waits = [
        (job.waiting_since_ms(key), job.description.job, key)
        for jobs in queues.values()
        for job in filter(ordering.serves, jobs)
        for key in job.waiting
        if job.step(key).serves and job.is_due(key, inputs.now_wall_ms)
    ]
    if not waits:
        return
    since_ms, identifier, key = min(waits)
    job = inputs.open_jobs[identifier]
    step = job.step(key)
    record = job.runs.get(key)
    logs.info(
        "serving:waiting",
        job=identifier,
        task=tasks_lib.task_name(identifier, key),
        run=record.run if record else 0,
        waited_ms=inputs.now_wall_ms - since_ms,
        waiting=len(waits),
        cpu_millis=step.cpu_millis,
        memory_mb=step.memory_mb,
        max_per_worker=step.max_per_worker,
        is_suspect=tasks_lib.is_suspect(job, key),
        pinned_to=record.pinned_to if record else "",
        reserved=[
            candidate.worker.name
            for candidate in reservations.candidates_of((identifier, *key[:2]))
        ],
        obstacles=collections.Counter(
            obstacle(inputs.tails.model, job, key, candidate)
            for candidate in candidates
        ),
    )


def obstacle(
    model: headroom_lib.HeadroomModel,
    job: tasks_lib.Job,
    key: tasks_lib.TaskKey,
    candidate: free_capacity_lib.FreeCapacity,
) -> str:
    """Returns what prevents the placement of a task on a worker, or "none"."""
    step = job.step(key)
    heartbeat = candidate.worker.heartbeat
    if heartbeat.service != job.description.service:
        return "service"
    if step.required_label and step.required_label not in heartbeat.labels:
        return "label"
    step_id = (job.description.job, *key[:2])
    if candidate.reserved_for not in (None, step_id):
        return "reserved"
    if candidate.has_suspect_start:
        return "suspect-start"
    if not candidate.fits(step):
        return _missing_capacity(step, candidate)
    if step.uses_idle_cpu and candidate.idle_cpu_millis < step.cpu_millis:
        return "idle-cpu"
    count = candidate.task_counts.get(step_id, 0)
    if step.max_per_worker and count >= step.max_per_worker:
        return "max-per-worker"
    if step.uses_idle_cpu and not candidate.tolerates(model, step):
        return "tail-latency"
    return "none"


def _missing_capacity(
    step: commands.StepDescription, candidate: free_capacity_lib.FreeCapacity
) -> str:
    if step.gpus > candidate.gpus:
        return "gpus"
    return "memory" if step.memory_mb > candidate.memory_mb else "cpu"


def _waiting_cpu_millis(jobs: list[tasks_lib.Job]) -> int:
    """Returns the processors that the waiting tasks would reserve."""
    return contention.reserved_cpu_millis(
        [job.step(key) for job in jobs for key in job.waiting]
    )


def _reserved_cpu_millis(
    inputs: round_input.RoundInput,
) -> collections.Counter[str]:
    """Returns the processors that the runs of each queue reserve."""
    reserved: collections.Counter[str] = collections.Counter()
    for worker in inputs.workers:
        for run in worker.runs.values():
            reserved[run.job.description.queue] += (
                contention.reserved_cpu_millis([run.step])
            )
    return reserved


def _share(
    shares: Mapping[demand_lib.Queue, queue_shares.QueueShare], name: str
) -> dict[str, int]:
    """Returns what the short jobs of a queue ask for and get."""
    own = [share for queue, share in shares.items() if queue.name == name]
    return {
        "asked_cpu_millis": round(sum(item.asked_cpu_millis for item in own)),
        "share_cpu_millis": round(sum(item.cpu_millis for item in own)),
    }


def _serving_waits(
    jobs: list[tasks_lib.Job], now_wall_ms: int
) -> dict[str, int]:
    """Returns how long serving tasks have waited, for log lines."""
    waits_ms = [
        now_wall_ms - job.waiting_since_ms(key)
        for job in filter(ordering.serves, jobs)
        for key in job.waiting
    ]
    overdue = sum(
        wait_ms >= overdue_lib.OVERDUE_AFTER_MS for wait_ms in waits_ms
    )
    return {
        "serving_waited_ms": max(waits_ms, default=0),
        "serving_overdue": overdue,
    }


def _task_count(jobs: list[tasks_lib.Job]) -> int:
    return sum(len(job.waiting) for job in jobs)
