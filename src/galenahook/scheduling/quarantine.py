"""Quarantine of workers that fail what they start, and of jobs that fail.

A failure is blamed on the worker until the job has failed on several workers
without a success anywhere; from then on it is blamed on the job, and workers
that were closed for that job alone are opened again. A worker that only did
not accept starts is closed for a short time, since the fault may lie between.
"""

import dataclasses

from galenahook import clock as clock_lib

FAILURES_TO_CLOSE = 3
WORKERS_TO_BLAME_OWNER = 3
CLOSED_BASE_MS = 20_000
CLOSED_CAP_MS = 30 * 60_000
UNREACHED_BASE_MS = 1_000
UNREACHED_CAP_MS = 30_000


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Failures in a row on one worker.

    Attributes:
      failures: Failures since the last success, by owner of the tasks.
      closed_until_ms: Monotonic time when probation begins; 0 if it was
        never closed.
      closures: Times it was closed since its last success.
    """

    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    closed_until_ms: int = 0
    closures: int = 0


class Quarantine:
    """Who is to blame for failures.

    Attributes:
      workers: Health of workers with failures since their last success.
      owners: Workers on which an owner failed since its last success.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.workers: dict[str, WorkerHealth] = {}
        self.owners: dict[str, set[str]] = {}
        self._closed: set[str] = set()

    def note_failure(self, worker: str, owner: str) -> bool:
        """Counts a failure; returns whether the worker is to blame."""
        failed_on = self.owners.setdefault(owner, set())
        failed_on.add(worker)
        if self.is_owner_blamed(owner):
            self._pardon(owner)
            return False
        health = self.workers.setdefault(worker, WorkerHealth())
        health.failures[owner] = health.failures.get(owner, 0) + 1
        if self.is_on_probation(worker) or _total(health) >= FAILURES_TO_CLOSE:
            self._close(worker, health)
        return health.closed_until_ms > 0

    def note_success(self, worker: str, owner: str) -> None:
        """Counts a success, which clears both worker and owner."""
        self.workers.pop(worker, None)
        self.owners.pop(owner, None)

    def note_not_accepted(self, worker: str) -> None:
        """Counts a start that a worker refused or did not answer."""
        self.note_failure(worker, _not_accepted(worker))

    def note_accepted(self, worker: str) -> None:
        """Clears the count of starts that were not accepted."""
        health = self.workers.get(worker)
        if health is None:
            return
        health.failures.pop(_not_accepted(worker), None)
        if not health.failures and not self.is_closed(worker):
            del self.workers[worker]

    def is_owner_blamed(self, owner: str) -> bool:
        """Returns whether an owner's failures are its own fault."""
        return len(self.owners.get(owner, ())) >= WORKERS_TO_BLAME_OWNER

    def is_closed(self, worker: str) -> bool:
        """Returns whether a worker gets no work."""
        health = self.workers.get(worker)
        if health is None:
            return False
        return self.clock.monotonic_ms() < health.closed_until_ms

    def is_on_probation(self, worker: str) -> bool:
        """Returns whether a worker may hold one attempt only."""
        health = self.workers.get(worker)
        if health is None or not health.closed_until_ms:
            return False
        return self.clock.monotonic_ms() >= health.closed_until_ms

    def take_reopened(self) -> set[str]:
        """Returns workers that were closed and may get work again."""
        reopened = {name for name in self._closed if not self.is_closed(name)}
        self._closed -= reopened
        return reopened

    def closed(self) -> tuple[str, ...]:
        """Returns the workers that get no work now."""
        return tuple(name for name in self.workers if self.is_closed(name))

    def clear(self) -> None:
        """Forgets everything."""
        self.workers.clear()
        self.owners.clear()
        self._closed.clear()

    def _close(self, worker: str, health: WorkerHealth) -> None:
        base_ms, cap_ms = CLOSED_BASE_MS, CLOSED_CAP_MS
        if list(health.failures) == [_not_accepted(worker)]:
            base_ms, cap_ms = UNREACHED_BASE_MS, UNREACHED_CAP_MS
        closed_ms = min(cap_ms, base_ms << health.closures)
        health.closed_until_ms = self.clock.monotonic_ms() + closed_ms
        health.closures = min(health.closures + 1, 16)
        self._closed.add(worker)

    def _pardon(self, owner: str) -> None:
        for name, health in list(self.workers.items()):
            health.failures.pop(owner, None)
            if not health.failures:
                del self.workers[name]


def _not_accepted(worker: str) -> str:
    return f"{worker}: start not accepted"


def _total(health: WorkerHealth) -> int:
    return sum(health.failures.values())
