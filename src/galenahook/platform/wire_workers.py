"""Messages between the platform's workers and the leader.

The structs use the platform's field names; a comment explains a name that is
misleading. Unknown fields are ignored, since the platform may add some.
"""

import ipaddress
from typing import Annotated

import msgspec

from galenahook import messages
from galenahook import web
from galenahook.jobs import calls
from galenahook.jobs import worker_api
from galenahook.platform import wire

_OUTCOME_BY_END_REASON = {"done": "done", "failed": "failed"}
_START_ANSWER_BY_REASON = {
    "fence": worker_api.StartAnswer.DEPOSED,
    "room": worker_api.StartAnswer.NO_CAPACITY,
}


class _Capacity(msgspec.Struct):
    cpu: messages.Count  # Thousandths of a core.
    mem_mb: messages.Count
    gpu: messages.Count = 0


class _Heartbeat(msgspec.Struct):
    """A worker's periodic announcement."""

    backend: str  # Name of the service that the worker belongs to.
    address: str
    zone: str
    state: str
    seq: messages.Count
    capacity: _Capacity
    labels: tuple[str, ...] = ()
    machine: str = ""
    born: messages.Count = 0  # Start of the incarnation, Unix milliseconds.
    clock_ms: messages.Count = 0  # Monotonic clock of the worker.
    # Below 0 once the time is over.
    drain_remaining_ms: Annotated[
        float, msgspec.Meta(ge=-messages.MAX_NUMBER, le=messages.MAX_NUMBER)
    ] = 0


class _RunningRow(msgspec.Struct, array_like=True):
    """A run that is running, as a JSON array."""

    task: str
    run: messages.Count
    checkpoint: str
    percent: messages.Amount
    measurement: messages.Amount | None = None


class _FinishedRow(msgspec.Struct, array_like=True):
    """A run that has ended, as a JSON array."""

    number: messages.Count
    task: str
    run: messages.Count
    end_reason: str
    checkpoint: str


class _Lists(msgspec.Struct):
    """A worker's lists of runs."""

    clock_ms: messages.Count
    running: tuple[_RunningRow, ...] = ()
    finished: tuple[_FinishedRow, ...] = ()
    born: messages.Count = 0


class OrderResponse(msgspec.Struct):
    """A worker's response to an order."""

    clock_ms: messages.Count = 0
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
    if not _is_address(heartbeat.address):
        raise wire.input_error(
            "$.address",
            f"{heartbeat.address[:100]!r} is not an IPv4 address and a port",
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


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    return is_number and 0 < int(port) <= web.MAX_PORT


class _Deregistration(msgspec.Struct):
    born: messages.Count = 0


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
    return worker_api.PollReply(
        born_ms=listed.born,
        clock_ms=listed.clock_ms,
        running=[
            worker_api.RunningRow(
                task=row.task,
                run=row.run,
                checkpoint=row.checkpoint,
                percent=row.percent,
                measurement=row.measurement,
            )
            for row in listed.running
        ],
        finished=[
            worker_api.FinishedRow(
                number=row.number,
                task=row.task,
                run=row.run,
                outcome=_OUTCOME_BY_END_REASON.get(row.end_reason, "gone"),
                checkpoint=row.checkpoint,
                detail=row.end_reason,
            )
            for row in listed.finished
        ],
        complete=len(listed.finished) < _MAX_LISTED_ENDS,
    )


def encode_start(order: worker_api.StartOrder) -> bytes:
    """Encodes an order to start a run."""
    body = {
        "task": order.task,
        "run": order.run,
        "spec": order.spec,
        "deadline_ms": order.lease_until_ms,
        "fencing_token": order.fence,
    }
    if order.checkpoint:
        body["checkpoint"] = order.checkpoint
    return msgspec.json.encode(body)


def encode_stop(task: str, run: int, fence: int) -> bytes:
    """Encodes an order to stop a run."""
    return msgspec.json.encode(
        {"task": task, "run": run, "fencing_token": fence}
    )


def encode_throttle(task: str, run: int, percent: int, fence: int) -> bytes:
    """Encodes an order to throttle a run."""
    return msgspec.json.encode(
        {"task": task, "run": run, "percent": percent, "fencing_token": fence}
    )


def encode_poll(
    fence: int, acknowledged: int, lease_until_ms: int, wait_ms: int
) -> bytes:
    """Encodes a poll of a worker's runs; a lease of 0 is not sent."""
    poll = {
        "fencing_token": fence,
        "ack_cursor": acknowledged,
        "wait_ms": wait_ms,
    }
    if lease_until_ms:
        poll["deadline_ms"] = lease_until_ms
    return msgspec.json.encode(poll)


def decode_start_response(
    status: int, data: bytes, min_clock_ms: int = 0
) -> tuple[worker_api.StartAnswer, str]:
    """Decodes the response to a start order; also returns the reason.

    Args:
      status: Status of the response.
      data: Its body.
      min_clock_ms: Lower bound of the clock of the incarnation that the order
        was sent to.
    """
    if status == 200:
        if wire.decode(data, OrderResponse).clock_ms < min_clock_ms:
            return worker_api.StartAnswer.UNKNOWN, "another incarnation replied"
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
