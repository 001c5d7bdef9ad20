"""Placement: which worker takes a task.

Workers are kept in buckets by free processors. A decision looks at a few
workers drawn from the buckets that can hold the task, so that its cost does
not grow with the number of workers; only when none of them fits are the
buckets read through.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

from galenahook import messages

SAMPLE_SIZE = 8
BUCKET_BASE_MILLI = 250
BUCKETS_PER_DOUBLING = 4
FULL_SCAN_UP_TO = 40


@dataclasses.dataclass(slots=True)
class Slot:
    """Room on one worker.

    Attributes:
      worker: Name of the worker.
      availability_zone: Where it stands.
      rack: Its rack.
      capacity: What it offers.
      free: What is left; negative amounts mean that it is over.
    """

    worker: str
    availability_zone: str
    rack: str
    capacity: messages.Resources
    free: messages.Resources


class FreeIndex:
    """Workers that may be given work, by free processors.

    Attributes:
      slots: Room by worker.
      zone_free: Free processors by availability zone, in thousandths.
      zone_capacity: Processors by availability zone, in thousandths.
    """

    __slots__ = (
        "_buckets",
        "_places",
        "_random",
        "slots",
        "zone_capacity",
        "zone_free",
    )

    def __init__(self, seed: int) -> None:
        self.slots: dict[str, Slot] = {}
        self.zone_free: dict[str, int] = {}
        self.zone_capacity: dict[str, int] = {}
        self._buckets: list[list[str]] = []
        self._places: dict[str, tuple[int, int]] = {}
        self._random = random.Random(seed)

    def put(self, slot: Slot) -> None:
        """Adds a worker, or replaces what is known of it."""
        old = self.slots.get(slot.worker)
        if old is not None:
            self._add_to_zone(old, -1)
        self._add_to_zone(slot, 1)
        self.slots[slot.worker] = slot
        bucket = bucket_of(slot.free.cores_milli)
        place = self._places.get(slot.worker)
        if place is not None and place[0] == bucket:
            return
        if place is not None:
            self._unlink(slot.worker)
        while len(self._buckets) <= bucket:
            self._buckets.append([])
        self._places[slot.worker] = (bucket, len(self._buckets[bucket]))
        self._buckets[bucket].append(slot.worker)

    def remove(self, worker: str) -> None:
        """Drops a worker that may not be given work; unknown ones too."""
        slot = self.slots.pop(worker, None)
        if slot is not None:
            self._add_to_zone(slot, -1)
            self._unlink(worker)

    def take(self, worker: str, amount: messages.Resources) -> None:
        """Takes room for a decision that is not committed yet."""
        slot = self.slots[worker]
        free = subtract(slot.free, amount)
        self.put(dataclasses.replace(slot, free=free))

    def _add_to_zone(self, slot: Slot, sign: int) -> None:
        zone = slot.availability_zone
        free = self.zone_free.get(zone, 0)
        self.zone_free[zone] = free + sign * slot.free.cores_milli
        capacity = self.zone_capacity.get(zone, 0)
        self.zone_capacity[zone] = capacity + sign * slot.capacity.cores_milli

    def _unlink(self, worker: str) -> None:
        bucket, position = self._places.pop(worker)
        names = self._buckets[bucket]
        last = names.pop()
        if last != worker:
            names[position] = last
            self._places[last] = (bucket, position)

    def candidates(
        self, need: messages.Resources, sample_size: int = SAMPLE_SIZE
    ) -> list[Slot]:
        """Returns a few workers with room; all of them in a small fleet.

        Half of the sample is drawn from the tightest buckets that fit and
        half from the roomiest. It may miss the only worker with room, which
        `first_fitting` finds.
        """
        if len(self.slots) <= FULL_SCAN_UP_TO:
            return [
                slot for slot in self.slots.values() if fits(need, slot.free)
            ]
        first = bucket_of(need.cores_milli)
        half = sample_size // 2
        last = len(self._buckets)
        found = self._draw(range(first, last), need, half)
        found.update(self._draw(range(last - 1, first - 1, -1), need, half))
        return list(found.values())

    def _draw(
        self, order: Iterable[int], need: messages.Resources, wanted: int
    ) -> dict[str, Slot]:
        found: dict[str, Slot] = {}
        tries = 2 * wanted
        draw = self._random.random
        for bucket in order:
            names = self._buckets[bucket]
            for _ in range(min(len(names), tries)):
                tries -= 1
                slot = self.slots[names[int(draw() * len(names))]]
                if fits(need, slot.free):
                    found[slot.worker] = slot
                    if len(found) >= wanted:
                        return found
            if tries <= 0:
                break
        return found

    def sample(self, count: int) -> list[Slot]:
        """Returns some workers, all of them if there are no more."""
        names = list(self.slots)
        if len(names) > count:
            names = self._random.sample(names, count)
        return [self.slots[name] for name in names]

    def first_fitting(
        self, need: messages.Resources, allowed: Callable[[Slot], bool]
    ) -> Slot | None:
        """Returns a worker with room, the tightest first, if there is one."""
        for bucket in range(bucket_of(need.cores_milli), len(self._buckets)):
            for name in self._buckets[bucket]:
                slot = self.slots[name]
                if fits(need, slot.free) and allowed(slot):
                    return slot
        return None


def bucket_of(cores_milli: int) -> int:
    """Returns the bucket of an amount of free processors.

    Bucket numbers rise with the amount, by quarters of a doubling.
    """
    units = cores_milli // BUCKET_BASE_MILLI
    if units <= 0:
        return 0
    doublings = units.bit_length() - 1
    rest = units - (1 << doublings)
    step = (rest * BUCKETS_PER_DOUBLING) >> doublings
    return 1 + doublings * BUCKETS_PER_DOUBLING + step


def fits(need: messages.Resources, free: messages.Resources) -> bool:
    """Returns whether an amount fits into what is free."""
    return (
        need.cores_milli <= free.cores_milli
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )


def add(
    left: messages.Resources, right: messages.Resources
) -> messages.Resources:
    """Returns the sum of two amounts."""
    return messages.Resources(
        left.cores_milli + right.cores_milli,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
    )


def subtract(
    left: messages.Resources, right: messages.Resources
) -> messages.Resources:
    """Returns the difference of two amounts, which may be negative."""
    return messages.Resources(
        left.cores_milli - right.cores_milli,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
    )


def larger(
    left: messages.Resources, right: messages.Resources
) -> messages.Resources:
    """Returns the larger amount of each resource."""
    return messages.Resources(
        max(left.cores_milli, right.cores_milli),
        max(left.memory_mb, right.memory_mb),
        max(left.accelerators, right.accelerators),
    )


def leftover_share(need: messages.Resources, slot: Slot) -> float:
    """Returns the larger unused share of processors or memory, 0 to 1."""
    cores = slot.free.cores_milli - need.cores_milli
    memory = slot.free.memory_mb - need.memory_mb
    return max(
        cores / max(1, slot.capacity.cores_milli),
        memory / max(1, slot.capacity.memory_mb),
    )
