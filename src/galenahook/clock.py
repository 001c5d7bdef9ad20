"""Time in milliseconds.

Durations, leases and timeouts use `monotonic_ms` only. `wall_ms` is for
deadlines that people write in a sheet and for records that people read.
"""

import datetime
import time


class Clock:
    """Reads the clocks of this machine.

    Tests replace it by a subclass that returns times of their own.
    """

    __slots__ = ()

    def monotonic_ms(self) -> int:
        """Returns milliseconds that only ever rise, from an arbitrary zero.

        They go on while the VM is suspended, so that a lease ends meanwhile.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, which may step."""
        return time.time_ns() // 1_000_000


def iso_from_wall_ms(wall_ms: int) -> str:
    """Formats a wall time as ISO 8601 in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(wall_ms / 1000, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def seconds(duration_ms: float) -> float:
    """Converts milliseconds to the seconds that `curio` expects."""
    return duration_ms / 1000
