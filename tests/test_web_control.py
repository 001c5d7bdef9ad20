"""Idle connections of the control client, which serves changing peers."""

import curio

from galenahook import web
from galenahook.web import control as control_lib
import scheduling_model

CONNECTIONS = 5
POLL = web.Request("POST", "/poll", [], b"{}")


class Peer:
    """A server that counts its open connections."""

    def __init__(self):
        self.server = web.Server(
            web.listen("127.0.0.1:0"), self.handle, web.Limits()
        )
        self.waiting = 0
        self.all_arrived = curio.Event()
        self.expected = 1

    async def handle(self, _request):
        """Replies once the expected number of requests has arrived."""
        self.waiting += 1
        if self.waiting >= self.expected:
            await self.all_arrived.set()
        await self.all_arrived.wait()
        return web.json_response({})

    async def connections(self, wanted):
        """Returns the number of open connections, soon to be `wanted`."""
        async with curio.ignore_after(2):
            while self.server.connections != wanted:
                await curio.sleep(0.005)
        return self.server.connections


async def started_peers(count):
    peers = [Peer() for _ in range(count)]
    for peer in peers:
        await curio.spawn(peer.server.run, daemon=True)
    return peers


async def poll(client, peer):
    return await client.send(peer.server.address, POLL, 2_000)


def test_connections_to_peers_that_were_replaced_do_not_stay_open():
    """A worker or replica that has gone dark never closes its end."""

    async def main():
        clock = scheduling_model.ManualClock()
        client = web.ControlClient(clock, [])
        *replaced, present = await started_peers(4)
        for peer in replaced:
            await poll(client, peer)
        clock.now_ms += control_lib.IDLE_TIMEOUT_MS + 1
        await poll(client, present)
        assert [await peer.connections(0) for peer in replaced] == [0, 0, 0]
        assert present.server.connections == 1
        await client.close()

    curio.run(main)


def test_connections_of_an_earlier_burst_do_not_stay_open():
    async def main():
        clock = scheduling_model.ManualClock()
        client = web.ControlClient(clock, [])
        (peer,) = await started_peers(1)
        peer.expected = CONNECTIONS
        burst = [
            await curio.spawn(poll, client, peer) for _ in range(CONNECTIONS)
        ]
        for task in burst:
            await task.join()
        assert peer.server.connections == CONNECTIONS
        for _ in range(4):
            clock.now_ms += control_lib.IDLE_TIMEOUT_MS // 3
            await poll(client, peer)
        assert await peer.connections(1) == 1
        await client.close()

    curio.run(main)


def test_connections_in_regular_use_stay_open():
    async def main():
        clock = scheduling_model.ManualClock()
        client = web.ControlClient(clock, [])
        peers = await started_peers(3)
        for _ in range(4):
            for peer in peers:
                await poll(client, peer)
            clock.now_ms += control_lib.IDLE_TIMEOUT_MS // 2
        assert [peer.waiting for peer in peers] == [4, 4, 4]
        assert [peer.server.connections for peer in peers] == [1, 1, 1]
        await client.close()

    curio.run(main)
