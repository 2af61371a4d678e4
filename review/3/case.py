"""One spoilt answer whose trailer section has no end holds up the whole node; other requests are lost."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

QUIET_S, WATCH_S = 3.0, 9.0
BUDGET_MS, LATE_S = 2000, 0.55  # later than that after its time, a request is lost
BATCH_BUDGET_MS = 5000
FIELDS = b"".join(b"a%x: b\r\n" % number for number in range(10_000))


class Servers:
    """Sound servers, of which one spoils one answer."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.spoilt = False

    async def handle(self, server: rig.Server, message: rig.Message, writer: asyncio.StreamWriter) -> None:
        self.record(f"{server.name}: runs {message.headers['x-call-id']}")
        await asyncio.sleep(0.05)
        if not rig.TROUBLE or self.spoilt or not message.line.startswith("POST"):
            writer.write(rig.response(200, b"ok"))
            return
        self.spoilt = True
        self.record(f"{server.name}: a spoilt answer begins")
        sent = 0
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n")
            while not writer.is_closing():
                writer.write(FIELDS)
                await writer.drain()
                await asyncio.sleep(0)  # the clients of this process go first
                sent += len(FIELDS)
        finally:
            self.record(f"{server.name}: the spoilt answer has ended after {sent / 1e6:.0f} MB")


async def case(record: rig.Record, folder: Path) -> list[str]:
    site = Servers(record)
    servers = [rig.Server(f"s{i}", zone, site.handle) for i, zone in enumerate("aaabbbccc")]
    for server in servers:
        await server.start()
    discovery = rig.Discovery(servers, record)
    await discovery.start()
    classes = [
        rig.request_class("lookup", "retryable"),
        rig.request_class("batch", "fragile", aim_us=1_000_000, give_up_us=5_000_000, worth=8.0, late_worth=0.25),
    ]
    node = rig.Node(record, folder, {"settings": rig.settings(classes), "known": discovery.known()},
                    discovery.address)
    await node.start()
    answered = 0
    lost: list[str] = []

    async def ask(name: str, data: bytes, budget_ms: int) -> None:
        nonlocal answered
        client = await rig.Client.open(node.listen)
        begin = record.now()
        try:
            client.writer.write(data)
            await client.writer.drain()
            record(f"client: {name} sent")
            async with asyncio.timeout(budget_ms / 1000 + LATE_S):
                message = await rig.read_message(client.reader)
            record(f"client: {name} answered {message.status} after {record.now() - begin:.2f} s")
            answered += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record(f"client: {name} has no answer after {record.now() - begin:.2f} s: {type(error).__name__}")
            lost.append(name)
        finally:
            client.close()

    tasks = []
    try:
        begin, number, batch_sent = record.now(), 0, False
        while record.now() - begin < QUIET_S + WATCH_S:
            data = rig.request("lookup", f"l{number}", BUDGET_MS, hint_us=30_000, path=f"/api/l{number}")
            tasks.append(asyncio.create_task(ask(f"lookup-{number}", data, BUDGET_MS)))
            number += 1
            if not batch_sent and record.now() - begin > QUIET_S:
                batch_sent = True
                data = rig.request("batch", "b1", BATCH_BUDGET_MS, body=b"rows", hint_us=150_000)
                tasks.append(asyncio.create_task(ask("batch-1", data, BATCH_BUDGET_MS)))
            await asyncio.sleep(0.05)
        await asyncio.wait(tasks, timeout=10.0)
        if not node.alive():
            raise rig.CouldNotRun("the node has ended")
    finally:
        await node.end()
    record(f"{answered} answered in time, {len(lost)} lost")
    if not lost:
        return []
    return [f"{len(lost)} requests had no answer {LATE_S} s after their time: {', '.join(lost[:5])} ..."]


sys.exit(rig.run_case(Path(__file__).resolve().parent, case))
