"""Interface between the leader and a worker, independent of the protocol."""

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol


class StartAnswer(enum.Enum):
    """Reply to an order to start a run.

    Only after `RUNNING`, `BROKEN_OFF` or `UNKNOWN` may this order have started
    the run; only after the last two may it have done so on a later incarnation,
    or do so later. `BROKEN_OFF` means that the connection closed without a
    reply.
    """

    RUNNING = "running"
    REFUSED = "refused"
    DEPOSED = "deposed"
    NO_CAPACITY = "no-room"
    UNHEALTHY = "unhealthy"
    BROKEN_OFF = "broken-off"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class RunningRow:
    """A run that a worker lists as running.

    Attributes:
      task: Task identifier.
      run: Number of the run.
      checkpoint: Latest checkpoint; empty for none.
      percent: Progress, or 100 for a serving task that is ready.
      measurement: Tail latency in milliseconds of a serving task; thousandths
        of a core in use by any other; None if not reported.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    measurement: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class FinishedRow:
    """A run that a worker lists as ended.

    Attributes:
      number: Number of the end, from 1 in each incarnation.
      task: Task identifier.
      run: Number of the run.
      outcome: `done`, `failed` or `gone`.
      checkpoint: Latest checkpoint; empty for none.
      detail: The worker's own word for how it ended, for the log.
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class PollReply:
    """A worker's reply to a poll.

    Attributes:
      born_ms: Incarnation that replied; 0 if not given.
      clock_ms: Its monotonic clock.
      running: Runs that are running.
      finished: Ends that are not acknowledged yet.
      complete: Whether every such end is listed.
    """

    born_ms: int
    clock_ms: int
    running: list[RunningRow]
    finished: list[FinishedRow]
    complete: bool


@dataclasses.dataclass(slots=True, frozen=True)
class StartOrder:
    """An order to start a run.

    Attributes:
      task: Task identifier.
      run: Number of the run.
      spec: The job's text for the worker.
      checkpoint: Checkpoint from which it resumes; empty for none.
      lease_until_ms: End of the lease on the worker's clock.
      fence: Fencing token of the link.
      min_clock_ms: Lower bound of the worker's clock. A reply with an earlier
        time is of a later incarnation, whose clock has restarted.
    """

    task: str
    run: int
    spec: str
    checkpoint: str
    lease_until_ms: int
    fence: int
    min_clock_ms: int = 0


class DeposedError(Exception):
    """A worker has seen a later leader, or a later link of the same one."""


class ReplacedError(Exception):
    """A worker with another identifier replied at the worker's address."""


class WorkerClient(Protocol):
    """Sends orders and polls to one worker."""

    def require(self, may_order: Callable[[], bool]) -> None:
        """Sets the permission that is checked right before each message.

        A connection may have to be opened first, which takes time. A message
        that is no longer permitted then counts as not sent.
        """

    async def start(self, order: StartOrder) -> tuple[StartAnswer, str]:
        """Orders a start; returns the reply and a reason for the log."""

    async def stop(self, task: str, run: int, fence: int) -> bool:
        """Orders a stop.

        Returns:
          Whether the worker confirmed that the run can no longer start on this
          incarnation.

        Raises:
          DeposedError: The worker has seen a higher fencing token.
        """

    async def poll(
        self, fence: int, acknowledged: int, lease_until_ms: int, wait_ms: int
    ) -> PollReply:
        """Renews the lease unless it is 0, acknowledges ends and lists runs.

        A poll that does not wait for ends leaves the worker more time to reply.

        Raises:
          errors.ExchangeError: The worker did not reply.
          DeposedError: The worker has seen a higher fencing token.
          ReplacedError: Another worker replied.
        """

    async def throttle(
        self, task: str, run: int, percent: int, fence: int
    ) -> bool:
        """Limits a run to a percent of full speed.

        Returns:
          Whether the worker applied or refused the limit.
        """

    async def close(self) -> None:
        """Closes the connections."""
