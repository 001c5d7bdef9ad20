"""Policies: how candidates for a placement are compared."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Weighted:
    """Chooses the lowest weighted cost.

    Attributes:
      tail: Weight of the slowdown predicted for services on the VM.
      packing: Weight of the share of the VM left unused.
      zone_balance: Weight of how full the availability zone is.
      spread: Weight of instances of the same service near by.
      controls_tail: Whether running batch work is throttled and evicted for
        the tail of services.
      evictions_per_minute: Most evictions for the tail, in the whole site.
      tail_slack: How far above its target a service's tail may be before
        batch work is disturbed, as a factor.
    """

    tail: float
    packing: float
    zone_balance: float = 0.1
    spread: float = 10.0
    controls_tail: bool = True
    evictions_per_minute: int = 12
    tail_slack: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class FirstFit:
    """Takes the first worker by name that has room."""


@dataclasses.dataclass(slots=True, frozen=True)
class LeastLoaded:
    """Takes the worker with the largest free share."""


Policy = Weighted | FirstFit | LeastLoaded

TAIL = Weighted(tail=4.0, packing=0.2)
THROUGHPUT = Weighted(
    tail=1.0,
    packing=0.5,
    evictions_per_minute=3,
    tail_slack=1.5,
)


def for_objective(objective: str) -> Weighted:
    """Returns the weights of a sheet's objective."""
    return THROUGHPUT if objective == "throughput" else TAIL
