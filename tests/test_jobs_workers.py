"""Workers of a term: incarnations, late heartbeats and leases."""

import eliot
import pytest

from galenahook import clock as clock_lib
from galenahook.jobs import workers as workers_lib
import job_builders as build


class ManualClock(clock_lib.Clock):
    """A clock that a test sets."""

    __slots__ = ("now",)

    def __init__(self):
        self.now = 1_000

    def monotonic_ms(self):
        return self.now


@pytest.fixture
def pool():
    return workers_lib.WorkerPool(ManualClock())


def test_a_late_heartbeat_is_ignored(pool):
    worker, _ = pool.handle_heartbeat(
        build.heartbeat(sequence=5, draining=True)
    )
    pool.handle_heartbeat(build.heartbeat(sequence=4, draining=False))
    assert worker.heartbeat.draining
    assert pool.workers["w1"] is worker


def test_a_new_incarnation_ends_the_old_one(pool):
    first, _ = pool.handle_heartbeat(build.heartbeat(born_ms=1))
    second, ended = pool.handle_heartbeat(build.heartbeat(born_ms=2))
    assert ended == [first]
    assert pool.workers["w1"] is second


def test_a_heartbeat_of_an_ended_incarnation_is_ignored(pool):
    pool.handle_heartbeat(build.heartbeat(born_ms=2))
    assert pool.handle_heartbeat(build.heartbeat(born_ms=1, sequence=99)) == (
        None,
        [],
    )
    assert pool.workers["w1"].heartbeat.born_ms == 2


def test_a_newer_worker_on_a_vm_ends_the_older_one(pool):
    first, _ = pool.handle_heartbeat(
        build.heartbeat("w1", machine="m", born_ms=1)
    )
    _, ended = pool.handle_heartbeat(
        build.heartbeat("w2", machine="m", born_ms=2)
    )
    assert ended == [first]


def test_an_older_worker_on_a_vm_is_ignored(pool):
    pool.handle_heartbeat(build.heartbeat("w2", machine="m", born_ms=2))
    assert pool.handle_heartbeat(
        build.heartbeat("w1", machine="m", born_ms=1)
    ) == (
        None,
        [],
    )
    assert list(pool.workers) == ["w2"]


@pytest.fixture
def ignored():
    lines = []

    def record(message):
        if message["message_type"] == "worker:announcement-ignored":
            lines.append(message)

    eliot.add_destinations(record)
    # The first destination receives messages of earlier tests.
    lines.clear()
    yield lines
    eliot.remove_destination(record)


def test_an_ignored_announcement_is_logged_once_in_a_while(pool, ignored):
    """Without the line nobody sees why a worker gets no work."""
    pool.handle_heartbeat(build.heartbeat("w2", machine="m", born_ms=2))
    for sequence in range(3):
        pool.handle_heartbeat(
            build.heartbeat("w1", machine="m", sequence=sequence)
        )
    (line,) = ignored
    assert (line["worker"], line["known"]) == ("w1", "w2")


def test_a_lease_expires_only_when_the_slowest_clock_has_passed_it():
    worker = build.worker(now_ms=1_000)
    worker.record_clock(50_000, 1_000)
    end_ms = worker.extend_lease(1_000, 6_000)
    assert end_ms == 56_000
    assert not worker.is_lease_expired(1_000 + 6_000)
    assert not worker.is_lease_expired(1_000 + 6_122)
    assert worker.is_lease_expired(1_000 + 6_123)


def test_an_older_reading_of_the_clock_does_not_replace_a_newer_one():
    worker = build.worker(now_ms=1_000)
    worker.record_clock(50_000, 1_000)
    worker.record_clock(49_000, 2_000)
    assert worker.min_clock_ms(2_000) == 50_000 + 980


@pytest.mark.parametrize(
    ("change", "usable"),
    [
        ({}, True),
        ({"draining": True}, False),
    ],
)
def test_a_draining_worker_is_not_usable(change, usable):
    assert build.worker(now_ms=5, **change).is_usable(6) is usable


def test_an_unresponsive_excluded_or_unpolled_worker_is_not_usable():
    unresponsive = build.worker(now_ms=0)
    assert not unresponsive.is_usable(workers_lib.UNRESPONSIVE_AFTER_MS + 1)
    excluded = build.worker(now_ms=0)
    excluded.excluded_until_ms = 10
    assert not excluded.is_usable(9)
    unpolled = build.worker(now_ms=0)
    unpolled.has_polled = False
    assert not unpolled.is_usable(1)


def test_a_lease_received_instead_of_an_earlier_incarnation_is_waited_for():
    worker = build.worker(now_ms=1_000, clock_ms=500)
    worker.inherit_lease(1_000, 6_000)
    assert not worker.is_lease_expired(1_000 + 6_122)
    assert worker.is_lease_expired(1_000 + 6_123)


def test_a_later_clock_reading_does_not_shorten_an_inherited_lease():
    worker = build.worker(now_ms=1_000, clock_ms=500)
    worker.inherit_lease(1_000, 6_000)
    worker.record_clock(90_000, 2_000)
    assert not worker.is_lease_expired(1_000 + 6_122)


def test_a_worker_with_rare_heartbeats_stays_usable_between_them():
    pool = workers_lib.WorkerPool(ManualClock(), heartbeat_period_ms=10_000)
    worker, _ = pool.handle_heartbeat(build.heartbeat(clock_ms=1_000))
    worker.record_clock(13_000, 1_000)
    assert not worker.is_heartbeat_outdated(1_000)
    worker.record_clock(14_000, 1_000)
    assert worker.is_heartbeat_outdated(1_000)
