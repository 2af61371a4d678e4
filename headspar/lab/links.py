"""Links between processes that fail, as relays.

``Link`` lies between a keeper and whoever leads.  A word is a line each way on a connection of its own, so a link
fails by the word: it is dropped, held up, delivered twice, its answer is lost after the action, the connection is
reset or held half-open.  All is drawn by a seed.  ``Stream`` lies between a node and its discovery or a server, and
fails by the byte: what flows one way, or both, is held or held up, connections are reset, or none comes up.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from headspar.keeper.messages import MAX_LINE

Address = tuple[str, int]


class Fault(msgspec.Struct, frozen=True):
    """What a link does to words, as shares of them.  ``late_s``: a word that is held up comes so much later, after
    its sender has given up, at least ``late_least`` of that; ``words``: only to words that hold this text."""

    drop: float = 0.0  # it never arrives
    lose: float = 0.0  # it arrives, and its answer does not
    late: float = 0.0
    late_s: float = 5.0
    late_least: float = 0.5
    twice: float = 0.0
    reset: float = 0.0
    hang: float = 0.0  # half-open: neither answer nor end
    words: str = ""


CUT = Fault(drop=1.0)
DEAF = Fault(lose=1.0)  # cut on the way back only
WELL = Fault()


class Link:
    """One relay: ``address`` is where the keeper seems to be."""

    def __init__(self, target: Address, host: str, rng: random.Random) -> None:
        self.target, self.host, self.rng = target, host, rng
        self.address: Address = (host, 0)
        self.fault = WELL
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts: dict[str, int] = {}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._word, self.host, 0, limit=MAX_LINE)
        self.address = self.server.sockets[0].getsockname()[:2]

    def _drawn(self, what: str, line: bytes) -> bool:
        share = getattr(self.fault, what)
        hit = bool(share) and self.fault.words.encode() in line and self.rng.random() < share
        if hit:
            self.counts[what] = self.counts.get(what, 0) + 1
        return hit

    async def _word(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            if not line:
                return
            if self._drawn("reset", line):
                writer.transport.abort()
                return
            if self._drawn("hang", line):
                await reader.read()
                return
            if self._drawn("drop", line):
                return
            if self._drawn("late", line):
                self._later(line)
                return
            if self._drawn("twice", line):
                self._later(line)
            answer = await self._deliver(line)
            if not self._drawn("lose", line):
                writer.write(answer)
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()

    def _later(self, line: bytes) -> None:
        async def again(seconds: float) -> None:
            await asyncio.sleep(seconds)
            with contextlib.suppress(OSError):
                await self._deliver(line)

        fault = self.fault
        task = asyncio.create_task(again(fault.late_s * self.rng.uniform(fault.late_least, 1.0)))
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


class Weather(msgspec.Struct, frozen=True):
    """What a stream does.  ``up``: from the node, ``down``: to it; held bytes come once it is well again, unless the
    connection has ended.  ``shut``: new connections are reset."""

    hold_up: bool = False
    hold_down: bool = False
    delay_s: float = 0.0
    shut: bool = False


class Stream:
    """A relay of bytes: ``address`` is where the other side seems to be."""

    def __init__(self, target: Address, host: str) -> None:
        self.target, self.host = target, host
        self.address: Address = (host, 0)
        self.weather = Weather()
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.held = self.carried = self.reset_ones = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connection, self.host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def become(self, weather: Weather) -> None:
        async with self.changed:
            self.weather = weather
            self.changed.notify_all()

    def reset(self) -> None:
        """End every connection at once, in the middle of whatever flows."""
        for writer in list(self.open):
            self.reset_ones += 1
            writer.transport.abort()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.weather.shut:
            self.reset_ones += 1
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, far_writer}
        both = [asyncio.create_task(self._flow(reader, far_writer, "hold_up")),
                asyncio.create_task(self._flow(far_reader, writer, "hold_down"))]
        self.tasks.update(both)
        await asyncio.gather(*both, return_exceptions=True)
        self.tasks.difference_update(both)
        self.open -= {writer, far_writer}
        writer.close()
        far_writer.close()

    async def _flow(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str) -> None:
        try:
            while data := await reader.read(65536):
                if getattr(self.weather, way):
                    self.held += 1
                    async with self.changed:
                        await self.changed.wait_for(lambda: not getattr(self.weather, way))
                    if reader.at_eof() or reader.exception() is not None:
                        raise OSError("its sender has given it up meanwhile")
                if self.weather.delay_s:
                    await asyncio.sleep(self.weather.delay_s)
                self.carried += 1
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
