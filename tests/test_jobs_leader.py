"""Calls of callers, answered by the leader."""

import curio
import pytest

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import job_metrics
from galenahook import state as state_lib
from galenahook import web
from galenahook.jobs import calls
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import gateway as gateway_lib
from galenahook.jobs import leader as leader_lib
from galenahook.platform import callers
from galenahook.platform import control
import job_builders as build

PATH = f"/quotes/{build.JOB}"
ORDER = calls.JobOrder(spec="spec", steps=(build.step(),))


class SlowNode:
    """A replica that leads and commits commands in order after a delay."""

    def __init__(self):
        self.state = state_lib.State()
        self.state.apply(build.put_site())

    def term(self):
        return 7

    def has_valid_lease(self):
        return True

    def is_leader(self):
        return True

    async def submit(self, command):
        await curio.sleep(0.05)
        return self.state.apply(command)


class OverloadedNode(SlowNode):
    """A replica that rejects every command."""

    async def submit(self, _command):
        raise errors.OverloadedError("too many commands wait")


def make_leader(node=None):
    node = node or SlowNode()
    clock = clock_lib.Clock()
    dispatcher = dispatcher_lib.Dispatcher(
        node, clock, None, 3_000, job_metrics.JobMetrics()
    )
    return leader_lib.JobLeader(node, clock, dispatcher)


def submit_call():
    return calls.SubmitJobCall(host="desk.example", path=PATH, order=ORDER)


def cancel_call():
    return calls.CancelJobCall(host="desk.example", path=PATH)


def state_call():
    return calls.JobStateCall(host="desk.example", path=PATH)


def test_a_job_cancelled_during_its_submission_is_cancelled():
    async def main():
        leader = make_leader()
        submission = await curio.spawn(leader.handle_call, submit_call())
        await curio.sleep(0.01)
        cancelled = await leader.handle_call(cancel_call())
        assert cancelled.outcome == "cancelled"
        assert (await submission.join()).outcome == "stored"
        reply = await leader.handle_call(state_call())
        assert reply.state == "cancelled"

    curio.run(main)


def test_a_submission_that_arrives_after_the_cancellation_starts_nothing():
    async def main():
        leader = make_leader()
        for call, outcome in (
            (cancel_call(), "unknown-job"),
            (state_call(), "unknown-job"),
            (submit_call(), "stored"),
            (submit_call(), "stored"),
        ):
            assert (await leader.handle_call(call)).outcome == outcome
        reply = await leader.handle_call(state_call())
        assert reply.state == "cancelled"
        assert leader.node.state.jobs.open == {}

    curio.run(main)


@pytest.mark.parametrize("out", [True, False])
def test_an_acknowledged_zone_order_outlasts_one_that_was_under_way(out):
    async def main():
        leader = make_leader()

        async def set_zone(out):
            ticket_call = calls.ZoneTicketCall(availability_zone="zone-a")
            ticket = (await leader.handle_call(ticket_call)).ticket
            return await leader.handle_call(
                calls.ZoneCall(
                    availability_zone="zone-a", out=out, ticket=ticket
                )
            )

        await set_zone(not out)
        under_way = await curio.spawn(set_zone, out)
        await curio.sleep(0.01)
        assert (await set_zone(not out)).outcome == "done"
        await under_way.join()
        zones_out = leader.node.state.site.current.zones_out
        assert ("zone-a" in zones_out) is not out

    curio.run(main)


class LocalGateway:
    """Passes calls to a leader and retries as the gateway of an entry does."""

    def __init__(self, leader):
        self.leader = leader

    async def call(self, call, timeout_ms):
        try:
            return await self.leader.handle_call(call)
        except errors.NoQuorumError as error:
            await curio.sleep(clock_lib.seconds(timeout_ms))
            raise gateway_lib.UnansweredError(str(error), True) from error


def call_overloaded(method):
    listener = callers.CallerListener(
        LocalGateway(make_leader(OverloadedNode())),
        clock_lib.Clock(),
        job_metrics.JobMetrics(),
        "zone-a",
    )
    request = web.Request(
        method,
        PATH,
        [(b"host", b"desk.example"), (b"x-deadline-ms", b"200")],
        b'{"spec": "s", "steps": [{"count": 1}]}',
    )
    return curio.run(listener.handle, request)


def test_an_overloaded_leader_refuses_a_submission_at_once():
    response = call_overloaded("POST")
    assert response.status == 429
    assert (b"retry-after", b"1") in response.headers


def test_a_cancellation_is_not_refused_by_an_overloaded_leader():
    """Callers repeat it after 504 only, and the job must not run on."""
    assert call_overloaded("DELETE").status == 504


@pytest.mark.parametrize("action", ["start", "finish"])
def test_an_overloaded_leader_does_not_acknowledge_a_zone_order(action):
    leader = make_leader(OverloadedNode())

    async def call_leader(call, _timeout_ms):
        return await leader.handle_call(call)

    listener = control.ControlListener(call_leader, clock_lib.Clock())
    request = web.Request("POST", f"/galenahook/evacuate/zone-a/{action}", [])
    response = curio.run(listener.handle, request)
    assert response.status == 503
    assert (b"retry-after", b"1") in response.headers
