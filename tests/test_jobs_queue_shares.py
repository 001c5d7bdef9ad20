"""How queues divide the processors of a service."""

import pytest

from galenahook.jobs import demand as demand_lib
from galenahook.jobs import queue_shares
import job_builders as build

LASTING_JOB = "00000000000000e1"
QUOTES = demand_lib.Queue("desk", "quotes", 0)
# Submitted a second before, so that a job of so long a work asks for a core.
SECOND_MS = 1_000


@pytest.mark.parametrize(
    ("asked", "shares"),
    [
        ([], []),
        ([5.0], [5.0]),
        ([30.0], [12.0]),
        ([3.0, 4.0], [3.0, 4.0]),
        ([1.0, 30.0], [1.0, 11.0]),
        ([30.0, 20.0], [6.0, 6.0]),
        ([30.0, 2.0, 20.0], [5.0, 2.0, 5.0]),
    ],
)
def test_who_asks_for_less_than_an_equal_share_gets_it(asked, shares):
    assert queue_shares.divide(asked, 12.0) == shares


def lasting(cpu_millis, **changes):
    """Builds a job of a lasting task."""
    return build.submit(
        build.serving_step(cpu_millis=cpu_millis),
        job=LASTING_JOB,
        queue="racks",
        **changes,
    )


def short(number, cores=1, **changes):
    """Builds a short job that asks for cores all the time if alone."""
    return build.submit(
        build.step(cpu_millis=cores * 1_000, estimate_ms=SECOND_MS),
        job=f"{0xA0 + number:016x}",
        **changes,
    )


def shares_of(*submits, workers=2):
    """Returns the shares on a site of workers with 8 cores each."""
    site = build.Site(
        [build.worker(f"w{number}") for number in range(workers)], *submits
    )
    inputs = site.inputs()
    return site, queue_shares.QueueShares(inputs, inputs.usable_capacity())


def share_of(*submits, queue=QUOTES, **options):
    """Returns the processors that a queue of short jobs gets."""
    _, shares = shares_of(*submits, **options)
    return shares.short[queue].cpu_millis


def asked(cores):
    return queue_shares.SHORT_HEADROOM * cores * 1_000


def test_short_jobs_get_what_they_ask_for_beside_any_lasting_work():
    assert share_of(short(1), lasting(60_000)) == asked(1)
    assert share_of(short(1), short(2), lasting(60_000)) == asked(2)


def test_short_jobs_and_lasting_ones_that_ask_for_more_get_equal_shares():
    assert share_of(short(1, cores=40), lasting(60_000)) == 8_000
    assert share_of(short(1, cores=40), lasting(6_000)) == 10_000


def test_more_urgent_queues_get_their_shares_first():
    jobs = short(1, cores=4), lasting(13_000, priority=1)
    assert share_of(*jobs) == asked(4)
    jobs = short(1, cores=4, priority=1), lasting(13_000)
    queue = demand_lib.Queue("desk", "quotes", 1)
    assert share_of(*jobs, queue=queue) == 3_000


def test_services_do_not_share_processors():
    _, shares = shares_of(short(1, service="annex"), lasting(60_000))
    assert shares.short_cpu_millis("desk") == 0
    assert shares.contended == {"desk"}


def test_jobs_on_idle_processors_ask_for_none():
    batch = build.submit(build.batch_step(cpu_millis=9_000))
    _, shares = shares_of(batch, lasting(60_000))
    assert not shares.short
