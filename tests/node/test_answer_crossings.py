"""Answers that end in unusual ways: by a reset or close without a length, with half a line behind them, or before the
request is complete."""

from __future__ import annotations

import socket
import time

import pytest

from tests.loopback import Script, answer, reset, running, wait_for

FAILED = (500, 502, 504)
NO_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n\r\n"


def send_and_end(data: bytes, *, by_reset: bool, pause: float) -> Script:
    """Return a script that sends ``data`` and ends the connection after ``pause`` seconds."""
    def script(sock: socket.socket, n: int) -> bool:
        sock.sendall(data)
        time.sleep(pause)
        if by_reset:
            reset(sock)
        return False

    return script


@pytest.mark.parametrize("pause", [0.0, 0.1])
@pytest.mark.parametrize("body", [b"", b"part of it"])
def test_a_reset_is_no_end_of_an_answer_without_length(body: bytes, pause: float) -> None:
    with running(send_and_end(NO_LENGTH + body, by_reset=True, pause=pause)) as node:
        assert node.client().ask("crew").status in FAILED
        assert len(node.backends[0].requests) == 1


@pytest.mark.parametrize("pause", [0.0, 0.1])
def test_a_reset_under_a_long_answer_without_length_is_seen_by_its_client(pause: float) -> None:
    with running(send_and_end(NO_LENGTH + bytes(200_000), by_reset=True, pause=pause)) as node:
        got = node.client().ask("crew")
        assert got.status in FAILED or not got.complete
        assert len(node.backends[0].requests) == 1


@pytest.mark.parametrize("size", [0, 10, 200_000])
@pytest.mark.parametrize("pause", [0.0, 0.1])
def test_a_close_is_its_end(size: int, pause: float) -> None:
    with running(send_and_end(NO_LENGTH + bytes(size), by_reset=False, pause=pause)) as node:
        got = node.client().ask("crew")
        assert got.status == 200 and got.complete and len(got.body) == size


def test_an_interim_answer_and_a_reset_may_have_run() -> None:
    with running(send_and_end(b"HTTP/1.1 103 Early\r\n\r\n", by_reset=True, pause=0.0), None) as node:
        client = node.client()
        for _ in range(20):
            status = client.ask("crew").status
            if node.backends[0].requests:
                break
        assert status in FAILED and len(node.backends[0].requests) == 1


@pytest.mark.parametrize("half", [b"HTTP/1.1 200 O", b"\r\n", b"HTTP/1.1 100 Continue\r\n\r\n"])
def test_half_a_line_behind_an_answer_reaches_no_other_request(half: bytes) -> None:
    """Covers extra bytes that arrive before, and while, the next request is sent."""
    def script(sock: socket.socket, n: int) -> None:
        sock.sendall(answer(200, b"%d" % n))
        time.sleep(0.002 * (n % 4))
        sock.sendall(half)

    with running(script) as node:
        client = node.client()
        bodies = []
        for _ in range(20):
            got = client.ask("look")
            assert got.status == 200
            bodies.append(got.body)
        assert len(set(bodies)) == 20


def test_an_answer_before_the_request_is_whole_is_its_answer_and_the_connections_last() -> None:
    with running(None) as node:
        early = node.backends[0]

        def talk(conn: socket.socket) -> None:
            conn.recv(1000)
            early.requests.append(("part", {}, b""))
            conn.sendall(answer(200, b"early"))
            conn.settimeout(5)
            while conn.recv(65536):
                time.sleep(0.01)
            early.ended += 1

        early.talk = talk  # type: ignore[method-assign]
        client = node.client()
        for _ in range(2):
            assert client.ask("crew", bytes(8_000_000)).body == b"early"
        wait_for(lambda: early.ended == 2)
        assert early.accepted == 2
