"""Lasting tasks and large short jobs on a full site with changes of leader."""

import functools

import pytest

import changed_leader_site
import observed_room
import wide_jobs_site

WORKERS = 60
SEEDS = [105, 110, 112, 201, 202, 203, 204, 205]
# Least served share of the largest jobs, as a share of that of all jobs.
FLOOR = 0.5


@functools.cache
def play_of(seed):
    """Plays a site once for all tests."""
    return changed_leader_site.play(
        seed, WORKERS, lasting_share=1.03, short_share=0.06
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_no_lasting_task_is_lost_across_changes_of_leader(seed):
    play = play_of(seed)
    assert not play.lost, (
        f"{play.lost} tasks lost, up to {play.longest_beside_room_ms} ms beside"
        " room without a break"
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_no_lasting_task_waits_for_long_across_changes_of_leader(seed):
    over = play_of(seed).waits_over_ms
    assert not over, (
        f"{len(over)} tasks wait for over {observed_room.MAX_TOTAL_WAIT_MS} ms,"
        f" up to {over[0]} ms"
    )


def test_the_largest_short_jobs_are_served_after_a_change_of_leader():
    """Lasting tasks that no longer rotate take the pieces of short jobs."""
    served = wide_jobs_site.served_shares(
        job for seed in SEEDS for job in play_of(seed).jobs
    )
    assert served.largest_tenth >= FLOOR * served.all, served
