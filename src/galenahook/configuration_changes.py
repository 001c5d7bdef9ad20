"""Pure functions that check and apply changes to a configuration."""

from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from galenahook import commands
from galenahook import configuration_items as items_lib

HasUnfinishedWork = Callable[[str], bool]


def no_job_started(job: str) -> bool:
    """Returns that a job has not started; for use without a task table."""
    del job
    return False


def rejection_reason(
    current: items_lib.ConfigurationRecord, change: commands.Change
) -> str:
    """Returns why a change can't be applied, or an empty string.

    An availability zone that the sheet does not list can still be taken out
    of service: only the leader knows whether anything still runs there.

    Checks only what depends on the current configuration; `row_checks` checks
    the rows themselves.
    """
    match change:
        case commands.PutService(service=row):
            return _check_team(current, row.team) or _check_route(current, row)
        case commands.PutJob(job=row):
            return _check_team(current, row.team)
        case commands.RemoveService(name=name):
            if name not in current.services:
                return f"unknown service {name!r}"
        case commands.AvailabilityZoneIn(availability_zone=name):
            return _check_availability_zone(current, name)
        case commands.UndrainUpstream(name=name):
            if name not in current.drained:
                return f"upstream {name!r} is not drained"
    return ""


def _check_team(current: items_lib.ConfigurationRecord, team: str) -> str:
    if current.quotas and team not in current.quotas:
        return f"unknown team {team!r}: it has no quota"
    return ""


def _check_route(
    current: items_lib.ConfigurationRecord, row: commands.ServiceRow
) -> str:
    for other in current.services.values():
        if other.route == row.route and other.name != row.name:
            return f"route {row.route!r} is service {other.name!r}'s"
    return ""


def _check_availability_zone(
    current: items_lib.ConfigurationRecord, name: str
) -> str:
    known = current.availability_zones | current.availability_zones_out
    if not current.availability_zones or name in known:
        return ""
    return f"unknown availability zone {name!r}; known: " + ", ".join(
        sorted(known)
    )


def apply_change(
    current: items_lib.ConfigurationRecord,
    change: commands.Change,
    has_unfinished_work: HasUnfinishedWork = no_job_started,
) -> items_lib.ConfigurationRecord:
    """Returns the changed configuration, still with the old revision."""
    replace = msgspec.structs.replace
    match change:
        case commands.ApplySheet(sheet=sheet):
            return _apply_sheet(current, sheet, has_unfinished_work)
        case commands.PutService(service=row):
            return replace(
                current, services={**current.services, row.name: row}
            )
        case commands.RemoveService(name=name):
            services = dict(current.services)
            services.pop(name, None)
            return replace(current, services=services)
        case commands.PutJob(job=row):
            return replace(
                current,
                jobs={**current.jobs, row.name: row},
                cancelled=current.cancelled - {row.name},
            )
        case commands.CancelJobs(names=names):
            known = {name for name in names if name in current.jobs}
            return replace(current, cancelled=current.cancelled | known)
        case commands.AvailabilityZoneOut(availability_zone=name):
            out = current.availability_zones_out | {name}
            return replace(current, availability_zones_out=out)
        case commands.AvailabilityZoneIn(availability_zone=name):
            out = current.availability_zones_out - {name}
            return replace(current, availability_zones_out=out)
        case commands.DrainUpstream(name=name):
            return replace(current, drained=current.drained | {name})
        case commands.UndrainUpstream(name=name):
            return replace(current, drained=current.drained - {name})


def _apply_sheet(
    current: items_lib.ConfigurationRecord,
    sheet: commands.Sheet,
    has_unfinished_work: HasUnfinishedWork,
) -> items_lib.ConfigurationRecord:
    """Replaces the sheet.

    Zones out of service, drains and the cancellations of remaining jobs are
    kept, and so are uncancelled jobs with unfinished work that the new sheet
    omits.
    """
    jobs = {row.name: row for row in sheet.jobs}
    for name, row in current.jobs.items():
        listed_or_cancelled = name in jobs or name in current.cancelled
        if not listed_or_cancelled and has_unfinished_work(name):
            jobs[name] = row
    return msgspec.structs.replace(
        current,
        services={row.name: row for row in sheet.services},
        jobs=jobs,
        quotas={row.team: row for row in sheet.quotas},
        objective=sheet.objective,
        availability_zones=frozenset(sheet.availability_zones),
        cancelled=current.cancelled & jobs.keys(),
    )


def affected_owners(change: commands.Change) -> tuple[str, ...] | None:
    """Returns the owners whose tasks a change may affect, None for all."""
    match change:
        case commands.ApplySheet():
            return None
        case commands.PutService(service=service):
            return (f"service/{service.name}",)
        case commands.RemoveService(name=name):
            return (f"service/{name}",)
        case commands.PutJob(job=job):
            return (f"job/{job.name}",)
        case commands.CancelJobs(names=names):
            return tuple(f"job/{name}" for name in names)
    return ()


def changed_items(
    before: items_lib.ConfigurationRecord,
    after: items_lib.ConfigurationRecord,
    change: commands.Change,
) -> Iterator[items_lib.ItemChange]:
    """Yields the effect of a change on each item, in a fixed order.

    All rows are compared only for a whole sheet. For any other change, the
    cost does not depend on the number of rows.
    """
    match change:
        case commands.ApplySheet():
            yield from diff_configurations(before, after)
        case commands.PutService(service=row):
            yield _changed_service(before, after, row.name)
        case commands.RemoveService(name=name):
            yield _changed_service(before, after, name)
        case commands.PutJob(job=row):
            yield _changed_job(before, after, row.name)
            yield from _changed_flags(before, after)
        case _:
            yield from _changed_flags(before, after)


def count_changed_items(
    before: items_lib.ConfigurationRecord,
    after: items_lib.ConfigurationRecord,
) -> int:
    """Counts the items that differ between two configurations."""
    rows = (
        items_lib.count_changed_rows(before.services, after.services)
        + items_lib.count_changed_rows(before.jobs, after.jobs)
        + items_lib.count_changed_rows(before.quotas, after.quotas)
    )
    flags = sum(1 for _ in _changed_flags(before, after))
    return rows + flags + (before.objective != after.objective)


def diff_configurations(
    before: items_lib.ConfigurationRecord, after: items_lib.ConfigurationRecord
) -> Iterator[items_lib.ItemChange]:
    """Yields every difference between two configurations."""
    yield from items_lib.changed_setting(
        "objective", before.objective, after.objective
    )
    yield from items_lib.changed_rows(
        "service", items_lib.ServiceItem, before.services, after.services
    )
    yield from items_lib.changed_rows(
        "job", items_lib.JobItem, before.jobs, after.jobs
    )
    yield from items_lib.changed_rows(
        "quota", items_lib.QuotaItem, before.quotas, after.quotas
    )
    yield from _changed_flags(before, after)


def _changed_service(
    before: items_lib.ConfigurationRecord,
    after: items_lib.ConfigurationRecord,
    name: str,
) -> items_lib.ItemChange:
    old = before.services.get(name)
    new = after.services.get(name)
    return items_lib.ItemChange(
        item=f"service {name}",
        before=None if old is None else items_lib.ServiceItem(row=old),
        after=None if new is None else items_lib.ServiceItem(row=new),
    )


def _changed_job(
    before: items_lib.ConfigurationRecord,
    after: items_lib.ConfigurationRecord,
    name: str,
) -> items_lib.ItemChange:
    old = before.jobs.get(name)
    new = after.jobs.get(name)
    return items_lib.ItemChange(
        item=f"job {name}",
        before=None if old is None else items_lib.JobItem(row=old),
        after=None if new is None else items_lib.JobItem(row=new),
    )


def _changed_flags(
    before: items_lib.ConfigurationRecord, after: items_lib.ConfigurationRecord
) -> Iterator[items_lib.ItemChange]:
    yield from items_lib.changed_flags(
        "availability zone",
        "listed",
        before.availability_zones,
        after.availability_zones,
    )
    yield from items_lib.changed_flags(
        "availability zone",
        "out",
        before.availability_zones_out,
        after.availability_zones_out,
    )
    yield from items_lib.changed_flags(
        "upstream", "drained", before.drained, after.drained
    )
    yield from items_lib.changed_flags(
        "cancellation", "cancelled", before.cancelled, after.cancelled
    )
