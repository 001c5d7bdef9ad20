"""Follower side of replication."""

import msgspec

from galenahook.replicas import core as core_lib
from galenahook.replicas import records
from galenahook.replicas import wire

# Entries that a replica holds in memory while its disk refuses them.
MAX_UNSYNCED_ENTRIES = 20_000


async def handle_append(
    core: core_lib.Core, request: wire.AppendRequest
) -> wire.AppendReply:
    """Handles a leader's heartbeat and entries.

    The reply waits for the sync, but for at most one heartbeat period, so that
    a slow disk is not mistaken for a dead connection. If the disk refuses the
    entries, the reply acknowledges only those that are on it.

    Raises:
      errors.StorageError: The term could not be written, or the disk has
        refused too many entries.
    """
    if not await follow(core, request.leader, request.term):
        return _refuse(core, 0)
    if core.log.error and core.log.unsynced > MAX_UNSYNCED_ENTRIES:
        raise core.log.error
    if core.installing:
        return _refuse(core, 0, installing=True)
    if not _matches_log(core, request.previous_index, request.previous_term):
        hint = min(core.log.last_index, request.previous_index - 1)
        return _refuse(core, hint)
    await _store_new_entries(core, request)
    received = request.previous_index + len(request.entries)
    await core.advance_commit(min(request.commit_index, received))
    await core.log.wait_synced(received, core.timing.heartbeat_period_ms)
    if core.term != request.term:
        return _refuse(core, 0)
    return wire.AppendReply(
        folder=core.folder_id,
        term=core.term,
        accepted=True,
        received=received,
        synced=min(core.log.synced_index, received),
    )


async def follow(core: core_lib.Core, leader: str, term: int) -> bool:
    """Follows a leader; returns False if its term is outdated.

    Raises:
      errors.StorageError: The term could not be written.
    """
    if term < core.term:
        return False
    await core.observe_term(term)
    if term != core.term:
        return False
    core.last_leader_contact_ms = core.election_timer_start_ms = core.now_ms()
    if core.role is not core_lib.Role.FOLLOWER or core.leader != leader:
        await core.step_down(leader)
    return core.term == term


def _refuse(
    core: core_lib.Core, hint: int, installing: bool = False
) -> wire.AppendReply:
    return wire.AppendReply(
        folder=core.folder_id,
        term=core.term,
        accepted=False,
        received=hint,
        installing=installing,
    )


def _matches_log(core: core_lib.Core, index: int, term: int) -> bool:
    """Returns whether the log matches the leader's up to that entry.

    Entries that a snapshot contains are committed and always match.
    """
    if index <= max(core.log.base_index, core.snapshot_index):
        return True
    return core.log.term_at(index) == term


async def _store_new_entries(
    core: core_lib.Core, request: wire.AppendRequest
) -> None:
    entries = [
        records.Entry(entry.term, bytes(entry.command))
        for entry in request.entries
    ]
    first_index = request.previous_index + 1
    skip = 0
    for index, entry in enumerate(entries, first_index):
        if not _has_entry(core, index, entry.term):
            break
        skip += 1
    new_entries = entries[skip:]
    if not new_entries:
        return
    new_index = first_index + skip
    if new_index <= core.log.last_index:
        await core.replace_from(new_index, new_entries)
    else:
        await core.append(new_entries)


def _has_entry(core: core_lib.Core, index: int, term: int) -> bool:
    if index <= core.log.base_index:
        return True
    return core.log.term_at(index) == term


def to_wire(entry: records.Entry) -> wire.WireEntry:
    """Returns an entry in the form in which it is sent."""
    return wire.WireEntry(term=entry.term, command=msgspec.Raw(entry.data))
