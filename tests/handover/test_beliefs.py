"""Tests of the learned state that an old process passes to a new one."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from headspar.connections.plan import Plan, PlanSettings
from headspar.decide import Balancer
from headspar.handover.beliefs import Beliefs, BeliefsError, decode, encode
from headspar.interface import AttemptEnded, Outcome, Recalled, Refuse, RequestArrived, Send, Watch
from tests.helpers import entry, full, settings
from tests.loopback import running, wait_for

LIST: dict[str, Any] = {"generation": 3, "reset": True, "instances": []}


class Module:
    """The decision module under a steady load, with one failing server."""

    def __init__(self, now: int = 1_000_000) -> None:
        self.balancer = Balancer(settings(), 7)
        self.now, self.serial, self.refused = now, 0, 0
        self.rng = random.Random(5)
        self.handle(full(6))

    def handle(self, *events: Any) -> list[Any]:
        return self.balancer.handle(self.now, list(events))

    def load(self, requests: int) -> dict[str, int]:
        """Sends ``requests`` requests; returns the number of attempts by server."""
        sent: dict[str, int] = {}
        for _ in range(requests):
            self.serial += 1
            self.now += 10_000
            actions = self.handle(RequestArrived(f"r{self.serial}", "look", self.now + 2_000_000, 40_000))
            self.refused += any(isinstance(a, Refuse) for a in actions)
            for s in [a for a in actions if isinstance(a, Send)]:
                sent[s.backend] = sent.get(s.backend, 0) + 1
                if s.backend == entry(0).backend:
                    ended = AttemptEnded(s.id, 0, s.backend, Outcome.ERROR, 1000, True)
                else:
                    ended = AttemptEnded(s.id, 0, s.backend, Outcome.OK, self.rng.randint(40_000, 90_000), True)
                self.handle(ended)
        return sent


def learned() -> tuple[Module, Beliefs]:
    m = Module()
    m.load(600)
    plan = Plan(PlanSettings(10, 15_000_000), 1)
    for id in ("a", "b"):
        plan.place(id, 0)
    plan.servers["a"].limit = 7
    plan.use_us = 60_000.0
    for _ in range(5):
        plan.servers["b"].idle_time.ended(900_000)
    return m, Beliefs(LIST, m.balancer.experience(), plan.learned())


def test_they_come_back_as_they_were() -> None:
    _, beliefs = learned()
    assert decode(encode(beliefs)) == beliefs


def test_a_successor_begins_where_the_first_was() -> None:
    m, beliefs = learned()
    after = Module(m.now)
    after.handle(Recalled(decode(encode(beliefs)).experience))
    a, b = m.balancer, after.balancer
    assert b.capacity.k == pytest.approx(a.capacity.k, rel=0.2) and b.capacity.k > 1000
    assert b.by_name["look"].count == a.by_name["look"].count > 100
    failing = entry(0).backend
    assert b.membership.backends[failing].health == a.membership.backends[failing].health < 0.4
    # It knows the failing server and refuses no request; a process without the state has to find the server again.
    fresh = Module(m.now)
    assert after.load(10).get(failing, 0) < fresh.load(10).get(failing, 0) and after.refused == 0


def test_a_server_that_has_started_anew_is_another_one() -> None:
    m, beliefs = learned()
    after = Module(m.now)
    failing = entry(0).backend
    beliefs.experience.servers[0].started_at_us += 5_000_000
    assert beliefs.experience.servers[0].id == failing
    after.handle(Recalled(beliefs.experience))
    assert after.balancer.membership.backends[failing].health == 1.0


def test_a_successor_watches_discovery_within_half_a_second() -> None:
    m, beliefs = learned()
    after = Module(m.now)
    asked = []
    after.handle(Recalled(beliefs.experience))
    for _ in range(10):
        after.now += 100_000
        asked += [after.now for a in after.handle() if isinstance(a, Watch)]
    assert asked and asked[0] - m.now <= 800_000


def test_a_plan_begins_with_the_limits_and_idle_times_of_another() -> None:
    _, beliefs = learned()
    plan = Plan(PlanSettings(10, 15_000_000), 2)
    for id in ("a", "b", "c"):
        plan.place(id, 0)
    plan.recall(decode(encode(beliefs)).learned, 5)
    assert plan.servers["a"].limit == 7 and plan.servers["b"].limit == 0
    assert plan.use_us == 60_000.0
    assert plan.evidence.broke == beliefs.learned.broke and sum(plan.evidence.broke) == 5


@pytest.mark.parametrize(("path", "value", "left"), [
    ("known", [], "known"), ("known.generation", "3", "known"), ("known.instances", 7, "known"),
    ("experience", None, "experience"), ("experience.capacity.k", "much", "capacity.k"),
    ("experience.capacity.k", -1, "capacity.k"), ("experience.capacity.linger_us", 0, "capacity.linger_us"),
    ("experience.capacity.k", float("nan"), "capacity.k"), ("experience.capacity.k", 1e300, "capacity.k"),
    ("experience.classes.look", [1, 2], "classes.look"), ("experience.classes.look", [-1] * 7, "classes.look"),
    ("experience.classes.look", [9, 1, 1, 1e-300, 1, 1, 1], "classes.look"),  # infinite expected time: crashed
    ("experience.shares.look", [1, 2, 3, None], "shares.look"), ("experience.kinds", [1], "kinds"),
    ("experience.costliest", True, "costliest"), ("experience.servers", {}, "servers"),
    ("experience.servers.0.health", 1.5, "servers.10.0.0.0:80"),
    ("experience.servers.0.seen", -1, "servers.10.0.0.0:80"), ("experience.servers.0.id", 7, "servers.7"),
    ("experience.servers.0.last_ok", None, "servers.10.0.0.0:80"), ("experience.servers", [7], "servers."),
    ("experience.tenants.t1", [1], "tenants.t1"), ("experience.retries", "x", "retries"),
    ("learned.limits", [1], "limits"), ("learned.limits.a", "x", "limits.a"),
    ("learned.broke", [1, "x"], "broke, good"), ("learned.good", [0] * 5000, "broke, good"),
    ("learned.use_us", None, "use_us"),
])
def test_what_can_not_be_used_is_left_out_by_itself_and_named(path: str, value: Any, left: str) -> None:
    valid = learned()[1]
    raw = json.loads(encode(valid))
    part: Any = raw
    *names, last = path.split(".") if path != "experience.servers.0.id" else ["experience", "servers", "0", "id"]
    for name in names:
        part = part[int(name)] if isinstance(part, list) else part[name]
    part[last] = value
    found = decode(json.dumps(raw).encode())
    assert left in found.left
    if path != "experience":
        assert all(name.split(".")[0] in left or name.startswith("capacity") for name in found.left)
        # All other fields are unchanged.
        assert (found.known == valid.known) == (left != "known")
        assert (found.learned == valid.learned) == (not path.startswith("learned"))
        assert (found.experience == valid.experience) == (not path.startswith("experience"))
    assert found.experience.classes.keys() <= valid.experience.classes.keys()


def test_figures_that_mean_something_only_together_go_together() -> None:
    raw = json.loads(encode(learned()[1]))
    del raw["experience"]["capacity"]["linger_us"]
    found = decode(json.dumps(raw).encode())
    assert not {"k", "linger_us", "proven", "mean_load"} & found.experience.capacity.keys()
    assert {"rate", "served_rate", "typical_work", "acc"} <= found.experience.capacity.keys()
    m = Module()
    m.handle(Recalled(found.experience))
    assert m.load(50) and m.balancer.capacity.linger_us <= 5_000_000 and m.refused == 0


def test_rows_of_a_later_version_may_be_longer_and_names_unknown() -> None:
    valid = learned()[1]
    raw = json.loads(encode(valid))
    raw["experience"]["capacity"]["unknown"] = 3.0
    raw["experience"]["classes"]["look"].append("new")
    raw["experience"]["servers"][0]["unknown"] = 1
    raw["unknowns"] = [1]
    raw["v"] = 2  # ``least`` allows this version to read it
    found = decode(json.dumps(raw).encode())
    assert found.left == [] and found.experience.capacity.pop("unknown") == 3.0
    assert found == valid
    Module().handle(Recalled(found.experience))


def test_a_version_that_says_that_it_can_not_be_read_is_not() -> None:
    raw = json.loads(encode(learned()[1]))
    for changed in ({"v": 2, "least": 2}, {"v": 3, "least": "2"}, {"v": 0}, {"v": True}, {"v": "1"}):
        with pytest.raises(BeliefsError, match="version"):
            decode(json.dumps(raw | changed).encode())
    del raw["least"]
    raw["v"] = 2
    with pytest.raises(BeliefsError):
        decode(json.dumps(raw).encode())


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"null", b"\xff", b" " * (5 << 20)])
def test_bytes_that_hold_no_beliefs(data: bytes) -> None:
    with pytest.raises(BeliefsError):
        decode(data)


def test_the_successor_has_the_list_that_was_told_last() -> None:
    with running(None, None, ops=True) as node:
        wait_for(lambda: node.discovery.calls)
        node.discovery.publish([node.backends[0].row(lifecycle="draining", startedAtMs=1_700_000_000_000)])
        wait_for(lambda: node.call("/stats")[1]["targets_disabled"] == 1)
        node.discovery.silent = True
        first = node.second()
        # Its configuration still lists both as ready, and discovery no longer answers.
        assert node.call("/stats")[1]["targets_disabled"] == 1
        first.terminate()
        assert first.wait(15) == 0
        with node.client() as client:
            assert [client.ask().status for _ in range(20)] == [200] * 20
        assert len(node.backends[0].requests) == 0 and "beliefs not taken" not in node.log.read_text()
