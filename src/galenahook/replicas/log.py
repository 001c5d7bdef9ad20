"""The replicated log: entries in memory, synced to segments in a folder.

A single task writes. Entries appended during a sync go into the next record,
so many commands share one sync. A conflicting suffix is not removed from the
file: the record that replaces it states the first index that it replaces.

A record that could not be written or synced is written again until the disk
accepts it. A failed sync is not repeated on its own, as the kernel may have
dropped the data and would report success.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import os
import pathlib
import struct
import zlib

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook.replicas import notify
from galenahook.replicas import records
from galenahook.replicas import refused_writes
from galenahook.replicas import storage

_MAX_RECORD_ENTRIES = 4_096
_SEGMENT_PATTERN = "log-*.segment"
_SYNCED_MARK_FILE = "synced"
# Segment number and offset of the end of its synced data in bytes, followed by
# a CRC-32.
_SYNCED_MARK = struct.Struct("<QQ")
_SYNCED_MARK_BYTES = _SYNCED_MARK.size + 4
# Pause after a failed write, before the next attempt.
_RETRY_PERIOD_MS = 100
# A sync may also have failed for the start of the block in which the synced
# data ends.
_DISK_BLOCK_BYTES = 4_096


@dataclasses.dataclass(slots=True, frozen=True)
class _SegmentFile:
    number: int
    base_index: int
    path: pathlib.Path


@dataclasses.dataclass(slots=True)
class _Batch:
    """Entries of the next record.

    Attributes:
      first_index: Index of the first entry.
      base_term: Term of the index before it.
      entries: The entries; empty if only a segment is due.
      new_segment: Whether a segment starts with the record.
      reset: Whether that segment makes all earlier ones obsolete.
    """

    first_index: int
    base_term: int
    entries: Sequence[records.Entry]
    new_segment: bool
    reset: bool


class Log:
    """Log of one replica.

    Attributes:
      folder: Folder of the segments, or None for a log in memory only.
      base_index: Index before the first retained entry, 0 for a complete log.
      base_term: Term of the entry at that index.
      entries: Entries from `base_index + 1` on.
      synced_index: Last index that is on the disk.
      syncs: Number of syncs so far.
      last_sync_ms: Duration of the last sync.
      error: Why the last write failed, or None if it succeeded. The write is
        repeated until it succeeds.
    """

    def __init__(
        self,
        folder: pathlib.Path | None,
        disk: storage.Disk,
        clock_ms: Callable[[], int],
        refused: refused_writes.RefusedWrites | None = None,
    ) -> None:
        self.folder = folder
        self.disk = disk
        self.refused = refused or refused_writes.RefusedWrites(clock_ms)
        self.base_index = 0
        self.base_term = 0
        self.entries: list[records.Entry] = []
        self.synced_index = 0
        self.syncs = 0
        self.last_sync_ms = 0
        self.error: errors.StorageError | None = None
        self._clock_ms = clock_ms
        self._segments: list[_SegmentFile] = []
        self._descriptor = -1
        self._mark_descriptor = -1
        self._end_offset = 0
        self._writing_index = 0
        self._new_segment_due = False
        self._resets_requested = 0
        self._resets_written = 0
        self._must_repair = False
        self._must_delete = False
        self._appended = notify.Signal()
        self._synced = notify.Signal()

    @property
    def is_new(self) -> bool:
        """Whether the folder contains no segment yet."""
        return not self._segments

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def unsynced(self) -> int:
        """Number of entries that are not on the disk."""
        return self.last_index - self.synced_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not retained."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index: int) -> records.Entry:
        """Returns a retained entry."""
        return self.entries[index - self.base_index - 1]

    def batch_from(self, index: int, max_bytes: int) -> list[records.Entry]:
        """Returns entries from an index on, up to a size in bytes.

        The first entry is included even if it exceeds the size.
        """
        batch: list[records.Entry] = []
        size = 0
        for position in range(index - self.base_index - 1, len(self.entries)):
            entry = self.entries[position]
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    # --- Opening --------------------------------------------------------------

    def open(self) -> None:
        """Reads the segments and prepares the last one for writing.

        Raises:
          errors.CorruptLogError: The log is damaged other than by a truncated
            last record.
          errors.StorageError: The folder can't be read or written.
        """
        if self.folder is None:
            return
        try:
            self._read_segments(self.folder)
        except OSError as error:
            raise errors.StorageError(f"{self.folder}: {error}") from error

    def _read_segments(self, folder: pathlib.Path) -> None:
        mark_number, mark_end = self._open_mark(folder)
        paths = sorted(folder.glob(_SEGMENT_PATTERN))
        self._check_mark(folder, mark_number, paths)
        last: records.Segment | None = None
        for path in paths:
            number = _number_of(path)
            segment = records.read_segment(
                path,
                is_last=path == paths[-1],
                synced_end=mark_end if number == mark_number else 0,
            )
            if segment is None:
                path.unlink()
                continue
            self._load_segment(number, segment)
            last = segment
        if last is not None:
            self._reopen_segment(last)
        self.synced_index = self.last_index

    def _check_mark(
        self,
        folder: pathlib.Path,
        number: int,
        paths: Sequence[pathlib.Path],
    ) -> None:
        # The mark is not synced and may name a segment that was deleted since.
        last = _number_of(paths[-1]) if paths else 0
        if number > last:
            raise errors.CorruptLogError(
                str(_path_of(folder, number)), 0, "the segment is missing"
            )

    def _load_segment(self, number: int, segment: records.Segment) -> None:
        if segment.is_reset or not self._segments:
            self.entries.clear()
            self.base_index = segment.base_index
            self.base_term = segment.base_term
        elif segment.base_index > self.last_index:
            raise errors.CorruptLogError(
                str(segment.path), 0, "an earlier segment is missing"
            )
        self._segments.append(
            _SegmentFile(number, segment.base_index, segment.path)
        )
        for record in segment.records:
            position = record.first_index - self.base_index - 1
            if not 0 <= position <= len(self.entries):
                raise errors.CorruptLogError(
                    str(segment.path), record.offset, "record out of order"
                )
            del self.entries[position:]
            self.entries.extend(record.entries)

    def _reopen_segment(self, segment: records.Segment) -> None:
        """Removes a truncated tail and writes the last record again.

        After a failed sync the page cache may contain a record that is not on
        the disk. Writing it again either stores it or reports the failure.
        """
        descriptor = os.open(segment.path, os.O_RDWR)
        os.ftruncate(descriptor, segment.end)
        if segment.records:
            offset = segment.records[-1].offset
            tail = os.pread(descriptor, segment.end - offset, offset)
            self.disk.write(descriptor, tail, offset)
        self.disk.sync(descriptor)
        self._descriptor = descriptor
        self._end_offset = segment.end

    def _open_mark(self, folder: pathlib.Path) -> tuple[int, int]:
        self._mark_descriptor = os.open(
            folder / _SYNCED_MARK_FILE, os.O_RDWR | os.O_CREAT, 0o600
        )
        data = os.pread(self._mark_descriptor, _SYNCED_MARK_BYTES, 0)
        if len(data) != _SYNCED_MARK_BYTES:
            return 0, 0
        body = data[: _SYNCED_MARK.size]
        crc = int.from_bytes(data[_SYNCED_MARK.size :], "little")
        if zlib.crc32(body) != crc:
            return 0, 0
        return _SYNCED_MARK.unpack(body)

    def close(self) -> None:
        """Closes the files; `run` must have ended."""
        for descriptor in (self._descriptor, self._mark_descriptor):
            if descriptor >= 0:
                os.close(descriptor)
        self._descriptor = self._mark_descriptor = -1

    # --- Appending ------------------------------------------------------------

    @property
    def _is_reset_due(self) -> bool:
        return self._resets_written < self._resets_requested

    @property
    def _is_write_due(self) -> bool:
        """Whether there is something to write, or a failed write to repair."""
        is_synced = self.synced_index >= self.last_index
        return not is_synced or self._is_reset_due or self.error is not None

    async def append(self, entries: Sequence[records.Entry]) -> int:
        """Appends entries in memory and returns the last index."""
        self.entries.extend(entries)
        last_index = self.last_index
        await self._appended.notify()
        return last_index

    async def replace_from(
        self, index: int, entries: Sequence[records.Entry]
    ) -> None:
        """Replaces every entry from an index on."""
        del self.entries[index - self.base_index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)
        self._writing_index = min(self._writing_index, index - 1)
        await self.append(entries)

    def restart_after(self, index: int, term: int) -> None:
        """Empties the log, before `run` has started."""
        self.entries.clear()
        self.base_index = index
        self.base_term = term
        self.synced_index = index
        self._writing_index = index
        self._resets_requested += 1

    async def reset(self, index: int, term: int) -> None:
        """Empties the log, which continues after a snapshot's last index."""
        self.restart_after(index, term)
        await self._appended.notify()

    async def create(self) -> None:
        """Empties the log and creates its first segment.

        From then on, a missing log is damage.

        Raises:
          errors.StorageError: The log could not be written.
        """
        is_created = self._descriptor >= 0 and not self._is_reset_due
        if self.folder is None or (is_created and not self.last_index):
            return
        await self.reset(0, 0)
        while self._is_reset_due:
            if self.error is not None:
                raise self.error
            await self._synced.wait()

    async def wait_synced(self, index: int, timeout_ms: float | None) -> None:
        """Waits until an index is on the disk, a write fails or a timeout."""
        while self.synced_index < index and self.error is None:
            if not await self._synced.wait(timeout_ms):
                return

    async def wait_synced_change(self, index: int) -> None:
        """Waits until the last index on the disk differs from an index."""
        while self.synced_index == index:
            await self._synced.wait()

    def start_segment(self) -> None:
        """Starts a new segment with the next record."""
        self._new_segment_due = True

    def compact(self, index: int, retained: int) -> None:
        """Discards entries that a snapshot contains.

        `delete_obsolete` then deletes the segments without other entries.

        Args:
          index: Last index of the snapshot.
          retained: Number of entries up to `index` that remain in memory for
            lagging followers.
        """
        while len(self._segments) > 1 and self._segments[1].base_index <= index:
            self._segments.pop(0)
        written = min(index - retained, self.synced_index)
        new_base = max(written, self.base_index)
        self.base_term = self.term_at(new_base) or 0
        del self.entries[: new_base - self.base_index]
        self.base_index = new_base

    def delete_obsolete(self) -> None:
        """Deletes the segments before the first one that is needed.

        Blocks, so callers run it in a thread.

        Raises:
          OSError: The disk failed.
        """
        if self.folder is None or not self._segments:
            return
        first = self._segments[0].number
        for path in self.folder.glob(_SEGMENT_PATTERN):
            if _number_of(path) < first:
                path.unlink(missing_ok=True)

    # --- Writing --------------------------------------------------------------

    async def run(self) -> None:
        """Writes and syncs appended entries until cancelled."""
        while True:
            if not self._is_write_due:
                await self._appended.wait()
                continue
            await self._write_batch()
            await self._synced.notify()
            # Yields, so that a cancellation is delivered under constant load.
            pause_ms = 0 if self.error is None else _RETRY_PERIOD_MS
            await curio.sleep(clock_lib.seconds(pause_ms))

    async def _write_batch(self) -> None:
        first = self.synced_index + 1
        position = first - self.base_index - 1
        batch = _Batch(
            first,
            self.term_at(first - 1) or 0,
            self.entries[position : position + _MAX_RECORD_ENTRIES],
            self._new_segment_due or self._is_reset_due or self._descriptor < 0,
            self._is_reset_due,
        )
        resets = self._resets_requested
        self._new_segment_due = False
        self._writing_index = first + len(batch.entries) - 1
        if self.folder is None:
            self._resets_written = resets
            self.synced_index = self._writing_index
            return
        started_ms = self._clock_ms()
        try:
            async with curio.disable_cancellation():
                await curio.run_in_thread(self._write, batch)
        except OSError as error:
            self._new_segment_due = self._new_segment_due or batch.new_segment
            if not batch.reset:
                self._resets_written = resets
            self.error = errors.StorageError(f"{self.folder}: {error}")
            self.refused.record_refusal("log", error)
            return
        self.error = None
        self.refused.record_success("log")
        self.last_sync_ms = self._clock_ms() - started_ms
        self.syncs += 1
        self._resets_written = resets
        if not self._is_reset_due:
            self.synced_index = self._writing_index

    def _write(self, batch: _Batch) -> None:
        """Writes a batch; sets its flags for what need not be repeated."""
        if self._must_repair:
            self._repair_end()
        if batch.new_segment:
            self._create_segment(
                batch.first_index - 1, batch.base_term, batch.reset
            )
            batch.new_segment = False
        if batch.reset:
            del self._segments[:-1]
            self._must_delete = True
            batch.reset = False
        if batch.entries:
            data = records.encode_record(batch.first_index, batch.entries)
            self._must_repair = True
            self.disk.write(self._descriptor, data, self._end_offset)
            self.disk.sync(self._descriptor)
            self._must_repair = False
            self._end_offset += len(data)
        self._write_mark()
        if self._must_delete:
            self.delete_obsolete()
            self._must_delete = False

    def _repair_end(self) -> None:
        """Removes a record that was not written or synced completely.

        Only the last segment may end with a truncated record, and a segment
        may start before the record is written again.
        """
        os.ftruncate(self._descriptor, self._end_offset)
        block_offset = self._end_offset - self._end_offset % _DISK_BLOCK_BYTES
        block = os.pread(
            self._descriptor, self._end_offset - block_offset, block_offset
        )
        self.disk.write(self._descriptor, block, block_offset)
        self.disk.sync(self._descriptor)
        self._must_repair = False

    def _create_segment(
        self, base_index: int, base_term: int, is_reset: bool
    ) -> None:
        assert self.folder is not None
        number = self._segments[-1].number + 1 if self._segments else 1
        path = _path_of(self.folder, number)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        header = records.encode_segment_header(base_index, base_term, is_reset)
        try:
            self.disk.write(descriptor, header, 0)
            self.disk.sync(descriptor)
            self.disk.sync_folder(self.folder)
        except OSError:
            os.close(descriptor)
            raise
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = descriptor
        self._end_offset = len(header)
        self._segments.append(_SegmentFile(number, base_index, path))

    def _write_mark(self) -> None:
        body = _SYNCED_MARK.pack(self._segments[-1].number, self._end_offset)
        data = body + zlib.crc32(body).to_bytes(4, "little")
        self.disk.write(self._mark_descriptor, data, 0)


def _path_of(folder: pathlib.Path, number: int) -> pathlib.Path:
    return folder / f"log-{number:012d}.segment"


def _number_of(path: pathlib.Path) -> int:
    return int(path.stem.partition("-")[2])


def delete(folder: pathlib.Path) -> None:
    """Deletes the log in a folder that belongs to no cluster."""
    for path in folder.glob(_SEGMENT_PATTERN):
        path.unlink()
    (folder / _SYNCED_MARK_FILE).unlink(missing_ok=True)
