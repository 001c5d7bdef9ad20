#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule broke, 0 if it held.
exec python3 -B "$(dirname "$0")/run.py"
