"""All forms of a response are read by the same rules from a backend and from discovery."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from dataclasses import dataclass

import pytest

from headspar.interface import ListKind, Outcome
from tests.connections.test_socket_side import run, serving, until
from tests.loopback import Discovery, Node, reset, row, running, wait_for
from tests.node.test_discovery_crossings import rounds, watching
from tests.node.test_discovery_crossings import row as entry

LIST = json.dumps({"generation": 6, "reset": False, "instances": [entry("s-1", "draining")]}, indent=1).encode()
HALF = len(LIST) // 2
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LIST)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
CHUNKS = b"%x\r\n%b\r\n%x;a=b\r\n%b\r\n" % (HALF, LIST[:HALF], len(LIST) - HALF, LIST[HALF:])
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Type: a/b\r\n\r\n"


@dataclass(frozen=True)
class Form:
    """A response as it is written, and how its connection ends: by a close, by a reset, or not."""

    data: bytes
    end: str = ""


WHOLE = {
    "length": Form(SIZED + LIST),
    "length, close announced": Form(SIZED[:-2] + b"Connection: close\r\n\r\n" + LIST, "close"),
    "length, HTTP/1.0": Form(SIZED.replace(b"1.1", b"1.0") + LIST, "close"),
    "chunks": Form(CHUNKED + CHUNKS + END),
    "chunks, trailer fields": Form(CHUNKED + CHUNKS + b"0\r\nX-Rejected: 1\r\nX: y\r\n\r\n"),
    "chunks, name in capitals": Form(CHUNKED.replace(b"chunked", b"CHUNKED") + CHUNKS + END),
    "interim before": Form(INTERIM + SIZED + LIST),
    "two interims before": Form(INTERIM + b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED + CHUNKS + END),
    "no length": Form(b"HTTP/1.1 200 OK\r\n\r\n" + LIST, "close"),
    "no length, close announced": Form(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LIST, "close"),
    "no length, HTTP/1.0": Form(b"HTTP/1.0 200 OK\r\n\r\n" + LIST, "close"),
    "no length, keep-alive": Form(b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n" + LIST, "close"),
    "no length, interim before": Form(INTERIM + b"HTTP/1.1 200 OK\r\n\r\n" + LIST, "close"),
}
BEHIND = {
    "a second response": SIZED + LIST,
    "half a response": SIZED[:20],
    "noise": b"\0\xff nonsense",
}
NOT_WHOLE = {
    "length, cut off": Form(SIZED + LIST[:-1], "close"),
    "chunks, cut off": Form(CHUNKED + CHUNKS, "close"),
    "chunks, cut off in the trailer": Form(CHUNKED + CHUNKS + b"0\r\nX: y\r\n", "close"),
    "no length, reset": Form(b"HTTP/1.1 200 OK\r\n\r\n" + LIST, "reset"),
    "head, cut off": Form(b"HTTP/1.1 200 OK\r\nX: y\r\n", "close"),
    "interim only": Form(INTERIM, "close"),
    "another coding": Form(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + LIST, "close"),
    "a coding within chunks": Form(CHUNKED.replace(b"chunked", b"gzip, chunked") + CHUNKS + END),
    "two codings": Form(CHUNKED[:-2] + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS + END),
    "chunks and a length": Form(CHUNKED[:-2] + b"Content-Length: 9\r\n\r\n" + CHUNKS + END),
    "no HTTP": Form(LIST, "close"),
}


def pieces(data: bytes, size: int) -> list[bytes]:
    return [data[i:i + size] for i in range(0, len(data), size)]


async def outcome_from_backend(form: Form, size: int) -> Outcome:
    """Send the form as a backend's response; return how the attempt ended."""
    async with serving() as (c, made):
        attempt = c.attempt()
        await until(lambda: made and made[0].requests)
        transport = made[0].transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for piece in pieces(form.data, size):
            transport.write(piece)
            await asyncio.sleep(0)
        if form.end == "reset":
            await asyncio.sleep(0.05)  # what was sent has been read: a reset discards what has not
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            transport.abort()
        elif form.end:
            transport.close()
        await until(lambda: attempt.ended)
        return c.outcomes()[0]


async def list_from_discovery(form: Form, size: int) -> bool:
    """Send the form as discovery's answer; return whether its list has been applied."""
    w, call, transport = await watching()
    for piece in pieces(form.data, size):
        if not transport.paused:
            call.data_received(piece)
    await rounds()
    if form.end:
        call.connection_lost(ConnectionResetError() if form.end == "reset" else None)
        await rounds()
    applied = w.discovery.generation == 6
    assert applied or w.lists[-1].kind is ListKind.FAILED
    w.discovery.watch(False)
    return applied


@pytest.mark.parametrize("size", [1, 7, 1 << 16])
@pytest.mark.parametrize("name", WHOLE)
def test_a_whole_response_is_taken_from_backends_and_from_discovery(name: str, size: int) -> None:
    """Guards against lists that are never applied: forms that only backends could use."""
    assert asyncio.run(list_from_discovery(WHOLE[name], size))
    run(_assert_backend(WHOLE[name], size, Outcome.OK))


@pytest.mark.parametrize("size", [1, 1 << 16])
@pytest.mark.parametrize("name", NOT_WHOLE)
def test_a_response_that_is_not_whole_or_not_sound_is_taken_from_neither(name: str, size: int) -> None:
    assert not asyncio.run(list_from_discovery(NOT_WHOLE[name], size))
    run(_assert_backend(NOT_WHOLE[name], size, Outcome.RESET))


async def _assert_backend(form: Form, size: int, expected: Outcome) -> None:
    assert await outcome_from_backend(form, size) is expected


@pytest.mark.parametrize("behind", BEHIND)
def test_input_behind_a_response_ends_the_use_of_its_connection(behind: str) -> None:
    """Guards against a watch that waits on a connection whose next answer it can't read."""
    async def scenario() -> None:
        w, call, transport = await watching()
        call.data_received(SIZED + LIST + BEHIND[behind])
        await rounds()
        assert w.discovery.generation == 6 and transport.aborted and len(w.loop.calls) == 2
        _, second = w.loop.make(1)
        await rounds()
        assert second.asked[-1].startswith("/v1/servers?since=6&")
        w.discovery.watch(False)

    asyncio.run(scenario())

    async def backend() -> None:
        async with serving() as (c, made):
            attempt = c.attempt()
            await until(lambda: made and made[0].requests)
            made[0].transport.write(SIZED + LIST + BEHIND[behind])
            await until(lambda: attempt.ended)
            assert c.outcomes() == [Outcome.OK] and not c.backends.connections

    run(backend())


def test_input_between_two_calls_ends_the_use_of_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        w, call, transport = await watching()
        monkeypatch.setattr(w.discovery, "_ask_later", lambda spent_us: None)
        call.data_received(SIZED + LIST)
        await rounds()
        call.data_received(SIZED + LIST.replace(b"6", b"7"))
        w.discovery._ask()
        await rounds()
        assert transport.aborted and len(transport.asked) == 1 and len(w.loop.calls) == 2
        w.discovery.watch(False)

    asyncio.run(scenario())


class FormDiscovery(Discovery):
    """Answers without a length, each of which ends with its connection; ``broken`` ones are reset instead."""

    broken = False

    def talk(self, conn: socket.socket) -> None:
        outer = self

        class Rewritten:
            """The connection, on which a response's length is left out."""

            def recv(self, size: int) -> bytes:
                return conn.recv(size)

            def sendall(self, data: bytes) -> None:
                conn.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + data.partition(b"\r\n\r\n")[2])
                if outer.broken:
                    reset(conn)
                conn.close()
                raise OSError("closed")

        super().talk(Rewritten())  # type: ignore[arg-type]


def test_a_drain_in_an_answer_without_a_length_is_applied() -> None:
    """Guards against sends to a draining backend: discovery's answers end with their connections."""
    with running(None, None) as other:
        backends = other.backends
        discovery = FormDiscovery([row(b.id, b.address) for b in backends])
        with contextlib.closing(Node(backends, discovery)) as node, node.client() as client:
            wait_for(lambda: client.ask().status == 200)
            discovery.publish([row(backends[0].id, backends[0].address, lifecycle="draining")])
            wait_for(lambda: "list 6: 1 Terminating" in node.log.read_text())
