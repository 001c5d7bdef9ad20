"""Requests and jobs on a site of real processes, without faults."""

import curio

from fakes import scenario as scenario_lib


def test_requests_and_jobs_complete_end_to_end(tmp_path):
    scenario = scenario_lib.Scenario(str(tmp_path))
    assert curio.run(scenario.run) == []
    reads = scenario.reader.tally
    writes = scenario.writer.tally
    assert reads.count("answered") == len(reads.results) > 0
    assert writes.count("answered") == len(writes.results) > 0
    keyed = scenario.keyed.tally
    assert keyed.count("answered") == keyed.count("not-run") > 0
    events = scenario.all_events()
    completed = [event for event in events if event.kind == "complete"]
    tasks = [
        task for names in scenario.observations.jobs.values() for task in names
    ]
    assert sorted(event.task for event in completed) == sorted(tasks)
