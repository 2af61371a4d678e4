"""A cash server on sockets: HTTP/1.1 before a ``Machine``, with whatever is to go wrong.

It listens once for each node, so that it can tell who has sent what.  A connection carries one request at a
time.  Each whole request goes into the ledger (``Sent``) when its last byte has come, and its fate when it is
known.  Faults are switches, set and mended by the fleet.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

import httptools

from headspar.lab.children import now_us
from headspar.world.plan import Plan, ServerPlan, body_of, read_call_id, receipt_key
from headspar.world.records import Fate, Mark, Sent
from headspar.world.scenario import Scenario
from headspar.world.server import Job, Ledger, Reaction, Server

Address = tuple[str, int]
NOISE = bytes(range(128, 256)) * 4
RESET = struct.pack("ii", 1, 0)


def answer_body(call: int, attempt: int) -> bytes:
    """The body that belongs to a caller's try, and to no other."""
    return f'{{"call":{call},"try":{attempt},"ok":true}}'.encode()


class World:
    """What the servers of a run share: the ledger and its keys, and what only sockets can tell."""

    def __init__(self, scenario: Scenario, plan: Plan) -> None:
        self.scenario, self.plan = scenario, plan
        self.loop = asyncio.get_running_loop()
        self.ledger = Ledger(scenario, plan)
        self.late: list[int] = []
        self.accepted: list[tuple[int, str]] = []  # when a connection was, and by whom
        self.strangers = 0  # requests with an id that no caller made


class Connection(asyncio.Protocol):
    """One connection from a node."""

    __slots__ = (
        "server", "node", "transport", "parser", "url", "call_id", "key", "body", "job", "idle_at",
        "silent", "got", "over", "reset_at",
    )

    def __init__(self, server: CashServer, node: str) -> None:
        self.server, self.node = server, node
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.job: Job | None = None  # the request under way
        self.idle_at = 0
        self.silent = False  # a black hole: nothing is read any more
        self.over = False
        self._next()

    def _next(self) -> None:
        self.url = self.call_id = self.key = b""
        self.body: list[bytes] = []
        self.got = 0
        self.reset_at = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.idle_at = now_us()
        self.server.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.transport = None
        self.parser = None
        self.server.closed(self)

    def data_received(self, data: bytes) -> None:
        if self.silent or self.over:
            return
        if not self.got and self.job is None:
            self.reset_at = self.server.reset_byte()
        self.got += len(data)
        if 0 <= self.reset_at < self.got:
            self.reset()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"x-call-id":
            self.call_id = value
        elif name == b"idempotency-key":
            self.key = value

    def on_body(self, data: bytes) -> None:
        self.body.append(data)

    def on_message_complete(self) -> None:
        self.server.request(self, self.parser.get_method())

    def go_silent(self) -> None:
        if self.transport is not None and not self.silent:
            self.silent = True
            self.transport.pause_reading()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.silent:
            self.transport.write(data)

    def reset(self) -> None:
        """End it so that the node sees a reset."""
        transport, self.transport = self.transport, None
        self.over = True
        if transport is not None:
            sock = transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            transport.abort()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class CashServer:
    """One cash server: its listeners, its connections and its machine, over its deaths and returns."""

    def __init__(self, world: World, plan: ServerPlan, host: str, nodes: list[str]) -> None:
        self.world, self.plan, self.host, self.nodes = world, plan, host, nodes
        self.addresses: dict[str, Address] = {}
        self.sockets: list[socket.socket] = []
        self.listeners: list[asyncio.AbstractServer] = []
        self.connections: set[Connection] = set()
        self.by_job: dict[Job, Connection] = {}
        self.core = Server(world.ledger, plan)
        self.gone = False  # vanished: nothing is heard of it
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.fillers: list[socket.socket] = []
        held = [socket.socket() for _ in nodes]  # a port of its own for each node, kept over restarts
        for node, sock in zip(nodes, held, strict=True):
            sock.bind((host, 0))
            self.addresses[node] = sock.getsockname()
        for sock in held:
            sock.close()

    # ------------------------------------------------------------ its life

    async def start(self, cold: bool) -> None:
        """A new process: cold, if the run is under way."""
        if self.core.machine is None:
            self.core.start(now_us(), cold)
            await self._listen()

    async def _listen(self) -> None:
        for node, address in self.addresses.items():
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(address)
            self.sockets.append(sock)
            await self._accept(node, sock)

    async def _accept(self, node: str, sock: socket.socket) -> None:
        make: Callable[[], Connection] = lambda: Connection(self, node)  # noqa: E731
        self.listeners.append(await self.world.loop.create_server(make, sock=sock.dup(), backlog=512))

    def _deafen(self) -> None:
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()

    def die(self) -> None:
        """The process ends: its connections are reset, new ones refused."""
        self._deafen()
        for sock in [*self.sockets, *self.fillers]:
            sock.close()
        self.sockets.clear()
        self.fillers.clear()
        now = now_us()
        for conn in list(self.connections):
            self._end(conn, Fate.HUNG if self.gone else Fate.DIED, now)
            conn.reset()
        self.connections.clear()
        self.by_job.clear()
        self.core.stop()
        self.gone = False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    async def vanish(self) -> None:
        """Nothing more is heard of it: open connections stay open and silent, new ones never come up.  For
        those the listening queues are made short and filled; what comes then is dropped by the kernel."""
        if self.core.machine is None or self.gone:
            return
        self.gone = True
        self._deafen()
        for sock, address in zip(self.sockets, self.addresses.values(), strict=True):
            sock.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(address)
                self.fillers.append(filler)
        for conn in self.connections:
            conn.go_silent()

    async def come_back(self) -> None:
        """The machine that vanished is heard again: its old connections are reset."""
        machine = self.core.machine
        if not self.gone or machine is None:
            return
        self.die()
        self.core.machine = machine
        machine.advance(now_us())
        for number in list(machine.jobs):
            machine.cancel(now_us(), number)
        await self._listen()

    def drain(self) -> None:
        if self.core.machine is not None:
            self.core.machine.draining = True

    def slow(self, factor: float) -> None:
        if self.core.machine is not None:
            self._advance()
            self.core.machine.slow = factor
            self._arm()

    # ------------------------------------------------------------ connections

    def opened(self, conn: Connection) -> None:
        machine = self.core.machine
        if machine is None or len(self.connections) >= self.plan.connections:
            conn.reset()
            return
        self.connections.add(conn)
        self.world.accepted.append((now_us(), self.plan.id))
        self._advance()
        machine.connected(now_us(), self.plan.connection_cost_us)
        self._arm()

    def closed(self, conn: Connection) -> None:
        self.connections.discard(conn)
        if conn.job is not None:
            self._end(conn, Fate.CALLED_OFF, now_us())

    def _end(self, conn: Connection, fate: Fate, now: int) -> None:
        """The request on a connection ends without an answer."""
        job, conn.job = conn.job, None
        if job is None:
            return
        self.by_job.pop(job, None)
        self._advance()
        self.core.call_off(job, fate, now)
        self._arm()

    def sweep(self, now: int) -> None:
        """End idle connections in this server's way."""
        limit, silent = self.core.idle_limit()
        for conn in list(self.connections):
            if conn.silent:
                self._heard_by_nobody(conn, now)
            elif conn.job is None and not conn.got and now - conn.idle_at >= limit:
                if silent:
                    conn.go_silent()
                else:
                    conn.close()

    def _heard_by_nobody(self, conn: Connection, now: int) -> None:
        """A request that was written to a connection which is dead on this side: marked, once, with its class."""
        if conn.got or conn.transport is None:
            return
        with socket.socket(fileno=os.dup(conn.transport.get_extra_info("socket").fileno())) as sock:
            try:
                data = sock.recv(2048, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except OSError:
                return
        at = data.find(b"X-Call-Id: ")
        found = read_call_id(self.world.plan.salt, data[at + 11:at + 27].decode("latin-1")) if at >= 0 else None
        if found is not None:
            conn.got = len(data)
            spec = self.world.scenario.classes[self.world.plan.calls[found[0]].cls]
            self.world.ledger.marks.append(Mark(now, "stale", self.plan.id, spec.name))

    def reset_byte(self) -> int:
        """After how many bytes the request that begins is to be reset; -1: it is not."""
        return self.core.faults.reset_byte if self.core.request_is_reset() else -1

    # ------------------------------------------------------------ requests

    def request(self, conn: Connection, method: bytes) -> None:
        """The last byte of a request has come."""
        world, machine, now = self.world, self.core.machine, now_us()
        plan = world.plan
        found = read_call_id(plan.salt, conn.call_id.decode("latin-1"))
        if machine is None or found is None or found[0] >= len(plan.calls):
            world.strangers += 1
            conn.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            conn._next()
            return
        index, attempt = found
        call = plan.calls[index]
        spec = world.scenario.classes[call.cls]
        row = Sent(index, attempt, self.plan.id, conn.node, now, 0, Fate.OPEN, call.work_us, False)
        world.ledger.rows.append(row)
        safe = spec.effect == "retryable"
        keyed = receipt_key(plan.salt, index).encode() if spec.effect == "dedup" else b""
        row.key_ok = (
            method == (b"GET" if safe else b"POST") and conn.url == b"/api/" + call.target.encode()
            and conn.key == keyed and b"".join(conn.body) == body_of(index, 0 if safe else spec.body_bytes)
        )
        conn._next()
        if conn.job is not None:
            row.fate, row.ended_at = Fate.DIED, now  # a second request before the first one's answer
            conn.reset()
            return
        job = conn.job = Job(row)
        self._advance()
        reaction = self.core.request(job, now)
        if reaction is Reaction.FELL:
            self.die()
        elif reaction is Reaction.TURNED_AWAY:
            self._answer(conn, Fate.TURNED_AWAY)
        elif reaction is Reaction.WORK:
            self.by_job[job] = conn
            self._arm()

    def _finished(self, conn: Connection) -> None:
        job = conn.job
        if job is None:
            return
        row = job.row
        if conn.silent:
            row.fate, row.ended_at = Fate.HUNG, now_us()  # it has run, and nobody will hear of it
            conn.job = None
            return
        fate = self.core.finish(row)
        if fate is Fate.DIED:
            row.fate = fate
            head = self._whole(row)[:self.core.faults.reset_byte]
            row.ended_at, conn.job = now_us(), None
            if head:
                conn.write(head)
                self.world.loop.call_later(0.001, conn.reset)  # what was written goes out first
            else:
                conn.reset()
        elif fate is Fate.SPOILT:
            self._spoil(conn, row)
        else:
            self._answer(conn, fate)

    @staticmethod
    def _whole(row: Sent) -> bytes:
        body = answer_body(row.call, row.attempt)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def _answer(self, conn: Connection, fate: Fate, more: bytes = b"") -> None:
        """``more``: what does not belong to the answer, in one write with it: a second one could come when the next
        request already waits on the connection, and nobody could tell the two apart."""
        assert conn.job is not None
        row, now = conn.job.row, now_us()
        row.fate, row.ended_at = fate, now
        conn.job, conn.idle_at = None, now
        if fate is Fate.TURNED_AWAY:
            conn.write(b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        elif fate is Fate.ERROR:
            conn.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
        else:
            conn.write(self._whole(row) + more)

    def _spoil(self, conn: Connection, row: Sent) -> None:
        """The request has run; its answer is of no use, or brings more than belongs to it."""
        how, whole = self.core.faults.how, self._whole(row)
        if how == "again":
            self._answer(conn, Fate.DONE if row.effect else Fate.REPEAT, whole)
            return
        row.fate, row.ended_at = Fate.SPOILT, now_us()
        conn.job = None
        head, _, body = whole.partition(b"\r\n\r\n")
        conn.write({
            "noise": NOISE,
            "head": b"HTTP/1.1 200 OK\r\nX-Long: " + b"a" * 2000,
            "length": b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n" + body,
            "endless": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + body * 50,
        }[how])

    # ------------------------------------------------------------ time

    def _advance(self) -> None:
        for job in self.core.advance(now_us()):
            conn = self.by_job.pop(job, None)
            if conn is not None:
                self._finished(conn)

    def _arm(self) -> None:
        due = self.core.next_at()
        if due is None:
            return
        if self.timer is not None:
            if abs(self.timer_at - due) < 200:
                return
            self.timer.cancel()
        self.timer_at = due
        self.timer = self.world.loop.call_later(max(0, due - now_us()) / 1e6, self._due)

    def _due(self) -> None:
        self.timer = None
        self.world.late.append(max(0, now_us() - self.timer_at - 1000))  # the loop's clock counts milliseconds
        self._advance()
        self._arm()

    def load(self) -> tuple[int, int, int]:
        """Slots in use, waiting, connections."""
        held, queued = self.core.machine.load() if self.core.machine is not None else (0, 0)
        return held, queued, len(self.connections)
