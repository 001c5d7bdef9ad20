"""Claims idempotency keys in batches: one commit for all pending claims."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import messages

MAX_KEYS_PER_CLAIM = 256
MAX_PENDING_RELEASES = 10_000
RETRY_PERIOD_MS = 50
RELEASE_TIMEOUT_MS = 1_000

ClaimFunction = Callable[
    [tuple[messages.KeyClaim, ...], tuple[messages.KeyClaim, ...]],
    Awaitable[tuple[bool, ...]],
]


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    """A key that waits for its claim to be committed."""

    claim: messages.KeyClaim
    deadline_ms: int
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    granted: bool = False
    expired: bool = False


@dataclasses.dataclass(slots=True)
class _PendingRelease:
    """A claim that waits for its release to be committed."""

    claim: messages.KeyClaim
    done: curio.Event = dataclasses.field(default_factory=curio.Event)


class Claimant:
    """Claims keys; concurrent claims share one commit.

    A claim without a reply, for example because the leader failed, is resent
    with the same token until its request's deadline. A claim that timed out,
    or whose request was not run after all, is released, so that the caller can
    use the key again.

    Attributes:
      claim_keys: Commits claims and releases; returns whether each claim was
        granted.
    """

    def __init__(
        self, claim_keys: ClaimFunction, clock: clock_lib.Clock
    ) -> None:
        self.claim_keys = claim_keys
        self._clock = clock
        self._pending_claims: list[_PendingClaim] = []
        self._pending_releases: dict[str, _PendingRelease] = {}
        self._running = False

    async def claim(self, claim: messages.KeyClaim, deadline_ms: int) -> bool:
        """Claims a key; returns whether the committed claim was granted.

        Args:
          claim: The key and the request's token.
          deadline_ms: Monotonic time after which the claim times out.

        Raises:
          errors.NoQuorumError: The claim timed out and is being released.
        """
        pending = _PendingClaim(claim, deadline_ms)
        self._pending_claims.append(pending)
        await self._start()
        await pending.done.wait()
        if pending.expired:
            raise errors.NoQuorumError("the key could not be claimed in time")
        return pending.granted

    async def release(self, claim: messages.KeyClaim) -> None:
        """Releases a key whose request certainly was not run.

        Returns once the release is committed, but after `RELEASE_TIMEOUT_MS` at
        the latest; attempts to commit it then continue.
        """
        pending = self._add_release(claim)
        await self._start()
        await curio.ignore_after(
            clock_lib.seconds(RELEASE_TIMEOUT_MS), pending.done.wait
        )

    def _add_release(self, claim: messages.KeyClaim) -> _PendingRelease:
        pending = _PendingRelease(claim)
        self._pending_releases[claim.token] = pending
        while len(self._pending_releases) > MAX_PENDING_RELEASES:
            del self._pending_releases[next(iter(self._pending_releases))]
        return pending

    async def _start(self) -> None:
        if not self._running:
            self._running = True
            await curio.spawn(self._run, daemon=True)

    async def _run(self) -> None:
        try:
            while self._pending_claims or self._pending_releases:
                if not await self._send_batch():
                    await self._expire()
                    await curio.sleep(clock_lib.seconds(RETRY_PERIOD_MS))
        finally:
            self._running = False

    async def _send_batch(self) -> bool:
        batch = self._pending_claims[:MAX_KEYS_PER_CLAIM]
        released = list(self._pending_releases.values())[:MAX_KEYS_PER_CLAIM]
        claims = tuple(pending.claim for pending in batch)
        try:
            granted = await self.claim_keys(
                claims, tuple(pending.claim for pending in released)
            )
        except errors.GalenahookError:
            return False
        del self._pending_claims[: len(batch)]
        for release in released:
            self._pending_releases.pop(release.claim.token, None)
            await release.done.set()
        for pending, is_granted in zip(batch, granted, strict=True):
            pending.granted = is_granted
            await pending.done.set()
        return True

    async def _expire(self) -> None:
        now_ms = self._clock.monotonic_ms()
        expired = [
            item for item in self._pending_claims if item.deadline_ms <= now_ms
        ]
        for pending in expired:
            self._pending_claims.remove(pending)
            pending.expired = True
            self._add_release(pending.claim)
            await pending.done.set()
