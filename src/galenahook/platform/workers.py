"""Client of one worker, in the platform's protocol."""

from galenahook import errors
from galenahook import logs
from galenahook import web
from galenahook.jobs import calls
from galenahook.jobs import worker_api
from galenahook.platform import wire
from galenahook.platform import wire_workers

_START = "/galenahook/run-start"
_STOP = "/galenahook/run-stop"
_LOOK = "/galenahook/hold"
_THROTTLE = "/galenahook/pace"
# An order takes a few milliseconds; the rest is for a stalled connection.
ORDER_TIMEOUT_MS = 1_000
# Added to the wait that a look asks for.
LOOK_MARGIN_MS = 700


class PlatformWorker(worker_api.WorkerClient):
    """Sends orders to one incarnation of a worker.

    Attributes:
      address: `host:port` of the worker.
    """

    def __init__(
        self, heartbeat: calls.WorkerHeartbeat, client: web.ControlClient
    ) -> None:
        self.address = heartbeat.address
        self._name = heartbeat.worker
        self._client = client
        self._headers: web.Headers = [
            (b"content-type", b"application/json"),
            (b"x-expect-instance", heartbeat.worker.encode("ascii", "replace")),
        ]

    async def _post(
        self, target: str, body: bytes, timeout_ms: int
    ) -> web.Response:
        request = web.Request("POST", target, list(self._headers), body)
        return await self._client.send(self.address, request, timeout_ms)

    async def start(
        self, order: worker_api.StartOrder
    ) -> tuple[worker_api.StartAnswer, str]:
        """Orders a start; returns the answer and the reason for the log."""
        body = wire_workers.start_body(order)
        try:
            response = await self._post(_START, body, ORDER_TIMEOUT_MS)
        except errors.ExchangeError as error:
            if not error.sent:
                return worker_api.StartAnswer.UNHEALTHY, str(error)
            return worker_api.StartAnswer.UNKNOWN, str(error)
        try:
            return wire_workers.start_answer(response.status, response.body)
        except errors.InvalidInputError as error:
            return worker_api.StartAnswer.UNKNOWN, str(error)

    async def stop(self, task: str, run: int, term: int) -> bool:
        """Orders a stop; True once that run can't start there any more.

        Raises:
          worker_api.DeposedError: A later leader gives orders there.
        """
        body = wire_workers.stop_body(task, run, term)
        try:
            response = await self._post(_STOP, body, ORDER_TIMEOUT_MS)
            self._check_fence(response)
        except (errors.ExchangeError, errors.InvalidInputError) as error:
            logs.warning(
                "worker:stop-unanswered",
                worker=self._name,
                task=task,
                run=run,
                reason=str(error),
            )
            return False
        return response.status == 200

    async def look(
        self, term: int, acknowledged: int, lease_until_ms: int, wait_ms: int
    ) -> worker_api.Lists:
        """Renews the lease, acknowledges ends and lists runs.

        Raises:
          errors.ExchangeError: No answer came, or one that can't be read.
          worker_api.DeposedError: A later leader gives orders there.
          worker_api.ReplacedError: Another incarnation answered.
        """
        body = wire_workers.look_body(
            term, acknowledged, lease_until_ms, wait_ms
        )
        response = await self._post(_LOOK, body, wait_ms + LOOK_MARGIN_MS)
        try:
            self._check_fence(response)
            if response.status == 421:
                raise worker_api.ReplacedError(self._name)
            if response.status != 200:
                raise errors.ExchangeError(
                    f"{self._name}: status {response.status}", sent=True
                )
            return wire_workers.lists(response.body)
        except errors.InvalidInputError as error:
            raise errors.ExchangeError(str(error), sent=True) from error

    async def throttle(
        self, task: str, run: int, percent: int, term: int
    ) -> bool:
        """Lets a run work at a share of its speed; False without an answer."""
        body = wire_workers.throttle_body(task, run, percent, term)
        try:
            response = await self._post(_THROTTLE, body, ORDER_TIMEOUT_MS)
        except errors.ExchangeError as error:
            logs.warning(
                "worker:throttle-unanswered",
                worker=self._name,
                task=task,
                run=run,
                reason=str(error),
            )
            return False
        return response.status in (200, 409)

    def _check_fence(self, response: web.Response) -> None:
        if response.status != 409:
            return
        if wire.decode(response.body, wire_workers.Answer).reason == "fence":
            raise worker_api.DeposedError(self._name)

    async def close(self) -> None:
        """Leaves the connections to the shared client, which ages them."""
