"""Client for one worker, in the platform's protocol."""

from collections.abc import Callable

import curio

from galenahook import errors
from galenahook import logs
from galenahook import web
from galenahook.jobs import calls
from galenahook.jobs import worker_api
from galenahook.platform import wire
from galenahook.platform import wire_workers

_START_PATH = "/galenahook/run-start"
_STOP_PATH = "/galenahook/run-stop"
_POLL_PATH = "/galenahook/hold"
_THROTTLE_PATH = "/galenahook/pace"
# Orders take a few milliseconds; the remainder tolerates a stalled connection.
ORDER_TIMEOUT_MS = 1_000
# Added to the wait time that a poll requests.
POLL_TIMEOUT_MARGIN_MS = 700
# Timeout of a poll without a wait time, which a slow worker is sent. Several of
# them fit into a lease.
SLOW_POLL_TIMEOUT_MS = 2_500


class PlatformWorkerClient(worker_api.WorkerClient):
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
        self._may_order: Callable[[], bool] | None = None
        self._headers: web.Headers = [
            (b"content-type", b"application/json"),
            (b"x-expect-instance", heartbeat.worker.encode("ascii", "replace")),
        ]

    def require(self, may_order: Callable[[], bool]) -> None:
        """Sets the permission that is checked right before each message."""
        self._may_order = may_order

    async def _post(
        self, target: str, body: bytes, timeout_ms: int
    ) -> web.Response:
        request = web.Request("POST", target, list(self._headers), body)
        return await self._client.send(
            self.address, request, timeout_ms, self._may_order
        )

    async def start(
        self, order: worker_api.StartOrder
    ) -> tuple[worker_api.StartAnswer, str]:
        """Orders a start; returns the answer and a reason for the log."""
        body = wire_workers.encode_start(order)
        try:
            response = await self._post(_START_PATH, body, ORDER_TIMEOUT_MS)
        except errors.ExchangeError as error:
            if not error.sent:
                return worker_api.StartAnswer.UNHEALTHY, str(error)
            if not isinstance(error.__cause__, curio.TaskTimeout):
                return worker_api.StartAnswer.BROKEN_OFF, str(error)
            return worker_api.StartAnswer.UNKNOWN, str(error)
        try:
            return wire_workers.decode_start_response(
                response.status, response.body, order.min_clock_ms
            )
        except errors.InvalidInputError as error:
            return worker_api.StartAnswer.UNKNOWN, str(error)

    async def stop(self, task: str, run: int, fence: int) -> bool:
        """Orders a stop; returns True if the run can no longer start there.

        Raises:
          worker_api.DeposedError: The worker has seen a higher fencing token.
        """
        body = wire_workers.encode_stop(task, run, fence)
        try:
            response = await self._post(_STOP_PATH, body, ORDER_TIMEOUT_MS)
            self._check_not_deposed(response)
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

    async def poll(
        self, fence: int, acknowledged: int, lease_until_ms: int, wait_ms: int
    ) -> worker_api.PollReply:
        """Renews the lease, acknowledges ends and lists the worker's runs.

        Raises:
          errors.ExchangeError: The response is missing, malformed or an error.
          worker_api.DeposedError: The worker has seen a higher fencing token.
          worker_api.ReplacedError: Another worker answered.
        """
        body = wire_workers.encode_poll(
            fence, acknowledged, lease_until_ms, wait_ms
        )
        timeout_ms = SLOW_POLL_TIMEOUT_MS
        if wait_ms:
            timeout_ms = wait_ms + POLL_TIMEOUT_MARGIN_MS
        response = await self._post(_POLL_PATH, body, timeout_ms)
        try:
            self._check_not_deposed(response)
            if response.status == 421:
                raise worker_api.ReplacedError(self._name)
            if response.status != 200:
                raise errors.ExchangeError(
                    f"{self._name}: status {response.status}", sent=True
                )
            return wire_workers.decode_lists(response.body)
        except errors.InvalidInputError as error:
            raise errors.ExchangeError(str(error), sent=True) from error

    async def throttle(
        self, task: str, run: int, percent: int, fence: int
    ) -> bool:
        """Throttles a run; returns whether the worker applied or refused it."""
        body = wire_workers.encode_throttle(task, run, percent, fence)
        try:
            response = await self._post(_THROTTLE_PATH, body, ORDER_TIMEOUT_MS)
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

    def _check_not_deposed(self, response: web.Response) -> None:
        if response.status != 409:
            return
        if (
            wire.decode(response.body, wire_workers.OrderResponse).reason
            == "fence"
        ):
            raise worker_api.DeposedError(self._name)

    async def close(self) -> None:
        """Does nothing; the shared client owns the connections."""
