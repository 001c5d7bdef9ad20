"""Messages between replicas, and what operators read about them."""

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
    """A leader's heartbeat, with the entries that the follower lacks.

    Attributes:
      cluster: Identifier of the cluster.
      leader: Name of the leader.
      to_folder: Identity of the data folder that it is for.
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
    """A follower's answer to `AppendRequest`.

    Attributes:
      folder: Identity of the follower's data folder.
      term: Term of the follower.
      accepted: Whether its log agrees with the leader's up to `received`.
      received: Last index that agrees; if not accepted, the last index that
        may agree.
      synced: Last index that agrees and is on the disk.
      installing: Whether it is loading a snapshot.
    """

    folder: str
    term: int
    accepted: bool
    received: int = 0
    synced: int = 0
    installing: bool = False


class VoteRequest(messages.Message, frozen=True, kw_only=True):
    """A candidate asks for a vote, or whether it would get one.

    Attributes:
      cluster: Identifier of the cluster.
      candidate: Name of the candidate.
      to_folder: Identity of the data folder that it is for.
      term: Term that the candidate stands for.
      last_index: Index of the candidate's last entry.
      last_term: Term of that entry.
      pre_vote: Whether it only asks; nothing is promised then.
      handed_over: Whether the leader of the term before gave up its lease in
        favour of this candidate.
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
    """Answer to `VoteRequest`."""

    folder: str
    term: int
    granted: bool


class HandOver(messages.Message, frozen=True, kw_only=True):
    """A leader that stops tells a follower to stand for election at once."""

    cluster: str
    to_folder: str
    term: int


class HandOverReply(messages.Message, frozen=True, kw_only=True):
    """Whether the follower stands for election."""

    accepted: bool


class SnapshotChunk(messages.Message, frozen=True, kw_only=True):
    """A part of the leader's snapshot.

    Attributes:
      cluster: Identifier of the cluster.
      leader: Name of the leader.
      to_folder: Identity of the data folder that it is for.
      term: Term of the leader.
      index: Last index that the snapshot holds.
      index_term: Term of that index.
      offset: Byte offset of this part.
      data: Bytes of the file.
      last: Whether the file ends here.
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
    """Answer to `SnapshotChunk`.

    Attributes:
      folder: Identity of the follower's data folder.
      term: Term of the follower.
      offset: Byte offset that it wants next.
      complete: Whether it needs nothing more of this snapshot.
    """

    folder: str
    term: int
    offset: int
    complete: bool = False


class FoundRequest(messages.Message, frozen=True, kw_only=True):
    """The founder invites an empty data folder into a new cluster.

    Attributes:
      cluster: Identifier of the new cluster.
      to_folder: Identity of the data folder that it is for.
      members: Every member as `name=host:port#folder`.
    """

    cluster: str
    to_folder: str
    members: tuple[str, ...]


class FoundReply(messages.Message, frozen=True, kw_only=True):
    """Whether the folder belongs to the new cluster now."""

    accepted: bool


class PeerStatus(messages.Message, frozen=True, kw_only=True):
    """What a leader knows of another member.

    Attributes:
      name: Name of the member.
      address: Where it is reached.
      voter: False for a learner.
      synced_index: Last index on its disk.
      silent_ms: Time since it last answered; -1 if it never did.
      error: Why it does not follow, or an empty string.
    """

    name: str
    address: str
    voter: bool
    synced_index: int
    silent_ms: int
    error: str = ""


class ReplicaStatus(messages.Message, frozen=True, kw_only=True):
    """State of one replica.

    Attributes:
      name: Name of the replica.
      cluster: Identifier of its cluster; empty before it belongs to one.
      folder: Identity of its data folder.
      role: `leader`, `candidate`, `follower`, `learner`, `waiting` (its empty
        folder is in no cluster yet) or `unable`.
      leader: Name of the known leader, or an empty string.
      term: Current term.
      members: Voting members.
      learners: Members without a vote.
      first_index: First index kept in memory.
      last_index: Last index of its log.
      synced_index: Last index on its disk.
      commit_index: Last index known to be committed.
      applied_index: Last index applied to the state.
      snapshot_index: Last index that its snapshot holds.
      syncs: Number of syncs of the log since the start.
      last_sync_ms: Duration of the last one.
      peers: What the leader knows of the others; empty elsewhere.
      error: Why the replica is unable, or an empty string.
      may_found: Whether its empty folder may take part in founding.
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
    """A replica with an empty folder asks the leader to admit it.

    Attributes:
      name: Name of the replica.
      address: Where it listens for its peers.
      folder: Identity of its data folder.
    """

    name: str
    address: str
    folder: str


class JoinReply(messages.Message, frozen=True, kw_only=True):
    """Whether a leader took note; else where the leader may be.

    Attributes:
      accepted: Whether this replica leads and will admit the other.
      leader_address: Where the leader listens; empty if not known.
    """

    accepted: bool
    leader_address: str = ""


class MemberChangeRefused(messages.Message, frozen=True, kw_only=True):
    """A change of members that was not made, and why."""

    reason: str
