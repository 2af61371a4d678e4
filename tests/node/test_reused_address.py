"""A new server that comes up at the address of one that is still listed."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

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
