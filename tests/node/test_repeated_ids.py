"""Requests with an id that this node has already taken; ids are new with every request."""

from __future__ import annotations

import socket
import threading

import pytest

from headspar.node.taken_ids import KEEP_US, MAX_IDS, MAX_IDS_IN_ANY_CASE, MIN_KEEP_US, TakenIds
from tests.loopback import TIMEOUT_S, Node, answer, running, wait_for


def runs(node: Node, call_id: str) -> int:
    return sum(headers["x-call-id"] == call_id for b in node.backends for _, headers, _ in b.requests)


class Held:
    """A server whose answers wait for ``open``."""

    def __init__(self) -> None:
        self.open = threading.Event()

    def __call__(self, sock: socket.socket, n: int) -> None:
        self.open.wait(TIMEOUT_S)
        sock.sendall(answer())


@pytest.mark.parametrize("cls", ["look", "pay", "crew"])
def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_again(cls: str) -> None:
    held = Held()
    with running(held) as node:
        client = node.client()
        client.send(client.head(cls, X_Call_Id="left"))
        wait_for(lambda: runs(node, "left"))
        client.close()
        wait_for(lambda: node.backends[0].ended)
        held.open.set()
        assert node.client().ask(cls, X_Call_Id="left").status == 409
        assert runs(node, "left") == 1
        assert node.client().ask(cls, X_Call_Id="another").status == 200


def test_the_id_of_an_open_request_of_another_client_is_not_served() -> None:
    held = Held()
    with running(held, held) as node:
        client = node.client()
        client.send(client.head("crew", X_Call_Id="open"))
        wait_for(lambda: runs(node, "open"))
        assert node.client().ask("crew", X_Call_Id="open").status == 409
        held.open.set()
        assert client.read().status == 200
        assert runs(node, "open") == 1


def test_an_id_that_was_refused_may_come_again() -> None:
    def script(sock: socket.socket, n: int) -> None:
        sock.sendall(answer(503, b"", X_Rejected="1") if n <= 6 else answer())

    with running(script) as node:
        assert node.client().ask("crew", X_Call_Id="refused", budget="300m").status == 503
        wait_for(lambda: node.client().ask("crew", X_Call_Id="refused").status == 200)


@pytest.mark.parametrize(("step_us", "most"), [(1, MAX_IDS_IN_ANY_CASE), (2 * MIN_KEEP_US // MAX_IDS + 1, MAX_IDS)])
def test_the_table_of_ids_is_bounded_in_number_and_in_time(step_us: int, most: int) -> None:
    ids = TakenIds()
    count = 3 * most
    for i in range(count):
        assert ids.take(b"%d" % i, 1000 + i * step_us)
        assert len(ids) <= most
    now = 1000 + count * step_us
    newest = [b"%d" % i for i in range(count - most // 2, count)]
    assert not any(ids.take(call_id, now) for call_id in newest)
    assert not ids.take(newest[-1], now + KEEP_US)
    assert ids.take(newest[-1], now + 3 * KEEP_US)
    ids.release(newest[-1])
    assert ids.take(newest[-1], now + 3 * KEEP_US) and len(ids) == 1


@pytest.mark.parametrize("rate", [820, 1250, 2500])
def test_an_id_is_kept_for_longer_than_requests_are_open_at_a_high_rate(rate: int) -> None:
    ids = TakenIds()
    step_us = 1_000_000 // rate
    for i in range(20 * rate):
        assert ids.take(b"%d" % i, i * step_us)
        oldest = max(0, i - 6 * rate)
        assert ids.take(b"%d" % oldest, i * step_us) is False


def test_the_id_of_an_open_request_is_known_however_many_come_after_it() -> None:
    """Guards against an id that is forgotten while its request is open, and runs twice."""
    ids, owner = TakenIds(), object()
    assert ids.take(b"open", 0)
    ids.opened(b"open", owner)
    for i in range(4 * MAX_IDS_IN_ANY_CASE):
        ids.take(b"%d" % i, i)
    assert not ids.take(b"open", 10 * KEEP_US)
    ids.ended(b"open", object())  # a copy that was rejected
    assert not ids.take(b"open", 10 * KEEP_US)
    ids.ended(b"open", owner)
    assert ids.take(b"open", 10 * KEEP_US)


def test_what_ends_late_does_not_close_a_later_request_with_the_same_id() -> None:
    ids, refused, repeat = TakenIds(), object(), object()
    ids.take(b"x", 0)
    ids.opened(b"x", refused)
    ids.release(b"x")
    assert ids.take(b"x", 1)
    ids.opened(b"x", repeat)
    ids.ended(b"x", refused)
    assert not ids.take(b"x", 10 * KEEP_US) and ids.open == {b"x": repeat}


def test_an_id_is_kept_for_its_time_at_a_low_rate() -> None:
    ids = TakenIds()
    step = KEEP_US // 10
    for i in range(40):
        assert ids.take(b"%d" % i, i * step)
        assert not any(ids.take(b"%d" % j, i * step) for j in range(max(0, i - 9), i + 1))


def test_an_id_that_another_process_has_taken_is_known_to_one_that_has_taken_none() -> None:
    ids = TakenIds()
    ids.add(b"theirs", 10 * KEEP_US)
    assert not ids.take(b"theirs", 10 * KEEP_US + 1)
