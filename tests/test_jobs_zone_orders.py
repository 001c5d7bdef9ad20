"""An operator's late order about a zone does not undo a later one."""

import socket

import curio
import pytest

from galenahook import clock as clock_lib
from galenahook import web
from galenahook.jobs import calls
from galenahook.jobs import zone_orders
from galenahook.operators import relay as relay_lib
from galenahook.platform import control
import test_jobs_leader

ZONE = "zone-a"
TIMEOUT_MS = 900


class Leader:
    """A leader that a listener calls, with pauses on the way.

    Attributes:
      leader: Handles the calls.
      calls: Types of the calls that it received.
      before: Called with each call before it is handled.
    """

    def __init__(self):
        self.leader = test_jobs_leader.make_leader()
        self.calls = []
        self.before = None

    async def call(self, call, _timeout_ms):
        if self.before is not None:
            await self.before(call)
        self.calls.append(type(call))
        return await self.leader.handle_call(call)

    def zones_out(self):
        return self.leader.node.state.site.current.zones_out

    async def set_zone(self, out, is_abandoned=lambda: False):
        order = calls.ZoneCall(availability_zone=ZONE, out=out)
        return await zone_orders.carry_out(
            order, self.call, is_abandoned, clock_lib.Clock(), TIMEOUT_MS
        )


def order_request(action):
    target = f"/galenahook/evacuate/{ZONE}/{action}"
    return f"POST {target} HTTP/1.1\r\nhost: x\r\n\r\n".encode()


async def order(address, action):
    """Sends an order and returns the status of the response."""
    connection = await web.connect(address)
    target = f"/galenahook/evacuate/{ZONE}/{action}"
    response = await connection.exchange(
        web.Request("POST", target, [], b""), TIMEOUT_MS
    )
    await connection.close()
    return response.status


def test_an_order_that_was_read_late_does_not_undo_a_later_one():
    """Guards against orders that lay in the socket of a frozen replica."""

    async def main():
        leader = Leader()
        sockets = [web.listen("127.0.0.1:0") for _ in range(2)]
        frozen, running = (
            web.Server(
                sock,
                control.ControlListener(leader.call, clock_lib.Clock()).handle,
                web.CONTROL_LIMITS,
            )
            for sock in sockets
        )
        task = await curio.spawn(running.run)
        with socket.create_connection(sockets[0].getsockname()) as late:
            late.sendall(order_request("finish"))
        assert await order(running.address, "finish") == 200
        assert await order(running.address, "start") == 200
        woken = await curio.spawn(frozen.run)
        await curio.sleep(0.5)
        assert leader.zones_out() == (ZONE,)
        await task.cancel()
        await woken.cancel()

    curio.run(main)


def test_an_order_that_reaches_the_leader_late_does_not_undo_a_later_one():
    """Guards against orders that are held up between two replicas."""

    async def main():
        leader = Leader()
        released = curio.Event()

        async def hold_first_order(call):
            if isinstance(call, calls.ZoneCall):
                leader.before = None
                await released.wait()

        leader.before = hold_first_order
        late = await curio.spawn(leader.set_zone, False)
        await curio.sleep(0.2)
        assert (await leader.set_zone(False)).outcome == "done"
        assert (await leader.set_zone(True)).outcome == "done"
        assert leader.zones_out() == (ZONE,)
        # By now its operator has given up.
        await curio.sleep(TIMEOUT_MS / 1000)
        await released.set()
        with pytest.raises(curio.TaskError) as raised:
            await late.join()
        assert isinstance(
            raised.value.__cause__, zone_orders.AbandonedOrderError
        )
        assert leader.zones_out() == (ZONE,)

    curio.run(main)


def test_a_ticket_of_an_earlier_term_is_outdated():
    """Guards against an order that waits for the election of a leader."""

    async def main():
        before, after = Leader(), Leader()
        ticket = (
            await before.call(
                calls.ZoneTicketCall(availability_zone=ZONE), TIMEOUT_MS
            )
        ).ticket
        order = calls.ZoneCall(availability_zone=ZONE, out=True, ticket=ticket)
        assert (await after.call(order, TIMEOUT_MS)).outcome == "outdated"
        assert after.zones_out() == ()

    curio.run(main)


def test_an_order_is_not_sent_once_its_replica_was_frozen_for_too_long():
    """Guards against a freeze between the ticket and the order."""

    async def main():
        leader = Leader()

        async def freeze(_call):
            await curio.sleep((TIMEOUT_MS + 100) / 1000)

        leader.before = freeze
        with pytest.raises(zone_orders.AbandonedOrderError):
            await leader.set_zone(True)
        assert leader.calls == [calls.ZoneTicketCall]

    curio.run(main)


def test_two_operators_orders_are_both_acknowledged():
    async def main():
        leader = Leader()
        async with curio.TaskGroup() as group:
            for out in (True, False, True):
                await group.spawn(leader.set_zone, out)
        assert [reply.outcome for reply in group.results] == ["done"] * 3

    curio.run(main)


def test_a_change_is_not_relayed_once_its_operator_is_gone(tmp_path):
    """Guards against changes that lay in the socket of a frozen entry."""
    tokens = tmp_path / "tokens.json"
    tokens.write_text('{"ana": "token-of-ana-0123456789abcdef"}')
    sent = []

    class LeaderClient:
        async def send(self, request, _timeout_ms):
            sent.append(request)
            return web.Response(200)

    relay = relay_lib.OperatorRelay(
        LeaderClient(), str(tokens), clock_lib.Clock()
    )
    request = web.Request(
        "POST",
        "/v1/changes",
        [(b"authorization", b"Bearer token-of-ana-0123456789abcdef")],
        b"{}",
        is_abandoned=lambda: True,
    )
    assert curio.run(relay.handle, request).status == 503
    assert sent == []
    request.is_abandoned = lambda: False
    assert curio.run(relay.handle, request).status == 200
    assert len(sent) == 1
