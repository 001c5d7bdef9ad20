"""One odd announcement or report ends no process and is not committed."""

import json

import pytest

import builders as build
from galenahook import commands
from galenahook import errors
from galenahook import json_input
from galenahook import messages
from galenahook import state as state_lib
import test_odd_input as odd_input


def numbers(document, path=()):
    """Returns the path of each number in a document."""
    if isinstance(document, dict):
        return [
            found
            for key, value in document.items()
            for found in numbers(value, (*path, key))
        ]
    if isinstance(document, list):
        return [
            found
            for index, value in enumerate(document)
            for found in numbers(value, (*path, index))
        ]
    is_number = isinstance(document, (int, float))
    return [path] if is_number and not isinstance(document, bool) else []


def worker_announcement():
    status = messages.AttemptStatus(
        task="job/plan/0", attempt=1, usage=build.resources()
    )
    return build.worker_announcement(attempts=(status,))


def executor_announcement():
    tail = messages.TailSample(count=5, p50_ms=1.5, p99_ms=9.5)
    return build.executor_announcement(tail=tail)


MESSAGES = [
    worker_announcement(),
    executor_announcement(),
    build.report(),
    build.report(outcome=messages.Failed(run_ms=5, reason="exited")),
]
CASES = [
    pytest.param(message, path, id=f"{type(message).__name__}-{path[-1]}")
    for message in MESSAGES
    for path in numbers(json.loads(messages.encode(message)))
]


@pytest.mark.parametrize(
    "number", [odd_input.HUGE, 2**64], ids=["huge", "2^64"]
)
@pytest.mark.parametrize(("message", "path"), CASES)
def test_a_number_out_of_range_is_rejected(message, path, number):
    document = json.loads(messages.encode(message))
    body = odd_input.insert(document, path, json.dumps(number).encode())
    with pytest.raises(errors.InvalidInputError):
        messages.decode(body, type(message))


def test_a_report_with_a_huge_run_time_ends_no_replica():
    state = state_lib.State()
    job = build.job(run_ms=300)
    state.apply(build.change(build.apply_sheet(jobs=(job,))))
    state.apply(build.start_attempts(build.attempt_start()))
    document = json.loads(messages.encode(build.report()))
    fragment = json.dumps(odd_input.HUGE).encode()
    body = odd_input.insert(document, ("outcome", "run_ms"), fragment)
    try:
        report = messages.decode(body, messages.AttemptReport)
    except errors.InvalidInputError:
        report = build.report()
    assert isinstance(report.outcome, messages.Completed)
    end = commands.AttemptEnd(
        task=report.task,
        attempt=report.attempt,
        outcome=commands.AttemptCompleted(run_ms=report.outcome.run_ms),
    )
    state.apply(build.end_attempts(end))
    assert state.tasks.records["job/plan/0"].phase.value == "done"


def test_numbers_in_range_are_accepted():
    for message in MESSAGES:
        encoded = messages.encode(message)
        assert messages.decode(encoded, type(message)) == message
    free = messages.Resources(-5, -5, -1)
    assert messages.decode(messages.encode(free), messages.Resources) == free


def test_a_number_out_of_range_in_a_sheet_is_a_finding():
    sheet = {"services": [{"resources": {"cores_milli": odd_input.HUGE}}]}
    result = json_input.decode(json.dumps(sheet).encode(), commands.Sheet)
    places = [finding.place for finding in result.error]
    assert "$.services[0].resources.cores_milli" in places
