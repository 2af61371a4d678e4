"""Tests of reloading settings at SIGHUP: validation, and the effect on requests in progress and learned state."""

from __future__ import annotations

import copy
import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

import pytest

from headspar.connections.plan import Plan, PlanSettings
from headspar.decide import Balancer
from headspar.interface import (
    AttemptEnded,
    Effect,
    Fail,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    SettingsChanged,
    Tenant,
)
from headspar.node.request_validation import GRACE_US, Intake
from headspar.operations.reload import missing, shape
from tests.helpers import LOOK, PAY, full, settings
from tests.loopback import TIMEOUT_S, Node, answer, reset, running, wait_for
from tests.loopback import settings as raw_settings

# ------------------------------------------------------------ without sockets


def configuration() -> dict[str, Any]:
    return {"seed": "1", "limits": {"cores": 1}, "known": {}, "discovery": "x:1", "settings": raw_settings()}


def test_a_file_that_lacks_a_key_of_the_one_in_force_is_short_of_it() -> None:
    before = shape(configuration())
    assert missing(before, shape(configuration())) is None
    for path in ("discovery", "limits.cores", "settings.az", "settings.invariants.fall_us",
                 "settings.policy_limits.cancel"):
        after = configuration()
        *parts, last = path.split(".")
        part = after
        for name in parts:
            part = part[name]
        del part[last]
        assert missing(before, shape(after)) == path
    after = configuration()
    del after["settings"]["classes"][1]["worth"]
    assert missing(before, shape(after)) == "settings.classes[].worth"
    more = configuration()
    more["more"] = 1
    more["settings"]["classes"] = more["settings"]["classes"][:1]
    del more["settings"]["classes"][0]["window_us"]  # not needed by a class that is safe to repeat
    assert missing(before, shape(more)) is None


def test_a_form_that_was_right_is_taken_for_a_while_if_the_class_became_stricter() -> None:
    pay = RequestClass("look", 1, 1, effect=Effect.DEDUP, window_us=9)
    intake = Intake(settings(classes=[LOOK]))
    intake.change(settings(classes=[pay]), 1000)
    assert intake.objection("look", False, False, lambda: 1000 + GRACE_US - 1) is None  # valid before: GET, no key
    assert intake.objection("look", False, False, lambda: 1000 + GRACE_US) is not None
    assert intake.objection("look", False, True, lambda: 1001) is not None  # invalid under both classes
    # A second change within the grace period keeps the first form; a laxer class has no grace period.
    intake.change(settings(classes=[RequestClass("look", 1, 1, effect=Effect.FRAGILE)]), 2000)
    assert intake.objection("look", False, False, lambda: 2001) is None
    intake.change(settings(classes=[LOOK]), 3000)
    assert intake.objection("look", True, True, lambda: 3001) is not None


def test_a_class_that_is_no_longer_in_the_settings_is_taken_for_a_while() -> None:
    intake = Intake(settings(classes=[LOOK, RequestClass("old", 1, 1)]))
    assert intake.objection("new", False, False, lambda: 0) is not None
    intake.change(settings(classes=[LOOK, RequestClass("new", 1, 1)]), 1000)
    assert intake.objection("new", False, False, lambda: 1001) is None
    assert intake.objection("old", False, True, lambda: 1000 + GRACE_US - 1) is None
    intake.change(settings(classes=[LOOK]), 2000)  # a second change within the grace period
    assert intake.objection("old", False, True, lambda: 2001) is None
    assert intake.objection("new", False, True, lambda: 2001) is None
    assert intake.objection("old", False, True, lambda: 2000 + GRACE_US) is not None
    intake.change(settings(classes=[LOOK, RequestClass("old", 1, 1)]), 3 * GRACE_US)
    assert intake.objection("old", False, False, lambda: 3 * GRACE_US + 1) is None


class Module:
    """The decision module with a simulated clock."""

    def __init__(self) -> None:
        self.balancer = Balancer(settings(tenants=[Tenant("t1", 10.0)]), 7)
        self.now = 1_000_000
        self.handle(full(6))

    def handle(self, *events: Any) -> list[Any]:
        self.now += 1000
        return self.balancer.handle(self.now, list(events))

    def arrive(self, id: str, cls: str) -> list[Any]:
        return self.handle(RequestArrived(id, cls, self.now + 2_000_000, 10_000, None, None))

    def sent(self, actions: list[Any]) -> list[Send]:
        return [a for a in actions if isinstance(a, Send)]


def test_a_request_under_way_keeps_its_class_effect_and_attempts() -> None:
    m = Module()
    sent = m.sent(m.arrive("r", "look"))
    stricter = settings(classes=[RequestClass("look", 400_000, 2_000_000, effect=Effect.FRAGILE)], max_attempts=1)
    m.handle(SettingsChanged(stricter))
    # The request arrived as safe to repeat, with three attempts: it is retried after a reset.
    again = m.sent(m.handle(AttemptEnded("r", 0, sent[0].backend, Outcome.RESET, 5000, False)))
    assert len(again) == 1
    # A new request is unsafe to repeat and has one attempt.
    new = m.sent(m.arrive("n", "look"))
    after = m.handle(AttemptEnded("n", 0, new[0].backend, Outcome.RESET, 5000, False))
    assert not m.sent(after) and any(isinstance(a, Fail) for a in after)
    late = m.sent(m.arrive("o", "look"))
    turned = m.handle(AttemptEnded("o", 0, late[0].backend, Outcome.FULL, 5000, False))
    assert not m.sent(turned) and any(isinstance(a, Refuse) for a in turned)


def test_a_vanished_class_ends_its_requests_and_a_new_one_is_known_at_once() -> None:
    m = Module()
    sent = m.sent(m.arrive("r", "pay"))
    m.handle(SettingsChanged(settings(classes=[LOOK, RequestClass("new", 1, 9_000_000, effect=Effect.RETRYABLE)])))
    again = m.sent(m.handle(AttemptEnded("r", 0, sent[0].backend, Outcome.CONNECT_FAILED, 100, False)))
    assert len(again) == 1  # still keyed, and the attempt never ran
    m.handle(AttemptEnded("r", 1, again[0].backend, Outcome.OK, 100, True))
    assert "r" not in m.balancer.requests
    new = m.sent(m.arrive("n", "new"))
    assert len(m.sent(m.handle(AttemptEnded("n", 0, new[0].backend, Outcome.RESET, 100, False)))) == 1


def test_the_module_keeps_what_it_learned() -> None:
    m = Module()
    for i in range(60):
        for s in m.sent(m.arrive(f"r{i}", "look")):
            m.handle(AttemptEnded(s.id, 0, s.backend, Outcome.OK, 50_000 + 100 * i, True))
        m.now += 50_000
    b = m.balancer
    assert b.tick_at is not None
    m.now = max(m.now, b.tick_at)
    m.handle()  # ticks now, so that no tick falls between the compared states
    before = (b.capacity.k, b.by_name["look"].count, b.by_name["look"].base,
              {x.id: (x.health, x.seen) for x in b.membership.backends.values()})
    look, share = b.admission.index["look"], b.admission.smooth[b.admission.index["look"]]
    b.admission.over_share("t1", m.now)
    tokens = b.admission.tenants["t1"][1]
    m.handle(SettingsChanged(settings(classes=[PAY, LOOK], tenants=[Tenant("t1", 20.0), Tenant("t3", 5.0)])))
    assert before == (b.capacity.k, b.by_name["look"].count, b.by_name["look"].base,
                      {x.id: (x.health, x.seen) for x in b.membership.backends.values()})
    assert look == 0 and b.admission.index["look"] == 1 and b.admission.smooth[1] == share > 0
    assert b.admission.tenants["t1"][1] == tokens and set(b.admission.tenants) == {"t1", "t3"}
    # The learned figures of a class are kept when its aim changes.
    m.handle(SettingsChanged(settings(classes=[RequestClass("look", 1000, 2_000_000)])))
    assert b.by_name["look"].count == before[1] and b.by_name["look"].spec.aim_us == 1000


def test_another_idle_time_holds_for_connections_that_stand_idle() -> None:
    plan = Plan(PlanSettings(10, 1_000_000), 1)
    plan.place("s", 0)
    result = plan.take("s", 0, proof=False)
    plan.opened(result.connection, 0, taken=False)
    plan.change(60_000_000, 4)
    assert plan.tick(2_000_000)[0] == []
    plan.change(1_000_000, 4)
    assert plan.tick(2_000_000)[0] == [result.connection]


# ------------------------------------------------------------ on the real program


def stats(node: Node) -> dict[str, Any]:
    return node.call("/stats")[1]


def reload(node: Node, config: dict[str, Any]) -> None:
    before = stats(node)["reload_success"]
    node.reconfigure(config)
    wait_for(lambda: stats(node)["reload_success"] == before + 1)


def test_a_new_class_a_vanished_one_and_fewer_attempts() -> None:
    def script(sock: socket.socket, n: int) -> bool | None:
        if n == 1:
            sock.sendall(answer())
            return None
        reset(sock)
        return False

    with running(script, ops=True) as node, node.client() as client:
        assert client.ask("look").status == 200
        config = node.configuration()
        rows = config["settings"]["classes"]
        rows[:] = [rows[0], {**rows[1], "name": "refund"}]
        config["settings"]["policy_limits"]["try_limit"] = 2
        reload(node, config)
        replies = stats(node)["replies"]
        assert "refund" in replies and replies["look"]["success"] == 1 and "crew" in replies
        # A keyed class: it needs a key, and is attempted at most twice.
        assert client.ask_with({"X-Call-Class": "refund"}).status == 400
        before = stats(node)["dispatches"]
        assert client.ask("pay", b"", X_Call_Class="refund").status == 502
        assert stats(node)["dispatches"] == before + 2
        assert stats(node)["replies"]["refund"]["error"] == 1


BREAKS: dict[str, Callable[[dict[str, Any]], Any]] = {
    "empty": lambda c: "",
    "cut off": lambda c: json.dumps(c)[:200],
    "no object": lambda c: "[]",
    "short of a key": lambda c: c["settings"]["invariants"].pop("fall_us"),
    "short of discovery": lambda c: c.pop("discovery"),
    "deadline 0": lambda c: c["settings"]["classes"][0].update(give_up_us=0),
    "deadline below 0": lambda c: c["settings"]["classes"][1].update(give_up_us=-5),
    "deadline no number": lambda c: c["settings"]["classes"][1].update(give_up_us="5"),
    "attempts 0": lambda c: c["settings"]["policy_limits"].update(try_limit=0),
    "attempts true": lambda c: c["settings"]["policy_limits"].update(try_limit=True),
    "a class twice": lambda c: c["settings"]["classes"].append(c["settings"]["classes"][0]),
    "no classes": lambda c: c["settings"].update(classes=[]),
}


@pytest.fixture(scope="module")
def kept() -> Any:
    with running(None, None, ops=True) as node:
        config = node.configuration()
        config["discovery"] = f"{node.discovery.address[0]}:{node.discovery.address[1]}"
        reload(node, config)
        yield node, config


@pytest.mark.parametrize("name", BREAKS)
def test_a_broken_file_leaves_all_as_it_was_and_is_counted(kept: tuple[Node, dict[str, Any]], name: str) -> None:
    node, good = kept
    config = copy.deepcopy(good)
    config["settings"]["classes"][0]["name"] = "other"
    made = BREAKS[name](config)
    before = stats(node)
    lines = node.log.read_text().count("nothing taken")
    node.reconfigure(made if isinstance(made, str) else config)
    wait_for(lambda: stats(node)["reload_failure"] == before["reload_failure"] + 1)
    assert stats(node)["reload_success"] == before["reload_success"]
    assert "other" not in stats(node)["replies"]
    assert node.log.read_text().count("nothing taken") == lines + 1
    with node.client() as client:
        assert client.ask("look").status == 200


def test_reloads_every_tenth_of_a_second_under_load_with_broken_ones_among_them() -> None:
    with running(None, None, ops=True) as node:
        statuses: list[int] = []
        stopping = threading.Event()

        def ask(cls: str) -> None:
            with node.client() as client:
                while not stopping.is_set():
                    statuses.append(client.ask(cls, b"").status)

        threads = [threading.Thread(target=ask, args=(cls,)) for cls in ("look", "pay", "crew") * 4]
        for thread in threads:
            thread.start()
        config = node.configuration()
        for i in range(50):
            config["settings"]["policy_limits"]["try_limit"] = 2 + i % 3
            node.reconfigure("{" if i % 5 == 4 else config)
            time.sleep(0.1)
        wait_for(lambda: stats(node)["reload_success"] + stats(node)["reload_failure"] >= 45)
        stopping.set()
        for thread in threads:
            thread.join(TIMEOUT_S)
        assert len(statuses) > 500 and set(statuses) == {200}
        assert stats(node)["reload_failure"] >= 8


def test_two_signals_in_a_row_and_reloads_in_a_drain_and_an_upgrade() -> None:
    with running(None, ops=True) as node:
        config = node.configuration()
        row = config["settings"]["classes"][0]

        def with_class(name: str) -> dict[str, Any]:
            config["settings"]["classes"].append({**row, "name": name})
            return config

        node.reconfigure(with_class("one"))
        node.reconfigure(with_class("two"))
        wait_for(lambda: "two" in stats(node)["replies"])
        node.call("/healthcheck/fail", "POST")
        node.reconfigure(with_class("three"))
        wait_for(lambda: "three" in stats(node)["replies"])
        assert node.health() == 503
        node.call("/healthcheck/ok", "POST")
        node.upgrade()
        assert "three" in stats(node)["replies"]
        node.reconfigure(with_class("four"))
        wait_for(lambda: "four" in stats(node)["replies"])
        with node.client() as new:
            assert new.ask("look", X_Call_Class="four").status == 200
