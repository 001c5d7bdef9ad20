"""The platform's messages, decoded once into the product's own types.

Field names here are the platform's. Where one misleads, a comment says what
it holds. Unknown fields are ignored, as the platform may add some.
"""

from typing import Any
from typing import TypeVar

import msgspec

from galenahook import commands
from galenahook import errors
from galenahook import findings as findings_lib
from galenahook.jobs import calls
from galenahook.jobs import worker_api

_WireT = TypeVar("_WireT")

# Bounds of a job, far above what the platform's sheets have.
MAX_SPEC_BYTES = 4_000
MAX_STEPS = 100
MAX_TASKS = 10_000
MAX_OCCURRENCES = 10_000

_OUTCOMES = {"done": "done", "failed": "failed"}
_START_REASONS = {
    "fence": worker_api.StartAnswer.DEPOSED,
    "room": worker_api.StartAnswer.NO_ROOM,
}


class _Step(msgspec.Struct):
    """A step of a job as callers send it."""

    count: int
    cpu: int = 0  # Thousandths of a core.
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""  # One label, despite the plural.
    data_rack: str = ""
    anti_affinity: int = 0  # Most tasks of the step on one worker.
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0  # Bound of the tail, not of the run time.
    fills: bool = False  # Its processors are not reserved.
    may_miss: int | None = None


class _Job(msgspec.Struct):
    """A job as callers send it."""

    spec: str
    steps: tuple[_Step, ...]
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


class _Capacity(msgspec.Struct):
    cpu: int  # Thousandths of a core.
    mem_mb: int
    gpu: int = 0


class _Heartbeat(msgspec.Struct):
    """What a worker says of itself."""

    backend: str  # The pool of workers.
    address: str
    zone: str
    state: str
    seq: int
    capacity: _Capacity
    labels: tuple[str, ...] = ()
    machine: str = ""
    born: int = 0
    clock_ms: int = 0
    drain_remaining_ms: float = 0


class _Queue(msgspec.Struct):
    """A queue of the configuration, which the platform calls a route."""

    name: str
    host: str
    path_prefix: str
    timeout_ms: int
    backend: str  # Name of a service.
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: int = 0


class _Service(msgspec.Struct):
    name: str
    admission_check: bool = False


class _Site(msgspec.Struct):
    """A configuration of the site."""

    version: int
    routes: tuple[_Queue, ...]
    services: tuple[_Service, ...]
    limits: dict[str, Any] = {}


class _Lists(msgspec.Struct):
    """A worker's lists of runs, each row a plain array."""

    clock_ms: int
    running: tuple[tuple[Any, ...], ...] = ()
    finished: tuple[tuple[Any, ...], ...] = ()
    born: int = 0


class Answer(msgspec.Struct):
    """A worker's answer to an order."""

    clock_ms: int = 0
    reason: str = ""


def decode(data: bytes, wire_type: type[_WireT]) -> _WireT:
    """Decodes a message of the platform.

    Raises:
      errors.InvalidInputError: It can't be read.
    """
    try:
        return msgspec.json.decode(data, type=wire_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _invalid("$", str(error)) from error


def _invalid(place: str, message: str) -> errors.InvalidInputError:
    return errors.InvalidInputError([findings_lib.Finding(place, message)])


# --- Jobs ---------------------------------------------------------------------


def job_order(data: bytes) -> calls.JobOrder:
    """Decodes and checks a job.

    Raises:
      errors.InvalidInputError: With every finding.
    """
    job = decode(data, _Job)
    findings = findings_lib.Findings()
    if len(job.spec.encode("utf-8")) > MAX_SPEC_BYTES:
        findings.add("$.spec", f"over {MAX_SPEC_BYTES} bytes")
    if not 0 < len(job.steps) <= MAX_STEPS:
        findings.add("$.steps", f"expected 1 to {MAX_STEPS} steps")
    if not 0 <= job.repeat_count <= MAX_OCCURRENCES:
        findings.add("$.repeat_count", f"expected 0 to {MAX_OCCURRENCES}")
    for index, step in enumerate(job.steps):
        _check_step(step, index, findings)
    if findings:
        raise errors.InvalidInputError(findings.items)
    return calls.JobOrder(
        spec=job.spec,
        steps=tuple(_step(step) for step in job.steps),
        occurrences=max(1, job.repeat_count),
        first_start_ms=job.start_at_ms if job.repeat_count else 0,
        interval_ms=job.interval_ms,
    )


def _check_step(
    step: _Step, index: int, findings: findings_lib.Findings
) -> None:
    place = f"$.steps[{index}]"
    if not 0 < step.count <= MAX_TASKS:
        findings.add(f"{place}.count", f"expected 1 to {MAX_TASKS} tasks")
    for field in ("cpu", "mem_mb", "gpu", "estimate_ms", "anti_affinity"):
        if getattr(step, field) < 0:
            findings.add(f"{place}.{field}", "must not be negative")
    for before in step.depends_on:
        if not 0 <= before < index:
            findings.add(
                f"{place}.depends_on", f"step {before} is no earlier step"
            )


def _step(step: _Step) -> commands.StepDescription:
    return commands.StepDescription(
        tasks=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.mem_mb,
        gpus=step.gpu,
        estimate_ms=int(step.estimate_ms),
        after=step.depends_on,
        saves_checkpoints=step.checkpointing,
        serves=step.long_running,
        uses_idle_cpu=step.fills,
        image=step.image,
        tail_target_ms=int(step.target_ms),
        max_per_worker=step.anti_affinity,
        max_unavailable=-1 if step.may_miss is None else step.may_miss,
        required_label=step.requirements,
        data_rack=step.data_rack,
        one_rack=step.same_rack,
        together=step.gang,
        may_duplicate=step.speculative,
    )


# --- Configuration ------------------------------------------------------------


def site_command(data: bytes, at_ms: int) -> commands.PutSite:
    """Decodes and checks a configuration.

    Raises:
      errors.InvalidInputError: With every finding.
    """
    site = decode(data, _Site)
    findings = findings_lib.Findings()
    services = {service.name for service in site.services}
    places: set[tuple[str, str]] = set()
    for index, queue in enumerate(site.routes):
        place = f"$.routes[{index}]"
        if queue.backend not in services:
            findings.add(
                f"{place}.backend",
                f"service {queue.backend!r} does not exist in configuration"
                f" {site.version}",
            )
        if queue.timeout_ms <= 0:
            findings.add(f"{place}.timeout_ms", "must be above 0 ms")
        if (queue.host.lower(), queue.path_prefix) in places:
            findings.add(place, "same host and prefix as an earlier queue")
        places.add((queue.host.lower(), queue.path_prefix))
    if findings:
        raise errors.InvalidInputError(findings.items)
    return commands.PutSite(
        version=site.version,
        document=data.decode("utf-8"),
        queues=tuple(_queue(queue) for queue in site.routes),
        services=tuple(
            commands.ServicePool(
                name=service.name, checks_capacity=service.admission_check
            )
            for service in site.services
        ),
        at_ms=at_ms,
    )


def _queue(queue: _Queue) -> commands.QueueRow:
    return commands.QueueRow(
        name=queue.name,
        host=queue.host,
        path_prefix=queue.path_prefix,
        service=queue.backend,
        timeout_ms=queue.timeout_ms,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        objective_ms=queue.slo_ms,
    )


# --- Workers ------------------------------------------------------------------


def heartbeat(worker: str, data: bytes) -> calls.WorkerHeartbeat:
    """Decodes a worker's heartbeat.

    Raises:
      errors.InvalidInputError: It is not one of a worker to use.
    """
    beat = decode(data, _Heartbeat)
    if beat.state not in ("ready", "draining"):
        raise _invalid("$.state", f"state {beat.state!r} is not known")
    return calls.WorkerHeartbeat(
        worker=worker,
        born_ms=beat.born,
        machine=beat.machine,
        address=beat.address,
        availability_zone=beat.zone,
        service=beat.backend,
        draining=beat.state == "draining",
        drain_remaining_ms=int(beat.drain_remaining_ms),
        sequence=beat.seq,
        clock_ms=beat.clock_ms,
        cpu_millis=beat.capacity.cpu,
        memory_mb=beat.capacity.mem_mb,
        gpus=beat.capacity.gpu,
        labels=beat.labels,
    )


class _Leaving(msgspec.Struct):
    born: int = 0


def worker_left(worker: str, data: bytes) -> calls.WorkerLeft:
    """Decodes a worker's word that it ends now.

    Raises:
      errors.InvalidInputError: It can't be read.
    """
    leaving = decode(data, _Leaving) if data else _Leaving()
    return calls.WorkerLeft(worker=worker, born_ms=leaving.born)


# Ends that a worker lists at a time; more may follow behind a full list.
_FULL_LIST = 500


def lists(data: bytes) -> worker_api.Lists:
    """Decodes a worker's lists of runs.

    Raises:
      errors.InvalidInputError: They can't be read.
    """
    wire = decode(data, _Lists)
    try:
        return worker_api.Lists(
            born_ms=wire.born,
            clock_ms=wire.clock_ms,
            running=[_running(row) for row in wire.running],
            finished=[_finished(row) for row in wire.finished],
            complete=len(wire.finished) < _FULL_LIST,
        )
    except (IndexError, TypeError, ValueError) as error:
        raise _invalid("$", f"a row can't be read: {error!r}") from error


def _running(row: tuple[Any, ...]) -> worker_api.RunningRow:
    measure = float(row[4]) if len(row) > 4 and row[4] is not None else None
    return worker_api.RunningRow(
        task=str(row[0]),
        run=int(row[1]),
        checkpoint=str(row[2]),
        percent=float(row[3]),
        measure=measure,
    )


def _finished(row: tuple[Any, ...]) -> worker_api.FinishedRow:
    how = str(row[3])
    return worker_api.FinishedRow(
        number=int(row[0]),
        task=str(row[1]),
        run=int(row[2]),
        outcome=_OUTCOMES.get(how, "gone"),
        checkpoint=str(row[4]),
        detail=how,
    )


def start_body(order: worker_api.StartOrder) -> bytes:
    """Encodes an order to start a run."""
    body = {
        "task": order.task,
        "run": order.run,
        "spec": order.spec,
        "deadline_ms": order.lease_until_ms,
        "fencing_token": order.term,
    }
    if order.checkpoint:
        body["checkpoint"] = order.checkpoint
    return msgspec.json.encode(body)


def stop_body(task: str, run: int, term: int) -> bytes:
    """Encodes an order to stop a run."""
    return msgspec.json.encode(
        {"task": task, "run": run, "fencing_token": term}
    )


def throttle_body(task: str, run: int, percent: int, term: int) -> bytes:
    """Encodes an order to throttle a run."""
    return msgspec.json.encode(
        {"task": task, "run": run, "percent": percent, "fencing_token": term}
    )


def look_body(
    term: int, acknowledged: int, lease_until_ms: int, wait_ms: int
) -> bytes:
    """Encodes a look at a worker."""
    return msgspec.json.encode(
        {
            "fencing_token": term,
            "ack_cursor": acknowledged,
            "deadline_ms": lease_until_ms,
            "wait_ms": wait_ms,
        }
    )


def start_answer(
    status: int, data: bytes
) -> tuple[worker_api.StartAnswer, str]:
    """Decodes the answer to an order to start a run."""
    if status == 200:
        return worker_api.StartAnswer.RUNNING, ""
    if status == 409:
        reason = decode(data, Answer).reason
        answer = _START_REASONS.get(reason, worker_api.StartAnswer.REFUSED)
        return answer, reason
    if status in (429, 503):
        return worker_api.StartAnswer.UNHEALTHY, f"status {status}"
    if status in (400, 404, 421):
        return worker_api.StartAnswer.REFUSED, f"status {status}"
    return worker_api.StartAnswer.UNKNOWN, f"status {status}"
