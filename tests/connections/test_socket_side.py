"""``node.backends`` by itself: which outcome each attempt hears when connections are being made."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import pytest

from headspar.interface import Outcome
from headspar.node.backends import Backends, Budget
from headspar.node.core import Attempt, Node, Request, now_us
from headspar.operator_file import Connections
from tests.helpers import settings
from tests.loopback import free_address

S = 1_000_000
MAKING, WAITING = Connections().making, Connections().waiting


class Core:
    """What the socket side needs of the node, writing down how attempts end."""

    def __init__(self, ahead: int = 0, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.loop = asyncio.get_running_loop()
        self.ends: list[tuple[Attempt, Outcome]] = []
        self.errors: list[BaseException] = []
        self.backends = Backends(cast(Node, self), 100, Budget(1 << 20), Connections(ahead=ahead))

    def end(self, attempt: Attempt, outcome: Outcome, *rest: Any) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        conn, attempt.conn = attempt.conn, None
        if conn is not None:
            conn.release()
        self.ends.append((attempt, outcome))

    def error(self, where: str, error: BaseException) -> None:
        self.errors.append(error)

    def attempt(self, cls: str = "crew") -> Attempt:
        r = Request(cast(Any, None))
        r.head, r.call_id, r.cls, r.live, r.deadline = b"GET / HTTP/1.1\r\nHost: ", b"x", cls, True, now_us() + 9 * S
        attempt = Attempt(r, 0, "s", now_us())
        self.backends.start(attempt)
        return attempt

    def outcomes(self) -> list[Outcome]:
        return [outcome for _, outcome in self.ends]

    def consistent(self) -> None:
        plan, b = self.backends.plan, self.backends
        assert not self.errors
        assert set(plan.connections) == set(b.connections)
        for id, host in b.hosts.items():
            assert plan.servers[id].waiting == len(host.waiters)
            assert plan.servers[id].making == host.making


async def until(what: Callable[[], Any], seconds: float = 10.0) -> None:
    async with asyncio.timeout(seconds):
        while not what():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def core(**changes: Any) -> AsyncIterator[Core]:
    c = Core(**changes)
    yield c
    for conn in list(c.backends.connections.values()):
        conn.close()
    for task in list(c.backends.tasks):
        task.cancel()


class Server(asyncio.Protocol):
    """Answers each request when it is told to."""

    made: list[Server]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.requests = 0
        Server.made.append(self)

    def data_received(self, data: bytes) -> None:
        self.requests += data.count(b"X-Call-Id")

    def answer(self) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def deaf() -> tuple[tuple[str, int], list[socket.socket]]:
    """An address at which connections never come up."""
    sock = socket.socket()
    sock.bind(free_address())
    sock.listen(0)
    fill = [socket.socket() for _ in range(4)]
    for one in fill:
        one.setblocking(False)
        one.connect_ex(sock.getsockname())
    return sock.getsockname(), [sock, *fill]


def run(coroutine: Any) -> None:
    with asyncio.Runner() as runner:
        runner.run(coroutine)


@pytest.mark.parametrize("linger", [True, False])
def test_a_connection_found_dead_before_the_request_is_written_could_not_connect(linger: bool) -> None:
    async def whole() -> None:
        listener = socket.socket()
        listener.bind(free_address())
        listener.listen()
        async with core() as c:
            c.backends.place("s", listener.getsockname(), 0)
            real = c.loop.create_connection

            async def slow(*args: Any, **kw: Any) -> Any:
                """Comes back only once the server's reset, or its end, is here."""
                made = await real(*args, **kw)
                conn, _ = listener.accept()
                if linger:
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                conn.close()
                poller = select.poll()
                poller.register(made[0].get_extra_info("socket").fileno(), select.POLLIN)
                assert poller.poll(5000)
                return made

            c.loop.create_connection = slow  # type: ignore[method-assign]
            attempt = c.attempt()
            await until(lambda: attempt.ended)
            assert c.outcomes() == [Outcome.CONNECT_FAILED]
            c.consistent()
        listener.close()

    run(whole())


def test_a_kept_connection_found_dead_is_passed_over_and_another_is_made() -> None:
    async def whole() -> None:
        Server.made = []
        server = await asyncio.get_running_loop().create_server(Server, *free_address())
        async with core() as c:
            c.backends.place("s", server.sockets[0].getsockname(), 0)
            c.attempt()
            await until(lambda: Server.made and Server.made[0].requests)
            Server.made[0].answer()
            await until(lambda: c.ends)
            conn = next(iter(c.backends.connections.values()))
            transport = conn.transport
            assert transport is not None
            transport.pause_reading()  # so that the end lies unread when the connection is picked
            Server.made[0].transport.abort()
            sock = transport.get_extra_info("socket")
            poller = select.poll()
            poller.register(sock.fileno(), select.POLLIN)
            await until(lambda: poller.poll(0))
            c.attempt()
            await until(lambda: len(Server.made) == 2 and Server.made[1].requests)
            Server.made[1].answer()
            await until(lambda: len(c.ends) == 2)
            assert c.outcomes() == [Outcome.OK] * 2
            c.consistent()
        server.close()

    run(whole())


def test_of_those_that_wait_in_vain_one_for_each_connection_failed_to_connect_and_the_rest_never_ran() -> None:
    async def whole() -> None:
        address, socks = deaf()
        async with core(connect_timeout_us=200_000) as c:
            c.backends.place("s", address, 0)
            attempts = [c.attempt() for _ in range(2 * MAKING + WAITING + 10)]
            at_once = len(c.ends)
            assert c.outcomes() == [Outcome.MOOT] * at_once and at_once >= 10
            c.consistent()
            await until(lambda: all(a.ended for a in attempts))
            outcomes = c.outcomes()
            assert outcomes.count(Outcome.CONNECT_FAILED) == MAKING
            assert outcomes.count(Outcome.MOOT) == len(attempts) - MAKING
            await until(lambda: not c.backends.connections)
            c.consistent()
        for sock in socks:
            sock.close()

    run(whole())


def test_an_attempt_takes_the_connection_that_is_free_first_and_the_one_made_for_it_is_kept() -> None:
    async def whole() -> None:
        Server.made = []
        server = await asyncio.get_running_loop().create_server(Server, *free_address())
        async with core() as c:
            c.backends.place("s", server.sockets[0].getsockname(), 0)
            first = c.attempt()
            await until(lambda: Server.made and Server.made[0].requests)
            hold = asyncio.Event()
            real = c.loop.create_connection

            async def slow(*args: Any, **kw: Any) -> Any:
                await hold.wait()
                return await real(*args, **kw)

            c.loop.create_connection = slow  # type: ignore[method-assign]
            c.backends.connect_timeout = 10.0
            second = c.attempt()
            await asyncio.sleep(0)
            assert second.conn is None and len(c.backends.hosts["s"].waiters) == 1
            c.consistent()
            Server.made[0].answer()
            await until(lambda: first.ended and Server.made[0].requests == 2)
            hold.set()
            await until(lambda: len(Server.made) == 2)
            Server.made[0].answer()
            await until(lambda: second.ended)
            await until(lambda: len(c.backends.plan.idle) == 2)
            assert c.outcomes() == [Outcome.OK] * 2 and Server.made[1].requests == 0
            c.consistent()
        server.close()

    run(whole())


def test_an_attempt_that_was_called_off_while_it_waited_leaves_its_place() -> None:
    async def whole() -> None:
        Server.made = []
        server = await asyncio.get_running_loop().create_server(Server, *free_address())
        async with core() as c:
            c.backends.place("s", server.sockets[0].getsockname(), 0)
            gone, stays = c.attempt(), c.attempt()
            c.end(gone, Outcome.CANCELLED)
            await until(lambda: any(s.requests for s in Server.made))
            for one in Server.made:
                if one.requests:
                    one.answer()
            await until(lambda: stays.ended)
            assert c.outcomes() == [Outcome.CANCELLED, Outcome.OK]
            await until(lambda: len(c.backends.plan.idle) == 2)
            c.consistent()
        server.close()

    run(whole())


@pytest.mark.parametrize("again", [True, False])
def test_attempts_that_wait_for_a_server_that_is_gone_or_moved_may_go_elsewhere_at_once(again: bool) -> None:
    async def whole() -> None:
        address, socks = deaf()
        async with core(connect_timeout_us=9 * S) as c:
            c.backends.place("s", address, 0)
            attempts = [c.attempt() for _ in range(3)]
            assert not c.ends
            if again:
                c.backends.place("s", address, now_us())  # the same id and address, started anew
            else:
                c.backends.remove("s")
            assert c.outcomes() == [Outcome.MOOT] * 3 and all(a.ended for a in attempts)
            if again:
                assert c.backends.plan.servers["s"].waiting == c.backends.plan.servers["s"].making == 0
        for sock in socks:
            sock.close()

    run(whole())


def test_a_connection_made_for_a_server_that_was_replaced_meanwhile_is_not_kept() -> None:
    async def whole() -> None:
        Server.made = []
        server = await asyncio.get_running_loop().create_server(Server, *free_address())
        address = server.sockets[0].getsockname()
        async with core() as c:
            c.backends.place("s", address, 0)
            c.attempt()
            c.backends.place("s", address, now_us())
            assert c.outcomes() == [Outcome.MOOT]
            await until(lambda: not c.backends.tasks)
            assert not c.backends.connections and not c.backends.plan.connections
            c.consistent()
        server.close()

    run(whole())


def test_spares_are_opened_by_the_plan_and_used_without_a_wait() -> None:
    async def whole() -> None:
        Server.made = []
        server = await asyncio.get_running_loop().create_server(Server, *free_address())
        async with core(ahead=1) as c:
            c.backends.place("s", server.sockets[0].getsockname(), 0)
            c.attempt()
            await until(lambda: Server.made and Server.made[0].requests)

            def tended() -> bool:
                c.backends.tend(now_us())
                return len(c.backends.plan.idle) == 1

            await until(tended)
            second = c.attempt()
            assert second.conn is not None and not c.backends.hosts["s"].waiters
            await until(lambda: Server.made[1].requests)
            c.consistent()
        server.close()

    run(whole())


def test_what_is_out_of_reach_keeps_no_idle_connection() -> None:
    async def whole() -> None:
        Server.made = []
        server = await asyncio.get_running_loop().create_server(Server, *free_address())
        async with core() as c:
            c.backends.place("s", server.sockets[0].getsockname(), 0)
            c.attempt()
            await until(lambda: Server.made and Server.made[0].requests)
            Server.made[0].answer()
            await until(lambda: len(c.backends.plan.idle) == 1)
            c.backends.let_go(["s", "nobody"])
            assert not c.backends.connections and not c.backends.plan.connections
        server.close()

    run(whole())


def test_an_attempt_that_is_never_answered_on_a_kept_connection_counts_against_its_idle_time() -> None:
    async def whole() -> None:
        Server.made = []
        server = await asyncio.get_running_loop().create_server(Server, *free_address())
        async with core() as c:
            c.backends.place("s", server.sockets[0].getsockname(), 0)
            for _ in range(2):
                c.attempt("look")
            await until(lambda: [s.requests for s in Server.made] == [1, 1])
            for one in Server.made:
                one.answer()
            await until(lambda: len(c.ends) == 2)
            await asyncio.sleep(0.06)  # beyond the first bucket of idle times
            dead, alive = c.attempt("look"), c.attempt("look")
            await until(lambda: [s.requests for s in Server.made] == [2, 2])
            conn = alive.conn
            assert conn is not None and conn.transport is not None
            ours = conn.transport.get_extra_info("sockname")
            next(s for s in Server.made if s.transport.get_extra_info("peername") == ours).answer()
            await until(lambda: alive.ended)
            await asyncio.sleep(5 * c.backends.plan.use_us / 1e6)
            broke = c.backends.plan.evidence.broke
            assert not any(broke)
            c.end(dead, Outcome.TIMEOUT)
            assert sum(broke) == 1 and not broke[0]
            c.consistent()
        server.close()

    run(whole())
