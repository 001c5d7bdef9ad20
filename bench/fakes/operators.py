"""A fake operator, who resends changes whose replies are lost."""

import dataclasses

import curio
import msgspec

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import web

TIMEOUT_MS = 5_000
RETRY_DELAY_MS = 100


class RevisionReply(msgspec.Struct):
    """The field of the reply to `GET /v1/revision` that operators need."""

    revision: int


class ChangeBody(msgspec.Struct, frozen=True):
    """Body of `POST /v1/changes`."""

    number: int
    base_revision: int
    change: commands.Change


@dataclasses.dataclass(slots=True)
class OperatorReply:
    """The reply to one request of an operator.

    Attributes:
      status: Status, 0 without a reply.
      body: Body of the reply, or the error without one.
      sent_ms: Monotonic time at which it was sent.
      received_ms: Monotonic time of the reply or the error.
    """

    status: int
    body: bytes
    sent_ms: int
    received_ms: int

    def revision(self) -> int:
        """Returns the revision in the reply, 0 if it has none."""
        try:
            return msgspec.json.decode(self.body, type=RevisionReply).revision
        except msgspec.MsgspecError:
            return 0


class FakeOperator:
    """An operator that sends requests to any of the entries.

    Attributes:
      name: Name to which the token belongs.
      entries: Address of each entry's `operators` listener.
      number: Number of the next change.
    """

    def __init__(self, name: str, token: str, entries: list[str]) -> None:
        self.name = name
        self.token = token
        self.entries = entries
        self.number = 1
        self._clock = clock_lib.Clock()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        entry: int = 0,
        content_type: bytes = b"application/json",
        timeout_ms: int = TIMEOUT_MS,
    ) -> OperatorReply:
        """Sends one request to one entry on a new connection."""
        headers = [
            (b"authorization", f"Bearer {self.token}".encode("ascii")),
            (b"content-type", content_type),
        ]
        sent_ms = self._clock.monotonic_ms()
        try:
            connection = await web.connect(self.entries[entry])
            response = await connection.exchange(
                web.Request(method, target, headers, body), timeout_ms
            )
            await connection.close()
        except errors.ExchangeError as error:
            text = str(error).encode("utf-8")
            return OperatorReply(0, text, sent_ms, self._clock.monotonic_ms())
        now_ms = self._clock.monotonic_ms()
        return OperatorReply(response.status, response.body, sent_ms, now_ms)

    async def revision(self, entry: int = 0) -> int:
        """Returns the revision in force, 0 without a reply."""
        reply = await self.request("GET", "/v1/revision", entry=entry)
        return reply.revision()

    async def change(
        self,
        change: commands.Change,
        *,
        number: int,
        base_revision: int,
        entry: int = 0,
        timeout_ms: int = TIMEOUT_MS,
    ) -> OperatorReply:
        """Sends one change once."""
        body = msgspec.json.encode(ChangeBody(number, base_revision, change))
        return await self.request(
            "POST", "/v1/changes", body, entry=entry, timeout_ms=timeout_ms
        )

    async def apply(
        self, change: commands.Change, timeout_ms: int = 15_000
    ) -> OperatorReply:
        """Applies a change to the revision in force, resending until decided.

        Without a reply, the change is resent to the next entry with the same
        number; after a conflict, it is retried on the newer revision with a
        new number.
        """
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        base_revision = -1
        entry = 0
        while True:
            if base_revision < 0:
                revision_reply = await self.request(
                    "GET", "/v1/revision", entry=entry
                )
                base_revision = (
                    revision_reply.revision()
                    if revision_reply.status == 200
                    else -1
                )
                reply = revision_reply
            if base_revision >= 0:
                reply = await self.change(
                    change,
                    number=self.number,
                    base_revision=base_revision,
                    entry=entry,
                )
            if reply.status in (200, 422) and base_revision >= 0:
                self.number += 1
                return reply
            if reply.status == 409:
                self.number += 1
                base_revision = -1
            if self._clock.monotonic_ms() > deadline_ms:
                return reply
            entry = (entry + 1) % len(self.entries)
            await curio.sleep(clock_lib.seconds(RETRY_DELAY_MS))
