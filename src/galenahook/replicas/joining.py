"""Joining an existing cluster without an operator.

This is how replicas join that are not among the initial members.

A replica whose folder is in no cluster sends a join request to each replica of
its settings, which refers it to the leader. The leader admits it as a learner
and promotes it to voter once it has caught up, one membership change at a
time. A replica with a new folder replaces the member of the same name.
"""

from typing import TYPE_CHECKING

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook.replicas import core as core_lib
from galenahook.replicas import membership_changes
from galenahook.replicas import transport
from galenahook.replicas import wire

if TYPE_CHECKING:
    from galenahook.replicas import node as node_lib

_REQUEST_PERIOD_MS = 150
_REQUEST_TIMEOUT_MS = 500
_ADMISSION_PERIOD_MS = 100


async def request_admission(core: core_lib.Core) -> None:
    """Requests admission until the folder belongs to a cluster."""
    if not core.settings.joins_by_itself:
        return
    hints: list[str] = []
    while not core.cluster and core.error is None:
        own = core.settings.peers.listen
        for address in [*hints, *core.settings.replicas.values()]:
            if address == own:
                continue
            hint = await _request_admission_from(core, address)
            if hint:
                hints = [hint]
        await curio.sleep(clock_lib.seconds(_REQUEST_PERIOD_MS))


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


async def run_admissions(node: "node_lib.Node") -> None:
    """Admits replicas on request while leading, until cancelled."""
    core = node.core
    while core.settings.joins_by_itself:
        await curio.sleep(clock_lib.seconds(_ADMISSION_PERIOD_MS))
        if not core.is_ready_leader():
            core.join_requests.clear()
            continue
        try:
            await _admit_next(node)
        except errors.GalenahookError as error:
            logs.warning("member:not-admitted", reason=str(error))


async def _admit_next(node: "node_lib.Node") -> None:
    core = node.core
    for learner in core.members.learners:
        if membership_changes.plan_promotion(core, learner.name).is_ok():
            await node.promote(learner.name)
            logs.info("member:promoted", replica=learner.name)
            return
    for name, request in list(core.join_requests.items()):
        member = core.members.by_name.get(name)
        if member is not None and member.folder == request.folder:
            del core.join_requests[name]
        elif member is not None:
            outcome = await node.remove(name)
            logs.info("member:removed", replica=name, done=outcome.is_ok())
            return
        else:
            del core.join_requests[name]
            outcome = await node.add_learner(name, request.address)
            logs.info("member:admitted", replica=name, done=outcome.is_ok())
            return
