"""The state that a connection plan keeps for each server and each connection; without I/O."""

from __future__ import annotations

from bisect import insort
from collections import deque
from contextlib import suppress
from math import ceil, exp, sqrt

from headspar.connections.idle_timeout import Evidence, IdleTime

LIMIT_BACKOFF_US = (500_000, 8_000_000)  # before a connection beyond a limit is tried: initial, maximum
DEMAND_DECAY_US = 5_000_000  # time constant of the demand's mean, variance and peak
DEVIATIONS = 3.0  # standard deviations of the demand in the ceiling
BURST_US = 200_000  # idle connections of one server that close within this time closed with it, not from idleness
RECENT_ANSWER_US = 2_000_000  # a server that answered within this time is reachable


class PooledConnection:
    """The state of one connection; ``state`` is making, idle or busy, times are us."""

    __slots__ = ("number", "server", "state", "proven_at", "idle_at", "usable_at", "taken_at", "idle_us", "retire_at")

    def __init__(self, number: int, server: ServerState, now: int) -> None:
        self.number, self.server, self.state = number, server, "making"
        self.proven_at = self.idle_at = self.usable_at = self.taken_at = now
        self.idle_us = -1  # idle time before the current use; -1: first request on this connection
        self.retire_at = 0


class ServerState:
    """The state of the plan for one server."""

    __slots__ = (
        "id", "idle", "busy", "making", "waiting", "mean", "variance", "peak", "area", "area2", "accumulated_at",
        "folded_at", "reviewed_at", "touched", "limit", "limit_tried_at", "limit_backoff", "fails",
        "idle_time", "answered_at", "ended_at", "opened_ahead_at", "made_at", "warm", "gone", "quarantined",
    )

    def __init__(self, id: str, max_idle_us: int, pool: Evidence, now: int, proof_us: int) -> None:
        self.id = id
        self.idle: list[PooledConnection] = []  # the most recently proven last
        self.quarantined: deque[int] = deque()  # when the quarantine of connections ends, the earliest first
        self.busy = self.making = self.waiting = 0
        self.mean = self.variance = self.peak = 0.0
        self.area = self.area2 = 0.0  # integrals over time of the number in use and its square since the last fold
        self.accumulated_at = self.folded_at = self.reviewed_at = now
        self.touched = False
        self.limit = 0  # 0: unknown
        self.limit_tried_at = 0  # when a connection beyond it was last tried
        self.limit_backoff = LIMIT_BACKOFF_US[0]
        self.fails = 0  # new connections that failed in a row
        self.idle_time = IdleTime(max_idle_us, pool, now, proof_us)
        self.answered_at = -RECENT_ANSWER_US
        self.ended_at = -BURST_US
        self.opened_ahead_at = self.made_at = now
        self.warm = 1.0
        self.gone = False

    @property
    def held(self) -> int:
        return len(self.idle) + self.busy + self.making

    def accumulate(self, now: int) -> None:
        """Adds the number in use since the last call to the integrals.

        It runs on every request's path, so the averages are left to ``fold``.
        """
        quarantined = self.quarantined
        while quarantined and quarantined[0] <= now:
            self._integrate(quarantined[0])
            quarantined.popleft()
        self._integrate(now)

    def _integrate(self, until: int) -> None:
        gap, in_use = until - self.accumulated_at, self.busy + len(self.quarantined)
        self.accumulated_at = until
        self.area += gap * in_use
        self.area2 += gap * in_use * in_use
        if in_use > self.peak:
            self.peak = in_use

    def fold(self, now: int) -> None:
        """Updates the decaying mean, variance and peak of the number in use from the integrals."""
        self.accumulate(now)
        span = now - self.folded_at
        if span <= 0:
            return
        keep = exp(-span / DEMAND_DECAY_US)
        mean = self.area / span
        square = self.area2 / span
        before = self.variance + self.mean * self.mean
        self.mean = keep * self.mean + (1 - keep) * mean
        self.variance = max(0.0, keep * before + (1 - keep) * square - self.mean * self.mean)
        self.peak = max(float(self.busy + len(self.quarantined)), self.peak * keep)
        self.area = self.area2 = 0.0
        self.folded_at = now

    def begin_quarantine(self, until: int) -> None:
        """Counts a connection as in quarantine until ``until`` (us)."""
        if self.quarantined and until < self.quarantined[-1]:
            insort(self.quarantined, until)
        else:
            self.quarantined.append(until)

    def end_quarantine(self, c: PooledConnection) -> None:
        """Forgets the quarantine of a connection that is closed."""
        if c.usable_at > self.accumulated_at:
            with suppress(ValueError):
                self.quarantined.remove(c.usable_at)

    def ceiling(self) -> int:
        """The number of connections that the demand justifies."""
        return max(1, ceil(self.mean), ceil(min(self.peak, self.mean + DEVIATIONS * sqrt(self.variance))))
