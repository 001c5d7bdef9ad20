"""Search for the leader, and calls without a leader."""

import curio
import pytest

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import job_metrics
from galenahook import messages
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
