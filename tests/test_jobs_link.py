"""When a run leaves a worker's table: only on a proof that it is gone."""

import curio
import pytest

from galenahook import errors
from galenahook.jobs import link as link_lib
from galenahook.jobs import worker_api
import job_builders as build


class FakeWorker(worker_api.WorkerClient):
    """Answers orders from lists that a test fills.

    Attributes:
      looks: Answers to looks, the last one repeated; an exception is raised.
      start_answer: Answer to every start.
      stopped: Runs that a stop was ordered for.
    """

    def __init__(self, *looks):
        self.looks = list(looks)
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

    async def look(self, _term, acknowledged, lease_until_ms, _wait_ms):
        self.leases.append(lease_until_ms)
        self.acknowledged.append(acknowledged)
        await curio.sleep(0.005)
        answer = self.looks.pop(0) if len(self.looks) > 1 else self.looks[0]
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def throttle(self, *_):
        return True

    async def close(self):
        pass


class FakeOwner(link_lib.LinkOwner):
    """Collects what a link reports; its clock moves by 10 ms a reading."""

    def __init__(self):
        self.term = 3
        self.time_ms = 1_000
        self.ends = []
        self.refusals = []
        self.acting = True

    def now_ms(self):
        self.time_ms += 10
        return self.time_ms

    def may_act(self):
        return self.acting

    async def spawn(self, function, *arguments):
        await curio.spawn(function, *arguments, daemon=True)

    async def depose(self, _worker):
        self.acting = False

    async def record_ends(self, ends):
        self.ends += ends

    def observe(self, _worker):
        pass

    def note_end(self, *_):
        pass

    def note_refusal(self, _worker, run, answer, _reason):
        self.refusals.append((run.task, answer))


def lists(*running, finished=(), complete=True, born_ms=1):
    return worker_api.Lists(
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


def link_to(*looks, **run_changes):
    """Returns a link whose worker may hold the only run of a job."""
    client = FakeWorker(*looks)
    site = FakeOwner()
    worker = build.worker(now_ms=1_000)
    link = link_lib.Link(worker, client, site, 6_000)
    run = build.live_run(build.job(), **run_changes)
    run.job.runs[run.key] = build.tasks_lib.RunRecord(
        task=run.task, run=1, worker="w1", born_ms=1
    )
    worker.runs[run.task] = run
    return link, client, site, run


def look_once(link):
    curio.run(link._look)


@pytest.mark.parametrize(
    ("run", "proven"),
    [
        # Ordered in an earlier term: this term's look has fenced the order.
        ({"ordered_ms": 0, "confirmed_ms": 0}, True),
        # The worker answered that it ran, before this look was sent.
        ({"ordered_ms": 1, "confirmed_ms": 2}, True),
        # Ordered without an answer: it may start later.
        ({"ordered_ms": 1, "confirmed_ms": 0}, False),
        # A stop was answered before this look: it can't start any more.
        ({"ordered_ms": 1, "confirmed_ms": 0, "refused_after_ms": 2}, True),
        # Answered after the look was sent: the look may be the older one.
        ({"ordered_ms": 1, "confirmed_ms": 9_999_999}, False),
        ({"ordered_ms": 1, "refused_after_ms": 9_999_999,
          "confirmed_ms": 0}, False),
    ],
)  # fmt: skip
def test_absence_proves_an_end_only_after_an_answer(run, proven):
    link, _, site, live = link_to(lists(), **run)
    look_once(link)
    assert (live.task not in link.worker.runs) is proven
    assert [end.outcome for end in site.ends] == (["gone"] if proven else [])


def test_absence_from_a_cut_list_proves_nothing():
    link, _, site, live = link_to(lists(complete=False))
    look_once(link)
    assert live.task in link.worker.runs
    assert site.ends == []


def test_an_end_is_taken_once_and_acknowledged_after_its_commit():
    task = f"{build.JOB}.0.0.0"
    listed = lists(finished=[(task, 1, "done")])
    link, client, site, _ = link_to(listed)
    look_once(link)
    look_once(link)
    assert [end.outcome for end in site.ends] == ["done"]
    assert client.acknowledged == [0, 0]
    curio.run(link.note_committed, link.recorded_end)
    look_once(link)
    assert client.acknowledged == [0, 0, 1]


def test_an_end_of_another_run_is_acknowledged_but_not_counted():
    task = f"{build.JOB}.0.0.0"
    link, _, site, live = link_to(
        lists((task, 1), finished=[(task, 7, "done")])
    )
    look_once(link)
    assert site.ends == []
    assert link.worker.runs[task] is live
    assert link.recorded_end == 1


def test_a_run_that_the_state_does_not_know_is_stopped():
    async def main():
        link, client, _, live = link_to(
            lists((f"{build.JOB}.0.0.0", 1), ("ff.0.0.0", 3))
        )
        await link._look()
        await curio.sleep(0.01)
        assert client.stopped == [("ff.0.0.0", 3)]
        assert live.seen

    curio.run(main)


def test_lists_of_another_incarnation_are_not_taken():
    link, _, site, live = link_to(lists(born_ms=2))
    look_once(link)
    assert live.task in link.worker.runs
    assert site.ends == []


@pytest.mark.parametrize(
    "answer",
    [
        worker_api.StartAnswer.REFUSED,
        worker_api.StartAnswer.NO_ROOM,
        worker_api.StartAnswer.UNHEALTHY,
    ],
)
def test_a_refused_start_ends_the_run_at_once(answer):
    link, client, site, live = link_to(lists(), confirmed_ms=0, seen=False)
    client.start_answer = (answer, "late")
    curio.run(link.start, live)
    assert [end.outcome for end in site.ends] == ["gone"]
    assert site.refusals == [(live.task, answer)]


def test_a_start_without_an_answer_is_kept_and_stopped():
    async def main():
        link, client, site, live = link_to(lists(), confirmed_ms=0, seen=False)
        client.start_answer = (worker_api.StartAnswer.UNKNOWN, "timeout")
        task = await curio.spawn(link.start, live)
        await curio.sleep(0.05)
        await link._look()
        assert live.task in link.worker.runs
        await curio.sleep(link_lib.START_PATIENCE_MS / 1000 + 0.1)
        assert client.stopped == [(live.task, 1)]
        await link._look()
        assert live.task not in link.worker.runs
        await task.join()
        assert [end.outcome for end in site.ends] == ["gone"]

    curio.run(main)


def test_a_leader_without_its_lease_orders_nothing():
    link, client, site, live = link_to(lists(), confirmed_ms=0, seen=False)
    site.acting = False
    curio.run(link.start, live)
    assert client.started == []
    assert [end.outcome for end in site.ends] == ["gone"]


def test_a_link_goes_on_after_a_moment_without_the_lease():
    async def main():
        link, client, site, _ = link_to(lists((f"{build.JOB}.0.0.0", 1)))
        site.acting = False
        task = await curio.spawn(link.run)
        await curio.sleep(0.05)
        assert client.acknowledged == []
        site.acting = True
        await curio.sleep(link_lib.LOOK_RETRY_MS / 1000 + 0.1)
        assert client.acknowledged
        await task.cancel()

    curio.run(main)


def test_a_start_that_was_never_seen_is_followed_to_the_next_incarnation():
    async def main():
        link, _, _, live = link_to(
            lists(), confirmed_ms=0, seen=False, ordered_ms=5
        )
        seen = build.live_run(build.job(build.step(tasks=2)), index=1)
        link.worker.runs[seen.task] = seen
        successor, client, _, other = link_to(lists())
        del successor.worker.runs[other.task]
        ends = await link.end_incarnation(successor, "started again")
        assert [end.task for end in ends] == [seen.task]
        assert successor.worker.runs == {live.task: live}
        await curio.sleep(0.02)
        assert client.stopped == [(live.task, 1)]

    curio.run(main)


def test_a_look_without_an_answer_ends_nothing():
    link, _, site, live = link_to(errors.ExchangeError("silent", sent=True))
    look_once(link)
    assert live.task in link.worker.runs
    assert site.ends == []


def test_the_lease_of_a_silent_worker_is_not_extended():
    silence = errors.ExchangeError("silent", sent=True)
    link, client, _, _ = link_to(silence, silence, silence, lists(), lists())
    for _ in range(5):
        look_once(link)
    first, second, third, fourth, fifth = client.leases
    assert first == second == third == fourth < fifth
