"""Runs of earlier terms that wait for the heartbeat of their worker."""

import curio

import announced_workers
from galenahook.jobs import unattached
import job_builders as build
from test_jobs_dispatcher import FakeNode
from test_jobs_dispatcher import make


def record(worker="w1", index=0, born_ms=1, machine="m1"):
    return build.tasks_lib.RunRecord(
        task=f"{build.JOB}.0.0.{index}",
        run=1,
        worker=worker,
        born_ms=born_ms,
        machine=machine,
    )


def heartbeat(worker="w1", born_ms=1, machine="m1"):
    return build.heartbeat(worker, born_ms=born_ms, machine=machine)


def test_a_worker_takes_its_runs_once():
    first, second = record(index=1), record(index=2)
    runs = unattached.UnattachedRuns([first, second, record("w2")])
    assert runs.take_runs_of(heartbeat()) == [first, second]
    assert runs.take_runs_of(heartbeat()) == []


def test_an_earlier_incarnation_takes_no_run_of_a_later_one():
    later = record(born_ms=2)
    runs = unattached.UnattachedRuns([later])
    assert runs.take_runs_of(heartbeat(born_ms=1)) == []
    assert runs.take_replaced_by(heartbeat("w2", born_ms=2)) == []
    assert runs.take_runs_of(heartbeat(born_ms=2)) == [later]


def test_a_newer_worker_replaces_all_earlier_ones_on_its_vm():
    first, second = record("w1"), record("w2", index=1)
    other, unknown = record("w3", machine="m2"), record("w4", machine="")
    runs = unattached.UnattachedRuns([first, second, other, unknown])
    assert runs.take_replaced_by(heartbeat("w9", 2, "")) == []
    assert runs.take_replaced_by(heartbeat("w9", 2)) == [first, second]
    assert runs.take_all(may_be_pending=False) == [other, unknown]
    assert runs.take_all(may_be_pending=False) == []


class CountedRecord:
    """A record of a run that counts how often it is compared."""

    reads = 0

    def __init__(self, replaced):
        self._replaced = replaced

    def __getattr__(self, name):
        CountedRecord.reads += 1
        return getattr(self._replaced, name)


def test_a_heartbeat_does_not_compare_the_runs_of_all_workers():
    node = FakeNode()
    node.state.apply(build.submit(build.step(tasks=200)))
    names = [f"{build.JOB}.0.0.{index}" for index in range(200)]
    node.state.apply(
        build.starts(
            *(
                build.start(name, worker=f"w{number}")
                for number, name in enumerate(names)
            )
        )
    )
    job = node.state.jobs.jobs[build.JOB]
    for key, run in job.runs.items():
        job.runs[key] = CountedRecord(run)
    dispatcher = make(node)
    CountedRecord.reads = 0

    async def main():
        await announced_workers.join(dispatcher, build.heartbeat("w7"))
        await dispatcher.close()

    curio.run(main)
    assert len(dispatcher.links["w7"].worker.runs) == 1
    assert CountedRecord.reads < 20
