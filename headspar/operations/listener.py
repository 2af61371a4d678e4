"""The HTTP listener for operators: one request per connection, answered in the loop iteration that completes it.

At most ``MAX_CONNECTIONS`` connections are open, in descriptors reserved from clients.  A further connection replaces
the oldest without a complete request, so idle connections lock nobody out.  A few connections are accepted per loop
iteration and each is read at once, so that a burst of idle connections does not displace one whose request can be
read.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

import httptools

from headspar.operations.calls import Calls, Reply

MAX_CONNECTIONS = 16  # connections
ACCEPTS_PER_TURN = 4
BACKLOG = 1024
MAX_REQUEST_BYTES = 8 * 1024  # with its body
REQUEST_TIMEOUT_S = 5.0  # for a complete request
CLOSE_TIMEOUT_S = 1.0  # for the peer to close after the response


class OperatorConnection:
    """One connection of an operator."""

    __slots__ = ("owner", "sock", "parser", "url", "size", "answered", "timer")

    def __init__(self, owner: Listener, sock: socket.socket) -> None:
        self.owner, self.sock = owner, sock
        self.parser: Any = httptools.HttpRequestParser(self)
        self.url = b""
        self.size = 0
        self.answered = False
        self.timer = owner.loop.call_later(REQUEST_TIMEOUT_S, self._request_timeout)
        owner.loop.add_reader(sock.fileno(), self.read)

    def read(self) -> None:
        """Reads what has arrived; answers a complete or invalid request."""
        try:
            data = self.sock.recv(MAX_REQUEST_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
        elif not self.answered:  # bytes after the request are dropped
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the request is answered; no other protocol is offered
        except Exception:
            self._respond(Reply(400, {"error": "not a valid HTTP/1.1 request"}))
            return
        if self.size > MAX_REQUEST_BYTES:
            self._respond(Reply(431, {"error": f"request longer than {MAX_REQUEST_BYTES} bytes"}))

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        if not self.answered:
            method = self.parser.get_method().decode("latin-1")
            self._respond(self.owner.calls.answer(method, self.url.decode("latin-1")))

    def _respond(self, reply: Reply) -> None:
        if self.answered:
            return
        self.answered = True
        self.timer.cancel()
        try:
            self.sock.send(reply.encode())  # it always fits an empty socket buffer
            # Half-close and wait for the peer: a close with unread bytes would send a reset, and lose the response.
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.timer = self.owner.loop.call_later(CLOSE_TIMEOUT_S, self.close)

    def _request_timeout(self) -> None:
        self._respond(Reply(408, {"error": "request incomplete"}))

    def close(self) -> None:
        """Closes the connection and removes it from the table and the loop."""
        if self.owner.connections.pop(self, False) is None:
            self.timer.cancel()
            self.owner.loop.remove_reader(self.sock.fileno())
            self.sock.close()


class Listener:
    """Accepts operators' connections on a bound socket; ``max_connections`` limits how many are open."""

    def __init__(self, calls: Calls, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.calls, self.loop, self.sock = calls, loop, sock
        self.connections: dict[OperatorConnection, None] = {}  # oldest first
        self.max_connections = MAX_CONNECTIONS
        sock.listen(BACKLOG)
        loop.add_reader(sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            while len(self.connections) >= self.max_connections:
                oldest = next(iter(self.connections))
                next((c for c in self.connections if not c.answered), oldest).close()
            connection = OperatorConnection(self, sock)
            self.connections[connection] = None
            connection.read()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.loop.remove_reader(self.sock.fileno())
        with contextlib.suppress(OSError):
            self.sock.close()
        for connection in list(self.connections):
            connection.close()
