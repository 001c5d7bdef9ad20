"""Messages between the platform's workers and the leader.

The structs use the platform's field names; a comment explains a name that is
misleading. Unknown fields are ignored, since the platform may add some.
"""

from typing import Any

import msgspec

from galenahook.jobs import calls
from galenahook.jobs import worker_api
from galenahook.platform import wire

_OUTCOME_BY_END_REASON = {"done": "done", "failed": "failed"}
_START_ANSWER_BY_REASON = {
    "fence": worker_api.StartAnswer.DEPOSED,
    "room": worker_api.StartAnswer.NO_CAPACITY,
}


class _Capacity(msgspec.Struct):
    cpu: int  # Thousandths of a core.
    mem_mb: int
    gpu: int = 0


class _Heartbeat(msgspec.Struct):
    """A worker's periodic announcement."""

    backend: str  # Name of the service that the worker belongs to.
    address: str
    zone: str
    state: str
    seq: int
    capacity: _Capacity
    labels: tuple[str, ...] = ()
    machine: str = ""
    born: int = 0  # Start of the incarnation, Unix milliseconds.
    clock_ms: int = 0  # Monotonic clock of the worker.
    drain_remaining_ms: float = 0


class _Lists(msgspec.Struct):
    """A worker's lists of runs, with each row as a JSON array."""

    clock_ms: int
    running: tuple[tuple[Any, ...], ...] = ()
    finished: tuple[tuple[Any, ...], ...] = ()
    born: int = 0


class OrderResponse(msgspec.Struct):
    """A worker's response to an order."""

    clock_ms: int = 0
    reason: str = ""


def decode_heartbeat(worker: str, data: bytes) -> calls.WorkerHeartbeat:
    """Decodes a worker's heartbeat.

    Raises:
      errors.InvalidInputError: It is malformed or its state is unknown.
    """
    heartbeat = wire.decode(data, _Heartbeat)
    if heartbeat.state not in ("ready", "draining"):
        raise wire.input_error(
            "$.state", f"state {heartbeat.state!r} is not known"
        )
    if heartbeat.capacity.cpu < 0:
        raise wire.input_error(
            "$.capacity.cpu", f"{heartbeat.capacity.cpu} is less than 0"
        )
    return calls.WorkerHeartbeat(
        worker=worker,
        born_ms=heartbeat.born,
        machine=heartbeat.machine,
        address=heartbeat.address,
        availability_zone=heartbeat.zone,
        service=heartbeat.backend,
        draining=heartbeat.state == "draining",
        drain_remaining_ms=int(heartbeat.drain_remaining_ms),
        sequence=heartbeat.seq,
        clock_ms=heartbeat.clock_ms,
        cpu_millis=heartbeat.capacity.cpu,
        memory_mb=heartbeat.capacity.mem_mb,
        gpus=heartbeat.capacity.gpu,
        labels=heartbeat.labels,
    )


class _Deregistration(msgspec.Struct):
    born: int = 0


def decode_deregistration(worker: str, data: bytes) -> calls.WorkerLeft:
    """Decodes a worker's notice that its process ends.

    Raises:
      errors.InvalidInputError: The notice is malformed.
    """
    deregistration = (
        wire.decode(data, _Deregistration) if data else _Deregistration()
    )
    return calls.WorkerLeft(worker=worker, born_ms=deregistration.born)


# Maximum number of ends in one response; a full list may be incomplete.
_MAX_LISTED_ENDS = 500


def decode_lists(data: bytes) -> worker_api.PollReply:
    """Decodes a worker's lists of runs.

    Raises:
      errors.InvalidInputError: The response or one of its rows is malformed.
    """
    listed = wire.decode(data, _Lists)
    try:
        return worker_api.PollReply(
            born_ms=listed.born,
            clock_ms=listed.clock_ms,
            running=[_running_row(row) for row in listed.running],
            finished=[_finished_row(row) for row in listed.finished],
            complete=len(listed.finished) < _MAX_LISTED_ENDS,
        )
    except (IndexError, TypeError, ValueError) as error:
        raise wire.input_error(
            "$", f"a row can't be read: {error!r}"
        ) from error


def _running_row(row: tuple[Any, ...]) -> worker_api.RunningRow:
    """Decodes `[task, run, checkpoint, percent, measurement]`.

    The measurement may be missing or null.
    """
    measurement = float(row[4]) if len(row) > 4 and row[4] is not None else None
    return worker_api.RunningRow(
        task=str(row[0]),
        run=int(row[1]),
        checkpoint=str(row[2]),
        percent=float(row[3]),
        measurement=measurement,
    )


def _finished_row(row: tuple[Any, ...]) -> worker_api.FinishedRow:
    """Decodes `[number, task, run, end reason, checkpoint]`."""
    end_reason = str(row[3])
    return worker_api.FinishedRow(
        number=int(row[0]),
        task=str(row[1]),
        run=int(row[2]),
        outcome=_OUTCOME_BY_END_REASON.get(end_reason, "gone"),
        checkpoint=str(row[4]),
        detail=end_reason,
    )


def encode_start(order: worker_api.StartOrder) -> bytes:
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


def encode_stop(task: str, run: int, term: int) -> bytes:
    """Encodes an order to stop a run."""
    return msgspec.json.encode(
        {"task": task, "run": run, "fencing_token": term}
    )


def encode_throttle(task: str, run: int, percent: int, term: int) -> bytes:
    """Encodes an order to throttle a run."""
    return msgspec.json.encode(
        {"task": task, "run": run, "percent": percent, "fencing_token": term}
    )


def encode_poll(
    term: int, acknowledged: int, lease_until_ms: int, wait_ms: int
) -> bytes:
    """Encodes a poll of a worker's runs; a lease of 0 is not sent."""
    poll = {
        "fencing_token": term,
        "ack_cursor": acknowledged,
        "wait_ms": wait_ms,
    }
    if lease_until_ms:
        poll["deadline_ms"] = lease_until_ms
    return msgspec.json.encode(poll)


def decode_start_response(
    status: int, data: bytes
) -> tuple[worker_api.StartAnswer, str]:
    """Decodes the response to a start order; also returns the reason."""
    if status == 200:
        return worker_api.StartAnswer.RUNNING, ""
    if status == 409:
        reason = wire.decode(data, OrderResponse).reason
        answer = _START_ANSWER_BY_REASON.get(
            reason, worker_api.StartAnswer.REFUSED
        )
        return answer, reason
    if status in (429, 503):
        return worker_api.StartAnswer.UNHEALTHY, f"status {status}"
    if status in (400, 404, 421):
        return worker_api.StartAnswer.REFUSED, f"status {status}"
    return worker_api.StartAnswer.UNKNOWN, f"status {status}"
