"""Executors crash and come back; are accepted jobs shown as failed?

A plan of one task and a job of one task that lasts are handed in. Each time the
task has worked for 1.5 s, its executor is killed and started again 3.5 s later.
No run ends `failed`.
"""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import site_run  # noqa: E402

# One executor of eight, a share of 0.125.
WORKERS = 8
DOWN_S = 3.5
WORKED_S = 1.5
# Queue, job, body, crashes under its task.
JOBS = (
    (
        "plan",
        "c0ffee0000000001",
        {
            "spec": '{"ms": 5400}',
            "steps": [
                {"count": 1, "cpu": 7000, "mem_mb": 6400, "estimate_ms": 5400}
            ],
        },
        3,
    ),
    (
        "watch",
        "c0ffee0000000002",
        {
            "spec": '{"lasts": true}',
            "steps": [
                {
                    "count": 1,
                    "cpu": 4000,
                    "mem_mb": 8000,
                    "long_running": True,
                    "image": "rack-watch",
                    "target_ms": 40,
                }
            ],
        },
        5,
    ),
)
START_TIMEOUT_S = 12.0


def start_after(site: site_run.Site, job: str, run: int) -> dict | None:
    """Returns the start of a later run of the job's task, if there is one."""
    for event in site.all_events():
        is_start = event["event"] == "start" and event["task"].startswith(job)
        if is_start and event["run"] > run:
            return event
    return None


def crash_under(site: site_run.Site, job: str, crashes: int) -> None:
    """Crashes the executor under the job's task, several times."""
    run = 0
    for _ in range(crashes):
        until = time.monotonic() + START_TIMEOUT_S
        start = None
        while start is None and time.monotonic() < until:
            time.sleep(0.05)
            start = start_after(site, job, run)
        if start is None:
            site.note(f"no start of {job} after run {run}")
            return
        run = start["run"]
        time.sleep(max(0.0, start["at"] + WORKED_S - time.time()))
        worker = site.workers[start["worker"]]
        site.note(f"trouble: {worker.name} crashes under run {run} of {job}")
        worker.signal(signal.SIGKILL)
        worker.process.wait()
        time.sleep(DOWN_S)
        worker.start()
        site.note(f"trouble: {worker.name} is back")


def wait_for_state(site: site_run.Site, queue: str, job: str, good: str) -> str:
    """Asks for the state until it is as it should be, or for `finish_s`."""
    until = time.monotonic() + site_run.BOUNDS["finish_s"]
    state = ""
    while time.monotonic() < until and state not in (good, "failed"):
        time.sleep(0.5)
        status, state = site.state(queue, job)
        site.note(f"consumer: GET /{queue}/{job}: {status} {state}")
    return state


def run(site: site_run.Site) -> list[str]:
    """Plays the case; returns what was broken."""
    findings = []
    for queue, job, body, crashes in JOBS:
        if not site.submit(queue, job, body):
            raise site_run.CannotRunError("the job was not accepted")
        if site.trouble:
            crash_under(site, job, crashes)
        good = "running" if queue == "watch" else "completed"
        state = wait_for_state(site, queue, job, good)
        failed = sum(
            event.get("how") == "failed" and event["task"].startswith(job)
            for event in site.all_events()
        )
        if state == "failed":
            findings.append(
                f"LOST: job {job} of /{queue}/ is shown as failed; {failed} of"
                f" its runs ended failed, max_attempts is"
                f" {site_run.QUEUES[queue]['max_attempts']}"
            )
        elif state != good:
            findings.append(f"LOST: job {job} is shown as {state!r}")
    return findings


if __name__ == "__main__":
    sys.exit(site_run.play(HERE, run, workers=WORKERS))
