"""Recovery from a data folder: identity, snapshot, log, term and vote."""

from galenahook import errors
from galenahook.replicas import core as core_lib
from galenahook.replicas import log as log_lib
from galenahook.replicas import snapshot as snapshot_lib


def open_folder(core: core_lib.Core) -> None:
    """Restores a replica's state from its data folder.

    Raises:
      errors.CorruptLogError: A file is damaged in a way that no crash
        explains.
      errors.StorageError: The folder can't be used.
    """
    try:
        core.folder.open(core.name)
        _open_log(core, _open_snapshot(core))
    except OSError as error:
        raise errors.StorageError(f"{core.folder.path}: {error}") from error
    core.activate_member_changes(core.log.base_index + 1, core.log.entries)
    core.discard_members_before(core.snapshot_index)
    ballot = core.folder.ballot
    core.term = max(ballot.term, core.log.last_term)
    if core.term == ballot.term:
        core.voted_for = ballot.voted_for
    core.last_leader_contact_ms = core.election_timer_start_ms = core.now_ms()


def _open_snapshot(core: core_lib.Core) -> snapshot_lib.Header | None:
    folder = core.folder.path
    if folder is None:
        return None
    snapshot_lib.discard_unfinished(folder)
    path = snapshot_lib.newest(folder)
    if path is None:
        return None
    loaded = snapshot_lib.load_blocking(path)
    header = loaded.header
    if header.cluster != core.cluster:
        raise errors.StorageError(
            f"{path}: snapshot belongs to cluster {header.cluster}"
        )
    core.state = loaded.state
    core.snapshot_index = header.index
    core.applied_index = core.commit_index = header.index
    core.members_history = [snapshot_lib.members_of(header)]
    return header


def _open_log(core: core_lib.Core, header: snapshot_lib.Header | None) -> None:
    folder = core.folder.path
    if folder is not None and not core.cluster:
        # The replica crashed during the bootstrap, before its folder joined.
        log_lib.delete(folder)
    core.log.open()
    if header is None:
        is_missing = core.log.is_new and core.cluster and folder is not None
        if is_missing or core.log.base_index > 0:
            raise errors.StorageError(
                f"{folder}: the start of the log is missing"
            )
        return
    if core.log.base_index > header.index:
        raise errors.StorageError(
            f"{folder}: the log starts after index {core.log.base_index},"
            f" but the snapshot ends at {header.index}"
        )
    if core.log.term_at(header.index) != header.term:
        # The replica crashed after it installed the snapshot and before the
        # log was reset to continue from it.
        core.log.restart_after(header.index, header.term)
