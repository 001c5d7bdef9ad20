"""Counters and latency histograms of jobs, as text on the metrics address."""

from collections.abc import Callable

import prometheus_client
from prometheus_client import exposition
from prometheus_client import metrics as kinds

from galenahook import web

# Bounds of the latency histograms in seconds: a commit takes some 10 ms, and
# callers wait 3 s.
LATENCY_BUCKETS_S = (
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0,
)  # fmt: skip
_METHODS = frozenset(("GET", "POST", "DELETE"))


class JobMetrics:
    """Metrics of one process; a metric that it does not use stays at 0.

    Attributes:
      caller_requests: Requests of callers by method and status.
      caller_seconds: Time to the answer of a caller, by method.
      leader_losses: Times that the leader was lost.
      commit_seconds: Time to the commit of a command.
      round_seconds: Time of a round of the leader.
      first_start_seconds: Time from a job's storing to its first start.
      run_starts: Runs ordered.
      run_ends: Runs that are proven to have ended, by outcome.
      run_refusals: Starts that a worker refused, by its answer.
      throttles: Changes of throttles.
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
        self.throttles = self._counter("throttles", "Changes of throttles.")

    def _counter(self, name: str, text: str, *labels: str) -> kinds.Counter:
        return kinds.Counter(
            name, text, labels, namespace="galenahook", registry=self._registry
        )

    def _histogram(self, name: str, text: str, *labels: str) -> kinds.Histogram:
        return kinds.Histogram(
            name,
            text,
            labels,
            namespace="galenahook",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def watch(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Adds a gauge that is read when metrics are collected."""
        gauge = kinds.Gauge(
            name, text, namespace="galenahook", registry=self._registry
        )
        gauge.set_function(read)

    def count_request(self, method: str, status: int, seconds: float) -> None:
        """Counts a request of a caller and the time to its answer."""
        known = method if method in _METHODS else "other"
        self.caller_requests.labels(known, str(status)).inc()
        self.caller_seconds.labels(known).observe(seconds)

    async def handle(self, request: web.Request) -> web.Response:
        """Answers whoever collects metrics."""
        if request.target.partition("?")[0] != "/metrics":
            return web.refusal(404, "no such route")
        if request.method not in ("GET", "HEAD"):
            return web.refusal(405, "only GET and HEAD")
        content_type = exposition.CONTENT_TYPE_PLAIN_0_0_4.encode("ascii")
        body = prometheus_client.generate_latest(self._registry)
        return web.Response(200, [(b"content-type", content_type)], body)
