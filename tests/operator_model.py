"""Model of a leader without peers, and of operators that use its relay."""

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


class ModelNode(scheduling_model.FakeNode):
    """A replica without peers, with the status that operators see.

    Attributes:
      is_stalled: While true, no command is committed.
      failure: Error that every submitted command raises, if any.
    """

    def __init__(self) -> None:
        super().__init__()
        self.name = "replica-1"
        self.is_stalled = False
        self.failure: errors.GalenahookError | None = None

    async def submit(self, command: Any) -> Any:
        """Applies a command at once, unless commits are stalled."""
        if self.failure is not None:
            raise self.failure
        if self.is_stalled:
            await curio.sleep(60)
        return await super().submit(command)

    def status(self) -> Any:
        """Returns the status of a group of one voter and one learner."""
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
    """An entry's client of the leader, which can lose responses.

    Attributes:
      responses_to_lose: Number of responses to lose after the leader has
        handled the request.
      is_unreachable: While true, no request reaches the leader.
      requests: Requests that reached the leader.
    """

    def __init__(self, operators: handler.OperatorHandler) -> None:
        self.operators = operators
        self.responses_to_lose = 0
        self.is_unreachable = False
        self.requests: list[web.Request] = []

    async def send(self, request: web.Request, timeout_ms: int) -> web.Response:
        """Passes a request to the leader's handler."""
        if self.is_unreachable:
            await curio.sleep(clock_lib.seconds(timeout_ms))
            raise errors.ExchangeError("no response", sent=True)
        self.requests.append(request)
        response = await self.operators.handle(request)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise errors.ExchangeError("response lost", sent=True)
        return response


class ModelSite:
    """A leader and one entry's relay.

    Attributes:
      clock: The leader's clock, which tests move.
      node: The leader's replica.
      leader: The leader's state.
      link: The entry's client of the leader.
      relay: The entry's relay of operators' requests.
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

    async def request(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        token: str = TOKENS["ana"],
        content_type: bytes = b"application/json",
    ) -> web.Response:
        """Sends an operator's request; encodes a body as JSON unless bytes."""
        if body is not None and not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        authorization = f"Bearer {token}".encode("latin-1")
        headers = [
            (b"authorization", authorization),
            (b"content-type", content_type),
        ]
        request = web.Request(method, target, headers, body or b"")
        return await self.relay.handle(request)

    async def change(self, change: Any, **overrides: Any) -> web.Response:
        """Requests a change; `overrides` replaces fields or the token.

        It is based on the current revision by default.
        """
        revision = self.node.state.configuration.current.revision
        token = overrides.pop("token", TOKENS["ana"])
        body = {
            "number": revision + 1,
            "base_revision": revision,
            "change": change,
            **overrides,
        }
        return await self.request("POST", "/v1/changes", body, token=token)

    async def announce_upstreams(self) -> None:
        """Sends an entry's update that announces a worker and an executor."""
        await self.leader.update(
            builders.entry_update(
                announcements=(
                    builders.worker_announcement(),
                    builders.executor_announcement(),
                )
            )
        )
