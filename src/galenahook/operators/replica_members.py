"""Membership changes of the replica group, as operators' commands."""

from galenahook import errors
from galenahook import messages
from galenahook.operators import client as client_lib
from galenahook.operators import exit_codes
from galenahook.operators import output as output_lib
from galenahook.operators import session as session_lib
from galenahook.operators import wire

# A learner at most this many log entries behind the leader is promoted.
_MAX_CATCH_UP_LAG_ENTRIES = 100


async def add(
    session: session_lib.Session, name: str, address: str, timeout_ms: int
) -> None:
    """Adds a replica as a learner and promotes it once it has caught up."""
    line = _find_replica(await session.status(), name)
    if line is None:
        await _change(session, wire.AddReplica(name=name, address=address))
        session.output.progress(f"{name} is a learner")
    if line is None or not line.voter:
        await session.wait_until(
            f"caught up: {name}",
            lambda status: _is_caught_up(status, name),
            lambda status: _catch_up_progress(status, name),
            timeout_ms,
        )
        await _change(session, wire.PromoteReplica(name=name))
    await _show_members(session, f"{name} is a voting replica")


async def remove(session: session_lib.Session, name: str) -> None:
    """Removes a replica from the group."""
    await _change(session, wire.RemoveReplica(name=name))
    await _show_members(session, f"{name} is no longer a replica")


async def replace(
    session: session_lib.Session, name: str, address: str, timeout_ms: int
) -> None:
    """Readmits a replica that restarted with an empty data folder.

    Its process must already run again, with the same settings.
    """
    line = _find_replica(await session.status(), name)
    if line is not None and line.voter:
        address = address or line.address
        await _change(session, wire.RemoveReplica(name=name))
        session.output.progress(
            f"{name} is removed; adding it with its new data folder"
        )
    elif line is not None:
        address = address or line.address
    if not address:
        raise output_lib.CommandError(
            exit_codes.USAGE, f"{name} is not a member: --address is required"
        )
    try:
        await add(session, name, address, timeout_ms)
    except output_lib.CommandError as error:
        raise output_lib.CommandError(
            error.exit_code,
            f"{error}; it is not readmitted yet: continue with galenahook"
            f" replica-member add {name} {address}",
        ) from error


async def _change(
    session: session_lib.Session, change: wire.ReplicaChange
) -> wire.ReplicaMembers:
    try:
        return await session.client.post(
            wire.REPLICAS_TARGET,
            messages.encode(change),
            b"application/json",
            wire.ReplicaMembers,
        )
    except client_lib.RefusedError as error:
        raise output_lib.CommandError(
            exit_codes.CONFLICT, str(error)
        ) from error
    except errors.NoQuorumError as error:
        raise output_lib.CommandError(
            exit_codes.NO_QUORUM,
            f"no quorum: {error}; run the command again to continue where"
            " it stopped",
        ) from error


def _find_replica(
    status: wire.StatusReply, name: str
) -> wire.ReplicaLine | None:
    for line in status.replicas:
        if line.name == name:
            return line
    return None


def _is_caught_up(status: wire.StatusReply, name: str) -> bool:
    line = _find_replica(status, name)
    return (
        line is not None
        and line.silent_ms >= 0
        and line.behind <= _MAX_CATCH_UP_LAG_ENTRIES
    )


def _catch_up_progress(status: wire.StatusReply, name: str) -> str:
    line = _find_replica(status, name)
    if line is None or line.silent_ms < 0:
        return f"{name} has not replied to the leader yet"
    return f"{name} is {line.behind} entries behind"


async def _show_members(session: session_lib.Session, line: str) -> None:
    status = await session.status()
    members = wire.ReplicaMembers(
        voters=tuple(item.name for item in status.replicas if item.voter),
        learners=tuple(item.name for item in status.replicas if not item.voter),
    )
    session.output.show(
        members, [line, f"voting replicas: {', '.join(members.voters)}"]
    )
