"""Interface through which the scheduler reads tail latencies."""

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
        """Name of the VM that it runs on."""

    @property
    def sample(self) -> messages.TailSample:
        """The measured latencies."""

    @property
    def received_ms(self) -> int:
        """Monotonic time when the sample was received."""


class TailSource(Protocol):
    """Provides the last latency window of every executor."""

    def tail_latencies(self) -> Iterable[TailReading]:
        """Returns the last window of each executor that has one."""
