"""The leader's registry of executors, built from their announcements."""

import dataclasses
import secrets

from galenahook import clock as clock_lib
from galenahook import configuration as configuration_lib
from galenahook import defaults
from galenahook import messages

# An executor without announcements for this long gets no new requests.
UNUSABLE_AFTER_MS = 4 * defaults.ANNOUNCE_PERIOD_MS
# A new incarnation replaces one without announcements for this long.
REPLACE_AFTER_MS = 2 * defaults.ANNOUNCE_PERIOD_MS
# An executor without announcements for this long is removed.
REMOVE_AFTER_MS = 600_000
MAX_SLOTS = 1_024
# Time allowed for a request to reach its executor.
REQUEST_TRANSIT_MARGIN_MS = 300
# The clock offset of an incarnation is used once it is known for this long.
MIN_OFFSET_AGE_MS = 400
MAX_REPLY_TIMES = 32

_VERSION_BYTES = 4


@dataclasses.dataclass(slots=True)
class ExecutorRecord:
    """One executor and its last announcement.

    Attributes:
      announcement: Its last announcement, by sequence number.
      received_at_ms: When that announcement arrived.
      first_received_ms: When the first announcement of this incarnation
        arrived.
      offset_ms: Smallest difference so far between the arrival of an
        announcement by this leader's clock and its time by the executor's.
      reply_times_ms: When this leader replied, by sequence number.
    """

    announcement: messages.ExecutorAnnouncement
    received_at_ms: int
    first_received_ms: int
    offset_ms: int
    reply_times_ms: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def slots(self) -> int:
        """Number of requests that it may run concurrently."""
        announced = self.announcement
        slots = min(announced.slots, announced.connections, MAX_SLOTS)
        return max(0, slots)

    def made_after_ms(self) -> int | None:
        """Returns a time after which the last announcement was made.

        The time is one of this leader's clock: that of the reply which the
        announcement quotes. Without a quoted reply it is estimated from the
        executor's clock, and may be too late by the smallest delay of its
        announcements. None if unknown.
        """
        quoted = self.announcement.answered
        if quoted:
            return self.reply_times_ms.get(quoted)
        observed_ms = self.received_at_ms - self.first_received_ms
        if observed_ms < MIN_OFFSET_AGE_MS:
            return None
        return self.announcement.sent_at_ms + self.offset_ms

    def record_reply(self, sequence: int, now_ms: int) -> None:
        """Records when an announcement was replied to."""
        self.reply_times_ms.setdefault(sequence, now_ms)
        while len(self.reply_times_ms) > MAX_REPLY_TIMES:
            del self.reply_times_ms[next(iter(self.reply_times_ms))]


@dataclasses.dataclass(slots=True)
class TailLatencyRecord:
    """Tail latency that an executor measured, for the scheduler.

    Attributes:
      service: Service of the executor.
      executor: Name of the executor.
      vm: VM on which it runs.
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
      current: Addresses last returned by `addresses`, by name.
      version: Changes whenever `current` does; differs between leaders.
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
        """Records an announcement; late and outdated ones are ignored."""
        now_ms = self._clock.monotonic_ms()
        record = self.records.get(announcement.name)
        if record is None:
            self.records[announcement.name] = _new_record(announcement, now_ms)
        elif record.announcement.incarnation == announcement.incarnation:
            _update_record(record, announcement, now_ms)
        elif now_ms - record.received_at_ms >= REPLACE_AFTER_MS:
            self.records[announcement.name] = _new_record(announcement, now_ms)
        self._record_reply(announcement, now_ms)
        return messages.AnnouncementReply(
            name=announcement.name,
            sequence=announcement.sequence,
            lease_ms=0,
        )

    def _record_reply(
        self, announcement: messages.ExecutorAnnouncement, now_ms: int
    ) -> None:
        record = self.records[announcement.name]
        if record.announcement.incarnation == announcement.incarnation:
            record.record_reply(announcement.sequence, now_ms)

    def addresses(
        self, configuration: configuration_lib.ConfigurationRecord
    ) -> tuple[messages.ExecutorAddress, ...]:
        """Returns all executors, marked as usable for new requests or not."""
        now_ms = self._clock.monotonic_ms()
        self._remove_expired(now_ms)
        current = {
            name: _address(record, configuration, now_ms)
            for name, record in sorted(self.records.items())
        }
        if current != self.current:
            self.current = current
            self._changes += 1
            self.version = f"{self._token}-{self._changes}"
        return tuple(self.current.values())

    def tail_latencies(self) -> list[TailLatencyRecord]:
        """Returns the last latency sample of each executor that sent one."""
        tails = []
        for name, record in sorted(self.records.items()):
            announced = record.announcement
            if announced.tail is None:
                continue
            tails.append(
                TailLatencyRecord(
                    service=announced.service,
                    executor=name,
                    vm=announced.vm,
                    sample=announced.tail,
                    received_ms=record.received_at_ms,
                )
            )
        return tails

    def busy_slots_after(self, name: str, moment_ms: int) -> int | None:
        """Returns the number of slots announced as busy after a moment.

        A margin allows for requests that were sent shortly before the moment.
        None if the executor's last announcement may be older.
        """
        record = self.records.get(name)
        if record is None:
            return None
        made_after_ms = record.made_after_ms()
        if made_after_ms is None:
            return None
        if made_after_ms < moment_ms + REQUEST_TRANSIT_MARGIN_MS:
            return None
        return max(0, record.announcement.busy_slots)

    def _remove_expired(self, now_ms: int) -> None:
        for name, record in list(self.records.items()):
            if now_ms - record.received_at_ms >= REMOVE_AFTER_MS:
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
    zones_out = configuration.availability_zones_out
    usable = (
        not announced.leaving
        and now_ms - record.received_at_ms < UNUSABLE_AFTER_MS
        and announced.availability_zone not in zones_out
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
