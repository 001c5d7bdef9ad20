"""Loads of known size for the capacity measurements."""

from collections.abc import Awaitable
from collections.abc import Callable
import time

import curio
import msgspec

from fakes import caller as caller_lib
from fakes import events as events_lib
from fakes import site as site_lib
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import messages
from galenahook import web

Load = Callable[[], Awaitable[int]]

SERVICE = "prices"
TARGET = "/prices/wrap"
JOB_TIMEOUT_S = 60.0
POLL_S = 0.1
# Size of the headers of an announcement and its reply together.
HEADER_BYTES = 150


class AnnouncementLoad:
    """Workers that only announce, each as soon as it has the previous reply.

    Attributes:
      bytes_per_announcement: Bytes of an announcement and its reply, with
        headers. The attempts to stop are left out of the reply: the leader
        lists the announced attempts there only because they are made up.
    """

    def __init__(
        self, entries: list[str], count: int, attempts: int, omits_list: bool
    ) -> None:
        self.bytes_per_announcement = 0
        self._entries = entries
        self._count = count
        self._omits_list = omits_list
        self._attempts = tuple(
            messages.AttemptStatus(
                task=f"job/cutting-plan-{index}/7",
                attempt=1,
                usage=messages.Resources(900, 3_000),
                sample_age_ms=1_000,
            )
            for index in range(attempts)
        )
        self._clock = clock_lib.Clock()

    def load(self, seconds: float) -> Load:
        """Returns the load; its size is the number of replies."""

        async def run() -> int:
            end = time.monotonic() + seconds
            async with curio.TaskGroup() as group:
                for index in range(self._count):
                    await group.spawn(self._announce_until, index, end)
            return sum(group.results)

        return run

    async def _announce_until(self, index: int, end: float) -> int:
        address = self._entries[index % len(self._entries)]
        connection = await web.connect(address)
        answered = 0
        while time.monotonic() < end and connection.reusable:
            message = self._announcement(index, answered + 1)
            body = messages.encode(message)
            response = await connection.exchange(
                web.Request("POST", "/v1/announce", [], body), 5_000
            )
            answered += 1
            self.bytes_per_announcement = (
                len(body) + _reply_bytes(response) + HEADER_BYTES
            )
        await connection.close()
        return answered

    def _announcement(
        self, index: int, sequence: int
    ) -> messages.WorkerAnnouncement:
        includes_list = sequence == 1 or not self._omits_list
        return messages.WorkerAnnouncement(
            name=f"announcer-{len(self._attempts)}-{self._omits_list}-{index}",
            incarnation="0123456789abcdef",
            sequence=sequence,
            sent_at_ms=self._clock.monotonic_ms(),
            address="127.0.0.1:9",
            availability_zone="a",
            rack="a-1",
            vm=f"vm-{index}",
            leaving=True,
            capacity=messages.Resources(64_000, 250_000),
            attempts=self._attempts if includes_list else (),
            attempts_as_of=0 if includes_list else 1,
        )


def _reply_bytes(response: web.Response) -> int:
    """Returns the size of the reply without its attempts to stop."""
    reply = messages.decode(response.body, messages.AnnouncementReply)
    return len(messages.encode(msgspec.structs.replace(reply, stop=())))


class RequestLoad:
    """Requests at a constant rate, with or without idempotency keys."""

    def __init__(
        self, entries: list[str], per_second: int, key_prefix: str
    ) -> None:
        self._caller = caller_lib.FakeCaller(entries)
        self._per_second = per_second
        self._key_prefix = key_prefix

    def load(self, seconds: float) -> Load:
        """Returns the load; its size is the number of requests answered."""

        async def run() -> int:
            number = 0
            started = time.monotonic()
            async with curio.TaskGroup() as group:
                while time.monotonic() < started + seconds:
                    number += 1
                    await group.spawn(self._send, number)
                    due = started + number / self._per_second
                    await curio.sleep(max(0.0, due - time.monotonic()))
            await self._caller.close()
            return self._caller.tally.count("answered")

        return run

    async def _send(self, number: int) -> None:
        prefix = self._key_prefix
        key = f"{prefix}-{number}" if prefix else ""
        await self._caller.send(TARGET, method="POST", key=key)


async def wait_for_route(entries: list[str]) -> None:
    """Waits until every entry routes requests to the service."""
    caller = caller_lib.FakeCaller(entries)
    for index in range(len(entries)):
        while (await caller.send(TARGET, entry=index)).outcome != "answered":
            await curio.sleep(POLL_S)
    await caller.close()


async def apply(site: site_lib.Site, change: commands.Change) -> None:
    """Applies a configuration change.

    Raises:
      SiteError: The change was refused.
    """
    response = await site.operator().apply(change)
    if response.status != 200:
        raise site_lib.SiteError(
            f"configuration change refused: {response.body!r}"
        )


def service_row() -> commands.ServiceRow:
    """Returns the service whose requests are measured."""
    return commands.ServiceRow(
        name=SERVICE,
        team="orders",
        priority=90,
        instances=1,
        resources=messages.Resources(1_000, 1_000),
        route="/prices",
        tail_target_ms=100,
    )


def job_row(name: str, tasks: int, run_ms: int) -> commands.JobRow:
    """Returns a job whose tasks need one core each."""
    return commands.JobRow(
        name=name,
        team="orders",
        priority=50,
        job_class="plans",
        tasks=tasks,
        resources=messages.Resources(1_000, 1_000),
        run_ms=run_ms,
        command=f"run_ms={run_ms}",
    )


def with_unplaceable_tasks(job: commands.JobRow) -> commands.JobRow:
    """Returns the job with tasks that are too large for every worker."""
    return msgspec.structs.replace(
        job, resources=messages.Resources(10**7, 10**8)
    )


def sheet(rows: int) -> commands.Sheet:
    """Returns a sheet with many jobs that may start only in ten hours."""
    later_ms = clock_lib.Clock().wall_ms() + 36_000_000
    jobs = tuple(
        msgspec.structs.replace(
            job_row(f"plan-{index}", 4, 1_000), earliest_ms=later_ms
        )
        for index in range(rows)
    )
    return commands.Sheet(services=(service_row(),), jobs=jobs)


def job_load(site: site_lib.Site, job: commands.JobRow, events: str) -> Load:
    """Returns a load that runs a job; its size is the number of tasks done."""

    async def run() -> int:
        await apply(site, commands.PutJob(job=job))
        end = time.monotonic() + JOB_TIMEOUT_S
        done: set[str] = set()
        while len(done) < job.tasks and time.monotonic() < end:
            await curio.sleep(POLL_S)
            done = {
                event.task
                for event in events_lib.read([events])
                if event.kind == "acknowledge"
            }
        return len(done)

    return run


def change_load(site: site_lib.Site, count: int) -> Load:
    """Returns a load of sequential changes of one row each."""

    async def run() -> int:
        operator = site.operator("bor")
        for index in range(count):
            row = job_row(f"late-{index}", 1, 1_000)
            row = with_unplaceable_tasks(row)
            response = await operator.apply(commands.PutJob(job=row))
            assert response.status == 200, response.body
        return count

    return run
