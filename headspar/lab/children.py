"""Processes of the lab: lines of JSON on their standard streams, and an end that none of them can outlive.

A child reads one line with its task, then commands, one a line; the end of its input ends it, so that a parent
that was killed leaves nothing behind.  It writes events, one a line, and its records to a file at the end.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import random
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from headspar.node.core import now_us

__all__ = ["Child", "Hosts", "Parent", "now_us", "run_child"]  # the nodes' clock is the lab's too
PR_SET_PDEATHSIG = 1
LINE_LIMIT = 16 * 1024 * 1024


def die_with_parent() -> None:
    """For a process that does not watch its input (Linux; elsewhere the parent's own cleaning must do)."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def package_env() -> dict[str, str]:
    """The environment in which this very package is found, from wherever a child is started."""
    root = str(Path(__file__).resolve().parents[2])
    path = os.environ.get("PYTHONPATH")
    return {**os.environ, "PYTHONPATH": root + (os.pathsep + path if path else "")}


class Hosts:
    """Addresses of this run's own in 127/8: one for each who listens, so that a port which is free for a moment
    (between a server's death and its return, say) is nobody else's."""

    def __init__(self) -> None:
        rng = random.Random()  # where things listen is no part of what a seed decides
        self.number = rng.randrange(2, 250) << 16 | rng.randrange(1 << 16)

    def next(self) -> str:
        self.number += 1
        if self.number & 0xFF in (0, 0xFF):
            self.number += 2
        return f"127.{self.number >> 16 & 0xFF}.{self.number >> 8 & 0xFF}.{self.number & 0xFF}"


class Child:
    """A process of the lab, seen from its parent."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.process, self.log = name, process, log
        self.events: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.on_event: Callable[[dict[str, Any]], None] | None = None
        self.reader = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, name: str, module: str, task: dict[str, Any], log: Path) -> Child:
        with log.open("ab") as err:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=err,
                env=package_env(), start_new_session=True, limit=LINE_LIMIT,
            )
        child = cls(name, process, log)
        child.tell(task)
        return child

    def tell(self, command: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        with contextlib.suppress(ConnectionError, RuntimeError):
            self.process.stdin.write(json.dumps(command).encode() + b"\n")

    async def _read(self) -> None:
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            event = json.loads(line)
            if self.on_event is not None and event.get("event") == "progress":
                self.on_event(event)
            else:
                self.events.put_nowait(event)
        self.events.put_nowait({"event": "ended"})

    async def expect(self, event: str, seconds: float) -> dict[str, Any]:
        """The next event of a name; ``RuntimeError`` with the end of its log if it does not come."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    got = await self.events.get()
                    if got["event"] == event:
                        return got
                    if got["event"] == "ended":
                        break
        except TimeoutError:
            pass
        tail = self.log.read_text(errors="replace").strip().splitlines()[-3:]
        raise RuntimeError(f"{self.name}: no {event!r}: {' / '.join(tail) or 'nothing in its log'}")

    async def close(self) -> None:
        """End it, by force if need be."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(3):
                await self.process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        self.reader.cancel()


class Parent:
    """The parent, seen from a child: its task, then commands."""

    def __init__(self, reader: asyncio.StreamReader, task: dict[str, Any]) -> None:
        self.reader, self.task = reader, task

    @staticmethod
    def say(event: str, **more: Any) -> None:
        sys.stdout.write(json.dumps({"event": event, **more}) + "\n")
        sys.stdout.flush()

    async def commands(self, take: Callable[[dict[str, Any]], Awaitable[None]]) -> None:
        """Hand on commands until the input ends."""
        while line := await self.reader.readline():
            await take(json.loads(line))


async def _child(main: Callable[[Parent], Awaitable[None]]) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_LIMIT)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    line = await reader.readline()
    if line:
        await main(Parent(reader, json.loads(line)))


def run_child(main: Callable[[Parent], Awaitable[None]]) -> int:
    """The ``__main__`` of a child."""
    import gc

    import uvloop

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # its parent ends it
    gc.set_threshold(50_000, 20, 50)  # a full collection in the midst of a run would be lateness
    uvloop.run(_child(main))
    return 0
