"""What the node holds for a peer counts against its memory at what it costs, and is given back once."""

from __future__ import annotations

import contextlib
import socket
import time
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest

from headspar.interface import Outcome
from headspar.node.backend_connection import FREE_ANSWER_BYTES, MAX_BUFFERED
from headspar.node.body_pieces import MERGED_PIECE_BYTES, Piece, append_piece
from tests.connections.test_socket_side import Core, Server, run, serving, until
from tests.loopback import Client, Node, Script, answer, running
from tests.node.harness import SOURCE, Side, request, side

MEMORY_MB = 64  # the node's limit
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
LONG_FIELD = b"v" * 50_000


def chunks(size: int, content: int) -> bytes:
    """Return ``content`` bytes in chunks of ``size``."""
    return (b"%x\r\n%b\r\n" % (size, b"x" * size)) * (content // size)


def answers(data: bytes) -> Script:
    return lambda sock, n: sock.sendall(data)


def private_memory_mb(node: Node) -> float:
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("RssAnon")) / 1024


def assert_memory_stays_within_limit(node: Node, seconds: float) -> None:
    end, most = time.monotonic() + seconds, 0.0
    while time.monotonic() < end:
        most = max(most, private_memory_mb(node))
        time.sleep(0.02)
    assert most < MEMORY_MB, f"{most:.0f} MB"


@contextlib.contextmanager
def clients_that_do_not_read(node: Node, count: int, pipelined: int) -> Iterator[None]:
    """Clients that send requests at once and read nothing of their answers."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(node.address)
            client = Client.__new__(Client)
            sock.sendall(b"".join(client.head(budget="9000m") for _ in range(pipelined)))
        yield


# ---------------------------------------------------------------- answers that are held for a request behind them


@pytest.mark.parametrize("size", [1, 2, 40, 1000])
def test_a_held_answer_in_small_chunks_takes_no_more_than_its_content(size: int) -> None:
    """Guards against an object for each chunk, of which the budget counts the content alone."""
    content = 3_000_000
    with running(answers(CHUNKED + chunks(size, content) + LAST_CHUNK), memory_mb=MEMORY_MB) as node:
        client = node.client()
        client.send(client.head(budget="15000m") + client.head(budget="15000m"))
        assert_memory_stays_within_limit(node, 2.0)
        assert [len(client.read().body) for _ in range(2)] == [content - content % size] * 2


def test_pieces_are_merged_up_to_their_size_and_stay_in_order() -> None:
    pieces: list[Piece] = []
    data = [bytes([i % 251]) * (1 + i * 7919 % 3000) for i in range(500)]
    for piece in data:
        append_piece(pieces, piece)
    assert b"".join(pieces) == b"".join(data)
    assert all(len(a) + len(b) > MERGED_PIECE_BYTES - 3000 for a, b in zip(pieces, pieces[1:], strict=False))
    assert max(map(len, pieces)) <= MERGED_PIECE_BYTES


@pytest.mark.parametrize(("begin", "held"), [
    (b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 40_000, 40_000),
    (CHUNKED + chunks(2, 30_000), 30_000),
    (b"HTTP/1.1 200 OK\r\nContent-Type: " + LONG_FIELD + b"\r\nContent-Length: 2\r\n\r\n", 50_000),
    (b"HTTP/1.1 200 OK\r\nContent-Type: " + LONG_FIELD, 50_000),
    (b"HTTP/1.1 103 X\r\nLink: " + LONG_FIELD, 50_000),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * (FREE_ANSWER_BYTES - 100), 0),
])
def test_what_is_held_of_an_answer_counts_while_it_is_held(begin: bytes, held: int) -> None:
    async def scenario() -> None:
        async with serving() as (c, made):
            budget = c.backends.budget
            attempt = c.attempt()
            await until(lambda: made and made[0].requests)
            made[0].transport.write(begin)
            await until(lambda: attempt.conn is not None and not attempt.conn.silent)
            await until(lambda: budget.size - budget.available >= held - FREE_ANSWER_BYTES)
            assert budget.available < budget.size or not held
            cast(Any, c).end(attempt, Outcome.CANCELLED)
            assert budget.available == budget.size

    run(scenario())


def test_an_interim_answer_gives_back_what_its_head_took() -> None:
    async def scenario() -> None:
        async with serving() as (c, made):
            budget = c.backends.budget
            attempt = c.attempt()
            await until(lambda: made and made[0].requests)
            made[0].transport.write(b"HTTP/1.1 103 X\r\nLink: " + LONG_FIELD)
            await until(lambda: budget.available < budget.size)
            made[0].transport.write(b"\r\n\r\n")
            made[0].answer()
            await until(lambda: attempt.ended)
            assert c.outcomes() == [Outcome.OK] and budget.available == budget.size

    run(scenario())


def test_an_answer_that_finds_no_room_is_not_held() -> None:
    async def scenario() -> None:
        async with serving() as (c, made):
            attempt = c.attempt()
            await until(lambda: made and made[0].requests)
            assert c.backends.budget.take(c.backends.budget.available)
            await _send_half(c, made, MAX_BUFFERED)
            await until(lambda: attempt.ended)
            assert c.outcomes() == [Outcome.RESET] and c.backends.budget.available == 0

    run(scenario())


async def _send_half(c: Core, made: list[Server], length: int) -> None:
    made[0].transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + b"x" * (length // 2))


# ---------------------------------------------------------------- output that a client has not taken


def test_held_answers_that_their_clients_do_not_read_stay_within_the_limit() -> None:
    """Guards against answers that no longer count once they are written to a client that reads nothing."""
    with running(answers(answer(200, bytes(7_000_000))), memory_mb=MEMORY_MB) as node:
        with clients_that_do_not_read(node, 12, pipelined=2):
            assert_memory_stays_within_limit(node, 3.0)


def test_answers_to_pipelined_requests_wait_for_the_client_to_read() -> None:
    """Guards against hundreds of answers that are written to a client that reads none of them."""
    script = answers(answer(200, bytes(64_000)))
    with running(script, script, memory_mb=MEMORY_MB) as node:
        with clients_that_do_not_read(node, 60, pipelined=100):
            assert_memory_stays_within_limit(node, 3.0)


def test_a_slow_reader_gets_all_answers_to_its_pipelined_requests() -> None:
    body = bytes(100_000)
    with running(answers(answer(200, body)), memory_mb=MEMORY_MB) as node, node.client() as client:
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        client.send(b"".join(client.head(budget="15000m") for _ in range(40)))
        time.sleep(0.5)
        assert [client.read().body for _ in range(40)] == [body] * 40


@contextlib.contextmanager
def paused_client(s: Side) -> Iterator[Any]:
    """A client whose output waits, with one request being served and one behind it."""
    client, transport = s.client()
    client.data_received(request("1") + request("2"))
    client.pause_writing()
    yield client
    transport.aborted = True


@pytest.mark.parametrize("size", [100, MAX_BUFFERED + 1])
def test_output_that_waits_counts_until_the_client_has_taken_it(size: int) -> None:
    with side() as s, paused_client(s) as client:
        before = s.server.budget.available
        client.serve([b"x" * size], b"")
        assert before - s.server.budget.available > size
        s.node.loop.run()
        assert s.node.ids() == [b"1"]  # the next one waits as well
        client.resume_writing()
        assert s.server.budget.available == before
        s.node.loop.run()
        assert s.node.ids() == [b"1", b"2"]


def test_streamed_output_that_waits_counts_until_its_client_is_gone() -> None:
    with side() as s:
        client, _ = s.client()
        client.data_received(request("1"))
        client.stream_begin(SOURCE, -1, b"")
        client.pause_writing()
        client.stream_write(b"x" * 50_000)
        assert s.server.budget.size - s.server.budget.available > 50_000
        client.connection_lost(None)
        assert s.server.budget.available == s.server.budget.size


# ---------------------------------------------------------------- requests that wait


@pytest.mark.parametrize("path", [1, 190, 1500, 3000])
@pytest.mark.parametrize("body", [0, 1, 100, 5000])
def test_a_request_that_waits_counts_for_at_least_what_it_costs(path: int, body: int) -> None:
    """Guards against a head of 2 kB that counts nothing while its request waits behind another one."""
    count = 200
    with side(memory=1 << 24) as s:
        client, _ = s.client()
        client.data_received(request("first"))
        data = [
            b"POST /api/%b%05d HTTP/1.1\r\nHost: x\r\nX-Call-Id: %b%05d\r\nX-Call-Class: crew\r\n"
            b"X-Caller: agent%d\r\nX-Budget: 900m\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%b"
            % (b"k" * path, i, b"i" * min(path, 190), i, i, body, bytes(body))
            for i in range(count)
        ]
        tracemalloc.start()
        try:
            before = tracemalloc.get_traced_memory()[0]
            for one in data:
                client.data_received(one)
            cost = tracemalloc.get_traced_memory()[0] - before
        finally:
            tracemalloc.stop()
        assert len(client.queue) == count
        assert s.server.budget.size - s.server.budget.available >= cost
