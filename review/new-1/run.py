"""One of ten executors flaps for 6.5 s: accepted jobs must not be failed.

Each job fills the site, so that the flapping executor is the only one with
room for the task that it has lost. No run ever ends as failed.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-3"))

import site_kit

EXECUTORS = 10
TASK_S = 12.0
# Largest dose of `srv_flap` in the site file: a tenth of the executors, down
# and up within 1.4 s, for 6.5 s.
FLAPPING = 1
FLAP_FOR_S = 6.5
FLAP_PERIOD_S = 1.4
WATCH_S = 8.0
END_S = 40.0


async def flap(executor: site_kit.Executor) -> None:
    """Lets an executor go down and up by turns."""
    end_s = time.monotonic() + FLAP_FOR_S
    while time.monotonic() < end_s:
        await executor.crash()
        await asyncio.sleep(FLAP_PERIOD_S / 2)
        await executor.start()
        await asyncio.sleep(FLAP_PERIOD_S / 2)


async def play_job(site: site_kit.Site, lasts: bool) -> str:
    """Runs one job beside the flapping executor; returns its last state."""
    job = site_kit.new_id()
    site.work = lambda _task, _run: (None if lasts else TASK_S, "done")
    step = {
        "count": EXECUTORS,
        "cpu": 8000,
        "mem_mb": 4000,
        "estimate_ms": int(1_000 * TASK_S),
    }
    if lasts:
        step["long_running"] = True
    if await site.submit(job, [step]) != 200:
        raise site_kit.CannotRunError("the job was not accepted")
    tasks = [f"{job}.0.0.{index}" for index in range(EXECUTORS)]
    await site.wait_until(
        lambda: all(site.runs_now(task) for task in tasks), 10, "tasks run"
    )
    if site_kit.TROUBLE:
        for executor in site.executors[-FLAPPING:]:
            await flap(executor)
    end_s = time.monotonic() + (WATCH_S if lasts else END_S)
    state = ""
    while time.monotonic() < end_s and state not in ("failed", "completed"):
        _, state = await site.state(job)
        await asyncio.sleep(1.0)
    await site.call("DELETE", job)
    await site.wait_until(
        lambda: not any(site.runs_now(task) for task in tasks), 10, "job gone"
    )
    return state


async def case(site: site_kit.Site) -> list[str]:
    """Runs the case; returns what was broken."""
    await site.put_config()
    await site.add_executors(EXECUTORS)
    findings = []
    for lasts in (True, False):
        kind = "a job whose tasks last" if lasts else "a job of batch tasks"
        state = await play_job(site, lasts)
        site.record.add("state", job=kind, state=state)
        if state == "failed":
            findings.append(
                f"LOST: {kind} is shown as failed, and no run of it has failed"
            )
        elif state != ("running" if lasts else "completed"):
            findings.append(f"LOST: {kind} is still {state} at the end")
    if any(end[2] == "failed" for item in site.executors for end in item.ended):
        raise site_kit.CannotRunError("a run has failed")
    return findings


if __name__ == "__main__":
    sys.exit(site_kit.run_case(pathlib.Path(__file__).parent, case))
