"""The story of one request or job, from the log lines of several processes."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Any

import msgspec

# Lines that touch no request but explain what happened to it meanwhile.
_CONTEXT = frozenset(
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
_WORKER_CONTEXT = frozenset(("worker:silent", "worker:joined", "worker:left"))
# Fields that every line has, or that are told apart from the rest.
_COMMON = frozenset(
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
# Time around the request's own lines for which others are shown.
CONTEXT_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One line of a log.

    Attributes:
      at_s: Wall time, Unix seconds.
      process: Name of the process.
      kind: What happened, as `subject:event`.
      fields: Its details.
    """

    at_s: float
    process: str
    kind: str
    fields: dict[str, Any]

    def is_about(self, identifier: str) -> bool:
        """Whether the line is about a request, a job or one of its tasks."""
        fields = self.fields
        return (
            fields.get("request") == identifier
            or fields.get("job") == identifier
            or str(fields.get("task", "")).startswith(f"{identifier}.")
        )


@dataclasses.dataclass(slots=True)
class Story:
    """What the logs say of one request or job.

    Attributes:
      events: Its lines and those that explain them, in order of time.
      unreadable: Lines that could not be read, such as torn ones.
      processes: Processes that wrote any line.
    """

    events: list[Event]
    unreadable: int
    processes: tuple[str, ...]

    def lines(self) -> list[str]:
        """Returns the story as text, a line an event."""
        if not self.events:
            return []
        first_s = self.events[0].at_s
        told = [_line(event, event.at_s - first_s) for event in self.events]
        told.append(f"processes in these logs: {', '.join(self.processes)}")
        if self.unreadable:
            told.append(f"{self.unreadable} lines could not be read")
        return told


def _line(event: Event, after_s: float) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in event.fields.items()
        if name not in _COMMON
    )
    return f"+{after_s:.3f} s {event.process} {event.kind} {details}".rstrip()


def tell(texts: Iterable[str], identifier: str) -> Story:
    """Returns the story of a request or job.

    Args:
      texts: Lines of all logs, in any order; what stands before the JSON of a
        line is ignored.
      identifier: Identifier of the request, or of the job.
    """
    events: list[Event] = []
    unreadable = 0
    for text in texts:
        if not text.strip():
            continue
        event = _event(text)
        if event is None:
            unreadable += 1
        else:
            events.append(event)
    own = [event for event in events if event.is_about(identifier)]
    told = sorted(_with_context(events, own, identifier), key=lambda e: e.at_s)
    processes = tuple(sorted({event.process for event in events}))
    return Story(told, unreadable, processes)


def _event(text: str) -> Event | None:
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
    first_s = min(event.at_s for event in own) - CONTEXT_S
    last_s = max(event.at_s for event in own) + CONTEXT_S
    workers = {event.fields.get("worker") for event in own}
    for event in events:
        if event.is_about(identifier):
            yield event
        elif first_s <= event.at_s <= last_s:
            is_of_worker = event.kind in _WORKER_CONTEXT
            if event.kind in _CONTEXT or (
                is_of_worker and event.fields.get("worker") in workers
            ):
                yield event
