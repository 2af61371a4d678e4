"""A process that stood still and goes on: what it then does with requests, lists, connections and peers' words."""

from __future__ import annotations

import contextlib
import socket
import time

from headspar.node.standstill import BACKLOG_US, LEAST_US, Standstill
from tests.loopback import Client, free_address, running, wait_for

STOOD_S = LEAST_US / 1e6 + 0.6


def test_it_is_noticed_once_by_the_missing_beats() -> None:
    s = Standstill(0)
    for now in range(0, 5_000_000, 200_000):
        assert not s.noticed(now)
        s.beats(now)
    back = 4_800_000 + 7_000_000
    assert s.noticed(back) and not s.noticed(back + 1)
    assert s.came(back) == s.came(back + BACKLOG_US - 1) == 4_800_000  # it may have lain there all the while
    assert s.came(back + BACKLOG_US) == back + BACKLOG_US
    assert s.stale(back) and not s.stale(back + BACKLOG_US)


def test_what_servers_took_is_counted_without_it() -> None:
    s = Standstill(1_000_000)
    assert s.noticed(9_000_000)
    assert s.lasted(900_000, 9_010_000) == 110_000
    assert s.lasted(8_999_000, 9_010_000) == 11_000  # sent afterwards
    assert s.lasted(900_000, 9_000_000 + BACKLOG_US) == 8_200_000  # it ended afterwards: it did take so long


def test_what_lay_there_longer_than_it_had_is_answered_at_once_and_sent_nowhere() -> None:
    with running(None, None) as node, contextlib.ExitStack() as stack:
        late = [stack.enter_context(node.client()) for _ in range(5)]
        well = [stack.enter_context(node.client()) for _ in range(5)]
        assert all(c.ask().status == 200 for c in (*late, *well))
        sent = sum(len(b.requests) for b in node.backends)
        with node.stopped():
            for c in late:
                c.send(c.head("look", budget="900m"))
            for c in well:
                c.send(c.head("look", budget="15000m"))
            for c in (*late, *well):
                c.arrived()
            time.sleep(STOOD_S)
        since = time.monotonic()
        assert [c.read().status for c in late] == [504] * 5
        assert time.monotonic() - since < 2.0
        assert [c.read().status for c in well] == [200] * 5
        assert sum(len(b.requests) for b in node.backends) == sent + 5
        assert node.log.read_text().count("stood still") == 1
        assert all(c.ask().status == 200 for c in late)  # and it is itself again


def test_a_drain_that_was_told_meanwhile_is_heard_before_anything_is_sent() -> None:
    with running(None, None, ask_every_us=2_000_000) as node, contextlib.ExitStack() as stack:
        clients = [stack.enter_context(node.client()) for _ in range(30)]
        wait_for(lambda: all(c.ask().status == 200 for c in clients) and all(b.requests for b in node.backends))
        drained = node.backends[0]
        asked = len(node.discovery.calls)
        wait_for(lambda: len(node.discovery.calls) > asked)  # a watch has just begun, shorter than the standstill
        with node.stopped():
            for c in clients:  # these wait in its sockets, in front of the list
                c.send(c.head("look", budget="15000m"))
            for c in clients:
                c.arrived()
            sent = len(drained.requests)
            node.discovery.tell([drained.row(lifecycle="draining")])
            time.sleep(STOOD_S)
        assert [c.read().status for c in clients] == [200] * 30
        assert len(drained.requests) == sent


def test_peers_words_that_waited_are_dropped_and_later_ones_heard() -> None:
    s = Standstill(0)
    assert s.noticed(3_000_000) and s.stale(3_050_000) and not s.stale(3_200_000)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", 0))
        peer.settimeout(10)
        with running(None, peers=[free_address(), peer.getsockname()]) as node:
            data, source = peer.recvfrom(1000)
            with node.stopped():
                for _ in range(50):
                    peer.sendto(data, source)
                time.sleep(STOOD_S)
            wait_for(lambda: "stood still" in node.log.read_text())
            assert peer.recvfrom(1000)[0]  # it goes on telling
            with node.client() as client:
                assert client.ask().status == 200


def test_a_short_stop_changes_nothing() -> None:
    with running(None) as node:
        client = Client(node.address)
        with contextlib.closing(client):
            assert client.ask().status == 200
            with node.stopped():
                client.send(client.head("look"))
                time.sleep(0.5)
            assert client.read().status == 200
        assert "stood still" not in node.log.read_text()
