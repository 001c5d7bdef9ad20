"""Snapshots of the state, each in one file, written and read in small steps.

The file is a sequence of framed parts, each with its CRC-32: a header, batches
of records, and an end part with the number of records. A file is valid only
under its final name, to which it is renamed after it was synced.
"""

from collections.abc import Generator
from collections.abc import Iterator
import contextlib
import itertools
import os
import pathlib
import struct
import zlib

import curio
import msgspec

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import messages
from galenahook import state as state_lib
from galenahook.replicas import core as core_lib
from galenahook.replicas import membership
from galenahook.replicas import storage

MIN_ENTRIES = 10_000
# A snapshot is due once the new entries reach a quarter of the last snapshot's
# records, and at least `MIN_ENTRIES`.
_RECORDS_PER_NEW_ENTRY = 4
# Entries of the snapshot that remain in the log for lagging followers.
RETAINED_ENTRIES = 2_000
CHECK_PERIOD_MS = 500
# Pause after a failed snapshot; each attempt starts a segment of the log.
_RETRY_PERIOD_MS = 2_000
_BATCH_RECORDS = 256
_PATTERN = "snapshot-*.state"
# Kind, length of the part in bytes and CRC-32 of the part.
_FRAME = struct.Struct("<BII")
_HEADER_KIND = 1
_RECORDS_KIND = 2
_END_KIND = 3


class Header(messages.Message, frozen=True, kw_only=True):
    """First part of a snapshot.

    Attributes:
      cluster: Identifier of the cluster.
      index: Last index that the snapshot contains.
      term: Term of that index.
      members_index: Index of the entry that set the membership.
      members: Voting members as `name=host:port#folder`.
      learners: Members without a vote.
    """

    cluster: str
    index: int
    term: int
    members_index: int
    members: tuple[str, ...]
    learners: tuple[str, ...]


class _End(messages.Message, frozen=True, kw_only=True):
    records: int


class Loaded(msgspec.Struct, frozen=True):
    """A snapshot read from its file.

    Attributes:
      header: First part of the file.
      state: The restored state.
      records: Number of records.
    """

    header: Header
    state: state_lib.State
    records: int


async def run(core: core_lib.Core) -> None:
    """Writes a snapshot whenever enough entries are new, until cancelled."""
    records = 0
    while core.error is None:
        await curio.sleep(clock_lib.seconds(CHECK_PERIOD_MS))
        new_entries = core.applied_index - core.snapshot_index
        if new_entries < max(MIN_ENTRIES, records // _RECORDS_PER_NEW_ENTRY):
            continue
        if core.installing:
            continue
        try:
            records = await write(core)
            core.refused.record_success("snapshot")
        except OSError as error:
            core.refused.record_refusal("snapshot", error)
            await curio.sleep(clock_lib.seconds(_RETRY_PERIOD_MS))


async def write(core: core_lib.Core) -> int:
    """Writes a snapshot, compacts the log and returns the record count.

    Raises:
      OSError: The disk is full or failed.
    """
    header = _header_of(core)
    view = core.state.snapshot_records()
    folder = core.folder.path
    count = 0
    if folder is not None:
        core.log.start_segment()
        count = await _write_file(core, folder, header, view)
    if core.installing or header.index <= core.snapshot_index:
        return count
    core.snapshot_index = header.index
    core.discard_members_before(header.index)
    core.log.compact(header.index, RETAINED_ENTRIES)
    await curio.run_in_thread(core.log.delete_obsolete)
    if folder is not None:
        await curio.run_in_thread(_delete_older, folder, header.index)
    return count


def _header_of(core: core_lib.Core) -> Header:
    index = core.applied_index
    members = core.members_at(index)
    command = members.command()
    return Header(
        cluster=core.cluster,
        index=index,
        term=core.log.term_at(index) or 0,
        members_index=members.index,
        members=command.members,
        learners=command.learners,
    )


async def _write_file(
    core: core_lib.Core,
    folder: pathlib.Path,
    header: Header,
    view: Iterator[state_lib.SnapshotRecord],
) -> int:
    path = path_of(folder, header.index)
    temporary = path.with_suffix(".tmp")
    writer = await curio.run_in_thread(_Writer, temporary, core.disk)
    count = 0
    try:
        await curio.run_in_thread(
            writer.write, _HEADER_KIND, [messages.encode(header)]
        )
        while True:
            batch = list(itertools.islice(view, _BATCH_RECORDS))
            if not batch:
                break
            count += len(batch)
            data = messages.encode(batch)
            await curio.run_in_thread(writer.write, _RECORDS_KIND, [data])
        end = messages.encode(_End(records=count))
        await curio.run_in_thread(writer.write, _END_KIND, [end])
        await curio.run_in_thread(writer.finish, path)
    except BaseException:
        writer.close()
        # An incomplete file takes space that the disk may lack.
        with contextlib.suppress(OSError):
            temporary.unlink(missing_ok=True)
        raise
    return count


class _Writer:
    """Writes the parts of one snapshot file."""

    def __init__(self, path: pathlib.Path, disk: storage.Disk) -> None:
        self.path = path
        self.disk = disk
        self.offset = 0
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        self.descriptor = os.open(path, flags, 0o600)

    def write(self, kind: int, parts: list[bytes]) -> None:
        for part in parts:
            head = _FRAME.pack(kind, len(part), zlib.crc32(part))
            self.disk.write(self.descriptor, head + part, self.offset)
            self.offset += len(head) + len(part)

    def finish(self, path: pathlib.Path) -> None:
        self.close()
        publish(self.disk, self.path, path)

    def close(self) -> None:
        descriptor, self.descriptor = self.descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)


def publish(
    disk: storage.Disk, temporary: pathlib.Path, path: pathlib.Path
) -> None:
    """Syncs a complete snapshot and renames it to its final name.

    Raises:
      OSError: The disk failed.
    """
    descriptor = os.open(temporary, os.O_RDONLY)
    try:
        disk.sync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    disk.sync_folder(path.parent)


def path_of(folder: pathlib.Path, index: int) -> pathlib.Path:
    """Returns the path of the snapshot at an index."""
    return folder / f"snapshot-{index:020d}.state"


def newest(folder: pathlib.Path) -> pathlib.Path | None:
    """Returns the newest snapshot, or None."""
    return max(folder.glob(_PATTERN), default=None)


def _delete(paths: list[pathlib.Path]) -> None:
    for path in paths:
        path.unlink(missing_ok=True)


def _delete_older(folder: pathlib.Path, index: int) -> None:
    newest_path = path_of(folder, index)
    _delete([path for path in folder.glob(_PATTERN) if path < newest_path])


def discard_unfinished(folder: pathlib.Path) -> None:
    """Deletes snapshots that a crash left incomplete."""
    _delete(list(folder.glob("snapshot-*.tmp")))


def read_header(path: pathlib.Path) -> Header:
    """Reads the header of a snapshot.

    Raises:
      errors.CorruptLogError: The file is damaged.
      OSError: The file can't be read.
    """
    with contextlib.closing(_read_parts(path)) as parts:
        _, _, data = next(parts)
        return messages.decode(data, Header)


def load_blocking(path: pathlib.Path) -> Loaded:
    """Reads a snapshot, blocking until it is loaded.

    Raises:
      errors.CorruptLogError: The file is damaged.
      OSError: The file can't be read.
    """
    steps = _load(path)
    while True:
        loaded = next(steps)
        if loaded is not None:
            return loaded


async def load(path: pathlib.Path) -> Loaded:
    """Reads a snapshot in small steps between which other tasks run.

    Raises:
      errors.CorruptLogError: The file is damaged.
      OSError: The file can't be read.
    """
    steps = _load(path)
    while True:
        loaded = next(steps)
        if loaded is not None:
            return loaded
        await curio.sleep(0)


def _load(path: pathlib.Path) -> Iterator[Loaded | None]:
    """Yields None after each step and the loaded snapshot at the end."""
    with contextlib.closing(_read_parts(path)) as parts:
        kind, offset, data = next(parts)
        if kind != _HEADER_KIND:
            raise errors.CorruptLogError(str(path), offset, "header is missing")
        header = messages.decode(data, Header)
        state = state_lib.State()
        count = 0
        for kind, offset, data in parts:
            if kind == _END_KIND:
                _check_count(path, offset, data, count)
                continue
            batch = messages.decode(data, list[state_lib.SnapshotRecord])
            for record in batch:
                state.restore_record(record)
            count += len(batch)
            yield None
    yield Loaded(header, state, count)


def _check_count(
    path: pathlib.Path, offset: int, data: bytes, count: int
) -> None:
    if messages.decode(data, _End).records != count:
        raise errors.CorruptLogError(
            str(path), offset, "number of records differs from the end part"
        )


def _read_parts(
    path: pathlib.Path,
) -> Generator[tuple[int, int, bytes], None, None]:
    """Yields each part with its kind and offset, up to the end part."""
    offset = 0
    with path.open("rb") as file:
        while True:
            head = file.read(_FRAME.size)
            if len(head) < _FRAME.size:
                raise errors.CorruptLogError(
                    str(path), offset, "file is truncated"
                )
            kind, length, crc = _FRAME.unpack(head)
            data = file.read(length)
            if len(data) != length or zlib.crc32(data) != crc:
                raise errors.CorruptLogError(
                    str(path), offset, "part is damaged"
                )
            yield kind, offset, data
            if kind == _END_KIND:
                return
            offset += _FRAME.size + length


def members_of(header: Header) -> membership.Members:
    """Returns the membership at the snapshot's index."""
    return membership.from_texts(
        header.members, header.learners, header.members_index
    )
