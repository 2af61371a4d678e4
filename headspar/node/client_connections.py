"""Which client connections are kept and which are closed: limits, drains, clients that stop or leave."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import islice
from typing import TYPE_CHECKING

from headspar.node.backends import Budget
from headspar.node.core import Node, now_us
from headspar.node.intake import Intake
from headspar.operations.lifecycle import State

if TYPE_CHECKING:
    from headspar.node.clients import Client

IDLE_US = 1_000_000  # a drained node closes what has stood idle for so long
LOOK_S = 0.05  # and looks for it so often
SLOW_LOOK = 50  # of the slow ones are looked at for a newcomer
IDLE_LOOK = 16  # of those between two requests
TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class ClientConnections:
    """All client connections of a node, within one budget of descriptors."""

    def __init__(self, node: Node, most: int, spare: int, budget: Budget) -> None:
        self.node, self.most, self.spare, self.budget = node, most, spare, budget
        self.clients: dict[Client, None] = {}
        self.idle: dict[Client, int] = {}  # between requests, and since when; the longest idle first
        self.slow: dict[Client, None] = {}
        self.streaming: dict[Client, None] = {}  # those that get a long answer, during which they are not read
        self.ticks = 0
        self.looking: asyncio.TimerHandle | None = None  # for idle ones, in a drain
        self.intake = Intake(node.settings)
        self.on_idle: Callable[[], None] = lambda: None  # a client has become idle while a successor takes them

    def opened(self, client: Client) -> None:
        self.clients[client] = None
        self.idle[client] = now_us()
        if len(self.clients) <= self.most:
            return
        now = now_us()
        slow = next((c for c in islice(self.slow, SLOW_LOOK) if not c.current and c.overdue(now)), None)
        if slow is not None:
            self.drop_slow(slow)
            return
        resting = next((c for c in islice(self.idle, IDLE_LOOK) if c is not client and not c.spoken()), None)
        if resting is not None:
            self.drop_idle(resting)
            return
        client.over = True
        if len(self.clients) > self.most + self.spare:
            self._drop_any(client)

    def _drop_any(self, newcomer: Client) -> None:
        """Descriptors are out: one goes of those that are owed no answer, else the newcomer, unread."""
        victim = next((c for c in self.clients if c.finished() and c is not newcomer), newcomer)
        if victim.transport is not None:
            victim.transport.abort()

    def drop_idle(self, client: Client) -> None:
        """Close one between two requests, once what was written to it has gone out."""
        self.idle.pop(client, None)
        client.closing = client.deaf = True
        if client.transport is not None:
            client.transport.close()

    def drop_slow(self, client: Client) -> None:
        client.closing = client.deaf = True
        self.slow.pop(client, None)
        if client.transport is not None:
            client.transport.write(TOO_SLOW)
            client.transport.close()

    def closed(self, client: Client) -> None:
        self.clients.pop(client, None)
        self.idle.pop(client, None)
        self.streaming.pop(client, None)

    def look(self, now: int) -> None:
        """A few times a second: end what has stopped within a request, and long answers whose client has gone."""
        for client in [c for c in self.slow if c.stopped(now)]:
            client.stop()
        for client in [c for c in self.streaming if not c.present()]:
            if client.transport is not None:
                client.transport.abort()

    def sweep(self) -> None:
        """Once a second: end what has stalled."""
        self.ticks += 1
        if len(self.clients) >= self.most:
            states = [c.state() for c in self.clients]
            self.node.log(
                f"clients: {len(states)} connections, the most are {self.most}: "
                + ", ".join(f"{states.count(s)} {s}" for s in sorted(set(states)))
            )
        for client in list(self.clients):
            if client.stalled(self.ticks):
                client.stall()

    def send_away(self) -> None:
        """A drained node: answers close their connections, and what stands idle is closed here, until it is over."""
        if self.looking is not None:
            self.looking.cancel()
            self.looking = None
        if self.node.lifecycle.state is State.DRAINING:
            self.close_idle(IDLE_US)
            self.looking = self.node.loop.call_later(LOOK_S, self.send_away)

    def movable(self, most: int) -> dict[int, Client]:
        """Up to so many clients between two requests, with nothing unsent, by their descriptors."""
        found: dict[int, Client] = {}
        for client in self.idle:
            transport = client.transport
            if transport is None or transport.is_closing() or client.over or client._unread():
                continue
            found[transport.get_extra_info("socket").fileno()] = client
            if len(found) >= most:
                break
        return found

    def moved(self, client: Client) -> None:
        """Another process has this connection: ours ends with no word to the client."""
        self.idle.pop(client, None)
        self.clients.pop(client, None)
        client.deaf = True
        if client.transport is not None:
            client.transport.abort()

    def close_idle(self, longer_than_us: int = 0) -> None:
        """Close what has stood idle for that long."""
        latest = now_us() - longer_than_us
        for client, since in list(self.idle.items()):
            if since > latest:
                break
            if not client.spoken():
                self.drop_idle(client)
