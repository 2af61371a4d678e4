"""The operators' sockets: one call to a connection, answered in the turn in which it is whole.

At most ``MOST`` connections, in descriptors that clients can't use up.  One more takes the place of the oldest
that has no whole call, so callers that hold a connection keep nobody out.  A few are accepted in a turn and each
is read at once: a burst of callers with nothing to say must not push out one whose call is there to be read.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

import httptools

from headspar.operations.calls import Calls, Reply

MOST = 16
IN_A_TURN = 4
BACKLOG = 1024
MAX_CALL = 8 * 1024  # bytes of a call, its body too
PATIENCE_S = 5.0  # for a whole call
LINGER_S = 1.0  # for the caller's end after the answer


class Caller:
    """One connection of an operator."""

    __slots__ = ("owner", "sock", "parser", "url", "size", "answered", "timer")

    def __init__(self, owner: Listener, sock: socket.socket) -> None:
        self.owner, self.sock = owner, sock
        self.parser: Any = httptools.HttpRequestParser(self)
        self.url = b""
        self.size = 0
        self.answered = False
        self.timer = owner.loop.call_later(PATIENCE_S, self._overdue)
        owner.loop.add_reader(sock.fileno(), self.read)

    def read(self) -> None:
        try:
            data = self.sock.recv(MAX_CALL)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
        elif not self.answered:  # what follows a call is dropped
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the call stands; no other protocol is offered
        except Exception:
            self._put(Reply(400, {"error": "no HTTP/1.1 call"}))
            return
        if self.size > MAX_CALL:
            self._put(Reply(431, {"error": f"a call holds at most {MAX_CALL} bytes"}))

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        if not self.answered:
            method = self.parser.get_method().decode("latin-1")
            self._put(self.owner.calls.answer(method, self.url.decode("latin-1")))

    def _put(self, reply: Reply) -> None:
        if self.answered:
            return
        self.answered = True
        self.timer.cancel()
        try:
            self.sock.send(reply.encode())  # it fits an empty buffer whole
            # Our side ends; the caller's end is waited for, as closing on unread bytes would take the answer along.
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.timer = self.owner.loop.call_later(LINGER_S, self.close)

    def _overdue(self) -> None:
        self._put(Reply(408, {"error": "no whole call came"}))

    def close(self) -> None:
        """End it; the table and the loop forget it."""
        if self.owner.callers.pop(self, False) is None:
            self.timer.cancel()
            self.owner.loop.remove_reader(self.sock.fileno())
            self.sock.close()


class Listener:
    """The operators' listener on a bound socket."""

    def __init__(self, calls: Calls, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.calls, self.loop, self.sock = calls, loop, sock
        self.callers: dict[Caller, None] = {}  # the oldest first
        self.most = MOST
        sock.listen(BACKLOG)
        loop.add_reader(sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(IN_A_TURN):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            while len(self.callers) >= self.most:
                oldest = next(iter(self.callers))
                next((c for c in self.callers if not c.answered), oldest).close()
            caller = Caller(self, sock)
            self.callers[caller] = None
            caller.read()

    def close(self) -> None:
        """Stop listening and end all connections."""
        self.loop.remove_reader(self.sock.fileno())
        with contextlib.suppress(OSError):
            self.sock.close()
        for caller in list(self.callers):
            caller.close()
