"""The replica daemon of a site that runs jobs: log, state and leader."""

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import job_metrics
from galenahook import leader_client
from galenahook import logs
from galenahook import messages
from galenahook import process
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.jobs import calls
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import gateway as gateway_lib
from galenahook.jobs import leader as leader_lib
from galenahook.platform import control as control_lib
from galenahook.platform import workers as platform_workers
from galenahook.replicas import node as node_lib

_LEADERSHIP_POLL_PERIOD_MS = 20


class JobReplica:
    """One replica process.

    Attributes:
      node: Its consensus node.
      leader: Leader of the current term while this replica leads, else None.
      gateway: Forwards calls to the replica that leads.
    """

    def __init__(
        self,
        settings: settings_lib.JobReplicaSettings,
        clock: clock_lib.Clock,
        read_settings: gateway_lib.SettingsReader,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.client = web.ControlClient(clock, [])
        self.metrics = job_metrics.JobMetrics()
        consensus_settings = settings.consensus_settings()
        self.node = node_lib.Node(consensus_settings, self.client, clock)
        self.gateway = gateway_lib.Gateway(
            settings.name,
            dict(consensus_settings.replicas),
            self.client,
            clock,
            self.metrics,
            read_settings,
        )
        self.leader: leader_lib.JobLeader | None = None
        self.control = control_lib.ControlListener(self._call, clock)
        self.peers_server = web.Server(
            web.listen(consensus_settings.peers.listen),
            self.handle,
            web.CONTROL_LIMITS,
        )
        self.control_server = web.Server(
            web.listen(settings.control.listen),
            self.control.handle,
            web.CONTROL_LIMITS,
        )
        self.metrics_server = web.Server(
            web.listen(settings.metrics.listen),
            self.metrics.handle,
            web.CONTROL_LIMITS,
        )
        self._add_gauges()

    def _add_gauges(self) -> None:
        """Registers gauges for the state of this replica."""
        node = self.node
        table = node.state.jobs
        add_gauge = self.metrics.add_gauge
        add_gauge("term", "Term of the group.", lambda: float(node.term()))
        add_gauge("leads", "Whether it leads.", lambda: float(node.is_leader()))
        add_gauge(
            "voters",
            "Voters of the group.",
            lambda: float(len(node.core.members.voters)),
        )
        add_gauge(
            "applied_index",
            "Last command applied.",
            lambda: float(node.core.applied_index),
        )
        add_gauge("jobs", "Jobs stored.", lambda: len(table.jobs))
        add_gauge(
            "jobs_open", "Jobs that have not ended.", lambda: len(table.open)
        )
        add_gauge(
            "tasks_waiting",
            "Tasks whose turn has come and that do not run.",
            lambda: sum(len(job.waiting) for job in table.open.values()),
        )

    def reload(self) -> None:
        """Reloads the settings; only the addresses in `seeds` take effect."""
        self.gateway.reload_seeds()

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
            self.gateway.track_leader,
            self.peers_server.run,
            self.control_server.run,
            self.metrics_server.run,
        )
        logs.info(
            "replica:started",
            name=self.settings.name,
            term=self.node.term(),
            applied=self.node.core.applied_index,
            role=self.node.status().role,
            folder=self.node.core.folder_id,
            voters=[str(member) for member in self.node.core.members.voters],
        )
        try:
            await stop.wait()
            await self.node.stop()
        finally:
            await tasks.cancel()
        await self.client.close()
        logs.info("replica:stopped", name=self.settings.name)

    async def _run_while_leading(self) -> None:
        while True:
            if not self.node.is_leader():
                await curio.sleep(clock_lib.seconds(_LEADERSHIP_POLL_PERIOD_MS))
                continue
            dispatcher = dispatcher_lib.Dispatcher(
                self.node,
                self.clock,
                self._create_worker_client,
                self.settings.worker_lease_ms,
                self.metrics,
                self.settings.worker_heartbeat_ms,
            )
            self.leader = leader_lib.JobLeader(
                self.node, self.clock, dispatcher
            )
            logs.info("leader:elected", term=dispatcher.term)
            try:
                await dispatcher.run()
            finally:
                self.leader = None
                await dispatcher.close()
                logs.info("leader:ended", term=dispatcher.term)

    def _create_worker_client(
        self, heartbeat: calls.WorkerHeartbeat
    ) -> platform_workers.PlatformWorkerClient:
        return platform_workers.PlatformWorkerClient(heartbeat, self.client)

    async def _call(self, call: calls.JobCall, wait_ms: int) -> calls.JobReply:
        """Handles a call locally, or forwards it to the leader."""
        leader = self.leader
        if leader is not None and self.node.is_leader():
            try:
                return await leader.handle_call(call)
            except errors.NotLeaderError:
                pass
        return await self.gateway.call(call, wait_ms)

    async def handle(self, request: web.Request) -> web.Response:
        """Handles a request from an entry or another replica."""
        if request.target != gateway_lib.JOBS_TARGET:
            return await self.node.handle(request)
        try:
            call: calls.JobCall = messages.decode(
                request.body,
                calls.JobCall,  # type: ignore[arg-type]
            )
            return await self._answer(call)
        except errors.InvalidInputError as error:
            return web.refusal(400, "invalid message", error.findings)
        except errors.NotLeaderError:
            return self._not_leader()
        except (errors.NoQuorumError, errors.StorageError) as error:
            return web.refusal(leader_client.STATUS_NO_QUORUM, str(error))

    async def _answer(self, call: calls.JobCall) -> web.Response:
        leader = self.leader
        if leader is not None and self.node.is_leader():
            return web.json_response(await leader.handle_call(call))
        if isinstance(call, calls.EntryPoll):
            reply = calls.JobReply(
                outcome="not-leader", replicas=leader_lib.members_of(self.node)
            )
            return web.json_response(reply)
        return self._not_leader()

    def _not_leader(self) -> web.Response:
        name = self.node.leader_name()
        known = "" if name == self.node.name else name
        return web.json_response(
            messages.NotLeader(leader=known), leader_client.STATUS_NOT_LEADER
        )


def run(
    settings: settings_lib.JobReplicaSettings,
    read_settings: gateway_lib.SettingsReader,
) -> None:
    """Runs a job replica until SIGTERM or SIGINT.

    Raises:
      errors.StorageError: The data folder can't be used.
    """
    logs.start(settings.name, logs.STANDARD_OUTPUT)
    process.run_until_signal(
        JobReplica(settings, clock_lib.Clock(), read_settings)
    )
