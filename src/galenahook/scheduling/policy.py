"""Policies: how candidates for a placement are compared."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class TailLimits:
    """When batch work is disturbed for the tail of a service.

    Attributes:
      slack: How far above its target a tail may be, as a factor.
      evictions_per_minute: Most evictions for tails, in the whole site.
      throttles_first: Whether work is throttled before it is evicted.
      spares_deadlines: Whether work that would then miss its deadline is left
        alone.
    """

    slack: float = 1.0
    evictions_per_minute: int = 12
    throttles_first: bool = True
    spares_deadlines: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Weighted:
    """Chooses the lowest weighted cost.

    Attributes:
      tail: Weight of the slowdown predicted for services on the VM.
      packing: Weight of the share of the VM left unused.
      zone_balance: Weight of how full the availability zone is.
      spread: Weight of instances of the same service near by.
      defers: Whether batch work that can wait does so where it would push
        a tail over its target.
      paces_refill: Whether an availability zone that came back is filled
        slowly, services first.
      limits: Limits for tails, or None to leave running work alone.
      checkpoints: Whether evicted work keeps what it did.
    """

    tail: float
    packing: float
    zone_balance: float = 0.1
    spread: float = 10.0
    defers: bool = False
    paces_refill: bool = False
    limits: TailLimits | None = TailLimits()
    checkpoints: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class FirstFit:
    """Takes the first worker by name that has room; spreads services."""

    limits: TailLimits | None = None
    checkpoints: bool = True
    paces_refill: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class LeastLoaded:
    """Takes the worker with the largest free share; spreads services."""

    limits: TailLimits | None = None
    checkpoints: bool = True
    paces_refill: bool = False


Policy = Weighted | FirstFit | LeastLoaded

TAIL = Weighted(tail=4.0, packing=0.2, defers=True, paces_refill=True)
THROUGHPUT = Weighted(
    tail=1.0,
    packing=0.5,
    limits=TailLimits(slack=1.5, evictions_per_minute=3, spares_deadlines=True),
)


def for_objective(objective: str) -> Policy:
    """Returns the policy of a sheet's objective."""
    return THROUGHPUT if objective == "throughput" else TAIL
