"""Measures what each role spends, as slopes, and works out the target size.

    make capacity

Real processes on loopback take loads of known size; their processor time and
memory are read from the kernel. Each slope is the difference to an idle site
divided by the load. The second table multiplies the slopes by the rates of
the target size; `docs/CAPACITY.md` explains them.
"""

import dataclasses
import pathlib
import sys
import tempfile
import time

import curio

import capacity_loads as loads
import capacity_target as target_lib
from fakes import site as site_lib
from galenahook import commands

IDLE_SECONDS = 4.0
LOAD_SECONDS = 6.0
ANNOUNCERS = 240
ATTEMPTS_HELD = 34
REQUESTS_PER_SECOND = 300
KEYED_PER_SECOND = 150
TASKS_STARTED = 2_000
TASKS_KEPT = 40_000
CHANGES = 40
ROWS = 2_000
LONG_RUN_MS = 10_000_000


@dataclasses.dataclass(slots=True)
class Reading:
    """What a process has used.

    Attributes:
      processor_s: Processor time since its start.
      memory_mb: Resident memory.
    """

    processor_s: float
    memory_mb: float


class Meter:
    """Reads the use of the processes of a site.

    Attributes:
      site: The site.
      leader: Name of the replica that led when the meter was made.
    """

    def __init__(self, site: site_lib.Site) -> None:
        self.site = site
        self.leader = ""

    def read(self, name: str) -> Reading:
        """Reads one process."""
        popen = self.site.processes[name].popen
        assert popen is not None
        return read_process(popen.pid)

    def find_leader(self, before: dict[str, Reading]) -> None:
        """Takes the replica that worked most since `before` as the leader."""
        self.leader = max(
            self.site.replica_names(),
            key=lambda name: (
                self.read(name).processor_s - before[name].processor_s
            ),
        )

    def read_all(self) -> dict[str, Reading]:
        """Reads every entry and replica."""
        names = [*self.site.replica_names(), *self.site.entry_names()]
        return {name: self.read(name) for name in names}


@dataclasses.dataclass(slots=True)
class Spent:
    """Processor time of each role over a load.

    Attributes:
      seconds: How long the load took.
      entry_s: All entries together.
      leader_s: The leader.
      follower_s: One follower.
    """

    seconds: float
    entry_s: float
    leader_s: float
    follower_s: float


def read_process(pid: int) -> Reading:
    """Reads the use of a process from the kernel."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ")[1]
    ticks = fields.split()
    processor_s = (int(ticks[11]) + int(ticks[12])) / 100
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in status.splitlines() if row.startswith("VmRSS"))
    return Reading(processor_s, int(line.split()[1]) / 1024)


def spent_between(
    meter: Meter,
    before: dict[str, Reading],
    after: dict[str, Reading],
    seconds: float,
) -> Spent:
    """Returns what the roles spent between two readings."""

    def used(name: str) -> float:
        return after[name].processor_s - before[name].processor_s

    followers = [
        name for name in meter.site.replica_names() if name != meter.leader
    ]
    return Spent(
        seconds=seconds,
        entry_s=sum(map(used, meter.site.entry_names())),
        leader_s=used(meter.leader),
        follower_s=sum(map(used, followers)) / len(followers),
    )


class Capacity:
    """One run of the measurements.

    Attributes:
      site: Three replicas and three entries.
      meter: Reads their use.
      slopes: Figures so far.
      idle: What an idle site spends.
    """

    def __init__(self, site: site_lib.Site) -> None:
        self.site = site
        self.meter = Meter(site)
        self.slopes = target_lib.Slopes()
        self.idle = Spent(1, 0, 0, 0)

    async def run(self) -> None:
        """Runs every measurement."""
        before = {}
        self.site.start()
        before = self.meter.read_all()
        await self.site.wait_ready()
        await curio.sleep(IDLE_SECONDS)
        self.meter.find_leader(before)
        for name, measure in (
            ("idle", self._measure_idle),
            ("announcements", self._measure_announcements),
            ("requests", self._measure_requests),
            ("starts", self._measure_starts),
            ("changes", self._measure_changes),
            ("memory", self._measure_memory),
        ):
            print(f"measuring {name}", file=sys.stderr)
            await measure()

    async def _spend(self, load: loads.Load) -> tuple[Spent, int]:
        """Runs a load; returns what it cost above idle, and its size."""
        before = self.meter.read_all()
        begun = time.monotonic()
        count = await load()
        seconds = time.monotonic() - begun
        spent = spent_between(
            self.meter, before, self.meter.read_all(), seconds
        )
        share = seconds / self.idle.seconds
        spent.entry_s -= self.idle.entry_s * share
        spent.leader_s -= self.idle.leader_s * share
        spent.follower_s -= self.idle.follower_s * share
        return spent, count

    async def _measure_idle(self) -> None:
        before = self.meter.read_all()
        await curio.sleep(IDLE_SECONDS)
        after = self.meter.read_all()
        self.idle = spent_between(self.meter, before, after, IDLE_SECONDS)
        entries = len(self.site.entry_names())
        slopes = self.slopes
        slopes.idle_entry = self.idle.entry_s / entries / IDLE_SECONDS
        slopes.idle_leader = self.idle.leader_s / IDLE_SECONDS
        slopes.idle_follower = self.idle.follower_s / IDLE_SECONDS
        slopes.entry_mb = after[self.site.entry_names()[0]].memory_mb
        slopes.replica_mb = after[self.meter.leader].memory_mb

    async def _measure_announcements(self) -> None:
        slopes = self.slopes
        announcers = loads.Announcers(
            self.site.upstreams(), ANNOUNCERS, ATTEMPTS_HELD, True
        )
        spent, count = await self._spend(announcers.load(LOAD_SECONDS))
        slopes.short_entry_ms = spent.entry_s / count * 1_000
        slopes.short_leader_ms = spent.leader_s / count * 1_000
        slopes.short_bytes = announcers.bytes_each
        announcers = loads.Announcers(
            self.site.upstreams(), ANNOUNCERS, ATTEMPTS_HELD, False
        )
        spent, count = await self._spend(announcers.load(LOAD_SECONDS))
        slopes.full_entry_ms = spent.entry_s / count * 1_000
        slopes.full_leader_ms = spent.leader_s / count * 1_000
        slopes.full_bytes = announcers.bytes_each

    async def _measure_requests(self) -> None:
        change = commands.PutService(service=loads.service_row())
        await loads.apply(self.site, change)
        entries = ",".join(self.site.upstreams())
        self.site.start_fake(
            "executor",
            "executor",
            *("--service", loads.SERVICE, "--count", "12"),
            *("--service-ms", "2", "--entries", entries),
        )
        await loads.wait_for_route(self.site.callers())
        plain = loads.Requests(self.site.callers(), REQUESTS_PER_SECOND, "")
        spent, count = await self._spend(plain.load(LOAD_SECONDS))
        self.slopes.request_entry_ms = spent.entry_s / count * 1_000
        keyed = loads.Requests(self.site.callers(), KEYED_PER_SECOND, "key")
        spent, count = await self._spend(keyed.load(LOAD_SECONDS))
        self.slopes.claim_leader_ms = spent.leader_s / count * 1_000
        self.slopes.claim_follower_ms = spent.follower_s / count * 1_000

    async def _measure_starts(self) -> None:
        entries = ",".join(self.site.upstreams())
        events = self.site.start_fake(
            "worker",
            "worker",
            *("--count", "24", "--entries", entries),
        )
        await curio.sleep(IDLE_SECONDS)
        job = loads.job_row("starts", TASKS_STARTED, 50)
        load = loads.job_load(self.site, job, events)
        spent, count = await self._spend(load)
        self.slopes.start_leader_ms = spent.leader_s / count * 1_000
        self.slopes.start_follower_ms = spent.follower_s / count * 1_000
        self.slopes.starts_per_second = count / spent.seconds

    async def _measure_changes(self) -> None:
        sheet = commands.ApplySheet(sheet=loads.sheet(ROWS))
        await loads.apply(self.site, sheet)
        await curio.sleep(1)
        load = loads.change_load(self.site, CHANGES)
        spent, count = await self._spend(load)
        self.slopes.change_leader_ms = spent.leader_s / count * 1_000
        self.slopes.change_follower_ms = spent.follower_s / count * 1_000
        self.slopes.change_seconds = spent.seconds / count

    async def _measure_memory(self) -> None:
        before = self.meter.read(self.meter.leader)
        follower = next(
            name
            for name in self.site.replica_names()
            if name != self.meter.leader
        )
        follower_before = self.meter.read(follower)
        job = loads.job_row("kept", TASKS_KEPT, LONG_RUN_MS)
        job = loads.too_large(job)
        await loads.apply(self.site, commands.PutJob(job=job))
        await curio.sleep(2)
        grown = self.meter.read(self.meter.leader).memory_mb - before.memory_mb
        self.slopes.task_leader_kb = grown * 1024 / TASKS_KEPT
        grown = self.meter.read(follower).memory_mb - follower_before.memory_mb
        self.slopes.task_follower_kb = grown * 1024 / TASKS_KEPT


def main() -> None:
    """Runs the measurements and prints both tables."""
    with tempfile.TemporaryDirectory(prefix="galenahook-capacity-") as folder:
        site = site_lib.Site(folder, site_lib.Layout(replicas=3, entries=3))
        capacity = Capacity(site)
        try:
            curio.run(capacity.run)
        finally:
            site.stop()
    capacity.slopes.print_table()
    target_lib.print_target(capacity.slopes)


if __name__ == "__main__":
    main()
