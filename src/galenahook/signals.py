"""Waits for a planned stop: SIGTERM or SIGINT."""

import contextlib
import signal
import socket

import curio
import curio.io

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop() -> None:
    """Returns once SIGTERM or SIGINT has arrived.

    Must run in the main thread; curio's kernel sleeps in a selector that a
    signal alone doesn't wake, so the signal writes to a socket.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    reader.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous = {
        number: signal.signal(number, _ignore_in_python)
        for number in _STOP_SIGNALS
    }
    stream = curio.io.Socket(reader)
    try:
        await stream.recv(1)
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
