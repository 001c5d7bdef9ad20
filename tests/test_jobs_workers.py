"""Workers of a term: incarnations, late heartbeats and leases."""

import eliot
import pytest

from galenahook import clock as clock_lib
from galenahook.jobs import worker_pool
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
    return worker_pool.WorkerPool(ManualClock())


def add(pool, name="w1", **changes):
    worker = workers_lib.Worker(build.heartbeat(name, **changes), 1_000)
    pool.add(worker)
    return worker


def test_a_late_heartbeat_is_ignored(pool):
    worker = add(pool, sequence=5, draining=True)
    assert pool.record(build.heartbeat(sequence=4, draining=False))
    assert worker.heartbeat.draining
    assert pool.workers["w1"] is worker


def test_a_heartbeat_of_another_incarnation_is_not_recorded(pool):
    worker = add(pool, born_ms=2)
    for born_ms in (1, 3):
        assert not pool.record(build.heartbeat(born_ms=born_ms, sequence=99))
    assert pool.workers["w1"] is worker
    assert worker.heartbeat.born_ms == 2


def test_the_clock_of_a_heartbeat_does_not_expire_a_lease(pool):
    """Guards against runs that another writer's clock ends."""
    worker = add(pool)
    worker.begin_clock(10_000, 1_000)
    worker.extend_lease(1_000, 6_000)
    pool.record(build.heartbeat(sequence=2, clock_ms=90_000_000))
    assert not worker.is_lease_expired(1_000)


def test_workers_of_the_identifier_or_on_the_vm_are_rivals(pool):
    first = add(pool, "w1", machine="m-1")
    second = add(pool, "w2", machine="m-2")
    add(pool, "w3", machine="")
    beats = {
        "m-1": [first],
        "m-2": [first, second],
        "m-9": [first],
        "": [first],
    }
    for machine, rivals in beats.items():
        beat = build.heartbeat("w1", machine=machine, born_ms=2)
        assert pool.rivals(beat) == rivals
    assert pool.rivals(build.heartbeat("w9", machine="")) == []
    pool.remove(second)
    assert pool.rivals(build.heartbeat("w9", machine="m-2")) == []


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
    add(pool)
    for sequence in range(2, 5):
        assert pool.record(build.heartbeat(machine="m", sequence=sequence))
    (line,) = ignored
    assert (line["machine"], line["known_machine"]) == ("m", "m-w1")


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
    worker = workers_lib.Worker(build.heartbeat(clock_ms=1_000), 1_000)
    worker.heartbeat_period_ms = 10_000
    worker.record_clock(13_000, 1_000)
    assert not worker.is_heartbeat_outdated(1_000)
    worker.record_clock(14_000, 1_000)
    assert worker.is_heartbeat_outdated(1_000)
