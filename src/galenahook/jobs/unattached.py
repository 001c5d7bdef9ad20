"""Runs of earlier terms that no worker of this term has taken yet."""

import collections
from collections.abc import Iterable

from galenahook.jobs import calls
from galenahook.jobs import tasks as tasks_lib


class UnattachedRuns:
    """Runs of earlier terms whose worker is not established in this term.

    Runs are found by worker and VM, so that the heartbeats after an election do
    not each compare all of them.
    """

    __slots__ = ("_by_worker", "_workers_by_machine")

    def __init__(self, records: Iterable[tasks_lib.RunRecord]) -> None:
        self._by_worker: dict[str, list[tasks_lib.RunRecord]] = (
            collections.defaultdict(list)
        )
        self._workers_by_machine: dict[str, set[str]] = collections.defaultdict(
            set
        )
        for record in records:
            self._by_worker[record.worker].append(record)
            if record.machine:
                self._workers_by_machine[record.machine].add(record.worker)

    def take_runs_of(
        self, heartbeat: calls.WorkerHeartbeat
    ) -> list[tasks_lib.RunRecord]:
        """Removes and returns the runs of a worker.

        A delayed heartbeat may be of an earlier incarnation than a run, which
        then stays.
        """
        return self._take(heartbeat.worker, max_born_ms=heartbeat.born_ms)

    def take_replaced_by(
        self, heartbeat: calls.WorkerHeartbeat
    ) -> list[tasks_lib.RunRecord]:
        """Removes and returns the runs of earlier workers on a worker's VM."""
        workers = self._workers_by_machine.get(heartbeat.machine, set())
        return [
            record
            for worker in sorted(workers)
            for record in self._take(worker, heartbeat.born_ms - 1)
        ]

    def _take(self, worker: str, max_born_ms: int) -> list[tasks_lib.RunRecord]:
        records = self._by_worker.pop(worker, [])
        later = [item for item in records if item.born_ms > max_born_ms]
        if later:
            self._by_worker[worker] = later
        return [item for item in records if item.born_ms <= max_born_ms]

    def take_all(self, may_be_pending: bool) -> list[tasks_lib.RunRecord]:
        """Removes and returns every run, or only the confirmed ones.

        Args:
          may_be_pending: Whether the start of one that was not confirmed may
            still be carried out, so that it stays.
        """
        taken: list[tasks_lib.RunRecord] = []
        for worker, records in list(self._by_worker.items()):
            left = [
                item
                for item in records
                if may_be_pending and not item.confirmed
            ]
            taken += [item for item in records if item not in left]
            if left:
                self._by_worker[worker] = left
            else:
                del self._by_worker[worker]
        return taken
