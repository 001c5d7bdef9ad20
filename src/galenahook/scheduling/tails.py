"""Where the scheduler reads the tail latency of services from."""

from collections.abc import Iterable
from typing import Protocol

from galenahook import messages


class TailReading(Protocol):
    """The last latency window of one executor."""

    @property
    def executor(self) -> str:
        """Name of the executor."""

    @property
    def service(self) -> str:
        """Name of its service."""

    @property
    def vm(self) -> str:
        """VM that it stands on."""

    @property
    def sample(self) -> messages.TailSample:
        """What it measured."""

    @property
    def received_ms(self) -> int:
        """Monotonic time when the sample came in."""


class TailSource(Protocol):
    """Knows the last latency window of every executor."""

    def tails(self) -> Iterable[TailReading]:
        """Returns the last window of each executor that has one."""
