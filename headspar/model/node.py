"""A node in simulated time: the real decision module, connection plan and subset on a simulated processor.

It does with messages what ``headspar.node`` does with sockets and enforces the same three hard limits: no attempt is
sent for a request that has been answered, every request is answered by its deadline, and at most ``most_held``
requests are held.  Messages are processed in order of arrival and wait in a queue while the processor is busy.
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
from headspar.model.ports import InboundAttempt
from headspar.model.references import Policy
from headspar.model.servers import CashServer, Connection
from headspar.node.backend_subset import Reach, subset_settings
from headspar.node.backends import plan_settings
from headspar.operator_file import Connections as ConnectionsTable

# Versions older than the handover of learned state lack this event; after an upgrade they start without it.
RESTORED_EVENT = getattr(interface, "Recalled", None)
MAINTENANCE_US = 200_000
MAINTENANCES_PER_SUBSET_UPDATE = 5  # maintenance runs per update of the subset
PEER_DELAY_US = 200


class Request:
    """A client attempt at the node, from its arrival to the end of its last attempt."""

    __slots__ = ("key", "t", "cls", "deadline", "live", "attempts", "outstanding", "limit",
                 "needs_proof", "client_left", "timer")

    def __init__(self, key: str, t: InboundAttempt, cls: str, deadline: int, limit: int, needs_proof: bool) -> None:
        self.key, self.t, self.cls, self.deadline, self.limit, self.needs_proof = (
            key, t, cls, deadline, limit, needs_proof)
        self.live, self.client_left = True, False
        self.attempts: list[Attempt] = []
        self.outstanding = 0
        self.timer: Handle | None = None


class Attempt:
    """One attempt at one server."""

    __slots__ = ("request", "number", "backend", "sent_at", "start_by", "ended", "conn", "call")

    def __init__(self, request: Request, number: int, backend: str, now: int, start_by: int) -> None:
        self.request, self.number, self.backend, self.sent_at = request, number, backend, now
        self.start_by = start_by  # the latest time at which it may be written; 0: no limit
        self.ended = False
        self.conn: Connection | None = None
        self.call = request.t.index


class Host:
    """A server as known to the node, with the attempts that wait for a connection to it."""

    __slots__ = ("id", "server", "started_at", "last_response_at", "waiters", "draining_at", "waking")

    def __init__(self, id: str, server: CashServer, started_at: int, waiters: Waiters[Attempt]) -> None:
        self.id, self.server, self.started_at, self.waiters = id, server, started_at, waiters
        self.last_response_at = 0
        self.waking = False  # the waiting attempts will be served when a connection ends its quarantine
        self.draining_at = 0  # when the node learned that the server drains; 0: not draining


class Node:
    """One process of a node."""

    def __init__(
        self, name: str, events: Events, settings: Settings, seed: int, costs: Costs, delays: Delays,
        servers: dict[str, CashServer], table: ConnectionsTable, max_connections: int,
        answered: Callable[[InboundAttempt, int, int, int], None], send_to_peers: Callable[[Node, bytes], None],
    ) -> None:
        """``answered(attempt, when, status, retry_after_us)`` is called for an answer that leaves at ``when``.

        ``send_to_peers(node, data)`` sends a datagram to all peers.  ``max_connections`` limits the
        connections to servers."""
        self.name, self.events, self.settings, self.costs, self.delays = name, events, settings, costs, delays
        self.servers, self.send_answer, self.send_to_peers = servers, answered, send_to_peers
        self.balancer: Balancer | Policy = Balancer(settings, seed)
        self.plan = Plan(plan_settings(table, settings, max_connections), settings.me)
        self.reach = Reach(Subset(subset_settings(table, settings, max_connections)))
        self.watcher: Watcher
        self.retryable = {c.name for c in settings.classes if c.effect.value == "retryable"}
        self.hosts: dict[str, Host] = {}
        self.warming: set[str] = set()
        self.connections: dict[int, Connection] = {}
        self.requests: dict[str, Request] = {}
        self.serial = 0
        self.pending_events: list[Event] = []
        self.running_balancer = False
        self.busy_until = 0
        self.messages: deque[tuple[float, Callable[..., None], tuple[Any, ...]]] = deque()
        self.wake_scheduled = False
        self.ticked_at = 0
        self.maintenance_runs = 0
        self.alive = True
        self.shutting_down = False
        # Attempts, connections opened, and attempts sent after the drain grace.
        self.attempted = self.opened = self.sent_after_grace = 0
        self.busy_us = 0.0  # processor time used
        self.on_end: Callable[[Node], None] | None = None

    # ------------------------------------------------------------ the processor

    def enqueue(self, cost: float, call: Callable[..., None], *args: Any) -> None:
        """Processes a message that takes ``cost`` us of processor time, after all earlier messages."""
        if not self.alive:
            return
        now = self.events.now
        if self.messages or self.busy_until > now:
            self.messages.append((cost, call, args))
            if not self.wake_scheduled:
                self.wake_scheduled = True
                self.events.at(max(now, self.busy_until), self._wake)
            return
        self.busy_until = now + int(cost)
        self.busy_us += cost
        call(*args)
        self.run_balancer()

    def _wake(self) -> None:
        self.wake_scheduled = False
        if not self.alive:
            return
        now = self.events.now
        while self.messages and self.busy_until <= now:
            cost, call, args = self.messages.popleft()
            self.busy_until = now + int(cost)
            self.busy_us += cost
            call(*args)
            self.run_balancer()
        if self.messages:
            self.wake_scheduled = True
            self.events.at(self.busy_until, self._wake)

    def run_balancer(self) -> None:
        """Passes queued events to the decision module and executes its actions until no events are left."""
        if self.running_balancer:
            return
        self.running_balancer = True
        balancer = self.balancer
        while self.pending_events:
            events, self.pending_events = self.pending_events, []
            for action in balancer.handle(self.events.now, events):
                self._act(action)
        self.running_balancer = False
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
            self.send_to_peers(self, action.data)

    def _timer(self, token: int) -> None:
        self.enqueue(0, self.pending_events.append, TimerFired(token))

    # ------------------------------------------------------------ requests

    def start(self, event: BackendList) -> None:
        """Starts the node with its initial backend list."""
        self.on_backend_list(event)
        self.run_balancer()
        self.events.at(self.events.now + MAINTENANCE_US, self._maintain)

    def arrived(self, t: InboundAttempt, budget_us: int) -> None:
        self.enqueue(self.costs.arrival, self._arrived, t, budget_us, self.events.now)

    def _arrived(self, t: InboundAttempt, budget_us: int, arrived_at: int) -> None:
        if t.over:
            return
        call = t.call
        if len(self.requests) >= self.settings.most_held:
            self.send_answer(t, self.busy_until, 503, 0)
            return
        self.serial += 1
        key = str(self.serial)
        cls = t.names.classes[call.cls]
        now = self.events.now
        r = Request(key, t, cls, now + budget_us, self.settings.max_attempts, cls not in self.retryable)
        self.requests[key] = r
        r.timer = self.events.at(r.deadline, self._deadline, r)
        self.pending_events.append(RequestArrived(key, cls, r.deadline, call.hint_us or None, call.target,
                                                  t.names.agents[call.agent], t.number > 0))
        t.request = r

    def _answer(self, key: str, status: int, retry_after_us: int) -> None:
        r = self.requests.get(key)
        if r is not None and r.live:
            r.live = False
            self.send_answer(r.t, max(self.events.now, self.busy_until), status, retry_after_us)
            self._forget(r)

    def client_gone(self, t: InboundAttempt) -> None:
        """Handles the close of the client connection."""
        r = t.request
        if r is not None and r.live and self.alive:
            r.live, r.client_left = False, True
            self.pending_events.append(ClientGone(r.key))
            self._forget(r)
            self.run_balancer()

    def _deadline(self, r: Request) -> None:
        """Ends a request at its deadline even if the processor is busy; the answer then leaves when it is free."""
        r.timer = None
        if r.key not in self.requests or not self.alive:
            return
        was_live = r.live
        for attempt in r.attempts[:]:
            self.end(attempt, Outcome.TIMEOUT)
        self.run_balancer()
        if was_live and r.live:
            self._answer(r.key, 504, -1)
            self.pending_events.append(ClientGone(r.key))
            self.run_balancer()

    def _forget(self, r: Request) -> None:
        if not r.live and not r.outstanding and self.requests.pop(r.key, None) is not None:
            if r.timer is not None:
                self.events.cancel(r.timer)
            if self.shutting_down and not self.requests and not self.messages:
                self._ended()

    # ------------------------------------------------------------ attempts

    def _may_write(self, attempt: Attempt) -> bool:
        """Returns whether an attempt that has waited for a connection may still be written."""
        return attempt.request.live and not 0 < attempt.start_by <= self.events.now

    def _send(self, action: Send) -> None:
        r = self.requests.get(action.id)
        if r is None:
            return
        now = self.events.now
        attempt = Attempt(r, len(r.attempts), action.backend, now, action.start_by_us)
        r.attempts.append(attempt)
        r.outstanding += 1
        host = self.hosts.get(action.backend)
        if host is not None and 0 < host.draining_at < now - self.settings.drain_grace_us:
            self.sent_after_grace += 1
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
            decision = self.plan.take(host.id, now, proof=attempt.request.needs_proof)
            self._close(decision.close)
            if decision.answer is not Answer.USE:
                break
            conn = self.connections[decision.connection]
            if not host.server.known_closed(conn, now):
                self._write(conn, attempt)
                return
            self._lost(conn, by_server=True)
            self._shut(conn)
        if decision.answer is Answer.CANNOT:
            self.end(attempt, Outcome.MOOT)
            return
        host.waiters.line.append(attempt)
        if decision.answer is Answer.OPEN:
            self._open(host, decision.connection, attempt.call)
        else:
            self._wake_later(host)

    def _write(self, conn: Connection, attempt: Attempt) -> None:
        conn.attempt, attempt.conn = attempt, conn
        conn.unanswered = True
        leg = 2 * attempt.number
        out = max(self.events.now, self.busy_until) + self.delays.server(attempt.call, leg)
        conn.written_until = out
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
        """Handles a connection that was established, was refused or timed out."""
        if conn.timer is None:
            return
        self.events.cancel(conn.timer)
        conn.timer = None
        self.enqueue(self.costs.connect, self._connected, conn, up)

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
        if host.waiters.line:
            self._wake_later(host)

    def _never_sent(self, attempt: Attempt) -> None:
        self.end(attempt, Outcome.MOOT)

    def answered(self, conn: Connection, attempt: Attempt, outcome: Outcome, in_order: bool = True) -> None:
        """Handles the result of an attempt."""
        if not attempt.ended and conn.open:
            self.enqueue(self.costs.answer, self._answered, conn, attempt, outcome, in_order)

    def _answered(self, conn: Connection, attempt: Attempt, outcome: Outcome, in_order: bool) -> None:
        if attempt.ended or conn.attempt is not attempt or not conn.open:
            return
        host = self.hosts.get(attempt.backend)
        if host is not None and outcome is not Outcome.RESET:
            host.last_response_at = self.events.now
            conn.unanswered = False
        if outcome is Outcome.RESET:
            self._lost(conn, by_server=conn.unanswered)
        self.end(attempt, outcome, in_order)

    def end(self, attempt: Attempt, outcome: Outcome, in_order: bool = True) -> None:
        """Ends an attempt.  Its connection is kept alive if the answer was complete and valid, else closed."""
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
                    self._lost(conn, silent=conn.unanswered)
                    self._shut(conn)
            if outcome is Outcome.TIMEOUT or outcome is Outcome.CANCELLED and not r.client_left:
                host = self.hosts.get(attempt.backend)
                if host is not None and host.last_response_at < attempt.sent_at:
                    self._close(self.plan.doubt(host.id))
        r.outstanding -= 1
        final = not r.live or outcome is Outcome.OK
        if r.live and outcome is Outcome.OK:
            r.live = False
            self.send_answer(r.t, max(now, self.busy_until), 200, -1)
        self.pending_events.append(
            AttemptEnded(r.key, attempt.number, attempt.backend, outcome, now - attempt.sent_at, final))
        self._forget(r)

    def _keep(self, conn: Connection) -> None:
        now = self.events.now
        if not self.plan.answered(conn.number, now, keep=True):
            self.connections.pop(conn.number, None)
            self._shut(conn)
            return
        host = self.hosts.get(conn.server.plan.id)
        if host is not None and host.waiters.line and host.server is conn.server:
            if getattr(self.plan.settings, "quarantine_us", 0):  # plans of earlier versions have none
                self._wake_later(host)
                return
            attempt = host.waiters.next()
            if attempt is not None:
                self._take(host, attempt)

    def _wake_later(self, host: Host) -> None:
        """Serves the waiting attempts again when the next connection ends its quarantine."""
        now = self.events.now
        at = self.plan.next_usable_at(host.id, now) if getattr(self.plan.settings, "quarantine_us", 0) else None
        if at is not None and not host.waking:
            host.waking = True
            self.events.at(at, self._serve_waiting, host)

    def _serve_waiting(self, host: Host) -> None:
        host.waking = False
        if self.alive and self.hosts.get(host.id) is host:
            for attempt in host.waiters.take_all():
                self._take(host, attempt)

    # ------------------------------------------------------------ connections

    def _lost(self, conn: Connection, by_server: bool = False, silent: bool = False) -> None:
        self.connections.pop(conn.number, None)
        if conn.open:
            conn.open = False
            self.plan.ended(conn.number, self.events.now, by_server=by_server, silent=silent)

    def _shut(self, conn: Connection) -> None:
        """Closes a connection.  The close reaches the server after all data written before."""
        conn.open = False
        self.connections.pop(conn.number, None)
        if conn.server.unreachable:
            return
        at = max(self.events.now, self.busy_until) + self.delays.server(0, 1)
        self.events.at(max(at, conn.written_until), conn.server.closed, conn)

    def _close(self, numbers: tuple[int, ...] | list[int]) -> None:
        for number in numbers:
            conn = self.connections.pop(number, None)
            if conn is not None:
                self._shut(conn)

    def server_ended(self, conns: list[Connection]) -> None:
        """Handles the reset of these connections by the end of a server's process."""
        for conn in conns:
            if not conn.open:
                continue
            attempt = conn.attempt
            if attempt is None:
                self._lost(conn, by_server=True)
            else:
                self.answered(conn, attempt, Outcome.RESET)

    # ------------------------------------------------------------ the list

    def on_backend_list(self, event: BackendList) -> None:
        """Handles a list update or a failed call to discovery."""
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
                waiters = Waiters(e.backend, self.plan, self._may_write, self._never_sent)
                self.hosts[e.backend] = Host(e.backend, self.servers[e.backend], e.started_at_us, waiters)
                self.plan.place(e.backend, now)
                self.plan.warmth(e.backend, self.settings.warm_share(e.started_at_us, now))
                if e.started_at_us:
                    self.warming.add(e.backend)
            host = self.hosts[e.backend]
            host.draining_at = (host.draining_at or now) if e.health.value == "Terminating" else 0
        event, out_of_reach = self.reach.told(event, now)
        self.pending_events.append(event)
        for id in out_of_reach:
            self._close(self.plan.doubt(id))

    def _remove(self, id: str) -> None:
        host = self.hosts.pop(id, None)
        if host is not None:
            self.warming.discard(id)
            waiters = host.waiters.leave()
            self._close(self.plan.remove(id))
            for attempt in waiters:
                self.end(attempt, Outcome.MOOT)

    def on_peer_message(self, peer: int, data: bytes) -> None:
        self.enqueue(5, self.pending_events.append, PeerMessage(peer, data))

    def _maintain(self) -> None:
        if not self.alive:
            return
        now = self.events.now
        for id in sorted(self.warming):
            share = self.settings.warm_share(self.hosts[id].started_at, now)
            if share >= 1.0:
                self.warming.discard(id)
            self.plan.warmth(id, share)
        close, ahead = self.plan.tick(now)
        self._close(close)
        for id, number in ahead:
            self._open(self.hosts[id], number, 0)
        self.maintenance_runs += 1
        if self.maintenance_runs % MAINTENANCES_PER_SUBSET_UPDATE == 0:
            event, out_of_reach = self.reach.tick(now)
            if event is not None:
                self.pending_events.append(event)
                for id in out_of_reach:
                    self._close(self.plan.doubt(id))
                self.run_balancer()
        self.events.at(now + MAINTENANCE_US, self._maintain)

    # ------------------------------------------------------------ handover, restore and shutdown

    def take_over(self, old: Node) -> None:
        """Takes over the learned state of the old process, right after the first list."""
        if RESTORED_EVENT is not None:
            self.pending_events.append(RESTORED_EVENT(old.balancer.experience()))
            self.plan.recall(old.plan.learned(), self.events.now)
            self.run_balancer()

    def restore(self, snapshot: Beliefs) -> None:
        """Restores learned state from a snapshot on disk, right after the first list."""
        self.pending_events.append(interface.Recalled(snapshot.experience, soon=False))
        self.plan.recall(snapshot.learned, self.events.now)
        self.run_balancer()

    def shut_down(self) -> None:
        """Starts a graceful shutdown: the process ends when all accepted requests are answered."""
        self.shutting_down = True
        if not self.requests and not self.messages:
            self._ended()

    def _ended(self) -> None:
        if self.alive:
            self.kill()
            if self.on_end is not None:
                self.on_end(self)

    def kill(self) -> None:
        """Ends the process at once; its connections to servers are reset."""
        self.alive = False
        self.messages.clear()
        at = self.events.now + self.delays.server(0, 2)
        for conn in list(self.connections.values()):
            conn.open = False
            if conn.attempt is not None:
                conn.attempt.ended = True
            if not conn.server.unreachable:
                self.events.at(max(at, conn.written_until), conn.server.closed, conn)
        self.connections.clear()
        for r in self.requests.values():
            if r.timer is not None:
                self.events.cancel(r.timer)
