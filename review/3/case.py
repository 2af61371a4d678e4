"""Long answers to slow readers, beside uploads, bring the node over its memory limit, and the platform kills it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

MEMORY_MB, DESCRIPTORS = 192, 1024  # the largest limits that the pages name
READERS, UPLOADS = 328, 12  # together under a third of the descriptors
ANSWER, BODY = 8_000_000, 9_700_000  # bytes; the pages allow 32 MB
READ_BYTES_PER_S = 256_000
UPLOAD_WORK_S = 0.35


async def handle(server: rig.Server, message: rig.Message, writer: asyncio.StreamWriter) -> None:
    if message.line.startswith("POST"):
        await asyncio.sleep(UPLOAD_WORK_S)
        writer.write(rig.response(200, b"done"))
        return
    await asyncio.sleep(0.03)
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER}\r\n\r\n".encode())
    for _ in range(ANSWER // 100_000):
        writer.write(b"y" * 100_000)
        await writer.drain()


async def case(record: rig.Record, folder: Path) -> list[str]:
    servers = [rig.Server(f"s{i}", zone, handle) for i, zone in enumerate("aaabbbccc")]
    for server in servers:
        await server.start()
    discovery = rig.Discovery(servers, record)
    await discovery.start()
    classes = [
        rig.request_class("report", "retryable"),
        rig.request_class("batch", "dedup", aim_us=1_000_000, give_up_us=5_000_000, worth=8.0),
    ]
    node = rig.Node(record, folder, {
        "settings": rig.settings(classes), "known": discovery.known(),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
    }, discovery.address)
    await node.start()
    platform = rig.Platform(node, record)
    watch = asyncio.create_task(platform.watch())
    answered = lost = 0
    over = asyncio.Event()

    async def read_report(number: int) -> None:
        nonlocal answered, lost
        client = await rig.Client.open(node.listen, receive_buffer=65536)
        client.writer.write(rig.request("report", f"r{number}", 2000, hint_us=30_000, path=f"/api/r{number}"))
        try:
            head = await client.reader.readuntil(b"\r\n\r\n")
            if b" 200 " not in head:
                record(f"client: report {number} answered {head[9:12].decode()}")
                return
            begin, got = record.now(), 0
            while got < ANSWER:
                data = await client.reader.read(16384)
                if not data:
                    raise ConnectionError("end")
                got += len(data)
                if rig.TROUBLE:
                    await asyncio.sleep(max(0.0, begin + got / READ_BYTES_PER_S - record.now()))
            answered += 1
        except (OSError, asyncio.IncompleteReadError):
            if not over.is_set():
                lost += 1
                record(f"client: report {number} broke off")
        finally:
            client.close()

    async def upload(number: int) -> None:
        nonlocal answered, lost
        client = await rig.Client.open(node.listen)
        data = rig.request("batch", f"u{number}", 5000, key=f"key-{number}", body=b"z" * BODY, hint_us=150_000,
                           path=f"/api/u{number}")
        sent = False
        try:
            client.writer.write(data)
            await client.writer.drain()
            sent = True
            record(f"client: upload {number} sent")
            message = await rig.read_message(client.reader)
            record(f"client: upload {number} answered {message.status}")
            answered += 1
        except (OSError, asyncio.IncompleteReadError):
            if not over.is_set():
                lost += sent
                record(f"client: upload {number} has no answer" if sent else f"client: upload {number} not sent")
        finally:
            client.close()

    tasks = []
    try:
        for number in range(READERS):
            tasks.append(asyncio.create_task(read_report(number)))
            await asyncio.sleep(0.02)
        record(f"{READERS} reports asked for")
        for wave in range(4):
            if platform.killed:
                break
            uploads = [asyncio.create_task(upload(100 * wave + number)) for number in range(UPLOADS)]
            await asyncio.wait(uploads, timeout=4.0)
            tasks += uploads
        await asyncio.wait(tasks, timeout=60.0)
        if not platform.killed and not node.alive():
            raise rig.CouldNotRun("the node has ended by itself")
    finally:
        over.set()
        watch.cancel()
        for task in tasks:
            task.cancel()
        await node.end()
    record(f"most memory {platform.most_kb / 1024:.1f} MB; {answered} requests answered, {lost} lost")
    if platform.killed:
        return [f"the node went over {MEMORY_MB} MB and was killed; {lost} requests that it had taken were lost"]
    return []


sys.exit(rig.run_case(Path(__file__).resolve().parent, case))
