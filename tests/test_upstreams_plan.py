"""The slot plan: complete, stable, follows demand and keeps a minimum."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from galenahook.upstreams import plan as plan_lib

ENTRIES = tuple(f"entry-{number}" for number in range(8))
EXECUTORS = {f"x{number}": 8 for number in range(24)}


def totals(plan: plan_lib.SlotPlan) -> dict[str, int]:
    return {entry: sum(row.values()) for entry, row in plan.rows.items()}


def plan_after(*demands: dict[str, float]) -> plan_lib.SlotPlan:
    plan = plan_lib.SlotPlan()
    for demand in demands:
        plan.update(EXECUTORS, demand)
    return plan


EVEN = dict.fromkeys(ENTRIES, 15.0)
NOISY = {e: 15.0 + (-3, 0, 3)[n % 3] for n, e in enumerate(ENTRIES)}
IDLE = dict.fromkeys(ENTRIES, 0.0)
SKEWED = {e: 46.0 if n < 2 else 4.0 for n, e in enumerate(ENTRIES)}
OVERLOADED = {e: 500.0 if n < 6 else 0.0 for n, e in enumerate(ENTRIES)}
FEW = dict.fromkeys(ENTRIES[:3], 15.0)

# name: successive demands, fewest and most slots of any entry
PLANS = {
    "no demand": ((IDLE,), 24, 24),
    "even": ((EVEN,), 24, 24),
    "noise moves no slots": ((EVEN, NOISY, EVEN, NOISY), 24, 24),
    "overload leaves every entry a minimum": ((EVEN, OVERLOADED), 2, 32),
    "entries leave": ((EVEN, FEW), 64, 64),
    "entries join": ((FEW, EVEN), 19, 33),
}


@pytest.mark.parametrize("name", PLANS)
def test_slots_of_each_entry_stay_within_bounds(name: str) -> None:
    demands, fewest, most = PLANS[name]
    slots = totals(plan_after(*demands)).values()
    assert sum(slots) == 192
    assert fewest <= min(slots)
    assert max(slots) <= most


def test_skewed_demand_gets_what_it_needs() -> None:
    plan = plan_after(EVEN, SKEWED)
    for entry, slots in totals(plan).items():
        assert slots >= int(plan_lib.slots_needed(SKEWED[entry]))


@given(
    st.lists(
        st.tuples(
            st.dictionaries(
                st.sampled_from(ENTRIES), st.floats(0, 500), max_size=8
            ),
            st.dictionaries(
                st.sampled_from(list(EXECUTORS)), st.integers(0, 9), max_size=6
            ),
        ),
        max_size=8,
    )
)
def test_every_slot_is_planned_once(
    steps: list[tuple[dict[str, float], dict[str, int]]],
) -> None:
    plan = plan_lib.SlotPlan()
    for demand, executors in steps:
        plan.update(executors, demand)
        assert all(row.keys() <= executors.keys() for row in plan.rows.values())
        for name, slots in executors.items():
            planned = [plan.planned(entry, name) for entry in demand]
            assert all(count >= 0 for count in planned)
            assert sum(planned) == (slots if demand else 0)
