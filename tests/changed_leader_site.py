"""A full site whose leader is replaced while it is played."""

import dataclasses

import full_site
import job_simulation
import observed_room
import wide_jobs_site

CHANGES_MS = (8_000, 16_000)
# Time after a change within which submitted short jobs are compared by size.
COMPARED_MS = 6_000
DURATION_MS = 30_000


class ChangedLeaderSite(wide_jobs_site.WideJobsSite):
    """A full site with wide short jobs and changes of leader.

    Attributes:
      changes_ms: Times from the start of the site to the changes.
    """

    def __init__(self, simulation, seed, changes_ms=CHANGES_MS, **options):
        super().__init__(simulation, seed, **options)
        self.changes_ms = changes_ms
        self._began_wall_ms = simulation.clock.wall_ms()

    async def _before_round(self, played_ms):
        if played_ms in self.changes_ms:
            await observed_room.change_leader(self.simulation)

    def jobs_after_changes(self):
        """Returns the judged short jobs submitted soon after a change."""
        return [
            job
            for job in self.judged_jobs()
            if any(
                0 <= self._age_ms(job) - change_ms < COMPARED_MS
                for change_ms in self.changes_ms
            )
        ]

    def _age_ms(self, job):
        """Returns the time from the start of the site to a submission."""
        return job.record.submitted_ms - self._began_wall_ms


@dataclasses.dataclass(frozen=True)
class Play:
    """What was seen in a play of a site.

    Attributes:
      lost: Number of lasting tasks that count as lost.
      longest_beside_room_ms: Longest time without a break for which one waited
        beside room.
      waits_over_ms: Waits of lasting tasks over the bound, longest first.
      longest_wait_ms: Longest wait of a lasting task.
      jobs: Judged short jobs that were submitted soon after a change.
    """

    lost: int
    longest_beside_room_ms: int
    waits_over_ms: tuple[int, ...]
    longest_wait_ms: int
    jobs: tuple


def play(seed, workers, **options):
    """Plays a site with changes of leader."""
    plays = []

    async def scenario(simulation):
        site = ChangedLeaderSite(simulation, seed, **options)
        observer = observed_room.RoomObserver(site, workers=2)
        await site.play(DURATION_MS, observer.note_round)
        waits = observer.waits
        plays.append(
            Play(
                lost=len(observer.found),
                longest_beside_room_ms=observer.longest_ms,
                waits_over_ms=tuple(
                    waits.waits_over(observed_room.MAX_TOTAL_WAIT_MS)
                ),
                longest_wait_ms=max(waits.longest_ms.values(), default=0),
                jobs=tuple(site.jobs_after_changes()),
            )
        )

    job_simulation.run(scenario, full_site.workers(workers))
    return plays[0]
