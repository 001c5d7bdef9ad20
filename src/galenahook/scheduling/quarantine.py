"""Quarantine of workers whose tasks fail, and blame of jobs that fail.

A failure is blamed on the worker until the job has failed on several workers
without a success anywhere. From then on it is blamed on the job, and workers
that were quarantined for that job alone are released. A worker that only did
not accept starts is quarantined for a short time, since the network may be at
fault.
"""

import dataclasses

from galenahook import clock as clock_lib

FAILURES_TO_QUARANTINE = 3
WORKERS_TO_BLAME_OWNER = 3
# The duration of a quarantine doubles each time, from the base to the cap.
QUARANTINE_BASE_MS = 20_000
QUARANTINE_CAP_MS = 30 * 60_000
# The same for workers that only did not accept starts.
NOT_ACCEPTED_BASE_MS = 1_000
NOT_ACCEPTED_CAP_MS = 30_000


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Failures on one worker since its last success.

    Attributes:
      failures: Failures since the last success, by owner of the tasks.
      quarantined_until_ms: Monotonic time when the quarantine ends and
        probation begins; 0 if it was not quarantined.
      quarantine_count: Number of quarantines since the last success.
    """

    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    quarantined_until_ms: int = 0
    quarantine_count: int = 0


class Quarantine:
    """Decides whether workers or owners of tasks are blamed for failures.

    Attributes:
      workers: Health of workers that failed since their last success.
      owners: Workers that each owner failed on since its last success.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.workers: dict[str, WorkerHealth] = {}
        self.owners: dict[str, set[str]] = {}
        self._quarantined: set[str] = set()

    def note_failure(self, worker: str, owner: str) -> bool:
        """Counts a failure; returns whether the worker is blamed."""
        failed_on = self.owners.setdefault(owner, set())
        failed_on.add(worker)
        if self.is_owner_blamed(owner):
            self._clear_failures(owner)
            return False
        health = self.workers.setdefault(worker, WorkerHealth())
        health.failures[owner] = health.failures.get(owner, 0) + 1
        if (
            self.is_on_probation(worker)
            or _total(health) >= FAILURES_TO_QUARANTINE
        ):
            self._quarantine(worker, health)
        return health.quarantined_until_ms > 0

    def note_success(self, worker: str, owner: str) -> None:
        """Clears the failures of a worker and an owner after a success."""
        self.workers.pop(worker, None)
        self.owners.pop(owner, None)

    def note_not_accepted(self, worker: str) -> None:
        """Counts a start that a worker refused or did not reply to."""
        self.note_failure(worker, _not_accepted(worker))

    def note_accepted(self, worker: str) -> None:
        """Clears the count of starts that were not accepted."""
        health = self.workers.get(worker)
        if health is None:
            return
        health.failures.pop(_not_accepted(worker), None)
        if not health.failures and not self.is_quarantined(worker):
            del self.workers[worker]

    def is_owner_blamed(self, owner: str) -> bool:
        """Returns whether failures are blamed on their owner."""
        return len(self.owners.get(owner, ())) >= WORKERS_TO_BLAME_OWNER

    def is_quarantined(self, worker: str) -> bool:
        """Returns whether a worker is quarantined."""
        health = self.workers.get(worker)
        if health is None:
            return False
        return self.clock.monotonic_ms() < health.quarantined_until_ms

    def is_on_probation(self, worker: str) -> bool:
        """Returns whether a worker may hold only one attempt."""
        health = self.workers.get(worker)
        if health is None or not health.quarantined_until_ms:
            return False
        return self.clock.monotonic_ms() >= health.quarantined_until_ms

    def take_released(self) -> set[str]:
        """Returns workers whose quarantine ended since the last call."""
        released = {
            name for name in self._quarantined if not self.is_quarantined(name)
        }
        self._quarantined -= released
        return released

    def quarantined(self) -> tuple[str, ...]:
        """Returns the workers that are quarantined now."""
        return tuple(name for name in self.workers if self.is_quarantined(name))

    def clear(self) -> None:
        """Discards all failures."""
        self.workers.clear()
        self.owners.clear()
        self._quarantined.clear()

    def _quarantine(self, worker: str, health: WorkerHealth) -> None:
        base_ms, cap_ms = QUARANTINE_BASE_MS, QUARANTINE_CAP_MS
        if list(health.failures) == [_not_accepted(worker)]:
            base_ms, cap_ms = NOT_ACCEPTED_BASE_MS, NOT_ACCEPTED_CAP_MS
        closed_ms = min(cap_ms, base_ms << health.quarantine_count)
        health.quarantined_until_ms = self.clock.monotonic_ms() + closed_ms
        health.quarantine_count = min(health.quarantine_count + 1, 16)
        self._quarantined.add(worker)

    def _clear_failures(self, owner: str) -> None:
        for name, health in list(self.workers.items()):
            health.failures.pop(owner, None)
            if not health.failures:
                del self.workers[name]


def _not_accepted(worker: str) -> str:
    return f"{worker}: start not accepted"


def _total(health: WorkerHealth) -> int:
    return sum(health.failures.values())
