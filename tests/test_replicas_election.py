"""Elections and leases: one acting leader at a time, and fast failover."""

import pathlib
import tempfile

import curio
import msgspec
import pytest

from fakes import relay as relay_lib
from fakes import replica_group
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import defaults
from galenahook import errors
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.replicas import core as core_lib
from galenahook.replicas import election
from galenahook.replicas import membership
from galenahook.replicas import peers
from galenahook.replicas import records
from galenahook.replicas import replication
from galenahook.replicas import storage
from galenahook.replicas import wire

MEMBERS = ("a=127.0.0.1:1#fa", "b=127.0.0.1:2#fb", "c=127.0.0.1:3#fc")
START_MS = 100_000
SLOW_VOTE_MS = 180
MEMORY_FOLDER = pathlib.Path("/dev/shm")


@pytest.fixture
def tmp_path(tmp_path):
    """Returns a folder in memory, or one on disk where there is none.

    Elections are timed, and syncs of the machine's disk would add to them.
    """
    if not MEMORY_FOLDER.is_dir():
        yield tmp_path
        return
    with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER) as folder:
        yield pathlib.Path(folder)


class ManualClock(clock_lib.Clock):
    def __init__(self):
        self.now_ms = START_MS

    def monotonic_ms(self):
        return self.now_ms


def make_core(tmp_path):
    """Returns replica `a` in term 5 with a log that ends at (5, 10)."""
    group = replica_group.ReplicaGroup(tmp_path)
    clock = ManualClock()
    core = core_lib.Core(
        group.replica_settings("a"),
        web.ControlClient(clock, []),
        clock,
        storage.Disk(),
    )
    core.folder.open("a")
    core.folder.identity = msgspec.structs.replace(
        core.folder.identity, folder="fa", cluster="x"
    )
    core.term = 5
    core.log.entries = [records.Entry(5, b'{"type":"noop"}')] * 10
    core.log.synced_index = 10
    core.members_history = [membership.from_texts(MEMBERS, (), 1)]
    return core, clock


def vote_request(**changes):
    fields = {
        "cluster": "x",
        "candidate": "b",
        "to_folder": "fa",
        "term": 6,
        "last_index": 10,
        "last_term": 5,
    }
    return wire.VoteRequest(**{**fields, **changes})


@pytest.mark.parametrize(
    ("silent_ms", "voted_for", "changes", "granted"),
    [
        (250, "", {}, True),
        (249, "", {}, False),
        (249, "", {"handed_over": True}, True),
        (249, "", {"handed_over": True, "term": 7}, False),
        (249, "", {"pre_vote": True}, False),
        (250, "", {"pre_vote": True}, True),
        (250, "", {"term": 4}, False),
        (250, "c", {"term": 5}, False),
        (250, "b", {"term": 5}, True),
        (250, "c", {"term": 6}, True),
        (250, "", {"last_index": 9}, False),
        (250, "", {"last_index": 20, "last_term": 4}, False),
        (250, "", {"last_index": 1, "last_term": 6}, True),
        (250, "", {"last_index": 9, "pre_vote": True}, False),
    ],
)
def test_vote_is_granted_only_if_the_rules_allow_it(
    tmp_path, silent_ms, voted_for, changes, granted
):
    core, clock = make_core(tmp_path)
    core.voted_for = voted_for
    clock.now_ms += silent_ms
    request = vote_request(**changes)
    reply = curio.run(election.handle_vote, core, request)
    assert reply.granted is granted
    if granted and not request.pre_vote:
        assert core.folder.ballot.term == request.term
        assert core.folder.ballot.voted_for == "b"
    if request.pre_vote:
        assert core.term == 5


def test_transfer_request_is_ignored_after_a_term_change(tmp_path):
    core, _ = make_core(tmp_path)

    async def main():
        request = wire.LeadershipTransferRequest(
            cluster="x", to_folder="fa", term=5
        )
        assert (
            await election.handle_leadership_transfer(core, request)
        ).accepted
        core.term = 6
        await curio.sleep(0.02)
        assert core.term == 6

    replica_group.run(main)


def test_candidate_with_an_outdated_log_still_raises_the_term(tmp_path):
    core, clock = make_core(tmp_path)
    clock.now_ms += 250
    request = vote_request(term=9, last_index=9)
    reply = curio.run(election.handle_vote, core, request)
    assert (reply.granted, reply.term) == (False, 9)


@pytest.mark.parametrize(
    ("sent_ms", "now_ms", "has_valid_lease"),
    [
        ({"b": 1_000, "c": 0}, 1_219, True),
        ({"b": 1_000, "c": 0}, 1_220, False),
        ({"b": 1_000, "c": 1_100}, 1_319, True),
        ({"b": None, "c": None}, 1, False),
        ({"b": None, "c": 1_000}, 1_100, True),
    ],
)
def test_lease_starts_when_the_acknowledged_requests_were_sent(
    tmp_path, sent_ms, now_ms, has_valid_lease
):
    core, clock = make_core(tmp_path)
    core.role = core_lib.Role.LEADER
    for name, value in sent_ms.items():
        peer = peers.Peer(core.members.by_name[name], 11)
        if value is not None:
            peer.acknowledged_sent_ms = START_MS + value
        core.peers[name] = peer
    clock.now_ms = START_MS + now_ms
    assert core.lease_is_valid() is has_valid_lease


def test_lease_starts_when_a_request_with_a_late_reply_was_sent(tmp_path):
    core, _ = make_core(tmp_path)
    core.clock = clock_lib.Clock()
    core.role = core_lib.Role.LEADER
    replied_ms = []

    async def handle(request):
        message = messages.decode(request.body, wire.AppendRequest)
        await curio.sleep(0.05)
        replied_ms.append(core.now_ms())
        reply = wire.AppendReply(
            folder="fb",
            term=message.term,
            accepted=True,
            received=message.previous_index,
            synced=message.previous_index,
        )
        return web.json_response(reply)

    async def main():
        server = web.Server(
            web.listen("127.0.0.1:0"), handle, web.CONTROL_LIMITS
        )
        await curio.spawn(server.run, daemon=True)
        member = core.members.by_name["b"]
        core.settings.replicas["b"] = server.address
        peer = core.peers["b"] = peers.Peer(member, 11)
        task = await curio.spawn(replication.run_peer, core, peer, 5)
        while peer.acknowledged_sent_ms is None:
            await curio.sleep(0.001)
        await task.cancel()
        assert peer.acknowledged_sent_ms <= replied_ms[0] - 50

    replica_group.run(main)


@pytest.mark.parametrize(("applied", "ready"), [(10, False), (11, True)])
def test_leader_is_ready_once_its_first_entry_is_applied(
    tmp_path, applied, ready
):
    core, _ = make_core(tmp_path)
    core.role = core_lib.Role.LEADER
    core.term_start_index = 11
    core.applied_index = applied
    assert core.is_ready_leader() is ready


@pytest.mark.parametrize(("term", "commit_index"), [(5, 10), (6, 0)])
def test_entries_of_earlier_terms_are_not_committed_by_counting_replicas(
    tmp_path, term, commit_index
):
    core, _ = make_core(tmp_path)
    core.role = core_lib.Role.LEADER
    core.term = term
    for name in ("b", "c"):
        core.peers[name] = peers.Peer(core.members.by_name[name], 11, 10)
    curio.run(core.advance_leader_commit)
    assert core.commit_index == commit_index


def test_lease_ends_before_any_follower_votes(tmp_path):
    core, _ = make_core(tmp_path)
    core.timing = msgspec.structs.replace(core.timing, leader_lease_ms=10_000)
    assert core.lease_duration_ms() < core.timing.election_timeout_min_ms


def test_killed_leader_is_replaced_within_three_seconds(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)
    stop, faults = curio.Event(), []

    async def main():
        await group.start()
        watch = await curio.spawn(
            replica_group.watch_leaders, group, stop, faults
        )
        for round_number in range(3):
            leader = await group.wait_for_leader()
            assert await group.claim(f"before {round_number}")
            term = leader.term()
            killed_ms = group.clock.monotonic_ms()
            await group.kill(leader.name)
            assert await group.claim(f"after {round_number}")
            assert group.clock.monotonic_ms() - killed_ms < 3_000
            assert not await group.claim(f"before {round_number}")
            new_leader = await group.wait_for_leader()
            assert new_leader.term() > term
            await group.start(leader.name)
        await stop.set()
        await watch.join()
        await group.close()

    replica_group.run(main)
    assert not faults


def test_planned_stop_transfers_leadership(tmp_path):
    """No request reaches the old leader, yet two leaders never act at once."""
    group = replica_group.RelayedGroup(tmp_path)
    group.timing = msgspec.structs.replace(
        group.timing, heartbeat_period_ms=100
    )
    stop, faults = curio.Event(), []

    async def main():
        await group.start_relays()
        await group.start()
        await curio.spawn(
            replica_group.watch_leaders, group, stop, faults, daemon=True
        )
        leader = await group.wait_for_leader()
        for (_, target), relay in group.relays.items():
            if target == leader.name:
                relay.hold(relay_lib.Direction.FORWARD)
        started_ms = group.clock.monotonic_ms()
        transfer = await curio.spawn(
            replication.transfer_leadership, leader.core
        )
        await group.wait_until(lambda: group.leader() not in (None, leader))
        elapsed_ms = group.clock.monotonic_ms() - started_ms
        assert elapsed_ms < group.timing.election_timeout_min_ms
        await transfer.join()
        group.release_links()
        await group.stop(leader.name)
        assert await group.claim("after")
        await group.close()

    replica_group.run(main)
    assert not faults


async def start_six(group):
    await group.start("a", "b", "c")
    await group.wait_for_leader()
    group.may_found = False
    await group.start_and_join("d", "e")
    await group.start_and_join("f")


def lose_leadership_transfers(monkeypatch, count):
    """Makes the successors ignore the first requests; returns who got any."""
    handle = election.handle_leadership_transfer
    names = []

    async def lose(core, request):
        names.append(core.name)
        if len(names) <= count:
            return wire.LeadershipTransferReply(accepted=False)
        return await handle(core, request)

    monkeypatch.setattr(election, "handle_leadership_transfer", lose)
    return names


def set_election_timeouts(monkeypatch, first_ms, step_ms):
    """Gives the replicas different timeouts; returns them by name."""
    timeouts_ms = {
        name: first_ms + step_ms * number
        for number, name in enumerate("abcdef")
    }
    monkeypatch.setattr(
        election, "_random_timeout_ms", lambda core: timeouts_ms[core.name]
    )
    return timeouts_ms


def test_planned_stop_waits_for_the_election_after_a_lost_transfer(
    tmp_path, monkeypatch
):
    """It waited for less than one election timeout of the product."""
    group = replica_group.SelfJoiningGroup(tmp_path)
    group.timing = settings_lib.Timing()
    longest_ms = group.timing.election_timeout_max_ms
    transfers = lose_leadership_transfers(monkeypatch, 1)
    timeouts_ms = set_election_timeouts(monkeypatch, longest_ms - 200, 40)

    async def main():
        await start_six(group)
        leader = (await group.wait_for_leader()).name
        timeouts_ms[leader] = longest_ms
        await group.stop(leader)
        assert len(transfers) == 1
        await group.wait_for_leader()
        assert group.voters() == set("abcdef") - {leader}
        await group.close()

    replica_group.run(main)


def test_replica_that_is_elected_while_it_stops_transfers_leadership_again(
    tmp_path, monkeypatch
):
    """It led until it gave up, and left with its vote."""
    group = replica_group.SelfJoiningGroup(tmp_path)
    shortest_ms = group.timing.election_timeout_min_ms
    transfers = lose_leadership_transfers(monkeypatch, 1)
    set_election_timeouts(monkeypatch, shortest_ms + 10, shortest_ms // 2)

    async def main():
        await start_six(group)
        assert (await group.wait_for_leader()).name == "a"
        await group.stop("a")
        assert len(transfers) == 2
        await group.wait_for_leader()
        assert group.voters() == set("bcdef")
        await group.close()

    replica_group.run(main)


def test_follower_refuses_a_command_and_names_the_leader(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        leader = await group.wait_for_leader()
        await group.wait_until(
            lambda: all(n.leader_name() == leader.name for n in group.nodes())
        )
        follower = next(n for n in group.nodes() if n is not leader)
        with pytest.raises(errors.NotLeaderError) as caught:
            await follower.submit(commands.Noop())
        assert caught.value.leader == leader.name
        await group.close()

    replica_group.run(main)


def test_leader_without_a_quorum_stops_acting(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        leader = await group.wait_for_leader()
        others = [name for name in group.replicas if name != leader.name]
        await group.kill(*others)
        await group.wait_until(lambda: not leader.has_valid_lease(), 1_000)
        with pytest.raises((errors.NoQuorumError, errors.NotLeaderError)):
            await leader.submit(replica_group.new_claim("unsure"))
        await group.wait_until(lambda: not leader.is_leader(), 2_000)
        await group.start(*others)
        assert await group.claim("later")
        await group.close()

    replica_group.run(main)


def test_single_replica_leads_at_once_without_a_folder(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path, "a")
    group.replicas["a"].folder = ""

    async def main():
        started_ms = group.clock.monotonic_ms()
        await group.start()
        assert await group.claim("only")
        assert group.clock.monotonic_ms() - started_ms < 500
        await group.close()

    replica_group.run(main)
    assert not list(tmp_path.iterdir())


def test_vote_that_takes_longer_than_half_an_election_timeout_counts(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        leader = await group.wait_for_leader()
        for replica in group.replicas.values():
            if replica.name != leader.name:
                replica.disk.sync_ms = SLOW_VOTE_MS
        await group.kill(leader.name)
        assert await group.claim("key")
        await group.close()

    replica_group.run(main)


def test_candidate_that_hears_its_leader_during_the_pre_vote_gives_up(
    tmp_path, monkeypatch
):
    core, clock = make_core(tmp_path)
    clock.now_ms += core.timing.election_timeout_max_ms

    async def collect_votes(_core, _term, pre_vote, _leadership_transfer):
        core.last_leader_contact_ms = clock.now_ms
        return pre_vote

    monkeypatch.setattr(election, "_collect_votes", collect_votes)
    curio.run(election.campaign, core, False)
    assert core.term == 5


@pytest.mark.parametrize("directions", [("in",), ("out",), ("in", "out")])
def test_isolated_leader_stops_acting_before_another_starts(
    tmp_path, directions
):
    group = replica_group.RelayedGroup(tmp_path)
    stop, faults = curio.Event(), []

    async def main():
        await group.start_relays()
        await group.start()
        watch = await curio.spawn(
            replica_group.watch_leaders, group, stop, faults
        )
        old = await group.wait_for_leader()
        group.hold_links(old.name, directions)
        await group.wait_until(lambda: group.leader() not in (None, old), 3_000)
        assert not old.has_valid_lease()
        assert await group.claim("during")
        group.release_links()
        await group.wait_until(
            lambda: "during" in old.state.claims.records, 3_000
        )
        await stop.set()
        await watch.join()
        await group.close()

    replica_group.run(main)
    assert not faults


def test_dead_connections_are_replaced_without_an_election(tmp_path):
    group = replica_group.RelayedGroup(tmp_path)

    async def main():
        await group.start_relays()
        await group.start()
        leader = await group.wait_for_leader()
        term = leader.term()
        for round_number in range(3):
            group.blackhole_connections()
            started_ms = group.clock.monotonic_ms()
            assert await group.claim(f"after {round_number}")
            elapsed_ms = group.clock.monotonic_ms() - started_ms
            assert elapsed_ms < group.timing.election_timeout_min_ms
        assert group.leader() is leader
        assert leader.term() == term
        await group.close()

    replica_group.run(main)


def test_reconnected_replica_does_not_disrupt_the_leader(tmp_path):
    group = replica_group.RelayedGroup(tmp_path)

    async def main():
        await group.start_relays()
        await group.start()
        leader = await group.wait_for_leader()
        term = leader.term()
        name = next(name for name in group.replicas if name != leader.name)
        group.hold_links(name, ("in", "out"))
        assert await group.claim("without it")
        await curio.sleep(3 * group.timing.election_timeout_max_ms / 1000)
        group.release_links()
        node = group.node(name)
        await group.wait_until(
            lambda: "without it" in node.state.claims.records
        )
        assert (leader.term(), leader.has_valid_lease()) == (term, True)
        await group.close()

    replica_group.run(main)


def test_commands_beyond_the_limit_are_refused(tmp_path, monkeypatch):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        leader = await group.wait_for_leader()
        with monkeypatch.context() as patch:
            patch.setattr(defaults, "MAX_PENDING_COMMANDS", 0)
            with pytest.raises(errors.OverloadedError):
                await leader.submit(replica_group.new_claim("refused"))
        assert await group.claim("refused")
        await group.close()

    replica_group.run(main)
