"""Messages between the platform's workers and the leader.

Field names here are the platform's. Where one misleads, a comment says what
it holds. Unknown fields are ignored, as the platform may add some.
"""

from typing import Any

import msgspec

from galenahook.jobs import calls
from galenahook.jobs import worker_api
from galenahook.platform import wire

_OUTCOMES = {"done": "done", "failed": "failed"}
_START_REASONS = {
    "fence": worker_api.StartAnswer.DEPOSED,
    "room": worker_api.StartAnswer.NO_ROOM,
}


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


def heartbeat(worker: str, data: bytes) -> calls.WorkerHeartbeat:
    """Decodes a worker's heartbeat.

    Raises:
      errors.InvalidInputError: It is not one of a worker to use.
    """
    beat = wire.decode(data, _Heartbeat)
    if beat.state not in ("ready", "draining"):
        raise wire.invalid("$.state", f"state {beat.state!r} is not known")
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
    leaving = wire.decode(data, _Leaving) if data else _Leaving()
    return calls.WorkerLeft(worker=worker, born_ms=leaving.born)


# Ends that a worker lists at a time; more may follow behind a full list.
_FULL_LIST = 500


def lists(data: bytes) -> worker_api.Lists:
    """Decodes a worker's lists of runs.

    Raises:
      errors.InvalidInputError: They can't be read.
    """
    listed = wire.decode(data, _Lists)
    try:
        return worker_api.Lists(
            born_ms=listed.born,
            clock_ms=listed.clock_ms,
            running=[_running(row) for row in listed.running],
            finished=[_finished(row) for row in listed.finished],
            complete=len(listed.finished) < _FULL_LIST,
        )
    except (IndexError, TypeError, ValueError) as error:
        raise wire.invalid("$", f"a row can't be read: {error!r}") from error


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
        reason = wire.decode(data, Answer).reason
        answer = _START_REASONS.get(reason, worker_api.StartAnswer.REFUSED)
        return answer, reason
    if status in (429, 503):
        return worker_api.StartAnswer.UNHEALTHY, f"status {status}"
    if status in (400, 404, 421):
        return worker_api.StartAnswer.REFUSED, f"status {status}"
    return worker_api.StartAnswer.UNKNOWN, f"status {status}"
