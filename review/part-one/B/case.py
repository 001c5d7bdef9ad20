"""An executor is lost for good, and the core's leader restarts 9 s later.

A job with a task that lasts is handed in. Its executor is killed and never
comes back. Just before its lease would be over, the replica that leads is
killed and started again at once. For how long does the task not run, though
every other executor is idle?
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
# `max_hold_ms` of guild-bookings.
MAX_HOLD_MS = 10_000
JOB = "c0ffee0000000003"
BODY = {
    "spec": '{"lasts": true}',
    "steps": [
        {
            "count": 1,
            "cpu": 6400,
            "mem_mb": 13000,
            "long_running": True,
            "image": "seat-board",
            "target_ms": 40,
        }
    ],
}
LEADER_KILLED_AFTER_S = 9.0
LEADER_DOWN_S = 0.3
# The rule: from 6 s after the last run, not running for 3 s, if these and the
# 4 s before are calm. Calm begins `contact_ms` after the last start or kill.
FIRST_S = 6.0
IDLE_S = 3.0
CALM_BEFORE_S = 4.0
CONTACT_S = 3.0
OBSERVED_S = 30.0


def wait_for_start(site: site_run.Site, run: int, timeout_s: float) -> dict:
    """Returns the first start of a run after `run`.

    Raises:
      site_run.CannotRunError: None began in time.
    """
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        for event in site.all_events():
            if event["event"] == "start" and event["run"] > run:
                return event
        time.sleep(0.05)
    raise site_run.CannotRunError(f"no start after run {run}")


def run(site: site_run.Site) -> list[str]:
    """Plays the case; returns what was broken."""
    if not site.submit("watch", JOB, BODY):
        raise site_run.CannotRunError("the job was not accepted")
    first = wait_for_start(site, 0, 15.0)
    time.sleep(6.0)
    if not site.trouble:
        time.sleep(OBSERVED_S)
        ends = [event for event in site.all_events() if event["event"] == "end"]
        return [f"LOST: the task ended: {ends}"] if ends else []
    worker = site.workers[first["worker"]]
    worker.kill()
    lost_at = time.time()
    site.note(f"trouble: {worker.name} is lost for good")
    time.sleep(LEADER_KILLED_AFTER_S)
    leader = site.leader()
    leader.signal(signal.SIGKILL)
    leader.process.wait()
    site.note(f"trouble: {leader.name}, which leads, is killed")
    time.sleep(LEADER_DOWN_S)
    leader.start()
    back_at = time.time()
    site.note(f"trouble: {leader.name} is started again")
    try:
        second = wait_for_start(site, first["run"], OBSERVED_S)["at"]
    except site_run.CannotRunError:
        second = time.time()
    calm_from = back_at + CONTACT_S
    idle_from = max(lost_at + FIRST_S, calm_from + CALM_BEFORE_S)
    idle_s = second - idle_from
    site.note(
        f"the task did not run for {second - lost_at:.1f} s,"
        f" {second - calm_from:.1f} s of it calm"
    )
    if idle_s <= IDLE_S:
        return []
    return [
        f"LOST: the task of {JOB} is to last and did not run for"
        f" {second - lost_at:.1f} s; the last {second - calm_from:.1f} s of it"
        f" were calm, {WORKERS - 1} executors were idle"
    ]


if __name__ == "__main__":
    sys.exit(site_run.play(HERE, run, workers=WORKERS, max_hold_ms=MAX_HOLD_MS))
