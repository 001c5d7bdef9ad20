"""Measures the replicas: commits, fail-over, restarts, snapshots, idle cost.

Run as `python bench/replicas.py [NAME ...]`; each figure is printed with the
bound that it is held against, and the exit code is 1 if one is not met.
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

FAIL_OVER_BOUND_MS = 3_000
RESTART_BOUND_MS = 2_000
LOOP_HOLD_BOUND_MS = 50
CHANGES_BEHIND = 10_000
TASK_RECORDS = 200_000
FAIL_OVERS = 10
COMMITS = 1_000
COMMITS_AT_ONCE = 10_000
IDLE_SECONDS = 10
SETTLE_SECONDS = 2
TICK_SECONDS = 0.001
DEFAULT_TIMING = settings_lib.Timing()


@dataclasses.dataclass(slots=True, frozen=True)
class Figure:
    """One measured figure.

    Attributes:
      name: What was measured.
      value: The figure.
      unit: Its unit.
      bound: Highest value that is accepted, or None.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None

    @property
    def is_met(self) -> bool:
        """Whether the figure keeps its bound."""
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
    cpu_start = time.process_time()
    for number in range(COMMITS):
        started = time.perf_counter()
        await leader.submit(replica_group.new_claim(f"one-{number}"))
        latencies.append((time.perf_counter() - started) * 1000)
    cpu_each = (time.process_time() - cpu_start) / COMMITS * 1000
    syncs_before = leader.status().syncs
    cpu_start = time.process_time()
    started = time.perf_counter()
    await group.claim_many(0, COMMITS_AT_ONCE)
    elapsed = time.perf_counter() - started
    cpu_many = (time.process_time() - cpu_start) / COMMITS_AT_ONCE * 1000
    syncs = leader.status().syncs - syncs_before
    await group.close()
    quantiles = statistics.quantiles(latencies, n=100)
    return [
        Figure("commit, one at a time, p50", quantiles[49], "ms"),
        Figure("commit, one at a time, p99", quantiles[98], "ms"),
        Figure("  processor time, all three replicas", cpu_each, "ms"),
        Figure("commits at once", COMMITS_AT_ONCE / elapsed, "/s"),
        Figure("  commits for each sync", COMMITS_AT_ONCE / syncs, ""),
        Figure("  processor time, all three replicas", cpu_many, "ms"),
    ]


async def _fail_over(folder: pathlib.Path) -> list[Figure]:
    group = replica_group.ReplicaGroup(folder, timing=DEFAULT_TIMING)
    await group.start()
    gaps = []
    for number in range(FAIL_OVERS):
        leader = await group.wait_for_leader()
        await group.claim(f"before-{number}")
        started_ms = group.clock.monotonic_ms()
        await group.kill(leader.name)
        await group.claim(f"after-{number}")
        gaps.append(group.clock.monotonic_ms() - started_ms)
        await group.start(leader.name)
    await group.close()
    return [
        Figure("leader killed to next write, median", _median(gaps), "ms"),
        Figure(
            f"leader killed to next write, worst of {FAIL_OVERS}",
            max(gaps),
            "ms",
            FAIL_OVER_BOUND_MS,
        ),
    ]


async def _restart(folder: pathlib.Path) -> list[Figure]:
    group = replica_group.ReplicaGroup(folder, timing=DEFAULT_TIMING)
    await group.start()
    leader = await group.wait_for_leader()
    late = next(name for name in group.replicas if name != leader.name)
    await group.kill(late)
    await group.claim_many(0, CHANGES_BEHIND - 1)
    missed = await _start_and_wait(group, late)
    await group.kill(late)
    replayed = await _start_and_wait(group, late)
    await group.kill(*group.replicas)
    started_ms = group.clock.monotonic_ms()
    await group.start()
    await group.claim("after the restart")
    whole_ms = group.clock.monotonic_ms() - started_ms
    await group.close()
    name = f"start, {CHANGES_BEHIND} changes"
    return [
        Figure(f"{name} missed, to serving", missed, "ms", RESTART_BOUND_MS),
        Figure(f"{name} in its log, to serving", replayed, "ms", 2_000),
        Figure(f"{name}, all three at once, to a write", whole_ms, "ms", 2_000),
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
    before_mb = _memory_mb()
    _fill(node)
    filled_mb = _memory_mb() - before_mb
    quiet_ms = await _longest_hold(curio.sleep(1))
    started = time.perf_counter()
    hold_ms = await _longest_hold(snapshot.write(node.core))
    wrote_ms = (time.perf_counter() - started) * 1000
    path = snapshot.newest(pathlib.Path(folder) / "a")
    assert path is not None
    size_mb = path.stat().st_size / 2**20
    started = time.perf_counter()
    load_hold_ms = await _longest_hold(snapshot.load(path))
    loaded_ms = (time.perf_counter() - started) * 1000
    await group.close()
    name = f"{TASK_RECORDS} tasks"
    bound = LOOP_HOLD_BOUND_MS
    return [
        Figure("longest hold of the loop at rest", quiet_ms, "ms"),
        Figure(f"{name}: hold while writing", hold_ms, "ms", bound),
        Figure(f"{name}: hold while loading", load_hold_ms, "ms", bound),
        Figure(f"{name}: time to write the snapshot", wrote_ms, "ms"),
        Figure(f"{name}: time to load the snapshot", loaded_ms, "ms"),
        Figure(f"{name}: size of the snapshot", size_mb, "MB"),
        Figure(f"{name}: memory of the records", filled_mb, "MB"),
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


async def _longest_hold(work: object) -> float:
    """Longest time that the loop was held while some work ran."""
    holds = [0.0]

    async def tick() -> None:
        while True:
            started = time.perf_counter()
            await curio.sleep(TICK_SECONDS)
            holds.append(time.perf_counter() - started - TICK_SECONDS)

    task = await curio.spawn(tick)
    await work  # type: ignore[misc]
    await task.cancel()
    return max(holds) * 1000


@dataclasses.dataclass(slots=True, frozen=True)
class IdleReport:
    """What one idle replica measured of its own process."""

    is_leader: bool
    cpu_percent: float
    memory_mb: float
    sent_bytes: int
    answered_bytes: int


def _idle(folder: pathlib.Path) -> list[Figure]:
    """Measures three replicas in a process each."""
    group = replica_group.ReplicaGroup(folder, timing=DEFAULT_TIMING)
    context = multiprocessing.get_context("fork")
    queue = context.Queue()
    processes = [
        context.Process(target=_run_idle, args=(group, name, queue))
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
    each_beat = leader.sent_bytes + leader.answered_bytes
    beats = 2 * 1000 / DEFAULT_TIMING.heartbeat_period_ms
    return [
        Figure("idle leader, share of a core", leader.cpu_percent, "%"),
        Figure("idle follower, share of a core", follower_cpu, "%"),
        Figure("idle leader, memory", leader.memory_mb, "MB"),
        Figure("  heartbeat, bytes of the request", leader.sent_bytes, "bytes"),
        Figure(
            "  heartbeat, bytes of the answer", leader.answered_bytes, "bytes"
        ),
        Figure(
            "  leader, bytes in and out, without TCP/IP",
            beats * each_beat / 1000,
            "KB/s",
        ),
    ]


def _run_idle(group: replica_group.ReplicaGroup, name: str, queue: Any) -> None:
    curio.run(_measure_idle, group, name, queue)


async def _measure_idle(
    group: replica_group.ReplicaGroup, name: str, queue: Any
) -> None:
    await group.start(name)
    node = group.node(name)
    await group.wait_until(lambda: node.leader_name() != "", 10_000)
    await curio.sleep(SETTLE_SECONDS)
    cpu_start = time.process_time()
    await curio.sleep(IDLE_SECONDS)
    percent = (time.process_time() - cpu_start) / IDLE_SECONDS * 100
    sent, answered = _heartbeat_bytes(node) if node.is_leader() else (0, 0)
    queue.put(
        IdleReport(node.is_leader(), percent, _memory_mb(), sent, answered)
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
    sent = len(head) + fields + length + len(message.body)
    reply = wire.AppendReply(
        folder=core.folder_id,
        term=core.term,
        accepted=True,
        received=core.log.last_index,
        synced=core.log.last_index,
    )
    answer = "HTTP/1.1 200 \r\ncontent-type: application/json\r\n"
    return sent, len(answer) + length + len(messages.encode(reply))


def _median(values: list[int]) -> float:
    return statistics.median(values)


MEASUREMENTS = {
    "commits": functools.partial(curio.run, _commits),
    "fail-over": functools.partial(curio.run, _fail_over),
    "restart": functools.partial(curio.run, _restart),
    "snapshot": functools.partial(curio.run, _snapshot),
    "idle": _idle,
}


def main(names: list[str]) -> int:
    """Runs measurements by name and returns the exit code."""
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
