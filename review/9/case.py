"""A client reads a long answer at 64 kB a second."""

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
    Discovery,
    Node,
    Record,
    main,
    new_id,
    one_class,
    request,
    settings,
)

ANSWER_BYTES = 6_000_000
BYTES_PER_S = 64_000
PIECE = 6_400
RECEIVE_BUFFER = 64 * 1024


async def answer(backend: Backend, call_id: str, fields: dict[str, str], writer: asyncio.StreamWriter) -> bool:
    """Write the answer as fast as the node takes it."""
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode())
    try:
        for at in range(0, ANSWER_BYTES, 50_000):
            writer.write(bytes(50_000))
            await writer.drain()
            backend.record.write("backend has given", at + 50_000)
    except ConnectionError as error:
        backend.record.write("backend: the node has ended the connection:", type(error).__name__)
        raise
    return True


async def case(record: Record, work: Path, trouble: bool) -> bool:
    backend = Backend(record, "s-0")
    backend.answer = answer
    await backend.open()
    discovery = Discovery(record, [backend.row()])
    await discovery.open()
    node = Node(record, work, discovery.address, discovery.whole(),
                settings([one_class("consultar-deuda", "retryable", 2000)]))
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    try:
        await node.start()
        await node.ready()
        host, _, port = node.address.partition(":")
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, request("consultar-deuda", new_id(), "2000m", safe=True))
        data, began, noted = b"", record.now(), 0
        while b"\r\n\r\n" not in data:
            data += await loop.sock_recv(sock, PIECE)
        head, _, rest = data.partition(b"\r\n\r\n")
        record.write("client: head", head.split(b"\r\n")[0].decode())
        if b" 200 " not in head:
            raise CannotRun("not served")
        got, end = len(rest), "reading"
        while got < ANSWER_BYTES:
            try:
                more = await loop.sock_recv(sock, PIECE)
            except ConnectionError as error:
                end = type(error).__name__
                break
            if not more:
                end = "end of the connection"
                break
            got += len(more)
            if got - noted >= 320_000:
                noted = got
                record.write("client has read", got)
            if trouble:
                await asyncio.sleep(max(0.0, began + got / BYTES_PER_S - record.now()))
        record.write(f"client: {got} of {ANSWER_BYTES} bytes;", "whole" if got == ANSWER_BYTES else end)
        return got == ANSWER_BYTES
    finally:
        sock.close()
        await node.kill()


main(Path(__file__).resolve().parent, case)
