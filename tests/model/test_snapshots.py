"""Nodes that restore a correct or corrupted snapshot when they restart."""

from __future__ import annotations

import pytest

from headspar.handover.beliefs import Beliefs
from headspar.model.simulate import Result, Tuning, TuningError, simulate
from headspar.model.snapshots import LYING, MODES, OTHER, accepted_part, invert
from headspar.snapshot.expiry import Origin
from headspar.world.scenario import Fault, Load, Nodes, Scenario, Servers, check
from tests.handover.test_beliefs import learned
from tests.helpers import settings


def scenario(*faults: Fault) -> Scenario:
    return check(Scenario(name="kept", length_s=14.0, nodes=Nodes(count=4), servers=[Servers(count=5)],
                          load=Load(rps=80.0), faults=list(faults)))


KILLED = Fault(at_s=5.0, kind="node_kill", nodes=4, back_s=0.5)


def play(mode: str) -> Result:
    return simulate(scenario(KILLED), 1, Tuning(keeps=mode))


def test_nothing_is_other_where_nobody_is_killed_and_the_rules_hold_with_any() -> None:
    s = scenario()
    assert simulate(s, 1).digest() == simulate(s, 1, Tuning(keeps="fresh")).digest()
    none = play("")
    results = {mode: play(mode) for mode in MODES}
    assert len({none.digest(), *(r.digest() for r in results.values())}) > 4  # the snapshots lead to different runs
    for mode, result in results.items():
        assert not any(result.verdict.counts.values()), mode
        assert result.verdict.served >= 0.97 * none.verdict.served, mode


def test_what_is_taken_follows_the_mode() -> None:
    beliefs = learned()[1]
    accepted = {
        mode: accepted_part(mode, beliefs, "n2" if mode == OTHER else "n1", 5_000_000, "n1", settings(), 6_000_000)
        for mode in MODES
    }
    assert accepted["fresh"].age_s == 1.0 and accepted["1 h"].age_s == 3601.0
    assert accepted[OTHER].origin is Origin.NODE
    assert accepted["fresh"].weights["capacity"] > 0.9 and accepted["10 min"].weights["capacity"] == 0
    assert accepted[LYING].origin is Origin.OWN


def test_a_lie_is_the_other_way_round() -> None:
    beliefs = learned()[1]
    inverted: Beliefs = invert(beliefs)
    unhealthy = min(beliefs.experience.servers, key=lambda s: s.health).id
    assert next(s.health for s in inverted.experience.servers if s.id == unhealthy) > 0.5
    assert inverted.experience.capacity["k"] < beliefs.experience.capacity["k"] / 100
    assert inverted.experience.kinds["x"] == beliefs.experience.kinds["x"][::-1]


def test_a_mode_that_there_is_not_is_named() -> None:
    with pytest.raises(TuningError, match="keeps: 'old' is not one of fresh"):
        play("old")
