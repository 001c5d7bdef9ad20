"""What a link to a worker requires of the leader."""

from collections.abc import Callable
from typing import Any

from galenahook import commands
from galenahook.jobs import worker_api
from galenahook.jobs import workers as workers_lib


class LinkOwner:
    """What a link requires of the leader."""

    now_ms: Callable[[], int]
    may_lead: Callable[[], bool]

    def next_fence(self) -> int:
        """Returns a fencing token, higher than all that were in use before."""
        raise NotImplementedError

    def is_zone_out(self, availability_zone: str) -> bool:
        """Returns whether operators have taken a zone out of service."""
        raise NotImplementedError

    async def spawn(
        self, function: Callable[..., Any], *arguments: Any
    ) -> None:
        """Spawns a task that runs concurrently."""
        raise NotImplementedError

    async def note_deposed_by(self, worker: workers_lib.Worker) -> None:
        """Handles that a worker has seen a leader of a later term."""
        raise NotImplementedError

    def note_confirmed(
        self, worker: workers_lib.Worker, run: workers_lib.LiveRun
    ) -> None:
        """Handles that a worker has confirmed a start."""
        raise NotImplementedError

    def note_untracked_end(
        self, worker: workers_lib.Worker, row: worker_api.FinishedRow
    ) -> None:
        """Handles the end of a run that its link does not track."""
        raise NotImplementedError

    async def queue_ends(self, ends: list[commands.RunEnd]) -> None:
        """Queues ends for a commit."""
        raise NotImplementedError

    def observe(self, worker: workers_lib.Worker) -> None:
        """Handles the state that a poll returned."""
        raise NotImplementedError

    def note_end(
        self, worker: workers_lib.Worker, run: workers_lib.LiveRun, outcome: str
    ) -> None:
        """Handles the end of a run."""
        raise NotImplementedError

    def note_refusal(
        self,
        worker: workers_lib.Worker,
        run: workers_lib.LiveRun,
        answer: worker_api.StartAnswer,
        reason: str,
    ) -> None:
        """Handles a start that the worker refused."""
        raise NotImplementedError
