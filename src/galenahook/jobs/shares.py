"""Shares of a worker that colocated batch images use."""

from galenahook.jobs import headroom as headroom_lib
from galenahook.jobs import workers as workers_lib


def measured_shares(
    worker: workers_lib.Worker, now_ms: int
) -> headroom_lib.Shares:
    """Returns the share of the worker that each batch image used lately.

    Includes runs that have just ended, as measured tail latencies are means
    over a window in which these still ran for a part.
    """
    shares = worker.ended_run_shares(now_ms)
    for run in worker.runs.values():
        if run.step.uses_idle_cpu and run.measurement is not None:
            share = worker.share_of(run.measurement)
            shares[run.step.image] = shares.get(run.step.image, 0.0) + share
    return shares


def expected_shares(
    worker: workers_lib.Worker, unthrottled: bool = False
) -> headroom_lib.Shares:
    """Returns the share of the worker that each batch image is to use.

    Counts the declared use of each run, as one that was just started has no
    measured use yet.

    Args:
      worker: The worker.
      unthrottled: Whether to count runs at full speed.
    """
    shares: headroom_lib.Shares = {}
    for run in worker.runs.values():
        if not run.step.uses_idle_cpu or run.stopping:
            continue
        speed = 1.0 if unthrottled else run.throttle_percent / 100
        share = worker.share_of(run.step.cpu_millis) * speed
        shares[run.step.image] = shares.get(run.step.image, 0.0) + share
    return shares
