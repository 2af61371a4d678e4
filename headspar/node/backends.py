"""Kept connections to backends: one attempt at a time on each, and what became of it.

The outcomes are those of PROTOCOL's table and tell the module exactly what is known.  Nothing is ever sent
a second time here: an attempt is written once, to one connection.
"""

from __future__ import annotations

import asyncio
import select
from typing import Any, cast

import httptools

from headspar.config import Address
from headspar.interface import Outcome
from headspar.node.core import Attempt, Node, now_us

WHOLE = 64 * 1024  # answers up to this size are held whole, so that a broken one can be tried again
MAX_BODY = 32 * 1024 * 1024
MAX_HEAD = 64 * 1024
KEEP_SHARE = 0.8
STREAM_STALL_US = 3_000_000


class Budget:
    """Bytes of bodies that the whole process may hold."""

    __slots__ = ("left",)

    def __init__(self, size: int) -> None:
        self.left = size

    def take(self, size: int) -> bool:
        if size > self.left:
            return False
        self.left -= size
        return True

    def give_back(self, size: int) -> None:
        self.left += size


class Host:
    """One backend, by discovery's id: where it listens and its connections."""

    __slots__ = ("id", "address", "name", "started_at", "idle", "heard_at")

    def __init__(self, id: str, address: Address, started_at: int) -> None:
        self.id, self.address, self.started_at = id, address, started_at
        self.name = f"{address[0]}:{address[1]}".encode()
        self.idle: list[Connection] = []
        self.heard_at = 0  # when a byte last came from it


class Connection(asyncio.Protocol):
    """A connection to a backend, from its first attempt to its end."""

    __slots__ = (
        "pool", "host", "transport", "poller", "attempt", "unsent", "idle_at", "heard_at", "closed", "parser",
        "status", "rejected", "framed", "length", "report", "content_type", "body", "size", "head_size",
        "in_body", "complete", "keep", "surplus", "streaming", "paused",
    )

    def __init__(self, pool: Backends, host: Host, attempt: Attempt) -> None:
        self.pool, self.host = pool, host
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.unsent = True
        self.closed = False
        self.idle_at = self.heard_at = 0
        self.paused = False
        self.parser: Any = httptools.HttpResponseParser(self)
        self._reset()

    def _reset(self) -> None:
        self.status = self.size = self.head_size = 0
        self.length = -1
        self.rejected = self.framed = self.in_body = False
        self.complete = self.keep = self.surplus = self.streaming = False
        self.report: dict[str, float] | None = None
        self.content_type = b""
        self.body: list[bytes] = []

    # ------------------------------------------------------------ its life

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.poller = select.poll()
        self.poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def usable(self) -> bool:
        return not self.closed and not self.poller.poll(0)

    def send(self, attempt: Attempt, now: int) -> None:
        transport, r = self.transport, attempt.request
        assert transport is not None
        self.attempt, attempt.conn = attempt, self
        self.heard_at = now
        self.unsent = True
        head = b"".join((
            r.head, self.host.name, b"\r\nX-Call-Id: ", r.call_id,
            b"\r\nX-Budget: %du\r\n" % max(1, r.deadline - now), r.extra, b"\r\n",
        ))
        if r.body:
            transport.writelines([head, *r.body])
        else:
            transport.write(head)
        self.unsent = transport.get_write_buffer_size() > 0 or transport.is_closing()

    def resume_writing(self) -> None:
        self.unsent = False

    def release(self) -> None:
        """The attempt has ended: keep the connection if its answer was whole and in order, else close it."""
        self.attempt = None
        transport = self.transport
        if transport is None:
            return  # still being made; it is kept for the next attempt
        if not self.closed:
            if self.complete and not self.unsent and not self.surplus and self.keep:
                self._reset()
                self.pool.keep(self)
            else:
                self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.pool.lost(self)
            if self.transport is not None:
                self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.pool.lost(self)
        attempt = self.attempt
        if attempt is None:
            self.parser = None
            return
        if self.in_body and not self.framed and exc is None and self.status == 200:
            self._finish(Outcome.OK)  # an answer with no length ends with its connection
        elif self.in_body and self.status != 200:
            self._finish(self._verdict())
        elif self.unsent:
            self._finish(Outcome.CONNECT_FAILED)
        else:
            self._finish(Outcome.RESET)
        self.parser = None

    # ------------------------------------------------------------ the answer

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            self.close()  # nothing was asked: an answer to nobody must not meet the next request
            return
        now = now_us()
        self.heard_at = self.host.heard_at = now
        if not self.in_body:
            self.head_size += len(data)
        try:
            self.parser.feed_data(data)
        except Exception as error:
            if not self.complete:
                if not isinstance(error, httptools.HttpParserError | httptools.HttpParserUpgrade):
                    self.pool.node.error("backend", error)
                self._finish(Outcome.RESET)
                return
            self.surplus = True
        if self.attempt is not attempt:
            return  # ended by what it held
        if self.complete:
            self._finish(self._verdict())
        elif not self.in_body and self.head_size > MAX_HEAD or self.size > MAX_BODY:
            self._finish(Outcome.RESET)

    def _verdict(self) -> Outcome:
        if self.status == 200:
            return Outcome.OK
        if self.status in (503, 504) and self.rejected:
            return Outcome.FULL
        return Outcome.ERROR

    def _finish(self, outcome: Outcome) -> None:
        attempt = self.attempt
        if attempt is not None:
            body = b"".join(self.body)
            self.pool.node.end(attempt, outcome, body, self.content_type, self.report)

    def on_message_begin(self) -> None:
        if self.complete:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        name, value = name.lower(), value.strip()
        if name == b"content-length":
            self.framed = True
            self.length = int(value)
        elif name == b"transfer-encoding":
            self.framed = True
        elif name == b"content-type":
            self.content_type = value
        elif name == b"x-rejected":
            self.rejected = value == b"1"
        elif name == b"x-load-report":
            self.report = read_report(value, self.pool.node.settings.report_fields)

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        status = self.parser.get_status_code()
        if status < 200:
            return
        self.status, self.in_body = status, True
        if status == 200 and self.length > MAX_BODY:
            self.size = self.length

    def on_body(self, data: bytes) -> None:
        if self.complete or self.status != 200:
            return
        self.size += len(data)
        if self.streaming:
            self._pass_on(data)
            return
        self.body.append(data)
        if self.length > WHOLE or self.size > WHOLE:
            attempt = self.attempt
            client = attempt.request.client if attempt is not None else None
            if attempt is None or self.size > MAX_BODY:
                return
            if client is None or not self.pool.node.stream_started(attempt):
                self.body.clear()  # nobody waits for it any more; the module calls it off
                return
            self.streaming = True
            client.stream_begin(self, self.length, self.content_type)
            held, self.body = self.body, []
            for part in held:
                self._pass_on(part)

    def _pass_on(self, data: bytes) -> None:
        client = self.attempt.request.client if self.attempt is not None else None
        if client is not None:
            client.stream_write(data)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.status:
            self.complete = True
            self.keep = self.parser.should_keep_alive()  # once this callback is over it is always False
        else:
            self._reset()

    # ------------------------------------------------------------ back-pressure

    def hold(self) -> None:
        """The client reads slowly: so do we."""
        if self.transport is not None and not self.closed:
            self.paused = True
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.transport is not None and not self.closed and self.paused:
            self.paused = False
            self.heard_at = now_us()
            self.transport.resume_reading()


def read_report(value: bytes, fields: tuple[str, ...]) -> dict[str, float] | None:
    """A load report's named fields; what cannot be read is left out."""
    report = {}
    for pair in value.decode("latin-1").split(","):
        name, _, figure = pair.strip().partition("=")
        if name in fields:
            try:
                report[name] = float(figure)
            except ValueError:
                continue
    return report or None


class Backends:
    """All connections to backends, within one budget of descriptors."""

    def __init__(self, node: Node, most: int, budget: Budget) -> None:
        self.node, self.most, self.budget = node, most, budget
        self.hosts: dict[str, Host] = {}
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.connect_timeout = node.settings.connect_timeout_us / 1e6
        self.keep_us = int(KEEP_SHARE * node.settings.idle_close_us)

    def place(self, id: str, address: Address, started_at: int) -> None:
        host = self.hosts.get(id)
        if host is None or host.address != address or started_at > host.started_at:
            self.remove(id)
            self.hosts[id] = Host(id, address, started_at)

    def remove(self, id: str) -> None:
        host = self.hosts.pop(id, None)
        if host is not None:
            self._drop_idle(host)

    def _drop_idle(self, host: Host) -> None:
        for conn in host.idle[:]:
            conn.close()

    def start(self, attempt: Attempt) -> None:
        host = self.hosts.get(attempt.backend)
        if host is None:
            self.node.end(attempt, Outcome.MOOT)
            return
        now = now_us()
        while host.idle:
            conn = host.idle.pop()
            if conn.usable():
                conn.send(attempt, now)
                return
            conn.close()
        if len(self.connections) >= self.most and not self._close_oldest():
            self.node.end(attempt, Outcome.MOOT)
            return
        conn = Connection(self, host, attempt)
        attempt.conn = conn
        self.connections.add(conn)
        task = self.node.loop.create_task(self._connect(conn))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, conn: Connection) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.node.loop.create_connection(lambda: conn, *conn.host.address)
        except OSError:
            self._connect_failed(conn)
            return
        except Exception as error:
            self.node.error("connect", error)
            self._connect_failed(conn)
            return
        attempt = conn.attempt
        if conn.closed:
            return
        if attempt is None:
            conn.complete, conn.unsent = True, False
            conn._reset()
            self.keep(conn)
        elif not attempt.request.live:
            self.node.end(attempt, Outcome.MOOT)
        else:
            conn.send(attempt, now_us())

    def _connect_failed(self, conn: Connection) -> None:
        conn.closed = True
        self.connections.discard(conn)
        if conn.attempt is not None:
            self.node.end(conn.attempt, Outcome.CONNECT_FAILED)

    def keep(self, conn: Connection) -> None:
        if self.hosts.get(conn.host.id) is not conn.host:
            conn.close()
            return
        conn.idle_at = now_us()
        conn.host.idle.append(conn)

    def lost(self, conn: Connection) -> None:
        self.connections.discard(conn)
        if conn in conn.host.idle:
            conn.host.idle.remove(conn)

    def _close_oldest(self) -> bool:
        idle = [host.idle[0] for host in self.hosts.values() if host.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda c: c.idle_at)
        oldest.close()
        return True

    def doubt(self, attempt: Attempt) -> None:
        host = self.hosts.get(attempt.backend)
        if host is not None and host.heard_at < attempt.sent_at:
            self._drop_idle(host)

    def sweep(self, now: int) -> None:
        for host in self.hosts.values():
            while host.idle and now - host.idle[0].idle_at > self.keep_us:
                host.idle[0].close()
        for conn in list(self.connections):
            attempt = conn.attempt
            if attempt is not None and conn.streaming and not conn.paused:
                if now - conn.heard_at > STREAM_STALL_US:
                    self.node.end(attempt, Outcome.TIMEOUT)
