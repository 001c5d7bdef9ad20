"""A leader without peers, and operators who talk to it through a relay."""

import pathlib
import types
from typing import Any

import curio
import msgspec

import builders
from galenahook import audit
from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import leader as leader_lib
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.operators import handler
from galenahook.operators import relay
from galenahook.platform import metrics as metrics_lib
import scheduling_model

TOKENS = {"ana": "a" * 16, "bo": "b" * 16}


class ModelNode(scheduling_model.ManualNode):
    """A replica that is alone, with what operators see of it.

    Attributes:
      stalls: While true, nothing is committed.
      failure: What every commit raises, if anything.
    """

    def __init__(self) -> None:
        super().__init__()
        self.name = "replica-1"
        self.stalls = False
        self.failure: errors.GalenahookError | None = None

    async def submit(self, command: Any) -> Any:
        """Applies a command at once, unless it stalls."""
        if self.failure is not None:
            raise self.failure
        if self.stalls:
            await curio.sleep(60)
        return await super().submit(command)

    def status(self) -> Any:
        """Returns the group of one replica."""
        return types.SimpleNamespace(
            name=self.name,
            members=("replica-1=127.0.0.1:7000#f1",),
            learners=("replica-2=127.0.0.2:7000#f2",),
            peers=(
                types.SimpleNamespace(
                    name="replica-2", silent_ms=40, synced_index=3
                ),
            ),
            last_index=5,
        )


class ModelLeaderClient:
    """What an entry knows of the leader; loses answers when told to.

    Attributes:
      lose_answers: Answers still to be lost after they were made.
      silent: While true, requests reach nobody.
      requests: Requests that reached the leader.
    """

    def __init__(self, operators: handler.OperatorHandler) -> None:
        self.operators = operators
        self.lose_answers = 0
        self.silent = False
        self.requests: list[web.Request] = []

    async def send(self, request: web.Request, timeout_ms: int) -> web.Response:
        """Hands a request to the leader."""
        if self.silent:
            await curio.sleep(clock_lib.seconds(timeout_ms))
            raise errors.ExchangeError("no answer", sent=True)
        self.requests.append(request)
        response = await self.operators.handle(request)
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.ExchangeError("answer lost", sent=True)
        return response


class ModelSite:
    """A leader and one entry's relay.

    Attributes:
      clock: The leader's clock, which tests move.
      node: The leader's replica.
      leader: What the leader knows.
      link: The way from the entry to the leader.
      relay: The entry's side.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.clock = scheduling_model.ManualClock()
        self.node = ModelNode()
        timing = settings_lib.Timing()
        node: Any = self.node
        client = web.ControlClient(self.clock, [])
        metrics = metrics_lib.Metrics("", "replica-1")
        self.leader = leader_lib.Leader(
            node, client, timing, self.clock, metrics
        )
        tokens_file = folder / "operators.json"
        tokens_file.write_bytes(msgspec.json.encode(TOKENS))
        trail = audit.AuditTrail(str(folder))
        self.link = ModelLeaderClient(
            handler.OperatorHandler(self.leader, trail, timing, self.clock)
        )
        self.relay = relay.OperatorRelay(
            self.link, str(tokens_file), clock_lib.Clock()
        )

    async def ask(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        token: str = TOKENS["ana"],
        content_type: bytes = b"application/json",
    ) -> web.Response:
        """Asks as an operator; a body that is not bytes goes as JSON."""
        if body is not None and not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        authorization = f"Bearer {token}".encode("latin-1")
        headers = [
            (b"authorization", authorization),
            (b"content-type", content_type),
        ]
        request = web.Request(method, target, headers, body or b"")
        return await self.relay.handle(request)

    async def change(self, change: Any, **asked: Any) -> web.Response:
        """Asks for a change on the current revision unless told otherwise."""
        revision = self.node.state.configuration.current.revision
        token = asked.pop("token", TOKENS["ana"])
        body = {
            "number": revision + 1,
            "base_revision": revision,
            "change": change,
            **asked,
        }
        return await self.ask("POST", "/v1/changes", body, token=token)

    async def hear_from_upstreams(self) -> None:
        """Lets an entry, a worker and an executor announce themselves."""
        await self.leader.update(
            builders.entry_update(
                announcements=(
                    builders.worker_announcement(),
                    builders.executor_announcement(),
                )
            )
        )
