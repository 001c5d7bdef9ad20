"""Checks a run by what upstreams, callers and operators observed.

Each function checks one rule and returns its violations as texts.
"""

from collections.abc import Iterable
import dataclasses

from fakes import caller as caller_lib
from fakes import events as events_lib
from galenahook import messages

_END_KINDS = ("stop", "expire", "complete", "fail", "die")
TAKE_EFFECT_BOUND_MS = 3_000


@dataclasses.dataclass(slots=True)
class Interval:
    """Interval during which one attempt ran.

    Attributes:
      start: Event of its start.
      end_ms: When it last ran, or None while it may still run.
      end_kind: Kind of the event that ended it, or an empty string.
    """

    start: events_lib.Event
    end_ms: int | None = None
    end_kind: str = ""


@dataclasses.dataclass(slots=True)
class Outage:
    """Time during which an availability zone is out of service.

    Attributes:
      availability_zone: Its name.
      out_ms: When the change out of service was acknowledged.
      in_ms: When its return to service was requested, or None.
    """

    availability_zone: str
    out_ms: int
    in_ms: int | None = None


def intervals(
    events: Iterable[events_lib.Event], killed_ms: dict[str, int] | None = None
) -> list[Interval]:
    """Returns the interval of each attempt.

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
        elif event.kind in _END_KINDS and key in running:
            running[key].end_ms = min(event.ran_until_ms, event.at_ms)
            running[key].end_kind = event.kind
    return list(running.values())


def concurrent_attempts(found: Iterable[Interval]) -> list[str]:
    """A task never runs in two places at once."""
    failures = []
    by_task: dict[str, list[Interval]] = {}
    for interval in found:
        by_task.setdefault(interval.start.task, []).append(interval)
    for task, attempts in by_task.items():
        attempts.sort(key=lambda interval: interval.start.at_ms)
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            end_ms = earlier.end_ms
            if end_ms is None or end_ms > later.start.at_ms:
                failures.append(
                    f"{task}: attempt {earlier.start.attempt} on"
                    f" {earlier.start.upstream} ran until {end_ms}, attempt"
                    f" {later.start.attempt} on {later.start.upstream}"
                    f" started at {later.start.at_ms}"
                )
    return failures


def exceeded_capacity(
    found: Iterable[Interval], capacity: messages.Resources
) -> list[str]:
    """The reservations on a VM never exceed its capacity."""
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
    failures = []
    cores: dict[str, int] = {}
    memory: dict[str, int] = {}
    for at_ms, _, vm, cores_milli, memory_mb in sorted(steps):
        cores[vm] = cores.get(vm, 0) + cores_milli
        memory[vm] = memory.get(vm, 0) + memory_mb
        if cores[vm] > capacity.cores_milli or memory[vm] > capacity.memory_mb:
            failures.append(
                f"{vm}: {cores[vm]} thousandths of a core and"
                f" {memory[vm]} MB reserved at {at_ms}"
            )
    return failures


def completion_accepted_twice(events: Iterable[events_lib.Event]) -> list[str]:
    """The completion of a task is accepted at most once.

    An attempt that completed is accepted when its report is acknowledged as
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
    """A task completes at most once.

    This holds unless a worker dies between a completion and its report.
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
    """Every task has an end that was acknowledged as current."""
    done = {
        event.task
        for event in events
        if event.kind == "acknowledge" and event.detail == "current"
    }
    return [f"{task}: not done" for task in tasks if task not in done]


def resumed_from_older_checkpoint(
    events: Iterable[events_lib.Event],
) -> list[str]:
    """Tasks never resume from a checkpoint older than the last one used.

    The scheduler may not know a checkpoint whose reply was lost, so a later
    start may refer to any checkpoint since the last one that was resumed from.
    """
    failures = []
    taken: dict[str, list[str]] = {}
    last_used: dict[str, int] = {}
    for event in sorted(events, key=lambda event: event.at_ms):
        references = taken.setdefault(event.task, [])
        if event.kind == "checkpoint":
            references.append(event.detail)
        elif event.kind == "start" and event.detail:
            if event.detail not in references:
                failures.append(
                    f"{event.task}: unknown checkpoint {event.detail}"
                )
                continue
            index = references.index(event.detail)
            if index < last_used.get(event.task, 0):
                failures.append(
                    f"{event.task}: resumed from the older {event.detail}"
                )
            last_used[event.task] = index
        elif event.kind == "start" and last_used.get(event.task) is not None:
            failures.append(f"{event.task}: restarted without a checkpoint")
    return failures


def not_resumed_from_last_checkpoint(
    events: Iterable[events_lib.Event],
) -> list[str]:
    """After a checkpoint and a stop, the next start refers to that checkpoint.

    This holds while no reply is lost.
    """
    failures = []
    last: dict[str, str] = {}
    expected: dict[str, str] = {}
    for event in sorted(events, key=lambda event: event.at_ms):
        if event.kind == "checkpoint":
            last[event.task] = event.detail
        elif event.kind == "stop" and event.task in last:
            expected[event.task] = last[event.task]
        elif event.kind == "start" and event.task in expected:
            expected_reference = expected.pop(event.task)
            if event.detail != expected_reference:
                failures.append(
                    f"{event.task}: resumed from {event.detail or 'nothing'},"
                    f" not {expected_reference}"
                )
    return failures


def started_in_outage(
    events: Iterable[events_lib.Event],
    outages: Iterable[Outage],
    bound_ms: int = TAKE_EFFECT_BOUND_MS,
) -> list[str]:
    """Nothing starts in a zone that has been out of service for `bound_ms`.

    This holds for tasks and for requests.
    """
    failures = []
    outages = list(outages)
    for event in events:
        if event.kind not in ("start", "serve"):
            continue
        for outage in outages:
            if outage.availability_zone != event.availability_zone:
                continue
            late_ms = event.at_ms - outage.out_ms
            is_back_in_service = (
                outage.in_ms is not None and event.at_ms >= outage.in_ms
            )
            if late_ms > bound_ms and not is_back_in_service:
                failures.append(
                    f"{event.task or event.request}: started on"
                    f" {event.upstream} {late_ms} ms"
                    f" after {outage.availability_zone} went out of service"
                )
    return failures


def assigned_after_leaving(
    events: Iterable[events_lib.Event],
    leaving_ms: dict[str, int],
    bound_ms: int = TAKE_EFFECT_BOUND_MS,
) -> list[str]:
    """A leaving upstream gets no new task or request after `bound_ms`.

    Args:
      events: Events of upstreams.
      leaving_ms: When each upstream announced that it is leaving, by name.
      bound_ms: Time until the announcement must take effect.
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
    """Each caller gets the complete response to its own request."""
    failures = []
    for result in results:
        if result.wrong:
            failures.append(f"{result.request}: got {result.body[:200]!r}")
        if result.outcome not in ("answered", "not-run", "unknown", "none"):
            failures.append(f"{result.request}: outcome {result.outcome!r}")
    return failures


def ran_despite_not_run(
    results: Iterable[caller_lib.Result], events: Iterable[events_lib.Event]
) -> list[str]:
    """A request with the outcome `not-run` did not run."""
    served = {event.request for event in events if event.kind == "serve"}
    return [
        f"{result.request}: not-run with status {result.status}, but it ran"
        for result in results
        if result.outcome == "not-run" and result.request in served
    ]


def ran_more_than_once(events: Iterable[events_lib.Event]) -> list[str]:
    """Non-repeatable requests and idempotency keys run at most once.

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
    """No executor gets more requests or connections than it announces."""
    return [
        f"{event.upstream}: {event.detail}"
        for event in events
        if event.kind == "violation"
    ]


def decreased_revisions(observed: Iterable[tuple[str, int, int]]) -> list[str]:
    """No observed revision is followed by an older one.

    Args:
      observed: Place, time and revision of each observation, by time.
    """
    failures = []
    highest: dict[str, int] = {}
    for place, at_ms, revision in observed:
        if revision < highest.get(place, 0):
            failures.append(
                f"{place}: revision {revision} at {at_ms} after"
                f" {highest[place]}"
            )
        highest[place] = max(revision, highest.get(place, 0))
    return failures


def revision_assigned_twice(accepted: Iterable[tuple[int, int]]) -> list[str]:
    """No two accepted changes have the same revision.

    Args:
      accepted: Time of the reply and revision of each change.
    """
    revisions = [revision for _, revision in accepted]
    return [
        f"revision {revision} was assigned to several changes"
        for revision in sorted(set(revisions))
        if revisions.count(revision) > 1
    ]
