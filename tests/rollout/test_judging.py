"""Tests of how a change is judged: the baseline, which figures count, and the effect of a verdict."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec
import pytest

from headspar.keeper.messages import Work
from headspar.rollout.change_judge import Judging
from headspar.rollout.judge.baseline import PIECES, Baseline, take_baseline
from headspar.rollout.judge.power import powers
from headspar.rollout.judge.readings import Intake, Reading
from headspar.rollout.judge.types import BY_CLASS, FIGURES, JudgeSettings, Limits, Verdict, VerdictKind
from headspar.rollout.limits import Limits as Out
from headspar.rollout.record import Fenced, Record
from headspar.rollout.stages import Candidate, plan
from headspar.rollout.state import Cause, Change, Director, RolloutPolicy, State

SITES = {f"n{i}": "ab"[i % 2] for i in range(8)}
WIDE = tuple(msgspec.structs.replace(f, margin=max(0.12, f.margin)) for f in FIGURES)  # for eight nodes
BY_CLASS_WIDE = tuple(msgspec.structs.replace(f, margin=0.2) for f in BY_CLASS)
JUDGED = JudgeSettings(on=True, watch_s=40.0, limits=Limits(
    WIDE, BY_CLASS_WIDE, first_s=20.0, least_s=20.0, most_s=200.0, settle_s=5.0))


def change(**more: object) -> Change:
    stages = plan([Candidate(n, s) for n, s in SITES.items()], [0.5, 1.0])
    return Change("c1", "new", "/new", "old", stages, {},
                  RolloutPolicy(Out(), judge=JUDGED), **more)  # type: ignore[arg-type]


class Fleet:
    """Eight nodes that report their work once a second; changed nodes refuse the share ``refused``."""

    def __init__(self, judging: Judging, refused: float = 0.0, silent: frozenset[str] = frozenset()) -> None:
        self.judging, self.refused, self.silent = judging, refused, silent
        self.rng = random.Random(5)
        self.now = judging.began
        self.up = dict.fromkeys(SITES, 100.0)
        self.process = dict.fromkeys(SITES, "p0")
        self.counts: dict[str, dict[str, float]] = {n: {} for n in SITES}
        self.new: set[str] = set()

    def change(self, *names: str) -> None:
        for n in names:
            self.new.add(n)
            self.process[n], self.up[n], self.counts[n] = "p1", 0.0, {}

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += 1.0
            for n in SITES:
                self.up[n] += 1.0
                c = self.counts[n]
                bad = self.refused if n in self.new else 0.0
                for _ in range(30):
                    kind = "refused" if self.rng.random() < 0.02 + bad else "in_time"
                    for key in ("taken", kind, "attempts", *(f"{k}:pay" for k in ("taken", kind))):
                        c[key] = c.get(key, 0.0) + 1
                c["cpu_ms"] = c.get("cpu_ms", 0.0) + 60.0
                if n not in self.silent or n not in self.new:
                    self.judging.add_work(n, Work(self.process[n], self.up[n], "new" if n in self.new else "old",
                                                  dict(c), {"servers": 10.0, "cold": 0.0}), self.now)


def with_baseline() -> tuple[Judging, Fleet]:
    judging = Judging(JUDGED, SITES, 1000.0, None)
    fleet = Fleet(judging)
    assert "for 40 s" in judging.waits(1000.0)
    fleet.run(42)
    assert judging.waits(fleet.now) == ""
    judging.take_baseline(fleet.now)
    return judging, fleet


def test_a_change_waits_until_the_fleet_has_been_looked_at_and_says_who_tells_nothing() -> None:
    judging = Judging(JUDGED, SITES, 1000.0, None)
    assert "0 of 8 nodes" in judging.waits(1041.0)
    judging, fleet = with_baseline()
    assert judging.before is not None and set(judging.before.sites) == set(SITES)
    assert len(judging.before.pieces) == PIECES and judging.before.totals("n0")["taken"] > 1000


@pytest.mark.parametrize("harm", [0.0, 0.2])
def test_nodes_are_held_against_the_time_before_the_change_in_every_stage(harm: float) -> None:
    """Also in the third stage, before which the nodes of the first stage already differed from unchanged ones."""
    judging, fleet = with_baseline()
    c = change(state=State.PROVING, stage=2, stage_since=30.0, since=30.0)
    fleet.refused = harm
    names = [n for stage in c.stages[:3] for n in stage]
    assert 0 < len(names) < len(SITES)
    fleet.change(*c.stages[0])
    fleet.run(30)  # the change's clock is at 30 s
    fleet.change(*(n for n in names if n not in c.stages[0]))
    verdict, kinds = Verdict(VerdictKind.WAIT, ""), []
    for second in range(120):
        fleet.run(1)
        verdict, fresh = judging.look(c, frozenset(names), 31.0 + second, fleet.now, 0)
        if fresh:
            kinds.append(verdict.kind)
        if verdict.kind is not VerdictKind.WAIT:
            break
    assert verdict.kind is (VerdictKind.BACK if harm else VerdictKind.GO_ON), verdict.reason
    assert kinds and judging.judge is not None and judging.judge.looks >= 1


def test_what_was_looked_at_while_nodes_were_still_changed_lets_no_stage_go_on() -> None:
    judging, fleet = with_baseline()
    c = change(state=State.STAGE, stage=0, stage_since=0.0, since=0.0)
    fleet.change(*c.stages[0])
    for second in range(60):
        fleet.run(1)
        verdict, _ = judging.look(c, frozenset(c.stages[0]), 1.0 + second, fleet.now, 0)
        assert verdict.kind is VerdictKind.WAIT
    c.state, c.since = State.PROVING, 60.0
    verdict, _ = judging.look(c, frozenset(c.stages[0]), 60.0, fleet.now, 0)
    assert verdict.kind is VerdictKind.WAIT and "not all nodes of the stage" in verdict.reason
    for second in range(60):
        fleet.run(1)
        verdict, _ = judging.look(c, frozenset(c.stages[0]), 61.0 + second, fleet.now, 0)
        if verdict.kind is not VerdictKind.WAIT:
            break
    assert verdict.kind is VerdictKind.GO_ON, verdict.reason


def test_a_changed_node_that_tells_nothing_counts_against_the_change_and_one_not_yet_changed_does_not() -> None:
    judging, fleet = with_baseline()
    c = change(state=State.STAGE, stage=0, stage_since=0.0)
    fleet.silent = frozenset(c.stages[0])
    fleet.change(*c.stages[0])
    fleet.run(15)
    verdict, _ = judging.look(c, frozenset(), 15.0, fleet.now, 0)
    assert verdict.kind is VerdictKind.WAIT  # it is down or has no command yet: other checks cover that
    verdict, _ = judging.look(c, frozenset(c.stages[0]), 15.0, fleet.now, 0)
    assert verdict.kind is VerdictKind.BACK and "have not reported figures" in verdict.reason


def test_a_controller_that_takes_over_goes_on_from_the_record_and_holds_nobodys_silence_against_it(
    tmp_path: Path,
) -> None:
    judging, fleet = with_baseline()
    assert judging.before is not None
    record = Record(tmp_path / "r.db")
    epoch = record.acquire("one", 0.0, 10.0)
    assert epoch is not None
    c = change(state=State.PROVING, stage=0)
    record.create(c, 0.0)
    record.store_baseline(epoch, c.id, judging.before, judging.powers(c), 1.0)
    record.record_look(epoch, c, 4, Verdict(VerdictKind.WAIT, "not certain yet"), 2.0)
    with pytest.raises(Fenced):
        record.record_look(epoch + 1, c, 5, Verdict(VerdictKind.GO_ON, ""), 3.0)
    before = Record(tmp_path / "r.db").baseline(c.id)
    assert before == judging.before and record.powers(c.id) == judging.powers(c) and record.baseline("c2") is None
    assert [(k.look, k.kind) for k in record.looks(c.id)] == [(4, "wait")]
    second = Judging(JUDGED, SITES, 5000.0, before)
    assert second.waits(5000.0) != "" and second.before is not None  # the baseline does not have to be taken again
    verdict, _ = second.look(c, frozenset(c.stages[0]), 100.0, 5001.0, 4)
    assert verdict.kind is VerdictKind.WAIT
    other = Fleet(second, refused=0.3)
    other.change(*c.stages[0])
    for tick in range(100):
        other.run(1)
        verdict, _ = second.look(c, frozenset(c.stages[0]), 101.0 + tick, other.now, 4)
        if verdict.kind is not VerdictKind.WAIT:
            break
    assert verdict.kind is VerdictKind.BACK and second.judge is not None and second.judge.looks > 4


def test_traffic_and_servers_that_have_moved_are_told_by_site() -> None:
    judging, fleet = with_baseline()
    world = judging.world(frozenset(SITES), fleet.now)
    assert not world.has_changed("a") and not world.has_changed("b")
    fleet.now += 1
    for n, site in SITES.items():
        judging.add_work(n, Work("p0", 500.0, "old", {k: 9 * v for k, v in fleet.counts[n].items()},
                                 {"servers": 7.0 if site == "b" else 10.0, "cold": 0.0}), fleet.now)
    world = judging.world(frozenset(SITES), fleet.now)
    assert world.servers_lost["b"] == pytest.approx(0.3) and world.servers_lost["a"] == 0.0 and world.has_changed("b")


def test_what_a_stage_could_show_is_told_and_no_stage_without_unchanged_nodes_is_named() -> None:
    judging, fleet = with_baseline()
    c = change()
    found = judging.powers(c)
    assert {p.stage for p in found} == set(range(len(c.stages) - 1))
    assert all(p.new + p.old == len(SITES) for p in found)
    first = {p.figure: p for p in found if p.stage == 0}
    later = {p.figure: p for p in found if p.stage == 2}
    for name, p in first.items():
        third = later[name].least
        assert p.least is not None and third is not None and third <= p.least
    assert judging.before is not None
    empty = Baseline(5.0, dict(SITES), [{} for _ in range(PIECES)])
    assert all(p.least is None and p.needs_s is None and not p.enough for p in powers(empty, c.stages, Limits()))


def test_pieces_are_taken_together_for_longer_looks_and_keep_every_count() -> None:
    intake = Intake()
    for t in range(81):
        intake.add(Reading("n", "a", "old", "p", 10.0 + t, {"taken": 3.0 * t}, {}), float(t))
    before = take_baseline(intake, 80.0, 80.0)
    assert [len(before.merged_pieces(x)) for x in (1.0, 10.0, 20.0, 500.0)] == [8, 8, 4, 4]
    for x in (1.0, 20.0, 500.0):
        pieces = before.merged_pieces(x)
        assert len(pieces) >= 4 and sum(p["n"]["taken"] for p in pieces) == 240.0


# ---------------------------------------------------------------- the state machine


def director(**more: object) -> Director:
    return Director(change(**more), SITES, 0.0)


@pytest.mark.parametrize(("kind", "on_failure", "cause"), [
    (VerdictKind.BACK, "back", Cause.FAILED), (VerdictKind.BACK, "pause", Cause.FAILED_PAUSE),
    (VerdictKind.PAUSE, "back", Cause.FAILED_PAUSE), (VerdictKind.WAIT, "back", None),
    (VerdictKind.GO_ON, "back", None),
])
@pytest.mark.parametrize("state", [State.STAGE, State.PROVING])
def test_what_the_table_makes_of_a_verdict(
    state: State, kind: VerdictKind, on_failure: str, cause: Cause | None,
) -> None:
    d = director(state=state)
    d.change.ways = msgspec.structs.replace(d.change.ways, on_failure=on_failure)
    d.verdict = Verdict(kind, "it says so")
    decision = d.decide(0.1)
    assert decision.cause is cause
    assert (decision.why == "judge: it says so") is decision.judged is (cause is not None)


def test_a_person_lets_a_stage_pass_that_the_judge_has_stopped_and_that_stage_alone() -> None:
    d = director(state=State.PROVING, stage=1)
    d.verdict = Verdict(VerdictKind.PAUSE, "can't be told")
    decision = d.decide(0.1)
    assert decision.cause is not None
    d.move(decision.cause, decision.why, 1.0, decision.judged)
    assert d.change.state is State.PAUSED and d.change.judged
    d.move(Cause.RESUME, "", 2.0)
    assert d.change.passed == 1 and not d.is_judged and d.verdict is None and d.change.stage_since == 2.0
    d.move(Cause.SERVED, "", 3.0)
    d.move(Cause.NEXT, "", 4.0)
    assert d.is_judged and d.change.stage == 2
    d.move(Cause.PAUSE, "", 5.0)
    d.move(Cause.RESUME, "", 6.0)
    assert d.is_judged, "a stage that a person paused is still judged"
