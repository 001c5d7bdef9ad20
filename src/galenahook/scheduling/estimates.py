"""Estimates of sizes and run times, learned from finished tasks."""

from collections.abc import Sequence
import dataclasses

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import placement
from galenahook.scheduling import tasks as tasks_lib

# Quantile used as the expected run time.
RUN_TIME_QUANTILE = 0.8
# Quantile used as the shortest plausible run time.
SHORT_RUN_TIME_QUANTILE = 0.1
SIZE_QUANTILE = 0.95
# With fewer samples, the declared run time or size is used.
MIN_SAMPLES = 3
MAX_SIZE_SAMPLES = 64
# Factor by which an eviction or a throttle may prolong the remaining run time.
INTERRUPTION_FACTOR = 2.5


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the value at a quantile, without interpolation."""
    ordered = sorted(values)
    index = int(share * len(ordered))
    return ordered[min(index, len(ordered) - 1)]


def run_ms(
    job: commands.JobRow,
    run_times: dict[str, tasks_lib.RunTimeRecord],
    share: float = RUN_TIME_QUANTILE,
) -> int:
    """Returns a quantile of a job's run time.

    The declared run time is used until enough runs of the class are known.
    """
    known = run_times.get(job.job_class)
    if known is None or len(known.ratios) < MIN_SAMPLES:
        return job.run_ms
    return int(job.run_ms * quantile(known.ratios, share))


def remaining_ms(
    job: commands.JobRow,
    record: tasks_lib.TaskRecord,
    run_times: dict[str, tasks_lib.RunTimeRecord],
    now_ms: int,
) -> int:
    """Returns the expected remaining run time of a held task.

    For a task that has exceeded its expected run time, it is the excess.
    """
    expected_ms = run_ms(job, run_times)
    elapsed_ms = max(0, now_ms - record.changed_ms)
    if elapsed_ms > expected_ms:
        return elapsed_ms - expected_ms
    return expected_ms - elapsed_ms


def is_deadline_at_risk(
    job: commands.JobRow,
    record: tasks_lib.TaskRecord,
    run_times: dict[str, tasks_lib.RunTimeRecord],
    now_ms: int,
) -> bool:
    """Returns whether a held task may miss its deadline if interrupted."""
    if not job.deadline_ms:
        return False
    needed_ms = INTERRUPTION_FACTOR * remaining_ms(
        job, record, run_times, now_ms
    )
    return now_ms + needed_ms > job.deadline_ms


@dataclasses.dataclass(slots=True)
class SizeSamples:
    """Peak usage of the last tasks of one owner or class."""

    cores_milli: list[int] = dataclasses.field(default_factory=list)
    memory_mb: list[int] = dataclasses.field(default_factory=list)

    def add(self, usage: messages.Resources) -> None:
        """Adds the peak usage of one task."""
        self.cores_milli.append(usage.cores_milli)
        self.memory_mb.append(usage.memory_mb)
        del self.cores_milli[:-MAX_SIZE_SAMPLES]
        del self.memory_mb[:-MAX_SIZE_SAMPLES]

    def size(self) -> messages.Resources:
        """Returns a high quantile of each resource."""
        return messages.Resources(
            int(quantile(self.cores_milli, SIZE_QUANTILE)),
            int(quantile(self.memory_mb, SIZE_QUANTILE)),
        )


class Sizes:
    """Task sizes learned from the usage that workers report.

    Attributes:
      samples: Peak usage by job class, or by name for services.
      peaks: Peak usage of tasks that exceeded their reservation.
    """

    def __init__(self) -> None:
        self.samples: dict[str, SizeSamples] = {}
        self.peaks: dict[str, messages.Resources] = {}

    def observe(self, task: str, usage: messages.Resources) -> None:
        """Records the usage of a task that exceeds its reservation."""
        known = self.peaks.get(task)
        self.peaks[task] = placement.larger(known, usage) if known else usage

    def finish(self, task: str, key: str, reserved: messages.Resources) -> None:
        """Adds the peak usage of a finished task to the samples of its key.

        Args:
          task: Task identifier.
          key: Key of the samples, see `rows.size_key`.
          reserved: Its reservation, which counts as its usage if it was
            never exceeded.
        """
        peak = self.peaks.pop(task, reserved)
        self.samples.setdefault(key, SizeSamples()).add(peak)

    def size_for_retry(
        self, task: str, size: messages.Resources
    ) -> messages.Resources:
        """Returns a size, raised to the recorded peak usage of the task."""
        peak = self.peaks.get(task)
        return placement.larger(size, peak) if peak else size

    def size_for(
        self, key: str, declared: messages.Resources
    ) -> messages.Resources:
        """Returns the larger of the declared and the learned size."""
        known = self.samples.get(key)
        if known is None or len(known.cores_milli) < MIN_SAMPLES:
            return declared
        return placement.larger(declared, known.size())
