"""Tests of planners' sheets: accepted input, and the place of each fault."""

import datetime
import pathlib

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

import builders
from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import configuration_changes as changes_lib
from galenahook import messages
from galenahook.operators import sheet_difference
from galenahook.operators import sheets

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
ISO = "%Y-%m-%dT%H:%M%z"

HEADER = (
    "kind;name;value;team;priority;class;instances;tasks;cores;memory_gb;"
    "accelerators;run_minutes;earliest;deadline;urgent;unbroken;repeatable;"
    "route;tail_target_ms;command"
)
DAY = "setting;day;2026-03-31\nsetting;time zone;Europe/Ljubljana"
JOB = {
    "kind": "job",
    "name": "plan",
    "team": "coating",
    "priority": "80",
    "class": "plan",
    "tasks": "12",
    "cores": "8",
    "memory_gb": "24",
    "run_minutes": "75",
}


def _row(**cells: str) -> str:
    known = {**JOB, **cells}
    return ";".join(known.get(column, "") for column in HEADER.split(";"))


def _read(*rows: str, file: str = "s.csv") -> object:
    return sheets.read_csv("\n".join((HEADER, *rows)).encode("utf-8"), file)


def _places(result) -> list[str]:
    assert result.is_error(), "accepted"
    return [finding.place for finding in result.error]


@pytest.mark.parametrize("name", ["order-service", "booking-service"])
def test_the_samples_are_sound(name, snapshot):
    sheet = sheets.load(str(EXAMPLES / f"{name}.csv")).ok
    assert {row.name: row.deadline_ms for row in sheet.jobs} == snapshot
    again = sheets.read_json(messages.encode(sheet), "again.json")
    assert again.ok == sheet


def _deadline(text: str, rows: tuple[str, ...] = (DAY,)) -> str:
    job = _read(*rows, _row(deadline=text)).ok.jobs[0]
    moment = datetime.datetime.fromtimestamp(
        job.deadline_ms / 1_000, tz=datetime.UTC
    )
    return moment.strftime(ISO)


TIMES = [
    ("06:00", "2026-03-31T04:00+0000"),
    ("6:00", "2026-03-31T04:00+0000"),
    ("05:30+1", "2026-04-01T03:30+0000"),
    ("23:00 +2", "2026-04-02T21:00+0000"),
    ("2026-10-26T06:00", "2026-10-26T05:00+0000"),
    ("2026-03-31 06:00", "2026-03-31T04:00+0000"),
    ("2026-03-31T06:00+00:00", "2026-03-31T06:00+0000"),
    # This time occurs twice; the earlier one is the safe deadline.
    ("2026-10-25T02:30", "2026-10-25T00:30+0000"),
]


@pytest.mark.parametrize(("text", "expected"), TIMES)
def test_times_are_in_the_time_zone_of_the_sheet(text, expected):
    assert _deadline(text) == expected


def test_dated_sheet_adds_its_day_to_job_names():
    assert _read(DAY, _row()).ok.jobs[0].name == "plan@2026-03-31"
    assert _read(_row()).ok.jobs[0].name == "plan"


def _exported(text: str, delimiter: str) -> str:
    return text.replace(";", delimiter)


EXPORTS = {
    "byte order mark": (b"\xef\xbb\xbf", "\n", ";"),
    "CRLF": (b"", "\r\n", ";"),
    "commas": (b"", "\n", ","),
    "tabs": (b"", "\r\n", "\t"),
}


@pytest.mark.parametrize("export", EXPORTS)
def test_export_formats_are_equivalent(export):
    mark, line_end, delimiter = EXPORTS[export]
    rows = ("", HEADER, DAY, "# note;;", _row(cores="0.125", command='"a b"'))
    text = _exported("\n".join(rows), delimiter).replace("\n", line_end)
    job = sheets.read_csv(mark + text.encode("utf-8"), "s.csv").ok.jobs[0]
    assert job.resources == messages.Resources(125, 24 * 1024, 0)
    assert job.command == "a b"


def test_decimal_commas_and_quoted_cells():
    job = _read(_row(cores="1,5", command='"a; ""b""\nc"')).ok.jobs[0]
    assert job.resources.cores_milli == 1_500
    assert job.command == 'a; "b"\nc'


# A column of the job in row 2 and its text; a fault is expected there.
CELL_FAULTS = [
    ("name", "two words"),
    ("name", ""),
    ("team", ""),
    ("priority", "101"),
    ("priority", "-1"),
    ("priority", "high"),
    ("priority", "5.5"),
    ("class", "a/b"),
    ("tasks", "0"),
    ("tasks", "9999999"),
    ("cores", "-1"),
    ("cores", "0"),
    ("cores", "0.0001"),
    ("cores", "1.234"),
    ("cores", "NaN"),
    ("cores", "1e3"),
    ("memory_gb", "lots"),
    ("accelerators", "0,5"),
    ("run_minutes", "1h"),
    ("run_minutes", "0"),
    ("deadline", "06:00"),
    ("deadline", "tomorrow"),
    ("deadline", "2026-03-31"),
    ("deadline", "2026-02-30T06:00"),
    ("urgent", "maybe"),
    ("repeatable", "2"),
    ("route", "/plan"),
    ("instances", "2"),
    ("value", "x"),
    ("kind", "jobb"),
    ("kind", ""),
    ("command", "x" * 5_000),
]


@pytest.mark.parametrize(("column", "cell"), CELL_FAULTS)
def test_bad_cell_is_reported_with_row_and_column(column, cell):
    assert f"s.csv:2:{column}" in _places(_read(_row(**{column: cell})))


# Rows after the header, and a place that must be reported.
ROW_FAULTS = {
    "job twice": ([_row(), _row()], "s.csv:3:name"),
    "no quota": (["quota;;;other;;;;;1;1", _row()], "s.csv:3:team"),
    "zone twice": (["zone;a", "zone;a"], "s.csv:3:name"),
    "unknown setting": (["setting;colour;red"], "s.csv:2:name"),
    "bad day": (["setting;day;31.3.2026"], "s.csv:2:value"),
    "bad zone": (["setting;time zone;Mars"], "s.csv:2:value"),
    "objective": (["setting;objective;both"], "s.csv:2:value"),
    "skipped time": (
        [
            "setting;day;2026-03-29",
            "setting;time zone;Europe/Ljubljana",
            _row(deadline="02:30"),
        ],
        "s.csv:4:deadline",
    ),
    "deadline first": (
        [DAY, _row(earliest="08:00", deadline="07:00")],
        "s.csv:4:deadline",
    ),
    "too many cells": ([_row() + ";x"], "s.csv:2:21"),
    "open quote": ([_row(command='"open')], "s.csv:2:1"),
}


@pytest.mark.parametrize("fault", ROW_FAULTS)
def test_bad_row_is_reported(fault):
    rows, place = ROW_FAULTS[fault]
    assert place in _places(_read(*rows))


FILE_FAULTS = {
    "empty": (b"", "s.csv:1:1"),
    "not UTF-8": (HEADER.encode() + b"\nzone;\xe8", "s.csv:2:1"),
    "UTF-16": (HEADER.encode("utf-16"), "s.csv:1:1"),
    "no kind": (b"name;team\na;b", "s.csv:1:kind"),
    "unknown column": (b"kind;name;colour\nzone;a;red", "s.csv:1:colour"),
    "column twice": (b"kind;name;name\nzone;a;b", "s.csv:1:name"),
}


@pytest.mark.parametrize("fault", FILE_FAULTS)
def test_bad_file_is_reported(fault):
    data, place = FILE_FAULTS[fault]
    assert place in _places(sheets.read_csv(data, "s.csv"))


def test_all_faults_of_a_sheet_are_reported_together(snapshot):
    rows = (
        "quota;;;order-desk;;;;;400;1200",
        "service;prices;;order-desk;high;;24;;8;24;;;;;;;;prices;0;",
        _row(priority="500", cores="1.234", route="/x"),
        _row(team="order-desk", deadline="06:00"),
        "zone;;a",
    )
    assert _read(*rows).error == snapshot


JSON_FAULTS = {
    "truncated": (b'{"jobs": [', "s.json:$"),
    "unknown field": (b'{"colour": 1}', "s.json:$.colour"),
    "type": (b'{"jobs": [{"name": 3}]}', "s.json:$.jobs[0].name"),
    "objective": (b'{"objective": "both"}', "s.json:$.objective"),
    "twice": (b'{"jobs": [], "jobs": []}', "s.json:$.jobs"),
}


@pytest.mark.parametrize("fault", JSON_FAULTS)
def test_fault_of_a_json_sheet_has_its_path(fault):
    data, place = JSON_FAULTS[fault]
    assert place in _places(sheets.read_json(data, "s.json"))


@hypothesis.given(
    st.lists(
        st.sampled_from(
            ["kind", "job", "zone", ";", ",", '"', "\n", "\r", "plan", "06:00"]
            + ["1,5", "-", "\ufeff", "é", "\0", "setting", "day", "#", HEADER]
        )
    ).map("".join)
)
@hypothesis.settings(max_examples=300)
def test_any_text_is_read_or_reported(text):
    result = sheets.read_csv(text.encode("utf-8"), "s.csv")
    assert result.is_ok() or all(f.place and f.message for f in result.error)


def test_a_difference_shows_rows_that_change_go_on_or_stay_cancelled(snapshot):
    jobs = [
        builders.job(name) for name in ("kept", "changed", "night", "withdrawn")
    ]
    cancelled = builders.job("cancelled")
    before = configuration_lib.ConfigurationRecord(
        revision=7,
        services={"prices": builders.service()},
        jobs={row.name: row for row in (*jobs, cancelled)},
        cancelled=frozenset({"cancelled"}),
    )
    sheet = builders.sheet(
        (builders.service(instances=2), builders.service("holds")),
        (
            jobs[0],
            msgspec.structs.replace(jobs[1], priority=1, urgent=True),
            cancelled,
        ),
        objective="throughput",
    )
    after = changes_lib.apply_change(
        before, commands.ApplySheet(sheet=sheet), lambda job: job == "night"
    )
    assert sheet_difference.compare(before, after, sheet) == snapshot
