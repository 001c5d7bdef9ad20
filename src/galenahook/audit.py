"""The audit trail: one synced record for each accepted change.

Each replica stores the whole trail as JSON lines under its data folder, in
segments named by their first revision. A record is derived from the
replicated change record, so after a crash the trail is brought up to date
from the replicated state alone: only missing records are written. An
incomplete last line is truncated.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import os
import pathlib
import threading

import curio
import msgspec

from galenahook import clock as clock_lib
from galenahook import configuration as configuration_lib
from galenahook import configuration_items as items_lib
from galenahook import errors
from galenahook import logs
from galenahook import messages

SEGMENT_RECORDS = 4_096
MAX_RECORDS_READ = 1_000

_POLL_PERIOD_MS = 200
_RETRY_DELAY_MS = 5_000

_FOLDER_NAME = "audit"
_SUFFIX = ".jsonl"
_REVISION_DIGITS = 12


class AuditRecord(messages.Message, frozen=True, kw_only=True, tag="change"):
    """One accepted change.

    Attributes:
      revision: Revision that the change created.
      at_ms: Wall time at which the leader received the change.
      at: The same time as ISO 8601 in UTC.
      operator: Operator who made the change.
      number: The operator's number of the change.
      change: Kind of change, such as `put-job`.
      digest: SHA-256 of the change's whole content.
      items: Each item's value before and after.
      items_omitted: Number of further items that it changed.
    """

    revision: int
    at_ms: int
    at: str
    operator: str
    number: int
    change: str
    digest: str
    items: tuple[items_lib.ItemChange, ...]
    items_omitted: int = 0


class AuditGap(messages.Message, frozen=True, kw_only=True, tag="gap"):
    """Revisions whose change records were discarded before they were written.

    This happens when the replica is down for long.

    Attributes:
      revision: First revision missing.
      last_revision: Last revision missing.
    """

    revision: int
    last_revision: int


AuditLine = AuditRecord | AuditGap

_LINE_DECODER = msgspec.json.Decoder(AuditLine)


class AuditTrail:
    """The trail of one replica.

    Attributes:
      last_revision: Last revision whose record is synced.
    """

    def __init__(self, data_folder: str) -> None:
        """Opens the trail and truncates an incomplete last line.

        Raises:
          errors.StorageError: The folder can't be read or written.
        """
        self.folder = pathlib.Path(data_folder) / _FOLDER_NAME
        self.last_revision = 0
        self._lock = curio.Lock()
        self._append_lock = threading.Lock()
        self._segment_records = 0
        try:
            self.folder.mkdir(exist_ok=True)
            _sync_folder(self.folder.parent)
            self._recover()
        except OSError as error:
            raise errors.StorageError(f"audit trail: {error}") from error

    def _recover(self) -> None:
        segments = self._segments()
        if not segments:
            return
        path = segments[-1]
        data = path.read_bytes()
        complete = data[: data.rfind(b"\n") + 1]
        if len(complete) != len(data):
            with path.open("r+b") as file:
                file.truncate(len(complete))
                os.fsync(file.fileno())
        lines = complete.splitlines()
        if lines:
            self.last_revision = last_revision_of(_decode(path, lines[-1]))
        else:
            self.last_revision = _first_revision_of(path) - 1
        self._segment_records = len(lines)

    def _segments(self) -> list[pathlib.Path]:
        return sorted(self.folder.glob(f"*{_SUFFIX}"))

    async def write_missing(
        self, configuration: configuration_lib.ConfigurationState
    ) -> None:
        """Writes and syncs the record of every change not yet in the trail.

        Raises:
          errors.StorageError: Not written; a later call writes the records.
        """
        async with self._lock:
            lines = list(self._missing_lines(configuration))
            if lines:
                await curio.run_in_thread(self._append, lines)

    async def run(
        self,
        configuration_of: Callable[[], configuration_lib.ConfigurationState],
    ) -> None:
        """Keeps the trail up to date until cancelled.

        A failed write is logged and retried after a delay.
        """
        while True:
            try:
                await self.write_missing(configuration_of())
            except errors.StorageError as error:
                logs.error("audit:write-failed", reason=str(error))
                await curio.sleep(clock_lib.seconds(_RETRY_DELAY_MS))
            await curio.sleep(clock_lib.seconds(_POLL_PERIOD_MS))

    def _missing_lines(
        self, configuration: configuration_lib.ConfigurationState
    ) -> Iterator[AuditLine]:
        missing = list(configuration.changes_after(self.last_revision))
        missing.reverse()
        first = configuration.current.revision + 1
        if missing:
            first = missing[0].result.revision
        if first > self.last_revision + 1:
            yield AuditGap(
                revision=self.last_revision + 1, last_revision=first - 1
            )
        for change in missing:
            yield to_audit_record(change)

    def _append(self, lines: Sequence[AuditLine]) -> None:
        # The thread of a cancelled task still writes to the end. The next
        # writer waits for it and skips the lines that it wrote.
        with self._append_lock:
            remaining = [
                line for line in lines if line.revision > self.last_revision
            ]
            try:
                while remaining:
                    remaining = remaining[self._append_to_segment(remaining) :]
            except OSError as error:
                raise errors.StorageError(f"audit trail: {error}") from error

    def _append_to_segment(self, lines: Sequence[AuditLine]) -> int:
        """Writes and syncs the lines that fit into one segment.

        Returns their number.
        """
        segments = self._segments()
        if not segments or self._segment_records >= SEGMENT_RECORDS:
            path = self._new_segment(lines[0].revision)
        else:
            path = segments[-1]
        written = lines[: SEGMENT_RECORDS - self._segment_records]
        data = b"".join(messages.encode(line) + b"\n" for line in written)
        _append_synced(path, data)
        self._segment_records += len(written)
        self.last_revision = last_revision_of(written[-1])
        return len(written)

    def _new_segment(self, revision: int) -> pathlib.Path:
        name = f"{revision:0{_REVISION_DIGITS}}{_SUFFIX}"
        path = self.folder / name
        path.touch()
        _sync_folder(self.folder)
        self._segment_records = 0
        return path

    async def read(self, first: int, last: int) -> list[AuditLine]:
        """Returns the first `MAX_RECORDS_READ` lines of a range of revisions.

        Raises:
          errors.StorageError: The trail can't be read.
        """
        return await curio.run_in_thread(self._read, first, last)

    def _read(self, first: int, last: int) -> list[AuditLine]:
        lines: list[AuditLine] = []
        try:
            for path in self._segments_from(first):
                for line in _read_segment(path):
                    if line.revision > last or len(lines) >= MAX_RECORDS_READ:
                        return lines
                    if last_revision_of(line) >= first:
                        lines.append(line)
        except OSError as error:
            raise errors.StorageError(f"audit trail: {error}") from error
        return lines

    def _segments_from(self, revision: int) -> list[pathlib.Path]:
        segments = self._segments()
        earlier = [p for p in segments if _first_revision_of(p) <= revision]
        return segments[max(0, len(earlier) - 1) :]


def to_audit_record(change: configuration_lib.ChangeRecord) -> AuditRecord:
    """Derives the audit record of an accepted change."""
    return AuditRecord(
        revision=change.result.revision,
        at_ms=change.at_ms,
        at=clock_lib.iso_from_wall_ms(change.at_ms),
        operator=change.operator,
        number=change.number,
        change=change.kind,
        digest=change.digest,
        items=change.items,
        items_omitted=change.items_omitted,
    )


def last_revision_of(line: AuditLine) -> int:
    """Returns the last revision that a line of the trail covers."""
    match line:
        case AuditGap(last_revision=last):
            return last
        case AuditRecord(revision=revision):
            return revision


def _first_revision_of(path: pathlib.Path) -> int:
    return int(path.name.removesuffix(_SUFFIX))


def _read_segment(path: pathlib.Path) -> Iterator[AuditLine]:
    with path.open("rb") as file:
        for line in file:
            # An incomplete line is still being written, so it is not synced.
            if line.endswith(b"\n"):
                yield _decode(path, line)


def _decode(path: pathlib.Path, line: bytes) -> AuditLine:
    try:
        return _LINE_DECODER.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.StorageError(f"{path}: damaged line: {error}") from error


def _append_synced(path: pathlib.Path, data: bytes) -> None:
    """Appends and syncs lines; on failure restores the file's old size."""
    with path.open("ab", buffering=0) as file:
        size = file.tell()
        try:
            view = memoryview(data)
            while view:
                view = view[file.write(view) :]
            os.fsync(file.fileno())
        except OSError:
            file.truncate(size)
            raise


def _sync_folder(folder: pathlib.Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
