"""Shared by all daemons: background tasks, the site key and signal handling."""

from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
from typing import Protocol

import curio

from galenahook import signals

SITE_KEY_HEADER = b"x-galenahook-key"


DaemonTask = Callable[[], Awaitable[None]]


class DaemonTasks:
    """Background tasks of a daemon; the daemon stops when one of them fails.

    Attributes:
      stop: Event that stops the daemon.
      failure: First exception raised by a task, if any.
    """

    def __init__(self, stop: curio.Event) -> None:
        self.stop = stop
        self.failure: Exception | None = None
        self._tasks: list[curio.Task] = []

    async def start(self, *functions: DaemonTask) -> None:
        """Runs each function as a background task."""
        for function in functions:
            task = await curio.spawn(self._run_task, function, daemon=True)
            self._tasks.append(task)

    async def _run_task(self, function: DaemonTask) -> None:
        try:
            await function()
        except Exception as error:
            self.failure = self.failure or error
            await self.stop.set()

    async def cancel(self) -> None:
        """Cancels all tasks in reverse order of their start.

        Raises the exception of a failed task again, if there is one.
        """
        for task in reversed(self._tasks):
            await task.cancel()
        if self.failure is not None:
            raise self.failure


class Process(Protocol):
    """A daemon that runs until it is told to stop."""

    async def run(self, stop: curio.Event) -> None:
        """Runs until `stop` is set, then stops gracefully and returns."""


def read_site_key(path: str) -> bytes:
    """Reads the key shared by the site's processes."""
    return pathlib.Path(path).read_bytes().strip()


def run_until_signal(process: Process) -> None:
    """Runs a daemon until SIGTERM or SIGINT.

    If the daemon has a method `reload`, it is called on each SIGHUP.

    Exceptions of the daemon propagate to the caller.
    """
    curio.run(_run_with_signal_watcher, process)


async def _run_with_signal_watcher(process: Process) -> None:
    stop = curio.Event()
    reload = getattr(process, "reload", None)
    watcher = await curio.spawn(_set_stop_on_signal, stop, reload, daemon=True)
    try:
        await process.run(stop)
    finally:
        await watcher.cancel()


async def _set_stop_on_signal(
    stop: curio.Event, reload: Callable[[], None] | None
) -> None:
    await signals.wait_for_stop(reload)
    await stop.set()
