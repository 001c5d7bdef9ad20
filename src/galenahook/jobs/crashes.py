"""Decides which runs may have caused the crash of their worker."""

from galenahook import commands
from galenahook.jobs import workers as workers_lib

# Time after which a serving run that the worker lists is not the cause of a
# later crash. Serving tasks run for so long that they see crashes of any cause.
STABLE_MS = 5_000
# A worker that begins a run replies in this time, or crashes.
_PROMPT_MS = 200


def blame_runs(worker: workers_lib.Worker) -> None:
    """Sets the blame of each run that an incarnation may have begun at its end.

    An announced end is no crash. Else the most likely causes are the runs that
    were just starting, then those that the worker has begun but never listed,
    then the others. If one of these groups is empty the next one is blamed, but
    only a start in progress is likely to be the cause.
    """
    if worker.is_leaving:
        return
    runs = [
        run
        for run in worker.runs.values()
        if run.sent
        and not run.stop_confirmed_ms
        and _may_have_begun(worker, run)
    ]
    begun = [
        run
        for run in runs
        if not run.seen and (run.confirmed_ms or run.broken_off)
    ]
    starting = [run for run in begun if _was_starting(worker, run)]
    for run in runs:
        if run.blame is not commands.Blame.NONE:
            continue
        if len(starting) == 1 and run is starting[0]:
            run.blame = commands.Blame.LIKELY
        else:
            run.blame = _blame_of(worker, run, starting or begun)


def _blame_of(
    worker: workers_lib.Worker,
    run: workers_lib.LiveRun,
    suspects: list[workers_lib.LiveRun],
) -> commands.Blame:
    if any(run is suspect for suspect in suspects):
        return commands.Blame.POSSIBLE
    if _is_stable(worker, run):
        return commands.Blame.CLEARED
    if suspects or (run.step.serves and run.seen):
        return commands.Blame.UNLIKELY
    return commands.Blame.POSSIBLE


def _may_have_begun(
    worker: workers_lib.Worker, run: workers_lib.LiveRun
) -> bool:
    """Returns whether the worker may have begun a run before it crashed.

    An order to a worker that was already unresponsive is no sign of it: the
    worker did not reply, and its connection closed only later or not at all.
    """
    if run.seen or run.confirmed_ms or not run.sent_ms:
        return True
    if worker.last_reply_ms > run.sent_ms:
        return True
    waited_ms = run.unanswered_ms - run.sent_ms
    return run.unanswered_ms > 0 and waited_ms <= _PROMPT_MS


def _was_starting(worker: workers_lib.Worker, run: workers_lib.LiveRun) -> bool:
    """Returns whether a start was in progress when the worker crashed."""
    if run.broken_off:
        return True
    age_ms = worker.broken_off_ms - run.confirmed_ms
    return worker.broken_off_ms > 0 and age_ms <= workers_lib.START_SETTLE_MS


def _is_stable(worker: workers_lib.Worker, run: workers_lib.LiveRun) -> bool:
    if not run.step.serves or not run.seen_ms:
        return False
    return worker.last_reply_ms - run.seen_ms >= STABLE_MS
