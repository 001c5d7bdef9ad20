"""Random faults, checked by an oracle that sees only the results of claims.

A key is granted at most once, and never after a claim of it returned a result.
Two replicas never act at the same time. In the end all replicas have the same
keys, among them each key whose claim returned a result. A seed determines the
faults; the results of claims also depend on when the replicas elect a leader.
"""

import pathlib
import random
import tempfile
import time

import curio
import pytest

from fakes import process_clock
from fakes import replica_group
from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import errors
from galenahook.replicas import snapshot
from galenahook.replicas import snapshot_transfer

MEMORY_FOLDER = pathlib.Path("/dev/shm")
FAULTS = 33
FAULT_PERIOD_MS = 150
SYNC_MS = 2
SLOW_SYNC_MS = 120
CLAIMERS = 4
KEYS = 400
LOOP_TURNS = 10
# A new leader accepts commands within this time.
RECOVERY_MS = 3_000


@pytest.fixture
def memory_path(tmp_path):
    """Returns a folder in memory, or one on disk where there is none.

    The test simulates slow disks, and the machine's own would add to them.
    """
    if not MEMORY_FOLDER.is_dir():
        yield tmp_path
        return
    with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER) as folder:
        yield pathlib.Path(folder)


class Oracle:
    def __init__(self):
        self.granted = set()
        self.resolved = set()
        self.granted_twice = []
        self.longest_wait_ms = 0

    def record(self, key, granted):
        if granted and key in self.resolved:
            self.granted_twice.append(key)
        self.resolved.add(key)
        if granted:
            self.granted.add(key)


async def claim_at_random(group, oracle, rng, stop):
    while not stop.is_set():
        key = f"key-{rng.randrange(KEYS)}"
        nodes = [node for node in group.nodes() if node.is_leader()]
        if not nodes:
            await curio.sleep(replica_group.POLL_PERIOD_MS / 1000)
            continue
        node = rng.choice(nodes)
        started_ms = group.clock.monotonic_ms()
        try:
            result = await node.submit(replica_group.new_claim(key))
        except errors.GalenahookError:
            continue
        finally:
            wait_ms = group.clock.monotonic_ms() - started_ms
            oracle.longest_wait_ms = max(oracle.longest_wait_ms, wait_ms)
        oracle.record(key, result.granted[0])


def is_quorum_safe(group):
    """Returns whether a majority still runs after one more is stopped."""
    return 2 * (len(group.nodes()) - 1) > len(group.replicas)


async def inject_fault(group, rng):
    """Injects one fault, or ends all faults."""
    name = rng.choice(sorted(group.replicas))
    replica = group.replicas[name]
    running = replica.node is not None
    match rng.randrange(7):
        case 0 if running and is_quorum_safe(group):
            await group.kill(name)
        case 1:
            group.hold_links(
                name, rng.choice([("in",), ("out",), ("in", "out")])
            )
        case 2:
            group.blackhole_connections()
        case 3 if running:
            replica.disk.fail_writes = True
        case 4 if running:
            replica.disk.sync_ms = SLOW_SYNC_MS
        case 5 if running and is_quorum_safe(group):
            await group.stop(name)
        case _:
            await end_faults(group)


async def end_faults(group):
    group.release_links()
    for name, replica in group.replicas.items():
        replica.disk.fail_writes = False
        replica.disk.sync_ms = SYNC_MS
        if replica.node is None:
            await group.start(name)


def keys_of(node):
    return set(node.state.claims.records)


def test_killed_replica_ends_the_claims_that_wait_for_its_result(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        leader = await group.wait_for_leader()
        await group.kill(*(name for name in "abc" if name != leader.name))
        claim = await curio.spawn(leader.submit, replica_group.new_claim("key"))
        await curio.sleep(0)
        await group.kill(leader.name)
        for _ in range(LOOP_TURNS):
            await curio.sleep(0)
        assert claim.terminated
        with pytest.raises(curio.TaskError) as raised:
            await claim.join()
        assert isinstance(raised.value.__cause__, errors.NoQuorumError)

    replica_group.run(main)


@pytest.mark.parametrize(
    ("seed", "names"), [(1, "abc"), (2, "abcde"), (3, "abc"), (4, "abcde")]
)
def test_random_faults_lose_no_claim_and_grant_no_key_twice(
    memory_path, monkeypatch, seed, names
):
    monkeypatch.setattr(snapshot, "MIN_ENTRIES", 100)
    monkeypatch.setattr(snapshot, "RETAINED_ENTRIES", 20)
    monkeypatch.setattr(snapshot, "CHECK_PERIOD_MS", 50)
    monkeypatch.setattr(snapshot_transfer, "CHUNK_BYTES", 2_000)
    fault_rng = random.Random(seed)
    group = replica_group.RelayedGroup(memory_path, names)
    group.clock = process_clock.ProcessClock()
    monkeypatch.setattr(time, "monotonic", group.clock.monotonic)
    for replica in group.replicas.values():
        replica.disk.simulates_syncs = True
        replica.disk.sync_ms = SYNC_MS
    stop, two_leaders, oracle = curio.Event(), [], Oracle()
    granted_during_faults = 0

    async def main():
        nonlocal granted_during_faults
        await group.start_relays()
        await group.start()
        tasks = [
            await curio.spawn(
                replica_group.watch_leaders, group, stop, two_leaders
            )
        ]
        for number in range(CLAIMERS):
            rng = random.Random(f"{seed}-{number}")
            tasks.append(
                await curio.spawn(claim_at_random, group, oracle, rng, stop)
            )
        for _ in range(FAULTS):
            await inject_fault(group, fault_rng)
            await curio.sleep(FAULT_PERIOD_MS / 1000)
        granted_during_faults = len(oracle.granted)
        await end_faults(group)
        async with curio.timeout_after(clock_lib.seconds(RECOVERY_MS)):
            assert await group.claim("recovered")
        await stop.set()
        for task in tasks:
            await task.join()
        assert await group.claim("last")
        await group.wait_until(
            lambda: all("last" in keys_of(node) for node in group.nodes())
        )
        keys_by_node = [keys_of(node) for node in group.nodes()]
        assert all(keys == keys_by_node[0] for keys in keys_by_node)
        assert oracle.resolved <= keys_by_node[0]
        await group.close()

    replica_group.run(main)
    assert not two_leaders
    assert not oracle.granted_twice
    assert granted_during_faults > KEYS // 4
    # A leader without a quorum steps down long before a commit times out.
    assert oracle.longest_wait_ms < defaults.COMMIT_TIMEOUT_MS
