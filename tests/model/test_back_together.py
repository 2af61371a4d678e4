"""All nodes restart at once under high load, with callers that retry at once: the requests admitted in the first
second must not overload the servers."""

from __future__ import annotations

import pytest

from headspar.model.simulate import simulate
from headspar.world.mass_failures import MassFailure, scenario, without_failure
from headspar.world.plan import draw
from headspar.world.recovery import measure_recovery


@pytest.mark.parametrize("seed", [4, 5, 8])
def test_full_service_is_back_within_some_seconds(seed: int) -> None:
    """Guards against K following the answers of the first second, which come from servers with empty queues.

    Recovery took 10.4, 11.9 and 12.0 s then."""
    s = scenario(MassFailure(share=1.0, utilisation=0.8, deaf=True, again=3), seed)
    plan = draw(s, seed)
    without, failed = simulate(s, seed, plan=without_failure(plan)), simulate(s, seed, plan=plan)
    c = measure_recovery(failed.recording, without.recording, s.discovery.calls_per_s)
    assert c.full_s is not None and c.full_s < 5.0 and c.lost_s < 3.0
    assert not any(failed.verdict.counts.values())
