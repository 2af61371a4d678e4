"""How capacity estimates fall and recover; the module is driven without sockets."""

from __future__ import annotations

import pytest

from headspar.decide import (
    ACC_FLOOR,
    CRITICAL,
    FLEET_HEDGE_TOKENS,
    HEDGE_SHARE,
    HEDGE_TOKENS,
    INTERVAL_US,
    OVERLOAD_LATENESS,
    QUEUE_DRAIN_SHARE,
    Backend,
    Balancer,
    Capacity,
)
from headspar.interface import AttemptEnded, Event, Outcome, Refuse, RequestArrived, Send, TimerFired
from tests.helpers import entry, full, settings

MS, S = 1_000, 1_000_000


class Fleet:
    """Servers that answer after 60 ms, or with the outcome given in ``outcomes``; 100 requests per second."""

    def __init__(self, servers: int = 9) -> None:
        self.b = Balancer(settings(must_subscribe=False, tenants=[]), 3)
        self.now = S
        self.serial = self.refused = 0
        self.due: list[tuple[int, AttemptEnded]] = []
        self.b.handle(self.now, [full(servers)])

    def run(self, seconds: float, outcomes: dict[str, Outcome] | None = None) -> None:
        end = self.now + int(seconds * S)
        while self.now < end:
            self.now += 10 * MS
            events: list[Event] = [e for at, e in self.due if at <= self.now]
            self.due = [(at, e) for at, e in self.due if at > self.now]
            self.serial += 1
            events.append(RequestArrived(f"r{self.serial}", "look", self.now + 2 * S, 30_000))
            for action in self.b.handle(self.now, events):
                if isinstance(action, Refuse):
                    self.refused += 1
                elif isinstance(action, Send):
                    outcome = (outcomes or {}).get(action.backend, Outcome.OK)
                    took = 60 * MS if outcome is Outcome.OK else 2 * MS
                    number = len(self.b.requests[action.id].attempts) - 1
                    ended = AttemptEnded(action.id, number, action.backend, outcome, took, outcome is Outcome.OK)
                    self.due.append((self.now + took, ended))

    def names(self) -> list[str]:
        return list(self.b.membership.backends)


def test_work_that_never_ran_is_not_carried() -> None:
    f = Fleet()
    f.run(4)
    c = f.b.capacity
    assert f.now < f.b.tick_at if f.b.tick_at is not None else False  # no tick in between
    for outcome, ran in ((Outcome.FULL, False), (Outcome.CONNECT_FAILED, False), (Outcome.MOOT, False),
                         (Outcome.OK, True), (Outcome.ERROR, True)):
        r = next(r for r in f.b.requests.values() if any(a.in_flight for a in r.attempts))
        number = next(i for i, a in enumerate(r.attempts) if a.in_flight)
        before, cost = c.sent_work, r.cost
        ended = AttemptEnded(r.id, number, r.attempts[number].backend.id, outcome, 5 * MS, True)
        f.b.handle(f.now, [ended])
        assert c.sent_work == (before if ran else before - cost)


def test_refusals_of_an_ill_server_say_little_of_what_a_sound_one_carries() -> None:
    f = Fleet(2)
    f.run(2)
    healthy, unhealthy = (f.b.membership.backends[n] for n in f.names())
    c = f.b.capacity
    r = next(iter(f.b.requests.values()))

    def evidence(health: float) -> float:
        c.late_num = c.late_den = 0.0
        unhealthy.health = health
        c.learn(unhealthy, r, Outcome.FULL, 2 * MS, f.now)
        return c.late_num

    assert evidence(1.0) == 2.0 * r.cost
    assert abs(evidence(0.1) - 0.02 * r.cost) < 1e-6 * r.cost
    assert healthy.health > 0.9


def test_seven_of_nine_that_turn_away_do_not_keep_the_other_two_from_serving() -> None:
    f = Fleet()
    f.run(6)
    refusing = dict.fromkeys(f.names()[:7], Outcome.FULL)
    f.run(10, refusing)
    served, f.refused = f.b.served, 0
    f.run(10, refusing)
    assert f.b.served - served > 0.3 * 1000
    f.run(2)
    f.refused = 0
    f.run(2)
    assert f.refused < 20


def late_answers(hint: int | None, over: float, seconds: float = 4.0) -> Balancer:
    """A node that receives four requests per second, each answered after ``over`` times its aim."""
    b = Balancer(settings(cold_share=1.0, second_copies=False), 1)
    b.handle(0, [full(6)])
    now, i, due = 0, 0, list[tuple[int, AttemptEnded]]()
    while now < seconds * 1e6:
        now += 10 * MS
        events: list[Event] = [e for at, e in due if at <= now]
        due = [(at, e) for at, e in due if at > now]
        if now % (250 * MS) == 0:
            i += 1
            events.append(RequestArrived(f"r{i}", "look", now + 2_000_000, hint))
        for a in b.handle(now, events):
            if isinstance(a, Send) and a.id == f"r{i}":
                took = int(over * 400_000)
                due.append((now + took, AttemptEnded(a.id, 0, a.backend, Outcome.OK, took, True)))
    return b


@pytest.mark.parametrize("hint", [None, 50_000, 500])
def test_lateness_is_seen_in_seconds_whatever_unit_the_hints_are_in(hint: int | None) -> None:
    """Guards against lateness that goes unnoticed without hints: all requests counted as 768 us of work, but the
    evidence was compared with a typical request of 10,000 us until hundreds had been answered; at a mean of 1.7 times
    the aims the node read 0.36 and refused nothing while all queues were full."""
    assert late_answers(hint, 1.5).capacity.pressure > 0.85
    assert late_answers(hint, 0.4).capacity.pressure < 0.5


def test_full_lines_everywhere_are_pressure_and_time_outs_are_though_a_server_is_met_seldom() -> None:
    f = Fleet(4)
    f.run(4)
    assert f.b.capacity.pressure < 0.5
    f.run(2, dict.fromkeys(f.names(), Outcome.FULL))
    assert f.b.capacity.pressure > 1.2  # no server is worse than the others
    f = Fleet(4)
    f.run(4)
    c, b = f.b.capacity, f.b
    before, request = c.late_num, next(iter(b.requests.values()))
    server = b.membership.backends[f.names()[0]]
    server.last_ok = f.now - 10 * S  # no answer since long before the attempt
    c.learn(server, request, Outcome.TIMEOUT, 2 * S, f.now)
    assert c.late_num == before + 2.0 * request.cost


def test_what_waits_is_evidence_once_it_is_late_and_on_both_sides_of_the_ratio() -> None:
    f = Fleet(4)
    f.run(4)
    c, request = f.b.capacity, next(iter(f.b.requests.values()))
    attempt = request.attempts[0]
    aim = 400 * MS
    for waited, late in ((CRITICAL - 0.02, 0.0), (CRITICAL + 0.02, CRITICAL + 0.02), (1.5, 1.5), (7.0, 2.0)):
        num, den = c.pending_lateness([request], attempt.sent_at + round(waited * aim))
        assert (num, den) == pytest.approx((late * request.cost, request.cost if late else 0.0))
    before = c.late_num, c.late_den
    c.pending_lateness([request], attempt.sent_at + S)
    assert (c.late_num, c.late_den) == before  # computed anew each time, not accumulated
    attempt.in_flight = False
    assert c.pending_lateness([request], attempt.sent_at + S) == (0.0, 0.0)


def stalled(seconds: float) -> Balancer:
    """A node that receives 40 requests per second: prompt answers for two seconds, then servers that complete only
    two requests per second, the longest waiting first."""
    b = Balancer(settings(must_subscribe=False, tenants=[], cold_share=1.0, second_copies=False), 1)
    b.handle(0, [full(6)])
    waiting: list[tuple[str, int, str]] = []
    for i in range(int(40 * (2 + seconds))):
        now = S + i * 25 * MS
        prompt = now < 3 * S
        events: list[Event] = []
        if prompt or i % 20 == 0:
            events = [AttemptEnded(id, 0, at, Outcome.OK, now - sent, True) for id, sent, at in waiting[:2]]
            del waiting[:2 if prompt else 1]
            events = events if prompt else events[:1]
        events.append(RequestArrived(f"r{i}", "look", now + 60 * S, None))
        waiting += [(a.id, now, a.backend) for a in b.handle(now, events) if isinstance(a, Send) and a.id == f"r{i}"]
    return b


def test_a_line_is_evidence_before_those_in_it_are_answered() -> None:
    """Guards against growing queues that go unnoticed: 550 requests waited at servers that completed 47 per second,
    but nodes read 0.4 aims, because the requests answered so far had met short queues."""
    b = stalled(1.5)
    c = b.capacity
    assert sum(len(r.attempts) for r in b.requests.values()) > 20  # about ten seconds of the servers' completions
    assert c.late_num / c.late_den < CRITICAL  # the answered requests show no overload
    assert c.pressure > CRITICAL + 0.2 and c.acc < ACC_FLOOR


@pytest.mark.parametrize("paused", [False, True])
def test_a_node_that_has_stood_still_does_not_take_its_own_pause_for_waits(paused: bool) -> None:
    """Guards against a process pause taken for slow servers: on a busy machine a tick ran before the answers that
    were already in the sockets had been read."""
    f = Fleet(4)
    f.run(4)
    b = f.b
    assert any(a.in_flight for r in b.requests.values() for a in r.attempts)
    before = b.capacity.pressure
    for pause in ([1200 * MS] if paused else [200 * MS] * 6):
        f.now += pause
        b.handle(f.now, [TimerFired(1)])
    assert (b.capacity.pressure > before + 0.1) is not paused


def capacity_of(pool: list[Backend]) -> Capacity:
    c = Capacity(settings(balancers=10, cold_share=0.2, ramp_us=20 * S))
    for b in pool:
        c.kinds.setdefault(b.kind, [0.0, 0.0])
    return c


def test_what_overdriven_servers_finish_says_nothing_of_what_cold_ones_may_be_given() -> None:
    """Guards against idle cold servers in overload: overloaded warm servers completed a third of their capacity, and
    the budgets of cold servers, derived from that rate, fell with it."""
    for lateness, falls in ((0.5 * OVERLOAD_LATENESS, True), (1.5 * OVERLOAD_LATENESS, False)):
        pool = [Backend(entry(i)) for i in range(6)]
        c = capacity_of(pool)
        steady = []
        for step in range(80):
            c.sent, c.offered_work, c.sent_work = 6, 600_000, 300_000
            c.served_work = 300_000 if step < 40 else 100_000
            c.late_num += (0.3 if step < 40 else lateness) * c.served_work
            c.late_den += c.served_work
            c.tick(pool, INTERVAL_US * (step + 1), INTERVAL_US)
            steady.append(c.steady)
        assert (steady[-1] < 0.5 * steady[39]) is falls
        assert steady[39] > 0.9 * 300_000 / 0.2 / 6


def test_cold_servers_that_stand_well_do_not_hide_that_all_warm_ones_are_late() -> None:
    """Guards against lateness without weight: beside seven healthy, almost idle cold servers, the waits at five
    unhealthy warm servers counted for nothing; nodes read 0.4 aims with eleven seconds of work queued, and admitted
    everything."""
    pool = [Backend(entry(i)) for i in range(5)] + [Backend(entry(i, started=S)) for i in range(5, 12)]
    c = capacity_of(pool)
    for b in pool[:5]:
        b.health = 0.1
    c.tick(pool, 2 * S, INTERVAL_US)
    assert pool[5].warm < 1.0 == pool[0].warm
    assert c.evidence_weight(pool[0]) > 0.9
    for b in pool[:2]:
        b.health = 1.0
    c.tick(pool, 3 * S, INTERVAL_US)
    assert c.evidence_weight(pool[4]) < 0.05  # beside two healthy warm servers it is unhealthy


def test_what_servers_go_on_finishing_is_admitted_at_an_acc_of_nothing_the_most_worth_first() -> None:
    b = Balancer(settings(must_subscribe=False), 3)
    a = b.admission
    half = len(b.classes)
    pay, over = a.index["pay"], a.index["pay"] + half
    for row in (a.arrivals, a.work):
        row[pay] = row[over] = 100.0
    a.tick(0.0, 0.5)
    assert a.pa[pay] > 0.85 and a.pa[over] < 0.15  # half of the work is admitted, hardly any of it beyond the share
    a.tick(0.0)
    assert a.pa[pay] == a.pa[over] == 0.0


def test_a_node_whose_servers_lines_are_full_goes_on_sending_what_they_finish() -> None:
    f = Fleet(4)
    f.run(4)
    c = f.b.capacity
    c.acc, c.k = 0.0, 1.0  # the load is far above the estimated capacity
    f.b.admission.tick(c.acc, min(1.0, QUEUE_DRAIN_SHARE * c.served_rate / c.work_rate))
    accepted = [pa for pa, work in zip(f.b.admission.pa, f.b.admission.smooth_work, strict=True) if work > 0]
    assert accepted and max(accepted) > 0.5


def hedged(balancers: int, requests: int = 40) -> int:
    """Hedged attempts that a new node sends within 1.5 s in which nothing is answered."""
    b = Balancer(settings(balancers=balancers, must_subscribe=False, tenants=[], cold_share=1.0), 1)
    now = S
    b.handle(now, [full(9)])
    sent: list[Send] = []
    for i in range(150):
        now += 10 * MS
        events: list[Event] = [RequestArrived(f"r{i}", "look", now + 4 * S, 30_000)] if i < requests else []
        if b.tick_at is not None and now >= b.tick_at:
            events.append(TimerFired(1))
        sent += [a for a in b.handle(now, events) if isinstance(a, Send)]
    return len(sent) - len({a.id for a in sent})


@pytest.mark.parametrize("balancers", [1, 3, 200])
def test_new_nodes_guess_no_more_in_their_first_second_the_more_of_them_there_are(balancers: int) -> None:
    """Guards against a burst of hedged attempts at the start: each of 60 nodes began with ten tokens and spent them
    within a second, half of all attempts."""
    found = hedged(balancers)
    assert 1 <= found <= HEDGE_TOKENS[0] + FLEET_HEDGE_TOKENS / balancers + 40 * HEDGE_SHARE


def test_what_is_refused_earns_no_repeats() -> None:
    """Guards against retries paid for by refusals: of 926 arrivals per second 834 were refused, and all of them
    earned tokens."""
    f = Fleet()
    f.run(2)
    f.b.retries = f.b.hedge_tokens = 0.0
    f.b.admission.pa = [0.0] * len(f.b.admission.pa)
    refused = f.refused
    f.b.handle(f.now, [RequestArrived(f"x{i}", "look", f.now + 2 * S, 30_000) for i in range(100)])
    assert f.b.refused == refused + 100
    assert f.b.retries == f.b.hedge_tokens == 0.0


def test_refused_callers_that_come_again_are_no_capacity() -> None:
    """Guards against a K that follows the retries of refused clients: the offered load was five times the current
    load, and K followed it however late the answers were."""
    c = Capacity(settings(balancers=10))
    c.proven, c.effective_backends, c.acc, c.k = 10 * S, 1.0, 0.0, 100_000.0
    c.pressure = CRITICAL + 0.6
    for _ in range(50):
        c._learn_k(100_000.0, 500_000.0, INTERVAL_US)
    assert c.k < 100_000.0  # less than the current load: ACC stays at 0 until queues are shorter
    c.pressure = 0.2
    c._learn_k(100_000.0, 500_000.0, INTERVAL_US)
    for _ in range(50):
        c._learn_k(100_000.0, 500_000.0, INTERVAL_US)
    assert c.k > 500_000.0  # the whole offered load, once answers are prompt
