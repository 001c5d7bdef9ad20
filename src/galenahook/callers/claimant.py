"""Claims idempotency keys in groups: one commit for all that wait."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import curio

from galenahook import errors

MAX_KEYS_PER_CLAIM = 256

ClaimFunction = Callable[[tuple[str, ...]], Awaitable[tuple[bool, ...]]]


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    """A key that waits for its claim to be committed."""

    key: str
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    granted: bool = False
    error: errors.GalenahookError | None = None


class Claimant:
    """Claims keys; concurrent claims share one commit.

    Attributes:
      claim_keys: Commits a claim and tells which keys were free.
    """

    def __init__(self, claim_keys: ClaimFunction) -> None:
        self.claim_keys = claim_keys
        self._pending: list[_PendingClaim] = []
        self._running = False

    async def claim(self, key: str) -> bool:
        """Returns whether this claim of the key is the first, committed.

        Raises:
          errors.GalenahookError: It is not known whether it was committed.
        """
        pending = _PendingClaim(key)
        self._pending.append(pending)
        if not self._running:
            self._running = True
            await curio.spawn(self._run, daemon=True)
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error
        return pending.granted

    async def _run(self) -> None:
        try:
            while self._pending:
                batch = self._pending[:MAX_KEYS_PER_CLAIM]
                del self._pending[:MAX_KEYS_PER_CLAIM]
                await self._claim_batch(batch)
        finally:
            self._running = False

    async def _claim_batch(self, batch: list[_PendingClaim]) -> None:
        keys = tuple(pending.key for pending in batch)
        try:
            granted = await self.claim_keys(keys)
            for pending, is_granted in zip(batch, granted, strict=True):
                pending.granted = is_granted
        except Exception as error:  # Any failure leaves the claims unknown.
            for pending in batch:
                pending.error = errors.NoQuorumError(f"claim: {error}")
        for pending in batch:
            await pending.done.set()
