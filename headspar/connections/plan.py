"""Which connection an attempt gets, which are opened ahead, which are retired; without I/O or clock.

The host asks ``take`` for each attempt and does what it says: use a connection, wait for one that is being made,
or nothing can be had now.  It tells the plan what happens (``opened``, ``failed``, ``answered``, ``ended``) and
asks ``tick`` now and then what to open ahead and what to close.  Connections are numbers that the plan gives out;
times are microseconds on one clock that only advances.

States of a connection:

    making ──opened──► idle ──take──► busy ──answered──► idle ──retired, evicted──► (gone)
       │                 │              │
       └─ failed ────────┴─ ended ──────┴─ ended ──► (gone)

*Held.*  A server's demand is the number of its connections in use, averaged with its variance (by Little's law
that number is the rate times the time in use).  Its ceiling is the mean and three standard deviations, within
what busy moments have shown of late; its floor is the mean, and one.  What stands idle beyond the ceiling is
closed, half of it at each look.  All are held within ``most`` descriptors.  While those are plenty, an attempt
that finds none idle may open one beyond the ceiling.  When an eighth is left, a server at its ceiling and at an
even part gets no more, so that one that hangs does not take what others need.  When none is left, the connection
idle longest goes of a server above its ceiling, then of one that has others; a server's only one goes only to a
server with none.

*Order.*  The one proven most recently is used first (a stack), so that what is too much ages out at the bottom
and is retired.  A server that spreads its connections over workers sees its newest ones busiest.

*Proof.*  A connection is proven by its handshake and by each answer.  What may not be repeated, and what carries
a key, goes only over one proven within ``proof_us``, or within the longer time that answers to other requests after
as long idle vouch for; other requests may use any that is not due to be retired.

*Limit.*  How many connections a server accepts is told nowhere.  ``FAILS`` new ones in a row that did not come up,
or broke before a byte had come, while others to it are answered, set the limit to what was open.  One failure tells
nothing: networks break new connections too.  After a while one more is tried: if it comes up the limit is that
many and the next is tried at once, else the while is doubled.  A limit that has not been met for ``FORGET_US`` is
forgotten.

*Silence.*  A server that drops idle connections without a word shows nothing but attempts that are never
answered.  One that ends so on a connection that had stood idle, after ``SILENT`` times what an answer takes and
while the server answered on others, counts as a connection that the server had closed.

*Cold.*  A server that has just started gets new connections by its presumed capacity: fewer made at once, fewer
spares, fewer waiting, and no sooner one after another than this node's part of ``handshakes_per_s``.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from heapq import heapify, heappop, heappush
from math import ceil, exp, sqrt

from headspar.connections.idle_time import MARGIN, Evidence, IdleTime, bucket

FAILS = 3  # new connections in a row
AGAIN_US = (500_000, 8_000_000)  # until one beyond a limit is tried: first, longest
FORGET_US = 30_000_000  # after which a learned limit that nobody has come up against is none
MEMORY_US = 5_000_000  # of the demand
LOOK_US = 4_000_000  # between two looks of a tick at one server, at the least
LOOKS = 32  # servers at one tick; of more, an eighth
DEVIATIONS = 3.0
LOOK = 16  # idle connections that are looked at for the least useful one
BURST_US = 200_000  # idle connections of one server that end within it ended with their server, not of idleness
RECENT_US = 2_000_000  # an answer so recent tells that a server is there
SILENT = 4.0
SHORT = 8  # descriptors are short when one in so many is left


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """``most``: connections in all; ``idle_us``: the longest that a server keeps an idle one; ``making``: of one
    server, being made at once; ``waiting``: attempts that may wait for one server's connections being made,
    beyond those that had one made; ``ahead``: spares beyond the demand; ``pace_us``: between two that are opened
    ahead; ``handshakes_per_s``: what all nodes together may ask of one warm server, a cold one by its share."""

    most: int
    idle_us: int
    proof_us: int = 1_000_000
    making: int = 8
    waiting: int = 20
    ahead: int = 0
    pace_us: int = 50_000
    age_us: int = 600_000_000
    age_jitter: float = 0.3
    learn_limit: bool = True  # whether failed connects tell how many connections a server accepts
    trim: bool = True  # whether what stands idle beyond the ceiling is closed
    handshakes_per_s: float = 500.0
    nodes: int = 1  # that connect to one server

    def __post_init__(self) -> None:
        for name in ("most", "idle_us", "proof_us", "making", "pace_us", "age_us", "handshakes_per_s", "nodes"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")
        if self.ahead < 0 or self.waiting < 0:
            raise ValueError("ahead, waiting: must not be negative")
        if not 0 <= self.age_jitter < 1:
            raise ValueError("age_jitter: must lie in 0 .. 1")


@dataclass(slots=True)
class Learned:
    """What a plan has learned, for another one: servers' limits, how connections ended by bucket of idle time, and
    what an answer takes, in us."""

    limits: dict[str, int]
    broke: list[float]
    good: list[float]
    use_us: float


class Answer(Enum):
    """What an attempt is told."""

    USE = "use"  # the connection named
    OPEN = "open"  # make the connection named; the attempt waits for it, or for another that is free sooner
    WAIT = "wait"  # for a connection that is being made already
    CANNOT = "cannot"  # nothing can be had now: it never ran, and may go elsewhere at once


@dataclass(slots=True)
class Told:
    """The answer to ``take``; ``close`` names connections that have to go first."""

    answer: Answer
    connection: int = -1
    close: tuple[int, ...] = ()


class _Connection:
    __slots__ = ("number", "server", "state", "proven_at", "idle_at", "taken_at", "idle_us", "retire_at")

    def __init__(self, number: int, server: _Server, now: int) -> None:
        self.number, self.server, self.state = number, server, "making"
        self.proven_at = self.idle_at = self.taken_at = now
        self.idle_us = -1  # how long it had stood idle when it was used again; -1: it is on its first request
        self.retire_at = 0


class _Server:
    """One server's part of the plan."""

    __slots__ = (
        "id", "idle", "busy", "making", "waiting", "mean", "variance", "peak", "area", "area2", "seen_at",
        "folded_at", "looked_at", "touched", "limit", "limit_at", "limit_wait", "fails",
        "idle_time", "answered_at", "ended_at", "opened_ahead_at", "made_at", "warm", "gone",
    )

    def __init__(self, id: str, told_us: int, pool: Evidence, now: int, proof_us: int) -> None:
        self.id = id
        self.idle: list[_Connection] = []  # the most recently proven last
        self.busy = self.making = self.waiting = 0
        self.mean = self.variance = self.peak = 0.0
        self.area = self.area2 = 0.0  # of the number in use and its square over time, since the last fold
        self.seen_at = self.folded_at = self.looked_at = now
        self.touched = False
        self.limit = 0  # 0: none is known
        self.limit_at = 0  # when one beyond it was tried last
        self.limit_wait = AGAIN_US[0]
        self.fails = 0  # new connections in a row that came to nothing
        self.idle_time = IdleTime(told_us, pool, now, proof_us)
        self.answered_at = -RECENT_US
        self.ended_at = -BURST_US
        self.opened_ahead_at = self.made_at = now
        self.warm = 1.0
        self.gone = False

    @property
    def held(self) -> int:
        return len(self.idle) + self.busy + self.making

    def see(self, now: int) -> None:
        """Let the time since the last look count with the number in use then.  On every request's path: it only
        adds up; ``fold`` averages."""
        gap, busy = now - self.seen_at, self.busy
        self.seen_at = now
        self.area += gap * busy
        self.area2 += gap * busy * busy
        if busy > self.peak:
            self.peak = busy

    def fold(self, now: int) -> None:
        """Average what was added up since the last fold into mean and variance of the number in use."""
        self.see(now)
        span = now - self.folded_at
        if span <= 0:
            return
        keep = exp(-span / MEMORY_US)
        mean = self.area / span
        square = self.area2 / span
        before = self.variance + self.mean * self.mean
        self.mean = keep * self.mean + (1 - keep) * mean
        self.variance = max(0.0, keep * before + (1 - keep) * square - self.mean * self.mean)
        self.peak = max(float(self.busy), self.peak * keep)
        self.area = self.area2 = 0.0
        self.folded_at = now

    def want(self) -> int:
        """Connections that the demand calls for."""
        return max(1, ceil(self.mean), ceil(min(self.peak, self.mean + DEVIATIONS * sqrt(self.variance))))


class Plan:
    """All connections of a node to its servers."""

    def __init__(self, settings: PlanSettings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.servers: dict[str, _Server] = {}
        self.connections: dict[int, _Connection] = {}
        self.idle: OrderedDict[int, _Connection] = OrderedDict()  # of all servers, the longest idle first
        self.touched: deque[_Server] = deque()  # those that a tick has to look at
        self.shortened: set[_Server] = set()  # those whose idle time was learned to be shorter than told
        self.ages: list[tuple[int, int]] = []  # heap of (when one is to be retired, connection)
        self.evidence = Evidence(bucket(settings.idle_us) + 1, 0)  # of idle times, of all servers
        self.serial = 0
        self.use_us = 0.0  # what an answer takes, averaged over all servers
        self.answers = 0

    # ------------------------------------------------------------ servers

    def place(self, server: str, now: int) -> list[int]:
        """A server, or the same one started anew or at another address; the connections to the old one that
        have to be closed.  Those in use go on and are not kept."""
        close = self.remove(server)
        self.servers[server] = _Server(server, self.settings.idle_us, self.evidence, now, self.settings.proof_us)
        return close

    def remove(self, server: str) -> list[int]:
        """A server is gone; its idle connections, to be closed."""
        s = self.servers.pop(server, None)
        if s is None:
            return []
        s.gone = True
        self.shortened.discard(s)
        return [self._drop(c) for c in list(s.idle)]

    def doubt(self, server: str) -> list[int]:
        """A server is silent: what stands idle to it may be dead too.  The idle connections, to be closed."""
        s = self.servers.get(server)
        return [self._drop(c) for c in list(s.idle)] if s is not None else []

    def warmth(self, server: str, share: float) -> None:
        """The share of its capacity that a server is presumed to have: cold ones get fewer new connections."""
        s = self.servers.get(server)
        if s is not None:
            s.warm = min(1.0, max(0.01, share))

    def change(self, idle_us: int, nodes: int) -> None:
        """Servers are told to keep idle connections so long now, and so many nodes connect to one."""
        if (idle_us, nodes) == (self.settings.idle_us, self.settings.nodes):
            return
        self.settings = replace(self.settings, idle_us=idle_us, nodes=nodes)
        self.evidence.widen(bucket(idle_us) + 1)
        for s in self.servers.values():
            s.idle_time.tell(idle_us)
            self._shorten(s)

    def learned(self) -> Learned:
        """What another process's plan for the same servers may begin with."""
        limits = {s.id: s.limit for s in self.servers.values() if s.limit}
        return Learned(limits, self.evidence.broke[:], self.evidence.good[:], self.use_us)

    def recall(self, learned: Learned, now: int) -> None:
        """Begin with what another plan has learned; what this one does not know or can't hold is left out."""
        self.use_us, self.answers = max(0.0, learned.use_us), 100 if learned.use_us > 0 else 0
        for row, seen in ((self.evidence.broke, learned.broke), (self.evidence.good, learned.good)):
            for k, value in enumerate(seen[:len(row)]):
                row[k] = max(0.0, value)
        for s in self.servers.values():
            limit = learned.limits.get(s.id, 0)
            if limit > 0:
                s.limit, s.limit_at = limit, now
            s.idle_time.refresh(now)
            self._shorten(s)

    def limit(self, most: int) -> list[int]:
        """From now on at most so many connections; idle ones beyond that, to be closed, the longest idle first."""
        self.settings = replace(self.settings, most=most)
        surplus = len(self.connections) - most
        return [self._drop(c) for c in list(self.idle.values())[:max(0, surplus)]]

    # ------------------------------------------------------------ an attempt

    def take(self, server: str, now: int, *, proof: bool) -> Told:
        """A connection for an attempt.  ``proof``: it may go only over one proven alive of late."""
        s = self.servers.get(server)
        if s is None:
            return Told(Answer.CANNOT)
        s.see(now)
        if not s.touched:
            s.touched = True
            self.touched.append(s)
        close: list[int] = []
        limit = s.idle_time.limit_us
        while s.idle:
            c = s.idle[-1]
            if c.retire_at <= now or now - c.idle_at >= limit:
                close.append(self._drop(c))
                continue
            if proof and now - c.proven_at > s.idle_time.trusted_us:
                break  # the most recently proven: the others are no better
            s.idle.pop()
            del self.idle[c.number]
            c.state = "busy"
            c.taken_at = now
            c.idle_us = now - c.idle_at
            s.busy += 1
            return Told(Answer.USE, c.number, tuple(close) if close else ())
        settings = self.settings
        if s.making >= self._making_most(s) or self._at_limit(s, now) or self._too_soon(s, now):
            if s.making and s.waiting < s.making + int(settings.waiting * s.warm):
                s.waiting += 1
                return Told(Answer.WAIT, -1, tuple(close))
            return Told(Answer.CANNOT, -1, tuple(close))
        left = settings.most - len(self.connections)
        if SHORT * left < settings.most and s.held >= self._part(s):
            return Told(Answer.CANNOT, -1, tuple(close))
        if left <= 0:
            victim = self._least_useful(s)
            if victim is None:
                return Told(Answer.CANNOT, -1, tuple(close))
            close.append(self._drop(victim))
        s.waiting += 1
        return Told(Answer.OPEN, self._make(s, now), tuple(close))

    def waits_no_more(self, server: str) -> None:
        """An attempt that waited for a connection has one, or has gone."""
        s = self.servers.get(server)
        if s is not None and s.waiting:
            s.waiting -= 1

    def _making_most(self, s: _Server) -> int:
        """New connections cost a server work: a cold one gets fewer at once."""
        return max(1, int(self.settings.making * s.warm))

    def _part(self, s: _Server) -> int:
        """What a server may hold while descriptors are short: its ceiling, and never under an even part."""
        return max(2, s.want(), self.settings.most // len(self.servers))

    def _too_soon(self, s: _Server, now: int) -> bool:
        if s.warm >= 1.0 or not s.held:
            return False
        return now - s.made_at < 1e6 * self.settings.nodes / (self.settings.handshakes_per_s * s.warm)

    def _at_limit(self, s: _Server, now: int) -> bool:
        if not s.limit or s.held < s.limit:
            return False
        if now - s.limit_at >= FORGET_US:
            s.limit, s.limit_wait = 0, AGAIN_US[0]
            return False
        if now - s.limit_at < s.limit_wait or s.making:
            return True
        s.limit_at = now  # one beyond it is tried
        return False

    def _came_to_nothing(self, s: _Server, standing: int, now: int) -> None:
        """A new connection did not come up, or broke before a byte had come."""
        s.fails += 1
        if not self.settings.learn_limit or not standing or now - s.answered_at >= RECENT_US:
            return
        if s.limit and standing >= s.limit:
            s.limit_wait, s.limit_at = min(AGAIN_US[1], 2 * s.limit_wait), now
        elif s.fails >= FAILS:
            s.limit, s.limit_at, s.limit_wait = standing, now, AGAIN_US[0]

    def _came_up(self, s: _Server, now: int) -> None:
        s.fails = 0
        held = s.held + 1  # with the one that was answered, which is on its way back
        if s.limit and held > s.limit:
            s.limit, s.limit_wait = held, AGAIN_US[0]
            s.limit_at = now - s.limit_wait

    def _make(self, s: _Server, now: int) -> int:
        self.serial += 1
        c = self.connections[self.serial] = _Connection(self.serial, s, now)
        s.making += 1
        s.made_at = now
        return c.number

    def _least_useful(self, asker: _Server) -> _Connection | None:
        """Of those idle longest the first of a server above its ceiling, else the first that is not its server's
        only one; such a one only for a server that has none itself."""
        several: _Connection | None = None
        only: _Connection | None = None
        for i, c in enumerate(self.idle.values()):
            if i >= LOOK:
                break
            held = c.server.held
            if held > 1:
                if held > c.server.want():
                    return c
                several = several or c
            else:
                only = only or c
        return several or (only if asker.held == 0 else None)

    # ------------------------------------------------------------ what happens

    def opened(self, number: int, now: int, *, taken: bool) -> bool:
        """A connection is up.  ``taken``: an attempt goes out on it at once.  False: it is not wanted."""
        c = self.connections.get(number)
        if c is None or c.state != "making":
            return False
        c.server.making -= 1
        c.proven_at = now
        jitter = 1 - self.settings.age_jitter * self.rng.random()
        c.retire_at = now + int(self.settings.age_us * jitter)
        if c.server.gone:
            del self.connections[number]
            return False
        heappush(self.ages, (c.retire_at, number))
        if len(self.ages) > 64 + 4 * len(self.connections):  # most are gone long since
            self.ages = [row for row in self.ages if row[1] in self.connections]
            heapify(self.ages)
        if taken:
            c.server.see(now)
            c.server.busy += 1
            c.state = "busy"
            c.taken_at = now
            c.idle_us = -1
        else:
            self._keep(c, now)
        return True

    def failed(self, number: int, now: int) -> None:
        """A connection did not come up.  While others to the server are answered, it is full."""
        c = self.connections.pop(number, None)
        if c is None or c.state != "making":
            return
        s = c.server
        s.making -= 1
        self._came_to_nothing(s, len(s.idle) + s.busy, now)

    def answered(self, number: int, now: int, *, keep: bool) -> bool:
        """The attempt on a connection has ended in order.  True: it is kept; False: close it."""
        c = self.connections.get(number)
        if c is None or c.state != "busy":
            return False
        s = c.server
        s.see(now)
        s.busy -= 1
        s.answered_at = c.proven_at = now
        self.answers += 1
        self.use_us += max(0.01, 1 / self.answers) * (now - c.taken_at - self.use_us)
        if c.idle_us >= 0:
            s.idle_time.answered(c.idle_us)
        else:
            self._came_up(s, now)
        if not keep or s.gone or c.retire_at <= now:
            del self.connections[number]
            return False
        self._keep(c, now)
        return True

    def ended(self, number: int, now: int, *, by_server: bool = False, silent: bool = False) -> None:
        """A connection is no more.  ``by_server``: it was closed while it stood idle, or broke as it was used
        again before a byte had come.  ``silent``: the attempt on it was given up before a byte had come."""
        c = self.connections.pop(number, None)
        if c is None:
            return
        s = c.server
        idle_us = c.idle_us
        if silent and c.state == "busy" and s.answered_at > c.taken_at:
            by_server = now - c.taken_at > SILENT * self.use_us
        if c.state == "idle":
            s.idle.remove(c)
            del self.idle[number]
            idle_us = now - c.idle_at
            burst, s.ended_at = now - s.ended_at < BURST_US, now
            by_server = by_server and not burst
        elif c.state == "busy":
            s.see(now)
            s.busy -= 1
        else:
            s.making -= 1
            idle_us = -1
        if by_server and idle_us >= 0:
            s.idle_time.ended(idle_us)
            self._shorten(s)
        elif by_server and c.state == "busy":
            self._came_to_nothing(s, len(s.idle) + s.busy, now)

    def _keep(self, c: _Connection, now: int) -> None:
        c.state = "idle"
        c.idle_at = now
        c.server.idle.append(c)
        self.idle[c.number] = c

    def _drop(self, c: _Connection) -> int:
        """Forget an idle connection; its number, for the host to close."""
        if c.server.idle and c.server.idle[-1] is c:
            c.server.idle.pop()
        else:
            c.server.idle.remove(c)
        del self.idle[c.number]
        del self.connections[c.number]
        return c.number

    # ------------------------------------------------------------ time

    def tick(self, now: int) -> tuple[list[int], list[tuple[str, int]]]:
        """What to close (retired, or beyond the demand), and what to open ahead, as server and connection."""
        close: list[int] = []
        ahead: list[tuple[str, int]] = []
        while self.ages and self.ages[0][0] <= now:
            c = self.connections.get(heappop(self.ages)[1])
            if c is not None and c.state == "idle":
                close.append(self._drop(c))  # one in use goes when its answer has come
        self.evidence.fade(now)
        # Of all connections the longest idle come first: past the first that no server would have closed, none is
        # due.  What is retired in a server's own time is met on the way, or by ``take``.
        least = min((s.idle_time.limit_us for s in self.shortened), default=int(MARGIN * self.settings.idle_us))
        for c in list(self._idle_for(least, now)):
            if now - c.idle_at >= c.server.idle_time.limit_us:
                close.append(self._drop(c))
        if self.settings.ahead:
            for s in self.touched:
                s.fold(now)
                if not s.gone and self._wants_spare(s, now):
                    s.opened_ahead_at = now
                    ahead.append((s.id, self._make(s, now)))
        for _ in range(min(len(self.touched), max(LOOKS, len(self.touched) // 8))):
            s = self.touched[0]
            if not s.gone and now - s.looked_at < LOOK_US:
                break  # those behind it came later
            self.touched.popleft()
            s.touched = False
            if not s.gone:
                self._look_at(s, now, close)
        return close, ahead

    def _look_at(self, s: _Server, now: int, close: list[int]) -> None:
        """Average a server's demand, close half of what it holds too much, refresh its idle time."""
        s.looked_at = now
        s.fold(now)
        s.idle_time.refresh(now)
        self._shorten(s)
        surplus = 0
        if self.settings.trim:
            surplus = len(s.idle) + s.busy - s.want() - self.settings.ahead
            for c in s.idle[:max(0, (surplus + 1) // 2)]:
                close.append(self._drop(c))
        s.touched = s.busy > 0 or surplus > 1 or s in self.shortened
        if s.touched:
            self.touched.append(s)

    def _shorten(self, s: _Server) -> None:
        """Keep the list of servers whose connections have to be looked at before the time that was told."""
        if s.idle_time.limit_us < int(MARGIN * self.settings.idle_us) and not s.gone:
            self.shortened.add(s)
        else:
            self.shortened.discard(s)

    def _idle_for(self, at_least: int, now: int) -> Iterator[_Connection]:
        for c in self.idle.values():
            if now - c.idle_at < at_least:
                return
            yield c

    def _wants_spare(self, s: _Server, now: int) -> bool:
        if s.peak < 0.5 or s.making or now - s.opened_ahead_at < self.settings.pace_us / s.warm:
            return False
        if len(self.connections) >= self.settings.most or self._at_limit(s, now):
            return False
        if self._too_soon(s, now):
            return False
        return len(s.idle) < self.settings.ahead and s.held < s.want() + self.settings.ahead
