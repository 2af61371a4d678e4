"""Client connections of a node: limits, drains, and clients that stall or disconnect."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import islice
from typing import TYPE_CHECKING

from headspar.node.budget import Budget
from headspar.node.clock import now_us
from headspar.node.core import Node
from headspar.node.request_validation import Intake
from headspar.operations.lifecycle import State

if TYPE_CHECKING:
    from headspar.node.clients import Client

DRAIN_IDLE_US = 1_000_000  # a draining node closes connections that have been idle for this long
DRAIN_CHECK_S = 0.05  # interval at which a draining node looks for idle connections
MAX_SLOW_EXAMINED = 50  # slow connections examined to make room for a new one
MAX_IDLE_EXAMINED = 16  # idle connections examined to make room for a new one
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class ClientConnections:
    """All client connections of a node, within one budget of descriptors."""

    def __init__(self, node: Node, max_clients: int, spare_descriptors: int, budget: Budget) -> None:
        self.node, self.max_clients, self.spare_descriptors, self.budget = (
            node, max_clients, spare_descriptors, budget
        )
        self.clients: dict[Client, None] = {}
        self.idle: dict[Client, int] = {}  # connections between requests, and since when; the longest idle first
        self.slow: dict[Client, None] = {}
        # connections that receive a streamed answer; their input is not read meanwhile
        self.streaming: dict[Client, None] = {}
        self.ticks = 0
        self.drain_timer: asyncio.TimerHandle | None = None  # runs while the node drains
        self.intake = Intake(node.settings)
        self.on_idle: Callable[[], None] = lambda: None  # called when a client becomes idle during a hand-over

    def opened(self, client: Client) -> None:
        self.clients[client] = None
        self.idle[client] = now_us()
        if len(self.clients) <= self.max_clients:
            return
        now = now_us()
        slow = next((c for c in islice(self.slow, MAX_SLOW_EXAMINED) if not c.current and c.is_slow(now)), None)
        if slow is not None:
            self.drop_slow(slow)
            return
        idle = next(
            (c for c in islice(self.idle, MAX_IDLE_EXAMINED) if c is not client and not c.has_unread_input()), None
        )
        if idle is not None:
            self.drop_idle(idle)
            return
        client.over_limit = True
        if len(self.clients) > self.max_clients + self.spare_descriptors:
            self._abort_one(client)

    def _abort_one(self, newcomer: Client) -> None:
        """Descriptors are exhausted: abort a connection that is owed no answer, or else the new one, unread."""
        victim = next((c for c in self.clients if c.finished() and c is not newcomer), newcomer)
        if victim.transport is not None:
            victim.transport.abort()

    def drop_idle(self, client: Client) -> None:
        """Close a connection between two requests, once its pending output has been sent."""
        self.idle.pop(client, None)
        client.closing = client.ignoring_input = True
        if client.transport is not None:
            client.transport.close()

    def drop_slow(self, client: Client) -> None:
        client.closing = client.ignoring_input = True
        self.slow.pop(client, None)
        if client.transport is not None:
            client.transport.write(REQUEST_TIMEOUT_RESPONSE)
            client.transport.close()

    def closed(self, client: Client) -> None:
        if self.node.trace is not None:
            self.node.trace.write("client_closed", state=client.state())
        self.clients.pop(client, None)
        self.idle.pop(client, None)
        self.streaming.pop(client, None)

    def check_clients(self, now: int) -> None:
        """Called a few times a second: reject requests that have stopped arriving, and end streamed answers whose
        client has disconnected."""
        for client in [c for c in self.slow if c.input_timed_out(now)]:
            client.reject_incomplete()
        for client in [c for c in self.streaming if not c.is_connected()]:
            if client.transport is not None:
                client.transport.abort()

    def sweep(self) -> None:
        """Called once a second: end stalled connections."""
        self.ticks += 1
        if len(self.clients) >= self.max_clients:
            states = [c.state() for c in self.clients]
            self.node.log(
                f"clients: {len(states)} connections at the limit of {self.max_clients}: "
                + ", ".join(f"{states.count(s)} {s}" for s in sorted(set(states)))
            )
        for client in list(self.clients):
            if client.stalled(self.ticks):
                client.stall()

    def close_idle_while_draining(self) -> None:
        """Close idle connections repeatedly while the node drains; answers close their own connections."""
        if self.drain_timer is not None:
            self.drain_timer.cancel()
            self.drain_timer = None
        if self.node.lifecycle.state is State.DRAINING:
            self.close_idle(DRAIN_IDLE_US)
            self.drain_timer = self.node.loop.call_later(DRAIN_CHECK_S, self.close_idle_while_draining)

    def transferable(self, limit: int) -> dict[int, Client]:
        """Return up to ``limit`` clients that are between two requests and have no unsent output, by file
        descriptor."""
        found: dict[int, Client] = {}
        for client in self.idle:
            transport = client.transport
            if transport is None or transport.is_closing() or client.over_limit or client._has_unsent_output():
                continue
            found[transport.get_extra_info("socket").fileno()] = client
            if len(found) >= limit:
                break
        return found

    def transferred(self, client: Client) -> None:
        """Another process now owns this connection: drop it here without sending anything to the client."""
        self.idle.pop(client, None)
        self.clients.pop(client, None)
        client.ignoring_input = True
        if client.transport is not None:
            client.transport.abort()

    def close_idle(self, longer_than_us: int = 0) -> None:
        """Close connections that have been idle for that long."""
        latest = now_us() - longer_than_us
        for client, since in list(self.idle.items()):
            if since > latest:
                break
            if not client.has_unread_input():
                self.drop_idle(client)
