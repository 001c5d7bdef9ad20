"""Runs the measurements one after another: `make bench`.

    python -m run [NAME ...]

Each one prints a table of its figures. Figures that have a bound are printed
with it and with whether they meet it. Measurements run one at a time, so that
they don't slow each other. The exit status is the number of measurements that
ended with a non-zero exit status.
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
    """Runs the named measurements, or all of them if none is named."""
    failed = 0
    for name in names or MEASUREMENTS:
        print(f"=== {name}", flush=True)
        started = time.monotonic()
        status = subprocess.run([sys.executable, "-m", name], check=False)
        seconds = time.monotonic() - started
        print(f"({seconds:.0f} s, exit status {status.returncode})", flush=True)
        failed += status.returncode != 0
    return failed


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
