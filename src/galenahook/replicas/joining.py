"""Joining without an operator: replicas that a cluster's founders don't know.

A replica whose empty folder is in no cluster asks its seeds for the leader,
and the leader to be admitted. The leader admits it as a learner and gives it
its vote once it has caught up, one change at a time. A folder that replaces
one of the same name takes its place.
"""

from typing import TYPE_CHECKING

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook.replicas import changes
from galenahook.replicas import core as core_lib
from galenahook.replicas import transport
from galenahook.replicas import wire

if TYPE_CHECKING:
    from galenahook.replicas import node as node_lib

_ASK_PERIOD_MS = 150
_ASK_TIMEOUT_MS = 500
_ADMIT_PERIOD_MS = 100


async def ask(core: core_lib.Core) -> None:
    """Asks to be admitted until the folder belongs to a cluster's group."""
    if not core.settings.joins_by_itself:
        return
    hints: list[str] = []
    while not core.cluster and core.error is None:
        own = core.settings.peers.listen
        for address in [*hints, *core.settings.replicas.values()]:
            if address == own:
                continue
            hint = await _ask_one(core, address)
            if hint:
                hints = [hint]
        await curio.sleep(clock_lib.seconds(_ASK_PERIOD_MS))


async def _ask_one(core: core_lib.Core, address: str) -> str:
    """Asks one replica; returns where the leader may be."""
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
            _ASK_TIMEOUT_MS,
        )
    except errors.ExchangeError:
        return ""
    return reply.leader_address


async def handle_join(
    core: core_lib.Core, request: wire.JoinRequest
) -> wire.JoinReply:
    """Takes note of a replica that wants to be admitted."""
    if core.is_ready_leader() and core.settings.joins_by_itself:
        core.joining[request.name] = request
        return wire.JoinReply(accepted=True)
    leader = core.members.by_name.get(core.leader)
    address = "" if leader is None else core.address_of(leader)
    return wire.JoinReply(accepted=False, leader_address=address)


async def admit(node: "node_lib.Node") -> None:
    """Admits replicas that asked, while this one leads, until cancelled."""
    core = node.core
    while core.settings.joins_by_itself:
        await curio.sleep(clock_lib.seconds(_ADMIT_PERIOD_MS))
        if not core.is_ready_leader():
            core.joining.clear()
            continue
        try:
            await _admit_next(node)
        except errors.GalenahookError as error:
            logs.warning("member:not-admitted", reason=str(error))


async def _admit_next(node: "node_lib.Node") -> None:
    core = node.core
    for learner in core.members.learners:
        if changes.plan_promotion(core, learner.name).is_ok():
            await node.promote(learner.name)
            logs.info("member:promoted", replica=learner.name)
            return
    for name, request in list(core.joining.items()):
        member = core.members.by_name.get(name)
        if member is not None and member.folder == request.folder:
            del core.joining[name]
        elif member is not None:
            outcome = await node.remove(name)
            logs.info("member:removed", replica=name, done=outcome.is_ok())
            return
        else:
            del core.joining[name]
            outcome = await node.add_learner(name, request.address)
            logs.info("member:admitted", replica=name, done=outcome.is_ok())
            return
