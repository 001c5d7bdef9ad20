"""The replicated log: entries in memory, synced to segments in a folder.

A single task writes. Entries appended during a sync go into the next record,
so many commands share one sync. A conflicting suffix is not removed from the
file: the record that replaces it states the first index that it replaces.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import os
import pathlib
import struct
import zlib

import curio

from galenahook import errors
from galenahook.replicas import notify
from galenahook.replicas import records
from galenahook.replicas import storage

_MAX_RECORD_ENTRIES = 4_096
_SEGMENT_PATTERN = "log-*.segment"
_SYNCED_MARK_FILE = "synced"
# Segment number and offset of the end of its synced data in bytes, followed by
# a CRC-32.
_SYNCED_MARK = struct.Struct("<QQ")
_SYNCED_MARK_BYTES = _SYNCED_MARK.size + 4


@dataclasses.dataclass(slots=True, frozen=True)
class _SegmentFile:
    number: int
    base_index: int
    path: pathlib.Path


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
      error: Why the log can no longer be written, or None.
    """

    def __init__(
        self,
        folder: pathlib.Path | None,
        disk: storage.Disk,
        clock_ms: Callable[[], int],
    ) -> None:
        self.folder = folder
        self.disk = disk
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
        self._reset_due = False
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
        numbers = [_number_of(path) for path in paths]
        if number and number not in numbers:
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
        self._reset_due = True

    async def reset(self, index: int, term: int) -> None:
        """Empties the log, which continues after a snapshot's last index."""
        self.restart_after(index, term)
        await self._appended.notify()

    async def create(self) -> None:
        """Creates the first segment of an empty log.

        From then on, a missing log is damage.

        Raises:
          errors.StorageError: The log could not be written.
        """
        if self.folder is None or self._descriptor >= 0:
            return
        await self.reset(0, 0)
        while self._descriptor < 0 and self.error is None:
            await self._synced.wait()
        if self.error is not None:
            raise self.error

    async def wait_synced(self, index: int, timeout_ms: float | None) -> None:
        """Waits until an index is on the disk, a failure or the timeout."""
        while self.synced_index < index and self.error is None:
            if not await self._synced.wait(timeout_ms):
                return

    def start_segment(self) -> None:
        """Starts a new segment with the next record."""
        self._new_segment_due = True

    def compact(self, index: int, retained: int) -> list[pathlib.Path]:
        """Discards entries that a snapshot contains.

        Args:
          index: Last index of the snapshot.
          retained: Number of entries up to `index` that remain in memory for
            lagging followers.

        Returns:
          Segments that are no longer needed and may be deleted.
        """
        obsolete = []
        while len(self._segments) > 1 and self._segments[1].base_index <= index:
            obsolete.append(self._segments.pop(0).path)
        written = min(index - retained, self.synced_index)
        new_base = max(written, self.base_index)
        self.base_term = self.term_at(new_base) or 0
        del self.entries[: new_base - self.base_index]
        self.base_index = new_base
        return obsolete

    # --- Writing --------------------------------------------------------------

    async def run(self) -> None:
        """Writes and syncs appended entries until cancelled or failed."""
        while self.error is None:
            if self.synced_index >= self.last_index and not self._reset_due:
                await self._appended.wait()
                continue
            await self._write_batch()
            await self._synced.notify()
            # Yields, so that a cancellation is delivered under constant load.
            await curio.sleep(0)

    async def _write_batch(self) -> None:
        first = self.synced_index + 1
        position = first - self.base_index - 1
        batch = self.entries[position : position + _MAX_RECORD_ENTRIES]
        reset, self._reset_due = self._reset_due, False
        new_segment, self._new_segment_due = (
            self._new_segment_due or self._descriptor < 0,
            False,
        )
        self._writing_index = first + len(batch) - 1
        if self.folder is None:
            self.synced_index = self._writing_index
            return
        base_term = self.term_at(first - 1) or 0
        started_ms = self._clock_ms()
        try:
            async with curio.disable_cancellation():
                await curio.run_in_thread(
                    self._write,
                    first,
                    base_term,
                    batch,
                    new_segment or reset,
                    reset,
                )
        except OSError as error:
            self.error = errors.StorageError(f"{self.folder}: {error}")
            return
        self.last_sync_ms = self._clock_ms() - started_ms
        self.syncs += 1
        if not self._reset_due:
            self.synced_index = self._writing_index

    def _write(
        self,
        first_index: int,
        base_term: int,
        batch: Sequence[records.Entry],
        new_segment: bool,
        reset: bool,
    ) -> None:
        obsolete = self._segments[:] if reset else []
        if new_segment:
            self._create_segment(first_index - 1, base_term, reset)
        if reset:
            del self._segments[:-1]
        if batch:
            data = records.encode_record(first_index, batch)
            self.disk.write(self._descriptor, data, self._end_offset)
            self.disk.sync(self._descriptor)
            self._end_offset += len(data)
        self._write_mark()
        for file in obsolete:
            file.path.unlink(missing_ok=True)

    def _create_segment(
        self, base_index: int, base_term: int, is_reset: bool
    ) -> None:
        assert self.folder is not None
        number = self._segments[-1].number + 1 if self._segments else 1
        path = _path_of(self.folder, number)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        header = records.encode_segment_header(base_index, base_term, is_reset)
        self.disk.write(descriptor, header, 0)
        self.disk.sync(descriptor)
        self.disk.sync_folder(self.folder)
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = descriptor
        self._end_offset = len(header)
        self._segments.append(_SegmentFile(number, base_index, path))

    def _write_mark(self) -> None:
        body = _SYNCED_MARK.pack(self._segments[-1].number, self._end_offset)
        data = body + zlib.crc32(body).to_bytes(4, "little")
        os.pwrite(self._mark_descriptor, data, 0)


def _path_of(folder: pathlib.Path, number: int) -> pathlib.Path:
    return folder / f"log-{number:012d}.segment"


def _number_of(path: pathlib.Path) -> int:
    return int(path.stem.partition("-")[2])


def delete(folder: pathlib.Path) -> None:
    """Deletes the log in a folder that belongs to no cluster."""
    for path in folder.glob(_SEGMENT_PATTERN):
        path.unlink()
    (folder / _SYNCED_MARK_FILE).unlink(missing_ok=True)
