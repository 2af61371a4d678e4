"""An upgrade while the old process holds large bodies: the memory of both processes together."""

from __future__ import annotations

import asyncio
import signal
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
    free_address,
    main,
    new_id,
    one_class,
    request,
    response,
    settings,
)

MEMORY_MB = 192
BODY = 28 * 1024 * 1024  # bytes; bodies reach 32 MB
BEFORE, AFTER = 4, 3  # clients with such a body, before and after the second process says yes
WORK_S = 3.5  # of a backend; the deadline is 5 s


async def answer(backend: Backend, call_id: str, fields: dict[str, str], writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(WORK_S)
    writer.write(response(f"{backend.id} {call_id}".encode()))
    return True


def private_mb(pid: int) -> float:
    """The private memory of a process (RssAnon); program files that both processes share are left out."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("RssAnon")), 0.0)


async def case(record: Record, work: Path, trouble: bool) -> bool:
    backends = [Backend(record, f"s-{i}") for i in range(3)]
    for backend in backends:
        backend.answer = answer
        await backend.open()
    discovery = Discovery(record, [b.row() for b in backends])
    await discovery.open()
    classes = [one_class("cierre-caja", "dedup", 5000, 3000, aim_ms=1000)]
    node = Node(record, work, discovery.address, discovery.whole(), settings(classes), memory_mb=MEMORY_MB)
    most, answers = 0.0, dict[int, int]()
    try:
        first = await node.start()
        await node.ready()

        async def watch() -> None:
            nonlocal most
            while True:
                parts = [private_mb(p.pid) for p in node.processes]
                if sum(parts) > most + 1.0:
                    record.write("private memory, MB:", " + ".join(f"{part:.0f}" for part in parts))
                most = max(most, sum(parts))
                await asyncio.sleep(0.02)

        async def send() -> None:
            client = await Client.connect(node.address)
            call_id = new_id()
            record.write("client sends", call_id, BODY, "bytes")
            got = await client.ask(request("cierre-caja", call_id, "5000m", key=new_id(), body=bytes(BODY)), 8.0)
            answers[got[0] if got else 0] = answers.get(got[0] if got else 0, 0) + 1
            record.write("client gets", call_id, got[0] if got else "nothing")
            client.close()

        async def send_many(count: int) -> list[asyncio.Task[None]]:
            tasks = []
            for _ in range(count):
                tasks.append(asyncio.create_task(send()))
                await asyncio.sleep(0.2)
            return tasks

        watcher = asyncio.create_task(watch())
        tasks = await send_many(BEFORE)
        if trouble:
            ops = free_address()
            await node.start(ops)
            await node.ready(ops, "/healthcheck")
            first.send_signal(signal.SIGTERM)
            record.write("SIGTERM to the first process")
        else:
            await asyncio.sleep(0.5)
        tasks += await send_many(AFTER)
        await asyncio.gather(*tasks)
        watcher.cancel()
        record.write(f"most private memory: {most:.0f} MB of {MEMORY_MB}; answers by status: {answers}")
        if 200 not in answers:
            raise CannotRun("no body was served")
        return most <= MEMORY_MB
    finally:
        await node.kill()


main(Path(__file__).resolve().parent, case)
