"""One replica: the interface to the replicated state."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import defaults
from galenahook import errors
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook import state as state_lib
from galenahook import web
from galenahook.replicas import applier
from galenahook.replicas import bootstrap
from galenahook.replicas import core as core_lib
from galenahook.replicas import election
from galenahook.replicas import follower
from galenahook.replicas import joining
from galenahook.replicas import membership_changes
from galenahook.replicas import records
from galenahook.replicas import recovery
from galenahook.replicas import replication
from galenahook.replicas import snapshot
from galenahook.replicas import snapshot_transfer
from galenahook.replicas import status as status_lib
from galenahook.replicas import storage
from galenahook.replicas import transport
from galenahook.replicas import wire

_STOP_TIMEOUT_SECONDS = 2
_HTTP_CONFLICT = 409
_HTTP_UNAVAILABLE = 503


class Node:
    """Replicates commands and applies them to the state.

    Attributes:
      name: Name of this replica.
      core: State that its tasks share.
    """

    def __init__(
        self,
        settings: settings_lib.ReplicaSettings,
        client: web.ControlClient,
        clock: clock_lib.Clock,
        disk: storage.Disk | None = None,
    ) -> None:
        self.name = settings.name
        self.core = core_lib.Core(
            settings, client, clock, disk or storage.Disk()
        )
        self._receiver = snapshot_transfer.SnapshotReceiver()
        self._stopping = curio.Event()
        self._ended = curio.Event()
        self._routes: dict[str, tuple[type, Callable[..., Awaitable[Any]]]] = {
            transport.APPEND_TARGET: (
                wire.AppendRequest,
                follower.handle_append,
            ),
            transport.VOTE_TARGET: (wire.VoteRequest, election.handle_vote),
            transport.LEADERSHIP_TRANSFER_TARGET: (
                wire.LeadershipTransferRequest,
                election.handle_leadership_transfer,
            ),
            transport.SNAPSHOT_TARGET: (
                wire.SnapshotChunk,
                self._receiver.handle_chunk,
            ),
            transport.BOOTSTRAP_TARGET: (
                wire.BootstrapRequest,
                bootstrap.handle_bootstrap,
            ),
            transport.JOIN_TARGET: (wire.JoinRequest, joining.handle_join),
            transport.STOP_TARGET: (wire.StopNotice, joining.handle_stop),
        }

    @property
    def state(self) -> state_lib.State:
        """State after all applied commands. Callers must not modify it."""
        return self.core.state

    async def start(self) -> None:
        """Opens the data folder and recovers the log.

        Raises:
          errors.CorruptLogError: A file is damaged in a way that a crash does
            not explain.
          errors.StorageError: The folder can't be used.
        """
        await curio.run_in_thread(self._open)

    def _open(self) -> None:
        recovery.open_folder(self.core)

    async def run(self) -> None:
        """Runs the replica until it is stopped or cancelled."""
        tasks = (
            self.core.log.run,
            self._commit_synced_entries,
            lambda: applier.run(self.core),
            lambda: election.run(self.core),
            lambda: replication.run(self.core),
            lambda: bootstrap.run(self.core),
            lambda: joining.request_admission(self.core),
            lambda: joining.run_admissions(self),
            lambda: snapshot.run(self.core),
        )
        group = curio.TaskGroup(wait=any)
        try:
            async with group:
                await group.spawn(self._stopping.wait)
                for task in tasks:
                    await group.spawn(self._run_until_stopped, task)
        finally:
            self.core.log.close()
            await self._ended.set()
        if group.exception is not None:
            raise group.exception

    async def _run_until_stopped(
        self, task: Callable[[], Awaitable[None]]
    ) -> None:
        await task()
        await self._stopping.wait()

    async def _commit_synced_entries(self) -> None:
        core = self.core
        while True:
            synced_index = core.log.synced_index
            await core.advance_leader_commit()
            await core.log.wait_synced_change(synced_index)

    async def stop(self) -> None:
        """Transfers leadership, gives up a vote to spare and ends `run`."""
        await replication.transfer_leadership(self.core)
        await joining.announce_stop(self.core)
        await self._stopping.set()
        with contextlib.suppress(curio.TaskTimeout):
            async with curio.timeout_after(_STOP_TIMEOUT_SECONDS):
                await self._ended.wait()

    # --- Commands and status --------------------------------------------------

    async def submit(self, command: commands.Command) -> commands.Result:
        """Commits a command, applies it and returns its result.

        Raises:
          errors.NotLeaderError: The command was not submitted.
          errors.OverloadedError: The command was not submitted.
          errors.NoQuorumError: No commit was confirmed in time. The command
            may still be committed; the caller must find out by reading the
            state.
          errors.StorageError: The replica has failed; the command was not
            submitted.
        """
        core = self.core
        self._require_leadership()
        if len(core.waiters) >= defaults.MAX_PENDING_COMMANDS:
            raise errors.OverloadedError("too many commands wait")
        waiter = core_lib.Waiter(core.term)
        index = core.log.last_index + 1
        core.waiters[index] = waiter
        data = commands.encode_command(command)
        await core.append([records.Entry(core.term, data)])
        for peer in list(core.peers.values()):
            await peer.wake.notify()
        try:
            timeout = clock_lib.seconds(defaults.COMMIT_TIMEOUT_MS)
            async with curio.timeout_after(timeout):
                await waiter.done.wait()
        except curio.TaskTimeout:
            core.waiters.pop(index, None)
        if waiter.result is None:
            raise errors.NoQuorumError("not known to be committed in time")
        return waiter.result

    def is_leader(self) -> bool:
        """Returns whether it leads and has applied all earlier terms."""
        return self.core.is_ready_leader()

    def has_valid_lease(self) -> bool:
        """Returns whether this replica leads with a valid lease.

        While true, no other replica can have been elected. Callers check it
        immediately before each message that assigns work.
        """
        return self.core.is_ready_leader() and self.core.lease_is_valid()

    def leader_name(self) -> str:
        """Returns the name of the known leader, or an empty string."""
        return self.core.leader

    def term(self) -> int:
        """Returns the current term, which increases with each election."""
        return self.core.term

    async def wait_for_leadership_change(self, was_leader: bool) -> bool:
        """Returns `is_leader()` as soon as it differs from `was_leader`."""
        while self.is_leader() == was_leader:
            await self.core.role_changed.wait()
        return self.is_leader()

    def status(self) -> wire.ReplicaStatus:
        """Returns the status of this replica for operators."""
        return status_lib.status_of(self.core)

    # --- Members --------------------------------------------------------------

    async def add_learner(
        self, name: str, address: str
    ) -> membership_changes.Outcome:
        """Admits a replica as a learner, which has no vote yet.

        Raises:
          errors.GalenahookError: As `submit` does.
        """
        self._require_leadership()
        plan = await membership_changes.plan_learner(self.core, name, address)
        return await self._change_members(plan)

    async def promote(self, name: str) -> membership_changes.Outcome:
        """Promotes a learner that has caught up to voter.

        Raises:
          errors.GalenahookError: As `submit` does.
        """
        self._require_leadership()
        plan = membership_changes.plan_promotion(self.core, name)
        return await self._change_members(plan)

    async def remove(self, name: str) -> membership_changes.Outcome:
        """Removes a member.

        A leader that is to be removed transfers its leadership and raises
        `errors.NotLeaderError`; the new leader can remove it.

        Raises:
          errors.GalenahookError: As `submit` does.
        """
        self._require_leadership()
        plan = membership_changes.plan_removal(self.core, name)
        if name == self.name and plan.is_ok():
            await replication.transfer_leadership(self.core)
            raise errors.NotLeaderError(self.leader_name())
        return await self._change_members(plan)

    def _require_leadership(self) -> None:
        if self.core.error is not None:
            raise self.core.error
        if not self.core.is_ready_leader():
            raise errors.NotLeaderError(self.leader_name())

    async def _change_members(
        self, plan: membership_changes.Outcome
    ) -> membership_changes.Outcome:
        if plan.is_ok():
            await self.submit(plan.ok.command())
        return plan

    # --- Requests of other replicas -------------------------------------------

    async def handle(self, request: web.Request) -> web.Response:
        """Handles a request under `/v1/replicas/`."""
        target = request.target.partition("?")[0]
        if request.method == "GET" and target == transport.STATUS_TARGET:
            return web.json_response(self.status())
        route = self._routes.get(target)
        if route is None or request.method != "POST":
            return web.refusal(404, "no such route")
        if self.core.error is not None:
            return web.refusal(
                _HTTP_UNAVAILABLE, f"replica has failed: {self.core.error}"
            )
        if self._stopping.is_set():
            return web.refusal(_HTTP_UNAVAILABLE, "replica is stopping")
        message_type, handler = route
        try:
            message: Any = messages.decode(request.body, message_type)
            refusal = await self._check_recipient(message)
            if refusal is not None:
                return refusal
            return web.json_response(await handler(self.core, message))
        except errors.InvalidInputError as error:
            return web.refusal(400, str(error))
        except errors.StorageError as error:
            return web.refusal(_HTTP_UNAVAILABLE, str(error))

    async def _check_recipient(self, message: Any) -> web.Response | None:
        """Refuses a message for another folder or from another cluster.

        An empty folder joins the cluster of the first message that contains its
        identifier, which only the members of that cluster know.
        """
        core = self.core
        if isinstance(message, wire.JoinRequest | wire.StopNotice):
            return None
        if message.to_folder != core.folder_id:
            return web.refusal(
                _HTTP_CONFLICT,
                f"message is for data folder {message.to_folder}, but"
                f" {core.name} has {core.folder_id}",
            )
        if isinstance(message, wire.BootstrapRequest):
            return None
        if not core.cluster:
            await bootstrap.join_existing_cluster(core, message.cluster)
        if message.cluster != core.cluster:
            return web.refusal(
                _HTTP_CONFLICT,
                f"message is from cluster {message.cluster}, but {core.name}"
                f" belongs to {core.cluster}",
            )
        return None
