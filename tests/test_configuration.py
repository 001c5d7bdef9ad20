"""Configuration changes: races, resends, conflicts, retention, sheets."""

from collections.abc import Iterator
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import pytest

import builders
from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import state as state_lib

ZONES = ("a", "b", "c")
QUOTA = commands.TeamQuota(team="cutting", resources=builders.CAPACITY)


def _out(name: str = "a") -> commands.AvailabilityZoneOut:
    return commands.AvailabilityZoneOut(availability_zone=name)


def _change(
    state: configuration_lib.ConfigurationState,
    change: commands.Change,
    **overrides: object,
) -> commands.ChangeResult:
    """Makes a change, by default on the current revision."""
    revision = state.current.revision
    overrides = {"number": revision + 1, "base_revision": revision, **overrides}
    return state.change(builders.change(change, **overrides))


@dataclasses.dataclass
class _Request:
    operator: str
    number: int
    base_revision: int
    change: commands.Change


class RacingOperators(stateful.RuleBasedStateMachine):
    """Operators that use the same change numbers, checked against an oracle.

    The oracle stores the accepted requests and the zones out of service. It
    never reads change records. Between requests the state may be restored
    from a snapshot, as after a failover.
    """

    def __init__(self) -> None:
        super().__init__()
        self.state = configuration_lib.ConfigurationState()
        self.accepted: dict[int, _Request] = {}
        self.revisions: dict[int, int] = {}
        self.requests: list[_Request] = []
        self.out: set[str] = set()

    def _send(self, request: _Request) -> None:
        revision = len(self.accepted)
        result = self.state.change(
            builders.change(
                request.change,
                number=request.number,
                base_revision=request.base_revision,
                operator=request.operator,
            )
        )
        first = self.accepted.get(request.number)
        if first is not None:
            same = (
                first.operator == request.operator
                and first.change == request.change
            )
            if same:
                expected = commands.ChangeAccepted(
                    revision=self.revisions[request.number]
                )
                assert result == expected
            else:
                assert isinstance(result, commands.ChangeConflict)
                assert first.operator in result.reason
        elif request.base_revision == revision:
            assert result == commands.ChangeAccepted(revision=revision + 1)
            self.accepted[request.number] = request
            self.revisions[request.number] = revision + 1
            self._apply_to_oracle(request.change)
        elif request.base_revision < revision:
            assert isinstance(result, commands.ChangeConflict)
            assert f"revision {revision} by" in result.reason
        else:
            assert isinstance(result, commands.ChangeInvalid)

    def _apply_to_oracle(self, change: commands.Change) -> None:
        match change:
            case commands.AvailabilityZoneOut(availability_zone=name):
                self.out.add(name)
            case commands.AvailabilityZoneIn(availability_zone=name):
                self.out.discard(name)

    @stateful.rule(
        operator=st.sampled_from(("ana", "bo")),
        number=st.integers(1, 8),
        revisions_behind=st.sampled_from((0, 0, 0, 1, 2, -1)),
        zone=st.sampled_from(ZONES),
        take_out=st.booleans(),
    )
    def send(self, operator, number, revisions_behind, zone, take_out):
        change: commands.Change = commands.AvailabilityZoneIn(
            availability_zone=zone
        )
        if take_out:
            change = _out(zone)
        base_revision = max(0, len(self.accepted) - revisions_behind)
        request = _Request(operator, number, base_revision, change)
        self.requests.append(request)
        self._send(request)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=st.data())
    def resend(self, data):
        self._send(data.draw(st.sampled_from(self.requests)))

    @stateful.rule()
    def fail_over(self):
        encoded = [
            state_lib.encode_record(record)
            for record in self.state.snapshot_records()
        ]
        self.state = configuration_lib.ConfigurationState()
        for data in encoded:
            self.state.restore_record(state_lib.decode_record(data))

    @stateful.invariant()
    def state_matches_oracle(self):
        assert self.state.current.revision == len(self.accepted)
        assert self.state.current.availability_zones_out == self.out


TestRacingOperators = RacingOperators.TestCase


def _invalid_changes() -> Iterator[tuple[str, commands.Change, str]]:
    """Yields changes that are invalid on the sheet of `_with_sheet`."""
    duplicate = builders.service("duplicate", route="/prices", team="cutting")
    yield "service", commands.RemoveService(name="none"), "'none'"
    zone_in = commands.AvailabilityZoneIn(availability_zone="d")
    yield "zone in", zone_in, "known: a, b, c"
    yield "drain", commands.UndrainUpstream(name="w"), "not drained"
    job = builders.job("other", team="cuting")
    yield "team", commands.PutJob(job=job), "'cuting'"
    yield "route", commands.PutService(service=duplicate), "'prices'"


def _with_sheet() -> configuration_lib.ConfigurationState:
    state = configuration_lib.ConfigurationState()
    sheet = builders.apply_sheet(
        (builders.service(team="cutting"),),
        (builders.job(),),
        quotas=(QUOTA,),
        availability_zones=ZONES,
    )
    assert isinstance(_change(state, sheet), commands.ChangeAccepted)
    return state


@pytest.mark.parametrize(
    ("change", "reason"),
    [(change, reason) for _, change, reason in _invalid_changes()],
    ids=[name for name, _, _ in _invalid_changes()],
)
def test_invalid_changes_are_rejected_without_effect(change, reason):
    state = _with_sheet()
    before = state.current
    result = _change(state, change)
    assert isinstance(result, commands.ChangeInvalid)
    assert reason in result.reason
    assert state.current is before
    # The number of a rejected change is still unused.
    accepted = _change(state, _out("a"))
    assert isinstance(accepted, commands.ChangeAccepted)


def test_a_conflict_names_what_moved(snapshot):
    state = _with_sheet()
    _change(state, _out("b"), operator="bo")
    _change(state, commands.CancelJobs(names=("plan",)), operator="bo")
    result = _change(state, _out("c"), base_revision=1, number=9)
    assert result == snapshot


def test_a_resend_gets_its_first_result_after_later_changes():
    state = configuration_lib.ConfigurationState()
    first = _change(state, _out("a"), number=7)
    _change(state, commands.AvailabilityZoneIn(availability_zone="a"))
    assert _change(state, _out("a"), number=7, base_revision=0) == first
    assert not state.current.availability_zones_out


def test_change_records_are_bounded_and_old_resends_change_nothing():
    state = configuration_lib.ConfigurationState()
    limit = configuration_lib.MAX_CHANGE_RECORDS
    for _ in range(limit + 10):
        _change(state, _out("a"))
    assert len(state.changes) == limit
    before = state.current
    resent = _change(state, _out("a"), number=1, base_revision=0)
    assert isinstance(resent, commands.ChangeConflict)
    assert "earlier changes" in resent.reason
    assert state.current is before


def test_the_items_in_change_records_are_bounded():
    state = configuration_lib.ConfigurationState()
    count = configuration_lib.MAX_ITEMS_PER_CHANGE + 5
    for index in range(60):
        jobs = tuple(
            builders.job(f"p{i}", priority=index) for i in range(count)
        )
        _change(state, builders.apply_sheet((), jobs))
    records = list(state.changes.values())
    assert records[-1].items_omitted == 5
    retained = sum(len(record.items) for record in records)
    assert retained <= configuration_lib.MAX_RETAINED_ITEMS


def test_no_snapshot_record_holds_the_whole_sheet():
    state = configuration_lib.ConfigurationState()
    for index in range(200):
        _change(state, commands.PutJob(job=builders.job(f"p{index}")))
    sizes = [len(state_lib.encode_record(r)) for r in state.snapshot_records()]
    assert len(sizes) == 401
    assert max(sizes) < 2_000


# --- The sheet of the next day, with the real task table ---------------------


def _state_with_running_job() -> state_lib.State:
    state = state_lib.State()
    jobs = (builders.job("night", tasks=2), builders.job("unstarted"))
    state.apply(builders.change(builders.apply_sheet((), jobs)))
    start = builders.attempt_start("job/night/0")
    state.apply(builders.start_attempts(start))
    return state


def test_a_new_sheet_keeps_started_jobs_and_removes_the_others():
    state = _state_with_running_job()
    sheet = builders.apply_sheet((), (builders.job("today"),))
    state.apply(builders.change(sheet, number=2, base_revision=1))
    assert set(state.configuration.current.jobs) == {"night", "today"}
    assert not state.tasks.records["job/night/0"].evicting
    ended = commands.AttemptEnd(
        task="job/night/0",
        attempt=1,
        outcome=commands.AttemptCompleted(run_ms=1),
    )
    state.apply(builders.end_attempts(ended))
    state.apply(builders.start_attempts(builders.attempt_start("job/night/1")))
    second = msgspec.structs.replace(ended, task="job/night/1")
    state.apply(builders.end_attempts(second))
    state.apply(builders.change(sheet, number=3, base_revision=2))
    assert set(state.configuration.current.jobs) == {"today"}


def test_a_cancellation_persists_when_the_same_sheet_is_applied_again():
    state = _state_with_running_job()
    cancel = commands.CancelJobs(names=("unstarted", "unknown"))
    state.apply(builders.change(cancel, number=2, base_revision=1))
    again = builders.apply_sheet((), (builders.job("unstarted"),))
    state.apply(builders.change(again, number=3, base_revision=2))
    assert state.configuration.current.cancelled == {"unstarted"}
    put = commands.PutJob(job=builders.job("unstarted"))
    state.apply(builders.change(put, number=4, base_revision=3))
    assert not state.configuration.current.cancelled


def test_zones_out_of_service_and_drains_persist_across_sheets():
    state = _with_sheet()
    _change(state, _out("a"))
    _change(state, commands.DrainUpstream(name="worker-1"))
    _change(state, builders.apply_sheet())
    assert state.current.availability_zones_out == {"a"}
    assert state.current.drained == {"worker-1"}


_JOBS = tuple(
    builders.job(name, tasks=tasks) for name in ("x", "y") for tasks in (1, 3)
)
_SERVICES = tuple(builders.service("s", instances=n) for n in (1, 2))
_CHANGES = (
    *(commands.PutJob(job=row) for row in _JOBS),
    *(commands.PutService(service=row) for row in _SERVICES),
    commands.RemoveService(name="s"),
    commands.CancelJobs(names=("x",)),
    commands.CancelJobs(names=("x", "y", "unknown")),
    builders.apply_sheet(_SERVICES[:1], _JOBS[1:3]),
    builders.apply_sheet((), (builders.job("z"),)),
    _out("a"),
)


@hypothesis.given(
    st.lists(st.tuples(st.sampled_from(_CHANGES), st.booleans()), max_size=12)
)
def test_tasks_follow_a_change_as_they_follow_the_whole_configuration(steps):
    state = state_lib.State()
    whole = state_lib.State()
    for number, (change, starts) in enumerate(steps, 1):
        revision = state.configuration.current.revision
        made = builders.change(change, number=number, base_revision=revision)
        assert state.apply(made) == whole.apply(made)
        whole.tasks.follow(whole.configuration.current, builders.WALL_MS)
        if starts:
            for task in list(state.tasks.records):
                attempt = state.tasks.records[task].attempt + 1
                start = builders.attempt_start(task, attempt)
                for each in (state, whole):
                    each.apply(builders.start_attempts(start))
        assert state.tasks.records == whole.tasks.records
