"""Two policies to hold a version's service against, as the operators' test names them; without I/O.

``plain``: any server in reach, drawn evenly, no admission.  ``late``: sees what every server truly holds and can do,
some time late, and sends the more to one the sooner it would be done; no admission either.  Both keep the rules as
``decide`` states them, try another server where that is allowed, and are held to the same connections and network as
a real node.  What they cannot do is what a version is for: cold servers are known to them only as ``late`` sees them,
and nothing is refused while it may still be served.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from headspar.decide import Attempt, Backend, may_refuse, may_send
from headspar.interface import (
    Action,
    AttemptEnded,
    BackendList,
    ClientGone,
    Event,
    Experience,
    Fail,
    Health,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    Watch,
)

NAMES = ("plain", "late")
LATE_US = 500_000  # how old what ``late`` sees is at least; at most twice that
MORE = 10.0  # requests of mean work that weigh beside those seen there: what is seen is old
ASK_US = 1_000_000  # after a call to discovery that failed
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
Waits = Callable[[str], float]  # how long a server would take to be done with what it holds, us, as seen late


class Policy(Protocol):
    """What a node of the model needs of its decisions."""

    ticked_at: int

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """What happened, and what to do."""

    def experience(self) -> Experience:
        """What was learned, for a process that comes after this one."""


class _Held:
    """A request that is owed an answer."""

    __slots__ = ("cls", "deadline", "attempts")

    def __init__(self, cls: RequestClass, deadline: int) -> None:
        self.cls, self.deadline = cls, deadline
        self.attempts: list[Attempt] = []


class Reference:
    """One node's decisions by a reference policy; without ``waits`` it is the plain one."""

    def __init__(self, settings: Settings, seed: int, waits: Waits | None = None) -> None:
        self.settings, self.waits = settings, waits
        self.rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.backends: dict[str, Backend] = {}
        self.usable: list[Backend] = []
        self.requests: dict[str, _Held] = {}
        self.ticked_at = 0
        self.asked = not settings.must_subscribe

    def experience(self) -> Experience:
        """Nothing is learned."""
        return Experience({}, {}, {}, {}, {}, 0, 0.0, [])

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        out: list[Action] = []
        if not self.asked:
            self.asked = True
            out.append(SetTimer(1, int(self.rng.random() * ASK_US)))
        for event in events:
            if isinstance(event, RequestArrived):
                self.requests[event.id] = _Held(self.classes[event.cls], event.deadline_us)
                out.append(self._next(event.id, now_us))
            elif isinstance(event, AttemptEnded):
                out += self._ended(event, now_us)
            elif isinstance(event, ClientGone):
                self.requests.pop(event.id, None)
            elif isinstance(event, BackendList):
                out += self._told(event)
            elif isinstance(event, TimerFired):
                out.append(Watch(True))
        return out

    def _told(self, event: BackendList) -> list[Action]:
        if event.kind is ListKind.FAILED:
            return [SetTimer(1, int(ASK_US * (0.5 + self.rng.random())))]
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            self.backends.clear()
        for entry in event.entries:
            if entry.health is Health.GONE:
                self.backends.pop(entry.backend, None)
            else:
                self.backends[entry.backend] = Backend(entry)
        self.usable = [b for b in self.backends.values() if b.usable]
        return []

    def _ended(self, event: AttemptEnded, now: int) -> list[Action]:
        held = self.requests.get(event.id)
        if held is None or event.attempt >= len(held.attempts):
            return []
        attempt = held.attempts[event.attempt]
        attempt.in_flight = False
        attempt.may_have_run = event.outcome not in NEVER_RAN
        if event.final:
            del self.requests[event.id]
            return []
        return [self._next(event.id, now)]

    def _next(self, id: str, now: int) -> Action:
        """One more attempt where that is allowed and may be in time, else the answer."""
        held, s = self.requests[id], self.settings
        used = {a.backend.id for a in held.attempts}
        open_ = [b for b in self.usable if b.id not in used
                 and may_send(held.cls, held.attempts, b.zone, b.cell, now, s.max_attempts, s.second_copies)]
        if open_ and now < held.deadline - 2 * s.quantum_us:
            b = self.rng.choice(open_) if self.waits is None else self._drawn(open_)
            held.attempts.append(Attempt(b, now))
            return Send(id, b.id)
        del self.requests[id]
        return Refuse(id, 0) if may_refuse(held.cls, held.attempts) else Fail(id)

    def _drawn(self, backends: list[Backend]) -> Backend:
        """By lot, weighted: what is seen is old, and all nodes see the same, so that whoever sends to the best of it
        meets everybody else there."""
        assert self.waits is not None
        weights = [1.0 / max(1.0, self.waits(b.id)) for b in backends]
        if not any(weights):
            return self.rng.choice(backends)
        return self.rng.choices(backends, weights)[0]
