"""Clients that close their connection while much of what they sent is unread, so that the close can't be seen."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from tests.loopback import Client, Node, Script, reset, running, wait_for

NOTICE_S = 0.1  # an attempt that begins later after the close is a lost request


def requests_to_fill_a_connection() -> bytes:
    return b"".join(Client.head(None, "look", budget="5000m", X_Pad="y" * 400) for _ in range(20_000))  # type: ignore[arg-type]


def fill(client: Client) -> None:
    """Send pipelined requests until the system takes no more of them."""
    data, sent = requests_to_fill_a_connection(), 0
    client.sock.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while sent < len(data):
            sent += client.sock.send(data[sent:])


class Attempts:
    """Servers that note when attempts begin, and break each after ``after_s``."""

    def __init__(self, after_s: float) -> None:
        self.times: list[float] = []
        self.after_s = after_s

    def script(self) -> Script:
        def break_it(sock: socket.socket, n: int) -> bool:
            self.times.append(time.monotonic())
            time.sleep(self.after_s)
            reset(sock)
            return False

        return break_it

    def later_than(self, at: float) -> list[float]:
        return [round(began - at, 3) for began in self.times if began > at]


def close_with_much_unread(node: Node, client: Client) -> float:
    fill(client)
    client.close()
    return time.monotonic()


def test_no_attempt_begins_after_a_close_that_is_hidden_behind_unread_requests() -> None:
    attempts = Attempts(after_s=0.3)
    with running(*[attempts.script()] * 4) as node:
        client = node.client()
        client.send(client.head())
        wait_for(lambda: attempts.times)
        closed_at = close_with_much_unread(node, client)
        time.sleep(1.5)  # each retry would come 0.3 s after the one before
        assert attempts.later_than(closed_at + NOTICE_S) == []
        assert node.health() == 200


def test_none_begins_either_when_the_node_stood_still_meanwhile() -> None:
    attempts = Attempts(after_s=0.3)
    with running(*[attempts.script()] * 4) as node:
        client = node.client()
        with node.paused():
            closed_at = close_with_much_unread(node, client)
            time.sleep(1.0)
        time.sleep(1.0)
        assert attempts.later_than(closed_at + NOTICE_S) == []


def test_requests_behind_a_long_answer_are_served_if_nothing_is_left_unread() -> None:
    more = threading.Event()

    def script(sock: socket.socket, n: int) -> None:
        size = 150_000 if n == 1 else 2
        sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % size + bytes(min(size, 100_000)))
        if n == 1:
            more.wait(10.0)
            sock.sendall(bytes(50_000))

    with running(script) as node, node.client() as client:
        client.send(client.head())
        client.stream.file.peek(1)
        client.send(client.head() + client.head())
        client.wait_delivered()
        time.sleep(0.3)
        more.set()
        assert [len(client.read().body) for _ in range(3)] == [150_000, 2, 2]
