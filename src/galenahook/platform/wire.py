"""The platform's messages, decoded once into the product's own types.

Field names here are the platform's. Where one misleads, a comment says what
it holds. Unknown fields are ignored, as the platform may add some.
"""

from typing import TypeVar

import msgspec

from galenahook import commands
from galenahook import errors
from galenahook import findings as findings_lib
from galenahook.jobs import calls

_WireT = TypeVar("_WireT")

# Bounds of a job, far above what the platform's sheets have.
MAX_SPEC_BYTES = 4_000
MAX_STEPS = 100
MAX_TASKS = 10_000
MAX_OCCURRENCES = 10_000


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


def decode(data: bytes, wire_type: type[_WireT]) -> _WireT:
    """Decodes a message of the platform.

    Raises:
      errors.InvalidInputError: It can't be read.
    """
    try:
        return msgspec.json.decode(data, type=wire_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise invalid("$", str(error)) from error


def invalid(place: str, message: str) -> errors.InvalidInputError:
    """Builds the error of one finding."""
    return errors.InvalidInputError([findings_lib.Finding(place, message)])


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
