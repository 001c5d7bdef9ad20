"""Notification of tasks that wait for a change."""

import curio

from galenahook import clock as clock_lib


class Signal:
    """Wakes all tasks that are waiting at the time of a notification.

    A waiter checks its condition and then waits, without another `await` in
    between, so that it misses no notification.
    """

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = curio.Event()

    async def notify(self) -> None:
        """Wakes all waiting tasks."""
        event = self._event
        self._event = curio.Event()
        await event.set()

    async def wait(self, timeout_ms: float | None = None) -> bool:
        """Waits for a notification; returns False on timeout."""
        event = self._event
        if timeout_ms is None:
            await event.wait()
            return True
        if timeout_ms <= 0:
            return False
        try:
            async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
                await event.wait()
        except curio.TaskTimeout:
            return False
        return True
