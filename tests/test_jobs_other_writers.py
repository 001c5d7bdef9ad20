"""Announcements of another writer beside workers, with real processes."""

import signal
import time

import curio
import pytest

from fakes import platform_worker
from galenahook import clock as clock_lib
from galenahook import web
import test_jobs_restarted_workers as scripted

ANNOUNCEMENTS = 15
PERIOD_S = 0.2
# Nothing listens there.
UNUSED_ADDRESS = "127.0.0.1:1"


async def announce_beside(soak, controls, **changes):
    """Announces another worker on the VM of one that is up, several times."""
    client = web.ControlClient(clock_lib.Clock(), [])
    target = platform_worker.heartbeat_target("other-0001")
    for sequence in range(ANNOUNCEMENTS):
        body = soak.worker.heartbeat_body() | {
            "address": UNUSED_ADDRESS,
            "born": time.time_ns() // 1_000_000,
            "seq": sequence + 1,
            **changes,
        }
        for control in controls:
            try:
                await client.post(control, target, body, 500)
            except Exception:  # Another control address is sent it as well.
                continue
        await curio.sleep(PERIOD_S)


async def run_on_worker(soak):
    """Submits jobs that run on the first worker; then the others join."""
    await soak.submit_jobs()
    await scripted.until(lambda: len(soak.worker.running) == scripted.JOBS)
    soak.join_others()
    await curio.sleep(0.5)


async def announce_to_the_leader(soak, **changes):
    await run_on_worker(soak)
    await announce_beside(soak, soak.site.controls, **changes)


async def announce_to_a_new_leader(soak, **changes):
    await run_on_worker(soak)
    leader = soak.leader()
    others = [
        control
        for control, replica in zip(
            soak.site.controls, soak.site.replicas, strict=True
        )
        if replica is not leader
    ]
    leader.signal(signal.SIGKILL)
    await announce_beside(soak, others, **changes)
    await leader.restart()


async def check_gets_work(soak):
    """Waits for a new run on the worker, the only one that accepts any."""
    for worker in soak.others:
        worker.refuse_starts = "room"
    before = len(soak.worker.started)
    for job in ("00000000000000aa", "00000000000000ab"):
        soak.jobs[job] = scripted.job_soak.CallersJob()
        body = scripted.job_body(100)
        await soak.submit(job, soak.jobs[job], body)
    await scripted.until(lambda: len(soak.worker.started) > before)


@pytest.fixture(params=[announce_to_the_leader, announce_to_a_new_leader])
def announce(request):
    return request.param


@pytest.mark.parametrize("service", ["another-writers-service", "desk"])
def test_no_run_ends_as_another_writer_announces_the_vm_of_its_worker(
    tmp_path, announce, service
):
    """Guards against tasks that run twice, as the first run is given up."""

    async def script(soak):
        await announce(soak, backend=service)

    soak = scripted.ScriptedSoak(tmp_path, script)
    soak.play()
    assert soak.findings == []
    ended = [event for event in soak.worker.events if " stopped " in event]
    assert ended == []


def test_a_worker_gets_work_after_another_writer_has_announced_its_vm(
    tmp_path, announce
):
    """Guards against workers that are shut out while they are up."""

    async def script(soak):
        await announce(soak, backend="another-writers-service")
        await check_gets_work(soak)

    soak = scripted.ScriptedSoak(tmp_path, script)
    soak.play()
