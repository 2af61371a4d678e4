"""Tests of the audit on hand-made records: each kind of violation is reported by name, allowed behaviour is not."""

from __future__ import annotations

import msgspec
import pytest

from headspar.world.audit import Verdict, audit, effects_per_key
from headspar.world.records import (
    AttemptResult,
    AuditParameters,
    CallRule,
    ClassRule,
    ClientAttemptRecord,
    ClientOutcome,
    Lateness,
    Notification,
    Recording,
    RunEvent,
    ServerAttempt,
    ServerRule,
    Start,
    decode,
    encode,
)

MS, S = 1_000, 1_000_000
LOOK, PAY, BATCH, CREW = 0, 1, 2, 3
CLASSES = [
    ClassRule("look", "retryable", "all", 0, 400 * MS, 1.0, 0.3),
    ClassRule("pay", "dedup", "all", 1200 * MS, 400 * MS, 10.0, 0.3),
    ClassRule("batch", "dedup", "zone", 3 * S, S, 8.0, 0.3),
    ClassRule("crew", "fragile", "all", 0, S, 5.0, 0.3),
]
BUDGET = 1000 * MS


def recording() -> Recording:
    """A reliable recording without violations: four calls, one of each class, all served."""
    rules = AuditParameters(
        answer_slack_us=50 * MS, drain_grace_us=S, fall_multiple=3.0, fall_us=1500 * MS, max_attempts=3,
        second_copies=True, over_share_worth=0.2, lateness_us=20 * MS, began_at=0, length_us=20 * S,
        classes=CLASSES[:], agents=[("a", 1.0)], quota_rps=100.0,
        servers={id: ServerRule(site, 0, 2 * S, 0.2, 20 * S) for id, site in (("s1", "x"), ("s2", "y"))},
        calls=[CallRule(i, 0, 30 * MS) for i in range(4)],
    )
    r = Recording(rules, lateness=[Lateness("callers 0", 4, 0, 1 * MS, 2 * MS), Lateness("fleet", 4, 0, 0, 1 * MS)])
    for i in range(4):
        at = i * S
        r.asks.append(ClientAttemptRecord(i, 0, "n1", at, at, BUDGET, at + 100 * MS, ClientOutcome.ANSWER, 200))
        r.sent.append(ServerAttempt(i, 0, "s1", "n1", at + MS, at + 90 * MS, AttemptResult.DONE, 30 * MS, True))
    return r


def add_attempt(
    r: Recording, call: int, after_ms: float, server: str = "s2", fate: AttemptResult = AttemptResult.DONE
) -> ServerAttempt:
    """Add an attempt of a call, ``after_ms`` after its first one."""
    first = next(s for s in r.sent if s.call == call)
    at = first.arrived_at + int(after_ms * MS)
    sent = ServerAttempt(call, 0, server, "n1", at, at + 20 * MS, fate, 30 * MS, fate is AttemptResult.DONE)
    r.sent.append(sent)
    ask = next(a for a in r.asks if a.call == call)
    ask.ended_at = max(ask.ended_at, sent.ended_at)
    return sent


def assert_violation(r: Recording, rule: str, kind: str) -> Verdict:
    """The audit reports exactly one violation, of this rule and kind."""
    v = audit(r)
    assert v.valid, v.doubts
    assert v.kinds == {f"{rule}: {kind}": 1}, v.kinds
    assert v.counts[rule] == 1 and not v.clean
    line = v.violations[0].line()
    assert line.startswith(f"{rule}: {kind}") and "\n" not in line and " at " in line
    return v


def assert_clean(r: Recording) -> None:
    """The verdict is valid and has no violations."""
    v = audit(r)
    assert v.clean, (v.doubts, v.kinds)


def test_a_run_in_order_is_clean_and_survives_its_encoding() -> None:
    assert_clean(recording())
    assert_clean(decode(encode(recording())))


# ---------------------------------------------------------------- lost


@pytest.mark.parametrize(("changes", "kind"), [
    ({"end": ClientOutcome.CLOSED}, "closed unanswered"),
    ({"end": ClientOutcome.NONE, "ended_at": 1300 * MS}, "no answer"),
    ({"ended_at": 1200 * MS}, "answered late"),
    ({"genuine": False}, "served with what no server made"),
    ({"twice": True}, "more than one answer"),
    ({"end": ClientOutcome.RESET_IN_FLIGHT}, "closed unanswered"),
])
def test_a_lost_request_is_caught(changes: dict[str, object], kind: str) -> None:
    r = recording()
    r.asks[0] = msgspec.structs.replace(r.asks[0], **changes)
    v = assert_violation(r, "lost", kind)
    assert (v.violations[0].call, v.violations[0].node) == (0, "n1")


@pytest.mark.parametrize("end", [{"end": ClientOutcome.CUT}, {"status": 502}])
def test_a_sound_answer_that_the_node_cut_off_is_caught(end: dict[str, object]) -> None:
    r = recording()
    r.asks[0] = msgspec.structs.replace(r.asks[0], **end)
    assert_clean(r)  # the server had not begun to answer
    first = next(s for s in r.sent if s.call == 0)
    first.fate = AttemptResult.CUT_OFF
    assert_violation(r, "lost", "sound answer cut off")
    r.marks.append(RunEvent(first.ended_at, "node_exit", "n1"))
    r.marks.append(RunEvent(first.arrived_at - 1000 * MS, "node_term", "n1"))
    assert_clean(r)


def pause(r: Recording, since: int, until: int) -> None:
    """Pause the process of n1 between the two times."""
    r.marks += [RunEvent(since, "node_stop", "n1"), RunEvent(until, "node_cont", "n1")]


def test_a_node_that_stands_still_is_excused_until_it_goes_on_and_no_longer() -> None:
    r = recording()
    r.asks[0] = msgspec.structs.replace(r.asks[0], end=ClientOutcome.NONE, ended_at=1300 * MS)
    pause(r, 500 * MS, 4 * S)
    v = audit(r)
    assert v.clean and v.excused == 1
    r.asks[0] = msgspec.structs.replace(r.asks[0], end=ClientOutcome.ANSWER, ended_at=4200 * MS)
    assert audit(r).clean  # answered right after the node resumes
    r.asks[0].ended_at = 4500 * MS
    assert_violation(r, "lost", "answered late")
    r = recording()
    r.asks[0] = msgspec.structs.replace(r.asks[0], end=ClientOutcome.NONE, ended_at=1300 * MS)
    pause(r, 2 * S, 4 * S)  # the pause begins after the request's deadline
    assert_violation(r, "lost", "no answer")


def test_what_is_sent_on_after_its_time_is_caught_also_after_a_standstill() -> None:
    r = recording()
    r.asks[0] = msgspec.structs.replace(r.asks[0], end=ClientOutcome.NONE, ended_at=1300 * MS)
    pause(r, 500 * MS, 4 * S)
    r.sent[0].arrived_at, r.sent[0].ended_at = 4010 * MS, 4050 * MS
    assert_violation(r, "lost", "sent after its time")


def test_an_answer_that_no_server_made_is_caught() -> None:
    r = recording()
    r.sent[0].fate = AttemptResult.REJECTED
    assert_violation(r, "lost", "served with what no server made")
    del r.sent[0]
    assert_violation(r, "lost", "served with what no server made")


@pytest.mark.parametrize("end", [ClientOutcome.ANSWER, ClientOutcome.LEFT])
def test_what_is_sent_after_the_end_is_caught(end: ClientOutcome) -> None:
    r = recording()
    r.asks[0].end = end
    add_attempt(r, 0, 300)
    r.asks[0].ended_at = 100 * MS
    assert_violation(r, "lost",
                     "sent after its answer" if end is ClientOutcome.ANSWER else "sent after its caller left")


def test_what_a_killed_node_held_is_excused_and_only_that() -> None:
    r = recording()
    r.asks[0] = msgspec.structs.replace(r.asks[0], end=ClientOutcome.CLOSED)
    r.marks = [RunEvent(60 * MS, "node_kill", "n2")]
    assert_violation(r, "lost", "closed unanswered")
    r.marks = [RunEvent(60 * MS, "node_kill", "n1")]
    assert audit(r).clean and audit(r).excused == 1
    r.marks = [RunEvent(60 * MS, "node_term", "n1")]
    assert audit(r).counts["lost"] == 1
    r.marks = [RunEvent(5 * S, "node_kill", "n1")]
    assert audit(r).counts["lost"] == 1
    # A killed process may still accept a request until it exits, but for at most a second.
    at = r.asks[0].sent_at
    r.marks = [RunEvent(at - 500 * MS, "node_kill", "n1"), RunEvent(at + MS, "node_exit", "n1")]
    assert audit(r).clean and audit(r).excused == 1
    r.marks = [RunEvent(at - 1500 * MS, "node_kill", "n1"), RunEvent(at + MS, "node_exit", "n1")]
    assert audit(r).counts["lost"] == 1


def test_a_close_that_crosses_a_request_that_was_not_read_loses_nothing() -> None:
    r = recording()
    r.asks[0].end = ClientOutcome.RESET_IN_FLIGHT
    del r.sent[0]
    assert_clean(r)
    assert audit(r).taken == 3


def test_what_ends_otherwise_is_not_lost() -> None:
    r = recording()
    r.asks[0].end = ClientOutcome.CUT
    r.asks[1].end = ClientOutcome.LEFT
    r.asks[2].status = 502
    r.asks[3] = msgspec.structs.replace(r.asks[3], end=ClientOutcome.UNCONNECTED, sent_at=0)
    r.sent = r.sent[:3]
    assert_clean(r)


# ---------------------------------------------------------------- duplicated


def test_an_unsafe_one_sent_again_is_caught_unless_it_never_ran() -> None:
    r = recording()
    add_attempt(r, CREW, 95)
    v = assert_violation(r, "duplicated", "unsafe sent again")
    assert v.violations[0].server == "s2"
    for fate in (AttemptResult.ERROR, AttemptResult.DIED, AttemptResult.CANCELLED, AttemptResult.CORRUPTED,
                 AttemptResult.HUNG):
        r.sent[CREW].fate = fate
        assert audit(r).counts["duplicated"] == 1
    r.sent[CREW].fate = AttemptResult.REJECTED
    assert_clean(r)


def test_an_unsafe_one_sent_again_before_it_was_known_never_to_have_run_is_caught() -> None:
    r = recording()
    add_attempt(r, CREW, 50)
    r.sent[CREW].fate = AttemptResult.REJECTED
    assert_violation(r, "duplicated", "unsafe sent again")


def test_a_keyed_one_outside_its_window_or_group_is_caught() -> None:
    r = recording()
    r.asks[PAY].budget_us = 5 * S
    add_attempt(r, PAY, 1240)
    assert_clean(r)
    add_attempt(r, PAY, 1300)
    assert_violation(r, "duplicated", "repeated outside its window")
    r = recording()
    r.sent[BATCH].fate = AttemptResult.DIED
    add_attempt(r, BATCH, 95)
    assert_violation(r, "duplicated", "repeated outside its group")
    r.sent[-1].server = "s1"
    assert_clean(r)
    r.sent[-1].server, r.sent[BATCH].fate = "s2", AttemptResult.REJECTED
    assert_clean(r)


def test_the_group_of_a_cell_is_narrower_than_its_site() -> None:
    r = recording()
    r.rules.classes[BATCH] = msgspec.structs.replace(CLASSES[BATCH], group="cell")
    r.rules.servers["s2"] = ServerRule("x", 1, 2 * S, 0.2, 20 * S)
    add_attempt(r, BATCH, 95)
    assert_violation(r, "duplicated", "repeated outside its group")
    r.rules.classes[BATCH] = CLASSES[BATCH]
    assert_clean(r)


@pytest.mark.parametrize(("call", "guilty"), [(LOOK, False), (PAY, False), (BATCH, True), (CREW, True)])
@pytest.mark.parametrize("status", [429, 503])
def test_a_refusal_after_it_may_have_run_is_caught_where_it_promises_too_much(
    call: int, guilty: bool, status: int
) -> None:
    r = recording()
    r.asks[call].status = status
    r.sent[call].fate = AttemptResult.DIED
    if guilty:
        assert_violation(r, "duplicated", "refused after it may have run")
    else:
        assert_clean(r)
    r.sent[call].fate = AttemptResult.REJECTED
    assert_clean(r)


def test_too_many_attempts_changes_on_the_way_and_strangers_are_caught() -> None:
    r = recording()
    for i in range(3):
        add_attempt(r, LOOK, 20 * i + 25)
    assert_violation(r, "duplicated", "too many attempts")
    r = recording()
    r.sent[0].key_ok = False
    assert_violation(r, "duplicated", "changed on the way")
    r = recording()
    r.sent.append(ServerAttempt(1, 5, "s1", "n1", 3 * S, 3 * S + MS, AttemptResult.DONE, 30 * MS, True))
    assert_violation(r, "duplicated", "never asked")


def test_what_comes_under_an_id_that_nobody_made_is_caught() -> None:
    r = recording()
    r.strangers = 1
    assert_violation(r, "duplicated", "of an unknown id")


def test_two_out_at_once_are_caught_where_copies_are_forbidden() -> None:
    r = recording()
    add_attempt(r, LOOK, 30)
    assert_clean(r)
    r.rules.second_copies = False
    assert_violation(r, "duplicated", "two out at once")


def test_effects_are_counted_by_call() -> None:
    r = recording()
    add_attempt(r, PAY, 95)
    assert effects_per_key(r) == {PAY: 2, BATCH: 1}


# ---------------------------------------------------------------- drain


def test_a_send_after_the_grace_is_caught_and_named() -> None:
    r = recording()
    r.told = [Notification("n1", "s1", 900 * MS, "draining", 0, False, 2)]
    r.sent = [msgspec.structs.replace(s, server="s2") if s.call > 1 else s for s in r.sent]
    assert_clean(r)  # call 1 is sent 101 ms after the notification, within the grace period
    r.sent[2].server = "s1"
    v = assert_violation(r, "drain", "sent after the grace")
    assert (v.violations[0].server, v.violations[0].node, v.violations[0].call) == ("s1", "n1", 2)
    r.told[0].node = "n2"  # another node was notified, this one was not
    assert_clean(r)


def test_a_server_that_is_ready_again_may_be_sent_to() -> None:
    r = recording()
    r.told = [Notification("n1", "s1", -5 * S, "gone", 0, False, 2)]
    assert audit(r).counts["drain"] == 4
    r.told.append(Notification("n1", "s1", -S, "ready", 0, False, 3))
    assert_clean(r)
    # A presumed notification of an older list version is ignored.
    r.told.append(Notification("n1", "s1", 0, "gone", 0, True, 2))
    assert_clean(r)
    r.told[-1].version = 4
    assert audit(r).counts["drain"] == 2


def test_a_node_that_starts_again_has_been_told_nothing() -> None:
    r = recording()
    r.told = [Notification("n1", "s1", -5 * S, "gone", 0, False, 2)]
    r.marks = [RunEvent(-2 * S, "node_kill", "n1"), RunEvent(-S, "node_start", "n1")]
    assert_clean(r)


# ---------------------------------------------------------------- cold


def burst(r: Recording, count: int, every_ms: float, node: str = "n1") -> None:
    """Add ``count`` requests of 30 ms of work for s2, which starts cold at 4 s with a budget of 1.8 s of work."""
    r.starts = [Start("s2", 4 * S)]
    for i in range(count):
        at = 4 * S + 10 * MS + int(i * every_ms * MS)
        r.rules.calls.append(CallRule(LOOK, 0, 30 * MS))
        call = len(r.rules.calls) - 1
        r.asks.append(ClientAttemptRecord(call, 0, node, at, at, BUDGET, at + 9 * MS, ClientOutcome.ANSWER, 503))
        r.sent.append(ServerAttempt(call, 0, "s2", node, at, at + MS, AttemptResult.REJECTED, 30 * MS, False))


def test_a_cold_server_that_is_flooded_is_caught_also_with_what_it_turned_away() -> None:
    r = recording()
    burst(r, 80, 5)
    r.told = [Notification("n1", "s2", 4 * S + MS, "ready", 4 * S, False, 2)]
    v = assert_violation(r, "cold", "pushed over")
    assert v.violations[0].server == "s2" and v.cold_peak_ratio > 1.2


def test_a_cold_server_that_is_flooded_with_light_requests_is_caught_by_their_number() -> None:
    """Within the budget of work, light requests can exceed the allowed number of requests (by 2.8 times in one
    full-size run)."""
    r = recording()
    burst(r, 40, 5)
    for s in r.sent:
        s.work_us = 5 * MS
    r.told = [Notification("n1", "s2", 4 * S + MS, "ready", 4 * S, False, 2)]
    assert_clean(r)  # the mean work of a request is unknown
    r.rules.mean_us = 100_000.0
    v = assert_violation(r, "cold", "pushed over")
    assert "40 requests" not in v.violations[0].text and "requests within" in v.violations[0].text
    assert v.cold_peak_ratio < 1.0 < v.cold_number_ratio
    r.told = []
    assert_clean(r)


def test_the_same_work_spread_out_is_no_flood() -> None:
    r = recording()
    burst(r, 250, 40)
    r.told = [Notification("n1", "s2", 4 * S + MS, "ready", 4 * S, False, 2)]
    assert_clean(r)
    assert 0.0 < audit(r).cold_peak_ratio < 1.0


def test_nodes_that_were_not_told_of_a_start_are_not_to_blame() -> None:
    r = recording()
    burst(r, 80, 5)
    assert_clean(r)
    assert audit(r).cold_peak_ratio > 1.2
    r.told = [Notification("n2", "s2", 4 * S + MS, "ready", 4 * S, False, 2)]
    assert_clean(r)


# ---------------------------------------------------------------- crash, and reliability of the recording


def test_a_node_that_ends_by_itself_is_caught() -> None:
    r = recording()
    r.marks = [RunEvent(S, "node_exit", "n1", "ended with status 1")]
    assert "status 1" in assert_violation(r, "crash", "ended by itself").violations[0].text
    r.marks.insert(0, RunEvent(S - 1, "node_term", "n1"))
    assert_clean(r)
    r.marks += [RunEvent(2 * S, "node_start", "n1"), RunEvent(3 * S, "node_exit", "n1")]
    assert_violation(r, "crash", "ended by itself")


@pytest.mark.parametrize("damage", [
    lambda r: r.asks.clear(),
    lambda r: r.missing.append("fleet"),
    lambda r: r.lateness.clear(),
    lambda r: r.lateness.pop(0),
    lambda r: r.lateness.__setitem__(1, Lateness("fleet", 0, 0, 0, 0)),
    lambda r: r.lateness.__setitem__(0, Lateness("callers 0", 9, 0, 21 * MS, 30 * MS)),
    lambda r: r.lateness.append(Lateness("discovery", 9, 0, 21 * MS, 30 * MS)),
    lambda r: r.sent.append(ServerAttempt(99, 0, "s1", "n1", 0, 0, AttemptResult.DONE, 0, True)),
])
def test_a_run_that_the_lab_cannot_vouch_for_gives_no_verdict(damage: object) -> None:
    r = recording()
    damage(r)  # type: ignore[operator]
    v = audit(r)
    assert not v.valid and not v.clean and v.doubts


def test_what_the_labs_own_lateness_may_explain_is_in_doubt_and_not_guilty() -> None:
    r = recording()
    r.asks[0].ended_at = BUDGET + 51 * MS
    v = audit(r)
    assert not v.valid and v.counts["lost"] == 0 and "answered late" in v.doubts[0]
    r.asks[0].ended_at = BUDGET + 53 * MS
    assert_violation(r, "lost", "answered late")


def test_a_flood_of_violations_is_counted_whole_and_listed_in_part() -> None:
    r = recording()
    for i in range(500):
        r.rules.calls.append(CallRule(LOOK, 0, 30 * MS))
        r.asks.append(ClientAttemptRecord(4 + i, 0, "n1", S, S, BUDGET, S, ClientOutcome.CLOSED))
    v = audit(r)
    assert v.counts["lost"] == 500 and len(v.violations) == 200


def test_what_only_counts_as_told_waits_for_a_node_that_stood_still() -> None:
    r = recording()
    r.rules.length_us = 40 * S
    r.told.append(Notification("n1", "s1", 10 * S, "draining", 0, True, 2))  # known to discovery since 4 s
    r.marks += [RunEvent(3 * S, "node_stop", "n1"), RunEvent(11 * S, "node_cont", "n1")]

    def send(at: int, node: str = "n1") -> None:
        call = len(r.rules.calls)
        r.rules.calls.append(CallRule(LOOK, 0, 30 * MS))
        r.asks.append(ClientAttemptRecord(call, 0, node, at, at, BUDGET, at + 100 * MS, ClientOutcome.ANSWER, 200))
        r.sent.append(ServerAttempt(call, 0, "s1", node, at + MS, at + 90 * MS, AttemptResult.DONE, 30 * MS, True))

    send(17 * S + 900 * MS)  # 6 s of running time without the pause, and the grace period
    assert_clean(r)
    send(18 * S + 200 * MS)
    assert_violation(r, "drain", "sent after the grace")
    r.told[0] = Notification("n1", "s1", 10 * S, "draining", 0, False, 2)  # delivered to its socket: read on resuming
    assert audit(r).kinds["drain: sent after the grace"] == 2
