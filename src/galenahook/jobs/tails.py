"""Tails of tasks that serve, and what the work beside them does to them.

For each pair of images, one that serves and one that uses idle processors, a
weight is learned: the rise of the tail, as a share of its target, if the
second took the whole worker. Placement asks for the predicted tail; control
throttles work beside a tail that is over its target.
"""

import dataclasses
from typing import TYPE_CHECKING

from galenahook import logs
from galenahook.jobs import workers as workers_lib

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib
    from galenahook.jobs import link as link_lib

# Rise of a tail by an image that was never seen beside it, and how far off
# that may be; measured weights are near 0 or from 4 to 30.
PRIOR_WEIGHT = 0.4
PRIOR_VARIANCE = 30.0
# Spread of measured tails around the model without work beside.
NOISE_VARIANCE = 0.03
# How fast weights may shift, for each sample of a pair.
DRIFT_VARIANCE = 0.02
PRIOR_BASE = 0.4
BASE_STEP = 0.05
# A tail this high says no more than that a weight is high.
MAX_TAIL = 3.0
# A share below this says nothing of an image.
LEAST_SHARE = 0.01
# Predicted tail, as a share of the target, up to which work is placed; tails
# swing by a quarter of the target with the load of what serves.
PLACED_TAIL = 0.75
# Time over the target after which work beside it is throttled.
OVER_MS = 0
# Time between two changes on one worker; tails lag by half a second.
SETTLE_MS = 600
# Measured tail under which a throttle is taken back.
RELEASE_TAIL = 0.75
# Time after which throttled work that may not go on is moved.
MOVE_AFTER_MS = 300


@dataclasses.dataclass(slots=True)
class Weight:
    """A learned weight of a pair of images.

    Attributes:
      value: Rise of the tail if the image took the whole worker.
      variance: How uncertain the value is.
    """

    value: float = PRIOR_WEIGHT
    variance: float = PRIOR_VARIANCE


class TailModel:
    """Learned weights of pairs of images.

    Each measured tail corrects the weights of the images beside it by a Kalman
    filter with independent weights: what is well known is hardly blamed.

    Attributes:
      weights: Weight by serving image and image beside it.
      bases: Tail of each serving image by itself, as a share of its target.
    """

    __slots__ = ("bases", "weights")

    def __init__(self) -> None:
        self.weights: dict[tuple[str, str], Weight] = {}
        self.bases: dict[str, float] = {}

    def weight(self, serving: str, beside: str) -> float:
        """Returns the weight of a pair."""
        known = self.weights.get((serving, beside))
        return known.value if known else PRIOR_WEIGHT

    def predict(self, serving: str, shares: dict[str, float]) -> float:
        """Returns the tail expected, as a share of the target."""
        value = self.bases.get(serving, PRIOR_BASE)
        return value + sum(
            self.weight(serving, image) * share
            for image, share in shares.items()
        )

    def learn(
        self, serving: str, shares: dict[str, float], measured: float
    ) -> None:
        """Corrects the weights by one measured tail."""
        measured = min(measured, MAX_TAIL)
        error = measured - self.predict(serving, shares)
        beside = [
            (self.weights.setdefault((serving, image), Weight()), share)
            for image, share in shares.items()
            if share >= LEAST_SHARE
        ]
        base = self.bases.get(serving, PRIOR_BASE)
        if not beside:
            self.bases[serving] = base + BASE_STEP * error
            return
        spread = NOISE_VARIANCE + sum(
            weight.variance * share * share for weight, share in beside
        )
        for weight, share in beside:
            gain = weight.variance * share / spread
            weight.value = max(0.0, weight.value + gain * error)
            weight.variance *= 1 - gain * share
            weight.variance += DRIFT_VARIANCE


def shares_of(worker: workers_lib.Worker) -> dict[str, float]:
    """Returns the share of the worker that each image beside uses."""
    shares: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.uses_idle_cpu and run.measure is not None:
            share = run.measure / worker.heartbeat.cpu_millis
            shares[run.step.image] = shares.get(run.step.image, 0.0) + share
    return shares


def expected_shares(worker: workers_lib.Worker) -> dict[str, float]:
    """Returns the share that each image beside will use at full speed.

    A run that was just started has no measured use yet, and counts in full.
    """
    shares: dict[str, float] = {}
    for run in worker.runs.values():
        if not run.step.uses_idle_cpu or run.stopping:
            continue
        used = run.step.cpu_millis * run.throttle / 100
        share = used / worker.heartbeat.cpu_millis
        shares[run.step.image] = shares.get(run.step.image, 0.0) + share
    return shares


class TailControl:
    """Learns tails and throttles what pushes them over their targets.

    Attributes:
      model: Learned weights.
    """

    def __init__(self) -> None:
        self.model = TailModel()
        self._changed_ms: dict[str, int] = {}

    def observe(self, worker: workers_lib.Worker, now_ms: int) -> None:
        """Learns from a worker's answer to a look."""
        shares = shares_of(worker)
        for run in worker.runs.values():
            if not run.step.tail_target_ms or run.measure is None:
                continue
            if run.percent < 100:
                continue
            measured = run.measure / run.step.tail_target_ms
            self.model.learn(run.step.image, shares, measured)
            if measured <= 1.0:
                run.over_since_ms = 0
            elif not run.over_since_ms:
                run.over_since_ms = now_ms

    async def control(self, dispatcher: "dispatcher_lib.Dispatcher") -> None:
        """Throttles and releases work beside tasks that serve."""
        now_ms = dispatcher.now_ms()
        for link in list(dispatcher.links.values()):
            await self._move_held(dispatcher, link, now_ms)
            changed_ms = self._changed_ms.get(link.worker.name, 0)
            if now_ms - changed_ms < SETTLE_MS:
                continue
            changes = self._changes(link.worker, now_ms)
            for run, percent in changes:
                run.throttle = percent
                run.throttled_ms = now_ms
                self._changed_ms[link.worker.name] = now_ms
                await dispatcher.spawn(_throttle, link, run, percent)

    async def _move_held(
        self,
        dispatcher: "dispatcher_lib.Dispatcher",
        link: "link_lib.Link",
        now_ms: int,
    ) -> None:
        """Stops throttled work that harms here, to resume it elsewhere."""
        for run in list(link.worker.runs.values()):
            if run.throttle == 100 or run.stopping:
                continue
            if now_ms - run.throttled_ms < MOVE_AFTER_MS:
                continue
            if not self._allows(link.worker, run):
                reason = "it slows tasks that serve beside it"
                await dispatcher.spawn(link.stop, run, reason)

    def _changes(
        self, worker: workers_lib.Worker, now_ms: int
    ) -> list[tuple[workers_lib.LiveRun, int]]:
        beside = [
            run
            for run in worker.runs.values()
            if run.step.uses_idle_cpu and run.seen and not run.stopping
        ]
        serving = [
            run for run in worker.runs.values() if run.step.tail_target_ms
        ]
        if not beside:
            return []
        over = [
            run
            for run in serving
            if run.over_since_ms and now_ms - run.over_since_ms >= OVER_MS
        ]
        if over:
            return self._throttles(worker, over, beside)
        return self._releases(worker, serving, beside)

    def _throttles(
        self,
        worker: workers_lib.Worker,
        over: list[workers_lib.LiveRun],
        beside: list[workers_lib.LiveRun],
    ) -> list[tuple[workers_lib.LiveRun, int]]:
        """Throttles to nothing the image that harms most."""
        harm: dict[str, float] = {}
        for run in beside:
            if run.throttle == 0:
                continue
            share = (run.measure or 0.0) / worker.heartbeat.cpu_millis
            for served in over:
                weight = self.model.weight(served.step.image, run.step.image)
                harm[run.step.image] = (
                    harm.get(run.step.image, 0.0) + (weight + 0.01) * share
                )
        if not harm:
            return []
        worst = max(harm, key=lambda image: harm[image])
        return [
            (run, 0)
            for run in beside
            if run.step.image == worst and run.throttle
        ]

    def _releases(
        self,
        worker: workers_lib.Worker,
        serving: list[workers_lib.LiveRun],
        beside: list[workers_lib.LiveRun],
    ) -> list[tuple[workers_lib.LiveRun, int]]:
        """Lets one throttled run go on if every tail allows it."""
        held = [run for run in beside if run.throttle < 100]
        if not held:
            return []
        for served in serving:
            target = served.step.tail_target_ms
            if (served.measure or 0.0) > RELEASE_TAIL * target:
                return []
        for run in held:
            if self._allows(worker, run):
                return [(run, 100)]
        return []

    def _allows(
        self, worker: workers_lib.Worker, run: workers_lib.LiveRun
    ) -> bool:
        """Whether every tail on a worker stays low with a run at full speed."""
        shares = shares_of(worker)
        more = run.step.cpu_millis / worker.heartbeat.cpu_millis
        shares[run.step.image] = shares.get(run.step.image, 0.0) + more
        return all(
            self.model.predict(served.step.image, shares) <= PLACED_TAIL
            for served in worker.runs.values()
            if served.step.tail_target_ms
        )


async def _throttle(
    link: "link_lib.Link", run: workers_lib.LiveRun, percent: int
) -> None:
    answered = await link.throttle(run, percent)
    logs.info(
        "run:throttle",
        task=run.task,
        run=run.run,
        worker=link.worker.name,
        percent=percent,
        answered=answered,
    )
