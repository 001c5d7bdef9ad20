"""Answers to "why is this as it is"."""

from collections.abc import Iterator
from typing import Any

from galenahook import clock as clock_lib
from galenahook.operators import wire
from galenahook.scheduling import tasks as tasks_lib

_MAX_TASKS = 20


def explain(leader: Any, query: dict[str, str]) -> wire.Explanation | None:
    """Explains a job, a service or a request; None if none is asked for."""
    match query:
        case {"job": name}:
            return _explain_job(leader, name)
        case {"service": name}:
            return _explain_service(leader, name)
        case {"request": identifier}:
            return wire.Explanation(
                subject=f"request {identifier}",
                known=False,
                lines=(
                    "requests are explained by the entry that answered; look"
                    " for the identifier in the entries' logs",
                ),
            )
    return None


def _explain_job(leader: Any, name: str) -> wire.Explanation:
    current = leader.node.state.configuration.current
    row = current.jobs.get(name)
    lines = []
    if name in current.cancelled:
        lines.append("cancelled by an operator")
    if row is None:
        return wire.Explanation(
            subject=f"job {name}",
            known=False,
            lines=(f"no such job in revision {current.revision}",),
        )
    if row.deadline_ms:
        lines.append(f"due {clock_lib.iso_from_wall_ms(row.deadline_ms)}")
    tasks = (f"job/{name}/{index}" for index in range(row.tasks))
    lines.extend(_explain_tasks(leader, tasks))
    return wire.Explanation(
        subject=f"job {name}", known=True, lines=tuple(lines)
    )


def _explain_service(leader: Any, name: str) -> wire.Explanation:
    current = leader.node.state.configuration.current
    row = current.services.get(name)
    if row is None:
        return wire.Explanation(
            subject=f"service {name}",
            known=False,
            lines=(f"no such service in revision {current.revision}",),
        )
    tasks = (f"service/{name}/{index}" for index in range(row.instances))
    return wire.Explanation(
        subject=f"service {name}",
        known=True,
        lines=tuple(_explain_tasks(leader, tasks)),
    )


def _explain_tasks(leader: Any, tasks: Iterator[str]) -> Iterator[str]:
    records = leader.node.state.tasks.records
    shown = 0
    for task in tasks:
        record = records.get(task)
        if record is None or record.phase is tasks_lib.Phase.DONE:
            continue
        shown += 1
        if shown > _MAX_TASKS:
            yield "and further tasks"
            return
        yield _explain_task(leader, record)
    if not shown:
        yield "every task is done"


def _explain_task(leader: Any, record: tasks_lib.TaskRecord) -> str:
    text = f"{record.task}: {record.phase.value}"
    if record.phase is tasks_lib.Phase.HELD:
        text += f", attempt {record.attempt} on {record.worker}"
        if record.evicting:
            text += f", being evicted: {record.evicting}"
    explain_task = getattr(leader.scheduler, "explain", None)
    if record.phase is tasks_lib.Phase.PENDING and explain_task is not None:
        text += f": {explain_task(record.task)}"
    if record.failures:
        workers = ", ".join(record.failed_workers)
        text += f"; failed {record.failures} times, on {workers}"
    return text
