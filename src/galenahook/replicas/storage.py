"""Files of the data folder, written so that they survive a power loss."""

import os
import pathlib
import zlib

from galenahook import errors


class Disk:
    """Writes and syncs files; tests replace it to make the disk fail.

    The methods block. Callers run them in a thread.
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
        """Replaces a whole file; after a crash it is the old or the new one.

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


def seal(body: bytes) -> bytes:
    """Returns the content of a small file with its CRC-32."""
    return body + b"\n%08x\n" % zlib.crc32(body)


def read_sealed(path: pathlib.Path) -> bytes:
    """Reads a file that `seal` made and returns its body.

    Raises:
      errors.CorruptLogError: The file is damaged.
      OSError: The file can't be read.
    """
    body, _, tail = path.read_bytes().rstrip(b"\n").rpartition(b"\n")
    if tail != b"%08x" % zlib.crc32(body):
        raise errors.CorruptLogError(str(path), 0, "CRC-32 differs")
    return body
