"""``python -m benchmarks.bare_relay``: a minimal relay, the lower bound for a proxy on this event loop and parser.

It parses requests and responses, keeps connections alive and assigns requests to servers round-robin.  It has no
deadlines, outcomes or admission control.  What a node costs beyond it is the cost of its rules and decisions.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any, cast

import httptools
import uvloop


class ServerConnection(asyncio.Protocol):
    """A keep-alive connection to a server."""

    def __init__(self, pool: list[ServerConnection], client: ClientConnection) -> None:
        self.pool, self.client = pool, client
        self.parser: Any = httptools.HttpResponseParser(self)
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        body, self.body = self.body, b""
        self.pool.append(self)
        self.client.answer(self.parser.get_status_code(), body)


class ClientConnection(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.parser: Any = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self.url = self.body = b""
        self.headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        if self.url == b"/healthz":
            self.answer(200, b"")
            return
        head = b"%b %b HTTP/1.1\r\nHost: x\r\nX-Call-Id: %b\r\nX-Budget: %b\r\n" % (
            self.parser.get_method(), self.url, self.headers[b"x-call-id"], self.headers[b"x-budget"])
        key = self.headers.get(b"idempotency-key")
        if key is not None:
            head += b"Idempotency-Key: %b\r\nContent-Length: %d\r\n" % (key, len(self.body))
        self.relay.send(self, head + b"\r\n" + self.body)
        self._reset()

    def answer(self, status: int, body: bytes) -> None:
        """Sends the server's response to the client."""
        self.transport.write(b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))


class Relay:
    """Assigns requests to the servers (``rows`` of an instance list) in round-robin order."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self.servers = [tuple(row["hostPort"].rpartition(":")[::2]) for row in rows]
        self.pools: list[list[ServerConnection]] = [[] for _ in rows]
        self.next_index = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, client: ClientConnection, data: bytes) -> None:
        """Forwards a request (*data*, whole) to the next server, on an idle connection if there is one."""
        self.next_index = (self.next_index + 1) % len(self.servers)
        pool = self.pools[self.next_index]
        if pool:
            server = pool.pop()
            server.client = client
            server.transport.write(data)
            return
        task = asyncio.get_running_loop().create_task(self._connect(self.next_index, client, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, i: int, client: ClientConnection, data: bytes) -> None:
        host, port = self.servers[i]
        _, server = await asyncio.get_running_loop().create_connection(
            lambda: ServerConnection(self.pools[i], client), host, int(port))
        server.transport.write(data)


async def main() -> None:
    relay = Relay(json.loads(Path(os.environ["ROUTER_CONFIG"]).read_text())["known"]["instances"])
    host, _, port = os.environ["ROUTER_LISTEN"].rpartition(":")
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: ClientConnection(relay), host, int(port), backlog=512)
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()


if __name__ == "__main__":
    sys.exit(uvloop.run(main()))
