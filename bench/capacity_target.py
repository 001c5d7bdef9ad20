"""Slopes of the roles, and what they come to at the target size."""

import dataclasses

WORKERS = 5_800
TASKS = 200_000
ATTEMPTS_EACH = TASKS / WORKERS
STARTS_PER_SECOND = 340
CHANGES_PER_SECOND = 3_600 / 86_400
REGIONS = 4
CONTROL_VMS = 9
ANNOUNCE_PERIOD_S = 1.0
FULL_LIST_PERIOD_S = 5.0
NODE_BYTES_BOUND = 2_048


@dataclasses.dataclass(slots=True)
class Slopes:
    """Measured slopes; processor time in milliseconds for each event."""

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
            ("tasks started and ended each second", self.starts_per_second),
            ("change of one row, leader ms", self.change_leader_ms),
            ("change of one row, follower ms", self.change_follower_ms),
            ("change of one row, s from read to answer", self.change_seconds),
            ("task waiting, leader KB", self.task_leader_kb),
            ("task waiting, follower KB", self.task_follower_kb),
        ):
            print(f"  {row[0]:<44}{row[1]:>12.3f}")


@dataclasses.dataclass(slots=True)
class Line:
    """One line of the target's table."""

    name: str
    value: float
    unit: str
    bound: float | None = None


def lines(slopes: Slopes) -> list[Line]:
    """Returns what the slopes come to at the target size."""
    announcements = WORKERS / ANNOUNCE_PERIOD_S
    full_share = ANNOUNCE_PERIOD_S / FULL_LIST_PERIOD_S
    entry_ms = _mix(slopes.short_entry_ms, slopes.full_entry_ms, full_share)
    leader_ms = _mix(slopes.short_leader_ms, slopes.full_leader_ms, full_share)
    each = _mix(slopes.short_bytes, slopes.full_bytes, full_share)
    one_leader = (
        announcements * leader_ms
        + STARTS_PER_SECOND * slopes.start_leader_ms
        + CHANGES_PER_SECOND * slopes.change_leader_ms
    ) / 1_000
    follower = STARTS_PER_SECOND * slopes.start_follower_ms / 1_000
    state_mb = TASKS * slopes.task_follower_kb / 1_024
    return [
        Line("announcements", announcements, "/s"),
        Line("bytes a node", each / ANNOUNCE_PERIOD_S, "/s", NODE_BYTES_BOUND),
        Line(
            "entry, announcements, share of a core on each of 9",
            announcements * entry_ms / 1_000 / CONTROL_VMS,
            "",
            1.0,
        ),
        Line("one leader for all, share of a core", one_leader, "", 1.0),
        Line(
            "a leader for each region, share of a core",
            one_leader / REGIONS,
            "",
            1.0,
        ),
        Line("follower, share of a core", follower, "", 1.0),
        Line("state of all tasks, MB", state_mb, "MB"),
        Line("state of a region's tasks, MB", state_mb / REGIONS, "MB"),
        Line(
            "task starts one leader carried in this run",
            slopes.starts_per_second,
            "/s",
        ),
    ]


def _mix(short: float, full: float, full_share: float) -> float:
    return short * (1 - full_share) + full * full_share


def print_target(slopes: Slopes) -> None:
    """Prints what the slopes come to at the target size."""
    print(f"at {WORKERS} workers, {TASKS} tasks, {STARTS_PER_SECOND} starts/s")
    for line in lines(slopes):
        text = f"  {line.name:<52}{line.value:>12.3f} {line.unit}"
        if line.bound is not None:
            met = "met" if line.value <= line.bound else "NOT MET"
            text += f" (bound {line.bound:g}: {met})"
        print(text)
