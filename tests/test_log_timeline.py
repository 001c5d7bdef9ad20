"""Tests of timelines from logs that may be truncated or incomplete."""

import json

import pytest

from galenahook import cli
from galenahook.operators import exit_codes
from galenahook.operators import log_timeline

JOB = "00000000000000a1"


def line(at_s, process, kind, **fields):
    return json.dumps(
        {
            "process": process,
            "level": "info",
            "timestamp": at_s,
            "message_type": kind,
            **fields,
        }
    )


LOG = [
    line(10.0, "core-2", "job:stored", job=JOB, queue="quotes"),
    line(
        10.1, "core-2", "run:start", job=JOB, task=f"{JOB}.0.0.0", worker="w1"
    ),
    line(10.2, "core-2", "run:start", job="other", worker="w9"),
    line(11.0, "core-2", "worker:silent", worker="w1", silent_ms=900),
    line(11.0, "core-2", "worker:silent", worker="w9", silent_ms=900),
    line(12.0, "entry-1", "leader:lost", leader="core-2", reason="silent"),
    line(13.0, "core-1", "run:end", task=f"{JOB}.0.0.0", outcome="gone"),
    line(60.0, "entry-1", "leader:lost", leader="core-1", reason="silent"),
]


def kinds(timeline):
    return [event.kind for event in timeline.events]


def test_timeline_is_sorted_and_includes_context_events():
    timeline = log_timeline.build_timeline(reversed(LOG), JOB)
    assert kinds(timeline) == [
        "job:stored",
        "run:start",
        "worker:silent",
        "leader:lost",
        "run:end",
    ]
    assert timeline.processes == ("core-1", "core-2", "entry-1")


def test_unreadable_lines_are_counted_and_skipped():
    unreadable = [LOG[0][:40], "Traceback (most recent call last):", "", "{}"]
    timeline = log_timeline.build_timeline(
        [*unreadable, f"  10.1 core-2 {LOG[1]}"], JOB
    )
    assert kinds(timeline) == ["run:start"]
    assert timeline.unreadable == 3
    assert timeline.lines()[-1] == "3 lines could not be read"


def test_refused_request_is_found_by_its_identifier():
    refused = line(1.0, "entry-1", "caller:refused", request=JOB, status=503)
    timeline = log_timeline.build_timeline([refused], JOB)
    assert timeline.lines()[0] == (
        f"+0.000 s entry-1 caller:refused request={JOB} status=503"
    )


def test_longer_identifier_is_another_job():
    other = line(1.0, "core-1", "run:end", task=f"{JOB}0.0.0.0")
    assert log_timeline.build_timeline([other], JOB).events == []


@pytest.mark.parametrize(
    ("identifier", "code"),
    [(JOB, exit_codes.OK), ("f" * 16, exit_codes.INVALID)],
)
def test_command_builds_the_timeline_from_several_files(
    tmp_path, capsys, identifier, code
):
    for name, lines in (("a", LOG[:4]), ("b", LOG[4:])):
        (tmp_path / name).write_text("\n".join(lines))
    files = f"{tmp_path}/a,{tmp_path}/b"
    arguments = ["explain", "--request", identifier, "--log", files]
    if code == exit_codes.OK:
        cli.main(arguments)
        assert "worker:silent" in capsys.readouterr().out
    else:
        with pytest.raises(SystemExit) as stop:
            cli.main(arguments)
        assert stop.value.code == exit_codes.INVALID


def test_missing_log_file_is_reported(capsys):
    with pytest.raises(SystemExit) as stop:
        cli.main(["explain", "--job", JOB, "--log", "/nowhere/log"])
    assert stop.value.code == exit_codes.USAGE
    assert "/nowhere/log" in capsys.readouterr().err
