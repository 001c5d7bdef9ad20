"""Retries of failed attempts: exponential backoff and limits."""

import zlib

BACKOFF_BASE_MS = 1_000
BACKOFF_CAP_MS = 120_000
MAX_FAILURES = 6
MAX_FAILED_WORKERS = 3


def backoff_ms(task: str, failures: int) -> int:
    """Returns the backoff after the given number of failures.

    It doubles up to a cap. Jitter reduces it by up to half and is derived
    from the task's name, so that every replica computes the same value.
    """
    ceiling_ms = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS << min(failures - 1, 20))
    seed = zlib.crc32(f"{task}:{failures}".encode())
    return ceiling_ms // 2 + seed % (ceiling_ms // 2 + 1)


def is_exhausted(failures: int, distinct_workers: int) -> bool:
    """Returns whether a task has failed too often to be retried."""
    return failures >= MAX_FAILURES or distinct_workers >= MAX_FAILED_WORKERS


def is_waiting(not_before_ms: int, now_ms: int) -> bool:
    """Returns whether the backoff of a task has not elapsed yet.

    A time that is farther away than the cap results from a step of the wall
    clock and is ignored.
    """
    return now_ms < not_before_ms <= now_ms + BACKOFF_CAP_MS
