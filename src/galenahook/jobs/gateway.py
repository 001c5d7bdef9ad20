"""Sends calls about jobs to the leader and retries them until a reply arrives.

One task searches for the leader and calls wait for its result, so that waiting
callers cause no requests while there is no leader. Every call is idempotent:
one whose reply was lost is sent again.
"""

from collections.abc import Callable
from typing import Any

import curio
import expression

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import findings as findings_lib
from galenahook import job_metrics
from galenahook import leader_client
from galenahook import logs
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.jobs import calls
from galenahook.replicas import notify

SettingsReader = Callable[
    [], expression.Result[Any, list[findings_lib.Finding]]
]

JOBS_TARGET = "/v1/jobs/call"
# Timeout of a request to the leader, after which a new search begins.
ATTEMPT_MS = 900
# Timeout of a request to each replica during a search.
SEARCH_TIMEOUT_MS = 400
# Time between two searches, and between two polls of a known leader.
SEARCH_PERIOD_MS = 100
POLL_PERIOD_MS = 500
# Time without a leader between two reloads of the settings.
RELOAD_PERIOD_MS = 2_000
# Pause before a retry of a call that the leader may or may not have committed.
UNCERTAIN_PAUSE_MS = 100

# Refusals of one attempt that say nothing about an earlier one, whose change
# may be committed. Others don't depend on the time of the attempt.
_UNCERTAIN_REFUSALS = frozenset(("overloaded", "no-queue"))


class UnansweredError(errors.NoQuorumError):
    """No leader replied to a call in time, or not to every attempt.

    Attributes:
      may_have_run: Whether a leader may have received the call.
    """

    def __init__(self, reason: str, may_have_run: bool) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run


class Gateway:
    """Sends calls to the leader.

    Attributes:
      name: Name of this process, for the leader's logs.
      replicas: Address of each known replica by name.
      leader: Name of the leader; empty while it is not known.
      version: Version of the site's configuration as last polled.
      polled_ms: When the leader last replied to a poll; None before.
    """

    def __init__(
        self,
        name: str,
        replicas: dict[str, str],
        client: web.ControlClient,
        clock: clock_lib.Clock,
        metrics: job_metrics.JobMetrics,
        read_settings: SettingsReader,
    ) -> None:
        self.name = name
        self.replicas = replicas
        self.leader = ""
        self.version = 0
        self.polled_ms: int | None = None
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._read_settings = read_settings
        self._reloaded_ms = clock.monotonic_ms()
        self._found = notify.Signal()
        self._lost = notify.Signal()

    async def call(
        self, call: calls.JobCall, timeout_ms: int
    ) -> calls.JobReply:
        """Sends a call to the leader and returns the reply.

        Raises:
          UnansweredError: No reply arrived in time.
        """
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        body = messages.encode(call)
        may_have_run = False
        reason = "no leader is known"
        while True:
            left_ms = deadline_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                raise UnansweredError(reason, may_have_run)
            if not self.leader:
                await self._found.wait(left_ms)
                continue
            name = self.leader
            try:
                response = await self._post(
                    self.replicas[name], body, min(left_ms, ATTEMPT_MS)
                )
                reply = _decode_reply(name, response)
            except errors.ExchangeError as error:
                may_have_run = may_have_run or error.sent
                reason = str(error)
                await self._drop_leader(name, reason)
                continue
            if reply is not None:
                if (
                    may_have_run
                    and reply.outcome in _UNCERTAIN_REFUSALS
                    and not isinstance(call, calls.JobStateCall)
                ):
                    raise UnansweredError(
                        f"{reply.outcome} after an attempt without a reply",
                        may_have_run,
                    )
                return reply
            reason = f"{name}: status {response.status}"
            if response.status == leader_client.STATUS_NOT_LEADER:
                await self._drop_leader(name, "it does not lead")
            else:
                may_have_run = True
                await curio.sleep(clock_lib.seconds(UNCERTAIN_PAUSE_MS))

    async def _post(
        self, address: str, body: bytes, timeout_ms: int
    ) -> web.Response:
        headers = [(b"content-type", b"application/json")]
        request = web.Request("POST", JOBS_TARGET, headers, body)
        return await self._client.send(address, request, timeout_ms)

    async def _drop_leader(self, name: str, reason: str) -> None:
        """Records that a replica is not the leader or does not reply."""
        if self.leader == name:
            self.leader = ""
            self._metrics.leader_losses.inc()
            logs.info("leader:lost", leader=name, reason=reason)
            await self._lost.notify()

    async def track_leader(self) -> None:
        """Searches for the leader and polls it until cancelled."""
        body = messages.encode(calls.EntryPoll(entry=self.name))
        while True:
            if self.leader:
                reason = await self._poll(self.leader, body, ATTEMPT_MS)
                if reason:
                    await self._drop_leader(self.leader, reason)
            else:
                await self._search(body)
            if self.leader:
                self._reloaded_ms = self._clock.monotonic_ms()
                await self._lost.wait(POLL_PERIOD_MS)
            else:
                self._reload_if_due()
                await curio.sleep(clock_lib.seconds(SEARCH_PERIOD_MS))

    def _reload_if_due(self) -> None:
        """Reloads the seeds, as every known replica may have been replaced."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._reloaded_ms >= RELOAD_PERIOD_MS:
            self._reloaded_ms = now_ms
            self.reload_seeds()

    async def _search(self, body: bytes) -> None:
        """Asks all replicas concurrently whether they lead."""
        async with curio.TaskGroup() as group:
            for name in list(self.replicas):
                await group.spawn(self._poll, name, body, SEARCH_TIMEOUT_MS)
            async for _ in group:
                if self.leader:
                    break

    async def _poll(self, name: str, body: bytes, timeout_ms: int) -> str:
        """Polls a replica; returns why it is not the leader, or "" if it is."""
        address = self.replicas.get(name, "")
        try:
            response = await self._post(address, body, timeout_ms)
            reply = _decode_reply(name, response)
        except errors.ExchangeError as error:
            return str(error)
        if reply is None:
            return f"status {response.status}"
        if reply.outcome != "done":
            self.replicas.update(reply.replicas)
            return "it does not lead"
        self.version = reply.version
        self.polled_ms = self._clock.monotonic_ms()
        self._replace_replicas(reply.replicas, name)
        if self.leader != name:
            self.leader = name
            logs.info("leader:found", leader=name, version=reply.version)
            await self._found.notify()
        return ""

    def _replace_replicas(self, replicas: dict[str, str], leader: str) -> None:
        """Replaces the known replicas by the current members and the leader."""
        address = self.replicas[leader]
        self.replicas.clear()
        self.replicas.update(replicas)
        self.replicas.setdefault(leader, address)

    def reload_seeds(self) -> None:
        """Adds the seeds of reloaded settings; ignores invalid settings."""
        result = self._read_settings()
        if result.is_error():
            logs.error(
                "settings:invalid",
                findings=[str(item) for item in result.error],
            )
            return
        settings = result.ok
        seeds = settings_lib.peer_addresses(settings.seeds, settings.peer_port)
        self.replicas.update(seeds)
        logs.info("settings:reloaded", seeds=sorted(seeds))


def _decode_reply(name: str, response: web.Response) -> calls.JobReply | None:
    """Decodes a reply; returns None for another status than 200.

    Raises:
      errors.ExchangeError: The reply is malformed.
    """
    if response.status != 200:
        return None
    try:
        return messages.decode(response.body, calls.JobReply)
    except errors.InvalidInputError as error:
        raise errors.ExchangeError(f"{name}: {error}", sent=True) from error
