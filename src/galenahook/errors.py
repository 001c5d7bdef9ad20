"""Every exception of galenahook, under one base class.

Expected failures are returned as `expression.Result` values. An exception
means that the operation can't continue.
"""

from galenahook import findings as findings_lib


class GalenahookError(Exception):
    """Base class of every exception that galenahook raises."""


class InvalidInputError(GalenahookError):
    """Input was rejected as a whole; no part of it was applied.

    Attributes:
      findings: Errors of the input with their locations.
    """

    def __init__(self, findings: list[findings_lib.Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class ProtocolError(GalenahookError):
    """A peer violated the protocol; the connection must be closed."""


class MessageTooLargeError(ProtocolError):
    """A message exceeded the size limit of its listener."""


class ExchangeError(GalenahookError):
    """An HTTP exchange with a peer failed.

    Attributes:
      sent: Whether any byte of the request may have reached the peer. If
        false, the peer has certainly not processed the request.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ConnectionLimitError(ExchangeError):
    """The limit of open connections to a peer has been reached."""


class StorageError(GalenahookError):
    """The data folder can't be read or written."""


class CorruptLogError(StorageError):
    """A record before the end of the log is damaged.

    Attributes:
      path: The damaged file.
      offset: Byte offset of the damaged record.
    """

    def __init__(self, path: str, offset: int, reason: str) -> None:
        super().__init__(f"{path}: byte {offset}: {reason}")
        self.path = path
        self.offset = offset


class NoQuorumError(GalenahookError):
    """No leader with a quorum could be reached in time."""


class OverloadedError(NoQuorumError):
    """Too many commands are waiting to be committed; this one was rejected."""


class NotLeaderError(GalenahookError):
    """The replica that received the request is not the leader.

    Attributes:
      leader: Name of the leader if known, else an empty string.
    """

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; leader is {leader or 'unknown'}")
        self.leader = leader
