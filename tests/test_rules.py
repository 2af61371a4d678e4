"""Checks rules 1 to 3 on legal event sequences with an independent checker, and the budget of rule 4."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as hsettings
from hypothesis import strategies as st

from headspar import Balancer
from headspar.decide import cost_class
from headspar.interface import (
    AttemptEnded,
    BackendEntry,
    BackendList,
    CancelAttempt,
    ClientGone,
    Effect,
    Event,
    Fail,
    Group,
    Health,
    ListKind,
    Outcome,
    PeerMessage,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    TellPeers,
    TimerFired,
    Watch,
)
from tests.helpers import entry, full, settings

RAN = {Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}


class World:
    """Plays legal event sequences and checks each action against the rules."""

    def __init__(self, s: Settings, seed: int) -> None:
        self.s, self.rng = s, random.Random(seed)
        self.balancer = Balancer(s, seed)
        self.now = 1_000_000
        self.cls = {c.name: c for c in s.classes}
        self.open: dict[str, RequestArrived] = {}
        # request -> [backend, sent at, outcome or None] of each attempt
        self.tries: dict[str, list[list[object]]] = {}
        self.due: list[tuple[int, int, Event]] = []
        self.serial = 0
        self.not_ready_since: dict[str, int] = {}
        self.entries = {e.backend: e for e in full(6).entries}
        self.answers = self.sends = 0

    def at(self, when: int, event: Event) -> None:
        self.serial += 1
        self.due.append((when, self.serial, event))

    def step(self, events: list[Event]) -> None:
        for e in events:
            if isinstance(e, BackendList):
                listed = {x.backend for x in e.entries}
                for x in e.entries:
                    self.entries[x.backend] = x
                    if x.health is Health.READY:
                        self.not_ready_since.pop(x.backend, None)
                    else:
                        self.not_ready_since.setdefault(x.backend, self.now)
                if e.kind in (ListKind.FULL, ListKind.CACHED):
                    for b in self.entries:
                        if b not in listed:
                            self.not_ready_since.setdefault(b, self.now)
            elif isinstance(e, AttemptEnded):
                self.tries[e.id][e.attempt][2] = e.outcome
                if e.final and e.id in self.open:
                    del self.open[e.id]
                    self.answers += 1
            elif isinstance(e, RequestArrived):
                self.open[e.id] = e
                self.tries[e.id] = []
            elif isinstance(e, ClientGone):
                self.open.pop(e.id, None)
        for action in self.balancer.handle(self.now, events):
            if isinstance(action, SetTimer):
                self.at(self.now + action.delay_us, TimerFired(action.token))
            elif isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, (Refuse, Fail)):
                assert action.id in self.open, "answer for a request that has ended"
                if isinstance(action, Refuse):
                    self.check_refuse(action.id)
                del self.open[action.id]
                self.answers += 1
            elif isinstance(action, CancelAttempt):
                t = self.tries[action.id][action.attempt]
                if t[2] is None and self.rng.random() < 0.9:
                    self.end(action.id, action.attempt, Outcome.CANCELLED, 0)
            elif isinstance(action, Watch):
                self.at(self.now + 50_000, BackendList(ListKind.FAILED, 1, []))
        for r in self.open.values():
            assert self.now <= r.deadline_us + self.s.answer_slack_us, "rule 1: no answer in time"

    def check_send(self, action: Send) -> None:
        assert action.id in self.open, "send for a request that has ended"
        b = self.entries[action.backend]
        assert self.now <= self.not_ready_since.get(action.backend, self.now) + self.s.drain_grace_us, "rule 3"
        cls = self.cls[self.open[action.id].cls]
        tries = self.tries[action.id]
        assert len(tries) < self.s.max_attempts
        for backend, sent, outcome in tries:
            before = self.entries[str(backend)]
            if outcome is None:
                assert self.s.second_copies, "two attempts at once"
            if outcome is None or outcome in RAN:
                assert cls.effect is not Effect.FRAGILE, "rule 2: a fragile request was repeated"
                if cls.effect is Effect.DEDUP:
                    assert isinstance(sent, int) and self.now < sent + cls.window_us, "rule 2: window"
                    if cls.group is Group.CELL:
                        assert b.cell == before.cell, "rule 2: another cell"
        tries.append([action.backend, self.now, None])
        self.sends += 1
        outcome = self.rng.choice(list(Outcome)[:6] + [Outcome.OK] * 4)
        latency = self.rng.choice([5_000, 80_000, 300_000, 1_500_000, 9_000_000])
        self.end(action.id, len(tries) - 1, outcome, latency)

    def end(self, id: str, attempt: int, outcome: Outcome, latency: int) -> None:
        backend = str(self.tries[id][attempt][0])
        self.at(self.now + latency, AttemptEnded(id, attempt, backend, outcome, latency, False))

    def check_refuse(self, id: str) -> None:
        cls = self.cls[self.open[id].cls]
        if cls.effect is Effect.RETRYABLE or (cls.effect is Effect.DEDUP and cls.group is Group.ALL):
            return
        assert not any(t[2] is None or t[2] in RAN for t in self.tries[id]), "rule 2: refusal"

    def play(self, arrivals: list[tuple[int, int, int]], ms: int) -> None:
        """Arrivals are (time in ms, class number, deadline in ms)."""
        for n, (when, c, limit) in enumerate(arrivals):
            cls = self.s.classes[c % len(self.s.classes)]
            at = 1_000_000 + when * 1000
            hint = None if n % 7 == 0 else self.rng.choice([900, 20_000, 70_000])
            tenant = self.rng.choice(["t1", "t2", "nobody", None])
            deadline = at + min(cls.deadline_us, limit * 1000)
            self.at(at, RequestArrived(f"r{n}", cls.name, deadline, hint, tenant=tenant))
        end = self.now + ms * 1000
        while self.now <= end:
            ready = sorted((d for d in self.due if d[0] <= self.now), key=lambda d: d[:2])
            self.due = [d for d in self.due if d[0] > self.now]
            batch: list[Event] = []
            for _, _, e in ready:
                if isinstance(e, AttemptEnded):
                    r = self.open.get(e.id)
                    if self.tries[e.id][e.attempt][2] is not None:
                        continue
                    e.final = r is None or e.outcome is Outcome.OK
                batch.append(e)
                if isinstance(e, AttemptEnded) and e.final and e.id in self.open:
                    self.step(batch)
                    batch = []
            for id, r in list(self.open.items()):  # attempts time out at the client's deadline
                if self.now >= r.deadline_us:
                    for i, t in enumerate(self.tries[id]):
                        if t[2] is None and not any(
                            isinstance(x, AttemptEnded) and x.id == id and x.attempt == i for x in batch
                        ):
                            age = self.now - int(str(t[1]))
                            batch.append(AttemptEnded(id, i, str(t[0]), Outcome.TIMEOUT, age, False))
            self.step(batch)
            self.now += self.s.quantum_us


@hsettings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.integers(0, 10**6),
    st.booleans(),
    st.integers(1, 6),
    st.lists(
        st.tuples(st.integers(0, 3000), st.integers(0, 3), st.integers(30, 2500)), min_size=5, max_size=80
    ),
    st.lists(st.tuples(st.integers(0, 3000), st.integers(0, 5), st.sampled_from(list(Health))), max_size=8),
)
def test_rules_hold_on_legal_sequences(
    seed: int,
    copies: bool,
    limit: int,
    arrivals: list[tuple[int, int, int]],
    changes: list[tuple[int, int, Health]],
) -> None:
    w = World(settings(second_copies=copies, max_attempts=limit), seed)
    w.at(w.now, full(6))
    for when, i, health in changes:
        w.at(w.now + when * 1000, BackendList(ListKind.DELTA, 2, [entry(i, health)]))
    w.play(arrivals, 6500)
    assert w.answers == len(arrivals)
    assert not w.open


def test_a_request_without_any_backend_is_refused_in_time() -> None:
    w = World(settings(), 1)
    w.at(w.now, BackendList(ListKind.CACHED, 0, []))
    w.play([(0, 0, 300), (5, 2, 300)], 600)
    assert w.answers == 2 and w.sends == 0


def test_cold_backend_gets_less_than_an_even_load() -> None:
    """Rule 4: the work sent to a cold backend stays within its budget."""
    for seed in range(5):
        s = settings(classes=settings().classes[:1], tenants=[], balancers=1, max_attempts=1)
        b = Balancer(s, seed)
        now, n = 60_000_000, 0
        b.handle(now, [full(4)])
        sent: list[tuple[int, int]] = []
        waiting: list[tuple[int, AttemptEnded]] = []
        for tick in range(2400):  # 12 s at 400 requests per second of 20 ms each, on four backends
            now += 5_000
            events: list[Event] = [e for at, e in waiting if at <= now]
            waiting = [w for w in waiting if w[0] > now]
            if tick == 800:
                e = entry(0)
                cold = BackendEntry("10.0.0.9:80", e.zone, e.kind, 0, Health.READY, 1.0, now)
                events.append(BackendList(ListKind.DELTA, 2, [cold]))
            events += [RequestArrived(f"{n + i}", "look", now + 2_000_000, 20_000) for i in range(2)]
            events.append(TimerFired(1))
            n += 2
            for a in b.handle(now, events):
                if isinstance(a, Send):
                    if a.backend == "10.0.0.9:80":
                        sent.append((now, cost_class(20_000)))
                    waiting.append((now + 40_000, AttemptEnded(a.id, 0, a.backend, Outcome.OK, 40_000, True)))
        assert sent, "a cold backend must get some work"
        even = 400 * cost_class(20_000) / 4 / 1e6  # what each of the four backends would carry, us of work per us
        for start, _ in sent:
            work = sum(c for t, c in sent if start <= t < start + s.fall_us)
            assert work <= s.fall_multiple * s.cold_share * even * s.fall_us


def test_a_begun_stream_calls_off_the_second_copy() -> None:
    balancer = Balancer(settings(), 1)
    balancer.handle(1_000, [full(4)])
    now, sends, actions = 2_000, 0, balancer.handle(2_000, [RequestArrived("q", "look", 2_002_000, 10_000)])
    while sends < 2:
        sends += sum(isinstance(a, Send) for a in actions)
        now += 10_000
        assert now < 2_000_000
        actions = balancer.handle(now, [TimerFired(1)])
    actions = balancer.handle(now, [StreamStarted("q", 1, "10.0.0.1:80", 5_000)])
    assert [(a.id, a.attempt) for a in actions if isinstance(a, CancelAttempt)] == [("q", 0)]


def test_a_node_with_nothing_outstanding_still_says_so() -> None:
    balancer = Balancer(settings(may_tell_peers=True), 1)
    messages = [a for a in balancer.handle(1_000, [full(4)]) if isinstance(a, TellPeers)]
    assert [len(a.data) for a in messages] == [1]
    balancer.handle(2_000, [PeerMessage(1, messages[0].data)])
    assert all(b.peers == 0 for b in balancer.membership.backends.values())
