"""A new server that comes up at the address of one that is still listed."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import pytest

from headspar.node.clock import now_us
from tests.connections.test_socket_side import core, run
from tests.loopback import running, wait_for
from tests.node.test_trace import traced


def sent_to(path: Path) -> list[str]:
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    return [row["backend"] for row in rows if row["event"] == "sent"]


def test_a_new_server_at_the_address_of_another_does_not_get_its_work(tmp_path: Path, monkeypatch: Any) -> None:
    path = traced(tmp_path, monkeypatch)
    with running(None, None) as node:
        client = node.client()
        for _ in range(20):
            client.ask()
        new = node.backends[0].row(instanceId="s-9", zone="b", startedAtMs=int(time.time() * 1000))
        node.discovery.publish([new])
        wait_for(lambda: "list 6" in node.log.read_text())
        before = len(sent_to(path))
        assert "s-1" in sent_to(path)
        for _ in range(60):
            client.ask()
        assert "s-1" not in sent_to(path)[before:]
        assert node.backends[1].requests


@pytest.mark.parametrize("old_first", [True, False])
def test_of_two_listed_at_one_address_the_one_that_started_later_is_used(old_first: bool) -> None:
    async def scenario() -> None:
        async with core() as c:
            address, now = ("127.0.0.1", 1), now_us()
            rows = [("old", now - 1_000_000), ("new", now)]
            gone = [c.backends.add_or_update(id, address, at) for id, at in (rows if old_first else rows[::-1])]
            assert gone == [None, "old"]
            assert "new" in c.backends.hosts and "old" not in c.backends.hosts
            assert c.backends.add_or_update("new", ("127.0.0.1", 2), now) is None
            assert c.backends.add_or_update("old", address, now - 1_000_000) is None  # nobody else is there now

    run(scenario())


def test_two_that_swap_their_addresses_both_stay() -> None:
    with running(None, None) as node:
        first, second = node.backends
        start = int(time.time() * 1000) - 60_000  # warm again
        node.discovery.publish([{**second.row(startedAtMs=start), "instanceId": "s-1"},
                                {**first.row(startedAtMs=start), "instanceId": "s-2"}])
        wait_for(lambda: "list 6: 2 Ready" in node.log.read_text())
        assert all(node.client().ask().status == 200 for _ in range(20))
        assert all(backend.requests for backend in node.backends)
