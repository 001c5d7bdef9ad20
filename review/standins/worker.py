"""A stand-in for an executor, as a process of its own.

    python3 worker.py NAME HOST:PORT ZONE MACHINE KIND EVENTS CONTROL...

Follows PROTOCOL.md: generation numbers, leases on its own steady clock, runs,
ends until they are acknowledged, pings. A task's `spec` is its work in
milliseconds. Events are appended to a file, one JSON object a line.
"""

import asyncio
import json
import sys
import time

BACKEND = "desk"
HEARTBEAT_S = 1.0
PING_TIMEOUT_S = 1.0
MAX_HOLD_MS = 6_000
STEP_S = 0.01


def clock_ms() -> int:
    """Returns the steady clock."""
    return time.monotonic_ns() // 1_000_000


class Worker:
    """One incarnation of an executor."""

    def __init__(self, name, address, zone, machine, kind, events, controls):
        self.name = name
        self.address = address
        self.zone = zone
        self.machine = machine
        self.kind = kind
        self.controls = controls
        self.born = time.time_ns() // 1_000_000
        self.events = events
        self.running = {}
        self.finished = []
        self.highest = {}
        self.ends = 0
        self.fence = 0
        self.deadline_ms = 0

    def note(self, event, **fields):
        """Records an event."""
        fields = {"t": time.time(), "event": event, "at": self.name, **fields}
        with open(self.events, "a") as file:
            file.write(json.dumps(fields) + "\n")

    def end(self, task, how):
        """Ends a run."""
        run, _, _ = self.running.pop(task)
        self.ends += 1
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.finished.append([self.ends, task, run, how, ""])
        self.note("end", task=task, run=run, how=how, zone=self.zone)

    def extend(self, body):
        """Extends the lease; it never shortens."""
        deadline_ms = min(body.get("deadline_ms", 0), clock_ms() + MAX_HOLD_MS)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    async def work(self):
        """Ends tasks that are done or whose lease has expired."""
        while True:
            await asyncio.sleep(STEP_S)
            now_ms = clock_ms()
            for task, (_, _, end_ms) in list(self.running.items()):
                if now_ms > self.deadline_ms:
                    self.end(task, "lapsed")
                elif now_ms >= end_ms:
                    self.end(task, "done")

    def refuse(self, reason):
        """Returns a 409 with its reason."""
        return 409, {"clock_ms": clock_ms(), "reason": reason}

    async def order(self, path, headers, body):
        """Carries out one order."""
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"clock_ms": clock_ms()}
        if body.get("fencing_token", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fencing_token", 0)
        verb = path.rpartition("/")[2]
        if verb == "run-start":
            return self.start(body)
        if verb == "run-stop":
            task, run = body["task"], body["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task][0] <= run:
                self.end(task, "stopped")
        if verb == "hold":
            return await self.hold(body)
        return 200, {"clock_ms": clock_ms()}

    def start(self, body):
        """Starts a run."""
        task, run = body["task"], body["run"]
        if body["deadline_ms"] <= clock_ms():
            return self.refuse("late")
        self.extend(body)
        if task in self.running and self.running[task][0] == run:
            return 200, {"clock_ms": clock_ms()}
        if run <= self.highest.get(task, 0) or task in self.running:
            return self.refuse("old")
        begun_ms = clock_ms()
        self.running[task] = (run, begun_ms, begun_ms + int(body["spec"]))
        self.note("start", task=task, run=run, zone=self.zone)
        return 200, {"clock_ms": clock_ms()}

    async def hold(self, body):
        """Extends the lease and lists runs; waits for an end if asked to."""
        self.extend(body)
        acknowledged = body.get("ack_cursor", 0)
        self.finished = [row for row in self.finished if row[0] > acknowledged]
        until_ms = clock_ms() + min(body.get("wait_ms", 0), 2_000)
        while not self.finished and clock_ms() < until_ms:
            await asyncio.sleep(STEP_S)
        now_ms = clock_ms()
        rows = [
            [task, run, "", min(99, 100 * (now_ms - a) // max(1, b - a)), 500]
            for task, (run, a, b) in self.running.items()
        ]
        lists = {"running": rows, "finished": self.finished[:500]}
        return 200, {"clock_ms": now_ms, "born": self.born, **lists}

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").strip().split("\r\n")
                pairs = (line.partition(":") for line in lines)
                headers = {k.strip().lower(): v.strip() for k, _, v in pairs}
                length = int(headers.get("content-length", 0))
                data = await reader.readexactly(length)
                path = first.split(" ")[1]
                body = json.loads(data) if data else {}
                status, reply = await self.order(path, headers, body)
                text = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%s" % (status, len(text), text)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def ping(self):
        """Sends pings to one node after the other until one confirms."""
        number = 0
        while True:
            for control in self.controls:
                number += 1
                if await self.ping_once(control, number):
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def ping_once(self, control, number):
        """Sends one ping; returns whether it was confirmed in time."""
        body = json.dumps(
            {
                "backend": BACKEND,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": 32000, "mem_mb": 128000, "gpu": 0},
                "labels": [self.kind, "r1"],
                "machine": self.machine,
                "born": self.born,
                "clock_ms": clock_ms(),
                "seq": number,
            }
        ).encode()
        try:
            async with asyncio.timeout(PING_TIMEOUT_S):
                host, port = control.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(
                        b"POST /galenahook/instances/%s/heartbeat HTTP/1.1\r\n"
                        b"host: %s\r\ncontent-type: application/json\r\n"
                        b"connection: close\r\ncontent-length: %d\r\n\r\n%s"
                        % (
                            self.name.encode(),
                            control.encode(),
                            len(body),
                            body,
                        )
                    )
                    line = await reader.readline()
                    return line.startswith(b"HTTP/1.1 2")
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def run(self):
        """Runs until the process is ended."""
        host, port = self.address.split(":")
        await asyncio.start_server(self.serve, host, int(port))
        self.note("up", born=self.born)
        await asyncio.gather(self.work(), self.ping())


if __name__ == "__main__":
    *words, controls = [*sys.argv[1:7], sys.argv[7:]]
    asyncio.run(Worker(*words, controls).run())
