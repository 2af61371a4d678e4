"""A bad client sends requests of a class that doesn't exist."""

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


async def case(record: Record, work: Path, trouble: bool) -> bool:
    backends = [Backend(record, f"s-{i}") for i in range(3)]
    for backend in backends:
        await backend.open()
    discovery = Discovery(record, [b.row() for b in backends])
    await discovery.open()
    classes = [one_class("consultar-deuda", "retryable", 2000), one_class("registrar-pago", "dedup", 1200, 1200),
               one_class("cierre-caja", "fragile", 5000, aim_ms=1000)]
    node = Node(record, work, discovery.address, discovery.whole(), settings(classes))
    served = 0
    try:
        await node.start()
        await node.ready()
        usual = await Client.connect(node.address)
        for _ in range(20):
            call_id = new_id()
            got = await usual.ask(request("registrar-pago", call_id, "1200m", key=new_id()), 3.0)
            record.write("client: registrar-pago", call_id, got[0] if got else "nothing")
            if got is None or got[0] != 200:
                raise CannotRun("a usual request was not served")
            if trouble:
                for name in ("pago-directo", "registrar-pagos"):
                    call_id = new_id()
                    bad = await Client.connect(node.address)
                    reply = await bad.ask(request(name, call_id, "1200m", key=new_id()), 3.0)
                    runs = sum(x == call_id for b in backends for _, x in b.requests)
                    record.write(f"bad client: {name}", call_id, f"run {runs} times,",
                                 f"answer {reply[0]} {reply[2].decode()}" if reply else "closed")
                    served += reply is not None and reply[0] == 200
                    bad.close()
            await asyncio.sleep(0.05)
        record.write(f"bad clients served with an answer: {served}")
        return not served
    finally:
        await node.kill()


main(Path(__file__).resolve().parent, case)
