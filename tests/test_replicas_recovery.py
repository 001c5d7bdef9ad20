"""Restarts, disk failures and lagging replicas lose no committed command."""

import curio
import pytest

from fakes import replica_group
from galenahook import errors
from galenahook.replicas import bootstrap
from galenahook.replicas import core as core_lib
from galenahook.replicas import snapshot
from galenahook.replicas import snapshot_transfer
from galenahook.replicas import wire


def keys_of(node):
    return set(node.state.claims.records)


async def readmit(group, name):
    """Readmits a replica that lost its disk, as an operator would."""
    leader = await group.wait_for_leader()
    assert (await leader.remove(name)).is_ok()
    address = group.replicas[name].address
    assert (await leader.add_learner(name, address)).is_ok()
    await promote(group, leader, name)


async def promote(group, leader, name):
    """Promotes a learner once it has caught up."""
    end_ms = group.clock.monotonic_ms() + 5_000
    while not (await leader.promote(name)).is_ok():
        assert group.clock.monotonic_ms() < end_ms
        await curio.sleep(0.02)


async def follower_except(group, *names):
    """Returns the name of a replica that is neither the leader nor given."""
    leader = await group.wait_for_leader()
    excluded = {leader.name, *names}
    return next(name for name in group.replicas if name not in excluded)


def test_restart_of_all_replicas_loses_nothing(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        await group.claim_many(0, 200)
        await group.kill("a", "b", "c")
        await group.start()
        await group.wait_for_leader()
        for number in (0, 199):
            assert not await group.claim(f"key-{number}")
        await group.close()

    replica_group.run(main)


def test_replica_that_lost_its_disk_has_no_vote_until_admitted(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        await group.claim_many(0, 20)
        lost = await follower_except(group)
        await group.kill(lost)
        group.delete_data_folder(lost)
        await group.start(lost)
        leader = await group.wait_for_leader()
        rest = [n for n in group.replicas if n not in (lost, leader.name)]
        await group.kill(*rest)
        await group.wait_until(lambda: not leader.is_leader())
        await curio.sleep(3 * group.timing.election_timeout_max_ms / 1000)
        assert group.leader() is None
        assert group.node(lost).status().role == "waiting"
        assert group.node(lost).status().cluster == ""
        await group.start(*rest)
        await readmit(group, lost)
        await group.wait_until(lambda: len(keys_of(group.node(lost))) == 20)
        await group.close()

    replica_group.run(main)


def test_disk_loss_right_after_a_readmission_loses_nothing(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        await group.claim_many(0, 50)
        first = await follower_except(group)
        await group.kill(first)
        group.delete_data_folder(first)
        await group.start(first)
        await readmit(group, first)
        assert await group.claim("between")
        second = (await group.wait_for_leader()).name
        await group.kill(second)
        group.delete_data_folder(second)
        await group.start(second)
        assert await group.claim("after")
        assert not await group.claim("between")
        await readmit(group, second)
        expected = {f"key-{n}" for n in range(50)} | {"between", "after"}
        await group.wait_until(
            lambda: all(keys_of(node) == expected for node in group.nodes())
        )
        clusters = {node.status().cluster for node in group.nodes()}
        assert len(clusters) == 1
        await group.close()

    replica_group.run(main)


def test_lagging_learner_is_not_promoted(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        leader = await group.wait_for_leader()
        lost = await follower_except(group)
        await group.kill(lost)
        group.delete_data_folder(lost)
        await group.start(lost)
        assert (await leader.remove(lost)).is_ok()
        address = group.replicas[lost].address
        assert (await leader.add_learner(lost, address)).is_ok()
        await group.kill(lost)
        await group.claim_many(0, 1_500)
        refused = await leader.promote(lost)
        assert refused.is_error()
        assert "behind" in refused.error.reason
        await group.close()

    replica_group.run(main)


def test_lost_disks_bootstrap_no_second_cluster(tmp_path):
    """The bootstrapping replica and another lose theirs; the third is down."""
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        await group.claim_many(0, 5)
        await group.kill("a", "b", "c")
        group.delete_data_folder("a")
        group.delete_data_folder("b")
        await group.start("a", "b")
        await curio.sleep(1)
        assert [n.status().role for n in group.nodes()] == ["waiting"] * 2
        await group.start("c")
        await curio.sleep(1)
        assert group.leader() is None
        assert not group.node("a").status().cluster
        assert not group.node("b").status().cluster
        await group.close()

    replica_group.run(main)


def test_concurrent_bootstrap_requests_join_one_cluster(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start("b")
        core = group.node("b").core
        requests = [
            wire.BootstrapRequest(
                cluster=cluster,
                to_folder=core.folder_id,
                members=(f"a=127.0.0.1:1#{cluster}",),
            )
            for cluster in ("one", "two")
        ]
        async with curio.TaskGroup() as tasks:
            for request in requests:
                await tasks.spawn(bootstrap.handle_bootstrap, core, request)
        assert [reply.accepted for reply in tasks.results] == [True, False]
        assert core.cluster == "one"
        assert core.log.last_index == 1
        assert core.members.by_name["a"].folder == "one"
        await group.close()

    replica_group.run(main)


@pytest.mark.parametrize("fault", ["fail_writes", "fail_syncs"])
def test_leader_with_a_failed_disk_needs_the_syncs_of_all_others(
    tmp_path, fault
):
    """It counts towards no commit until its disk accepts its log again."""
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        await group.claim_many(0, 20)
        leader = await group.wait_for_leader()
        disk = group.replicas[leader.name].disk
        setattr(disk, fault, True)
        await leader.submit(replica_group.new_claim("by the others"))
        await group.wait_until(lambda: leader.status().role == "unable")
        assert str(tmp_path) in leader.status().error
        down = await follower_except(group)
        await group.kill(down)
        with pytest.raises(errors.NoQuorumError):
            await leader.submit(replica_group.new_claim("unsure"))
        assert "unsure" not in leader.state.claims.records
        setattr(disk, fault, False)
        assert await group.claim("later")
        await group.wait_until(lambda: not leader.status().error)
        await group.kill(leader.name)
        await group.start(leader.name, down)
        expected = {f"key-{number}" for number in range(20)}
        expected |= {"by the others", "later"}
        await group.wait_until(
            lambda: expected <= keys_of(group.node(leader.name))
        )
        await group.close()

    replica_group.run(main)


@pytest.mark.parametrize("fault", ["fail_writes", "fail_syncs"])
def test_follower_with_a_failed_disk_acknowledges_nothing(tmp_path, fault):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        assert await group.claim("kept")
        leader = await group.wait_for_leader()
        down = await follower_except(group)
        failed = await follower_except(group, down)
        await group.kill(down)
        setattr(group.replicas[failed].disk, fault, True)
        with pytest.raises(errors.NoQuorumError):
            await leader.submit(replica_group.new_claim("unsure"))
        assert "unsure" not in leader.state.claims.records
        assert group.node(failed).status().role == "unable"
        setattr(group.replicas[failed].disk, fault, False)
        assert not await group.claim("kept")
        await group.wait_until(
            lambda: group.node(failed).status().role == "follower"
        )
        await group.close()

    replica_group.run(main)


def test_slow_disk_is_not_mistaken_for_a_dead_connection(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)
    slow_ms = 2 * group.timing.election_timeout_max_ms

    async def main():
        await group.start()
        leader = await group.wait_for_leader()
        term = leader.term()
        down = await follower_except(group)
        slow = await follower_except(group, down)
        await group.kill(down)
        group.replicas[slow].disk.sync_ms = slow_ms
        started_ms = group.clock.monotonic_ms()
        assert await group.claim("slow")
        assert group.clock.monotonic_ms() - started_ms >= slow_ms
        assert (leader.term(), leader.has_valid_lease()) == (term, True)
        await group.close()

    replica_group.run(main)


def test_snapshot_of_known_entries_replaces_nothing(tmp_path):
    """A follower retains entries that it acknowledged past the snapshot."""
    group = replica_group.ReplicaGroup(tmp_path, "a")

    async def main():
        await group.start()
        await group.claim_many(0, 20)
        source = group.node("a").core
        await snapshot.write(source)
        path = snapshot.newest(tmp_path / "a")
        header = snapshot.read_header(path)
        await group.claim_many(20, 5)
        group.add("b", tmp_path / "b")
        target = core_lib.Core(
            group.replica_settings("b"), source.client, group.clock, source.disk
        )
        target.folder.open("b")
        target.folder.join(source.cluster)
        target.log.entries = list(source.log.entries)
        chunk = wire.SnapshotChunk(
            cluster=source.cluster,
            leader="a",
            to_folder=target.folder_id,
            term=source.term,
            index=header.index,
            index_term=header.term,
            offset=0,
            data=path.read_bytes(),
            last=True,
        )
        reply = await snapshot_transfer.SnapshotReceiver().handle_chunk(
            target, chunk
        )
        assert reply.complete
        await group.wait_until(lambda: not target.installing)
        assert target.log.entries == source.log.entries
        await group.close()

    replica_group.run(main)


@pytest.mark.parametrize("position", [3, 200, -3])
def test_damaged_snapshot_prevents_the_start(tmp_path, position):
    group = replica_group.ReplicaGroup(tmp_path, "a")

    async def main():
        await group.start()
        await group.claim_many(0, 20)
        await snapshot.write(group.node("a").core)
        await group.kill("a")
        path = snapshot.newest(tmp_path / "a")
        data = bytearray(path.read_bytes())
        data[position] ^= 0x10
        path.write_bytes(data)
        with pytest.raises(errors.CorruptLogError) as caught:
            await group.start("a")
        assert caught.value.path == str(path)

    replica_group.run(main)


def test_lagging_replica_receives_the_snapshot_in_chunks(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshot, "MIN_ENTRIES", 300)
    monkeypatch.setattr(snapshot, "RETAINED_ENTRIES", 50)
    monkeypatch.setattr(snapshot_transfer, "CHUNK_BYTES", 1_000)
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        lagging = await follower_except(group)
        await group.kill(lagging)
        await group.claim_many(0, 1_000)
        leader = await group.wait_for_leader()
        await group.wait_until(lambda: leader.status().first_index > 500)
        await group.start(lagging)
        await group.claim_many(1_000, 100)
        await group.wait_until(
            lambda: len(keys_of(group.node(lagging))) == 1_100
        )
        assert group.node(lagging).status().snapshot_index > 0
        await group.kill("a", "b", "c")
        await group.start()
        await group.wait_for_leader()
        await group.wait_until(
            lambda: all(len(keys_of(node)) == 1_100 for node in group.nodes())
        )
        await group.close()

    replica_group.run(main)


def test_removal_that_would_lose_the_quorum_is_refused(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start()
        leader = await group.wait_for_leader()
        down = await follower_except(group)
        up = await follower_except(group, down)
        await group.kill(down)
        await group.wait_until(
            lambda: any(
                peer.name == down and peer.silent_ms > 500
                for peer in leader.status().peers
            )
        )
        refused = await leader.remove(up)
        assert refused.is_error()
        assert "quorum" in refused.error.reason
        assert (await leader.remove(down)).is_ok()
        await group.close()

    replica_group.run(main)


def test_folder_of_another_replica_is_refused(tmp_path):
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        await group.start("a")
        await group.close()
        group.replicas["b"].folder = group.replicas["a"].folder
        with pytest.raises(errors.StorageError):
            await group.start("b")

    replica_group.run(main)


def test_replica_does_not_receive_its_own_removal(tmp_path):
    """It would refuse its vote to voters without the removal, and have none."""
    group = replica_group.ReplicaGroup(tmp_path, "abcde")

    async def main():
        await group.start()
        for _ in range(5):
            removed = await follower_except(group)
            leader = await group.wait_for_leader()
            assert (await leader.remove(removed)).is_ok()
            await curio.sleep(2 * group.timing.heartbeat_period_ms / 1000)
            node = group.node(removed)
            assert removed in node.core.members.by_name
            address = group.replicas[removed].address
            assert (await leader.add_learner(removed, address)).is_ok()
            await group.wait_until(
                lambda node=node: node.status().role == "learner"
            )
            await promote(group, leader, removed)
        await group.close()

    replica_group.run(main)
