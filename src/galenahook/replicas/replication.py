"""Leader side of replication: one task per peer.

Heartbeats and entries share one persistent connection, so the connection is
known to work as long as heartbeats receive replies. A connection without
replies is replaced immediately, since a new one may work.
"""

import curio

from galenahook import errors
from galenahook import logs
from galenahook.replicas import core as core_lib
from galenahook.replicas import follower
from galenahook.replicas import peers as peers_lib
from galenahook.replicas import snapshot_transfer
from galenahook.replicas import transport
from galenahook.replicas import wire

_MAX_BATCH_BYTES = 256 * 1024
_TRANSFER_POLL_PERIOD_MS = 5


async def run(core: core_lib.Core) -> None:
    """Runs one task per peer while leading, until cancelled."""
    tasks: dict[str, tuple[peers_lib.Peer, curio.Task]] = {}
    try:
        while True:
            await _reconcile_peer_tasks(core, tasks)
            await _check_quorum(core)
            leading = core.role is core_lib.Role.LEADER
            period_ms = core.timing.heartbeat_period_ms if leading else None
            await core.role_changed.wait(period_ms)
    finally:
        for _, task in tasks.values():
            await task.cancel()


async def _reconcile_peer_tasks(
    core: core_lib.Core, tasks: dict[str, tuple[peers_lib.Peer, curio.Task]]
) -> None:
    for name, (peer, task) in list(tasks.items()):
        if core.peers.get(name) is not peer:
            del tasks[name]
            await task.cancel()
    for name, peer in list(core.peers.items()):
        if name not in tasks:
            task = await curio.spawn(run_peer, core, peer, core.term)
            tasks[name] = (peer, task)


async def _check_quorum(core: core_lib.Core) -> None:
    if core.role is not core_lib.Role.LEADER:
        return
    if core.log.error and core.log.unsynced > follower.MAX_UNSYNCED_ENTRIES:
        await core.step_down("")
        return
    last_contact_ms = max(
        core.quorum_acknowledged_sent_ms() or 0, core.leader_since_ms
    )
    if core.now_ms() - last_contact_ms > core.timing.election_timeout_max_ms:
        await core.step_down("")


async def run_peer(
    core: core_lib.Core, peer: peers_lib.Peer, term: int
) -> None:
    """Replicates to one peer while this replica leads the given term."""
    try:
        # A removed replica must not receive its removal: until that is
        # committed, its vote may be needed.
        while core.leads(term) and core.peers.get(peer.member.name) is peer:
            sent_ms = core.now_ms()
            was_connected = peer.connection is not None
            try:
                await _send_next(core, peer)
            except errors.StorageError as error:
                logs.warning(
                    "peer:not-served",
                    peer=peer.member.name,
                    reason=str(error),
                )
                peer.error = str(error)
            except errors.ExchangeError as error:
                peer.error = str(error)
                await peer.drop_connection()
                if was_connected:
                    continue
            else:
                peer.error = ""
            await _wait_for_work(core, peer, sent_ms)
    finally:
        await peer.drop_connection()
        peer.end_snapshot_transfer()


async def _wait_for_work(
    core: core_lib.Core, peer: peers_lib.Peer, sent_ms: int
) -> None:
    must_back_off = bool(peer.error) or peer.installing
    if not must_back_off and peer.next_index <= core.log.last_index:
        return
    elapsed_ms = core.now_ms() - sent_ms
    period_ms = core.timing.heartbeat_period_ms
    if must_back_off:
        await curio.sleep(max(period_ms - elapsed_ms, 1) / 1000)
    else:
        await peer.wake.wait(period_ms - elapsed_ms)


async def _send_next(core: core_lib.Core, peer: peers_lib.Peer) -> None:
    previous_index = peer.next_index - 1
    previous_term = core.log.term_at(previous_index)
    if previous_term is None:
        await snapshot_transfer.send_chunk(core, peer)
        return
    peer.end_snapshot_transfer()
    entries = core.log.batch_from(peer.next_index, _MAX_BATCH_BYTES)
    request = wire.AppendRequest(
        cluster=core.cluster,
        leader=core.name,
        to_folder=peer.member.folder,
        term=core.term,
        previous_index=previous_index,
        previous_term=previous_term,
        commit_index=core.commit_index,
        entries=tuple(follower.to_wire(entry) for entry in entries),
    )
    message = transport.post(core.client, transport.APPEND_TARGET, request)
    sent_ms = core.now_ms()
    reply = await peers_lib.exchange(core, peer, message, wire.AppendReply)
    await _handle_append_reply(core, peer, request, reply, sent_ms)


async def _handle_append_reply(
    core: core_lib.Core,
    peer: peers_lib.Peer,
    request: wire.AppendRequest,
    reply: wire.AppendReply,
    sent_ms: int,
) -> None:
    if reply.term > core.term:
        await core.observe_term(reply.term)
    if not core.leads(request.term) or reply.term != request.term:
        return
    peer.acknowledged_sent_ms = sent_ms
    peer.installing = reply.installing
    if reply.accepted:
        peer.next_index = reply.received + 1
        peer.synced_index = max(peer.synced_index, reply.synced)
        await core.advance_leader_commit()
    elif not reply.installing:
        next_index = min(peer.next_index - 1, reply.received + 1)
        peer.next_index = max(next_index, peer.synced_index + 1)


async def transfer_leadership(core: core_lib.Core) -> None:
    """Transfers leadership to the most up-to-date voter, for a planned stop.

    This replica steps down before it sends the request and never leads in
    that term again, so its successor need not wait for the end of the lease.
    """
    if core.role is not core_lib.Role.LEADER:
        return
    term = core.term
    core.transferring_leadership = True
    await core.role_changed.notify()
    voters = [peer for peer in core.peers.values() if peer.member.voter]
    if not voters:
        return
    successor = max(voters, key=lambda peer: peer.synced_index)
    end_ms = core.now_ms() + core.timing.election_timeout_max_ms
    while core.leads(term) and successor.synced_index < core.log.last_index:
        if core.now_ms() >= end_ms:
            break
        await curio.sleep(_TRANSFER_POLL_PERIOD_MS / 1000)
    if not core.leads(term):
        return
    request = wire.LeadershipTransferRequest(
        cluster=core.cluster, to_folder=successor.member.folder, term=term
    )
    await core.step_down("")
    try:
        await transport.call(
            core.client,
            core.address_of(successor.member),
            transport.post(
                core.client, transport.LEADERSHIP_TRANSFER_TARGET, request
            ),
            wire.LeadershipTransferReply,
            peers_lib.reply_timeout_ms(core),
        )
    except errors.ExchangeError:
        return
