"""Sheets: read from CSV or JSON, checked whole, and compared."""

from collections.abc import Callable
import pathlib

import expression

from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import json_input
from galenahook.operators import sheet_csv
from galenahook.operators import sheet_rules

SheetResult = expression.Result[commands.Sheet, list[findings_lib.Finding]]


def load(path: str) -> SheetResult:
    """Loads and checks a sheet's file; `.json` is JSON, others are CSV."""
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
    placed = sheet_csv.read(data, file, findings)
    sheet_rules.check(placed, findings)
    findings.items.sort(key=lambda finding: _row_of(finding, file))
    return _result(placed, findings)


def _row_of(finding: findings_lib.Finding, file: str) -> int:
    # A column that a file names may hold a colon itself.
    return int(finding.place.removeprefix(f"{file}:").partition(":")[0])


def read_json(data: bytes, file: str) -> SheetResult:
    """Reads and checks a sheet in JSON, the form of `commands.Sheet`."""
    decoded = json_input.decode(data, commands.Sheet, f"{file}:$")
    return decoded.bind(lambda sheet: check(sheet, f"{file}:$"))


def check(sheet: commands.Sheet, place: str) -> SheetResult:
    """Checks a sheet of JSON whose root has the given place."""
    findings = findings_lib.Findings()
    placed = sheet_rules.PlacedSheet(
        services=_place(sheet.services, f"{place}.services"),
        jobs=_place(sheet.jobs, f"{place}.jobs"),
        quotas=_place(sheet.quotas, f"{place}.quotas"),
        objective=sheet.objective,
        objective_place=f"{place}.objective",
        availability_zones=_place(
            sheet.availability_zones, f"{place}.availability_zones"
        ),
    )
    sheet_rules.check(placed, findings)
    return _result(placed, findings)


def _place(rows: tuple, place: str) -> list[sheet_rules.PlacedRow]:
    return [
        sheet_rules.PlacedRow(row, _json_place(f"{place}[{index}]"))
        for index, row in enumerate(rows)
    ]


def _json_place(row_place: str) -> Callable[[str], str]:
    return lambda field: f"{row_place}.{field}"


def _result(
    placed: sheet_rules.PlacedSheet, findings: findings_lib.Findings
) -> SheetResult:
    if findings:
        return expression.Error(findings.items)
    return expression.Ok(placed.sheet())
