"""Decides which runs may have caused the crash of their worker."""

from galenahook import commands
from galenahook.jobs import workers as workers_lib

# A start that was confirmed at most this long before the crash is more likely
# its cause than earlier ones.
CRASH_AT_START_MS = 200
# Time after which a serving run that the worker lists is not the cause of a
# later crash. Serving tasks run for so long that they see crashes of any cause.
STABLE_MS = 10_000


def blame_runs(worker: workers_lib.Worker) -> None:
    """Sets the blame of each run on an incarnation that has ended.

    An announced end is no crash. Runs that the worker has begun, or may have
    begun, but never listed are more likely the cause of a crash than others.
    """
    if worker.is_leaving:
        return
    runs = [
        run
        for run in worker.runs.values()
        if run.sent and not run.stop_confirmed_ms
    ]
    begun = [
        run
        for run in runs
        if not run.seen and (run.confirmed_ms or run.broken_off)
    ]
    latest = [run for run in begun if _is_latest(worker, run)] or begun
    for run in runs:
        if run.blame is not commands.Blame.NONE:
            continue
        if latest == [run]:
            run.blame = commands.Blame.LIKELY
        elif _is_stable(worker, run):
            run.blame = commands.Blame.CLEARED
        elif begun and run.seen:
            run.blame = commands.Blame.UNLIKELY
        else:
            run.blame = commands.Blame.POSSIBLE


def _is_latest(worker: workers_lib.Worker, run: workers_lib.LiveRun) -> bool:
    if run.broken_off:
        return True
    age_ms = worker.broken_off_ms - run.confirmed_ms
    return worker.broken_off_ms > 0 and age_ms <= CRASH_AT_START_MS


def _is_stable(worker: workers_lib.Worker, run: workers_lib.LiveRun) -> bool:
    if not run.step.serves or not run.seen_ms:
        return False
    return worker.last_reply_ms - run.seen_ms >= STABLE_MS
