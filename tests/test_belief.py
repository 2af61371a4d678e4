"""How belief in capacity is lost and regained, driven without sockets."""

from __future__ import annotations

from headspar.decide import Balancer
from headspar.interface import AttemptEnded, Event, Outcome, Refuse, RequestArrived, Send
from tests.helpers import full, settings

MS, S = 1_000, 1_000_000


class Fleet:
    """Servers that answer after 60 ms, or as ``fate`` says of each; 100 requests a second."""

    def __init__(self, servers: int = 9) -> None:
        self.b = Balancer(settings(must_subscribe=False, tenants=[]), 3)
        self.now = S
        self.serial = self.refused = 0
        self.due: list[tuple[int, AttemptEnded]] = []
        self.b.handle(self.now, [full(servers)])

    def run(self, seconds: float, fate: dict[str, Outcome] | None = None) -> None:
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
                    outcome = (fate or {}).get(action.backend, Outcome.OK)
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
    assert f.now < f.b.tick_at if f.b.tick_at is not None else False  # no tick comes between
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
    sound, ill = (f.b.membership.backends[n] for n in f.names())
    c = f.b.capacity
    r = next(iter(f.b.requests.values()))

    def evidence(health: float) -> float:
        c.late_num = c.late_den = 0.0
        ill.health = health
        c.learn(ill, r, Outcome.FULL, 2 * MS, f.now)
        return c.late_num

    assert evidence(1.0) == 2.0 * r.cost
    assert abs(evidence(0.1) - 0.02 * r.cost) < 1e-6 * r.cost
    assert sound.health > 0.9


def test_seven_of_nine_that_turn_away_do_not_keep_the_other_two_from_serving() -> None:
    f = Fleet()
    f.run(6)
    away = dict.fromkeys(f.names()[:7], Outcome.FULL)
    f.run(10, away)
    served, f.refused = f.b.served, 0
    f.run(10, away)
    assert f.b.served - served > 0.3 * 1000
    f.run(2)
    f.refused = 0
    f.run(2)
    assert f.refused < 20
