"""Relays that inject faults into the links between processes.

``Link`` relays between a controller and a keeper.  A command is one line each way on a connection of its own, so
faults apply to single commands: one is dropped, delayed or delivered twice, its answer is lost after the action, or
the connection is reset or left half-open.  A seed draws all of them.  ``Stream`` relays between a node and discovery
or a server, and its faults apply to bytes: data in one or both directions is held back or delayed, connections are
reset, or none is accepted.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from headspar.keeper.messages import MAX_LINE

Address = tuple[str, int]


class LinkFaults(msgspec.Struct, frozen=True):
    """The faults of a link, each as the share of commands that it hits.

    ``late_s``: the maximum delay of a late command, which arrives after its sender has given up; the minimum is the
    share ``late_least`` of it.  ``words``: only commands that contain this text are hit.
    """

    drop: float = 0.0  # the command never arrives
    lose: float = 0.0  # the command arrives, but its answer does not
    late: float = 0.0
    late_s: float = 5.0
    late_least: float = 0.5
    twice: float = 0.0
    reset: float = 0.0
    hang: float = 0.0  # half-open: no answer, and the connection stays open
    words: str = ""


DROP_ALL = LinkFaults(drop=1.0)
DROP_ANSWERS = LinkFaults(lose=1.0)  # cut in the direction of the answers only
NO_FAULT = LinkFaults()


class Link:
    """A relay in front of one keeper; controllers connect to ``address``."""

    def __init__(self, target: Address, host: str, rng: random.Random) -> None:
        self.target, self.host, self.rng = target, host, rng
        self.address: Address = (host, 0)
        self.fault = NO_FAULT
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts: dict[str, int] = {}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._relay_command, self.host, 0, limit=MAX_LINE)
        self.address = self.server.sockets[0].getsockname()[:2]

    def _injects(self, what: str, line: bytes) -> bool:
        share = getattr(self.fault, what)
        hit = bool(share) and self.fault.words.encode() in line and self.rng.random() < share
        if hit:
            self.counts[what] = self.counts.get(what, 0) + 1
        return hit

    async def _relay_command(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            if not line:
                return
            if self._injects("reset", line):
                writer.transport.abort()
                return
            if self._injects("hang", line):
                await reader.read()
                return
            if self._injects("drop", line):
                return
            if self._injects("late", line):
                self._deliver_later(line)
                return
            if self._injects("twice", line):
                self._deliver_later(line)
            answer = await self._deliver(line)
            if not self._injects("lose", line):
                writer.write(answer)
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()

    def _deliver_later(self, line: bytes) -> None:
        async def deliver(seconds: float) -> None:
            await asyncio.sleep(seconds)
            with contextlib.suppress(OSError):
                await self._deliver(line)

        fault = self.fault
        task = asyncio.create_task(deliver(fault.late_s * self.rng.uniform(fault.late_least, 1.0)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _deliver(self, line: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*self.target, limit=MAX_LINE)
        try:
            writer.write(line)
            return await reader.readline()
        finally:
            writer.close()

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()


class StreamFaults(msgspec.Struct, frozen=True):
    """The faults of a stream; "up" is from the node, "down" is to it.

    Held bytes are delivered once the fault ends, unless the connection has closed.  ``shut``: new connections are
    reset.
    """

    hold_up: bool = False
    hold_down: bool = False
    delay_s: float = 0.0
    shut: bool = False


class Stream:
    """A relay of byte streams; the node connects to ``address`` in place of ``target``."""

    def __init__(self, target: Address, host: str) -> None:
        self.target, self.host = target, host
        self.address: Address = (host, 0)
        self.faults = StreamFaults()
        self.faults_changed = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.held = self.chunks_relayed = self.connections_reset = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connection, self.host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def set_faults(self, faults: StreamFaults) -> None:
        """Switches to other faults, for open and for new connections."""
        async with self.faults_changed:
            self.faults = faults
            self.faults_changed.notify_all()

    def reset(self) -> None:
        """Resets every connection at once, even in the middle of a message."""
        for writer in list(self.open):
            self.connections_reset += 1
            writer.transport.abort()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults.shut:
            self.connections_reset += 1
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, far_writer}
        pumps = [asyncio.create_task(self._pump(reader, far_writer, "hold_up")),
                 asyncio.create_task(self._pump(far_reader, writer, "hold_down"))]
        self.tasks.update(pumps)
        await asyncio.gather(*pumps, return_exceptions=True)
        self.tasks.difference_update(pumps)
        self.open -= {writer, far_writer}
        writer.close()
        far_writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hold_field: str) -> None:
        try:
            while data := await reader.read(65536):
                if getattr(self.faults, hold_field):
                    self.held += 1
                    async with self.faults_changed:
                        await self.faults_changed.wait_for(lambda: not getattr(self.faults, hold_field))
                    if reader.at_eof() or reader.exception() is not None:
                        raise OSError("the sender closed the connection while its data was held")
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                self.chunks_relayed += 1
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
