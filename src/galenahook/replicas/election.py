"""Elections: pre-vote, votes, and the timer that starts them."""

import contextlib

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import logs
from galenahook.replicas import core as core_lib
from galenahook.replicas import membership
from galenahook.replicas import transport
from galenahook.replicas import wire

_LOG_PERIOD_MS = 1_000


async def run(core: core_lib.Core) -> None:
    """Starts an election on each election timeout, until cancelled."""
    while True:
        await _wait_for_timeout(core)
        if core.error is not None:
            await core.role_changed.wait()
            continue
        core.election_timer_start_ms = core.now_ms()
        # The refused write was logged.
        with contextlib.suppress(errors.StorageError):
            await campaign(core, leadership_transfer=False)


async def _wait_for_timeout(core: core_lib.Core) -> None:
    timeout_ms = _random_timeout_ms(core)
    while core.error is None:
        if core.role is core_lib.Role.LEADER or not core.is_voter():
            await core.role_changed.wait(core.timing.election_timeout_min_ms)
            core.election_timer_start_ms = core.now_ms()
            timeout_ms = _random_timeout_ms(core)
            continue
        remaining_ms = core.election_timer_start_ms + timeout_ms - core.now_ms()
        if remaining_ms <= 0:
            return
        await curio.sleep(clock_lib.seconds(remaining_ms))


def _random_timeout_ms(core: core_lib.Core) -> int:
    if _is_only_voter(core):
        return 0
    return core.rng.randint(
        core.timing.election_timeout_min_ms,
        core.timing.election_timeout_max_ms,
    )


def _is_only_voter(core: core_lib.Core) -> bool:
    return core.is_voter() and len(core.members.voters) == 1


def _has_leader(core: core_lib.Core) -> bool:
    """Returns whether this replica leads or has recently heard its leader."""
    if core.role is core_lib.Role.LEADER:
        return True
    return core.in_leader_lease() and not _is_only_voter(core)


async def campaign(core: core_lib.Core, leadership_transfer: bool) -> None:
    """Runs one election with this replica as the candidate.

    Args:
      core: The replica.
      leadership_transfer: Whether the leader transfers its leadership to this
        replica and has given up its lease.

    Raises:
      errors.StorageError: The replica's own vote could not be written.
    """
    if not core.is_voter() or core.error is not None:
        return
    if core.log.error is not None:
        # Another replica can lead; this one's disk may refuse the vote too.
        return
    if not leadership_transfer:
        if _has_leader(core):
            return
        term = core.term
        if not await _collect_votes(core, term + 1, True, False):
            return
        if core.term != term or _has_leader(core):
            return
    core.term += 1
    core.voted_for = core.name
    core.role = core_lib.Role.CANDIDATE
    core.leader = ""
    term = core.term
    await core.save_ballot()
    if not await _collect_votes(core, term, False, leadership_transfer):
        return
    if core.term == term and core.role is core_lib.Role.CANDIDATE:
        await core.become_leader()


async def _collect_votes(
    core: core_lib.Core, term: int, pre_vote: bool, leadership_transfer: bool
) -> bool:
    """Returns whether a quorum, including this replica, grants its vote."""
    others = [m for m in core.members.voters if m.name != core.name]
    quorum = core.members.quorum()
    granted = [core.name]
    refused: list[str] = []
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
                handed_over=leadership_transfer,
            )
            tasks.append(
                await curio.spawn(_request_vote, core, member, request, replies)
            )
        for _ in others:
            if len(granted) >= quorum:
                break
            name, reply = await replies.get()
            if reply is None:
                continue
            if reply.term > core.term:
                await core.observe_term(reply.term)
                return False
            (granted if reply.granted else refused).append(name)
        if len(granted) < quorum:
            _log_lost(core, term, pre_vote, granted, refused)
        return len(granted) >= quorum
    finally:
        for task in tasks:
            await task.cancel(blocking=False)


async def _request_vote(
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
            core.timing.election_timeout_min_ms,
        )
        if reply.folder != member.folder:
            reply = None
    except errors.ExchangeError:
        pass
    await replies.put((member.name, reply))


def _log_lost(
    core: core_lib.Core,
    term: int,
    pre_vote: bool,
    granted: list[str],
    refused: list[str],
) -> None:
    """Logs a lost election, at most one in each period."""
    now_ms = core.now_ms()
    logged_ms = core.election_logged_ms
    if logged_ms is not None and now_ms - logged_ms < _LOG_PERIOD_MS:
        return
    core.election_logged_ms = now_ms
    voters = {member.name for member in core.members.voters}
    logs.warning(
        "election:lost",
        term=term,
        pre_vote=pre_vote,
        quorum=core.members.quorum(),
        granted=granted,
        refused=refused,
        unanswered=sorted(voters.difference(granted, refused)),
        last_index=core.log.last_index,
        last_term=core.log.last_term,
    )


async def handle_vote(
    core: core_lib.Core, request: wire.VoteRequest
) -> wire.VoteReply:
    """Handles a vote request.

    Raises:
      errors.StorageError: The vote could not be written.
    """
    granted = _may_grant_vote(core, request)
    if granted and not request.pre_vote:
        granted = await _grant_vote(core, request)
    return wire.VoteReply(
        folder=core.folder_id, term=core.term, granted=granted
    )


def _may_grant_vote(core: core_lib.Core, request: wire.VoteRequest) -> bool:
    next_term = request.term == core.term + 1
    if core.in_leader_lease() and not (request.handed_over and next_term):
        return False
    if core.has_newer_log(request.last_term, request.last_index):
        # The vote is refused, but a higher term is adopted all the same:
        # otherwise this replica could never win the election itself.
        return not request.pre_vote and request.term > core.term
    if request.pre_vote:
        return request.term > core.term
    return request.term >= core.term


async def _grant_vote(core: core_lib.Core, request: wire.VoteRequest) -> bool:
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
    core.election_timer_start_ms = core.now_ms()
    await core.save_ballot()
    return core.term == request.term and core.voted_for == request.candidate


async def handle_leadership_transfer(
    core: core_lib.Core, request: wire.LeadershipTransferRequest
) -> wire.LeadershipTransferReply:
    """Starts an election at the request of a leader that steps down."""
    accepted = request.term == core.term and core.is_voter()
    if accepted:
        await curio.spawn(
            _campaign_after_transfer, core, request.term, daemon=True
        )
    return wire.LeadershipTransferReply(accepted=accepted)


async def _campaign_after_transfer(core: core_lib.Core, term: int) -> None:
    if core.term != term:
        # A leader of a later term has a lease that must not be bypassed.
        return
    try:
        await campaign(core, leadership_transfer=True)
    except errors.StorageError:
        return
