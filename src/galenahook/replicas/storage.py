"""Durable writes to files of the data folder."""

import os
import pathlib
import zlib

from galenahook import errors


class Disk:
    """Writes and syncs files; tests replace it to simulate disk failures.

    The methods block, so callers run them in a thread.
    """

    __slots__ = ()

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        """Writes all of the data at an offset.

        Raises:
          OSError: The disk is full or failed.
        """
        view = memoryview(data)
        while view:
            count = os.pwrite(descriptor, view, offset)
            view = view[count:]
            offset += count

    def sync(self, descriptor: int) -> None:
        """Returns once the file's data is on the disk.

        Raises:
          OSError: The disk failed.
        """
        os.fdatasync(descriptor)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Returns once the folder's entries are on the disk.

        Raises:
          OSError: The disk failed.
        """
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Replaces a file atomically, also with respect to crashes.

        Raises:
          OSError: The disk is full or failed.
        """
        temporary = path.with_name(path.name + ".tmp")
        descriptor = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        try:
            self.write(descriptor, data, 0)
            self.sync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, path)
        self.sync_folder(path.parent)


def add_checksum(body: bytes) -> bytes:
    """Returns a file's content: the body and its CRC-32."""
    return body + b"\n%08x\n" % zlib.crc32(body)


def read_checked(path: pathlib.Path) -> bytes:
    """Reads content made by `add_checksum` and returns the body.

    Raises:
      errors.CorruptLogError: The file is damaged.
      OSError: The file can't be read.
    """
    body, _, checksum = path.read_bytes().rstrip(b"\n").rpartition(b"\n")
    if checksum != b"%08x" % zlib.crc32(body):
        raise errors.CorruptLogError(str(path), 0, "CRC-32 does not match")
    return body
