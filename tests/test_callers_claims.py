"""Claims of idempotency keys: at most once, also after claims are dropped."""

import uuid

from hypothesis import given
from hypothesis import strategies as st
import pytest

from galenahook import commands
from galenahook import messages
from galenahook.callers import claims as claims_lib

START_MS = 1_800_000_000_000
RETENTION_MS = claims_lib.RETENTION_MS
SKEW_MS = claims_lib.CLOCK_SKEW_MS


def dated_key(made_ms: int, number: int = 0) -> str:
    version_and_variant = (7 << 76) | (2 << 62)
    value = (made_ms << 80) | version_and_variant | number
    return f"prices:{uuid.UUID(int=value)}"


def claim(
    table: claims_lib.ClaimTable, at_ms: int, key: str, token: str = "t"
) -> bool:
    keys = (messages.KeyClaim(key=key, token=token),)
    command = commands.ClaimKeys(entry="e", claims=keys, at_ms=at_ms)
    return table.claim(command).granted[0]


def restored(table: claims_lib.ClaimTable) -> claims_lib.ClaimTable:
    copy = claims_lib.ClaimTable()
    for record in table.snapshot_records():
        copy.restore_record(record)
    return copy


# name: when the key was made, claimed and claimed again, and what came
TIMES = {
    "at once": (0, 0, 1, (True, False)),
    "late in the retention": (0, 0, RETENTION_MS - 1, (True, False)),
    "after the retention": (0, 0, RETENTION_MS + 1, (True, False)),
    "long after": (0, 0, 50 * RETENTION_MS, (True, False)),
    "made by a slow clock": (-SKEW_MS, 0, RETENTION_MS + 1, (True, False)),
    "made by a quick clock": (
        SKEW_MS,
        0,
        RETENTION_MS + SKEW_MS - 1,
        (True, False),
    ),
    "made far ahead": (SKEW_MS + 1, 0, 0, (False, False)),
    "too old at first": (-RETENTION_MS, 0, 1, (False, False)),
    "the clock steps back": (0, 0, -RETENTION_MS, (True, False)),
}


@pytest.mark.parametrize("name", TIMES)
def test_dated_key_is_claimed_at_most_once(name: str) -> None:
    made_ms, first_ms, again_ms, expected = TIMES[name]
    table = claims_lib.ClaimTable()
    key = dated_key(START_MS + made_ms)
    first = claim(table, START_MS + first_ms, key, "first")
    claim(table, START_MS + again_ms, "prices:other")
    again = claim(table, START_MS + again_ms, key, "again")
    assert (first, again) == expected


def test_other_keys_are_known_for_the_retention() -> None:
    table = claims_lib.ClaimTable()
    assert claim(table, START_MS, "prices:order-7", "first")
    assert not claim(table, START_MS + RETENTION_MS - 1, "prices:order-7")
    assert claim(table, START_MS + RETENTION_MS + 1, "prices:order-7")


def test_claims_are_bounded_and_dated_keys_stay_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims_lib, "MAX_RECORDS", 10)
    table = claims_lib.ClaimTable()
    keys = [dated_key(START_MS + n * SKEW_MS, n) for n in range(40)]
    for number, key in enumerate(keys):
        assert claim(table, START_MS + number * SKEW_MS, key, "first")
        assert len(table.records) <= 11
    at_ms = START_MS + 40 * SKEW_MS
    assert not any(claim(table, at_ms, key, "again") for key in keys)


@given(
    st.lists(
        st.tuples(
            st.integers(-2 * RETENTION_MS, 4 * RETENTION_MS),
            st.integers(0, 5),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_restored_table_decides_alike(
    steps: list[tuple[int, int, bool]],
) -> None:
    table = claims_lib.ClaimTable()
    for number, (at_ms, key, release) in enumerate(steps):
        copy = restored(table)
        held = messages.KeyClaim(
            key=dated_key(START_MS + key * SKEW_MS, key), token=str(number)
        )
        command = commands.ClaimKeys(
            entry="e",
            claims=(held,),
            released=(held,) if release else (),
            at_ms=START_MS + at_ms,
        )
        assert table.claim(command) == copy.claim(command)
        assert table == copy
