"""The fakes follow the rules of INTERFACES.md for upstreams."""

import curio
import pytest

from fakes import caller as caller_lib
from fakes import executor as executor_lib
from fakes import site as site_lib
from fakes import worker as worker_lib
from galenahook import clock as clock_lib
from galenahook import messages
from galenahook import web

SIZE = messages.Resources(1_000, 512, 0)


class StubEntry:
    """Replies to announcements and reports as an entry does.

    Attributes:
      lease_ms: Lease granted by each reply.
      stop: Attempts that the next replies order to stop.
      reports: Reports received.
      last_announcement: Last announcement received.
    """

    def __init__(self) -> None:
        self.lease_ms = 8_000
        self.stop: tuple[messages.AttemptRef, ...] = ()
        self.reports: list[messages.AttemptReport] = []
        self.last_announcement: messages.WorkerAnnouncement | None = None
        self.server = web.Server(
            web.listen("127.0.0.1:0"), self.handle, web.Limits()
        )

    async def handle(self, request: web.Request) -> web.Response:
        if request.target == "/v1/report":
            report = messages.decode(request.body, messages.AttemptReport)
            self.reports.append(report)
            return web.json_response(messages.ReportReply(acknowledged=True))
        announcement = messages.decode(
            request.body,
            messages.WorkerAnnouncement | messages.ExecutorAnnouncement,
        )
        self.last_announcement = announcement
        reply = messages.AnnouncementReply(
            name=announcement.name,
            sequence=announcement.sequence,
            lease_ms=self.lease_ms,
            stop=self.stop,
        )
        return web.json_response(reply)


def order(worker, **changes):
    fields = {
        "task": "job/plan/0",
        "attempt": 1,
        "incarnation": worker.incarnation,
        "basis_sequence": 1,
        "ttl_ms": 2_000,
        "resources": SIZE,
        "command": "run_ms=100",
    }
    return messages.StartOrder(**{**fields, **changes})


async def post(worker, target, message, reply_type):
    client = web.ControlClient(clock_lib.Clock(), [])
    response = await client.post(worker.address, target, message)
    await client.close()
    return messages.decode(response.body, reply_type)


async def start(worker, **changes):
    message = order(worker, **changes)
    return await post(worker, "/v1/start", message, messages.StartReply)


def run_with_worker(script, lease_ms=8_000):
    async def main():
        stub = StubEntry()
        stub.lease_ms = lease_ms
        server = await curio.spawn(stub.server.run, daemon=True)
        worker = worker_lib.FakeWorker("w", [stub.server.address])
        running = await curio.spawn(worker.run)

        async def has_announced():
            return worker.lease_until_ms > 0 or lease_ms == 0

        await site_lib.wait_until(has_announced, 2_000, "no announcement")
        await curio.sleep(0.05)
        await script(stub, worker)
        await running.cancel()
        await server.cancel()
        await curio.sleep(0.05)

    curio.run(main)


def test_worker_runs_a_task_and_reports_its_end_until_acknowledged():
    async def script(stub, worker):
        assert (await start(worker)).accepted

        async def acknowledged():
            return bool(worker.events.of_kind("acknowledge"))

        await site_lib.wait_until(acknowledged, 2_000, "not acknowledged")
        kinds = [event.kind for event in worker.events.items]
        assert kinds == ["start", "complete", "acknowledge"]
        assert stub.reports[0].outcome == messages.Completed(run_ms=100) or (
            stub.reports[0].outcome.run_ms >= 100
        )

    run_with_worker(script)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"incarnation": "other"}, "another incarnation"),
        ({"ttl_ms": 1}, "time to live has expired"),
        ({"basis_sequence": 99}, "time to live has expired"),
        ({"attempt": 0}, "not above the highest attempt"),
    ],
)
def test_worker_refuses_an_outdated_start(changes, reason):
    async def script(stub, worker):
        del stub
        reply = await start(worker, **changes)
        assert (reply.accepted, reply.reason) == (False, reason)
        assert not worker.events.of_kind("start")

    run_with_worker(script)


def test_worker_accepts_a_resent_start_and_refuses_it_after_a_stop():
    async def script(stub, worker):
        del stub
        long = {"command": "run_ms=60000"}
        assert (await start(worker, **long)).accepted
        assert (await start(worker, **long)).accepted
        assert len(worker.events.of_kind("start")) == 1
        stop = messages.StopOrder(task="job/plan/0", attempt=1)
        reply = await post(worker, "/v1/stop", stop, messages.StopReply)
        assert reply.stopped and not worker.attempts
        assert not (await start(worker, **long)).accepted

    run_with_worker(script)


def test_worker_stops_all_attempts_when_its_lease_expires():
    async def script(stub, worker):
        assert (await start(worker, command="run_ms=60000")).accepted
        stub.lease_ms = 0

        async def expired():
            return bool(worker.events.of_kind("expire"))

        await site_lib.wait_until(expired, 3_000, "the lease did not expire")
        event = worker.events.of_kind("expire")[0]
        assert event.ran_until_ms <= worker.lease_until_ms
        assert not (await start(worker, attempt=2)).accepted

    run_with_worker(script, lease_ms=700)


def test_worker_resumes_from_a_checkpoint():
    async def script(stub, worker):
        del stub
        assert (await start(worker, command="run_ms=60000")).accepted
        await curio.sleep(0.1)
        request = messages.CheckpointOrder(task="job/plan/0", attempt=1)
        reply = await post(
            worker, "/v1/checkpoint", request, messages.CheckpointReply
        )
        done_ms = worker_lib.progress_of_reference(reply.reference)
        assert 60 <= done_ms <= 1_000
        stop = messages.StopOrder(task="job/plan/0", attempt=1)
        await post(worker, "/v1/stop", stop, messages.StopReply)
        long = {"command": "run_ms=60000"}
        await start(worker, attempt=2, checkpoint=reply.reference, **long)
        assert worker.attempts["job/plan/0"].done_ms >= done_ms

    run_with_worker(script)


def run_with_executor(script, **options):
    async def main():
        stub = StubEntry()
        server = await curio.spawn(stub.server.run, daemon=True)
        executor = executor_lib.FakeExecutor(
            "e", "prices", [stub.server.address], **options
        )
        running = await curio.spawn(executor.run)

        async def has_announced():
            return stub.last_announcement is not None

        await site_lib.wait_until(has_announced, 2_000, "no announcement")
        caller = caller_lib.FakeCaller([executor.address])
        await script(executor, caller)
        await caller.close()
        await running.cancel()
        await server.cancel()
        await curio.sleep(0.05)

    curio.run(main)


def test_executor_records_requests_beyond_its_slots():
    async def script(executor, caller):
        async with curio.TaskGroup() as group:
            for _ in range(3):
                await group.spawn(caller.send, "/prices/1")
        assert executor.max_busy == 3
        details = [event.detail for event in executor.violations()]
        assert "3 requests at once" in details

    run_with_executor(script, slots=2, service_ms=50.0)


@pytest.mark.parametrize("length", [0, 1, 10])
def test_executor_truncates_a_body_on_demand(length):
    async def script(executor, caller):
        executor.behaviour.truncate_body_after = length
        result = await caller.send("/prices/1")
        assert result.outcome == "none"

    run_with_executor(script)
