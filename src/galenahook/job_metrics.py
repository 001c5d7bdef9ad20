"""Prometheus metrics of the processes of a site that runs jobs."""

from collections.abc import Callable

import prometheus_client
from prometheus_client import exposition
from prometheus_client import metrics as metric_types

from galenahook import web

# Upper bounds of the latency histograms' buckets. A commit takes about 10 ms,
# and callers wait 3 s by default.
LATENCY_BUCKETS_S = (
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0,
)  # fmt: skip
_METHODS = frozenset(("GET", "POST", "DELETE"))


class JobMetrics:
    """Metrics of one process; those that its role doesn't use stay at 0.

    Attributes:
      caller_requests: Requests of callers, by method and status.
      caller_seconds: Latency of callers' requests, by method.
      leader_losses: Times that the known leader stopped answering or leading.
      commit_seconds: Time to commit a command.
      round_seconds: Duration of a successful scheduling round.
      first_start_seconds: Time from a job's submission to the first start of
        its first task.
      run_starts: Starts of runs, counted once committed.
      run_ends: Runs confirmed to have ended, by outcome.
      run_refusals: Starts that a worker refused, by its reply.
      jobs_ended: Jobs that ended without being cancelled, by queue, size among
        the latest jobs of the queue, and result: `in-time`, `late` (up to three
        times the target duration), `expired` or `failed`.
      throttles: Changes of a run's throttle percentage.
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self.caller_requests = self._counter(
            "caller_requests", "Requests of callers.", "method", "status"
        )
        self.caller_seconds = self._histogram(
            "caller_seconds", "Time to the answer of a caller.", "method"
        )
        self.leader_losses = self._counter(
            "leader_losses", "Times that the leader was lost."
        )
        self.commit_seconds = self._histogram(
            "commit_seconds", "Time to the commit of a command."
        )
        self.round_seconds = self._histogram(
            "round_seconds", "Time of a round of the leader."
        )
        self.first_start_seconds = self._histogram(
            "first_start_seconds", "Time from a job's storing to its start."
        )
        self.run_starts = self._counter("run_starts", "Runs ordered.")
        self.run_ends = self._counter("run_ends", "Runs ended.", "outcome")
        self.run_refusals = self._counter(
            "run_refusals", "Starts that workers refused.", "answer"
        )
        self.jobs_ended = self._counter(
            "jobs_ended", "Jobs ended.", "queue", "size", "result"
        )
        self.throttles = self._counter("throttles", "Changes of throttles.")

    def _counter(
        self, name: str, help_text: str, *labels: str
    ) -> metric_types.Counter:
        return metric_types.Counter(
            name,
            help_text,
            labels,
            namespace="galenahook",
            registry=self._registry,
        )

    def _histogram(
        self, name: str, help_text: str, *labels: str
    ) -> metric_types.Histogram:
        return metric_types.Histogram(
            name,
            help_text,
            labels,
            namespace="galenahook",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def add_gauge(
        self, name: str, help_text: str, read_value: Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read at each collection."""
        gauge = metric_types.Gauge(
            name, help_text, namespace="galenahook", registry=self._registry
        )
        gauge.set_function(read_value)

    def record_request(self, method: str, status: int, seconds: float) -> None:
        """Records a caller's request with its status and latency."""
        method_label = method if method in _METHODS else "other"
        self.caller_requests.labels(method_label, str(status)).inc()
        self.caller_seconds.labels(method_label).observe(seconds)

    async def handle(self, request: web.Request) -> web.Response:
        """Serves the metrics in the Prometheus text format."""
        if request.target.partition("?")[0] != "/metrics":
            return web.refusal(404, "no such route")
        if request.method not in ("GET", "HEAD"):
            return web.refusal(405, "only GET and HEAD")
        content_type = exposition.CONTENT_TYPE_PLAIN_0_0_4.encode("ascii")
        body = prometheus_client.generate_latest(self._registry)
        return web.Response(200, [(b"content-type", content_type)], body)
