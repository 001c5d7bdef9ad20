"""The entry daemon of a site that runs jobs; it serves callers."""

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

# Time since the leader's last reply to a poll after which the entry is not
# ready. An election takes about one second; calls that wait during it are still
# answered.
UNREADY_AFTER_MS = 2_500
# Part of `stop_ms` reserved for the process exit after draining.
EXIT_MARGIN_MS = 1_500
# Part of the drain time reserved for sending the last responses.
RESPONSE_MARGIN_MS = 200
_DRAIN_POLL_PERIOD_MS = 20
# The balancer stops sending callers after two failed health checks, one second
# apart.
DRAIN_NOTICE_PERIOD_MS = 2_300


class JobEntry:
    """One entry process of a site that runs jobs.

    Attributes:
      gateway: Forwards calls to the leader.
      draining: Whether a planned stop has begun.
    """

    def __init__(
        self,
        settings: settings_lib.JobEntrySettings,
        clock: clock_lib.Clock,
        read_settings: gateway_lib.SettingsReader,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.draining = False
        self.client = web.ControlClient(clock, [])
        self.metrics = job_metrics.JobMetrics()
        self.gateway = gateway_lib.Gateway(
            settings.name,
            settings_lib.peer_addresses(settings.seeds, settings.peer_port),
            self.client,
            clock,
            self.metrics,
            read_settings,
        )
        self.callers = callers_lib.CallerListener(
            self.gateway, clock, self.metrics, settings.availability_zone
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
        self.metrics.add_gauge(
            "caller_connections",
            "Open connections of callers.",
            lambda: self.callers_server.connections,
        )

    def _is_ready(self) -> bool:
        polled_ms = self.gateway.polled_ms
        if self.draining or polled_ms is None or not self.gateway.version:
            return False
        return self.clock.monotonic_ms() - polled_ms < UNREADY_AFTER_MS

    def reload(self) -> None:
        """Reloads the settings; only the addresses in `seeds` take effect."""
        self.gateway.reload_seeds()

    async def run(self, stop: curio.Event) -> None:
        """Runs until `stop` is set, then drains and returns."""
        tasks = process.DaemonTasks(stop)
        await tasks.start(
            self.callers_server.run,
            self.platform_server.run,
            self.metrics_server.run,
            self.gateway.track_leader,
        )
        logs.info("entry:started", name=self.settings.name)
        try:
            await stop.wait()
            await self._drain()
        finally:
            await tasks.cancel()
        await self.client.close()
        logs.info("entry:stopped", name=self.settings.name)

    async def _drain(self) -> None:
        server = self.callers_server
        deadline_ms = (
            self.clock.monotonic_ms() + self.settings.stop_ms - EXIT_MARGIN_MS
        )
        self.draining = True
        self.callers.response_deadline_ms = deadline_ms - RESPONSE_MARGIN_MS
        server.draining = True
        logs.info(
            "entry:draining",
            in_flight=server.in_flight,
            connections=server.connections,
        )
        await curio.sleep(clock_lib.seconds(DRAIN_NOTICE_PERIOD_MS))
        await server.close_listener()
        # Waits for connections rather than for requests in flight: a request
        # may have been received only in part.
        while server.connections and self.clock.monotonic_ms() < deadline_ms:
            await curio.sleep(clock_lib.seconds(_DRAIN_POLL_PERIOD_MS))


def run(
    settings: settings_lib.JobEntrySettings,
    read_settings: gateway_lib.SettingsReader,
) -> None:
    """Runs a job entry process until SIGTERM or SIGINT."""
    logs.start(settings.name, logs.STANDARD_OUTPUT)
    process.run_until_signal(
        JobEntry(settings, clock_lib.Clock(), read_settings)
    )
