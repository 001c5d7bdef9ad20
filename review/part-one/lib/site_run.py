"""Starts a small deployment on loopback addresses for the cases' scripts."""

import contextlib
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
ROOT = next(
    folder
    for folder in HERE.parents
    if (folder / "deploy/system.toml").exists()
)
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "desk.example"
SERVICE = "desk"
# Bounds of the installations in SYSTEM.md.
BOUNDS = {
    "grace_s": 6,
    "max_hold_ms": 6000,
    "cancel_ms": 3000,
    "stop_timeout_ms": 400,
    "config_apply_ms": 2000,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "visible_ms": 3000,
    "finish_s": 14,
}
HEARTBEAT_MS = 1500
QUEUES = {
    "quote": {"path_prefix": "/quote/", "priority": 0, "max_attempts": 4},
    "plan": {"path_prefix": "/plan/", "priority": 2, "max_attempts": 3},
    "watch": {"path_prefix": "/watch/", "priority": 0, "max_attempts": 3},
}


class CannotRunError(Exception):
    """The case can't be run here."""


def render(text: str, fields: dict[str, Any]) -> str:
    """Fills in a settings template of the deploy file."""

    def value(match: re.Match) -> str:
        path, _, form = match[1].partition("|")
        item: Any = fields
        for part in path.split("."):
            item = item[int(part)] if isinstance(item, list) else item[part]
        return json.dumps(item) if form == "json" else str(item)

    return re.sub(r"\{\{([^{}]+)\}\}", value, text)


def is_free(address: str, port: int) -> bool:
    """Returns whether a port of a loopback address can be bound."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address, port))
        except OSError:
            return False
    return True


class Daemon:
    """One process that the script started."""

    def __init__(
        self, name: str, command: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self.command = command
        self.log = log
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process and waits for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None


class Site:
    """Replicas, entries, workers, consumers and an operator."""

    def __init__(
        self,
        case: pathlib.Path,
        replicas: int = 5,
        entries: int = 3,
        workers: int = 8,
        cpu: int = 16_000,
        mem_mb: int = 64_000,
        max_hold_ms: int = BOUNDS["max_hold_ms"],
    ) -> None:
        self.bounds = BOUNDS | {"max_hold_ms": max_hold_ms}
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.record_file = (case / "record.txt").open("w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.time()
        self.net = 10 + os.getpid() % 200
        self.port = self.find_port(replicas, entries, workers)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        if not (ROOT / "target/deps/galenahook").is_dir():
            raise CannotRunError(
                "target/ is missing: run the build of the deploy file"
            )
        self.replicas: list[Daemon] = []
        self.entries: list[Daemon] = []
        self.workers: dict[str, Daemon] = {}
        seeds = [f"{self.replica_ip(n)}:{self.port}" for n in range(3)]
        self.controls = [
            f"{self.replica_ip(n)}:{self.port}" for n in range(replicas)
        ]
        self.fronts = [
            f"{self.entry_ip(n)}:{self.port + 1}" for n in range(entries)
        ]
        for number in range(replicas):
            self.replicas.append(
                self.daemon(
                    deploy, "replica", number, self.replica_ip(number), seeds
                )
            )
        for number in range(entries):
            self.entries.append(
                self.daemon(
                    deploy, "entry", number, self.entry_ip(number), seeds
                )
            )
        for number in range(workers):
            name = f"i-{number:02d}"
            zone = ZONES[number % 3]
            self.workers[name] = Daemon(
                name,
                [
                    sys.executable,
                    str(HERE / "worker.py"),
                    "--id",
                    name,
                    "--listen",
                    f"{self.worker_ip(number)}:{self.port + 2}",
                    "--machine",
                    f"m-{number:02d}",
                    "--zone",
                    zone,
                    "--rack",
                    f"r-{zone[-1]}",
                    "--backend",
                    SERVICE,
                    "--log",
                    str(self.folder / f"{name}.events"),
                    "--controls",
                    ",".join(self.controls),
                    "--cpu",
                    str(cpu),
                    "--mem-mb",
                    str(mem_mb),
                    "--heartbeat-ms",
                    str(HEARTBEAT_MS),
                    "--max-hold-ms",
                    str(self.bounds["max_hold_ms"]),
                ],
                self.folder / f"{name}.log",
            )

    def replica_ip(self, number: int) -> str:
        """Returns the address of a replica."""
        return f"127.{self.net}.1.{number + 1}"

    def entry_ip(self, number: int) -> str:
        """Returns the address of an entry."""
        return f"127.{self.net}.2.{number + 1}"

    def worker_ip(self, number: int) -> str:
        """Returns the address of a worker."""
        return f"127.{self.net}.3.{number + 1}"

    def find_port(self, replicas: int, entries: int, workers: int) -> int:
        """Returns the first of the ports that all processes use."""
        addresses = [self.replica_ip(n) for n in range(replicas)]
        addresses += [self.entry_ip(n) for n in range(entries)]
        addresses += [self.worker_ip(n) for n in range(workers)]
        for base in range(21_000, 29_000, 20):
            if all(
                is_free(address, base + offset)
                for address in addresses
                for offset in range(8)
            ) and all(is_free(address, 9464) for address in addresses):
                return base
        raise CannotRunError("no free ports on loopback")

    def daemon(
        self, deploy: dict, role: str, number: int, ip: str, seeds: list[str]
    ) -> Daemon:
        """Returns a replica or an entry, with rendered settings."""
        spec = deploy["roles"][role]
        name = f"{role}-{number + 1}"
        data = self.folder / f"{name}-data"
        data.mkdir()
        listen = {
            "control": f"{ip}:{self.port}",
            "front": f"{ip}:{self.port + 1}",
            "ready": f"{ip}:{self.port + 3}",
        }
        fields = {
            "node_name": name,
            "zone": ZONES[number % 3],
            "ip": ip,
            "listen": listen,
            "seeds": seeds,
            "internal_ports": [self.port + 4, self.port + 7],
            "data_dir": str(data),
            "bootstrap": True,
            "bounds": self.bounds,
            "heartbeat_ms": HEARTBEAT_MS,
        }
        settings = self.folder / f"{name}.json"
        settings.write_text(
            render((ROOT / spec["template"]).read_text(), fields)
        )
        command = spec["run"].split()
        command[-1] = str(settings)
        return Daemon(name, command, self.folder / f"{name}.log")

    def leader(self) -> Daemon:
        """Returns the replica that leads, by its metrics.

        Raises:
          CannotRunError: None leads.
        """
        for number, replica in enumerate(self.replicas):
            address = f"{self.replica_ip(number)}:9464"
            connection = http.client.HTTPConnection(address, timeout=1.0)
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection.request("GET", "/metrics")
                text = connection.getresponse().read().decode()
                if re.search(r"^\S*leads 1(\.0)?$", text, re.MULTILINE):
                    return replica
        raise CannotRunError("no replica leads")

    # --- Record ---

    def note(self, text: str) -> None:
        """Writes a line of the record."""
        with self.lock:
            self.record_file.write(f"{time.time() - self.began:8.3f} {text}\n")
            self.record_file.flush()

    def events(self, name: str) -> list[dict]:
        """Returns what a worker has logged."""
        path = self.folder / f"{name}.events"
        if not path.exists():
            return []
        lines = path.read_text(encoding="utf-8").splitlines()
        events = []
        for line in lines:
            # A line may be cut short by a kill.
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events

    def all_events(self) -> list[dict]:
        """Returns what all workers have logged, by time."""
        events = [event for name in self.workers for event in self.events(name)]
        return sorted(events, key=lambda event: event["at"])

    # --- Callers and operator ---

    def ask(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = 3.0,
        host: str = HOST,
    ) -> tuple[int, Any]:
        """Returns status and body; status 0 for no complete answer."""
        connection = http.client.HTTPConnection(address, timeout=timeout)
        headers = {"Host": host, "X-Deadline-Ms": str(int(timeout * 1000))}
        data = None
        if body is not None:
            data = (
                body if isinstance(body, bytes) else json.dumps(body).encode()
            )
            headers["Content-Type"] = "application/json"
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            payload = response.read()
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()
        try:
            return response.status, json.loads(payload)
        except ValueError:
            return response.status, None

    def config(self, version: int, queues: dict | None = None) -> dict:
        """Returns a config of the operator."""
        routes = [
            {
                "name": f"r-{name}",
                "host": HOST,
                "type": "unsafe",
                "timeout_ms": 3000,
                "slo_ms": 1000,
                "backend": SERVICE,
                "stretch": 2.0,
                **fields,
            }
            for name, fields in (queues or QUEUES).items()
        ]
        service = {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 0.0,
            "cold_per_s": 0.0,
            "admission_check": False,
            "standby": False,
        }
        return {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        }

    def put_config(self, config: dict, within_s: float = 20.0) -> bool:
        """Sends a config until it is acknowledged."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            for control in self.controls:
                status, _ = self.ask(
                    control, "POST", "/galenahook/config/put", config, 1.0
                )
                if status == 200:
                    self.note(
                        f"operator: config {config['version']} acknowledged"
                    )
                    return True
            time.sleep(0.2)
        return False

    def submit(
        self, queue: str, job: str, body: dict, within_s: float = 20
    ) -> bool:
        """Hands in a job until it has a clear answer; notes each answer."""
        until = time.monotonic() + within_s
        turn = 0
        while time.monotonic() < until:
            front = self.fronts[turn % len(self.fronts)]
            turn += 1
            status, _ = self.ask(front, "POST", f"/{queue}/{job}", body)
            self.note(f"consumer: POST /{queue}/{job} to {front}: {status}")
            if status == 200:
                return True
            time.sleep(0.3)
        return False

    def state(self, queue: str, job: str) -> tuple[int, str]:
        """Returns status and state of a job, from the first clear answer."""
        for front in self.fronts:
            status, body = self.ask(front, "GET", f"/{queue}/{job}")
            if status == 200:
                return status, body["state"]
            if status == 410:
                return status, ""
        return status, ""

    # --- Run ---

    def start(self) -> None:
        """Starts all processes and waits until they are ready."""
        for daemon in [*self.replicas, *self.entries]:
            daemon.start()
        for worker in self.workers.values():
            worker.start()
        if not self.put_config(self.config(1), 40.0):
            raise CannotRunError(
                "the first config was not acknowledged in 40 s"
            )
        until = time.monotonic() + 20.0
        while time.monotonic() < until:
            statuses = [
                self.ask(front, "GET", "/plan/", timeout=1.0)[0]
                for front in self.fronts
            ]
            up = [name for name in self.workers if self.events(name)]
            if set(statuses) == {200} and len(up) == len(self.workers):
                time.sleep(2 * HEARTBEAT_MS / 1000)
                self.note("site: ready")
                return
            time.sleep(0.2)
        raise CannotRunError("the site did not become ready")

    def stop(self) -> None:
        """Ends all processes."""
        for daemon in [*self.entries, *self.workers.values(), *self.replicas]:
            daemon.kill()

    def close(self) -> None:
        """Ends all processes and completes the record."""
        self.stop()
        for event in self.all_events():
            if event["event"] != "noted":
                at = event["at"] - self.began
                rest = {
                    key: value
                    for key, value in event.items()
                    if key not in ("at", "worker", "event", "born")
                }
                self.record_file.write(
                    f"{at:8.3f} {event['worker']}: {event['event']} "
                    f"{json.dumps(rest) if rest else ''}\n"
                )
        self.record_file.close()
        if os.environ.get("KEEP") == "1":
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case: pathlib.Path, run, **options) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if not, 2 if not run."""
    site = None
    try:
        site = Site(case, **options)
        site.start()
        findings = run(site)
    except Exception as error:
        if not isinstance(error, CannotRunError):
            traceback.print_exc()
        print(f"could not run: {error}")
        if site is not None:
            site.note(f"could not run: {error}")
        return 2
    finally:
        if site is not None:
            site.close()
    with (case / "record.txt").open("a", encoding="utf-8") as record:
        for finding in findings:
            print(finding)
            record.write(f"BROKEN {finding}\n")
        if not findings:
            print("held")
            record.write("held\n")
    return 1 if findings else 0
