"""Measures how soon tasks run again after their worker has restarted.

    python -m restarts [--restarts N]

Starts replicas and entries as processes and workers in this one, which run
lasting tasks. Workers restart under their identifiers or under new ones. Prints
the times from the start of the new process until all its tasks run again, where
they may run on any worker and where they can't run on another one, and from the
first configuration to the first starts on workers that had announced themselves
before.
"""

import argparse
import json
import pathlib
import statistics
import tempfile

import curio

import job_soak
import soak_operators

DARK_S = 0.3
EARLY_S = 3.0
TIMEOUT_S = 30.0


class Restarts(job_soak.Soak):
    """A site whose workers restart one after the other.

    Attributes:
      restarts: Restarts of each kind.
      is_spread: Whether each worker may run one of the tasks only.
      times_ms: Measured times by kind.
    """

    def __init__(
        self, folder: pathlib.Path, restarts: int, is_spread: bool
    ) -> None:
        super().__init__(1, 0.0, folder)
        self.restarts = restarts
        self.is_spread = is_spread
        self.times_ms: dict[str, list[int]] = {}

    async def run(self) -> None:
        """Starts the site and measures."""
        tasks = []
        try:
            self.site.start()
            for worker in self.workers:
                tasks.append(
                    await curio.spawn(worker.run, self.site.controls[:3])
                )
                tasks.append(await curio.spawn(worker.relay.run))
            await curio.sleep(EARLY_S)
            await self.operators.put_first_site()
            since_ms = self.clock.monotonic_ms()
            await self._replace_job()
            self.times_ms["first starts"] = [
                start.at_ms - since_ms
                for worker in self.workers
                for start in worker.starts
            ]
            for number in range(self.restarts):
                await self._restart("same identifier", number, "")
                await self._restart("new identifier", number, f"n{number}")
        finally:
            for task in tasks:
                await task.cancel()
            self.site.kill()

    async def _replace_job(self) -> None:
        """Runs a new job, as one is given up after several restarts."""
        if self.jobs:
            target = soak_operators.PREFIX + list(self.jobs)[-1]
            await self._ask("DELETE", target)
        identifier = f"{len(self.jobs) + 1:016x}"
        self.jobs[identifier] = job_soak.CallersJob(lasts=True)
        step = {
            "count": len(self.workers),
            "cpu": 500,
            "mem_mb": 100,
            "long_running": True,
            "anti_affinity": int(self.is_spread),
        }
        body = json.dumps({"spec": "-1", "steps": [step]}).encode()
        target = soak_operators.PREFIX + identifier
        while True:
            response = await self._ask("POST", target, body)
            if response is not None and response.status == 200:
                break
            await curio.sleep(0.02)
        await self._wait_until_all_run()

    async def _wait_until_all_run(self) -> None:
        """Waits until all tasks of the newest job run."""
        prefix = f"{list(self.jobs)[-1]}."
        async with curio.timeout_after(TIMEOUT_S):
            while True:
                running = [
                    task
                    for worker in self.workers
                    for task in worker.running
                    if task.startswith(prefix)
                ]
                if len(running) == len(self.workers):
                    return
                await curio.sleep(0.002)

    async def _restart(self, kind: str, number: int, suffix: str) -> None:
        """Restarts a worker that runs tasks."""
        await self._replace_job()
        await curio.sleep(0.5)
        used = [worker for worker in self.workers if worker.running]
        worker = used[number % len(used)]
        if suffix:
            worker.name = worker.machine + suffix
        await worker.restart(DARK_S)
        up_ms = self.clock.monotonic_ms()
        await self._wait_until_all_run()
        self.times_ms.setdefault(kind, []).append(
            self.clock.monotonic_ms() - up_ms
        )


def main() -> None:
    """Measures and prints the times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--restarts", type=int, default=20)
    arguments = parser.parse_args()
    for is_spread in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            measured = Restarts(
                pathlib.Path(folder), arguments.restarts, is_spread
            )
            curio.run(measured.run)
        print("only on the same VM:" if is_spread else "on any worker:")
        for kind, times_ms in measured.times_ms.items():
            ordered = sorted(times_ms)
            print(
                f"  {kind}: {len(ordered)} times, median"
                f" {statistics.median(ordered):.0f} ms,"
                f" {ordered[0]} to {ordered[-1]} ms"
            )


if __name__ == "__main__":
    main()
