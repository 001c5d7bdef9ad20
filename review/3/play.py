"""A replica freezes between an operator's orders about a zone, and wakes.

The operator takes a zone out of service, returns it and takes it out again. One
replica is frozen while the second order is sent to it first.
"""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment  # noqa: E402

ZONE = "zone-b"
EVACUATE_MS = 5_000
# Longest freeze in the list of troubles of the site file.
FREEZE_S = 4.0
# Time for which tasks are watched after the zone has been taken out.
WATCH_S = 14.0
WORK_MS = 300
# One such task fits on an executor, so that a job needs all four of them.
CPU_MILLIS = 20_000


def case(site: deployment.Deployment, has_trouble: bool) -> list[str]:
    """Plays the orders; returns what broke the rule."""
    frozen = deployment.REPLICAS - 1
    site.operate(f"evacuate/{ZONE}/start")
    time.sleep(1.0)
    frozen_s = time.monotonic()
    if has_trouble:
        site.signal_replica(frozen, signal.SIGSTOP)
    status, _ = site.operate(f"evacuate/{ZONE}/finish", frozen)
    if status != 200:
        raise deployment.CannotRunError("the zone was not taken back")
    status, _ = site.operate(f"evacuate/{ZONE}/start")
    out_s = time.time()
    if status != 200:
        raise deployment.CannotRunError("the zone was not evacuated")
    if has_trouble:
        time.sleep(max(0.0, frozen_s + FREEZE_S - time.monotonic()))
        site.signal_replica(frozen, signal.SIGCONT)
    _submit_jobs(site, out_s + WATCH_S)
    late_s = out_s + EVACUATE_MS / 1_000
    late = [
        event
        for event in site.read_events()
        if event["event"] == "start"
        and event["zone"] == ZONE
        and event["t"] > late_s
    ]
    if len(site.read_events()) < 20:
        raise deployment.CannotRunError("hardly any task was run")
    return [
        f"EVAC {event['task']} on {event['at']}, {event['t'] - out_s:.1f} s"
        " after the evacuation of its zone was confirmed"
        for event in late
    ]


def _submit_jobs(site: deployment.Deployment, end_s: float) -> None:
    """Hands in jobs of several tasks until a time."""
    number = 0
    while time.time() < end_s:
        number += 1
        step = {
            "count": 4,
            "cpu": CPU_MILLIS,
            "mem_mb": 100,
            "estimate_ms": WORK_MS,
        }
        site.ask(
            "POST", f"{number:016x}", {"spec": str(WORK_MS), "steps": [step]}
        )
        time.sleep(0.25)


if __name__ == "__main__":
    zones = ["zone-a", "zone-a", ZONE, ZONE]
    deployment.play(FOLDER, [(zone, "a") for zone in zones], case)
