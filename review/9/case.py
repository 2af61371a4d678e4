"""Discovery's answers have no length and end with their connection; a backend drains."""

from __future__ import annotations

import asyncio
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
    main,
    new_id,
    one_class,
    request,
    settings,
)

QUIET_S = 12.0  # the first watch begins within 4 s; it is asked for every 10 s at least
WATCHED_S = 20.0
TOLD_S = 6.0  # after the change at the latest, by the most lenient sentence of the pages
GRACE_S = 1.0 + 0.05 + 0.15  # the grace of a drain, the slack of sockets, a node that is held up


async def case(record: Record, work: Path, trouble: bool) -> bool:
    backends = [Backend(record, f"s-{i}") for i in range(4)]
    for backend in backends:
        await backend.open()
    discovery = Discovery(record, [b.row() for b in backends])
    discovery.ends_by_close = trouble
    await discovery.open()
    node = Node(record, work, discovery.address, discovery.whole(),
                settings([one_class("consultar-deuda", "retryable", 2000)]))
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
        await discovery.publish(drained.row("draining"))
        at = record.now()
        await asyncio.sleep(WATCHED_S)
        done.set()
        await load
        after = [when - at for when, _ in drained.requests if when > at]
        late = [s for s in after if s > TOLD_S + GRACE_S]
        answers = sum(when > at for when in discovery.told)
        record.write(f"discovery has written {answers} answers with the drain; sent to {drained.id} after it:"
                     f" {len(after)}, the last {max(after, default=0.0):.2f} s after it;"
                     f" later than {TOLD_S + GRACE_S:.2f} s: {len(late)}")
        if not answers:
            raise CannotRun("the node has not called discovery")
        return not late
    finally:
        await node.kill()


main(Path(__file__).resolve().parent, case)
