"""Processes of a site in a soak, and the faults that act on them."""

import dataclasses
import json
import pathlib
import resource
import signal
import subprocess
import sys
import threading
from typing import IO

import curio

from fakes import loopback

STOP_MS = 2_000
LEASE_MS = 3_000
_SEEDS = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Layout:
    """Processes of a site.

    Attributes:
      replica_zones: Availability zone of each replica.
      entries: Number of entries.
    """

    replica_zones: tuple[str, ...]
    entries: int


LAYOUTS = {
    "small": Layout(("zone-a", "zone-b", "zone-c"), 2),
    "guild-bookings": Layout(
        ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c"), 7
    ),
    "vosceni-ovoj": Layout(
        ("zone-a", "zone-a", "zone-b", "zone-c", "zone-d"), 9
    ),
    "crowded": Layout(("zone-a", "zone-a", "zone-b", "zone-c", "zone-d"), 100),
}


@dataclasses.dataclass(slots=True)
class Daemon:
    """A process of the site.

    Attributes:
      role: Its command, `replica` or `entry`.
      settings: Path of its settings.
      process: The process.
      faults: Faults that act on it.
      refusals: Times that its disk was made to refuse writes.
    """

    role: str
    settings: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    faults: int = 0
    refusals: int = 0

    def start(self) -> None:
        """Starts the process; its output is appended to a log file.

        The output goes through a pipe, to which no limit of the file size
        applies.
        """
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "galenahook",
                self.role,
                "--settings",
                str(self.settings),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        threading.Thread(
            target=_copy_output,
            args=(self.process.stdout, self.settings.with_suffix(".log")),
            daemon=True,
        ).start()

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def refuse_writes(self, are_refused: bool) -> None:
        """Makes the disk of the process refuse writes, or accept them again.

        Lowers the soft limit of the file size to 0 bytes, or raises it to the
        hard limit. Neither needs privileges.
        """
        if self.process is None or not self.is_running():
            return
        kind = resource.RLIMIT_FSIZE
        _, hard = resource.prlimit(self.process.pid, kind)
        soft = 0 if are_refused else hard
        resource.prlimit(self.process.pid, kind, (soft, hard))

    def count_refused_writes(self) -> int:
        """Returns how many refused writes it has logged."""
        log = self.settings.with_suffix(".log")
        return log.read_bytes().count(b"disk:write-refused")

    async def restart(self) -> None:
        """Waits for the end of the process and starts it again."""
        while self.is_running():
            await curio.sleep(0.02)
        self.start()


def _copy_output(output: IO[bytes], log: pathlib.Path) -> None:
    with output, log.open("ab") as file:
        while data := output.read1():  # type: ignore[attr-defined]
            file.write(data)
            file.flush()


class Site:
    """The processes of a site.

    Attributes:
      replicas: The replicas.
      daemons: All processes.
      controls: Address of each replica for operators and workers.
      entries: Address of each entry for callers.
    """

    def __init__(self, folder: pathlib.Path, layout: Layout) -> None:
        hosts = loopback.HOSTS[: len(layout.replica_zones)]
        control_port = loopback.free_port()
        self.controls = [f"{host}:{control_port}" for host in hosts]
        self.entries = loopback.free_addresses(layout.entries)
        common = {
            "seeds": self.controls[:_SEEDS],
            "peer_port": loopback.free_port(),
            "stop_ms": STOP_MS,
        }
        self.replicas = []
        for host, control, zone in zip(
            hosts, self.controls, layout.replica_zones, strict=True
        ):
            (folder / host).mkdir()
            replica = {
                "name": f"replica-{host}",
                "availability_zone": zone,
                "control": {"listen": control},
                "metrics": {"listen": f"{host}:0"},
                "host": host,
                "data_folder": str(folder / host),
                "may_found": True,
                "worker_lease_ms": LEASE_MS,
                "worker_heartbeat_ms": 200,
            }
            path = _write_settings(folder, replica | common)
            self.replicas.append(Daemon("replica", path))
        entries = []
        for number, address in enumerate(self.entries):
            entry = {
                "name": f"entry-{number}",
                "availability_zone": "zone-a",
                "callers": {"listen": address},
                "platform": {"listen": "127.0.0.1:0"},
                "metrics": {"listen": "127.0.0.1:0"},
            }
            path = _write_settings(folder, entry | common)
            entries.append(Daemon("entry", path))
        self.daemons = self.replicas + entries

    def start(self) -> None:
        """Starts all processes."""
        for daemon in self.daemons:
            daemon.start()

    def kill(self) -> None:
        """Ends all processes."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGKILL)


def _write_settings(
    folder: pathlib.Path, settings: dict[str, object]
) -> pathlib.Path:
    path = folder / f"{settings['name']}.json"
    path.write_text(json.dumps(settings))
    return path
