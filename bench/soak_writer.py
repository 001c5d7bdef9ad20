"""Another writer, whose announcements and notices name workers in use.

What it sends lacks fields or has some of another type, names an unknown service
or state, can't be read, or claims a worker's VM, identifier or end. None of it
may change anything for the workers.
"""

import json
import random
import time
from typing import Any

import curio

from fakes import platform_worker
from galenahook import clock as clock_lib
from galenahook import web

# Nothing listens there.
_UNUSED_ADDRESS = "127.0.0.1:1"
_TIMEOUT_MS = 500

Body = dict[str, Any]


class OtherWriter:
    """Sends odd announcements beside those of workers.

    Attributes:
      sent: Number of messages sent.
    """

    def __init__(self, controls: list[str], rng: random.Random) -> None:
        self.sent = 0
        self._controls = controls
        self._random = rng
        self._client = web.ControlClient(clock_lib.Clock(), [])

    async def write(self, worker: platform_worker.PlatformWorker) -> None:
        """Sends one message that names a worker, to each replica."""
        target, body = self._random.choice(
            (self._announce_vm, self._announce_name, self._deform, self._leave)
        )(worker)
        data = json.dumps(body).encode()
        if self._random.random() < 0.1:
            data = self._random.randbytes(len(data))
        self.sent += 1
        for control in self._controls:
            await curio.spawn(self._send, control, target, data, daemon=True)

    async def _send(self, control: str, target: str, data: bytes) -> None:
        request = web.Request("POST", target, [], data)
        try:
            await self._client.send(control, request, _TIMEOUT_MS)
        except Exception:  # The replica may be down.
            return

    def _born_ms(self) -> int:
        """Returns a start in the past, now or in the future."""
        now_ms = time.time_ns() // 1_000_000
        return now_ms + self._random.choice((-60_000, 0, 10**9))

    def _service(self, worker: platform_worker.PlatformWorker) -> str:
        return self._random.choice(("another-writers-service", worker.service))

    def _announce_vm(
        self, worker: platform_worker.PlatformWorker
    ) -> tuple[str, Body]:
        """Announces another worker on the VM of a worker."""
        body = worker.heartbeat_body() | {
            "address": self._random.choice((_UNUSED_ADDRESS, worker.address)),
            "backend": self._service(worker),
            "born": self._born_ms(),
        }
        name = f"other-{self._random.randrange(3)}"
        return platform_worker.heartbeat_target(name), body

    def _announce_name(
        self, worker: platform_worker.PlatformWorker
    ) -> tuple[str, Body]:
        """Announces another incarnation of a worker."""
        body = worker.heartbeat_body() | {
            "address": self._random.choice((_UNUSED_ADDRESS, worker.address)),
            "backend": self._service(worker),
            "born": self._born_ms(),
            "seq": self._random.choice((0, 10**6)),
            "state": self._random.choice(("ready", "draining", "asleep")),
        }
        return platform_worker.heartbeat_target(worker.name), body

    def _deform(
        self, worker: platform_worker.PlatformWorker
    ) -> tuple[str, Body]:
        """Announces a worker without a field, or with one of another type."""
        body = worker.heartbeat_body()
        field = self._random.choice(list(body))
        del body[field]
        if self._random.random() < 0.5:
            body[field] = self._random.choice((None, {}, -1, True, 1.5))
        return platform_worker.heartbeat_target(worker.name), body

    def _leave(
        self, worker: platform_worker.PlatformWorker
    ) -> tuple[str, Body]:
        """Announces the end of a worker."""
        bodies: tuple[Body, ...] = (
            {},
            {"born": worker.born_ms},
            {"born": self._born_ms()},
        )
        target = f"/galenahook/instances/{worker.name}/deregister"
        return target, self._random.choice(bodies)
