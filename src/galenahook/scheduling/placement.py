"""Placement: finds workers with enough free capacity for a task.

Workers are indexed in buckets by free processor capacity. A decision samples
a few workers from the buckets that can hold the task, so that its cost does
not grow with the number of workers. The buckets are scanned in full only if
no sampled worker can be used.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

from galenahook import messages

# Workers sampled for one placement.
SAMPLE_SIZE = 8
# Smallest free processor capacity above the first bucket.
BUCKET_BASE_MILLICORES = 250
BUCKETS_PER_DOUBLING = 4
# Up to this many workers, all are considered instead of a sample.
MAX_WORKERS_FULL_SCAN = 40


@dataclasses.dataclass(slots=True)
class WorkerCapacity:
    """Capacity of one worker.

    Attributes:
      worker: Name of the worker.
      availability_zone: Availability zone of its VM.
      rack: Rack of its VM.
      capacity: Total capacity.
      free: Unreserved capacity; negative if the worker is overcommitted.
    """

    worker: str
    availability_zone: str
    rack: str
    capacity: messages.Resources
    free: messages.Resources


class FreeIndex:
    """Index of workers that may be given work, by free processor capacity.

    Attributes:
      workers: Capacity by name of the worker.
      zone_free: Free millicores by availability zone.
      zone_capacity: Total millicores by availability zone.
    """

    __slots__ = (
        "_buckets",
        "_positions",
        "_random",
        "workers",
        "zone_capacity",
        "zone_free",
    )

    def __init__(self, seed: int) -> None:
        self.workers: dict[str, WorkerCapacity] = {}
        self.zone_free: dict[str, int] = {}
        self.zone_capacity: dict[str, int] = {}
        self._buckets: list[list[str]] = []
        self._positions: dict[str, tuple[int, int]] = {}
        self._random = random.Random(seed)

    def put(self, new: WorkerCapacity) -> None:
        """Adds a worker or updates its capacity."""
        old = self.workers.get(new.worker)
        if old is not None:
            self._add_to_zone(old, -1)
        self._add_to_zone(new, 1)
        self.workers[new.worker] = new
        bucket = bucket_of(new.free.cores_milli)
        position = self._positions.get(new.worker)
        if position is not None and position[0] == bucket:
            return
        if position is not None:
            self._unlink(new.worker)
        while len(self._buckets) <= bucket:
            self._buckets.append([])
        self._positions[new.worker] = (bucket, len(self._buckets[bucket]))
        self._buckets[bucket].append(new.worker)

    def remove(self, worker: str) -> None:
        """Removes a worker, if it is in the index."""
        removed = self.workers.pop(worker, None)
        if removed is not None:
            self._add_to_zone(removed, -1)
            self._unlink(worker)

    def reserve(self, worker: str, amount: messages.Resources) -> None:
        """Reserves capacity for a decision that is not committed yet."""
        known = self.workers[worker]
        free = subtract(known.free, amount)
        self.put(dataclasses.replace(known, free=free))

    def _add_to_zone(self, worker: WorkerCapacity, sign: int) -> None:
        zone = worker.availability_zone
        free = self.zone_free.get(zone, 0)
        self.zone_free[zone] = free + sign * worker.free.cores_milli
        capacity = self.zone_capacity.get(zone, 0)
        self.zone_capacity[zone] = capacity + sign * worker.capacity.cores_milli

    def _unlink(self, worker: str) -> None:
        bucket, position = self._positions.pop(worker)
        names = self._buckets[bucket]
        last = names.pop()
        if last != worker:
            names[position] = last
            self._positions[last] = (bucket, position)

    def candidates(
        self, need: messages.Resources, sample_size: int = SAMPLE_SIZE
    ) -> list[WorkerCapacity]:
        """Returns some workers that fit; in a small fleet, all of them.

        Half of the sample is drawn from the buckets with the least capacity
        that may fit, half from those with the most. The sample may miss the
        only worker that fits; `first_fitting` finds it.
        """
        if len(self.workers) <= MAX_WORKERS_FULL_SCAN:
            return [
                candidate
                for candidate in self.workers.values()
                if fits(need, candidate.free)
            ]
        first = bucket_of(need.cores_milli)
        half = sample_size // 2
        last = len(self._buckets)
        found = self._draw(range(first, last), need, half)
        found.update(self._draw(range(last - 1, first - 1, -1), need, half))
        return list(found.values())

    def _draw(
        self, order: Iterable[int], need: messages.Resources, count: int
    ) -> dict[str, WorkerCapacity]:
        found: dict[str, WorkerCapacity] = {}
        tries = 2 * count
        draw = self._random.random
        for bucket in order:
            names = self._buckets[bucket]
            for _ in range(min(len(names), tries)):
                tries -= 1
                candidate = self.workers[names[int(draw() * len(names))]]
                if fits(need, candidate.free):
                    found[candidate.worker] = candidate
                    if len(found) >= count:
                        return found
            if tries <= 0:
                break
        return found

    def sample(self, count: int) -> list[WorkerCapacity]:
        """Returns up to `count` randomly chosen workers."""
        names = list(self.workers)
        if len(names) > count:
            names = self._random.sample(names, count)
        return [self.workers[name] for name in names]

    def first_fitting(
        self,
        need: messages.Resources,
        allowed: Callable[[WorkerCapacity], bool],
    ) -> WorkerCapacity | None:
        """Returns an allowed worker that fits, searching the fullest first."""
        for bucket in range(bucket_of(need.cores_milli), len(self._buckets)):
            for name in self._buckets[bucket]:
                candidate = self.workers[name]
                if fits(need, candidate.free) and allowed(candidate):
                    return candidate
        return None


def bucket_of(cores_milli: int) -> int:
    """Returns the bucket number of an amount of free millicores.

    Numbers increase with the amount; each doubling spans four buckets.
    """
    units = cores_milli // BUCKET_BASE_MILLICORES
    if units <= 0:
        return 0
    doublings = units.bit_length() - 1
    rest = units - (1 << doublings)
    step = (rest * BUCKETS_PER_DOUBLING) >> doublings
    return 1 + doublings * BUCKETS_PER_DOUBLING + step


def fits(need: messages.Resources, free: messages.Resources) -> bool:
    """Returns whether an amount fits into the free capacity."""
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
    """Returns the maximum of each resource."""
    return messages.Resources(
        max(left.cores_milli, right.cores_milli),
        max(left.memory_mb, right.memory_mb),
        max(left.accelerators, right.accelerators),
    )


def leftover_share(
    need: messages.Resources, candidate: WorkerCapacity
) -> float:
    """Returns the share of the VM left free after placing a task.

    It is the larger of the processor and the memory share.
    """
    cores = candidate.free.cores_milli - need.cores_milli
    memory = candidate.free.memory_mb - need.memory_mb
    return max(
        cores / max(1, candidate.capacity.cores_milli),
        memory / max(1, candidate.capacity.memory_mb),
    )
