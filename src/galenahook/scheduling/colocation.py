"""Tracks colocated services and batch tasks on each VM over time."""

import collections
from collections.abc import Iterable
import dataclasses

from galenahook.scheduling import context as context_lib

# Bounds of the history, which is needed to match samples that arrive late.
MAX_HISTORY_LENGTH = 32
HISTORY_RETENTION_MS = 15_000


@dataclasses.dataclass(slots=True, frozen=True)
class BatchShares:
    """Shares of batch tasks on a VM from some time on.

    Attributes:
      since_ms: Monotonic time of the change.
      shares: Share of the VM's processors by job class.
    """

    since_ms: int
    shares: dict[str, float]


class Colocation:
    """Services and batch tasks by worker.

    Attributes:
      context: State and services shared by the parts of the scheduler.
      services: Services with an executor on a VM, by name of the VM.
      throttles: Percentage of its processors that a throttled task may use.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self.context = context
        self.services: dict[str, set[str]] = {}
        self.throttles: dict[str, int] = {}
        self._history: dict[str, collections.deque[BatchShares]] = {}
        self._workers: dict[str, str] = {}
        self._revision = -1
        self._classes: dict[str, str] = {}

    def refresh(self, names: Iterable[str]) -> None:
        """Updates the shares of workers whose tasks may have changed."""
        now_ms = self.context.clock.monotonic_ms()
        for name in names:
            worker = self.context.workers.workers.get(name)
            if worker is None:
                self._history.pop(name, None)
                continue
            self._workers[worker.announcement.vm] = name
            shares = self._shares(name)
            history = self._history.setdefault(
                name, collections.deque(maxlen=MAX_HISTORY_LENGTH)
            )
            if not history or history[-1].shares != shares:
                history.append(BatchShares(now_ms, shares))
            while (
                len(history) > 1
                and history[1].since_ms < now_ms - HISTORY_RETENTION_MS
            ):
                history.popleft()

    def worker_on(self, vm: str) -> str:
        """Returns the worker on a VM, or an empty string."""
        return self._workers.get(vm, "")

    def shares(self, worker: str) -> dict[str, float]:
        """Returns the current shares of job classes on a worker's VM."""
        history = self._history.get(worker)
        return history[-1].shares if history else {}

    def shares_at(self, worker: str, at_ms: int) -> dict[str, float]:
        """Returns the shares of job classes at an earlier time."""
        shares: dict[str, float] = {}
        for batch_shares in self._history.get(worker, ()):
            if batch_shares.since_ms > at_ms:
                break
            shares = batch_shares.shares
        return shares

    def services_on(self, worker: str) -> frozenset[str]:
        """Returns the services that run on a worker's VM."""
        held = self.context.tasks.services.get(worker, {})
        registered = self.context.workers.workers.get(worker)
        if registered is None or not self.services:
            return frozenset(held)
        others = self.services.get(registered.announcement.vm, ())
        return frozenset((*held, *others))

    def _shares(self, name: str) -> dict[str, float]:
        worker = self.context.workers.workers[name]
        capacity = max(1, worker.announcement.capacity.cores_milli)
        classes = self._classes_of_owners()
        records = self.context.tasks.records
        throttles = self.throttles
        shares: dict[str, float] = {}
        for task in self.context.tasks.held.get(name, ()):
            job_class = classes.get(task.rpartition("/")[0])
            if job_class is None:
                continue
            share = records[task].reserved.cores_milli / capacity
            if task in throttles:
                share *= throttles[task] / 100
            shares[job_class] = shares.get(job_class, 0.0) + share
        return shares

    def _classes_of_owners(self) -> dict[str, str]:
        current = self.context.configuration
        if self._revision != current.revision:
            self._revision = current.revision
            self._classes = {
                f"job/{job.name}": job.job_class
                for job in current.jobs.values()
            }
        return self._classes
