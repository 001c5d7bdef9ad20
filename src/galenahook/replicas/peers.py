"""A leader's replication state of the other members, and its connections."""

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

# A reply takes up to one heartbeat period if the follower waits for its disk.
_REPLY_TIMEOUT_HEARTBEATS = 2


@dataclasses.dataclass(slots=True)
class SnapshotTransfer:
    """Transfer of a snapshot to a peer.

    Attributes:
      index: Last index that the snapshot contains.
      index_term: Term of that index.
      descriptor: The open file.
      size: Size of the file in bytes.
      offset: Byte offset to send next.
    """

    index: int
    index_term: int
    descriptor: int
    size: int
    offset: int = 0


@dataclasses.dataclass(slots=True)
class Peer:
    """Replication state of another member, as the leader knows it.

    Attributes:
      member: The member.
      next_index: Next index to send.
      synced_index: Last index known to match and to be on its disk.
      acknowledged_sent_ms: When the last request that it acknowledged was sent.
      added_ms: When the leader began to replicate to it.
      installing: Whether it is installing a snapshot.
      snapshot_transfer: Transfer of a snapshot to it, or None.
      connection: Persistent connection, or None.
      error: Error of the last request, or an empty string.
      wake: Notified when there are entries to send.
    """

    member: membership.Member
    next_index: int
    synced_index: int = 0
    acknowledged_sent_ms: int | None = None
    added_ms: int = 0
    installing: bool = False
    snapshot_transfer: SnapshotTransfer | None = None
    connection: web.ClientConnection | None = None
    error: str = ""
    wake: notify.Signal = dataclasses.field(default_factory=notify.Signal)

    def silent_ms(self, now_ms: int) -> int:
        """Returns the time since the last request that it acknowledged."""
        if self.acknowledged_sent_ms is None:
            return now_ms - self.added_ms
        return now_ms - self.acknowledged_sent_ms

    async def drop_connection(self) -> None:
        """Closes the connection; the next request opens another."""
        connection, self.connection = self.connection, None
        if connection is not None:
            await connection.close()

    def end_snapshot_transfer(self) -> None:
        """Ends the transfer of a snapshot."""
        transfer, self.snapshot_transfer = self.snapshot_transfer, None
        if transfer is not None:
            os.close(transfer.descriptor)


def reply_timeout_ms(core: "core_lib.Core") -> int:
    """Returns the time without a reply after which a connection is dropped."""
    return core.timing.heartbeat_period_ms * _REPLY_TIMEOUT_HEARTBEATS


async def exchange(
    core: "core_lib.Core",
    peer: Peer,
    request: web.Request,
    reply_type: type[_ReplyT],
) -> _ReplyT:
    """Sends a request on the peer's persistent connection.

    Raises:
      errors.ExchangeError: No valid reply was received in time.
    """
    timeout_ms = reply_timeout_ms(core)
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
        raise errors.ExchangeError("reply is from another data folder", True)
    return reply
