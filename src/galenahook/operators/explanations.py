"""Explains the state of a job or a service to operators."""

from collections.abc import Iterator

from galenahook import clock as clock_lib
from galenahook import leader as leader_lib
from galenahook.operators import wire
from galenahook.scheduling import explanations as scheduling_explanations


def explain(
    leader: leader_lib.Leader, query: dict[str, str]
) -> wire.Explanation | None:
    """Explains a job or a service; None if the query names neither."""
    match query:
        case {"job": name}:
            return _explain_job(leader, name)
        case {"service": name}:
            explanation = leader.scheduler.explain(f"service/{name}")
            return _build_explanation(f"service {name}", explanation, ())
    return None


def _explain_job(leader: leader_lib.Leader, name: str) -> wire.Explanation:
    current = leader.node.state.configuration.current
    lines = []
    if name in current.cancelled:
        lines.append("cancelled by an operator")
    row = current.jobs.get(name)
    if row is not None and row.deadline_ms:
        lines.append(f"due {clock_lib.iso_from_wall_ms(row.deadline_ms)}")
    explanation = leader.scheduler.explain(f"job/{name}")
    return _build_explanation(f"job {name}", explanation, tuple(lines))


def _build_explanation(
    subject: str,
    explanation: scheduling_explanations.Explanation,
    lines: tuple[str, ...],
) -> wire.Explanation:
    return wire.Explanation(
        subject=subject,
        known=explanation.known,
        lines=(explanation.summary, *lines, *_detail_lines(explanation)),
    )


def _detail_lines(
    explanation: scheduling_explanations.Explanation,
) -> Iterator[str]:
    if explanation.phases:
        counts = sorted(explanation.phases.items())
        yield ", ".join(f"{count} {phase}" for phase, count in counts)
    if explanation.run_ms:
        yield f"expected run time of a task: {explanation.run_ms} ms"
    if explanation.latest_start_ms:
        latest = clock_lib.iso_from_wall_ms(explanation.latest_start_ms)
        yield f"its tasks should start by {latest}"
    for task in explanation.tasks:
        location = f" on {task.worker}" if task.worker else ""
        yield (
            f"{task.task}: {task.phase}, attempt {task.attempt}{location},"
            f" {task.evictions} evictions, {task.failures} failures:"
            f" {task.reason}"
        )
