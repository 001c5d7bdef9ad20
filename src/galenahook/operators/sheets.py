"""Reads sheets from CSV or JSON and checks them as a whole."""

from collections.abc import Callable
import pathlib

import expression

from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import json_input
from galenahook.operators import sheet_checks
from galenahook.operators import sheet_csv

SheetResult = expression.Result[commands.Sheet, list[findings_lib.Finding]]


def load(path: str) -> SheetResult:
    """Loads and checks a sheet file: JSON if named `.json`, else CSV."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        finding = findings_lib.Finding(path, str(error.strerror))
        return expression.Error([finding])
    name = pathlib.Path(path).name
    if name.lower().endswith(".json"):
        return read_json(data, name)
    return read_csv(data, name)


def read_csv(data: bytes, file: str) -> SheetResult:
    """Reads and checks a planner's CSV table."""
    findings = findings_lib.Findings()
    located = sheet_csv.read(data, file, findings)
    sheet_checks.check(located, findings)
    findings.items.sort(key=lambda finding: _row_number(finding, file))
    return _result(located, findings)


def _row_number(finding: findings_lib.Finding, file: str) -> int:
    # The name of an unknown column, after the row, may contain a colon.
    return int(finding.place.removeprefix(f"{file}:").partition(":")[0])


def read_json(data: bytes, file: str) -> SheetResult:
    """Reads and checks a sheet in JSON, encoded as `commands.Sheet`."""
    decoded = json_input.decode(data, commands.Sheet, f"{file}:$")
    return decoded.bind(lambda sheet: check(sheet, f"{file}:$"))


def check(sheet: commands.Sheet, place: str) -> SheetResult:
    """Checks a decoded JSON sheet.

    Args:
      sheet: The sheet.
      place: JSON path of the sheet in the input.
    """
    findings = findings_lib.Findings()
    located = sheet_checks.LocatedSheet(
        services=_locate_rows(sheet.services, f"{place}.services"),
        jobs=_locate_rows(sheet.jobs, f"{place}.jobs"),
        quotas=_locate_rows(sheet.quotas, f"{place}.quotas"),
        objective=sheet.objective,
        objective_place=f"{place}.objective",
        availability_zones=_locate_rows(
            sheet.availability_zones, f"{place}.availability_zones"
        ),
    )
    sheet_checks.check(located, findings)
    return _result(located, findings)


def _locate_rows(rows: tuple, place: str) -> list[sheet_checks.LocatedRow]:
    return [
        sheet_checks.LocatedRow(row, _json_places(f"{place}[{index}]"))
        for index, row in enumerate(rows)
    ]


def _json_places(row_place: str) -> Callable[[str], str]:
    return lambda field: f"{row_place}.{field}"


def _result(
    located: sheet_checks.LocatedSheet, findings: findings_lib.Findings
) -> SheetResult:
    if findings:
        return expression.Error(findings.items)
    return expression.Ok(located.sheet())
