"""The audit trail: one synced record for each change, after any crash."""

import os
import pathlib
import threading

import curio
import pytest

import builders
from galenahook import audit as audit_lib
from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import errors

ALL = 10**9


def _with_changes(
    count: int, state: configuration_lib.ConfigurationState | None = None
) -> configuration_lib.ConfigurationState:
    state = state or configuration_lib.ConfigurationState()
    for _ in range(count):
        revision = state.current.revision
        job = builders.job(priority=revision % 100)
        state.change(
            builders.change(
                commands.PutJob(job=job),
                number=revision + 1,
                base_revision=revision,
            )
        )
    return state


def _write(
    folder: pathlib.Path, state: configuration_lib.ConfigurationState
) -> audit_lib.AuditTrail:
    trail = audit_lib.AuditTrail(str(folder))
    curio.run(trail.write_missing, state)
    return trail


def _revisions(folder: pathlib.Path, first: int = 1, last: int = ALL) -> list:
    trail = audit_lib.AuditTrail(str(folder))
    return [line.revision for line in curio.run(trail.read, first, last)]


def test_a_record_has_the_change_before_and_after(tmp_path, snapshot):
    state = _with_changes(2)
    trail = _write(tmp_path, state)
    assert curio.run(trail.read, 2, 2) == snapshot


def test_each_change_is_written_once_across_restarts(tmp_path):
    state = configuration_lib.ConfigurationState()
    for _ in range(5):
        _write(tmp_path, _with_changes(3, state))
        _write(tmp_path, state)
    assert _revisions(tmp_path) == list(range(1, 16))


def test_a_last_line_cut_at_any_byte_leaves_no_gap_and_no_duplicate(
    tmp_path,
):
    state = _with_changes(2)
    state.change(
        builders.change(
            commands.AvailabilityZoneOut(availability_zone="a"),
            number=3,
            base_revision=2,
        )
    )
    _write(tmp_path, state)
    (path,) = (tmp_path / "audit").iterdir()
    complete = path.read_bytes()
    start_of_last = complete[:-1].rfind(b"\n") + 1
    for size in range(start_of_last, len(complete)):
        path.write_bytes(complete[:size])
        _write(tmp_path, state)
        assert path.read_bytes() == complete, size


def test_segments_are_read_by_range_and_survive_a_restart(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(audit_lib, "SEGMENT_RECORDS", 4)
    state = _with_changes(10)
    _write(tmp_path, state)
    _write(tmp_path, _with_changes(1, state))
    assert len(list((tmp_path / "audit").iterdir())) == 3
    assert _revisions(tmp_path) == list(range(1, 12))
    assert _revisions(tmp_path, 4, 9) == [4, 5, 6, 7, 8, 9]
    assert _revisions(tmp_path, 12) == []


def test_a_read_returns_a_limited_number_of_records(tmp_path, monkeypatch):
    monkeypatch.setattr(audit_lib, "MAX_RECORDS_READ", 4)
    _write(tmp_path, _with_changes(6))
    assert _revisions(tmp_path) == [1, 2, 3, 4]
    assert _revisions(tmp_path, 5) == [5, 6]


def test_changes_missed_beyond_retention_are_reported_as_a_gap(tmp_path):
    state = _with_changes(2)
    _write(tmp_path, state)
    _with_changes(configuration_lib.MAX_CHANGE_RECORDS + 1, state)
    trail = _write(tmp_path, state)
    lines = curio.run(trail.read, 1, 4)
    assert lines[2] == audit_lib.AuditGap(revision=3, last_revision=3)
    assert lines[3].revision == 4
    assert trail.last_revision == state.current.revision


class _FakeDisk:
    """Replaces `os.fsync`; counts its calls, or fails them while full."""

    def __init__(self) -> None:
        self.synced = 0
        self.full = False

    def fsync(self, descriptor: int) -> None:
        del descriptor
        if self.full:
            raise OSError(28, "No space left on device")
        self.synced += 1


def test_a_failed_sync_leaves_the_trail_unchanged(tmp_path, monkeypatch):
    state = _with_changes(1)
    trail = _write(tmp_path, state)
    (path,) = (tmp_path / "audit").iterdir()
    complete = path.read_bytes()
    disk = _FakeDisk()
    disk.full = True
    monkeypatch.setattr(os, "fsync", disk.fsync)
    _with_changes(2, state)
    with pytest.raises(errors.StorageError):
        curio.run(trail.write_missing, state)
    assert path.read_bytes() == complete
    disk.full = False
    curio.run(trail.write_missing, state)
    assert disk.synced == 1
    assert _revisions(tmp_path) == [1, 2, 3]


class _SlowDisk:
    """Replaces `os.fsync` by one that blocks until released."""

    def __init__(self) -> None:
        self.entered = threading.Event()
        self.released = threading.Event()

    def fsync(self, descriptor: int) -> None:
        del descriptor
        self.entered.set()
        assert self.released.wait(5)


def test_a_cancelled_writer_that_is_still_syncing_causes_no_duplicate(
    tmp_path, monkeypatch
):
    state = _with_changes(3)
    trail = audit_lib.AuditTrail(str(tmp_path))
    disk = _SlowDisk()
    monkeypatch.setattr(os, "fsync", disk.fsync)

    async def race() -> None:
        first = await curio.spawn(trail.write_missing, state)
        await curio.run_in_thread(disk.entered.wait, 5)
        await first.cancel()
        second = await curio.spawn(trail.write_missing, state)
        await curio.sleep(0.05)
        disk.released.set()
        await second.join()

    curio.run(race)
    assert _revisions(tmp_path) == [1, 2, 3]


def test_a_damaged_line_raises_an_error_that_names_its_file(tmp_path):
    _write(tmp_path, _with_changes(2))
    (path,) = (tmp_path / "audit").iterdir()
    path.write_bytes(b"{}\n" + path.read_bytes())
    with pytest.raises(errors.StorageError, match=path.name):
        _revisions(tmp_path)
