"""Keeps the tails of tasks that serve under their targets.

Work beside tasks that serve is slowed as far as a forecast of their headroom
asks for, let go again when it allows it, and moved where it would stay slow.
"""

import dataclasses
import math
from typing import TYPE_CHECKING

from galenahook import logs
from galenahook.jobs import headroom as headroom_lib
from galenahook.jobs import workers as workers_lib

if TYPE_CHECKING:
    from galenahook.jobs import dispatcher as dispatcher_lib
    from galenahook.jobs import link as link_lib

# Headroom to be left by the work beside when it is placed, when it is let go
# again, and while it runs. A target missed for a moment costs less than work
# that waits; tails scatter by a tenth around the forecast.
PLACED_HEADROOM = 1.1
RELEASED_HEADROOM = 1.12
KEPT_HEADROOM = 1.0
# Time ahead for which a place must be good; most tasks take 1 to 4 s.
PLACED_AHEAD_MS = 2_000
# Time ahead for which work may go on: a throttle takes 100 ms to act, and tails
# show it half a second later.
KEPT_AHEAD_MS = 800
# A tail over its target for so long has work beside it slowed as if it were
# placed anew; after 4 s on end it is a broken promise.
LONG_OVER_MS = 1_000
# Time between two reviews of all workers, and between two changes of throttles
# on one worker.
REVIEW_MS = 50
SETTLE_MS = 300
# Least rise of a throttle that is worth an order, unless it ends it.
LEAST_RISE = 20
# Throttled below this share, work is moved if it would stay so.
MOVED_SHARE = 50
# Time for which it must have been throttled by then, and that it would be.
MOVE_AFTER_MS = 600
MOVE_AHEAD_MS = 2_000
# Progress in percent up to which work without checkpoints is moved.
MOVED_PROGRESS = 25
# A fall of the headroom below this is not worth a throttle.
LEAST_FALL = 0.1
# Cuts after which the search for throttles gives up; there are few images.
MAX_CUTS = 20
# A step whose tails were not seen for so long is forgotten.
FORGET_MS = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class Served:
    """A step that serves on a worker.

    Attributes:
      image: Its image.
      level: Least headroom expected of it without work beside.
    """

    image: str
    level: float


def shares_of(worker: workers_lib.Worker, now_ms: int) -> headroom_lib.Shares:
    """Returns the share of the worker that each image beside used lately.

    Measured tails are means of a time in which work that has just ended was
    there for a part.
    """
    shares = worker.ended_shares(now_ms)
    for run in worker.runs.values():
        if run.step.uses_idle_cpu and run.measure is not None:
            share = run.measure / worker.heartbeat.cpu_millis
            shares[run.step.image] = shares.get(run.step.image, 0.0) + share
    return shares


def expected_shares(
    worker: workers_lib.Worker, unthrottled: bool = False
) -> headroom_lib.Shares:
    """Returns the share that each image beside will use.

    A run that was just started has no measured use yet, and counts in full.
    """
    shares: headroom_lib.Shares = {}
    for run in worker.runs.values():
        if not run.step.uses_idle_cpu or run.stopping:
            continue
        speed = 1.0 if unthrottled else run.throttle / 100
        share = run.step.cpu_millis * speed / worker.heartbeat.cpu_millis
        shares[run.step.image] = shares.get(run.step.image, 0.0) + share
    return shares


class TailControl:
    """Learns headrooms and throttles what uses them up.

    Attributes:
      model: What is learned.
    """

    def __init__(self) -> None:
        self.model = headroom_lib.HeadroomModel()
        self._changed_ms: dict[str, int] = {}
        self._pruned_ms = 0
        self._reviewed_ms = 0

    def observe(self, worker: workers_lib.Worker, now_ms: int) -> None:
        """Learns from a worker's answer to a look."""
        shares = shares_of(worker, now_ms)
        for run in worker.runs.values():
            if _is_measured(run):
                _note_over(run, now_ms)
                self.model.learn(
                    run.step.image,
                    run.step_id,
                    shares,
                    _headroom(run),
                    now_ms,
                )

    def served(
        self, worker: workers_lib.Worker, now_ms: int, ahead_ms: int
    ) -> list[Served]:
        """Returns the steps that serve on a worker, with their forecasts."""
        steps = {
            run.step_id: run.step.image
            for run in worker.runs.values()
            if run.step.tail_target_ms
        }
        return [
            Served(image, self.model.least_level(step, now_ms, ahead_ms))
            for step, image in steps.items()
        ]

    async def control(self, dispatcher: "dispatcher_lib.Dispatcher") -> None:
        """Throttles, releases and moves work beside tasks that serve."""
        now_ms = dispatcher.now_ms()
        if now_ms - self._reviewed_ms < REVIEW_MS:
            return
        self._reviewed_ms = now_ms
        self.model.age(now_ms)
        self._prune(now_ms)
        for link in list(dispatcher.links.values()):
            worker = link.worker
            beside = _beside(worker)
            changed_ms = self._changed_ms.get(worker.name, -SETTLE_MS)
            if not beside or now_ms - changed_ms < SETTLE_MS:
                continue
            for run, percent in self.changes(worker, beside, now_ms):
                if run.throttle >= MOVED_SHARE > percent:
                    run.slowed_ms = now_ms
                run.throttle = percent
                dispatcher.metrics.throttles.inc()
                self._changed_ms[worker.name] = now_ms
                await dispatcher.spawn(_throttle, link, run, percent)
            for run in self.to_move(worker, beside, now_ms):
                reason = "it slows tasks that serve beside it"
                await dispatcher.spawn(link.stop, run, reason)

    def _prune(self, now_ms: int) -> None:
        if now_ms - self._pruned_ms < FORGET_MS:
            return
        self._pruned_ms = now_ms
        self.model.forget(
            [
                step
                for step, level in self.model.levels.items()
                if now_ms - level.corrected_ms > FORGET_MS
            ]
        )

    def changes(
        self,
        worker: workers_lib.Worker,
        beside: list[workers_lib.LiveRun],
        now_ms: int,
    ) -> list[tuple[workers_lib.LiveRun, int]]:
        """Returns the runs whose throttles change, each with its percent."""
        served = self._served_with_measures(worker, now_ms)
        is_long = any(
            run.over_since_ms and now_ms - run.over_since_ms >= LONG_OVER_MS
            for run in worker.runs.values()
        )
        left = RELEASED_HEADROOM if is_long else KEPT_HEADROOM
        kept = self.allowed(worker, served, left)
        released = self.allowed(worker, served, RELEASED_HEADROOM)
        changed = []
        for run in beside:
            image = run.step.image
            if kept[image] < run.throttle:
                changed.append((run, kept[image]))
            elif (
                released[image] == 100 > run.throttle
                or released[image] >= run.throttle + LEAST_RISE
            ):
                changed.append((run, released[image]))
        return changed

    def _served_with_measures(
        self, worker: workers_lib.Worker, now_ms: int
    ) -> list[Served]:
        """Returns forecasts, lowered where a tail is over its target now."""
        served = self.served(worker, now_ms, KEPT_AHEAD_MS)
        shares = shares_of(worker, now_ms)
        for run in worker.runs.values():
            if _is_measured(run) and _headroom(run) < 1.0:
                fall = self.model.fall(run.step.image, shares)
                served.append(Served(run.step.image, _headroom(run) + fall))
        return served

    def allowed(
        self, worker: workers_lib.Worker, served: list[Served], left: float
    ) -> dict[str, int]:
        """Returns the percent that each image beside may work at.

        Args:
          worker: Where it works.
          served: Steps that serve there.
          left: Headroom that must be left to each of them.
        """
        shares = expected_shares(worker, unthrottled=True)
        speeds = dict.fromkeys(shares, 1.0)
        for _ in range(MAX_CUTS):
            if not self._cut(served, shares, speeds, left):
                break
        return {
            image: math.floor(speed * 10 + 1e-6) * 10
            for image, speed in speeds.items()
        }

    def _cut(
        self,
        served: list[Served],
        shares: headroom_lib.Shares,
        speeds: dict[str, float],
        left: float,
    ) -> bool:
        """Slows the image that takes most where too little is left."""
        for item in served:
            falls = {
                image: self.model.weight(item.image, image).value * share
                for image, share in shares.items()
            }
            short = left - item.level
            short += sum(fall * speeds[image] for image, fall in falls.items())
            if short <= 0:
                continue
            worst = max(falls, key=lambda i: falls[i] * speeds[i], default="")
            if not worst or falls[worst] * speeds[worst] < LEAST_FALL:
                continue
            speed = speeds[worst] - short / falls[worst]
            speeds[worst] = max(0.0, speed)
            return True
        return False

    def to_move(
        self,
        worker: workers_lib.Worker,
        beside: list[workers_lib.LiveRun],
        now_ms: int,
    ) -> list[workers_lib.LiveRun]:
        """Returns slow runs that would stay slow here."""
        slow = [
            run
            for run in beside
            if run.throttle < MOVED_SHARE
            and now_ms - run.slowed_ms >= MOVE_AFTER_MS
            and (run.step.saves_checkpoints or run.percent <= MOVED_PROGRESS)
        ]
        if not slow:
            return []
        served = self.served(worker, now_ms, MOVE_AHEAD_MS)
        allowed = self.allowed(worker, served, RELEASED_HEADROOM)
        return [run for run in slow if allowed[run.step.image] < MOVED_SHARE]


def _is_measured(run: workers_lib.LiveRun) -> bool:
    """Whether a run serves, is at work and has a measured tail."""
    return bool(run.step.tail_target_ms and run.measure and run.percent >= 100)


def _note_over(run: workers_lib.LiveRun, now_ms: int) -> None:
    """Takes note of since when a tail has been over its target."""
    if _headroom(run) >= 1.0:
        run.over_since_ms = 0
    elif not run.over_since_ms:
        run.over_since_ms = now_ms


def _headroom(run: workers_lib.LiveRun) -> float:
    return run.step.tail_target_ms / (run.measure or 1.0)


def _beside(worker: workers_lib.Worker) -> list[workers_lib.LiveRun]:
    return [
        run
        for run in worker.runs.values()
        if run.step.uses_idle_cpu and run.seen and not run.stopping
    ]


async def _throttle(
    link: "link_lib.Link", run: workers_lib.LiveRun, percent: int
) -> None:
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
