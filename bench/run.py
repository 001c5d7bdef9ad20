"""Runs the measurements one after another: `make bench`.

    python -m run [NAME ...]

Each one prints its table with the seed, its baselines and, where the issue
names one, the bound and whether it is met. They run one at a time, so that
they don't slow each other. The exit status is the number that failed to run
or did not meet a bound.
"""

import subprocess
import sys
import time

MEASUREMENTS = (
    "routing",
    "decisions",
    "decisions_cost",
    "replicas",
    "configuration_cost",
)


def main(names: list[str]) -> int:
    """Runs the named measurements, all if none is named."""
    failed = 0
    for name in names or MEASUREMENTS:
        print(f"=== {name}", flush=True)
        begun = time.monotonic()
        status = subprocess.run([sys.executable, "-m", name], check=False)
        seconds = time.monotonic() - begun
        print(f"({seconds:.0f} s, exit status {status.returncode})", flush=True)
        failed += status.returncode != 0
    return failed


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
