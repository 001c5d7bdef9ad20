"""Answers to "why is this as it is"."""

from collections.abc import Iterator

from galenahook import clock as clock_lib
from galenahook import leader as leader_lib
from galenahook.operators import wire
from galenahook.scheduling import explanations as scheduling_explanations


def explain(
    leader: leader_lib.Leader, query: dict[str, str]
) -> wire.Explanation | None:
    """Explains a job or a service; None if neither is asked for."""
    match query:
        case {"job": name}:
            return _explain_job(leader, name)
        case {"service": name}:
            explained = leader.scheduler.explain(f"service/{name}")
            return _explanation(f"service {name}", explained, ())
    return None


def _explain_job(leader: leader_lib.Leader, name: str) -> wire.Explanation:
    current = leader.node.state.configuration.current
    lines = []
    if name in current.cancelled:
        lines.append("cancelled by an operator")
    row = current.jobs.get(name)
    if row is not None and row.deadline_ms:
        lines.append(f"due {clock_lib.iso_from_wall_ms(row.deadline_ms)}")
    explained = leader.scheduler.explain(f"job/{name}")
    return _explanation(f"job {name}", explained, tuple(lines))


def _explanation(
    subject: str,
    explained: scheduling_explanations.Explanation,
    lines: tuple[str, ...],
) -> wire.Explanation:
    return wire.Explanation(
        subject=subject,
        known=explained.known,
        lines=(explained.summary, *lines, *_detail_lines(explained)),
    )


def _detail_lines(
    explained: scheduling_explanations.Explanation,
) -> Iterator[str]:
    if explained.phases:
        counts = sorted(explained.phases.items())
        yield ", ".join(f"{count} {phase}" for phase, count in counts)
    if explained.run_ms:
        yield f"a task is expected to run {explained.run_ms} ms"
    if explained.latest_start_ms:
        latest = clock_lib.iso_from_wall_ms(explained.latest_start_ms)
        yield f"its tasks should start by {latest}"
    for task in explained.tasks:
        place = f" on {task.worker}" if task.worker else ""
        yield (
            f"{task.task}: {task.phase}, attempt {task.attempt}{place},"
            f" {task.evictions} evictions, {task.failures} failures:"
            f" {task.reason}"
        )
