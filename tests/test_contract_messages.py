"""Wire format of the messages that workers and executors implement."""

import msgspec
import pytest

import builders
from galenahook import errors
from galenahook import messages

STATUS = messages.AttemptStatus(
    task="job/plan/0",
    attempt=2,
    usage=builders.resources(1_500, 2_000),
    sample_age_ms=900,
    throttle_percent=50,
    progress_percent=40,
)
TAIL = messages.TailSample(count=120, p50_ms=8.5, p99_ms=31.0)
MESSAGES = {
    "worker": builders.worker_announcement(attempts=(STATUS,)),
    "executor": builders.executor_announcement(busy_slots=3, tail=TAIL),
    "announcement reply": messages.AnnouncementReply(
        name="worker-1",
        sequence=7,
        lease_ms=8_000,
        stop=(messages.AttemptRef(task="job/plan/1", attempt=3),),
    ),
    "start": builders.start_order(checkpoint="ref-1"),
    "start reply": messages.StartReply(accepted=False, reason="no lease"),
    "checkpoint": messages.CheckpointOrder(task="job/plan/0", attempt=1),
    "checkpoint reply": messages.CheckpointReply(reference="ref-1"),
    "throttle": messages.ThrottleOrder(
        task="job/plan/0", attempt=1, percent=25
    ),
    "throttle reply": messages.ThrottleReply(applied=True),
    "stop": messages.StopOrder(task="job/plan/0", attempt=1),
    "stop reply": messages.StopReply(stopped=True),
    "completed": builders.report(),
    "failed": builders.report(
        outcome=messages.Failed(run_ms=20, reason="exit status 1")
    ),
    "report reply": messages.ReportReply(acknowledged=True),
    "refusal": messages.Refusal(reason="no quorum"),
}


@pytest.mark.parametrize("name", list(MESSAGES))
def test_wire_form(name, snapshot):
    data = messages.encode(MESSAGES[name])
    assert msgspec.json.format(data).decode() == snapshot
    assert messages.decode(data, type(MESSAGES[name])) == MESSAGES[name]


@pytest.mark.parametrize("name", list(MESSAGES))
def test_error_names_the_unknown_field(name):
    fields = msgspec.json.decode(messages.encode(MESSAGES[name]))
    fields["surprise"] = 1
    with pytest.raises(errors.InvalidInputError) as caught:
        messages.decode(msgspec.json.encode(fields), type(MESSAGES[name]))
    assert "surprise" in str(caught.value)


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b"null", b"\xff", b"[" * 100_000, b"{}"]
)
def test_malformed_message_is_rejected(data):
    with pytest.raises(errors.InvalidInputError):
        messages.decode(data, messages.StartOrder)
