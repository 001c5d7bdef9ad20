"""Random faults around the scheduler, checked against the workers' records.

The checks don't read the state of the scheduler: a task runs on one worker at
a time, no worker is given more than its capacity, completed tasks that are
not repeatable don't run again, and resumed tasks use a known checkpoint.
"""

import contextlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from galenahook import commands
from galenahook import errors
from galenahook import messages
import scheduling_model as model

WORKERS = ("w0", "w1", "w2", "w3")
ZONES = ("a", "b")
SIZES = (1_000, 3_000, 5_000)
JOBS = ("j0", "j1", "j2", "j3")

workers = st.sampled_from(WORKERS)
jobs = st.sampled_from(JOBS)
zones = st.sampled_from(ZONES)


class SchedulingMachine(stateful.RuleBasedStateMachine):
    """Applies faults and changes in random order."""

    @stateful.initialize()
    def begin(self) -> None:
        self.site = model.ModelSite()
        for index, name in enumerate(WORKERS):
            self.site.add_worker(name, zone=ZONES[index % 2])
        self.site.change(
            model.sheet(
                model.service("prices", instances=2),
                *(
                    model.job(
                        name,
                        tasks=2,
                        resources=messages.Resources(SIZES[index % 3], 1_000),
                        repeatable=index != 3,
                    )
                    for index, name in enumerate(JOBS)
                ),
            )
        )
        self.site.not_repeatable.update(("job/j3/0", "job/j3/1"))
        self.site.pass_time(1_500)

    @stateful.rule(steps=st.integers(1, 6))
    def pass_time(self, steps: int) -> None:
        self.site.pass_time(500 * steps)

    @stateful.rule()
    def pass_lease_duration(self) -> None:
        self.site.pass_time(9_000)

    @stateful.rule()
    def only_a_round(self) -> None:
        self.site.round()

    @stateful.rule(name=workers, choice=st.integers(0, 9), fails=st.booleans())
    def finish(self, name: str, choice: int, fails: bool) -> None:
        worker = self.site.workers[name]
        worker.expire()
        running = [task for task in worker.attempts if worker.is_running(task)]
        batch = [task for task in running if task.startswith("job/")]
        if batch:
            outcome = messages.Failed(run_ms=5, reason="x") if fails else None
            worker.finish(batch[choice % len(batch)], outcome)

    @stateful.rule(name=workers)
    def report(self, name: str) -> None:
        if self.site.workers[name].connected and self.site.node.leads:
            with contextlib.suppress(errors.NoQuorumError):
                self.site.report(name)

    @stateful.rule(quorum=st.booleans(), loses_replies=st.booleans())
    def lose_quorum(self, quorum: bool, loses_replies: bool) -> None:
        self.site.node.quorum = quorum
        self.site.node.loses_replies = loses_replies

    @stateful.rule(name=workers)
    def restart_worker(self, name: str) -> None:
        self.site.workers[name].restart()

    @stateful.rule(name=workers)
    def connect_or_disconnect(self, name: str) -> None:
        worker = self.site.workers[name]
        worker.connected = not worker.connected

    @stateful.rule(name=workers, leaving=st.booleans())
    def leave(self, name: str, leaving: bool) -> None:
        self.site.workers[name].leaving = leaving

    @stateful.rule(name=workers)
    def lose_requests(self, name: str) -> None:
        self.site.client.lose_request ^= {name}

    @stateful.rule(name=workers)
    def lose_replies(self, name: str) -> None:
        self.site.client.lose_reply ^= {name}

    @stateful.rule(name=workers)
    def delay_orders(self, name: str) -> None:
        self.site.client.delay ^= {name}

    @stateful.rule()
    def deliver_delayed(self) -> None:
        self.site.client.deliver_delayed()

    @stateful.rule(name=workers)
    def checkpoints_fail(self, name: str) -> None:
        worker = self.site.workers[name]
        worker.checkpoints = not worker.checkpoints

    @stateful.rule(name=workers, memory_mb=st.sampled_from([500, 9_000]))
    def use_memory(self, name: str, memory_mb: int) -> None:
        self.site.workers[name].usage = messages.Resources(500, memory_mb)

    @stateful.rule(zone=zones)
    def zone_out(self, zone: str) -> None:
        change = commands.AvailabilityZoneOut(availability_zone=zone)
        self.site.change(change)

    @stateful.rule(zone=zones)
    def zone_in(self, zone: str) -> None:
        change = commands.AvailabilityZoneIn(availability_zone=zone)
        self.site.change(change)

    @stateful.rule(name=jobs)
    def cancel(self, name: str) -> None:
        self.site.change(commands.CancelJobs(names=(name,)))

    @stateful.rule(name=jobs, urgent=st.booleans())
    def put_job(self, name: str, urgent: bool) -> None:
        index = JOBS.index(name)
        row = model.job(
            name,
            tasks=2,
            resources=messages.Resources(SIZES[index % 3], 1_000),
            repeatable=index != 3,
            urgent=urgent,
        )
        self.site.change(commands.PutJob(job=row))

    @stateful.rule(during=st.booleans())
    def announce_during_commits(self, during: bool) -> None:
        site = self.site
        site.node.before_commit = site.announce if during else None

    @stateful.rule()
    def elect_again(self) -> None:
        self.site.elect()

    @stateful.rule(steps=st.integers(1, 20))
    def no_leader(self, steps: int) -> None:
        self.site.node.leads = False
        self.site.clock.now_ms += 500 * steps
        for worker in self.site.workers.values():
            worker.expire()
        self.site.elect()

    @stateful.invariant()
    def no_violation_was_observed(self) -> None:
        if hasattr(self, "site"):
            assert not self.site.violations, self.site.violations
            for name in JOBS:
                for index in range(2):
                    task = f"job/{name}/{index}"
                    assert len(self.site.workers_running(task)) <= 1, task

    def teardown(self) -> None:
        """Removes all faults and checks the scheduler's recovery."""
        if hasattr(self, "site"):
            self.remove_faults()
            self.site.close()
            assert not self.site.violations, self.site.violations

    def remove_faults(self) -> None:
        site = self.site
        site.node.before_commit = None
        site.node.quorum = True
        site.node.loses_replies = False
        site.client.lose_request.clear()
        site.client.lose_reply.clear()
        site.client.delay.clear()
        for worker in site.workers.values():
            worker.connected = True
            worker.leaving = False
            worker.checkpoints = True
            worker.usage = None
        for zone in ZONES:
            self.zone_in(zone)
        for _ in range(40):
            site.pass_time(1_000)
            for worker in site.workers.values():
                site.report(worker.name)
                for task in list(worker.attempts):
                    if worker.is_running(task) and task.startswith("job/"):
                        worker.finish(task)
        site.pass_time(40_000, step_ms=2_000)
        for index in range(2):
            assert len(site.workers_running(f"service/prices/{index}")) == 1


TestScheduling = SchedulingMachine.TestCase
TestScheduling.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
