"""A proxy that injects faults into the byte streams between a node and one server or discovery.

Faults apply to chunks, as they are read: a chunk is delayed, delivered in two pieces, or cut off by a reset of both
sides; a whole response is delivered a second time later, on the same connection, whatever it carries by then.  A
connection may also be forgotten: from then on nothing passes in either direction until it is reset.  A seed draws all
of them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
from collections import Counter

from msgspec.structs import replace

from headspar.lab.children import Hosts, now_us
from headspar.lab.sockets import abort_with_reset
from headspar.world.scenario import Links

Address = tuple[str, int]
READ_SIZE = 65536  # bytes
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
PIECE_PAUSE_S = 0.002  # between the pieces of a split chunk
CONNECT_S = 0.5  # a target that drops the first SYN counts as unreachable: what it is sent must not arrive late
FORGOTTEN_S = 4.0  # from a connection being forgotten to its reset
MAX_REPEAT_LATENESS_US = 5_000  # a repeat that a busy machine delays by more is left out


class FaultProxy:
    """A proxy in front of one address; ``counts`` tells the faults injected, by kind."""

    def __init__(self, target: Address, host: str, links: Links, rng: random.Random) -> None:
        self.target, self.host, self.links, self.rng = target, host, links, rng
        self.address: Address = (host, 0)
        self.counts: Counter[str] = Counter()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, self.host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        with contextlib.suppress(asyncio.CancelledError):  # the run is over
            await self._relay(reader, writer)
        self.tasks.discard(task)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError as error:
            if isinstance(error, TimeoutError):
                await asyncio.sleep(FORGOTTEN_S)
            abort_with_reset(writer.transport)
            return
        connection = _ProxiedConnection(self, writer, target_writer)
        await asyncio.gather(
            connection.pump(reader, target_writer, may_repeat=False),
            connection.pump(target_reader, writer, may_repeat=True),
        )
        writer.close()
        target_writer.close()

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()


class _ProxiedConnection:
    """One connection through the proxy, with both of its sides."""

    def __init__(self, proxy: FaultProxy, *writers: asyncio.StreamWriter) -> None:
        self.proxy, self.writers = proxy, writers
        self.links, self.rng, self.counts = proxy.links, proxy.rng, proxy.counts
        self.forgotten = False

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, may_repeat: bool) -> None:
        """Forwards one direction until it ends; ``may_repeat``: whether its chunks may be delivered twice."""
        try:
            while data := await reader.read(READ_SIZE):
                if await self._interrupted(data, writer):
                    return
                await self._deliver(data, writer)
                if may_repeat and is_whole_response(data) and self._draw("repeat"):
                    self._repeat_later(data, writer)
            if writer.can_write_eof() and not writer.is_closing():
                writer.write_eof()
        except (OSError, RuntimeError):  # RuntimeError: uvloop's, for a transport that has just closed
            self._reset()

    def _draw(self, fault: str) -> bool:
        hit: bool = self.rng.random() < getattr(self.links, fault)
        self.counts[fault] += hit
        return hit

    async def _interrupted(self, data: bytes, writer: asyncio.StreamWriter) -> bool:
        """Whether this chunk ends the connection: by a reset after a part of it, or because it is forgotten."""
        if self._draw("reset"):
            writer.write(data[:self.rng.randrange(len(data))])
            await asyncio.sleep(0)
            self._reset()
            return True
        if self.forgotten or self._draw("forget"):
            self.forgotten = True
            await asyncio.sleep(FORGOTTEN_S)
            self._reset()
            return True
        return False

    async def _deliver(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        if self.links.delay_ms:
            await asyncio.sleep(self.rng.uniform(0, self.links.delay_ms) / 1000)
        if len(data) > 1 and self._draw("split"):
            at = self.rng.randrange(1, len(data))
            writer.write(data[:at])
            await asyncio.sleep(PIECE_PAUSE_S)
            data = data[at:]
        writer.write(data)
        await writer.drain()

    def _repeat_later(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        delay_s = self.rng.uniform(0, self.links.repeat_ms) / 1000
        due_us = now_us() + int(delay_s * 1e6)
        asyncio.get_running_loop().call_later(delay_s, self._repeat, data, writer, due_us)

    def _repeat(self, data: bytes, writer: asyncio.StreamWriter, due_us: int) -> None:
        if now_us() - due_us > MAX_REPEAT_LATENESS_US or writer.is_closing():
            self.counts["repeat"] -= 1
            return
        with contextlib.suppress(RuntimeError):
            writer.write(data)

    def _reset(self) -> None:
        for writer in self.writers:
            abort_with_reset(writer.transport)


def is_whole_response(data: bytes) -> bool:
    """Whether a chunk is one complete response; a copy of a part would complete a response that was cut off."""
    head, separator, body = data.partition(b"\r\n\r\n")
    length = CONTENT_LENGTH.search(head)
    return bool(separator) and head.startswith(b"HTTP/1.1 ") and length is not None and int(length[1]) == len(body)


class FleetProxies:
    """The proxies of a fleet: between each node and each server, and between each node and discovery."""

    def __init__(self, links: Links, hosts: Hosts, seed: int) -> None:
        self.links, self.hosts, self.seed = links, hosts, seed
        # What discovery has written counts as known to the node, so every byte of it is delivered.
        self.lossless_links = replace(links, reset=0.0, forget=0.0)
        self.proxied_nodes: set[str] = set()
        self.by_discovery: dict[tuple[str, Address], FaultProxy] = {}  # by node and discovery's address
        self.proxies: list[FaultProxy] = []

    async def insert_servers(self, node: str, addresses: dict[str, dict[str, str]]) -> None:
        """Replaces the node's ``addresses`` of the servers by those of proxies, once for each node."""
        if node in self.proxied_nodes:
            return
        self.proxied_nodes.add(node)
        for server, by_node in addresses.items():
            host, _, port = by_node[node].rpartition(":")
            proxy = await self._start((host, int(port)), self.links, f"{node}/{server}")
            by_node[node] = f"{proxy.address[0]}:{proxy.address[1]}"

    async def discovery_address(self, node: str, target: Address) -> Address:
        """The address at which a node reaches discovery at ``target``."""
        if (node, target) not in self.by_discovery:
            self.by_discovery[node, target] = await self._start(target, self.lossless_links, f"{node}/discovery")
        return self.by_discovery[node, target].address

    async def _start(self, target: Address, links: Links, name: str) -> FaultProxy:
        proxy = FaultProxy(target, self.hosts.next(), links, random.Random(f"{self.seed}/{name}"))
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    def counts(self) -> dict[str, int]:
        """The faults injected, by kind."""
        total: Counter[str] = Counter()
        for proxy in self.proxies:
            total.update(proxy.counts)
        return dict(total)

    def close(self) -> None:
        for proxy in self.proxies:
            proxy.close()
