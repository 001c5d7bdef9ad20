"""Format of the log's files: a header, then one record per synced batch.

A record is written only after the previous one was synced. So a crash can
truncate only the last record of the last segment; any other damage is
corruption.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import pathlib
import struct
import zlib

import msgspec

from galenahook import errors

_SEGMENT_MAGIC = b"GHS1"
_RECORD_MAGIC = b"GHR1"
_CRC = struct.Struct("<I")
# Magic, index before the segment, term of that index, 1 if the segments before
# it are obsolete; then a CRC-32.
_SEGMENT = struct.Struct("<4sQQI")
# Magic, index of the first entry, number of entries, length of the payload in
# bytes, CRC-32 of the payload; then a CRC-32 of these fields.
_RECORD = struct.Struct("<4sQIII")
# Term of one entry and length of its data in bytes.
_ENTRY = struct.Struct("<QI")

SEGMENT_HEADER_BYTES = _SEGMENT.size + _CRC.size
RECORD_HEADER_BYTES = _RECORD.size + _CRC.size


class Entry(msgspec.Struct, frozen=True, gc=False):
    """One entry of the log.

    Attributes:
      term: Term of the leader that added it.
      data: Encoded command.
    """

    term: int
    data: bytes


class Record(msgspec.Struct, frozen=True):
    """One batch of entries as read from a segment.

    Attributes:
      offset: Byte offset in the file.
      end: Byte offset after the record.
      first_index: Index of the first entry; existing entries from this index
        on are replaced.
      entries: Entries in order.
    """

    offset: int
    end: int
    first_index: int
    entries: tuple[Entry, ...]


class Segment(msgspec.Struct, frozen=True):
    """One file of the log as read from the disk.

    Attributes:
      path: Path of the file.
      base_index: Index before the first entry written to the file.
      base_term: Term of that index.
      is_reset: Whether the segments before it are obsolete.
      records: Records in order.
      end: Byte offset after the last complete record; a truncated record may
        follow.
    """

    path: pathlib.Path
    base_index: int
    base_term: int
    is_reset: bool
    records: tuple[Record, ...]
    end: int


def encode_segment_header(
    base_index: int, base_term: int, is_reset: bool
) -> bytes:
    """Encodes the header of a segment."""
    head = _SEGMENT.pack(_SEGMENT_MAGIC, base_index, base_term, is_reset)
    return head + _CRC.pack(zlib.crc32(head))


def encode_record(first_index: int, entries: Sequence[Entry]) -> bytes:
    """Encodes one batch of entries."""
    parts = []
    for entry in entries:
        parts.append(_ENTRY.pack(entry.term, len(entry.data)))
        parts.append(entry.data)
    payload = b"".join(parts)
    head = _RECORD.pack(
        _RECORD_MAGIC,
        first_index,
        len(entries),
        len(payload),
        zlib.crc32(payload),
    )
    return head + _CRC.pack(zlib.crc32(head)) + payload


def read_segment(
    path: pathlib.Path, is_last: bool, synced_end: int
) -> Segment | None:
    """Reads a segment.

    Args:
      path: Path of the file.
      is_last: Whether this is the last segment, whose end may be truncated.
      synced_end: Byte offset up to which the file is known to be synced.

    Returns:
      The segment, or None if a crash truncated its header.

    Raises:
      errors.CorruptLogError: The file is damaged in a way that a crash does not
        explain.
    """
    data = path.read_bytes()
    header = _decode_segment_header(data)
    if header is None:
        if is_last and len(data) <= SEGMENT_HEADER_BYTES and synced_end == 0:
            return None
        raise errors.CorruptLogError(str(path), 0, "segment header is damaged")
    records = []
    offset = SEGMENT_HEADER_BYTES
    while offset < len(data):
        record = _decode_record(data, offset)
        if record is None:
            break
        records.append(record)
        offset = record.end
    truncated = offset < len(data)
    if truncated and not (is_last and _is_truncated_tail(data, offset)):
        raise errors.CorruptLogError(str(path), offset, "record is damaged")
    if offset < synced_end:
        raise errors.CorruptLogError(
            str(path),
            offset,
            f"synced up to byte {synced_end}, but damaged or truncated",
        )
    return Segment(path, *header, tuple(records), offset)


def _decode_segment_header(data: bytes) -> tuple[int, int, bool] | None:
    if len(data) < SEGMENT_HEADER_BYTES:
        return None
    head = data[: _SEGMENT.size]
    (crc,) = _CRC.unpack_from(data, _SEGMENT.size)
    if zlib.crc32(head) != crc:
        return None
    magic, base_index, base_term, is_reset = _SEGMENT.unpack(head)
    if magic != _SEGMENT_MAGIC:
        return None
    return base_index, base_term, bool(is_reset)


def _has_record_header(data: bytes, offset: int) -> bool:
    head = data[offset : offset + _RECORD.size]
    if len(data) < offset + RECORD_HEADER_BYTES or head[:4] != _RECORD_MAGIC:
        return False
    (crc,) = _CRC.unpack_from(data, offset + _RECORD.size)
    return zlib.crc32(head) == crc


def _decode_record(data: bytes, offset: int) -> Record | None:
    if not _has_record_header(data, offset):
        return None
    _, first_index, count, length, crc = _RECORD.unpack_from(data, offset)
    start = offset + RECORD_HEADER_BYTES
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload) != crc:
        return None
    entries = tuple(_decode_entries(payload))
    if len(entries) != count:
        return None
    return Record(offset, start + length, first_index, entries)


def _decode_entries(payload: bytes) -> Iterator[Entry]:
    offset = 0
    while offset < len(payload):
        term, length = _ENTRY.unpack_from(payload, offset)
        offset += _ENTRY.size
        yield Entry(term, payload[offset : offset + length])
        offset += length


def _is_truncated_tail(data: bytes, offset: int) -> bool:
    """Returns whether no later record follows the damaged record."""
    if _has_record_header(data, offset):
        length = _RECORD.unpack_from(data, offset)[3]
        return len(data) <= offset + RECORD_HEADER_BYTES + length
    candidate = data.find(_RECORD_MAGIC, offset + 1)
    while candidate >= 0:
        if _has_record_header(data, candidate):
            return False
        candidate = data.find(_RECORD_MAGIC, candidate + 1)
    return True
