"""The log keeps synced entries and tells a truncated tail from corruption."""

import curio
import pytest

from fakes import replica_group
from galenahook import clock as clock_lib
from galenahook import errors
from galenahook.replicas import log as log_lib
from galenahook.replicas import records
from galenahook.replicas import storage


def entries_of(*texts, term=1):
    return [records.Entry(term, text.encode()) for text in texts]


def texts_of(log):
    return [entry.data.decode() for entry in log.entries]


def open_log(folder, disk=None):
    clock = clock_lib.Clock()
    log = log_lib.Log(folder, disk or storage.Disk(), clock.monotonic_ms)
    log.open()
    return log


async def write_batches(log, *batches):
    task = await curio.spawn(log.run)
    for batch in batches:
        await log.wait_synced(await log.append(batch), None)
    await task.cancel()
    log.close()


def write(folder, *batches, disk=None):
    log = open_log(folder, disk)
    curio.run(write_batches, log, *batches)
    return log


def only_segment(folder):
    (path,) = folder.glob("log-*")
    return path


def three_records(folder):
    """Writes three records and returns their offsets and the file's end."""
    write(
        folder, entries_of("one"), entries_of("two", "three"), entries_of("4")
    )
    segment = records.read_segment(only_segment(folder), True, 0)
    return [record.offset for record in segment.records] + [segment.end]


def delete_synced_mark(folder):
    """Simulates a power loss before the synced mark was written."""
    (folder / "synced").unlink()


def test_commands_appended_during_a_sync_share_the_next_one(tmp_path):
    log = open_log(tmp_path)

    async def main():
        task = await curio.spawn(log.run)
        for number in range(500):
            await log.append(entries_of(f"entry {number}"))
        await log.wait_synced(500, None)
        await task.cancel()

    curio.run(main)
    assert log.syncs <= 3
    log.close()
    assert len(open_log(tmp_path).entries) == 500


def test_record_truncated_at_any_byte_is_removed(tmp_path):
    offsets = three_records(tmp_path)
    path = only_segment(tmp_path)
    content = path.read_bytes()
    for end in range(offsets[2], offsets[3]):
        path.write_bytes(content[:end])
        delete_synced_mark(tmp_path)
        log = open_log(tmp_path)
        assert texts_of(log) == ["one", "two", "three"]
        log.close()
        assert len(path.read_bytes()) == offsets[2]


@pytest.mark.parametrize(
    ("record", "shift"),
    [(0, 1), (0, 16), (0, 22), (0, 30), (1, 2), (1, 20), (1, 40)],
)
def test_damage_before_the_last_record_prevents_the_start(
    tmp_path, record, shift
):
    offsets = three_records(tmp_path)
    path = only_segment(tmp_path)
    data = bytearray(path.read_bytes())
    data[offsets[record] + shift] ^= 0x10
    path.write_bytes(data)
    delete_synced_mark(tmp_path)
    with pytest.raises(errors.CorruptLogError) as caught:
        open_log(tmp_path)
    assert caught.value.path == str(path)
    assert caught.value.offset == offsets[record]


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_damage_to_a_synced_record_prevents_the_start(tmp_path, cut):
    offsets = three_records(tmp_path)
    path = only_segment(tmp_path)
    data = bytearray(path.read_bytes())
    data[-1] ^= 0x10
    path.write_bytes(data[: len(data) - cut])
    with pytest.raises(errors.CorruptLogError) as caught:
        open_log(tmp_path)
    assert caught.value.offset == offsets[2]


def test_missing_segment_prevents_the_start(tmp_path):
    three_records(tmp_path)
    only_segment(tmp_path).unlink()
    with pytest.raises(errors.CorruptLogError):
        open_log(tmp_path)


def test_replaced_suffix_remains_replaced_after_a_restart(tmp_path):
    write(tmp_path, entries_of("one", "two", "three"))
    log = open_log(tmp_path)

    async def main():
        task = await curio.spawn(log.run)
        await log.replace_from(2, entries_of("other", term=2))
        await log.wait_synced(2, None)
        await task.cancel()

    curio.run(main)
    log.close()
    reopened = open_log(tmp_path)
    assert texts_of(reopened) == ["one", "other"]
    assert reopened.last_term == 2


def test_log_continues_after_segments_were_deleted(tmp_path):
    log = open_log(tmp_path)

    async def main():
        task = await curio.spawn(log.run)
        for number in range(1, 7):
            if number in (3, 5):
                log.start_segment()
            index = await log.append(entries_of(str(number)))
            await log.wait_synced(index, None)
        await task.cancel()

    curio.run(main)
    log.compact(4, retained=1)
    log.delete_obsolete()
    assert (log.base_index, texts_of(log)) == (3, ["4", "5", "6"])
    log.close()
    reopened = open_log(tmp_path)
    assert (reopened.base_index, texts_of(reopened)) == (4, ["5", "6"])


def test_unsynced_entries_are_retained_when_a_snapshot_contains_them(tmp_path):
    log = open_log(tmp_path)

    async def main():
        task = await curio.spawn(log.run)
        await log.wait_synced(await log.append(entries_of("1", "2")), None)
        await task.cancel()
        await log.append(entries_of("3", "4", "5"))
        log.compact(5, retained=0)
        task = await curio.spawn(log.run)
        await log.wait_synced(5, None)
        await task.cancel()

    replica_group.run(main, timeout_ms=5_000)
    log.close()
    assert texts_of(open_log(tmp_path)) == ["1", "2", "3", "4", "5"]


@pytest.mark.parametrize("fault", ["fail_writes", "fail_syncs"])
def test_failed_disk_acknowledges_nothing_more(tmp_path, fault):
    write(tmp_path, entries_of("kept"))
    disk = replica_group.FaultyDisk()
    log = open_log(tmp_path, disk)
    setattr(disk, fault, True)
    curio.run(write_batches, log, entries_of("lost"))
    assert log.synced_index == 1
    assert log.error is not None
    assert str(tmp_path) in str(log.error)
    assert texts_of(open_log(tmp_path))[0] == "kept"


def test_last_record_is_written_again_at_the_start(tmp_path):
    """After a failed sync the page cache may hold data that the disk lacks."""
    offsets = three_records(tmp_path)

    class RecordingDisk(storage.Disk):
        written: list[int] = []

        def write(self, descriptor, data, offset):
            self.written.append(offset)
            super().write(descriptor, data, offset)

    log = open_log(tmp_path, RecordingDisk())
    assert RecordingDisk.written == [offsets[2]]
    log.close()


def test_a_mark_of_a_deleted_segment_does_not_prevent_the_start(tmp_path):
    """Guards against a mark that a power loss or the disk kept from following.

    The mark is not synced, so it may name a segment that was deleted since.
    """
    log = open_log(tmp_path)
    marks = []

    async def main():
        task = await curio.spawn(log.run)
        await log.wait_synced(await log.append(entries_of("1")), None)
        marks.append((tmp_path / "synced").read_bytes())
        log.start_segment()
        await log.wait_synced(await log.append(entries_of("2")), None)
        await task.cancel()

    curio.run(main)
    log.compact(1, retained=0)
    log.delete_obsolete()
    log.close()
    (tmp_path / "synced").write_bytes(marks[0])
    reopened = open_log(tmp_path)
    assert (reopened.base_index, texts_of(reopened)) == (1, ["2"])


def test_a_missing_last_segment_prevents_the_start(tmp_path):
    """Guards against a lost segment that looks like one never written."""
    log = open_log(tmp_path)

    async def main():
        task = await curio.spawn(log.run)
        await log.wait_synced(await log.append(entries_of("1")), None)
        log.start_segment()
        await log.wait_synced(await log.append(entries_of("2")), None)
        await task.cancel()

    curio.run(main)
    log.close()
    max(tmp_path.glob("log-*")).unlink()
    with pytest.raises(errors.CorruptLogError):
        open_log(tmp_path)


def test_log_in_memory_waits_after_a_reset():
    """Guards against a reset that counts as unwritten without a folder."""
    clock = clock_lib.Clock()
    log = log_lib.Log(None, storage.Disk(), clock.monotonic_ms)

    async def main():
        task = await curio.spawn(log.run)
        await log.wait_synced(await log.append(entries_of("1")), None)
        await log.reset(5, 1)
        await log.wait_synced(await log.append(entries_of("6")), None)
        assert log.synced_index == 6
        await curio.sleep(0.05)
        turns = task.cycles
        await curio.sleep(0.05)
        assert task.cycles == turns
        await task.cancel()

    curio.run(main)
