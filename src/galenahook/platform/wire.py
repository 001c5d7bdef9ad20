"""Decodes the platform's messages into galenahook's own types.

The structs use the platform's field names; a comment explains a name that is
misleading. Unknown fields are ignored, since the platform may add some.
"""

from typing import TypeVar

import msgspec

from galenahook import commands
from galenahook import errors
from galenahook import findings as findings_lib
from galenahook import messages
from galenahook.jobs import calls

_WireT = TypeVar("_WireT")

# Header of a refusal that may be sent again, in seconds.
RETRY_AFTER = (b"retry-after", b"1")

# Limits of a job, far above the values in the platform's sheets.
MAX_SPEC_BYTES = 4_000
MAX_STEPS = 100
MAX_TASKS_PER_STEP = 10_000
MAX_OCCURRENCES = 10_000
# All occurrences included. Every replica holds an object for each task.
MAX_TASKS_PER_JOB = 100_000

_STEP_NUMBERS = (
    "cpu",
    "mem_mb",
    "gpu",
    "estimate_ms",
    "anti_affinity",
    "target_ms",
    "may_miss",
)


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
    requirements: str = ""  # A single label.
    data_rack: str = ""
    anti_affinity: int = 0  # Maximum tasks of the step per worker.
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0  # Target tail latency, not run time.
    fills: bool = False  # Runs on idle CPU without a reservation.
    may_miss: int | None = None  # Tasks unavailable at once; None: any number.


class _Job(msgspec.Struct):
    """A job as callers send it."""

    spec: str
    steps: tuple[_Step, ...]
    repeat_count: int = 0  # Occurrences in all, the first included.
    start_at_ms: int = 0
    interval_ms: int = 0


def decode(data: bytes, wire_type: type[_WireT]) -> _WireT:
    """Decodes a message of the platform.

    Raises:
      errors.InvalidInputError: The message is malformed.
    """
    try:
        # Fields that are ignored are not decoded otherwise.
        data.decode("utf-8")
        return msgspec.json.decode(data, type=wire_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise input_error("$", str(error)) from error


def input_error(place: str, message: str) -> errors.InvalidInputError:
    """Returns an error with a single finding."""
    return errors.InvalidInputError([findings_lib.Finding(place, message)])


def decode_job(data: bytes) -> calls.JobOrder:
    """Decodes and validates a job.

    Raises:
      errors.InvalidInputError: The job is invalid; has every finding.
    """
    job = decode(data, _Job)
    findings = findings_lib.Findings()
    if len(job.spec.encode("utf-8")) > MAX_SPEC_BYTES:
        findings.add("$.spec", f"over {MAX_SPEC_BYTES} bytes")
    if not 0 < len(job.steps) <= MAX_STEPS:
        findings.add("$.steps", f"expected 1 to {MAX_STEPS} steps")
    if not 0 <= job.repeat_count <= MAX_OCCURRENCES:
        findings.add("$.repeat_count", f"expected 0 to {MAX_OCCURRENCES}")
    tasks = max(1, job.repeat_count) * sum(step.count for step in job.steps)
    if tasks > MAX_TASKS_PER_JOB:
        findings.add(
            "$", f"over {MAX_TASKS_PER_JOB} tasks in all occurrences together"
        )
    for field in ("start_at_ms", "interval_ms"):
        _check_number(getattr(job, field), f"$.{field}", findings)
    for index, step in enumerate(job.steps):
        _check_step(step, index, findings)
    if findings:
        raise errors.InvalidInputError(findings.items)
    return calls.JobOrder(
        spec=job.spec,
        steps=tuple(_step_description(step) for step in job.steps),
        occurrences=max(1, job.repeat_count),
        first_start_ms=job.start_at_ms if job.repeat_count else 0,
        interval_ms=job.interval_ms,
    )


def _check_number(
    value: float, place: str, findings: findings_lib.Findings
) -> None:
    if not 0 <= value <= messages.MAX_NUMBER:
        findings.add(place, f"expected 0 to {messages.MAX_NUMBER}")


def _check_step(
    step: _Step, index: int, findings: findings_lib.Findings
) -> None:
    place = f"$.steps[{index}]"
    if not 0 < step.count <= MAX_TASKS_PER_STEP:
        findings.add(
            f"{place}.count", f"expected 1 to {MAX_TASKS_PER_STEP} tasks"
        )
    for field in _STEP_NUMBERS:
        _check_number(getattr(step, field) or 0, f"{place}.{field}", findings)
    for dependency in step.depends_on:
        if not 0 <= dependency < index:
            findings.add(
                f"{place}.depends_on", f"step {dependency} is no earlier step"
            )


def _step_description(step: _Step) -> commands.StepDescription:
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
