"""Learned weights of pairs of images, and the control of tails."""

import pytest

from galenahook.jobs import tails as tails_lib
import job_builders as build


class FakeLink:
    """A worker whose throttles and stops a test reads."""

    def __init__(self, worker):
        self.worker = worker
        self.throttled = []
        self.stopped = []

    async def throttle(self, run, percent):
        self.throttled.append((run.task, percent))
        return True

    async def stop(self, run, reason):
        self.stopped.append((run.task, reason))


def colocated(tail_ms, *images):
    """Returns a worker with one task that serves and one of each image."""
    worker = build.worker()
    serving = build.live_run(
        build.job(build.serving_step(), job="00000000000000b0"),
        percent=100,
        measure=tail_ms,
    )
    worker.runs[serving.task] = serving
    for number, image in enumerate(images):
        job = build.job(
            build.beside_step(image=image), job=f"00000000000000c{number}"
        )
        run = build.live_run(job, measure=1_000.0)
        worker.runs[run.task] = run
    return worker, serving


def teach(model, weights, rounds=40):
    """Lets a model see tails that follow known weights."""
    mixes = [{"good": 0.1}, {"bad": 0.1}, {"good": 0.2, "bad": 0.05}, {}]
    for number in range(rounds):
        shares = mixes[number % len(mixes)]
        tail = 0.4 + sum(weights[image] * s for image, s in shares.items())
        model.learn("shop", shares, tail)


def test_weights_of_pairs_are_told_apart():
    model = tails_lib.TailModel()
    teach(model, {"good": 0.0, "bad": 8.0})
    assert model.weight("shop", "bad") == pytest.approx(8.0, abs=1.0)
    assert model.weight("shop", "good") == pytest.approx(0.0, abs=0.5)
    assert model.predict("shop", {}) == pytest.approx(0.4, abs=0.1)


def test_a_well_known_image_is_not_blamed_for_a_new_one():
    model = tails_lib.TailModel()
    for _ in range(30):
        model.learn("shop", {"good": 0.1}, 0.4)
    model.learn("shop", {"good": 0.1, "new": 0.1}, 1.4)
    assert model.weight("shop", "new") > 5.0
    assert model.weight("shop", "good") < 1.0


def test_a_weight_that_shifted_is_learned_again():
    model = tails_lib.TailModel()
    teach(model, {"good": 0.0, "bad": 8.0}, rounds=80)
    teach(model, {"good": 8.0, "bad": 0.0}, rounds=80)
    assert model.weight("shop", "good") > model.weight("shop", "bad")


def changes_of(control, worker, now_ms):
    control.observe(worker, now_ms)
    return [(r.step.image, p) for r, p in control._changes(worker, now_ms)]


def test_the_image_that_harms_most_is_throttled_first():
    control = tails_lib.TailControl()
    teach(control.model, {"good": 0.0, "bad": 8.0})
    worker, _ = colocated(150, "good", "bad")
    assert changes_of(control, worker, 1_000) == [("bad", 0)]


def test_a_tail_under_its_target_throttles_nothing():
    control = tails_lib.TailControl()
    worker, _ = colocated(90, "good", "bad")
    assert changes_of(control, worker, 1_000) == []


def test_a_task_that_is_not_at_work_yet_says_nothing_of_tails():
    control = tails_lib.TailControl()
    worker, serving = colocated(500, "bad")
    serving.percent = 40
    assert changes_of(control, worker, 1_000) == []
    assert control.model.weights == {}


def test_harmless_work_is_released_once_tails_are_low():
    control = tails_lib.TailControl()
    teach(control.model, {"good": 0.0, "bad": 8.0})
    worker, _ = colocated(40, "good")
    run = next(r for r in worker.runs.values() if r.step.image == "good")
    run.throttle = 0
    assert changes_of(control, worker, 9_000) == [("good", 100)]


@pytest.mark.parametrize(("image", "moves"), [("good", False), ("bad", True)])
def test_held_work_that_harms_here_is_moved(image, moves):
    control = tails_lib.TailControl()
    teach(control.model, {"good": 0.0, "bad": 12.0})
    worker, _ = colocated(40, image)
    run = next(r for r in worker.runs.values() if r.step.image == image)
    run.throttle = 0
    link = FakeLink(worker)

    class Dispatcher:
        async def spawn(self, function, *arguments):
            await function(*arguments)

    coroutine = control._move_held(Dispatcher(), link, 9_000)
    with pytest.raises(StopIteration):
        coroutine.send(None)
    assert bool(link.stopped) is moves
