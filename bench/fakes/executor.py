"""A fake executor: serves the requests of one service and counts them.

Each response names its request, so that callers detect a wrong response.
"""

import argparse
import collections
import dataclasses
import itertools
import random
import secrets
import socket as std_socket
from typing import Any

import curio
import curio.io
import h11
import msgspec

from fakes import events as events_lib
from fakes import vm as vm_lib
from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import messages
from galenahook import web

ANNOUNCE_PERIOD_MS = 500
ANNOUNCE_TIMEOUT_MS = 1_500
TAIL_LATENCY_WINDOW_MS = 1_000
MAX_IDLE_MS = 3_600_000
READ_BYTES = 64 * 1024


class ResponseBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an executor's response.

    Attributes:
      executor: Name of the executor.
      request: The caller's `x-request-id`.
      target: Path and query as received.
      body: Body as received.
      padding: Padding, to make a response long.
    """

    executor: str
    request: str
    target: str
    body: str = ""
    padding: str = ""


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Unusual and faulty behaviour of an executor, off by default.

    Attributes:
      truncate_body_after: Close after this many bytes of the body; -1 for
        never.
      unresponsive: Read and run requests, but never respond.
      refuse: Close connections as soon as they are accepted.
      status: Status of responses.
      chunked: Send bodies in chunks instead of with a length.
      close_each: Respond with `connection: close` and close.
      close_idle_ms: Close connections idle for this long; 0 for never.
      extra_ms: Time added to each service time.
      padding_bytes: Length of the padding of each response.
    """

    truncate_body_after: int = -1
    unresponsive: bool = False
    refuse: bool = False
    status: int = 200
    chunked: bool = False
    close_each: bool = False
    close_idle_ms: int = 0
    extra_ms: int = 0
    padding_bytes: int = 0


class FakeExecutor:
    """A fake executor that follows INTERFACES.md.

    Attributes:
      name: Name announced.
      service_ms: Mean service time without interference.
      spread: Standard deviation of the service time as a share of the mean.
      busy: Number of running requests.
      open_connections: Number of open connections.
      max_busy: Largest number of requests that ran at once.
      max_connections: Largest number of connections open at once.
      served: Number of requests served.
      behaviour: Unusual and faulty behaviour.
      leaving: Whether it announces that it is leaving.
    """

    def __init__(
        self,
        name: str,
        service: str,
        entries: list[str],
        *,
        slots: int = 8,
        connections: int = 64,
        service_ms: float = 5.0,
        spread: float = 0.0,
        availability_zone: str = "a",
        rack: str = "",
        vm: vm_lib.Vm | None = None,
        listen: str = "127.0.0.1:0",
        advertise: str = "",
        events: events_lib.EventLog | None = None,
        period_ms: int = ANNOUNCE_PERIOD_MS,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.entries = entries
        self.slots = slots
        self.connections = connections
        self.service_ms = service_ms
        self.spread = spread
        self.availability_zone = availability_zone
        self.rack = rack
        self.vm = vm or vm_lib.Vm(name)
        self.events = events or events_lib.EventLog()
        self.period_ms = period_ms
        self.behaviour = Behaviour()
        self.leaving = False
        self.muted = False
        self.busy = 0
        self.open_connections = 0
        self.max_busy = 0
        self.max_connections = 0
        self.served = 0
        self.incarnation = secrets.token_hex(8)
        self.address = ""
        self.advertise = advertise
        self._listen = listen
        self._clock = clock_lib.Clock()
        self._client = web.ControlClient(self._clock, [])
        self._sequence = itertools.count(1)
        self._acknowledged = 0
        self._entry = seed
        self._random = random.Random(f"{name}/{seed}")
        self._latencies: collections.deque[tuple[int, float]] = (
            collections.deque()
        )
        self._tasks: set[Any] = set()

    def restart(self) -> None:
        """Becomes a new incarnation; `run` must be called again."""
        self.incarnation = secrets.token_hex(8)
        self.busy = 0
        self.open_connections = 0
        self._sequence = itertools.count(1)
        self._client = web.ControlClient(self._clock, [])

    async def run(self) -> None:
        """Announces and serves until cancelled, then closes all connections."""
        sock = web.listen(self._listen)
        self.address = web.bound_address(sock)
        self._listen = self.address
        self.advertise = self.advertise or self.address
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(
                    self._accept_connections, curio.io.Socket(sock)
                )
                await group.spawn(self._announce_periodically)
        finally:
            sock.close()
            for task in list(self._tasks):
                await task.cancel(blocking=False)

    def violations(self) -> list[events_lib.Event]:
        """Returns the events that exceeded its slots or connections."""
        return [
            event
            for event in self.events.of_kind("violation")
            if event.upstream == self.name
        ]

    # --- Announcements ---

    async def _announce_periodically(self) -> None:
        while True:
            if not self.muted:
                await self._announce()
            await curio.sleep(clock_lib.seconds(self.period_ms))

    async def _announce(self) -> None:
        address = self.entries[self._entry % len(self.entries)]
        message = messages.ExecutorAnnouncement(
            name=self.name,
            incarnation=self.incarnation,
            sequence=next(self._sequence),
            sent_at_ms=self._clock.monotonic_ms(),
            address=self.advertise,
            availability_zone=self.availability_zone,
            rack=self.rack,
            vm=self.vm.name,
            leaving=self.leaving,
            answered=self._acknowledged,
            service=self.service,
            slots=self.slots,
            connections=self.connections,
            busy_slots=self.busy,
            tail=self._tail_sample(),
        )
        try:
            response = await self._client.post(
                address, "/v1/announce", message, ANNOUNCE_TIMEOUT_MS
            )
        except errors.ExchangeError:
            self._entry += 1
            return
        if response.status != 200:
            self._entry += 1
            return
        self._acknowledged = max(self._acknowledged, message.sequence)

    def _tail_sample(self) -> messages.TailSample | None:
        oldest_ms = self._clock.monotonic_ms() - TAIL_LATENCY_WINDOW_MS
        while self._latencies and self._latencies[0][0] < oldest_ms:
            self._latencies.popleft()
        latencies = sorted(latency for _, latency in self._latencies)
        if not latencies:
            return None
        return messages.TailSample(
            count=len(latencies),
            p50_ms=latencies[len(latencies) // 2],
            p99_ms=latencies[
                min(len(latencies) - 1, len(latencies) * 99 // 100)
            ],
            sample_age_ms=TAIL_LATENCY_WINDOW_MS // 2,
        )

    # --- Requests ---

    async def _accept_connections(self, sock: Any) -> None:
        while True:
            client, _ = await sock.accept()
            if self.behaviour.refuse:
                await client.close()
                continue
            client.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
            task = await curio.spawn(self._serve, client, daemon=True)
            self._tasks.add(task)

    async def _serve(self, client: Any) -> None:
        self.open_connections += 1
        self.max_connections = max(self.max_connections, self.open_connections)
        if self.open_connections > self.connections:
            self._record_violation(f"{self.open_connections} connections")
        try:
            await self._serve_requests(client)
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            pass
        finally:
            self.open_connections -= 1
            self._tasks.discard(await curio.current_task())
            await client.close()

    async def _serve_requests(self, client: Any) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            request = await self._read_request(client, connection)
            if request is None:
                return
            await self._run_request(client, connection, request)
            if self.behaviour.close_each:
                return
            connection.start_next_cycle()

    async def _read_request(
        self, client: Any, connection: h11.Connection
    ) -> web.Request | None:
        head: h11.Request | None = None
        parts: list[bytes] = []
        idle_ms = self.behaviour.close_idle_ms or MAX_IDLE_MS
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                async with curio.timeout_after(clock_lib.seconds(idle_ms)):
                    connection.receive_data(await client.recv(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return web.Request(
                    head.method.decode("ascii"),
                    head.target.decode("latin-1"),
                    list(head.headers),
                    b"".join(parts),
                )
            else:
                return None

    async def _run_request(
        self, client: Any, connection: h11.Connection, request: web.Request
    ) -> None:
        identifier = request.header(b"x-request-id").decode("latin-1")
        start_ms = self._clock.monotonic_ms()
        self.busy += 1
        self.max_busy = max(self.max_busy, self.busy)
        self.events.add(
            "serve",
            self.name,
            incarnation=self.incarnation,
            vm=self.vm.name,
            availability_zone=self.availability_zone,
            request=identifier,
            detail=request.header(b"idempotency-key").decode("latin-1"),
        )
        if self.busy > self.slots:
            self._record_violation(f"{self.busy} requests at once")
        try:
            await curio.sleep(clock_lib.seconds(self._service_time_ms()))
        finally:
            self.busy -= 1
        self.served += 1
        now_ms = self._clock.monotonic_ms()
        self._latencies.append((now_ms, float(now_ms - start_ms)))
        while self.behaviour.unresponsive:
            await curio.sleep(0.02)
        await self._respond(client, connection, request, identifier)

    def _service_time_ms(self) -> float:
        deviation = self.spread * self.service_ms
        drawn_ms = self._random.gauss(self.service_ms, deviation)
        undisturbed_ms = max(self.service_ms / 4, drawn_ms)
        slowdown = self.vm.slowdown(self.service)
        return undisturbed_ms * slowdown + self.behaviour.extra_ms

    async def _respond(
        self,
        client: Any,
        connection: h11.Connection,
        request: web.Request,
        identifier: str,
    ) -> None:
        response_body = ResponseBody(
            executor=self.name,
            request=identifier,
            target=request.target,
            body=request.body.decode("latin-1"),
            padding="x" * self.behaviour.padding_bytes,
        )
        body = msgspec.json.encode(response_body)
        data = connection.send(self._response_head(len(body)))
        if request.method != "HEAD":
            limit = self.behaviour.truncate_body_after
            if 0 <= limit < len(body):
                part = connection.send(h11.Data(data=body[:limit])) or b""
                await client.sendall(data + part)
                raise OSError("body truncated as configured")
            data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        await client.sendall(data)

    def _response_head(self, length: int) -> h11.Response:
        headers = [(b"content-type", b"application/json")]
        if self.behaviour.chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            headers.append((b"content-length", str(length).encode("ascii")))
        if self.behaviour.close_each:
            headers.append((b"connection", b"close"))
        return h11.Response(status_code=self.behaviour.status, headers=headers)

    def _record_violation(self, detail: str) -> None:
        self.events.add("violation", self.name, detail=detail)


async def _run_many(arguments: argparse.Namespace) -> None:
    log = events_lib.EventLog(arguments.events)
    zones = arguments.zones.split(",")
    async with curio.TaskGroup() as group:
        for index in range(arguments.count):
            zone = zones[index % len(zones)]
            executor = FakeExecutor(
                f"{arguments.name}-{index}",
                arguments.service,
                arguments.entries.split(","),
                slots=arguments.slots,
                service_ms=arguments.service_ms,
                spread=arguments.spread,
                availability_zone=zone,
                listen=arguments.listen,
                advertise=arguments.advertise,
                events=log,
                seed=index,
            )
            await group.spawn(executor.run)


def main() -> None:
    """Runs executors in this process until it is killed."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--entries", required=True, help="host:port,...")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--zones", default="a")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--service-ms", type=float, default=5.0)
    parser.add_argument("--spread", type=float, default=0.0)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--advertise", default="")
    parser.add_argument("--events", default="")
    curio.run(_run_many, parser.parse_args())


if __name__ == "__main__":
    main()
