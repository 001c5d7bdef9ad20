"""Carries the headroom model from one leader to the next."""

from typing import TYPE_CHECKING

from galenahook import errors
from galenahook import logs

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib

# Time between two commits of the headroom model. Estimates that are lost with a
# restart of all replicas are learned again within seconds.
STORE_PERIOD_MS = 3_000


def restore(dispatcher: "dispatcher_lib.Dispatcher") -> None:
    """Restores the model that an earlier leader stored."""
    learned = dispatcher.node.state.headroom_model
    if not learned.at_ms:
        return
    age_ms = max(0, dispatcher.clock.wall_ms() - learned.at_ms)
    dispatcher.tails.model.restore(learned, dispatcher.now_ms() - age_ms)
    logs.info(
        "leader:taught",
        term=dispatcher.term,
        age_ms=age_ms,
        weights=len(learned.weights),
        levels=len(learned.levels),
    )


async def store(dispatcher: "dispatcher_lib.Dispatcher") -> None:
    """Commits the model; a failure is logged, and the next period retries."""
    model = dispatcher.tails.model
    if not model.baselines:
        return
    learned = model.export(dispatcher.now_ms(), dispatcher.clock.wall_ms())
    try:
        await dispatcher.commit(learned)
    except errors.GalenahookError as error:
        logs.warning(
            "learned:not-kept", term=dispatcher.term, reason=str(error)
        )
