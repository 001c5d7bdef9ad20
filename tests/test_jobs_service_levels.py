"""Reports of how callers' jobs are served, by queue, size and zone."""

import eliot
import pytest

from galenahook import commands
from galenahook import job_metrics
from galenahook.jobs import run_times as run_times_lib
from galenahook.jobs import service_levels
from galenahook.jobs import table as table_lib
import job_builders as build

LARGEST = service_levels.SizeClass.LARGEST
LARGE = service_levels.SizeClass.LARGE
OTHER = service_levels.SizeClass.OTHER


def job_of(tasks, **changes):
    return build.job(build.step(tasks=tasks), **changes)


def ranks_of(jobs):
    ranks = service_levels.SizeRanks()
    for job in jobs:
        ranks.add(job)
    return ranks


def test_jobs_are_ranked_by_work_among_those_of_their_queue():
    jobs = [job_of(tasks) for tasks in range(1, 101)]
    others = [job_of(5_000, queue="holds")]
    ranks = ranks_of(jobs + others)
    assert [ranks.size_class(job_of(n)) for n in (1, 70, 71, 90, 91, 999)] == [
        OTHER,
        OTHER,
        LARGE,
        LARGE,
        LARGEST,
        LARGEST,
    ]


def test_only_the_latest_jobs_of_a_queue_count():
    jobs = [job_of(1_000) for _ in range(service_levels.MAX_RANKED_JOBS)]
    ranks = ranks_of(jobs)
    for _ in range(service_levels.MAX_RANKED_JOBS):
        ranks.add(job_of(2))
    assert ranks.size_class(job_of(3)) is LARGEST


def test_work_counts_every_step_and_occurrence():
    job = build.job(
        build.step(tasks=3, cpu_millis=2_000, estimate_ms=100),
        build.step(tasks=1, cpu_millis=500, estimate_ms=40),
        occurrences=2,
    )
    assert service_levels.declared_work(job) == 2 * (600 + 20)


class Reported:
    """Service levels of one stored job, with its lines and metrics."""

    def __init__(self, **changes):
        self.metrics = job_metrics.JobMetrics()
        self.table = table_lib.JobTable()
        self.table.submit(build.submit(availability_zone="zone-b", **changes))
        self.job = self.table.jobs[build.JOB]
        self.levels = service_levels.ServiceLevels(
            self.metrics, run_times_lib.RunTimes(), [self.job]
        )
        self.lines = []

    def expect_end(self):
        ends = [build.end(f"{build.JOB}.0.0.0")]
        self.levels.expect_ends(ends, self.table.jobs)

    def end(self, outcome, at_ms):
        """Ends the only task at a time after the submission."""
        task = f"{build.JOB}.0.0.0"
        self.table.record(build.starts(build.start(task)))
        end = build.end(task, outcome=outcome)
        self.expect_end()
        self.table.record(
            commands.RecordRuns(ends=(end,), at_ms=build.WALL_MS + at_ms)
        )
        eliot.add_destinations(self.lines.append)
        self.lines.clear()
        try:
            self.levels.report_ended()
        finally:
            eliot.remove_destination(self.lines.append)

    def count(self, result):
        value = self.metrics._registry.get_sample_value
        labels = {"queue": "quotes", "size": "other", "result": result}
        return value("galenahook_jobs_ended_total", labels)


# A step of 500 ms, a stretch of 2 and an objective of 250 ms: 1,250 ms. A
# failed run adds half a run.
@pytest.mark.parametrize(
    ("outcome", "at_ms", "result", "target_ms"),
    [
        ("done", 1_250, "in-time", 1_250),
        ("done", 1_251, "late", 1_250),
        ("done", 3_750, "late", 1_250),
        ("done", 3_751, "expired", 1_250),
        ("failed", 100, "failed", 1_750),
    ],
)
def test_the_end_of_a_job_is_logged_and_counted(
    outcome, at_ms, result, target_ms
):
    reported = Reported(max_attempts=1)
    reported.end(outcome, at_ms)
    (line,) = reported.lines
    assert line["message_type"] == "job:ended"
    assert (line["job"], line["queue"]) == (build.JOB, "quotes")
    assert (line["zone"], line["size"]) == ("zone-b", "other")
    assert (line["took_ms"], line["target_ms"]) == (at_ms, target_ms)
    assert line["result"] == result
    # A core for 0.5 s.
    assert line["expected_core_ms"] == 500
    assert reported.count(result) == 1


def test_a_job_that_goes_on_or_was_cancelled_is_not_reported():
    reported = Reported(max_attempts=2)
    reported.end("failed", 100)
    assert reported.lines == []
    reported.table.cancel(
        commands.CancelJob(job=build.JOB, at_ms=build.WALL_MS)
    )
    reported.levels.report_ended()
    assert reported.lines == []


def test_a_job_whose_end_was_committed_without_a_reply_is_reported_once():
    reported = Reported()
    reported.expect_end()
    reported.end("done", 100)
    reported.expect_end()
    assert len(reported.lines) == 1
    reported.lines.clear()
    reported.levels.report_ended()
    assert reported.lines == []
