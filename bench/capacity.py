"""Measures the cost of each role and extrapolates it to the target size.

    make capacity

Real processes on loopback handle loads of known size; their processor time and
memory are read from the kernel. A slope is the cost above that of an idle site
divided by the number of events. The second table multiplies the slopes by the
rates of the target size; `docs/CAPACITY.md` explains them.
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

IDLE_DURATION_S = 4.0
LOAD_DURATION_S = 6.0
ANNOUNCERS = 240
ATTEMPTS_PER_ANNOUNCEMENT = 34
REQUESTS_PER_SECOND = 300
KEYED_REQUESTS_PER_SECOND = 150
TASKS_STARTED = 2_000
TASKS_WAITING = 40_000
CHANGES = 40
SHEET_ROWS = 2_000
LONG_RUN_MS = 10_000_000


@dataclasses.dataclass(slots=True)
class Usage:
    """Resource usage of a process.

    Attributes:
      processor_s: Processor time since its start.
      memory_mb: Resident memory.
    """

    processor_s: float
    memory_mb: float


class Meter:
    """Reads the resource usage of the processes of a site.

    Attributes:
      site: The site.
      leader: Name of the leading replica, once `find_leader` has run.
    """

    def __init__(self, site: site_lib.Site) -> None:
        self.site = site
        self.leader = ""

    def read(self, name: str) -> Usage:
        """Returns the usage of a process by its name."""
        popen = self.site.processes[name].popen
        assert popen is not None
        return read_usage(popen.pid)

    def find_leader(self, before: dict[str, Usage]) -> None:
        """Sets `leader` to the replica that was busiest since `before`."""
        self.leader = max(
            self.site.replica_names(),
            key=lambda name: (
                self.read(name).processor_s - before[name].processor_s
            ),
        )

    def read_all(self) -> dict[str, Usage]:
        """Returns the usage of each entry and replica by name."""
        names = [*self.site.replica_names(), *self.site.entry_names()]
        return {name: self.read(name) for name in names}


@dataclasses.dataclass(slots=True)
class ProcessorTime:
    """Processor time of each role during a load.

    Attributes:
      seconds: Duration of the load.
      entry_s: Processor time of all entries together.
      leader_s: Processor time of the leader.
      follower_s: Mean processor time of a follower.
    """

    seconds: float
    entry_s: float
    leader_s: float
    follower_s: float


def read_usage(pid: int) -> Usage:
    """Reads the usage of a process from the kernel."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ")[1]
    ticks = fields.split()
    processor_s = (int(ticks[11]) + int(ticks[12])) / 100
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in status.splitlines() if row.startswith("VmRSS"))
    return Usage(processor_s, int(line.split()[1]) / 1024)


def processor_time_between(
    meter: Meter,
    before: dict[str, Usage],
    after: dict[str, Usage],
    seconds: float,
) -> ProcessorTime:
    """Returns the processor time of each role between two readings."""

    def time_of(name: str) -> float:
        return after[name].processor_s - before[name].processor_s

    followers = [
        name for name in meter.site.replica_names() if name != meter.leader
    ]
    return ProcessorTime(
        seconds=seconds,
        entry_s=sum(map(time_of, meter.site.entry_names())),
        leader_s=time_of(meter.leader),
        follower_s=sum(map(time_of, followers)) / len(followers),
    )


class Capacity:
    """A run of the measurements.

    Attributes:
      site: Three replicas and three entries.
      meter: Reads the usage of their processes.
      slopes: Slopes measured so far.
      idle: Processor time that the idle site used.
    """

    def __init__(self, site: site_lib.Site) -> None:
        self.site = site
        self.meter = Meter(site)
        self.slopes = target_lib.Slopes()
        self.idle = ProcessorTime(1, 0, 0, 0)

    async def run(self) -> None:
        """Runs every measurement."""
        before = {}
        self.site.start()
        before = self.meter.read_all()
        await self.site.wait_ready()
        await curio.sleep(IDLE_DURATION_S)
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

    async def _measure_load(
        self, load: loads.Load
    ) -> tuple[ProcessorTime, int]:
        """Runs a load; returns its processor time above idle, and its size."""
        before = self.meter.read_all()
        started = time.monotonic()
        count = await load()
        seconds = time.monotonic() - started
        used = processor_time_between(
            self.meter, before, self.meter.read_all(), seconds
        )
        share = seconds / self.idle.seconds
        used.entry_s -= self.idle.entry_s * share
        used.leader_s -= self.idle.leader_s * share
        used.follower_s -= self.idle.follower_s * share
        return used, count

    async def _measure_idle(self) -> None:
        before = self.meter.read_all()
        await curio.sleep(IDLE_DURATION_S)
        after = self.meter.read_all()
        self.idle = processor_time_between(
            self.meter, before, after, IDLE_DURATION_S
        )
        entries = len(self.site.entry_names())
        slopes = self.slopes
        slopes.idle_entry = self.idle.entry_s / entries / IDLE_DURATION_S
        slopes.idle_leader = self.idle.leader_s / IDLE_DURATION_S
        slopes.idle_follower = self.idle.follower_s / IDLE_DURATION_S
        slopes.entry_mb = after[self.site.entry_names()[0]].memory_mb
        slopes.replica_mb = after[self.meter.leader].memory_mb

    async def _measure_announcements(self) -> None:
        slopes = self.slopes
        announcement_load = loads.AnnouncementLoad(
            self.site.upstreams(), ANNOUNCERS, ATTEMPTS_PER_ANNOUNCEMENT, True
        )
        used, count = await self._measure_load(
            announcement_load.load(LOAD_DURATION_S)
        )
        slopes.short_entry_ms = used.entry_s / count * 1_000
        slopes.short_leader_ms = used.leader_s / count * 1_000
        slopes.short_bytes = announcement_load.bytes_per_announcement
        announcement_load = loads.AnnouncementLoad(
            self.site.upstreams(), ANNOUNCERS, ATTEMPTS_PER_ANNOUNCEMENT, False
        )
        used, count = await self._measure_load(
            announcement_load.load(LOAD_DURATION_S)
        )
        slopes.full_entry_ms = used.entry_s / count * 1_000
        slopes.full_leader_ms = used.leader_s / count * 1_000
        slopes.full_bytes = announcement_load.bytes_per_announcement

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
        plain_load = loads.RequestLoad(
            self.site.callers(), REQUESTS_PER_SECOND, ""
        )
        used, count = await self._measure_load(plain_load.load(LOAD_DURATION_S))
        self.slopes.request_entry_ms = used.entry_s / count * 1_000
        keyed_load = loads.RequestLoad(
            self.site.callers(), KEYED_REQUESTS_PER_SECOND, "key"
        )
        used, count = await self._measure_load(keyed_load.load(LOAD_DURATION_S))
        self.slopes.claim_leader_ms = used.leader_s / count * 1_000
        self.slopes.claim_follower_ms = used.follower_s / count * 1_000

    async def _measure_starts(self) -> None:
        entries = ",".join(self.site.upstreams())
        events = self.site.start_fake(
            "worker",
            "worker",
            *("--count", "24", "--entries", entries),
        )
        await curio.sleep(IDLE_DURATION_S)
        job = loads.job_row("starts", TASKS_STARTED, 50)
        load = loads.job_load(self.site, job, events)
        used, count = await self._measure_load(load)
        self.slopes.start_leader_ms = used.leader_s / count * 1_000
        self.slopes.start_follower_ms = used.follower_s / count * 1_000
        self.slopes.starts_per_second = count / used.seconds

    async def _measure_changes(self) -> None:
        sheet = commands.ApplySheet(sheet=loads.sheet(SHEET_ROWS))
        await loads.apply(self.site, sheet)
        await curio.sleep(1)
        load = loads.change_load(self.site, CHANGES)
        used, count = await self._measure_load(load)
        self.slopes.change_leader_ms = used.leader_s / count * 1_000
        self.slopes.change_follower_ms = used.follower_s / count * 1_000
        self.slopes.change_seconds = used.seconds / count

    async def _measure_memory(self) -> None:
        before = self.meter.read(self.meter.leader)
        follower = next(
            name
            for name in self.site.replica_names()
            if name != self.meter.leader
        )
        follower_before = self.meter.read(follower)
        job = loads.job_row("kept", TASKS_WAITING, LONG_RUN_MS)
        job = loads.with_unplaceable_tasks(job)
        await loads.apply(self.site, commands.PutJob(job=job))
        await curio.sleep(2)
        growth_mb = (
            self.meter.read(self.meter.leader).memory_mb - before.memory_mb
        )
        self.slopes.task_leader_kb = growth_mb * 1024 / TASKS_WAITING
        growth_mb = (
            self.meter.read(follower).memory_mb - follower_before.memory_mb
        )
        self.slopes.task_follower_kb = growth_mb * 1024 / TASKS_WAITING


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
