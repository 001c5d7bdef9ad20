"""Events that the fakes record, and by which an oracle judges a run.

Times are of the machine's monotonic clock, which all its processes share, so
events of several processes can be ordered.
"""

from collections.abc import Iterable
import os
import pathlib

import msgspec

from galenahook import clock as clock_lib


class Event(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event at a fake worker or executor.

    Attributes:
      at_ms: Monotonic time.
      kind: `start`, `refuse`, `stop`, `expire`, `complete`, `fail`,
        `acknowledge`, `checkpoint`, `throttle`, `die`, `serve`, `answer`,
        `leave` or `violation`.
      upstream: Name of the worker or executor.
      incarnation: Incarnation of its process.
      vm: VM on which it runs.
      availability_zone: Availability zone of that VM.
      task: Task identifier, for workers.
      attempt: Attempt number, for workers.
      cores_milli: CPU reserved for the task, in thousandths of a core.
      memory_mb: Memory reserved for the task.
      ran_until_ms: When the attempt last made progress; a frozen process
        makes none.
      request: Identifier that the caller chose, for executors.
      detail: Checkpoint reference, reason or count.
    """

    at_ms: int
    kind: str
    upstream: str
    incarnation: str = ""
    vm: str = ""
    availability_zone: str = ""
    task: str = ""
    attempt: int = 0
    cores_milli: int = 0
    memory_mb: int = 0
    ran_until_ms: int = 0
    request: str = ""
    detail: str = ""


class EventLog:
    """Collects events in memory and, if a path is given, as JSON lines.

    Attributes:
      items: Events recorded through this object, in order.
    """

    __slots__ = ("_clock", "_file", "items")

    def __init__(self, path: str = "") -> None:
        self.items: list[Event] = []
        self._clock = clock_lib.Clock()
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644) if path else -1

    def add(self, kind: str, upstream: str, **fields: object) -> Event:
        """Records an event with the current time and returns it."""
        event = Event(
            at_ms=self._clock.monotonic_ms(),
            kind=kind,
            upstream=upstream,
            **fields,  # type: ignore[arg-type]
        )
        self.items.append(event)
        if self._file >= 0:
            os.write(self._file, msgspec.json.encode(event) + b"\n")
        return event

    def of_kind(self, *kinds: str) -> list[Event]:
        """Returns the events of these kinds."""
        return [event for event in self.items if event.kind in kinds]


def read(paths: Iterable[str]) -> list[Event]:
    """Reads events of several files, sorted by time."""
    events: list[Event] = []
    for path in paths:
        lines = pathlib.Path(path).read_bytes().split(b"\n")
        events += [msgspec.json.decode(line, type=Event) for line in lines[:-1]]
    return sorted(events, key=lambda event: event.at_ms)
