"""Drains while discovery is overloaded with calls, in simulated time: the real decision module, watch and plan."""

from __future__ import annotations

import pytest

from headspar.model.simulate import Result, simulate
from headspar.world.scenario import parse

SCENARIO = """
name = "join"
length_s = 14
[nodes]
count = {nodes}
sockets = 384
memory_mb = 80
peers = {peers}
[[servers]]
count = 60
cold_share = 0.14
ramp_s = 23
[load]
utilisation = 0.3
work_scale = 2
[discovery]
calls_per_s = {calls}
[[faults]]
at_s = 2
kind = "drain"
servers = 36
linger_s = 4
back_s = 1
"""


def run(nodes: int, calls: int, seed: int, peers: bool = True) -> Result:
    return simulate(parse(SCENARIO.format(nodes=nodes, calls=calls, peers=str(peers).lower())), seed)


@pytest.mark.parametrize(("nodes", "calls", "seed"), [(40, 20, 1), (40, 20, 2), (100, 20, 1)])
def test_drains_are_kept_where_discovery_has_more_callers_than_it_can_answer(
    nodes: int, calls: int, seed: int
) -> None:
    """Guards against a node that gets no answer for 10 s and sends to drained servers.

    ``benchmarks.fleet`` found it with 40 nodes, 20 calls per second and 36 of 60 servers drained.  With 100 nodes
    each gets an answer every 5 s at best, and the audit counts a drain as known 6 s after discovery learned of it."""
    result = run(nodes, calls, seed)
    assert not result.verdict.kinds, result.verdict.violations[:5]
    assert result.discovery_calls > 14 * calls, "discovery had more calls than it can answer"


def test_without_peers_a_hundred_nodes_cannot_keep_them() -> None:
    """Checks the premise of the test above: without peers the answers of discovery do not suffice."""
    assert set(run(100, 20, 1, peers=False).verdict.kinds) == {"drain: sent after the grace"}
