"""Policies: how workers are compared for a placement."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class TailLimits:
    """Limits of actions that protect the tail latency of services.

    Attributes:
      slack: Factor by which a tail latency may exceed its target.
      evictions_per_minute: Maximum number of such evictions in the site.
      throttles_first: Whether tasks are throttled before they are evicted.
      spares_deadlines: Whether tasks that might then miss their deadline are
        left alone.
    """

    slack: float = 1.0
    evictions_per_minute: int = 12
    throttles_first: bool = True
    spares_deadlines: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Weighted:
    """Chooses the worker with the lowest weighted cost.

    Attributes:
      tail: Weight of the predicted impact on the tail latency of services.
      packing: Weight of the share of the VM left free.
      zone_balance: Weight of the utilization of the availability zone.
      spread: Weight of the proximity to other services.
      defers: Whether batch tasks wait, if they can, rather than push a tail
        latency over its target.
      paces_refill: Whether an availability zone that returned to service is
        filled slowly, services first.
      limits: Limits of actions for tail latency; None for no actions.
      checkpoints: Whether batch tasks are checkpointed before an eviction.
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
    """Chooses the first worker by name that fits; spreads services."""

    limits: TailLimits | None = None
    checkpoints: bool = True
    paces_refill: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class LeastLoaded:
    """Chooses the worker with the largest share left free; spreads services."""

    limits: TailLimits | None = None
    checkpoints: bool = True
    paces_refill: bool = False


Policy = Weighted | FirstFit | LeastLoaded

TAIL_LATENCY = Weighted(tail=4.0, packing=0.2, defers=True, paces_refill=True)
THROUGHPUT = Weighted(
    tail=1.0,
    packing=0.5,
    limits=TailLimits(slack=1.5, evictions_per_minute=3, spares_deadlines=True),
)


def for_objective(objective: str) -> Policy:
    """Returns the policy for the objective of a sheet."""
    return THROUGHPUT if objective == "throughput" else TAIL_LATENCY
