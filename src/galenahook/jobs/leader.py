"""Answers calls about jobs while this replica leads."""

import re
import secrets

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import logs
from galenahook.jobs import calls
from galenahook.jobs import dispatcher as dispatcher_lib
from galenahook.jobs import service_levels
from galenahook.replicas import node as node_lib

_TICKET_PREFIX_BYTES = 8
_JOB_PATTERN = re.compile(r"[0-9a-fA-F]{16}")


class JobLeader:
    """Handles the calls of callers, operators, workers and entries in one term.

    Attributes:
      dispatcher: Places tasks.
    """

    def __init__(
        self,
        node: node_lib.Node,
        clock: clock_lib.Clock,
        dispatcher: dispatcher_lib.Dispatcher,
    ) -> None:
        self.node = node
        self.clock = clock
        self.dispatcher = dispatcher
        self._ticket_prefix = secrets.token_hex(_TICKET_PREFIX_BYTES)
        self._zone_orders: dict[str, int] = {}

    async def handle_call(self, call: calls.JobCall) -> calls.JobReply:
        """Handles one call.

        Raises:
          errors.NotLeaderError: This replica may not act as leader; the call
            had no effect.
          errors.NoQuorumError: A change may or may not be committed.
        """
        if not self.node.has_valid_lease():
            raise errors.NotLeaderError("")
        match call:
            case calls.WorkerHeartbeat():
                await self.dispatcher.handle_heartbeat(call)
                return self._done()
            case calls.WorkerLeft():
                await self.dispatcher.leave(call)
                return self._done()
            case calls.EntryPoll():
                return self._poll()
            case calls.ZoneTicketCall():
                ticket = self._zone_ticket(call.availability_zone)
                return calls.JobReply(outcome="done", ticket=ticket)
            case calls.PutSiteCall() | calls.ReadSiteCall() | calls.ZoneCall():
                return await self._answer_operator(call)
            case _:
                return await self._answer_caller(call)

    def _done(self) -> calls.JobReply:
        return calls.JobReply(outcome="done")

    def _poll(self) -> calls.JobReply:
        return calls.JobReply(
            outcome="done",
            version=self.node.state.site.current.version,
            replicas=members_of(self.node),
        )

    # --- Operators ------------------------------------------------------------

    async def _answer_operator(
        self, call: calls.PutSiteCall | calls.ReadSiteCall | calls.ZoneCall
    ) -> calls.JobReply:
        current = self.node.state.site.current
        match call:
            case calls.ReadSiteCall():
                if not current.version:
                    return calls.JobReply(outcome="no-configuration")
                return calls.JobReply(
                    outcome="done",
                    document=current.document,
                    version=current.version,
                )
            case calls.PutSiteCall():
                return await self._put_site(call.command)
            case calls.ZoneCall():
                return await self._set_zone(call)

    async def _put_site(self, command: commands.PutSite) -> calls.JobReply:
        before = self.node.state.site.current.version
        if command.version > before:
            await self.dispatcher.commit(command)
            logs.info(
                "site:changed",
                version=command.version,
                before=before,
                queues=len(command.queues),
            )
            await self.dispatcher.wake()
        return self._done()

    def _zone_ticket(self, zone: str) -> str:
        """Returns the ticket that the next order about a zone must have."""
        return f"{self._ticket_prefix}.{self._zone_orders.get(zone, 0)}"

    async def _set_zone(self, call: calls.ZoneCall) -> calls.JobReply:
        zone = call.availability_zone
        if call.ticket != self._zone_ticket(zone):
            logs.info(
                "zone:order-outdated", availability_zone=zone, out=call.out
            )
            return calls.JobReply(outcome="outdated")
        self._zone_orders[zone] = self._zone_orders.get(zone, 0) + 1
        # Also committed if it seems to change nothing: the opposite order may
        # be under way.
        await self.dispatcher.commit(
            commands.SetZoneService(
                availability_zone=call.availability_zone,
                out=call.out,
                at_ms=self.clock.wall_ms(),
            )
        )
        logs.info(
            "zone:changed",
            availability_zone=call.availability_zone,
            out=call.out,
        )
        await self.dispatcher.wake()
        return self._done()

    # --- Callers --------------------------------------------------------------

    async def _answer_caller(
        self,
        call: calls.SubmitJobCall | calls.JobStateCall | calls.CancelJobCall,
    ) -> calls.JobReply:
        site = self.node.state.site
        if not site.current.version:
            return calls.JobReply(outcome="no-configuration")
        queue = site.find_queue(call.host, call.path)
        if queue is None:
            return calls.JobReply(outcome="no-queue")
        identifier = call.path[len(queue.path_prefix) :]
        if isinstance(call, calls.JobStateCall) and not identifier:
            return self._queue_reply(queue)
        if not _JOB_PATTERN.fullmatch(identifier):
            return calls.JobReply(
                outcome="invalid",
                reason=f"job {identifier!r}: expected 16 hexadecimal digits",
            )
        match call:
            case calls.SubmitJobCall():
                return await self._submit(call, queue, identifier)
            case calls.CancelJobCall():
                return await self._cancel(identifier)
            case calls.JobStateCall():
                return self._state_reply(identifier)

    def _queue_reply(self, queue: commands.QueueRow) -> calls.JobReply:
        pending = sum(
            not job.began and job.description.queue == queue.name
            for job in self.node.state.jobs.open.values()
            if not job.ended
        )
        return calls.JobReply(outcome="queue", pending=pending)

    def _state_reply(self, identifier: str) -> calls.JobReply:
        job = self.node.state.jobs.jobs.get(identifier)
        if job is None:
            return calls.JobReply(outcome="unknown-job")
        return calls.JobReply(outcome="state", state=job.state())

    async def _submit(
        self,
        call: calls.SubmitJobCall,
        queue: commands.QueueRow,
        identifier: str,
    ) -> calls.JobReply:
        if identifier in self.node.state.jobs.jobs:
            return calls.JobReply(outcome="stored")
        order = call.order
        description = commands.JobDescription(
            job=identifier,
            queue=queue.name,
            service=queue.service,
            spec=order.spec,
            steps=order.steps,
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            stretch=queue.stretch,
            objective_ms=queue.objective_ms,
            occurrences=order.occurrences,
            first_start_ms=order.first_start_ms,
            interval_ms=order.interval_ms,
            availability_zone=call.availability_zone,
        )
        try:
            await self.dispatcher.commit(
                commands.SubmitJob(
                    description=description, at_ms=self.clock.wall_ms()
                )
            )
        except errors.OverloadedError as error:
            return calls.JobReply(outcome="overloaded", reason=str(error))
        job = self.node.state.jobs.jobs[identifier]
        self.dispatcher.service_levels.note_submitted(job)
        logs.info(
            "job:stored",
            job=identifier,
            queue=queue.name,
            zone=call.availability_zone,
            version=self.node.state.site.current.version,
            steps=len(order.steps),
            state=job.state(),
            **service_levels.measures(job),
        )
        await self.dispatcher.wake()
        return calls.JobReply(outcome="stored")

    async def _cancel(self, identifier: str) -> calls.JobReply:
        # Also committed for an unknown job: its submission may be under way.
        result = await self.dispatcher.commit(
            commands.CancelJob(job=identifier, at_ms=self.clock.wall_ms())
        )
        is_stored = not isinstance(result, commands.JobUnknown)
        logs.info("job:cancelled", job=identifier, stored=is_stored)
        if not is_stored:
            return calls.JobReply(outcome="unknown-job")
        await self.dispatcher.wake()
        return calls.JobReply(outcome="cancelled")


def members_of(node: node_lib.Node) -> dict[str, str]:
    """Returns the address of each member of the group by name."""
    members = node.core.members.by_name.values()
    return {member.name: member.address for member in members}
