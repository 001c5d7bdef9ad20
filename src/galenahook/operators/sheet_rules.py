"""Rules of a whole sheet, whichever file it came from."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Any

from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import row_checks


@dataclasses.dataclass(slots=True)
class PlacedRow:
    """A row of the sheet and where it stands.

    Attributes:
      row: The row.
      place_of: Returns the place of one field of the row.
    """

    row: Any
    place_of: Callable[[str], str]


@dataclasses.dataclass(slots=True)
class PlacedSheet:
    """Rows of a sheet with their places.

    Attributes:
      services: Services, as `ServiceRow`.
      jobs: Jobs, as `JobRow`.
      quotas: Quotas, as `TeamQuota`.
      objective: `tail` or `throughput`.
      objective_place: Place of the objective.
      availability_zones: Names with their places.
    """

    services: list[PlacedRow] = dataclasses.field(default_factory=list)
    jobs: list[PlacedRow] = dataclasses.field(default_factory=list)
    quotas: list[PlacedRow] = dataclasses.field(default_factory=list)
    objective: str = "tail"
    objective_place: str = ""
    availability_zones: list[PlacedRow] = dataclasses.field(
        default_factory=list
    )

    def sheet(self) -> commands.Sheet:
        """Returns the sheet without places."""
        return commands.Sheet(
            services=tuple(placed.row for placed in self.services),
            jobs=tuple(placed.row for placed in self.jobs),
            quotas=tuple(placed.row for placed in self.quotas),
            objective=self.objective,
            availability_zones=tuple(
                placed.row for placed in self.availability_zones
            ),
        )


def check(placed: PlacedSheet, findings: findings_lib.Findings) -> None:
    """Adds every fault of the rows and between the rows.

    A place that has a finding already gets no further one.
    """
    known = {finding.place for finding in findings.items}
    found = findings_lib.Findings()
    _check_all(placed, found)
    findings.items.extend(
        finding for finding in found.items if finding.place not in known
    )


def _check_all(placed: PlacedSheet, findings: findings_lib.Findings) -> None:
    for fault_field, fault in row_checks.check_objective(placed.objective):
        place = placed.objective_place or fault_field
        findings.add(place, fault)
    for rows, row_check in (
        (placed.services, row_checks.check_service),
        (placed.jobs, row_checks.check_job),
        (placed.quotas, row_checks.check_quota),
        (placed.availability_zones, row_checks.check_availability_zone),
    ):
        for row in rows:
            for field, fault in row_check(row.row):
                findings.add(row.place_of(field), fault)
    _check_unique("name", "service", placed.services, findings)
    _check_unique("name", "job", placed.jobs, findings)
    _check_unique("team", "quota", placed.quotas, findings)
    _check_unique("route", "route", placed.services, findings)
    _check_zones_unique(placed.availability_zones, findings)
    _check_teams(placed, findings)


def _check_unique(
    field: str,
    label: str,
    rows: list[PlacedRow],
    findings: findings_lib.Findings,
) -> None:
    first: dict[str, PlacedRow] = {}
    for placed in rows:
        value = getattr(placed.row, field)
        if value in first:
            where = first[value].place_of(field)
            findings.add(
                placed.place_of(field),
                f"{label} {value!r} is given twice, first at {where}",
            )
        first.setdefault(value, placed)


def _check_zones_unique(
    rows: list[PlacedRow], findings: findings_lib.Findings
) -> None:
    seen: set[str] = set()
    for placed in rows:
        if placed.row in seen:
            findings.add(
                placed.place_of("availability_zone"),
                f"availability zone {placed.row!r} is given twice",
            )
        seen.add(placed.row)


def _check_teams(placed: PlacedSheet, findings: findings_lib.Findings) -> None:
    """A sheet with quotas must have one for each team, against misspelling."""
    teams = {quota.row.team for quota in placed.quotas}
    if not teams:
        return
    for row in _owned_rows(placed):
        if row.row.team not in teams:
            findings.add(
                row.place_of("team"), f"team {row.row.team!r} has no quota"
            )


def _owned_rows(placed: PlacedSheet) -> Iterator[PlacedRow]:
    yield from placed.services
    yield from placed.jobs
