"""The two reference policies: which servers they choose, and that they keep the rules."""

from __future__ import annotations

from collections import Counter

import pytest

from headspar.interface import (
    Action,
    AttemptEnded,
    BackendList,
    ClientGone,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    TimerFired,
    Watch,
)
from headspar.model.days import day
from headspar.model.references import NAMES, Reference
from headspar.model.simulate import Tuning, TuningError, simulate
from headspar.world.scenario import parse
from tests.helpers import entry, full, settings

S = 1_000_000


def sends(actions: list[Action]) -> list[str]:
    return [a.backend for a in actions if isinstance(a, Send)]


def arrival(i: int, cls: str = "look") -> Event:
    return RequestArrived(f"r{i}", cls, 2 * S, 40_000)


def test_the_plain_one_picks_evenly_among_what_may_be_sent_to() -> None:
    p = Reference(settings(), 1)
    rows = [*full(4).entries, entry(4, health=entry(4).health.DRAINING)]
    p.handle(0, [BackendList(ListKind.FULL, 1, rows)])
    counts = Counter(id for i in range(2000) for id in sends(p.handle(i, [arrival(i)])))
    assert set(counts) == {entry(i).backend for i in range(4)} and min(counts.values()) > 400


def test_the_late_one_sends_the_more_to_a_server_the_sooner_it_is_seen_to_be_done() -> None:
    waits = {entry(i).backend: w for i, w in enumerate((1000.0, 2000.0, 4000.0, float("inf")))}
    p = Reference(settings(), 1, waits.__getitem__)
    p.handle(0, [full(4)])
    counts = Counter(id for i in range(600) for id in sends(p.handle(i, [arrival(i)])))
    assert counts[entry(0).backend] > 1.5 * counts[entry(1).backend] > 1.5 * counts[entry(2).backend] > 0
    assert entry(3).backend not in counts, "it accepts no requests"
    for id in waits:
        waits[id] = float("inf")
    assert sends(p.handle(0, [arrival(601)])), "if no server accepts requests, any may be chosen"


def test_another_server_is_tried_only_where_that_is_allowed() -> None:
    p = Reference(settings(), 1)
    p.handle(0, [full(4)])

    def after(i: int, cls: str, outcome: Outcome) -> list[Action]:
        first, = sends(p.handle(0, [arrival(i, cls)]))
        return p.handle(1000, [AttemptEnded(f"r{i}", 0, first, outcome, 1000, False)])

    assert sends(after(1, "look", Outcome.RESET)) and sends(after(2, "crew", Outcome.FULL))
    assert isinstance(after(3, "crew", Outcome.RESET)[0], Fail), "it may have run, and must not run twice"
    assert "r3" not in p.requests
    p.handle(1000, [ClientGone("r1")])
    assert "r1" not in p.requests
    alone = Reference(settings(), 1)
    assert isinstance(alone.handle(0, [arrival(1)])[0], SetTimer)
    assert isinstance(alone.handle(0, [arrival(2)])[0], Refuse), "there is no server to send to"


def test_it_watches_discovery_and_asks_again_after_a_failure() -> None:
    p = Reference(settings(must_subscribe=True), 1)
    assert isinstance(p.handle(0, [full(2)])[0], SetTimer)
    assert p.handle(1, [TimerFired(1)]) == [Watch(True)]
    retry, = p.handle(2, [BackendList(ListKind.FAILED, 1, [])])
    assert isinstance(retry, SetTimer) and retry.delay_us > 0


CALM = """
name = "calm"
length_s = 4
[nodes]
count = 4
[[servers]]
count = 8
[load]
utilisation = 0.5
[[faults]]
at_s = 1
kind = "slow"
servers = 2
for_s = 3
factor = 6
"""


@pytest.mark.parametrize("policy", NAMES)
def test_a_whole_run_by_a_reference_keeps_the_rules_and_serves(policy: str) -> None:
    result = simulate(parse(CALM), 1, Tuning(policy=policy))
    assert result.verdict.clean, result.verdict.kinds
    assert result.service.whole > 0.6
    second = simulate(parse(CALM), 1, Tuning(policy=policy))
    assert second.digest() == result.digest() != simulate(parse(CALM), 1).digest()


def test_seeing_late_is_worth_something_before_slow_servers() -> None:
    whole = {policy: simulate(parse(CALM), 1, Tuning(policy=policy)).service.whole for policy in NAMES}
    assert whole["late"] > whole["plain"] + 0.02, whole


def test_a_policy_that_there_is_not_is_named() -> None:
    with pytest.raises(TuningError, match="policy: 'best' is not one of plain, late"):
        simulate(parse(CALM), 1, Tuning(policy="best"))


def test_seeing_true_states_late_is_worth_something_on_days_without_faults() -> None:
    served = {
        policy: sum(simulate(day("calm", seed, 24), seed, Tuning(policy=policy)).service.whole for seed in (1, 2))
        for policy in NAMES
    }
    assert served["late"] > served["plain"] + 0.02, served
