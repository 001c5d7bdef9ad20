"""The registry of workers: leases, order of announcements, ended attempts."""

from collections.abc import Iterator

import msgspec
import pytest

from galenahook import messages
from galenahook.scheduling import tasks as tasks_lib
import scheduling_model as model

TASK = "job/plan/0"


@pytest.fixture
def site() -> Iterator[model.ModelSite]:
    site = model.ModelSite()
    site.add_worker("w0")
    site.change(model.sheet(model.job("plan")))
    site.pass_time(1_500)
    assert site.workers_running(TASK) == ["w0"]
    yield site
    site.close()


def announced(
    site: model.ModelSite, **changes: object
) -> messages.WorkerAnnouncement:
    announcement = site.workers["w0"].announcement()
    return msgspec.structs.replace(announcement, **changes)


def test_current_attempt_is_renewed_and_not_stopped(
    site: model.ModelSite,
) -> None:
    reply = site.registry.announce(announced(site), site.tasks)
    assert reply.lease_ms == site.timing.worker_lease_ms
    assert reply.stop == ()


@pytest.mark.parametrize(
    "changes",
    [
        {"task": TASK, "attempt": 7},
        {"task": "job/unknown/0", "attempt": 1},
    ],
)
def test_outdated_attempt_is_ordered_to_stop(
    site: model.ModelSite, changes: dict[str, object]
) -> None:
    status = messages.AttemptStatus(**changes)  # type: ignore[arg-type]
    announcement = announced(site, attempts=(status,))
    reply = site.registry.announce(announcement, site.tasks)
    ref = messages.AttemptRef(task=status.task, attempt=status.attempt)
    assert reply.stop == (ref,)


def test_attempt_is_not_accepted_from_a_worker_of_another_name(
    site: model.ModelSite,
) -> None:
    reply = site.registry.announce(announced(site, name="w9"), site.tasks)
    assert [ref.task for ref in reply.stop] == [TASK]


def test_expired_lease_is_not_renewed_before_its_attempts_ended(
    site: model.ModelSite,
) -> None:
    lease_ms = site.timing.worker_lease_ms
    site.clock.now_ms += lease_ms
    assert not site.registry.is_lease_expired("w0")
    site.clock.now_ms += lease_ms // 100 + 2
    assert site.registry.is_lease_expired("w0")
    reply = site.registry.announce(announced(site), site.tasks)
    assert reply.lease_ms == 0
    assert [ref.task for ref in reply.stop] == [TASK]
    site.round()
    assert site.record(TASK).phase is tasks_lib.Phase.PENDING
    reply = site.registry.announce(announced(site), site.tasks)
    assert reply.lease_ms == lease_ms


def test_delayed_announcement_of_an_earlier_incarnation_is_refused(
    site: model.ModelSite,
) -> None:
    delayed = announced(site)
    site.workers["w0"].restart()
    site.pass_time(1_000)
    reply = site.registry.announce(delayed, site.tasks)
    assert reply.lease_ms == 0
    assert [ref.task for ref in reply.stop] == [TASK]
    known = site.registry.workers["w0"].announcement.incarnation
    assert known == site.workers["w0"].incarnation


@pytest.mark.parametrize("is_first", [False, True])
def test_delayed_announcement_after_an_election_ends_no_attempt(
    site: model.ModelSite, is_first: bool
) -> None:
    """Guards against a restarted worker that a new leader shuts out.

    The leader may hear of the earlier incarnation before the later one.
    """
    delayed = announced(site)
    site.workers["w0"].restart()
    site.pass_time(2_000)
    attempt = site.record(TASK).attempt
    assert site.workers_running(TASK) == ["w0"]
    site.elect()
    site.round()
    if not is_first:
        site.pass_time(500)
    reply = site.registry.announce(delayed, site.tasks)
    assert (reply.lease_ms, reply.stop) == (0, ())
    site.pass_time(2_000)
    assert site.workers_running(TASK) == ["w0"]
    assert site.record(TASK).attempt == attempt
    assert site.registry.is_usable("w0")


@pytest.mark.parametrize("is_led_anew", [False, True])
def test_new_incarnation_counts_once_it_has_announced_itself_again(
    site: model.ModelSite, is_led_anew: bool
) -> None:
    site.workers["w0"].restart()
    if is_led_anew:
        site.elect()
        site.round()
    reply = site.registry.announce(announced(site), site.tasks)
    assert reply.send_attempts
    assert site.record(TASK).phase is tasks_lib.Phase.HELD
    reply = site.registry.announce(announced(site), site.tasks)
    assert reply.lease_ms == site.timing.worker_lease_ms
    site.round()
    assert site.record(TASK).phase is not tasks_lib.Phase.HELD


def test_new_incarnation_does_not_count_beside_one_that_is_up(
    site: model.ModelSite,
) -> None:
    for number in range(4):
        site.pass_time(500)
        other = announced(site, incarnation="other", sequence=number + 1)
        assert site.registry.announce(other, site.tasks).send_attempts
        site.clock.now_ms += 1
    site.pass_time(500)
    assert site.workers_running(TASK) == ["w0"]
    assert site.record(TASK).attempt == 1


def test_second_announcement_that_quotes_no_reply_to_the_first_does_not_count(
    site: model.ModelSite,
) -> None:
    for sequence, answered, counts in (
        (8, 7, False),
        (9, 7, False),
        (9, 8, True),
    ):
        other = announced(
            site, incarnation="other", sequence=sequence, answered=answered
        )
        reply = site.registry.announce(other, site.tasks)
        assert bool(reply.lease_ms) is counts


def test_delayed_announcement_does_not_end_a_running_attempt(
    site: model.ModelSite,
) -> None:
    delayed = announced(site, attempts=())
    site.pass_time(500)
    site.registry.announce(delayed, site.tasks)
    site.round()
    assert site.record(TASK).attempt == 1
    assert site.record(TASK).phase is tasks_lib.Phase.HELD


def test_attempt_of_an_earlier_leader_stays_held_beyond_the_start_ttl(
    site: model.ModelSite,
) -> None:
    site.elect()
    site.round()
    earlier = announced(site, attempts=())
    ttl_ms = site.timing.start_ttl_ms
    site.client.lose_request.add("w0")
    for elapsed_ms in range(0, site.timing.worker_lease_ms + ttl_ms, 500):
        sent_ms = earlier.sent_at_ms + elapsed_ms
        later = announced(site, attempts=(), sent_at_ms=sent_ms)
        site.registry.announce(later, site.tasks)
        site.round()
        assert site.record(TASK).attempt == 1
        assert site.record(TASK).phase is tasks_lib.Phase.HELD, elapsed_ms


def test_usage_above_the_reservation_reduces_free_capacity(
    site: model.ModelSite,
) -> None:
    site.workers["w0"].usage = messages.Resources(3_000, 4_000)
    site.announce()
    free = site.registry.free_capacity("w0", site.tasks)
    assert free.cores_milli == model.LARGE.cores_milli - 3_000
    assert free.memory_mb == model.LARGE.memory_mb - 4_000


def test_omitted_attempts_are_those_last_listed(
    site: model.ModelSite,
) -> None:
    listed = announced(site)
    site.registry.announce(listed, site.tasks)
    without_attempts = announced(
        site, attempts=(), attempts_as_of=listed.sequence
    )
    reply = site.registry.announce(without_attempts, site.tasks)
    assert reply.lease_ms == site.timing.worker_lease_ms
    assert site.registry.workers["w0"].missing_tasks == ()


@pytest.mark.parametrize(
    "case", ["new leader", "other list", "worker restarted"]
)
def test_omitted_attempts_are_requested_if_unknown(
    site: model.ModelSite, case: str
) -> None:
    listed = announced(site)
    site.registry.announce(listed, site.tasks)
    changes: dict[str, object] = {"attempts_as_of": listed.sequence}
    match case:
        case "new leader":
            site.registry.reset_for_term()
        case "other list":
            changes["attempts_as_of"] = listed.sequence - 1
        case "worker restarted":
            changes["incarnation"] = "another"
    without_attempts = announced(site, attempts=(), **changes)
    reply = site.registry.announce(without_attempts, site.tasks)
    assert reply.send_attempts
    assert reply.lease_ms == 0
