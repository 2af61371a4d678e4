"""Simulated changes with lost, late and duplicate messages, and crashes of nodes, keepers and controllers."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from headspar.rollout.limits import Limits
from headspar.rollout.simulation import NEW, OLD, Faults, Simulation
from headspar.rollout.state import State

LINKS = Faults(drop=0.1, lose=0.1, late=0.1, twice=0.1)
ALL = replace(LINKS, node_deaths=0.0005, keeper_deaths=0.01, state_lost=0.3, controller_deaths=0.03, cuts=0.01,
             cut_s=2.0, until=150.0)
BACK = replace(LINKS, keeper_deaths=0.01, state_lost=0.3, controller_deaths=0.03, cuts=0.01, cut_s=2.0,
              until=120.0, back_at=40.0, silence="back")
CUTS = replace(LINKS, keeper_deaths=0.01, controller_deaths=0.02, cuts=0.02, cut_s=30.0, until=120.0,
              back_at=60.0, silence="back")


def rehearse(faults: Faults, seed: int, nodes: int = 24, sites: int = 3, limits: Limits | None = None,
             seconds: float = 900.0, settings_only: bool = False) -> Simulation:
    world = Simulation(nodes, sites, seed, faults, limits or Limits(3, 1), settings_only)
    world.run(seconds)
    return world


def one_end(world: Simulation) -> bool:
    """Return whether the fleet agrees with the record and no node is left on trial."""
    wanted = {State.DONE: NEW, State.TAKEN_BACK: OLD}[world.change.state]
    return world.settled() and world.running() == {wanted: len(world.nodes)}


@pytest.mark.parametrize("settings_only", [False, True])
def test_with_no_fault_every_node_is_changed_once(settings_only: bool) -> None:
    world = rehearse(Faults(), 1, settings_only=settings_only)
    assert world.change.state is State.DONE and one_end(world) and world.limit_violations == 0
    started = [n.goal_starts for n in world.nodes.values()]
    assert sum(started) == (1 if settings_only else 24) and max(started) == 1  # the first stage also tests a start
    assert world.steps == 48  # a try and a confirm for each


@pytest.mark.parametrize(("bad", "end"), [("dies", State.TAKEN_BACK), ("no start", State.TAKEN_BACK),
                                          ("no hand-over", State.DONE)])
def test_a_bad_generation_meets_one_node_only(bad: str, end: State) -> None:
    for settings_only in (False, bad == "no start"):
        _meets_one(bad, end, settings_only)


def _meets_one(bad: str, end: State, settings_only: bool) -> None:
    world = rehearse(Faults(bad=bad), 2, settings_only=settings_only)
    assert world.change.state is end and one_end(world) and world.limit_violations == 0
    if end is State.TAKEN_BACK:
        assert sum(n.goal_starts > 0 for n in world.nodes.values()) == 1


@pytest.mark.parametrize("faults", [ALL, BACK, CUTS], ids=["all", "back", "cuts"])
def test_whatever_fails_it_comes_to_one_end_within_the_limits(faults: Faults) -> None:
    ends = set()
    for seed in range(25):
        world = rehearse(faults, seed)
        assert world.limit_violations == 0, seed
        assert world.change.state is State.PERSON or one_end(world), (seed, world.change.state, world.running())
        for node in world.nodes.values():
            assert node.epochs == sorted(node.epochs), seed
            steps = [step for _, step in node.epochs]
            assert len(steps) == len(set(steps)), seed
        ends.add(world.change.state)
    assert State.PERSON not in ends


def test_a_controller_that_never_comes_back_leaves_a_fleet_that_goes_back_slot_by_slot() -> None:
    world = Simulation(24, 3, 5, Faults(silence="back"), Limits(3, 1))
    world.run(25.0)
    assert world.change.state in (State.STAGE, State.PROVING) and world.running().get(NEW, 0) >= 3
    world.controller_back_at = float("inf")
    world.run(400.0)
    assert world.running() == {OLD: 24} and world.settled() and world.limit_violations == 0
    held = Simulation(24, 3, 5, Faults(silence="hold"), Limits(3, 1))
    held.run(25.0)
    changed = held.running()[NEW]
    held.controller_back_at = float("inf")
    held.run(400.0)
    assert held.running()[NEW] >= changed


def test_a_fleet_of_one_and_sites_of_one() -> None:
    world = rehearse(Faults(), 1, nodes=1, sites=1)
    assert world.change.state is State.DONE and one_end(world)
    alone = rehearse(Faults(bad="no hand-over"), 1, nodes=1, sites=1)
    assert alone.change.state is State.TAKEN_BACK  # the last healthy node is not restarted
    sites = rehearse(Faults(), 1, nodes=3, sites=3)
    assert sites.change.state is State.DONE and one_end(sites)
