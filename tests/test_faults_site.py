"""Faults on a site of real processes, one row a fault or a pair of faults.

Each row runs callers, writers, keyed writers and operators through the fault
and judges by what they and the upstreams saw. `fakes.scenario` has the run.
"""

import curio
import pytest

from fakes import relay as relay_lib
from fakes import scenario as scenario_lib

_FORWARD = relay_lib.Direction.FORWARD
_BACKWARD = relay_lib.Direction.BACKWARD

ROWS = {
    "leader killed": (scenario_lib.Kill("leader"),),
    "leader frozen": (scenario_lib.Freeze("leader"),),
    "leader isolated": (scenario_lib.Isolate("leader"),),
    "leader hears nobody": (scenario_lib.HoldOneWay("to-leader", _FORWARD),),
    "leader is not answered": (
        scenario_lib.HoldOneWay("from-leader", _BACKWARD),
    ),
    "connections to the leader go silent": (
        scenario_lib.LoseTrack("to-leader"),
    ),
    "connections to executors go silent": (
        scenario_lib.LoseTrack("executors"),
    ),
    "entry killed": (scenario_lib.Kill("entry-1"),),
    "entry frozen": (scenario_lib.Freeze("entry-1"),),
    "worker killed": (scenario_lib.Kill("worker-p"),),
    "worker frozen": (scenario_lib.Freeze("worker-p"),),
    "upstreams restart": (scenario_lib.RestartUpstream(),),
    "messages lost, late and repeated": (scenario_lib.BadMessages(),),
    "follower loses its disk": (scenario_lib.LoseDisk(),),
    "leader's log is torn": (scenario_lib.TearLog("leader"),),
    "cancellations in waves": (scenario_lib.CancelWave(),),
    "worker fails everything": (scenario_lib.FailEverything(),),
    "availability zone out": (scenario_lib.ZoneOut(),),
    "upstreams leave": (scenario_lib.ExecutorLeaves(),),
    "leader and entry killed together": (
        scenario_lib.Kill("leader"),
        scenario_lib.Kill("entry-1"),
    ),
    "availability zone out while the leader freezes": (
        scenario_lib.ZoneOut(),
        scenario_lib.Freeze("leader"),
    ),
    "bad messages while the leader is killed": (
        scenario_lib.BadMessages(),
        scenario_lib.Kill("leader"),
    ),
}


@pytest.mark.parametrize("row", list(ROWS))
def test_rules_hold_through(row, tmp_path):
    scenario = scenario_lib.Scenario(str(tmp_path), seed=1)
    assert curio.run(scenario.run, *ROWS[row]) == []
