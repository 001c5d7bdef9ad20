"""Joining an existing cluster without an operator.

This is how replicas join that are not among the initial members.

A replica whose folder is in no cluster sends a join request to each replica of
its settings, which refers it to the leader. The leader admits it as a learner
and promotes it to voter once it has caught up, one membership change at a
time. A replica with a new folder replaces the member of the same name.

A learner with a new name replaces a voter that is dead, and the leader removes
dead members that the group can spare. A replica that hears no leader requests
admission again, as it may have been removed meanwhile. One that stops as
planned first waits until the leader has removed it or lets it keep its vote.
"""

from typing import TYPE_CHECKING

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook.replicas import core as core_lib
from galenahook.replicas import membership_changes
from galenahook.replicas import replication
from galenahook.replicas import transport
from galenahook.replicas import wire

if TYPE_CHECKING:
    from galenahook.replicas import node as node_lib

_REQUEST_PERIOD_MS = 150
_REQUEST_TIMEOUT_MS = 500
_ADMISSION_PERIOD_MS = 100
# Longest time that a planned stop waits for the leader besides the elections,
# and the pause between two notices.
_STOP_NOTICE_TIMEOUT_MS = 800
_STOP_NOTICE_PERIOD_MS = 40
# Longest election timeouts for which it waits besides, as the request to the
# successor may be lost, or votes be late, and an election may end without a
# leader.
_STOP_ELECTION_TIMEOUTS = 2


async def request_admission(core: core_lib.Core) -> None:
    """Requests admission while no leader replicates to this replica."""
    hints: list[str] = []
    while core.settings.joins_by_itself and core.error is None:
        if not _is_led(core):
            hints = await _request_admission_once(core, hints)
        await curio.sleep(clock_lib.seconds(_REQUEST_PERIOD_MS))


async def _request_admission_once(
    core: core_lib.Core, hints: list[str]
) -> list[str]:
    """Sends a request to each known replica; returns the leader's address."""
    known = [core.address_of(m) for m in core.members.by_name.values()]
    addresses = [*hints, *core.settings.replicas.values(), *known]
    leaders = []
    for address in dict.fromkeys(addresses):
        if address == core.settings.peers.listen:
            continue
        hint = await _request_admission_from(core, address)
        if hint:
            leaders = [hint]
        if _is_led(core):
            break
    return leaders


def _is_led(core: core_lib.Core) -> bool:
    """Returns whether it leads, or its leader was heard of recently."""
    if core.role is core_lib.Role.LEADER:
        return True
    silent_ms = core.now_ms() - core.last_leader_contact_ms
    is_silent = silent_ms > core.timing.election_timeout_max_ms
    return bool(core.cluster) and not is_silent


async def _request_admission_from(core: core_lib.Core, address: str) -> str:
    """Sends one request; returns the possible address of the leader."""
    request = wire.JoinRequest(
        name=core.name,
        address=core.settings.peers.listen,
        folder=core.folder_id,
    )
    try:
        reply = await transport.call(
            core.client,
            address,
            transport.post(core.client, transport.JOIN_TARGET, request),
            wire.JoinReply,
            _REQUEST_TIMEOUT_MS,
        )
    except errors.ExchangeError:
        return ""
    return reply.leader_address


async def handle_join(
    core: core_lib.Core, request: wire.JoinRequest
) -> wire.JoinReply:
    """Records a join request, or refers the replica to the leader."""
    if core.is_ready_leader() and core.settings.joins_by_itself:
        core.join_requests[request.name] = request
        return wire.JoinReply(accepted=True)
    leader = core.members.by_name.get(core.leader)
    address = "" if leader is None else core.address_of(leader)
    return wire.JoinReply(accepted=False, leader_address=address)


async def announce_stop(core: core_lib.Core) -> None:
    """Announces a planned stop until the leader lets this replica stop.

    If this replica is elected meanwhile, it transfers its leadership again.
    """
    if not (core.settings.joins_by_itself and core.is_voter()):
        return
    if len(core.members.voters) == 1:
        return
    elections_ms = core.timing.election_timeout_max_ms * _STOP_ELECTION_TIMEOUTS
    timeout_ms = elections_ms + _STOP_NOTICE_TIMEOUT_MS
    began_ms = core.now_ms()
    while not await _may_stop(core):
        waited_ms = core.now_ms() - began_ms
        if waited_ms >= timeout_ms:
            logs.warning("member:stop-unanswered", waited_ms=waited_ms)
            return
        await curio.sleep(clock_lib.seconds(_STOP_NOTICE_PERIOD_MS))


async def _may_stop(core: core_lib.Core) -> bool:
    await replication.transfer_leadership(core)
    leader = core.members.by_name.get(core.leader)
    if leader is None or leader.name == core.name:
        return False
    notice = wire.StopNotice(name=core.name, folder=core.folder_id)
    try:
        reply = await transport.call(
            core.client,
            core.address_of(leader),
            transport.post(core.client, transport.STOP_TARGET, notice),
            wire.StopReply,
            _REQUEST_TIMEOUT_MS,
        )
    except errors.ExchangeError as error:
        logs.warning("member:stop-not-sent", reason=str(error))
        return False
    return reply.may_stop


async def handle_stop(
    core: core_lib.Core, notice: wire.StopNotice
) -> wire.StopReply:
    """Records that a replica stops; replies whether it may stop yet."""
    if not core.is_ready_leader():
        return wire.StopReply(may_stop=False)
    if notice.name not in core.stopping:
        logs.info("member:stopping", replica=notice.name)
    core.stopping[notice.name] = (notice.folder, core.now_ms())
    member = core.members.by_name.get(notice.name)
    if member is None or member.folder != notice.folder:
        is_committed = core.members.index <= core.commit_index
        return wire.StopReply(may_stop=is_committed)
    is_needed = not membership_changes.can_spare(core, member)
    return wire.StopReply(may_stop=is_needed and not core.members.learners)


async def run_admissions(node: "node_lib.Node") -> None:
    """Admits replicas on request while leading, until cancelled."""
    core = node.core
    while core.settings.joins_by_itself:
        await curio.sleep(clock_lib.seconds(_ADMISSION_PERIOD_MS))
        if not core.is_ready_leader():
            core.join_requests.clear()
            core.stopping.clear()
            continue
        try:
            await _admit_next(node)
        except errors.GalenahookError as error:
            logs.warning("member:not-admitted", reason=str(error))


async def _admit_next(node: "node_lib.Node") -> None:
    """Makes the next membership change, if there is one to make."""
    if not (await _promote_next(node) or await _admit_requested(node)):
        await _remove_dead(node)


async def _promote_next(node: "node_lib.Node") -> bool:
    """Promotes a learner, or first removes the dead voter that it replaces.

    Returns:
      Whether a change was made or refused, so that the next one has to wait.
    """
    core = node.core
    for learner in core.members.learners:
        if membership_changes.plan_promotion(core, learner.name).is_error():
            continue
        if membership_changes.should_replace_first(core):
            for member in membership_changes.dead_members(core):
                if member.voter:
                    await _remove(node, member.name, f"for {learner.name}")
                    return True
            continue
        await node.promote(learner.name)
        logs.info("member:promoted", replica=learner.name)
        return True
    return False


async def _admit_requested(node: "node_lib.Node") -> bool:
    """Admits a replica, or first removes its earlier folder.

    Returns:
      Whether a change was made or refused, so that the next one has to wait.
    """
    core = node.core
    for name, request in list(core.join_requests.items()):
        member = core.members.by_name.get(name)
        if member is not None and member.folder == request.folder:
            del core.join_requests[name]
            continue
        if member is not None:
            await _remove(node, name, "it has a new folder")
            return True
        del core.join_requests[name]
        outcome = await node.add_learner(name, request.address)
        logs.info("member:admitted", replica=name, done=outcome.is_ok())
        return True
    return False


async def _remove_dead(node: "node_lib.Node") -> None:
    for member in membership_changes.dead_members(node.core):
        if membership_changes.can_spare(node.core, member):
            await _remove(node, member.name, "it is dead")
            return


async def _remove(node: "node_lib.Node", name: str, reason: str) -> None:
    outcome = await node.remove(name)
    logs.info(
        "member:removed", replica=name, done=outcome.is_ok(), reason=reason
    )
