"""A fake worker of the platform that follows its published protocol.

It runs tasks as timers, keeps leases by its own clock and reports ends until
they are acknowledged. Tests can make it refuse starts, withhold replies, carry
out calls late and restart under its identifier.
"""

from collections.abc import Callable
import dataclasses
import json
import time
from typing import Any

import curio

from galenahook import clock as clock_lib
from galenahook import web

# Longest lease that the platform permits.
MAX_LEASE_MS = 6_000

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


@dataclasses.dataclass(slots=True, frozen=True)
class TaskEvent:
    """A start or an end of a run.

    Attributes:
      task: Task identifier.
      run: Number of the run.
      at_ms: When it happened, on the clock of this machine.
    """

    task: str
    run: int
    at_ms: int


def heartbeat_target(name: str) -> str:
    """Returns the path of the heartbeats under an identifier."""
    return f"/galenahook/instances/{name}/heartbeat"


def _on_time(path: str) -> float:  # noqa: ARG001
    return 0.0


class PlatformWorker:
    """A worker, which may restart under its identifier.

    Attributes:
      name: Identifier; one that is changed holds for the next incarnation.
      machine: VM that it runs on.
      incarnation: Number of its restarts.
      running: Running tasks by name.
      finished: Rows of ends that have not been acknowledged.
      highest: Highest run that was stopped or has ended, by task.
      started: Task and run of each start that was carried out.
      starts: The same starts, with their times.
      done: Ends `done` that were acknowledged under an unbroken lease.
      is_polled: Whether the incarnation was polled.
      events: What it did, for the trace of a failure.
      refuse_starts: Reason for refusing starts; empty to accept them.
      withhold_replies: Whether orders other than polls are carried out without
        a reply.
      send_heartbeats: Whether it sends heartbeats.
      lateness_s: Returns how late a call of a path is carried out, without a
        reply; 0 to carry it out at once.
      max_lease_ms: Longest lease; longer ones are shortened on arrival.
    """

    def __init__(
        self, name: str, service: str = "desk", zone: str = "zone-a"
    ) -> None:
        self.name = name
        self.machine = f"m-{name}"
        self.service = service
        self.zone = zone
        self.incarnation = 0
        self.started: list[tuple[str, int]] = []
        self.starts: list[TaskEvent] = []
        self.done: list[TaskEvent] = []
        self.events: list[str] = []
        self.refuse_starts = ""
        self.withhold_replies = False
        self.send_heartbeats = True
        self.lateness_s: Callable[[str], float] = _on_time
        self.max_lease_ms = MAX_LEASE_MS
        self.state = "ready"
        self._work_ms: dict[str, float] = {}
        self._clock = clock_lib.Clock()
        self._clock_origin_ms = 0
        self._is_up = curio.Event()
        self._begin_incarnation()
        self._server = web.Server(
            web.listen("127.0.0.1:0"), self.handle, web.CONTROL_LIMITS
        )

    def _begin_incarnation(self) -> None:
        """Forgets everything that an earlier incarnation knew."""
        self.born_ms = time.time_ns() // 1_000_000
        self.running: dict[str, Task] = {}
        self.finished: list[list[Any]] = []
        self.highest: dict[str, int] = {}
        self._end_count = 0
        self._term = 0
        self._sequence = 0
        self._deadline_ms = 0
        self.is_polled = False
        # Unacknowledged ends `done`, by number.
        self._unnoted: dict[int, TaskEvent] = {}

    @property
    def address(self) -> str:
        """Address at which it listens."""
        return self._server.address

    @property
    def is_dark(self) -> bool:
        """Whether it is silent between two incarnations."""
        return not self._is_up.is_set()

    def clock_ms(self) -> int:
        """Returns the time of its monotonic clock."""
        return self._clock.monotonic_ms() - self._clock_origin_ms

    async def run(self, controls: list[str]) -> None:
        """Serves orders, runs tasks and sends heartbeats until cancelled."""
        await self._is_up.set()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._server.run)
            await group.spawn(self._run_tasks)
            await group.spawn(self._send_heartbeats, controls)

    async def restart(self, dark_s: float) -> None:
        """Ends the incarnation and begins the next one after a silent time.

        Calls that arrive meanwhile are carried out by the next incarnation.
        """
        self._is_up.clear()
        self.incarnation += 1
        self._record("ends with", ", ".join(self.running) or "no runs")
        self.running = {}
        await curio.sleep(dark_s)
        # A heartbeat whose clock is 0 counts as one without a clock.
        self._clock_origin_ms = self._clock.monotonic_ms() - 1
        self._begin_incarnation()
        self._record("restarted, born", str(self.born_ms))
        await self._is_up.set()

    def _record(self, event: str, detail: str) -> None:
        self.events.append(
            f"{self._clock.wall_ms() / 1000:.3f} {self.name}"
            f"#{self.incarnation} {event} {detail}"
        )

    async def _send_heartbeats(self, controls: list[str]) -> None:
        client = web.ControlClient(self._clock, [])
        while True:
            for control in controls:
                if self.is_dark or not self.send_heartbeats:
                    break
                if await self._send_heartbeat(client, control):
                    break
            await curio.sleep(0.2)

    def heartbeat_body(self) -> dict[str, Any]:
        """Returns the body of its latest heartbeat."""
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "state": self.state,
            "seq": self._sequence,
            "capacity": {"cpu": 8000, "mem_mb": 32000, "gpu": 0},
            "labels": ["a", "r1"],
            "machine": self.machine,
            "born": self.born_ms,
            "clock_ms": self.clock_ms(),
            "drain_remaining_ms": 1000,
        }

    async def _send_heartbeat(
        self, client: web.ControlClient, control: str
    ) -> bool:
        self._sequence += 1
        target = heartbeat_target(self.name)
        try:
            response = await client.post(
                control, target, self.heartbeat_body(), 900
            )
        except Exception:  # The next control address is tried.
            return False
        return response.status == 200

    async def _run_tasks(self) -> None:
        while True:
            await curio.sleep(_STEP_MS / 1000)
            is_lease_expired = self.clock_ms() > self._deadline_ms
            if is_lease_expired:
                self._unnoted.clear()
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
        if outcome == "done":
            self._unnoted[self._end_count] = TaskEvent(
                name, task.run, self._clock.monotonic_ms()
            )
        self._record(outcome, f"{name} run {task.run}")

    async def handle(self, request: web.Request) -> web.Response:
        """Carries out one order."""
        path = request.target.rpartition("/")[2]
        lateness_s = self.lateness_s(path)
        if lateness_s:
            await curio.spawn(
                self._carry_out_late, request, lateness_s, daemon=True
            )
            return await self._ignore(request)
        await self._is_up.wait()
        incarnation = self.incarnation
        response = await self._carry_out(request)
        is_withheld = self.withhold_replies and path != "hold"
        if is_withheld or self.incarnation != incarnation:
            return await self._ignore(request)
        return response

    async def _ignore(self, request: web.Request) -> web.Response:
        """Sends no reply for as long as the caller waits."""
        while not request.is_abandoned():
            await curio.sleep(_STEP_MS / 1000)
        return web.refusal(503, "nobody waits")

    async def _carry_out_late(
        self, request: web.Request, lateness_s: float
    ) -> None:
        """Carries out a call by the incarnation that there is by then."""
        arrived_in = self.incarnation
        await curio.sleep(lateness_s)
        await self._is_up.wait()
        body = json.loads(request.body)
        self._record(
            "late",
            f"{request.target.rpartition('/')[2]} after {lateness_s:.1f} s, of"
            f" #{arrived_in}: {body.get('task', '')} {body.get('run', '')}",
        )
        await self._carry_out(request, may_wait=False)

    async def _carry_out(
        self, request: web.Request, may_wait: bool = True
    ) -> web.Response:
        if request.header(b"x-expect-instance").decode() != self.name:
            return web.refusal(421, "another instance")
        body = json.loads(request.body)
        if body.get("fencing_token", 0) < self._term:
            return self._refuse("fence")
        self._term = body["fencing_token"]
        match request.target.rpartition("/")[2]:
            case "run-start":
                return self._start(body)
            case "run-stop":
                return self._stop(body)
            case "hold":
                if not may_wait:
                    body["wait_ms"] = 0
                self.is_polled = True
                return await self._hold(body)
            case _:
                return self._reply()

    def _reply(self, **fields: Any) -> web.Response:
        return web.json_response({"clock_ms": self.clock_ms(), **fields})

    def _refuse(self, reason: str) -> web.Response:
        body = {"clock_ms": self.clock_ms(), "reason": reason}
        return web.json_response(body, 409)

    def _extend_lease(self, deadline_ms: int) -> None:
        """Extends the lease, by at most the longest one from now on."""
        longest_ms = self.clock_ms() + self.max_lease_ms
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _start(self, body: dict[str, Any]) -> web.Response:
        name, run = body["task"], body["run"]
        self._extend_lease(body["deadline_ms"])
        if self.refuse_starts:
            return self._refuse(self.refuse_starts)
        if run <= self.highest.get(name, 0):
            return self._refuse("old")
        if self.clock_ms() > self._deadline_ms:
            return self._refuse("late")
        if name not in self.running:
            work_ms = float(body["spec"])
            self.running[name] = Task(run, work_ms, work_ms)
            self.started.append((name, run))
            self.starts.append(TaskEvent(name, run, self._clock.monotonic_ms()))
            left_ms = self._deadline_ms - self.clock_ms()
            self._record("started", f"{name} run {run}, lease {left_ms} ms")
        return self._reply()

    def _stop(self, body: dict[str, Any]) -> web.Response:
        name, run = body["task"], body["run"]
        self._record("stop", f"{name} run {run}")
        self.highest[name] = max(self.highest.get(name, 0), run)
        if name in self.running and self.running[name].run <= run:
            self._end(name, "stopped")
        return self._reply()

    def _acknowledge(self, number: int) -> None:
        """Forgets the ends up to a number."""
        self.finished = [row for row in self.finished if row[0] > number]
        for noted in [n for n in self._unnoted if n <= number]:
            self.done.append(self._unnoted.pop(noted))

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        incarnation = self.incarnation
        self._extend_lease(body.get("deadline_ms", 0))
        self._acknowledge(body["ack_cursor"])
        until_ms = self.clock_ms() + body.get("wait_ms", 0)
        while (
            not self.finished
            and self.incarnation == incarnation
            and self.clock_ms() < until_ms
        ):
            await curio.sleep(_STEP_MS / 1000)
        running = [
            [name, task.run, "", 100 if task.left_ms < 0 else 50, None]
            for name, task in self.running.items()
        ]
        return self._reply(
            born=self.born_ms, running=running, finished=self.finished[:500]
        )
