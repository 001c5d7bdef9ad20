"""What a leader knows of the other members, and its connections to them."""

import dataclasses
import os
from typing import TYPE_CHECKING
from typing import TypeVar

from galenahook import errors
from galenahook import web
from galenahook.replicas import membership
from galenahook.replicas import notify
from galenahook.replicas import transport

if TYPE_CHECKING:
    from galenahook.replicas import core as core_lib

_ReplyT = TypeVar("_ReplyT")

# An answer takes up to one period when the follower waits for its disk.
_SILENCE_PERIODS = 2


@dataclasses.dataclass(slots=True)
class Sending:
    """A snapshot on its way to a peer.

    Attributes:
      index: Last index that it holds.
      index_term: Term of that index.
      descriptor: The open file.
      size: Its size in bytes.
      offset: Byte offset to send next.
    """

    index: int
    index_term: int
    descriptor: int
    size: int
    offset: int = 0


@dataclasses.dataclass(slots=True)
class Peer:
    """What a leader knows of another member.

    Attributes:
      member: The member.
      next_index: Next index to send.
      synced_index: Last index known to agree and to be on its disk.
      acknowledged_sent_ms: When the last request that it answered was sent.
      installing: Whether it is loading a snapshot.
      sending: Snapshot on its way to it, or None.
      connection: Kept connection, or None.
      error: Why it does not follow, or an empty string.
      wake: Notified when there is something to send.
    """

    member: membership.Member
    next_index: int
    synced_index: int = 0
    acknowledged_sent_ms: int | None = None
    installing: bool = False
    sending: Sending | None = None
    connection: web.ClientConnection | None = None
    error: str = ""
    wake: notify.Signal = dataclasses.field(default_factory=notify.Signal)

    async def drop_connection(self) -> None:
        """Closes the connection; the next exchange opens another."""
        connection, self.connection = self.connection, None
        if connection is not None:
            await connection.close()

    def close_snapshot(self) -> None:
        """Ends the transfer of a snapshot."""
        sending, self.sending = self.sending, None
        if sending is not None:
            os.close(sending.descriptor)


def silence_timeout_ms(core: "core_lib.Core") -> int:
    """Time without an answer after which a connection counts as silent."""
    return core.timing.heartbeat_period_ms * _SILENCE_PERIODS


async def exchange(
    core: "core_lib.Core",
    peer: Peer,
    request: web.Request,
    reply_type: type[_ReplyT],
) -> _ReplyT:
    """Makes one exchange on the peer's kept connection.

    Raises:
      errors.ExchangeError: No good answer came in time.
    """
    timeout_ms = silence_timeout_ms(core)
    if peer.connection is None:
        address = core.address_of(peer.member)
        peer.connection = await web.connect(address, timeout_ms, core.clock)
    connection = peer.connection
    reply = await transport.exchange(
        connection, request, reply_type, timeout_ms
    )
    if not connection.reusable:
        await peer.drop_connection()
    folder = getattr(reply, "folder", "")
    if folder != peer.member.folder:
        raise errors.ExchangeError("answered for another data folder", True)
    return reply
