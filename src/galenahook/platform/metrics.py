"""Metrics sent to statsd over UDP; recording never blocks or raises."""

import contextlib

import statsd

from galenahook import web

PREFIX = "galenahook"


class Metrics:
    """Records counters, timings and gauges of one process.

    Attributes:
      client: The statsd client, or None when no address is set.
    """

    def __init__(self, address: str, process: str) -> None:
        self.client: statsd.StatsClient | None = None
        if not address:
            return
        with contextlib.suppress(OSError, ValueError):
            host, port = web.parse_address(address)
            prefix = f"{PREFIX}.{process}"
            self.client = statsd.StatsClient(host, port, prefix)

    def increment(self, name: str, count: int = 1) -> None:
        """Adds to a counter."""
        if self.client is not None:
            self.client.incr(name, count)

    def timing(self, name: str, duration_ms: float) -> None:
        """Records a duration."""
        if self.client is not None:
            self.client.timing(name, duration_ms)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self.client is not None:
            self.client.gauge(name, value)
