"""Service of the larger jobs of a queue on a nearly full site."""

import re
import subprocess
import sys

ROW = re.compile(r"(table|rota) +(.+?) +jobs +\d+ +in time ([0-9.]+) ")
# The users' bound: of the largest tenth, and of the fifth below it, at least
# half as many jobs are served as of all.
LEAST_RATIO = 0.5


def test_larger_jobs_are_served_at_least_half_as_often_as_all():
    """Only 0.18 of the largest tenth were in time, of 0.71 of all."""
    played = subprocess.run(
        [sys.executable, "-m", "job_service", "--seconds=20", "--fill=0.88"],
        capture_output=True,
        check=True,
        text=True,
        timeout=300,
    )
    in_time = {
        (queue, size): float(share)
        for queue, size, share in ROW.findall(played.stdout)
    }
    assert len(in_time) == 8
    for queue in ("table", "rota"):
        least = LEAST_RATIO * in_time[queue, "all"]
        assert in_time[queue, "largest 10%"] >= least
        assert in_time[queue, "next 20%"] >= least
