"""Waits for SIGTERM or SIGINT and reloads on SIGHUP."""

from collections.abc import Callable
import contextlib
import signal
import socket

import curio
import curio.io

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_STOP_AND_RELOAD_SIGNALS = (*_STOP_SIGNALS, signal.SIGHUP)


async def wait_for_stop(reload: Callable[[], None] | None = None) -> None:
    """Returns once SIGTERM or SIGINT has been received.

    Must run in the main thread. A signal alone doesn't wake the selector in
    which curio's kernel blocks, so signals are received through a wake-up
    socket.

    Args:
      reload: Called on each SIGHUP; SIGHUP isn't handled if None.
    """
    handled = _STOP_SIGNALS if reload is None else _STOP_AND_RELOAD_SIGNALS
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    reader.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous_handlers = {
        number: signal.signal(number, _do_nothing) for number in handled
    }
    stream = curio.io.Socket(reader)
    try:
        while (await stream.recv(1))[0] == signal.SIGHUP and reload:
            reload()
    finally:
        signal.set_wakeup_fd(previous_fd)
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
        with contextlib.suppress(OSError):
            await stream.close()
        writer.close()


def _do_nothing(number: int, frame: object) -> None:
    """Does nothing; the signal is received through the wake-up socket."""
    del number, frame
