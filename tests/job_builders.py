"""Builders of jobs, workers and commands for tests.

Each returns a valid object; arguments override single fields.
"""

from typing import Any

import msgspec

from galenahook import commands
from galenahook.jobs import calls
from galenahook.jobs import demand as demand_lib
from galenahook.jobs import drawn_jobs
from galenahook.jobs import overdue as overdue_lib
from galenahook.jobs import placement
from galenahook.jobs import reservations as reservations_lib
from galenahook.jobs import round_input
from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import table as table_lib
from galenahook.jobs import tail_latency as tail_latency_lib
from galenahook.jobs import tasks as tasks_lib
from galenahook.jobs import workers as workers_lib

JOB = "00000000000000a1"
WALL_MS = 1_800_000_000_000
LEASE_MS = 6_000
# Wall time of a `Site` at its monotonic time 0.
SITE_WALL_MS = WALL_MS + 1_000


def step(**changes: Any) -> commands.StepDescription:
    """Builds a step of one task that reserves a core and 1,000 MB."""
    row = commands.StepDescription(
        tasks=1, cpu_millis=1_000, memory_mb=1_000, estimate_ms=500
    )
    return msgspec.structs.replace(row, **changes)


def serving_step(**changes: Any) -> commands.StepDescription:
    """Builds a serving step with a tail latency target of 100 ms."""
    values = {"serves": True, "image": "shop", "tail_target_ms": 100, **changes}
    return step(**values)


def batch_step(**changes: Any) -> commands.StepDescription:
    """Builds a batch step of one task that uses idle processors."""
    return step(**{"uses_idle_cpu": True, "image": "batch", **changes})


def description(
    *steps: commands.StepDescription, job: str = JOB, **changes: Any
) -> commands.JobDescription:
    """Builds a job of the given steps, or of one step."""
    row = commands.JobDescription(
        job=job,
        queue="quotes",
        service="desk",
        spec="spec",
        steps=steps or (step(),),
        max_attempts=2,
        stretch=2.0,
        objective_ms=250,
    )
    return msgspec.structs.replace(row, **changes)


def job(*steps: commands.StepDescription, **changes: Any) -> tasks_lib.Job:
    """Builds a stored job."""
    return tasks_lib.Job(
        tasks_lib.JobRecord(
            description=description(*steps, **changes), submitted_ms=WALL_MS
        )
    )


def submit(
    *steps: commands.StepDescription, **changes: Any
) -> commands.SubmitJob:
    """Builds the command that stores a job."""
    return commands.SubmitJob(
        description=description(*steps, **changes), at_ms=WALL_MS
    )


def start(
    task: str, run: int = 1, worker: str = "w1", is_pinned: bool = False
) -> commands.RunStart:
    """Builds a start on a worker."""
    return commands.RunStart(
        task=task, run=run, worker=worker, born_ms=1, is_pinned=is_pinned
    )


def pending_end(task: str, run: int = 1) -> commands.RunEnd:
    """Builds the end of a run whose start may still be carried out."""
    return commands.RunEnd(
        task=task, run=run, outcome="gone", start_pending=True
    )


def end(
    task: str, run: int = 1, outcome: str = "done", checkpoint: str = ""
) -> commands.RunEnd:
    """Builds an end."""
    return commands.RunEnd(
        task=task, run=run, outcome=outcome, checkpoint=checkpoint
    )


def starts(*items: commands.RunStart) -> commands.RecordRuns:
    """Builds the command that records starts."""
    return commands.RecordRuns(starts=items, at_ms=WALL_MS)


def confirmed(task: str, run: int = 1) -> commands.RecordRuns:
    """Builds the command that records the confirmation of a start."""
    rows = (commands.RunConfirmed(task=task, run=run, born_ms=1),)
    return commands.RecordRuns(confirmed=rows, at_ms=WALL_MS)


def ends(*items: commands.RunEnd) -> commands.RecordRuns:
    """Builds the command that records ends."""
    return commands.RecordRuns(ends=items, at_ms=WALL_MS + 1)


def heartbeat(worker: str = "w1", **changes: Any) -> calls.WorkerHeartbeat:
    """Builds the heartbeat of a worker with 8 cores and 32,000 MB."""
    beat = calls.WorkerHeartbeat(
        worker=worker,
        born_ms=1,
        machine=f"m-{worker}",
        address="127.0.0.1:9",
        availability_zone="zone-a",
        service="desk",
        draining=False,
        drain_remaining_ms=0,
        sequence=1,
        clock_ms=10_000,
        cpu_millis=8_000,
        memory_mb=32_000,
        gpus=0,
        labels=("a", "r1"),
    )
    return msgspec.structs.replace(beat, **changes)


def worker(
    name: str = "w1", now_ms: int = 0, **changes: Any
) -> workers_lib.Worker:
    """Builds a worker that has just answered a poll."""
    built = workers_lib.Worker(heartbeat(name, **changes), now_ms)
    built.has_polled = True
    built.last_reply_ms = now_ms
    return built


def live_run(
    owner: tasks_lib.Job, index: int = 0, step_index: int = 0, **changes: Any
) -> workers_lib.LiveRun:
    """Builds a run of a job's task that is ordered and confirmed."""
    key = (0, step_index, index)
    values: dict[str, Any] = {
        "ordered_ms": 1,
        "sent": True,
        "confirmed_ms": 2,
        "seen": True,
        **changes,
    }
    return workers_lib.LiveRun(
        task=tasks_lib.task_name(owner.description.job, key),
        run=1,
        job=owner,
        key=key,
        step=owner.step(key),
        **values,
    )


def queue(name: str = "quotes", **changes: Any) -> commands.QueueRow:
    """Builds a queue under `/quotes/` of the host `desk.example`."""
    row = commands.QueueRow(
        name=name,
        host="desk.example",
        path_prefix="/quotes/",
        service="desk",
        timeout_ms=3_000,
        max_attempts=2,
        stretch=2.0,
        objective_ms=250,
    )
    return msgspec.structs.replace(row, **changes)


def put_site(
    version: int = 1, queues: tuple[commands.QueueRow, ...] | None = None
) -> commands.PutSite:
    """Builds the command that puts a configuration."""
    return commands.PutSite(
        version=version,
        document=f'{{"version":{version}}}',
        queues=(queue(),) if queues is None else queues,
        services=(commands.ServicePool(name="desk"),),
        at_ms=WALL_MS,
    )


class Site:
    """Jobs and workers for the decisions of a round.

    Attributes:
      now_ms: Monotonic time; jobs were submitted a second before time 0.
      term_started_ms: When the term of the leader began.
      workers: Workers that the leader polls.
      table: Jobs.
      zones_out: Availability zones out of service.
      run_times: Estimated run times.
      tails: Forecasts of tail latencies.
      reservations: Workers reserved for tasks that fit no worker.
      overdue: Serving tasks that have waited for long.
      failures: Jobs whose placement raised an exception.
      demand: Processors that short jobs ask for.
      drawn: Short jobs that were drawn.
    """

    def __init__(
        self,
        workers: list[workers_lib.Worker],
        *submits: commands.SubmitJob,
        zones_out: tuple[str, ...] = (),
    ) -> None:
        self.now_ms = 0
        self.term_started_ms = 0
        self.workers = workers
        self.table = table_lib.JobTable()
        self.zones_out = zones_out
        self.run_times = run_times_lib.RunTimes()
        self.tails = tail_latency_lib.TailLatencyControl()
        self.reservations = reservations_lib.Reservations()
        self.overdue = overdue_lib.OverdueTasks()
        self.failures = placement.JobFailures()
        self.demand = demand_lib.ShortDemand()
        self.drawn = drawn_jobs.DrawnJobs()
        for command in submits:
            self.submit(command)

    def submit(self, command: commands.SubmitJob) -> None:
        """Stores one more job."""
        self.table.submit(command)
        self.demand.add(self.table.jobs[command.description.job])

    def inputs(self) -> round_input.RoundInput:
        """Returns the input of a round."""
        return round_input.RoundInput(
            now_ms=self.now_ms,
            now_wall_ms=SITE_WALL_MS + self.now_ms,
            open_jobs=self.table.open,
            workers=self.workers,
            zones_out=self.zones_out,
            run_times=self.run_times,
            tails=self.tails,
            demand=self.demand,
            drawn=self.drawn,
            term_started_ms=self.term_started_ms,
            lease_ms=LEASE_MS,
        )
