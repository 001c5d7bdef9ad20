"""Log lines and metrics of the scheduler.

Each log line names the task, so that a job can be traced across processes.
"""

from collections.abc import Iterable

import eliot

from galenahook import commands
from galenahook import messages
from galenahook.platform import metrics as metrics_lib
from galenahook.scheduling import task_table


class Journal:
    """Logs and counts actions of the scheduler.

    Attributes:
      metrics: Receives counters and gauges.
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
        """Records marked evictions; an empty reason cancels them."""
        for ref in refs:
            self.metrics.increment("scheduling.evictions", bool(reason))
            eliot.log_message(
                "scheduling:evict",
                task=ref.task,
                attempt=ref.attempt,
                reason=reason or "eviction cancelled",
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
        """Sends gauges of the current state."""
        self.metrics.gauge("scheduling.blocked", blocked)
        self.metrics.gauge("scheduling.waiting", len(table.waiting))
        self.metrics.gauge("scheduling.evicting", len(table.evicting))
        self.metrics.gauge("scheduling.in_doubt", len(table.in_doubt))
