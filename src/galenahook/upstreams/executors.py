"""The leader's registry of executors, learned from their announcements."""

import dataclasses
import secrets

from galenahook import clock as clock_lib
from galenahook import configuration as configuration_lib
from galenahook import defaults
from galenahook import messages

SILENT_MS = 4 * defaults.ANNOUNCE_PERIOD_MS
REPLACE_AFTER_MS = 2 * defaults.ANNOUNCE_PERIOD_MS
FORGET_MS = 600_000
MAX_SLOTS = 1_024
PROOF_MARGIN_MS = 300
PROOF_HEARD_MS = 400
MAX_ANSWERS_KEPT = 32

_VERSION_BYTES = 4


@dataclasses.dataclass(slots=True)
class ExecutorRecord:
    """One executor and what it announced last.

    Attributes:
      announcement: Its last announcement, by sequence number.
      received_at_ms: When that arrived here.
      first_received_ms: When this incarnation was first heard.
      offset_ms: Least difference seen between the arrival of an announcement
        and the executor's own clock when it made it.
      answers_ms: When this leader answered, by sequence number.
    """

    announcement: messages.ExecutorAnnouncement
    received_at_ms: int
    first_received_ms: int
    offset_ms: int
    answers_ms: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def slots(self) -> int:
        """Requests that it may be given at once."""
        announced = self.announcement
        slots = min(announced.slots, announced.connections, MAX_SLOTS)
        return max(0, slots)

    def made_after_ms(self) -> int | None:
        """Returns a time of ours after which the last one was surely made.

        An executor that quotes no answers is judged by its own clock, which
        may err by the least delay of its announcements. None if not known.
        """
        answered = self.announcement.answered
        if answered:
            return self.answers_ms.get(answered)
        heard_ms = self.received_at_ms - self.first_received_ms
        if heard_ms < PROOF_HEARD_MS:
            return None
        return self.announcement.sent_at_ms + self.offset_ms

    def note_answer(self, sequence: int, now_ms: int) -> None:
        """Remembers when an announcement was answered."""
        self.answers_ms.setdefault(sequence, now_ms)
        while len(self.answers_ms) > MAX_ANSWERS_KEPT:
            del self.answers_ms[next(iter(self.answers_ms))]


@dataclasses.dataclass(slots=True)
class TailRecord:
    """Latency that an executor measured, for the scheduler.

    Attributes:
      service: Service of the executor.
      executor: Name of the executor.
      vm: VM on which it stands.
      sample: Its last sample.
      received_ms: Monotonic time at which the sample arrived.
    """

    service: str
    executor: str
    vm: str
    sample: messages.TailSample
    received_ms: int


class ExecutorRegistry:
    """Every executor that announced itself to this leader.

    Attributes:
      records: Executors by name.
      current: Addresses as last given to entries, by name.
      version: Changes whenever `current` does; unlike any other leader's.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.records: dict[str, ExecutorRecord] = {}
        self.current: dict[str, messages.ExecutorAddress] = {}
        self._clock = clock
        self._token = secrets.token_hex(_VERSION_BYTES)
        self._changes = 0
        self.version = f"{self._token}-0"

    def announce(
        self, announcement: messages.ExecutorAnnouncement
    ) -> messages.AnnouncementReply:
        """Takes an announcement; late and out-of-date ones change nothing."""
        now_ms = self._clock.monotonic_ms()
        record = self.records.get(announcement.name)
        if record is None:
            self.records[announcement.name] = _new_record(announcement, now_ms)
        elif record.announcement.incarnation == announcement.incarnation:
            _update_record(record, announcement, now_ms)
        elif now_ms - record.received_at_ms >= REPLACE_AFTER_MS:
            self.records[announcement.name] = _new_record(announcement, now_ms)
        self._note_answer(announcement, now_ms)
        return messages.AnnouncementReply(
            name=announcement.name,
            sequence=announcement.sequence,
            lease_ms=0,
        )

    def _note_answer(
        self, announcement: messages.ExecutorAnnouncement, now_ms: int
    ) -> None:
        record = self.records[announcement.name]
        if record.announcement.incarnation == announcement.incarnation:
            record.note_answer(announcement.sequence, now_ms)

    def addresses(
        self, configuration: configuration_lib.ConfigurationRecord
    ) -> tuple[messages.ExecutorAddress, ...]:
        """Returns every executor, with whether it may get new requests."""
        now_ms = self._clock.monotonic_ms()
        self._forget(now_ms)
        current = {
            name: _address(record, configuration, now_ms)
            for name, record in sorted(self.records.items())
        }
        if current != self.current:
            self.current = current
            self._changes += 1
            self.version = f"{self._token}-{self._changes}"
        return tuple(self.current.values())

    def tails(self) -> list[TailRecord]:
        """Returns the last latency sample of each executor that gave one."""
        tails = []
        for name, record in sorted(self.records.items()):
            announced = record.announcement
            if announced.tail is None:
                continue
            tails.append(
                TailRecord(
                    service=announced.service,
                    executor=name,
                    vm=announced.vm,
                    sample=announced.tail,
                    received_ms=record.received_at_ms,
                )
            )
        return tails

    def busy_since(self, name: str, moment_ms: int) -> int | None:
        """Returns the busy slots in an announcement made after a moment.

        The margin leaves time for requests sent shortly before the moment to
        arrive. None if the executor's last announcement may be older.
        """
        record = self.records.get(name)
        if record is None:
            return None
        made_after_ms = record.made_after_ms()
        if made_after_ms is None:
            return None
        if made_after_ms < moment_ms + PROOF_MARGIN_MS:
            return None
        return max(0, record.announcement.busy_slots)

    def _forget(self, now_ms: int) -> None:
        for name, record in list(self.records.items()):
            if now_ms - record.received_at_ms >= FORGET_MS:
                del self.records[name]


def _new_record(
    announcement: messages.ExecutorAnnouncement, now_ms: int
) -> ExecutorRecord:
    return ExecutorRecord(
        announcement=announcement,
        received_at_ms=now_ms,
        first_received_ms=now_ms,
        offset_ms=now_ms - announcement.sent_at_ms,
    )


def _update_record(
    record: ExecutorRecord,
    announcement: messages.ExecutorAnnouncement,
    now_ms: int,
) -> None:
    if announcement.sequence <= record.announcement.sequence:
        return
    offset_ms = now_ms - announcement.sent_at_ms
    record.offset_ms = min(record.offset_ms, offset_ms)
    record.announcement = announcement
    record.received_at_ms = now_ms


def _address(
    record: ExecutorRecord,
    configuration: configuration_lib.ConfigurationRecord,
    now_ms: int,
) -> messages.ExecutorAddress:
    announced = record.announcement
    out = configuration.availability_zones_out
    usable = (
        not announced.leaving
        and now_ms - record.received_at_ms < SILENT_MS
        and announced.availability_zone not in out
        and announced.name not in configuration.drained
    )
    return messages.ExecutorAddress(
        name=announced.name,
        incarnation=announced.incarnation,
        service=announced.service,
        address=announced.address,
        availability_zone=announced.availability_zone,
        slots=record.slots,
        connections=announced.connections,
        usable=usable,
    )
