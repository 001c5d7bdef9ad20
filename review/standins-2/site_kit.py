"""A small deployment on loopback addresses, with stand-ins around it.

The project's programs run as separate processes, started with the commands and
the settings templates of the deploy file. Executors, consumers and the operator
are stand-ins that follow the users' pages.
"""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
METRICS_PORT = 9464
START_TIMEOUT_S = 20.0

# Bounds of the users' small installations.
BOUNDS = {
    "contact_ms": 3_000,
    "ack_ms": 4_000,
    "grace_s": 6,
    "max_hold_ms": 10_000,
    "stop_timeout_ms": 400,
    "finish_s": 14,
    "visible_ms": 3_000,
    "cancel_ms": 3_000,
}


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, a line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def add(self, kind: str, **fields: Any) -> None:
        """Adds a line with the seconds since the start."""
        words = [f"{time.monotonic() - self._began:9.3f}", kind]
        words += [f"{key}={value}" for key, value in fields.items()]
        self._file.write(" ".join(words) + "\n")
        self._file.flush()


async def exchange(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, Any]:
    """Sends one request on a new connection; returns status and body.

    Raises:
      OSError, TimeoutError: No complete response arrived.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    if isinstance(body, bytes):
        data = body
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
    fields = {"Host": address, "Content-Type": "application/json"}
    lines += [f"{k}: {v}" for k, v in {**fields, **(headers or {})}.items()]
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            await writer.drain()
            status, answer = await _read_response(reader)
        finally:
            writer.close()
    return status, answer


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, Any]:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = re.search(r"(?i)content-length: *(\d+)", head)
        data = await reader.readexactly(int(length[1]) if length else 0)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("no complete response") from error
    try:
        return status, json.loads(data) if data else None
    except ValueError:
        return status, data


# --- Executors ----------------------------------------------------------------


class Executor:
    """A life of a machine that runs tasks, and its successors.

    Attributes:
      ident: Identifier of the current life.
      running: Rows of what runs, by task.
      started: Task, run and monotonic seconds of every start.
      ended: Task, run, how and monotonic seconds of every end.
      is_silent: Whether nothing arrives at it and nothing that it sends
        arrives.
    """

    def __init__(
        self,
        site: "Site",
        number: int,
        service: str = "desk",
        zone: str = "zone-a",
        cpu: int = 8_000,
        mem_mb: int = 32_000,
    ) -> None:
        self.site = site
        self.number = number
        self.machine = f"m-{number:05x}"
        self.service = service
        self.zone = zone
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.host = site.address(100 + number)
        self.address = f"{self.host}:{site.executor_port}"
        self.ident = ""
        self.state = "ready"
        self.is_up = False
        self.is_silent = False
        self.started: list[tuple[str, int, float]] = []
        self.ended: list[tuple[str, int, str, float]] = []
        self.running: dict[str, dict[str, Any]] = {}
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()

    def end_wait(self) -> None:
        """Answers the pending poll now."""
        self._changed.set()

    def clock_ms(self) -> int:
        """Returns the steady clock of this life."""
        return int((time.monotonic() - self._began) * 1_000) + 1_000

    async def start(self, ident: str = "") -> None:
        """Begins a life, with a new identifier unless one is given."""
        self.ident = ident or f"i-{random.randrange(16**8):08x}"
        self._began = time.monotonic()
        self.born = int(time.time() * 1_000)
        self.state = "ready"
        self.running = {}
        self._finished: list[list[Any]] = []
        self._end_number = 0
        self._highest: dict[str, int] = {}
        self._token = 0
        self._deadline = 0
        self._seq = 0
        self._server = await asyncio.start_server(
            self._serve, self.host, self.site.executor_port
        )
        self.is_up = True
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]
        self.site.record.add(
            "executor-up", machine=self.machine, id=self.ident, born=self.born
        )

    async def crash(self) -> None:
        """Ends this life without notice; its connections are reset."""
        self.site.record.add(
            "executor-crash",
            machine=self.machine,
            id=self.ident,
            running=[f"{t}#{r['run']}" for t, r in self.running.items()],
        )
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
            writer.transport.abort()
        now = time.monotonic()
        for name, row in self.running.items():
            self.ended.append((name, row["run"], "crash", now))
        self.running = {}

    async def _beat(self) -> None:
        controls = list(self.site.controls())
        random.shuffle(controls)
        while True:
            self._seq += 1
            body = {
                "backend": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": ["a", f"r1-{self.number % 3}"],
                "machine": self.machine,
                "born": self.born,
                "clock_ms": self.clock_ms(),
                "seq": self._seq,
            }
            path = f"/galenahook/instances/{self.ident}/heartbeat"
            for _ in range(0 if self.is_silent else len(controls)):
                try:
                    status, _ = await exchange(controls[0], "POST", path, body)
                except (OSError, TimeoutError):
                    status = 0
                if status == 200:
                    break
                controls.append(controls.pop(0))
            await asyncio.sleep(self.site.heartbeat_ms / 1_000)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self.clock_ms() > self._deadline:
                for name in list(self.running):
                    self._end(name, "lapsed")
            for name, row in list(self.running.items()):
                left = row["ends"]
                if left is not None and now >= left:
                    self._end(name, row["how"])

    def _end(self, name: str, how: str) -> None:
        row = self.running.pop(name)
        self._end_number += 1
        self._highest[name] = max(self._highest.get(name, 0), row["run"])
        self._finished.append([self._end_number, name, row["run"], how, ""])
        self.ended.append((name, row["run"], how, time.monotonic()))
        self.site.record.add(
            "run-end", machine=self.machine, task=name, run=row["run"], how=how
        )
        self._changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = re.search(r"(?i)content-length: *(\d+)", head)
                data = await reader.readexactly(int(length[1]) if length else 0)
                path = head.split(" ", 2)[1]
                if self.is_silent:
                    await asyncio.sleep(60)
                    return
                expected = re.search(r"(?i)x-expect-instance: *(\S+)", head)
                answer = await self.answer(
                    path, json.loads(data or b"{}"), expected and expected[1]
                )
                if answer is None:
                    return
                status, body = answer
                text = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self, path: str, body: dict[str, Any], expected: str | None
    ) -> tuple[int, Any] | None:
        """Carries out an order; None breaks the connection off."""
        if expected is not None and expected != self.ident:
            return 421, self._reply()
        verb = path.rpartition("/")[2]
        if body.get("fencing_token", 0) < self._token:
            return 409, self._reply(reason="fence")
        self._token = body.get("fencing_token", 0)
        match verb:
            case "run-start":
                return self._order_start(body)
            case "run-stop":
                return self._order_stop(body)
            case "hold":
                return await self._order_hold(body)
            case "pace":
                return 200, self._reply()
        return 400, self._reply()

    def _reply(self, **fields: Any) -> dict[str, Any]:
        return {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def _extend(self, deadline_ms: int) -> None:
        latest = self.clock_ms() + BOUNDS["max_hold_ms"]
        self._deadline = max(self._deadline, min(deadline_ms, latest))

    def _order_start(self, body: dict[str, Any]) -> tuple[int, Any]:
        name, run = body["task"], body["run"]
        deadline = body["deadline_ms"]
        if deadline <= self.clock_ms():
            return 409, self._reply(reason="late")
        self._extend(deadline)
        row = self.running.get(name)
        if row is not None and row["run"] == run:
            return 200, self._reply()
        if row is not None or run <= self._highest.get(name, 0):
            return 409, self._reply(reason="old")
        now = time.monotonic()
        seconds, how = self.site.work(name, run)
        self.running[name] = {
            "run": run,
            "began": now,
            "ends": None if seconds is None else now + seconds,
            "seconds": seconds,
            "how": how,
        }
        self.started.append((name, run, now))
        self.site.record.add(
            "run-start", machine=self.machine, id=self.ident, task=name, run=run
        )
        return 200, self._reply()

    def _order_stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        name, run = body["task"], body["run"]
        row = self.running.get(name)
        if row is not None and row["run"] == run:
            self._end(name, "stopped")
        self._highest[name] = max(self._highest.get(name, 0), run)
        return 200, self._reply()

    async def _order_hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        acked = body.get("ack_cursor", 0)
        self._finished = [row for row in self._finished if row[0] > acked]
        wait_s = min(body.get("wait_ms", 0), 2_000) / 1_000
        if wait_s and not self._finished:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        now = time.monotonic()
        running = []
        for name, row in self.running.items():
            if row["seconds"] is None:
                percent = 100 if now - row["began"] > 0.3 else 30
                running.append([name, row["run"], "", percent, 1])
            else:
                share = (now - row["began"]) / max(row["seconds"], 0.001)
                percent = min(99, int(100 * share))
                running.append([name, row["run"], "", percent, 500])
        rows = self._finished[:500]
        return 200, self._reply(running=running, finished=rows)


# --- The deployment -----------------------------------------------------------


class Site:
    """Replicas, entries and stand-ins of one small deployment.

    Attributes:
      record: Where everything is written down.
      work: Returns the seconds and the end of a run; None seconds for a task
        that lasts.
      executors: The executors.
    """

    def __init__(
        self, folder: pathlib.Path, replicas: int = 3, entries: int = 2
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.work = lambda _task, _run: (1.0, "done")
        self.heartbeat_ms = 1_500
        self.executors: list[Executor] = []
        self.version = 0
        self.host = "desk.example"
        self.prefix = "/queue/"
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="galenahook-"))
        self._net = (
            f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        )
        ports = _free_ports(6)
        self._control, self._front, self._ready = ports[:3]
        self.executor_port, self._peer = ports[3], ports[4]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        self.names = [f"core-{n}" for n in range(1, replicas + 1)]
        self.entry_names = [f"edge-{n}" for n in range(1, entries + 1)]
        self._number = {
            name: number
            for number, name in enumerate([*self.names, *self.entry_names], 10)
        }
        self._processes: dict[str, subprocess.Popen] = {}
        self._logs: dict[str, Any] = {}
        self._starts = itertools.count()

    def address(self, number: int) -> str:
        """Returns a loopback address of this deployment."""
        return f"{self._net}.{number}"

    def host_of(self, name: str) -> str:
        """Returns the address of a process's machine."""
        return self.address(self._number[name])

    def controls(self) -> list[str]:
        """Returns the addresses that serve the operator and the executors."""
        return [f"{self.host_of(name)}:{self._control}" for name in self.names]

    def fronts(self) -> list[str]:
        """Returns the addresses that serve consumers."""
        return [
            f"{self.host_of(name)}:{self._front}" for name in self.entry_names
        ]

    # --- Processes ------------------------------------------------------------

    def log_path(self, name: str) -> pathlib.Path:
        """Returns the file with what a process has written."""
        return self._temporary / f"{name}.log"

    def pid(self, name: str) -> int:
        """Returns the id of a process."""
        return self._processes[name].pid

    def exit_code(self, name: str) -> int | None:
        """Returns how a process ended, or None while it runs."""
        return self._processes[name].poll()

    def spawn(self, name: str, bootstrap: bool = False) -> None:
        """Starts a process of the deploy file on its machine."""
        role = "entry" if name in self.entry_names else "replica"
        spec = self._roles[role]
        settings = self._temporary / f"{name}.json"
        template = (ROOT / spec["template"]).read_text()
        settings.write_text(_render(template, self._fields(name, bootstrap)))
        words = spec["run"].split()
        words[words.index("/etc/galenahook/local.yaml")] = str(settings)
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["GALENAHOOK_CONFIG"] = str(settings)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = self._logs.get(name)
        if log is None:
            log = self._logs[name] = self.log_path(name).open("ab")
        self._processes[name] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.add("process-start", name=name, pid=self.pid(name))

    def _fields(self, name: str, bootstrap: bool) -> dict[str, Any]:
        ip = self.host_of(name)
        folder = self._temporary / f"data-{name}"
        folder.mkdir(exist_ok=True)
        return {
            "node_name": name,
            "zone": "zone-a",
            "ip": ip,
            "listen": {
                "front": f"{ip}:{self._front}",
                "ready": f"{ip}:{self._ready}",
                "control": f"{ip}:{self._control}",
            },
            "seeds": self.controls()[:3],
            "internal_ports": [self._peer, self._peer + 10],
            "bounds": BOUNDS,
            "data_dir": str(folder),
            "bootstrap": bootstrap,
            "heartbeat_ms": self.heartbeat_ms,
        }

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this script started."""
        self.record.add("signal", name=name, signal=number.name)
        self._processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        await asyncio.to_thread(self._processes[name].wait)

    def spawn_all(self) -> None:
        """Starts the whole system for the first time."""
        for name in [*self.names, *self.entry_names]:
            self.spawn(name, bootstrap=True)

    async def start(self) -> None:
        """Starts all processes and waits until the group has a leader.

        Raises:
          CannotRunError: They don't start.
        """
        self.spawn_all()
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if any(
                code is not None
                for code in map(self.exit_code, self._processes)
            ):
                break
            if await self.leader():
                return
            await asyncio.sleep(0.2)
        for name in self._processes:
            self.record.add(
                "log", name=name, tail=self.log_path(name).read_text()[-500:]
            )
        raise CannotRunError("the deployment did not start")

    async def leader(self) -> str:
        """Returns the replica that says that it leads, from its metrics."""
        for name in self.names:
            value = await self.metric(name, "leads")
            if value == 1.0:
                return name
        return ""

    async def metric(self, name: str, word: str) -> float | None:
        """Returns a metric of a process whose name ends with a word."""
        try:
            _, text = await exchange(
                f"{self.host_of(name)}:{METRICS_PORT}", "GET", "/metrics"
            )
        except (OSError, TimeoutError):
            return None
        if not isinstance(text, bytes):
            return None
        found = re.search(rf"(?m)^\S*_{word} (\S+)$", text.decode())
        return float(found[1]) if found else None

    # --- Operator -------------------------------------------------------------

    def config(self, version: int, **extra: Any) -> dict[str, Any]:
        """Returns a config with one queue and one service."""
        queue = {
            "name": "r-queue",
            "host": self.host,
            "path_prefix": self.prefix,
            "type": "unsafe",
            "timeout_ms": 3_000,
            "slo_ms": 1_000,
            "priority": 2,
            "backend": "desk",
            "max_attempts": 3,
            "stretch": 2.0,
        }
        service = {
            "name": "desk",
            "health_path": "/health",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 0.0,
            "cold_per_s": 0.0,
            "admission_check": False,
            "standby": False,
        }
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        }
        config = {
            "version": version,
            "routes": [queue],
            "services": [service],
            "limits": limits,
        }
        return {**config, **extra}

    async def operate(
        self, method: str, path: str, body: Any = None, give_up_s: float = 20
    ) -> tuple[int, Any]:
        """Sends an operator's call, at another node after each failure."""
        controls = self.controls()
        random.shuffle(controls)
        end = time.monotonic() + give_up_s
        for attempt in itertools.count():
            address = controls[attempt % len(controls)]
            try:
                status, answer = await exchange(address, method, path, body)
            except (OSError, TimeoutError) as error:
                status, answer = 0, repr(error)
            self.record.add("operator", call=path, at=address, status=status)
            if 200 <= status < 500 and status not in (408, 429):
                return status, answer
            if time.monotonic() > end:
                return status, answer
            await asyncio.sleep(min(0.1 * 2**attempt, 0.8))
        raise AssertionError

    async def put_config(self, **extra: Any) -> None:
        """Puts the next version of the config until it is acknowledged."""
        self.version += 3
        status, _ = await self.operate(
            "POST", "/galenahook/config/put", self.config(self.version, **extra)
        )
        if status != 200:
            raise CannotRunError("the config was not acknowledged")

    # --- Consumers ------------------------------------------------------------

    async def submit(self, ident: str, steps: list[dict], **extra: Any) -> int:
        """Hands a job in, again after no answer; returns the last status."""
        job = {"spec": f"spec of {ident}", "steps": steps, **extra}
        return (await self.call("POST", ident, job))[0]

    async def state(self, ident: str) -> tuple[int, str]:
        """Asks for the state of a job; returns status and state."""
        status, answer = await self.call("GET", ident)
        state = answer.get("state", "") if isinstance(answer, dict) else ""
        return status, state

    async def call(
        self, method: str, ident: str, body: Any = None, attempts: int = 5
    ) -> tuple[int, Any]:
        """Sends a consumer's call, at another node after each failure."""
        fronts = self.fronts()
        random.shuffle(fronts)
        status, answer = 0, None
        for attempt in range(attempts):
            try:
                status, answer = await exchange(
                    fronts[attempt % len(fronts)],
                    method,
                    self.prefix + ident,
                    body,
                    {"Host": self.host, "X-Deadline-Ms": "3000"},
                    timeout_s=3.2,
                )
            except (OSError, TimeoutError) as error:
                status, answer = 0, repr(error)
            self.record.add(
                "consumer",
                call=f"{method} {ident}",
                status=status,
                answer=answer,
            )
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return status, answer

    async def add_executors(
        self, count: int, kind: type[Executor] = Executor
    ) -> None:
        """Starts executors of a kind."""
        for _ in range(count):
            executor = kind(self, len(self.executors) + 1)
            self.executors.append(executor)
            await executor.start()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float, what: str
    ) -> None:
        """Waits until a condition holds.

        Raises:
          CannotRunError: It does not hold in time.
        """
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise CannotRunError(f"not reached: {what}")
            await asyncio.sleep(0.01)

    async def first_to_start(self, timeout_s: float) -> Executor:
        """Waits for the first start of a run; returns its executor."""
        await self.wait_until(
            lambda: any(item.started for item in self.executors),
            timeout_s,
            "a start",
        )
        return next(item for item in self.executors if item.started)

    def runs_now(self, task: str) -> list[tuple[Executor, int]]:
        """Returns where a task runs now, and the number of each run."""
        return [
            (item, item.running[task]["run"])
            for item in self.executors
            if task in item.running
        ]

    async def close(self) -> None:
        """Ends everything that was started."""
        for executor in self.executors:
            if executor.is_up:
                await executor.crash()
        for process in self._processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        for log in self._logs.values():
            log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self._temporary)
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _render(template: str, fields: dict[str, Any]) -> str:
    """Renders the placeholders that the project's templates use."""

    def value_of(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        value: Any = fields
        for part in path.split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", value_of, template)


def new_id() -> str:
    """Returns an identifier of a job."""
    return f"{random.randrange(16**16):016x}"


def run_case(folder: pathlib.Path, case: Any, **options: Any) -> int:
    """Runs a case; returns 1 if the rule broke, 0 if it held, else 2."""

    async def main() -> int:
        site = Site(folder, **options)
        site.record.add("case", trouble=TROUBLE)
        try:
            async with asyncio.timeout(115):
                await site.start()
                findings = await case(site)
        except (CannotRunError, TimeoutError) as error:
            site.record.add("cannot-run", reason=repr(error))
            print("could not run:", repr(error))
            return 2
        finally:
            await site.close()
        for finding in findings:
            site.record.add("broken", what=finding)
            print("broken:", finding)
        if not findings:
            site.record.add("held")
            print("held")
        return 1 if findings else 0

    return asyncio.run(main())
