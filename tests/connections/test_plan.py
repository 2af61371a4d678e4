"""The plan of connections, without sockets."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from headspar.connections.idle_time import FIRST_US, MARGIN, Evidence, IdleTime, bucket
from headspar.connections.plan import FORGET_US, Answer, Plan, PlanSettings

MS, S = 1_000, 1_000_000


def plan(**changes: int) -> Plan:
    p = Plan(replace(PlanSettings(most=100, idle_us=10 * S), **changes), 1)  # type: ignore[arg-type]
    for name in "abc":
        p.place(name, 0)
    return p


def busy(p: Plan, server: str, now: int, proof: bool = False) -> int:
    """An attempt's connection, made if need be."""
    told = p.take(server, now, proof=proof)
    assert told.answer in (Answer.USE, Answer.OPEN)
    if told.answer is Answer.OPEN:
        p.waits_no_more(server)
        assert p.opened(told.connection, now, taken=True)
    return told.connection


def idle(p: Plan, server: str, count: int, now: int) -> list[int]:
    """So many idle connections, the last proven last."""
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
    assert p.take("a", 2 * S, proof=False) .connection == one
    p.answered(one, 2 * S, keep=True)
    assert p.take("a", 2 * S + 999 * MS, proof=True).connection == one


def test_a_connection_due_to_be_retired_is_never_handed_out() -> None:
    p = plan()
    held = idle(p, "a", 2, 0)
    told = p.take("a", 9 * S, proof=False)  # 8 s are 0.8 of what the server is said to keep them
    assert told.answer is Answer.OPEN and sorted(told.close) == held
    assert not p.idle


def test_idle_ones_are_closed_before_the_servers_time_and_old_ones_do_not_turn_over_together() -> None:
    p = plan(age_us=20 * S, idle_us=100 * S)
    held = idle(p, "a", 20, 0)
    gone = [p.tick(at * S)[0] for at in range(1, 21)]
    assert sorted(x for rows in gone for x in rows) == held
    assert max(map(len, gone)) < 12 and not any(gone[:13])
    p = plan()
    idle(p, "a", 3, 0)
    assert p.tick(7 * S)[0] == [] and len(p.tick(8 * S + 10)[0]) == 3


def test_a_servers_idle_time_is_learned_and_drifts_up_again() -> None:
    p = plan()
    held = idle(p, "a", 5, 0)
    for i, number in enumerate(held[:3]):
        p.ended(number, S + i * 300 * MS, by_server=True)  # it closed three, each after a second
    assert sorted(p.tick(S + 600 * MS)[0]) == held[3:]
    one, = idle(p, "a", 1, 2 * S)
    assert p.take("a", 2 * S + 700 * MS, proof=False).connection == one
    assert p.servers["a"].idle_time.limit_us == 800 * MS
    assert p.servers["b"].idle_time.limit_us == int(MARGIN * 10 * S)  # three elsewhere are too few
    p.tick(40 * S)
    assert p.servers["a"].idle_time.limit_us == int(MARGIN * 10 * S)  # tried again


def test_a_server_that_dies_tells_nothing_of_idle_times() -> None:
    p = plan()
    for number in idle(p, "a", 20, 0):
        p.ended(number, S, by_server=True)
    p.tick(S)
    assert {s.idle_time.limit_us for s in p.servers.values()} == {int(MARGIN * 10 * S)}


def idle_time() -> IdleTime:
    return IdleTime(10 * S, Evidence(bucket(10 * S) + 1, 0), 0)


def test_breaks_among_many_answers_are_not_of_idleness() -> None:
    t = idle_time()
    for i in range(100):
        t.answered(150 * MS)
        if i % 10 == 0:
            t.ended(150 * MS)
    assert t.limit_us == int(MARGIN * 10 * S)
    for _ in range(40):
        t.ended(150 * MS)
    assert t.limit_us == 100 * MS


def test_what_breaks_in_steady_use_turns_nothing_over() -> None:
    t = idle_time()
    for _ in range(50):
        t.ended(20 * MS)
    assert t.limit_us == int(MARGIN * 10 * S)


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
    assert (k == 0 or FIRST_US << (k - 1) <= idle_us) and idle_us < FIRST_US << k
    t = idle_time()
    t.ended(idle_us)  # beyond what was told, it counts in the last


def test_a_servers_limit_is_learned_from_a_failed_connect_and_forgotten_again() -> None:
    p = plan()
    held = [busy(p, "a", 0) for _ in range(3)]
    p.answered(held[0], MS, keep=True)
    assert p.take("a", MS, proof=False).connection == held[0]
    told = p.take("a", 2 * MS, proof=False)
    p.waits_no_more("a")
    p.failed(told.connection, 3 * MS)
    assert p.take("a", 4 * MS, proof=False).answer is Answer.CANNOT  # at once: it may go elsewhere
    assert p.take("a", 3 * MS + FORGET_US, proof=False).answer is Answer.OPEN
    assert p.take("b", 4 * MS, proof=False).answer is Answer.OPEN


def test_a_failed_connect_to_a_server_that_is_silent_sets_no_limit() -> None:
    p = plan()
    busy(p, "a", 0)
    told = p.take("a", 10 * S, proof=False)
    p.failed(told.connection, 10 * S)
    assert p.servers["a"].limit == 0


def test_a_connect_that_never_comes_up_holds_a_bounded_number_and_each_is_told() -> None:
    p = plan(making=2, waiting=5)
    told = [p.take("a", 0, proof=False).answer for _ in range(20)]
    assert told == [Answer.OPEN] * 2 + [Answer.WAIT] * 3 + [Answer.CANNOT] * 15
    for _ in range(5):
        p.waits_no_more("a")
    for number in list(p.connections):
        p.failed(number, 200 * MS)
    assert p.take("a", 200 * MS, proof=False).answer is Answer.OPEN


def test_when_descriptors_run_short_the_least_useful_goes_and_no_servers_only_one() -> None:
    p = plan(most=5)
    a = idle(p, "a", 4, 0)
    only, = idle(p, "b", 1, -S)
    told = p.take("c", 10, proof=False)
    assert told.answer is Answer.OPEN and told.close == (a[0],)  # b's is idle longer, and its only one
    assert only in p.connections and len(p.connections) == 5
    p.waits_no_more("c")
    p.opened(told.connection, 10, taken=True)
    for number in a[1:]:
        p.ended(number, 11)
    idle(p, "a", 1, 12)
    assert p.take("c", 13, proof=False).answer is Answer.OPEN  # room again


def test_a_server_with_none_may_take_anothers_only_one() -> None:
    p = plan(most=2)
    held = [*idle(p, "a", 1, 0), *idle(p, "b", 1, 5)]
    told = p.take("c", 10, proof=False)
    assert told.answer is Answer.OPEN and told.close == (held[0],)
    p = plan(most=2)
    idle(p, "a", 1, 0)
    busy(p, "b", 5)
    assert p.take("b", 10, proof=False).answer is Answer.CANNOT


def test_spares_are_opened_ahead_paced_and_fewer_toward_a_cold_server() -> None:
    def opened(share: float) -> int:
        p = plan(ahead=4, pace_us=50 * MS)
        p.warmth("a", share)
        held = [busy(p, "a", 0) for _ in range(4)]
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
    told = [p.take("a", 0, proof=False).answer for _ in range(9)]
    assert told.count(Answer.OPEN) == 2


def test_a_server_replaced_at_the_same_address_keeps_nothing_of_the_old_one() -> None:
    p = plan()
    held = idle(p, "a", 2, 0)
    out = busy(p, "a", 5)
    making = p.take("a", 5, proof=False)
    also = p.take("a", 5, proof=False)
    assert making.answer is Answer.USE and also.answer is Answer.OPEN
    assert p.place("a", 10) == [x for x in held if x in p.idle or x not in (out, making.connection)]
    assert not p.opened(also.connection, 20, taken=False)  # made for the old one
    assert not p.answered(out, 20, keep=True)
    assert not p.answered(making.connection, 20, keep=True)
    assert p.servers["a"].held == 0 and not p.connections
    assert p.take("nobody", 20, proof=False).answer is Answer.CANNOT


@pytest.mark.parametrize("changes", [{"most": 0}, {"idle_us": -1}, {"ahead": -1}, {"age_jitter": 1.0}])
def test_settings_that_cannot_be_are_named(changes: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(changes))):
        PlanSettings(**{"most": 1, "idle_us": 1, **changes})  # type: ignore[arg-type]


# ---------------------------------------------------------------- any order of events


class Fleet(RuleBasedStateMachine):
    """The plan under any order of events, beside the plainest account of what is open."""

    names = ["a", "b", "c", "d"]

    @initialize(most=st.integers(2, 12))
    def begin(self, most: int) -> None:
        self.most, self.now = most, 0
        self.plan = Plan(PlanSettings(most=most, idle_us=2 * S, making=3, waiting=2, age_us=5 * S), 4)
        self.making: dict[int, str] = {}
        self.busy: dict[int, str] = {}
        self.idle: dict[int, tuple[str, int]] = {}  # server, proven at
        self.closed: set[int] = set()
        for name in self.names:
            self.plan.place(name, 0)

    def _closed(self, numbers: object) -> None:
        for number in list(numbers):  # type: ignore[call-overload]
            assert number in self.idle, "only idle ones are closed"
            del self.idle[number]
            self.closed.add(number)

    @rule(us=st.integers(1, 3 * S))
    def pass_time(self, us: int) -> None:
        self.now += us

    @rule(i=st.integers(0, 3), proof=st.booleans())
    def take(self, i: int, proof: bool) -> None:
        server = self.names[i]
        told = self.plan.take(server, self.now, proof=proof)
        self._closed(told.close)
        if told.answer is Answer.USE:
            assert told.connection not in self.closed, "a retired one is handed out"
            owner, proven = self.idle.pop(told.connection)
            assert owner == server
            assert not proof or self.now - proven <= self.plan.settings.proof_us
            assert self.now - proven < 2 * S
            self.busy[told.connection] = server
        elif told.answer is Answer.OPEN:
            self.making[told.connection] = server
            self.plan.waits_no_more(server)
        elif told.answer is Answer.WAIT:
            self.plan.waits_no_more(server)

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


def test_nothing_leaks_over_a_hundred_thousand_random_events() -> None:
    rng = random.Random(11)
    p = Plan(PlanSettings(most=60, idle_us=S), 5)
    names = [f"s{i}" for i in range(30)]
    for name in names:
        p.place(name, 0)
    now, making, out = 0, list[tuple[int, str]](), list[int]()
    for _ in range(100_000):
        now += rng.randrange(3 * MS)
        dice = rng.random()
        if dice < 0.45:
            server = rng.choice(names)
            told = p.take(server, now, proof=rng.random() < 0.5)
            if told.answer is Answer.USE:
                out.append(told.connection)
            elif told.answer is Answer.OPEN:
                making.append((told.connection, server))
            elif told.answer is Answer.WAIT:
                p.waits_no_more(server)
        elif dice < 0.65 and making:
            number, server = making.pop(rng.randrange(len(making)))
            p.waits_no_more(server)
            if rng.random() < 0.1:
                p.failed(number, now)
            elif p.opened(number, now, taken=True):
                out.append(number)
        elif dice < 0.95 and out:
            number = out.pop(rng.randrange(len(out)))
            if rng.random() < 0.05:
                p.ended(number, now, by_server=True)
            else:
                p.answered(number, now, keep=rng.random() < 0.95)
        elif dice < 0.99:
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
    assert len(p.ages) <= 64 + 4 * 60
