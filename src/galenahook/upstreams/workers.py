"""Workers as the leader knows them from their announcements.

All of it is soft state: a new leader learns it again. Leases are counted here
from the moment an announcement was answered, which is later than the worker's
own count, plus a margin for the rate of its clock.
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

MAX_RETIRED_INCARNATIONS = 8
MIN_ANNOUNCEMENTS = 2
FULL_PERCENT = 100


@dataclasses.dataclass(slots=True)
class Worker:
    """One worker.

    Attributes:
      announcement: The last one in the order of its sequence.
      heard_ms: When that announcement came in.
      answered_ms: When the lease was last renewed.
      attempts: Attempts it held then, by task.
      attempts_sequence: Announcement that last listed them.
      excess: Use above what is reserved, as far as measured.
      over: Tasks that use more than they reserve.
      throttled: Tasks that may not use all of their processors.
      taken: Announcements taken from this incarnation.
      retired: Earlier incarnations, which are refused.
      missing: Its held tasks that the last announcement did not list.
      vanished: Those of them that an earlier announcement had listed.
    """

    announcement: messages.WorkerAnnouncement
    heard_ms: int
    answered_ms: int
    attempts: dict[str, messages.AttemptStatus]
    attempts_sequence: int = 0
    excess: messages.Resources = messages.Resources()
    over: tuple[str, ...] = ()
    throttled: tuple[str, ...] = ()
    taken: int = 0
    retired: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    vanished: frozenset[tuple[str, int]] = frozenset()

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self.announcement.name


class WorkerRegistry:
    """Every worker that announced itself in this leader's term.

    Attributes:
      workers: Workers by name.
      changed: Names of workers whose free room may have changed.
      fenced: Workers whose lease was over; nothing is renewed for them until
        what they held has ended.
    """

    def __init__(self, clock: clock_lib.Clock, timing: settings.Timing) -> None:
        self.clock = clock
        self.timing = timing
        self.workers: dict[str, Worker] = {}
        self.changed: set[str] = set()
        self.fenced: set[str] = set()
        self._elected_ms = clock.monotonic_ms()

    def reset_for_term(self) -> None:
        """Forgets everything and counts a full lease for every worker."""
        self.workers.clear()
        self.changed.clear()
        self.fenced.clear()
        self._elected_ms = self.clock.monotonic_ms()

    def announce(
        self,
        announcement: messages.WorkerAnnouncement,
        held: task_table.TaskTable,
    ) -> messages.AnnouncementReply:
        """Takes an announcement and renews the worker's lease.

        The caller must hold the leadership at this moment. `stop` lists every
        announced attempt that is not its task's current one.
        """
        worker = self.workers.get(announcement.name)
        if worker and announcement.incarnation in worker.retired:
            return _refuse(announcement, announcement.attempts)
        if announcement.attempts_as_of:
            if not _knows_attempts(worker, announcement):
                return _ask_for_attempts(announcement)
            assert worker is not None
            announcement = msgspec.structs.replace(
                announcement, attempts=worker.announcement.attempts
            )
        now_ms = self.clock.monotonic_ms()
        if worker is None or _is_newer(worker, announcement):
            worker = self._take(worker, announcement, held, now_ms)
        if self._must_refuse(announcement.name, held):
            return _refuse(announcement, announcement.attempts)
        worker.answered_ms = now_ms
        return messages.AnnouncementReply(
            name=announcement.name,
            sequence=announcement.sequence,
            lease_ms=self.timing.worker_lease_ms,
            stop=_out_of_date(announcement, held),
        )

    def _must_refuse(self, name: str, held: task_table.TaskTable) -> bool:
        """Returns whether a lease that was over has work left to end."""
        if not self.is_lease_over(name):
            return False
        self.fenced.add(name)
        if held.held.get(name):
            return True
        self.fenced.discard(name)
        self.changed.add(name)
        return False

    def _take(
        self,
        worker: Worker | None,
        announcement: messages.WorkerAnnouncement,
        held: task_table.TaskTable,
        now_ms: int,
    ) -> Worker:
        attempts = {status.task: status for status in announcement.attempts}
        missing = tuple(_missing(announcement, attempts, held))
        if worker is None:
            worker = Worker(announcement, now_ms, now_ms, attempts)
            self.workers[announcement.name] = worker
            self.changed.add(announcement.name)
        elif self._is_notable(worker, announcement):
            self.changed.add(announcement.name)
        if worker.announcement.incarnation != announcement.incarnation:
            retired = (*worker.retired, worker.announcement.incarnation)
            worker.retired = retired[-MAX_RETIRED_INCARNATIONS:]
            worker.answered_ms = now_ms
            worker.taken = 0
            worker.vanished = frozenset()
        elif missing:
            worker.vanished = _vanished(worker, missing, held)
        worker.taken += 1
        worker.announcement = announcement
        worker.heard_ms = now_ms
        worker.attempts = attempts
        if not announcement.attempts_as_of:
            worker.attempts_sequence = announcement.sequence
        worker.missing = missing
        worker.throttled = tuple(
            status.task
            for status in announcement.attempts
            if status.throttle_percent < FULL_PERCENT
        )
        excess, worker.over = _excess(worker, held)
        if missing or excess != worker.excess:
            self.changed.add(announcement.name)
        worker.excess = excess
        return worker

    def _is_notable(
        self, worker: Worker, announcement: messages.WorkerAnnouncement
    ) -> bool:
        """Returns whether decisions may differ after an announcement."""
        known = worker.announcement
        return (
            worker.taken <= MIN_ANNOUNCEMENTS
            or self.is_silent(worker)
            or known.incarnation != announcement.incarnation
            or known.leaving != announcement.leaving
            or known.capacity != announcement.capacity
            or known.availability_zone != announcement.availability_zone
        )

    def is_lease_over(self, name: str) -> bool:
        """Returns whether a worker has certainly stopped what it ran.

        A worker not heard of in this term is given a full lease from its
        start.
        """
        return bool(self.over_leases((name,)))

    def over_leases(self, names: Iterable[str]) -> list[str]:
        """Returns those of some workers whose leases are over."""
        lease_ms = self.timing.worker_lease_ms
        margin_ms = lease_ms * defaults.CLOCK_RATE_MARGIN_PERCENT // 100 + 1
        oldest_ms = self.clock.monotonic_ms() - lease_ms - margin_ms
        found = []
        for name in names:
            worker = self.workers.get(name)
            renewed_ms = worker.answered_ms if worker else self._elected_ms
            if renewed_ms < oldest_ms or name in self.fenced:
                found.append(name)
        return found

    def is_settled(self) -> bool:
        """Returns whether every living worker has had time to announce."""
        elapsed_ms = self.clock.monotonic_ms() - self._elected_ms
        return elapsed_ms > self.timing.worker_lease_ms

    def fence(self, name: str) -> None:
        """Renews nothing for a worker until its held attempts have ended."""
        self.fenced.add(name)

    def forget(self, name: str) -> None:
        """Drops a worker whose lease is over and that holds nothing."""
        self.workers.pop(name, None)
        self.changed.add(name)

    def is_usable(self, name: str) -> bool:
        """Returns whether a worker may be given work now.

        It has to have announced itself twice, since its first announcement is
        answered before it has a lease.
        """
        worker = self.workers.get(name)
        return (
            worker is not None
            and worker.taken >= MIN_ANNOUNCEMENTS
            and not worker.announcement.leaving
            and name not in self.fenced
            and not self.is_silent(worker)
        )

    def is_silent(self, worker: Worker) -> bool:
        """Returns whether a start would outlive its time to live in transit."""
        age_ms = self.clock.monotonic_ms() - worker.heard_ms
        return age_ms > self.timing.start_ttl_ms

    def free(self, name: str, held: task_table.TaskTable) -> messages.Resources:
        """Returns what a worker has left beside all that is reserved.

        What it uses above its reservations is taken off too; amounts may be
        negative.
        """
        worker = self.workers[name]
        capacity = worker.announcement.capacity
        excess = worker.excess
        reserved = held.reserved.get(name)
        if reserved is None:
            return capacity
        return messages.Resources(
            capacity.cores_milli - reserved.cores_milli - excess.cores_milli,
            capacity.memory_mb - reserved.memory_mb - excess.memory_mb,
            capacity.accelerators - reserved.accelerators - excess.accelerators,
        )

    def capacities(self) -> Iterator[messages.Resources]:
        """Returns the capacity of each worker heard of."""
        for worker in self.workers.values():
            yield worker.announcement.capacity


def _knows_attempts(
    worker: Worker | None, announcement: messages.WorkerAnnouncement
) -> bool:
    return (
        worker is not None
        and worker.announcement.incarnation == announcement.incarnation
        and worker.attempts_sequence == announcement.attempts_as_of
    )


def _ask_for_attempts(
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


def _missing(
    announcement: messages.WorkerAnnouncement,
    attempts: dict[str, messages.AttemptStatus],
    held: task_table.TaskTable,
) -> Iterator[str]:
    for task in held.held.get(announcement.name, ()):
        status = attempts.get(task)
        if status is None or not _is_its_own(announcement, status, held):
            yield task


def _vanished(
    worker: Worker, missing: tuple[str, ...], held: task_table.TaskTable
) -> frozenset[tuple[str, int]]:
    """Returns missing attempts that this incarnation had announced."""
    found = []
    for task in missing:
        attempt = held.records[task].attempt
        status = worker.attempts.get(task)
        listed = status is not None and status.attempt == attempt
        if listed or (task, attempt) in worker.vanished:
            found.append((task, attempt))
    return frozenset(found)


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


def _out_of_date(
    announcement: messages.WorkerAnnouncement, held: task_table.TaskTable
) -> tuple[messages.AttemptRef, ...]:
    return tuple(
        messages.AttemptRef(task=status.task, attempt=status.attempt)
        for status in announcement.attempts
        if not _is_its_own(announcement, status, held)
    )


def _is_its_own(
    announcement: messages.WorkerAnnouncement,
    status: messages.AttemptStatus,
    held: task_table.TaskTable,
) -> bool:
    record = held.records.get(status.task)
    return (
        record is not None
        and tasks_lib.is_current(record, status.task, status.attempt)
        and record.worker == announcement.name
        and record.incarnation == announcement.incarnation
    )


def _excess(
    worker: Worker, held: task_table.TaskTable
) -> tuple[messages.Resources, tuple[str, ...]]:
    """Sums use above reservations, and all use of attempts out of date.

    Returns:
      The sum, and the tasks that use more than they reserve.
    """
    cores_milli = 0
    memory_mb = 0
    tasks = []
    for status in worker.attempts.values():
        if status.usage is None:
            continue
        over = status.usage
        if _is_its_own(worker.announcement, status, held):
            reserved = held.records[status.task].reserved
            over = messages.Resources(
                max(0, over.cores_milli - reserved.cores_milli),
                max(0, over.memory_mb - reserved.memory_mb),
            )
        if over.cores_milli or over.memory_mb:
            tasks.append(status.task)
            cores_milli += over.cores_milli
            memory_mb += over.memory_mb
    return messages.Resources(cores_milli, memory_mb), tuple(tasks)
