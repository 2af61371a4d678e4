"""The pool of connections to backends: the socket side of the connection plan.

It carries out the plan's decisions (use, open, wait, close) and holds the attempts that wait for a connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from headspar.config import Address
from headspar.connections.plan import Answer, Plan, PlanSettings
from headspar.connections.waiters import Waiters
from headspar.interface import Effect, Outcome, Settings
from headspar.node.backend_connection import Connection
from headspar.node.budget import Budget
from headspar.node.clock import now_us
from headspar.node.core import Attempt, Node
from headspar.node.trace import CloseReason, EndReason
from headspar.operator_file import Connections as ConnectionsTable

STREAM_STALL_US = 3_000_000
# subtracted from the drain grace: a node may be delayed between reading its clock and the write
DRAIN_MARGIN_US = 200_000
COLD_WAIT_DIVISOR = 4  # attempts wait for a connection to a cold backend for at most 1/4 of its window


class Host:
    """One backend, by discovery's id: its address, and the attempts that wait for a connection to it."""

    __slots__ = ("id", "address", "name", "started_at", "last_received_at", "waiters", "wake")

    def __init__(self, id: str, address: Address, started_at: int, waiters: Waiters[Attempt]) -> None:
        self.id, self.address, self.started_at = id, address, started_at
        self.name = f"{address[0]}:{address[1]}".encode()
        self.last_received_at = 0  # when a byte was last received from it, us
        self.waiters = waiters
        self.wake: asyncio.TimerHandle | None = None  # for attempts that wait for a connection in quarantine


def plan_settings(file: ConnectionsTable, settings: Settings, most: int) -> PlanSettings:
    """Build the connection plan's settings from the operator's file and the node's settings."""
    return PlanSettings(
        most, settings.idle_close_us, max(1, int(1000 * file.proof_ms)), file.making, file.waiting, file.ahead,
        max(1, int(1000 * file.pace_ms)), max(1, int(1e6 * file.age_s)), file.age_jitter, file.learn_limit, file.trim,
        file.handshakes_per_s, settings.balancers, int(1000 * file.quarantine_ms),
    )


class Backends:
    """All connections to backends, within one budget of descriptors: the socket side of ``connections.Plan``."""

    def __init__(self, node: Node, max_connections: int, budget: Budget, file: ConnectionsTable) -> None:
        self.node, self.max_connections, self.budget = node, max_connections, budget
        self.hosts: dict[str, Host] = {}
        self.at_address: dict[Address, str] = {}  # the backend that listens there
        self.draining: Mapping[str, int] = {}  # by backend: when this node was notified of its drain
        self.in_slow_start: set[Host] = set()  # backends in slow start, which may be cold
        self.connections: dict[int, Connection] = {}  # by the plan's connection numbers
        self.tasks: set[asyncio.Task[None]] = set()
        self.plan = Plan(plan_settings(file, node.settings, max_connections), node.settings.me)
        self.change(node.settings)

    def change(self, settings: Settings) -> None:
        """Apply new settings; the new idle time applies to connections that are already idle."""
        self.connect_timeout = settings.connect_timeout_us / 1e6
        self.repeatable = {c.name for c in settings.classes if c.effect is Effect.RETRYABLE}
        self.plan.change(settings.idle_close_us, settings.balancers)

    def add_or_update(self, id: str, address: Address, started_at: int) -> str | None:
        """Add a backend, or replace it after a restart or a change of address.

        Return the id of a backend that is gone though it is listed, because another one listens at its address: the
        one of the two that has started earlier.
        """
        other = self.at_address.get(address, id)
        other_started_at = self.hosts[other].started_at if other != id else started_at
        if other_started_at > started_at:
            self.remove(id)
            return id
        if other_started_at < started_at:
            self.remove(other)
            self._place(id, address, started_at)
            return other
        self._place(id, address, started_at)
        return None

    def _place(self, id: str, address: Address, started_at: int) -> None:
        host = self.hosts.get(id)
        if host is None or host.address != address or started_at > host.started_at:
            self.remove(id)
            host = self.hosts[id] = Host(
                id, address, started_at, Waiters(id, self.plan, self._may_write, self._never_sent)
            )
            self.plan.place(id, now_us())
            self.plan.warmth(id, self.node.settings.warm_share(started_at, now_us()))
            if started_at:
                self.in_slow_start.add(host)
            self.at_address.setdefault(address, id)

    def remove(self, id: str) -> None:
        """Remove a backend; attempts that wait for a connection to it may go elsewhere."""
        host = self.hosts.pop(id, None)
        if host is not None:
            if self.at_address.get(host.address) == id:
                del self.at_address[host.address]
            waiters = host.waiters.leave()
            self._close(self.plan.remove(id))
            for attempt in waiters:  # their backend is gone or has a new address
                self._never_written(attempt, EndReason.BACKEND_REMOVED)

    def _close(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            conn = self.connections.get(number)
            if conn is not None:
                conn.close(CloseReason.RETIRED)

    def trace_close(self, conn: Connection, reason: CloseReason) -> None:
        """Write a trace line for a connection that has ended."""
        if self.node.trace is not None:
            self.node.trace.write(
                "closed", backend=conn.host.id, connection=conn.number, use=conn.uses, reason=reason
            )

    def _never_written(self, attempt: Attempt, reason: EndReason) -> None:
        """End an attempt that was not written and may go elsewhere at once."""
        attempt.reason = reason
        self.node.end(attempt, Outcome.MOOT)

    def start(self, attempt: Attempt) -> None:
        host = self.hosts.get(attempt.backend)
        if host is None:
            self._never_written(attempt, EndReason.UNKNOWN_BACKEND)
            return
        self._take(host, attempt, now_us())

    def _may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be written; called right before the write. The attempt may have waited
        for a connection since it was decided, and the client's disconnect may not have been read yet."""
        attempt.reason = self._reason_not_to_write(attempt)
        return attempt.reason is None

    def _reason_not_to_write(self, attempt: Attempt) -> EndReason | None:
        r, now = attempt.request, now_us()
        if not r.live or now >= r.deadline or 0 < attempt.start_by <= now:
            return EndReason.TOO_LATE
        grace = self.node.settings.drain_grace_us
        since = self.draining.get(attempt.backend)
        if since is not None and now - since >= grace - min(DRAIN_MARGIN_US, grace // 2):
            return EndReason.DRAINING
        host = self.hosts.get(attempt.backend)
        if host in self.in_slow_start and now - attempt.sent_at > self.node.settings.fall_us // COLD_WAIT_DIVISOR:
            return EndReason.WAITED_FOR_COLD  # attempts that waited for one late connection would arrive as one burst
        if r.client is not None and not r.client.is_connected():
            r.client.disconnected()
            return EndReason.CLIENT_GONE
        if r.client is not None and r.client.close_may_be_hidden():
            return EndReason.CLOSE_HIDDEN
        return None

    def _take(self, host: Host, attempt: Attempt, now: int) -> None:
        if not self._may_write(attempt):
            self.node.end(attempt, Outcome.MOOT)
            return
        proven_only = attempt.request.proven_only
        while True:
            decision = self.plan.take(host.id, now, proof=proven_only)
            if decision.close:
                self._close(decision.close)
            if decision.answer is Answer.USE:
                conn = self.connections[decision.connection]
                if conn.usable():
                    conn.send(attempt, now)
                    return
                self.lost(conn, True)
                conn.close(CloseReason.FOUND_UNUSABLE)
                continue
            break
        if decision.answer is Answer.CANNOT:
            self._never_written(attempt, EndReason.NO_CONNECTION)
            return
        host.waiters.line.append(attempt)
        if decision.answer is Answer.OPEN:
            self._open(host, decision.connection)
        else:
            self._wake_later(host, now)

    # ------------------------------------------------------------ opening connections

    def _open(self, host: Host, number: int) -> None:
        conn = Connection(self, host, number)
        self.connections[number] = conn
        host.waiters.making += 1
        task = self.node.loop.create_task(self._connect(conn))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, conn: Connection) -> None:
        host = conn.host
        self.node.ledger.connections += 1
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.node.loop.create_connection(lambda: conn, *host.address)
        except Exception as error:
            if not isinstance(error, OSError):
                self.node.error("connect", error)
            self._connect_failed(conn)
        host.waiters.making -= 1
        if not conn.closed and not conn.usable():
            self._connect_failed(conn)  # accepted and reset at once: detected before a request was written
        if conn.closed:
            attempt = host.waiters.next()
            if attempt is not None:
                attempt.reason = EndReason.CONNECT_FAILED
                self.node.end(attempt, Outcome.CONNECT_FAILED)
        else:
            conn.unsent = False
            attempt = host.waiters.next()
            wanted = self.plan.opened(conn.number, now_us(), taken=attempt is not None)
            if attempt is not None:
                conn.send(attempt, now_us())
            elif not wanted:
                conn.close(CloseReason.NOT_WANTED)
        host.waiters.wait_no_longer(now_us(), int(1e6 * self.connect_timeout))
        if host.waiters.line:
            self._wake_later(host, now_us())

    def _connect_failed(self, conn: Connection) -> None:
        if not conn.closed:
            conn.closed = True
            self.trace_close(conn, CloseReason.NOT_ESTABLISHED)
            self.connections.pop(conn.number, None)
            self.plan.failed(conn.number, now_us())
            if conn.transport is not None:
                conn.transport.abort()

    def _never_sent(self, attempt: Attempt) -> None:
        self._never_written(attempt, attempt.reason or EndReason.NO_CONNECTION)

    def put_back(self, conn: Connection) -> None:
        """Return a connection to the pool after a complete and well-formed answer."""
        now = now_us()
        if not self.plan.answered(conn.number, now, keep=True):
            conn.close(CloseReason.NOT_KEPT)
        elif conn.host.waiters.line and self.plan.settings.quarantine_us:
            self._wake_later(conn.host, now)
        elif conn.host.waiters.line and self.hosts.get(conn.host.id) is conn.host:
            attempt = conn.host.waiters.next()
            if attempt is not None:
                self._take(conn.host, attempt, now)

    def _wake_later(self, host: Host, now: int) -> None:
        """Serve the waiting attempts again when the next connection ends its quarantine."""
        if host.wake is None and self.hosts.get(host.id) is host:
            at = self.plan.next_usable_at(host.id, now)
            if at is not None:
                host.wake = self.node.loop.call_later(max(0, at - now) / 1e6, self._serve_waiting, host)

    def _serve_waiting(self, host: Host) -> None:
        host.wake = None
        if self.hosts.get(host.id) is host:
            for attempt in host.waiters.take_all():
                self._take(host, attempt, now_us())

    def stray_bytes(self, gap_us: int) -> None:
        """Bytes have come that belong to no request, ``gap_us`` after the last answer on their connection."""
        self._close(self.plan.stray_bytes(gap_us, now_us()))

    def lost(self, conn: Connection, by_server: bool, silent: bool = False) -> None:
        self.connections.pop(conn.number, None)
        self.plan.ended(conn.number, now_us(), by_server=by_server, silent=silent)

    def busy(self) -> int:
        """Return the number of connections that carry an attempt or are being opened."""
        return len(self.connections) - len(self.plan.idle)

    def limit(self, max_connections: int) -> None:
        """Set the maximum number of connections; idle ones beyond it are closed."""
        self.max_connections = max_connections
        self._close(self.plan.limit(max_connections))

    def close_unreachable(self, ids: list[str]) -> None:
        """Stop using backends that have become unreachable, and close their idle connections."""
        for id in ids:
            self._close(self.plan.doubt(id))

    def distrust_idle(self, attempt: Attempt) -> None:
        host = self.hosts.get(attempt.backend)
        if host is not None and host.last_received_at < attempt.sent_at:
            self._close(self.plan.doubt(host.id))

    def maintain(self, now: int) -> None:
        """Close and open connections ahead of demand as the plan says; called a few times a second."""
        for host in list(self.in_slow_start):
            share = self.node.settings.warm_share(host.started_at, now)
            if share >= 1.0 or self.hosts.get(host.id) is not host:
                self.in_slow_start.discard(host)
            if self.hosts.get(host.id) is host:
                self.plan.warmth(host.id, share)
        close, ahead = self.plan.tick(now)
        self._close(close)
        for id, number in ahead:
            self._open(self.hosts[id], number)

    def sweep(self, now: int) -> None:
        """End streamed answers that have stalled, or trickle without an end."""
        for conn in list(self.connections.values()):
            attempt = conn.attempt
            if attempt is not None and conn.streaming and not conn.reading_paused and not conn.resting:
                if now - conn.last_received_at > STREAM_STALL_US or conn.trickles(now):
                    attempt.reason = EndReason.STREAM_STALLED
                    self.node.end(attempt, Outcome.TIMEOUT)
