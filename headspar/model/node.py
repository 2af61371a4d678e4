"""A node in simulated time: the real decision module, connection plan and reach, and a processor of its own.

What ``headspar.node`` does on sockets is done here on messages: the three hard limits of its core hold too (nothing
goes out for a request that has its answer, none is left without one at its deadline, none is held beyond
``most_held``).  Each message that comes is worked off in its order; while the processor is busy it waits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from headspar import interface
from headspar.connections.plan import Answer, Plan
from headspar.connections.subset import Subset
from headspar.connections.waiters import Waiters
from headspar.decide import Balancer
from headspar.handover.beliefs import Beliefs
from headspar.interface import (
    AttemptEnded,
    BackendList,
    CancelAttempt,
    ClientGone,
    Event,
    Fail,
    Outcome,
    PeerMessage,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    TellPeers,
    TimerFired,
    Watch,
)
from headspar.model.costs import Costs, Delays
from headspar.model.discovery import Watcher
from headspar.model.events import Events, Handle
from headspar.model.ports import Asked
from headspar.model.references import Policy
from headspar.model.servers import CashServer, Connection
from headspar.node.backend_subset import Reach, subset_settings
from headspar.node.backends import plan_settings
from headspar.operator_file import Connections as ConnectionsTable

# Versions from before upgrades handed beliefs over know no such event; theirs are cold starts of the mind.
RECALLED = getattr(interface, "Recalled", None)
TEND_US = 200_000
TENDS_A_STEP = 5  # the reach moves at every so many
PEER_DELAY_US = 200


class Request:
    """A caller's try at the node, from its coming to the end of its last attempt."""

    __slots__ = ("key", "t", "cls", "deadline", "live", "attempts", "out", "limit", "proof", "left", "timer")

    def __init__(self, key: str, t: Asked, cls: str, deadline: int, limit: int, proof: bool) -> None:
        self.key, self.t, self.cls, self.deadline, self.limit, self.proof = key, t, cls, deadline, limit, proof
        self.live, self.left = True, False
        self.attempts: list[Attempt] = []
        self.out = 0
        self.timer: Handle | None = None


class Attempt:
    """One send to one server."""

    __slots__ = ("request", "number", "backend", "sent_at", "start_by", "ended", "conn", "call")

    def __init__(self, request: Request, number: int, backend: str, now: int, start_by: int) -> None:
        self.request, self.number, self.backend, self.sent_at = request, number, backend, now
        self.start_by = start_by  # the latest that it may be written; 0: at any time
        self.ended = False
        self.conn: Connection | None = None
        self.call = request.t.index


class Host:
    """A server as the node knows it, and the attempts that wait for a connection to it."""

    __slots__ = ("id", "server", "started_at", "heard_at", "waiters", "draining_at")

    def __init__(self, id: str, server: CashServer, started_at: int, waiters: Waiters[Attempt]) -> None:
        self.id, self.server, self.started_at, self.waiters = id, server, started_at, waiters
        self.heard_at = 0
        self.draining_at = 0  # since when the node has been told so; 0: it drains not


class Node:
    """One process of a node."""

    def __init__(
        self, name: str, events: Events, settings: Settings, seed: int, costs: Costs, delays: Delays,
        servers: dict[str, CashServer], file: ConnectionsTable, most: int,
        answered: Callable[[Asked, int, int, int], None], tell: Callable[[Node, bytes], None],
    ) -> None:
        """``answered(try, when, status, retry_after_us)``: an answer leaves at ``when``."""
        self.name, self.events, self.settings, self.costs, self.delays = name, events, settings, costs, delays
        self.servers, self.to_caller, self.to_peers = servers, answered, tell
        self.balancer: Balancer | Policy = Balancer(settings, seed)
        self.plan = Plan(plan_settings(file, settings, most), settings.me)
        self.reach = Reach(Subset(subset_settings(file, settings, most)))
        self.watcher: Watcher
        self.repeatable = {c.name for c in settings.classes if c.effect.value == "retryable"}
        self.hosts: dict[str, Host] = {}
        self.young: set[str] = set()
        self.connections: dict[int, Connection] = {}
        self.requests: dict[str, Request] = {}
        self.serial = 0
        self.queue: list[Event] = []
        self.settling = False
        self.busy_until = 0
        self.backlog: deque[tuple[float, Callable[..., None], tuple[Any, ...]]] = deque()
        self.woken = False
        self.ticked_at = 0
        self.tends = 0
        self.alive = True
        self.ending = False
        self.attempted = self.opened = self.broken = 0  # attempts and connections begun; attempts that broke a rule
        self.busy_us = 0.0  # processor time
        self.on_end: Callable[[Node], None] | None = None

    # ------------------------------------------------------------ the processor

    def hear(self, cost: float, call: Callable[..., None], *args: Any) -> None:
        """A message that costs so much processor time, worked off when those before it have been."""
        if not self.alive:
            return
        now = self.events.now
        if self.backlog or self.busy_until > now:
            self.backlog.append((cost, call, args))
            if not self.woken:
                self.woken = True
                self.events.at(max(now, self.busy_until), self._wake)
            return
        self.busy_until = now + int(cost)
        self.busy_us += cost
        call(*args)
        self.settle()

    def _wake(self) -> None:
        self.woken = False
        if not self.alive:
            return
        now = self.events.now
        while self.backlog and self.busy_until <= now:
            cost, call, args = self.backlog.popleft()
            self.busy_until = now + int(cost)
            self.busy_us += cost
            call(*args)
            self.settle()
        if self.backlog:
            self.woken = True
            self.events.at(self.busy_until, self._wake)

    def settle(self) -> None:
        """Let the module hear what has gathered, until nothing more comes of it."""
        if self.settling:
            return
        self.settling = True
        balancer = self.balancer
        while self.queue:
            events, self.queue = self.queue, []
            for action in balancer.handle(self.events.now, events):
                self._act(action)
        self.settling = False
        if balancer.ticked_at != self.ticked_at:
            self.ticked_at = balancer.ticked_at
            self.busy_until = max(self.busy_until, self.events.now) + int(self.costs.tick)
            self.busy_us += self.costs.tick

    def _act(self, action: Any) -> None:
        kind = type(action)
        if kind is Send:
            self._send(action)
        elif kind is SetTimer:
            self.events.at(self.events.now + max(2_000, action.delay_us), self._timer, action.token)
        elif kind is Refuse:
            self._answer(action.id, 503, action.retry_after_us)
        elif kind is Fail:
            self._answer(action.id, 502, -1)
        elif kind is CancelAttempt:
            r = self.requests.get(action.id)
            if r is not None and action.attempt < len(r.attempts):
                self.end(r.attempts[action.attempt], Outcome.CANCELLED)
        elif kind is Watch:
            self.watcher.watch(action.enable)
        elif kind is TellPeers:
            self.to_peers(self, action.data)

    def _timer(self, token: int) -> None:
        self.hear(0, self.queue.append, TimerFired(token))

    # ------------------------------------------------------------ requests

    def start(self, event: BackendList) -> None:
        """The list that it is given at its start."""
        self.told(event)
        self.settle()
        self.events.at(self.events.now + TEND_US, self._tend)

    def arrived(self, t: Asked, budget_us: int) -> None:
        self.hear(self.costs.arrival, self._arrived, t, budget_us, self.events.now)

    def _arrived(self, t: Asked, budget_us: int, came_at: int) -> None:
        if t.over:
            return
        call = t.call
        if len(self.requests) >= self.settings.most_held:
            self.to_caller(t, self.busy_until, 503, 0)
            return
        self.serial += 1
        key = str(self.serial)
        cls = t.names.classes[call.cls]
        now = self.events.now
        r = Request(key, t, cls, now + budget_us, self.settings.max_attempts, cls not in self.repeatable)
        self.requests[key] = r
        r.timer = self.events.at(r.deadline, self._deadline, r)
        self.queue.append(RequestArrived(key, cls, r.deadline, call.hint_us or None, call.target,
                                         t.names.agents[call.agent], t.number > 0))
        t.request = r

    def _answer(self, key: str, status: int, retry_after_us: int) -> None:
        r = self.requests.get(key)
        if r is not None and r.live:
            r.live = False
            self.to_caller(r.t, max(self.events.now, self.busy_until), status, retry_after_us)
            self._forget(r)

    def gone(self, t: Asked) -> None:
        """The caller has closed its connection."""
        r = t.request
        if r is not None and r.live and self.alive:
            r.live, r.left = False, True
            self.queue.append(ClientGone(r.key))
            self._forget(r)
            self.settle()

    def _deadline(self, r: Request) -> None:
        """The last moment for an answer, whatever else the processor has to do: it is late by what stands before."""
        r.timer = None
        if r.key not in self.requests or not self.alive:
            return
        was_live = r.live
        for attempt in r.attempts[:]:
            self.end(attempt, Outcome.TIMEOUT)
        self.settle()
        if was_live and r.live:
            self._answer(r.key, 504, -1)
            self.queue.append(ClientGone(r.key))
            self.settle()

    def _forget(self, r: Request) -> None:
        if not r.live and not r.out and self.requests.pop(r.key, None) is not None:
            if r.timer is not None:
                self.events.cancel(r.timer)
            if self.ending and not self.requests and not self.backlog:
                self._ended()

    # ------------------------------------------------------------ attempts

    def _fit(self, attempt: Attempt) -> bool:
        """Whether an attempt that waited for a connection may still be written."""
        return attempt.request.live and not 0 < attempt.start_by <= self.events.now

    def _send(self, action: Send) -> None:
        r = self.requests.get(action.id)
        if r is None:
            return
        now = self.events.now
        attempt = Attempt(r, len(r.attempts), action.backend, now, action.start_by_us)
        r.attempts.append(attempt)
        r.out += 1
        host = self.hosts.get(action.backend)
        if host is not None and 0 < host.draining_at < now - self.settings.drain_grace_us:
            self.broken += 1
        if not r.live or now >= r.deadline or attempt.number >= r.limit or host is None:
            self.end(attempt, Outcome.MOOT)
            return
        self.busy_until = max(now, self.busy_until) + int(self.costs.attempt)
        self.busy_us += self.costs.attempt
        self.attempted += 1
        self._take(host, attempt)

    def _take(self, host: Host, attempt: Attempt) -> None:
        now = self.events.now
        while True:
            told = self.plan.take(host.id, now, proof=attempt.request.proof)
            self._close(told.close)
            if told.answer is not Answer.USE:
                break
            conn = self.connections[told.connection]
            if not host.server.known_closed(conn, now):
                self._write(conn, attempt)
                return
            self._lost(conn, by_server=True)
            self._shut(conn)
        if told.answer is Answer.CANNOT:
            self.end(attempt, Outcome.MOOT)
            return
        host.waiters.line.append(attempt)
        if told.answer is Answer.OPEN:
            self._open(host, told.connection, attempt.call)

    def _write(self, conn: Connection, attempt: Attempt) -> None:
        conn.attempt, attempt.conn = attempt, conn
        conn.quiet = True
        leg = 2 * attempt.number
        out = max(self.events.now, self.busy_until) + self.delays.server(attempt.call, leg)
        conn.due = out
        self.events.at(out, conn.server.request, conn, attempt, self.delays.server(attempt.call, leg + 1))

    def _open(self, host: Host, number: int, call: int) -> None:
        conn = self.connections[number] = Connection(number, self, host.server)
        host.waiters.making += 1
        now = self.events.now
        self.busy_until = max(now, self.busy_until) + int(self.costs.connect)
        self.busy_us += self.costs.connect
        self.opened += 1
        delay = self.delays.server(call, 10)
        self.events.at(max(now, self.busy_until) + delay, host.server.connect, conn, delay)
        conn.timer = self.events.at(now + self.settings.connect_timeout_us, self.connected, conn, False)

    def connected(self, conn: Connection, up: bool) -> None:
        """A connection is up, or was refused, or its time is over."""
        if conn.timer is None:
            return
        self.events.cancel(conn.timer)
        conn.timer = None
        self.hear(self.costs.connect, self._connected, conn, up)

    def _connected(self, conn: Connection, up: bool) -> None:
        now = self.events.now
        host = self.hosts.get(conn.server.plan.id)
        if not up:
            conn.open = False
            self.connections.pop(conn.number, None)
            self.plan.failed(conn.number, now)
            conn.server.closed(conn)
        if host is None or host.server is not conn.server:
            self._shut(conn)
            return
        host.waiters.making = max(0, host.waiters.making - 1)
        attempt = host.waiters.next()
        if not conn.open:
            if attempt is not None:
                self.end(attempt, Outcome.CONNECT_FAILED)
        else:
            wanted = self.plan.opened(conn.number, now, taken=attempt is not None)
            if attempt is not None:
                self._write(conn, attempt)
            elif not wanted:
                self._shut(conn)
        host.waiters.wait_no_longer(now, self.settings.connect_timeout_us)

    def _moot(self, attempt: Attempt) -> None:
        self.end(attempt, Outcome.MOOT)

    def answered(self, conn: Connection, attempt: Attempt, outcome: Outcome, in_order: bool = True) -> None:
        """What has come back for an attempt."""
        if not attempt.ended and conn.open:
            self.hear(self.costs.answer, self._answered, conn, attempt, outcome, in_order)

    def _answered(self, conn: Connection, attempt: Attempt, outcome: Outcome, in_order: bool) -> None:
        if attempt.ended or conn.attempt is not attempt or not conn.open:
            return
        host = self.hosts.get(attempt.backend)
        if host is not None and outcome is not Outcome.RESET:
            host.heard_at = self.events.now
            conn.quiet = False
        if outcome is Outcome.RESET:
            self._lost(conn, by_server=conn.quiet)
        self.end(attempt, outcome, in_order)

    def end(self, attempt: Attempt, outcome: Outcome, in_order: bool = True) -> None:
        """An attempt has ended: its connection is kept if the answer was whole and in order, else closed."""
        if attempt.ended:
            return
        attempt.ended = True
        r, now = attempt.request, self.events.now
        conn, attempt.conn = attempt.conn, None
        if conn is not None:
            conn.attempt = None
            if conn.open:
                if outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR) and in_order:
                    self._keep(conn)
                else:
                    self._lost(conn, silent=conn.quiet)
                    self._shut(conn)
            if outcome is Outcome.TIMEOUT or outcome is Outcome.CANCELLED and not r.left:
                host = self.hosts.get(attempt.backend)
                if host is not None and host.heard_at < attempt.sent_at:
                    self._close(self.plan.doubt(host.id))
        r.out -= 1
        final = not r.live or outcome is Outcome.OK
        if r.live and outcome is Outcome.OK:
            r.live = False
            self.to_caller(r.t, max(now, self.busy_until), 200, -1)
        self.queue.append(AttemptEnded(r.key, attempt.number, attempt.backend, outcome, now - attempt.sent_at, final))
        self._forget(r)

    def _keep(self, conn: Connection) -> None:
        now = self.events.now
        if not self.plan.answered(conn.number, now, keep=True):
            self.connections.pop(conn.number, None)
            self._shut(conn)
            return
        host = self.hosts.get(conn.server.plan.id)
        if host is not None and host.waiters.line and host.server is conn.server:
            attempt = host.waiters.next()
            if attempt is not None:
                self._take(host, attempt)

    # ------------------------------------------------------------ connections

    def _lost(self, conn: Connection, by_server: bool = False, silent: bool = False) -> None:
        self.connections.pop(conn.number, None)
        if conn.open:
            conn.open = False
            self.plan.ended(conn.number, self.events.now, by_server=by_server, silent=silent)

    def _shut(self, conn: Connection) -> None:
        """Close it; the server hears of it after all that was written before."""
        conn.open = False
        self.connections.pop(conn.number, None)
        if conn.server.gone:
            return
        at = max(self.events.now, self.busy_until) + self.delays.server(0, 1)
        self.events.at(max(at, conn.due), conn.server.closed, conn)

    def _close(self, numbers: tuple[int, ...] | list[int]) -> None:
        for number in numbers:
            conn = self.connections.pop(number, None)
            if conn is not None:
                self._shut(conn)

    def server_ended(self, conns: list[Connection]) -> None:
        """A server's process has ended, and with it these connections."""
        for conn in conns:
            if not conn.open:
                continue
            attempt = conn.attempt
            if attempt is None:
                self._lost(conn, by_server=True)
            else:
                self.answered(conn, attempt, Outcome.RESET)

    # ------------------------------------------------------------ the list

    def told(self, event: BackendList) -> None:
        """Discovery has told something, or failed to."""
        now = self.events.now
        listed = {e.backend for e in event.entries}
        if event.kind.value in ("Complete", "Persisted"):
            for id in [id for id in self.hosts if id not in listed]:
                self._remove(id)
        for e in event.entries:
            if e.health.value == "Gone":
                self._remove(e.backend)
                continue
            host = self.hosts.get(e.backend)
            if host is None or e.started_at_us > host.started_at:
                self._remove(e.backend)
                waiters = Waiters(e.backend, self.plan, self._fit, self._moot)
                self.hosts[e.backend] = Host(e.backend, self.servers[e.backend], e.started_at_us, waiters)
                self.plan.place(e.backend, now)
                self.plan.warmth(e.backend, self.settings.warm_share(e.started_at_us, now))
                if e.started_at_us:
                    self.young.add(e.backend)
            host = self.hosts[e.backend]
            host.draining_at = (host.draining_at or now) if e.health.value == "Terminating" else 0
        event, out_of_reach = self.reach.told(event, now)
        self.queue.append(event)
        for id in out_of_reach:
            self._close(self.plan.doubt(id))

    def _remove(self, id: str) -> None:
        host = self.hosts.pop(id, None)
        if host is not None:
            self.young.discard(id)
            waiters = host.waiters.leave()
            self._close(self.plan.remove(id))
            for attempt in waiters:
                self.end(attempt, Outcome.MOOT)

    def heard(self, peer: int, data: bytes) -> None:
        self.hear(5, self.queue.append, PeerMessage(peer, data))

    def _tend(self) -> None:
        if not self.alive:
            return
        now = self.events.now
        for id in sorted(self.young):
            share = self.settings.warm_share(self.hosts[id].started_at, now)
            if share >= 1.0:
                self.young.discard(id)
            self.plan.warmth(id, share)
        close, ahead = self.plan.tick(now)
        self._close(close)
        for id, number in ahead:
            self._open(self.hosts[id], number, 0)
        self.tends += 1
        if self.tends % TENDS_A_STEP == 0:
            event, out_of_reach = self.reach.tick(now)
            if event is not None:
                self.queue.append(event)
                for id in out_of_reach:
                    self._close(self.plan.doubt(id))
                self.settle()
        self.events.at(now + TEND_US, self._tend)

    # ------------------------------------------------------------ its end

    def recall(self, before: Node) -> None:
        """Go on from what the process before this one has learned, right after the first list."""
        if RECALLED is not None:
            self.queue.append(RECALLED(before.balancer.experience()))
            self.plan.recall(before.plan.learned(), self.events.now)
            self.settle()

    def recall_kept(self, beliefs: Beliefs) -> None:
        """Go on from what lay on the disk, right after the first list."""
        self.queue.append(interface.Recalled(beliefs.experience, soon=False))
        self.plan.recall(beliefs.learned, self.events.now)
        self.settle()

    def finish(self) -> None:
        """Asked to end: what was taken is answered first."""
        self.ending = True
        if not self.requests and not self.backlog:
            self._ended()

    def _ended(self) -> None:
        if self.alive:
            self.kill()
            if self.on_end is not None:
                self.on_end(self)

    def kill(self) -> None:
        """The process is no more: its connections to servers are reset."""
        self.alive = False
        self.backlog.clear()
        at = self.events.now + self.delays.server(0, 2)
        for conn in list(self.connections.values()):
            conn.open = False
            if conn.attempt is not None:
                conn.attempt.ended = True
            if not conn.server.gone:
                self.events.at(max(at, conn.due), conn.server.closed, conn)
        self.connections.clear()
        for r in self.requests.values():
            if r.timer is not None:
                self.events.cancel(r.timer)
