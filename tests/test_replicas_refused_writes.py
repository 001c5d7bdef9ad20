"""A disk that refuses writes for a while stops a replica for no longer."""

import curio
import pytest

from fakes import replica_group
from galenahook import clock as clock_lib
from galenahook.replicas import identity
from galenahook.replicas import log as log_lib
from galenahook.replicas import records
from galenahook.replicas import snapshot
from galenahook.replicas import snapshot_transfer
from galenahook.replicas import storage

FAULTS = ["fail_writes", "fail_syncs"]


class RecordingDisk(replica_group.FaultyDisk):
    """Records each write and sync of the log, and whether it failed."""

    __slots__ = ("calls",)

    def __init__(self):
        super().__init__()
        self.calls = []

    def write(self, descriptor, data, offset):
        self.calls.append(("write", offset, len(data)))
        super().write(descriptor, data, offset)

    def sync(self, descriptor):
        self.calls.append(("sync", self.fail_syncs))
        super().sync(descriptor)


def new_entries(*texts):
    return [records.Entry(1, text.encode()) for text in texts]


def open_log(folder, disk=None):
    log = log_lib.Log(
        folder, disk or storage.Disk(), clock_lib.Clock().monotonic_ms
    )
    log.open()
    return log


def texts_of(log):
    return [entry.data.decode() for entry in log.entries]


async def append_while_refused(log, disk, fault, entries):
    """Appends while the disk fails; returns once it has refused a write."""
    setattr(disk, fault, True)
    index = await log.append(entries)
    while log.error is None:
        await curio.sleep(0.005)
    return index


@pytest.mark.parametrize("fault", FAULTS)
def test_entries_that_the_disk_refused_are_synced_later(tmp_path, fault):
    """Guards against a log that one refused write ends for good."""
    disk = replica_group.FaultyDisk()
    log = open_log(tmp_path, disk)

    async def main():
        task = await curio.spawn(log.run)
        await log.wait_synced(await log.append(new_entries("kept")), None)
        index = await append_while_refused(
            log, disk, fault, new_entries("refused")
        )
        assert log.synced_index == index - 1
        setattr(disk, fault, False)
        await log.wait_synced_change(index - 1)
        assert (log.synced_index, log.error) == (index, None)
        await task.cancel()

    replica_group.run(main, timeout_ms=5_000)
    log.close()
    assert texts_of(open_log(tmp_path)) == ["kept", "refused"]


def test_a_failed_sync_is_not_repeated_without_a_write(tmp_path):
    """Guards against a sync that succeeds since the kernel dropped the data."""
    disk = RecordingDisk()
    log = open_log(tmp_path, disk)
    ends = []

    async def main():
        task = await curio.spawn(log.run)
        await log.wait_synced(await log.append(new_entries("kept")), None)
        ends.append(log._end_offset)
        await append_while_refused(log, disk, "fail_syncs", new_entries("x"))
        disk.calls.clear()
        disk.fail_syncs = False
        await log.wait_synced_change(1)
        await task.cancel()

    replica_group.run(main, timeout_ms=5_000)
    log.close()
    (end,) = ends
    record_size = len(records.encode_record(2, new_entries("x")))
    assert disk.calls[:4] == [
        ("write", 0, end),
        ("sync", False),
        ("write", end, record_size),
        ("sync", False),
    ]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_segment_after_a_refused_record_can_be_read(tmp_path, fault):
    """Guards against half a record in a segment that is not the last one."""
    disk = replica_group.FaultyDisk()
    log = open_log(tmp_path, disk)

    async def main():
        task = await curio.spawn(log.run)
        await log.wait_synced(await log.append(new_entries("kept")), None)
        await append_while_refused(log, disk, fault, new_entries("refused"))
        log.start_segment()
        setattr(disk, fault, False)
        await log.wait_synced_change(1)
        await task.cancel()

    replica_group.run(main, timeout_ms=5_000)
    log.close()
    assert len(list(tmp_path.glob("log-*"))) == 2
    assert texts_of(open_log(tmp_path)) == ["kept", "refused"]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_refused_entry_that_was_replaced_leaves_no_error(tmp_path, fault):
    """Guards against a log that counts as failed with nothing to write."""
    disk = replica_group.FaultyDisk()
    log = open_log(tmp_path, disk)

    async def main():
        task = await curio.spawn(log.run)
        await log.wait_synced(await log.append(new_entries("kept")), None)
        await append_while_refused(log, disk, fault, new_entries("refused"))
        await log.replace_from(2, [])
        setattr(disk, fault, False)
        while log.error is not None:
            await curio.sleep(0.01)
        await task.cancel()

    replica_group.run(main, timeout_ms=5_000)
    log.close()
    assert texts_of(open_log(tmp_path)) == ["kept"]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_reset_that_the_disk_refused_is_written_later(tmp_path, fault):
    """Guards against entries of an earlier log after a reset was refused."""
    disk = replica_group.FaultyDisk()
    log = open_log(tmp_path, disk)

    async def main():
        task = await curio.spawn(log.run)
        await log.wait_synced(await log.append(new_entries("old")), None)
        setattr(disk, fault, True)
        await log.reset(10, 1)
        await append_while_refused(log, disk, fault, new_entries("new"))
        setattr(disk, fault, False)
        await log.wait_synced_change(10)
        await task.cancel()

    replica_group.run(main, timeout_ms=5_000)
    log.close()
    reopened = open_log(tmp_path)
    assert (reopened.base_index, texts_of(reopened)) == (10, ["new"])
    assert len(list(tmp_path.glob("log-*"))) == 1


@pytest.mark.parametrize("fault", FAULTS)
def test_refused_writes_of_each_replica_in_turn_cost_no_quorum(tmp_path, fault):
    """Guards against replicas that a refused write stops until a restart."""
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        await group.wait_for_leader()
        keys = set()
        for name in "abcab":
            setattr(group.replicas[name].disk, fault, True)
            for _ in range(3):
                key = f"key-{len(keys)}"
                assert await group.claim(key)
                keys.add(key)
            setattr(group.replicas[name].disk, fault, False)
            await group.wait_until(lambda: not any_error(group))
        await group.wait_until(
            lambda: all(
                keys <= set(node.state.claims.records)
                and node.status().synced_index == node.status().last_index
                for node in group.nodes()
            )
        )
        await group.close()

    replica_group.run(main)


def any_error(group):
    return any(node.status().error for node in group.nodes())


@pytest.mark.parametrize("fault", FAULTS)
def test_a_vote_that_the_disk_refused_is_cast_later(tmp_path, fault):
    """Guards against voters that a refused ballot stops until a restart."""
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        leader = await group.wait_for_leader()
        voter, candidate = (n for n in group.nodes() if n is not leader)
        setattr(group.replicas[voter.name].disk, fault, True)
        await group.kill(leader.name)
        await curio.sleep(1.0)
        assert group.leader() is None
        setattr(group.replicas[voter.name].disk, fault, False)
        await group.wait_for_leader()
        ballots = [node.core.folder.ballot for node in (voter, candidate)]
        assert ballots[0].term == ballots[1].term
        assert ballots[0].voted_for == ballots[1].voted_for
        await group.close()

    replica_group.run(main)


@pytest.mark.parametrize("fault", FAULTS)
def test_a_refused_ballot_can_not_be_replaced_in_its_term(tmp_path, fault):
    """Guards against two votes in one term after the first was refused."""
    disk = replica_group.FaultyDisk()
    folder = identity.Folder(tmp_path, disk)
    folder.open("a")
    first = identity.Ballot(term=2, voted_for="b")
    setattr(disk, fault, True)
    with pytest.raises(OSError):
        folder.save_ballot(first)
    assert folder.ballot != first
    setattr(disk, fault, False)
    folder.save_ballot(first)
    reopened = identity.Folder(tmp_path, storage.Disk())
    reopened.open("a")
    assert reopened.ballot == first


@pytest.mark.parametrize("fault", FAULTS)
def test_a_refused_snapshot_is_written_later(tmp_path, monkeypatch, fault):
    """Guards against replicas that a refused snapshot stops for good."""
    monkeypatch.setattr(snapshot, "MIN_ENTRIES", 20)
    monkeypatch.setattr(snapshot, "CHECK_PERIOD_MS", 20)
    monkeypatch.setattr(snapshot, "_RETRY_PERIOD_MS", 50)
    group = replica_group.ReplicaGroup(tmp_path, "a")

    async def main():
        await group.start()
        await group.claim_many(0, 5)
        node = group.node("a")
        with monkeypatch.context() as refusal:
            refusal.setattr(snapshot, "_Writer", refusing_writer(fault))
            await group.claim_many(5, 40)
            await curio.sleep(0.3)
            assert node.status().snapshot_index == 0
            assert not list((tmp_path / "a").glob("*.tmp"))
        await group.wait_until(lambda: node.status().snapshot_index > 0)
        assert await group.claim("later")
        await group.close()

    replica_group.run(main)


def refusing_writer(fault):
    """Returns a writer of snapshots whose disk accepts only other files."""

    class RefusingWriter(snapshot._Writer):
        def write(self, kind, parts):
            if fault == "fail_writes":
                raise OSError(28, "No space left on device")
            super().write(kind, parts)

        def finish(self, _):
            raise OSError(5, "Input/output error")

    return RefusingWriter


async def lag_behind_a_snapshot(group):
    """Returns a stopped replica that needs the leader's snapshot."""
    await group.start()
    leader = await group.wait_for_leader()
    lagging = next(name for name in group.replicas if name != leader.name)
    await group.kill(lagging)
    await group.claim_many(0, 200)
    await group.wait_until(lambda: leader.status().first_index > 50)
    return lagging


def make_snapshots_small(monkeypatch):
    monkeypatch.setattr(snapshot, "MIN_ENTRIES", 60)
    monkeypatch.setattr(snapshot, "CHECK_PERIOD_MS", 20)
    monkeypatch.setattr(snapshot, "RETAINED_ENTRIES", 10)
    monkeypatch.setattr(snapshot_transfer, "CHUNK_BYTES", 1_000)


@pytest.mark.parametrize("fault", FAULTS)
def test_a_received_snapshot_that_the_disk_refused_is_sent_again(
    tmp_path, monkeypatch, fault
):
    """Guards against replicas that a refused chunk stops until a restart."""
    make_snapshots_small(monkeypatch)
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        lagging = await lag_behind_a_snapshot(group)
        await group.start(lagging)
        disk = group.replicas[lagging].disk
        setattr(disk, fault, True)
        await curio.sleep(0.5)
        assert len(group.node(lagging).state.claims.records) < 200
        setattr(disk, fault, False)
        await group.wait_until(
            lambda: len(group.node(lagging).state.claims.records) == 200
        )
        await group.close()

    replica_group.run(main)


def test_a_snapshot_that_can_not_be_read_is_sent_later(tmp_path, monkeypatch):
    """Guards against a leader that gives up a peer until its term ends."""
    make_snapshots_small(monkeypatch)
    group = replica_group.ReplicaGroup(tmp_path)

    def refuse(path):
        raise OSError(5, f"Input/output error: {path}")

    async def main():
        lagging = await lag_behind_a_snapshot(group)
        with monkeypatch.context() as refusal:
            refusal.setattr(snapshot, "read_header", refuse)
            await group.start(lagging)
            await curio.sleep(0.3)
        await group.wait_until(
            lambda: len(group.node(lagging).state.claims.records) == 200
        )
        await group.close()

    replica_group.run(main)
