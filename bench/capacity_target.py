"""Slopes of the roles, and their extrapolation to the target size."""

import dataclasses

WORKERS = 5_800
TASKS = 200_000
ATTEMPTS_PER_WORKER = TASKS / WORKERS
STARTS_PER_SECOND = 340
CHANGES_PER_SECOND = 3_600 / 86_400
REGIONS = 4
CONTROL_VMS = 9
ANNOUNCE_PERIOD_S = 1.0
FULL_LIST_PERIOD_S = 5.0
NODE_BYTES_PER_SECOND_BOUND = 2_048


@dataclasses.dataclass(slots=True)
class Slopes:
    """Measured slopes: processor time in ms per event, unless named otherwise.

    Idle figures are shares of a core; `claim` stands for a request with an
    idempotency key, `start` for a task from its start to its end.
    """

    idle_entry: float = 0.0
    idle_leader: float = 0.0
    idle_follower: float = 0.0
    entry_mb: float = 0.0
    replica_mb: float = 0.0
    short_entry_ms: float = 0.0
    short_leader_ms: float = 0.0
    short_bytes: float = 0.0
    full_entry_ms: float = 0.0
    full_leader_ms: float = 0.0
    full_bytes: float = 0.0
    request_entry_ms: float = 0.0
    claim_leader_ms: float = 0.0
    claim_follower_ms: float = 0.0
    start_leader_ms: float = 0.0
    start_follower_ms: float = 0.0
    starts_per_second: float = 0.0
    change_leader_ms: float = 0.0
    change_follower_ms: float = 0.0
    change_seconds: float = 0.0
    task_leader_kb: float = 0.0
    task_follower_kb: float = 0.0

    def print_table(self) -> None:
        """Prints every slope."""
        print("slopes measured in this run")
        for row in (
            ("idle entry, share of a core", self.idle_entry),
            ("idle leader, share of a core", self.idle_leader),
            ("idle follower, share of a core", self.idle_follower),
            ("entry, resident MB", self.entry_mb),
            ("replica, resident MB", self.replica_mb),
            ("announcement without list, entry ms", self.short_entry_ms),
            ("announcement without list, leader ms", self.short_leader_ms),
            ("announcement without list, bytes", self.short_bytes),
            ("announcement of 34 attempts, entry ms", self.full_entry_ms),
            ("announcement of 34 attempts, leader ms", self.full_leader_ms),
            ("announcement of 34 attempts, bytes", self.full_bytes),
            ("request, entry ms", self.request_entry_ms),
            ("request with a key, leader ms", self.claim_leader_ms),
            ("request with a key, follower ms", self.claim_follower_ms),
            ("task from start to end, leader ms", self.start_leader_ms),
            ("task from start to end, follower ms", self.start_follower_ms),
            ("tasks started and ended per second", self.starts_per_second),
            ("change of one row, leader ms", self.change_leader_ms),
            ("change of one row, follower ms", self.change_follower_ms),
            ("change of one row, s from read to response", self.change_seconds),
            ("task waiting, leader KB", self.task_leader_kb),
            ("task waiting, follower KB", self.task_follower_kb),
        ):
            print(f"  {row[0]:<44}{row[1]:>12.3f}")


@dataclasses.dataclass(slots=True)
class TargetRow:
    """A row of the table of the target size."""

    name: str
    value: float
    unit: str
    bound: float | None = None


def extrapolate(slopes: Slopes) -> list[TargetRow]:
    """Returns the figures at the target size."""
    announcements = WORKERS / ANNOUNCE_PERIOD_S
    full_share = ANNOUNCE_PERIOD_S / FULL_LIST_PERIOD_S
    entry_ms = _weighted_mean(
        slopes.short_entry_ms, slopes.full_entry_ms, full_share
    )
    leader_ms = _weighted_mean(
        slopes.short_leader_ms, slopes.full_leader_ms, full_share
    )
    announcement_bytes = _weighted_mean(
        slopes.short_bytes, slopes.full_bytes, full_share
    )
    one_leader = (
        announcements * leader_ms
        + STARTS_PER_SECOND * slopes.start_leader_ms
        + CHANGES_PER_SECOND * slopes.change_leader_ms
    ) / 1_000
    follower = STARTS_PER_SECOND * slopes.start_follower_ms / 1_000
    state_mb = TASKS * slopes.task_follower_kb / 1_024
    return [
        TargetRow("announcements", announcements, "/s"),
        TargetRow(
            "bytes per node",
            announcement_bytes / ANNOUNCE_PERIOD_S,
            "/s",
            NODE_BYTES_PER_SECOND_BOUND,
        ),
        TargetRow(
            "entry, announcements, share of a core on each of 9",
            announcements * entry_ms / 1_000 / CONTROL_VMS,
            "",
            1.0,
        ),
        TargetRow("single leader, share of a core", one_leader, "", 1.0),
        TargetRow(
            "leader per region, share of a core",
            one_leader / REGIONS,
            "",
            1.0,
        ),
        TargetRow("follower, share of a core", follower, "", 1.0),
        TargetRow("state of all tasks, MB", state_mb, "MB"),
        TargetRow(
            "state of the tasks of a region, MB", state_mb / REGIONS, "MB"
        ),
        TargetRow(
            "task starts handled by one leader in this run",
            slopes.starts_per_second,
            "/s",
        ),
    ]


def _weighted_mean(short: float, full: float, full_share: float) -> float:
    return short * (1 - full_share) + full * full_share


def print_target(slopes: Slopes) -> None:
    """Prints the figures at the target size."""
    print(f"at {WORKERS} workers, {TASKS} tasks, {STARTS_PER_SECOND} starts/s")
    for row in extrapolate(slopes):
        text = f"  {row.name:<52}{row.value:>12.3f} {row.unit}"
        if row.bound is not None:
            met = "met" if row.value <= row.bound else "NOT MET"
            text += f" (bound {row.bound:g}: {met})"
        print(text)
