"""A client that reads a long answer slowly, but all the time, has it cut off."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

ANSWER = 8_000_000  # bytes; the pages allow 32 MB
READ_BYTES_PER_S = 64_000
CLIENTS = 5
WATCH_S = 80.0


async def handle(server: rig.Server, message: rig.Message, writer: asyncio.StreamWriter) -> None:
    server_record = server.record
    server_record(f"{server.name}: {message.headers['x-call-id']} begins")
    await asyncio.sleep(0.05)
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER}\r\n\r\n".encode())
    for at in range(0, ANSWER, 100_000):
        try:
            writer.write(b"y" * 100_000)
            await writer.drain()
        except ConnectionError:
            server_record(f"{server.name}: the node broke off {message.headers['x-call-id']} before byte {at}")
            raise
    server_record(f"{server.name}: {message.headers['x-call-id']} has all been given")


async def case(record: rig.Record, folder: Path) -> list[str]:
    servers = [rig.Server(f"s{i}", "a", handle) for i in range(3)]
    for server in servers:
        server.record = record
        await server.start()
    discovery = rig.Discovery(servers, record)
    await discovery.start()
    node = rig.Node(record, folder, {"settings": rig.settings([rig.request_class("report", "retryable")]),
                                     "known": discovery.known()}, discovery.address)
    await node.start()
    breaches: list[str] = []

    async def read_report(number: int) -> None:
        client = await rig.Client.open(node.listen, receive_buffer=65536)
        client.writer.write(rig.request("report", f"r{number}", 2000, hint_us=30_000, path=f"/api/r{number}"))
        got, begin = 0, record.now()
        try:
            head = await client.reader.readuntil(b"\r\n\r\n")
            record(f"client: r{number} is answered {head[9:12].decode()}")
            if b" 200 " not in head:
                raise rig.CouldNotRun("a report was not served")
            begin = record.now()
            while got < ANSWER and record.now() - begin < WATCH_S:
                data = await client.reader.read(6400)
                if not data:
                    raise ConnectionError("the connection has ended")
                got += len(data)
                if rig.TROUBLE:
                    await asyncio.sleep(max(0.0, begin + got / READ_BYTES_PER_S - record.now()))
            record(f"client: r{number} has {got} bytes after {record.now() - begin:.1f} s")
        except (OSError, asyncio.IncompleteReadError) as error:
            text = f"r{number} was cut off at {got} of {ANSWER} bytes, {record.now() - begin:.1f} s after its head"
            record(f"client: {text}: {type(error).__name__} {error}")
            breaches.append(text)
        finally:
            client.close()

    try:
        await asyncio.gather(*(read_report(number) for number in range(CLIENTS)))
        if not node.alive():
            raise rig.CouldNotRun("the node has ended")
    finally:
        await node.end()
    return breaches


sys.exit(rig.run_case(Path(__file__).resolve().parent, case))
