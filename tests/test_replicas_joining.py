"""Replicas join, leave and are replaced without an operator."""

import random
import types

import curio
import pytest

from fakes import replica_group
from galenahook.replicas import membership
from galenahook.replicas import membership_changes
from galenahook.replicas import snapshot

RANDOM_STEPS = 6
MAX_DOWN_S = 1.5


async def start_five(group):
    await group.start("a", "b", "c")
    await group.wait_for_leader()
    group.may_found = False
    await group.start_and_join("d", "e")


def dead_ms(group):
    """Returns a time after which a silent member counts as dead."""
    return 3 * group.timing.election_timeout_max_ms


def test_replaced_replicas_leave_a_quorum_when_a_disk_is_lost(tmp_path):
    """Dead voters were counted for ever, so that no leader was elected."""
    group = replica_group.SelfJoiningGroup(tmp_path)

    async def main():
        await start_five(group)
        for old, new in (("a", "f"), ("b", "g"), ("d", "h")):
            await group.kill(old)
            await group.start_and_join(new)
        await group.claim_many(0, 20)
        await group.kill("c", "e", "f", "g", "h")
        group.delete_data_folder("e")
        await group.start("c", "e", "f", "g", "h")
        await group.wait_for_leader()
        for number in (0, 19):
            assert not await group.claim(f"key-{number}")
        await group.close()

    replica_group.run(main)


def test_replica_that_leaves_after_its_successor_joined_is_removed(tmp_path):
    group = replica_group.SelfJoiningGroup(tmp_path)

    async def main():
        await start_five(group)
        await group.start_and_join("f")
        assert group.voters() == set("abcdef")
        await group.stop("a")
        await group.wait_until(lambda: group.voters() == set("bcdef"))
        await group.close()

    replica_group.run(main)


@pytest.mark.parametrize("stopped", ["leader", "follower"])
def test_planned_stop_of_a_sixth_voter_leaves_a_quorum_when_disks_are_lost(
    tmp_path, stopped
):
    """The vote of the stopped replica counted for another 2 s."""
    group = replica_group.SelfJoiningGroup(tmp_path)

    async def main():
        await start_five(group)
        await group.start_and_join("f")
        await group.claim_many(0, 20)
        leader = (await group.wait_for_leader()).name
        names = set("abcdef")
        other = min(names - {leader})
        leaving = leader if stopped == "leader" else other
        await group.stop(leaving)
        left = sorted(names - {leaving})
        await group.kill(*left)
        for name in left[:2]:
            group.delete_data_folder(name)
        await group.start(*left)
        await group.wait_for_leader()
        for number in (0, 19):
            assert not await group.claim(f"key-{number}")
        await group.close()

    replica_group.run(main)


def test_planned_stop_of_one_of_five_voters_keeps_its_vote(tmp_path):
    group = replica_group.SelfJoiningGroup(tmp_path)

    async def main():
        await start_five(group)
        for name in "abcde":
            await group.stop(name)
            await group.start(name)
            await group.wait_for_leader()
            assert group.voters() == set("abcde")
        await group.close()

    replica_group.run(main)


def test_replica_that_was_removed_while_it_was_down_joins_again(tmp_path):
    group = replica_group.SelfJoiningGroup(tmp_path)

    async def main():
        await start_five(group)
        await group.kill("a")
        await group.start_and_join("f")
        await group.wait_until(lambda: group.voters() == set("bcdef"))
        await group.start_and_join("a")
        assert group.voters() == set("abcdef")
        assert await group.claim("key")
        await group.close()

    replica_group.run(main)


def test_removed_replica_that_needs_a_snapshot_joins_again(
    tmp_path, monkeypatch
):
    """Its own log still lists it as a voter of an earlier membership."""
    monkeypatch.setattr(snapshot, "MIN_ENTRIES", 100)
    monkeypatch.setattr(snapshot, "RETAINED_ENTRIES", 20)
    monkeypatch.setattr(snapshot, "CHECK_PERIOD_MS", 50)
    group = replica_group.SelfJoiningGroup(tmp_path)

    async def main():
        await start_five(group)
        await group.kill("a")
        await group.start_and_join("f")
        await group.wait_until(lambda: group.voters() == set("bcdef"))
        leader = await group.wait_for_leader()
        await group.claim_many(0, 400)
        await group.wait_until(lambda: leader.status().first_index > 100)
        await group.start_and_join("a")
        assert group.node("a").core.snapshot_index > 0
        await group.kill(*"abcdef")
        group.delete_data_folder("b")
        group.delete_data_folder("c")
        await group.start(*"abcdef")
        for key in ("key-0", "key-399"):
            assert not await group.claim(key)
        await group.close()

    replica_group.run(main)


@pytest.mark.parametrize(
    ("names", "down"), [("abcde", "ab"), ("abcdefg", "abc")]
)
def test_replicas_that_are_down_keep_their_votes_without_a_successor(
    tmp_path, names, down
):
    """An availability zone that is lost for a while comes back with disks."""
    group = replica_group.SelfJoiningGroup(tmp_path)

    async def main():
        await start_five(group)
        for name in names[5:]:
            await group.start_and_join(name)
        await group.kill(*down)
        await group.wait_for_leader()
        await curio.sleep(dead_ms(group) / 1000)
        assert group.voters() == set(names)
        await group.start(*down)
        assert await group.claim("key")
        await group.close()

    replica_group.run(main)


@pytest.mark.parametrize(
    ("voters", "learners", "is_spared"),
    [
        ("ab", "", False),
        ("abc", "", False),
        ("abcd", "", True),
        ("abcd", "e", False),
        ("abcdef", "", True),
        ("abcdefg", "", False),
        ("abcdefghi", "", False),
    ],
)
def test_dead_voter_is_removed_only_if_the_quorum_falls_with_it(
    voters, learners, is_spared
):
    """A learner on an empty folder is about to make the number odd again."""
    members = [
        membership.Member(name, "127.0.0.1:1", name, voter=name in voters)
        for name in voters + learners
    ]
    core = types.SimpleNamespace(
        members=membership.Members(1, {m.name: m for m in members})
    )
    assert membership_changes.can_spare(core, members[0]) is is_spared


def test_replica_that_is_restarted_while_another_joins_keeps_its_vote(tmp_path):
    group = replica_group.SelfJoiningGroup(tmp_path)

    async def main():
        await start_five(group)
        await group.kill("a")
        group.add("f", tmp_path / "f")
        await group.start("f")
        await curio.sleep(group.timing.election_timeout_max_ms / 1000)
        leader = await group.wait_for_leader()
        assert "a" in leader.core.members.by_name
        await group.start("a")
        await group.wait_until(lambda: group.voters() == set("abcdef"))
        await group.close()

    replica_group.run(main)


def test_replica_that_dies_right_after_its_admission_is_removed(tmp_path):
    group = replica_group.SelfJoiningGroup(tmp_path)

    async def main():
        await start_five(group)
        leader = await group.wait_for_leader()
        group.add("f", tmp_path / "f")
        await group.start("f")
        await group.wait_until(lambda: "f" in leader.core.members.by_name)
        await group.kill("f")
        await group.wait_until(
            lambda: set(leader.core.members.by_name) == set("abcde")
        )
        await group.close()

    replica_group.run(main)


async def restart(group, rng, name, _):
    await group.kill(name)
    await curio.sleep(rng.uniform(0, MAX_DOWN_S))
    await group.start_and_join(name)


async def lose_disk(group, rng, name, _):
    await group.kill(name)
    group.delete_data_folder(name)
    await curio.sleep(rng.uniform(0, MAX_DOWN_S))
    await group.start_and_join(name)


async def replace(group, rng, name, successor):
    await group.kill(name)
    await curio.sleep(rng.uniform(0, MAX_DOWN_S))
    await group.start_and_join(successor)


async def replace_as_planned(group, rng, name, successor):
    await group.start_and_join(successor)
    await curio.sleep(rng.uniform(0, MAX_DOWN_S))
    await group.stop(name)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_replacements_lose_no_claim_and_keep_a_quorum(tmp_path, seed):
    """Every replica may be exchanged, and one disk is lost at the end."""
    group = replica_group.SelfJoiningGroup(tmp_path)
    rng = random.Random(seed)
    faults = [restart, lose_disk, replace, replace_as_planned]

    async def main():
        await start_five(group)
        for step, successor in zip(range(RANDOM_STEPS), "fghijk", strict=True):
            await group.claim_many(step * 10, 10)
            names = sorted(node.name for node in group.nodes())
            fault = rng.choice(faults)
            await fault(group, rng, rng.choice(names), successor)
        names = sorted(node.name for node in group.nodes())
        assert len(names) == 5
        await group.wait_until(lambda: group.voters() == set(names))
        await group.claim("last")
        await group.kill(*names)
        group.delete_data_folder(rng.choice(names))
        await group.start(*names)
        for key in ("key-0", f"key-{RANDOM_STEPS * 10 - 1}", "last"):
            assert not await group.claim(key)
        await group.close()

    replica_group.run(main, timeout_ms=60_000)
