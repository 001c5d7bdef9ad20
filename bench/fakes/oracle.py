"""Judges a run by what upstreams, callers and operators saw, nothing else.

Each function returns what broke its rule, as text; an empty list is a pass.
"""

from collections.abc import Iterable
import dataclasses

from fakes import caller as caller_lib
from fakes import events as events_lib
from galenahook import messages

_ENDS = ("stop", "expire", "complete", "fail", "die")
DEFAULT_BOUND_MS = 3_000


@dataclasses.dataclass(slots=True)
class Interval:
    """Time during which one attempt ran.

    Attributes:
      start: Its start.
      end_ms: When it last ran, or None while it may still run.
      end_kind: Kind of the event that ended it, or an empty string.
    """

    start: events_lib.Event
    end_ms: int | None = None
    end_kind: str = ""


@dataclasses.dataclass(slots=True)
class Outage:
    """An availability zone taken out by operators.

    Attributes:
      availability_zone: Its name.
      out_ms: When the change was acknowledged.
      in_ms: When its return was asked for, or None.
    """

    availability_zone: str
    out_ms: int
    in_ms: int | None = None


def intervals(
    events: Iterable[events_lib.Event], killed_ms: dict[str, int] | None = None
) -> list[Interval]:
    """Returns when each attempt ran.

    Args:
      events: Events of workers.
      killed_ms: When the process of a worker was killed, by incarnation.
    """
    killed_ms = killed_ms or {}
    running: dict[tuple[str, str, str, int], Interval] = {}
    for event in sorted(events, key=lambda event: event.at_ms):
        key = (event.upstream, event.incarnation, event.task, event.attempt)
        if event.kind == "start":
            running[key] = Interval(event, killed_ms.get(event.incarnation))
        elif event.kind in _ENDS and key in running:
            running[key].end_ms = min(event.ran_until_ms, event.at_ms)
            running[key].end_kind = event.kind
    return list(running.values())


def ran_twice_at_once(found: Iterable[Interval]) -> list[str]:
    """A task never runs in two places at once."""
    faults = []
    by_task: dict[str, list[Interval]] = {}
    for interval in found:
        by_task.setdefault(interval.start.task, []).append(interval)
    for task, attempts in by_task.items():
        attempts.sort(key=lambda interval: interval.start.at_ms)
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            end_ms = earlier.end_ms
            if end_ms is None or end_ms > later.start.at_ms:
                faults.append(
                    f"{task}: attempt {earlier.start.attempt} on"
                    f" {earlier.start.upstream} ran until {end_ms}, attempt"
                    f" {later.start.attempt} on {later.start.upstream}"
                    f" started at {later.start.at_ms}"
                )
    return faults


def overfilled(
    found: Iterable[Interval], capacity: messages.Resources
) -> list[str]:
    """No VM is given more than it holds."""
    steps: list[tuple[int, int, str, int, int]] = []
    for interval in found:
        start = interval.start
        steps.append(
            (start.at_ms, 1, start.vm, start.cores_milli, start.memory_mb)
        )
        if interval.end_ms is not None:
            steps.append(
                (
                    interval.end_ms,
                    0,
                    start.vm,
                    -start.cores_milli,
                    -start.memory_mb,
                )
            )
    faults = []
    cores: dict[str, int] = {}
    memory: dict[str, int] = {}
    for at_ms, _, vm, cores_milli, memory_mb in sorted(steps):
        cores[vm] = cores.get(vm, 0) + cores_milli
        memory[vm] = memory.get(vm, 0) + memory_mb
        if cores[vm] > capacity.cores_milli or memory[vm] > capacity.memory_mb:
            faults.append(
                f"{vm}: {cores[vm]} thousandths of a core and"
                f" {memory[vm]} MB given at {at_ms}"
            )
    return faults


def done_twice(events: Iterable[events_lib.Event]) -> list[str]:
    """The work of a task is accepted once.

    A run that completed is accepted when its report is acknowledged as
    current.
    """
    completed: set[tuple[str, int, str]] = set()
    accepted: dict[str, set[int]] = {}
    for event in sorted(events, key=lambda event: event.at_ms):
        key = (event.task, event.attempt, event.incarnation)
        if event.kind == "complete":
            completed.add(key)
        elif (
            event.kind == "acknowledge"
            and event.detail == "current"
            and key in completed
        ):
            accepted.setdefault(event.task, set()).add(event.attempt)
    return [
        f"{task}: accepted from attempts {sorted(attempts)}"
        for task, attempts in accepted.items()
        if len(attempts) > 1
    ]


def completed_twice(events: Iterable[events_lib.Event]) -> list[str]:
    """The work of a task is carried out to its end once.

    This holds while no worker dies between the end and its report.
    """
    count: dict[str, int] = {}
    for event in events:
        if event.kind == "complete":
            count[event.task] = count.get(event.task, 0) + 1
    return [
        f"{task}: completed {times} times"
        for task, times in count.items()
        if times > 1
    ]


def not_done(
    events: Iterable[events_lib.Event], tasks: Iterable[str]
) -> list[str]:
    """Every task's work was carried out and acknowledged."""
    done = {
        event.task
        for event in events
        if event.kind == "acknowledge" and event.detail == "current"
    }
    return [f"{task}: not done" for task in tasks if task not in done]


def resumed_wrongly(events: Iterable[events_lib.Event]) -> list[str]:
    """Evicted work resumes from its newest checkpoint, never an older one.

    A checkpoint whose answer was lost need not be known to the system, so a
    later start may quote any reference from the last one resumed on.
    """
    faults = []
    taken: dict[str, list[str]] = {}
    used: dict[str, int] = {}
    for event in sorted(events, key=lambda event: event.at_ms):
        references = taken.setdefault(event.task, [])
        if event.kind == "checkpoint":
            references.append(event.detail)
        elif event.kind == "start" and event.detail:
            if event.detail not in references:
                faults.append(f"{event.task}: unknown {event.detail}")
                continue
            index = references.index(event.detail)
            if index < used.get(event.task, 0):
                faults.append(f"{event.task}: back to {event.detail}")
            used[event.task] = index
        elif event.kind == "start" and used.get(event.task) is not None:
            faults.append(f"{event.task}: from the beginning again")
    return faults


def not_resumed_from_eviction(events: Iterable[events_lib.Event]) -> list[str]:
    """After a checkpoint and a stop, the next start quotes that checkpoint.

    Holds where no answer is lost.
    """
    faults = []
    last: dict[str, str] = {}
    expected: dict[str, str] = {}
    for event in sorted(events, key=lambda event: event.at_ms):
        if event.kind == "checkpoint":
            last[event.task] = event.detail
        elif event.kind == "stop" and event.task in last:
            expected[event.task] = last[event.task]
        elif event.kind == "start" and event.task in expected:
            wanted = expected.pop(event.task)
            if event.detail != wanted:
                faults.append(
                    f"{event.task}: resumed from {event.detail or 'nothing'},"
                    f" not {wanted}"
                )
    return faults


def started_in_outage(
    events: Iterable[events_lib.Event],
    outages: Iterable[Outage],
    bound_ms: int = DEFAULT_BOUND_MS,
) -> list[str]:
    """Nothing starts in an availability zone that has been out for long.

    That is neither a task nor a request.
    """
    faults = []
    outages = list(outages)
    for event in events:
        if event.kind not in ("start", "serve"):
            continue
        for outage in outages:
            if outage.availability_zone != event.availability_zone:
                continue
            late_ms = event.at_ms - outage.out_ms
            back = outage.in_ms is not None and event.at_ms >= outage.in_ms
            if late_ms > bound_ms and not back:
                faults.append(
                    f"{event.task or event.request}: started on"
                    f" {event.upstream} {late_ms} ms"
                    f" after {outage.availability_zone} went out"
                )
    return faults


def given_after_leaving(
    events: Iterable[events_lib.Event],
    leaving_ms: dict[str, int],
    bound_ms: int = DEFAULT_BOUND_MS,
) -> list[str]:
    """An upstream that is leaving gets nothing new after a few seconds.

    Args:
      events: Events of upstreams.
      leaving_ms: When an upstream first said so, by name.
      bound_ms: What a few seconds are.
    """
    return [
        f"{event.upstream}: {event.kind} {event.task}{event.request}"
        f" {event.at_ms - leaving_ms[event.upstream]} ms after leaving"
        for event in events
        if event.kind in ("start", "serve")
        and event.upstream in leaving_ms
        and event.at_ms - leaving_ms[event.upstream] > bound_ms
    ]


def wrong_answers(results: Iterable[caller_lib.Result]) -> list[str]:
    """Each caller gets the whole answer to its own request."""
    faults = []
    for result in results:
        if result.wrong:
            faults.append(f"{result.request}: got {result.body[:200]!r}")
        if result.outcome not in ("answered", "not-run", "unknown", "none"):
            faults.append(f"{result.request}: outcome {result.outcome!r}")
    return faults


def ran_though_refused(
    results: Iterable[caller_lib.Result], events: Iterable[events_lib.Event]
) -> list[str]:
    """What was said not to have run did not run."""
    served = {event.request for event in events if event.kind == "serve"}
    return [
        f"{result.request}: not-run with status {result.status}, but it ran"
        for result in results
        if result.outcome == "not-run" and result.request in served
    ]


def ran_more_than_once(events: Iterable[events_lib.Event]) -> list[str]:
    """A request that is not repeatable, and a key, run at most once.

    Args:
      events: Events of executors that only served such requests.
    """
    by_request: dict[str, int] = {}
    by_key: dict[str, int] = {}
    for event in events:
        if event.kind != "serve":
            continue
        by_request[event.request] = by_request.get(event.request, 0) + 1
        if event.detail:
            by_key[event.detail] = by_key.get(event.detail, 0) + 1
    counts = {**by_request, **{f"key {key}": n for key, n in by_key.items()}}
    return [f"{name}: ran {n} times" for name, n in counts.items() if n > 1]


def violations(events: Iterable[events_lib.Event]) -> list[str]:
    """No executor is given more requests or connections than it holds."""
    return [
        f"{event.upstream}: {event.detail}"
        for event in events
        if event.kind == "violation"
    ]


def reverted(seen: Iterable[tuple[str, int, int]]) -> list[str]:
    """No revision that was seen is followed by an older one.

    Args:
      seen: Place, time and revision of each sight, in order of time.
    """
    faults = []
    highest: dict[str, int] = {}
    for place, at_ms, revision in seen:
        if revision < highest.get(place, 0):
            faults.append(
                f"{place}: revision {revision} at {at_ms} after"
                f" {highest[place]}"
            )
        highest[place] = max(revision, highest.get(place, 0))
    return faults


def accepted_twice(accepted: Iterable[tuple[int, int]]) -> list[str]:
    """No two accepted changes have the same revision.

    Args:
      accepted: Time of the answer and revision of each change.
    """
    revisions = [revision for _, revision in accepted]
    return [
        f"revision {revision} was given to two changes"
        for revision in sorted(set(revisions))
        if revisions.count(revision) > 1
    ]
