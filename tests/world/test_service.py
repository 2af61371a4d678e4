"""Tests of the service level: worth delivered in time over worth requested."""

from __future__ import annotations

import pytest

from headspar.world.records import CallRule, ClientAttemptRecord, ClientOutcome
from headspar.world.service import measure
from tests.world.test_audit import MS, S, recording


def test_all_in_time_is_one() -> None:
    s = measure(recording())
    assert [s.whole, s.worst_10_s, s.worst_class, s.worst_agent, s.goal] == pytest.approx([1.0] * 5)
    assert (s.first_tries, s.tries, s.amplification) == (4, 4, 1.0)
    assert sum(x.served for x in s.seconds) == 4 == sum(x.asked for x in s.seconds)


def test_late_is_worth_a_part_and_refused_nothing() -> None:
    r = recording()
    r.asks[1].ended_at = r.asks[1].sent_at + 401 * MS
    r.asks[2].status = 503
    s = measure(r)
    assert s.whole == pytest.approx((1 + 3 + 0 + 5) / 24)
    assert s.by_class == {"look": 1, "pay": pytest.approx(0.3), "batch": 0, "crew": 1}
    assert s.worst_class == 0 and s.seconds[2].refused == 1


def test_a_retry_earns_what_its_first_try_did_not() -> None:
    r = recording()
    r.asks[1].status = 503
    r.asks.append(ClientAttemptRecord(1, 1, "n1", S + 150 * MS, S + 150 * MS, S, S + 300 * MS,
                                      ClientOutcome.ANSWER, 200))
    s = measure(r)
    assert s.whole == 1.0 and s.tries == 5 and s.first_tries == 4
    r.asks[-1].genuine = False
    assert measure(r).by_class["pay"] == 0


def test_the_worst_ten_seconds_are_found() -> None:
    r = recording()
    for i in range(200):
        at = i * 100 * MS
        r.rules.calls.append(CallRule(0, 0, 30 * MS))
        status = 503 if 5 * S <= at < 15 * S else 200
        r.asks.append(ClientAttemptRecord(4 + i, 0, "n1", at, at, S, at + 50 * MS, ClientOutcome.ANSWER, status))
    s = measure(r)
    assert s.worst_10_s < 0.05 < s.whole


def test_beyond_its_share_an_agents_traffic_is_worth_less_and_spares_the_others() -> None:
    r = recording()
    r.rules.agents = [("quiet", 0.5), ("flood", 0.5)]
    r.rules.quota_rps = 10.0
    for i in range(400):
        at = 10 * S + i * 10 * MS
        r.rules.calls.append(CallRule(0, 1, 30 * MS))
        status = 200 if i < 30 else 503
        r.asks.append(ClientAttemptRecord(4 + i, 0, "n1", at, at, S, at + 50 * MS, ClientOutcome.ANSWER, status))
    s = measure(r)
    assert s.by_agent["quiet"] == 1.0
    within = 10 + 20  # a token bucket of two seconds, then five per second for four seconds
    assert 10 / within <= s.by_agent["flood"] < 0.6
    r.rules.over_share_worth = 1.0
    assert measure(r).whole < s.whole  # refusals beyond the share now count in full


def test_nothing_asked_is_no_division_by_zero() -> None:
    r = recording()
    r.asks.clear()
    s = measure(r)
    assert (s.whole, s.first_tries, s.amplification) == (1.0, 0, 0.0)
