"""Transfer of a snapshot to a peer that needs entries no longer in the log.

The snapshot is sent in chunks over the connection for heartbeats. Each chunk
also serves as a heartbeat.
"""

import os
import pathlib

import curio

from galenahook import errors
from galenahook import logs
from galenahook.replicas import core as core_lib
from galenahook.replicas import follower
from galenahook.replicas import peers as peers_lib
from galenahook.replicas import snapshot as snapshot_lib
from galenahook.replicas import transport
from galenahook.replicas import wire

CHUNK_BYTES = 256 * 1024


async def send_chunk(core: core_lib.Core, peer: peers_lib.Peer) -> None:
    """Sends the next chunk of the newest snapshot.

    Raises:
      errors.ExchangeError: No valid reply was received in time.
      errors.StorageError: The snapshot can't be read.
    """
    transfer = peer.snapshot_transfer
    if transfer is None:
        transfer = peer.snapshot_transfer = await _open_snapshot(core)
    try:
        data = await curio.run_in_thread(
            os.pread, transfer.descriptor, CHUNK_BYTES, transfer.offset
        )
    except OSError as error:
        raise errors.StorageError(f"snapshot: {error}") from error
    request = wire.SnapshotChunk(
        cluster=core.cluster,
        leader=core.name,
        to_folder=peer.member.folder,
        term=core.term,
        index=transfer.index,
        index_term=transfer.index_term,
        offset=transfer.offset,
        data=data,
        last=transfer.offset + len(data) >= transfer.size,
    )
    message = transport.post(core.client, transport.SNAPSHOT_TARGET, request)
    sent_ms = core.now_ms()
    reply = await peers_lib.exchange(core, peer, message, wire.SnapshotReply)
    if reply.term > core.term:
        await core.observe_term(reply.term)
    if not core.leads(request.term) or reply.term != request.term:
        return
    peer.acknowledged_sent_ms = sent_ms
    transfer.offset = reply.offset
    if reply.complete:
        peer.end_snapshot_transfer()
        peer.next_index = request.index + 1


async def _open_snapshot(core: core_lib.Core) -> peers_lib.SnapshotTransfer:
    path = core.folder.path and snapshot_lib.newest(core.folder.path)
    if path is None:
        raise errors.StorageError("no snapshot to send")
    try:
        header = await curio.run_in_thread(snapshot_lib.read_header, path)
        descriptor = os.open(path, os.O_RDONLY)
    except OSError as error:
        raise errors.StorageError(f"{path}: {error}") from error
    size = os.fstat(descriptor).st_size
    return peers_lib.SnapshotTransfer(
        header.index, header.term, descriptor, size
    )


class SnapshotReceiver:
    """Receives snapshots from leaders.

    Attributes:
      index: Last index of the snapshot being received, 0 for none.
      offset: Byte offset of the next expected chunk.
    """

    def __init__(self) -> None:
        self.index = 0
        self.offset = 0
        self._lock = curio.Lock()

    async def handle_chunk(
        self, core: core_lib.Core, chunk: wire.SnapshotChunk
    ) -> wire.SnapshotReply:
        """Stores a chunk; after the last one, installs the snapshot.

        Raises:
          errors.StorageError: The data folder failed.
        """
        if not await follower.follow(core, chunk.leader, chunk.term):
            return _reply(core, chunk.offset)
        if core.installing or _has_entries(core, chunk):
            return _reply(core, chunk.offset, complete=True)
        async with self._lock:
            if chunk.index != self.index:
                self.index = chunk.index
                self.offset = 0
            if chunk.offset != self.offset:
                return _reply(core, self.offset)
            return await self._store_chunk(core, chunk)

    async def _store_chunk(
        self, core: core_lib.Core, chunk: wire.SnapshotChunk
    ) -> wire.SnapshotReply:
        assert core.folder.path is not None
        path = core.folder.path / "snapshot-incoming.tmp"
        try:
            await curio.run_in_thread(
                _write_chunk, core, path, chunk.data, chunk.offset
            )
        except OSError as error:
            core.refused.record_refusal("incoming snapshot", error)
            raise errors.StorageError(f"{path}: {error}") from error
        core.refused.record_success("incoming snapshot")
        self.offset += len(chunk.data)
        if not chunk.last:
            return _reply(core, self.offset)
        self.index = 0
        core.installing = True
        await curio.spawn(install, core, path, daemon=True)
        return _reply(core, self.offset, complete=True)


def _reply(
    core: core_lib.Core, offset: int, complete: bool = False
) -> wire.SnapshotReply:
    return wire.SnapshotReply(
        folder=core.folder_id, term=core.term, offset=offset, complete=complete
    )


def _has_entries(core: core_lib.Core, chunk: wire.SnapshotChunk) -> bool:
    """Returns whether this replica already has the snapshot's entries."""
    if chunk.index <= core.commit_index:
        return True
    return core.log.term_at(chunk.index) == chunk.index_term


def _write_chunk(
    core: core_lib.Core, path: pathlib.Path, data: bytes, offset: int
) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
    try:
        os.ftruncate(descriptor, offset)
        core.disk.write(descriptor, data, offset)
    finally:
        os.close(descriptor)


async def install(core: core_lib.Core, path: pathlib.Path) -> None:
    """Checks a received snapshot and restores the state from it.

    If the disk refuses it, the leader sends it again: the kernel may have
    dropped the data of a failed sync.
    """
    try:
        loaded = await snapshot_lib.load(path)
        header = loaded.header
        if header.cluster == core.cluster and header.index > core.commit_index:
            final = snapshot_lib.path_of(path.parent, header.index)
            await curio.run_in_thread(
                snapshot_lib.publish, core.disk, path, final
            )
            await _restore(core, loaded)
    except errors.CorruptLogError as error:
        logs.warning("snapshot:not-installed", reason=str(error))
        _delete_incoming(core, path)
    except OSError as error:
        core.refused.record_refusal("incoming snapshot", error)
        _delete_incoming(core, path)
    finally:
        core.installing = False
        await core.committed.notify()


def _delete_incoming(core: core_lib.Core, path: pathlib.Path) -> None:
    try:
        path.unlink(missing_ok=True)
    except OSError as error:
        core.refused.record_refusal("incoming snapshot", error)


async def _restore(core: core_lib.Core, loaded: snapshot_lib.Loaded) -> None:
    header = loaded.header
    core.state = loaded.state
    core.snapshot_index = header.index
    core.applied_index = core.commit_index = header.index
    core.members_history = [snapshot_lib.members_of(header)]
    await core.log.reset(header.index, header.term)
    await core.role_changed.notify()
