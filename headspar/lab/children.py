"""Child processes of the lab, controlled by lines of JSON on their standard streams.

A child reads one line with its task, then one command per line, and exits at the end of its input, so that a killed
parent leaves no process behind.  It writes one event per line, and its records to a file at the end.
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

from headspar.node.clock import now_us

__all__ = ["Child", "Hosts", "Parent", "now_us", "run_child"]  # the lab uses the nodes' clock
PR_SET_PDEATHSIG = 1
LINE_LIMIT = 16 * 1024 * 1024  # bytes


def die_with_parent() -> None:
    """Has the kernel kill this process when its parent exits, for a child that does not read its input.

    Linux only; on other systems the parent's own cleanup has to do.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def package_env() -> dict[str, str]:
    """Environment in which a child imports this package, whatever its working directory."""
    root = str(Path(__file__).resolve().parents[2])
    path = os.environ.get("PYTHONPATH")
    return {**os.environ, "PYTHONPATH": root + (os.pathsep + path if path else "")}


class Hosts:
    """Hands out addresses in 127/8, one per listener of a run.

    With an address of its own, a port that is free for a moment (such as between a server's crash and its restart)
    cannot be taken by another process.
    """

    def __init__(self) -> None:
        rng = random.Random()  # unseeded: addresses are not part of a drawn plan
        self.number = rng.randrange(2, 250) << 16 | rng.randrange(1 << 16)

    def next(self) -> str:
        self.number += 1
        if self.number & 0xFF in (0, 0xFF):
            self.number += 2
        return f"127.{self.number >> 16 & 0xFF}.{self.number >> 8 & 0xFF}.{self.number & 0xFF}"


class Child:
    """A child process, as its parent sees it."""

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
        child.send_command(task)
        return child

    def send_command(self, command: dict[str, Any]) -> None:
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
        """Returns the next event of that name, discarding others.

        Raises ``RuntimeError`` with the last lines of the log if it does not come within ``seconds``.
        """
        try:
            async with asyncio.timeout(seconds):
                while True:
                    received = await self.events.get()
                    if received["event"] == event:
                        return received
                    if received["event"] == "ended":
                        break
        except TimeoutError:
            pass
        tail = self.log.read_text(errors="replace").strip().splitlines()[-3:]
        raise RuntimeError(f"{self.name}: no event {event!r}: {' / '.join(tail) or 'its log is empty'}")

    async def close(self) -> None:
        """Closes its input, and kills it if it does not exit within 3 s."""
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
    """The parent, as a child sees it: the task and the commands that follow."""

    def __init__(self, reader: asyncio.StreamReader, task: dict[str, Any]) -> None:
        self.reader, self.task = reader, task

    @staticmethod
    def emit_event(event: str, **more: Any) -> None:
        sys.stdout.write(json.dumps({"event": event, **more}) + "\n")
        sys.stdout.flush()

    async def commands(self, handle: Callable[[dict[str, Any]], Awaitable[None]]) -> None:
        """Passes each command to ``handle`` until the input ends."""
        while line := await self.reader.readline():
            await handle(json.loads(line))


async def _child(main: Callable[[Parent], Awaitable[None]]) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_LIMIT)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    line = await reader.readline()
    if line:
        await main(Parent(reader, json.loads(line)))


def run_child(main: Callable[[Parent], Awaitable[None]]) -> int:
    """Runs ``main`` as the body of a child process; returns the exit status."""
    import gc

    import uvloop

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent handles Ctrl-C and ends its children
    gc.set_threshold(50_000, 20, 50)  # a full collection during a run would make the lab late
    uvloop.run(_child(main))
    return 0
