"""After a process pause: how the process treats requests, lists, connections and peer messages that waited in its
sockets."""

from __future__ import annotations

import contextlib
import time
from types import SimpleNamespace
from typing import Any, cast

import pytest

from headspar.interface import ClientGone
from headspar.node import core
from headspar.node.pause_detector import BACKLOG_US, MIN_PAUSE_US, PauseDetector
from tests.helpers import full, settings
from tests.loopback import Client, running, wait_for

PAUSE_S = MIN_PAUSE_US / 1e6 + 0.6


def test_it_is_noticed_once_by_the_missing_beats() -> None:
    s = PauseDetector(0)
    for now in range(0, 5_000_000, 200_000):
        assert not s.detect(now)
        s.heartbeat(now)
    resumed = 4_800_000 + 7_000_000
    assert s.detect(resumed) and not s.detect(resumed + 1)
    # may have arrived at any time in the pause
    assert s.earliest_arrival(resumed) == s.earliest_arrival(resumed + BACKLOG_US - 1) == 4_800_000
    assert s.earliest_arrival(resumed + BACKLOG_US) == resumed + BACKLOG_US
    assert s.stale(resumed) and not s.stale(resumed + BACKLOG_US)


def test_what_servers_took_is_counted_without_it() -> None:
    s = PauseDetector(1_000_000)
    assert s.detect(9_000_000)
    assert s.elapsed(900_000, 9_010_000) == 110_000
    assert s.elapsed(8_999_000, 9_010_000) == 11_000  # sent after the pause
    # ended after the backlog was read: the response really took this long
    assert s.elapsed(900_000, 9_000_000 + BACKLOG_US) == 8_200_000


def test_what_lay_there_longer_than_it_had_is_answered_at_once_and_sent_nowhere() -> None:
    with running(None, None) as node, contextlib.ExitStack() as stack:
        late = [stack.enter_context(node.client()) for _ in range(5)]
        well = [stack.enter_context(node.client()) for _ in range(5)]
        assert all(c.ask().status == 200 for c in (*late, *well))
        sent = sum(len(b.requests) for b in node.backends)
        with node.paused():
            for c in late:
                c.send(c.head("look", budget="900m"))
            for c in well:
                c.send(c.head("look", budget="15000m"))
            for c in (*late, *well):
                c.wait_delivered()
            time.sleep(PAUSE_S)
        since = time.monotonic()
        assert [c.read().status for c in late] == [504] * 5
        assert time.monotonic() - since < 2.0
        assert [c.read().status for c in well] == [200] * 5
        assert sum(len(b.requests) for b in node.backends) == sent + 5
        assert node.log.read_text().count("stood still") == 1
        assert all(c.ask().status == 200 for c in late)  # back to normal operation


def test_a_drain_that_was_told_meanwhile_is_heard_before_anything_is_sent() -> None:
    with running(None, None, ask_every_us=2_000_000) as node, contextlib.ExitStack() as stack:
        clients = [stack.enter_context(node.client()) for _ in range(30)]
        wait_for(lambda: all(c.ask().status == 200 for c in clients) and all(b.requests for b in node.backends))
        drained = node.backends[0]
        asked = len(node.discovery.calls)
        wait_for(lambda: len(node.discovery.calls) > asked)  # a watch shorter than the pause has just begun
        with node.paused():
            for c in clients:  # these wait in the sockets ahead of the list
                c.send(c.head("look", budget="15000m"))
            for c in clients:
                c.wait_delivered()
            sent = len(drained.requests)
            node.discovery.publish([drained.row(lifecycle="draining")])
            time.sleep(PAUSE_S)
        assert [c.read().status for c in clients] == [200] * 30
        assert len(drained.requests) == sent


class Loop:
    """Stub of the event loop that queues callbacks."""

    def __init__(self) -> None:
        self.soon: list[tuple[Any, ...]] = []

    def call_soon(self, *what: Any) -> None:
        self.soon.append(what)

    def turn(self) -> None:
        now, self.soon = self.soon, []
        for call, *arguments in now:
            call(*arguments)


def test_peers_words_that_waited_are_dropped_and_lists_come_before_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = [1_000_000]
    monkeypatch.setattr(core, "now_us", lambda: clock[0])
    loop = Loop()
    node = core.Node(cast(Any, SimpleNamespace(settings=settings(), seed=1)), cast(Any, loop))
    handled: list[list[str]] = []

    def handle(now: int, events: list[Any]) -> list[Any]:
        handled.append([type(event).__name__ for event in events])
        return []

    monkeypatch.setattr(node.balancer, "handle", handle)
    node.on_peer_message(1, b"abc")
    loop.turn()
    assert handled == [["PeerMessage"]]
    clock[0] += 7_000_000
    node.on_peer_message(1, b"abc")  # the first data read after the pause; its age is unknown
    node.post(ClientGone("1"))
    node.post(full(1))
    assert handled == [["PeerMessage"]]
    for _ in range(3):  # rounds of the loop in which sockets are read
        assert len(handled) == 1
        loop.turn()
    assert handled[1:] == [["BackendList", "ClientGone"]]
    clock[0] += BACKLOG_US
    node.on_peer_message(1, b"abc")
    loop.turn()
    assert handled[2:] == [["PeerMessage"]]


def test_a_short_stop_changes_nothing() -> None:
    with running(None) as node:
        client = Client(node.address)
        with contextlib.closing(client):
            assert client.ask().status == 200
            with node.paused():
                client.send(client.head("look"))
                time.sleep(0.5)
            assert client.read().status == 200
        assert "stood still" not in node.log.read_text()
