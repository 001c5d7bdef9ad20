"""An entry's client of the leader, which finds the leader after elections."""

from typing import Any
from typing import TypeVar

from galenahook import clock as clock_lib
from galenahook import defaults
from galenahook import errors
from galenahook import messages
from galenahook import web

_ReplyT = TypeVar("_ReplyT")

STATUS_NOT_LEADER = 421
STATUS_NO_QUORUM = 503


class LeaderClient:
    """Sends messages to the replica that currently leads.

    Attributes:
      replicas: Address of each replica by name.
      leader: Name of the replica that is tried first.
    """

    def __init__(
        self,
        replicas: dict[str, str],
        client: web.ControlClient,
        clock: clock_lib.Clock,
    ) -> None:
        self.replicas = replicas
        self.leader = next(iter(replicas))
        self._client = client
        self._clock = clock

    async def post(
        self,
        target: str,
        message: Any,
        reply_type: type[_ReplyT],
        timeout_ms: int = defaults.CONTROL_TIMEOUT_MS,
    ) -> _ReplyT:
        """Posts one message to the leader and returns its reply.

        The message may reach more than one replica, but only the leader acts
        on it. A message whose reply was lost is not sent again.

        Raises:
          errors.NoQuorumError: No leader answered in time.
          errors.ExchangeError: The leader may have received the message, but
            no reply came.
        """
        request = web.Request(
            "POST",
            target,
            [(b"content-type", b"application/json")],
            messages.encode(message),
        )
        response = await self.send(request, timeout_ms)
        if response.status == STATUS_NO_QUORUM:
            raise errors.NoQuorumError(response.body.decode("utf-8"))
        if response.status != 200:
            raise errors.ExchangeError(
                f"{target}: status {response.status}", sent=True
            )
        return messages.decode(response.body, reply_type)

    async def send(self, request: web.Request, timeout_ms: int) -> web.Response:
        """Sends one request to the leader and returns its response.

        Raises:
          errors.NoQuorumError: No leader answered in time.
          errors.ExchangeError: The leader may have received the request, but
            no response came.
        """
        request.headers = [*self._client.headers, *request.headers]
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        for _ in range(2 * len(self.replicas)):
            left_ms = deadline_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                break
            response = await self._send_once(request, left_ms)
            if response is not None:
                return response
        raise errors.NoQuorumError("no leader found among the replicas")

    async def _send_once(
        self, request: web.Request, timeout_ms: int
    ) -> web.Response | None:
        tried = self.leader
        address = self.replicas[tried]
        try:
            response = await self._client.send(address, request, timeout_ms)
        except errors.ExchangeError as error:
            self._try_next(tried)
            if error.sent:
                raise
            return None
        if response.status != STATUS_NOT_LEADER:
            return response
        hint = messages.decode(response.body, messages.NotLeader).leader
        if hint in self.replicas and hint != tried:
            self.leader = hint
        else:
            self._try_next(tried)
        return None

    def _try_next(self, tried: str) -> None:
        if self.leader != tried:
            return
        names = list(self.replicas)
        self.leader = names[(names.index(tried) + 1) % len(names)]
