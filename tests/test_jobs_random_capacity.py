"""Workers' capacity shrinks and grows under random faults.

The leaders and workers are those of the random faults. No start brings a worker
over its capacity, what is being stopped included.
"""

import curio
import msgspec
import pytest

from galenahook.jobs import tasks as tasks_lib
import job_builders as build
import test_jobs_random_faults as random_faults

# Other scaled times apply as in the random faults.
short_times = random_faults.short_times

FULL = (3_000, 4_000, 2)
CAPACITIES = (FULL, (0, 0, 0), (1_500, 4_000, 2), (3_000, 1_000, 2),
              (3_000, 4_000, 1), (2_500, 3_500, 1))  # fmt: skip
# A capacity that has shrunk counts this long after.
MARGIN_MS = random_faults.CONTACT_MS + random_faults.HEARTBEAT_MS


class ShrinkingWorker(random_faults.SimulatedWorker):
    """A worker whose capacity changes and whose stops take time.

    Attributes:
      capacities: Capacity with the time from which on it holds, oldest first.
      stops: Time at which each stopped task ends.
    """

    def __init__(self, system, name):
        self.capacities = []
        self.change_capacity(system.scaled(FULL))
        super().__init__(system, name)

    def restart(self):
        self.stops = {}
        super().restart()

    def change_capacity(self, capacity):
        self.capacities.append((random_faults.CLOCK.monotonic_ms(), capacity))

    def heartbeat(self):
        cpu_millis, memory_mb, gpus = self.capacities[-1][1]
        return msgspec.structs.replace(
            super().heartbeat(),
            cpu_millis=cpu_millis,
            memory_mb=memory_mb,
            gpus=gpus,
        )

    def stop(self, task, run, fence):
        self.check_fence(fence)
        self.highest[task] = max(self.highest[task], run)
        if task in self.running and self.running[task].run <= run:
            now_ms = random_faults.CLOCK.monotonic_ms()
            self.stops.setdefault(task, now_ms + random_faults.STOP_MS)
        return True

    def advance(self):
        super().advance()
        now_ms = random_faults.CLOCK.monotonic_ms()
        for task, until_ms in list(self.stops.items()):
            if task not in self.running:
                del self.stops[task]
            elif now_ms >= until_ms:
                del self.stops[task]
                self.end(task, "gone")

    def limit(self, dimension, margin_ms):
        """Returns the largest capacity that held in the last milliseconds."""
        since_ms = random_faults.CLOCK.monotonic_ms() - margin_ms
        held = [
            capacity[dimension]
            for (_, capacity), (until_ms, _) in zip(
                self.capacities[:-1], self.capacities[1:], strict=True
            )
            if until_ms >= since_ms
        ]
        return max([*held, self.capacities[-1][1][dimension]])


class System(random_faults.System):
    """Checks the capacity at each start."""

    worker_type = ShrinkingWorker

    def __init__(self, seed):
        self.scale = 1 + seed % 2 * 2
        super().__init__(seed)

    def scaled(self, capacity):
        """Returns the capacity of a worker that is larger for odd seeds."""
        return tuple(self.scale * value for value in capacity)

    def step(self):
        changes = {"tasks": 4, "cpu_millis": 1_500, "memory_mb": 1_000}
        match self.rng.randrange(3):
            case 0:
                return build.step(**changes)
            case 1:
                return build.step(**changes, gpus=1)
        return build.batch_step(**changes)

    def check_start(self, worker, order, is_late):
        super().check_start(worker, order, is_late)
        margin_ms = MARGIN_MS
        if is_late:
            margin_ms += random_faults.MAX_LATE_MS
        needs = [self.needs(task) for task in worker.running]
        for dimension, unit in enumerate(("processors", "memory", "gpus")):
            needed = sum(need[dimension] for need in needs)
            limit = worker.limit(dimension, margin_ms)
            if needed > limit:
                self.broken.append(
                    f"{order.task}: {worker.name} runs {needed} of {limit} "
                    f"{unit}"
                )

    def needs(self, task):
        job, key = tasks_lib.parse_task_name(task)
        step = self.state.jobs.jobs[job].step(key)
        cpu_millis = 0 if step.uses_idle_cpu else step.cpu_millis
        return cpu_millis, step.memory_mb, step.gpus

    async def change_capacities(self):
        while True:
            await curio.sleep(0.2)
            worker = self.rng.choice(list(self.workers.values()))
            capacity = self.rng.choice(CAPACITIES)
            worker.change_capacity(self.scaled(capacity))

    async def play(self):
        changes = await curio.spawn(self.change_capacities, daemon=True)
        restore = await curio.spawn(self.restore_capacities, changes)
        await super().play()
        await restore.join()

    async def restore_capacities(self, changes):
        """Ends the changes with the faults."""
        while self.faulty:
            await curio.sleep(0.01)
        await changes.cancel()
        for worker in self.workers.values():
            worker.change_capacity(self.scaled(FULL))


@pytest.mark.parametrize("seed", range(4))
def test_no_start_exceeds_a_capacity_that_shrinks_and_grows(seed):
    system = System(seed)
    curio.run(system.play)
    assert system.broken == []
    for job in system.state.jobs.jobs.values():
        assert job.ended, job.description.job
