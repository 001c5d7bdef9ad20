"""Workers that restart under their identifiers, with real processes.

A worker that is back takes calls that were sent to its earlier incarnation.
"""

import contextlib
import json
import signal

import curio
import pytest

import job_soak
import soak_operators

JOBS = 8
WORK_MS = 5_000
CUT_S = 7.0
START_S = 15.0


class ScriptedSoak(job_soak.Soak):
    """A site whose only faults are those of a script.

    The other workers join when the script asks for them, so that all jobs that
    were submitted before start on one worker.

    Attributes:
      worker: The worker that restarts.
      others: The other workers.
      script: Acts on the site until the faults are over.
    """

    def __init__(self, folder, script):
        super().__init__(1, 0.0, folder)
        self.worker, *self.others = self.workers
        for worker in self.others:
            worker.send_heartbeats = False
        self.script = script
        self.cancelled_share = 0.0

    def users(self):
        return []

    async def inject_faults(self):
        await self.run_first_jobs()
        await self.script(self)

    async def run_first_jobs(self):
        """Runs one job through each entry, so that all are ready."""
        for number, entry in enumerate(self.site.entries):
            identifier = f"{number + 0xF0:016x}"
            self.jobs[identifier] = job_soak.CallersJob(accepted=True)
            target = soak_operators.PREFIX + identifier
            async with curio.timeout_after(START_S):
                while not is_success(
                    await self._ask("POST", target, job_body(100), entry)
                ):
                    await curio.sleep(0.1)
        await until(lambda: len(self.worker.done) == len(self.site.entries))
        await curio.sleep(0.5)

    async def submit_jobs(self, work_ms=WORK_MS):
        """Submits jobs of one task each; returns when they are accepted."""
        for number in range(JOBS):
            identifier = f"{number + 1:016x}"
            job = self.jobs[identifier] = job_soak.CallersJob()
            await curio.spawn(
                self.submit, identifier, job, job_body(work_ms), daemon=True
            )
        await until(lambda: all(job.accepted for job in self.jobs.values()))

    def join_others(self):
        """Makes the other workers join."""
        for worker in self.others:
            worker.send_heartbeats = True

    def run_elsewhere(self):
        """Returns the number of runs on the other workers."""
        return sum(len(worker.running) for worker in self.others)

    def leader(self):
        """Returns the replica that was elected last."""
        elections = {}
        for replica in self.site.replicas:
            log = replica.settings.with_suffix(".log").read_text()
            for line in log.splitlines():
                if '"leader:elected"' in line:
                    elections[json.loads(line)["term"]] = replica
        return elections[max(elections)]


def job_body(work_ms):
    step = {"count": 1, "cpu": 1_000, "mem_mb": 100}
    return json.dumps({"spec": str(work_ms), "steps": [step]}).encode()


def is_success(response):
    return response is not None and response.status == 200


async def until(condition, timeout_s=START_S):
    async with curio.timeout_after(timeout_s):
        while not condition():
            await curio.sleep(0.01)


def delay_calls(worker, path, count, late_s):
    """Makes a worker carry out its next calls of a path late.

    Returns:
      The calls so far.
    """
    calls = []

    def lateness_s(called):
        if called != path or len(calls) == count:
            return 0.0
        calls.append(called)
        return late_s

    worker.lateness_s = lateness_s
    return calls


async def delay_starts(soak, late_s):
    """Submits jobs and returns when their starts have been sent."""
    starts = delay_calls(soak.worker, "run-start", JOBS, late_s)
    await soak.submit_jobs()
    await until(lambda: len(starts) == JOBS)


async def start_elsewhere(soak):
    """Gives all tasks time to start elsewhere, as the worker refuses them."""
    soak.worker.refuse_starts = "room"
    soak.join_others()
    with contextlib.suppress(curio.TaskTimeout):
        await until(lambda: soak.run_elsewhere() == JOBS, 3.5)
    soak.worker.refuse_starts = ""


async def restart_after_confirmed_stops(soak):
    await delay_starts(soak, late_s=6.0)
    await start_elsewhere(soak)
    await soak.worker.restart(job_soak.DARK_S)
    await curio.sleep(4.0)


async def restart_under_a_new_leader(soak):
    await delay_starts(soak, late_s=6.0)
    leader = soak.leader()
    leader.signal(signal.SIGKILL)
    await start_elsewhere(soak)
    soak.worker.send_heartbeats = False
    await soak.worker.restart(job_soak.DARK_S)
    await soak.worker.cut_off(CUT_S)
    await leader.restart()


async def expire_before_late_starts(soak):
    await delay_starts(soak, late_s=4.5)
    soak.join_others()
    soak.worker.send_heartbeats = False
    await soak.worker.restart(job_soak.DARK_S)
    await soak.worker.cut_off(CUT_S)


async def start_in_the_dark(soak):
    soak.worker.send_heartbeats = False
    restart = await curio.spawn(soak.worker.restart, job_soak.DARK_S)
    await soak.submit_jobs()
    await restart.join()
    soak.join_others()
    await curio.sleep(0.05)
    await soak.worker.cut_off(CUT_S)


async def renew_late(soak):
    polls = delay_calls(soak.worker, "hold", 1, late_s=3.0)
    await until(lambda: polls)
    await start_in_the_dark(soak)


async def acknowledge_late(soak):
    polls = delay_calls(soak.worker, "hold", 1, late_s=3.0)
    await until(lambda: polls)
    await soak.worker.restart(job_soak.DARK_S)
    await until(lambda: soak.worker.is_polled)
    await soak.submit_jobs(work_ms=500)
    await until(lambda: soak.worker.running)
    await curio.sleep(0.1)
    await soak.worker.cut_off(4.0)
    soak.join_others()


SCRIPTS = {
    "stops-confirmed-before": restart_after_confirmed_stops,
    "late-starts-after-lease": expire_before_late_starts,
    "starts-in-the-dark": start_in_the_dark,
    "late-poll": renew_late,
    "late-acknowledgement": acknowledge_late,
    "new-leader": restart_under_a_new_leader,
}


@pytest.mark.parametrize("script", SCRIPTS.values(), ids=SCRIPTS)
def test_no_task_runs_twice_beside_a_worker_that_restarts_and_is_cut_off(
    tmp_path, script
):
    soak = ScriptedSoak(tmp_path, script)
    soak.play()
    assert soak.findings == []
    assert all(job.accepted for job in soak.jobs.values())
