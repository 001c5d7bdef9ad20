"""Injects random faults into a site of real processes and checks its promises.

    python -m job_soak [--seed N] [--seconds N] [--folder DIR]
        [--layout NAME] [--faults NAME,...]

Starts replicas and entries as processes, and workers in this one, each behind a
relay. While callers submit and cancel jobs on connections that they keep, and
operators change the configuration and take a zone out of service and back,
processes are paused, killed, stopped, reloaded and restarted, disks refuse
writes, and links are held, delayed or cut; replies to orders are lost, calls
are carried out late, workers restart under their identifiers, and another
writer announces them and others on their VMs. Checks from
what callers, operators and workers see that no task runs in two places, nothing
starts that was not accepted, is completed or is in a zone out of service, that
acknowledged changes are in force, and that every accepted job ends or lasts
once the faults are over. Callers, operators and faults draw from one generator,
so the faults of a seed differ as soon as the order of the draws does, which
depends on the processes. Writes what the workers did to `workers.log`. Prints
the findings; exits with 1 if there are any.

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
import soak_writer

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
# Longest time for which a disk refuses writes, and the pause between two checks
# of whether it has refused one.
MAX_REFUSAL_S = 5.0
REFUSAL_POLL_S = 0.05
# Time for which a worker that restarts is silent.
DARK_S = 0.6
# Longest time for which another writer writes, and the longest pause between
# two of its messages.
MAX_WRITING_S = 5.0
MAX_WRITING_PAUSE_S = 0.4
# How late a call is carried out. Calls may also wait for a restart or a delayed
# link, and all of it takes less than `workers.MAX_ORDER_DELAY_MS`.
LATE_S = (2.0, 10.0)
LATE_SHARE = 0.2
# Time after the release of a link in which no call is late, as it may have
# waited there.
LATE_AFTER_RELEASE_MS = 1_000
# Time for which a process that was restarted, or whose disk refused writes,
# still counts as faulty, as it has to catch up.
CATCH_UP_S = 2.0


class RelayedWorker(platform_worker.PlatformWorker):
    """A worker behind a relay.

    Attributes:
      relay: The relay, whose address the worker announces.
      late_share: Share of calls that are carried out late, without a reply.
    """

    def __init__(self, name: str, zone: str, rng: random.Random) -> None:
        super().__init__(name, zone=zone)
        self.relay = relay_lib.TcpRelay(self._server.address)
        self.late_share = 0.0
        self.lateness_s = self._draw_lateness_s
        self.max_lease_ms = soak_processes.LEASE_MS
        self._random = rng
        self._released_ms = 0

    @property
    def address(self) -> str:
        """Address that it announces."""
        return self.relay.address

    def live_runs(self) -> set[str]:
        """Returns the tasks that run under a valid lease."""
        if self.clock_ms() > self._deadline_ms:
            return set()
        return set(self.running)

    def hold(self, directions: relay_lib.Direction) -> None:
        """Holds all calls until `release`."""
        self.relay.hold(directions)

    def release(self) -> None:
        """Lets held calls and later ones pass."""
        self.relay.release()
        self._released_ms = self._clock.monotonic_ms()

    async def cut_off(self, cut_s: float) -> None:
        """Cuts it off from all replicas for a time; its runs go on."""
        self._record("is cut off for", f"{cut_s:.1f} s")
        self.send_heartbeats = False
        self.hold(relay_lib.Direction.BOTH)
        await curio.sleep(cut_s)
        self.release()
        self.send_heartbeats = True
        self._record("is reachable", "again")

    def _draw_lateness_s(self, path: str) -> float:  # noqa: ARG002
        released_ms = self._clock.monotonic_ms() - self._released_ms
        if (
            released_ms < LATE_AFTER_RELEASE_MS
            or self._random.random() >= self.late_share
        ):
            return 0.0
        return self._random.uniform(*LATE_S)


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
      other_writer: Sends announcements that name workers.
      cancelled_share: Share of accepted jobs that callers cancel.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: pathlib.Path,
        layout: str = "small",
        faults: tuple[str, ...] = (),
        min_refusing: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self.seconds = seconds
        self.clock = clock_lib.Clock()
        self.findings: list[str] = []
        self.jobs: dict[str, CallersJob] = {}
        zones = ("zone-a", soak_operators.CHANGED_ZONE)
        self.workers = [
            RelayedWorker(
                f"w{n}", zones[n % len(zones)], random.Random(f"{seed} {n}")
            )
            for n in range(WORKERS)
        ]
        self.site = soak_processes.Site(folder, soak_processes.LAYOUTS[layout])
        self.operators = soak_operators.Operators(
            self.site.controls, self.random, self.findings
        )
        self.other_writer = soak_writer.OtherWriter(
            self.site.controls, self.random
        )
        self.cancelled_share = CANCELLED_SHARE
        self._folder = folder
        self._fault_names = faults or tuple(self._fault_kinds())
        self._min_refusing = min_refusing
        self._connections: dict[str, list[web.ClientConnection]] = {}

    def play(self) -> None:
        """Plays the faults, and checks what can be checked only afterwards."""
        try:
            curio.run(self.run)
        finally:
            self._write_events(self._folder / "workers.log")
        self._check_refusals()
        self._check_done()

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
            users = [await curio.spawn(user) for user in self.users()]
            await self.inject_faults()
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

    def users(self) -> list[Callable[[], Awaitable[None]]]:
        """Returns what callers and operators do until the faults are over."""
        return [
            self._submit_jobs,
            self.operators.change_site_repeatedly,
            self.operators.change_zone_repeatedly,
        ]

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
            body = self.order(job)
            await curio.spawn(self.submit, identifier, job, body, daemon=True)
            await curio.sleep(clock_lib.seconds(SUBMIT_PERIOD_MS))

    def order(self, job: CallersJob) -> bytes:
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

    async def submit(
        self, identifier: str, job: CallersJob, body: bytes
    ) -> None:
        """Submits a job, and cancels some that were accepted."""
        target = soak_operators.PREFIX + identifier
        for _ in range(4):
            response = await self._ask("POST", target, body)
            if response is not None and response.status == 200:
                job.accepted = True
                break
            is_refused = response is not None and response.status in (429, 503)
            job.may_be_stored = job.may_be_stored or not is_refused
            await curio.sleep(0.1)
        is_cancelled = self.random.random() < self.cancelled_share
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
                for start in worker.starts[seen[worker] :]:
                    self._check_start(worker, start)
                seen[worker] = len(worker.starts)
            await curio.sleep(clock_lib.seconds(CHECK_PERIOD_MS))

    def _check_start(
        self, worker: RelayedWorker, start: platform_worker.TaskEvent
    ) -> None:
        task, run = start.task, start.run
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

    def _check_done(self) -> None:
        """Checks that no task started after an end `done` that was noted."""
        done: dict[str, platform_worker.TaskEvent] = {}
        for worker in self.workers:
            for end in worker.done:
                first = done.setdefault(end.task, end)
                if end.at_ms < first.at_ms:
                    done[end.task] = end
        self.findings += [
            f"TWICE {start.task}: run {start.run} started on {worker.name}"
            f" after run {done[start.task].run} was done"
            for worker in self.workers
            for start in worker.starts
            if start.task in done and start.at_ms > done[start.task].at_ms
        ]

    def _write_events(self, path: pathlib.Path) -> None:
        """Writes what the workers did, in order of time."""
        events = sorted(e for worker in self.workers for e in worker.events)
        path.write_text("".join(f"{event}\n" for event in events))

    def _check_refusals(self) -> None:
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
            "late-calls": self._late_calls,
            "restart": self._restart,
            "recut": self._recut,
            "other-writer": self._write_beside,
        }

    async def inject_faults(self) -> None:
        """Starts faults, which may overlap, and waits for their ends.

        Goes on after the time is up until the disks of enough replicas were
        made to refuse writes.
        """
        end_ms = self.clock.monotonic_ms() + 1_000 * self.seconds
        kinds = self._fault_kinds()
        async with curio.TaskGroup() as group:
            while self.clock.monotonic_ms() < end_ms or self._lacks_refusals():
                name = self.random.choice(self._fault_names)
                await group.spawn(kinds[name])
                await curio.sleep(self.random.uniform(0.3, 1.5))

    def _lacks_refusals(self) -> bool:
        """Returns whether too few disks were made to refuse writes."""
        refusing = sum(bool(replica.refusals) for replica in self.site.replicas)
        return refusing < self._min_refusing

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
        """Makes a disk refuse writes, each one once before any again.

        It lasts until a write was refused, but for at most `MAX_REFUSAL_S`.
        """
        replicas = self.site.replicas
        unused = [replica for replica in replicas if not replica.refusals]
        replica = self._sound_daemon(unused or replicas)
        refusal_s = self.random.uniform(0.3, MAX_REFUSAL_S)
        if replica is None:
            return
        replica.faults += 1
        replica.refusals += 1
        logged = replica.count_refused_writes()
        end_ms = self.clock.monotonic_ms() + 1_000 * MAX_REFUSAL_S
        replica.refuse_writes(True)
        await curio.sleep(refusal_s)
        while (
            replica.count_refused_writes() == logged
            and self.clock.monotonic_ms() < end_ms
        ):
            await curio.sleep(REFUSAL_POLL_S)
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
        worker.hold(directions)
        await curio.sleep(self.random.uniform(0.3, 5.0))
        worker.release()

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

    async def _late_calls(self) -> None:
        worker = self.random.choice(self.workers)
        worker.late_share = LATE_SHARE
        await curio.sleep(self.random.uniform(1.0, 5.0))
        worker.late_share = 0.0

    async def _write_beside(self) -> None:
        """Lets another writer send messages about workers for a time."""
        left_s = self.random.uniform(1.0, MAX_WRITING_S)
        while left_s > 0:
            await self.other_writer.write(self.random.choice(self.workers))
            pause_s = self.random.uniform(0.0, MAX_WRITING_PAUSE_S)
            await curio.sleep(pause_s)
            left_s -= pause_s

    def _restarting_workers(self) -> list[RelayedWorker]:
        """Draws workers that neither restart already nor are cut off."""
        count = self.random.randint(1, len(self.workers) // 2)
        return [
            worker
            for worker in self.random.sample(self.workers, count)
            if not worker.is_dark and worker.send_heartbeats
        ]

    async def _restart(self) -> None:
        async with curio.TaskGroup() as group:
            for worker in self._restarting_workers():
                await group.spawn(worker.restart, DARK_S)

    async def _recut(self) -> None:
        """Restarts workers and cuts them off soon after."""
        pause_s = self.random.uniform(0.8, 2.6)
        cut_s = self.random.uniform(4.0, 9.0)
        async with curio.TaskGroup() as group:
            for worker in self._restarting_workers():
                await group.spawn(_recut_worker, worker, pause_s, cut_s)


async def _recut_worker(
    worker: RelayedWorker, pause_s: float, cut_s: float
) -> None:
    await worker.restart(DARK_S)
    await curio.sleep(pause_s)
    await worker.cut_off(cut_s)


def play(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    layout: str = "small",
    faults: tuple[str, ...] = (),
    min_refusing: int = 0,
) -> Soak:
    """Plays one seed; returns the soak with its findings.

    Args:
      seed: Seed of the faults.
      seconds: Time in which faults begin.
      folder: Folder of the processes.
      layout: Name of the layout.
      faults: Kinds of faults; all of them if empty.
      min_refusing: Replicas whose disks have to refuse writes before the faults
        end, even if it takes longer; needs that kind of fault.
    """
    soak = Soak(seed, seconds, folder, layout, faults, min_refusing)
    soak.play()
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
