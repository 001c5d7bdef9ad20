"""Fake workers that reply once asked which incarnation they are."""

import curio

from galenahook import errors
from galenahook.jobs import worker_api

TIMEOUT_S = 5.0


class AnnouncedClient(worker_api.WorkerClient):
    """A worker that replies to its first poll, as it was announced."""

    def __init__(self, heartbeat):
        self.heartbeat = heartbeat
        self.is_identified = False

    def require(self, _may_order):
        """Does nothing."""

    async def poll(self, *_arguments):
        """Replies once, without any run."""
        if self.is_identified:
            return await self.poll_again()
        self.is_identified = True
        return worker_api.PollReply(
            self.heartbeat.born_ms, self.heartbeat.clock_ms, [], [], True
        )

    async def poll_again(self):
        """Gets no reply."""
        raise errors.ExchangeError("no reply", sent=False)

    async def close(self):
        """Does nothing."""


async def until(condition):
    """Waits until a condition holds."""
    async with curio.timeout_after(TIMEOUT_S):
        while not condition():
            await curio.sleep(0)


async def join(dispatcher, heartbeat):
    """Sends a heartbeat; returns once its worker is established."""
    await dispatcher.handle_heartbeat(heartbeat)
    candidates = dispatcher.candidates.by_identity
    await until(lambda: heartbeat.identity not in candidates)


async def join_and_reply(dispatcher, heartbeat):
    """Sends a heartbeat; returns once its worker has replied to a poll."""
    await join(dispatcher, heartbeat)
    worker = dispatcher.links[heartbeat.worker].worker
    await until(lambda: worker.has_polled)
