"""The registry of workers: leases, order of announcements, proofs."""

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
    assert site.places(TASK) == ["w0"]
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
def test_out_of_date_attempt_is_told_to_stop(
    site: model.ModelSite, changes: dict[str, object]
) -> None:
    status = messages.AttemptStatus(**changes)  # type: ignore[arg-type]
    announcement = announced(site, attempts=(status,))
    reply = site.registry.announce(announcement, site.tasks)
    ref = messages.AttemptRef(task=status.task, attempt=status.attempt)
    assert reply.stop == (ref,)


def test_worker_under_another_name_does_not_own_the_attempt(
    site: model.ModelSite,
) -> None:
    reply = site.registry.announce(announced(site, name="w9"), site.tasks)
    assert [ref.task for ref in reply.stop] == [TASK]


def test_lease_that_was_over_is_not_renewed_before_its_work_ended(
    site: model.ModelSite,
) -> None:
    lease_ms = site.timing.worker_lease_ms
    site.clock.now_ms += lease_ms
    assert not site.registry.is_lease_over("w0")
    site.clock.now_ms += lease_ms // 100 + 2
    assert site.registry.is_lease_over("w0")
    reply = site.registry.announce(announced(site), site.tasks)
    assert reply.lease_ms == 0
    assert [ref.task for ref in reply.stop] == [TASK]
    site.round()
    assert site.record(TASK).phase is tasks_lib.Phase.PENDING
    reply = site.registry.announce(announced(site), site.tasks)
    assert reply.lease_ms == lease_ms


def test_late_announcement_of_an_earlier_incarnation_is_refused(
    site: model.ModelSite,
) -> None:
    late = announced(site)
    site.workers["w0"].restart()
    site.pass_time(1_000)
    reply = site.registry.announce(late, site.tasks)
    assert reply.lease_ms == 0
    assert [ref.task for ref in reply.stop] == [TASK]
    known = site.registry.workers["w0"].announcement.incarnation
    assert known == site.workers["w0"].incarnation


def test_late_announcement_proves_nothing_about_a_running_attempt(
    site: model.ModelSite,
) -> None:
    late = announced(site, attempts=())
    site.pass_time(500)
    site.registry.announce(late, site.tasks)
    site.round()
    assert site.record(TASK).attempt == 1
    assert site.record(TASK).phase is tasks_lib.Phase.HELD


def test_attempt_of_an_earlier_leader_needs_more_than_the_time_to_live(
    site: model.ModelSite,
) -> None:
    site.elect()
    site.round()
    earlier = announced(site, attempts=())
    ttl_ms = site.timing.start_ttl_ms
    site.client.lose_request.add("w0")
    for passed_ms in range(0, site.timing.worker_lease_ms + ttl_ms, 500):
        sent_ms = earlier.sent_at_ms + passed_ms
        later = announced(site, attempts=(), sent_at_ms=sent_ms)
        site.registry.announce(later, site.tasks)
        site.round()
        assert site.record(TASK).attempt == 1
        assert site.record(TASK).phase is tasks_lib.Phase.HELD, passed_ms


def test_use_above_the_reservation_takes_room(site: model.ModelSite) -> None:
    site.workers["w0"].usage = messages.Resources(3_000, 4_000)
    site.announce()
    free = site.registry.free("w0", site.tasks)
    assert free.cores_milli == model.LARGE.cores_milli - 3_000
    assert free.memory_mb == model.LARGE.memory_mb - 4_000


def test_attempts_left_out_are_those_last_listed(
    site: model.ModelSite,
) -> None:
    listed = announced(site)
    site.registry.announce(listed, site.tasks)
    short = announced(site, attempts=(), attempts_as_of=listed.sequence)
    reply = site.registry.announce(short, site.tasks)
    assert reply.lease_ms == site.timing.worker_lease_ms
    assert site.registry.workers["w0"].missing == ()


@pytest.mark.parametrize("case", ["new leader", "other list", "restarted"])
def test_attempts_left_out_are_asked_for_when_not_known(
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
        case "restarted":
            changes["incarnation"] = "another"
    short = announced(site, attempts=(), **changes)
    reply = site.registry.announce(short, site.tasks)
    assert reply.send_attempts
    assert reply.lease_ms == 0
