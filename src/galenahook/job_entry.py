"""The entry daemon of a site that runs jobs: callers meet it here."""

import curio

from galenahook import clock as clock_lib
from galenahook import job_metrics
from galenahook import logs
from galenahook import process
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.jobs import gateway as gateway_lib
from galenahook.platform import callers as callers_lib
from galenahook.platform import health as health_lib

# Without a leader for so long the entry sends callers elsewhere. An election
# takes about one second, after which calls that wait are still answered.
READY_GRACE_MS = 2_500
# Part of the stop's time that is left to the end of the process.
STOP_MARGIN_MS = 1_500
# Part of the stop's time in which the last answers reach their callers.
ANSWER_MARGIN_MS = 200
_DRAIN_POLL_MS = 20
# The balancer takes two misses, a second apart, to send nobody here.
DRAIN_NOTICE_MS = 2_300


class JobEntry:
    """One entry process.

    Attributes:
      gateway: Takes calls to the leader.
      draining: Whether a planned stop has begun.
    """

    def __init__(
        self,
        settings: settings_lib.JobEntrySettings,
        clock: clock_lib.Clock,
        read: gateway_lib.SettingsReader,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self._read = read
        self.draining = False
        self.client = web.ControlClient(clock, [])
        self.metrics = job_metrics.JobMetrics()
        self.gateway = gateway_lib.Gateway(
            settings.name,
            settings_lib.peer_addresses(settings.seeds, settings.peer_port),
            self.client,
            clock,
            self.metrics,
        )
        self.callers = callers_lib.CallerListener(
            self.gateway, clock, self.metrics
        )
        self.health = health_lib.Health(self._is_ready)
        self.callers_server = web.Server(
            web.listen(settings.callers.listen),
            self.callers.handle,
            web.Limits(),
        )
        self.platform_server = web.Server(
            web.listen(settings.platform.listen),
            self.health.handle,
            web.CONTROL_LIMITS,
        )
        self.metrics_server = web.Server(
            web.listen(settings.metrics.listen),
            self.metrics.handle,
            web.CONTROL_LIMITS,
        )
        self.metrics.watch(
            "caller_connections",
            "Open connections of callers.",
            lambda: self.callers_server.connections,
        )

    def _is_ready(self) -> bool:
        polled_ms = self.gateway.polled_ms
        if self.draining or polled_ms is None or not self.gateway.version:
            return False
        return self.clock.monotonic_ms() - polled_ms < READY_GRACE_MS

    def reload(self) -> None:
        """Reads the settings again; only the seeds may change."""
        gateway_lib.reload_seeds(self.gateway, self._read)

    async def run(self, stop: curio.Event) -> None:
        """Runs until `stop` is set, then finishes what is in flight."""
        parts = process.Parts(stop)
        await parts.start(
            self.callers_server.run,
            self.platform_server.run,
            self.metrics_server.run,
            self.gateway.follow,
        )
        logs.info("entry:started", name=self.settings.name)
        try:
            await stop.wait()
            await self._drain()
        finally:
            await parts.cancel()
        await self.client.close()
        logs.info("entry:stopped", name=self.settings.name)

    async def _drain(self) -> None:
        server = self.callers_server
        end_ms = (
            self.clock.monotonic_ms() + self.settings.stop_ms - STOP_MARGIN_MS
        )
        self.draining = True
        self.callers.end_ms = end_ms - ANSWER_MARGIN_MS
        server.draining = True
        logs.info(
            "entry:draining",
            in_flight=server.in_flight,
            connections=server.connections,
        )
        await curio.sleep(clock_lib.seconds(DRAIN_NOTICE_MS))
        await server.close_listener()
        # A connection may hold a request that has not arrived whole.
        while server.connections and self.clock.monotonic_ms() < end_ms:
            await curio.sleep(clock_lib.seconds(_DRAIN_POLL_MS))


def run(
    settings: settings_lib.JobEntrySettings, read: gateway_lib.SettingsReader
) -> None:
    """Runs an entry of jobs until SIGTERM or SIGINT."""
    logs.start(settings.name, logs.STANDARD_OUTPUT)
    process.run_until_signal(JobEntry(settings, clock_lib.Clock(), read))
