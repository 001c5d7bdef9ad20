"""A group of real replicas in one process, on loopback ports."""

import dataclasses
import pathlib
import secrets
import shutil
import time
from typing import Any

import curio
import msgspec

from fakes import loopback
from fakes import relay as relay_lib
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.replicas import node as node_lib
from galenahook.replicas import storage

HOST = loopback.HOST
POLL_PERIOD_MS = 5
WATCH_PERIOD_MS = 1
CONCURRENT_SUBMITTERS = 200
TOKEN_BYTES = 8
SEEDS = 3
KEY = (b"x-galenahook-key", b"key of the site")
FAST_TIMING = settings_lib.Timing(
    heartbeat_period_ms=40,
    election_timeout_min_ms=250,
    election_timeout_max_ms=500,
    leader_lease_ms=220,
)


class ReplicaGroupError(errors.GalenahookError):
    """The group did not reach a state before the timeout of a test."""


class FaultyDisk(storage.Disk):
    """A disk with injected faults.

    Attributes:
      fail_writes: Writes fail half-way, as on a full disk.
      fail_syncs: Syncs fail with an input/output error.
      sync_ms: Delay of each sync.
      simulates_syncs: A sync only waits for its delay. A killed replica still
        finds what it wrote, as its process continues.
    """

    __slots__ = ("fail_syncs", "fail_writes", "simulates_syncs", "sync_ms")

    def __init__(self) -> None:
        self.fail_writes = False
        self.fail_syncs = False
        self.sync_ms = 0
        self.simulates_syncs = False

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        """Writes, or writes half of the data and fails."""
        if self.fail_writes:
            super().write(descriptor, data[: len(data) // 2], offset)
            raise OSError(28, "No space left on device")
        super().write(descriptor, data, offset)

    def sync(self, descriptor: int) -> None:
        """Syncs after a delay, or fails."""
        time.sleep(clock_lib.seconds(self.sync_ms))
        if self.fail_syncs:
            raise OSError(5, "Input/output error")
        if not self.simulates_syncs:
            super().sync(descriptor)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Syncs a folder's entries, unless syncs are simulated."""
        if not self.simulates_syncs:
            super().sync_folder(folder)


@dataclasses.dataclass(slots=True)
class Replica:
    """One replica of the group.

    Attributes:
      name: Its name.
      address: Address at which it listens, the same after each start.
      folder: Its data folder.
      disk: Its disk.
      may_found: Whether its settings permit it to bootstrap a cluster.
      node: The running node, or None.
      server: Its listener while it runs, or None.
      tasks: Its tasks while it runs.
    """

    name: str
    address: str
    folder: pathlib.Path
    disk: FaultyDisk = dataclasses.field(default_factory=FaultyDisk)
    may_found: bool = True
    node: node_lib.Node | None = None
    server: web.Server | None = None
    tasks: list[Any] = dataclasses.field(default_factory=list)


class ReplicaGroup:
    """Starts, kills and wipes replicas, and submits commands to their leader.

    Attributes:
      replicas: Replicas by name.
      routes: Address of the relay of a link, by `(from, to)`.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        names: str = "abc",
        timing: settings_lib.Timing = FAST_TIMING,
    ) -> None:
        self.timing = timing
        self.clock = clock_lib.Clock()
        self.replicas: dict[str, Replica] = {}
        self.routes: dict[tuple[str, str], str] = {}
        for name in names:
            self.add(name, folder / name)

    def add(self, name: str, folder: pathlib.Path) -> Replica:
        """Adds a replica without starting it."""
        (address,) = loopback.free_addresses(1)
        replica = Replica(name, address, folder)
        self.replicas[name] = replica
        return replica

    def replica_settings(self, name: str) -> settings_lib.ReplicaSettings:
        """Returns the settings of a replica."""
        replica = self.replicas[name]
        return settings_lib.ReplicaSettings(
            name=name,
            site="test",
            availability_zone="one",
            peers=settings_lib.Listener(listen=replica.address),
            platform=settings_lib.Listener(listen=f"{HOST}:0"),
            replicas={
                other.name: self.routes.get((name, other.name), other.address)
                for other in self.replicas.values()
            },
            data_folder=str(replica.folder),
            site_key_file="",
            may_found=replica.may_found,
            timing=self.timing,
        )

    async def start(self, *names: str) -> None:
        """Starts the named replicas, or all of them."""
        for name in names or self.replicas:
            await self._start(self.replicas[name])

    async def _start(self, replica: Replica) -> None:
        client = web.ControlClient(self.clock, [KEY])
        node = node_lib.Node(
            self.replica_settings(replica.name),
            client,
            self.clock,
            replica.disk,
        )
        await node.start()
        replica.node = node

        async def handle(request: web.Request) -> web.Response:
            if replica.node is not node:
                raise ConnectionResetError("killed")
            return await node.handle(request)

        server = web.Server(
            web.listen(replica.address), handle, web.CONTROL_LIMITS
        )
        replica.tasks = [
            await curio.spawn(server.run, daemon=True),
            await curio.spawn(node.run, daemon=True),
        ]
        replica.server = server

    async def kill(self, *names: str) -> None:
        """Kills replicas without a graceful stop, like a VM failure.

        Commands that wait for a result there fail, as if the connections of
        their submitters were lost.
        """
        for name in names:
            replica = self.replicas[name]
            node, replica.node = replica.node, None
            for task in replica.tasks:
                await task.cancel()
            if node is not None:
                await node.core.step_down("")
            if replica.server is not None:
                await replica.server.close_listener()
            replica.server = None
            replica.tasks = []

    async def stop(self, name: str) -> None:
        """Stops a replica gracefully."""
        node = self.node(name)
        await node.stop()
        await self.kill(name)

    def delete_data_folder(self, name: str) -> None:
        """Deletes the data folder of a replica that is not running."""
        shutil.rmtree(self.replicas[name].folder)

    def node(self, name: str) -> node_lib.Node:
        """Returns a running node."""
        node = self.replicas[name].node
        assert node is not None
        return node

    def nodes(self) -> list[node_lib.Node]:
        """Returns the running nodes."""
        nodes = [replica.node for replica in self.replicas.values()]
        return [node for node in nodes if node is not None]

    def leader(self) -> node_lib.Node | None:
        """Returns the leader with a valid lease, if there is one."""
        return next(
            (node for node in self.nodes() if node.has_valid_lease()), None
        )

    async def wait_for_leader(self, timeout_ms: int = 5_000) -> node_lib.Node:
        """Waits for a leader and returns it."""
        await self.wait_until(lambda: self.leader() is not None, timeout_ms)
        leader = self.leader()
        assert leader is not None
        return leader

    async def wait_until(self, condition: Any, timeout_ms: int = 5_000) -> None:
        """Waits until a condition holds."""
        deadline_ms = self.clock.monotonic_ms() + timeout_ms
        while not condition():
            if self.clock.monotonic_ms() > deadline_ms:
                states = "\n".join(str(node.status()) for node in self.nodes())
                raise ReplicaGroupError(f"timed out; replicas:\n{states}")
            await curio.sleep(POLL_PERIOD_MS / 1000)

    async def claim(self, key: str, timeout_ms: int = 5_000) -> bool:
        """Claims a key at the current leader, retrying until it commits."""
        deadline_ms = self.clock.monotonic_ms() + timeout_ms
        while True:
            leader = await self.wait_for_leader(timeout_ms)
            try:
                result = await leader.submit(new_claim(key))
            except (
                errors.NotLeaderError,
                errors.NoQuorumError,
                errors.StorageError,
            ):
                if self.clock.monotonic_ms() > deadline_ms:
                    raise
                continue
            assert isinstance(result, commands.KeysClaimed)
            return result.granted[0]

    async def claim_many(self, first: int, count: int) -> None:
        """Claims numbered keys, many concurrently."""
        leader = await self.wait_for_leader()
        numbers = iter(range(first, first + count))

        async def submit_next() -> None:
            for number in numbers:
                await leader.submit(new_claim(f"key-{number}"))

        async with curio.TaskGroup() as group:
            for _ in range(CONCURRENT_SUBMITTERS):
                await group.spawn(submit_next)
        assert len(group.results) == CONCURRENT_SUBMITTERS

    async def close(self) -> None:
        """Kills every replica."""
        await self.kill(*self.replicas)


class SelfJoiningGroup(ReplicaGroup):
    """A group that replicas join without an operator.

    Attributes:
      seeds: Names of the replicas whose addresses a replica is given when it
        starts: at first those that bootstrap the group, later some that run.
      may_found: Whether a replica with an empty folder may bootstrap it.
    """

    def __init__(self, folder: pathlib.Path, founders: str = "abc") -> None:
        super().__init__(folder, founders)
        self.folder = folder
        self.seeds = list(founders)
        self.may_found = True

    def replica_settings(self, name: str) -> settings_lib.ReplicaSettings:
        """Returns the settings of a replica."""
        settings = super().replica_settings(name)
        addresses = {
            other: address
            for other, address in settings.replicas.items()
            if other in self.seeds
        }
        return msgspec.structs.replace(
            settings,
            replicas=addresses,
            joins_by_itself=True,
            may_found=self.may_found,
        )

    async def start_and_join(self, *names: str) -> None:
        """Starts replicas, new or known, and waits until all are voters."""
        running = [node.name for node in self.nodes()]
        self.seeds = running[:SEEDS] or self.seeds
        for name in names:
            if name not in self.replicas:
                self.add(name, self.folder / name)
        await self.start(*names)
        await self.wait_until(
            lambda: all(self.leader_counts(name) for name in names)
        )

    def leader_counts(self, name: str) -> bool:
        """Returns whether the leader counts the running folder as a voter."""
        leader = self.leader()
        node = self.replicas[name].node
        return (
            leader is not None
            and node is not None
            and leader.core.members.is_voter(name, node.core.folder_id)
        )

    def voters(self) -> set[str]:
        """Returns the names of the leader's voters; empty without a leader."""
        leader = self.leader()
        if leader is None:
            return set()
        return {member.name for member in leader.core.members.voters}


class RelayedGroup(ReplicaGroup):
    """A group with a relay on each link, in each direction.

    Attributes:
      relays: Relays by `(from, to)`.
    """

    def __init__(self, folder: pathlib.Path, names: str = "abc") -> None:
        super().__init__(folder, names)
        self.relays: dict[tuple[str, str], relay_lib.TcpRelay] = {}
        for source in self.replicas:
            for target, replica in self.replicas.items():
                if source != target:
                    relay = relay_lib.TcpRelay(replica.address)
                    self.relays[source, target] = relay
                    self.routes[source, target] = relay.address

    async def start_relays(self) -> None:
        """Starts every relay."""
        for relay in self.relays.values():
            await curio.spawn(relay.run, daemon=True)

    def hold_links(self, name: str, directions: tuple[str, ...]) -> None:
        """Holds the traffic `in` to a replica, `out` of it, or both."""
        forward = relay_lib.Direction.FORWARD
        backward = relay_lib.Direction.BACKWARD
        for (source, target), relay in self.relays.items():
            if source == name and "out" in directions:
                relay.hold(relay.held | forward)
            if source == name and "in" in directions:
                relay.hold(relay.held | backward)
            if target == name and "in" in directions:
                relay.hold(relay.held | forward)
            if target == name and "out" in directions:
                relay.hold(relay.held | backward)

    def blackhole_connections(self) -> None:
        """Drops all further data of open connections; new ones work."""
        for relay in self.relays.values():
            relay.blackhole_connections()

    def release_links(self) -> None:
        """Releases every held link."""
        for relay in self.relays.values():
            relay.release()


async def watch_leaders(
    group: ReplicaGroup, stop: curio.Event, faults: list[list[str]]
) -> None:
    """Records the leaders when more than one has a valid lease."""
    while not stop.is_set():
        leaders = [
            node.name for node in group.nodes() if node.has_valid_lease()
        ]
        if len(leaders) > 1:
            faults.append(leaders)
        await curio.sleep(WATCH_PERIOD_MS / 1000)


def run(main: Any, timeout_ms: int = 30_000) -> None:
    """Runs a test with a timeout."""

    async def bounded() -> None:
        async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
            await main()

    curio.run(bounded)


def new_claim(key: str) -> commands.ClaimKeys:
    """Returns a claim of a key with a new request token."""
    claim = messages.KeyClaim(key=key, token=secrets.token_hex(TOKEN_BYTES))
    return commands.ClaimKeys(entry="entry-1", claims=(claim,), at_ms=0)
