"""The leader of one term: the parts that a replica runs only while it leads.

The registries are rebuilt in each term from announcements and updates. Only
the replicated state persists across terms.
"""

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import entries as entries_lib
from galenahook import errors
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.platform import metrics as metrics_lib
from galenahook.replicas import node as node_lib
from galenahook.scheduling import scheduler as scheduler_lib
from galenahook.upstreams import executors as executors_lib
from galenahook.upstreams import grants as grants_lib
from galenahook.upstreams import workers as workers_lib


class Leader:
    """Handles the requests of entries and runs the scheduler during one term.

    Attributes:
      entries: Leases and revisions of the entries.
      workers: Workers that announce themselves through entries.
      executors: Executors that announce themselves through entries.
      grants: Slots of executors granted to entries.
      scheduler: Places tasks and tracks their attempts.
    """

    def __init__(
        self,
        node: node_lib.Node,
        client: web.ControlClient,
        timing: settings_lib.Timing,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self.node = node
        self.entries = entries_lib.EntryRegistry(clock, timing.entry_lease_ms)
        self.workers = workers_lib.WorkerRegistry(clock, timing)
        self.executors = executors_lib.ExecutorRegistry(clock)
        self.grants = grants_lib.GrantTable(clock, timing.entry_lease_ms)
        self.scheduler = scheduler_lib.Scheduler(
            node,
            self.workers,
            self.executors,
            client,
            clock,
            timing,
            metrics=metrics,
        )
        self._clock = clock
        self._timing = timing

    async def run(self) -> None:
        """Runs the scheduler until cancelled."""
        await self.scheduler.run()

    async def update(
        self, update: messages.EntryUpdate
    ) -> messages.EntryUpdateReply:
        """Processes an entry's update and renews its lease.

        Raises:
          errors.NotLeaderError: This replica may not grant a lease, or the
            entry already follows a later revision than this replica.
        """
        replies = tuple(
            self._announce(announcement)
            for announcement in update.announcements
        )
        await self.scheduler.notify()
        current = self.node.state.configuration.current
        if (
            not self.node.has_valid_lease()
            or update.revision > current.revision
        ):
            raise errors.NotLeaderError(self.node.leader_name())
        self.entries.renew(update)
        addresses = self.executors.addresses(current)
        version = self.executors.version
        is_current = update.upstreams_version == version
        return messages.EntryUpdateReply(
            lease_ms=self._timing.entry_lease_ms,
            configuration=_entry_configuration(current, update.revision),
            upstreams_version=version,
            executors=None if is_current else addresses,
            grants=self.grants.update(update, self.executors),
            replies=replies,
        )

    def _announce(
        self,
        announcement: messages.WorkerAnnouncement
        | messages.ExecutorAnnouncement,
    ) -> messages.AnnouncementReply:
        match announcement:
            case messages.WorkerAnnouncement():
                return self.workers.announce(
                    announcement, self.node.state.tasks
                )
            case messages.ExecutorAnnouncement():
                return self.executors.announce(announcement)

    async def report(
        self, report: messages.AttemptReport
    ) -> messages.ReportReply:
        """Commits the end of an attempt, then acknowledges the report."""
        return await self.scheduler.report(report)

    async def claim(
        self, request: messages.ClaimKeys
    ) -> messages.ClaimKeysReply:
        """Claims idempotency keys by committing a command to the log."""
        result = await self.node.submit(
            commands.ClaimKeys(
                entry=request.entry,
                claims=request.claims,
                released=request.released,
                at_ms=self._clock.wall_ms(),
            )
        )
        assert isinstance(result, commands.KeysClaimed)
        return messages.ClaimKeysReply(granted=result.granted)


def _entry_configuration(
    current: configuration_lib.ConfigurationRecord, known_revision: int
) -> messages.EntryConfiguration | None:
    if current.revision == known_revision and known_revision > 0:
        return None
    routes = tuple(
        messages.ServiceRoute(
            service=row.name,
            route=row.route,
            priority=row.priority,
            tail_target_ms=row.tail_target_ms,
        )
        for row in current.services.values()
    )
    return messages.EntryConfiguration(
        revision=current.revision,
        routes=routes,
        availability_zones_out=tuple(sorted(current.availability_zones_out)),
    )
