"""Drives the real protocol objects of the client side one call at a time; the stub loop runs nothing by itself."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any, cast

from headspar.node.budget import Budget
from headspar.node.client_connections import ClientConnections
from headspar.node.clients import Client
from headspar.node.core import Node, Request
from headspar.node.paced_input import InputTurns
from headspar.operations.lifecycle import Cause, Lifecycle
from tests.helpers import settings

Call = tuple[Callable[..., None], tuple[Any, ...]]


class Loop:
    """Stub of the event loop: queues callbacks until ``run``."""

    def __init__(self) -> None:
        self.soon: list[Call] = []

    def call_soon(self, call: Callable[..., None], *arguments: Any) -> None:
        self.soon.append((call, arguments))

    def call_later(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> SimpleNamespace:
        """Return a timer that never fires."""
        return SimpleNamespace(cancel=lambda: None)

    def run(self) -> None:
        while self.soon:
            call, arguments = self.soon.pop(0)
            call(*arguments)


class Transport:
    """Stub of a transport on a socket pair: records what is written; ``unsent`` is the size of its write buffer."""

    def __init__(self) -> None:
        self.here, self.there = socket.socketpair()
        self.written = b""
        self.unsent = 0
        self.closed = self.aborted = self.ended = self.paused = False

    def get_extra_info(self, name: str) -> socket.socket:
        return self.here

    def set_write_buffer_limits(self, high: int) -> None:
        """No buffer to limit."""

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def write(self, data: bytes) -> None:
        self.written += data

    def writelines(self, parts: Iterable[bytes]) -> None:
        self.written += b"".join(parts)

    def write_eof(self) -> None:
        self.ended = True

    def is_closing(self) -> bool:
        return self.closed or self.aborted

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.aborted = True

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def statuses(self) -> list[int]:
        return [int(part[:3]) for part in self.written.split(b"HTTP/1.1 ")[1:]]


class StubNode:
    """Stub of the node as the client side uses it; ``taken`` are the requests that reached it."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.input_turns = InputTurns(cast(Any, self.loop))
        self.settings = settings()
        self.lifecycle = Lifecycle()
        self.lifecycle.move(Cause.STARTED)
        self.taken: list[Request] = []
        self.abandoned: list[Request] = []
        self.shortened: list[tuple[Request, int]] = []
        self.now = 1_000_000
        self.retry_us = 0
        self.trace = None

    def arrival_time(self) -> int:
        return self.now

    def stalled_since(self) -> int:
        return 0

    def retry_after(self) -> int:
        return self.retry_us

    def arrived(self, request: Request) -> None:
        self.taken.append(request)

    def client_gone(self, request: Request) -> None:
        self.abandoned.append(request)

    def shorten_deadline(self, request: Request, deadline: int) -> None:
        self.shortened.append((request, deadline))

    def count_rejected(self, request: Request) -> None:
        """Not counted by the stub."""

    def log(self, text: str) -> None:
        """Discarded by the stub."""

    def error(self, where: str, error: BaseException) -> None:
        raise error

    def ids(self) -> list[bytes]:
        return [request.call_id for request in self.taken]


def request(call_id: str, budget: str = "900m") -> bytes:
    """A complete request of a class that is safe to repeat."""
    return (f"GET /api/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: {call_id}\r\nX-Call-Class: look\r\n"
            f"X-Budget: {budget}\r\n\r\n").encode()


class Side:
    """A ``ClientConnections`` on a stub node, and its clients."""

    def __init__(self, max_clients: int = 100, spare: int = 10, memory: int = 1 << 20) -> None:
        self.node = StubNode()
        self.server = ClientConnections(cast(Node, self.node), max_clients, spare, Budget(memory))
        self.transports: list[Transport] = []

    def client(self) -> tuple[Client, Transport]:
        client, transport = Client(self.server), Transport()
        self.transports.append(transport)
        client.connection_made(cast(Any, transport))
        return client, transport

    def answer(self, client: Client) -> None:
        """Answer the request that is being served."""
        assert client.current is not None
        client.serve([b"ok"], b"")


@contextmanager
def side(**limits: int) -> Iterator[Side]:
    made = Side(**limits)
    try:
        yield made
    finally:
        for transport in made.transports:
            transport.here.close()
            transport.there.close()


SOURCE = cast(Any, SimpleNamespace(pause_reading=lambda: None, resume_reading=lambda: None))
