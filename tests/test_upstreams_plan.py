"""The plan of slots: whole, steady, following demand, with a floor."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from galenahook.upstreams import plan as plan_lib

ENTRIES = tuple(f"entry-{number}" for number in range(8))
EXECUTORS = {f"x{number}": 8 for number in range(24)}


def totals(plan: plan_lib.SlotPlan) -> dict[str, int]:
    return {entry: sum(row.values()) for entry, row in plan.rows.items()}


def planned_for(*demands: dict[str, float]) -> plan_lib.SlotPlan:
    plan = plan_lib.SlotPlan()
    for wanted in demands:
        plan.update(EXECUTORS, wanted)
    return plan


EVEN = dict.fromkeys(ENTRIES, 15.0)
NOISY = {e: 15.0 + (-3, 0, 3)[n % 3] for n, e in enumerate(ENTRIES)}
QUIET = dict.fromkeys(ENTRIES, 0.0)
SKEWED = {e: 46.0 if n < 2 else 4.0 for n, e in enumerate(ENTRIES)}
FLOODED = {e: 500.0 if n < 6 else 0.0 for n, e in enumerate(ENTRIES)}
FEW = dict.fromkeys(ENTRIES[:3], 15.0)

# name: demands one after another, least and most slots of any entry
PLANS = {
    "nothing asked": ((QUIET,), 24, 24),
    "even": ((EVEN,), 24, 24),
    "noise moves nothing": ((EVEN, NOISY, EVEN, NOISY), 24, 24),
    "a flood leaves a floor": ((EVEN, FLOODED), 2, 32),
    "entries leave": ((EVEN, FEW), 64, 64),
    "entries come": ((FEW, EVEN), 19, 33),
}


@pytest.mark.parametrize("name", PLANS)
def test_slots_of_each_entry_stay_within(name: str) -> None:
    demands, least, most = PLANS[name]
    slots = totals(planned_for(*demands)).values()
    assert sum(slots) == 192
    assert least <= min(slots)
    assert max(slots) <= most


def test_skewed_demand_gets_what_it_needs() -> None:
    plan = planned_for(EVEN, SKEWED)
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
    for wanted, executors in steps:
        plan.update(executors, wanted)
        assert all(row.keys() <= executors.keys() for row in plan.rows.values())
        for name, slots in executors.items():
            planned = [plan.planned(entry, name) for entry in wanted]
            assert all(count >= 0 for count in planned)
            assert sum(planned) == (slots if wanted else 0)
