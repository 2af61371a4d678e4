"""Requests that wait in the node: their heads count against its memory like their bodies."""

from __future__ import annotations

import contextlib
import threading

from headspar.node.request_fields import MAX_TARGET_KEY
from tests.loopback import Client, running, wait_for
from tests.node.harness import Side, request, side

MEMORY_MB = 64  # the node's limit
CLIENTS, PIPELINED = 60, 17
LONG = 60_000  # bytes


def long_request(call_id: str) -> bytes:
    return request(call_id).replace(b"/api/x", b"/api/" + b"x" * LONG)


def held(s: Side) -> int:
    return s.server.budget.size - s.server.budget.available


def test_long_heads_of_pipelined_requests_stay_within_the_memory_limit() -> None:
    release = threading.Event()
    with running(lambda sock, n: None if release.wait(20) else False, memory_mb=MEMORY_MB) as node, \
            contextlib.ExitStack() as stack:
        bad: list[Client] = [stack.enter_context(node.client()) for _ in range(CLIENTS)]
        senders = [threading.Thread(target=_send_all, args=(client,)) for client in bad]
        for sender in senders:
            sender.start()
        most = [0.0]

        def done() -> bool:
            most[0] = max(most[0], node.rss_mb())
            return not any(sender.is_alive() for sender in senders)

        wait_for(done)
        for _ in range(20):
            with node.client() as client:  # it has read what has come before
                client.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                assert client.read().status == 200
            done()
        release.set()
        assert most[0] < MEMORY_MB


def _send_all(client: Client) -> None:
    with contextlib.suppress(OSError):
        client.sock.settimeout(5.0)
        for _ in range(PIPELINED):
            client.send(client.head(path="/api/" + "x" * LONG, budget="9000m"))


def test_what_the_heads_of_waiting_requests_hold_is_given_back_when_the_client_leaves() -> None:
    with side() as s:
        client, _ = s.client()
        client.data_received(request("1") + long_request("2") + request("3"))
        assert held(s) > LONG
        client.connection_lost(None)
        assert held(s) == 0


def test_what_the_heads_of_answered_requests_hold_is_given_back() -> None:
    with running(None, memory_mb=MEMORY_MB) as node, contextlib.ExitStack() as stack:
        clients = [stack.enter_context(node.client()) for _ in range(25)]
        for _ in range(20):  # 30 MB in all, more than the budget of a node of this size
            for client in clients:
                client.send(client.head(path="/api/" + "x" * LONG))
            assert [client.read().status for client in clients] == [200] * len(clients)


def test_a_request_whose_head_finds_no_room_is_refused() -> None:
    with side() as s:
        client, transport = s.client()
        assert s.server.budget.take(s.server.budget.size - 1000)
        client.data_received(request("1"))  # a short one by itself needs no room
        client.data_received(long_request("2"))
        s.answer(client)
        s.node.loop.run()
        assert s.node.ids() == [b"1"] and transport.statuses() == [200, 503]
        assert s.server.budget.available == 1000


def test_a_long_target_key_is_shortened_and_the_same_everywhere() -> None:
    """The decisions keep some thousand keys for each node."""
    with side() as s:
        keys = []
        for path in (b"/api/" + b"x" * LONG, b"/api/" + b"x" * LONG, b"/api/" + b"x" * (LONG + 1), b"/api/short"):
            client, _ = s.client()
            client.data_received(request("1").replace(b"/api/x", path))
            keys.append(s.node.taken[-1].target_key)
        assert keys[0] == keys[1] != keys[2] and keys[3] == "short"
        assert all(key is not None and len(key) <= MAX_TARGET_KEY for key in keys)
