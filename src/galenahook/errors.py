"""Every exception of galenahook, under one root.

Expected failures travel as `expression.Result` values. An exception means
that the operation can't go on at all.
"""

from galenahook import findings as findings_lib


class GalenahookError(Exception):
    """Root of every exception that galenahook raises."""


class InvalidInputError(GalenahookError):
    """Input was refused; nothing of it was applied.

    Attributes:
      findings: What is wrong, each with its place.
    """

    def __init__(self, findings: list[findings_lib.Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class ProtocolError(GalenahookError):
    """A peer broke its protocol; the connection must be closed."""


class MessageTooLargeError(ProtocolError):
    """A message exceeded the size limit of its listener."""


class ExchangeError(GalenahookError):
    """An HTTP exchange with a peer failed.

    Attributes:
      sent: Whether any byte of the request may have reached the peer. When
        false, the peer certainly has not run the request.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ConnectionLimitError(ExchangeError):
    """No connection may be opened to a peer that has all it accepts."""


class StorageError(GalenahookError):
    """The data folder can't be read or written."""


class CorruptLogError(StorageError):
    """A record before the log's tail is damaged.

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
    """Too many commands wait for their commit; this one was not taken."""


class NotLeaderError(GalenahookError):
    """The replica asked is not the leader.

    Attributes:
      leader: Name of the leader if known, else an empty string.
    """

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; leader is {leader or 'unknown'}")
        self.leader = leader
