"""Exit codes of the command line, documented in `docs/OPERATING.md`."""

OK = 0
FAILURE = 1
USAGE = 2
INVALID = 3
CONFLICT = 4
NO_QUORUM = 5
UNAUTHORIZED = 6
TIMED_OUT = 7
