"""What the leader says to a worker, whatever the worker's own protocol."""

import dataclasses
import enum
from typing import Protocol


class StartAnswer(enum.Enum):
    """Answer to an order to start a run.

    `REFUSED` is certain: this order started nothing, now or later.
    """

    RUNNING = "running"
    REFUSED = "refused"
    DEPOSED = "deposed"
    NO_ROOM = "no-room"
    UNHEALTHY = "unhealthy"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class RunningRow:
    """A run that a worker lists as running.

    Attributes:
      task: Task identifier.
      run: Number of the run.
      checkpoint: Latest checkpoint; empty for none.
      percent: Progress, or 100 for a task that serves and is at work.
      measure: Tail in milliseconds of a task that serves; thousandths of a
        core in use by any other; None if the worker did not say.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    measure: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class FinishedRow:
    """A run that a worker lists as ended.

    Attributes:
      number: Number of the end, from 1 in each incarnation.
      task: Task identifier.
      run: Number of the run.
      outcome: `done`, `failed` or `gone`.
      checkpoint: Latest checkpoint; empty for none.
      detail: How it ended in the worker's own word, for the log.
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Lists:
    """A worker's answer to a look at its runs.

    Attributes:
      born_ms: Incarnation that answered; 0 if it did not say.
      clock_ms: Its steady clock.
      running: Runs that are there.
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
      checkpoint: From where it resumes; empty for the start.
      lease_until_ms: End of the lease on the worker's clock.
      term: Term of the leader.
    """

    task: str
    run: int
    spec: str
    checkpoint: str
    lease_until_ms: int
    term: int


class DeposedError(Exception):
    """A worker has seen a leader of a later term."""


class ReplacedError(Exception):
    """Another incarnation answers at the worker's address."""


class WorkerClient(Protocol):
    """Talks to one worker."""

    async def start(self, order: StartOrder) -> tuple[StartAnswer, str]:
        """Orders a start; returns the answer and the reason for the log."""

    async def stop(self, task: str, run: int, term: int) -> bool:
        """Orders a stop; True once that run can't start there any more.

        Raises:
          DeposedError: A later leader gives orders there.
        """

    async def look(
        self, term: int, acknowledged: int, lease_until_ms: int, wait_ms: int
    ) -> Lists:
        """Renews the lease, acknowledges ends and lists runs.

        Raises:
          errors.ExchangeError: No answer came.
          DeposedError: A later leader gives orders there.
          ReplacedError: Another incarnation answered.
        """

    async def throttle(
        self, task: str, run: int, percent: int, term: int
    ) -> bool:
        """Lets a run work at a share of its speed; False without an answer."""

    async def close(self) -> None:
        """Closes the connections."""
