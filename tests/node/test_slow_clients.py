"""Hundreds of clients at once that write slowly or not on; the node's memory stays under its limit."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

import pytest

from tests.loopback import Client, Node, running, wait_for

CLIENTS = 300
MEMORY_MB = 64
START = b"POST /api/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: %d\r\nX-Call-Class: crew\r\nX-Budget: 9000m\r\n"
MANY_FIELDS = b"".join(b"f%d: %b\r\n" % (i, b"v" * 50) for i in range(980))
BEGUN = {
    "many fields and half a body": START + MANY_FIELDS + b"Content-Length: 100\r\n\r\nabc",
    "many fields": START + MANY_FIELDS,
    "a long field": START + b"f: " + b"v" * 60_000,
    "a long path": b"POST /" + b"v" * 60_000,
    "half a body": START + b"Content-Length: 200000\r\n\r\n" + bytes(100_000),
    "many chunks": START + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 10_000,
}


@contextlib.contextmanager
def crowd(node: Node, begun: bytes) -> Iterator[None]:
    """Clients that send the beginning of a request and stay; those that the node has closed are left out."""
    with contextlib.ExitStack() as stack:
        for i in range(CLIENTS):
            client = stack.enter_context(Client(node.address))
            with contextlib.suppress(ConnectionError):
                client.send(begun.replace(b"%d", b"%d" % i))
        yield


@pytest.mark.parametrize("kind", BEGUN)
def test_hundreds_that_stop_within_a_request_do_not_take_the_node_over_its_memory_limit(kind: str) -> None:
    with running(None, memory_mb=MEMORY_MB) as node:
        most = 0.0
        with crowd(node, BEGUN[kind]):
            end = time.monotonic() + 1.0
            while time.monotonic() < end:
                most = max(most, node.rss_mb())
                time.sleep(0.02)
        assert most < MEMORY_MB, f"{most:.1f} MB"
        wait_for(lambda: node.client().ask().status == 200)
