"""Restored parts of a snapshot by origin and age, and the bound on how long a wrong snapshot affects decisions."""

from __future__ import annotations

import random
from dataclasses import replace
from math import isfinite
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from headspar.connections.plan import Learned
from headspar.decide import PEER_STALE_US, Balancer
from headspar.handover.beliefs import Beliefs
from headspar.interface import (
    AttemptEnded,
    Experience,
    Outcome,
    Recalled,
    Refuse,
    RequestArrived,
    Send,
    ServerExperience,
    TimerFired,
)
from headspar.snapshot import expiry
from headspar.snapshot.expiry import DAY, FIELDS, HOUR, Header, LocalIdentity, Origin, origin_of, restore, weight
from tests.handover.test_beliefs import Module, learned
from tests.helpers import entry, full
from tests.helpers import settings as module_settings

WALL = 1_800_000_000_000_000
HEADER = Header("n1", "a", "s1", WALL, -5_000)
AIMS = {"look": 400_000.0, "pay": 400_000.0}


def here(age_s: float = 1.0, **more: Any) -> LocalIdentity:
    return replace(LocalIdentity("n1", "a", "s1", WALL + int(age_s * 1e6), -5_000, AIMS), **more)


def test_whose_a_snapshot_is() -> None:
    assert origin_of(HEADER, here()) is Origin.OWN
    assert origin_of(HEADER, here(name="n2")) is Origin.NODE
    assert origin_of(HEADER, here(name="n2", site="b")) is Origin.SITE
    assert origin_of(HEADER, here(settings="s2", site="b")) is Origin.SETTINGS  # differing settings take precedence


@pytest.mark.parametrize(("age_s", "of", "taken"), [
    (1, Origin.OWN, "capacity health speed limits kinds classes work idle list"),
    (60, Origin.OWN, "capacity health speed limits kinds classes work idle list"),
    (120, Origin.OWN, "speed kinds classes work idle list"),
    (HOUR, Origin.OWN, "kinds classes work idle list"),
    (DAY, Origin.OWN, "work idle"),
    (10 * DAY, Origin.OWN, ""),
    (1, Origin.NODE, "speed kinds classes work idle list"),
    (1, Origin.SITE, "kinds work idle"),
    (1, Origin.SETTINGS, "kinds"),
])
def test_what_is_taken_by_its_age_and_by_whose_it_is(age_s: float, of: Origin, taken: str) -> None:
    found = {name for name in FIELDS if weight(name, of, age_s)}
    assert found == set(taken.split())
    for name in FIELDS:  # the weight never grows with age
        assert weight(name, of, age_s) >= weight(name, of, 2 * age_s)


def test_what_goes_bad_in_seconds_is_not_kept_and_the_table_says_to_what_all_decays() -> None:
    assert {n for n, f in FIELDS.items() if not f.half_life_s} == {
        "shares", "tenants", "retries", "outstanding", "peers"}
    assert all(f.source and f.fallback for f in FIELDS.values())
    assert f"{PEER_STALE_US // 1_000_000} s old" in FIELDS["peers"].fallback


def test_a_fresh_one_of_this_node_is_nearly_what_a_hand_over_brings() -> None:
    _, beliefs = learned()
    taken = restore(HEADER, beliefs, here(0.5))
    x, y = beliefs.experience, taken.beliefs.experience
    assert y.capacity["k"] == x.capacity["k"] and "proven" not in y.capacity and "late_num" not in y.capacity
    assert y.classes["look"][1:] == x.classes["look"][1:] and y.classes["look"][0] == expiry.MAX_CLASS_SAMPLES
    unhealthy = {s.id: s.health for s in x.servers if s.health < 0.4}
    assert unhealthy and all(abs(s.health - unhealthy[s.id]) < 0.02 for s in y.servers if s.id in unhealthy)
    assert all(s.linger == 0 and s.last_ok == -1 for s in y.servers)
    assert y.retries == 0 and y.tenants == {} and y.shares == {}
    assert taken.beliefs.learned.limits == beliefs.learned.limits and taken.notes == []


def test_with_its_age_a_server_is_thought_sound_again_and_others_answers_weigh_less() -> None:
    _, beliefs = learned()
    unhealthy = min(beliefs.experience.servers, key=lambda s: s.health).id
    health, counts = [], []
    for age in (0.0, 10.0, 30.0, 60.0):
        e = restore(HEADER, beliefs, here(age)).beliefs.experience
        health.append(next(s.health for s in e.servers if s.id == unhealthy))
        counts.append(sum(row[1] for row in e.kinds.values()))
    assert health == sorted(health) and health[0] < 0.1 < 0.5 < health[-1]
    assert counts == sorted(counts, reverse=True)


def test_one_from_the_future_is_as_old_as_can_be() -> None:
    _, beliefs = learned()
    taken = restore(HEADER, beliefs, here(-3600.0))
    assert taken.age_s is None and {n for n, w in taken.weights.items() if w} == {"work", "idle"}
    assert "can't be told" in taken.notes[0]
    assert restore(HEADER, beliefs, here(-2.0)).age_s == 0.0  # within the tolerated clock skew


def test_times_of_a_server_are_those_of_this_nodes_clock() -> None:
    _, beliefs = learned()
    beliefs.experience.servers[0].started_at_us = 70_000_000
    moved = restore(HEADER, beliefs, here(1.0, offset_us=-5_000 + 60_000_000)).beliefs.experience.servers
    assert moved[0].started_at_us == 130_000_000 and moved[1].started_at_us == 0


def test_a_node_that_found_most_servers_ill_is_not_believed() -> None:
    _, beliefs = learned()
    for s in beliefs.experience.servers[:4]:
        s.health = 0.1
    taken = restore(HEADER, beliefs, here())
    assert all(s.health == 1.0 for s in taken.beliefs.experience.servers)
    assert "4 of 6 servers unhealthy" in taken.notes[0]


def test_latencies_that_can_not_be_are_left_out_and_named() -> None:
    _, beliefs = learned()
    row = beliefs.experience.classes["look"]
    for i, value in ((1, 1e9), (5, 1e9), (6, 500.0)):
        wrong = replace(beliefs.experience, classes={"look": [*row[:i], value, *row[i + 1:]], "gone": row})
        taken = restore(HEADER, replace(beliefs, experience=wrong), here())
        assert taken.beliefs.experience.classes == {} and "class look" in taken.notes[0]


# ---------------------------------------------------------------- bound on the effect of a wrong snapshot

POSITIVE = st.one_of(st.just(0.0), st.floats(0, 1e16), st.sampled_from([1e-300, 1.0, 1e3, 1e9, 1e16]))
CAPACITY = ("k", "linger_us", "rate", "work_rate", "served_rate", "steady", "sent_rate", "late_num", "late_den",
            "pressure", "proven", "typical_work", "typical_own", "mean_load", "acc", "ticks")
SERVERS = [entry(i).backend for i in range(6)]


@st.composite
def arbitrary_beliefs(draw: Any) -> Beliefs:
    """Arbitrary values that the decoder of the learned state accepts."""
    capacity = {n: draw(POSITIVE) for n in CAPACITY}
    for name in ("linger_us", "typical_work", "typical_own"):
        capacity[name] = max(capacity[name], 1e-300)
    servers = [
        ServerExperience(id, 0, draw(st.floats(0, 1)), draw(POSITIVE), draw(POSITIVE), draw(POSITIVE),
                         draw(st.integers(-(10**12), 10**12)), draw(st.integers(-(10**12), 10**12)), 10**12)
        for id in SERVERS
    ]
    kinds = {k: [draw(POSITIVE), draw(POSITIVE)] for k in "xy"}
    classes = {"look": [draw(POSITIVE) for _ in range(7)]}
    e = Experience(capacity, kinds, classes, {"look": [draw(POSITIVE)] * 4}, {"t1": [draw(POSITIVE), 0.0]},
                   draw(st.integers(0, 10**12)), draw(POSITIVE), servers)
    return Beliefs(None, e, Learned({}, [draw(POSITIVE)] * 3, [draw(POSITIVE)] * 3, draw(POSITIVE)))


def under_load(balancer: Balancer, seconds: float, rng: random.Random) -> tuple[list[int], list[tuple[int, str]]]:
    """Times of refusals, and times and backends of attempts, us from the start; servers answer in 40 to 60 ms."""
    start = now = 1_000_000
    refused, sent, serial = [], [], 0
    due: list[tuple[int, Any]] = []
    attempts: dict[str, int] = {}
    while now < start + seconds * 1e6:
        now += 10_000
        serial += 1
        events: list[Any] = [e for at, e in due if at <= now]
        due = [(at, e) for at, e in due if at > now]
        events += [TimerFired(1), RequestArrived(f"r{serial}", "look", now + 2_000_000, 30_000)]
        for action in balancer.handle(now, events):
            if isinstance(action, Refuse):
                refused.append(now - start)
            elif isinstance(action, Send):
                sent.append((now - start, action.backend))
                took = rng.randint(40_000, 60_000)
                number = attempts[action.id] = attempts.get(action.id, -1) + 1
                due.append((now + took, AttemptEnded(action.id, number, action.backend, Outcome.OK, took, True)))
    return refused, sent


@settings(max_examples=120, deadline=None, derandomize=True)
@given(beliefs=arbitrary_beliefs(), age_s=st.sampled_from([0.0, 5.0, 30.0, HOUR, DAY]))
def test_the_worst_snapshot_moves_no_decision_for_longer_than_is_stated(beliefs: Beliefs, age_s: float) -> None:
    """After ``RECOVERY_BOUND_US`` an idle fleet refuses no request, and every healthy server receives its share."""
    taken = restore(HEADER, beliefs, here(age_s)).beliefs.experience
    assert all(isfinite(v) for row in [*taken.kinds.values(), *taken.classes.values()] for v in row)
    balancer = Balancer(module_settings(must_subscribe=False), 7)
    balancer.handle(1_000_000, [full(6), Recalled(taken, soon=False)])
    refused, sent = under_load(balancer, 6.0, random.Random(1))
    assert not [at for at in refused if at > expiry.RECOVERY_BOUND_US], refused[-3:]
    late_backends = [id for at, id in sent if at > 2 * expiry.RECOVERY_BOUND_US]
    assert len(late_backends) >= 150 and set(late_backends) == set(SERVERS)
    assert max(map(late_backends.count, SERVERS)) <= 0.6 * len(late_backends)


def test_a_snapshot_does_not_bring_a_whole_fleet_before_discovery_at_once() -> None:
    _, beliefs = learned()
    asked = []
    for seed in range(30):
        m = Module()
        m.balancer = Balancer(module_settings(), seed)
        m.handle(full(6))
        m.handle(Recalled(restore(HEADER, beliefs, here()).beliefs.experience, soon=False))
        assert m.balancer.membership.watch_at is not None
        asked.append(m.balancer.membership.watch_at - m.now)
    assert max(asked) > 2_000_000 and sum(at < 500_000 for at in asked) < 10
