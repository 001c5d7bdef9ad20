"""The leader's registry of workers, built from their announcements.

It is kept in memory only; a new leader rebuilds it from announcements. The
leader counts a lease from its reply to an announcement, which is later than the
worker's own start of the lease, and adds a margin for the rate of the worker's
clock.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import msgspec

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import messages
from galenahook import settings
from galenahook.scheduling import task_table
from galenahook.scheduling import tasks as tasks_lib
from galenahook.upstreams import successors as successors_lib

MAX_RETIRED_INCARNATIONS = 8
# A worker is usable once it has announced itself this often.
MIN_ANNOUNCEMENTS = 2
FULL_PERCENT = 100


@dataclasses.dataclass(slots=True)
class Worker:
    """One worker.

    Attributes:
      announcement: The last announcement, by sequence number.
      announced_at_ms: When that announcement arrived.
      lease_renewed_ms: When the lease was last renewed.
      attempts: Attempts as of that announcement, by task.
      attempts_sequence: Sequence number of the announcement that last listed
        them.
      excess_usage: Measured usage above the reservations.
      tasks_over_reservation: Tasks that use more than their reservation.
      throttled: Tasks whose processor use is throttled.
      announcements_recorded: Number of announcements recorded from this
        incarnation.
      retired: Earlier incarnations, whose announcements are refused.
      missing_tasks: Tasks held by this worker that the last announcement does
        not list.
      vanished_attempts: Task and attempt of those that an earlier announcement
        listed.
    """

    announcement: messages.WorkerAnnouncement
    announced_at_ms: int
    lease_renewed_ms: int
    attempts: dict[str, messages.AttemptStatus]
    attempts_sequence: int = 0
    excess_usage: messages.Resources = messages.Resources()
    tasks_over_reservation: tuple[str, ...] = ()
    throttled: tuple[str, ...] = ()
    announcements_recorded: int = 0
    retired: tuple[str, ...] = ()
    missing_tasks: tuple[str, ...] = ()
    vanished_attempts: frozenset[tuple[str, int]] = frozenset()

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self.announcement.name


class WorkerRegistry:
    """Every worker that announced itself in this leader's term.

    Attributes:
      workers: Workers by name.
      changed: Names of workers whose free capacity may have changed.
      fenced: Names of workers whose leases are not renewed until the attempts
        that they hold have ended.
      successors: Incarnations that have announced themselves once beside
        another one of their name.
    """

    def __init__(self, clock: clock_lib.Clock, timing: settings.Timing) -> None:
        self.clock = clock
        self.timing = timing
        self.workers: dict[str, Worker] = {}
        self.changed: set[str] = set()
        self.fenced: set[str] = set()
        self.successors = successors_lib.Successors(clock)
        self._elected_ms = clock.monotonic_ms()

    def reset_for_term(self) -> None:
        """Clears the registry and assumes a full lease for every worker."""
        self.workers.clear()
        self.changed.clear()
        self.fenced.clear()
        self.successors.clear()
        self._elected_ms = self.clock.monotonic_ms()

    def announce(
        self,
        announcement: messages.WorkerAnnouncement,
        tasks: task_table.TaskTable,
    ) -> messages.AnnouncementReply:
        """Records an announcement and renews the worker's lease.

        Called only while this replica leads. `stop` in the reply lists every
        announced attempt that is not its task's current one, or all of them if
        the renewal is refused. It is empty if the reply requests the attempts.
        """
        worker = self.workers.get(announcement.name)
        if worker and announcement.incarnation in worker.retired:
            return _refuse(announcement, announcement.attempts)
        if self._may_be_outdated(worker, announcement, tasks):
            # A process that is up announces itself again at once.
            return _request_attempts(announcement)
        if announcement.attempts_as_of:
            if not _has_attempts(worker, announcement):
                return _request_attempts(announcement)
            assert worker is not None
            announcement = msgspec.structs.replace(
                announcement, attempts=worker.announcement.attempts
            )
        now_ms = self.clock.monotonic_ms()
        if worker is None or _is_newer(worker, announcement):
            worker = self._record_announcement(
                worker, announcement, tasks, now_ms
            )
        if self._fence_if_expired(announcement.name, tasks):
            return _refuse(announcement, announcement.attempts)
        worker.lease_renewed_ms = now_ms
        return messages.AnnouncementReply(
            name=announcement.name,
            sequence=announcement.sequence,
            lease_ms=self.timing.worker_lease_ms,
            stop=_outdated_attempts(announcement, tasks),
        )

    def _may_be_outdated(
        self,
        worker: Worker | None,
        announcement: messages.WorkerAnnouncement,
        tasks: task_table.TaskTable,
    ) -> bool:
        """Returns whether an incarnation may not be the latest of its name.

        Another one is known, or has held attempts since an earlier term.
        """
        name, incarnation = announcement.name, announcement.incarnation
        if worker is not None:
            is_known = worker.announcement.incarnation == incarnation
            other_ms = worker.announced_at_ms
        else:
            is_known = all(
                tasks.records[task].incarnation == incarnation
                for task in tasks.held.get(name, ())
            )
            other_ms = self._elected_ms
        return not is_known and not self.successors.confirm(
            announcement, other_ms
        )

    def _fence_if_expired(self, name: str, tasks: task_table.TaskTable) -> bool:
        """Fences a worker whose lease expired while it held attempts.

        The fence ends once the worker holds none.

        Returns:
          Whether its lease must not be renewed.
        """
        if not self.is_lease_expired(name):
            return False
        self.fenced.add(name)
        if tasks.held.get(name):
            return True
        self.fenced.discard(name)
        self.changed.add(name)
        return False

    def _record_announcement(
        self,
        worker: Worker | None,
        announcement: messages.WorkerAnnouncement,
        tasks: task_table.TaskTable,
        now_ms: int,
    ) -> Worker:
        attempts = {status.task: status for status in announcement.attempts}
        missing = tuple(_missing_tasks(announcement, attempts, tasks))
        if worker is None:
            worker = Worker(announcement, now_ms, now_ms, attempts)
            self.workers[announcement.name] = worker
            self.changed.add(announcement.name)
        elif self._may_affect_scheduling(worker, announcement):
            self.changed.add(announcement.name)
        if worker.announcement.incarnation != announcement.incarnation:
            retired = (*worker.retired, worker.announcement.incarnation)
            worker.retired = retired[-MAX_RETIRED_INCARNATIONS:]
            worker.lease_renewed_ms = now_ms
            worker.announcements_recorded = 0
            worker.vanished_attempts = frozenset()
        elif missing:
            worker.vanished_attempts = _vanished_attempts(
                worker, missing, tasks
            )
        worker.announcements_recorded += 1
        worker.announcement = announcement
        worker.announced_at_ms = now_ms
        worker.attempts = attempts
        if not announcement.attempts_as_of:
            worker.attempts_sequence = announcement.sequence
        worker.missing_tasks = missing
        worker.throttled = tuple(
            status.task
            for status in announcement.attempts
            if status.throttle_percent < FULL_PERCENT
        )
        excess, worker.tasks_over_reservation = _excess_usage(worker, tasks)
        if missing or excess != worker.excess_usage:
            self.changed.add(announcement.name)
        worker.excess_usage = excess
        return worker

    def _may_affect_scheduling(
        self, worker: Worker, announcement: messages.WorkerAnnouncement
    ) -> bool:
        """Returns whether an announcement may change scheduling decisions."""
        known = worker.announcement
        return (
            worker.announcements_recorded <= MIN_ANNOUNCEMENTS
            or self.is_unresponsive(worker)
            or known.incarnation != announcement.incarnation
            or known.leaving != announcement.leaving
            or known.capacity != announcement.capacity
            or known.availability_zone != announcement.availability_zone
        )

    def is_lease_expired(self, name: str) -> bool:
        """Returns whether a worker has certainly stopped all its attempts.

        That is so once its lease has ended. A worker without announcements in
        this term is assumed to have a full lease from the start of the term.
        The lease of a fenced worker counts as ended.
        """
        return bool(self.expired_leases((name,)))

    def expired_leases(self, names: Iterable[str]) -> list[str]:
        """Returns those of `names` whose leases have certainly ended."""
        lease_ms = self.timing.worker_lease_ms
        margin_ms = lease_ms * defaults.CLOCK_RATE_MARGIN_PERCENT // 100 + 1
        oldest_valid_ms = self.clock.monotonic_ms() - lease_ms - margin_ms
        expired = []
        for name in names:
            worker = self.workers.get(name)
            renewed_ms = worker.lease_renewed_ms if worker else self._elected_ms
            if renewed_ms < oldest_valid_ms or name in self.fenced:
                expired.append(name)
        return expired

    def had_time_to_announce(self) -> bool:
        """Returns whether every live worker has had time to announce itself."""
        elapsed_ms = self.clock.monotonic_ms() - self._elected_ms
        return elapsed_ms > self.timing.worker_lease_ms

    def fence(self, name: str) -> None:
        """Stops renewing a worker's lease until it holds no more attempts."""
        self.fenced.add(name)

    def remove(self, name: str) -> None:
        """Removes a worker whose lease has ended and that holds no attempts."""
        self.workers.pop(name, None)
        self.successors.forget(name)
        self.changed.add(name)

    def is_usable(self, name: str) -> bool:
        """Returns whether attempts may be started on a worker now.

        It must have announced itself twice, since it has no lease before the
        reply to its first announcement.
        """
        worker = self.workers.get(name)
        return (
            worker is not None
            and worker.announcements_recorded >= MIN_ANNOUNCEMENTS
            and not worker.announcement.leaving
            and name not in self.fenced
            and not self.is_unresponsive(worker)
        )

    def is_unresponsive(self, worker: Worker) -> bool:
        """Returns whether its last announcement is older than a start's TTL."""
        age_ms = self.clock.monotonic_ms() - worker.announced_at_ms
        return age_ms > self.timing.start_ttl_ms

    def free_capacity(
        self, name: str, tasks: task_table.TaskTable
    ) -> messages.Resources:
        """Returns the free capacity of a worker.

        Reservations and usage above them are subtracted; amounts may be
        negative. A worker without reservations counts as entirely free.
        """
        worker = self.workers[name]
        capacity = worker.announcement.capacity
        excess = worker.excess_usage
        reserved = tasks.reserved.get(name)
        if reserved is None:
            return capacity
        return messages.Resources(
            capacity.cores_milli - reserved.cores_milli - excess.cores_milli,
            capacity.memory_mb - reserved.memory_mb - excess.memory_mb,
            capacity.accelerators - reserved.accelerators - excess.accelerators,
        )

    def capacities(self) -> Iterator[messages.Resources]:
        """Returns the capacity of each registered worker."""
        for worker in self.workers.values():
            yield worker.announcement.capacity


def _has_attempts(
    worker: Worker | None, announcement: messages.WorkerAnnouncement
) -> bool:
    return (
        worker is not None
        and worker.announcement.incarnation == announcement.incarnation
        and worker.attempts_sequence == announcement.attempts_as_of
    )


def _request_attempts(
    announcement: messages.WorkerAnnouncement,
) -> messages.AnnouncementReply:
    return messages.AnnouncementReply(
        name=announcement.name,
        sequence=announcement.sequence,
        lease_ms=0,
        send_attempts=True,
    )


def _is_newer(
    worker: Worker, announcement: messages.WorkerAnnouncement
) -> bool:
    known = worker.announcement
    return (
        announcement.incarnation != known.incarnation
        or announcement.sequence > known.sequence
    )


def _missing_tasks(
    announcement: messages.WorkerAnnouncement,
    attempts: dict[str, messages.AttemptStatus],
    tasks: task_table.TaskTable,
) -> Iterator[str]:
    for task in tasks.held.get(announcement.name, ()):
        status = attempts.get(task)
        if status is None or not _is_current_attempt(
            announcement, status, tasks
        ):
            yield task


def _vanished_attempts(
    worker: Worker, missing: tuple[str, ...], tasks: task_table.TaskTable
) -> frozenset[tuple[str, int]]:
    """Returns the missing attempts that this incarnation had announced."""
    vanished = []
    for task in missing:
        attempt = tasks.records[task].attempt
        status = worker.attempts.get(task)
        listed = status is not None and status.attempt == attempt
        if listed or (task, attempt) in worker.vanished_attempts:
            vanished.append((task, attempt))
    return frozenset(vanished)


def _refuse(
    announcement: messages.WorkerAnnouncement,
    attempts: tuple[messages.AttemptStatus, ...],
) -> messages.AnnouncementReply:
    return messages.AnnouncementReply(
        name=announcement.name,
        sequence=announcement.sequence,
        lease_ms=0,
        stop=tuple(
            messages.AttemptRef(task=status.task, attempt=status.attempt)
            for status in attempts
        ),
    )


def _outdated_attempts(
    announcement: messages.WorkerAnnouncement, tasks: task_table.TaskTable
) -> tuple[messages.AttemptRef, ...]:
    return tuple(
        messages.AttemptRef(task=status.task, attempt=status.attempt)
        for status in announcement.attempts
        if not _is_current_attempt(announcement, status, tasks)
    )


def _is_current_attempt(
    announcement: messages.WorkerAnnouncement,
    status: messages.AttemptStatus,
    tasks: task_table.TaskTable,
) -> bool:
    record = tasks.records.get(status.task)
    return (
        record is not None
        and tasks_lib.is_current(record, status.task, status.attempt)
        and record.worker == announcement.name
        and record.incarnation == announcement.incarnation
    )


def _excess_usage(
    worker: Worker, tasks: task_table.TaskTable
) -> tuple[messages.Resources, tuple[str, ...]]:
    """Sums usage above reservations, and all usage of outdated attempts.

    Returns:
      The sum, and the tasks that use more than their reservation.
    """
    cores_milli = 0
    memory_mb = 0
    over_reservation = []
    for status in worker.attempts.values():
        if status.usage is None:
            continue
        over = status.usage
        if _is_current_attempt(worker.announcement, status, tasks):
            reserved = tasks.records[status.task].reserved
            over = messages.Resources(
                max(0, over.cores_milli - reserved.cores_milli),
                max(0, over.memory_mb - reserved.memory_mb),
            )
        if over.cores_milli or over.memory_mb:
            over_reservation.append(status.task)
            cores_milli += over.cores_milli
            memory_mb += over.memory_mb
    return messages.Resources(cores_milli, memory_mb), tuple(over_reservation)
