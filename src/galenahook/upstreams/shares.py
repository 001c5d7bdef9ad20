"""Splits the slots of a service among entries by their demand."""

from collections.abc import Sequence
import dataclasses
import math

FLOOR_SLOTS = 2.0
BASE_SHARE = 0.25


@dataclasses.dataclass(slots=True, frozen=True)
class EntryDemand:
    """Slots that one entry wants of one service."""

    entry: str
    wanted: float


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """One entry's part of every executor, as an interval within 0 to 1."""

    entry: str
    start: float
    end: float


def divide(demands: Sequence[EntryDemand], slots: int) -> dict[str, Share]:
    """Divides a service's slots among entries, all of them.

    Each entry gets a floor, and the rest is in proportion to its demand plus
    a base, so that what is idle lies where it is likely to be wanted.

    Args:
      demands: One for each entry.
      slots: Slots of all usable executors of the service.

    Returns:
      Shares by entry, which together cover 0 to 1.
    """
    if not demands or slots <= 0:
        return {}
    count = len(demands)
    floor = min(1 / count, FLOOR_SLOTS / slots)
    base = BASE_SHARE * slots / count
    weights = [min(demand.wanted, slots) + base for demand in demands]
    scale = (1 - count * floor) / sum(weights)
    shares = {}
    start = 0.0
    ordered = sorted(
        zip(demands, weights, strict=True), key=lambda pair: pair[0].entry
    )
    for index, (demand, weight) in enumerate(ordered):
        end = start + floor + weight * scale
        if index == count - 1:
            end = 1.0
        shares[demand.entry] = Share(demand.entry, start, end)
        start = end
    return shares


def slots_of(share: Share, slots: int, index: int, count: int) -> int:
    """Returns the whole slots that a share gives of one executor.

    Executors are sampled at evenly shifted points, so that the parts of one
    executor add up to its slots, and an entry's parts over all executors come
    to its share of the service.

    Args:
      share: The entry's share.
      slots: Slots of the executor.
      index: Position of the executor among those of the service.
      count: Number of executors of the service.
    """
    shift = (index + 0.5) / count
    below_end = math.ceil(share.end * slots - shift)
    below_start = math.ceil(share.start * slots - shift)
    return below_end - below_start
