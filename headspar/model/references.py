"""Two reference policies as baselines for a version's service; the operators' test names them; without I/O.

``plain`` chooses a reachable server uniformly at random.  ``late`` knows the true load and capacity of every server
with a delay and weights servers by their expected completion time.  Neither has admission control: no request is
refused while it may still be served.  Neither handles slow start, except as far as ``late`` sees the reduced capacity
of cold servers.  Both follow the rules as ``decide`` states them, retry on another server where that is allowed, and
use the same connections and network as a real node.
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
STATE_AGE_US = 500_000  # minimum age of the server state that ``late`` sees; the maximum is twice that
EXTRA_REQUESTS = 10.0  # requests of mean work added to the load of each server, as the state is outdated
DISCOVERY_RETRY_US = 1_000_000  # mean pause after a failed call to discovery
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
ExpectedWait = Callable[[str], float]  # a server's expected time to finish its load, us, from outdated state


class Policy(Protocol):
    """The interface between a simulated node and its decisions."""

    ticked_at: int

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handles events and returns the actions to take."""

    def experience(self) -> Experience:
        """Returns the learned state, for handover to a new process."""


class _PendingRequest:
    """A request that has not been answered."""

    __slots__ = ("cls", "deadline", "attempts")

    def __init__(self, cls: RequestClass, deadline: int) -> None:
        self.cls, self.deadline = cls, deadline
        self.attempts: list[Attempt] = []


class Reference:
    """A reference policy of one node: ``late`` with ``expected_wait``, ``plain`` without."""

    def __init__(self, settings: Settings, seed: int, expected_wait: ExpectedWait | None = None) -> None:
        self.settings, self.expected_wait = settings, expected_wait
        self.rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.backends: dict[str, Backend] = {}
        self.usable: list[Backend] = []
        self.requests: dict[str, _PendingRequest] = {}
        self.ticked_at = 0
        self.watch_scheduled = not settings.must_subscribe

    def experience(self) -> Experience:
        """Returns empty learned state."""
        return Experience({}, {}, {}, {}, {}, 0, 0.0, [])

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        out: list[Action] = []
        if not self.watch_scheduled:
            self.watch_scheduled = True
            out.append(SetTimer(1, int(self.rng.random() * DISCOVERY_RETRY_US)))
        for event in events:
            if isinstance(event, RequestArrived):
                self.requests[event.id] = _PendingRequest(self.classes[event.cls], event.deadline_us)
                out.append(self._next(event.id, now_us))
            elif isinstance(event, AttemptEnded):
                out += self._ended(event, now_us)
            elif isinstance(event, ClientGone):
                self.requests.pop(event.id, None)
            elif isinstance(event, BackendList):
                out += self._update_backends(event)
            elif isinstance(event, TimerFired):
                out.append(Watch(True))
        return out

    def _update_backends(self, event: BackendList) -> list[Action]:
        if event.kind is ListKind.FAILED:
            return [SetTimer(1, int(DISCOVERY_RETRY_US * (0.5 + self.rng.random())))]
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
        pending = self.requests.get(event.id)
        if pending is None or event.attempt >= len(pending.attempts):
            return []
        attempt = pending.attempts[event.attempt]
        attempt.in_flight = False
        attempt.may_have_run = event.outcome not in NEVER_RAN
        if event.final:
            del self.requests[event.id]
            return []
        return [self._next(event.id, now)]

    def _next(self, id: str, now: int) -> Action:
        """Returns one more attempt if it is allowed and may meet the deadline, else the final answer."""
        pending, s = self.requests[id], self.settings
        used = {a.backend.id for a in pending.attempts}
        eligible = [b for b in self.usable if b.id not in used
                    and may_send(pending.cls, pending.attempts, b.zone, b.cell, now, s.max_attempts, s.second_copies)]
        if eligible and now < pending.deadline - 2 * s.quantum_us:
            b = self.rng.choice(eligible) if self.expected_wait is None else self._weighted_choice(eligible)
            pending.attempts.append(Attempt(b, now))
            return Send(id, b.id)
        del self.requests[id]
        return Refuse(id, 0) if may_refuse(pending.cls, pending.attempts) else Fail(id)

    def _weighted_choice(self, backends: list[Backend]) -> Backend:
        """Draws a server with a probability inversely proportional to its expected wait.

        All nodes see the same outdated state, so always choosing the best server would cause a thundering herd."""
        assert self.expected_wait is not None
        weights = [1.0 / max(1.0, self.expected_wait(b.id)) for b in backends]
        if not any(weights):
            return self.rng.choice(backends)
        return self.rng.choices(backends, weights)[0]
