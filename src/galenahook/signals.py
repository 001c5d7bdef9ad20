"""Waits for a planned stop, SIGTERM or SIGINT, and reloads on SIGHUP."""

from collections.abc import Callable
import contextlib
import signal
import socket

import curio
import curio.io

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_ALL_SIGNALS = (*_STOP_SIGNALS, signal.SIGHUP)


async def wait_for_stop(reload: Callable[[], None] | None = None) -> None:
    """Returns once SIGTERM or SIGINT has arrived.

    Args:
      reload: Called at each SIGHUP, which is left alone without it.

    Must run in the main thread; curio's kernel sleeps in a selector that a
    signal alone doesn't wake, so the signal writes to a socket.
    """
    handled = _STOP_SIGNALS if reload is None else _ALL_SIGNALS
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    reader.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous = {
        number: signal.signal(number, _ignore_in_python) for number in handled
    }
    stream = curio.io.Socket(reader)
    try:
        while (await stream.recv(1))[0] == signal.SIGHUP and reload:
            reload()
    finally:
        signal.set_wakeup_fd(previous_fd)
        for number, handler in previous.items():
            signal.signal(number, handler)
        with contextlib.suppress(OSError):
            await stream.close()
        writer.close()


def _ignore_in_python(number: int, frame: object) -> None:
    """Leaves the signal to the wake-up socket."""
    del number, frame
