"""A small site of real processes on loopback addresses, for the cases.

Each machine has its own loopback address. Replicas and entries are started
with the commands and the settings templates of the deploy file, from the
build in `target/`; executors are stand-ins. `Site.record` writes what was sent
and answered to the record of the case; the executors write what they run.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
STANDINS = ROOT / "target" / "review-2"
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8161, 8167, 8166, 7720
EXECUTOR_PORT = 8080
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
# Figures of the site file guild-bookings.
BOUNDS = {"grace_s": 6, "max_hold_ms": 10_000}
HEARTBEAT_MS = 1_100
# `memory_mb` of a core machine in the site file, and the pause of a restart.
MEMORY_MB = 296
RESTART_S = 1.0
ZONES = ("scot-central-a", "scot-central-b", "scot-central-c")
FAILED, HELD, NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case can't run."""


def trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def _render(template: str, fields: dict[str, Any]) -> str:
    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for part in match[1].split("."):
            found = found[int(part)] if part.isdigit() else found.get(part)
        if match[2]:
            return json.dumps(found)
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Machine:
    """A machine with one process.

    Attributes:
      name: Name of the machine.
      address: Its loopback address.
      process: Its process; None before the first start.
    """

    def __init__(self, name: str, address: str, command: list[str]) -> None:
        self.name = name
        self.address = address
        self.command = command
        self.process: subprocess.Popen[bytes] | None = None
        self.log: pathlib.Path | None = None

    def start(self, folder: pathlib.Path) -> None:
        """Starts the process."""
        self.log = folder / f"{self.name}.log"
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def has_ended(self) -> bool:
        """Returns whether the process was started and has ended."""
        return self.process is not None and self.process.poll() is not None


class Site:
    """Replicas, entries and executors."""

    def __init__(
        self,
        case: pathlib.Path,
        replicas: int = 3,
        entries: int = 2,
        executors: int = 4,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.record_path = case / "record.txt"
        self.record_path.unlink(missing_ok=True)
        self.network = _free_network()
        self.seeds = [
            f"{self.network}.{10 + number}:{CONTROL_PORT}"
            for number in range(min(3, replicas))
        ]
        self.controls = [
            f"{self.network}.{10 + number}:{CONTROL_PORT}"
            for number in range(replicas)
        ]
        self.fronts = [
            f"{self.network}.{40 + number}:{FRONT_PORT}"
            for number in range(entries)
        ]
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.replicas = [
            self._program("replica", 10 + number, number, roles["roles"])
            for number in range(replicas)
        ]
        self.entries = [
            self._program("entry", 40 + number, number, roles["roles"])
            for number in range(entries)
        ]
        self.executors = [self._executor(number) for number in range(executors)]
        self.lives = 0
        self.version = 0

    def _program(
        self, role: str, last: int, number: int, roles: dict[str, Any]
    ) -> Machine:
        address = f"{self.network}.{last}"
        name = f"{role}-{number}"
        data = self.folder / name
        fields = {
            "node_name": name,
            "zone": ZONES[number % len(ZONES)],
            "ip": address,
            "listen": {
                "front": f"{address}:{FRONT_PORT}",
                "ready": f"{address}:{READY_PORT}",
                "control": f"{address}:{CONTROL_PORT}",
            },
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "seeds": self.seeds,
            "bootstrap": True,
            "data_dir": str(data),
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
        }
        if role == "replica":
            data.mkdir()
        template = (ROOT / roles[role]["template"]).read_text()
        settings = self.folder / f"{name}.json"
        settings.write_text(_render(template, fields))
        words = roles[role]["run"].split()
        command = [
            str(settings) if word == "/etc/galenahook/local.yaml" else word
            for word in words
        ]
        return Machine(name, address, command)

    def set_bootstrap(self, replica: Machine, value: bool) -> None:
        """Changes `may_found` in the settings, as after the first start."""
        path = self.folder / f"{replica.name}.json"
        settings = json.loads(path.read_text())
        settings["may_found"] = value
        path.write_text(json.dumps(settings))

    def _executor(self, number: int) -> Machine:
        address = f"{self.network}.{100 + number}"
        return Machine(f"m-{number:05x}", address, [])

    def start_executor(self, machine: Machine) -> str:
        """Starts the next life of an executor; returns its identifier."""
        self.lives += 1
        number = self.executors.index(machine)
        identifier = f"i-{number:04x}{self.lives:04x}"
        machine.command = [
            sys.executable,
            str(STANDINS / "executor.py"),
            *("--id", identifier, "--machine", machine.name),
            *("--zone", ZONES[number % len(ZONES)], "--rack", "r1-1"),
            *("--service", SERVICE),
            *("--listen", f"{machine.address}:{EXECUTOR_PORT}"),
            *("--controls", ",".join(self.controls)),
            *("--record", str(self.record_path)),
            *("--heartbeat-ms", str(HEARTBEAT_MS)),
            *("--max-hold-ms", str(BOUNDS["max_hold_ms"])),
        ]
        machine.start(self.folder)
        return identifier

    def record(self, what: str, **fields: Any) -> None:
        """Appends one line to the record."""
        line = {"at": round(time.time(), 3), "what": what, **fields}
        with self.record_path.open("a") as file:
            file.write(json.dumps(line) + "\n")

    def recorded(self) -> list[dict[str, Any]]:
        """Returns the record so far."""
        lines = self.record_path.read_text().splitlines()
        return [json.loads(line) for line in lines]

    async def start(self) -> None:
        """Starts everything; returns once a config is acknowledged.

        Raises:
          NotRunError: The build is missing, or nothing answers in time.
        """
        if not (ROOT / "target" / "deps" / "galenahook").is_dir():
            raise NotRunError("the build of the deploy file is missing")
        if not (STANDINS / "executor.py").is_file():
            raise NotRunError("review/build-2.sh was not run")
        for machine in [*self.replicas, *self.entries]:
            machine.start(self.folder)
        for machine in self.executors:
            self.start_executor(machine)
        end = time.monotonic() + 20
        while not await self.put_config():
            if time.monotonic() > end:
                raise NotRunError("no config was acknowledged in 20 s")
            await asyncio.sleep(0.2)
        while not await self._is_ready():
            if time.monotonic() > end:
                raise NotRunError("the entries are not ready after 20 s")
            await asyncio.sleep(0.2)
        for replica in self.replicas:
            self.set_bootstrap(replica, False)
        # Each executor has sent two pings, and been polled.
        await asyncio.sleep(2.5 * HEARTBEAT_MS / 1000)

    async def _is_ready(self) -> bool:
        for entry in self.entries:
            address = f"{entry.address}:{READY_PORT}"
            path = "/galenahook/readiness"
            status, _ = await wire.call(address, "GET", path, timeout_s=1)
            if status != 200:
                return False
        return True

    def config(self, version: int, max_attempts: int = 4) -> dict[str, Any]:
        """Returns a config with one route."""
        return {
            "version": version,
            "routes": [
                {
                    "name": "r-3hwrr6x",
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "type": "unsafe",
                    "timeout_ms": 3000,
                    "slo_ms": 1000,
                    "priority": 0,
                    "backend": SERVICE,
                    "max_attempts": max_attempts,
                    "stretch": 2.0,
                }
            ],
            "services": [
                {
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
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

    async def put_config(self) -> bool:
        """Sends the first config to each node until one acknowledges it."""
        for control in self.controls:
            status, reply = await wire.call(
                control,
                "POST",
                "/galenahook/config/put",
                self.config(7),
                1.0,
            )
            self.record("config", node=control, status=status, reply=reply)
            if status == 200:
                return True
        return False

    async def consumer(
        self,
        method: str,
        job: str,
        body: dict[str, Any] | None = None,
        front: str = "",
    ) -> tuple[int, Any]:
        """Sends a consumer's request for a job to an entry."""
        front = front or self.random.choice(self.fronts)
        status, reply = await wire.call(
            front,
            method,
            PREFIX + job,
            body,
            3.0,
            host=HOST,
            x_deadline_ms="3000",
        )
        self.record(
            "consumer",
            method=method,
            job=job,
            entry=front,
            status=status,
            reply=reply,
        )
        return status, reply

    async def submit(self, body: dict[str, Any]) -> str:
        """Submits a job until it is accepted; returns its identifier.

        Raises:
          NotRunError: It is not accepted in 20 s.
        """
        job = f"{self.random.getrandbits(64):016x}"
        for _ in range(20):
            status, _ = await self.consumer("POST", job, body)
            if status == 200:
                return job
            await asyncio.sleep(1)
        raise NotRunError("a job was not accepted")

    async def state(self, job: str) -> str:
        """Returns the state that a consumer is shown; "" without one."""
        status, reply = await self.consumer("GET", job)
        return reply.get("state", "") if status == 200 else ""

    def stop(self) -> None:
        """Ends every process that was started; keeps no files."""
        for machine in [*self.replicas, *self.entries, *self.executors]:
            with contextlib.suppress(OSError):
                machine.signal(signal.SIGCONT)
                machine.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def memory_mb(machine: Machine) -> float:
    """Returns the memory that a process uses, 0 if it has ended."""
    if machine.process is None:
        return 0.0
    try:
        text = pathlib.Path(f"/proc/{machine.process.pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Kills a replica that uses too much memory and starts it again."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.kills = {machine.name: 0 for machine in site.replicas}
        self.peaks = {machine.name: 0.0 for machine in site.replicas}

    async def watch(self) -> None:
        """Watches all replicas until cancelled."""
        await asyncio.gather(
            *[self._watch_one(machine) for machine in self.site.replicas]
        )

    async def _watch_one(self, machine: Machine) -> None:
        while True:
            await asyncio.sleep(0.02)
            used_mb = memory_mb(machine)
            self.peaks[machine.name] = max(self.peaks[machine.name], used_mb)
            if used_mb <= MEMORY_MB and not machine.has_ended():
                continue
            machine.kill()
            self.kills[machine.name] += 1
            self.site.record(
                "over-memory", machine=machine.name, used_mb=round(used_mb)
            )
            await asyncio.sleep(RESTART_S)
            machine.start(self.site.folder)


def _free_network() -> str:
    """Returns the first three numbers of unused loopback addresses."""
    for _ in range(50):
        network = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        if all(_is_free(f"{network}.{last}") for last in (10, 40, 100)):
            return network
    raise NotRunError("no free loopback addresses")


def _is_free(address: str) -> bool:
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, EXECUTOR_PORT)
    for port in ports:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((address, port))
            except OSError:
                return False
    return True


def run(case: pathlib.Path, play: Any, **options: Any) -> None:
    """Plays a case and exits with 1 if the rule was broken, 0 if it held.

    `play` gets the site and returns the findings. Exits with 2 if the case
    can't run.
    """
    site = None
    try:
        site = Site(case, **options)
        findings = asyncio.run(_play(site, play))
    except NotRunError as error:
        print(f"could not run: {error}")
        sys.exit(NOT_RUN)
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    finally:
        if site is not None:
            site.stop()
    for finding in findings:
        print(finding)
    print("the rule was broken" if findings else "the rule held")
    sys.exit(FAILED if findings else HELD)


async def _play(site: Site, play: Any) -> list[str]:
    await site.start()
    findings: list[str] = await play(site)
    for finding in findings:
        site.record("finding", text=finding)
    return findings
