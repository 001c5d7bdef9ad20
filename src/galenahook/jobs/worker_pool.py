"""Established workers, by identifier and VM."""

from galenahook import clock as clock_lib
from galenahook import logs
from galenahook.jobs import calls
from galenahook.jobs import workers as workers_lib

# Shortest time between two lines about ignored announcements beside a worker.
IGNORED_LOG_PERIOD_MS = 10_000


class WorkerPool:
    """Workers whose process has replied to this leader.

    Attributes:
      workers: Current incarnation of each worker by identifier.
    """

    __slots__ = ("_by_machine", "_clock", "workers")

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self.workers: dict[str, workers_lib.Worker] = {}
        self._by_machine: dict[str, workers_lib.Worker] = {}

    def record(self, heartbeat: calls.WorkerHeartbeat) -> bool:
        """Records the heartbeat of an established incarnation.

        One that contradicts what established the incarnation is of another
        writer and has no effect, but a VM or labels that were missing are
        added. One without a drain withdraws a notice that the worker ends.

        Returns:
          Whether the heartbeat names an established incarnation.
        """
        known = self.workers.get(heartbeat.worker)
        if known is None or known.heartbeat.born_ms != heartbeat.born_ms:
            return False
        if not heartbeat.identity.completes(known.heartbeat.identity):
            self.log_ignored(known, heartbeat)
        elif heartbeat.sequence > known.heartbeat.sequence:
            _log_capacity_change(known.heartbeat, heartbeat)
            known.heartbeat = heartbeat
            if heartbeat.machine not in self._by_machine:
                self.add(known)
            if known.leaving_since_ms and not heartbeat.draining:
                logs.info("worker:stays", worker=known.name)
                known.leaving_since_ms = 0
        return True

    def rivals(
        self, heartbeat: calls.WorkerHeartbeat
    ) -> list[workers_lib.Worker]:
        """Returns the workers that can't be up beside an announced one.

        They have its identifier or are on its VM.
        """
        rivals = []
        same_name = self.workers.get(heartbeat.worker)
        if same_name is not None:
            rivals.append(same_name)
        same_vm = self._by_machine.get(heartbeat.machine)
        if same_vm is not None and same_vm is not same_name:
            rivals.append(same_vm)
        return rivals

    def add(self, worker: workers_lib.Worker) -> None:
        """Adds a worker whose rivals have been removed."""
        self.workers[worker.name] = worker
        if worker.heartbeat.machine:
            self._by_machine[worker.heartbeat.machine] = worker

    def remove(self, worker: workers_lib.Worker) -> None:
        """Removes an incarnation that has ended."""
        if self.workers.get(worker.name) is worker:
            del self.workers[worker.name]
        if self._by_machine.get(worker.heartbeat.machine) is worker:
            del self._by_machine[worker.heartbeat.machine]

    def log_ignored(
        self, known: workers_lib.Worker, heartbeat: calls.WorkerHeartbeat
    ) -> None:
        """Logs an announcement that has no effect beside a known worker."""
        now_ms = self._clock.monotonic_ms()
        if (
            known.ignored_logged_ms
            and now_ms - known.ignored_logged_ms < IGNORED_LOG_PERIOD_MS
        ):
            return
        known.ignored_logged_ms = now_ms
        logs.warning(
            "worker:announcement-ignored",
            worker=heartbeat.worker,
            born_ms=heartbeat.born_ms,
            address=heartbeat.address,
            machine=heartbeat.machine,
            service=heartbeat.service,
            known=known.name,
            known_born_ms=known.heartbeat.born_ms,
            known_address=known.heartbeat.address,
            known_machine=known.heartbeat.machine,
            known_service=known.heartbeat.service,
        )


def _log_capacity_change(
    before: calls.WorkerHeartbeat, after: calls.WorkerHeartbeat
) -> None:
    """Logs the new capacity of a worker if it has changed."""
    if (before.cpu_millis, before.memory_mb, before.gpus) != (
        after.cpu_millis,
        after.memory_mb,
        after.gpus,
    ):
        logs.info(
            "worker:capacity",
            worker=after.worker,
            cpu_millis=after.cpu_millis,
            memory_mb=after.memory_mb,
            gpus=after.gpus,
            cpu_millis_before=before.cpu_millis,
            memory_mb_before=before.memory_mb,
            gpus_before=before.gpus,
        )
