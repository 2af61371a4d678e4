"""Lists are pushed; discovery is down for 31 s, and a backend drains meanwhile."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Backend, Client, Discovery, Node, Record, main, new_id, one_class, request, settings  # noqa: E402

QUIET_S = 5.0
OUTAGE_S = 31.0
TOLD_S = 6.0  # after the return at the latest, by the most lenient sentence of the pages
GRACE_S = 1.0 + 0.05 + 0.15  # the grace of a drain, the slack of sockets, a node that is held up


async def case(record: Record, work: Path, trouble: bool) -> bool:
    backends = [Backend(record, f"s-{i}") for i in range(4)]
    for backend in backends:
        await backend.open()
    agent = Discovery(record, [b.row() for b in backends])
    await agent.open()
    classes = [one_class("consultar-deuda", "retryable", 2000)]
    node = Node(record, work, agent.address, agent.whole(), settings(classes, mode="automatic"))
    drained, done = backends[0], asyncio.Event()
    try:
        await node.start()
        await node.ready()

        async def usual() -> None:
            client = await Client.connect(node.address)
            while not done.is_set():
                call_id = new_id()
                got = await client.ask(request("consultar-deuda", call_id, "2000m", safe=True), 3.0)
                record.write("client gets", call_id, got[0] if got else "nothing")
                if not client.open:
                    client = await Client.connect(node.address)
                await asyncio.sleep(0.05)

        load = asyncio.create_task(usual())
        await asyncio.sleep(QUIET_S)
        if trouble:
            agent.fall_silent()
        await asyncio.sleep(OUTAGE_S)
        if trouble:
            agent.speak()
        await agent.publish(drained.row("draining"))  # what the agent gets at the return of discovery
        at = record.now()
        await asyncio.sleep(16.0)
        done.set()
        await load
        after = [when - at for when, _ in drained.requests if when > at]
        late = [s for s in after if s > TOLD_S + GRACE_S]
        record.write(f"sent to {drained.id} after the agent had its drain: {len(after)},"
                     f" the last {max(after, default=0.0):.2f} s after it;"
                     f" later than {TOLD_S + GRACE_S:.2f} s: {len(late)}")
        return not late
    finally:
        await node.kill()


main(Path(__file__).resolve().parent, case)
