"""The entry daemon, which serves callers, upstreams and operators."""

import dataclasses
import secrets

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import leader_client
from galenahook import logs
from galenahook import messages
from galenahook import process
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.callers import handler as callers_handler
from galenahook.operators import relay as operators_relay
from galenahook.platform import health as health_lib
from galenahook.platform import metrics as metrics_lib
from galenahook.upstreams import pool as pool_lib
from galenahook.upstreams import routing
from galenahook.upstreams import view as view_lib

_INCARNATION_BYTES = 8
# Limit of one update exchange with the leader, including tries of replicas that
# do not lead.
_UPDATE_TIMEOUT_MS = 800
_DRAIN_POLL_PERIOD_MS = 20

_UpstreamAnnouncement = (
    messages.WorkerAnnouncement | messages.ExecutorAnnouncement
)


@dataclasses.dataclass(slots=True)
class _PendingAnnouncement:
    """An announcement that is waiting for the leader's reply.

    Attributes:
      announcement: The announcement as received.
      done: Set once the update that carried it has succeeded or failed.
      reply: The leader's reply; None if the update failed.
    """

    announcement: _UpstreamAnnouncement
    done: curio.Event
    reply: messages.AnnouncementReply | None = None


class Entry:
    """One entry process.

    Attributes:
      settings: Settings of the process.
      view: The entry's lease, configuration, executors and slots.
      draining: Whether a planned stop has begun.
      leaving: Whether it accepts no more caller connections and releases its
        slots.
    """

    def __init__(
        self, settings: settings_lib.EntrySettings, clock: clock_lib.Clock
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.draining = False
        self.leaving = False
        incarnation = secrets.token_hex(_INCARNATION_BYTES)
        key = process.read_site_key(settings.site_key_file)
        self.client = web.ControlClient(clock, [(process.SITE_KEY_HEADER, key)])
        self.leader = leader_client.LeaderClient(
            settings.replicas, self.client, clock
        )
        self.metrics = metrics_lib.Metrics(settings.statsd, settings.name)
        self.view = view_lib.EntryView(
            settings.name, incarnation, settings.availability_zone, clock
        )
        self.pool = pool_lib.ExecutorPool(self.view, clock)
        self.router = routing.Router(self.view, self.pool, clock)
        self.callers_handler = callers_handler.CallerHandler(
            self.view, self.router, self._claim_keys, clock, self.metrics
        )
        self.operators_handler = operators_relay.OperatorRelay(
            self.leader,
            settings.operator_tokens_file,
            clock,
            self.callers_handler.recent.explain,
        )
        self.health = health_lib.Health(self._is_ready)
        self.callers_server = self._create_server(
            settings.callers, self.callers_handler.handle, web.Limits()
        )
        self.upstreams_server = self._create_server(
            settings.upstreams, self._handle_upstream, web.CONTROL_LIMITS
        )
        self.operators_server = self._create_server(
            settings.operators,
            self.operators_handler.handle,
            web.CONTROL_LIMITS,
        )
        self.platform_server = self._create_server(
            settings.platform, self.health.handle, web.CONTROL_LIMITS
        )
        self._pending: list[_PendingAnnouncement] = []
        self._sequence = 0

    def _create_server(
        self,
        listener: settings_lib.Listener,
        handler: web.Handler,
        limits: web.Limits,
    ) -> web.Server:
        return web.Server(web.listen(listener.listen), handler, limits)

    async def run(self, stop: curio.Event) -> None:
        """Runs until `stop` is set, then drains and returns."""
        tasks = process.DaemonTasks(stop)
        await tasks.start(
            self.callers_server.run,
            self.upstreams_server.run,
            self.operators_server.run,
            self.platform_server.run,
            self._send_updates,
        )
        await stop.wait()
        await self._drain()
        await tasks.cancel()
        await self.pool.close()
        await self.client.close()

    def _is_ready(self) -> bool:
        return self.view.has_lease() and not self.draining

    async def _drain(self) -> None:
        """Drains the entry within `drain_timeout_ms` after the notice period.

        Reports unready during the notice period, so that the balancer stops
        sending callers here, then closes the callers' listener. Waits until
        callers' connections are closed and requests of operators and
        upstreams are answered.
        """
        self.draining = True
        timing = self.settings.timing
        await curio.sleep(clock_lib.seconds(timing.drain_notice_ms))
        await self.callers_server.close_listener()
        self.leaving = True
        deadline_ms = self.clock.monotonic_ms() + timing.drain_timeout_ms
        while self._is_busy() and self.clock.monotonic_ms() < deadline_ms:
            await curio.sleep(clock_lib.seconds(_DRAIN_POLL_PERIOD_MS))

    def _is_busy(self) -> bool:
        return bool(
            self.callers_server.connections
            or self.operators_server.in_flight
            or self.upstreams_server.in_flight
        )

    async def _claim_keys(
        self,
        claims: tuple[messages.KeyClaim, ...],
        released: tuple[messages.KeyClaim, ...],
    ) -> tuple[bool, ...]:
        request = messages.ClaimKeys(
            entry=self.settings.name, claims=claims, released=released
        )
        reply = await self.leader.post(
            "/v1/entry/claim", request, messages.ClaimKeysReply
        )
        return reply.granted

    async def _handle_upstream(self, request: web.Request) -> web.Response:
        try:
            match request.method, request.target:
                case "POST", "/v1/announce":
                    return await self._handle_announcement(request)
                case "POST", "/v1/report":
                    return await self._handle_report(request)
                case _:
                    return web.refusal(404, "no such route")
        except errors.InvalidInputError as error:
            return web.refusal(400, "invalid message", error.findings)
        except (errors.NoQuorumError, errors.ExchangeError) as error:
            return web.refusal(503, str(error))

    async def _handle_announcement(self, request: web.Request) -> web.Response:
        announcement: _UpstreamAnnouncement = messages.decode(
            request.body,
            _UpstreamAnnouncement,  # type: ignore[arg-type]
        )
        pending = _PendingAnnouncement(announcement, curio.Event())
        self._pending.append(pending)
        await pending.done.wait()
        if pending.reply is None:
            return web.refusal(503, "no leader answered")
        return web.json_response(pending.reply)

    async def _handle_report(self, request: web.Request) -> web.Response:
        report = messages.decode(request.body, messages.AttemptReport)
        reply = await self.leader.post(
            "/v1/entry/report", report, messages.ReportReply
        )
        return web.json_response(reply)

    async def _send_updates(self) -> None:
        period_ms = self.settings.timing.entry_update_period_ms
        while True:
            started_ms = self.clock.monotonic_ms()
            await self._send_update()
            elapsed_ms = self.clock.monotonic_ms() - started_ms
            pause_ms = max(0, period_ms - elapsed_ms)
            await curio.sleep(clock_lib.seconds(pause_ms))

    async def _send_update(self) -> None:
        pending, self._pending = self._pending, []
        self._sequence += 1
        update = messages.EntryUpdate(
            entry=self.settings.name,
            incarnation=self.view.incarnation,
            sequence=self._sequence,
            availability_zone=self.settings.availability_zone,
            revision=self.view.revision,
            upstreams_version=self.view.upstreams_version,
            announcements=tuple(item.announcement for item in pending),
            slots=self.view.slot_uses(),
            leaving=self.leaving,
        )
        sent_at_ms = self.clock.monotonic_ms()
        try:
            reply = await self.leader.post(
                "/v1/entry/update",
                update,
                messages.EntryUpdateReply,
                _UPDATE_TIMEOUT_MS,
            )
            self.view.apply_reply(reply, sent_at_ms)
            _assign_replies(pending, reply.replies)
        except (errors.GalenahookError, ValueError) as error:
            self.metrics.increment("updates.failed")
            logs.warning("entry:update-failed", reason=str(error))
        for item in pending:
            await item.done.set()


def _assign_replies(
    pending: list[_PendingAnnouncement],
    replies: tuple[messages.AnnouncementReply, ...],
) -> None:
    for item, reply in zip(pending, replies, strict=True):
        item.reply = reply


def run(settings: settings_lib.EntrySettings) -> None:
    """Runs an entry process until SIGTERM or SIGINT."""
    logs.start(settings.name, settings.log_file)
    process.run_until_signal(Entry(settings, clock_lib.Clock()))
