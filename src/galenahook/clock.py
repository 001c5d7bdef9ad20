"""Time in milliseconds.

Durations, leases and timeouts use `monotonic_ms` only. `wall_ms` is for the
deadlines in a sheet and for timestamps of records.
"""

import datetime
import time


class Clock:
    """Reads the clocks of this machine.

    Tests substitute a subclass with a simulated time.
    """

    __slots__ = ()

    def monotonic_ms(self) -> int:
        """Returns monotonic milliseconds since an arbitrary origin.

        The time during which the VM is suspended counts too, so that leases
        expire during a suspension.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch; they may jump."""
        return time.time_ns() // 1_000_000


def iso_from_wall_ms(wall_ms: int) -> str:
    """Formats a wall time as ISO 8601 in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(wall_ms / 1000, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def seconds(duration_ms: float) -> float:
    """Converts milliseconds to the seconds that `curio` expects."""
    return duration_ms / 1000
