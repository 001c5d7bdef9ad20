"""Elections: pre-vote, votes, and the timer that starts them."""

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook.replicas import core as core_lib
from galenahook.replicas import membership
from galenahook.replicas import transport
from galenahook.replicas import wire


async def run(core: core_lib.Core) -> None:
    """Stands for election whenever no leader is heard, until cancelled."""
    while True:
        await _wait_for_timeout(core)
        if core.error is not None:
            await core.role_changed.wait()
            continue
        core.timer_ms = core.now_ms()
        try:
            await stand(core, handed_over=False)
        except errors.StorageError:
            continue


async def _wait_for_timeout(core: core_lib.Core) -> None:
    timeout_ms = _random_timeout_ms(core)
    while core.error is None:
        if core.role is core_lib.Role.LEADER or not core.is_voter():
            await core.role_changed.wait(core.timing.election_timeout_min_ms)
            core.timer_ms = core.now_ms()
            timeout_ms = _random_timeout_ms(core)
            continue
        remaining_ms = core.timer_ms + timeout_ms - core.now_ms()
        if remaining_ms <= 0:
            return
        await curio.sleep(clock_lib.seconds(remaining_ms))


def _random_timeout_ms(core: core_lib.Core) -> int:
    if _is_alone(core):
        return 0
    return core.chance.randint(
        core.timing.election_timeout_min_ms,
        core.timing.election_timeout_max_ms,
    )


def _is_alone(core: core_lib.Core) -> bool:
    return core.is_voter() and len(core.members.voters) == 1


async def stand(core: core_lib.Core, handed_over: bool) -> None:
    """Stands for election once.

    Args:
      core: The replica.
      handed_over: Whether the leader gave up its lease in favour of this one.

    Raises:
      errors.StorageError: The vote for itself could not be written.
    """
    if not core.is_voter() or core.error is not None:
        return
    if not handed_over:
        if core.hears_leader() and not _is_alone(core):
            return
        term = core.term
        if not await _collect_votes(core, term + 1, True, False):
            return
        if core.term != term or core.role is core_lib.Role.LEADER:
            return
    core.term += 1
    core.voted_for = core.name
    core.role = core_lib.Role.CANDIDATE
    core.leader = ""
    term = core.term
    await core.save_ballot()
    if not await _collect_votes(core, term, False, handed_over):
        return
    if core.term == term and core.role is core_lib.Role.CANDIDATE:
        await core.become_leader()


async def _collect_votes(
    core: core_lib.Core, term: int, pre_vote: bool, handed_over: bool
) -> bool:
    """Returns whether a quorum, this replica included, grants its vote."""
    others = [m for m in core.members.voters if m.name != core.name]
    missing = core.members.quorum() - 1
    replies = curio.Queue()
    tasks = []
    try:
        for member in others:
            request = wire.VoteRequest(
                cluster=core.cluster,
                candidate=core.name,
                to_folder=member.folder,
                term=term,
                last_index=core.log.last_index,
                last_term=core.log.last_term,
                pre_vote=pre_vote,
                handed_over=handed_over,
            )
            tasks.append(
                await curio.spawn(_ask, core, member, request, replies)
            )
        for _ in others:
            if missing <= 0:
                break
            reply = await replies.get()
            if reply is None:
                continue
            if reply.term > core.term:
                await core.observe_term(reply.term)
                return False
            missing -= reply.granted
        return missing <= 0
    finally:
        for task in tasks:
            await task.cancel(blocking=False)


async def _ask(
    core: core_lib.Core,
    member: membership.Member,
    request: wire.VoteRequest,
    replies: curio.Queue,
) -> None:
    reply = None
    try:
        reply = await transport.call(
            core.client,
            core.address_of(member),
            transport.post(core.client, transport.VOTE_TARGET, request),
            wire.VoteReply,
            core.timing.election_timeout_min_ms // 2,
        )
        if reply.folder != member.folder:
            reply = None
    except errors.ExchangeError:
        pass
    await replies.put(reply)


async def handle_vote(
    core: core_lib.Core, request: wire.VoteRequest
) -> wire.VoteReply:
    """Answers a candidate.

    Raises:
      errors.StorageError: The vote could not be written.
    """
    granted = _may_grant(core, request)
    if granted and not request.pre_vote:
        granted = await _grant(core, request)
    return wire.VoteReply(
        folder=core.folder_id, term=core.term, granted=granted
    )


def _may_grant(core: core_lib.Core, request: wire.VoteRequest) -> bool:
    next_term = request.term == core.term + 1
    if core.hears_leader() and not (request.handed_over and next_term):
        return False
    if core.has_newer_log(request.last_term, request.last_index):
        # The term still counts, or this replica could never win it itself.
        return not request.pre_vote and request.term > core.term
    if request.pre_vote:
        return request.term > core.term
    return request.term >= core.term


async def _grant(core: core_lib.Core, request: wire.VoteRequest) -> bool:
    if request.term > core.term:
        core.term = request.term
        core.voted_for = ""
        await core.step_down("")
    if core.has_newer_log(request.last_term, request.last_index):
        await core.save_ballot()
        return False
    if core.voted_for not in ("", request.candidate):
        return False
    core.voted_for = request.candidate
    core.timer_ms = core.now_ms()
    await core.save_ballot()
    return core.term == request.term and core.voted_for == request.candidate


async def handle_hand_over(
    core: core_lib.Core, request: wire.HandOver
) -> wire.HandOverReply:
    """Lets this replica stand for election at the leader's wish."""
    accepted = request.term == core.term and core.is_voter()
    if accepted:
        await curio.spawn(_stand_handed_over, core, request.term, daemon=True)
    return wire.HandOverReply(accepted=accepted)


async def _stand_handed_over(core: core_lib.Core, term: int) -> None:
    if core.term != term:
        # A leader of a later term has a lease that must not be skipped.
        return
    try:
        await stand(core, handed_over=True)
    except errors.StorageError:
        return
