"""Remembers which short jobs were drawn, so that they are served whole."""

from collections.abc import Container
import zlib

from galenahook.jobs import tasks as tasks_lib

_CRC_RANGE = 2**32


class DrawnJobs:
    """Short jobs that go first where not all can be served.

    The draw depends on nothing but the identifier of a job and the share of the
    jobs that can be served, so that the next leader draws nearly the same jobs.
    A job that was drawn stays so: if the share falls, its tasks that are done
    would have been run for nothing, above all those of large jobs.
    """

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: set[str] = set()

    def is_drawn(self, job: tasks_lib.Job, share: float) -> bool:
        """Returns whether a job is drawn, or was before.

        Args:
          job: The job.
          share: Share of the jobs of its queue to draw.
        """
        identifier = job.description.job
        if identifier in self._jobs:
            return True
        if zlib.crc32(identifier.encode()) >= share * _CRC_RANGE:
            return False
        self._jobs.add(identifier)
        return True

    def forget_closed(self, open_jobs: Container[str]) -> None:
        """Forgets jobs that are no longer open."""
        self._jobs = {job for job in self._jobs if job in open_jobs}
