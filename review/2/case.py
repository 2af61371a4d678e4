"""One client whose trailer section has no end brings the node over its memory limit, and the platform kills it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

MEMORY_MB, DESCRIPTORS = 192, 1024  # the largest limits that the pages name
QUIET_S, WATCH_S = 3.0, 10.0
MOST_BYTES, MOST_S = 60_000_000, 6.0  # what the bad client sends at most
FIELDS = 2000  # trailer fields in one write


async def handle(server: rig.Server, message: rig.Message, writer: asyncio.StreamWriter) -> None:
    server.record(f"{server.name}: runs {message.headers['x-call-id']}")
    await asyncio.sleep(0.05)
    writer.write(rig.response(200, b"ok"))


async def bad_client(node: rig.Node, record: rig.Record) -> None:
    """A chunked request whose body ends at once, and then trailer fields without an end, at full speed."""
    client = await rig.Client.open(node.listen)
    head = (b"POST /api/x HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: bad1\r\nX-Call-Class: pay\r\n"
            b"X-Budget: 2000m\r\nIdempotency-Key: bad-key\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n")
    client.writer.write(head)
    record("bad client: connected, head and body sent")
    answer = asyncio.create_task(client.reader.read(1000))
    begin, sent, number = record.now(), 0, 0
    try:
        while not answer.done() and sent < MOST_BYTES and record.now() - begin < MOST_S:
            data = b"".join(b"a%x: b\r\n" % (number + i) for i in range(FIELDS))
            number += FIELDS
            client.writer.write(data)
            async with asyncio.timeout(MOST_S):
                await client.writer.drain()
            await asyncio.sleep(0)  # the usual clients of this process go first
            sent += len(data)
    except (OSError, TimeoutError):
        pass
    record(f"bad client: {number} fields, {sent / 1e6:.1f} MB sent in {record.now() - begin:.1f} s; "
           f"answered or closed: {answer.done()}")
    answer.cancel()
    client.close()


async def case(record: rig.Record, folder: Path) -> list[str]:
    servers = [rig.Server(f"s{i}", zone, handle) for i, zone in enumerate("aaabbbccc")]
    for server in servers:
        server.record = record
        await server.start()
    discovery = rig.Discovery(servers, record)
    await discovery.start()
    classes = [rig.request_class("lookup", "retryable"), rig.request_class("pay", "dedup", worth=10.0)]
    node = rig.Node(record, folder, {
        "settings": rig.settings(classes), "known": discovery.known(),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
    }, discovery.address)
    await node.start()
    platform = rig.Platform(node, record)
    watch = asyncio.create_task(platform.watch())
    lost: list[str] = []  # the node ran all the time
    held: list[str] = []  # by the node when it was killed: the rule leaves these to their clients
    answered = 0

    async def pay(number: int) -> None:
        nonlocal answered
        name = f"pay-{number}"
        try:
            client = await rig.Client.open(node.listen)
        except OSError:
            return  # the node is not running: it has not taken this request
        sent = record.now()
        try:
            client.writer.write(rig.request("pay", name, 2000, key=f"key-{number}", body=b"amount=12", hint_us=30_000,
                                            path=f"/api/p{number}"))
            await client.writer.drain()
            record(f"client: {name} sent")
            async with asyncio.timeout(2.55):  # the client's time, and what the rule adds for a late answer
                message = await rig.read_message(client.reader)
            record(f"client: {name} answered {message.status} after {record.now() - sent:.2f} s")
            answered += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record(f"client: {name} has no answer after {record.now() - sent:.2f} s: {type(error).__name__}")
            (held if platform.killed and not isinstance(error, TimeoutError) else lost).append(name)
        finally:
            client.close()

    tasks = []
    bad: asyncio.Task[None] | None = None
    try:
        begin, number = record.now(), 0
        while record.now() - begin < QUIET_S + WATCH_S and node.alive():
            tasks.append(asyncio.create_task(pay(number)))
            number += 1
            if rig.TROUBLE and bad is None and record.now() - begin > QUIET_S:
                bad = asyncio.create_task(bad_client(node, record))
            await asyncio.sleep(0.05)
        await asyncio.wait(tasks, timeout=5.0)
        ended_by_itself = not platform.killed and not node.alive()
        if bad is not None:
            await bad
    finally:
        watch.cancel()
        await node.end()
    record(f"most memory {platform.most_kb / 1024:.1f} MB; {answered} payments answered, {len(held)} held when "
           f"the node was killed, {len(lost)} unanswered in time while it ran")
    breaches = []
    if platform.killed:
        breaches.append(f"the node went over {MEMORY_MB} MB and was killed")
    if ended_by_itself:
        breaches.append("the node has ended by itself")
    if lost:
        breaches.append(f"{len(lost)} payments had no answer in time while the node ran: {', '.join(lost[:5])} ...")
    return breaches


sys.exit(rig.run_case(Path(__file__).resolve().parent, case))
