"""A small deployment on loopback addresses: programs, executors, callers.

Programs are started with the commands of the deploy file, and all processes are
ended by `Deployment.close`. `record.txt` has what was sent, answered and run.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
PREFIX = "/q/"
REPLICAS = 3
WORKER_LEASE_MS = 6_000
GRACE_MS = 6_000
START_TIMEOUT_S = 40.0


class CannotRunError(Exception):
    """The case could not be played."""


def free_port(host):
    """Returns a port that is free on an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Deployment:
    """Replicas, one entry and executors as separate processes.

    `workers` has the zone and the kind of each executor.
    """

    def __init__(self, folder, workers):
        self.record = (folder / "record.txt").open("w", buffering=1)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="galenahook-"))
        self.events = self.folder / "events.jsonl"
        self.events.touch()
        self.processes = {}
        number = random.randrange(1, 250)
        base = f"127.{random.randrange(1, 250)}.{number}"
        self.hosts = [f"{base}.{11 + n}" for n in range(REPLICAS)]
        # The ports are the same on all machines.
        control, peers = free_port(self.hosts[0]), free_port(self.hosts[0])
        self.controls = [f"{host}:{control}" for host in self.hosts]
        self.front = f"{base}.2:{free_port(f'{base}.2')}"
        common = {
            "availability_zone": "zone-a",
            "seeds": self.controls,
            "peer_port": peers,
            "stop_ms": GRACE_MS,
        }
        for host, address in zip(self.hosts, self.controls, strict=True):
            data = self.folder / host
            data.mkdir()
            self.settings(
                f"replica-{host}",
                control={"listen": address},
                metrics={"listen": f"{host}:0"},
                host=host,
                data_folder=str(data),
                may_found=True,
                worker_lease_ms=WORKER_LEASE_MS,
                worker_heartbeat_ms=1_000,
                **common,
            )
        self.settings(
            "entry",
            callers={"listen": self.front},
            platform={"listen": f"{base}.2:0"},
            metrics={"listen": f"{base}.2:0"},
            **common,
        )
        self.workers = {
            f"i-{n}": (
                f"{base}.{100 + n}:{free_port(f'{base}.{100 + n}')}",
                *of,
            )
            for n, of in enumerate(workers)
        }

    def settings(self, name, **fields):
        """Writes the settings of a program."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({"name": name, **fields}))

    def note(self, text):
        """Writes a line of the record."""
        self.record.write(f"{time.time():.3f} {text}\n")

    # --- Processes ------------------------------------------------------------

    def spawn(self, name, words):
        """Starts a process in the environment of the platform."""
        keep = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in keep if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                words, stdout=log, stderr=log, env=environment, cwd=ROOT
            )
        self.note(f"process {name} started")

    def start_program(self, role, name):
        """Starts a program with the command of the deploy file."""
        path = str(self.folder / f"{name}.json")
        self.spawn(
            name, ["python3", "-m", "galenahook", role, "--settings", path]
        )

    def start_worker(self, name):
        """Starts an executor, also again under the same identifier."""
        address, zone, kind = self.workers[name]
        script = str(ROOT / "review" / "standins" / "worker.py")
        words = [sys.executable, script, name, address, zone, f"m-{name}"]
        self.spawn(name, [*words, kind, str(self.events), *self.controls])

    def signal(self, name, number):
        """Sends a signal to a process that this site started."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)
        self.note(f"process {name}: {number.name}")

    def signal_replica(self, number, signal_number):
        """Sends a signal to a replica."""
        self.signal(f"replica-{self.hosts[number]}", signal_number)

    def crash(self, name):
        """Kills a process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def start(self):
        """Starts everything and puts the configuration."""
        for host in self.hosts:
            self.start_program("replica", f"replica-{host}")
        self.start_program("entry", "entry")
        for name in self.workers:
            self.start_worker(name)
        body = self.configuration()
        self.until(
            lambda: self.operate("config/put", body=body)[0] == 200,
            "the configuration is confirmed",
        )
        self.until(
            lambda: self.ask("GET", "")[0] == 200, "the entry knows the queue"
        )

    def configuration(self):
        """Returns the first configuration."""
        route = {
            "name": "r-q",
            "host": HOST,
            "path_prefix": PREFIX,
            "type": "unsafe",
            "timeout_ms": 3000,
            "slo_ms": 1000,
            "priority": 0,
            "backend": "desk",
            "max_attempts": 3,
            "stretch": 2.0,
        }
        service = {"name": "desk", "admission_check": False}
        return {"version": 1, "routes": [route], "services": [service]}

    def until(self, condition, what, timeout_s=START_TIMEOUT_S):
        """Waits for a condition."""
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise CannotRunError(f"not in time: {what}")
            time.sleep(0.1)

    def close(self):
        """Ends every process; keeps no file but the record."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            process.wait()
        for event in self.read_events():
            text = json.dumps(event)
            self.record.write(f"{event['t']:.3f} executor {text}\n")
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    def read_events(self):
        """Returns what the executors recorded, in order."""
        lines = self.events.read_text().splitlines()
        return sorted(map(json.loads, lines), key=lambda event: event["t"])

    # --- Calls ----------------------------------------------------------------

    def call(self, address, method, path, body=None, headers=(), timeout_s=1.0):
        """Sends one call; returns its status, 0 without one, and its body."""
        text = None if body is None else json.dumps(body)
        fields = dict(headers)
        if body is not None:
            fields["Content-Type"] = "application/json"
        self.note(f"sent {method} {path} to {address} {(text or '')[:200]}")
        connection = http.client.HTTPConnection(address, timeout=timeout_s)
        try:
            connection.request(method, path, text, fields)
            response = connection.getresponse()
            data = response.read()
            status = response.status
        except OSError as error:
            self.note(f"no answer to {method} {path} from {address}: {error!r}")
            return 0, b""
        finally:
            connection.close()
        self.note(f"answer {status} to {method} {path} {data[:200]!r}")
        return status, data

    def ask(self, method, job, body=None):
        """Sends a caller's call to the entry."""
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        path = PREFIX + job
        return self.call(self.front, method, path, body, headers, 3.0)

    def state(self, job):
        """Returns the state that a caller is shown, or an empty string."""
        status, data = self.ask("GET", job)
        return json.loads(data)["state"] if status == 200 else ""

    def operate(self, order, first=0, body=None):
        """Sends an operator's order; after a second, to the next replica.

        Returns:
          The status and the replica that confirmed it.
        """
        for number in range(REPLICAS):
            address = self.controls[(first + number) % REPLICAS]
            path = f"/galenahook/{order}"
            status, _ = self.call(address, "POST", path, body)
            if status and status < 500:
                return status, address
        return 0, ""


def play(folder, workers, case, starts=True):
    """Plays a case; exits with 1 if a rule was broken, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = Deployment(pathlib.Path(folder), workers)
    try:
        if starts:
            site.start()
        broken = case(site, trouble)
    except CannotRunError as error:
        site.note(f"could not run: {error}")
        print(f"could not run: {error}")
        status = 2
    else:
        for line in broken:
            site.note(f"BROKEN {line}")
            print(f"BROKEN {line}")
        status = 1 if broken else 0
    finally:
        site.close()
    sys.exit(status)
