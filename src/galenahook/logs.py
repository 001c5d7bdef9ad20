"""Structured logs: eliot messages, written by a thread as JSON lines.

Messages carry `request`, `job` or `task` where one applies, so that it can be
traced through all processes. The event loop never blocks on the file: messages
that don't fit into the bounded queue are dropped, counted and reported by the
next line that is written.
"""

import atexit
import collections
import contextlib
import logging
import pathlib
import sys
import threading
import time
import traceback
from typing import Any

import eliot
import msgspec

MAX_QUEUED_LINES = 10_000
# Size of one write of several lines. A write to a pipe is atomic up to this
# size; readers may truncate a longer one.
MAX_WRITE_BYTES = 4_096
# Value of `log_file` that selects standard output.
STANDARD_OUTPUT = "-"

_FLUSH_TIMEOUT_S = 2.0
_ENCODER = msgspec.json.Encoder(enc_hook=repr)


class LogWriter:
    """An eliot destination that writes JSON lines from a background thread.

    Attributes:
      process: Name of the process, written into each line.
    """

    def __init__(self, stream: Any, process: str) -> None:
        self.process = process
        self._overflowed = 0
        self._unwritten = 0
        self._reported = 0
        self._stream = stream
        self._queue: collections.deque[bytes] = collections.deque()
        self._wakeup = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._write_until_stopped, daemon=True
        )
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Lines dropped because the queue was full or a write failed."""
        return self._overflowed + self._unwritten

    def __call__(self, message: dict[str, Any]) -> None:
        """Queues a message; called by eliot."""
        if len(self._queue) >= MAX_QUEUED_LINES:
            self._overflowed += 1
            return
        line = _ENCODER.encode({"process": self.process, **message})
        self._queue.append(line + b"\n")
        self._wakeup.set()

    def close(self) -> None:
        """Flushes the queue within a bounded time and stops the thread."""
        self._stopping = True
        self._wakeup.set()
        self._thread.join(_FLUSH_TIMEOUT_S)
        if self._stream not in (sys.stderr.buffer, sys.stdout.buffer):
            with contextlib.suppress(OSError):
                self._stream.close()

    def _write_until_stopped(self) -> None:
        while not (self._stopping and not self._queue):
            self._wakeup.wait()
            if not self._stopping:
                self._wakeup.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        lines = [self._queue.popleft() for _ in range(len(self._queue))]
        dropped = self.dropped
        if lines and dropped > self._reported:
            lines.append(self._encode_drop_report(dropped - self._reported))
            self._reported = dropped
        for group in _group_lines(lines):
            try:
                self._stream.write(b"".join(group))
                self._stream.flush()
            except (OSError, ValueError):
                self._unwritten += len(group)

    def _encode_drop_report(self, count: int) -> bytes:
        report = {
            "process": self.process,
            "timestamp": time.time(),
            "message_type": "log:dropped",
            "level": "warning",
            "lines": count,
        }
        return _ENCODER.encode(report) + b"\n"


def _group_lines(lines: list[bytes]) -> list[list[bytes]]:
    """Groups lines that one write may contain; a longer line is alone."""
    groups: list[list[bytes]] = []
    size = 0
    for line in lines:
        if not groups or size + len(line) > MAX_WRITE_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(line)
        size += len(line)
    return groups


class _CurioLogHandler(logging.Handler):
    """Logs records of curio's kernel, such as crashed tasks, as messages."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record of curio's logger."""
        warning("curio", text=logging.Formatter().format(record))


def start(process: str, log_file: str) -> LogWriter:
    """Starts writing every message to a file or standard stream.

    Messages still queued at the exit of the process are flushed.

    Args:
      process: Name of the process, written into each line.
      log_file: File to append to; standard error if empty, standard output if
        `STANDARD_OUTPUT`.

    Raises:
      OSError: The file can't be opened.
    """
    curio_logger = logging.getLogger("curio")
    curio_logger.handlers = [_CurioLogHandler()]
    curio_logger.propagate = False
    writer = LogWriter(_open_stream(log_file), process)
    atexit.register(writer.close)
    eliot.add_destinations(writer)
    return writer


def _open_stream(log_file: str) -> Any:
    if log_file == STANDARD_OUTPUT:
        return sys.stdout.buffer
    if not log_file:
        return sys.stderr.buffer
    return pathlib.Path(log_file).open("ab")


def stop(writer: LogWriter) -> None:
    """Detaches a writer from eliot, then flushes and closes it."""
    with contextlib.suppress(ValueError):
        eliot.remove_destination(writer)
    writer.close()


def info(message_type: str, **fields: Any) -> None:
    """Logs one event.

    Args:
      message_type: Name of the event, as `subject:event`.
      **fields: Details of the event; `request`, `job` and `task` are
        identifiers.
    """
    eliot.log_message(message_type, level="info", **fields)


def warning(message_type: str, **fields: Any) -> None:
    """Logs an event that an operator may need to investigate."""
    eliot.log_message(message_type, level="warning", **fields)


def error(message_type: str, **fields: Any) -> None:
    """Logs a failure that the process can't recover from on its own."""
    eliot.log_message(message_type, level="error", **fields)


def failure(message_type: str, failed_by: Exception, **fields: Any) -> None:
    """Logs an unexpected exception with its traceback."""
    error(
        message_type,
        reason=repr(failed_by),
        traceback="".join(traceback.format_exception(failed_by)),
        **fields,
    )
