"""Orders throttles of colocated batch tasks."""

import curio

from galenahook import clock as clock_lib
from galenahook import logs
from galenahook.jobs import link as link_lib
from galenahook.jobs import workers as workers_lib

# Pause before a throttle order without a reply is sent again.
THROTTLE_RETRY_MS = 100


async def order_throttle(
    link: link_lib.Link, run: workers_lib.LiveRun, percent: int
) -> None:
    """Orders a throttle until it is answered, superseded or pointless."""
    while (
        run.throttle_percent == percent
        and link.worker.runs.get(run.task) is run
        and not link.ended
    ):
        answered = await link.throttle(run, percent)
        logs.info(
            "run:throttle",
            job=run.job.description.job,
            task=run.task,
            run=run.run,
            worker=link.worker.name,
            percent=percent,
            answered=answered,
        )
        if answered:
            return
        await curio.sleep(clock_lib.seconds(THROTTLE_RETRY_MS))
