"""Short runs of the soak of real processes, whose promises must hold."""

import job_soak

# Pauses, kills and stops of processes, and faults of every kind on links.
SEED = 1
SECONDS = 6.0
# Disks of two of three replicas refuse writes, one after the other.
REFUSAL_SEED = 1
REFUSAL_SECONDS = 9.0
# Another writer names workers that restart, while the leader is killed.
WRITER_SEED = 1
WRITER_SECONDS = 9.0


def test_no_promise_is_broken_while_processes_and_links_fail(tmp_path):
    soak = job_soak.play(SEED, SECONDS, tmp_path)
    assert soak.findings == []
    assert any(job.accepted for job in soak.jobs.values())
    assert any(worker.started for worker in soak.workers)


def test_no_promise_is_broken_beside_another_writer(tmp_path):
    """Guards against runs that end, or workers shut out, by what it says."""
    soak = job_soak.play(
        WRITER_SEED,
        WRITER_SECONDS,
        tmp_path,
        faults=("other-writer", "other-writer", "restart", "kill", "cut"),
    )
    assert soak.findings == []
    assert soak.other_writer.sent > 10
    assert any(job.accepted for job in soak.jobs.values())


def test_no_promise_is_broken_while_disks_refuse_writes(tmp_path):
    """Guards against processes that a refused write stops for good."""
    soak = job_soak.play(
        REFUSAL_SEED,
        REFUSAL_SECONDS,
        tmp_path,
        faults=("refuse-writes",),
        min_refusing=2,
    )
    assert soak.findings == []
    assert any(job.accepted for job in soak.jobs.values())
    refused = [
        log
        for log in tmp_path.glob("replica-*.log")
        if "disk:write-refused" in log.read_text()
    ]
    assert len(refused) >= 2
