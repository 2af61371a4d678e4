"""Tests of the connection plan and the learned idle timeout, without sockets."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from headspar.connections.idle_timeout import FIRST_BUCKET_US, IDLE_MARGIN, Evidence, IdleTime, bucket
from headspar.connections.plan import REVIEW_INTERVAL_US, Answer, Plan, PlanSettings

MS, S = 1_000, 1_000_000


def plan(**changes: int) -> Plan:
    p = Plan(replace(PlanSettings(most=100, idle_us=10 * S), **changes), 1)  # type: ignore[arg-type]
    for name in "abc":
        p.place(name, 0)
    return p


def busy(p: Plan, server: str, now: int, proof: bool = False) -> int:
    """Takes a connection for an attempt, opening one if none is idle; returns its number."""
    result = p.take(server, now, proof=proof)
    assert result.answer in (Answer.USE, Answer.OPEN)
    if result.answer is Answer.OPEN:
        p.stop_waiting(server)
        assert p.opened(result.connection, now, taken=True)
    return result.connection


def idle(p: Plan, server: str, count: int, now: int) -> list[int]:
    """Makes ``count`` idle connections; the last one is the most recently proven."""
    held = [busy(p, server, now) for _ in range(count)]
    for i, number in enumerate(held):
        assert p.answered(number, now + i, keep=True)
    return held


def test_the_most_recently_proven_goes_out_first() -> None:
    p = plan()
    held = idle(p, "a", 3, 0)
    assert [p.take("a", 10, proof=False).connection for _ in range(3)] == held[::-1]
    assert p.take("a", 10, proof=False).answer is Answer.OPEN


def test_what_may_not_be_repeated_goes_only_over_one_proven_of_late() -> None:
    p = plan()
    one, = idle(p, "a", 1, 0)
    assert p.take("a", 2 * S, proof=True).answer is Answer.OPEN
    assert p.take("a", 2 * S, proof=False).connection == one
    p.answered(one, 2 * S, keep=True)
    assert p.take("a", 2 * S + 999 * MS, proof=True).connection == one


def test_answers_after_as_long_idle_vouch_for_a_connection_that_was_proven_long_ago() -> None:
    """In a large fleet each node sends to each server less than once per ``proof_us``.  Seven of ten payments then
    opened a connection while lookups reused the idle ones."""
    p = plan()
    a, b = idle(p, "a", 1, 0)[0], idle(p, "b", 1, 0)[0]
    now = 0
    for _ in range(40):  # lookups, each 4 s after the previous one on the same connection
        now += 4 * S
        assert p.take("b", now, proof=False).connection == b
        p.answered(b, now, keep=True)
        assert p.take("a", now - S, proof=False).connection == a
        p.answered(a, now - S, keep=True)
        p.tick(now)
    assert p.take("a", now + 2 * S, proof=True).connection == a, "idle for 3 s"
    p.answered(a, now + 2 * S, keep=True)
    assert p.take("a", now + 6 * S, proof=True).answer is Answer.OPEN, "longer than any idle time that was answered"


def test_nothing_vouches_beyond_an_idle_time_at_which_connections_break() -> None:
    pool = Evidence(bucket(10 * S) + 1, 0)
    time = IdleTime(10 * S, pool, 0, 900 * MS)
    for _ in range(200):
        for idle_us in (1 * S, 2 * S, 4 * S):
            time.answered(idle_us)
    for _ in range(8):  # few enough to keep the connection, too many to send a payment on it
        time.ended(2 * S)
    assert time.limit_us > 4 * S
    assert 900 * MS <= time.trusted_us < 2 * S


def test_a_connection_due_to_be_retired_is_never_handed_out() -> None:
    p = plan()
    held = idle(p, "a", 2, 0)
    result = p.take("a", 9 * S, proof=False)  # the limit is 8 s, 0.8 of the announced 10 s
    assert result.answer is Answer.OPEN and sorted(result.close) == held
    assert not p.idle


def test_idle_ones_are_closed_before_the_servers_time_and_old_ones_do_not_turn_over_together() -> None:
    p = plan(age_us=20 * S, idle_us=100 * S, trim=False)
    held = idle(p, "a", 20, 0)
    gone = [p.tick(at * S)[0] for at in range(1, 21)]
    assert sorted(x for rows in gone for x in rows) == held
    assert max(map(len, gone)) < 12 and not any(gone[:13])
    p = plan(trim=False)
    idle(p, "a", 3, 0)
    assert p.tick(7 * S)[0] == [] and len(p.tick(8 * S + 10)[0]) == 3


def test_a_servers_idle_time_is_learned_and_drifts_up_again() -> None:
    p = plan()
    held = idle(p, "a", 5, 0)
    for i, number in enumerate(held[:3]):
        p.ended(number, S + i * 300 * MS, by_server=True)  # it closed three, each after about a second
    assert sorted(p.tick(S + 600 * MS)[0]) == held[3:]
    one, = idle(p, "a", 1, 2 * S)
    assert p.take("a", 2 * S + 700 * MS, proof=False).connection == one
    assert p.servers["a"].idle_time.limit_us == 800 * MS
    assert p.servers["b"].idle_time.limit_us == int(IDLE_MARGIN * 10 * S)  # breaks of another server are too few
    p.tick(40 * S)
    assert p.servers["a"].idle_time.limit_us == int(IDLE_MARGIN * 10 * S)  # decayed: longer ones are tried again


def test_a_server_that_dies_tells_nothing_of_idle_times() -> None:
    p = plan()
    for number in idle(p, "a", 20, 0):
        p.ended(number, S, by_server=True)
    p.tick(S)
    assert {s.idle_time.limit_us for s in p.servers.values()} == {int(IDLE_MARGIN * 10 * S)}


def idle_time() -> IdleTime:
    return IdleTime(10 * S, Evidence(bucket(10 * S) + 1, 0), 0)


def test_breaks_among_many_answers_are_not_of_idleness() -> None:
    t = idle_time()
    for i in range(100):
        t.answered(150 * MS)
        if i % 10 == 0:
            t.ended(150 * MS)
    assert t.limit_us == int(IDLE_MARGIN * 10 * S)
    for _ in range(40):
        t.ended(150 * MS)
    assert t.limit_us == 100 * MS


def test_what_breaks_in_steady_use_turns_nothing_over() -> None:
    t = idle_time()
    for _ in range(50):
        t.ended(20 * MS)
    assert t.limit_us == int(IDLE_MARGIN * 10 * S)


def test_a_server_is_judged_by_the_others_too_once_there_are_many() -> None:
    pool = Evidence(bucket(10 * S) + 1, 0)
    one, other = IdleTime(10 * S, pool, 0), IdleTime(10 * S, pool, 0)
    for _ in range(8):
        one.ended(300 * MS)
    other.refresh(0)
    assert other.limit_us == one.limit_us == 200 * MS


@pytest.mark.parametrize("idle_us", [0, 24_999, 25_000, 49_999, 50_000, 10 * S, 10_000 * S])
def test_buckets_double_and_end(idle_us: int) -> None:
    k = bucket(idle_us)
    assert (k == 0 or FIRST_BUCKET_US << (k - 1) <= idle_us) and idle_us < FIRST_BUCKET_US << k
    t = idle_time()
    t.ended(idle_us)  # beyond the announced timeout it counts in the last bucket


def full(p: Plan, server: str, now: int, limit: int) -> Answer:
    """Takes a connection to a server that accepts at most ``limit`` of them."""
    result = p.take(server, now, proof=False)
    if result.answer is Answer.OPEN:
        p.stop_waiting(server)
        if p.servers[server].busy < limit:
            p.opened(result.connection, now, taken=True)
        else:
            p.failed(result.connection, now)
    return result.answer


def keep_answering(p: Plan, server: str, now: int) -> None:
    """Answers every connection in use and takes it again."""
    for c in [c for c in p.connections.values() if c.state == "busy" and c.server.id == server]:
        p.answered(c.number, now, keep=True)
        p.take(server, now, proof=False)


def test_a_servers_limit_is_learned_from_failed_connects_tried_again_and_followed() -> None:
    p = plan()
    for _ in range(3):
        assert full(p, "a", 0, 3) is Answer.OPEN
    keep_answering(p, "a", MS)
    assert [full(p, "a", 2 * MS, 3) for _ in range(3)] == [Answer.OPEN] * 3  # one or two failures prove nothing
    assert p.servers["a"].limit == 3 and p.servers["a"].held == 3
    assert full(p, "a", 4 * MS, 3) is Answer.CANNOT  # at once, so that the attempt may go elsewhere
    assert full(p, "b", 4 * MS, 3) is Answer.OPEN
    tried = 0
    for at in range(10 * MS, 10 * S, 10 * MS):
        keep_answering(p, "a", at)
        tried += full(p, "a", at, 3) is Answer.OPEN
    assert 3 <= tried <= 5  # the backoff is 0.5 s, 1 s, 2 s, 4 s
    for at in range(10 * S, 20 * S, 10 * MS):
        keep_answering(p, "a", at)
        full(p, "a", at, 12)
    assert p.servers["a"].held == 12 and p.servers["a"].limit == 12  # it accepts more now


def test_a_limit_that_nobody_meets_is_forgotten() -> None:
    p = plan()
    full(p, "a", 0, 1)
    keep_answering(p, "a", MS)
    for _ in range(3):
        full(p, "a", 2 * MS, 1)
    assert p.servers["a"].limit == 1
    assert full(p, "a", 40 * S, 9) is Answer.OPEN and p.servers["a"].limit == 0


def test_new_connections_that_break_now_and_then_set_no_limit() -> None:
    p = plan(most=1000, making=1000)
    rng = random.Random(5)
    for i in range(400):
        keep_answering(p, "a", i * MS)
        result = p.take("a", i * MS, proof=False)
        assert result.answer is Answer.OPEN
        p.stop_waiting("a")
        if rng.random() < 0.1 and i % 3:
            p.failed(result.connection, i * MS)
        else:
            p.opened(result.connection, i * MS, taken=True)


def test_new_ones_that_are_taken_in_and_broken_count_too() -> None:
    p = plan()
    busy(p, "a", 0)
    keep_answering(p, "a", MS)
    for at in range(3):
        p.ended(busy(p, "a", 2 * MS + at), 3 * MS, by_server=True)
    assert p.servers["a"].limit == 1


def test_a_failed_connect_to_a_server_that_is_silent_sets_no_limit() -> None:
    p = plan()
    busy(p, "a", 0)
    result = p.take("a", 10 * S, proof=False)
    p.failed(result.connection, 10 * S)
    assert p.servers["a"].limit == 0


def test_a_connect_that_never_comes_up_holds_a_bounded_number_and_each_is_told() -> None:
    p = plan(making=2, waiting=5)
    answers = [p.take("a", 0, proof=False).answer for _ in range(20)]
    assert answers == [Answer.OPEN] * 2 + [Answer.WAIT] * 5 + [Answer.CANNOT] * 13
    for _ in range(7):
        p.stop_waiting("a")
    for number in list(p.connections):
        p.failed(number, 200 * MS)
    assert p.take("a", 200 * MS, proof=False).answer is Answer.OPEN


def test_when_descriptors_run_short_the_least_useful_goes_and_no_servers_only_one() -> None:
    p = plan(most=5)
    a = idle(p, "a", 4, 0)
    only, = idle(p, "b", 1, -S)
    result = p.take("c", 10, proof=False)
    assert result.answer is Answer.OPEN and result.close == (a[0],)  # b's connection is idle longer, but its only one
    assert only in p.connections and len(p.connections) == 5
    p.stop_waiting("c")
    p.opened(result.connection, 10, taken=True)
    for number in a[1:]:
        p.ended(number, 11)
    idle(p, "a", 1, 12)
    assert p.take("c", 13, proof=False).answer is Answer.OPEN  # descriptors are free again


def test_when_descriptors_run_short_a_server_above_its_ceiling_gives_before_one_at_it() -> None:
    p = plan(most=5, idle_us=1000 * S)
    for at in range(0, 20 * S, 10 * MS):  # steady demand of two connections to b
        pair = [busy(p, "b", at), busy(p, "b", at)]
        for number in pair:
            p.answered(number, at + 9 * MS, keep=True)
        p.tick(at + 9 * MS)
    assert p.servers["b"].ceiling() == 2
    a = idle(p, "a", 3, 21 * S)  # idle for a shorter time, but beyond a's ceiling
    result = p.take("c", 22 * S, proof=False)
    assert result.answer is Answer.OPEN and result.close == (a[0],)


def test_a_server_with_none_may_take_anothers_only_one() -> None:
    p = plan(most=2)
    held = [*idle(p, "a", 1, 0), *idle(p, "b", 1, 5)]
    result = p.take("c", 10, proof=False)
    assert result.answer is Answer.OPEN and result.close == (held[0],)
    p = plan(most=2)
    idle(p, "a", 1, 0)
    busy(p, "b", 5)
    assert p.take("b", 10, proof=False).answer is Answer.CANNOT


def test_spares_are_opened_ahead_paced_and_fewer_toward_a_cold_server() -> None:
    def opened(share: float) -> int:
        p = plan(ahead=4, pace_us=50 * MS, handshakes_per_s=10**9)
        held = [busy(p, "a", 0) for _ in range(4)]
        p.warmth("a", share)
        count = 0
        for at in range(10 * MS, 400 * MS, 10 * MS):
            for server, number in p.tick(at)[1]:
                assert server == "a"
                p.opened(number, at, taken=False)
                count += 1
        assert len(held) + count <= 8
        return count

    assert opened(1.0) == 4
    assert opened(0.2) == 1


def test_none_are_opened_ahead_for_a_server_that_nobody_uses() -> None:
    p = plan(ahead=4)
    assert all(p.tick(at)[1] == [] for at in range(0, 10 * S, 100 * MS))


def test_a_cold_server_gets_fewer_new_connections_at_once() -> None:
    p = plan(making=8, waiting=0)
    p.warmth("a", 0.25)
    answers = [p.take("a", at * 10 * MS, proof=False).answer for at in range(9)]
    assert answers.count(Answer.OPEN) == 2


def test_a_cold_server_gets_new_connections_at_this_nodes_part_of_the_pace() -> None:
    def made(share: float) -> int:
        p = plan(most=1000, making=100, waiting=0, handshakes_per_s=500, nodes=10)
        p.warmth("a", share)
        return sum(p.take("a", at * MS, proof=False).answer is Answer.OPEN for at in range(1000))

    assert 9 <= made(0.2) <= 11  # 500 per second, times 0.2 for the cold server, divided by 10 nodes
    assert 18 <= made(0.4) <= 21
    assert made(1.0) == 100


def test_an_attempt_may_wait_for_what_is_made_toward_a_cold_server_and_fewer_may() -> None:
    p = plan(making=8, waiting=8)
    p.warmth("a", 0.25)
    answers = [p.take("a", 0, proof=False).answer for _ in range(9)]
    assert answers == [Answer.OPEN] + [Answer.WAIT] * 2 + [Answer.CANNOT] * 6


def test_what_stands_idle_beyond_the_ceiling_is_closed_half_at_a_time() -> None:
    p = plan(idle_us=1000 * S)
    idle(p, "a", 20, 0)
    now, left = 0, []
    for _ in range(8):
        now += REVIEW_INTERVAL_US
        one = busy(p, "a", now)
        p.answered(one, now + MS, keep=True)
        p.tick(now + 2 * MS)
        left.append(p.servers["a"].held)
    assert left[0] <= 20 and left[2] < 12 and left[-1] == 1
    assert all(a >= b for a, b in zip(left, left[1:], strict=False))


def test_a_server_that_hangs_does_not_take_the_descriptors_that_others_need() -> None:
    p = plan(most=80)
    answers = [p.take("a", 0, proof=False) for _ in range(200)]
    for result in answers:
        if result.answer is Answer.OPEN:
            p.opened(result.connection, 0, taken=True)
            p.stop_waiting("a")
    while True:
        result = p.take("a", 1, proof=False)
        if result.answer is not Answer.OPEN:
            break
        p.stop_waiting("a")
        p.opened(result.connection, 1, taken=True)
    assert result.answer is Answer.CANNOT and 70 <= p.servers["a"].held < 72  # an eighth of 80 is left
    for server in "bc":
        assert p.take(server, 2, proof=False).answer is Answer.OPEN


def test_one_that_is_never_answered_while_others_are_counts_as_dropped_in_silence() -> None:
    p = plan()
    for at in range(0, 10 * S, S):
        dead = idle(p, "a", 2, at)[1]
        used = busy(p, "a", at + 600 * MS)
        if used != dead:
            break
        alive = busy(p, "a", at + 601 * MS)
        p.answered(alive, at + 611 * MS, keep=True)
        p.ended(dead, at + 900 * MS, silent=True)
    assert at == 2 * S  # two breaks are enough evidence
    assert p.servers["a"].idle_time.limit_us == 400 * MS


def test_silence_of_a_whole_server_or_a_short_one_tells_nothing_of_idle_times() -> None:
    p = plan()
    for at in range(0, 20 * S, 3 * S):
        one, other = idle(p, "a", 2, at)
        p.use_us = 100 * MS
        assert busy(p, "a", at + 600 * MS) == other
        if at % (2 * S):
            p.ended(other, at + 1050 * MS, silent=True)  # no answer on the other connection either
        else:
            assert busy(p, "a", at + 600 * MS) == one
            p.answered(one, at + 700 * MS, keep=True)
            p.ended(other, at + 701 * MS, silent=True)  # given up right after the other was answered
    assert p.servers["a"].idle_time.limit_us == int(IDLE_MARGIN * 10 * S)


def test_a_server_replaced_at_the_same_address_keeps_nothing_of_the_old_one() -> None:
    p = plan()
    held = idle(p, "a", 2, 0)
    out = busy(p, "a", 5)
    making = p.take("a", 5, proof=False)
    also = p.take("a", 5, proof=False)
    assert making.answer is Answer.USE and also.answer is Answer.OPEN
    assert p.place("a", 10) == [x for x in held if x in p.idle or x not in (out, making.connection)]
    assert not p.opened(also.connection, 20, taken=False)  # opened to the old server
    assert not p.answered(out, 20, keep=True)
    assert not p.answered(making.connection, 20, keep=True)
    assert p.servers["a"].held == 0 and not p.connections
    assert p.take("nobody", 20, proof=False).answer is Answer.CANNOT


@pytest.mark.parametrize("changes", [{"most": 0}, {"idle_us": -1}, {"ahead": -1}, {"age_jitter": 1.0}])
def test_settings_that_cannot_be_are_named(changes: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(changes))):
        PlanSettings(**{"most": 1, "idle_us": 1, **changes})  # type: ignore[arg-type]


# ---------------------------------------------------------------- arbitrary sequences of events


class Fleet(RuleBasedStateMachine):
    """Compares the plan under arbitrary sequences of events with a simple model of the open connections."""

    names = ["a", "b", "c", "d"]

    @initialize(most=st.integers(2, 12))
    def begin(self, most: int) -> None:
        self.most, self.now = most, 0
        self.plan = Plan(PlanSettings(most=most, idle_us=2 * S, making=3, waiting=2, age_us=5 * S, ahead=1), 4)
        self.making: dict[int, str] = {}
        self.busy: dict[int, str] = {}
        self.idle: dict[int, tuple[str, int]] = {}  # server, time of the last proof
        self.closed: set[int] = set()
        for name in self.names:
            self.plan.place(name, 0)

    def _closed(self, numbers: object) -> None:
        for number in list(numbers):  # type: ignore[call-overload]
            assert number in self.idle, "only idle connections may be closed"
            del self.idle[number]
            self.closed.add(number)

    @rule(us=st.one_of(st.integers(1, 50 * MS), st.integers(1, 3 * S)))
    def pass_time(self, us: int) -> None:
        self.now += us

    @rule(i=st.integers(0, 3), proof=st.booleans())
    def take(self, i: int, proof: bool) -> None:
        server = self.names[i]
        result = self.plan.take(server, self.now, proof=proof)
        self._closed(result.close)
        if result.answer is Answer.USE:
            assert result.connection not in self.closed, "a closed connection was assigned"
            owner, proven = self.idle.pop(result.connection)
            assert owner == server
            assert not proof or self.now - proven <= self.plan.settings.proof_us
            assert self.now - proven < 2 * S
            self.busy[result.connection] = server
        elif result.answer is Answer.OPEN:
            self.making[result.connection] = server
            self.plan.stop_waiting(server)
        elif result.answer is Answer.WAIT:
            self.plan.stop_waiting(server)

    @rule(i=st.integers(0, 3), proof=st.booleans(), count=st.integers(1, 4))
    def serve(self, i: int, proof: bool, count: int) -> None:
        """Sends ``count`` attempts at once and answers all of them, which leaves connections idle."""
        before = set(self.busy)
        for _ in range(count):
            self.take(i, proof)
        for number in [n for n, server in self.making.items() if server == self.names[i]]:
            del self.making[number]
            if self.plan.opened(number, self.now, taken=True):
                self.busy[number] = self.names[i]
        for number in sorted(set(self.busy) - before):
            server = self.busy.pop(number)
            if self.plan.answered(number, self.now, keep=True):
                self.idle[number] = (server, self.now)

    @rule(pick=st.randoms(use_true_random=False), up=st.booleans(), taken=st.booleans())
    def made(self, pick: random.Random, up: bool, taken: bool) -> None:
        if not self.making:
            return
        number = pick.choice(sorted(self.making))
        server = self.making.pop(number)
        if not up:
            self.plan.failed(number, self.now)
        elif self.plan.opened(number, self.now, taken=taken):
            if taken:
                self.busy[number] = server
            else:
                self.idle[number] = (server, self.now)

    @rule(pick=st.randoms(use_true_random=False), keep=st.booleans(), breaks=st.booleans())
    def end(self, pick: random.Random, keep: bool, breaks: bool) -> None:
        if not self.busy:
            return
        number = pick.choice(sorted(self.busy))
        server = self.busy.pop(number)
        if breaks:
            self.plan.ended(number, self.now, by_server=keep)
        elif self.plan.answered(number, self.now, keep=keep):
            self.idle[number] = (server, self.now)

    @rule(pick=st.randoms(use_true_random=False))
    def server_closes(self, pick: random.Random) -> None:
        if self.idle:
            number = pick.choice(sorted(self.idle))
            del self.idle[number]
            self.plan.ended(number, self.now, by_server=True)

    @rule(i=st.integers(0, 3), share=st.floats(0.0, 1.0))
    def warmth(self, i: int, share: float) -> None:
        self.plan.warmth(self.names[i], share)

    @rule(i=st.integers(0, 3))
    def replaced(self, i: int) -> None:
        self._closed(self.plan.place(self.names[i], self.now))

    @rule()
    def tick(self) -> None:
        close, ahead = self.plan.tick(self.now)
        self._closed(close)
        for server, number in ahead:
            self.making[number] = server

    @invariant()
    def accounts_agree(self) -> None:
        if not hasattr(self, "plan"):
            return
        p = self.plan
        assert len(p.connections) <= self.most
        assert set(p.connections) == {*self.making, *self.busy, *self.idle}
        assert set(p.idle) == set(self.idle)
        for server in p.servers.values():
            assert min(server.busy, server.making, server.waiting) >= 0
            assert server.making <= p.settings.making and not server.gone
        assert sum(len(s.idle) for s in p.servers.values()) == len(self.idle)


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)


def test_short_of_descriptors_no_server_goes_beyond_its_ceiling_and_an_even_part() -> None:
    rng = random.Random(7)
    p = Plan(PlanSettings(most=40, idle_us=30 * S, making=40), 5)
    names = [f"s{i}" for i in range(6)]
    for name in names:
        p.place(name, 0)
    now, out, seen = 0, list[int](), 0
    for _ in range(20_000):
        now += rng.randrange(2 * MS)
        if rng.random() < 0.55:
            server = names[0] if rng.random() < 0.6 else rng.choice(names)
            before = len(p.connections)
            result = p.take(server, now, proof=False)
            if result.answer is Answer.OPEN:
                s = p.servers[server]
                if 8 * (40 - before) < 40:
                    seen += 1
                    assert s.held <= max(2, s.ceiling(), 40 // 6)
                p.stop_waiting(server)
                p.opened(result.connection, now, taken=True)
            if result.answer in (Answer.USE, Answer.OPEN):
                out.append(result.connection)
        elif out:
            p.answered(out.pop(rng.randrange(len(out))), now, keep=True)
        if rng.random() < 0.01:
            p.tick(now)
        assert len(p.connections) <= 40
    assert seen > 20


def test_nothing_leaks_over_a_hundred_thousand_random_events() -> None:
    rng = random.Random(11)
    p = Plan(PlanSettings(most=60, idle_us=S, ahead=1), 5)
    names = [f"s{i}" for i in range(30)]
    for name in names:
        p.place(name, 0)
    now, making, out = 0, list[tuple[int, str]](), list[int]()
    for _ in range(100_000):
        now += rng.randrange(3 * MS)
        draw = rng.random()
        if draw < 0.45:
            server = rng.choice(names)
            result = p.take(server, now, proof=rng.random() < 0.5)
            if result.answer is Answer.USE:
                out.append(result.connection)
            elif result.answer is Answer.OPEN:
                making.append((result.connection, server))
            elif result.answer is Answer.WAIT:
                p.stop_waiting(server)
        elif draw < 0.65 and making:
            number, server = making.pop(rng.randrange(len(making)))
            p.stop_waiting(server)
            if rng.random() < 0.1:
                p.failed(number, now)
            elif p.opened(number, now, taken=True):
                out.append(number)
        elif draw < 0.95 and out:
            number = out.pop(rng.randrange(len(out)))
            if rng.random() < 0.05:
                p.ended(number, now, by_server=True)
            else:
                p.answered(number, now, keep=rng.random() < 0.95)
        elif draw < 0.99:
            making += [(number, server) for server, number in p.tick(now)[1]]
        else:
            p.place(rng.choice(names), now)
        assert len(p.connections) <= 60
    for name in names:
        p.remove(name)
    for number, _ in making:
        p.failed(number, now)
    for number in out:
        p.ended(number, now)
    assert not p.connections and not p.idle and not p.servers
    assert len(p.retirements) <= 64 + 4 * 60
