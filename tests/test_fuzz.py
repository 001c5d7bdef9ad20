"""Stateful fuzzing of the replicated state against simple oracles.

Each oracle knows only the replies to operators, upstreams and callers.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

import builders
from galenahook import commands
from galenahook import messages
from galenahook import state as state_lib

OPERATORS = ("ana", "bor")
JOBS = ("plan", "rota")
SERVICES = ("prices", "holds")
ZONES = ("a", "b")
WORKERS = ("w1", "w2")
TOKENS = ("first", "second", "third")
KEYS = tuple(f"prices:{index}" for index in range(4))

_names = st.sampled_from(JOBS)
_tasks = st.sampled_from(
    [f"job/{name}/{index}" for name in JOBS for index in range(2)]
    + [f"service/{name}/0" for name in SERVICES]
)
_jobs = st.builds(
    lambda name, tasks, repeatable: builders.job(
        name, tasks=tasks, repeatable=repeatable
    ),
    _names,
    st.integers(1, 2),
    st.booleans(),
)
_services = st.builds(builders.service, st.sampled_from(SERVICES))
_changes = st.one_of(
    st.builds(
        lambda services, jobs: builders.apply_sheet(
            tuple({row.name: row for row in services}.values()),
            tuple({row.name: row for row in jobs}.values()),
        ),
        st.lists(_services, max_size=2),
        st.lists(_jobs, max_size=2),
    ),
    st.builds(commands.PutJob, job=_jobs),
    st.builds(commands.PutService, service=_services),
    st.builds(commands.RemoveService, name=st.sampled_from(SERVICES)),
    st.builds(
        commands.CancelJobs,
        names=st.lists(_names, min_size=1, max_size=2).map(tuple),
    ),
    st.builds(
        commands.AvailabilityZoneOut, availability_zone=st.sampled_from(ZONES)
    ),
    st.builds(
        commands.AvailabilityZoneIn, availability_zone=st.sampled_from(ZONES)
    ),
)
_outcomes = st.one_of(
    st.builds(commands.AttemptCompleted, run_ms=st.integers(0, 1_000)),
    st.builds(
        commands.AttemptFailed, run_ms=st.integers(0, 1_000), reason=st.just("")
    ),
    st.builds(commands.AttemptGone, reason=st.just("lost")),
)


class Replicas(stateful.RuleBasedStateMachine):
    """Two replicas of the state; one is sometimes restored from a snapshot."""

    def __init__(self) -> None:
        super().__init__()
        self.first = state_lib.State()
        self.second = state_lib.State()
        self.at_ms = builders.WALL_MS

    def apply(self, command: commands.Command) -> commands.Result:
        """Applies a command to both replicas and compares the results."""
        self.at_ms += 1_000
        data = commands.encode_command(command)
        first = self.first.apply(commands.decode_command(data))
        second = self.second.apply(commands.decode_command(data))
        assert first == second, (command, first, second)
        return first

    @stateful.rule()
    def restart_second_from_snapshot(self) -> None:
        records = [
            state_lib.encode_record(record)
            for record in self.second.snapshot_records()
        ]
        self.second = state_lib.State()
        self.second.restore(map(state_lib.decode_record, records))

    def teardown(self) -> None:
        """Checks that both replicas hold the same records."""
        assert records_of(self.first) == records_of(self.second)


def records_of(state: state_lib.State) -> list[bytes]:
    """Returns the encoded records of a state in a fixed order."""
    return sorted(
        msgspec.json.encode(record, order="deterministic")
        for record in state.snapshot_records()
    )


class OperatorsRace(Replicas):
    """Operators race with the same change numbers and resend at any time.

    The oracle: each revision is assigned once, and revisions increase; a resent
    change gets its first result; a used number or an outdated base revision
    gets a conflict.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 0
        self.accepted: dict[int, tuple[str, bytes, int]] = {}
        self.sent: list[commands.ChangeConfiguration] = []

    @stateful.rule(
        change=_changes,
        number=st.integers(1, 6),
        operator=st.sampled_from(OPERATORS),
        behind=st.integers(0, 2),
    )
    def change(
        self,
        change: commands.Change,
        number: int,
        operator: str,
        behind: int,
    ) -> None:
        base = max(0, self.revision - behind)
        command = builders.change(change, number, base, operator, self.at_ms)
        self.sent.append(command)
        self.check_change(command)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        self.check_change(data.draw(st.sampled_from(self.sent)))

    def check_change(self, command: commands.ChangeConfiguration) -> None:
        """Compares the result with that of the oracle."""
        result = self.apply(command)
        content = msgspec.json.encode(command.change)
        earlier = self.accepted.get(command.number)
        if earlier is not None:
            if earlier[:2] == (command.operator, content):
                assert result == commands.ChangeAccepted(revision=earlier[2])
            else:
                assert isinstance(result, commands.ChangeConflict)
            return
        if command.base_revision != self.revision:
            assert isinstance(result, commands.ChangeConflict)
            assert result.revision == self.revision
            return
        if isinstance(result, commands.ChangeInvalid):
            assert result.revision == self.revision
            return
        assert result == commands.ChangeAccepted(revision=self.revision + 1)
        self.revision += 1
        self.accepted[command.number] = (
            command.operator,
            content,
            self.revision,
        )


class Attempts(Replicas):
    """Starts, ends, evictions and cancellations in any order, also resent.

    The oracle: a task has one attempt at a time, attempt numbers rise, only
    the current attempt ends, and tasks that are done, cancelled or removed
    never start again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.current: dict[str, int] = {}
        self.highest: dict[str, int] = {}
        self.lost: dict[str, int] = {}
        self.done: set[str] = set()
        self.services: set[str] = set()
        self.jobs: dict[str, int] = {}
        self.cancelled: set[str] = set()
        self.revision = 0
        self.ends: list[commands.AttemptEnd] = []
        self.reported: dict[tuple[str, int], commands.AttemptEndOutcome] = {}

    @stateful.initialize()
    def apply_first_sheet(self) -> None:
        rows = tuple(builders.job(name, tasks=2) for name in JOBS)
        services = tuple(map(builders.service, SERVICES))
        self.change(builders.apply_sheet(services, rows))

    @stateful.rule(change=_changes)
    def change(self, change: commands.Change) -> None:
        command = builders.change(
            change, self.revision + 1, self.revision, at_ms=self.at_ms
        )
        result = self.apply(command)
        if not isinstance(result, commands.ChangeAccepted):
            return
        self.revision += 1
        self.update_oracle(change)

    def update_oracle(self, change: commands.Change) -> None:
        """Applies a change to the oracle, as `commands` describes it."""
        match change:
            case commands.ApplySheet(sheet=sheet):
                self.update_oracle_from_sheet(sheet)
            case commands.PutJob(job=row):
                self.jobs[row.name] = row.tasks
                self.cancelled.discard(row.name)
            case commands.PutService(service=row):
                self.services.add(row.name)
            case commands.RemoveService(name=name):
                self.services.discard(name)
            case commands.CancelJobs(names=names):
                self.cancelled |= set(names) & self.jobs.keys()

    def update_oracle_from_sheet(self, sheet: commands.Sheet) -> None:
        """Keeps an unlisted job that has started until its tasks are done."""
        self.services = {row.name for row in sheet.services}
        listed = {row.name: row.tasks for row in sheet.jobs}
        for name, tasks in self.jobs.items():
            if name in listed:
                continue
            if name not in self.cancelled and self.is_unfinished(name, tasks):
                listed[name] = tasks
            else:
                self.done -= {f"job/{name}/{index}" for index in range(4)}
        self.jobs = listed
        self.cancelled &= listed.keys()

    def is_unfinished(self, name: str, tasks: int) -> bool:
        """Returns whether a job has started and has tasks left."""
        names = [f"job/{name}/{index}" for index in range(tasks)]
        has_started = any(self.highest.get(task, 0) > 0 for task in names)
        return has_started and not self.done.issuperset(names)

    def is_requested(self, task: str) -> bool:
        """Returns whether the sheet lists a task that is not cancelled."""
        kind, name, index = task.split("/")
        if kind == "service":
            return name in self.services
        if name in self.cancelled:
            return False
        return int(index) < self.jobs.get(name, 0)

    @stateful.rule(
        task=_tasks,
        ahead=st.sampled_from([1, 1, 1, 1, 0, 2]),
        worker=st.sampled_from(WORKERS),
    )
    def start(self, task: str, ahead: int, worker: str) -> None:
        attempt = self.highest.get(task, 0) + ahead
        start = builders.attempt_start(task, attempt, worker=worker)
        result = self.apply(builders.start_attempts(start, at_ms=self.at_ms))
        assert isinstance(result, commands.AttemptsApplied)
        if not result.applied[0]:
            return
        assert task not in self.current, "concurrent attempts of one task"
        assert attempt > self.highest.get(task, 0), "an outdated attempt number"
        assert self.is_requested(task), "started though it is not requested"
        assert task not in self.done, "started after it was completed"
        self.lost.pop(task, None)
        self.current[task] = attempt
        self.highest[task] = attempt

    @stateful.rule(
        task=_tasks, behind=st.sampled_from([0, 0, 0, 1]), outcome=_outcomes
    )
    def end(
        self, task: str, behind: int, outcome: commands.AttemptEndOutcome
    ) -> None:
        attempt = max(1, self.highest.get(task, 0) - behind)
        if not isinstance(outcome, commands.AttemptGone):
            outcome = self.reported.setdefault((task, attempt), outcome)
        end = commands.AttemptEnd(task=task, attempt=attempt, outcome=outcome)
        self.ends.append(end)
        self.check_end(end)

    @stateful.precondition(lambda self: self.ends)
    @stateful.rule(data=st.data())
    def end_again(self, data: st.DataObject) -> None:
        self.check_end(data.draw(st.sampled_from(self.ends)))

    def check_end(self, end: commands.AttemptEnd) -> None:
        """Checks that only the current attempt ends, and only once.

        A late completion of a lost attempt counts until another attempt
        starts.
        """
        result = self.apply(builders.end_attempts(end, at_ms=self.at_ms))
        assert isinstance(result, commands.AttemptsApplied)
        completed = isinstance(end.outcome, commands.AttemptCompleted)
        is_current = self.current.get(end.task) == end.attempt
        if not is_current:
            is_late = self.lost.get(end.task) == end.attempt and completed
            assert is_late or not result.applied[0]
        else:
            assert result.applied[0]
            del self.current[end.task]
            if isinstance(end.outcome, commands.AttemptGone):
                self.lost[end.task] = end.attempt
        if result.applied[0] and completed:
            self.lost.pop(end.task, None)
            if end.task.startswith("job/"):
                self.done.add(end.task)

    @stateful.rule(task=_tasks, behind=st.sampled_from([0, 0, 1]))
    def evict(self, task: str, behind: int) -> None:
        attempt = max(1, self.highest.get(task, 0) - behind)
        refs = (messages.AttemptRef(task=task, attempt=attempt),)
        self.apply(commands.EvictAttempts(attempts=refs, reason="tail"))


class Claims(Replicas):
    """Requests claim the same keys, resend claims and release them.

    The oracle: a key is held by one request until that request releases it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.holders: dict[str, str] = {}

    @stateful.rule(
        token=st.sampled_from(TOKENS),
        keys=st.lists(st.sampled_from(KEYS), min_size=1, max_size=4),
        released=st.lists(
            st.tuples(st.sampled_from(KEYS), st.sampled_from(TOKENS)),
            max_size=2,
        ),
    )
    def claim(
        self, token: str, keys: list[str], released: list[tuple[str, str]]
    ) -> None:
        command = commands.ClaimKeys(
            entry="e1",
            claims=tuple(
                messages.KeyClaim(key=key, token=token) for key in keys
            ),
            released=tuple(
                messages.KeyClaim(key=key, token=holder)
                for key, holder in released
            ),
            at_ms=self.at_ms,
        )
        result = self.apply(command)
        for key, holder in released:
            if self.holders.get(key) == holder:
                del self.holders[key]
        assert isinstance(result, commands.KeysClaimed)
        assert len(result.granted) == len(keys)
        for key, granted in zip(keys, result.granted, strict=True):
            holder = self.holders.setdefault(key, token)
            assert granted == (holder == token), key


TestOperatorsRace = OperatorsRace.TestCase
TestAttempts = Attempts.TestCase
TestClaims = Claims.TestCase


def test_settings_are_those_of_the_profile():
    assert hypothesis.settings.default.database is None
