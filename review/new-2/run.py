"""An executor restarts under its id and is lost for good seconds later.

Its task that lasts has to be started elsewhere: nothing of it may run for 3 s
from 6 s after its last run.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-3"))

import site_kit

# Executors of 8 cores, each with room for one task. One of them crashes, and
# those that are added have room for its task.
EXECUTORS = 8
ADDED = 4
# Time from a start to the crash; the executor is then down for DOWN_S.
CRASH_AFTER_S = 0.05
DOWN_S = 0.5
CALM_S = 4.0
WATCH_S = 30.0
# Time after the last run of a task from which it must not stand still, and how
# long it may then stand still.
BOUND_S = 6.0 + 3.0


async def case(site: site_kit.Site) -> list[str]:
    """Runs the case; returns what was broken."""
    site.work = lambda _task, _run: (None, "done")
    await site.put_config()
    await site.add_executors(EXECUTORS)
    await asyncio.sleep(2)
    job = site_kit.new_id()
    step = {
        "count": EXECUTORS,
        "cpu": 5000,
        "mem_mb": 4000,
        "estimate_ms": 500,
        "long_running": True,
    }
    if await site.submit(job, [step]) != 200:
        raise site_kit.CannotRunError("the job was not accepted")
    tasks = [f"{job}.0.0.{index}" for index in range(EXECUTORS)]
    unstable = await site.first_to_start(10)
    if site_kit.TROUBLE:
        await asyncio.sleep(CRASH_AFTER_S)
        await unstable.crash()
        await asyncio.sleep(DOWN_S)
        await unstable.start(unstable.ident)
    await site.wait_until(
        lambda: all(site.runs_now(task) for task in tasks), 15, "tasks run"
    )
    await site.add_executors(ADDED)
    await asyncio.sleep(CALM_S)
    if site_kit.TROUBLE:
        if not unstable.running:
            raise site_kit.CannotRunError("nothing runs on the executor")
        await unstable.crash()
    lost_s = time.monotonic()
    absent_s = dict.fromkeys(tasks, 0.0)
    while time.monotonic() < lost_s + WATCH_S:
        for task in tasks:
            if not site.runs_now(task):
                absent_s[task] = time.monotonic() - lost_s
        await asyncio.sleep(0.05)
    return [
        f"LOST: {task} stood still for {seconds:.1f} s after its last run"
        for task, seconds in absent_s.items()
        if seconds > BOUND_S
    ]


if __name__ == "__main__":
    sys.exit(site_kit.run_case(pathlib.Path(__file__).parent, case))
