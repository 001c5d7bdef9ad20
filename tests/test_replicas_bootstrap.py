"""A site is founded once, also if a replica is killed at its first start."""

import curio
import pytest

from fakes import replica_group


@pytest.mark.parametrize("killed", ["a", "b", "c"])
@pytest.mark.parametrize("is_disk_lost", [False, True])
def test_a_replica_that_is_killed_at_the_first_start_prevents_no_service(
    tmp_path, killed, is_disk_lost
):
    """Guards against replicas that wait for each other for ever."""
    group = replica_group.ReplicaGroup(tmp_path)

    async def main():
        # One replica alone can't bootstrap the cluster yet.
        await group.start(killed)
        await curio.sleep(0.2)
        await group.kill(killed)
        if is_disk_lost:
            group.delete_data_folder(killed)
        group.replicas[killed].may_found = False
        await group.start(*(name for name in "abc" if name != killed))
        await curio.sleep(0.5)
        assert group.leader() is None
        await group.start(killed)
        assert await group.claim("key")
        await group.wait_until(
            lambda: all(
                "key" in node.state.claims.records for node in group.nodes()
            )
        )
        assert len({node.core.cluster for node in group.nodes()}) == 1
        await group.close()

    replica_group.run(main)


@pytest.mark.parametrize("first_start", ["a", "b", "c"])
def test_one_replica_of_the_first_start_bootstraps_no_cluster(
    tmp_path, first_start
):
    """The other two may have lost the disks of a cluster that had a quorum."""
    group = replica_group.ReplicaGroup(tmp_path)
    for name, replica in group.replicas.items():
        replica.may_found = name == first_start

    async def main():
        await group.start()
        await curio.sleep(1.0)
        assert not any(node.status().cluster for node in group.nodes())
        await group.close()

    replica_group.run(main)
