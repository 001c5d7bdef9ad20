"""Measures the replicas: commits, failover, restarts, snapshots, idle cost.

Run as `python bench/replicas.py [NAME ...]`. Figures that have a bound are
printed with it, and the exit status is 1 if a bound isn't met.
"""

import dataclasses
import functools
import multiprocessing
import pathlib
import resource
import statistics
import sys
import tempfile
import time
from typing import Any

import curio

from fakes import replica_group
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook.replicas import node as node_lib
from galenahook.replicas import snapshot
from galenahook.replicas import transport
from galenahook.replicas import wire
from galenahook.scheduling import tasks as tasks_lib

FAILOVER_BOUND_MS = 3_000
RESTART_BOUND_MS = 2_000
LOOP_BLOCK_BOUND_MS = 50
RESTART_CHANGES = 10_000
TASK_RECORDS = 200_000
FAILOVERS = 10
SEQUENTIAL_COMMITS = 1_000
CONCURRENT_COMMITS = 10_000
IDLE_SECONDS = 10
SETTLE_SECONDS = 2
TICK_SECONDS = 0.001
DEFAULT_TIMING = settings_lib.Timing()


@dataclasses.dataclass(slots=True, frozen=True)
class Figure:
    """A measured figure.

    Attributes:
      name: What was measured.
      value: The measured value.
      unit: Unit of the value.
      bound: Maximum accepted value, or None.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None

    @property
    def is_met(self) -> bool:
        """Whether the figure has no bound or meets it."""
        return self.bound is None or self.value <= self.bound

    def __str__(self) -> str:
        text = f"{self.name:<52}{self.value:>12.3f} {self.unit}"
        if self.bound is not None:
            verdict = "met" if self.is_met else "NOT MET"
            text += f"  (bound {self.bound:g}: {verdict})"
        return text


async def _commits(folder: pathlib.Path) -> list[Figure]:
    group = replica_group.ReplicaGroup(folder, timing=DEFAULT_TIMING)
    await group.start()
    leader = await group.wait_for_leader()
    latencies = []
    cpu_start_s = time.process_time()
    for number in range(SEQUENTIAL_COMMITS):
        started = time.perf_counter()
        await leader.submit(replica_group.new_claim(f"one-{number}"))
        latencies.append((time.perf_counter() - started) * 1000)
    sequential_cpu_ms = (
        (time.process_time() - cpu_start_s) / SEQUENTIAL_COMMITS * 1000
    )
    syncs_before = leader.status().syncs
    cpu_start_s = time.process_time()
    started = time.perf_counter()
    await group.claim_many(0, CONCURRENT_COMMITS)
    elapsed = time.perf_counter() - started
    concurrent_cpu_ms = (
        (time.process_time() - cpu_start_s) / CONCURRENT_COMMITS * 1000
    )
    syncs = leader.status().syncs - syncs_before
    await group.close()
    quantiles = statistics.quantiles(latencies, n=100)
    return [
        Figure("sequential commit, p50", quantiles[49], "ms"),
        Figure("sequential commit, p99", quantiles[98], "ms"),
        Figure("  processor time, all three replicas", sequential_cpu_ms, "ms"),
        Figure("concurrent commits", CONCURRENT_COMMITS / elapsed, "/s"),
        Figure("  commits per sync", CONCURRENT_COMMITS / syncs, ""),
        Figure("  processor time, all three replicas", concurrent_cpu_ms, "ms"),
    ]


async def _failover(folder: pathlib.Path) -> list[Figure]:
    group = replica_group.ReplicaGroup(folder, timing=DEFAULT_TIMING)
    await group.start()
    outages_ms = []
    for number in range(FAILOVERS):
        leader = await group.wait_for_leader()
        await group.claim(f"before-{number}")
        started_ms = group.clock.monotonic_ms()
        await group.kill(leader.name)
        await group.claim(f"after-{number}")
        outages_ms.append(group.clock.monotonic_ms() - started_ms)
        await group.start(leader.name)
    await group.close()
    return [
        Figure(
            "time from leader kill to next write, median",
            _median(outages_ms),
            "ms",
        ),
        Figure(
            f"time from leader kill to next write, maximum of {FAILOVERS}",
            max(outages_ms),
            "ms",
            FAILOVER_BOUND_MS,
        ),
    ]


async def _restart(folder: pathlib.Path) -> list[Figure]:
    group = replica_group.ReplicaGroup(folder, timing=DEFAULT_TIMING)
    await group.start()
    leader = await group.wait_for_leader()
    lagging = next(name for name in group.replicas if name != leader.name)
    await group.kill(lagging)
    await group.claim_many(0, RESTART_CHANGES - 1)
    missed_ms = await _start_and_wait(group, lagging)
    await group.kill(lagging)
    replayed_ms = await _start_and_wait(group, lagging)
    await group.kill(*group.replicas)
    started_ms = group.clock.monotonic_ms()
    await group.start()
    await group.claim("after the restart")
    all_replicas_ms = group.clock.monotonic_ms() - started_ms
    await group.close()
    name = f"restart, {RESTART_CHANGES} changes"
    return [
        Figure(
            f"{name} missed, until serving",
            missed_ms,
            "ms",
            RESTART_BOUND_MS,
        ),
        Figure(f"{name} in its log, until serving", replayed_ms, "ms", 2_000),
        Figure(
            f"{name}, all replicas, until a write", all_replicas_ms, "ms", 2_000
        ),
    ]


async def _start_and_wait(
    group: replica_group.ReplicaGroup, name: str
) -> float:
    leader = await group.wait_for_leader()
    target = leader.status().commit_index
    started_ms = group.clock.monotonic_ms()
    await group.start(name)
    node = group.node(name)
    await group.wait_until(
        lambda: (
            node.core.applied_index >= target
            and node.leader_name() == leader.name
        ),
        30_000,
    )
    return group.clock.monotonic_ms() - started_ms


async def _snapshot(folder: pathlib.Path) -> list[Figure]:
    group = replica_group.ReplicaGroup(folder, "a", DEFAULT_TIMING)
    await group.start()
    node = await group.wait_for_leader()
    memory_before_mb = _memory_mb()
    _fill(node)
    records_mb = _memory_mb() - memory_before_mb
    idle_block_ms = await _longest_block_ms(curio.sleep(1))
    started = time.perf_counter()
    write_block_ms = await _longest_block_ms(snapshot.write(node.core))
    write_ms = (time.perf_counter() - started) * 1000
    path = snapshot.newest(pathlib.Path(folder) / "a")
    assert path is not None
    size_mb = path.stat().st_size / 2**20
    started = time.perf_counter()
    load_block_ms = await _longest_block_ms(snapshot.load(path))
    load_ms = (time.perf_counter() - started) * 1000
    await group.close()
    name = f"{TASK_RECORDS} tasks"
    bound = LOOP_BLOCK_BOUND_MS
    return [
        Figure("longest block of the idle event loop", idle_block_ms, "ms"),
        Figure(
            f"{name}: event loop blocked by writing",
            write_block_ms,
            "ms",
            bound,
        ),
        Figure(
            f"{name}: event loop blocked by loading", load_block_ms, "ms", bound
        ),
        Figure(f"{name}: time to write the snapshot", write_ms, "ms"),
        Figure(f"{name}: time to load the snapshot", load_ms, "ms"),
        Figure(f"{name}: size of the snapshot", size_mb, "MB"),
        Figure(f"{name}: memory of the records", records_mb, "MB"),
    ]


def _fill(node: node_lib.Node) -> None:
    size = messages.Resources(1_000, 512, 0)
    for number in range(TASK_RECORDS):
        record = tasks_lib.TaskRecord(
            task=f"job/plan-{number // 100}/{number % 100}",
            phase=tasks_lib.Phase.HELD,
            attempt=1,
            worker=f"worker-{number % 5_800}",
            incarnation="0123456789abcdef",
            reserved=size,
        )
        node.state.restore_record(record)


async def _longest_block_ms(work: object) -> float:
    """Returns the longest time that the event loop was blocked by some work."""
    blocked_s = [0.0]

    async def tick() -> None:
        while True:
            started = time.perf_counter()
            await curio.sleep(TICK_SECONDS)
            blocked_s.append(time.perf_counter() - started - TICK_SECONDS)

    task = await curio.spawn(tick)
    await work  # type: ignore[misc]
    await task.cancel()
    return max(blocked_s) * 1000


@dataclasses.dataclass(slots=True, frozen=True)
class IdleReport:
    """What an idle replica measured in its own process."""

    is_leader: bool
    cpu_percent: float
    memory_mb: float
    request_bytes: int
    reply_bytes: int


def _idle(folder: pathlib.Path) -> list[Figure]:
    """Measures three idle replicas, each in its own process."""
    group = replica_group.ReplicaGroup(folder, timing=DEFAULT_TIMING)
    context = multiprocessing.get_context("fork")
    queue = context.Queue()
    processes = [
        context.Process(target=_run_idle_replica, args=(group, name, queue))
        for name in group.replicas
    ]
    for process in processes:
        process.start()
    reports = [queue.get(timeout=60) for _ in processes]
    for process in processes:
        process.join()
    leader = next(report for report in reports if report.is_leader)
    followers = [report for report in reports if not report.is_leader]
    follower_cpu = statistics.mean(r.cpu_percent for r in followers)
    heartbeat_bytes = leader.request_bytes + leader.reply_bytes
    heartbeats_per_second = 2 * 1000 / DEFAULT_TIMING.heartbeat_period_ms
    return [
        Figure("idle leader, share of a core", leader.cpu_percent, "%"),
        Figure("idle follower, share of a core", follower_cpu, "%"),
        Figure("idle leader, memory", leader.memory_mb, "MB"),
        Figure(
            "  heartbeat, bytes of the request", leader.request_bytes, "bytes"
        ),
        Figure("  heartbeat, bytes of the reply", leader.reply_bytes, "bytes"),
        Figure(
            "  leader, bytes in and out, without TCP/IP",
            heartbeats_per_second * heartbeat_bytes / 1000,
            "KB/s",
        ),
    ]


def _run_idle_replica(
    group: replica_group.ReplicaGroup, name: str, queue: Any
) -> None:
    curio.run(_measure_idle_replica, group, name, queue)


async def _measure_idle_replica(
    group: replica_group.ReplicaGroup, name: str, queue: Any
) -> None:
    await group.start(name)
    node = group.node(name)
    await group.wait_until(lambda: node.leader_name() != "", 10_000)
    await curio.sleep(SETTLE_SECONDS)
    cpu_start_s = time.process_time()
    await curio.sleep(IDLE_SECONDS)
    percent = (time.process_time() - cpu_start_s) / IDLE_SECONDS * 100
    request_bytes, reply_bytes = (
        _heartbeat_bytes(node) if node.is_leader() else (0, 0)
    )
    queue.put(
        IdleReport(
            node.is_leader(), percent, _memory_mb(), request_bytes, reply_bytes
        )
    )
    await curio.sleep(SETTLE_SECONDS)
    await group.close()


def _memory_mb() -> float:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


def _heartbeat_bytes(leader: node_lib.Node) -> tuple[int, int]:
    core = leader.core
    peer = next(iter(core.peers.values()))
    request = wire.AppendRequest(
        cluster=core.cluster,
        leader=core.name,
        to_folder=peer.member.folder,
        term=core.term,
        previous_index=core.log.last_index,
        previous_term=core.term,
        commit_index=core.commit_index,
    )
    message = transport.post(core.client, transport.APPEND_TARGET, request)
    head = f"POST {message.target} HTTP/1.1\r\nhost: {peer.member.address}\r\n"
    fields = sum(len(k) + len(v) + 4 for k, v in message.headers)
    length = len("content-length: 123\r\n\r\n")
    request_bytes = len(head) + fields + length + len(message.body)
    reply = wire.AppendReply(
        folder=core.folder_id,
        term=core.term,
        accepted=True,
        received=core.log.last_index,
        synced=core.log.last_index,
    )
    reply_head = "HTTP/1.1 200 \r\ncontent-type: application/json\r\n"
    return request_bytes, len(reply_head) + length + len(messages.encode(reply))


def _median(values: list[int]) -> float:
    return statistics.median(values)


MEASUREMENTS = {
    "commits": functools.partial(curio.run, _commits),
    "fail-over": functools.partial(curio.run, _failover),
    "restart": functools.partial(curio.run, _restart),
    "snapshot": functools.partial(curio.run, _snapshot),
    "idle": _idle,
}


def main(names: list[str]) -> int:
    """Runs the named measurements, or all, and returns the exit status."""
    figures = []
    for name in names or MEASUREMENTS:
        with tempfile.TemporaryDirectory() as folder:
            found = MEASUREMENTS[name](pathlib.Path(folder))
        for figure in found:
            print(figure, flush=True)
        figures.extend(found)
    return 0 if all(figure.is_met for figure in figures) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
