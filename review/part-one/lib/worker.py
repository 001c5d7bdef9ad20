"""A worker (executor) of the platform, as a process of its own.

It follows PROTOCOL.md, "Running tasks" and "Service discovery", for the control
mode `invoke` without an admission check: it starts whatever it is told to
start, keeps one lease for all that runs, checks generation numbers and lists
ends until they are acknowledged. The `spec` of a job is JSON: `{"ms": N}` works
for N ms, `{"lasts": true}` works until it is stopped.

Each start, end, refusal and request is appended to a log as a JSON line.
"""

import argparse
import asyncio
import json
import pathlib
import time
from typing import TextIO

MAX_LISTED_ENDS = 500
STOP_MS = 50
STARTUP_MS = 300


class Worker:
    """One incarnation of a worker."""

    def __init__(self, options: argparse.Namespace, log_file: TextIO) -> None:
        self.options = options
        self.born = time.time_ns() // 1_000_000
        self.began = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running: dict[str, dict] = {}
        self.finished: list[list] = []
        self.highest: dict[str, int] = {}
        self.ends = 0
        self.seq = 0
        self.ended = asyncio.Event()
        self.log_file = log_file

    def clock(self) -> int:
        """Returns its steady clock in milliseconds."""
        return int((time.monotonic() - self.began) * 1000) + 1

    def log(self, event: str, **fields) -> None:
        """Appends a line to the log."""
        line = {"at": round(time.time(), 3), "worker": self.options.id}
        line |= {"born": self.born, "event": event} | fields
        self.log_file.write(json.dumps(line) + "\n")

    # --- Tasks ---

    def end(self, task: str, how: str) -> None:
        """Ends a run."""
        run = self.running.pop(task)
        self.ends += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.finished.append([self.ends, task, run["run"], how, ""])
        self.log("end", task=task, run=run["run"], how=how)
        self.ended.set()

    async def work(self) -> None:
        """Advances the tasks until cancelled."""
        last = self.clock()
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            passed, last = now - last, now
            for task, run in list(self.running.items()):
                if now > self.deadline:
                    self.end(task, "lapsed")
                elif run["stop_at"] and now >= run["stop_at"]:
                    self.end(task, "stopped")
                else:
                    run["age"] += passed
                    run["worked"] += passed * run["pace"] / 100
                    if run["ms"] and run["worked"] >= run["ms"]:
                        self.end(task, "done")

    def percent(self, run: dict) -> int:
        """Returns the progress of a run."""
        if not run["ms"]:
            return 100 if run["age"] >= STARTUP_MS else 0
        return min(99, int(100 * run["worked"] / run["ms"]))

    # --- Orders ---

    def extend(self, deadline: int) -> None:
        """Extends the lease."""
        longest = self.clock() + self.options.max_hold_ms
        self.deadline = max(self.deadline, min(deadline, longest))

    def refuse(self, body: dict, reason: str) -> tuple[int, dict]:
        """Refuses an order about a run."""
        self.log("refused", task=body["task"], run=body["run"], reason=reason)
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def start(self, body: dict) -> tuple[int, dict]:
        """Carries out an order to start."""
        task, run = body["task"], body["run"]
        if body["deadline_ms"] < self.clock():
            return self.refuse(body, "late")
        self.extend(body["deadline_ms"])
        if task in self.running and self.running[task]["run"] == run:
            return 200, {"clock_ms": self.clock()}
        if run <= self.highest.get(task, 0) or task in self.running:
            return self.refuse(body, "old")
        spec = json.loads(body["spec"])
        self.running[task] = {
            "run": run,
            "ms": 0 if spec.get("lasts") else spec["ms"],
            "worked": 0.0,
            "age": 0,
            "pace": 100,
            "stop_at": 0,
        }
        self.log("start", task=task, run=run, fence=body["fencing_token"])
        return 200, {"clock_ms": self.clock()}

    def stop(self, body: dict) -> tuple[int, dict]:
        """Carries out an order to stop."""
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        held = self.running.get(task)
        if held and held["run"] <= run and not held["stop_at"]:
            held["stop_at"] = self.clock() + STOP_MS
        self.log("stop", task=task, run=run)
        return 200, {"clock_ms": self.clock()}

    def pace(self, body: dict) -> tuple[int, dict]:
        """Carries out an order on the pace."""
        held = self.running.get(body["task"])
        if held and held["run"] == body["run"]:
            held["pace"] = body["percent"]
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body: dict) -> tuple[int, dict]:
        """Extends the lease, forgets noted ends and lists runs."""
        if body.get("deadline_ms"):
            self.extend(body["deadline_ms"])
        cursor = body.get("ack_cursor", 0)
        noted = [row for row in self.finished if row[0] <= cursor]
        self.finished = [row for row in self.finished if row[0] > cursor]
        for row in noted:
            self.log("noted", task=row[1], run=row[2], how=row[3])
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            self.ended.clear()
            try:
                await asyncio.wait_for(
                    self.ended.wait(), until - time.monotonic()
                )
            except TimeoutError:
                break
        running = [
            [task, run["run"], "", self.percent(run), 1]
            for task, run in self.running.items()
        ]
        return 200, {
            "clock_ms": self.clock(),
            "born": self.born,
            "running": running,
            "finished": self.finished[:MAX_LISTED_ENDS],
        }

    async def handle(
        self, path: str, headers: dict[str, str], data: bytes
    ) -> tuple[int, dict]:
        """Carries out one order."""
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self.options.id) != self.options.id:
            return 421, {"clock_ms": self.clock()}
        try:
            body = json.loads(data)
        except ValueError:
            return 400, {"clock_ms": self.clock()}
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            self.log("fenced", path=path, fence=fence, highest=self.fence)
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = fence
        match path.rpartition("/")[2]:
            case "run-start":
                return self.start(body)
            case "run-stop":
                return self.stop(body)
            case "pace":
                return self.pace(body)
            case "hold":
                return await self.hold(body)
        return 404, {"clock_ms": self.clock()}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the orders of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                data = await reader.readexactly(length)
                path = first.split(" ")[1]
                status, body = await self.handle(path, headers, data)
                payload = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    # --- Heartbeats ---

    async def beat(self) -> None:
        """Sends pings until cancelled."""
        turn = 0
        while True:
            for _ in self.options.controls:
                control = self.options.controls[
                    turn % len(self.options.controls)
                ]
                if await self.send_beat(control):
                    break
                turn += 1
            await asyncio.sleep(self.options.heartbeat_ms / 1000)

    async def send_beat(self, control: str) -> bool:
        """Sends one ping; returns whether it was confirmed."""
        self.seq += 1
        body = {
            "backend": self.options.backend,
            "address": self.options.listen,
            "zone": self.options.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": self.options.cpu,
                "mem_mb": self.options.mem_mb,
                "gpu": 0,
            },
            "labels": ["a", self.options.rack],
            "machine": self.options.machine,
            "born": self.born,
            "clock_ms": self.clock(),
            "seq": self.seq,
        }
        payload = json.dumps(body).encode()
        path = f"/galenahook/instances/{self.options.id}/heartbeat"
        head = (
            f"POST {path} HTTP/1.1\r\nhost: {control}\r\n"
            "content-type: application/json\r\nconnection: close\r\n"
            f"content-length: {len(payload)}\r\n\r\n"
        )
        host, _, port = control.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode() + payload)
                status = (await reader.readline()).split()
                return len(status) > 1 and status[1] == b"200"
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()


async def main(options: argparse.Namespace) -> None:
    """Runs the worker until it is killed."""
    with pathlib.Path(options.log).open(
        "a", buffering=1, encoding="utf-8"
    ) as log_file:
        await run(Worker(options, log_file))


async def run(worker: Worker) -> None:
    """Serves orders and sends pings until cancelled."""
    options = worker.options
    host, _, port = options.listen.rpartition(":")
    server = await asyncio.start_server(worker.serve, host, int(port))
    worker.log("up")
    async with server:
        await asyncio.gather(worker.work(), worker.beat())


def parse_options() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser()
    for name in ("id", "listen", "machine", "zone", "rack", "backend", "log"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--controls", required=True)
    parser.add_argument("--cpu", type=int, default=16_000)
    parser.add_argument("--mem-mb", type=int, default=64_000)
    parser.add_argument("--heartbeat-ms", type=int, default=1_500)
    parser.add_argument("--max-hold-ms", type=int, default=6_000)
    options = parser.parse_args()
    options.controls = options.controls.split(",")
    return options


if __name__ == "__main__":
    asyncio.run(main(parse_options()))
