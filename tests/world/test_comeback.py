"""Tests of the recovery measures on hand-made records: time to full service, causes, peaks, stale decisions."""

from __future__ import annotations

import math

import pytest

from headspar.model.simulate import simulate
from headspar.world.mass_failures import MassFailure, scenario, without_failure
from headspar.world.plan import draw
from headspar.world.records import (
    AttemptResult,
    CallRule,
    ClientAttemptRecord,
    ClientOutcome,
    Notification,
    Recording,
    RunEvent,
    ServerAttempt,
)
from headspar.world.recovery import (
    RecoveryError,
    find_peaks,
    full_service_time,
    measure_recovery,
    spread,
    stale_decisions,
    summary,
)
from tests.world.test_audit import MS, S, recording

FAILED_AT = 6 * S


def run(lost_until: int = 0, status: int = 503, every: int = 20 * MS, length: int = 20 * S) -> Recording:
    """A call every 20 ms, served in 100 ms by s1.  Of those between the failure and ``lost_until`` every second one
    ends with ``status`` instead."""
    r = recording()
    r.asks, r.sent, r.rules.calls = [], [], []
    for i in range(length // every):
        at = i * every
        r.rules.calls.append(CallRule(0, 0, 30 * MS))
        bad = FAILED_AT <= at < lost_until and i % 2 == 0
        end = at + (5 * MS if bad and status == 503 else 100 * MS)
        r.asks.append(ClientAttemptRecord(i, 0, "n1", at, at, S, end, ClientOutcome.ANSWER, status if bad else 200))
        if not bad or status != 503:
            fate = AttemptResult.ERROR if bad else AttemptResult.DONE
            r.sent.append(ServerAttempt(i, 0, "s1", "n1", at + MS, at + 90 * MS, fate, 30 * MS, True))
    r.marks += [RunEvent(-S, "node_start", "n1"), RunEvent(-S, "node_start", "n2"),
                RunEvent(FAILED_AT, "node_kill", "n2"), RunEvent(FAILED_AT + MS, "node_exit", "n2"),
                RunEvent(FAILED_AT + 1500 * MS, "node_start", "n2")]
    r.rules.quota_rps = 1000.0
    return r


def test_full_service_is_the_first_moment_from_which_it_stays() -> None:
    r = run(lost_until=9 * S)
    c = measure_recovery(r)
    assert c.before == 1.0 and c.full_s == pytest.approx(3.0, abs=0.15)
    assert c.from_start_s == pytest.approx(1.5, abs=0.15)
    assert c.lost_s == pytest.approx(1.5, rel=0.1) and list(c.causes) == ["refused unsent"]
    assert [round(row.share, 2) for row in c.rows[:5]] == [0.5, 0.5, 0.5, 1.0, 1.0]
    assert [row.nodes for row in c.rows[:3]] == [1, 2, 2]
    for a in r.asks:  # with a relapse within the following five seconds it is not full service yet
        if 11 * S <= a.planned_at < 12 * S:
            a.status = 500
    assert measure_recovery(r).full_s == pytest.approx(6.0, abs=0.15)


def test_what_a_reference_does_not_serve_either_is_not_asked_for() -> None:
    r = run(lost_until=20 * S)
    assert full_service_time(r, FAILED_AT) is None and measure_recovery(r).full_s is None
    assert measure_recovery(r, run(lost_until=20 * S)).full_s == 0.0
    later = run(lost_until=20 * S)
    assert measure_recovery(r, later).lost_s == 0.0


@pytest.mark.parametrize(("change", "cause"), [
    ({"end": ClientOutcome.UNCONNECTED, "status": 0}, "no node"),
    ({"end": ClientOutcome.CLOSED, "status": 0}, "died with its node"),
    ({"end": ClientOutcome.NONE, "status": 0}, "failed unsent"),
    ({"end": ClientOutcome.LEFT, "status": 0}, "its caller left"),
    ({"status": 503}, "refused unsent"),
    ({"status": 504}, "failed unsent"),
])
def test_causes_of_what_was_not_sent(change: dict[str, object], cause: str) -> None:
    r = run()
    i = next(i for i, a in enumerate(r.asks) if a.planned_at >= FAILED_AT)
    r.sent = [s for s in r.sent if s.call != i]
    for name, value in change.items():
        setattr(r.asks[i], name, value)
    assert cause in measure_recovery(r).rows[0].lost
    if change.get("end") is ClientOutcome.NONE:
        r.marks.append(RunEvent(FAILED_AT, "node_stop", "n1"))
        assert "stood still with its node" in measure_recovery(r).rows[0].lost


def test_causes_of_what_was_sent() -> None:
    def why(**more: object) -> set[str]:
        r = run()
        i = next(i for i, a in enumerate(r.asks) if a.planned_at >= FAILED_AT)
        a = r.asks[i]
        s = next(s for s in r.sent if s.call == i)
        a.ended_at = a.sent_at + 900 * MS
        s.ended_at = a.ended_at - 5 * MS
        for name, value in more.items():
            if name == "mark":
                r.marks += value  # type: ignore[arg-type]
            elif name == "status":
                a.status, s.fate = value, AttemptResult.ERROR  # type: ignore[assignment]
            elif name == "before":
                s.arrived_at = a.sent_at + 600 * MS
                if value:
                    at = a.sent_at + MS
                    r.sent.append(ServerAttempt(i, 0, "s2", "n1", at, at + MS, AttemptResult.REJECTED, 0, False))
        return set(measure_recovery(r).rows[0].lost)

    assert why() == {"late elsewhere"}
    assert why(status=500) == {"failed after attempts"} and why(status=503) == {"refused after attempts"}
    assert why(before=False) == {"late before its first attempt"}
    assert why(before=True) == {"late after other attempts"}
    assert why(mark=[RunEvent(S, "slow", "s1", "slow", 4.0)]) == {"late at a bad server"}
    cold = [RunEvent(5 * S, "die", "s1", "die"), RunEvent(5 * S + 1, "start", "s1", "start")]
    assert why(mark=cold) == {"late at a cold server"}


def test_a_run_that_shows_no_coming_back_says_so() -> None:
    r = run()
    r.marks = [m for m in r.marks if m.what == "node_start"]
    with pytest.raises(RecoveryError, match="no node is killed"):
        measure_recovery(r)
    r.marks.append(RunEvent(S, "node_kill", "n1"))
    with pytest.raises(RecoveryError, match="too early for a baseline"):
        measure_recovery(r)


def test_peaks_are_held_against_before_and_against_what_there_is() -> None:
    r = run()
    r.asked = [(i * 500 * MS, "n1") for i in range(40)] + [(FAILED_AT + i * MS, "n2") for i in range(6)]
    r.accepted = [(S, "s1")] + [(7 * S + i * 10 * MS, "s1") for i in range(15)]
    r.rules.servers["s1"].connection_cost_us = 4000
    p = find_peaks(r, FAILED_AT, 10 * S, 8.0)
    calls = p["calls to discovery"]
    assert calls.most == 7 and calls.over_steady == pytest.approx(7 / 0.4)
    assert calls.over_capacity == pytest.approx(7 / 1.6)
    made = p["handshakes at one server"]
    assert made.most == 15 and made.over_capacity == pytest.approx(15 * 4000 / (2 * S * 0.2)) and made.at == 7 * S
    assert p["work at one server"].over_capacity == pytest.approx(10 * 30 * MS / (2 * S * 0.2))
    assert p["callers' repeats"].most == 0 == p["attempts after the first"].most
    late = find_peaks(r, FAILED_AT, 6 * S + 500 * MS, 8.0)
    assert late["handshakes"].most == 0, "events after the span do not count"


def test_an_attempt_that_rested_on_an_old_entry_is_stale() -> None:
    r = run()
    drained = Notification("n1", "s1", 8 * S, "draining", 0, False, 5)
    r.told = [Notification("n1", "s1", 0, "ready", 0, False, 1), drained,
              Notification("n1", "s1", 9 * S, "ready", 0, False, 6)]
    late = stale_decisions(r)["sent to a server told draining"]
    assert late == pytest.approx(45, abs=1), "those from 100 ms after the notification to the next one"
    r.told[1] = Notification("n1", "s1", 8 * S, "draining", 0, True, 5)
    assert stale_decisions(r) == {}, "a presumed notification may never have arrived"
    r.told[1] = Notification("n2", "s1", 8 * S, "draining", 0, False, 5)
    assert stale_decisions(r) == {}, "another node was notified"
    r.told[1] = Notification("n1", "s1", 8 * S, "draining", 0, False, 0)
    assert stale_decisions(r) == {}, "an older list version that arrived late"
    r.told = [drained]
    r.marks.append(RunEvent(8 * S + 500 * MS, "node_start", "n1"))
    r.told.append(Notification("n1", "s1", 8 * S + 500 * MS, "ready", 0, False, 5))
    assert stale_decisions(r)["sent to a server told draining"] == pytest.approx(20, abs=1)
    r.sent[0].arrived_at = r.asks[0].ended_at + S
    assert stale_decisions(r)["sent after its answer"] == 1


def test_figures_over_seeds() -> None:
    s = spread([float(i) for i in range(10, 0, -1)])
    assert (s.median, s.low, s.high, s.worst) == (5.5, 2.0, 9.0, 10.0)
    assert spread([3.0]) == spread([3.0, 3.0]) and spread([1.0, math.inf]).worst == math.inf
    one, two = measure_recovery(run(lost_until=9 * S)), measure_recovery(run(lost_until=20 * S))
    both = summary([one, two])
    assert both.draws == 2 and both.never == 1 and both.full_s.worst == math.inf
    assert both.causes["refused unsent"] == pytest.approx((one.lost_s + two.lost_s) / 2)


def test_the_measured_fleet_is_the_same_with_and_without_the_blow_and_the_model_plays_both() -> None:
    s = scenario(MassFailure(nodes=12, length_s=18.0, calls_per_s=4.0), 3)
    plan = draw(s, 3)
    calm = without_failure(plan)
    assert calm.calls == plan.calls and len(calm.steps) == len(plan.steps) - 16  # eight nodes, killed and started
    kills = [step.at for step in plan.steps if step.kind == "node_kill"]
    assert len(kills) == 8 and 0 < max(kills) - min(kills) < 200 * MS
    r, without = simulate(s, 3, plan=plan), simulate(s, 3, plan=calm)
    c = measure_recovery(r.recording, without.recording, s.discovery.calls_per_s)
    assert c.full_s is not None and c.full_s < 6 and c.stale == {}
    assert r.recording.asked and r.recording.accepted == sorted(r.recording.accepted)
    with pytest.raises(RecoveryError):
        measure_recovery(without.recording)
