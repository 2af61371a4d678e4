"""The scenarios that the soak draws."""

from __future__ import annotations

from headspar.world.plan import draw
from headspar.world.soak import CROWD_SHARE, PROXIED_SHARE, draw_scenario

SEEDS = range(1, 201)


def test_every_seed_draws_a_valid_scenario_and_the_same_one_again() -> None:
    for seed in SEEDS:
        s = draw_scenario(seed, 10.0)
        assert s == draw_scenario(seed, 10.0)
        assert s.nodes.kill_at_once and s.callers.use_until_killed
        assert {f.kind for f in s.faults} >= {"stray", "turn_away", "node_term"}
    assert len({draw(draw_scenario(seed, 3.0), seed).digest() for seed in range(1, 11)}) == 10


def test_effects_groups_deadlines_kinds_and_crowds_vary_over_the_seeds() -> None:
    drawn = [draw_scenario(seed, 10.0) for seed in SEEDS]
    assert {c.effect for s in drawn for c in s.classes} == {"retryable", "dedup", "fragile"}
    assert {c.group for s in drawn for c in s.classes if c.effect == "dedup"} == {"all", "zone", "cell"}
    longest = {max(c.deadline_ms for c in s.classes) for s in drawn}
    assert min(longest) == 500 and max(longest) == 5000
    kinds = {f.kind for s in drawn for f in s.faults}
    assert kinds >= {"reset", "spoil", "hang", "die", "drain", "vanish", "slow", "node_hup"}
    assert kinds >= {"discovery_silent", "discovery_break", "discovery_move", "node_stop"}
    crowds = sum(any(f.kind == "node_crowd" for f in s.faults) for s in drawn)
    assert 0.5 * CROWD_SHARE < crowds / len(drawn) < 2 * CROWD_SHARE


def test_long_answers_are_drawn_in_every_framing_and_never_through_proxies() -> None:
    drawn = [draw_scenario(seed, 10.0) for seed in SEEDS]
    long = {f.how for s in drawn for f in s.faults if f.kind == "long"}
    assert long == {"chunked", "close", "length"}
    assert all((s.links is None) == any(f.kind == "long" for f in s.faults) for s in drawn)


def test_links_between_nodes_and_servers_vary_over_the_seeds() -> None:
    links = [draw_scenario(seed, 10.0).links for seed in SEEDS]
    drawn = [link for link in links if link is not None]
    assert 0.5 * PROXIED_SHARE < len(drawn) / len(links) < 1.5 * PROXIED_SHARE
    for fault in ("split", "delay_ms", "repeat", "reset", "forget"):
        assert any(getattr(link, fault) > 0 for link in drawn)
