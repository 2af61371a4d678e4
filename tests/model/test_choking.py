"""Servers that become and remain slow when overloaded, with the real decision module in simulated time."""

from __future__ import annotations

import pytest

from headspar.model.figures import Outcome, outcome
from headspar.model.simulate import simulate
from headspar.world.scenario import parse

SCENARIO = """
name = "choking"
length_s = 16
[nodes]
count = 60
[load]
utilisation = {utilisation}
hints = false
quota_of_capacity = 0.52
node_skew = 0.4
[[servers]]
count = 12
cores = 1
speed = [1.5, 2.1]
slots_per_core = 4
[servers.choke]
at = 7
over_s = 2.5
[[servers]]
count = 9
cores = 1
speed = [0.77, 1.0]
slots_per_core = 4
[servers.choke]
at = 4
over_s = 1.5
[[classes]]
name = "status"
share = 0.5
work_ms = [10, 170]
wait_ms = [0, 1]
aim_ms = 1000
deadline_ms = 2000
[[classes]]
name = "check"
share = 0.5
work_ms = [5, 200]
wait_ms = [0, 1]
aim_ms = 600
deadline_ms = 1200
[[agents]]
name = "greedy"
share = 0.43
usage = 2.7
[[agents]]
name = "modest"
share = 0.57
usage = 0.75
[callers]
backoff_ms = [30, 240]
honour = 0.9
[rules]
over_share_worth = 0.05
"""


def play(utilisation: float, seed: int) -> Outcome:
    return outcome(simulate(parse(SCENARIO.format(utilisation=utilisation)), seed), 0.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_guesses_and_repeats_do_not_drown_servers_that_choke(seed: int) -> None:
    """Guards against unlimited hedged requests in the first second of a node.

    On another customer's scenario days each node sent second copies as long as it had any, ten at once on top of the
    whole load, and servers of this kind were overloaded for good before the nodes had learned anything."""
    o = play(1.05, seed)
    assert o.valid and o.figures["whole"] > 0.53  # 0.39 to 0.49 with the fault
