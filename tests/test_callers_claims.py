"""Claims of idempotency keys: resent, refused, released."""

import curio
import pytest

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook.callers import claimant as claimant_lib
from galenahook.callers import claims as claims_lib

HOLD = messages.KeyClaim(key="holds:table-4", token="first")
RESENT = messages.KeyClaim(key="holds:table-4", token="second")


class LossyLeader:
    """Applies claims to a table and loses the first answers."""

    def __init__(self, answers_lost: int) -> None:
        self.table = claims_lib.ClaimTable()
        self.answers_lost = answers_lost

    async def claim_keys(
        self,
        claims: tuple[messages.KeyClaim, ...],
        released: tuple[messages.KeyClaim, ...],
    ) -> tuple[bool, ...]:
        result = self.table.claim(
            commands.ClaimKeys(
                entry="e1", claims=claims, released=released, at_ms=1
            )
        )
        if self.answers_lost:
            self.answers_lost -= 1
            raise errors.ExchangeError("answer lost", sent=True)
        return result.granted


def claim_all(
    leader: LossyLeader, *claims: messages.KeyClaim, within_ms: int = 5_000
) -> list[bool]:
    async def run() -> list[bool]:
        clock = clock_lib.Clock()
        claimant = claimant_lib.Claimant(leader.claim_keys, clock)
        end_ms = clock.monotonic_ms() + within_ms
        return [await claimant.claim(claim, end_ms) for claim in claims]

    return curio.run(run)


def test_second_request_of_a_key_is_refused() -> None:
    assert claim_all(LossyLeader(0), HOLD, RESENT) == [True, False]


def test_lost_answer_of_a_claim_does_not_burn_the_key() -> None:
    assert claim_all(LossyLeader(2), HOLD, RESENT) == [True, False]


def test_claim_given_up_is_released() -> None:
    leader = LossyLeader(3)

    async def run() -> bool:
        clock = clock_lib.Clock()
        claimant = claimant_lib.Claimant(leader.claim_keys, clock)
        with pytest.raises(errors.NoQuorumError):
            await claimant.claim(HOLD, clock.monotonic_ms())
        return await claimant.claim(RESENT, clock.monotonic_ms() + 5_000)

    assert curio.run(run)


def test_release_frees_the_key_of_its_own_request_only() -> None:
    leader = LossyLeader(0)

    async def run() -> list[bool]:
        clock = clock_lib.Clock()
        claimant = claimant_lib.Claimant(leader.claim_keys, clock)
        end_ms = clock.monotonic_ms() + 5_000
        results = [await claimant.claim(HOLD, end_ms)]
        await claimant.release(RESENT)
        results.append(await claimant.claim(RESENT, end_ms))
        await claimant.release(HOLD)
        results.append(await claimant.claim(RESENT, end_ms))
        return results

    assert curio.run(run) == [True, False, True]
