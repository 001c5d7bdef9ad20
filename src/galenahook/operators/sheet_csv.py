"""Reads the planners' CSV table.

The table has a `kind` column. Each kind of row uses its own columns; a value
in a column of another kind is a fault. `docs/OPERATING.md` shows the
columns.
"""

from collections.abc import Callable
import csv
import dataclasses
import datetime
import io
from typing import Any

from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import messages
from galenahook.operators import sheet_cells
from galenahook.operators import sheet_checks

_DELIMITERS = ";,\t"
_MAX_CELL_CHARS = 65_536

_OWNER_COLUMNS = frozenset(("name", "team", "priority", "command"))
_RESOURCE_COLUMNS = frozenset(("cores", "memory_gb", "accelerators"))
_SERVICE_COLUMNS = frozenset(("instances", "route", "tail_target_ms"))
_JOB_COLUMNS = frozenset(
    (
        "class",
        "tasks",
        "run_minutes",
        "deadline",
        "earliest",
        "urgent",
        "unbroken",
        "repeatable",
    )
)

_COLUMNS_BY_KIND = {
    "setting": frozenset(("name", "value")),
    "zone": frozenset(("name",)),
    "quota": frozenset(("team",)) | _RESOURCE_COLUMNS,
    "service": _OWNER_COLUMNS | _RESOURCE_COLUMNS | _SERVICE_COLUMNS,
    "job": _OWNER_COLUMNS | _RESOURCE_COLUMNS | _JOB_COLUMNS,
}
COLUMNS = frozenset(("kind",)).union(*_COLUMNS_BY_KIND.values())

_OPTIONAL_COLUMNS = frozenset(
    (
        "accelerators",
        "command",
        "deadline",
        "earliest",
        "urgent",
        "unbroken",
        "repeatable",
    )
)
_SETTINGS = ("day", "time zone", "objective")

# Columns whose name differs from the field of the row.
_COLUMN_OF_FIELD = {
    "cores_milli": "cores",
    "memory_mb": "memory_gb",
    "job_class": "class",
    "run_ms": "run_minutes",
    "deadline_ms": "deadline",
    "earliest_ms": "earliest",
    "availability_zone": "name",
}


@dataclasses.dataclass(slots=True)
class _Row:
    """One row of the table.

    Attributes:
      file: Name of the file.
      number: Number of the row as in a spreadsheet; the first row is 1.
      cells: Text by column.
    """

    file: str
    number: int
    cells: dict[str, str]

    def place_of(self, field: str) -> str:
        """Returns the place of a column, given its name or its field's."""
        column = _COLUMN_OF_FIELD.get(field, field)
        return f"{self.file}:{self.number}:{column}"


def read(
    data: bytes, file: str, findings: findings_lib.Findings
) -> sheet_checks.LocatedSheet:
    """Reads a table; a faulty cell is reported and treated as empty."""
    located = sheet_checks.LocatedSheet()
    text = _decode(data, file, findings)
    if text is None:
        return located
    delimiter = _detect_delimiter(text)
    cell_format = sheet_cells.CellFormat(decimal_comma=delimiter != ",")
    rows = _read_rows(text, delimiter, file, findings)
    for row in rows:
        if row.cells["kind"] == "setting":
            _read_setting(row, cell_format, located, findings)
    for row in rows:
        reader = _RowReader(row, cell_format, findings)
        reader.read_into(located)
    return located


def _decode(
    data: bytes, file: str, findings: findings_lib.Findings
) -> str | None:
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        row = data[: error.start].count(b"\n") + 1
        findings.add(f"{file}:{row}:1", "not UTF-8; export it as CSV in UTF-8")
        return None
    if "\0" in text:
        findings.add(f"{file}:1:1", "not text; export it as CSV in UTF-8")
        return None
    return text


def _detect_delimiter(text: str) -> str:
    header = text.lstrip("\r\n").partition("\n")[0]
    return max(_DELIMITERS, key=header.count)


def _read_rows(
    text: str, delimiter: str, file: str, findings: findings_lib.Findings
) -> list[_Row]:
    csv.field_size_limit(_MAX_CELL_CHARS)
    reader = csv.reader(
        io.StringIO(text, newline=""), delimiter=delimiter, strict=True
    )
    header: list[str] | None = None
    rows: list[_Row] = []
    number = 0
    try:
        for cells in reader:
            number += 1
            cells = [cell.strip() for cell in cells]
            if not any(cells) or cells[0].startswith("#"):
                continue
            if header is None:
                header = _read_header(cells, file, number, findings)
                continue
            row = _parse_row(header, cells, file, number, findings)
            if row is not None:
                rows.append(row)
    except csv.Error as error:
        findings.add(f"{file}:{number + 1}:1", f"malformed CSV: {error}")
    if header is None:
        findings.add(
            f"{file}:1:1", "empty table: the first row must name the columns"
        )
    return rows


def _read_header(
    cells: list[str], file: str, number: int, findings: findings_lib.Findings
) -> list[str]:
    names = [cell.lower().replace(" ", "_") for cell in cells]
    for index, name in enumerate(names):
        place = f"{file}:{number}:{name or index + 1}"
        if name and name not in COLUMNS:
            findings.add(place, f"unknown column {cells[index]!r}")
        elif name and name in names[:index]:
            findings.add(place, f"column {name!r} is given twice")
    if "kind" not in names:
        findings.add(f"{file}:{number}:kind", "missing column 'kind'")
    return names


def _parse_row(
    header: list[str],
    cells: list[str],
    file: str,
    number: int,
    findings: findings_lib.Findings,
) -> _Row | None:
    row = _Row(file, number, dict(zip(header, cells, strict=False)))
    extra = [cell for cell in cells[len(header) :] if cell]
    if extra:
        findings.add(
            f"{file}:{number}:{len(header) + 1}",
            f"more cells than columns, first {extra[0]!r}",
        )
        return None
    kind = row.cells.get("kind", "").lower()
    row.cells["kind"] = kind
    if kind not in _COLUMNS_BY_KIND:
        if "kind" in header:
            expected = ", ".join(_COLUMNS_BY_KIND)
            findings.add(
                row.place_of("kind"), f"{kind!r}: expected one of {expected}"
            )
        return None
    _check_columns(row, kind, findings)
    return row


def _check_columns(
    row: _Row, kind: str, findings: findings_lib.Findings
) -> None:
    allowed = _COLUMNS_BY_KIND[kind]
    for column, cell in row.cells.items():
        is_of_other_kind = column in COLUMNS and column not in allowed
        if cell and column != "kind" and is_of_other_kind:
            findings.add(
                row.place_of(column), f"does not apply to a {kind}: {cell!r}"
            )
    for column in sorted(allowed - _OPTIONAL_COLUMNS):
        if not row.cells.get(column):
            findings.add(row.place_of(column), f"missing for a {kind}")


def _read_setting(
    row: _Row,
    cell_format: sheet_cells.CellFormat,
    located: sheet_checks.LocatedSheet,
    findings: findings_lib.Findings,
) -> None:
    name = row.cells.get("name", "").lower().replace("_", " ")
    value = row.cells.get("value", "")
    if not name or not value:
        return
    try:
        match name:
            case "day":
                cell_format.day = sheet_cells.parse_day(value)
            case "time zone":
                cell_format.time_zone = sheet_cells.parse_time_zone(value)
            case "objective":
                located.objective = value.lower()
                located.objective_place = row.place_of("value")
            case _:
                expected = ", ".join(_SETTINGS)
                findings.add(
                    row.place_of("name"),
                    f"{name!r}: expected one of {expected}",
                )
    except ValueError as error:
        findings.add(row.place_of("value"), str(error))


class _RowReader:
    """Reads one row and reports a fault for each bad cell.

    Attributes:
      row: The row.
      cell_format: How its numbers and times are interpreted.
      findings: Receives the faults.
    """

    def __init__(
        self,
        row: _Row,
        cell_format: sheet_cells.CellFormat,
        findings: findings_lib.Findings,
    ) -> None:
        self.row = row
        self.cell_format = cell_format
        self.findings = findings

    def read_into(self, located: sheet_checks.LocatedSheet) -> None:
        """Adds the row to the sheet."""
        match self.row.cells["kind"]:
            case "zone":
                self._add(located.availability_zones, self._text("name"))
            case "quota":
                self._add(located.quotas, self._quota())
            case "service":
                self._add(located.services, self._service())
            case "job":
                self._add(located.jobs, self._job())

    def _add(self, rows: list[sheet_checks.LocatedRow], row: Any) -> None:
        rows.append(sheet_checks.LocatedRow(row, self.row.place_of))

    def _quota(self) -> commands.TeamQuota:
        return commands.TeamQuota(
            team=self._text("team"), resources=self._resources()
        )

    def _service(self) -> commands.ServiceRow:
        return commands.ServiceRow(
            name=self._text("name"),
            team=self._text("team"),
            priority=self._integer("priority"),
            instances=self._integer("instances"),
            resources=self._resources(),
            route=self._text("route"),
            tail_target_ms=self._integer("tail_target_ms"),
            command=self.row.cells.get("command", ""),
        )

    def _job(self) -> commands.JobRow:
        return commands.JobRow(
            name=self._job_name(),
            team=self._text("team"),
            priority=self._integer("priority"),
            job_class=self._text("class"),
            tasks=self._integer("tasks"),
            resources=self._resources(),
            run_ms=self._cell("run_minutes", 0, self._minutes),
            deadline_ms=self._cell("deadline", 0, self._time),
            earliest_ms=self._cell("earliest", 0, self._time),
            urgent=self._cell("urgent", False, sheet_cells.parse_boolean),
            unbroken=self._cell("unbroken", False, sheet_cells.parse_boolean),
            repeatable=self._cell(
                "repeatable", True, sheet_cells.parse_boolean
            ),
            command=self.row.cells.get("command", ""),
        )

    def _job_name(self) -> str:
        """Returns the job's name; a dated sheet adds its day.

        Jobs of the same name on two days are thereby different jobs.
        """
        name = self._text("name")
        day: datetime.date | None = self.cell_format.day
        return f"{name}@{day.isoformat()}" if day and name else name

    def _resources(self) -> messages.Resources:
        return messages.Resources(
            cores_milli=self._cell("cores", 0, self._cores),
            memory_mb=self._cell("memory_gb", 0, self._memory),
            accelerators=self._integer("accelerators"),
        )

    def _text(self, column: str) -> str:
        return self._cell(column, "", str)

    def _integer(self, column: str) -> int:
        return self._cell(column, 0, sheet_cells.parse_integer)

    def _cores(self, text: str) -> int:
        return sheet_cells.parse_cores(text, self.cell_format)

    def _memory(self, text: str) -> int:
        return sheet_cells.parse_memory_gb(text, self.cell_format)

    def _minutes(self, text: str) -> int:
        return sheet_cells.parse_minutes(text, self.cell_format)

    def _time(self, text: str) -> int:
        return sheet_cells.parse_time(text, self.cell_format)

    def _cell(self, column: str, empty: Any, parse: Callable) -> Any:
        text = self.row.cells.get(column, "")
        if not text:
            return empty
        try:
            return parse(text)
        except ValueError as error:
            self.findings.add(self.row.place_of(column), str(error))
            return empty
