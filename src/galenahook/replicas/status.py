"""Status of a replica for operators."""

from galenahook.replicas import core as core_lib
from galenahook.replicas import peers as peers_lib
from galenahook.replicas import wire


def status_of(core: core_lib.Core) -> wire.ReplicaStatus:
    """Returns the status of a replica."""
    return wire.ReplicaStatus(
        name=core.name,
        cluster=core.cluster,
        folder=core.folder_id,
        role=_role(core),
        leader=core.leader,
        term=core.term,
        members=tuple(str(member) for member in core.members.voters),
        learners=tuple(str(member) for member in core.members.learners),
        first_index=core.log.base_index + 1,
        last_index=core.log.last_index,
        synced_index=core.log.synced_index,
        commit_index=core.commit_index,
        applied_index=core.applied_index,
        snapshot_index=core.snapshot_index,
        syncs=core.log.syncs,
        last_sync_ms=core.log.last_sync_ms,
        peers=tuple(_peer_status(core, peer) for peer in core.peers.values()),
        error=str(core.error or core.log.error or ""),
        may_found=core.settings.may_found,
    )


def _role(core: core_lib.Core) -> str:
    if core.error is not None or core.log.error is not None:
        return "unable"
    if not core.cluster:
        return "waiting"
    if core.role is core_lib.Role.FOLLOWER and not core.is_voter():
        return "learner"
    return core.role.value


def _peer_status(core: core_lib.Core, peer: peers_lib.Peer) -> wire.PeerStatus:
    sent_ms = peer.acknowledged_sent_ms
    return wire.PeerStatus(
        name=peer.member.name,
        address=core.address_of(peer.member),
        voter=peer.member.voter,
        synced_index=peer.synced_index,
        silent_ms=-1 if sent_ms is None else core.now_ms() - sent_ms,
        error=peer.error,
    )
