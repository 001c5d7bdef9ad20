"""Claims of idempotency keys: at most once, even after claims are dropped."""

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


def dated_key(created_ms: int, number: int = 0) -> str:
    version_and_variant = (7 << 76) | (2 << 62)
    value = (created_ms << 80) | version_and_variant | number
    return f"prices:{uuid.UUID(int=value)}"


def claim(
    table: claims_lib.ClaimTable, at_ms: int, key: str, token: str = "t"
) -> bool:
    keys = (messages.KeyClaim(key=key, token=token),)
    command = commands.ClaimKeys(entry="e", claims=keys, at_ms=at_ms)
    return table.claim(command).granted[0]


def restored(table: claims_lib.ClaimTable) -> claims_lib.ClaimTable:
    copied = claims_lib.ClaimTable()
    for record in table.snapshot_records():
        copied.restore_record(record)
    return copied


# name: times of creation, first and second claim; whether each is granted
TIMES = {
    "at once": (0, 0, 1, (True, False)),
    "late in the retention period": (0, 0, RETENTION_MS - 1, (True, False)),
    "after the retention period": (0, 0, RETENTION_MS + 1, (True, False)),
    "long after": (0, 0, 50 * RETENTION_MS, (True, False)),
    "created by a slow clock": (-SKEW_MS, 0, RETENTION_MS + 1, (True, False)),
    "created by a fast clock": (
        SKEW_MS,
        0,
        RETENTION_MS + SKEW_MS - 1,
        (True, False),
    ),
    "created too far in the future": (SKEW_MS + 1, 0, 0, (False, False)),
    "too old at the first claim": (-RETENTION_MS, 0, 1, (False, False)),
    "wall clock steps back": (0, 0, -RETENTION_MS, (True, False)),
}


@pytest.mark.parametrize("name", TIMES)
def test_dated_key_is_claimed_at_most_once(name: str) -> None:
    created_ms, first_ms, second_ms, expected = TIMES[name]
    table = claims_lib.ClaimTable()
    key = dated_key(START_MS + created_ms)
    first = claim(table, START_MS + first_ms, key, "first")
    claim(table, START_MS + second_ms, "prices:other")
    second = claim(table, START_MS + second_ms, key, "second")
    assert (first, second) == expected


def test_other_keys_are_recognized_during_the_retention_period() -> None:
    table = claims_lib.ClaimTable()
    assert claim(table, START_MS, "prices:order-7", "first")
    assert not claim(table, START_MS + RETENTION_MS - 1, "prices:order-7")
    assert claim(table, START_MS + RETENTION_MS + 1, "prices:order-7")


def test_number_of_claims_is_bounded_and_dated_keys_stay_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims_lib, "MAX_RECORDS", 10)
    table = claims_lib.ClaimTable()
    keys = [dated_key(START_MS + n * SKEW_MS, n) for n in range(40)]
    for number, key in enumerate(keys):
        assert claim(table, START_MS + number * SKEW_MS, key, "first")
        assert len(table.records) <= 11
    at_ms = START_MS + 40 * SKEW_MS
    assert not any(claim(table, at_ms, key, "second") for key in keys)


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
def test_restored_table_decides_the_same(
    steps: list[tuple[int, int, bool]],
) -> None:
    table = claims_lib.ClaimTable()
    for number, (at_ms, key, release) in enumerate(steps):
        copied = restored(table)
        held = messages.KeyClaim(
            key=dated_key(START_MS + key * SKEW_MS, key), token=str(number)
        )
        command = commands.ClaimKeys(
            entry="e",
            claims=(held,),
            released=(held,) if release else (),
            at_ms=START_MS + at_ms,
        )
        assert table.claim(command) == copied.claim(command)
        assert table == copied
