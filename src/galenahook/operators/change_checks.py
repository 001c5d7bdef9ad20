"""Checks of an operator's change before it goes into the log."""

from collections.abc import Iterable

from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import leader as leader_lib
from galenahook import row_checks
from galenahook.operators import sheets

_MAX_NAMES_SHOWN = 12


def check(change: commands.Change) -> list[findings_lib.Finding]:
    """Returns every fault of the change's own content."""
    match change:
        case commands.ApplySheet(sheet=sheet):
            checked = sheets.check(sheet, "$.change.sheet")
            return checked.swap().default_value([])
        case commands.PutService(service=service):
            faults = row_checks.check_service(service)
            return _place("$.change.service", faults)
        case commands.PutJob(job=job):
            return _place("$.change.job", row_checks.check_job(job))
    return []


def _place(
    place: str, faults: Iterable[row_checks.Fault]
) -> list[findings_lib.Finding]:
    return [
        findings_lib.Finding(f"{place}.{field}", fault)
        for field, fault in faults
    ]


def find_unknown(change: commands.Change, leader: leader_lib.Leader) -> str:
    """Returns why a name can't be meant, or an empty string.

    A leader that has just been elected may not have heard of every upstream,
    so it takes any name until it has.
    """
    workers = leader.workers
    if not workers.is_settled():
        return ""
    match change:
        case commands.DrainUpstream(name=name):
            known = {*workers.workers, *leader.executors.records}
            return _unless_known("upstream", name, known)
        case commands.AvailabilityZoneOut(availability_zone=name):
            return _unless_known(
                "availability zone", name, availability_zones(leader)
            )
    return ""


def availability_zones(leader: leader_lib.Leader) -> set[str]:
    """Returns every availability zone of the sheet and of what is heard of."""
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


def _unless_known(label: str, name: str, known: set[str]) -> str:
    if name in known:
        return ""
    names = sorted(known)
    shown = ", ".join(names[:_MAX_NAMES_SHOWN]) or "none"
    more = len(names) - _MAX_NAMES_SHOWN
    if more > 0:
        shown += f" and {more} more"
    return f"unknown {label} {name!r}; known: {shown}"
