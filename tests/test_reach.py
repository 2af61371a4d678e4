"""Subsetting for fleets with more servers than a node has descriptors: the module's view, and real nodes before such
a fleet."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from headspar.connections.subset import Subset, SubsetSettings
from headspar.decide import Balancer
from headspar.interface import BackendList, Event, Health, ListKind, RequestArrived, Send
from headspar.node import core
from headspar.node.backend_subset import Reach
from headspar.world.scenario import parse
from tests.helpers import entry, full, settings
from tests.lab.test_nodes_under_faults import audited_run

S = 1_000_000


def reach(most: int) -> Reach:
    return Reach(Subset(SubsetSettings(most=most, nodes=3)))


def reachable(event: BackendList) -> set[str]:
    return {e.backend for e in event.entries if e.reachable}


def test_a_fleet_that_fits_is_passed_on_as_it_is() -> None:
    r = reach(100)
    event, left = r.told(full(20), S)
    assert len(reachable(event)) == 20 and event.reach == 1.0 and not left
    assert r.tick(100 * S) == (None, [])
    failed = BackendList(ListKind.FAILED, 1, [])
    assert r.told(failed, S) == (failed, [])


def test_the_module_hears_what_is_out_of_reach_and_never_picks_it() -> None:
    r = reach(20)
    event, _ = r.told(full(60), S)
    inside = reachable(event)
    assert len(inside) == 10 and len(event.entries) == 60 and abs(event.reach - 1 / 6) < 0.01
    b = Balancer(settings(balancers=6), 1)
    b.handle(S, [event])
    assert b.capacity.senders == 1.0  # one of six nodes sends to each backend
    arrivals: list[Event] = [RequestArrived(f"r{i}", "look", 3 * S, 1000) for i in range(200)]
    sends = {a.backend for a in b.handle(S + 1, arrivals) if isinstance(a, Send)}
    assert sends == inside


def test_what_the_module_has_learned_outlives_a_time_out_of_reach() -> None:
    r = reach(20)
    event, _ = r.told(full(60), S)
    b = Balancer(settings(), 1)
    b.handle(S, [event])
    id = next(iter(reachable(event)))
    b.membership.backends[id].health = 0.5
    for reached in (False, True):
        entries = [replace(r.entries[id], reachable=reached)]
        b.handle(2 * S, [BackendList(ListKind.REACH, 1, entries, event.reach)])
        assert (b.membership.backends[id] in b.picker.pool) is reached
    assert b.membership.backends[id].health == 0.5 and len(b.membership.backends) == 60


def test_a_list_of_changes_takes_along_what_it_moves() -> None:
    r = reach(20)
    event, _ = r.told(full(60), S)
    inside = reachable(event)
    gone = sorted(inside)[:4]
    events = [replace(r.entries[id], health=Health.DRAINING if i % 2 else Health.GONE) for i, id in enumerate(gone)]
    change, left = r.told(BackendList(ListKind.DELTA, 2, events), 2 * S)
    entered = reachable(change) - set(gone)
    assert len(entered) == 4 and not entered & inside and set(left) <= set(gone)
    assert len(r.subset.held) == 10 and not r.subset.held & set(gone)
    assert len(r.entries) == 58
    b = Balancer(settings(), 1)
    b.handle(S, [event])
    b.handle(2 * S, [change])
    assert {x.id for x in b.picker.pool} == r.subset.held


def test_steps_of_the_reach_go_to_the_module_and_leave_discoverys_standing_alone() -> None:
    r = reach(20)
    b = Balancer(settings(), 1)
    b.handle(S, [r.told(full(60), S)[0]])
    r.told(BackendList(ListKind.DELTA, 2, [entry(i) for i in range(60, 90)]), 2 * S)
    b.handle(2 * S, [BackendList(ListKind.DELTA, 2, list(r.entries.values()))])
    b.membership.failures = 3
    steps = 0
    for at in range(3, 40):
        event, left = r.tick(at * S)
        if event is None:
            continue
        steps += 1
        assert event.kind is ListKind.REACH and len(left) <= 1 and len(event.entries) <= 2
        b.handle(at * S, [event])
        assert not set(left) & {x.id for x in b.picker.pool}
        assert b.membership.failures == 3
    assert 0 < steps < 30


LARGE = '''
name = "large"
length_s = 12
[nodes]
count = 4
sockets = 128
peers = false
[[servers]]
count = 60
[load]
rps = 160
'''


def test_nodes_of_few_descriptors_serve_a_large_fleet_each_from_its_part(tmp_path: Path) -> None:
    result = audited_run(parse(LARGE), tmp_path)
    v = result.verdict
    assert v.clean, (v.doubts, [x.line() for x in v.violations[:10]])
    assert v.served > 0.97 * v.taken > 1000
    used: dict[str, Counter[str]] = defaultdict(Counter)
    for sent in result.recording.sent:
        used[sent.node][sent.server] += 1
    assert len(used) == 4
    for servers in used.values():
        # 25 connections to servers: about a dozen servers at a time, plus one per step of the rotating subset
        assert 10 <= len(servers) <= 12 + 8
    assert len(set().union(*used.values())) >= 44


def test_since_when_a_backend_drains_is_known_until_it_is_ready_or_gone() -> None:
    r = reach(100)
    r.told(full(4), S)
    assert not r.draining
    out = [entry(i, Health.DRAINING) for i in (0, 1, 2)]
    r.told(BackendList(ListKind.DELTA, 2, out), 2 * S)
    r.told(BackendList(ListKind.DELTA, 3, out[:1]), 3 * S)  # reported again; the first time stays
    assert r.draining == {e.backend: 2 * S for e in out}
    r.told(BackendList(ListKind.DELTA, 4, [entry(0), entry(1, Health.GONE)]), 4 * S)
    assert r.draining == {out[2].backend: 2 * S}
    r.told(full(2, ListKind.FULL), 5 * S)  # a backend that a full list omits is gone
    assert not r.draining


def test_an_attempt_at_a_server_that_has_long_been_told_to_drain_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """The module sends none there; the node's own count detects a version of the module that does."""
    clock = [S]
    monkeypatch.setattr(core, "now_us", lambda: clock[0])
    loop = SimpleNamespace(call_soon=lambda *_: None, call_later=lambda *_: SimpleNamespace(cancel=lambda: None))
    node = core.Node(cast(Any, SimpleNamespace(settings=settings(drain_grace_us=S), seed=1)), cast(Any, loop))
    node.reach = reach(100)
    started: list[str] = []
    node.backends = cast(Any, SimpleNamespace(start=lambda a: started.append(a.backend), repeatable={"look"}))
    node.reach.told(full(2), S)
    node.reach.told(BackendList(ListKind.DELTA, 2, [entry(0, Health.DRAINING)]), 2 * S)
    for at, expected in ((2 * S, 0), (3 * S, 0), (3 * S + 1, 1), (9 * S, 2)):
        clock[0] = at
        node.pause_detector.heartbeat(at)
        r = core.Request(cast(Any, None))
        r.call_id, r.cls, r.arrived_at, r.deadline = b"%d" % at, "look", at, at + S
        node.arrived(r)
        node._send(Send(r.key, entry(0).backend), at)
        node._send(Send(r.key, entry(1).backend), at)
        assert node.ledger.broken == expected, at
    assert len(started) == 8
