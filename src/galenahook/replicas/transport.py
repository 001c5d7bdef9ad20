"""Requests between replicas."""

from typing import TypeVar

from galenahook import errors
from galenahook import messages
from galenahook import web

_ReplyT = TypeVar("_ReplyT")

APPEND_TARGET = "/v1/replicas/append"
VOTE_TARGET = "/v1/replicas/vote"
LEADERSHIP_TRANSFER_TARGET = "/v1/replicas/hand-over"
SNAPSHOT_TARGET = "/v1/replicas/snapshot"
BOOTSTRAP_TARGET = "/v1/replicas/found"
JOIN_TARGET = "/v1/replicas/join"
STOP_TARGET = "/v1/replicas/stop"
STATUS_TARGET = "/v1/replicas/status"

_HTTP_OK = 200


async def exchange(
    connection: web.ClientConnection,
    request: web.Request,
    reply_type: type[_ReplyT],
    timeout_ms: int,
) -> _ReplyT:
    """Sends a request on an open connection and returns the reply.

    Raises:
      errors.ExchangeError: No valid reply was received in time.
    """
    response = await connection.exchange(request, timeout_ms)
    if response.status != _HTTP_OK:
        text = response.body.decode("utf-8", "replace")
        raise errors.ExchangeError(f"{connection.address}: {text}", True)
    try:
        return messages.decode(response.body, reply_type)
    except errors.InvalidInputError as error:
        await connection.close()
        raise errors.ExchangeError(str(error), True) from error


def post(
    client: web.ControlClient, target: str, message: object
) -> web.Request:
    """Builds a request with a message and the site's key."""
    body = messages.encode(message)
    return web.Request("POST", target, list(client.headers), body)


async def call(
    client: web.ControlClient,
    address: str,
    request: web.Request,
    reply_type: type[_ReplyT],
    timeout_ms: int,
) -> _ReplyT:
    """Sends a request on a new connection and returns the reply.

    Raises:
      errors.ExchangeError: No valid reply was received in time.
    """
    connection = await web.connect(address, timeout_ms, client.clock)
    try:
        return await exchange(connection, request, reply_type, timeout_ms)
    finally:
        await connection.close()
