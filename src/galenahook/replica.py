"""The replica daemon: log, state and, while it leads, the leader."""

import hmac

import curio

from galenahook import audit as audit_lib
from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import leader as leader_lib
from galenahook import leader_client
from galenahook import logs
from galenahook import messages
from galenahook import process
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.operators import handler as operators_handler
from galenahook.platform import health as health_lib
from galenahook.platform import metrics as metrics_lib
from galenahook.replicas import node as node_lib

_LEADERSHIP_POLL_PERIOD_MS = 20


class Replica:
    """One replica process.

    Attributes:
      settings: Its settings.
      node: Its consensus node.
      audit: Its audit trail.
      leader: Leader of the current term while this replica leads, else None.
      operators: Handler of operator requests while this replica leads, else
        None.
    """

    def __init__(
        self, settings: settings_lib.ReplicaSettings, clock: clock_lib.Clock
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.key = process.read_site_key(settings.site_key_file)
        self.client = web.ControlClient(
            clock, [(process.SITE_KEY_HEADER, self.key)]
        )
        self.metrics = metrics_lib.Metrics(settings.statsd, settings.name)
        self.node = node_lib.Node(settings, self.client, clock)
        self.audit = audit_lib.AuditTrail(settings.data_folder)
        self.leader: leader_lib.Leader | None = None
        self.operators: operators_handler.OperatorHandler | None = None
        self.peers_server = web.Server(
            web.listen(settings.peers.listen),
            self.handle,
            web.CONTROL_LIMITS,
        )
        self.health = health_lib.Health(self._is_ready)
        self.platform_server = web.Server(
            web.listen(settings.platform.listen),
            self.health.handle,
            web.CONTROL_LIMITS,
        )

    async def run(self, stop: curio.Event) -> None:
        """Runs until `stop` is set, then transfers any leadership and returns.

        Raises:
          errors.StorageError: The data folder can't be used.
        """
        await self.node.start()
        tasks = process.DaemonTasks(stop)
        await tasks.start(
            self.node.run,
            self._run_while_leading,
            self._update_audit_trail,
            self.peers_server.run,
            self.platform_server.run,
        )
        await stop.wait()
        await self.node.stop()
        await tasks.cancel()
        await self.client.close()

    async def _run_while_leading(self) -> None:
        while True:
            await self._wait_for_leadership(True)
            leader = leader_lib.Leader(
                self.node,
                self.client,
                self.settings.timing,
                self.clock,
                self.metrics,
            )
            self.leader = leader
            self.operators = operators_handler.OperatorHandler(
                leader, self.audit, self.settings.timing, self.clock
            )
            try:
                await self._run_leader(leader)
            finally:
                self.leader = None
                self.operators = None

    async def _update_audit_trail(self) -> None:
        await self.audit.run(lambda: self.node.state.configuration)

    async def _run_leader(self, leader: leader_lib.Leader) -> None:
        ended = curio.Event()
        tasks = process.DaemonTasks(ended)
        await tasks.start(leader.run, self._end_when_deposed(ended))
        try:
            await ended.wait()
        finally:
            await tasks.cancel()

    def _end_when_deposed(self, ended: curio.Event) -> process.DaemonTask:
        async def watch() -> None:
            await self._wait_for_leadership(False)
            await ended.set()

        return watch

    async def _wait_for_leadership(self, leading: bool) -> None:
        term = self.node.term()
        while self.node.is_leader() is not leading:
            if not leading and self.node.term() != term:
                return
            await curio.sleep(clock_lib.seconds(_LEADERSHIP_POLL_PERIOD_MS))

    def _is_ready(self) -> bool:
        return bool(self.node.leader_name())

    async def handle(self, request: web.Request) -> web.Response:
        """Handles a request from an entry or another replica."""
        if not hmac.compare_digest(
            request.header(process.SITE_KEY_HEADER), self.key
        ):
            return web.refusal(403, "the site's shared key is missing")
        if request.target.startswith("/v1/replicas/"):
            return await self.node.handle(request)
        leader = self.leader
        if leader is None or not self.node.is_leader():
            return self._not_leader()
        try:
            return await self._handle_as_leader(leader, request)
        except errors.InvalidInputError as error:
            return web.refusal(400, "invalid message", error.findings)
        except errors.NotLeaderError:
            return self._not_leader()
        except (errors.NoQuorumError, errors.StorageError) as error:
            return web.refusal(leader_client.STATUS_NO_QUORUM, str(error))

    async def _handle_as_leader(
        self, leader: leader_lib.Leader, request: web.Request
    ) -> web.Response:
        match request.target:
            case "/v1/entry/update":
                update = messages.decode(request.body, messages.EntryUpdate)
                return web.json_response(await leader.update(update))
            case "/v1/entry/report":
                report = messages.decode(request.body, messages.AttemptReport)
                return web.json_response(await leader.report(report))
            case "/v1/entry/claim":
                claim = messages.decode(request.body, messages.ClaimKeys)
                return web.json_response(await leader.claim(claim))
            case target if target.startswith("/v1/operators/"):
                if self.operators is None:
                    return self._not_leader()
                return await self.operators.handle(request)
            case _:
                return web.refusal(404, "no such route")

    def _not_leader(self) -> web.Response:
        name = self.node.leader_name()
        known = "" if name == self.settings.name else name
        return web.json_response(
            messages.NotLeader(leader=known),
            leader_client.STATUS_NOT_LEADER,
        )


def run(settings: settings_lib.ReplicaSettings) -> None:
    """Runs a replica until SIGTERM or SIGINT.

    Raises:
      errors.StorageError: The data folder can't be used.
    """
    logs.start(settings.name, settings.log_file)
    process.run_until_signal(Replica(settings, clock_lib.Clock()))
