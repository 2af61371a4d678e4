"""Connection pool decisions: which connection an attempt gets, what to open ahead, what to retire; without I/O.

The host calls ``take`` for each attempt and does what the result says: use a connection, open one, wait for one that
is being opened, or give up because none is available.  It reports events (``opened``, ``failed``, ``answered``,
``ended``) and periodically calls ``tick`` to learn what to open ahead and what to close.  The plan numbers the
connections; times are microseconds of one monotonic clock.

States of a connection:

    making ──opened──► idle ──take──► busy ──answered──► idle ──retired, evicted──► (gone)
       │                 │              │
       └─ failed ────────┴─ ended ──────┴─ ended ──► (gone)

*Pool size.*  The demand of a server is the number of its connections in use, tracked as a decaying mean and variance
(by Little's law it is the request rate times the time in use).  The ceiling of a server is the mean plus three
standard deviations, limited by the decaying peak; the floor is the mean, and at least one.  Half of the idle
connections beyond the ceiling are closed at each review.  The total is limited to ``most`` descriptors.  While
descriptors are plentiful, an attempt that finds no idle connection may open one beyond the ceiling.  When only an
eighth is left, a server that has reached both its ceiling and an equal share gets no more, so that a hung server
does not take the descriptors that others need.  When none is left, the connection idle longest is evicted from a
server above its ceiling, else from one that has several; the only connection of a server is evicted only for a
server that has none.

*Quarantine.*  HTTP/1.1 matches responses to requests by their order alone, so bytes that belong to no request (a
second copy of a response, for example) are taken for the response to the next one if they arrive after it was sent.
After each response a connection therefore rests for ``quarantine_us``: bytes that arrive meanwhile belong to nothing,
and the host closes the connection.  A connection in quarantine counts as in use; an attempt that finds no other waits
for it, as long as fewer attempts wait than connections are about to be usable.  Once such bytes have come, each
quarantine is ``CAUTIOUS_FACTOR`` times as long for ``CAUTION_US``; once they have come late in a quarantine, or after
it, each request to any server gets a new connection for that time.

*Order.*  The most recently proven connection that has rested for ``PREFERRED_REST`` quarantines is used first (LIFO),
so that surplus connections age at the bottom of the stack and are retired; if none has, the one that has rested
longest.  A server that spreads its connections over workers sees its newest ones busiest.

*Proof.*  A connection is proven alive by its handshake and by each answer.  Requests that may not be repeated, and
requests with a key, use only a connection proven within ``proof_us``, or within the longer idle time that answers to
other requests have shown to be safe.  Other requests use any connection that is not due to be retired.

*Limit.*  Servers do not announce how many connections they accept.  When ``FAILURES_FOR_LIMIT`` new connections in a
row fail to open, or break before the first byte, while others to the same server are answered, the limit is set to
the number open.  A single failure proves nothing, as networks break new connections too.  After a backoff one more
connection is tried: if it opens, the limit rises and the next is tried at once, else the backoff is doubled.  A limit
that has not been reached for ``LIMIT_EXPIRY_US`` expires.

*Silent drops.*  When a server drops idle connections silently, attempts on them are never answered.  An attempt given
up on a reused connection after ``SILENT_FACTOR`` times the mean answer time, while the server answered on other
connections, counts as a connection that the server had closed.

*Slow start.*  A server that has just started gets new connections in proportion to its presumed capacity: fewer are
opened at once, fewer are spares, fewer attempts wait, and the pace is this node's share of ``handshakes_per_s``.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from heapq import heapify, heappop, heappush
from math import inf

from headspar.connections.idle_timeout import IDLE_MARGIN, Evidence, bucket
from headspar.connections.server_state import (
    BURST_US,
    LIMIT_BACKOFF_US,
    RECENT_ANSWER_US,
    PooledConnection,
    ServerState,
)

FAILURES_FOR_LIMIT = 3  # new connections that fail in a row
LIMIT_EXPIRY_US = 30_000_000  # a learned limit that has not been reached for this long expires
REVIEW_INTERVAL_US = 4_000_000  # minimum time between two reviews of one server
MIN_REVIEWS_PER_TICK = 32  # servers; an eighth of them if that is more
EVICTION_CANDIDATES = 16  # longest-idle connections examined for eviction
SILENT_FACTOR = 4.0  # multiple of the mean answer time after which an unanswered attempt is a silent drop
CAUTION_US = 30_000_000  # how long stray bytes lengthen quarantines, and late ones keep connections to a single use
CAUTIOUS_FACTOR = 2  # of the quarantine after stray bytes: where some come, others may come later
PREFERRED_REST = 5  # idle time, in quarantines, after which late stray bytes are unlikely
LATE_STRAY_SHARE = 0.5  # of the quarantine, from which stray bytes count as late
SHORTAGE_DIVISOR = 8  # descriptors are scarce when less than 1/8 of them is left


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """Settings of a ``Plan``.

    ``most`` is the maximum number of connections in total and ``idle_us`` the maximum time that a server keeps an
    idle one.  ``making`` limits the connections to one server that are being opened at once; ``waiting`` limits the
    attempts that may wait for them beyond those for which one is being opened.  ``ahead`` is the number of spare
    connections beyond the demand, opened at least ``pace_us`` apart.  ``handshakes_per_s`` limits all nodes together
    on one warm server; on a cold server it is reduced to its presumed share of capacity.  ``quarantine_us`` is the
    time between a response and the next request on its connection.

    Raises ``ValueError`` that names the field for a value out of range.
    """

    most: int
    idle_us: int
    proof_us: int = 1_000_000
    making: int = 8
    waiting: int = 20
    ahead: int = 0
    pace_us: int = 50_000
    age_us: int = 600_000_000
    age_jitter: float = 0.3
    learn_limit: bool = True  # whether a server's connection limit is learned from failed connects
    trim: bool = True  # whether idle connections beyond the ceiling are closed
    handshakes_per_s: float = 500.0
    nodes: int = 1  # that connect to one server
    quarantine_us: int = 0

    def __post_init__(self) -> None:
        for name in ("most", "idle_us", "proof_us", "making", "pace_us", "age_us", "handshakes_per_s", "nodes"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")
        if self.ahead < 0 or self.waiting < 0 or self.quarantine_us < 0:
            raise ValueError("ahead, waiting, quarantine_us: must not be negative")
        if not 0 <= self.age_jitter < 1:
            raise ValueError("age_jitter: must lie in 0 .. 1")


@dataclass(slots=True)
class Learned:
    """Learned state that one plan passes to another: connection limits by server id, the counts of breaks and answers
    by bucket of idle time, and the mean time in use of an answered connection (us)."""

    limits: dict[str, int]
    broke: list[float]
    good: list[float]
    use_us: float


class Answer(Enum):
    """The result of ``take`` for an attempt."""

    USE = "use"  # the connection named
    OPEN = "open"  # open the connection named; the attempt waits for it, or for another that is free sooner
    WAIT = "wait"  # for a connection that is already being opened
    CANNOT = "cannot"  # none is available now; the attempt was never sent and may go elsewhere at once


@dataclass(slots=True)
class Assignment:
    """The return value of ``take``; the host first closes the connections in ``close``."""

    answer: Answer
    connection: int = -1
    close: tuple[int, ...] = ()


class Plan:
    """The connection pool of a node to all its servers."""

    def __init__(self, settings: PlanSettings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.servers: dict[str, ServerState] = {}
        self.connections: dict[int, PooledConnection] = {}
        self.idle: OrderedDict[int, PooledConnection] = OrderedDict()  # of all servers, longest idle first
        self.touched: deque[ServerState] = deque()  # servers that a tick has to review
        self.shortened: set[ServerState] = set()  # servers whose learned idle limit is below the announced one
        self.retirements: list[tuple[int, int]] = []  # heap of (retirement time, connection number)
        self.evidence = Evidence(bucket(settings.idle_us) + 1, 0)  # idle times of all servers
        self.serial = 0
        self.use_us = 0.0  # mean time in use of an answered connection, over all servers
        self.answers = 0
        self.single_use_until: float = -inf
        self.cautious_until: float = -inf

    # ------------------------------------------------------------ servers

    def place(self, server: str, now: int) -> list[int]:
        """Adds a server, or replaces it after a restart or a change of address.

        Returns the idle connections to the previous one, to be closed.  Those in use continue and are closed after
        their answer.
        """
        close = self.remove(server)
        self.servers[server] = ServerState(server, self.settings.idle_us, self.evidence, now, self.settings.proof_us)
        return close

    def remove(self, server: str) -> list[int]:
        """Removes a server; returns its idle connections, to be closed."""
        s = self.servers.pop(server, None)
        if s is None:
            return []
        s.gone = True
        self.shortened.discard(s)
        return [self._drop(c) for c in list(s.idle)]

    def doubt(self, server: str) -> list[int]:
        """Drops the idle connections of a server that does not answer, as they may be dead too.

        Returns them, to be closed.
        """
        s = self.servers.get(server)
        return [self._drop(c) for c in list(s.idle)] if s is not None else []

    def warmth(self, server: str, share: float) -> None:
        """Sets the share of its capacity that a server is presumed to have; a cold one gets fewer new connections."""
        s = self.servers.get(server)
        if s is not None:
            s.warm = min(1.0, max(0.01, share))

    def change(self, idle_us: int, nodes: int) -> None:
        """Applies a new announced idle timeout of servers (us) and a new number of nodes that share one server."""
        if (idle_us, nodes) == (self.settings.idle_us, self.settings.nodes):
            return
        self.settings = replace(self.settings, idle_us=idle_us, nodes=nodes)
        self.evidence.widen(bucket(idle_us) + 1)
        for s in self.servers.values():
            s.idle_time.set_max_idle(idle_us)
            self._update_shortened(s)

    def learned(self) -> Learned:
        """Returns the state that another process's plan for the same servers may start from."""
        limits = {s.id: s.limit for s in self.servers.values() if s.limit}
        return Learned(limits, self.evidence.broke[:], self.evidence.good[:], self.use_us)

    def recall(self, learned: Learned, now: int) -> None:
        """Restores state that another plan has learned; unknown servers and surplus buckets are ignored."""
        self.use_us, self.answers = max(0.0, learned.use_us), 100 if learned.use_us > 0 else 0
        for row, seen in ((self.evidence.broke, learned.broke), (self.evidence.good, learned.good)):
            for k, value in enumerate(seen[:len(row)]):
                row[k] = max(0.0, value)
        for s in self.servers.values():
            limit = learned.limits.get(s.id, 0)
            if limit > 0:
                s.limit, s.limit_tried_at = limit, now
            s.idle_time.refresh(now)
            self._update_shortened(s)

    def limit(self, most: int) -> list[int]:
        """Sets the maximum number of connections; returns idle ones beyond it, longest idle first, to be closed."""
        self.settings = replace(self.settings, most=most)
        surplus = len(self.connections) - most
        return [self._drop(c) for c in list(self.idle.values())[:max(0, surplus)]]

    # ------------------------------------------------------------ attempts

    def take(self, server: str, now: int, *, proof: bool) -> Assignment:
        """Assigns a connection to an attempt.  ``proof``: only one that was recently proven alive may be used."""
        s = self.servers.get(server)
        if s is None:
            return Assignment(Answer.CANNOT)
        s.accumulate(now)
        if not s.touched:
            s.touched = True
            self.touched.append(s)
        close: list[int] = []
        c = self._pop_usable(s, now, proof, close)
        if c is not None:
            return Assignment(Answer.USE, c.number, tuple(close) if close else ())
        settings = self.settings
        if max(0, s.waiting - s.making) < len(s.quarantined):
            s.waiting += 1
            return Assignment(Answer.WAIT, -1, tuple(close))
        if s.making >= self._max_making(s) or self._at_limit(s, now) or self._too_soon(s, now):
            if s.making and s.waiting < s.making + int(settings.waiting * s.warm):
                s.waiting += 1
                return Assignment(Answer.WAIT, -1, tuple(close))
            return Assignment(Answer.CANNOT, -1, tuple(close))
        left = settings.most - len(self.connections)
        if SHORTAGE_DIVISOR * left < settings.most and s.held >= self._max_held_when_scarce(s):
            return Assignment(Answer.CANNOT, -1, tuple(close))
        if left <= 0:
            victim = self._eviction_victim(s)
            if victim is None:
                return Assignment(Answer.CANNOT, -1, tuple(close))
            close.append(self._drop(victim))
        s.waiting += 1
        return Assignment(Answer.OPEN, self._make(s, now), tuple(close))

    def _pop_usable(self, s: ServerState, now: int, proof: bool, close: list[int]) -> PooledConnection | None:
        """Takes the most recently proven connection that may be used, and adds those found too old to ``close``."""
        limit = s.idle_time.limit_us
        found: PooledConnection | None = None
        for i in range(len(s.idle) - 1, -1, -1):
            c = s.idle[i]
            if c.usable_at > now:
                continue
            if c.retire_at <= now or now - c.idle_at >= limit:
                close.append(self._drop(c))
                continue
            if proof and now - c.proven_at > s.idle_time.trusted_us:
                break  # the most recently proven one comes first, so no other qualifies
            found = c
            if now - c.idle_at >= PREFERRED_REST * self.settings.quarantine_us:
                break
        if found is not None:
            s.idle.remove(found)
            del self.idle[found.number]
            found.state = "busy"
            found.taken_at = now
            found.idle_us = now - found.idle_at
            s.busy += 1
        return found

    def next_usable_at(self, server: str, now: int) -> int | None:
        """When the next connection to the server ends its quarantine (us); None if none is in quarantine."""
        s = self.servers.get(server)
        if s is None:
            return None
        return min((c.usable_at for c in s.idle if c.usable_at > now), default=None)

    def stray_bytes(self, gap_us: int, now: int) -> list[int]:
        """Records that bytes came that belong to no request, ``gap_us`` after a connection's last response.

        Returns the connections to close: bytes that come late may also come once the next request has been sent.
        """
        self.cautious_until = now + CAUTION_US
        if gap_us < LATE_STRAY_SHARE * self.settings.quarantine_us:
            return []
        self.single_use_until = now + CAUTION_US
        return [self._drop(c) for c in list(self.idle.values())]

    def stop_waiting(self, server: str) -> None:
        """Records that an attempt stopped waiting: it got a connection or ended."""
        s = self.servers.get(server)
        if s is not None and s.waiting:
            s.waiting -= 1

    def _max_making(self, s: ServerState) -> int:
        """Handshakes cost a server work, so a cold server gets fewer at once."""
        return max(1, int(self.settings.making * s.warm))

    def _max_held_when_scarce(self, s: ServerState) -> int:
        """The maximum for one server while descriptors are scarce: its ceiling, but at least an equal share."""
        return max(2, s.ceiling(), self.settings.most // len(self.servers))

    def _too_soon(self, s: ServerState, now: int) -> bool:
        if s.warm >= 1.0 or not s.held:
            return False
        return now - s.made_at < 1e6 * self.settings.nodes / (self.settings.handshakes_per_s * s.warm)

    def _at_limit(self, s: ServerState, now: int) -> bool:
        if not s.limit or s.held < s.limit:
            return False
        if now - s.limit_tried_at >= LIMIT_EXPIRY_US:
            s.limit, s.limit_backoff = 0, LIMIT_BACKOFF_US[0]
            return False
        if now - s.limit_tried_at < s.limit_backoff or s.making:
            return True
        s.limit_tried_at = now  # try one beyond the limit
        return False

    def _new_connection_failed(self, s: ServerState, open_count: int, now: int) -> None:
        """Handles a new connection that failed to open, or broke before the first byte."""
        s.fails += 1
        if not self.settings.learn_limit or not open_count or now - s.answered_at >= RECENT_ANSWER_US:
            return
        if s.limit and open_count >= s.limit:
            s.limit_backoff, s.limit_tried_at = min(LIMIT_BACKOFF_US[1], 2 * s.limit_backoff), now
        elif s.fails >= FAILURES_FOR_LIMIT:
            s.limit, s.limit_tried_at, s.limit_backoff = open_count, now, LIMIT_BACKOFF_US[0]

    def _new_connection_answered(self, s: ServerState, now: int) -> None:
        s.fails = 0
        held = s.held + 1  # plus the one just answered, which is not yet idle again
        if s.limit and held > s.limit:
            s.limit, s.limit_backoff = held, LIMIT_BACKOFF_US[0]
            s.limit_tried_at = now - s.limit_backoff

    def _make(self, s: ServerState, now: int) -> int:
        self.serial += 1
        c = self.connections[self.serial] = PooledConnection(self.serial, s, now)
        s.making += 1
        s.made_at = now
        return c.number

    def _eviction_victim(self, requester: ServerState) -> PooledConnection | None:
        """The connection to evict: among those idle longest the first of a server above its ceiling, else the first
        that is not the only one of its server, else an only one if ``requester`` has none itself."""
        one_of_several: PooledConnection | None = None
        only: PooledConnection | None = None
        for i, c in enumerate(self.idle.values()):
            if i >= EVICTION_CANDIDATES:
                break
            held = c.server.held
            if held > 1:
                if held > c.server.ceiling():
                    return c
                one_of_several = one_of_several or c
            else:
                only = only or c
        return one_of_several or (only if requester.held == 0 else None)

    # ------------------------------------------------------------ events

    def opened(self, number: int, now: int, *, taken: bool) -> bool:
        """Records that a connection is established.  ``taken``: an attempt is sent on it at once.

        Returns False if the connection is not wanted any more and has to be closed.
        """
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
        heappush(self.retirements, (c.retire_at, number))
        if len(self.retirements) > 64 + 4 * len(self.connections):  # most entries are stale
            self.retirements = [row for row in self.retirements if row[1] in self.connections]
            heapify(self.retirements)
        if taken:
            c.server.accumulate(now)
            c.server.busy += 1
            c.state = "busy"
            c.taken_at = now
            c.idle_us = -1
        else:
            self._keep(c, now, usable_at=now)
        return True

    def failed(self, number: int, now: int) -> None:
        """Records that a connection could not be established.

        While others to the server are answered, this indicates that the server is at its connection limit.
        """
        c = self.connections.pop(number, None)
        if c is None or c.state != "making":
            return
        s = c.server
        s.making -= 1
        self._new_connection_failed(s, len(s.idle) + s.busy, now)

    def answered(self, number: int, now: int, *, keep: bool) -> bool:
        """Records that the attempt on a connection was answered.

        Returns True if the connection is kept, False if it has to be closed.
        """
        c = self.connections.get(number)
        if c is None or c.state != "busy":
            return False
        s = c.server
        s.accumulate(now)
        s.busy -= 1
        s.answered_at = c.proven_at = now
        self.answers += 1
        self.use_us += max(0.01, 1 / self.answers) * (now - c.taken_at - self.use_us)
        if c.idle_us >= 0:
            s.idle_time.answered(c.idle_us)
        else:
            self._new_connection_answered(s, now)
        if not keep or s.gone or c.retire_at <= now or not self._reusable(s, now):
            del self.connections[number]
            return False
        self._keep(c, now, usable_at=now + self._quarantine_us(now))
        if c.usable_at > now:
            s.begin_quarantine(c.usable_at)
        return True

    def _reusable(self, s: ServerState, now: int) -> bool:
        """Whether a connection answered now may carry another request after its quarantine."""
        return now >= self.single_use_until and s.idle_time.limit_us > self._quarantine_us(now)

    def _quarantine_us(self, now: int) -> int:
        """How long a connection answered now rests before its next request."""
        return self.settings.quarantine_us * (CAUTIOUS_FACTOR if now < self.cautious_until else 1)

    def ended(self, number: int, now: int, *, by_server: bool = False, silent: bool = False) -> None:
        """Records that a connection has ended.  ``by_server``: the server closed it while it was idle, or it broke
        before the first byte of an answer.  ``silent``: its attempt was given up before the first byte."""
        c = self.connections.pop(number, None)
        if c is None:
            return
        s = c.server
        idle_us = c.idle_us
        if silent and c.state == "busy" and s.answered_at > c.taken_at:
            by_server = now - c.taken_at > SILENT_FACTOR * self.use_us
        if c.state == "idle":
            s.idle.remove(c)
            s.end_quarantine(c)
            del self.idle[number]
            idle_us = now - c.idle_at
            burst, s.ended_at = now - s.ended_at < BURST_US, now
            by_server = by_server and not burst
        elif c.state == "busy":
            s.accumulate(now)
            s.busy -= 1
        else:
            s.making -= 1
            idle_us = -1
        if by_server and idle_us >= 0:
            s.idle_time.ended(idle_us)
            self._update_shortened(s)
        elif by_server and c.state == "busy":
            self._new_connection_failed(s, len(s.idle) + s.busy, now)

    def _keep(self, c: PooledConnection, now: int, usable_at: int) -> None:
        c.state = "idle"
        c.idle_at = now
        c.usable_at = usable_at
        c.server.idle.append(c)
        self.idle[c.number] = c

    def _drop(self, c: PooledConnection) -> int:
        """Drops an idle connection; returns its number, for the host to close."""
        if c.server.idle and c.server.idle[-1] is c:
            c.server.idle.pop()
        else:
            c.server.idle.remove(c)
        c.server.end_quarantine(c)
        del self.idle[c.number]
        del self.connections[c.number]
        return c.number

    # ------------------------------------------------------------ periodic work

    def tick(self, now: int) -> tuple[list[int], list[tuple[str, int]]]:
        """Returns the connections to close (retired, or beyond the demand) and those to open ahead.

        The latter are pairs of server id and connection number.
        """
        close: list[int] = []
        ahead: list[tuple[str, int]] = []
        while self.retirements and self.retirements[0][0] <= now:
            c = self.connections.get(heappop(self.retirements)[1])
            if c is not None and c.state == "idle":
                close.append(self._drop(c))  # one in use is closed after its answer
        self.evidence.decay(now)
        # The longest idle come first, so the scan ends at the first one below the shortest limit of all servers.
        # Connections retired by the limit of their own server are found on the way, or by ``take``.
        shortest = min((s.idle_time.limit_us for s in self.shortened),
                       default=int(IDLE_MARGIN * self.settings.idle_us))
        for c in list(self._idle_for(shortest, now)):
            if now - c.idle_at >= c.server.idle_time.limit_us:
                close.append(self._drop(c))
        if self.settings.ahead:
            for s in self.touched:
                s.fold(now)
                if not s.gone and self._needs_spare(s, now):
                    s.opened_ahead_at = now
                    ahead.append((s.id, self._make(s, now)))
        for _ in range(min(len(self.touched), max(MIN_REVIEWS_PER_TICK, len(self.touched) // 8))):
            s = self.touched[0]
            if not s.gone and now - s.reviewed_at < REVIEW_INTERVAL_US:
                break  # the servers behind it were reviewed later
            self.touched.popleft()
            s.touched = False
            if not s.gone:
                self._review(s, now, close)
        return close, ahead

    def _review(self, s: ServerState, now: int, close: list[int]) -> None:
        """Updates a server's demand and idle limits, and closes half of its surplus connections."""
        s.reviewed_at = now
        s.fold(now)
        s.idle_time.refresh(now)
        self._update_shortened(s)
        surplus = 0
        if self.settings.trim:
            surplus = len(s.idle) + s.busy - s.ceiling() - self.settings.ahead
            for c in s.idle[:max(0, (surplus + 1) // 2)]:
                close.append(self._drop(c))
        s.touched = s.busy > 0 or surplus > 1 or s in self.shortened
        if s.touched:
            self.touched.append(s)

    def _update_shortened(self, s: ServerState) -> None:
        """Updates the set of servers whose connections are retired before the announced idle timeout."""
        if s.idle_time.limit_us < int(IDLE_MARGIN * self.settings.idle_us) and not s.gone:
            self.shortened.add(s)
        else:
            self.shortened.discard(s)

    def _idle_for(self, min_idle_us: int, now: int) -> Iterator[PooledConnection]:
        for c in self.idle.values():
            if now - c.idle_at < min_idle_us:
                return
            yield c

    def _needs_spare(self, s: ServerState, now: int) -> bool:
        if s.peak < 0.5 or s.making or now - s.opened_ahead_at < self.settings.pace_us / s.warm:
            return False
        if len(self.connections) >= self.settings.most or self._at_limit(s, now):
            return False
        if self._too_soon(s, now):
            return False
        return len(s.idle) - len(s.quarantined) < self.settings.ahead and s.held < s.ceiling() + self.settings.ahead
