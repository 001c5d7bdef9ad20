"""Applies committed entries to the state, in order."""

import curio

from galenahook import commands
from galenahook import logs
from galenahook.replicas import core as core_lib

# Longest time for which entries are applied before other tasks run.
_MAX_SLICE_MS = 10


async def run(core: core_lib.Core) -> None:
    """Applies entries as they are committed, until cancelled."""
    while True:
        if core.applied_index >= core.commit_index or core.installing:
            await core.committed.wait()
            continue
        await _apply_slice(core)
        await curio.sleep(0)


async def _apply_slice(core: core_lib.Core) -> None:
    end_ms = core.now_ms() + _MAX_SLICE_MS
    while core.applied_index < core.commit_index and core.now_ms() < end_ms:
        await _apply_next(core)


async def _apply_next(core: core_lib.Core) -> None:
    index = core.applied_index + 1
    entry = core.log.entry_at(index)
    result = _apply(core, index, commands.decode_command(entry.data))
    core.applied_index = index
    waiter = core.waiters.pop(index, None)
    if waiter is not None and waiter.term == entry.term:
        waiter.result = result
        await waiter.done.set()
    if index == core.term_start_index:
        await core.role_changed.notify()


def _apply(
    core: core_lib.Core, index: int, command: commands.Command
) -> commands.Result | None:
    """Applies a command; returns None if that raises an unexpected exception.

    Every replica applies the command to the same state and raises the same
    exception, now and after each restart. An entry that can't be decoded is not
    skipped, as a replica of a later build may apply it.
    """
    core.state.jobs.now_ms = core.now_ms()
    try:
        return core.state.apply(command)
    except MemoryError:
        raise
    except Exception as error:
        logs.failure(
            "entry:not-applied",
            error,
            index=index,
            command=type(command).__name__,
        )
        return None
