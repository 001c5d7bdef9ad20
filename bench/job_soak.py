"""Injects random faults into a site of real processes and checks its promises.

    python -m job_soak [--seed N] [--seconds N] [--folder DIR]
        [--layout NAME] [--faults NAME,...]

Starts replicas and entries as processes, and workers in this one, each behind a
relay. While callers submit and cancel jobs on connections that they keep, and
operators change the configuration and take a zone out of service and back,
processes are paused, killed, stopped, reloaded and restarted, disks refuse
writes, and links are held, delayed or cut; replies to orders are lost. Checks
from what callers, operators and workers see that no task runs in two places,
nothing starts that was not accepted, is completed or is in a zone out of
service, that acknowledged changes are in force, and that every accepted job
ends or lasts once the faults are over. The faults of a seed repeat; their
interleaving with the processes does not. Prints the findings; exits with 1 if
there are any.

A disk refuses writes while the limit of the file size of its process is lowered
to 0 bytes, which needs no privileges. The output of processes is read through
pipes, to which the limit does not apply.
"""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile

import curio

from fakes import platform_worker
from fakes import relay as relay_lib
from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import web
import soak_operators
import soak_processes

WORKERS = 4
CHECK_PERIOD_MS = 10
# Time after the last fault in which every accepted job must have ended: an
# election, two leases and the longest job.
RECOVERY_MS = 30_000
SUBMIT_PERIOD_MS = 150
ASK_TIMEOUT_MS = 3_000
CANCELLED_SHARE = 0.15
LASTING_JOBS = 2
LASTING_TASKS = 2
# Longest time for which a disk refuses writes.
MAX_REFUSAL_S = 5.0
# Time for which a process that was restarted, or whose disk refused writes,
# still counts as faulty, as it has to catch up.
CATCH_UP_S = 2.0


class RelayedWorker(platform_worker.PlatformWorker):
    """A worker behind a relay.

    Attributes:
      relay: The relay, whose address the worker announces.
    """

    def __init__(self, name: str, zone: str) -> None:
        super().__init__(name, zone=zone)
        self.relay = relay_lib.TcpRelay(self._server.address)

    @property
    def address(self) -> str:
        """Address that it announces."""
        return self.relay.address

    def live_runs(self) -> set[str]:
        """Returns the tasks that run under a valid lease."""
        if self.clock_ms() > self._deadline_ms:
            return set()
        return set(self.running)


@dataclasses.dataclass(slots=True)
class CallersJob:
    """What a caller knows of its job.

    Attributes:
      accepted: Whether a submission was acknowledged.
      may_be_stored: Whether a submission had no clear answer.
      cancelled: Whether its cancellation was sent.
      completed_ms: When it was first shown as completed; 0 before.
      lasts: Whether its tasks run until it is cancelled.
    """

    accepted: bool = False
    may_be_stored: bool = False
    cancelled: bool = False
    completed_ms: int = 0
    lasts: bool = False


class Soak:
    """A site under faults.

    Attributes:
      findings: Broken promises.
      jobs: Jobs by identifier.
      operators: Operators of the site.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: pathlib.Path,
        layout: str = "small",
        faults: tuple[str, ...] = (),
    ) -> None:
        self.random = random.Random(seed)
        self.seconds = seconds
        self.clock = clock_lib.Clock()
        self.findings: list[str] = []
        self.jobs: dict[str, CallersJob] = {}
        zones = ("zone-a", soak_operators.CHANGED_ZONE)
        self.workers = [
            RelayedWorker(f"w{n}", zones[n % len(zones)])
            for n in range(WORKERS)
        ]
        self.site = soak_processes.Site(folder, soak_processes.LAYOUTS[layout])
        self.operators = soak_operators.Operators(
            self.site.controls, self.random, self.findings
        )
        self._fault_names = faults or tuple(self._fault_kinds())
        self._connections: dict[str, list[web.ClientConnection]] = {}

    async def run(self) -> None:
        """Plays the faults, then waits for the jobs to end."""
        operators = self.operators
        tasks = []
        try:
            self.site.start()
            for worker in self.workers:
                tasks.append(
                    await curio.spawn(worker.run, self.site.controls[:3])
                )
                tasks.append(await curio.spawn(worker.relay.run))
            await operators.put_first_site()
            tasks.append(await curio.spawn(self._check_runs))
            tasks.append(await curio.spawn(operators.read_site_repeatedly))
            users = [
                await curio.spawn(user)
                for user in (
                    self._submit_jobs,
                    operators.change_site_repeatedly,
                    operators.change_zone_repeatedly,
                )
            ]
            await self._inject_faults()
            for user in users:
                await user.cancel()
            await operators.return_zone(RECOVERY_MS)
            await self._wait_for_ends()
            await operators.check_site_at_end(RECOVERY_MS)
            await self._check_newest_queue()
        finally:
            for task in tasks:
                await task.cancel()
            self.site.kill()

    # --- Callers --------------------------------------------------------------

    async def _ask(
        self, method: str, target: str, body: bytes = b"", entry: str = ""
    ) -> web.Response | None:
        """Sends a request to one of the entries; None without an answer.

        Open connections are used again until they fail.
        """
        entry = entry or self.random.choice(self.site.entries)
        idle = self._connections.setdefault(entry, [])
        try:
            connection = idle.pop() if idle else await web.connect(entry)
        except errors.ExchangeError:
            return None
        connection.address = soak_operators.HOST
        request = web.Request(method, target, [], body)
        try:
            response = await connection.exchange(request, ASK_TIMEOUT_MS)
        except errors.ExchangeError:
            await connection.close()
            return None
        if connection.reusable:
            idle.append(connection)
        else:
            await connection.close()
        return response

    async def _submit_jobs(self) -> None:
        number = 0
        while True:
            number += 1
            identifier = f"{number:016x}"
            job = self.jobs[identifier] = CallersJob(
                lasts=number <= LASTING_JOBS
            )
            await curio.spawn(self._submit, identifier, job, daemon=True)
            await curio.sleep(clock_lib.seconds(SUBMIT_PERIOD_MS))

    def _order(self, job: CallersJob) -> bytes:
        """Returns the body of a submission."""
        if job.lasts:
            step = {
                "count": LASTING_TASKS,
                "cpu": 500,
                "mem_mb": 100,
                "long_running": True,
            }
            return json.dumps({"spec": "-1", "steps": [step]}).encode()
        steps: list[dict[str, object]] = [
            {
                "count": self.random.randint(1, 3),
                "cpu": self.random.choice((500, 1_000, 2_000)),
                "mem_mb": 100,
            }
            for _ in range(self.random.randint(1, 2))
        ]
        if len(steps) > 1:
            steps[1]["depends_on"] = [0]
        spec = str(self.random.randint(100, 1_200))
        return json.dumps({"spec": spec, "steps": steps}).encode()

    async def _submit(self, identifier: str, job: CallersJob) -> None:
        target = soak_operators.PREFIX + identifier
        body = self._order(job)
        for _ in range(4):
            response = await self._ask("POST", target, body)
            if response is not None and response.status == 200:
                job.accepted = True
                break
            is_refused = response is not None and response.status in (429, 503)
            job.may_be_stored = job.may_be_stored or not is_refused
            await curio.sleep(0.1)
        is_cancelled = self.random.random() < CANCELLED_SHARE
        if job.accepted and is_cancelled and not job.lasts:
            job.cancelled = True
            await self._ask("DELETE", target)

    async def _wait_for_ends(self) -> None:
        """Waits until each accepted job is shown as ended, or lasts."""
        open_jobs = [name for name, job in self.jobs.items() if job.accepted]
        end_ms = self.clock.monotonic_ms() + RECOVERY_MS
        states: dict[str, str] = {}
        while open_jobs and self.clock.monotonic_ms() < end_ms:
            for name in open_jobs:
                if self.clock.monotonic_ms() >= end_ms:
                    break
                response = await self._ask("GET", soak_operators.PREFIX + name)
                if response is None:
                    continue
                if response.status == 410:
                    states[name] = "unknown"
                elif response.status == 200:
                    states[name] = json.loads(response.body)["state"]
                if states.get(name) == "completed":
                    self.jobs[name].completed_ms = self.clock.monotonic_ms()
            open_jobs = [
                name
                for name in open_jobs
                if states.get(name) not in ("completed", "cancelled")
                and not (self.jobs[name].lasts and self._is_running(name))
            ]
            await curio.sleep(0.2)
        self.findings += [
            f"LOST {name}: accepted, and {states.get(name, 'not shown')}"
            for name in open_jobs
        ]
        self.findings += [
            f"LOST {name}: {states[name]} by nobody"
            for name in states
            if self.jobs[name].lasts
            and states[name] in ("completed", "cancelled", "failed")
        ]
        self.findings += [
            f"LOST {name}: cancelled by nobody"
            for name, state in states.items()
            if state == "cancelled" and not self.jobs[name].cancelled
        ]
        await curio.sleep(clock_lib.seconds(soak_processes.LEASE_MS))

    def _is_running(self, name: str) -> bool:
        """Returns whether all tasks of a lasting job run."""
        running = {task for w in self.workers for task in w.live_runs()}
        tasks = [task for task in running if task.startswith(f"{name}.")]
        return len(tasks) == LASTING_TASKS

    async def _check_newest_queue(self) -> None:
        """Checks that each entry serves the queue that was added last."""
        target = self.operators.newest_prefix()
        end_ms = self.clock.monotonic_ms() + RECOVERY_MS
        for entry in self.site.entries:
            while True:
                response = await self._ask("GET", target, entry=entry)
                if response is not None and response.status == 200:
                    break
                if self.clock.monotonic_ms() >= end_ms:
                    self.findings.append(f"CONFIG {target}: not at {entry}")
                    break
                await curio.sleep(0.1)

    # --- Checks ---------------------------------------------------------------

    async def _check_runs(self) -> None:
        """Checks all runs and starts until cancelled."""
        seen = dict.fromkeys(self.workers, 0)
        reported: set[str] = set()
        while True:
            places: dict[str, str] = {}
            for worker in self.workers:
                for task in worker.live_runs():
                    other = places.setdefault(task, worker.name)
                    if other != worker.name and task not in reported:
                        reported.add(task)
                        self.findings.append(
                            f"TWICE {task}: on {other} and {worker.name}"
                        )
                for task, run in worker.started[seen[worker] :]:
                    self._check_start(worker, task, run)
                seen[worker] = len(worker.started)
            await curio.sleep(clock_lib.seconds(CHECK_PERIOD_MS))

    def _check_start(self, worker: RelayedWorker, task: str, run: int) -> None:
        job = self.jobs.get(task.split(".")[0])
        is_out = worker.zone == soak_operators.CHANGED_ZONE
        if is_out and self.operators.is_zone_out():
            self.findings.append(f"EVAC {task} {run} on {worker.name}")
        if job is None:
            self.findings.append(f"UNASKED {task} {run} on {worker.name}")
        elif job.completed_ms:
            self.findings.append(
                f"TWICE {task} {run} on {worker.name}: its job is completed"
            )

    def check_refusals(self) -> None:
        """Checks that nothing has started of jobs that were always refused."""
        started = {
            task.split(".")[0]
            for worker in self.workers
            for task, _ in worker.started
        }
        self.findings += [
            f"REFUSED {name}: started"
            for name, job in self.jobs.items()
            if name in started and not (job.accepted or job.may_be_stored)
        ]

    # --- Faults ---------------------------------------------------------------

    def _fault_kinds(self) -> dict[str, Callable[[], Awaitable[None]]]:
        return {
            "pause": self._pause,
            "kill": self._kill,
            "stop": self._stop,
            "reload": self._reload,
            "refuse-writes": self._refuse_writes,
            "silence": self._silence,
            "delay": self._delay,
            "cut": self._cut,
            "lose-replies": self._lose_replies,
        }

    async def _inject_faults(self) -> None:
        """Starts faults, which may overlap, and waits for their ends."""
        end_ms = self.clock.monotonic_ms() + 1_000 * self.seconds
        kinds = self._fault_kinds()
        async with curio.TaskGroup() as group:
            while self.clock.monotonic_ms() < end_ms:
                name = self.random.choice(self._fault_names)
                await group.spawn(kinds[name])
                await curio.sleep(self.random.uniform(0.3, 1.5))

    def _sound_daemon(
        self, daemons: list[soak_processes.Daemon] | None = None
    ) -> soak_processes.Daemon | None:
        """Returns a process without a fault, so that a quorum stays.

        None if another replica has a fault.
        """
        daemon = self.random.choice(daemons or self.site.daemons)
        if daemon.role == "replica":
            is_faulty = any(replica.faults for replica in self.site.replicas)
            return None if is_faulty else daemon
        return None if daemon.faults else daemon

    async def _pause(self) -> None:
        daemon = self._sound_daemon()
        pause_s = self.random.uniform(0.3, 5.0)
        if daemon is None:
            return
        daemon.faults += 1
        daemon.signal(signal.SIGSTOP)
        await curio.sleep(pause_s)
        daemon.signal(signal.SIGCONT)
        daemon.faults -= 1

    async def _kill(self) -> None:
        await self._end_process(signal.SIGKILL)

    async def _stop(self) -> None:
        await self._end_process(signal.SIGTERM)

    async def _end_process(self, number: signal.Signals) -> None:
        daemon = self._sound_daemon()
        down_s = self.random.uniform(0.0, 2.0)
        if daemon is None:
            return
        daemon.faults += 1
        daemon.signal(number)
        await curio.sleep(down_s)
        await daemon.restart()
        await curio.sleep(CATCH_UP_S)
        daemon.faults -= 1

    async def _reload(self) -> None:
        self.random.choice(self.site.daemons).signal(signal.SIGHUP)

    async def _refuse_writes(self) -> None:
        replica = self._sound_daemon(self.site.replicas)
        refusal_s = self.random.uniform(0.3, MAX_REFUSAL_S)
        if replica is None:
            return
        replica.faults += 1
        replica.refuse_writes(True)
        await curio.sleep(refusal_s)
        replica.refuse_writes(False)
        await curio.sleep(CATCH_UP_S)
        replica.faults -= 1

    async def _silence(self) -> None:
        worker = self.random.choice(self.workers)
        directions = self.random.choice(
            (
                relay_lib.Direction.BOTH,
                relay_lib.Direction.FORWARD,
                relay_lib.Direction.BACKWARD,
            )
        )
        worker.relay.hold(directions)
        await curio.sleep(self.random.uniform(0.3, 5.0))
        worker.relay.release()

    async def _delay(self) -> None:
        worker = self.random.choice(self.workers)
        worker.relay.delay_ms = self.random.choice((50, 400, 900))
        await curio.sleep(self.random.uniform(0.5, 4.0))
        worker.relay.delay_ms = 0

    async def _cut(self) -> None:
        worker = self.random.choice(self.workers)
        if self.random.random() < 0.5:
            worker.relay.blackhole_connections()
        else:
            await worker.relay.cut()

    async def _lose_replies(self) -> None:
        worker = self.random.choice(self.workers)
        worker.withhold_replies = True
        await curio.sleep(self.random.uniform(0.3, 3.0))
        worker.withhold_replies = False


def play(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    layout: str = "small",
    faults: tuple[str, ...] = (),
) -> Soak:
    """Plays one seed; returns the soak with its findings."""
    soak = Soak(seed, seconds, folder, layout, faults)
    curio.run(soak.run)
    soak.check_refusals()
    return soak


def main() -> None:
    """Plays one seed and prints the findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--folder", type=pathlib.Path)
    parser.add_argument(
        "--layout", choices=soak_processes.LAYOUTS, default="small"
    )
    parser.add_argument(
        "--faults", default="", help="kinds of faults; all by default"
    )
    arguments = parser.parse_args()
    folder = arguments.folder or pathlib.Path(tempfile.mkdtemp())
    folder.mkdir(parents=True, exist_ok=True)
    faults = tuple(filter(None, arguments.faults.split(",")))
    soak = play(
        arguments.seed, arguments.seconds, folder, arguments.layout, faults
    )
    accepted = sum(job.accepted for job in soak.jobs.values())
    starts = sum(len(worker.started) for worker in soak.workers)
    print(
        f"seed {arguments.seed}, {arguments.layout}: {len(soak.jobs)} jobs,"
        f" {accepted} accepted, {starts} starts, {soak.operators.changes}"
        f" changes, {soak.operators.zone_orders} orders about a zone,"
        f" {len(soak.findings)} findings; logs in {folder}"
    )
    print(*soak.findings, sep="\n")
    sys.exit(bool(soak.findings))


if __name__ == "__main__":
    main()
