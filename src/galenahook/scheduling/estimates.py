"""Estimates of sizes and run times, learned from what tasks really took."""

from collections.abc import Sequence
import dataclasses

from galenahook import commands
from galenahook import messages
from galenahook.scheduling import placement
from galenahook.scheduling import tasks as tasks_lib

LIKELY_QUANTILE = 0.8
SHORT_QUANTILE = 0.1
SIZE_QUANTILE = 0.95
MIN_SAMPLES = 3
MAX_SIZE_SAMPLES = 64
DISTURBED_FACTOR = 2.5


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the quantile of some values, the nearest one above."""
    ordered = sorted(values)
    index = int(share * len(ordered))
    return ordered[min(index, len(ordered) - 1)]


def run_ms(
    job: commands.JobRow,
    run_times: dict[str, tasks_lib.RunTimeRecord],
    share: float = LIKELY_QUANTILE,
) -> int:
    """Returns a quantile of a job's run time.

    The declared time stands until a few runs of the class are known.
    """
    known = run_times.get(job.job_class)
    if known is None or len(known.ratios) < MIN_SAMPLES:
        return job.run_ms
    return int(job.run_ms * quantile(known.ratios, share))


def left_ms(
    job: commands.JobRow,
    record: tasks_lib.TaskRecord,
    run_times: dict[str, tasks_lib.RunTimeRecord],
    now_ms: int,
) -> int:
    """Returns how long a held task is expected to run on.

    One that runs longer than expected is given as long again as the excess.
    """
    expected_ms = run_ms(job, run_times)
    elapsed_ms = max(0, now_ms - record.changed_ms)
    if elapsed_ms > expected_ms:
        return elapsed_ms - expected_ms
    return expected_ms - elapsed_ms


def is_pressed(
    job: commands.JobRow,
    record: tasks_lib.TaskRecord,
    run_times: dict[str, tasks_lib.RunTimeRecord],
    now_ms: int,
) -> bool:
    """Returns whether a held task would miss its deadline if disturbed."""
    if not job.deadline_ms:
        return False
    needed_ms = DISTURBED_FACTOR * left_ms(job, record, run_times, now_ms)
    return now_ms + needed_ms > job.deadline_ms


@dataclasses.dataclass(slots=True)
class SizeSamples:
    """Largest uses of the last attempts of one owner or class."""

    cores_milli: list[int] = dataclasses.field(default_factory=list)
    memory_mb: list[int] = dataclasses.field(default_factory=list)

    def add(self, usage: messages.Resources) -> None:
        """Adds one attempt's use."""
        self.cores_milli.append(usage.cores_milli)
        self.memory_mb.append(usage.memory_mb)
        del self.cores_milli[:-MAX_SIZE_SAMPLES]
        del self.memory_mb[:-MAX_SIZE_SAMPLES]

    def size(self) -> messages.Resources:
        """Returns the high quantile of each resource."""
        return messages.Resources(
            int(quantile(self.cores_milli, SIZE_QUANTILE)),
            int(quantile(self.memory_mb, SIZE_QUANTILE)),
        )


class Sizes:
    """Learned sizes, from the usage that workers report.

    Attributes:
      samples: Uses by job class, or by owner for services.
      peaks: Largest use of tasks that took more than they reserved.
    """

    def __init__(self) -> None:
        self.samples: dict[str, SizeSamples] = {}
        self.peaks: dict[str, messages.Resources] = {}

    def observe(self, task: str, usage: messages.Resources) -> None:
        """Takes a sample of an attempt that uses more than it reserves."""
        known = self.peaks.get(task)
        self.peaks[task] = placement.larger(known, usage) if known else usage

    def finish(self, task: str, key: str, reserved: messages.Resources) -> None:
        """Adds the use of a task that ended to its class.

        Args:
          task: Task identifier.
          key: Class or owner.
          reserved: Counts as its use if it never took more.
        """
        peak = self.peaks.pop(task, reserved)
        self.samples.setdefault(key, SizeSamples()).add(peak)

    def reserve_again(
        self, task: str, size: messages.Resources
    ) -> messages.Resources:
        """Returns a task's size, raised to what its last attempt used."""
        peak = self.peaks.get(task)
        return placement.larger(size, peak) if peak else size

    def reserve(
        self, key: str, declared: messages.Resources
    ) -> messages.Resources:
        """Returns the larger of the declared and the learned size."""
        known = self.samples.get(key)
        if known is None or len(known.cores_milli) < MIN_SAMPLES:
            return declared
        return placement.larger(declared, known.size())
