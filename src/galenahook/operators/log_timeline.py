"""Builds the timeline of a request or job from logs of several processes."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Any

import msgspec

# Events without a request that may explain what happened to one.
_CONTEXT_KINDS = frozenset(
    (
        "entry:draining",
        "leader:elected",
        "leader:ended",
        "leader:found",
        "leader:lost",
        "round:failed",
        "site:changed",
        "zone:changed",
    )
)
_WORKER_CONTEXT_KINDS = frozenset(
    ("worker:silent", "worker:joined", "worker:left")
)
# Fields that every line has, or that are shown apart from the details.
_OMITTED_FIELDS = frozenset(
    (
        "job",
        "level",
        "message_type",
        "process",
        "task_level",
        "task_uuid",
        "timestamp",
    )
)
# Other events are shown this long before and after the request's own.
CONTEXT_WINDOW_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One line of a log.

    Attributes:
      at_s: Wall time, Unix seconds.
      process: Name of the process.
      kind: Type of the event, as `subject:event`.
      fields: All fields of the line.
    """

    at_s: float
    process: str
    kind: str
    fields: dict[str, Any]

    def is_about(self, identifier: str) -> bool:
        """Returns whether the line is about a request, a job or its tasks."""
        fields = self.fields
        return (
            fields.get("request") == identifier
            or fields.get("job") == identifier
            or str(fields.get("task", "")).startswith(f"{identifier}.")
        )


@dataclasses.dataclass(slots=True)
class Timeline:
    """Logged events of one request or job.

    Attributes:
      events: Its events and those that may explain them, in order of time.
      unreadable: Number of lines that could not be parsed, such as truncated
        ones.
      processes: Names of all processes that wrote a line.
    """

    events: list[Event]
    unreadable: int
    processes: tuple[str, ...]

    def lines(self) -> list[str]:
        """Returns the timeline as text, one line for each event."""
        if not self.events:
            return []
        first_s = self.events[0].at_s
        lines = [
            _format_event(event, event.at_s - first_s) for event in self.events
        ]
        lines.append(f"processes in these logs: {', '.join(self.processes)}")
        if self.unreadable:
            lines.append(f"{self.unreadable} lines could not be read")
        return lines


def _format_event(event: Event, after_s: float) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in event.fields.items()
        if name not in _OMITTED_FIELDS
    )
    return f"+{after_s:.3f} s {event.process} {event.kind} {details}".rstrip()


def build_timeline(texts: Iterable[str], identifier: str) -> Timeline:
    """Returns the timeline of a request or job.

    Args:
      texts: Lines of all logs, in any order; any text before the JSON of a
        line is ignored.
      identifier: Identifier of the request, or of the job.
    """
    events: list[Event] = []
    unreadable = 0
    for text in texts:
        if not text.strip():
            continue
        event = _parse_event(text)
        if event is None:
            unreadable += 1
        else:
            events.append(event)
    own = [event for event in events if event.is_about(identifier)]
    timeline = sorted(
        _with_context(events, own, identifier), key=lambda e: e.at_s
    )
    processes = tuple(sorted({event.process for event in events}))
    return Timeline(timeline, unreadable, processes)


def _parse_event(text: str) -> Event | None:
    try:
        fields = msgspec.json.decode(text[text.index("{") :])
        return Event(
            at_s=float(fields["timestamp"]),
            process=str(fields["process"]),
            kind=str(fields["message_type"]),
            fields=fields,
        )
    except (ValueError, KeyError, TypeError, msgspec.DecodeError):
        return None


def _with_context(
    events: list[Event], own: list[Event], identifier: str
) -> Iterator[Event]:
    if not own:
        return
    first_s = min(event.at_s for event in own) - CONTEXT_WINDOW_S
    last_s = max(event.at_s for event in own) + CONTEXT_WINDOW_S
    workers = {event.fields.get("worker") for event in own}
    for event in events:
        if event.is_about(identifier):
            yield event
        elif first_s <= event.at_s <= last_s:
            is_worker_event = event.kind in _WORKER_CONTEXT_KINDS
            if event.kind in _CONTEXT_KINDS or (
                is_worker_event and event.fields.get("worker") in workers
            ):
                yield event
