"""Lasting tasks of a site that has room for three quarters of them."""

import pytest

import job_simulation
import observed_room
import wide_jobs_site

SEEDS = [1, 2, 3]
DURATION_MS = 30_000
LASTING_SHARE = 1.35
SHORT_SHARE = 0.1


@pytest.mark.parametrize("seed", SEEDS)
def test_no_lasting_task_waits_on_while_later_ones_start(seed):
    """Places of runs at work are the only room, and go to the longest wait."""

    async def scenario(simulation):
        site = wide_jobs_site.WideJobsSite(
            simulation,
            seed,
            lasting_share=LASTING_SHARE,
            short_share=SHORT_SHARE,
        )
        observer = observed_room.RoomObserver(site, workers=2)
        await site.play(DURATION_MS, observer.note_round)
        over = observer.waits.waits_over(observed_room.MAX_TOTAL_WAIT_MS)
        assert not observer.found, f"{len(observer.found)} tasks lost"
        assert not over, f"{len(over)} tasks wait for long, up to {over[0]} ms"

    job_simulation.run(scenario, observed_room.workers())
