"""Search for the leader, and calls without a leader."""

import curio
import expression
import pytest

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import job_entry
from galenahook import job_metrics
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.jobs import calls
from galenahook.jobs import gateway as gateway_lib


class FakeReplicas:
    """Replaces the control client; replies for replicas by address.

    Attributes:
      leader: Name of the replica that leads, or an empty string.
      members: Address of each replica by name.
      sent: Address and call of each request.
    """

    def __init__(self, *names):
        self.leader = ""
        self.members = {name: f"at-{name}" for name in names}
        self.sent = []
        self.unresponsive = set()

    async def send(self, address, request, _timeout_ms):
        call = messages.decode(request.body, calls.JobCall)
        self.sent.append((address, call))
        await curio.sleep(0.001)
        name = address.removeprefix("at-")
        if name in self.unresponsive:
            raise errors.ExchangeError("no reply", sent=True)
        if name == self.leader:
            reply = calls.JobReply(
                outcome="done", version=3, replicas=self.members
            )
            return web.json_response(reply)
        if isinstance(call, calls.EntryPoll):
            reply = calls.JobReply(outcome="not-leader", replicas=self.members)
            return web.json_response(reply)
        return web.json_response(messages.NotLeader(leader=""), 421)


STATE = calls.JobStateCall(host="h", path="/p/1")


def gateway_of(replicas, *seeds):
    known = {name: replicas.members[name] for name in seeds}
    return gateway_lib.Gateway(
        "entry",
        known,
        replicas,
        clock_lib.Clock(),
        job_metrics.JobMetrics(),
        lambda: expression.Error([]),
    )


def run(main):
    curio.run(main)


def test_a_leader_that_is_not_a_seed_is_found_through_followers():
    async def main():
        replicas = FakeReplicas("a", "b", "c", "d")
        replicas.leader = "d"
        gateway = gateway_of(replicas, "a", "b")
        await curio.spawn(gateway.track_leader, daemon=True)
        reply = await gateway.call(STATE, 2_000)
        assert reply.outcome == "done"
        assert gateway.leader == "d"
        assert set(gateway.replicas) == {"a", "b", "c", "d"}

    run(main)


def test_calls_that_wait_for_a_leader_send_nothing():
    async def main():
        replicas = FakeReplicas("a", "b")
        gateway = gateway_of(replicas, "a", "b")
        await curio.spawn(gateway.track_leader, daemon=True)
        waiting = [
            await curio.spawn(gateway.call, STATE, 400) for _ in range(100)
        ]
        for task in waiting:
            with pytest.raises(curio.TaskError) as caught:
                await task.join()
            cause = caught.value.__cause__
            assert isinstance(cause, gateway_lib.UnansweredError)
            assert not cause.may_have_run
        assert all(isinstance(c, calls.EntryPoll) for _, c in replicas.sent)
        assert len(replicas.sent) <= 2 * 6

    run(main)


def test_a_call_without_a_reply_is_sent_to_the_next_leader():
    async def main():
        replicas = FakeReplicas("a", "b")
        replicas.leader = "a"
        gateway = gateway_of(replicas, "a", "b")
        await curio.spawn(gateway.track_leader, daemon=True)
        await gateway.call(STATE, 1_000)
        replicas.unresponsive.add("a")
        replicas.leader = "b"
        assert (await gateway.call(STATE, 2_000)).outcome == "done"
        assert gateway.leader == "b"

    run(main)


def test_a_call_that_a_leader_may_have_received_is_reported_as_such():
    async def main():
        replicas = FakeReplicas("a")
        replicas.leader = "a"
        gateway = gateway_of(replicas, "a")
        await curio.spawn(gateway.track_leader, daemon=True)
        await gateway.call(STATE, 1_000)
        replicas.unresponsive.add("a")
        with pytest.raises(gateway_lib.UnansweredError) as caught:
            await gateway.call(STATE, 300)
        assert caught.value.may_have_run

    run(main)


class ScriptedReplicas(FakeReplicas):
    """Replies to calls in order; an exception is raised."""

    def __init__(self, *replies):
        super().__init__("a")
        self.leader = "a"
        self.replies = list(replies)

    async def send(self, address, request, timeout_ms):
        call = messages.decode(request.body, calls.JobCall)
        if isinstance(call, calls.EntryPoll):
            return await super().send(address, request, timeout_ms)
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


SUBMISSION = calls.SubmitJobCall(
    host="h", path="/p/1", order=calls.JobOrder(spec="s", steps=())
)


def call_scripted(*replies, call=SUBMISSION):
    """Returns the reply to a call whose attempts get these replies."""

    async def main():
        replicas = ScriptedReplicas(*replies)
        gateway = gateway_of(replicas, "a")
        await curio.spawn(gateway.track_leader, daemon=True)
        return await gateway.call(call, 2_000)

    return curio.run(main)


def reply_with(outcome):
    return web.json_response(calls.JobReply(outcome=outcome))


LOST = errors.ExchangeError("no reply", sent=True)
UNCERTAIN = web.refusal(503, "not known to be committed")
REFUSALS = ("overloaded", "no-queue")


@pytest.mark.parametrize("first", [LOST, UNCERTAIN])
@pytest.mark.parametrize("outcome", REFUSALS)
def test_a_refusal_after_a_lost_reply_does_not_say_it_was_not_run(
    first, outcome
):
    with pytest.raises(gateway_lib.UnansweredError) as caught:
        call_scripted(first, reply_with(outcome))
    assert caught.value.may_have_run


@pytest.mark.parametrize("outcome", REFUSALS)
def test_a_refusal_of_every_attempt_is_returned(outcome):
    first = errors.ExchangeError("refused", sent=False)
    assert call_scripted(first, reply_with(outcome)).outcome == outcome


def test_a_read_is_refused_after_a_lost_reply():
    reply = call_scripted(LOST, reply_with("no-queue"), call=STATE)
    assert reply.outcome == "no-queue"


def test_a_stored_job_is_acknowledged_after_a_lost_reply():
    assert call_scripted(LOST, reply_with("stored")).outcome == "stored"


def test_seeds_are_read_again_once_all_known_replicas_were_replaced(
    monkeypatch,
):
    """The settings file follows replaced machines; no signal announces it."""
    monkeypatch.setattr(gateway_lib, "RELOAD_PERIOD_MS", 50)

    async def lead(_request):
        reply = calls.JobReply(outcome="done", replicas={"127.0.0.1": address})
        return web.json_response(reply)

    async def main():
        replica = await curio.spawn(server.run, daemon=True)
        entry = job_entry.JobEntry(
            settings_with_seed("127.0.0.2:1"),
            clock_lib.Clock(),
            lambda: expression.Ok(settings_with_seed("127.0.0.1:1")),
        )
        await curio.spawn(entry.gateway.track_leader, daemon=True)
        async with curio.ignore_after(3):
            while not entry.gateway.leader:
                await curio.sleep(0.01)
        assert entry.gateway.leader == "127.0.0.1"
        assert set(entry.gateway.replicas) == {"127.0.0.1"}
        await replica.cancel()

    def settings_with_seed(seed):
        listener = settings_lib.Listener(listen="127.0.0.1:0")
        return settings_lib.JobEntrySettings(
            name="entry",
            availability_zone="a",
            callers=listener,
            platform=listener,
            metrics=listener,
            seeds=(seed,),
            peer_port=web.parse_address(address)[1],
            stop_ms=2_000,
        )

    server = web.Server(web.listen("127.0.0.1:0"), lead, web.Limits())
    address = server.address
    run(main)


def test_an_entry_follows_the_group_while_every_replica_is_replaced(
    monkeypatch,
):
    monkeypatch.setattr(gateway_lib, "POLL_PERIOD_MS", 5)

    async def main():
        replicas = FakeReplicas("a", "b", "c")
        replicas.leader = "a"
        gateway = gateway_of(replicas, "a", "b", "c")
        await curio.spawn(gateway.track_leader, daemon=True)
        for gone, new in (("a", "d"), ("b", "e"), ("c", "f")):
            await gateway.call(STATE, 2_000)
            replicas.unresponsive.add(gone)
            del replicas.members[gone]
            replicas.members[new] = f"at-{new}"
            replicas.leader = new
            assert (await gateway.call(STATE, 2_000)).outcome == "done"
            async with curio.ignore_after(2):
                while set(gateway.replicas) != set(replicas.members):
                    await curio.sleep(0.005)
            assert set(gateway.replicas) == set(replicas.members)
        assert gateway.leader == "f"

    run(main)
