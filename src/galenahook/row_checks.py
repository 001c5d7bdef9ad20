"""Checks of single rows of the sheet, whatever their source.

A check yields findings: pairs of a field and an error message, to which the
calling function adds the location in its input.
"""

from collections.abc import Iterator
import re

from galenahook import commands
from galenahook import messages

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,79}")

OBJECTIVES = ("tail", "throughput")

MAX_PRIORITY = 100
MAX_INSTANCES = 10_000
MAX_TASKS = 100_000
MAX_CORES_MILLI = 10_000_000
MAX_MEMORY_MB = 100_000_000
MAX_ACCELERATORS = 10_000
MAX_RUN_MS = 31 * 24 * 3_600_000
MAX_TAIL_TARGET_MS = 600_000
MAX_COMMAND_CHARS = 4_096

_ROUTE_PATTERN = re.compile(r"/[!-~]*")

FieldFinding = tuple[str, str]


def check_service(row: commands.ServiceRow) -> Iterator[FieldFinding]:
    """Yields every error in a service's row."""
    yield from _check_owner(row.name, row.team, row.priority)
    yield from _check_range("instances", row.instances, 1, MAX_INSTANCES)
    yield from _check_resources(row.resources)
    yield from _check_range(
        "tail_target_ms", row.tail_target_ms, 1, MAX_TAIL_TARGET_MS
    )
    yield from _check_command(row.command)
    if not _ROUTE_PATTERN.fullmatch(row.route) or "?" in row.route:
        yield "route", f"{row.route!r}: expected a path such as /prices"


def check_job(row: commands.JobRow) -> Iterator[FieldFinding]:
    """Yields every error in a job's row."""
    yield from _check_owner(row.name, row.team, row.priority)
    yield from _check_name("job_class", row.job_class)
    yield from _check_range("tasks", row.tasks, 1, MAX_TASKS)
    yield from _check_resources(row.resources)
    yield from _check_range("run_ms", row.run_ms, 1, MAX_RUN_MS)
    yield from _check_command(row.command)
    for field in ("deadline_ms", "earliest_ms"):
        if getattr(row, field) < 0:
            yield field, "must not be below 0"
    if 0 < row.deadline_ms <= row.earliest_ms:
        yield "deadline_ms", "must be after the earliest start"


def check_quota(row: commands.TeamQuota) -> Iterator[FieldFinding]:
    """Yields every error in a team's quota."""
    yield from _check_name("team", row.team)
    yield from _check_resources(row.resources)


def check_objective(objective: str) -> Iterator[FieldFinding]:
    """Yields an error if the objective is unknown."""
    if objective not in OBJECTIVES:
        yield "objective", f"{objective!r}: expected {' or '.join(OBJECTIVES)}"


def check_availability_zone(name: str) -> Iterator[FieldFinding]:
    """Yields an error if the availability zone's name is invalid."""
    yield from _check_name("availability_zone", name)


def _check_owner(name: str, team: str, priority: int) -> Iterator[FieldFinding]:
    yield from _check_name("name", name)
    yield from _check_name("team", team)
    yield from _check_range("priority", priority, 0, MAX_PRIORITY)


def _check_name(field: str, name: str) -> Iterator[FieldFinding]:
    if not NAME_PATTERN.fullmatch(name):
        yield (
            field,
            f"{name!r}: expected a letter or digit, then up to 79 letters,"
            " digits, dots, dashes, underscores or @",
        )


def _check_range(
    field: str, value: int, minimum: int, maximum: int
) -> Iterator[FieldFinding]:
    if not minimum <= value <= maximum:
        yield field, f"{value}: expected {minimum} to {maximum}"


def _check_resources(resources: messages.Resources) -> Iterator[FieldFinding]:
    yield from _check_range(
        "cores_milli", resources.cores_milli, 1, MAX_CORES_MILLI
    )
    yield from _check_range("memory_mb", resources.memory_mb, 1, MAX_MEMORY_MB)
    yield from _check_range(
        "accelerators", resources.accelerators, 0, MAX_ACCELERATORS
    )


def _check_command(command: str) -> Iterator[FieldFinding]:
    if len(command) > MAX_COMMAND_CHARS:
        yield "command", f"longer than {MAX_COMMAND_CHARS} characters"
