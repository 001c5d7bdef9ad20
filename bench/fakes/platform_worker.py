"""A fake worker of the platform that follows its published protocol.

It runs tasks as timers, keeps leases by its own clock and reports ends until
they are acknowledged. Tests can make it refuse starts or withhold replies.
"""

import dataclasses
import json
import time
from typing import Any

import curio

from galenahook import clock as clock_lib
from galenahook import web

_STEP_MS = 10


@dataclasses.dataclass(slots=True)
class Task:
    """A running task.

    Attributes:
      run: Number of the run.
      left_ms: Remaining work; below 0 for a task without an end.
      total_ms: Total work.
    """

    run: int
    left_ms: float
    total_ms: float


class PlatformWorker:
    """One incarnation of a worker.

    Attributes:
      running: Running tasks by name.
      finished: Rows of ends that have not been acknowledged.
      highest: Highest run that was stopped or has ended, by task.
      started: Task and run of each start that was carried out.
      refuse_starts: Reason for refusing starts; empty to accept them.
      withhold_replies: Whether orders are carried out without a reply.
    """

    def __init__(
        self, name: str, service: str = "desk", zone: str = "zone-a"
    ) -> None:
        self.name = name
        self.born_ms = time.time_ns() // 1_000_000
        self.service = service
        self.zone = zone
        self.running: dict[str, Task] = {}
        self.finished: list[list[Any]] = []
        self.highest: dict[str, int] = {}
        self.started: list[tuple[str, int]] = []
        self.refuse_starts = ""
        self.withhold_replies = False
        self.state = "ready"
        self._work_ms: dict[str, float] = {}
        self._end_count = 0
        self._term = 0
        self._sequence = 0
        self._deadline_ms = 0
        self._clock = clock_lib.Clock()
        self._server = web.Server(
            web.listen("127.0.0.1:0"), self.handle, web.CONTROL_LIMITS
        )

    @property
    def address(self) -> str:
        """Address at which it listens."""
        return self._server.address

    def clock_ms(self) -> int:
        """Returns the time of its monotonic clock."""
        return self._clock.monotonic_ms()

    async def run(self, controls: list[str]) -> None:
        """Serves orders, runs tasks and sends heartbeats until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._server.run)
            await group.spawn(self._run_tasks)
            await group.spawn(self._send_heartbeats, controls)

    async def _send_heartbeats(self, controls: list[str]) -> None:
        client = web.ControlClient(self._clock, [])
        while True:
            for control in controls:
                if await self._send_heartbeat(client, control):
                    break
            await curio.sleep(0.2)

    async def _send_heartbeat(
        self, client: web.ControlClient, control: str
    ) -> bool:
        self._sequence += 1
        body = {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "state": self.state,
            "seq": self._sequence,
            "capacity": {"cpu": 8000, "mem_mb": 32000, "gpu": 0},
            "labels": ["a", "r1"],
            "machine": f"m-{self.name}",
            "born": self.born_ms,
            "clock_ms": self.clock_ms(),
            "drain_remaining_ms": 1000,
        }
        target = f"/galenahook/instances/{self.name}/heartbeat"
        try:
            response = await client.post(control, target, body, 900)
        except Exception:  # The next control address is tried.
            return False
        return response.status == 200

    async def _run_tasks(self) -> None:
        while True:
            await curio.sleep(_STEP_MS / 1000)
            is_lease_expired = self.clock_ms() > self._deadline_ms
            for name, task in list(self.running.items()):
                if is_lease_expired:
                    self._end(name, "lapsed")
                elif task.left_ms >= 0:
                    task.left_ms -= _STEP_MS
                    if task.left_ms <= 0:
                        self._end(name, "done")

    def _end(self, name: str, outcome: str) -> None:
        task = self.running.pop(name)
        self._end_count += 1
        self.highest[name] = max(self.highest.get(name, 0), task.run)
        self.finished.append([self._end_count, name, task.run, outcome, ""])

    async def handle(self, request: web.Request) -> web.Response:
        """Carries out one order."""
        if request.header(b"x-expect-instance").decode() != self.name:
            return web.refusal(421, "another instance")
        body = json.loads(request.body)
        if body.get("fencing_token", 0) < self._term:
            return self._refuse("fence")
        self._term = body["fencing_token"]
        match request.target.rpartition("/")[2]:
            case "run-start":
                response = self._start(body)
            case "run-stop":
                response = self._stop(body)
            case "hold":
                return await self._hold(body)
            case _:
                response = self._reply()
        if self.withhold_replies:
            await curio.sleep(3_600)
        return response

    def _reply(self, **fields: Any) -> web.Response:
        return web.json_response({"clock_ms": self.clock_ms(), **fields})

    def _refuse(self, reason: str) -> web.Response:
        body = {"clock_ms": self.clock_ms(), "reason": reason}
        return web.json_response(body, 409)

    def _start(self, body: dict[str, Any]) -> web.Response:
        name, run = body["task"], body["run"]
        self._deadline_ms = max(self._deadline_ms, body["deadline_ms"])
        if self.refuse_starts:
            return self._refuse(self.refuse_starts)
        if run <= self.highest.get(name, 0):
            return self._refuse("old")
        if name not in self.running:
            work_ms = float(body["spec"])
            self.running[name] = Task(run, work_ms, work_ms)
            self.started.append((name, run))
        return self._reply()

    def _stop(self, body: dict[str, Any]) -> web.Response:
        name, run = body["task"], body["run"]
        self.highest[name] = max(self.highest.get(name, 0), run)
        if name in self.running and self.running[name].run <= run:
            self._end(name, "stopped")
        return self._reply()

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        deadline_ms = body.get("deadline_ms", 0)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        acknowledged = body["ack_cursor"]
        self.finished = [r for r in self.finished if r[0] > acknowledged]
        until_ms = self.clock_ms() + body.get("wait_ms", 0)
        while not self.finished and self.clock_ms() < until_ms:
            await curio.sleep(_STEP_MS / 1000)
        running = [
            [name, task.run, "", 100 if task.left_ms < 0 else 50, None]
            for name, task in self.running.items()
        ]
        return self._reply(
            born=self.born_ms, running=running, finished=self.finished[:500]
        )
