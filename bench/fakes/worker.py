"""A fake worker: runs tasks as timed work under leases.

The command of a task states its actual behaviour, which may differ from what
the sheet declares: `run_ms=800 fail=0 class=coating cores=2000 memory=512`.
"""

import argparse
import dataclasses
import itertools
import random
import secrets
from typing import Any

import curio

from fakes import events as events_lib
from fakes import vm as vm_lib
from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import messages
from galenahook import web

ANNOUNCE_PERIOD_MS = 500
ANNOUNCE_TIMEOUT_MS = 1_500
REPORT_RETRY_MS = 200
STEP_MS = 20
DEFAULT_JOB_RUN_MS = 500
MAX_RECORDED_ANNOUNCEMENTS = 200
FULL_ANNOUNCEMENT_PERIOD_MS = 3_000


@dataclasses.dataclass(slots=True)
class AttemptList:
    """The last list of attempts that an entry acknowledged."""

    sequence: int
    sent_ms: int
    attempts: tuple[tuple[str, int, str], ...]


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that this worker runs or has not reported."""

    order: messages.StartOrder
    run_ms: int
    fails: bool
    work_class: str
    cores_milli: int
    memory_mb: int
    done_ms: float = 0.0
    phase: str = "running"
    percent: int = 100
    checkpoints: int = 0
    ran_until_ms: int = 0
    handle: Any = None


def parse_command(command: str) -> dict[str, str]:
    """Returns the `name=value` words of a command."""
    words = (word.partition("=") for word in command.split())
    return {name: value for name, separator, value in words if separator}


def progress_of_reference(reference: str) -> float:
    """Returns the completed work in milliseconds of a checkpoint reference."""
    return float(reference.rpartition("@")[2]) if "@" in reference else 0.0


class FakeWorker:
    """A fake worker that follows INTERFACES.md.

    Attributes:
      name: Name announced.
      events: Log of its events.
      attempts: Running attempts by task.
      ended: Attempts that ended but whose reports are not acknowledged.
      fails_all: Whether every attempt that it starts fails.
      leaving: Whether it announces that it is leaving.
      unresponsive: Whether it neither replies nor announces, while its
        tasks keep running.
      usage_lag_ms: Age of the usage samples it announces.
      stop_ms: Duration of a stop.
      checkpoint_ms: Duration of a checkpoint.
      lease_until_ms: End of its lease by its own monotonic clock.
    """

    def __init__(
        self,
        name: str,
        entries: list[str],
        *,
        capacity: messages.Resources | None = None,
        availability_zone: str = "a",
        rack: str = "",
        vm: vm_lib.Vm | None = None,
        listen: str = "127.0.0.1:0",
        advertise: str = "",
        events: events_lib.EventLog | None = None,
        period_ms: int = ANNOUNCE_PERIOD_MS,
    ) -> None:
        self.name = name
        self.entries = entries
        self.capacity = capacity or messages.Resources(64_000, 250_000, 0)
        self.availability_zone = availability_zone
        self.rack = rack
        self.vm = vm or vm_lib.Vm(name)
        self.events = events or events_lib.EventLog()
        self.period_ms = period_ms
        self.attempts: dict[str, Attempt] = {}
        self.ended: list[Attempt] = []
        self.fails_all = False
        self.leaving = False
        self.unresponsive = False
        self.usage_lag_ms = 1_000
        self.stop_ms = 0
        self.checkpoint_ms = 20
        self.lease_until_ms = 0
        self.incarnation = secrets.token_hex(8)
        self.address = ""
        self.advertise = advertise
        self._listen = listen
        self._clock = clock_lib.Clock()
        self._client = web.ControlClient(self._clock, [])
        self._sent: dict[int, int] = {}
        self._sequence = itertools.count(1)
        self._highest: dict[str, int] = {}
        self._start_replies: dict[tuple[str, int], messages.StartReply] = {}
        self._stopped_attempts: set[tuple[str, int]] = set()
        self._acknowledged_list = AttemptList(0, 0, ())
        self._entry = random.randrange(max(1, len(entries)))
        self._changed = curio.Event()
        self._group: curio.TaskGroup | None = None
        self._is_shut_down = False

    def restart(self) -> None:
        """Becomes a new incarnation without state; call `run` again."""
        self.incarnation = secrets.token_hex(8)
        self.lease_until_ms = 0
        self._is_shut_down = False
        self._sequence = itertools.count(1)
        self._client = web.ControlClient(self._clock, [])
        for state in (self._sent, self._highest, self._start_replies):
            state.clear()
        self._stopped_attempts.clear()

    async def run(self) -> None:
        """Announces and serves until cancelled, then ends all attempts."""
        sock = web.listen(self._listen)
        server = web.Server(sock, self._handle, web.Limits())
        self.address = server.address
        self._listen = server.address
        self.advertise = self.advertise or server.address
        try:
            async with curio.TaskGroup(wait=any) as group:
                self._group = group
                await group.spawn(server.run)
                await group.spawn(self._announce_periodically)
                await group.spawn(self._watch_lease)
        finally:
            await self._shut_down()
            sock.close()

    async def _shut_down(self) -> None:
        self._is_shut_down = True
        for attempt in self.attempts.values():
            self._record("die", attempt)
        unreported = [*self.attempts.values(), *self.ended]
        self.attempts.clear()
        self.ended.clear()
        for attempt in unreported:
            await attempt.handle.cancel(blocking=False)
        self.vm.running.clear()

    # --- Announcements ---

    async def _announce_periodically(self) -> None:
        while True:
            self._changed.clear()
            if not self.unresponsive:
                await self._announce()
            await curio.ignore_after(
                clock_lib.seconds(self.period_ms), self._changed.wait()
            )

    async def _announce(self) -> None:
        sequence = next(self._sequence)
        sent_ms = self._clock.monotonic_ms()
        self._sent[sequence] = sent_ms
        self._sent.pop(sequence - MAX_RECORDED_ANNOUNCEMENTS, None)
        announcement = self._announcement(sequence, sent_ms)
        phases = self._attempt_phases()
        try:
            response = await self._client.post(
                self._entry_address(),
                "/v1/announce",
                announcement,
                ANNOUNCE_TIMEOUT_MS,
            )
            if response.status != 200:
                raise errors.ExchangeError(str(response.status), True)
            reply = messages.decode(response.body, messages.AnnouncementReply)
        except (errors.ExchangeError, errors.InvalidInputError):
            self._entry += 1
            return
        if not announcement.attempts_as_of:
            self._acknowledged_list = AttemptList(sequence, sent_ms, phases)
        if reply.send_attempts:
            self._acknowledged_list = AttemptList(0, 0, ())
            await self._changed.set()
        await self._apply_reply(reply, sent_ms)

    def _attempt_phases(self) -> tuple[tuple[str, int, str], ...]:
        return tuple(
            (attempt.order.task, attempt.order.attempt, attempt.phase)
            for attempt in self.attempts.values()
        )

    def _valid_list_sequence(self, sent_ms: int) -> int:
        """Returns the announcement whose list is still valid, 0 for none."""
        age_ms = sent_ms - self._acknowledged_list.sent_ms
        if age_ms > FULL_ANNOUNCEMENT_PERIOD_MS:
            return 0
        if self._acknowledged_list.attempts != self._attempt_phases():
            return 0
        return self._acknowledged_list.sequence

    def _entry_address(self) -> str:
        return self.entries[self._entry % len(self.entries)]

    def _announcement(
        self, sequence: int, sent_ms: int
    ) -> messages.WorkerAnnouncement:
        as_of = self._valid_list_sequence(sent_ms)
        listed = () if as_of else tuple(self.attempts.values())
        return messages.WorkerAnnouncement(
            name=self.name,
            incarnation=self.incarnation,
            sequence=sequence,
            sent_at_ms=sent_ms,
            address=self.advertise,
            availability_zone=self.availability_zone,
            rack=self.rack,
            vm=self.vm.name,
            leaving=self.leaving,
            capacity=self.capacity,
            attempts=tuple(map(self._status, listed)),
            attempts_as_of=as_of,
        )

    def _status(self, attempt: Attempt) -> messages.AttemptStatus:
        usage = None
        if attempt.done_ms >= self.usage_lag_ms and attempt.phase != "ended":
            cores_milli = attempt.cores_milli * attempt.percent // 100
            usage = messages.Resources(cores_milli, attempt.memory_mb, 0)
        share = attempt.done_ms / attempt.run_ms if attempt.run_ms else 0
        return messages.AttemptStatus(
            task=attempt.order.task,
            attempt=attempt.order.attempt,
            phase=attempt.phase,
            usage=usage,
            sample_age_ms=self.usage_lag_ms if usage else 0,
            throttle_percent=attempt.percent,
            progress_percent=min(100, int(share * 100)),
        )

    async def _apply_reply(
        self, reply: messages.AnnouncementReply, sent_ms: int
    ) -> None:
        if self._clock.monotonic_ms() >= self.lease_until_ms:
            await self._expire_attempts()
        if reply.lease_ms > 0:
            end_ms = sent_ms + reply.lease_ms
            self.lease_until_ms = max(self.lease_until_ms, end_ms)
        for ref in reply.stop:
            await self._stop(ref.task, ref.attempt, "listed in a reply")

    async def _watch_lease(self) -> None:
        while True:
            now_ms = self._clock.monotonic_ms()
            if now_ms >= self.lease_until_ms:
                await self._expire_attempts()
            left_ms = max(STEP_MS, self.lease_until_ms - now_ms)
            await curio.sleep(clock_lib.seconds(min(left_ms, STEP_MS)))

    async def _expire_attempts(self) -> None:
        for attempt in list(self.attempts.values()):
            await self._end_attempt(attempt, "expire", "lease expired")

    # --- Orders ---

    async def _handle(self, request: web.Request) -> web.Response:
        if self._is_shut_down:
            raise OSError("the worker was stopped")
        while self.unresponsive:
            await curio.sleep(clock_lib.seconds(STEP_MS))
        try:
            return await self._route(request)
        except errors.InvalidInputError as error:
            return web.refusal(400, str(error))

    async def _route(self, request: web.Request) -> web.Response:
        body = request.body
        match request.method, request.target:
            case "POST", "/v1/start":
                order = messages.decode(body, messages.StartOrder)
                return web.json_response(await self._handle_start(order))
            case "POST", "/v1/stop":
                stop = messages.decode(body, messages.StopOrder)
                await self._stop(stop.task, stop.attempt, "stop order")
                return web.json_response(messages.StopReply(stopped=True))
            case "POST", "/v1/checkpoint":
                checkpoint = messages.decode(body, messages.CheckpointOrder)
                return web.json_response(await self._checkpoint(checkpoint))
            case "POST", "/v1/throttle":
                throttle = messages.decode(body, messages.ThrottleOrder)
                return web.json_response(self._throttle(throttle))
            case _:
                return web.refusal(404, "unknown route")

    async def _handle_start(
        self, order: messages.StartOrder
    ) -> messages.StartReply:
        key = (order.task, order.attempt)
        if key in self._stopped_attempts:
            return messages.StartReply(accepted=False, reason="stopped")
        if key in self._start_replies:
            return self._start_replies[key]
        reason = self._refusal_reason(order)
        reply = messages.StartReply(accepted=not reason, reason=reason)
        if reason:
            self.events.add(
                "refuse",
                self.name,
                task=order.task,
                attempt=order.attempt,
                detail=reason,
            )
            return reply
        self._start_replies[key] = reply
        self._highest[order.task] = order.attempt
        await self._start_attempt(order)
        return reply

    def _refusal_reason(self, order: messages.StartOrder) -> str:
        now_ms = self._clock.monotonic_ms()
        sent_ms = self._sent.get(order.basis_sequence)
        if order.incarnation != self.incarnation:
            return "another incarnation"
        if sent_ms is None or now_ms >= sent_ms + order.ttl_ms:
            return "time to live has expired"
        if order.attempt <= self._highest.get(order.task, 0):
            return "not above the highest attempt"
        if now_ms >= self.lease_until_ms:
            return "no lease"
        if order.task in self.attempts:
            return "another attempt is running"
        return ""

    async def _start_attempt(self, order: messages.StartOrder) -> None:
        attempt = self._make_attempt(order)
        self.attempts[order.task] = attempt
        if order.task.startswith("job/"):
            self.vm.running[order.task] = vm_lib.RunningTask(attempt.work_class)
        self._record("start", attempt, order.checkpoint)
        assert self._group is not None
        attempt.handle = await curio.spawn(
            self._run_attempt, attempt, daemon=True
        )
        await self._changed.set()

    def _make_attempt(self, order: messages.StartOrder) -> Attempt:
        words = parse_command(order.command)
        is_job = order.task.startswith("job/")
        default_ms = DEFAULT_JOB_RUN_MS if is_job else 0
        return Attempt(
            order=order,
            run_ms=int(words.get("run_ms", default_ms)),
            fails=self.fails_all or words.get("fail", "0") != "0",
            work_class=words.get("class", ""),
            cores_milli=int(words.get("cores", order.resources.cores_milli)),
            memory_mb=int(words.get("memory", order.resources.memory_mb)),
            done_ms=progress_of_reference(order.checkpoint),
        )

    async def _run_attempt(self, attempt: Attempt) -> None:
        last_ms = self._clock.monotonic_ms()
        attempt.ran_until_ms = last_ms
        while not attempt.run_ms or attempt.done_ms < attempt.run_ms:
            await curio.sleep(clock_lib.seconds(STEP_MS))
            now_ms = self._clock.monotonic_ms()
            if now_ms >= self.lease_until_ms:
                await curio.sleep(clock_lib.seconds(STEP_MS))
                continue
            attempt.done_ms += (now_ms - last_ms) * attempt.percent / 100
            last_ms = now_ms
            attempt.ran_until_ms = now_ms
            if attempt.fails:
                break
        await self._complete_attempt(attempt)

    async def _complete_attempt(self, attempt: Attempt) -> None:
        run_ms = int(attempt.done_ms)
        attempt.phase = "ended"
        del self.attempts[attempt.order.task]
        self.ended.append(attempt)
        self.vm.running.pop(attempt.order.task, None)
        outcome: messages.Outcome
        if attempt.fails:
            self._record("fail", attempt)
            outcome = messages.Failed(run_ms=run_ms, reason="exit status 1")
        else:
            self._record("complete", attempt)
            outcome = messages.Completed(run_ms=run_ms)
        await self._changed.set()
        await self._report(attempt, outcome)

    async def _report(
        self, attempt: Attempt, outcome: messages.Outcome
    ) -> None:
        report = messages.AttemptReport(
            worker=self.name,
            incarnation=self.incarnation,
            task=attempt.order.task,
            attempt=attempt.order.attempt,
            outcome=outcome,
        )
        for index in itertools.count(self._entry):
            while self.unresponsive:
                await curio.sleep(clock_lib.seconds(STEP_MS))
            reply = await self._post_report(report, index)
            if reply is not None and reply.acknowledged:
                break
            await curio.sleep(clock_lib.seconds(REPORT_RETRY_MS))
        detail = "current" if reply and reply.current else "out of date"
        self._record("acknowledge", attempt, detail)
        if attempt in self.ended:
            self.ended.remove(attempt)
        await self._changed.set()

    async def _post_report(
        self, report: messages.AttemptReport, index: int
    ) -> messages.ReportReply | None:
        address = self.entries[index % len(self.entries)]
        try:
            response = await self._client.post(
                address, "/v1/report", report, 2 * ANNOUNCE_TIMEOUT_MS
            )
            if response.status != 200:
                return None
            return messages.decode(response.body, messages.ReportReply)
        except (errors.ExchangeError, errors.InvalidInputError):
            return None

    async def _stop(self, task: str, number: int, reason: str) -> None:
        self._stopped_attempts.add((task, number))
        self._highest[task] = max(number, self._highest.get(task, 0))
        attempt = self.attempts.get(task)
        if attempt is None or attempt.order.attempt != number:
            return
        if self.stop_ms:
            await curio.sleep(clock_lib.seconds(self.stop_ms))
        await self._end_attempt(attempt, "stop", reason)

    async def _end_attempt(
        self, attempt: Attempt, kind: str, reason: str
    ) -> None:
        if self.attempts.get(attempt.order.task) is not attempt:
            return
        del self.attempts[attempt.order.task]
        self.vm.running.pop(attempt.order.task, None)
        await attempt.handle.cancel(blocking=False)
        self._record(kind, attempt, reason)
        await self._changed.set()

    async def _checkpoint(
        self, order: messages.CheckpointOrder
    ) -> messages.CheckpointReply:
        attempt = self.attempts.get(order.task)
        if attempt is None or attempt.order.attempt != order.attempt:
            return messages.CheckpointReply()
        done_ms = attempt.done_ms
        await curio.sleep(clock_lib.seconds(self.checkpoint_ms))
        attempt.checkpoints += 1
        reference = (
            f"{order.task}#{order.attempt}.{attempt.checkpoints}@{done_ms:.0f}"
        )
        self._record("checkpoint", attempt, reference)
        return messages.CheckpointReply(reference=reference)

    def _throttle(
        self, order: messages.ThrottleOrder
    ) -> messages.ThrottleReply:
        attempt = self.attempts.get(order.task)
        if attempt is None or attempt.order.attempt != order.attempt:
            return messages.ThrottleReply(applied=False)
        attempt.percent = order.percent
        running = self.vm.running.get(order.task)
        if running is not None:
            running.percent = order.percent
        self._record("throttle", attempt, str(order.percent))
        return messages.ThrottleReply(applied=True)

    def _record(self, kind: str, attempt: Attempt, detail: str = "") -> None:
        self.events.add(
            kind,
            self.name,
            incarnation=self.incarnation,
            vm=self.vm.name,
            availability_zone=self.availability_zone,
            task=attempt.order.task,
            attempt=attempt.order.attempt,
            cores_milli=attempt.order.resources.cores_milli,
            memory_mb=attempt.order.resources.memory_mb,
            ran_until_ms=attempt.ran_until_ms,
            detail=detail,
        )


async def _run_many(arguments: argparse.Namespace) -> None:
    log = events_lib.EventLog(arguments.events)
    async with curio.TaskGroup() as group:
        for index in range(arguments.count):
            zone = arguments.zones.split(",")[
                index % len(arguments.zones.split(","))
            ]
            worker = FakeWorker(
                f"{arguments.name}-{index}",
                arguments.entries.split(","),
                capacity=messages.Resources(arguments.cores, arguments.memory),
                availability_zone=zone,
                rack=f"{zone}-{index // arguments.rack_size}",
                events=log,
                listen=arguments.listen,
                advertise=arguments.advertise,
            )
            worker.fails_all = arguments.fails_all
            await group.spawn(worker.run)


def main() -> None:
    """Runs workers in this process until it is killed."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--entries", required=True, help="host:port,...")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--zones", default="a")
    parser.add_argument("--rack-size", type=int, default=6)
    parser.add_argument("--cores", type=int, default=64_000)
    parser.add_argument("--memory", type=int, default=250_000)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--advertise", default="")
    parser.add_argument("--events", default="")
    parser.add_argument("--fails-all", action="store_true")
    curio.run(_run_many, parser.parse_args())


if __name__ == "__main__":
    main()
