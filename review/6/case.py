"""An interim (1xx) answer comes while the body of an unsafe request is written; the node is held up for 0.1 s.

What the sockets between node and backend hold is not known beforehand: the backend finds it out by itself. It stops
reading when a part of the body is left, and sees how much of that comes while the node stands still.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    Backend,
    CannotRun,
    Client,
    Discovery,
    Node,
    Record,
    head_fields,
    main,
    new_id,
    one_class,
    request,
    response,
    settings,
)

BODY = 16_000_000  # bytes; bodies reach 32 MB
RECEIVE_BUFFER = 128 * 1024
FIRST_LEFT, STEP = 1_000_000, 350_000
SHOTS = 10  # at most, each with a node of its own, until one request has run twice
RESTS_S = 0.05  # the backend reads nothing
HELD_S = 0.1  # the node; 0.15 s at most
MAY_BE_LATE_S = 0.14  # a hold that took longer is not judged
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n"


class Hold:
    """Stops the node for ``HELD_S``."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process, self.longest = process, 0.0

    def begin(self) -> float:
        self.process.send_signal(signal.SIGSTOP)
        return time.monotonic()

    def end(self, since: float) -> float:
        self.process.send_signal(signal.SIGCONT)
        held = time.monotonic() - since
        self.longest = max(self.longest, held)
        return held


class SlowReader(Backend):
    """Reads a marked request up to a part of its body, rests, sends an interim answer and reads on."""

    marked: dict[str, int] = {}  # by call id: how much of the body is left when it rests
    queued: dict[str, int] = {}  # by call id: how much the node had not handed to its system then
    hold: Hold | None = None
    trouble = True

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        uses = 0
        while True:
            try:
                _, fields = head_fields((await reader.readuntil(b"\r\n\r\n"))[:-4])
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            uses += 1
            call_id, left = fields["x-call-id"], int(fields.get("content-length", "0"))
            rest_at = self.marked.pop(call_id, 0) if uses > 1 else 0  # on a kept connection
            left = await self._read(reader, left, rest_at)
            if rest_at and left == rest_at:
                await asyncio.sleep(RESTS_S)
                left = await self._interim(call_id, left, reader, writer)
            left = await self._read(reader, left, 0)
            if left:
                self.record.write(self.id, call_id, f"the connection has ended, {left} bytes are missing: not run")
                return
            self.requests.append((self.record.now(), call_id))
            if rest_at or int(fields.get("content-length", "0")) == BODY:
                self.record.write("run", self.id, call_id)
            await asyncio.sleep(self.work_s)
            writer.write(response(call_id.encode()))

    async def _read(self, reader: asyncio.StreamReader, left: int, until: int) -> int:
        while left > until:
            try:
                data = await reader.read(min(1 << 16, left - until))
            except ConnectionError:
                return left
            if not data:
                return left
            left -= len(data)
        return left

    async def _interim(
        self, call_id: str, left: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> int:
        """Send the interim answer and read what comes within the time of the hold; return what is left then."""
        assert self.hold is not None
        since = self.hold.begin() if self.trouble else time.monotonic()
        try:
            if self.trouble:
                writer.write(INTERIM)
            while left and (more_s := since + HELD_S - time.monotonic()) > 0:
                try:
                    async with asyncio.timeout(more_s):
                        data = await reader.read(min(1 << 20, left))
                except (TimeoutError, ConnectionError):
                    break
                if not data:
                    break
                left -= len(data)
        finally:
            held = self.hold.end(since) if self.trouble else 0.0
        self.queued[call_id] = left
        self.record.write(self.id, call_id, f"node held up for {held:.3f} s;" if self.trouble else "",
                          f"{left} bytes had not been handed to its system")
        return left


async def case(record: Record, work: Path, trouble: bool) -> bool:
    backends = [SlowReader(record, f"s-{i}") for i in range(2)]
    for backend in backends:
        backend.trouble = trouble
        await backend.open()
        assert backend.server is not None
        for sock in backend.server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    discovery = Discovery(record, [b.row() for b in backends])
    await discovery.open()
    rules = settings([one_class("anular-pago", "fragile", 5000)])
    left_at_rest, met, twice, longest = FIRST_LEFT, 0, 0, 0.0
    for shot in range(SHOTS):
        folder = work / str(shot)
        folder.mkdir()
        node = Node(record, folder, discovery.address, discovery.whole(), rules)
        try:
            process = await node.start()
            await node.ready()
            hold = SlowReader.hold = Hold(process)
            client = await Client.connect(node.address)
            while left_at_rest < BODY - 1_000_000:
                for _ in range(4):  # so that the large request goes over a kept connection
                    await client.ask(request("anular-pago", new_id(), "5000m"), 6.0)
                    await asyncio.sleep(0.06)
                await asyncio.sleep(0.06)
                call_id = new_id()
                SlowReader.marked[call_id] = left_at_rest
                record.write("client sends", call_id, BODY, "bytes; the backend rests with", left_at_rest, "left")
                got = await client.ask(request("anular-pago", call_id, "5000m", body=bytes(BODY)), 8.0)
                runs = [b.id for b in backends for _, x in b.requests if x == call_id]
                record.write("client gets", call_id, got[0] if got else "nothing", "run at", *runs)
                twice += len(runs) > 1
                if not client.open:
                    client = await Client.connect(node.address)
                if SlowReader.queued.get(call_id, 0):  # from now on the node uses each connection once, for 30 s
                    met += 1
                    break
                left_at_rest += STEP
            left_at_rest = max(FIRST_LEFT, left_at_rest - 2 * STEP)
            longest = max(longest, hold.longest)
        finally:
            await node.kill()
        if twice or not met:
            break
    record.write(f"unsafe requests that ran twice: {twice}; longest hold {longest:.3f} s;"
                 f" rests with something to write: {met}")
    if longest > MAY_BE_LATE_S:
        raise CannotRun("the node was held up for longer than planned")
    if trouble and not met:
        raise CannotRun("the sockets took every body whole")
    return not twice


main(Path(__file__).resolve().parent, case)
