"""A run is removed from its worker only if it has certainly ended."""

import curio
import msgspec
import pytest

from galenahook import commands
from galenahook import errors
from galenahook.jobs import link as link_lib
from galenahook.jobs import link_owner
from galenahook.jobs import tasks
from galenahook.jobs import worker_api
import job_builders as build


class FakeWorker(worker_api.WorkerClient):
    """Replies to orders and polls as a test specifies.

    Attributes:
      polls: Replies to polls, the last one repeated; an exception is raised.
      start_answer: Reply to every start.
      stopped: Runs for which a stop was ordered.
    """

    def __init__(self, *polls):
        self.polls = list(polls)
        self.start_answer = (worker_api.StartAnswer.RUNNING, "")
        self.stop_answer = True
        self.stopped = []
        self.started = []
        self.leases = []
        self.acknowledged = []

    async def start(self, order):
        self.started.append(order)
        return self.start_answer

    async def stop(self, task, run, _term):
        self.stopped.append((task, run))
        return self.stop_answer

    async def poll(self, _term, acknowledged, lease_until_ms, _wait_ms):
        self.leases.append(lease_until_ms)
        self.acknowledged.append(acknowledged)
        await curio.sleep(0.005)
        answer = self.polls.pop(0) if len(self.polls) > 1 else self.polls[0]
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def throttle(self, *_):
        return True

    async def close(self):
        pass


class FakeOwner(link_owner.LinkOwner):
    """Records reports of a link; each clock reading advances by 10 ms."""

    def __init__(self):
        self.fence = 3
        self.time_ms = 1_000
        self.ends = []
        self.confirmed = []
        self.untracked = []
        self.refusals = []
        self.leads = True

    def now_ms(self):
        self.time_ms += 10
        return self.time_ms

    def next_fence(self):
        self.fence += 1
        return self.fence

    def may_lead(self):
        return self.leads

    def is_zone_out(self, _availability_zone):
        return False

    async def spawn(self, function, *arguments):
        await curio.spawn(function, *arguments, daemon=True)

    async def note_deposed_by(self, _worker):
        self.leads = False

    async def queue_ends(self, ends):
        self.ends += ends

    def observe(self, _worker):
        pass

    def note_end(self, *_):
        pass

    def note_confirmed(self, _worker, run):
        self.confirmed.append(run.task)

    def note_untracked_end(self, _worker, row):
        self.untracked.append((row.task, row.run))

    def note_refusal(self, _worker, run, answer, _reason):
        self.refusals.append((run.task, answer))


def lists(*running, finished=(), complete=True, born_ms=1):
    return worker_api.PollReply(
        born_ms=born_ms,
        clock_ms=10_000,
        running=[
            worker_api.RunningRow(task, run, "", 50.0, None)
            for task, run in running
        ],
        finished=[
            worker_api.FinishedRow(number, task, run, outcome, "", outcome)
            for number, (task, run, outcome) in enumerate(finished, 1)
        ],
        complete=complete,
    )


def link_to(*polls, **run_changes):
    """Returns a link whose worker may run the only run of a job."""
    client = FakeWorker(*polls)
    owner = FakeOwner()
    worker = build.worker(now_ms=1_000)
    link = link_lib.Link(worker, client, owner, 6_000)
    run = build.live_run(build.job(), **run_changes)
    run.job.runs[run.key] = build.tasks_lib.RunRecord(
        task=run.task, run=1, worker="w1", born_ms=1
    )
    worker.runs[run.task] = run
    return link, client, owner, run


def poll_once(link):
    curio.run(link._poll)


@pytest.mark.parametrize(
    ("run", "proven"),
    [
        # Ordered in an earlier term: this term's poll has fenced the order.
        ({"ordered_ms": 0, "confirmed_ms": 0}, True),
        # The worker confirmed the run before this poll was sent.
        ({"ordered_ms": 1, "confirmed_ms": 2}, True),
        # Ordered without a reply: it may start later.
        ({"ordered_ms": 1, "confirmed_ms": 0}, False),
        # A stop was confirmed before this poll: it can no longer start.
        ({"ordered_ms": 1, "confirmed_ms": 0, "stop_confirmed_ms": 2}, True),
        # Confirmed after the poll was sent: the list may be older.
        ({"ordered_ms": 1, "confirmed_ms": 9_999_999}, False),
        ({"ordered_ms": 1, "stop_confirmed_ms": 9_999_999,
          "confirmed_ms": 0}, False),
    ],
)  # fmt: skip
def test_absence_proves_an_end_only_after_a_confirmation(run, proven):
    link, _, owner, live = link_to(lists(), **run)
    poll_once(link)
    assert (live.task not in link.worker.runs) is proven
    assert [end.outcome for end in owner.ends] == (["gone"] if proven else [])


def test_absence_from_an_incomplete_list_proves_nothing():
    link, _, owner, live = link_to(lists(complete=False))
    poll_once(link)
    assert live.task in link.worker.runs
    assert owner.ends == []


def test_an_end_is_processed_once_and_acknowledged_after_its_commit():
    task = f"{build.JOB}.0.0.0"
    listed = lists(finished=[(task, 1, "done")])
    link, client, owner, _ = link_to(listed)
    poll_once(link)
    poll_once(link)
    assert [end.outcome for end in owner.ends] == ["done"]
    assert client.acknowledged == [0, 0]
    curio.run(link.note_committed, link.queued_end)
    poll_once(link)
    assert client.acknowledged == [0, 0, 1]


def test_no_poll_is_sent_once_the_lease_ended_while_ends_were_committed():
    task = f"{build.JOB}.0.0.0"
    listed = lists(finished=[(task, 1, "done")])
    link, client, owner, _ = link_to(listed)
    poll_once(link)

    async def lose_the_lease():
        polling = await curio.spawn(link._poll)
        await curio.sleep(0.01)
        owner.leads = False
        await link.note_committed(link.queued_end)
        await polling.join()

    curio.run(lose_the_lease)
    assert client.acknowledged == [0]


def test_an_end_of_another_run_is_acknowledged_but_not_counted():
    task = f"{build.JOB}.0.0.0"
    link, _, owner, live = link_to(
        lists((task, 1), finished=[(task, 7, "done")])
    )
    poll_once(link)
    assert owner.ends == []
    assert link.worker.runs[task] is live
    assert link.queued_end == 1


def test_a_run_that_is_not_in_the_state_is_stopped():
    async def main():
        link, client, _, live = link_to(
            lists((f"{build.JOB}.0.0.0", 1), ("ff.0.0.0", 3))
        )
        await link._poll()
        await curio.sleep(0.01)
        assert client.stopped == [("ff.0.0.0", 3)]
        assert live.seen

    curio.run(main)


def test_lists_of_another_incarnation_are_ignored():
    link, _, owner, live = link_to(lists(born_ms=2))
    poll_once(link)
    assert live.task in link.worker.runs
    assert owner.ends == []


@pytest.mark.parametrize(
    "answer",
    [
        worker_api.StartAnswer.REFUSED,
        worker_api.StartAnswer.NO_CAPACITY,
        worker_api.StartAnswer.UNHEALTHY,
    ],
)
def test_a_refused_start_ends_the_run_at_once(answer):
    link, client, owner, live = link_to(lists(), confirmed_ms=0, seen=False)
    client.start_answer = (answer, "late")
    curio.run(link.start, live)
    assert [end.outcome for end in owner.ends] == ["gone"]
    assert owner.refusals == [(live.task, answer)]


def test_a_start_without_a_reply_stays_listed_and_is_stopped():
    async def main():
        link, client, owner, live = link_to(lists(), confirmed_ms=0, seen=False)
        client.start_answer = (worker_api.StartAnswer.UNKNOWN, "timeout")
        task = await curio.spawn(link.start, live)
        await curio.sleep(0.05)
        await link._poll()
        assert live.task in link.worker.runs
        await curio.sleep(link_lib.UNANSWERED_START_WAIT_MS / 1000 + 0.1)
        assert client.stopped == [(live.task, 1)]
        await link._poll()
        assert live.task not in link.worker.runs
        await task.join()
        assert [end.outcome for end in owner.ends] == ["gone"]

    curio.run(main)


def test_a_leader_without_its_lease_orders_nothing():
    link, client, owner, live = link_to(lists(), confirmed_ms=0, seen=False)
    owner.leads = False
    curio.run(link.start, live)
    assert client.started == []
    assert [end.outcome for end in owner.ends] == ["gone"]


def test_a_link_resumes_after_a_time_without_the_lease():
    async def main():
        link, client, owner, _ = link_to(lists((f"{build.JOB}.0.0.0", 1)))
        owner.leads = False
        task = await curio.spawn(link.run)
        await curio.sleep(0.05)
        assert client.acknowledged == []
        owner.leads = True
        await curio.sleep(link_lib.POLL_RETRY_MS / 1000 + 0.1)
        assert client.acknowledged
        await task.cancel()

    curio.run(main)


def test_a_start_that_was_never_seen_is_adopted_by_the_next_incarnation():
    async def main():
        link, _, _, live = link_to(
            lists(), confirmed_ms=0, seen=False, ordered_ms=5
        )
        seen = build.live_run(build.job(build.step(tasks=2)), index=1)
        link.worker.runs[seen.task] = seen
        successor, client, owner, other = link_to(lists((live.task, 1)))
        del successor.worker.runs[other.task]
        ends = await link.end_incarnation(successor, "started again")
        assert [end.task for end in ends] == [seen.task]
        assert successor.worker.runs == {live.task: live}
        await successor._poll()
        assert successor.worker.runs == {live.task: live}
        assert live.seen
        assert owner.confirmed == [live.task]
        assert owner.ends == client.stopped == []

    curio.run(main)


async def adopted(link):
    """Replaces the incarnation; returns the next link and the ends."""
    successor, client, owner, other = link_to(lists())
    successor.worker.runs.clear()
    # Stops are not answered, so that only polls can prove an end.
    client.stop_answer = False
    ends = await link.end_incarnation(successor, "worker restarted")
    return successor, owner, ends


@pytest.mark.parametrize("ordered_ms", [0, 5])
def test_an_unseen_start_is_adopted_until_a_poll(ordered_ms):
    """Only a poll of the next link fences it in the new incarnation."""

    async def main():
        link, _, _, live = link_to(
            lists(), confirmed_ms=0, seen=False, ordered_ms=ordered_ms
        )
        successor, owner, ends = await adopted(link)
        assert ends == []
        assert successor.worker.runs == {live.task: live}
        await successor._poll()
        assert successor.worker.runs == {}
        (end,) = owner.ends
        assert end.outcome == "gone"
        assert end.start_pending

    curio.run(main)


def test_a_stop_that_the_earlier_incarnation_confirmed_proves_nothing():
    async def main():
        link, _, _, live = link_to(
            lists(),
            confirmed_ms=0,
            seen=False,
            ordered_ms=5,
            stop_confirmed_ms=6,
        )
        successor, owner, _ = await adopted(link)
        assert successor.worker.runs == {live.task: live}
        assert live.stop_confirmed_ms == 0
        await successor._poll()
        assert [end.start_pending for end in owner.ends] == [True]

    curio.run(main)


def test_a_stop_of_the_replaced_link_stops_no_adopted_run():
    async def main():
        link, client, _, live = link_to(
            lists(), confirmed_ms=0, seen=False, ordered_ms=5
        )
        successor, _, _ = await adopted(link)
        await link.stop(live, "no reply to the start order")
        await curio.sleep(0.02)
        assert client.stopped == successor.client.stopped == []
        assert not live.stopping

    curio.run(main)


def test_a_late_reply_to_a_stop_confirms_nothing_for_the_next_incarnation():
    async def main():
        link, client, _, live = link_to(
            lists(), confirmed_ms=0, seen=False, ordered_ms=5
        )
        reply = curio.Event()

        async def stop(_task, _run, _fence):
            await reply.wait()
            return True

        client.stop = stop
        task = await curio.spawn(link.stop, live, "job cancelled")
        await curio.sleep(0.01)
        successor, owner, _ = await adopted(link)
        await reply.set()
        await curio.sleep(0.01)
        assert live.stop_confirmed_ms == 0
        assert successor.worker.runs == {live.task: live}
        await successor._poll()
        assert [end.start_pending for end in owner.ends] == [True]
        await task.cancel()

    curio.run(main)


@pytest.mark.parametrize(
    ("answer", "start_pending"),
    [
        (worker_api.StartAnswer.UNKNOWN, True),
        (worker_api.StartAnswer.BROKEN_OFF, True),
        (worker_api.StartAnswer.REFUSED, False),
        (worker_api.StartAnswer.UNHEALTHY, False),
    ],
)
def test_only_a_start_without_a_reply_stays_pending_after_its_run(
    answer, start_pending, monkeypatch
):
    """The next incarnation doesn't know what this one has stopped."""
    monkeypatch.setattr(link_lib, "UNANSWERED_START_WAIT_MS", 10)

    async def main():
        link, client, owner, live = link_to(lists(), confirmed_ms=0, seen=False)
        client.start_answer = (answer, "reason")
        task = await curio.spawn(link.start, live)
        await curio.sleep(0.05)
        await link._poll()
        (end,) = owner.ends
        assert end.start_pending == start_pending
        await task.cancel()

    curio.run(main)


def test_calls_to_the_next_incarnation_fence_those_of_the_earlier_link():
    link, _, owner, _ = link_to(lists())
    successor = link_lib.Link(
        build.worker(now_ms=1_000), FakeWorker(lists()), owner, 6_000
    )
    assert successor.fence > link.fence


def test_an_adopted_run_that_goes_on_is_not_blamed_for_the_crash():
    async def main():
        link, _, _, live = link_to(
            lists(), confirmed_ms=0, seen=False, ordered_ms=5, sent_ms=5
        )
        live.broken_off = True
        successor, _, owner, other = link_to(lists((live.task, 1)))
        del successor.worker.runs[other.task]
        await link.end_incarnation(successor, "worker restarted")
        assert live.blame is commands.Blame.LIKELY
        await successor._poll()
        assert live.blame is commands.Blame.NONE

    curio.run(main)


def test_nothing_is_sent_through_a_link_that_has_ended():
    """A call may have waited for its connection while the worker restarted."""
    client = FakeWorker(lists())
    permissions = []
    client.require = permissions.append
    link = link_lib.Link(build.worker(), client, FakeOwner(), 6_000)
    (may_send,) = permissions
    assert may_send()
    link.ended = True
    assert not may_send()


def test_an_ended_link_that_is_fenced_by_its_successor_deposes_nobody():
    async def main():
        link, client, owner, live = link_to(lists(), confirmed_ms=0, seen=False)
        client.polls = [worker_api.DeposedError("w1")]
        client.start_answer = (worker_api.StartAnswer.DEPOSED, "fence")
        link.ended = True
        await link._poll()
        await link.start(live)
        assert owner.leads

    curio.run(main)


def test_an_incarnation_may_hold_a_whole_lease_before_its_first_reply():
    """It may have taken it from a late call of an earlier link."""
    link, _, owner, _ = link_to(lists())
    worker = link.worker
    worker.has_polled = False
    poll_once(link)
    replied_ms = worker.last_reply_ms
    worker.lease_until_ms = 0
    assert not worker.is_lease_expired(replied_ms + 6_100)
    assert worker.is_lease_expired(replied_ms + 6_200)


def test_a_failed_poll_ends_nothing():
    link, _, owner, live = link_to(errors.ExchangeError("no reply", sent=True))
    poll_once(link)
    assert live.task in link.worker.runs
    assert owner.ends == []


class SlowWorker(FakeWorker):
    """A worker whose replies take longer than a poll that waits for ends."""

    def __init__(self, owner):
        super().__init__(lists())
        self.owner = owner
        self.waits = []
        self.reply_ms = 1_500

    async def poll(self, _term, _acknowledged, lease_until_ms, wait_ms):
        self.waits.append(wait_ms)
        self.leases.append(lease_until_ms)
        timeout_ms = wait_ms + 700 if wait_ms else 2_500
        self.owner.time_ms += min(self.reply_ms, timeout_ms)
        if self.reply_ms <= timeout_ms:
            return lists()
        raise errors.ExchangeError("no reply", True) from curio.TaskTimeout()


def test_a_worker_that_is_only_slow_to_reply_keeps_its_lease():
    link, _, owner, _ = link_to(lists())
    worker = link.client = SlowWorker(owner)
    curio.run(link._poll)
    leased_ms = owner.time_ms
    for _ in range(20):
        curio.run(link._poll)
        if worker.leases[-1]:
            assert owner.time_ms - leased_ms < 6_000
            leased_ms = owner.time_ms
    assert sum(map(bool, worker.leases)) > 10
    worker.reply_ms = 10
    for _ in range(2):
        curio.run(link._poll)
    assert worker.waits[-1] == link_lib.POLL_WAIT_MS


def test_a_worker_that_accepts_no_connection_is_polled_as_often_as_before():
    failure = errors.ExchangeError("no connection", sent=False)
    failure.__cause__ = curio.TaskTimeout()
    link, _, owner, _ = link_to(failure)
    worker = link.client = SlowWorker(owner)

    async def fail(*arguments):
        worker.waits.append(arguments[-1])
        raise failure

    worker.poll = fail
    for _ in range(5):
        curio.run(link._poll)
    assert set(worker.waits) == {link_lib.POLL_WAIT_MS}


def test_the_lease_of_an_unresponsive_worker_is_not_extended():
    failure = errors.ExchangeError("no reply", sent=True)
    link, client, _, _ = link_to(failure, failure, failure, lists(), lists())
    for _ in range(5):
        poll_once(link)
    first, second, third, fourth, fifth = client.leases
    assert second == third == fourth == 0 < first < fifth


@pytest.mark.parametrize(
    "answer", [lists(born_ms=2), errors.ExchangeError("no reply", sent=True)]
)
def test_no_lease_is_sent_to_what_may_be_the_next_incarnation(answer):
    """On its restarted clock the end of an earlier lease lies far ahead."""
    link, client, _, _ = link_to(lists(), answer, answer)
    for _ in range(3):
        poll_once(link)
    until_ms = link.worker.lease_until_ms
    poll_once(link)
    assert client.leases[2:] == [0, 0]
    assert link.worker.lease_until_ms == until_ms


def test_no_start_is_sent_to_a_worker_that_may_have_ended():
    """Its next incarnation may carry it out; its tasks would wait for that."""
    no_reply = errors.ExchangeError("no reply", sent=True)
    link, client, owner, live = link_to(lists(), no_reply, confirmed_ms=0)
    live.ordered_ms = owner.now_ms()
    poll_once(link)
    poll_once(link)
    until_ms = link.worker.lease_until_ms
    owner.time_ms += 1_000
    curio.run(link.start, live)
    assert client.started == []
    assert until_ms == link.worker.lease_until_ms
    (end,) = owner.ends
    assert end.outcome == "gone"
    assert not end.start_pending


def test_a_start_renews_a_lease_that_ends_soon():
    link, client, owner, live = link_to(lists(), confirmed_ms=0)
    live.ordered_ms = owner.now_ms()
    poll_once(link)
    until_ms = link.worker.lease_until_ms
    owner.time_ms += 4_000
    curio.run(link.start, live)
    (order,) = client.started
    assert order.lease_until_ms == link.worker.lease_until_ms > until_ms


def test_a_start_that_the_records_gave_up_is_not_sent():
    async def main():
        link, client, owner, live = link_to(
            lists(), confirmed_ms=0, seen=False, ordered_ms=5
        )
        start = await curio.spawn(link.start, live)
        ends = await link.end_incarnation(None, "worker restarted")
        await start.join()
        assert [end.outcome for end in ends] == ["gone"]
        assert client.started == []
        assert owner.ends == []
        assert owner.refusals == []

    curio.run(main)


@pytest.mark.parametrize("reason", ["job has ended", "not the leader"])
def test_a_start_that_the_leader_withholds_does_not_exclude_its_worker(reason):
    async def main():
        link, client, owner, live = link_to(
            lists(), confirmed_ms=0, seen=False, ordered_ms=5
        )
        if reason == "job has ended":
            outcome = tasks.Outcome.CANCELLED
            live.job.record = msgspec.structs.replace(
                live.job.record, outcome=outcome
            )
        else:
            owner.may_lead = lambda: False
        await link.start(live)
        assert [end.outcome for end in owner.ends] == ["gone"]
        assert client.started == []
        assert owner.refusals == []

    curio.run(main)


class RestartedWorker(FakeWorker):
    """A worker whose new incarnation has one end, which polls acknowledge."""

    def __init__(self):
        super().__init__(lists())
        self.ends = [(f"{build.JOB}.0.0.0", 1, "done")]
        self.failures = []

    async def poll(self, _term, acknowledged, lease_until_ms, wait_ms):
        if self.failures:
            raise self.failures.pop()
        self.ends = self.ends[acknowledged:]
        self.polls = [lists(finished=self.ends, born_ms=2)]
        return await super().poll(_term, acknowledged, lease_until_ms, wait_ms)


def link_to_restarted():
    """Returns a link to an incarnation that has ended after 57 ends."""
    link, _, _, _ = link_to(lists())
    link.client = RestartedWorker()
    link.worker.acknowledged = link.worker.last_processed_end = 57
    return link, link.client


def test_a_poll_after_a_failed_one_acknowledges_no_end_of_a_new_incarnation():
    link, client = link_to_restarted()
    client.failures = [errors.ExchangeError("closed", sent=True)]
    for _ in range(3):
        poll_once(link)
    assert client.ends == [(f"{build.JOB}.0.0.0", 1, "done")]


def test_a_link_whose_incarnation_ended_during_a_commit_polls_no_more():
    async def main():
        link, client = link_to_restarted()
        link.worker.last_processed_end = 58
        task = await curio.spawn(link.run)
        await curio.sleep(0.02)
        await link.end_incarnation(None, "worker restarted")
        await link.note_committed(58)
        await task.join()
        assert client.acknowledged == []
        assert client.ends

    curio.run(main)


def test_acknowledgements_resume_once_the_worker_replies():
    failure = errors.ExchangeError("no reply", sent=True)
    link, client, _, _ = link_to(failure, lists(), lists())
    link.worker.acknowledged = link.worker.last_processed_end = 57
    for _ in range(3):
        poll_once(link)
    assert client.acknowledged == [57, 0, 57]


@pytest.mark.parametrize(
    "answer", [lists(born_ms=2), errors.ExchangeError("no reply", sent=True)]
)
def test_ends_of_the_next_incarnation_are_not_acknowledged_unseen(answer):
    """Its ends are numbered anew; what replies next may be another one."""
    link, client, _, _ = link_to(lists(), answer, answer, lists(), lists())
    curio.run(link.note_committed, 7)
    for _ in range(5):
        poll_once(link)
    assert client.acknowledged == [7, 7, 0, 0, 7]
