"""Formats replies as text."""

from collections.abc import Iterator

from galenahook import audit
from galenahook import clock as clock_lib
from galenahook import configuration_items as items_lib
from galenahook import messages
from galenahook.operators import output
from galenahook.operators import wire


def status_lines(status: wire.StatusReply) -> Iterator[str]:
    """Yields the status of the site as lines of text."""
    revision_state = (
        "in force everywhere" if status.in_force else "not yet everywhere"
    )
    yield f"revision    {status.revision}, {revision_state}"
    yield f"leader      {status.leader}, term {status.term}"
    yield f"objective   {status.objective}"
    yield f"upstreams   {status.workers} workers, {status.executors} executors"
    jobs = status.jobs
    yield (
        f"jobs        {jobs.jobs}: tasks {jobs.tasks_pending} pending,"
        f" {jobs.tasks_held} held, {jobs.tasks_done} done,"
        f" {jobs.tasks_failed} failed, {jobs.tasks_cancelled} cancelled"
    )
    yield ""
    yield from _zone_table(status)
    yield ""
    yield from _service_table(status)
    yield ""
    yield from _entry_table(status)
    yield ""
    yield from replica_lines(status)
    yield from _notice_lines(status)


def _zone_table(status: wire.StatusReply) -> list[str]:
    return output.table(
        ("AVAILABILITY ZONE", "STATE", "WORKERS", "EXECUTORS", "SERVICE TASKS",
         "BATCH TASKS"),
        (
            (
                zone.name,
                "out" if zone.out else "in",
                zone.workers,
                zone.executors,
                zone.service_tasks,
                zone.batch_tasks,
            )
            for zone in status.availability_zones
        ),
    )  # fmt: skip


def _service_table(status: wire.StatusReply) -> list[str]:
    return output.table(
        ("SERVICE", "INSTANCES", "HELD", "EXECUTORS"),
        (
            (item.name, item.instances, item.held, item.executors)
            for item in status.services
        ),
    )


def _entry_table(status: wire.StatusReply) -> list[str]:
    return output.table(
        ("ENTRY", "AVAILABILITY ZONE", "REVISION", "STATE"),
        (
            (
                item.name,
                item.availability_zone,
                item.revision,
                _entry_state(item),
            )
            for item in status.entries
        ),
    )


def _notice_lines(status: wire.StatusReply) -> Iterator[str]:
    for label, names in (
        ("leaving", status.leaving),
        ("silent", status.silent),
        ("drained", status.drained),
        ("quarantined", status.quarantined),
        ("in doubt", status.in_doubt),
    ):
        if names:
            yield f"{label}: {', '.join(names)}"
    if status.short:
        yield ""
        yield "SHORT"
        yield from (f"  {line}" for line in status.short)


def _entry_state(entry: wire.EntryStatus) -> str:
    if entry.leaving:
        return "leaving"
    return "behind" if entry.behind else "current"


def replica_lines(status: wire.StatusReply) -> list[str]:
    """Formats the replicas of the group as a table."""
    return output.table(
        ("REPLICA", "ADDRESS", "VOTE", "BEHIND", "LAST ANSWER"),
        (
            (
                item.name,
                item.address,
                "yes" if item.voter else "no",
                item.behind,
                "never" if item.silent_ms < 0 else f"{item.silent_ms} ms ago",
            )
            for item in status.replicas
        ),
    )


def job_lines(reply: wire.JobsReply) -> list[str]:
    """Formats the sheet's jobs as a table."""
    return output.table(
        ("JOB", "TEAM", "DUE", "PENDING", "HELD", "DONE", "FAILED", ""),
        (
            (
                job.name,
                job.team,
                clock_lib.iso_from_wall_ms(job.deadline_ms)
                if job.deadline_ms
                else "-",
                job.pending,
                job.held,
                job.done,
                job.failed,
                "cancelled" if job.cancelled else "",
            )
            for job in reply.jobs
        ),
    )


def difference_lines(difference: wire.SheetDifference) -> Iterator[str]:
    """Yields what a sheet would change, as lines of text."""
    yield f"against revision {difference.revision}:"
    for row in difference.rows:
        yield f"  {row.action:<15} {row.row}"
        yield from (f"      {field}" for field in row.fields)
    if not difference.rows:
        yield "  nothing changes"


def audit_lines(records: tuple[audit.AuditLine, ...]) -> Iterator[str]:
    """Yields accepted changes as lines of text."""
    for record in records:
        match record:
            case audit.AuditGap():
                yield (
                    f"{record.revision} to {record.last_revision}: not stored"
                    " on this replica; ask while another replica leads"
                )
            case audit.AuditRecord():
                yield (
                    f"{record.revision}  {record.at}  {record.operator} "
                    f" {record.change}"
                )
                for item in record.items:
                    yield f"    {item.item}"
                    yield f"      before: {_value(item.before)}"
                    yield f"      after:  {_value(item.after)}"
                if record.items_omitted:
                    yield f"    and {record.items_omitted} further items"


def _value(item: items_lib.Item | None) -> str:
    match item:
        case None:
            return "-"
        case items_lib.SettingItem(value=value):
            return value
        case _:
            return messages.encode(item.row).decode("utf-8")
