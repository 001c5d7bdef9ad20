"""An operator: changes with numbers and base revisions, resent when lost."""

import dataclasses

import curio
import msgspec

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import web

TIMEOUT_MS = 5_000
RETRY_MS = 100


class Revision(msgspec.Struct):
    """The part of the answer of `GET /v1/revision` that operators need."""

    revision: int


class ChangeBody(msgspec.Struct, frozen=True):
    """Body of `POST /v1/changes`."""

    number: int
    base_revision: int
    change: commands.Change


@dataclasses.dataclass(slots=True)
class Answer:
    """What an operator saw of one request.

    Attributes:
      status: Status, 0 without an answer.
      body: Body of the answer.
      sent_ms: Monotonic time at which it was sent.
      answered_ms: Monotonic time of the answer.
    """

    status: int
    body: bytes
    sent_ms: int
    answered_ms: int

    def revision(self) -> int:
        """Returns the revision in the answer, 0 if it has none."""
        try:
            return msgspec.json.decode(self.body, type=Revision).revision
        except msgspec.MsgspecError:
            return 0


class FakeOperator:
    """An operator who works at any of the entries.

    Attributes:
      name: Name that the token belongs to.
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
    ) -> Answer:
        """Sends one request to one entry, on a connection of its own."""
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
            return Answer(0, text, sent_ms, self._clock.monotonic_ms())
        now_ms = self._clock.monotonic_ms()
        return Answer(response.status, response.body, sent_ms, now_ms)

    async def revision(self, entry: int = 0) -> int:
        """Returns the revision in force, 0 when there is no answer."""
        answer = await self.request("GET", "/v1/revision", entry=entry)
        return answer.revision()

    async def change(
        self,
        change: commands.Change,
        *,
        number: int,
        base_revision: int,
        entry: int = 0,
        timeout_ms: int = TIMEOUT_MS,
    ) -> Answer:
        """Sends one change once."""
        body = msgspec.json.encode(ChangeBody(number, base_revision, change))
        return await self.request(
            "POST", "/v1/changes", body, entry=entry, timeout_ms=timeout_ms
        )

    async def apply(
        self, change: commands.Change, timeout_ms: int = 15_000
    ) -> Answer:
        """Makes a change on the revision in force, resending until answered.

        A lost answer is resent with the same number and content to the next
        entry; a conflict is tried again on the newer revision with a new one.
        """
        end_ms = self._clock.monotonic_ms() + timeout_ms
        base_revision = -1
        entry = 0
        while True:
            if base_revision < 0:
                seen = await self.request("GET", "/v1/revision", entry=entry)
                base_revision = seen.revision() if seen.status == 200 else -1
                answer = seen
            if base_revision >= 0:
                answer = await self.change(
                    change,
                    number=self.number,
                    base_revision=base_revision,
                    entry=entry,
                )
            if answer.status in (200, 422) and base_revision >= 0:
                self.number += 1
                return answer
            if answer.status == 409:
                self.number += 1
                base_revision = -1
            if self._clock.monotonic_ms() > end_ms:
                return answer
            entry = (entry + 1) % len(self.entries)
            await curio.sleep(clock_lib.seconds(RETRY_MS))
