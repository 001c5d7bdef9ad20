"""A VM that stand-ins share: who runs on it, and how much they interfere."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Running:
    """Batch work on a VM.

    Attributes:
      work_class: Class of the work, from its command.
      percent: Share of its processors that it may use.
    """

    work_class: str
    percent: int = 100


@dataclasses.dataclass(slots=True)
class Vm:
    """One VM.

    Attributes:
      name: Name that its worker and executors announce.
      interference: Slowdown added to a service by one unthrottled task of a
        class, by `(service, work class)`; 0.5 makes it half as slow again.
      running: Batch work by attempt key.
    """

    name: str
    interference: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    running: dict[str, Running] = dataclasses.field(default_factory=dict)

    def slowdown(self, service: str) -> float:
        """Returns the factor on the service times of a service, at least 1."""
        added = sum(
            self.interference.get((service, work.work_class), 0.0)
            * work.percent
            / 100
            for work in self.running.values()
        )
        return 1.0 + added
