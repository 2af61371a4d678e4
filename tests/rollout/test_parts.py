"""Tests of stages, limits, the fleet file, the record with its lease, and the director's state machine."""

from __future__ import annotations

import os
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from headspar import failpoints, operator_file
from headspar.keeper.core import Outcome
from headspar.keeper.messages import Figures, Status
from headspar.rollout import fleet
from headspar.rollout.lease import Lease
from headspar.rollout.limits import DisruptionBudget, Limits, NodeCondition
from headspar.rollout.record import Busy, Fenced, Record
from headspar.rollout.stages import Candidate, plan
from headspar.rollout.state import TABLE, Cause, Change, Command, Director, RolloutPolicy, State
from tests.loopback import TIMEOUT_S

SITES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}


# ---------------------------------------------------------------- stages


def test_one_node_then_one_in_each_other_site_then_shares_with_the_least_loaded_first() -> None:
    nodes = [Candidate(f"{s}{i}", s, i + 10 * (s == "b")) for s in "abc" for i in range(4)]
    stages = plan(nodes, [0.5, 1.0])
    assert [len(stage) for stage in stages] == [1, 2, 3, 6]
    assert {name[0] for name in stages[0] + stages[1]} == {"a", "b", "c"}
    assert all(name.endswith("0") for name in stages[0] + stages[1])
    assert {name[0] for name in stages[2]} == {"a", "b", "c"}


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.floats(0, 100)), max_size=80),
       st.lists(st.floats(0.01, 0.99), max_size=4))
@settings(max_examples=200, derandomize=True)
def test_every_node_is_in_exactly_one_stage(rows: list[tuple[str, float]], shares: list[float]) -> None:
    nodes = [Candidate(f"n{i}", site, load) for i, (site, load) in enumerate(rows)]
    stages = plan(nodes, [*sorted(set(shares)), 1.0])
    names = [name for stage in stages for name in stage]
    assert sorted(names) == sorted(n.name for n in nodes) and all(stages)
    assert not nodes or len(stages[0]) == 1


# ---------------------------------------------------------------- limits


def budget(limits: Limits, **out: NodeCondition) -> DisruptionBudget:
    nodes = {name: NodeCondition(name, site, False, 10.0) for name, site in SITES.items()}
    return DisruptionBudget(limits, {**nodes, **out}.values())


def test_so_many_out_in_all_and_by_site_for_whatever_reason() -> None:
    r = budget(Limits(2, 1), a1=NodeCondition("a1", "a", True))  # one is unreachable
    assert "1 nodes of a are out" in r.refusal("a2", keeps_serving=False)
    assert r.refusal("b1", keeps_serving=False) == ""
    r.take("b1")
    assert "2 nodes are out" in r.refusal("b2", keeps_serving=True)
    assert r.refusal("b1", keeps_serving=True) == ""  # it is out because of this change itself
    r = budget(Limits(1, 1), a1=NodeCondition("a1", "a", True, down=True))
    assert r.refusal("a1", keeps_serving=False) == ""  # it serves no requests, so no capacity is lost


def test_the_last_healthy_node_and_a_site_that_could_not_carry_its_load_stay() -> None:
    r = budget(Limits(3, 3), b1=NodeCondition("b1", "b", True))
    assert "last healthy node of b" in r.refusal("b2", keeps_serving=False)
    assert r.refusal("b2", keeps_serving=True) == ""  # a second process takes over, so it keeps serving
    r = budget(Limits(3, 3, node_rps=18.0, headroom=1.3))
    assert "2 nodes would carry 30" in r.refusal("a1", keeps_serving=False)
    assert budget(Limits(3, 3, node_rps=20.0, headroom=1.3)).refusal("a1", keeps_serving=False) == ""


def test_cold_servers_count_against_starting_nodes_but_not_against_going_back() -> None:
    cold = {name: NodeCondition(name, site, False, 1.0, 0.6) for name, site in SITES.items()}
    r = budget(Limits(2, 1), **cold)
    assert "60% of the servers are cold" in r.refusal("a1", keeps_serving=True)
    assert r.refusal("a1", keeps_serving=True, rolling_back=True) == ""
    one = {**cold, **{n: NodeCondition(n, SITES[n], False, 1.0, 0.0) for n in ("a1", "a2", "b1")}}
    assert budget(Limits(2, 1), **one).refusal("a1", keeps_serving=True) == ""  # the median node counts


# ---------------------------------------------------------------- files


@pytest.mark.parametrize(("text", "field"), [
    ("", "node"), ('[[node]]\nname = "a"\nsite = "s"', "keeper"),
    ('[[node]]\nname = "a"\nsite = "s"\nkeeper = "x"', "node[0].keeper"),
    ('[[node]]\nname = "a"\nsite = ""\nkeeper = "x:1"', "node[0]"), ("[", "end of document"),
    ('[[node]]\nname = "a"\nsite = "s"\nkeeper = "x:1"\nport = 1', "port"),
    ('[[node]]\nname = "a"\nsite = "s"\nkeeper = "x:1"\n[[node]]\nname = "a"\nsite = "s"\nkeeper = "x:2"', "'a'"),
])
def test_what_is_wrong_with_a_fleet_file_is_named(text: str, field: str) -> None:
    with pytest.raises(fleet.FleetError) as error:
        fleet.parse(text)
    assert field in str(error.value)


@pytest.mark.parametrize(("text", "field"), [
    ("[rollout]\nmax_out = 0", "rollout.max_out"), ('[rollout]\nshares = "0.5 0.2 1"', "rollout.shares"),
    ('[rollout]\nshares = "0.5"', "rollout.shares"), ('[rollout]\non_failure = "x"', "rollout.on_failure"),
    ('[rollout]\nsilence = "x"', "rollout.silence"), ("[rollout]\nlease_s = 1.0", "rollout.lease_s"),
    ("[keeper]\nceiling_s = 0.1", "keeper.ceiling_s"), ("[keeper]\nport = 1", "keeper.port"),
    ("[rollout]\ncold_most = 0", "rollout.cold_most"),
])
def test_what_is_wrong_with_the_operators_tables_is_named(text: str, field: str) -> None:
    with pytest.raises(operator_file.OperatorError, match=field):
        operator_file.parse(text)


# ---------------------------------------------------------------- record


def change(id: str = "c", **more: object) -> Change:
    ways = RolloutPolicy(Limits(2, 1), proving_s=3.0, settle_s=1.0, ready_s=30.0, lost_s=6.0)
    values = {"stages": [["a1"], ["b1"], ["a2", "a3", "b2"]], "slots": {}, "ways": ways, **more}
    return Change(id, "new", "/x", "old", **values)  # type: ignore[arg-type]


def test_one_controller_at_a_time_and_who_has_lost_the_lease_writes_nothing(tmp_path: Path) -> None:
    record = Record(tmp_path / "r.db")
    other = Record(tmp_path / "r.db")
    assert record.acquire("one", 100.0, 10.0) == 1
    assert other.acquire("two", 105.0, 10.0) is None
    record.renew(1, 108.0, 10.0)
    assert other.acquire("two", 117.9, 10.0) is None
    assert other.acquire("two", 118.1, 10.0) == 2
    for write in (lambda: record.renew(1, 119.0, 10.0), lambda: record.intent(1, "c", Command("a1", "hold"), 119.0),
                  lambda: record.record_transition(1, change(), State.PLANNED, Cause.START, 119.0),
                  lambda: record.raise_epoch(1, 9, 9)):
        with pytest.raises(Fenced, match="two has 2"):
            write()
    record.release(1)  # does not release the other's lease
    assert other.holder() == ("two", 2, 128.1)
    other.release(2)
    assert record.acquire("one", 119.0, 10.0) == 3
    # A clock that was set back by an hour must not leave the fleet without a controller for that hour.
    assert other.acquire("two", 119.0 - 3600, 10.0) == 4


def test_a_second_change_is_refused_by_name(tmp_path: Path) -> None:
    record = Record(tmp_path / "r.db")
    assert record.acquire("one", 1.0, 10.0) == 1
    first = change("c1")
    record.create(first, 1.0)
    with pytest.raises(Busy, match="'c1' is planned"):
        record.create(change("c2"), 2.0)
    first.state = State.DONE
    record.record_transition(1, first, State.CONFIRMING, Cause.CONFIRMED, 3.0)
    with pytest.raises(Busy, match="there has already been a change 'c1'"):
        record.create(change("c1"), 4.0)
    record.create(change("c2"), 4.0)
    found = record.latest()
    assert found is not None and found[0] == change("c2")
    assert [c.id for c, _ in record.changes()] == ["c1", "c2"]


@pytest.mark.parametrize("put_back", [False, True])
def test_nobody_leads_on_in_a_record_that_was_taken_away(put_back: bool, tmp_path: Path) -> None:
    """SQLite keeps writing to an unlinked file, where a lease was renewed forever beside the next controller's."""
    record = Record(tmp_path / "r.db")
    assert record.acquire("one", 1.0, 10.0) == 1
    for end in ("", "-wal", "-shm"):
        (tmp_path / f"r.db{end}").unlink(missing_ok=True)
    if put_back:
        assert Record(tmp_path / "r.db").acquire("two", 2.0, 10.0) == 1
    for act in (lambda: record.renew(1, 3.0, 10.0), lambda: record.raise_epoch(1, 9, 9),
                lambda: record.intent(1, "c", Command("a1", "hold"), 3.0)):
        with pytest.raises(OSError, match="removed or replaced"):
            act()
    record.release(1)  # has no effect


def test_steps_go_on_above_what_keepers_have_heard_of(tmp_path: Path) -> None:
    record = Record(tmp_path / "r.db")
    record.acquire("one", 1.0, 10.0)
    assert record.intent(1, "c", Command("a1", "hold"), 1.0) == 1
    assert record.raise_epoch(1, 7, 40) == 8  # the record was restored from an older copy
    assert record.intent(8, "c", Command("a1", "hold"), 2.0) == 41
    record.outcome(8, 41, "ok", "", 3.0)
    assert [s.number for s in record.steps("c", open_only=True)] == [1]
    assert Record(tmp_path / "r.db").last_step == 41


@pytest.mark.parametrize(("point", "left"), [("record.begin", 0), ("record.commit", 0), ("rollout.intent", 1)])
def test_a_kill_within_a_write_leaves_it_whole_or_not_there(tmp_path: Path, point: str, left: int) -> None:
    Record(tmp_path / "r.db").acquire("one", 1.0, 10.0)
    code = ("import os; from pathlib import Path; from headspar import failpoints\n"
            "from headspar.rollout.record import Record; from headspar.rollout.state import Command\n"
            f"r = Record(Path({str(tmp_path / 'r.db')!r})); failpoints.arm(os.environ)\n"
            "r.intent(1, 'c', Command('a1', 'hold'), 1.0); failpoints.failpoint('rollout.intent')")
    done = subprocess.run([sys.executable, "-c", code], timeout=TIMEOUT_S,
                          env={**os.environ, failpoints.VARIABLE: f"{point}=kill"})
    assert done.returncode == -signal.SIGKILL
    assert len(Record(tmp_path / "r.db").steps("c")) == left


@pytest.mark.parametrize(("fault", "says"), [("ENOSPC", "No space"), ("EROFS", "Read-only"), ("EIO", "Input/output")])
def test_a_disk_that_is_full_fails_the_write_and_no_more(fault: str, says: str, tmp_path: Path) -> None:
    record = Record(tmp_path / "r.db")
    record.acquire("one", 1.0, 10.0)
    failpoints.arm({failpoints.VARIABLE: f"record.commit={fault}"})
    try:
        with pytest.raises(OSError, match=says):
            record.intent(1, "c", Command("a1", "hold"), 1.0)
    finally:
        failpoints.arm({})
    assert record.steps("c") == [] and record.intent(1, "c", Command("a1", "hold"), 1.0) >= 1


def test_no_record_is_one_line(tmp_path: Path) -> None:
    (tmp_path / "r.db").write_text("no database, for sure" * 100)
    with pytest.raises(Exception, match="not a database"):
        Record(tmp_path / "r.db")
    sqlite3.connect(tmp_path / "x").close()


# ---------------------------------------------------------------- the director


def status(name: str, running: str = "old", **more: object) -> Status:
    values: dict[str, object] = {
        "state": "serving", "course": "settled", "present": "old", "before": "", "trial": "", "change": "",
        "running": running, "proved": False, "holds": True, "deaths": 0, "restarts": 0, "epoch": 1, "step": 0,
        "outcome": None, "generations": ["old", "new"], "answers": True, "figures_age": 0.1, "figures": Figures(),
        "pid": 1, "program": "", "settings": "", **more}
    return Status(name=name, site=SITES[name], **values)  # type: ignore[arg-type]


def trial(name: str, proved: bool = True, **more: object) -> Status:
    return status(name, "new", state="proving", course="proving", trial="new", change="c", proved=proved, **more)


def director(state: State, stage: int = 0, **statuses: Status) -> Director:
    d = Director(change(state=state, stage=stage), SITES, 0.0)
    for name in SITES:
        d.receive_status(name, statuses.get(name, status(name)), 100.0)
    d.change.since, d.last_decision_at = 90.0, 100.0
    return d


def test_a_stage_is_told_within_the_limits_and_over_once_all_of_it_serve() -> None:
    d = director(State.STAGE, 2, a1=trial("a1"), b1=trial("b1"))
    decision = d.decide(100.0)
    assert [c.node for c in decision.commands] == ["a2", "b2"] and "1 nodes of a are out" in decision.waits
    assert all(c.say == "try" and c.order is not None and c.order.generation == "new" for c in decision.commands)
    d = director(State.STAGE, 0, a1=trial("a1", proved=False))
    assert d.decide(100.0).cause is Cause.SERVED
    d.unacknowledged = {"a2", "a3"}  # a command to them has no answer: they may be changing
    d.change.stage = 1
    assert d.decide(100.0).commands == [] and "2 nodes are out" in d.decide(100.0).waits


def test_the_next_stage_waits_for_proof_and_for_the_settling() -> None:
    d = director(State.PROVING, 0, a1=trial("a1", proved=False))
    assert d.decide(100.0).cause is None
    d.receive_status("a1", trial("a1"), 100.0)
    assert d.decide(100.0).cause is Cause.NEXT
    d.change.since = 99.5
    assert d.decide(100.0).cause is None and d.decide(100.0).waits == "the stage is settling"


@pytest.mark.parametrize(("broken", "why"), [
    (trial("a1", deaths=1), "a1 died or did not start"),
    (status("a1", outcome=Outcome("c", "new", "back", "settings turned down")), "rolled back by itself: settings"),
    (trial("a1", figures_age=50.0), "a1 reports no figures"),
])
def test_what_stops_a_stage(broken: Status, why: str) -> None:
    d = director(State.PROVING, 0, a1=broken)
    d.record_try("a1", 20.0)
    got = d.decide(100.0)
    assert got.cause is Cause.FAILED and why in got.why
    d.change.ways = msgspec.structs.replace(d.change.ways, on_failure="pause")
    assert d.decide(100.0).cause is Cause.FAILED_PAUSE


def test_a_changed_node_that_is_not_heard_of_stops_it_and_a_whole_site_only_pauses_it() -> None:
    d = director(State.PROVING, 0, a1=trial("a1"))
    for name in SITES:
        if name != "a1":
            d.receive_status(name, status(name), 110.0)
    d.last_decision_at = 110.0
    got = d.decide(110.0)
    assert got.cause is Cause.FAILED and "a1 is unreachable" in got.why
    d = director(State.PROVING, 0, a1=trial("a1"))
    for name in ("b1", "b2"):
        d.receive_status(name, status(name), 110.0)
    d.last_decision_at = 110.0
    got = d.decide(110.0)
    assert got.cause is Cause.FAILED_PAUSE and "site a is unreachable, old and new nodes" in got.why


def test_a_site_whose_old_nodes_fell_silent_a_little_later_is_waited_for_and_not_blamed_on_the_change() -> None:
    d = director(State.PROVING, 0, a1=trial("a1"))
    for name, at in (("a1", 100.0), ("a2", 103.0), ("a3", 103.0), ("b1", 106.4), ("b2", 106.4)):
        d.observations[name].at = at
    d.last_decision_at = 106.4
    assert d.decide(106.5).cause is None, "a1 is silent for 6.5 s, its site for 3.5 s: the cause is not known yet"
    for name in ("b1", "b2"):
        d.observations[name].at = 107.7
    d.last_decision_at = 107.7
    assert d.decide(107.8).cause is Cause.FAILED_PAUSE
    d = director(State.PROVING, 0, a1=trial("a1"))
    for name, at in (("a1", 100.0), ("a2", 106.4), ("a3", 106.4), ("b1", 106.4), ("b2", 106.4)):
        d.observations[name].at = at
    d.last_decision_at = 106.4
    assert d.decide(106.5).cause is Cause.FAILED, "the other nodes of the site are reachable"


def test_a_controller_that_stood_still_holds_no_silence_of_that_time_against_nodes() -> None:
    d = director(State.PROVING, 0, a1=trial("a1"))
    assert d.decide(100.0).cause is Cause.NEXT
    assert d.decide(130.0).cause is None  # the controller was paused for 30 s, within its lease
    assert d.decide(131.5).cause is None
    assert [d.decide(131.5 + i).cause for i in range(7)][-1] is Cause.FAILED_PAUSE  # silence since then counts


def test_a_trial_that_does_not_answer_is_not_proven() -> None:
    d = director(State.PROVING, 0, a1=trial("a1", answers=False))
    assert d.decide(100.0).cause is None


def test_before_the_confirming_all_hold_so_that_no_half_goes_back_by_itself() -> None:
    ways = msgspec.structs.replace(change().ways, silence="back")
    d = director(State.CONFIRMING, 2, **{n: trial(n, holds=n != "b2") for n in SITES})
    d.change.ways = ways
    assert [(c.node, c.say) for c in d.decide(100.0).commands] == [("b2", "hold")]
    d.receive_status("b2", trial("b2"), 100.0)
    assert {c.say for c in d.decide(100.0).commands} == {"confirm"} and len(d.decide(100.0).commands) == 5
    for name in SITES:
        d.receive_status(name, status(name, "new", present="new"), 100.0)
    assert d.decide(100.0).cause is Cause.CONFIRMED


def test_an_answer_that_another_has_overtaken_is_not_taken_for_the_newer() -> None:
    d = director(State.STAGE, 0)
    d.receive_status("a1", trial("a1", proved=False, keeper=1.0, serial=7), 100.1)
    d.receive_status("a1", status("a1", keeper=1.0, serial=6), 100.2)  # sent before the command arrived
    assert d.decide(100.2).cause is Cause.SERVED
    d.receive_status("a1", status("a1", keeper=2.0, serial=1), 100.3)  # another keeper
    assert [c.say for c in d.decide(100.3).commands] == ["try"]


@pytest.mark.parametrize("state", [State.PROVING, State.CONFIRMING])
def test_a_node_whose_trial_was_lost_with_its_keepers_state_is_told_again(state: State) -> None:
    d = director(state, 0, a1=status("a1"))
    got = d.decide(100.0)
    assert got.cause is Cause.AGAIN and d.move(got.cause, got.why, 100.0) is State.STAGE
    assert [(c.node, c.say) for c in d.decide(100.1).commands] == [("a1", "try")]


def test_going_back_takes_the_dead_first_and_ends_with_what_is_not_heard_of_named() -> None:
    hung = trial("a2", answers=False, silent=2.5)
    d = director(State.BACK, 2, a1=trial("a1"), a2=hung, a3=trial("a3"), b1=trial("b1"))
    assert [c.node for c in d.decide(100.0).commands] == ["a2", "b1"]
    assert all(c.say == "back" and c.generation == "old" for c in d.decide(100.0).commands)
    for name in ("a1", "a2", "a3", "b1"):
        d.receive_status(name, status(name), 130.0)
    d.change.since = 95.0
    assert d.decide(130.0).cause is Cause.ALL_BACK and d.change.left == ["b2"]
    d.move(Cause.ALL_BACK, "", 130.0)
    d.receive_status("b2", trial("b2"), 131.0)  # it recovers after the end
    assert [(c.node, c.generation) for c in d.decide(131.0).commands] == [("b2", "old")]


@pytest.mark.parametrize("state", [State.BACK, State.STAGE])
def test_an_answer_that_is_merely_late_frees_nobodys_place(state: State) -> None:
    kind = trial if state is State.BACK else status
    stage = 2

    def commanded(silent: float) -> set[str]:
        late = {name: kind(name, answers=False, silent=silent) for name in ("a1", "a2", "a3")}
        return {c.node for c in director(state, stage, **late).decide(100.0).commands}

    assert commanded(0.7) == set(), "they may be serving, and two nodes of one site would be out"
    assert commanded(2.5) == {"a1", "a2", "a3"}, "they are down, so no capacity is lost"


def test_a_node_that_may_still_be_told_to_try_is_given_one_more_step() -> None:
    d = director(State.BACK, 0)
    d.unacknowledged = {"a1"}
    assert [c.node for c in d.decide(100.0).commands] == ["a1"]


def test_what_can_not_go_back_needs_a_person() -> None:
    d = director(State.BACK, 0, a1=status("a1", "", state="held", course="held", answers=False,
                                          outcome=Outcome("c", "new", "back", "x")))
    assert d.decide(100.0).cause is None
    assert d.decide(100.5).cause is None
    d.change.since = 60.0
    got = d.decide(100.0)
    assert got.cause is Cause.STUCK and "does not start" in got.why


def test_the_table_leads_from_the_start_to_every_end() -> None:
    reached, more = {State.PLANNED}, True
    while more:
        more = False
        for (before, _), after in TABLE.items():
            if before in reached and after not in reached:
                reached.add(after)
                more = True
    assert reached == set(State)
    ends = {state for state in State if not any(before is state for before, _ in TABLE)}
    assert ends == {State.DONE, State.TAKEN_BACK}


def test_a_lease_is_had_by_one_and_its_epoch_only_rises() -> None:
    first = Lease().acquired("a", 100.0, 5.0)
    assert first == Lease("a", 1, 105.0)
    assert first.acquired("b", 104.9, 5.0) is None and first.renewed(104.0, 5.0).until == 109.0
    assert first.acquired("b", 105.0, 5.0) == Lease("b", 2, 110.0)
    assert first.released().acquired("b", 100.1, 5.0) == Lease("b", 2, 105.1)
    assert first.acquired("b", 20.0, 5.0) == Lease("b", 2, 25.0), "a clock that was set back must not block the lease"
    assert first.raised_above(7).epoch == 8 and first.raised_above(1) == first.raised_above(0) == first
    assert first.raised_above(1, unknown_steps=True).epoch == 2 and first.raised_above(0, unknown_steps=True) == first
