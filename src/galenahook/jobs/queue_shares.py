"""Divides the processors of a service between its queues.

Queues get equal shares, and one that asks for less than its share gets what it
asks for. Short jobs return their processors within seconds and serving tasks
keep theirs, so that an order for free pieces is no share: workers are kept for
short jobs instead (`short_workers`).
"""

import collections
from collections.abc import Mapping
import dataclasses

from galenahook.jobs import demand as demand_lib
from galenahook.jobs import free_capacity as free_capacity_lib
from galenahook.jobs import ordering
from galenahook.jobs import round_input

# Processors that short jobs are given, relative to those that they use on
# average, as they are submitted unevenly.
SHORT_HEADROOM = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class QueueShare:
    """What a queue asks for and gets, in thousandths of a core."""

    asked_cpu_millis: float
    cpu_millis: float


class QueueShares:
    """Shares of the queues during one round.

    More urgent queues get their shares first.

    Attributes:
      contended: Services with serving jobs.
      serving_labels: Labels that serving tasks require.
      short: Shares of the queues of short jobs.
    """

    __slots__ = ("contended", "serving_labels", "short")

    def __init__(
        self,
        inputs: round_input.RoundInput,
        candidates: list[free_capacity_lib.FreeCapacity],
    ) -> None:
        serving = _serving_cpu_millis(inputs)
        self.contended = {queue.service for queue in serving}
        self.serving_labels = {
            step.required_label
            for job in inputs.open_jobs.values()
            for step in job.description.steps
            if step.serves and step.required_label
        }
        self.short: dict[demand_lib.Queue, QueueShare] = {}
        measured = inputs.demand.cpu_millis(
            inputs.run_times, inputs.now_wall_ms
        )
        if not measured:
            return
        capacity: collections.Counter[str] = collections.Counter()
        for candidate in candidates:
            heartbeat = candidate.worker.heartbeat
            capacity[heartbeat.service] += heartbeat.cpu_millis
        left: dict[str, float] = dict(capacity)
        queues = serving.keys() | measured.keys()
        for service, priority in sorted(
            {(queue.service, queue.priority) for queue in queues}
        ):
            left[service] = self._divide(
                left.get(service, 0.0),
                {
                    queue: SHORT_HEADROOM * cpu_millis
                    for queue, cpu_millis in measured.items()
                    if (queue.service, queue.priority) == (service, priority)
                },
                [
                    cpu_millis
                    for queue, cpu_millis in serving.items()
                    if (queue.service, queue.priority) == (service, priority)
                ],
            )

    def _divide(
        self,
        capacity: float,
        short: Mapping[demand_lib.Queue, float],
        serving: list[float],
    ) -> float:
        """Divides processors between queues of one priority.

        Returns:
          The processors that are left.
        """
        shares = divide([*short.values(), *serving], capacity)
        for (queue, asked), share in zip(short.items(), shares, strict=False):
            self.short[queue] = QueueShare(asked, share)
        return capacity - sum(shares)

    def short_cpu_millis(self, service: str) -> float:
        """Returns the processors that short jobs of a service are to get."""
        return sum(
            share.cpu_millis
            for queue, share in self.short.items()
            if queue.service == service
        )


def divide(asked: list[float], capacity: float) -> list[float]:
    """Divides a capacity equally; returns the shares.

    Who asks for less than an equal share gets what it asks for, and the others
    divide what is left.
    """
    shares = [0.0] * len(asked)
    left = capacity
    by_size = sorted(range(len(asked)), key=asked.__getitem__)
    for count, index in zip(range(len(asked), 0, -1), by_size, strict=True):
        shares[index] = min(asked[index], left / count)
        left -= shares[index]
    return shares


def _serving_cpu_millis(
    inputs: round_input.RoundInput,
) -> dict[demand_lib.Queue, float]:
    """Returns the processors that serving tasks ask for, by queue."""
    asked: collections.Counter[demand_lib.Queue] = collections.Counter()
    for job in inputs.open_jobs.values():
        if not job.ended and ordering.serves(job):
            asked[demand_lib.queue_of(job.description)] += sum(
                step.tasks * step.cpu_millis
                for step in job.description.steps
                if step.serves
            )
    return dict(asked)
