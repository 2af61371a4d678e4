"""An attempt that ends as never run: no byte of its request goes out from then on."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator
from typing import Any, cast

import pytest
import uvloop

from headspar.decide import NEVER_RAN
from headspar.interface import Outcome
from headspar.node.backend_connection import Connection
from headspar.node.clock import now_us
from headspar.node.core import Attempt, Request
from headspar.node.trace import CloseReason
from tests.connections.test_socket_side import Core, core, until
from tests.loopback import answer, free_address, rest

BODY_BYTES = 8_000_000  # more than the buffers of both sockets hold
RECEIVE_BUFFER_BYTES = 32 * 1024  # of the server's socket: small, so that the rest shrinks in small steps
SEND_BUFFER_BYTES = 200_000  # of the node's socket
MOST_LEFT_BYTES = 150_000  # such a socket takes them in one write when its buffer is empty
REJECTION = answer(503, b"", X_Rejected="1")
EARLY_BYTES = {
    "interim answer": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "two interim answers": b"HTTP/1.1 100 Continue\r\n\r\n" * 2,
    "half an interim answer": b"HTTP/1.1 103 Ear",
    "another's answer": answer(200, b"another's"),
    "another's rejection": REJECTION,
    "half a line": b"HTTP/1.1 5",
    "noise": b"\0\xff\r\n\r\n",
}


class Server:
    """One accepted connection, read by the test itself: nothing is read while the test does not say so."""

    def __init__(self, listener: socket.socket) -> None:
        listener.settimeout(10.0)
        self.sock, _ = listener.accept()
        self.sock.setblocking(False)
        self.received = 0

    def read(self, most: int) -> int:
        """Read what has arrived, up to ``most`` bytes; return their number."""
        size = 0
        with contextlib.suppress(OSError):
            while size < most and (data := self.sock.recv(min(1 << 20, most - size))):
                size += len(data)
        self.received += size
        return size

    async def read_until_quiet(self) -> None:
        """Read until nothing has come for a while; the event loop runs meanwhile."""
        quiet = 0
        while quiet < 30:
            quiet = 0 if self.read(BODY_BYTES) else quiet + 1
            await asyncio.sleep(0.002)


def limit_send_buffer(connection: Connection) -> None:
    assert connection.transport is not None
    number = connection.transport.get_extra_info("socket").fileno()
    with socket.socket(fileno=os.dup(number)) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def start(c: Core, body: bytes, start_by: int = 0) -> Attempt:
    request = Request(cast(Any, None))
    request.head, request.call_id, request.cls, request.live = b"POST / HTTP/1.1\r\nHost: ", b"x", "crew", True
    request.deadline = now_us() + 60_000_000
    request.extra = b"Content-Length: %d\r\n" % len(body)
    request.body = [body] if body else []
    attempt = Attempt(request, 0, "s", now_us(), start_by)
    c.backends.start(attempt)
    return attempt


@contextlib.asynccontextmanager
async def last_bytes_unsent(
    kept: bool, start_by: int = 0
) -> AsyncIterator[tuple[Core, Server, Attempt, Connection]]:
    """A request of which the node holds the last bytes, on a socket that can take them in the next iteration.

    The server's last read comes without a run of the event loop, so that what the test does next meets a socket that
    is writable.
    """
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(free_address())
        listener.listen()
        async with core() as c:
            c.backends.add_or_update("s", listener.getsockname(), 0)
            attempt = start(c, b"" if kept else bytes(BODY_BYTES), 0 if kept else start_by)
            await until(lambda: c.backends.connections and attempt.conn)
            server = Server(listener)
            assert attempt.conn is not None
            limit_send_buffer(attempt.conn)
            if kept:
                await until(lambda: server.read(1 << 20))
                server.sock.send(answer())
                await until(lambda: attempt.ended)
                rest()
                c.ends.clear()
                server.received = 0
                attempt = start(c, bytes(BODY_BYTES), start_by)
            connection = attempt.conn
            assert connection is not None and connection.transport is not None and connection.uses == 1 + kept
            while connection.transport.get_write_buffer_size() > MOST_LEFT_BYTES:
                server.read(RECEIVE_BUFFER_BYTES)
                await asyncio.sleep(0)
            assert connection.unsent
            while server.read(BODY_BYTES):
                pass
            yield c, server, attempt, connection
            server.sock.close()


async def assert_no_last_byte(c: Core, server: Server, attempt: Attempt) -> None:
    await until(lambda: attempt.ended)
    await server.read_until_quiet()
    [outcome] = c.outcomes()
    assert outcome in NEVER_RAN
    assert server.received < BODY_BYTES, "the request went out whole behind an end that says it never ran"


@pytest.mark.parametrize("early", EARLY_BYTES)
def test_bytes_before_the_last_one_is_sent_do_not_let_it_follow_on_a_kept_connection(early: str) -> None:
    """Guards against an unsafe request that runs at two servers: it was sent again, and its last bytes went out."""
    async def scenario() -> None:
        async with last_bytes_unsent(kept=True) as (c, server, attempt, _):
            server.sock.send(EARLY_BYTES[early])
            await assert_no_last_byte(c, server, attempt)

    uvloop.run(scenario())


@pytest.mark.parametrize("kept", [False, True])
def test_a_request_rejected_before_its_last_byte_is_not_sent_to_its_end(kept: bool) -> None:
    async def scenario() -> None:
        async with last_bytes_unsent(kept) as (c, server, attempt, _):
            server.sock.send(REJECTION)
            await assert_no_last_byte(c, server, attempt)

    uvloop.run(scenario())


@pytest.mark.parametrize("kept", [False, True])
def test_a_write_that_is_given_up_does_not_go_on(kept: bool) -> None:
    """Guards against a repeat that runs again: the loop writes to its sockets before it closes them."""
    async def scenario() -> None:
        async with last_bytes_unsent(kept, start_by=now_us() + 60_000_000) as (c, server, attempt, connection):
            connection._write_timed_out(attempt)
            await assert_no_last_byte(c, server, attempt)
            assert c.outcomes() == [Outcome.MOOT]

    uvloop.run(scenario())


@pytest.mark.parametrize("reason", CloseReason)
def test_no_close_of_a_connection_lets_the_rest_of_its_request_out(reason: CloseReason) -> None:
    async def scenario() -> None:
        async with last_bytes_unsent(kept=True) as (c, server, attempt, connection):
            connection.close(reason)
            await assert_no_last_byte(c, server, attempt)

    uvloop.run(scenario())


def test_a_request_that_goes_out_whole_before_its_connection_ends_may_have_run() -> None:
    """The server closes its side and still reads: the last byte arrives, so the attempt may have run."""
    async def scenario() -> None:
        async with last_bytes_unsent(kept=True) as (c, server, attempt, _):
            server.sock.shutdown(socket.SHUT_WR)
            await server.read_until_quiet()
            await until(lambda: attempt.ended)
            assert server.received > BODY_BYTES and c.outcomes() == [Outcome.RESET]

    uvloop.run(scenario())
