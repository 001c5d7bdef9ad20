"""Stand-in for one life of an executor, as the users' pages describe it.

It runs tasks as timers, keeps the lease on its own steady clock, lists ends
until they are acknowledged, and sends pings to the control addresses. The
`spec` of a job is the work of each of its tasks in milliseconds, optionally
followed by `failed` for tasks that end through their own fault. What it begins
and ends is appended to a file, one JSON object a line.
"""

import argparse
import asyncio
import json
import os
import time
from typing import Any

import wire

_STEP_S = 0.01
_PING_TIMEOUT_S = 1.0
# Time that a stop takes; the pages allow 400 ms.
_STOP_S = 0.3


class Executor:
    """One life of an executor."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.born_ms = time.time_ns() // 1_000_000
        self.started = time.monotonic()
        self.running: dict[str, dict[str, Any]] = {}
        self.finished: list[list[Any]] = []
        self.highest: dict[str, int] = {}
        self.ends = 0
        self.acknowledged = 0
        self.token = 0
        self.deadline_ms = 0
        self.changed = asyncio.Event()
        self.record_file = os.open(
            options.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644
        )

    def clock_ms(self) -> int:
        """Returns the milliseconds since its start."""
        return int((time.monotonic() - self.started) * 1000)

    def record(self, event: str, **fields: Any) -> None:
        """Appends one line to the record."""
        line = {
            "at": round(time.time(), 3),
            "what": event,
            "executor": self.options.id,
            **fields,
        }
        os.write(self.record_file, (json.dumps(line) + "\n").encode())

    async def run(self) -> None:
        """Serves until the process is ended."""
        host, port = self.options.listen.split(":")
        await asyncio.start_server(
            lambda r, w: wire.serve(r, w, self.answer), host, int(port)
        )
        self.record("executor-up", machine=self.options.machine)
        await asyncio.gather(self.run_tasks(), self.ping())

    async def ping(self) -> None:
        """Sends a ping each period; tries the next node after a failure."""
        controls = self.options.controls.split(",")
        sequence = 0
        while True:
            for _ in controls:
                sequence += 1
                body = {
                    "backend": self.options.service,
                    "address": self.options.listen,
                    "zone": self.options.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "capacity": {"cpu": 32000, "mem_mb": 128000, "gpu": 0},
                    "labels": ["a", self.options.rack],
                    "machine": self.options.machine,
                    "born": self.born_ms,
                    "clock_ms": self.clock_ms(),
                    "seq": sequence,
                }
                path = f"/galenahook/instances/{self.options.id}/heartbeat"
                status, _ = await wire.call(
                    controls[0], "POST", path, body, _PING_TIMEOUT_S
                )
                if 200 <= status < 300:
                    break
                controls.append(controls.pop(0))
            await asyncio.sleep(self.options.heartbeat_ms / 1000)

    async def run_tasks(self) -> None:
        """Advances the tasks and ends them; keeps the lease."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(_STEP_S)
            now = time.monotonic()
            passed_ms, before = (now - before) * 1000, now
            is_lapsed = self.clock_ms() > self.deadline_ms
            for task, state in list(self.running.items()):
                if is_lapsed:
                    self.end(task, "lapsed")
                    continue
                state["done_ms"] += passed_ms * state["percent"] / 100
                if state["work_ms"] and state["done_ms"] >= state["work_ms"]:
                    self.end(task, state["how"])

    def end(self, task: str, how: str) -> None:
        """Ends a run and lists its end."""
        state = self.running.pop(task)
        run = state["run"]
        self.ends += 1
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.finished.append([self.ends, task, run, how, ""])
        self.record("end", task=task, run=run, how=how, number=self.ends)
        self.changed.set()

    async def answer(
        self, request: wire.Request
    ) -> tuple[int, dict[str, Any] | None]:
        """Answers one call."""
        if request.method == "GET":
            return 200, {}
        if request.headers.get("x-expect-instance") != self.options.id:
            return 421, {"clock_ms": self.clock_ms()}
        body = json.loads(request.body)
        if body.get("fencing_token", 0) < self.token:
            return self.refuse("fence")
        self.token = body.get("fencing_token", 0)
        match request.path:
            case "/galenahook/run-start":
                return self.start(body)
            case "/galenahook/run-stop":
                return self.stop(body)
            case "/galenahook/hold":
                return await self.hold(body)
            case "/galenahook/pace":
                return self.pace(body)
        return 404, None

    def refuse(self, reason: str) -> tuple[int, dict[str, Any]]:
        """Returns a refusal."""
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def extend(self, body: dict[str, Any]) -> None:
        """Takes the lease of a call; it never shortens."""
        latest = self.clock_ms() + self.options.max_hold_ms
        deadline_ms = min(int(body.get("deadline_ms", 0)), latest)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Starts a run."""
        task, run = body["task"], body["run"]
        if body.get("deadline_ms", 0) <= self.clock_ms():
            return self.refuse("late")
        self.extend(body)
        state = self.running.get(task)
        if state is not None and state["run"] == run:
            return 200, {"clock_ms": self.clock_ms()}
        if run <= self.highest.get(task, 0) or state is not None:
            return self.refuse("old")
        work, _, how = body["spec"].partition(" ")
        self.running[task] = {
            "run": run,
            "work_ms": float(work),
            "done_ms": 0.0,
            "percent": 100,
            "how": how or "done",
        }
        self.record("start", task=task, run=run, token=self.token)
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stops a run; it can't start later."""
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        state = self.running.get(task)
        if state is not None and state["run"] <= run:
            loop = asyncio.get_running_loop()
            loop.call_later(_STOP_S, self.finish_stop, task, state)
        return 200, {"clock_ms": self.clock_ms()}

    def finish_stop(self, task: str, state: dict[str, Any]) -> None:
        """Ends a run that is being stopped, unless it has ended."""
        if self.running.get(task) is state:
            self.end(task, "stopped")

    def pace(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Sets the share at which a run works."""
        state = self.running.get(body["task"])
        if state is None or state["run"] != body["run"]:
            return self.refuse("old")
        state["percent"] = body["percent"]
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Extends the lease and lists runs and ends."""
        self.extend(body)
        cursor = body.get("ack_cursor", 0)
        if cursor > self.acknowledged:
            self.acknowledged = cursor
            self.record("acknowledged", number=cursor)
        self.finished = [row for row in self.finished if row[0] > cursor]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2_000) / 1000
        while not self.finished and time.monotonic() < until:
            self.changed.clear()
            left = max(0.0, until - time.monotonic())
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": [
                [task, state["run"], "", _percent(state), 1000]
                for task, state in self.running.items()
            ],
            "finished": self.finished[:500],
        }


def _percent(state: dict[str, Any]) -> int:
    if not state["work_ms"]:
        return 100
    return min(99, int(100 * state["done_ms"] / state["work_ms"]))


def main() -> None:
    """Runs one executor until the process is ended."""
    parser = argparse.ArgumentParser()
    for name in ("id", "machine", "zone", "rack", "service", "listen"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--controls", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--heartbeat-ms", type=int, default=1_100)
    parser.add_argument("--max-hold-ms", type=int, default=10_000)
    asyncio.run(Executor(parser.parse_args()).run())


if __name__ == "__main__":
    main()
