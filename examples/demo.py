"""Runs a small booking site as separate processes and prints the results.

    make demo
    make demo ARGUMENTS="--kill replica-1 --seconds 15"

Three replicas, three entries, workers and executors run as separate processes
on loopback. Callers send requests with idempotency keys, and an operator
applies a sheet with services and jobs. With `--kill`, one process, such as
`entry-1` or `replica-2`, or `leader`, is killed with SIGKILL during the run
and restarted. The exit status is 0 if nothing was lost or run twice.
"""

import argparse
import collections
import dataclasses
import sys
import tempfile
import time

import curio

from fakes import caller as caller_lib
from fakes import events as events_lib
from fakes import site as site_lib
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import messages

REQUESTS_PER_SECOND = 60
MAX_REQUEST_ATTEMPTS = 4
RETRY_DELAY_MS = 400
JOBS_TIMEOUT_MS = 20_000
JOBS_DEADLINE_MS = 25_000
POLL_PERIOD_MS = 100
TARGET = "/holds/table"

Failures = list[str]


@dataclasses.dataclass(slots=True)
class Demo:
    """One run of the demo.

    Attributes:
      site: The processes.
      seconds: Time during which callers send requests.
      kill: Process to kill during the run, or an empty string.
      event_files: Files in which the fakes record events.
      results: The last result of each request.
      deadline_ms: Wall time by which the jobs must be done.
    """

    site: site_lib.Site
    seconds: int
    kill: str
    event_files: list[str] = dataclasses.field(default_factory=list)
    results: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    deadline_ms: int = 0

    async def run(self) -> None:
        """Runs the site until the requests and the jobs are done."""
        self.site.start()
        await self.site.wait_ready()
        await self._apply_sheet()
        self._start_fakes()
        await self._wait_for_route()
        async with curio.TaskGroup() as group:
            await group.spawn(self._send_requests)
            await group.spawn(self._wait_for_jobs)
            if self.kill:
                await group.spawn(self._kill_during_run)

    async def _apply_sheet(self) -> None:
        clock = clock_lib.Clock()
        self.deadline_ms = clock.wall_ms() + JOBS_DEADLINE_MS
        change = commands.ApplySheet(sheet=_sheet(self.deadline_ms))
        reply = await self.site.operator().apply(change)
        if reply.status != 200:
            raise SystemExit(f"the sheet was refused: {reply.body!r}")

    def _start_fakes(self) -> None:
        entries = ",".join(self.site.upstreams())
        zones = ",".join(self.site.layout.availability_zones)
        common = ("--entries", entries, "--zones", zones)
        for index in range(2):
            self.event_files.append(
                self.site.start_fake(
                    "worker", f"worker-{index}", "--count", "3", *common
                )
            )
            self.event_files.append(
                self.site.start_fake(
                    "executor",
                    f"executor-{index}",
                    *("--service", "holds", "--count", "3"),
                    *("--service-ms", "8", "--spread", "0.3"),
                    *common,
                )
            )

    async def _wait_for_route(self) -> None:
        caller = caller_lib.FakeCaller(self.site.callers(), name="probe")
        for entry in range(len(self.site.callers())):
            while True:
                result = await caller.send(TARGET, entry=entry)
                if result.outcome == "answered":
                    break
                await curio.sleep(clock_lib.seconds(POLL_PERIOD_MS))
        await caller.close()

    async def _send_requests(self) -> None:
        caller = caller_lib.FakeCaller(self.site.callers(), name="caller")
        async with curio.TaskGroup() as group:
            for number in range(self.seconds * REQUESTS_PER_SECOND):
                await group.spawn(self._send_until_known, caller, number)
                await curio.sleep(1 / REQUESTS_PER_SECOND)
        await caller.close()

    async def _send_until_known(
        self, caller: caller_lib.FakeCaller, number: int
    ) -> None:
        """Sends one request, resent with its key until its outcome is known."""
        entries = len(self.site.callers())
        for attempt in range(MAX_REQUEST_ATTEMPTS):
            result = await caller.send(
                TARGET,
                method="POST",
                body=f"table {number}".encode("ascii"),
                key=f"hold-{number}",
                entry=(number + attempt) % entries,
            )
            if result.outcome == "answered" or result.status == 409:
                break
            await curio.sleep(clock_lib.seconds(RETRY_DELAY_MS))
        self.results.append(result)

    async def _wait_for_jobs(self) -> None:
        required = {
            f"job/{row.name}/{index}"
            for row in _sheet(0).jobs
            for index in range(row.tasks)
        }
        end = time.monotonic() + clock_lib.seconds(JOBS_TIMEOUT_MS)
        while time.monotonic() < end:
            done = {event.task for event in self._events("acknowledge")}
            if required <= done:
                return
            await curio.sleep(clock_lib.seconds(POLL_PERIOD_MS))

    async def _kill_during_run(self) -> None:
        await curio.sleep(self.seconds / 3)
        name = self.kill
        if name == "leader":
            name = self.site.replica_names()[0]
        print(f"killing {name} with SIGKILL")
        self.site.processes[name].kill()
        await curio.sleep(1)
        self.site.processes[name].start()

    def _events(self, *kinds: str) -> list[events_lib.Event]:
        return [
            event
            for event in events_lib.read(self.event_files)
            if event.kind in kinds
        ]

    def check(self) -> Failures:
        """Returns what was lost or run twice, according to the events."""
        return [
            *self._check_requests(),
            *self._check_tasks(),
            *(
                f"{event.upstream}: {event.detail}"
                for event in self._events("violation")
            ),
        ]

    def _check_requests(self) -> Failures:
        served = collections.Counter(
            event.detail for event in self._events("serve") if event.detail
        )
        failures = [
            f"request {key} ran {count} times"
            for key, count in served.items()
            if count > 1
        ]
        failures += [
            f"request {result.key} got a wrong answer"
            for result in self.results
            if result.wrong
        ]
        failures += [
            f"request {result.key} was lost: {result.status}"
            f" {result.outcome} {result.body!r}"
            for result in self.results
            if not served[result.key]
        ]
        return failures

    def _check_tasks(self) -> Failures:
        completed = collections.Counter(
            event.task for event in self._events("complete")
        )
        failures = [
            f"task {task} completed {count} times"
            for task, count in completed.items()
            if count > 1
        ]
        failures += [
            f"task job/{row.name}/{index} was not completed"
            for row in _sheet(0).jobs
            for index in range(row.tasks)
            if not completed[f"job/{row.name}/{index}"]
        ]
        return failures

    def print_table(self, failures: Failures) -> None:
        """Prints the results as a table."""
        tally = caller_lib.Tally(self.results)
        starts = self._events("start")
        completed = self._events("complete")
        services = {
            event.task for event in starts if event.task.startswith("service/")
        }
        wall_offset_ms = (
            clock_lib.Clock().wall_ms() - clock_lib.Clock().monotonic_ms()
        )
        in_time = sum(
            event.at_ms + wall_offset_ms <= self.deadline_ms
            for event in completed
        )
        jobs = sum(row.tasks for row in _sheet(0).jobs)
        duplicates = sum(result.status == 409 for result in self.results)
        rows = (
            ("requests sent", len(self.results)),
            ("requests answered", tally.count("answered")),
            ("requests refused, not run", tally.count("not-run") - duplicates),
            ("requests run once, answer lost", duplicates),
            ("request p50, ms", tally.percentile_ms(50)),
            ("request p99, ms", tally.percentile_ms(99)),
            ("service instances started", len(services)),
            ("batch tasks", jobs),
            ("batch tasks done by deadline", in_time),
            ("evictions", len(self._events("stop"))),
            ("lost or run twice", len(failures)),
        )
        for label, value in rows:
            print(f"{label:<34}{value:>10}")
        for failure in failures:
            print(f"FAULT: {failure}")


def _sheet(deadline_ms: int) -> commands.Sheet:
    holds = commands.ServiceRow(
        name="holds",
        team="front-of-house",
        priority=90,
        instances=4,
        resources=messages.Resources(4_000, 8_000),
        route="/holds",
        tail_target_ms=100,
        command="run_ms=600000",
    )
    rota = commands.JobRow(
        name="weekly-rota",
        team="rota",
        priority=50,
        job_class="rota",
        tasks=24,
        resources=messages.Resources(8_000, 16_000),
        run_ms=1_500,
        deadline_ms=deadline_ms,
        command="run_ms=1500",
    )
    boards = commands.JobRow(
        name="seat-boards",
        team="boards",
        priority=40,
        job_class="boards",
        tasks=12,
        resources=messages.Resources(2_000, 4_000),
        run_ms=2_500,
        deadline_ms=deadline_ms,
        repeatable=False,
        command="run_ms=2500",
    )
    return commands.Sheet(
        services=(holds,), jobs=(rota, boards), objective="tail"
    )


def main() -> int:
    """Runs the demo and returns its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kill", default="", metavar="PROCESS")
    parser.add_argument("--seconds", type=int, default=10)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="galenahook-demo-") as folder:
        site = site_lib.Site(folder, site_lib.Layout(replicas=3, entries=3))
        demo = Demo(site, arguments.seconds, arguments.kill)
        try:
            curio.run(demo.run)
            failures = demo.check()
            demo.print_table(failures)
        finally:
            site.stop()
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
