"""Answers that come slowly and without an announced length, from real servers to real clients."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from tests.loopback import TIMEOUT_S, Node, Script, answer, reset, running

SIZE = 150_000  # bytes, more than the node buffers
PIECE_BYTES = 10_000
PIECE_S = 0.1  # so that far less than 64 KiB have come at the deadline
BUDGET = "500m"
LATE_S = 1.0  # the deadline and the half second after which an answer counts as lost
HEADS = {
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE,
}


def content(size: int = SIZE) -> bytes:
    return bytes(i % 251 for i in range(size))


def frame(framing: str, piece: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece) if framing == "chunked" else piece


def slowly(framing: str, wait_before_body_s: float = 0.0) -> Script:
    """A server that gives its answer in pieces, over some 1.5 s."""

    def script(sock: socket.socket, n: int) -> bool:
        with contextlib.suppress(OSError):
            sock.sendall(HEADS[framing])
            time.sleep(wait_before_body_s)
            body = content()
            for at in range(0, SIZE, PIECE_BYTES):
                sock.sendall(frame(framing, body[at:at + PIECE_BYTES]))
                time.sleep(PIECE_S)
            if framing == "chunked":
                sock.sendall(b"0\r\n\r\n")
        return framing != "close"

    return script


def assert_arrives_whole(node: Node, cls: str) -> None:
    with node.client() as client:
        began_at = time.monotonic()
        client.send(client.head(cls, budget=BUDGET))
        first = client.stream.file.peek(1)
        assert first and time.monotonic() - began_at < LATE_S
        got = client.read()
    assert (got.status, got.complete, got.body) == (200, True, content())
    assert sum(len(backend.requests) for backend in node.backends) == 1


@pytest.mark.parametrize("cls", ["look", "pay", "crew"])
@pytest.mark.parametrize("framing", ["chunked", "close"])
def test_a_slow_answer_without_a_length_is_not_cut_off_at_the_deadline(framing: str, cls: str) -> None:
    with running(slowly(framing)) as node:
        assert_arrives_whole(node, cls)


@pytest.mark.parametrize("framing", ["chunked", "close", "length"])
def test_a_long_answer_of_which_only_the_head_came_in_time_is_not_cut_off(framing: str) -> None:
    with running(slowly(framing, wait_before_body_s=0.7)) as node:
        assert_arrives_whole(node, "crew")


@pytest.mark.parametrize("framing", ["chunked", "close", "length"])
def test_a_slow_answer_with_a_request_behind_it_is_not_cut_off_at_the_deadline(framing: str) -> None:
    """Guards against an answer that is held as a whole for the request behind it, and given up at its deadline."""
    with running(slowly(framing)) as node, node.client() as client:
        client.send(client.head("look", budget=BUDGET) + client.head("look", budget="15000m"))
        first = client.read()
        assert (first.status, first.complete, first.body) == (200, True, content())
        second = client.read()
        assert (second.status, second.complete, second.body) == (200, True, content())


def test_what_came_of_an_answer_without_a_length_is_not_held_back_for_two_seconds() -> None:
    more = threading.Event()

    def script(sock: socket.socket, n: int) -> None:
        sock.sendall(HEADS["chunked"] + frame("chunked", content(PIECE_BYTES)))
        more.wait(TIMEOUT_S)
        sock.sendall(frame("chunked", content()) + b"0\r\n\r\n")

    with running(script) as node, node.client() as client:
        client.send(client.head("crew", budget="9000m"))
        client.sock.settimeout(2.0)
        assert client.stream.file.peek(1)
        client.sock.settimeout(TIMEOUT_S)
        more.set()
        assert client.read().body == content(PIECE_BYTES) + content()


@pytest.mark.parametrize("framing", ["chunked", "close"])
def test_an_attempt_whose_answer_has_begun_is_not_replaced_by_another(framing: str) -> None:
    with running(slowly(framing), lambda sock, n: sock.sendall(answer()), second_copies=False) as node:
        answers = [node.client().ask() for _ in range(6)]
        slow, fast = node.backends
    assert {got.body for got in answers} <= {content(), b"ok"}
    assert len(slow.requests) + len(fast.requests) == len(answers)


def test_an_answer_without_a_length_that_breaks_early_goes_to_another_server() -> None:
    def breaks(sock: socket.socket, n: int) -> bool:
        sock.sendall(HEADS["close"] + b"part of it")
        time.sleep(0.05)
        reset(sock)
        return False

    with running(breaks, lambda sock, n: sock.sendall(answer())) as node:
        assert [node.client().ask().status for _ in range(6)] == [200] * 6


def test_an_answer_that_trickles_without_an_end_is_broken_off() -> None:
    def script(sock: socket.socket, n: int) -> None:
        sock.sendall(HEADS["chunked"])
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            sock.sendall(frame("chunked", b"x" * 100))
            time.sleep(0.05)
        sock.sendall(b"0\r\n\r\n")

    with running(script) as node, node.client() as client:
        client.send(client.head("crew", budget=BUDGET))
        got = client.read()
        assert got.status == 200 and not got.complete
