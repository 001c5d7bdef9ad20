"""What the tasks of one replica share: its role, log, members and state.

The tasks run on one loop. A method changes the fields first and awaits only
then, so that no task sees a half-made change. A term or a vote is in force in
memory before it is written, and is answered for only once it is on the disk.
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
from galenahook import settings as settings_lib
from galenahook import state as state_lib
from galenahook import web
from galenahook.replicas import identity as identity_lib
from galenahook.replicas import log as log_lib
from galenahook.replicas import membership
from galenahook.replicas import notify
from galenahook.replicas import peers as peers_lib
from galenahook.replicas import records
from galenahook.replicas import storage
from galenahook.replicas import wire

_CLOCK_RATE_MARGIN_PERCENT = 2
_MEMBERS_PREFIX = b'{"type":"change-members"'


class Role(enum.Enum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(slots=True)
class Waiter:
    """A command whose submitter waits for its result."""

    term: int
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    result: commands.Result | None = None


class Core:
    """Shared state of one replica's tasks.

    Attributes:
      name: Name of the replica.
      term: Highest term seen.
      voted_for: Candidate that got this replica's vote in the term.
      role: Role in the term.
      leader: Name of the known leader, or an empty string.
      leader_heard_ms: When the leader last spoke; at first the start time, as
        a restart forgets what was heard before.
      timer_ms: From when the election timeout counts.
      commit_index: Last index known to be committed.
      applied_index: Last index applied to the state.
      snapshot_index: Last index that the snapshot holds.
      first_own_index: Leader: index of the first entry of its term, else 0.
      leader_since_ms: Leader: when it was elected.
      handing_over: Leader: whether it gives its leadership away.
      installing: Whether a snapshot is being loaded.
      peers: Leader: the other members by name.
      waiters: Leader: submitted commands by index.
      joining: Leader: replicas that asked to be admitted, by name.
      error: Why the replica is unable, or None.
      committed: Notified when the commit index rises.
      role_changed: Notified when the role, the leader or the group changes.
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
        self.log = log_lib.Log(folder_path, disk, clock.monotonic_ms)
        self.state = state_lib.State()
        self.chance = random.Random()
        self.name = settings.name
        self.term = 0
        self.voted_for = ""
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_heard_ms = self.timer_ms = clock.monotonic_ms()
        self.commit_index = 0
        self.applied_index = 0
        self.snapshot_index = 0
        self.first_own_index = 0
        self.leader_since_ms = 0
        self.handing_over = False
        self.installing = False
        self.peers: dict[str, peers_lib.Peer] = {}
        self.waiters: dict[int, Waiter] = {}
        self.joining: dict[str, wire.JoinRequest] = {}
        self.error: errors.StorageError | None = None
        self.members_history = [membership.Members()]
        self.committed = notify.Signal()
        self.role_changed = notify.Signal()
        self.join_lock = curio.Lock()
        self._ballot_lock = curio.Lock()

    # --- Plain facts ----------------------------------------------------------

    @property
    def members(self) -> membership.Members:
        """The group now in force: the latest in the log, committed or not."""
        return self.members_history[-1]

    @property
    def cluster(self) -> str:
        """Identifier of the cluster, or an empty string."""
        return self.folder.identity.cluster

    @property
    def folder_id(self) -> str:
        """Identity of the data folder."""
        return self.folder.identity.folder

    def now_ms(self) -> int:
        """Returns the monotonic time."""
        return self.clock.monotonic_ms()

    def is_voter(self) -> bool:
        """Whether this replica may vote for itself."""
        return bool(self.cluster) and self.members.is_voter(
            self.name, self.folder_id
        )

    def leads(self, term: int) -> bool:
        """Whether this replica leads in that very term."""
        return self.role is Role.LEADER and self.term == term

    def is_ready_leader(self) -> bool:
        """Whether it leads and has applied all entries of earlier terms."""
        return (
            self.role is Role.LEADER
            and not self.handing_over
            and self.applied_index >= self.first_own_index
        )

    def hears_leader(self) -> bool:
        """Whether the leader's lease may still run, so no vote may be given."""
        if self.role is Role.LEADER:
            return True
        silent_ms = self.now_ms() - self.leader_heard_ms
        return silent_ms < self.timing.election_timeout_min_ms

    def lease_ms(self) -> int:
        """Length of the leader's lease, which ends before any follower votes.

        The margin covers clocks that run at different rates.
        """
        margin = 100 - _CLOCK_RATE_MARGIN_PERCENT
        bound = self.timing.election_timeout_min_ms * margin // 100
        return min(self.timing.leader_lease_ms, bound)

    def quorum_sent_ms(self) -> int | None:
        """Time since which a quorum is known to have followed this leader."""
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
        """Whether no other replica can have been elected by now."""
        sent_ms = self.quorum_sent_ms()
        return sent_ms is not None and (
            self.now_ms() < sent_ms + self.lease_ms()
        )

    def address_of(self, member: membership.Member) -> str:
        """Address of a member; the settings go before the log."""
        return self.settings.replicas.get(member.name, member.address)

    def has_newer_log(self, last_term: int, last_index: int) -> bool:
        """Whether this replica's log is ahead of a candidate's."""
        own = (self.log.last_term, self.log.last_index)
        return own > (last_term, last_index)

    # --- Roles and terms ------------------------------------------------------

    async def observe_term(self, term: int) -> None:
        """Follows into a higher term, and returns once that is on the disk.

        Raises:
          errors.StorageError: It could not be written.
        """
        if term > self.term:
            self.term = term
            self.voted_for = ""
            await self.step_down("")
        await self.save_ballot()

    async def save_ballot(self) -> None:
        """Returns once the current term and vote are on the disk.

        Raises:
          errors.StorageError: They could not be written.
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
                await self.fail(errors.StorageError(str(error)))
                raise self.error or error from error

    async def step_down(self, leader: str) -> None:
        """Becomes a follower of the leader, or of nobody known yet."""
        waiters = list(self.waiters.values())
        was = (self.role, self.leader)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.handing_over = False
        self.first_own_index = 0
        self.waiters.clear()
        self.peers.clear()
        for waiter in waiters:
            await waiter.done.set()
        if was != (Role.FOLLOWER, leader):
            await self.role_changed.notify()

    async def become_leader(self) -> None:
        """Leads the term; not ready before its first entry is applied."""
        self.role = Role.LEADER
        self.leader = self.name
        self.leader_since_ms = self.now_ms()
        self.first_own_index = self.log.last_index + 1
        self.peers.clear()
        self.refresh_peers()
        data = commands.encode_command(commands.Noop())
        await self.append([records.Entry(self.term, data)])
        await self.role_changed.notify()

    def refresh_peers(self) -> None:
        """Makes the peers follow the group now in force."""
        members = self.members.by_name
        for name in self.peers.keys() - members.keys():
            del self.peers[name]
        for member in members.values():
            if member.name == self.name:
                continue
            peer = self.peers.get(member.name)
            if peer is None or peer.member.folder != member.folder:
                next_index = self.log.last_index + 1
                self.peers[member.name] = peers_lib.Peer(member, next_index)
            else:
                peer.member = member

    async def fail(self, error: errors.StorageError) -> None:
        """Makes the replica unable until it is started again."""
        if self.error is None:
            self.error = error
        await self.step_down("")
        await self.role_changed.notify()

    # --- Log ------------------------------------------------------------------

    async def append(self, entries: Sequence[records.Entry]) -> int:
        """Appends entries, and follows a change of the group in them."""
        self.note_members(self.log.last_index + 1, entries)
        return await self.log.append(entries)

    async def replace_from(
        self, index: int, entries: Sequence[records.Entry]
    ) -> None:
        """Replaces a suffix of the log that disagrees with the leader's.

        Raises:
          errors.StorageError: The suffix is committed, which no leader may
            change.
        """
        if index <= self.commit_index:
            await self.fail(
                errors.StorageError(
                    f"the leader disagrees at committed index {index}"
                )
            )
            raise self.error or errors.StorageError("unable")
        while self.members_history[-1].index >= index:
            self.members_history.pop()
        self.note_members(index, entries)
        await self.log.replace_from(index, entries)

    def note_members(
        self, first_index: int, entries: Sequence[records.Entry]
    ) -> None:
        """Takes up the groups that entries make."""
        for index, entry in enumerate(entries, first_index):
            if not entry.data.startswith(_MEMBERS_PREFIX):
                continue
            command = commands.decode_command(entry.data)
            assert isinstance(command, commands.ChangeMembers)
            members = membership.from_command(command, index)
            self.members_history.append(members)
            if self.role is Role.LEADER:
                self.refresh_peers()

    def members_at(self, index: int) -> membership.Members:
        """Returns the group that was in force at an index."""
        return next(
            m for m in reversed(self.members_history) if m.index <= index
        )

    def forget_members_before(self, index: int) -> None:
        """Forgets groups that were replaced up to an index."""
        current = self.members_at(index)
        while self.members_history[0] is not current:
            self.members_history.pop(0)

    async def advance_commit(self, index: int) -> None:
        """Takes an index as committed."""
        if index > self.commit_index:
            self.commit_index = index
            await self.committed.notify()

    async def advance_leader_commit(self) -> None:
        """Commits what a quorum has on disk, from the leader's own term."""
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
