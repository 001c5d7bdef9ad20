"""Jobs through real replicas, an entry and workers over loopback."""

import contextlib
import json

import curio
import pytest

from fakes import loopback
from fakes import platform_worker
from galenahook import clock as clock_lib
from galenahook import job_entry
from galenahook import job_replica
from galenahook import settings as settings_lib
from galenahook import web

HOSTS = loopback.HOSTS[:3]
LEASE_MS = 1_500
JOB = "00000000000000a1"


async def hang(_request):
    """Handles requests like a process that hangs with its connections open."""
    await curio.sleep(3_600)


class System:
    """Three replicas, an entry and workers in one event loop.

    Attributes:
      controls: Addresses of the replicas' control listeners.
      workers: Workers by name.
    """

    def __init__(self, folder):
        self.clock = clock_lib.Clock()
        self.peer_port = loopback.free_port()
        control_port = loopback.free_port()
        self.controls = [f"{host}:{control_port}" for host in HOSTS]
        self.folder = folder
        self.replicas = {}
        self.workers = {}
        self.client = web.ControlClient(self.clock, [])
        self.tasks = {}
        self.entry = None

    def replica_settings(self, host, may_found=True):
        folder = self.folder / host
        folder.mkdir(exist_ok=True)
        return settings_lib.JobReplicaSettings(
            name=f"replica-{host}",
            availability_zone="zone-a",
            control=settings_lib.Listener(
                listen=self.controls[HOSTS.index(host)]
            ),
            metrics=settings_lib.Listener(listen=f"{host}:0"),
            host=host,
            seeds=tuple(self.controls),
            peer_port=self.peer_port,
            data_folder=str(folder),
            may_found=may_found,
            worker_lease_ms=LEASE_MS,
            stop_ms=2_000,
        )

    async def start_replica(self, host, may_found=True):
        settings = self.replica_settings(host, may_found)
        replica = job_replica.JobReplica(settings, self.clock, None)
        self.replicas[host] = replica
        self.tasks[host] = await curio.spawn(replica.run, curio.Event())

    async def kill_replica(self, host):
        replica = self.replicas.pop(host)
        await self.tasks.pop(host).cancel()
        for server in (replica.peers_server, replica.control_server):
            server._handler = hang
            await server.close_listener()

    async def start_worker(self, name, **changes):
        worker = platform_worker.PlatformWorker(name, **changes)
        self.workers[name] = worker
        self.tasks[name] = await curio.spawn(worker.run, self.controls)
        return worker

    async def start(self, workers=2):
        for host in HOSTS:
            await self.start_replica(host)
        for number in range(workers):
            await self.start_worker(f"w{number}")
        self.entry = job_entry.JobEntry(
            settings_lib.JobEntrySettings(
                name="entry",
                availability_zone="zone-a",
                callers=settings_lib.Listener(listen="127.0.0.1:0"),
                platform=settings_lib.Listener(listen="127.0.0.1:0"),
                metrics=settings_lib.Listener(listen="127.0.0.1:0"),
                seeds=tuple(self.controls),
                peer_port=self.peer_port,
                stop_ms=2_000,
            ),
            self.clock,
            None,
        )
        self.tasks["entry"] = await curio.spawn(self.entry.run, curio.Event())
        await self.until(self.put_site)
        await self.until(self.is_ready)

    async def close(self):
        for task in self.tasks.values():
            await task.cancel()

    async def until(self, condition, timeout_s=15.0):
        async with curio.timeout_after(timeout_s):
            while not await condition():
                await curio.sleep(0.03)

    async def put_site(self, version=1):
        body = {
            "version": version,
            "routes": [
                {
                    "name": "q",
                    "host": "desk.example",
                    "path_prefix": "/q/",
                    "timeout_ms": 3000,
                    "backend": "desk",
                    "max_attempts": 2,
                }
            ],
            "services": [{"name": "desk"}],
        }
        with contextlib.suppress(Exception):
            response = await self.client.post(
                self.controls[0], "/galenahook/config/put", body
            )
            return response.status == 200
        return False

    async def is_ready(self):
        return self.entry.health.is_ready()

    async def ask(self, method, job=JOB, body=None):
        connection = await web.connect(self.entry.callers_server.address)
        connection.address = "desk.example"
        data = b"" if body is None else json.dumps(body).encode()
        request = web.Request(method, f"/q/{job}", [], data)
        try:
            return await connection.exchange(request, 5_000)
        finally:
            await connection.close()

    async def submit(self, work_ms, job=JOB, **step):
        body = {
            "spec": str(work_ms),
            "steps": [{"count": 2, "cpu": 1000, "mem_mb": 10, **step}],
        }
        return (await self.ask("POST", job, body)).status

    async def state(self, job=JOB):
        return json.loads((await self.ask("GET", job)).body).get("state")

    def leader(self):
        for host, replica in self.replicas.items():
            if replica.node.has_valid_lease() and replica.leader is not None:
                return host
        return None

    def starts(self):
        return [item for w in self.workers.values() for item in w.started]


@pytest.fixture
def run_scenario(tmp_path):
    """Returns a function that runs a scenario on a system and closes it."""

    def run(scenario):
        async def main():
            system = System(tmp_path)
            try:
                await system.start()
                await scenario(system)
            finally:
                await system.close()

        curio.run(main)

    return run


def is_state(system, state, job=JOB):
    async def check():
        return await system.state(job) == state

    return check


def test_a_job_runs_from_its_caller_to_completed(run_scenario):
    async def scenario(system):
        assert (await system.ask("GET")).status == 410
        assert await system.submit(50) == 200
        assert await system.submit(50) == 200
        await system.until(is_state(system, "completed"))
        assert len(system.starts()) == 2
        pending = await system.ask("GET", job="")
        assert json.loads(pending.body) == {"pending": 0}

    run_scenario(scenario)


def test_a_cancelled_job_stops_on_its_workers(run_scenario):
    async def scenario(system):
        await system.submit(-1, long_running=True)

        async def runs():
            return sum(len(w.running) for w in system.workers.values()) == 2

        async def is_empty():
            return not any(w.running for w in system.workers.values())

        await system.until(runs)
        assert (await system.ask("DELETE")).status == 200
        await system.until(is_empty)
        assert await system.state() == "cancelled"

    run_scenario(scenario)


def test_tasks_of_an_unresponsive_worker_restart_after_its_lease(run_scenario):
    async def scenario(system):
        await system.submit(-1, long_running=True, anti_affinity=1)

        async def runs_on_w0():
            return bool(system.workers["w0"].running)

        await system.until(runs_on_w0)
        failed = system.workers["w0"]
        failed_at_ms = system.clock.monotonic_ms()
        failed._server._handler = hang
        await system.tasks.pop("w0").cancel()
        await system.start_worker("w2")

        async def runs_on_w2():
            return bool(system.workers["w2"].running)

        await system.until(runs_on_w2)
        assert system.clock.monotonic_ms() - failed_at_ms >= LEASE_MS - 600

    run_scenario(scenario)


def test_a_new_leader_tracks_the_active_runs(run_scenario):
    async def scenario(system):
        await system.submit(-1, long_running=True)

        async def runs():
            return sum(len(w.running) for w in system.workers.values()) == 2

        await system.until(runs)
        await system.kill_replica(system.leader())

        async def is_followed():
            return system.leader() is not None and (
                await system.state() == "running"
            )

        await system.until(is_followed)
        await curio.sleep(LEASE_MS / 1000 + 0.5)
        assert await runs()
        assert len(system.starts()) == 2

    run_scenario(scenario)


def test_starts_without_replies_run_each_task_once_at_a_time(run_scenario):
    async def scenario(system):
        system.workers["w0"].withhold_replies = True
        await system.submit(100, anti_affinity=1)
        await system.until(is_state(system, "completed"), 25)
        assert len(system.starts()) == 2

    run_scenario(scenario)


def test_a_replica_with_a_lost_disk_is_admitted_again(run_scenario):
    async def scenario(system):
        lost = next(host for host in HOSTS if host != system.leader())
        await system.kill_replica(lost)
        for path in (system.folder / lost).iterdir():
            path.unlink()
        await system.start_replica(lost, may_found=False)

        async def votes():
            return system.replicas[lost].node.core.is_voter()

        await system.until(votes)
        await system.submit(20)
        await system.until(is_state(system, "completed"))

    run_scenario(scenario)


async def metrics_of(process):
    connection = await web.connect(process.metrics_server.address)
    try:
        request = web.Request("GET", "/metrics")
        return (await connection.exchange(request, 2_000)).body.decode()
    finally:
        await connection.close()


def test_metrics_count_requests_and_runs(run_scenario):
    async def scenario(system):
        assert await system.submit(50) == 200
        await system.until(is_state(system, "completed"))
        entry = await metrics_of(system.entry)
        assert 'method="POST",status="200"' in entry
        leader = await metrics_of(system.replicas[system.leader()])
        assert "galenahook_run_starts_total 2.0" in leader
        assert 'galenahook_run_ends_total{outcome="done"} 2.0' in leader
        assert "galenahook_leads 1.0" in leader

    run_scenario(scenario)
