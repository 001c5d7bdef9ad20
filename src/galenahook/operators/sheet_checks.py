"""Checks of a whole sheet, in whichever format it was read."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Any

from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import row_checks


@dataclasses.dataclass(slots=True)
class LocatedRow:
    """A row of the sheet and its place in the input.

    Attributes:
      row: The row.
      place_of: Returns the place of one field of the row in the input.
    """

    row: Any
    place_of: Callable[[str], str]


@dataclasses.dataclass(slots=True)
class LocatedSheet:
    """Rows of a sheet with their places in the input.

    Attributes:
      services: Services, as `ServiceRow`.
      jobs: Jobs, as `JobRow`.
      quotas: Quotas, as `TeamQuota`.
      objective: `tail` or `throughput`.
      objective_place: Place of the objective in the input.
      availability_zones: Names with their places.
    """

    services: list[LocatedRow] = dataclasses.field(default_factory=list)
    jobs: list[LocatedRow] = dataclasses.field(default_factory=list)
    quotas: list[LocatedRow] = dataclasses.field(default_factory=list)
    objective: str = "tail"
    objective_place: str = ""
    availability_zones: list[LocatedRow] = dataclasses.field(
        default_factory=list
    )

    def sheet(self) -> commands.Sheet:
        """Returns the sheet without places."""
        return commands.Sheet(
            services=tuple(located.row for located in self.services),
            jobs=tuple(located.row for located in self.jobs),
            quotas=tuple(located.row for located in self.quotas),
            objective=self.objective,
            availability_zones=tuple(
                located.row for located in self.availability_zones
            ),
        )


def check(located: LocatedSheet, findings: findings_lib.Findings) -> None:
    """Adds every fault of single rows and of rows together.

    A place that already has a finding gets no further one.
    """
    reported_places = {finding.place for finding in findings.items}
    new_findings = findings_lib.Findings()
    _check_sheet(located, new_findings)
    findings.items.extend(
        finding
        for finding in new_findings.items
        if finding.place not in reported_places
    )


def _check_sheet(
    located: LocatedSheet, findings: findings_lib.Findings
) -> None:
    for fault_field, fault in row_checks.check_objective(located.objective):
        place = located.objective_place or fault_field
        findings.add(place, fault)
    for rows, row_check in (
        (located.services, row_checks.check_service),
        (located.jobs, row_checks.check_job),
        (located.quotas, row_checks.check_quota),
        (located.availability_zones, row_checks.check_availability_zone),
    ):
        for row in rows:
            for field, fault in row_check(row.row):
                findings.add(row.place_of(field), fault)
    _check_unique("name", "service", located.services, findings)
    _check_unique("name", "job", located.jobs, findings)
    _check_unique("team", "quota", located.quotas, findings)
    _check_unique("route", "route", located.services, findings)
    _check_zones_unique(located.availability_zones, findings)
    _check_teams(located, findings)


def _check_unique(
    field: str,
    label: str,
    rows: list[LocatedRow],
    findings: findings_lib.Findings,
) -> None:
    first: dict[str, LocatedRow] = {}
    for located in rows:
        value = getattr(located.row, field)
        if value in first:
            where = first[value].place_of(field)
            findings.add(
                located.place_of(field),
                f"{label} {value!r} is given twice, first at {where}",
            )
        first.setdefault(value, located)


def _check_zones_unique(
    rows: list[LocatedRow], findings: findings_lib.Findings
) -> None:
    seen: set[str] = set()
    for located in rows:
        if located.row in seen:
            findings.add(
                located.place_of("availability_zone"),
                f"availability zone {located.row!r} is given twice",
            )
        seen.add(located.row)


def _check_teams(
    located: LocatedSheet, findings: findings_lib.Findings
) -> None:
    """Checks that each team has a quota, if the sheet has any.

    This finds misspelled names of teams.
    """
    teams = {quota.row.team for quota in located.quotas}
    if not teams:
        return
    for row in _owned_rows(located):
        if row.row.team not in teams:
            findings.add(
                row.place_of("team"), f"team {row.row.team!r} has no quota"
            )


def _owned_rows(located: LocatedSheet) -> Iterator[LocatedRow]:
    yield from located.services
    yield from located.jobs
