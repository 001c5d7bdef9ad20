"""Membership changes, one member at a time.

A new replica is first a learner, so that it delays no commit while it catches
up. A replica that lost its disk is removed, added as a learner and promoted.

A voter that never returns still counts towards the quorum, so the leader
removes one that is dead, which means silent for `_DEAD_ELECTION_TIMEOUTS`. It
may do so only where the others are as safe without it. A replica that was
removed and returns is admitted again. A voter that announced a planned stop
counts as dead at once.
"""

import expression

from galenahook import errors
from galenahook import web
from galenahook.replicas import core as core_lib
from galenahook.replicas import membership
from galenahook.replicas import transport
from galenahook.replicas import wire

_REQUEST_TIMEOUT_MS = 1_000
# A learner within this lag catches up within one request.
_MAX_PROMOTION_LAG_ENTRIES = 1_000
# Longest election timeouts without an acknowledgement after which a member is
# dead. Crashed processes are back sooner.
_DEAD_ELECTION_TIMEOUTS = 2

Outcome = expression.Result[membership.Members, wire.MemberChangeRefused]


def _refuse(reason: str) -> Outcome:
    return expression.Error(wire.MemberChangeRefused(reason=reason))


async def plan_learner(core: core_lib.Core, name: str, address: str) -> Outcome:
    """Plans the admission of a running replica as a learner.

    Its folder must be empty or belong to this cluster.
    """
    if not _may_change(core):
        return _refuse("the last membership change is not committed yet")
    if name in core.members.by_name:
        return _refuse(f"{name} is already a member; remove it first")
    try:
        status = await transport.call(
            core.client,
            address,
            web.Request("GET", transport.STATUS_TARGET, core.client.headers),
            wire.ReplicaStatus,
            _REQUEST_TIMEOUT_MS,
        )
    except errors.ExchangeError as error:
        return _refuse(f"{name} does not answer: {error}")
    if status.name != name:
        return _refuse(f"{address} is replica {status.name}, not {name}")
    if status.error:
        return _refuse(f"{name} has failed: {status.error}")
    if status.cluster not in ("", core.cluster):
        return _refuse(f"{name} belongs to another cluster, {status.cluster}")
    learner = membership.Member(name, address, status.folder, voter=False)
    return expression.Ok(_with_member(core.members, learner))


def plan_promotion(core: core_lib.Core, name: str) -> Outcome:
    """Plans the promotion to voter of a learner that has caught up."""
    if not _may_change(core):
        return _refuse("the last membership change is not committed yet")
    member = core.members.by_name.get(name)
    peer = core.peers.get(name)
    if member is None or member.voter or peer is None:
        return _refuse(f"{name} is not a learner")
    lag = core.log.last_index - peer.synced_index
    if lag > _MAX_PROMOTION_LAG_ENTRIES:
        return _refuse(f"{name} is {lag} entries behind")
    if not _is_responsive(core, name):
        return _refuse(f"{name} does not answer: {peer.error}")
    voter = membership.Member(name, member.address, member.folder, voter=True)
    return expression.Ok(_with_member(core.members, voter))


def plan_removal(core: core_lib.Core, name: str) -> Outcome:
    """Plans the removal of a member, if the others keep a quorum."""
    if not _may_change(core):
        return _refuse("the last membership change is not committed yet")
    if name not in core.members.by_name:
        return _refuse(f"{name} is not a member")
    remaining = {
        key: member
        for key, member in core.members.by_name.items()
        if key != name
    }
    members = membership.Members(core.members.index, remaining)
    if not members.voters:
        return _refuse(f"{name} is the last voter")
    responsive = [m for m in members.voters if _is_responsive(core, m.name)]
    if len(responsive) < members.quorum():
        return _refuse(
            f"without {name}, a quorum is {members.quorum()} voters, but only"
            f" {len(responsive)} of the others respond"
        )
    return expression.Ok(members)


def dead_members(core: core_lib.Core) -> list[membership.Member]:
    """Returns the members that are dead, the longest silent first."""
    now_ms = core.now_ms()
    silent = [
        (peer.silent_ms(now_ms), peer.member) for peer in core.peers.values()
    ]
    silent.sort(key=lambda entry: entry[0], reverse=True)
    return [
        member
        for silent_ms, member in silent
        if silent_ms >= _dead_ms(core) or is_stopping(core, member)
    ]


def is_stopping(core: core_lib.Core, member: membership.Member) -> bool:
    """Returns whether a member announced lately that it stops.

    Later its silence shows whether it did.
    """
    folder, noticed_ms = core.stopping.get(member.name, ("", 0))
    is_recent = core.now_ms() - noticed_ms < _dead_ms(core)
    return folder == member.folder and is_recent


def _dead_ms(core: core_lib.Core) -> int:
    return core.timing.election_timeout_max_ms * _DEAD_ELECTION_TIMEOUTS


def should_replace_first(core: core_lib.Core) -> bool:
    """Returns whether a learner waits to replace a voter that is silent.

    Another voter would raise the quorum of an odd number of voters. The silent
    one may still reply, or will be dead soon.
    """
    voters = core.members.voters
    is_odd = len(voters) % 2 == 1
    return is_odd and not all(_is_responsive(core, m.name) for m in voters)


def can_spare(core: core_lib.Core, member: membership.Member) -> bool:
    """Returns whether a dead member may be removed without a successor.

    Without one of an even number of voters, the quorum is smaller. Of an odd
    number, each vote may be needed once its replica is back: copies of an entry
    must outlast as many lost disks as before. A learner has no vote, and one
    that lives may still replace the member.
    """
    voters = len(core.members.voters)
    is_even = voters % 2 == 0 and voters > 2
    return not member.voter or (is_even and not core.members.learners)


def _may_change(core: core_lib.Core) -> bool:
    return core.members.index <= core.commit_index


def _is_responsive(core: core_lib.Core, name: str) -> bool:
    if name == core.name:
        return True
    peer = core.peers.get(name)
    if peer is None or peer.acknowledged_sent_ms is None:
        return False
    if is_stopping(core, peer.member):
        return False
    silent_ms = core.now_ms() - peer.acknowledged_sent_ms
    return silent_ms < core.timing.election_timeout_max_ms


def _with_member(
    members: membership.Members, member: membership.Member
) -> membership.Members:
    by_name = {**members.by_name, member.name: member}
    return membership.Members(members.index, by_name)
