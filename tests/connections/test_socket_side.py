"""Tests of ``node.backends`` in isolation: the outcome of each attempt while connections are being opened."""

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
from headspar.node import backends
from headspar.node.backends import Backends
from headspar.node.budget import Budget
from headspar.node.clock import now_us
from headspar.node.core import Attempt, Node, Request
from headspar.node.paced_input import InputTurns
from headspar.node.trace import CloseReason
from headspar.operations.ledger import Ledger
from headspar.operator_file import Connections
from tests.helpers import settings
from tests.loopback import free_address, unresponsive_address

S = 1_000_000
MAKING, WAITING = Connections().making, Connections().waiting


class Core:
    """A stub of the node for ``Backends`` that records the outcomes of attempts."""

    def __init__(self, ahead: int = 0, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.loop = asyncio.get_running_loop()
        self.input_turns = InputTurns(self.loop)
        self.ledger = Ledger()
        self.ends: list[tuple[Attempt, Outcome]] = []
        self.errors: list[BaseException] = []
        self.trace = None
        self.backends = Backends(cast(Node, self), 100, Budget(1 << 20), Connections(ahead=ahead))

    def end(self, attempt: Attempt, outcome: Outcome, *rest: Any) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        conn, attempt.conn = attempt.conn, None
        if conn is not None:
            conn.release()
        self.ends.append((attempt, outcome))

    def log(self, text: str) -> None:
        """Discarded by the stub."""

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
            assert plan.servers[id].waiting == len(host.waiters.line)
            assert plan.servers[id].making == host.waiters.making


async def until(condition: Callable[[], Any], seconds: float = 10.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def core(**changes: Any) -> AsyncIterator[Core]:
    c = Core(**changes)
    yield c
    for conn in list(c.backends.connections.values()):
        conn.close(CloseReason.RETIRED)
    for task in list(c.backends.tasks):
        task.cancel()


class Server(asyncio.Protocol):
    """The server's side of a connection; responds when the test calls ``answer``."""

    def __init__(self, made: list[Server]) -> None:
        self.made = made
        self.requests = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.made.append(self)

    def data_received(self, data: bytes) -> None:
        self.requests += data.count(b"X-Call-Id")

    def answer(self) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


@contextlib.asynccontextmanager
async def serving(**changes: Any) -> AsyncIterator[tuple[Core, list[Server]]]:
    """A ``Backends`` with one server, "s", and the connections that the server has accepted, in order."""
    made: list[Server] = []
    server = await asyncio.get_running_loop().create_server(lambda: Server(made), *free_address())
    async with core(**changes) as c:
        c.backends.add_or_update("s", server.sockets[0].getsockname(), 0)
        yield c, made
    server.close()


async def requests_received(made: list[Server], *requests: int) -> None:
    """Waits until the accepted connections have received these numbers of requests."""
    await until(lambda: [s.requests for s in made] == list(requests))


def run(coroutine: Any) -> None:
    with asyncio.Runner() as runner:
        runner.run(coroutine)


@pytest.mark.parametrize("linger", [True, False])
def test_a_connection_found_dead_before_the_request_is_written_could_not_connect(linger: bool) -> None:
    async def scenario() -> None:
        listener = socket.socket()
        listener.bind(free_address())
        listener.listen()
        async with core() as c:
            c.backends.add_or_update("s", listener.getsockname(), 0)
            real = c.loop.create_connection

            async def slow(*args: Any, **kw: Any) -> Any:
                """Returns only after the server's reset or FIN has arrived."""
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

    run(scenario())


def test_a_kept_connection_found_dead_is_passed_over_and_another_is_made() -> None:
    async def scenario() -> None:
        async with serving() as (c, made):
            c.attempt()
            await requests_received(made, 1)
            made[0].answer()
            await until(lambda: c.ends)
            conn = next(iter(c.backends.connections.values()))
            transport = conn.transport
            assert transport is not None
            transport.pause_reading()  # the end of the connection must be unread when it is chosen
            made[0].transport.abort()
            sock = transport.get_extra_info("socket")
            poller = select.poll()
            poller.register(sock.fileno(), select.POLLIN)
            await until(lambda: poller.poll(0))
            c.attempt()
            await until(lambda: len(made) == 2 and made[1].requests)
            made[1].answer()
            await until(lambda: len(c.ends) == 2)
            assert c.outcomes() == [Outcome.OK] * 2
            c.consistent()

    run(scenario())


def test_of_those_that_wait_in_vain_one_for_each_connection_failed_to_connect_and_the_rest_never_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    start = now_us()
    # With a real clock, connects time out late on a busy machine, and the waiting attempts exceed their wait limit.
    monkeypatch.setattr(backends, "now_us", lambda: start)

    async def scenario() -> None:
        with unresponsive_address() as address:
            async with core(connect_timeout_us=200_000) as c:
                c.backends.add_or_update("s", address, 0)
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

    run(scenario())


def test_an_attempt_takes_the_connection_that_is_free_first_and_the_one_made_for_it_is_kept() -> None:
    async def scenario() -> None:
        async with serving() as (c, made):
            first = c.attempt()
            await requests_received(made, 1)
            hold = asyncio.Event()
            real = c.loop.create_connection

            async def slow(*args: Any, **kw: Any) -> Any:
                await hold.wait()
                return await real(*args, **kw)

            c.loop.create_connection = slow  # type: ignore[method-assign]
            c.backends.connect_timeout = 10.0
            second = c.attempt()
            await asyncio.sleep(0)
            assert second.conn is None and len(c.backends.hosts["s"].waiters.line) == 1
            c.consistent()
            made[0].answer()
            await until(lambda: first.ended and made[0].requests == 2)
            hold.set()
            await until(lambda: len(made) == 2)
            made[0].answer()
            await until(lambda: second.ended)
            await until(lambda: len(c.backends.plan.idle) == 2)
            assert c.outcomes() == [Outcome.OK] * 2 and made[1].requests == 0
            c.consistent()

    run(scenario())


def test_an_attempt_that_was_called_off_while_it_waited_leaves_its_place() -> None:
    async def scenario() -> None:
        async with serving() as (c, made):
            gone, stays = c.attempt(), c.attempt()
            c.end(gone, Outcome.CANCELLED)
            await until(lambda: any(s.requests for s in made))
            for one in made:
                if one.requests:
                    one.answer()
            await until(lambda: stays.ended)
            assert c.outcomes() == [Outcome.CANCELLED, Outcome.OK]
            await until(lambda: len(c.backends.plan.idle) == 2)
            c.consistent()

    run(scenario())


@pytest.mark.parametrize("again", [True, False])
def test_attempts_that_wait_for_a_server_that_is_gone_or_moved_may_go_elsewhere_at_once(again: bool) -> None:
    async def scenario() -> None:
        with unresponsive_address() as address:
            async with core(connect_timeout_us=9 * S) as c:
                c.backends.add_or_update("s", address, 0)
                attempts = [c.attempt() for _ in range(3)]
                assert not c.ends
                if again:
                    c.backends.add_or_update("s", address, now_us())  # the same id and address after a restart
                else:
                    c.backends.remove("s")
                assert c.outcomes() == [Outcome.MOOT] * 3 and all(a.ended for a in attempts)
                if again:
                    assert c.backends.plan.servers["s"].waiting == c.backends.plan.servers["s"].making == 0

    run(scenario())


def test_a_connection_made_for_a_server_that_was_replaced_meanwhile_is_not_kept() -> None:
    async def scenario() -> None:
        async with serving() as (c, made):
            c.attempt()
            c.backends.add_or_update("s", c.backends.hosts["s"].address, now_us())
            assert c.outcomes() == [Outcome.MOOT]
            await until(lambda: not c.backends.tasks)
            assert not c.backends.connections and not c.backends.plan.connections
            c.consistent()

    run(scenario())


def test_spares_are_opened_by_the_plan_and_used_without_a_wait() -> None:
    async def scenario() -> None:
        async with serving(ahead=1) as (c, made):
            c.attempt()
            await requests_received(made, 1)

            def tended() -> bool:
                c.backends.maintain(now_us())
                return len(c.backends.plan.idle) == 1

            await until(tended)
            second = c.attempt()
            assert second.conn is not None and not c.backends.hosts["s"].waiters.line
            await until(lambda: made[1].requests)
            c.consistent()

    run(scenario())


def test_what_is_out_of_reach_keeps_no_idle_connection() -> None:
    async def scenario() -> None:
        async with serving() as (c, made):
            c.attempt()
            await requests_received(made, 1)
            made[0].answer()
            await until(lambda: len(c.backends.plan.idle) == 1)
            c.backends.close_unreachable(["s", "nobody"])
            assert not c.backends.connections and not c.backends.plan.connections

    run(scenario())


def test_an_attempt_that_is_never_answered_on_a_kept_connection_counts_against_its_idle_time() -> None:
    async def scenario() -> None:
        async with serving() as (c, made):
            for _ in range(2):
                c.attempt("look")
            await requests_received(made, 1, 1)
            for one in made:
                one.answer()
            await until(lambda: len(c.ends) == 2)
            await asyncio.sleep(Connections().quarantine_ms / 1000 + 0.06)
            dead, alive = c.attempt("look"), c.attempt("look")
            await requests_received(made, 2, 2)
            conn = alive.conn
            assert conn is not None and conn.transport is not None
            ours = conn.transport.get_extra_info("sockname")
            next(s for s in made if s.transport.get_extra_info("peername") == ours).answer()
            await until(lambda: alive.ended)
            await asyncio.sleep(5 * c.backends.plan.use_us / 1e6)
            broke = c.backends.plan.evidence.broke
            assert not any(broke)
            c.end(dead, Outcome.TIMEOUT)
            assert sum(broke) == 1 and not broke[0]
            c.consistent()

    run(scenario())


def test_a_server_is_presumed_cold_by_its_start_and_warms_with_its_age() -> None:
    async def scenario() -> None:
        async with core(cold_share=0.2, ramp_us=20 * S) as c:
            now = now_us()
            starts = (("old", 0), ("cold", now), ("half", now - 10 * S), ("warm", now - 30 * S))
            for port, (id, started) in enumerate(starts, start=1):
                c.backends.add_or_update(id, ("127.0.0.1", port), started)
            servers = c.backends.plan.servers

            def warm() -> list[float]:
                return [round(servers[id].warm, 1) for id in ("old", "cold", "half", "warm")]

            assert warm() == [1.0, 0.2, 0.6, 1.0]
            c.backends.maintain(now + 10 * S)
            assert warm() == [1.0, 0.6, 1.0, 1.0]
            c.backends.maintain(now + 21 * S)
            assert warm() == [1.0] * 4 and not c.backends.in_slow_start

    run(scenario())
