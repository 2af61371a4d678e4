"""The keeper's calls to a node, on sockets."""

from __future__ import annotations

import asyncio

import pytest

from headspar.keeper.node_client import call
from tests.loopback import free_address

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\nConnection: close\r\n\r\n{"state":"ok"}'


@pytest.mark.parametrize("size", [1, 10, 60, 1000])
def test_an_answer_whose_head_comes_in_pieces_is_read(size: int) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for start in range(0, len(ANSWER), size):
            writer.write(ANSWER[start:start + size])
            await writer.drain()
            await asyncio.sleep(0)
        writer.close()

    async def scenario() -> None:
        address = free_address()
        async with await asyncio.start_server(serve, *address):
            assert await call(address, "/healthcheck", seconds=15.0) == (200, {"state": "ok"})

    asyncio.run(scenario())
