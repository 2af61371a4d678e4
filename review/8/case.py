"""A client sends two commands at once; the answer to the first comes in small chunks."""

from __future__ import annotations

import asyncio
import sys
import threading
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
    main,
    new_id,
    one_class,
    request,
    response,
    settings,
)

MEMORY_MB = 128
ANSWER_BYTES = 9_000_000
CHUNK = 2  # bytes
CHUNKS_AT_ONCE = 4000


def private_mb(pid: int) -> float:
    """The private memory of a process (RssAnon)."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("RssAnon")), 0.0)


async def answer(backend: Backend, call_id: str, fields: dict[str, str], writer: asyncio.StreamWriter) -> bool:
    if not call_id.startswith("1ong"):
        writer.write(response(call_id.encode()))
        return True
    piece = (b"%x\r\n" % CHUNK + b"z" * CHUNK + b"\r\n") * CHUNKS_AT_ONCE
    given = 0
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    try:
        while given < ANSWER_BYTES:
            writer.write(piece)
            await writer.drain()
            given += CHUNK * CHUNKS_AT_ONCE
    except ConnectionError as error:
        backend.record.write(f"backend: {given} bytes given;", type(error).__name__)
        raise
    writer.write(b"0\r\n\r\n")
    backend.record.write("backend: all given")
    return True


async def case(record: Record, work: Path, trouble: bool) -> bool:
    backends = [Backend(record, f"s-{i}") for i in range(3)]
    for backend in backends:
        backend.answer = answer
        await backend.open()
    discovery = Discovery(record, [b.row() for b in backends])
    await discovery.open()
    classes = [one_class("cierre-caja", "fragile", 5000, aim_ms=1000)]
    node = Node(record, work, discovery.address, discovery.whole(), settings(classes), memory_mb=MEMORY_MB)
    most, ended = 0.0, threading.Event()
    try:
        process = await node.start()
        await node.ready()

        def watch() -> None:
            """In a thread, as the backend keeps the stand-ins' own loop busy."""
            nonlocal most
            noted = 0.0
            while not ended.wait(0.02):
                now = private_mb(process.pid)
                if now > noted + 10.0:
                    record.write(f"private memory: {now:.0f} MB")
                    noted = now
                most = max(most, now)

        threading.Thread(target=watch, daemon=True).start()
        client = await Client.connect(node.address)
        ids = ["1ong" + new_id()[4:], new_id()]
        # Without the disruption the second command is sent when the first is answered, as clients usually do.
        at_once = request("cierre-caja", ids[1], "5000m") if trouble else b""
        record.write("client sends", *ids)
        got = await client.ask(request("cierre-caja", ids[0], "5000m") + at_once, 30.0)
        record.write("client gets", ids[0], f"{got[0]}, {len(got[2])} bytes" if got else "no whole answer")
        if client.open:
            got = await client.ask(b"" if trouble else request("cierre-caja", ids[1], "5000m"), 10.0)
            record.write("client gets", ids[1], got[0] if got else "nothing")
        most = max(most, private_mb(process.pid))
        ended.set()
        record.write(f"most private memory: {most:.0f} MB of {MEMORY_MB}")
        if process.returncode is not None:
            raise CannotRun("the node has ended")
        return most <= MEMORY_MB
    finally:
        ended.set()
        await node.kill()


main(Path(__file__).resolve().parent, case)
