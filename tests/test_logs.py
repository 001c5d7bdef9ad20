"""Structured logs: JSON lines that never block the process."""

import json
import subprocess
import sys
import threading
import time

import eliot
import pytest

from galenahook import logs
from galenahook import web
from galenahook.callers import recent
import scheduling_model

MAX_US_PER_MESSAGE = 500


class _BlockingStream:
    """A stream whose writes block until it is released."""

    def __init__(self) -> None:
        self.released = threading.Event()
        self.entered = threading.Event()
        self.lines = 0
        self.written_by_caller = 0

    def write(self, data: bytes) -> None:
        if threading.current_thread() is threading.main_thread():
            self.written_by_caller += 1
            return
        self.entered.set()
        assert self.released.wait(10)
        self.lines += data.count(b"\n")

    def flush(self) -> None:
        pass

    def close(self) -> None:
        pass


@pytest.fixture(autouse=True)
def discard_buffered_messages():
    """Drops messages that eliot buffers until it has a destination."""
    eliot.add_destinations(_ignore)
    yield
    eliot.remove_destination(_ignore)


def _ignore(message):
    del message


@pytest.fixture
def log_file(tmp_path):
    return tmp_path / "log.jsonl"


def _lines(path):
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_messages_are_json_lines_with_process_and_identifier(log_file):
    writer = logs.start("entry-1", str(log_file))
    logs.info("caller:answered", request="ab12", status=200)
    logs.warning("odd", value=object(), text="é\n")
    logs.stop(writer)
    logs.info("after the end")
    first, second = _lines(log_file)
    assert first["process"] == "entry-1"
    assert first["message_type"] == "caller:answered"
    assert (first["request"], first["status"]) == ("ab12", 200)
    assert (second["level"], second["text"]) == ("warning", "é\n")


def test_restart_appends_to_the_log_file(log_file):
    for name in ("first", "second"):
        writer = logs.start(name, str(log_file))
        logs.info("started")
        logs.stop(writer)
    processes = [line["process"] for line in _lines(log_file)]
    assert processes == ["first", "second"]


def test_queued_lines_are_flushed_at_process_exit(log_file):
    script = (
        "import sys; from galenahook import logs\n"
        "logs.start('entry-1', sys.argv[1])\n"
        "[logs.info('last', index=index) for index in range(500)]"
    )
    subprocess.run([sys.executable, "-c", script, str(log_file)], check=True)
    assert [line["index"] for line in _lines(log_file)] == list(range(500))


def test_blocked_disk_does_not_block_logging_and_drops_are_counted():
    stream = _BlockingStream()
    writer = logs.LogWriter(stream, "entry-1")
    eliot.add_destinations(writer)
    try:
        logs.info("first")
        assert stream.entered.wait(5) and not stream.written_by_caller
        started = time.monotonic()
        for index in range(logs.MAX_QUEUED_LINES + 50):
            logs.info("many", index=index)
        elapsed_ms = 1_000 * (time.monotonic() - started)
    finally:
        stream.released.set()
        logs.stop(writer)
    assert elapsed_ms / logs.MAX_QUEUED_LINES < MAX_US_PER_MESSAGE / 1_000
    assert writer.dropped == 50
    report_lines = 1
    assert stream.lines == logs.MAX_QUEUED_LINES + 1 + report_lines


def test_dropped_lines_are_reported_once_the_log_is_written_again():
    stream = _BlockingStream()
    writer = logs.LogWriter(stream, "entry-1")
    eliot.add_destinations(writer)
    written = []
    try:
        logs.info("first")
        assert stream.entered.wait(5)
        stream.write = written.append
        for index in range(logs.MAX_QUEUED_LINES + 50):
            logs.info("many", index=index)
    finally:
        stream.released.set()
        logs.stop(writer)
    reports = [
        json.loads(line)
        for line in b"".join(written).splitlines()
        if b"log:dropped" in line
    ]
    assert [(item["process"], item["lines"]) for item in reports] == [
        ("entry-1", 50)
    ]


def test_requests_over_the_log_budget_are_counted_and_retention_is_bounded():
    clock = scheduling_model.ManualClock()
    requests = recent.RecentRequests(clock)
    lines = []
    eliot.add_destinations(lines.append)
    try:
        for index in range(recent.MAX_UNANSWERED + 1):
            response = web.refusal(503, "no slot")
            request = web.Request("GET", "/prices")
            requests.record(f"r{index}", request, response, "not-run", 3)
        clock.now_ms += 1_000
        success = web.Response(200)
        requests.record("late", request, success, "answered", 3)
    finally:
        eliot.remove_destination(lines.append)
    assert len(requests.unanswered) == recent.MAX_UNANSWERED
    assert not requests.explain("r0")
    assert requests.explain("r1")[1] == "no slot"
    assert not requests.explain("late")
    assert len(lines) == recent.MAX_LINES_PER_SECOND + 1
    assert lines[-1]["request"] == "late"
    logged = recent.MAX_LINES_PER_SECOND
    assert requests.unlogged_count == recent.MAX_UNANSWERED + 1 - logged


def test_failed_write_is_counted_and_raises_nothing(monkeypatch):
    stream = _BlockingStream()

    def fail_write(_: bytes) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(stream, "write", fail_write)
    writer = logs.LogWriter(stream, "entry-1")
    eliot.add_destinations(writer)
    logs.info("lost")
    logs.stop(writer)
    assert writer.dropped == 1


def test_writes_of_many_lines_contain_complete_lines_up_to_the_pipe_size():
    stream = _BlockingStream()
    writes = []
    stream.write = writes.append
    writer = logs.LogWriter(stream, "entry-1")
    lines = [b"x" * length + b"\n" for length in (1_500, 2_000, 900, 9_000, 5)]
    writer._queue.extend(lines)
    writer.close()
    assert writes == [lines[0] + lines[1], lines[2], lines[3], lines[4]]
