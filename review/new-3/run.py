"""All replicas are killed once while the system starts for the first time."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-3"))

import site_kit

BACK_AFTER_S = 0.5
# `recovery_s` of the small installations is 12 s.
GIVE_UP_S = 60.0


async def case(site: site_kit.Site) -> list[str]:
    """Runs the case; returns what was broken."""
    site.spawn_all()
    if site_kit.TROUBLE:
        await site.wait_until(
            lambda: any(site.has_folder(name) for name in site.names),
            10,
            "a replica uses its folder",
        )
        for name in site.names:
            site.signal(name, signal.SIGKILL)
        await asyncio.sleep(BACK_AFTER_S)
        for name in site.names:
            site.spawn(name)
    call = "/galenahook/config/put"
    status, _ = await site.operate("POST", call, site.config(3), GIVE_UP_S)
    if status == 200:
        status = await site.submit(
            site_kit.new_id(), [{"count": 1, "cpu": 100}]
        )
        if status == 200:
            return []
    running = [name for name in site.names if site.exit_code(name) is None]
    return [
        f"Fault: no request is served {GIVE_UP_S:.0f} s after the replicas are"
        f" back (status {status}; running: {running})"
    ]


if __name__ == "__main__":
    sys.exit(
        site_kit.run_case(pathlib.Path(__file__).parent, case, starts=False)
    )
