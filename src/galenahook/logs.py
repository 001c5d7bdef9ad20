"""Logs: eliot messages as JSON lines, written by a thread of their own.

A message carries `request`, `job` or `task` where there is one, so that it
can be followed through every process. The loop never waits for the file: what
doesn't fit into the bounded queue is dropped and counted.
"""

import atexit
import collections
import contextlib
import logging
import pathlib
import sys
import threading
from typing import Any

import eliot
import msgspec

MAX_QUEUED_LINES = 10_000
# Name of standard output in place of a file.
STANDARD_OUTPUT = "-"

_FLUSH_TIMEOUT_S = 2.0
_ENCODER = msgspec.json.Encoder(enc_hook=repr)


class LogWriter:
    """Destination of eliot's messages.

    Attributes:
      process: Name of the process, in each line.
      dropped: Lines dropped since the queue was full or the file failed.
    """

    def __init__(self, stream: Any, process: str) -> None:
        self.process = process
        self.dropped = 0
        self._stream = stream
        self._lines: collections.deque[bytes] = collections.deque()
        self._wakeup = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queues one message; called by eliot."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        line = _ENCODER.encode({"process": self.process, **message})
        self._lines.append(line + b"\n")
        self._wakeup.set()

    def close(self) -> None:
        """Writes what is queued, within a bounded time, and stops."""
        self._stopping = True
        self._wakeup.set()
        self._thread.join(_FLUSH_TIMEOUT_S)
        if self._stream not in (sys.stderr.buffer, sys.stdout.buffer):
            with contextlib.suppress(OSError):
                self._stream.close()

    def _run(self) -> None:
        while not (self._stopping and not self._lines):
            self._wakeup.wait()
            if not self._stopping:
                self._wakeup.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if not lines:
            return
        try:
            self._stream.write(b"".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            self.dropped += len(lines)


class _KernelHandler(logging.Handler):
    """Turns records of curio's kernel, such as crashed tasks, into messages."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one record."""
        warning("curio", text=logging.Formatter().format(record))


def start(process: str, log_file: str) -> LogWriter:
    """Sends every message from now on to a file, or to standard error.

    What is queued when the process exits is still written.

    Args:
      process: Name of the process, written into each line.
      log_file: File to append to; standard error if empty.

    Raises:
      OSError: The file can't be opened.
    """
    curio_logger = logging.getLogger("curio")
    curio_logger.handlers = [_KernelHandler()]
    curio_logger.propagate = False
    writer = LogWriter(_open(log_file), process)
    atexit.register(writer.close)
    eliot.add_destinations(writer)
    return writer


def _open(log_file: str) -> Any:
    if log_file == STANDARD_OUTPUT:
        return sys.stdout.buffer
    if not log_file:
        return sys.stderr.buffer
    return pathlib.Path(log_file).open("ab")


def stop(writer: LogWriter) -> None:
    """Writes what is queued and sends no further messages there."""
    with contextlib.suppress(ValueError):
        eliot.remove_destination(writer)
    writer.close()


def info(message_type: str, **fields: Any) -> None:
    """Logs one event.

    Args:
      message_type: What happened, as `subject:event`.
      **fields: Its details; `request`, `job` and `task` carry identifiers.
    """
    eliot.log_message(message_type, level="info", **fields)


def warning(message_type: str, **fields: Any) -> None:
    """Logs an event that an operator may have to look into."""
    eliot.log_message(message_type, level="warning", **fields)


def error(message_type: str, **fields: Any) -> None:
    """Logs a failure that the process can't mend by itself."""
    eliot.log_message(message_type, level="error", **fields)
