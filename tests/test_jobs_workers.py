"""Workers of a term: incarnations, late heartbeats and lease arithmetic."""

import pytest

from galenahook import clock as clock_lib
from galenahook.jobs import workers as workers_lib
import job_builders as build


class ManualClock(clock_lib.Clock):
    """A clock that a test moves."""

    __slots__ = ("now",)

    def __init__(self):
        self.now = 1_000

    def monotonic_ms(self):
        return self.now


@pytest.fixture
def pool():
    return workers_lib.WorkerPool(ManualClock())


def test_a_late_heartbeat_changes_nothing(pool):
    worker, _ = pool.hear(build.heartbeat(sequence=5, draining=True))
    pool.hear(build.heartbeat(sequence=4, draining=False))
    assert worker.heartbeat.draining
    assert pool.workers["w1"] is worker


def test_a_new_incarnation_ends_the_old_one(pool):
    first, _ = pool.hear(build.heartbeat(born_ms=1))
    second, ended = pool.hear(build.heartbeat(born_ms=2))
    assert ended == [first]
    assert pool.workers["w1"] is second


def test_a_heartbeat_of_an_ended_incarnation_is_ignored(pool):
    pool.hear(build.heartbeat(born_ms=2))
    assert pool.hear(build.heartbeat(born_ms=1, sequence=99)) == (None, [])
    assert pool.workers["w1"].heartbeat.born_ms == 2


def test_a_later_life_of_the_vm_ends_the_worker_that_ran_on_it(pool):
    first, _ = pool.hear(build.heartbeat("w1", machine="m", born_ms=1))
    _, ended = pool.hear(build.heartbeat("w2", machine="m", born_ms=2))
    assert ended == [first]


def test_an_earlier_life_of_the_vm_is_not_taken_for_a_worker(pool):
    pool.hear(build.heartbeat("w2", machine="m", born_ms=2))
    assert pool.hear(build.heartbeat("w1", machine="m", born_ms=1)) == (
        None,
        [],
    )
    assert list(pool.workers) == ["w2"]


def test_a_lease_is_over_only_when_the_slowest_clock_has_passed_it():
    worker = build.worker(now_ms=1_000)
    worker.note_clock(50_000, 1_000)
    end_ms = worker.next_lease_ms(1_000, 6_000)
    assert end_ms == 56_000
    assert not worker.is_lease_over(1_000 + 6_000)
    assert not worker.is_lease_over(1_000 + 6_122)
    assert worker.is_lease_over(1_000 + 6_123)


def test_an_older_reading_of_the_clock_does_not_replace_a_newer_one():
    worker = build.worker(now_ms=1_000)
    worker.note_clock(50_000, 1_000)
    worker.note_clock(49_000, 2_000)
    assert worker.least_clock_ms(2_000) == 50_000 + 980


@pytest.mark.parametrize(
    ("change", "usable"),
    [
        ({}, True),
        ({"draining": True}, False),
    ],
)
def test_nothing_starts_on_a_worker_that_drains(change, usable):
    assert build.worker(now_ms=5, **change).is_usable(6) is usable


def test_nothing_starts_on_a_silent_closed_or_unseen_worker():
    silent = build.worker(now_ms=0)
    assert not silent.is_usable(workers_lib.SUSPECT_MS + 1)
    closed = build.worker(now_ms=0)
    closed.bad_until_ms = 10
    assert not closed.is_usable(9)
    unseen = build.worker(now_ms=0)
    unseen.looked = False
    assert not unseen.is_usable(1)
