"""Checks of an operator's change before it is appended to the log."""

from collections.abc import Iterable

from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import leader as leader_lib
from galenahook import row_checks
from galenahook.operators import sheets

_MAX_NAMES_SHOWN = 12


def check(change: commands.Change) -> list[findings_lib.Finding]:
    """Returns all findings in the change itself, whatever the site's state."""
    match change:
        case commands.ApplySheet(sheet=sheet):
            checked = sheets.check(sheet, "$.change.sheet")
            return checked.swap().default_value([])
        case commands.PutService(service=service):
            findings = row_checks.check_service(service)
            return _add_place("$.change.service", findings)
        case commands.PutJob(job=job):
            return _add_place("$.change.job", row_checks.check_job(job))
    return []


def _add_place(
    place: str, findings: Iterable[row_checks.FieldFinding]
) -> list[findings_lib.Finding]:
    return [
        findings_lib.Finding(f"{place}.{field}", reason)
        for field, reason in findings
    ]


def find_unknown(change: commands.Change, leader: leader_lib.Leader) -> str:
    """Returns the reason if the change names something unknown, else "".

    A newly elected leader accepts any name until every live worker has had
    time to announce itself.
    """
    workers = leader.workers
    if not workers.had_time_to_announce():
        return ""
    match change:
        case commands.DrainUpstream(name=name):
            known = {*workers.workers, *leader.executors.records}
            return _reason_unless_known("upstream", name, known)
        case commands.AvailabilityZoneOut(availability_zone=name):
            return _reason_unless_known(
                "availability zone", name, availability_zones(leader)
            )
    return ""


def availability_zones(leader: leader_lib.Leader) -> set[str]:
    """Returns the zones of the configuration, the upstreams and the entries."""
    current = leader.node.state.configuration.current
    return {
        *current.availability_zones,
        *current.availability_zones_out,
        *(
            worker.announcement.availability_zone
            for worker in leader.workers.workers.values()
        ),
        *(
            executor.announcement.availability_zone
            for executor in leader.executors.records.values()
        ),
        *(entry.availability_zone for entry in leader.entries.records.values()),
    }


def _reason_unless_known(label: str, name: str, known: set[str]) -> str:
    if name in known:
        return ""
    names = sorted(known)
    shown = ", ".join(names[:_MAX_NAMES_SHOWN]) or "none"
    more = len(names) - _MAX_NAMES_SHOWN
    if more > 0:
        shown += f" and {more} more"
    return f"unknown {label} {name!r}; known: {shown}"
