"""State that the tasks of one replica share: role, log, members and state.

All tasks run on one event loop. A method updates the fields first and awaits
afterwards, so that no task observes a partial update. A term or a vote takes
effect in memory before it is written; messages that rely on it are sent only
once it is on the disk.
"""

from collections.abc import Sequence
import dataclasses
import enum
import pathlib
import random

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import logs
from galenahook import settings as settings_lib
from galenahook import state as state_lib
from galenahook import web
from galenahook.replicas import identity as identity_lib
from galenahook.replicas import log as log_lib
from galenahook.replicas import membership
from galenahook.replicas import notify
from galenahook.replicas import peers as peers_lib
from galenahook.replicas import records
from galenahook.replicas import refused_writes
from galenahook.replicas import storage
from galenahook.replicas import wire

# For the leader's lease; the leases of entries and workers use
# `defaults.CLOCK_RATE_MARGIN_PERCENT`.
_CLOCK_RATE_MARGIN_PERCENT = 2
# Start of an encoded `ChangeMembers`, so that other entries are not decoded.
_CHANGE_MEMBERS_PREFIX = b'{"type":"change-members"'


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(slots=True)
class Waiter:
    """A submitted command whose submitter waits for the result.

    Attributes:
      term: Term in which the command was appended.
      done: Set when the result is known or the leadership is lost.
      result: Result of the command, or None if it is not known.
    """

    term: int
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    result: commands.Result | None = None


class Core:
    """Shared state of one replica's tasks.

    Attributes:
      name: Name of the replica.
      term: Highest term seen.
      voted_for: Candidate that received this replica's vote in the term.
      role: Role in the term.
      leader: Name of the known leader, or an empty string.
      last_leader_contact_ms: When the leader last sent a message; initially the
        start time, as earlier contacts are not persisted across a restart.
      election_timer_start_ms: Start of the current election timeout.
      election_logged_ms: When a lost election was last logged, or None.
      commit_index: Last index known to be committed.
      applied_index: Last index applied to the state.
      snapshot_index: Last index that the snapshot contains.
      term_start_index: Leader: index of the first entry of its term, else 0.
      leader_since_ms: Leader: when it was elected.
      transferring_leadership: Leader: whether it is transferring leadership.
      installing: Whether a received snapshot is being installed.
      peers: Leader: the other members by name.
      waiters: Leader: submitted commands by index.
      join_requests: Leader: pending requests for admission by replica name.
      stopping: Leader: folder and time of the notice of each replica that stops
        as planned, by name.
      error: Why the replica has failed until it is restarted, or None. A disk
        that refuses writes is no such failure: they are tried again.
      refused: Writes that the disk refused.
      committed: Notified when the commit index rises.
      role_changed: Notified when the role, the leader, the readiness to lead or
        the cluster changes.
      join_lock: Held while the folder joins a cluster.
    """

    def __init__(
        self,
        settings: settings_lib.ReplicaSettings,
        client: web.ControlClient,
        clock: clock_lib.Clock,
        disk: storage.Disk,
    ) -> None:
        path = pathlib.Path(settings.data_folder)
        folder_path = path if settings.data_folder else None
        self.settings = settings
        self.timing = settings.timing
        self.client = client
        self.clock = clock
        self.disk = disk
        self.folder = identity_lib.Folder(folder_path, disk)
        self.refused = refused_writes.RefusedWrites(clock.monotonic_ms)
        self.log = log_lib.Log(
            folder_path, disk, clock.monotonic_ms, self.refused
        )
        self.state = state_lib.State()
        self.rng = random.Random()
        self.name = settings.name
        self.term = 0
        self.voted_for = ""
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_leader_contact_ms = self.election_timer_start_ms = (
            clock.monotonic_ms()
        )
        self.election_logged_ms: int | None = None
        self.commit_index = 0
        self.applied_index = 0
        self.snapshot_index = 0
        self.term_start_index = 0
        self.leader_since_ms = 0
        self.transferring_leadership = False
        self.installing = False
        self.peers: dict[str, peers_lib.Peer] = {}
        self.waiters: dict[int, Waiter] = {}
        self.join_requests: dict[str, wire.JoinRequest] = {}
        self.stopping: dict[str, tuple[str, int]] = {}
        self.error: errors.StorageError | None = None
        self.members_history = [membership.Members()]
        self.committed = notify.Signal()
        self.role_changed = notify.Signal()
        self.join_lock = curio.Lock()
        self._ballot_lock = curio.Lock()

    # --- Queries --------------------------------------------------------------

    @property
    def members(self) -> membership.Members:
        """Membership in effect: the latest in the log, committed or not."""
        return self.members_history[-1]

    @property
    def cluster(self) -> str:
        """Identifier of the cluster, or an empty string."""
        return self.folder.identity.cluster

    @property
    def folder_id(self) -> str:
        """Identifier of the data folder."""
        return self.folder.identity.folder

    def now_ms(self) -> int:
        """Returns the monotonic time in milliseconds."""
        return self.clock.monotonic_ms()

    def is_voter(self) -> bool:
        """Returns whether this replica is a voter of its cluster."""
        return bool(self.cluster) and self.members.is_voter(
            self.name, self.folder_id
        )

    def leads(self, term: int) -> bool:
        """Returns whether this replica is the leader of the given term."""
        return self.role is Role.LEADER and self.term == term

    def is_ready_leader(self) -> bool:
        """Returns whether it leads and has applied all earlier terms.

        A leader that is transferring its leadership is not ready.
        """
        return (
            self.role is Role.LEADER
            and not self.transferring_leadership
            and self.applied_index >= self.term_start_index
        )

    def in_leader_lease(self) -> bool:
        """Returns whether a lease may be valid; no vote is granted then."""
        if self.role is Role.LEADER:
            return True
        silent_ms = self.now_ms() - self.last_leader_contact_ms
        return silent_ms < self.timing.election_timeout_min_ms

    def lease_duration_ms(self) -> int:
        """Returns the duration of the leader's lease.

        The lease ends before any follower may vote. The clock rate margin
        covers clocks that run at different rates.
        """
        margin = 100 - _CLOCK_RATE_MARGIN_PERCENT
        bound = self.timing.election_timeout_min_ms * margin // 100
        return min(self.timing.leader_lease_ms, bound)

    def quorum_acknowledged_sent_ms(self) -> int | None:
        """Returns the latest time since which a quorum acknowledged the leader.

        Each member of the quorum has acknowledged a request that was sent at
        this time or later; this replica counts as acknowledging now. The time
        of sending counts, not that of the reply. None if no quorum has
        acknowledged any request.
        """
        never = -1
        times = []
        for member in self.members.voters:
            if member.name == self.name:
                times.append(self.now_ms())
                continue
            peer = self.peers.get(member.name)
            sent_ms = peer.acknowledged_sent_ms if peer else None
            times.append(never if sent_ms is None else sent_ms)
        sent_ms = membership.highest_of_quorum(times, self.members.quorum())
        return None if sent_ms == never else sent_ms

    def lease_is_valid(self) -> bool:
        """Returns whether no other replica can have been elected by now."""
        sent_ms = self.quorum_acknowledged_sent_ms()
        return sent_ms is not None and (
            self.now_ms() < sent_ms + self.lease_duration_ms()
        )

    def address_of(self, member: membership.Member) -> str:
        """Returns the address of a member; settings override the log."""
        return self.settings.replicas.get(member.name, member.address)

    def has_newer_log(self, last_term: int, last_index: int) -> bool:
        """Returns whether this log is more up to date than a candidate's."""
        own = (self.log.last_term, self.log.last_index)
        return own > (last_term, last_index)

    # --- Roles and terms ------------------------------------------------------

    async def observe_term(self, term: int) -> None:
        """Adopts a higher term and returns once it is on the disk.

        Raises:
          errors.StorageError: The term could not be written.
        """
        if term > self.term:
            self.term = term
            self.voted_for = ""
            await self.step_down("")
        await self.save_ballot()

    async def save_ballot(self) -> None:
        """Returns once the current term and vote are on the disk.

        Raises:
          errors.StorageError: They could not be written. They remain in effect
            in memory, and a later call writes them.
        """
        async with self._ballot_lock:
            ballot = identity_lib.Ballot(
                term=self.term, voted_for=self.voted_for
            )
            if ballot == self.folder.ballot:
                return
            try:
                async with curio.disable_cancellation():
                    await curio.run_in_thread(self.folder.save_ballot, ballot)
            except OSError as error:
                self.refused.record_refusal("ballot", error)
                raise errors.StorageError(f"ballot: {error}") from error
            self.refused.record_success("ballot")

    async def step_down(self, leader: str) -> None:
        """Becomes a follower; `leader` is empty if it is not known yet."""
        waiters = list(self.waiters.values())
        previous = (self.role, self.leader)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.transferring_leadership = False
        self.term_start_index = 0
        self.waiters.clear()
        self.peers.clear()
        for waiter in waiters:
            await waiter.done.set()
        if previous != (Role.FOLLOWER, leader):
            await self.role_changed.notify()

    async def become_leader(self) -> None:
        """Becomes leader; ready once the term's first entry is applied."""
        self.role = Role.LEADER
        self.leader = self.name
        self.leader_since_ms = self.now_ms()
        self.term_start_index = self.log.last_index + 1
        self.peers.clear()
        self.refresh_peers()
        data = commands.encode_command(commands.Noop())
        await self.append([records.Entry(self.term, data)])
        await self.role_changed.notify()

    def refresh_peers(self) -> None:
        """Updates the peers to the membership in effect."""
        members = self.members.by_name
        for name in self.peers.keys() - members.keys():
            del self.peers[name]
        for member in members.values():
            if member.name == self.name:
                continue
            peer = self.peers.get(member.name)
            if peer is None or peer.member.folder != member.folder:
                next_index = self.log.last_index + 1
                self.peers[member.name] = peers_lib.Peer(
                    member, next_index, added_ms=self.now_ms()
                )
            else:
                peer.member = member

    async def fail(self, error: errors.StorageError) -> None:
        """Marks the replica as failed until it is restarted."""
        if self.error is None:
            self.error = error
        await self.step_down("")
        await self.role_changed.notify()

    # --- Log ------------------------------------------------------------------

    async def append(self, entries: Sequence[records.Entry]) -> int:
        """Appends entries and puts membership changes in them into effect."""
        self.activate_member_changes(self.log.last_index + 1, entries)
        return await self.log.append(entries)

    async def replace_from(
        self, index: int, entries: Sequence[records.Entry]
    ) -> None:
        """Replaces a suffix of the log that conflicts with the leader's.

        Raises:
          errors.StorageError: The suffix includes committed entries, which no
            leader may change.
        """
        if index <= self.commit_index:
            await self.fail(
                errors.StorageError(
                    f"the leader's log conflicts at committed index {index}"
                )
            )
            raise self.error or errors.StorageError("the replica has failed")
        while self.members_history[-1].index >= index:
            self.members_history.pop()
        self.activate_member_changes(index, entries)
        await self.log.replace_from(index, entries)

    def activate_member_changes(
        self, first_index: int, entries: Sequence[records.Entry]
    ) -> None:
        """Puts membership changes in entries into effect."""
        for index, entry in enumerate(entries, first_index):
            if not entry.data.startswith(_CHANGE_MEMBERS_PREFIX):
                continue
            command = commands.decode_command(entry.data)
            assert isinstance(command, commands.ChangeMembers)
            members = membership.from_command(command, index)
            self.members_history.append(members)
            logs.info(
                "members:changed",
                index=index,
                voters=command.members,
                learners=command.learners,
                quorum=members.quorum(),
            )
            if self.role is Role.LEADER:
                self.refresh_peers()

    def members_at(self, index: int) -> membership.Members:
        """Returns the membership that was in effect at an index."""
        return next(
            m for m in reversed(self.members_history) if m.index <= index
        )

    def discard_members_before(self, index: int) -> None:
        """Discards memberships that were replaced up to an index."""
        current = self.members_at(index)
        while self.members_history[0] is not current:
            self.members_history.pop(0)

    async def advance_commit(self, index: int) -> None:
        """Raises the commit index to an index, if that is higher."""
        if index > self.commit_index:
            self.commit_index = index
            await self.committed.notify()

    async def advance_leader_commit(self) -> None:
        """Commits entries that a quorum has on disk, up to one of this term.

        Entries of earlier terms are committed only together with an entry of
        the leader's own term.
        """
        if self.role is not Role.LEADER:
            return
        indexes = []
        for member in self.members.voters:
            if member.name == self.name:
                indexes.append(self.log.synced_index)
                continue
            peer = self.peers.get(member.name)
            indexes.append(peer.synced_index if peer else 0)
        index = membership.highest_of_quorum(indexes, self.members.quorum())
        if self.log.term_at(index) == self.term:
            await self.advance_commit(index)
