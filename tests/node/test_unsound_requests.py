"""Requests that turn out to be unsound only by what comes behind them, or by fields that say two things."""

from __future__ import annotations

import socket
import threading

import pytest

from headspar.node.clients import QUEUED_REQUEST_BYTES
from tests.loopback import TIMEOUT_S, answer, running, wait_for
from tests.node.harness import request, side

SURPLUS = {
    "text": b"more of the body",
    "letters": b"PPPPPP",
    "binary": bytes(range(128, 256)),
    "zeros": bytes(300),
    "json": b'{"amount": 1}',
    "chunks": b"3\r\nabc\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("close", [False, True])
@pytest.mark.parametrize("surplus", SURPLUS)
def test_a_request_with_more_body_than_its_length_is_not_served(surplus: str, close: bool) -> None:
    held = threading.Event()

    def script(sock: socket.socket, n: int) -> None:
        held.wait(TIMEOUT_S)
        sock.sendall(answer())

    with running(script) as node, node.client() as client:
        fields = {"Connection": "close"} if close else {}
        client.send(client.head("crew", b"12345", **fields) + b"12345")
        wait_for(lambda: node.backends[0].requests)  # the request seemed complete and was sent on
        client.send(SURPLUS[surplus])
        assert client.read().status == 400
        assert client.ended()
        held.set()
        assert node.client().ask("look").status == 200


def test_surplus_in_the_same_read_reaches_no_server() -> None:
    with running(None) as node, node.client() as client:
        client.send(client.head("crew", b"12345") + b"12345 and more")
        assert client.read().status == 400
        assert client.ended()
        assert node.client().ask("look").status == 200
        assert [line.split()[0] for line, _, _ in node.backends[0].requests] == ["GET"]


def test_surplus_behind_a_waiting_request_takes_none_of_those_before_it_along() -> None:
    with side() as s:
        client, transport = s.client()
        client.data_received(request("1") + request("2") + request("3"))
        client.data_received(b"\x00\x01 surplus")
        for _ in range(2):
            s.answer(client)
            s.node.loop.run()
        assert s.node.ids() == [b"1", b"2"]
        assert transport.statuses() == [200, 200, 400] and transport.ended
        held = s.server.budget.size - s.server.budget.available
        assert held == s.node.taken[1].size > QUEUED_REQUEST_BYTES  # of the second one only


@pytest.mark.parametrize("codings", [("gzip", "chunked"), ("chunked", "gzip"), ("chunked", "chunked")])
def test_a_request_with_two_transfer_codings_reaches_no_server(codings: tuple[str, str]) -> None:
    with running(None) as node, node.client() as client:
        fields = "".join(f"Transfer-Encoding: {coding}\r\n" for coding in codings)
        head = client.head("crew").replace(b"Content-Length: 0\r\n", fields.encode())
        client.send(head + b"3\r\nabc\r\n0\r\n\r\n")
        assert client.read().status in (400, 501)
        assert client.ended()
        assert not node.backends[0].requests


@pytest.mark.parametrize("host", ["a b", "a/b", "user@host", "a,b", 'a"b'])
def test_a_host_that_is_not_valid_is_400(host: str) -> None:
    with running(None) as node, node.client() as client:
        assert client.ask(Host=host).status == 400
        assert not node.backends[0].requests
