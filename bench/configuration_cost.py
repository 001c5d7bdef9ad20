"""Measures the cost of configuration changes as the sheet grows.

Prints a row for each size of the sheet: time on the event loop of a replica,
and bytes in the log, the audit trail and the snapshot.
"""

import argparse
import dataclasses
import statistics
import time

from galenahook import audit
from galenahook import commands
from galenahook import messages
from galenahook import state as state_lib
from galenahook.operators import change_checks

SHEET_SIZES = (460, 4_600, 46_000)
TASKS_PER_JOB = 4
TEAMS = 380
CHANGES = 100

_RESOURCES = messages.Resources(1_000, 1_024, 0)


@dataclasses.dataclass(slots=True, frozen=True)
class Cost:
    """Costs at one size of the sheet; times of repeated changes are medians.

    Attributes:
      jobs: Jobs in the sheet.
      zone_out_ms: Time to apply a change that affects no row.
      put_job_ms: Time to apply a change of one row.
      check_sheet_ms: Time to check the rows of a whole sheet; only the leader
        does so.
      decode_sheet_ms: Time to decode the command of a whole sheet.
      apply_sheet_ms: Time to apply a sheet that replaces all jobs.
      put_job_log_bytes: Size of the log record of a change of one row.
      put_job_audit_bytes: Size of the audit record of the same change.
      sheet_log_bytes: Size of the log record of a whole sheet.
      snapshot_record_bytes: Size of the largest record of a snapshot.
    """

    jobs: int
    zone_out_ms: float
    put_job_ms: float
    check_sheet_ms: float
    decode_sheet_ms: float
    apply_sheet_ms: float
    put_job_log_bytes: int
    put_job_audit_bytes: int
    sheet_log_bytes: int
    snapshot_record_bytes: int


def _job(index: int, priority: int = 50) -> commands.JobRow:
    return commands.JobRow(
        name=f"plan-{index}@2026-03-31",
        team=f"team-{index % TEAMS}",
        priority=priority,
        job_class="cutting-plan",
        tasks=TASKS_PER_JOB,
        resources=_RESOURCES,
        run_ms=3_600_000,
        deadline_ms=1_775_000_000_000,
        command="cut --line line-1 --stock rolls",
    )


def _sheet(first: int, count: int) -> commands.ApplySheet:
    quotas = tuple(
        commands.TeamQuota(team=f"team-{index}", resources=_RESOURCES)
        for index in range(TEAMS)
    )
    jobs = tuple(_job(index) for index in range(first, first + count))
    return commands.ApplySheet(sheet=commands.Sheet(jobs=jobs, quotas=quotas))


class _Site:
    """A state to which changes are applied one after another."""

    def __init__(self) -> None:
        self.state = state_lib.State()

    def command(self, change: commands.Change) -> commands.ChangeConfiguration:
        revision = self.state.configuration.current.revision
        return commands.ChangeConfiguration(
            operator="ana",
            number=revision + 1,
            base_revision=revision,
            at_ms=1_775_000_000_000 + revision,
            change=change,
        )

    def apply_ms(self, change: commands.Change) -> float:
        command = self.command(change)
        started = time.perf_counter()
        result = self.state.apply(command)
        elapsed_ms = 1_000 * (time.perf_counter() - started)
        assert isinstance(result, commands.ChangeAccepted), result
        return elapsed_ms


def measure(jobs: int) -> Cost:
    """Measures the costs with this number of jobs in the sheet."""
    site = _Site()
    site.apply_ms(_sheet(0, jobs))
    zone = commands.AvailabilityZoneOut(availability_zone="a")
    zone_out_ms = [site.apply_ms(zone) for _ in range(CHANGES)]
    rows = [commands.PutJob(job=_job(i, priority=60)) for i in range(CHANGES)]
    put_job_ms = [site.apply_ms(row) for row in rows]
    records = [
        len(state_lib.encode_record(record))
        for record in site.state.snapshot_records()
    ]
    changes = site.state.configuration.changes.values()
    audit_record = messages.encode(audit.to_audit_record(list(changes)[-1]))
    row_command = commands.encode_command(site.command(rows[0]))
    sheet = _sheet(jobs, jobs)
    sheet_command = commands.encode_command(site.command(sheet))
    started = time.perf_counter()
    change_checks.check(sheet)
    checked = time.perf_counter()
    commands.decode_command(sheet_command)
    decoded = time.perf_counter()
    return Cost(
        jobs=jobs,
        zone_out_ms=statistics.median(zone_out_ms),
        put_job_ms=statistics.median(put_job_ms),
        check_sheet_ms=1_000 * (checked - started),
        decode_sheet_ms=1_000 * (decoded - checked),
        apply_sheet_ms=site.apply_ms(sheet),
        put_job_log_bytes=len(row_command),
        put_job_audit_bytes=len(audit_record),
        sheet_log_bytes=len(sheet_command),
        snapshot_record_bytes=max(records),
    )


def main() -> None:
    """Prints the costs for each size of the sheet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=list(SHEET_SIZES))
    for jobs in parser.parse_args().sizes:
        cost = dataclasses.asdict(measure(jobs))
        print(
            "  ".join(
                f"{name} {value:.2f}"
                if value != int(value)
                else f"{name} {value}"
                for name, value in cost.items()
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
