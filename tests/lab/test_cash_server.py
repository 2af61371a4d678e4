"""The cash server on sockets: connection limit, idle time-out, deduplication by group, overload while cold."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from headspar.lab.cash_server import CashServer, ServerContext
from headspar.lab.children import Hosts, now_us
from headspar.world.machine import OVERLOAD_SLACK
from headspar.world.plan import body_of, call_id, draw, idempotency_key
from headspar.world.records import AttemptResult
from headspar.world.scenario import parse

TEXT = '''
name = "one server"
length_s = 5
[nodes]
count = 1
[[servers]]
count = 4
sites = ["x", "y"]
connections = 2
idle_s = 0.3
idle_close = "{close}"
[load]
rps = 60
work_scale = 0.05
'''
Script = Callable[[ServerContext, list[CashServer]], Awaitable[None]]


def on_servers(script: Script, close: str = "fin", cold: bool = False) -> None:
    async def main() -> None:
        s = parse(TEXT.format(close=close))
        context = ServerContext(s, draw(s, 2))
        hosts = Hosts()
        servers = [CashServer(context, p, hosts.next(), ["n1"]) for p in context.plan.servers]
        for server in servers:
            await server.start(cold)
        try:
            async with asyncio.timeout(20):
                await script(context, servers)
        finally:
            for server in servers:
                server.die()

    asyncio.run(main())


def request(context: ServerContext, index: int) -> bytes:
    call, salt = context.plan.calls[index], context.plan.salt
    spec = context.scenario.classes[call.cls]
    head = f"X-Call-Id: {call_id(salt, index, 0)}\r\n"
    if spec.effect == "retryable":
        return f"GET /api/{call.target} HTTP/1.1\r\n{head}\r\n".encode()
    body = body_of(index, spec.body_bytes)
    head += f"Idempotency-Key: {idempotency_key(salt, index)}\r\nContent-Length: {len(body)}\r\n"
    return f"POST /api/{call.target} HTTP/1.1\r\n{head}\r\n".encode() + body


async def ask(context: ServerContext, server: CashServer, index: int) -> bytes:
    reader, writer = await asyncio.open_connection(*server.addresses["n1"])
    writer.write(request(context, index))
    head = await reader.readuntil(b"\r\n\r\n")
    writer.transport.abort()
    return head


def first_of(context: ServerContext, name: str) -> int:
    names = [c.name for c in context.scenario.classes]
    return next(i for i, call in enumerate(context.plan.calls) if names[call.cls] == name)


def test_beyond_its_limit_a_connection_is_reset() -> None:
    async def script(context: ServerContext, servers: list[CashServer]) -> None:
        open_connections = [await asyncio.open_connection(*servers[0].addresses["n1"]) for _ in range(2)]
        reader, _ = await asyncio.open_connection(*servers[0].addresses["n1"])
        with pytest.raises(ConnectionResetError):
            if await reader.read(1) == b"":
                raise AssertionError("closed with FIN instead of a reset")
        assert len(open_connections) == len(servers[0].connections) == 2

    on_servers(script)


@pytest.mark.parametrize("close", ["fin", "silent"])
def test_an_idle_connection_is_closed_with_a_word_or_without(close: str) -> None:
    async def script(context: ServerContext, servers: list[CashServer]) -> None:
        server = servers[0]
        reader, writer = await asyncio.open_connection(*server.addresses["n1"])
        while not server.connections:
            await asyncio.sleep(0.01)
        conn = next(iter(server.connections))
        server.sweep_idle(conn.idle_at + 299_000)
        assert not conn.silent and not conn.is_closed
        server.sweep_idle(conn.idle_at + 300_000)
        if close == "fin":
            assert await reader.read(1) == b""
            return
        writer.write(request(context, 0))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await reader.read(1)
        server.sweep_idle(conn.idle_at + 400_000)
        assert [m.what for m in context.ledger.marks] == ["stale"] and not context.ledger.rows

    on_servers(script, close)


@pytest.mark.parametrize(("name", "second", "dropped"), [
    ("payment", 1, True),  # its group is all servers, also those of another site
    ("batch", 2, True),  # its group is the servers of one site
    ("batch", 1, False),
    ("lookup", 2, False),
])
def test_a_repeat_is_dropped_within_its_group_only(name: str, second: int, dropped: bool) -> None:
    async def script(context: ServerContext, servers: list[CashServer]) -> None:
        assert [s.plan.site for s in servers] == ["x", "y", "x", "y"]
        index = first_of(context, name)
        for server in (servers[0], servers[second]):
            assert b" 200 " in await ask(context, server, index)
        assert [row.fate for row in context.ledger.rows] == [
            AttemptResult.DONE, AttemptResult.REPEAT if dropped else AttemptResult.DONE]
        assert [row.effect for row in context.ledger.rows] == [True, not dropped]

    on_servers(script)


def test_an_id_that_no_caller_made_is_counted_and_answered_400() -> None:
    async def script(context: ServerContext, servers: list[CashServer]) -> None:
        reader, writer = await asyncio.open_connection(*servers[0].addresses["n1"])
        writer.write(b"GET /api/evil HTTP/1.1\r\nX-Call-Id: 0123456789abcdef\r\n\r\n")
        assert b" 400 " in await reader.readuntil(b"\r\n\r\n")
        assert context.unknown_requests == 1 and not context.ledger.rows
        writer.close()

    on_servers(script)


def test_a_draining_server_turns_away_what_is_new() -> None:
    async def script(context: ServerContext, servers: list[CashServer]) -> None:
        servers[0].drain()
        head = await ask(context, servers[0], 0)
        assert b" 503 " in head and b"X-Rejected: 1" in head
        assert context.ledger.rows[0].fate is AttemptResult.REJECTED

    on_servers(script)


def test_a_cold_server_that_is_pushed_over_stays_down() -> None:
    async def script(context: ServerContext, servers: list[CashServer]) -> None:
        server = servers[0]
        machine, rules, now = server.core.machine, context.scenario.rules, now_us()
        assert machine is not None
        budget = rules.fall_multiple * server.plan.capacity * machine.warm(now) * rules.fall_s
        assert not machine.record_arrival(now, budget * (1 + OVERLOAD_SLACK) - 1000)  # just below the limit
        with pytest.raises((OSError, asyncio.IncompleteReadError)):
            await ask(context, server, first_of(context, "batch"))
        assert [m.what for m in context.ledger.marks] == ["fell"]
        await asyncio.sleep(0.1)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*server.addresses["n1"])

    on_servers(script, cold=True)
