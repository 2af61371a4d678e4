"""An interim (1xx) answer comes while the body of an unsafe request is written, beside ordinary traffic.

What the sockets between node and backend hold is not known beforehand: the backend rests with more and more of the
body left, until the node still has something to write when the interim answer comes.
"""

from __future__ import annotations

import asyncio
import socket
import sys
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
RESTS_S = 0.05  # the backend reads nothing
CLIENTS = 16  # of the ordinary traffic
TRIALS_UNTIL_S = 90.0
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n"


class SlowReader(Backend):
    """Reads a marked request up to a part of its body, rests, sends an interim answer and reads on."""

    marked: dict[str, int] = {}  # by call id: how much of the body is left when it rests
    broken: set[str] = set()  # ids of requests of which bytes are missing
    interim = b""

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        uses = 0
        while True:
            try:
                _, fields = head_fields((await reader.readuntil(b"\r\n\r\n"))[:-4])
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            uses += 1
            call_id, left = fields["x-call-id"], int(fields.get("content-length", "0"))
            large = left == BODY
            rest_at = self.marked.pop(call_id, 0) if uses > 1 else 0  # on a kept connection
            left = await self._read(reader, left, rest_at)
            if rest_at and left == rest_at:
                await asyncio.sleep(RESTS_S)
                self.record.write(self.id, call_id, left, "bytes to come;", "interim answer" if self.interim else "")
                writer.write(self.interim)
                left = await self._read(reader, left, 0)
            if left:
                self.broken.add(call_id)
                self.record.write(self.id, call_id, f"the connection has ended, {left} bytes are missing: not run")
                return
            self.requests.append((self.record.now(), call_id))
            self.record.write("run", self.id, call_id, "large" if large else "")
            await asyncio.sleep(self.work_s)
            writer.write(response(call_id.encode()))

    async def _read(self, reader: asyncio.StreamReader, left: int, until: int) -> int:
        while left > until:
            try:
                data = await reader.read(min(1 << 20, left - until))
            except ConnectionError:
                return left
            if not data:
                return left
            left -= len(data)
        return left


async def case(record: Record, work: Path, trouble: bool) -> bool:
    SlowReader.interim = INTERIM if trouble else b""
    backends = [SlowReader(record, f"s-{i}") for i in range(2)]
    for backend in backends:
        await backend.open()
        assert backend.server is not None
        for sock in backend.server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    discovery = Discovery(record, [b.row() for b in backends])
    await discovery.open()
    rules = settings([one_class("anular-pago", "fragile", 5000), one_class("consultar-deuda", "retryable", 2000)])
    left_at_rest, met, twice, served = FIRST_LEFT, 0, 0, 0
    while not twice and record.now() < TRIALS_UNTIL_S:
        folder = work / str(met)
        folder.mkdir()
        node, done = Node(record, folder, discovery.address, discovery.whole(), rules), asyncio.Event()
        try:
            await node.start()
            await node.ready()

            async def usual(node: Node = node, done: asyncio.Event = done) -> None:
                nonlocal served
                client = await Client.connect(node.address)
                while not done.is_set():
                    got = await client.ask(request("consultar-deuda", new_id(), "2000m", safe=True), 3.0)
                    served += got is not None and got[0] == 200
                    record.write("lookup answered", got[0] if got else "not")
                    if not client.open:
                        client = await Client.connect(node.address)

            load = [asyncio.create_task(usual()) for _ in range(CLIENTS)]
            client = await Client.connect(node.address)
            found = False
            while left_at_rest < BODY - 1_000_000 and not found:
                await asyncio.sleep(0.12)
                call_id = new_id()
                SlowReader.marked[call_id] = left_at_rest
                got = await client.ask(request("anular-pago", call_id, "5000m", body=bytes(BODY)), 8.0)
                runs = [b.id for b in backends for _, x in b.requests if x == call_id]
                record.write("client gets", call_id, got[0] if got else "nothing", "run at", *runs)
                twice += len(runs) > 1
                found = len(runs) > 1 or call_id in SlowReader.broken
                if not client.open:
                    client = await Client.connect(node.address)
                left_at_rest += STEP
            done.set()
            await asyncio.gather(*load)
            if not found:
                break
            # From now on the node uses each connection once, for 30 s: the next trial has a node of its own.
            met += 1
            left_at_rest = max(FIRST_LEFT, left_at_rest - 3 * STEP)
        finally:
            done.set()
            await node.kill()
    record.write(f"unsafe requests that ran twice: {twice}; trials in which the node had something to write: {met};"
                 f" ordinary requests served: {served}")
    if trouble and not met:
        raise CannotRun("the sockets took every body whole")
    return not twice


main(Path(__file__).resolve().parent, case)
