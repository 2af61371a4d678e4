"""Large bodies and answers, many at once, in little memory; bodies that arrive slowly and in small pieces."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from tests.loopback import TIMEOUT_S, Node, answer, running, wait_for

MB = 1_000_000


def test_bodies_that_have_not_come_yet_take_no_room() -> None:
    """A body's whole length was reserved when its head arrived, so a few slow clients caused all others to be
    refused."""
    with running(None, memory_mb=64, ops=True) as node, contextlib.ExitStack() as stack:
        for _ in range(20):
            slow = stack.enter_context(node.client())
            slow.send(slow.head("pay", b"", budget="20000m", Content_Length=str(5 * MB)) + b"x" * 1000)
        with node.client() as client:
            assert client.ask("pay", b"y" * 5 * MB).status == 200
            assert len(node.backends[0].requests[-1][2]) == 5 * MB


def test_a_chunked_body_that_finds_no_room_is_refused_and_not_taken_for_a_head() -> None:
    with running(None, memory_mb=64, ops=True) as node, node.client() as client:
        client.send(client.head("pay", b"", Content_Length="", Transfer_Encoding="chunked"))
        chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
        with contextlib.suppress(OSError):
            for _ in range(31):
                client.send(chunk)
        assert client.read().status == 503
        assert node.call("/stats")[1]["replies"]["pay"]["overload"] == 1
        with node.client() as after:  # its part of the budget has been given back
            assert after.ask("pay", b"y" * 15 * MB).status == 200


def test_a_body_of_32_mb_fits_a_node_of_80_and_memory_stays_under_it() -> None:
    body = bytes(range(256)) * 131_072  # 32 MiB
    with running(lambda sock, n: sock.sendall(answer(200, body)), memory_mb=80) as node, node.client() as client:
        assert client.ask("pay", body).body == body
        assert node.backends[0].requests[-1][2] == body
        assert node.rss_mb() < 80


def test_a_body_in_small_pieces_takes_about_its_size() -> None:
    with running(None, memory_mb=64) as node, node.client() as client:
        before = node.rss_mb()
        client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = b"0123456789" * 30_000
        client.send(client.head("pay", body, budget="20000m"))
        for at in range(0, len(body), 20):
            client.send(body[at:at + 20])
        assert client.read().status == 200
        assert node.backends[0].requests[-1][2] == body
        assert node.rss_mb() < before + 5


def test_many_large_answers_at_once_to_slow_readers() -> None:
    """Each reader gets what has arrived; the rest stays in the backend, not in the node."""
    body = b"z" * 8 * MB
    with running(lambda sock, n: sock.sendall(answer(200, body)), memory_mb=80) as node:
        sizes: list[int] = []

        def read(node: Node) -> None:
            with node.client() as client:
                client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
                client.send(client.head())
                time.sleep(0.5)
                sizes.append(len(client.read().body))

        threads = [threading.Thread(target=read, args=(node,)) for _ in range(12)]
        for thread in threads:
            thread.start()
        most = 0.0
        while any(thread.is_alive() for thread in threads):
            most = max(most, node.rss_mb())
            time.sleep(0.02)
        for thread in threads:
            thread.join(TIMEOUT_S)
        assert sizes == [len(body)] * 12
        assert most < 80


def test_the_first_bytes_of_a_long_answer_go_out_when_they_come() -> None:
    more = threading.Event()

    def script(sock: socket.socket, n: int) -> None:
        sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 200000\r\n\r\n" + b"a" * 100_000)
        more.wait(TIMEOUT_S)
        sock.sendall(b"b" * 100_000)

    with running(script) as node, node.client() as client:
        client.send(client.head())
        got = b""
        while len(got) < 100_000:  # before the backend sends the rest
            got += client.sock.recv(65536)
        more.set()
        while len(got) < 200_000:
            got += client.sock.recv(65536)
        assert got.endswith(b"b" * 100_000)


def test_two_processes_share_the_room_for_bodies() -> None:
    with running(None, memory_mb=64, ops=True) as node, node.client() as client:
        first = node.second()
        assert client.ask("pay", b"x" * 15 * MB).status == 503  # more than half of the budget of 22 MB
        first.terminate()
        assert first.wait(TIMEOUT_S) == 0
        wait_for(lambda: "hand-over: over" in node.log.read_text())
        with node.client() as after:
            assert after.ask("pay", b"x" * 15 * MB).status == 200
