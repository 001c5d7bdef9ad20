"""Identity of the data folder, and the persisted term and vote.

Each folder has a random identifier and joins one cluster, permanently. After
a lost disk the folder has a new identifier, which no cluster knows. So a
replica with a new folder can neither vote under its old name nor count towards
a quorum.
"""

import pathlib
import secrets
from typing import TypeVar

import msgspec

from galenahook import errors
from galenahook import messages
from galenahook.replicas import storage

_MessageT = TypeVar("_MessageT")

_IDENTITY_FILE = "identity.json"
_BALLOT_FILE = "ballot.json"
_IDENTITY_BYTES = 8


class Identity(messages.Message, frozen=True, kw_only=True):
    """Identity of a data folder.

    Attributes:
      name: Name of the replica that created the folder.
      folder: Random identifier of the folder.
      cluster: Cluster that it joined, or an empty string.
    """

    name: str
    folder: str
    cluster: str = ""


class Ballot(messages.Message, frozen=True, kw_only=True):
    """Term and vote that must survive a restart.

    Attributes:
      term: Highest term that it has seen.
      voted_for: Candidate that received its vote in that term, or "".
    """

    term: int = 0
    voted_for: str = ""


def new_identifier() -> str:
    """Returns a random identifier of a folder or a cluster."""
    return secrets.token_hex(_IDENTITY_BYTES)


class Folder:
    """Identity and ballot files of a data folder.

    Attributes:
      path: The folder, or None if everything is in memory.
      identity: Identity of the folder.
      ballot: Ballot as last written.
    """

    def __init__(self, path: pathlib.Path | None, disk: storage.Disk) -> None:
        self.path = path
        self.disk = disk
        self.identity = Identity(name="", folder=new_identifier())
        self.ballot = Ballot()

    def open(self, name: str) -> None:
        """Reads the files, or creates the identity of a new folder.

        Raises:
          errors.StorageError: The folder can't be used, or belongs to another
            replica.
        """
        if self.path is None:
            self.identity = msgspec.structs.replace(self.identity, name=name)
            return
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            self._read(self.path, name)
        except OSError as error:
            raise errors.StorageError(f"{self.path}: {error}") from error

    def _read(self, path: pathlib.Path, name: str) -> None:
        identity_path = path / _IDENTITY_FILE
        if not identity_path.exists():
            if any(path.glob("log-*")) or (path / _BALLOT_FILE).exists():
                raise errors.StorageError(
                    f"{identity_path}: missing, but the folder is not empty"
                )
            self._write_identity(Identity(name=name, folder=new_identifier()))
            return
        self.identity = _decode(identity_path, Identity)
        if self.identity.name != name:
            raise errors.StorageError(
                f"{identity_path}: the folder belongs to replica"
                f" {self.identity.name!r}, not {name!r}"
            )
        ballot_path = path / _BALLOT_FILE
        if ballot_path.exists():
            self.ballot = _decode(ballot_path, Ballot)
        elif self.identity.cluster:
            raise errors.StorageError(f"{ballot_path}: missing")

    def join(self, cluster: str) -> None:
        """Binds the folder to a cluster permanently.

        Raises:
          OSError: The disk is full or failed.
        """
        if not self.identity.cluster:
            self.save_ballot(self.ballot)
            self._write_identity(
                msgspec.structs.replace(self.identity, cluster=cluster)
            )

    def _write_identity(self, identity: Identity) -> None:
        if self.path is not None:
            data = storage.add_checksum(messages.encode(identity))
            self.disk.replace(self.path / _IDENTITY_FILE, data)
        self.identity = identity

    def save_ballot(self, ballot: Ballot) -> None:
        """Writes and syncs the ballot.

        Raises:
          OSError: The disk is full or failed.
        """
        if self.path is not None:
            data = storage.add_checksum(messages.encode(ballot))
            self.disk.replace(self.path / _BALLOT_FILE, data)
        self.ballot = ballot


def _decode(path: pathlib.Path, message_type: type[_MessageT]) -> _MessageT:
    body = storage.read_checked(path)
    try:
        return messages.decode(body, message_type)
    except errors.InvalidInputError as error:
        raise errors.CorruptLogError(str(path), 0, str(error)) from error
