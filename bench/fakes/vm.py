"""A VM shared by fakes: its batch tasks and their interference."""

import dataclasses


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A batch task that runs on a VM.

    Attributes:
      work_class: Class of the task, from its command.
      percent: Share of its CPU that its throttle allows.
    """

    work_class: str
    percent: int = 100


@dataclasses.dataclass(slots=True)
class Vm:
    """One VM.

    Attributes:
      name: Name that its worker and executors announce.
      interference: Slowdown added to a service by one unthrottled task of a
        class, by `(service, work class)`; 0.5 makes service times 1.5 times
        as long.
      running: Batch tasks by task identifier.
    """

    name: str
    interference: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    running: dict[str, RunningTask] = dataclasses.field(default_factory=dict)

    def slowdown(self, service: str) -> float:
        """Returns the slowdown factor of a service, 1 without interference."""
        added = sum(
            self.interference.get((service, task.work_class), 0.0)
            * task.percent
            / 100
            for task in self.running.values()
        )
        return 1.0 + added
