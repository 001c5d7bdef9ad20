"""Log lines and metrics of the scheduler.

Each line carries the task, so that a job can be followed through processes.
"""

from collections.abc import Iterable

import eliot

from galenahook import commands
from galenahook import messages
from galenahook.platform import metrics as metrics_lib
from galenahook.scheduling import task_table


class Journal:
    """Writes what the scheduler did.

    Attributes:
      metrics: Where counters and gauges go.
    """

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self.metrics = metrics

    def started(self, starts: Iterable[commands.AttemptStart]) -> None:
        """Records committed starts."""
        for start in starts:
            self.metrics.increment("scheduling.starts")
            eliot.log_message(
                "scheduling:start",
                task=start.task,
                attempt=start.attempt,
                worker=start.worker,
            )

    def evicting(
        self, refs: Iterable[messages.AttemptRef], reason: str
    ) -> None:
        """Records marks of evictions; an empty reason calls them off."""
        for ref in refs:
            self.metrics.increment("scheduling.evictions", bool(reason))
            eliot.log_message(
                "scheduling:evict",
                task=ref.task,
                attempt=ref.attempt,
                reason=reason or "called off",
            )

    def ended(self, ends: Iterable[commands.AttemptEnd]) -> None:
        """Records committed ends."""
        for end in ends:
            kind = type(end.outcome).__name__
            self.metrics.increment(f"scheduling.ends.{kind}")
            eliot.log_message(
                "scheduling:end",
                task=end.task,
                attempt=end.attempt,
                outcome=kind,
                reason=getattr(end.outcome, "reason", ""),
            )

    def gauges(self, table: task_table.TaskTable, blocked: int) -> None:
        """Sends the present state."""
        self.metrics.gauge("scheduling.blocked", blocked)
        self.metrics.gauge("scheduling.waiting", len(table.waiting))
        self.metrics.gauge("scheduling.evicting", len(table.evicting))
        self.metrics.gauge("scheduling.in_doubt", len(table.in_doubt))
