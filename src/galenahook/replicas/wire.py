"""Messages between replicas, and their status for operators."""

import msgspec

from galenahook import messages


class WireEntry(messages.Message, frozen=True, kw_only=True):
    """One entry of the log.

    Attributes:
      term: Term of the leader that added it.
      command: The command as JSON.
    """

    term: int
    command: msgspec.Raw


class AppendRequest(messages.Message, frozen=True, kw_only=True):
    """A leader's heartbeat, with entries that the follower is missing.

    Attributes:
      cluster: Identifier of the cluster.
      leader: Name of the leader.
      to_folder: Identifier of the data folder of the recipient.
      term: Term of the leader.
      previous_index: Index before the first entry.
      previous_term: Term of that index.
      commit_index: Last index known to be committed.
      entries: Entries in order.
    """

    cluster: str
    leader: str
    to_folder: str
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[WireEntry, ...] = ()


class AppendReply(messages.Message, frozen=True, kw_only=True):
    """A follower's reply to `AppendRequest`.

    Attributes:
      folder: Identifier of the follower's data folder.
      term: Term of the follower.
      accepted: Whether its log matches the leader's up to `received`.
      received: Last index that matches; if not accepted, the last index that
        may match.
      synced: Last index that matches and is on the disk.
      installing: Whether it is installing a snapshot.
    """

    folder: str
    term: int
    accepted: bool
    received: int = 0
    synced: int = 0
    installing: bool = False


class VoteRequest(messages.Message, frozen=True, kw_only=True):
    """A candidate's request for a vote or a pre-vote.

    Attributes:
      cluster: Identifier of the cluster.
      candidate: Name of the candidate.
      to_folder: Identifier of the data folder of the recipient.
      term: Term of the election.
      last_index: Index of the candidate's last entry.
      last_term: Term of that entry.
      pre_vote: Whether this only asks if the vote would be granted; the voter
        promises nothing.
      handed_over: Whether the leader of the previous term transferred its
        leadership to this candidate and gave up its lease.
    """

    cluster: str
    candidate: str
    to_folder: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    handed_over: bool = False


class VoteReply(messages.Message, frozen=True, kw_only=True):
    """Reply to `VoteRequest`."""

    folder: str
    term: int
    granted: bool


class LeadershipTransferRequest(messages.Message, frozen=True, kw_only=True):
    """Asks a follower to start an election at once, to replace the leader."""

    cluster: str
    to_folder: str
    term: int


class LeadershipTransferReply(messages.Message, frozen=True, kw_only=True):
    """Reply to `LeadershipTransferRequest`.

    Attributes:
      accepted: Whether the follower starts an election.
    """

    accepted: bool


class SnapshotChunk(messages.Message, frozen=True, kw_only=True):
    """A chunk of the leader's snapshot.

    Attributes:
      cluster: Identifier of the cluster.
      leader: Name of the leader.
      to_folder: Identifier of the data folder of the recipient.
      term: Term of the leader.
      index: Last index that the snapshot contains.
      index_term: Term of that index.
      offset: Byte offset of this chunk in the file.
      data: Bytes of the file.
      last: Whether this is the last chunk.
    """

    cluster: str
    leader: str
    to_folder: str
    term: int
    index: int
    index_term: int
    offset: int
    data: bytes
    last: bool


class SnapshotReply(messages.Message, frozen=True, kw_only=True):
    """Reply to `SnapshotChunk`.

    Attributes:
      folder: Identifier of the follower's data folder.
      term: Term of the follower.
      offset: Byte offset of the next expected chunk.
      complete: Whether it needs no more chunks of this snapshot.
    """

    folder: str
    term: int
    offset: int
    complete: bool = False


class BootstrapRequest(messages.Message, frozen=True, kw_only=True):
    """Asks an empty data folder to join a cluster that is bootstrapped.

    Attributes:
      cluster: Identifier of the new cluster.
      to_folder: Identifier of the data folder of the recipient.
      members: Every member as `name=host:port#folder`.
    """

    cluster: str
    to_folder: str
    members: tuple[str, ...]


class BootstrapReply(messages.Message, frozen=True, kw_only=True):
    """Reply to `BootstrapRequest`.

    Attributes:
      accepted: Whether the folder now belongs to the new cluster.
    """

    accepted: bool


class PeerStatus(messages.Message, frozen=True, kw_only=True):
    """Status of another member, as the leader knows it.

    Attributes:
      name: Name of the member.
      address: Address of its listener for peers.
      voter: False for a learner.
      synced_index: Last index on its disk.
      silent_ms: Time since the last acknowledged request was sent; -1 if there
        was none.
      error: Error of the last request, or an empty string.
    """

    name: str
    address: str
    voter: bool
    synced_index: int
    silent_ms: int
    error: str = ""


class ReplicaStatus(messages.Message, frozen=True, kw_only=True):
    """Status of one replica.

    Attributes:
      name: Name of the replica.
      cluster: Identifier of its cluster; empty before it joins one.
      folder: Identifier of its data folder.
      role: `leader`, `candidate`, `follower`, `learner`, `waiting` (its empty
        folder is in no cluster yet) or `unable` (it has failed or its
        disk refuses the log).
      leader: Name of the known leader, or an empty string.
      term: Current term.
      members: Voting members.
      learners: Members without a vote.
      first_index: First index retained in memory.
      last_index: Last index of its log.
      synced_index: Last index on its disk.
      commit_index: Last index known to be committed.
      applied_index: Last index applied to the state.
      snapshot_index: Last index that its snapshot contains.
      syncs: Number of syncs of the log since the start.
      last_sync_ms: Duration of the last sync.
      peers: Leader: status of the other members; empty otherwise.
      error: Why the replica has failed, or an empty string.
      may_found: Whether its empty folder may take part in the bootstrap of a
        cluster.
    """

    name: str
    cluster: str
    folder: str
    role: str
    leader: str
    term: int
    members: tuple[str, ...]
    learners: tuple[str, ...]
    first_index: int
    last_index: int
    synced_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    syncs: int
    last_sync_ms: int
    peers: tuple[PeerStatus, ...] = ()
    error: str = ""
    may_found: bool = True


class JoinRequest(messages.Message, frozen=True, kw_only=True):
    """A request of a replica with an empty folder to be admitted.

    Attributes:
      name: Name of the replica.
      address: Address of its listener for peers.
      folder: Identifier of its data folder.
    """

    name: str
    address: str
    folder: str


class JoinReply(messages.Message, frozen=True, kw_only=True):
    """Reply to `JoinRequest`.

    Attributes:
      accepted: Whether this replica leads and will admit the other.
      leader_address: Address of the leader; empty if not known.
    """

    accepted: bool
    leader_address: str = ""


class StopNotice(messages.Message, frozen=True, kw_only=True):
    """A notice that a replica is about to stop as planned.

    Attributes:
      name: Name of the replica.
      folder: Identifier of its data folder.
    """

    name: str
    folder: str


class StopReply(messages.Message, frozen=True, kw_only=True):
    """Reply to `StopNotice`.

    Attributes:
      may_stop: Whether this replica leads, and the other is no longer a member
        or keeps its vote while it is down.
    """

    may_stop: bool


class MemberChangeRefused(messages.Message, frozen=True, kw_only=True):
    """A refused membership change.

    Attributes:
      reason: Human-readable reason.
    """

    reason: str
