"""Orderings of events on the client side: a disconnect, a further request, a rejection or a timer between two steps.

Each test drives one ordering through the real protocol objects.
"""

from __future__ import annotations

import time

import pytest

from headspar.node import clients
from headspar.node.clients import HIDDEN_CLOSE_US, MAX_PIPELINED, QUEUED_REQUEST_BYTES
from headspar.node.clock import now_us
from headspar.node.core import Request
from tests.loopback import answer, running, wait_for
from tests.node.harness import SOURCE, request, side

# ---------------------------------------------------------------- between an answer and the next queued request


def test_a_client_that_is_lost_before_its_next_request_is_taken_has_it_sent_on_no_more() -> None:
    with side() as s:
        client, _ = s.client()
        client.data_received(request("1") + request("2"))
        s.answer(client)
        client.connection_lost(None)
        s.node.loop.run()
        assert s.node.ids() == [b"1"]


def test_a_request_read_before_the_next_is_taken_stays_behind_it() -> None:
    with side() as s:
        client, transport = s.client()
        client.data_received(request("1") + request("2"))
        s.answer(client)
        client.data_received(request("3"))
        s.node.loop.run()
        assert s.node.ids() == [b"1", b"2"] and client.current is s.node.taken[1]
        s.answer(client)
        s.node.loop.run()
        s.answer(client)
        assert s.node.ids() == [b"1", b"2", b"3"] and transport.statuses() == [200] * 3


@pytest.mark.parametrize("bad", [b"GET /x HTTP/1.1\r\nno colon\r\n\r\n", request("3", budget="soon")])
def test_a_rejection_does_not_overtake_the_answer_that_is_still_owed(bad: bytes) -> None:
    with side() as s:
        client, transport = s.client()
        client.data_received(request("1") + request("2"))
        s.answer(client)
        client.data_received(bad)
        s.node.loop.run()
        assert transport.statuses() == [200] and s.node.ids() == [b"1", b"2"]
        s.answer(client)
        s.node.loop.run()
        assert transport.statuses() == [200, 200, 400]


def test_a_rejection_of_surplus_input_does_not_overtake_the_answer_that_is_still_owed() -> None:
    with side() as s:
        client, transport = s.client()
        client.data_received(request("1") + request("2"))
        client.data_received(b"NONSENSE\r\n\r\n")
        assert transport.statuses() == [] and s.node.ids() == [b"1"]
        s.answer(client)
        assert transport.statuses() == [200]
        s.node.loop.run()
        assert transport.statuses() == [200, 400] and s.node.ids() == [b"1"]


def test_many_that_wait_are_taken_one_by_one_in_order() -> None:
    with side() as s:
        client, transport = s.client()
        client.data_received(b"".join(request(str(i)) for i in range(40)))
        for _ in range(40):
            s.answer(client)
            s.node.loop.run()
        assert s.node.ids() == [b"%d" % i for i in range(40)]
        assert transport.statuses() == [200] * 40 and not transport.paused


# ---------------------------------------------------------------- disconnects


def test_an_end_behind_an_answer_that_is_still_going_out_ends_what_the_client_waits_for() -> None:
    """The transport closes only once its buffer is empty; the next queued request used to be forwarded until then."""
    with side() as s:
        client, transport = s.client()
        client.data_received(request("1") + request("2") + request("3"))
        s.answer(client)
        s.node.loop.run()
        transport.unsent = 5_000
        client.eof_received()
        assert s.node.abandoned == [s.node.taken[1]]
        s.node.loop.run()
        assert s.node.ids() == [b"1", b"2"] and not client.queue
        client.connection_lost(None)  # the transport closes later, which changes nothing
        assert s.node.abandoned == [s.node.taken[1]]


@pytest.mark.parametrize("half", [False, True])
def test_a_client_that_ends_while_nothing_of_it_is_read_is_known_to_have_gone(half: bool) -> None:
    with side() as s:
        client, transport = s.client()
        client.data_received(b"".join(request(str(i)) for i in range(MAX_PIPELINED + 2)))
        assert transport.paused and client.is_connected()
        transport.there.sendall(b"GET /unread")
        assert client.is_connected()
        if half:
            transport.there.shutdown(1)
        else:
            transport.there.close()
        assert not client.is_connected()
        client.disconnected()
        s.node.loop.run()
        assert s.node.ids() == [b"0"] and s.node.abandoned == s.node.taken and not client.queue


def test_bodies_of_those_that_wait_are_given_back_once() -> None:
    with side() as s:
        client, _ = s.client()
        body = b"POST /api/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: b\r\nX-Call-Class: crew\r\nX-Budget: 900m\r\n"
        body += b"Content-Length: 1000\r\n\r\n" + bytes(1000)
        client.data_received(request("1") + body + body)
        waiting = [item.size for item in client.queue if isinstance(item, Request)]
        assert len(waiting) == 2 and min(waiting) > 1000 + QUEUED_REQUEST_BYTES
        assert s.server.budget.available == s.server.budget.size - sum(waiting)
        client.eof_received()
        client.connection_lost(None)
        assert s.server.budget.available == s.server.budget.size


# ---------------------------------------------------------------- deadlines count from a request's last byte


def test_a_request_that_waits_behind_another_has_no_more_time_for_it() -> None:
    with side() as s:
        client, _ = s.client()
        client.data_received(request("1", "900m") + request("2", "900m"))
        s.node.now += 600_000
        s.answer(client)
        s.node.loop.run()
        assert s.node.taken[1].deadline == 1_000_000 + 900_000


def test_one_that_has_longer_does_not_hold_up_those_behind_it_beyond_their_time() -> None:
    with side() as s:
        client, _ = s.client()
        client.data_received(request("1", "9000m"))
        client.data_received(request("2", "5000m") + request("3", "400m"))
        assert s.node.shortened == [(s.node.taken[0], 6_000_000), (s.node.taken[0], 1_400_000)]
        s.answer(client)
        s.node.loop.run()
        assert s.node.taken[1].deadline == 1_400_000
        s.answer(client)
        s.node.loop.run()
        assert s.node.taken[2].deadline == 1_400_000


def test_what_lay_unread_counts_from_when_reading_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    with side() as s:
        now = 1_000_000
        monkeypatch.setattr(clients, "now_us", lambda: now)
        client, transport = s.client()
        client.data_received(b"".join(request(str(i)) for i in range(MAX_PIPELINED + 2)))
        transport.there.sendall(request("late"))  # while reading is paused
        for _ in range(MAX_PIPELINED + 1):
            now += 100  # in all less than the time after which unread input may hide a close
            s.node.now = now
            s.answer(client)
            s.node.loop.run()
        assert not transport.paused
        client.data_received(transport.here.recv(4096))
        assert client.queue[-1].arrived_at == 1_000_000  # type: ignore[union-attr]
        client.data_received(request("new"))
        assert client.queue[-1].arrived_at == now  # type: ignore[union-attr]


def test_nothing_that_lay_unread_leaves_no_trace_on_what_comes_later(monkeypatch: pytest.MonkeyPatch) -> None:
    with side() as s:
        client, _ = s.client()
        client.data_received(b"".join(request(str(i)) for i in range(MAX_PIPELINED + 2)))
        for _ in range(MAX_PIPELINED + 1):
            s.answer(client)
            s.node.loop.run()
        s.node.now = 5_000_000
        client.data_received(request("new"))
        assert client.queue[-1].arrived_at == 5_000_000  # type: ignore[union-attr]


def test_a_pause_in_reading_that_left_nothing_unread_refuses_nobody_later(monkeypatch: pytest.MonkeyPatch) -> None:
    with side() as s:
        now = 1_000_000
        monkeypatch.setattr(clients, "now_us", lambda: now)
        client, transport = s.client()
        client.data_received(request("1"))
        client.stream_begin(SOURCE, -1, b"")
        client.stream_end(True)
        now += 5 * HIDDEN_CLOSE_US
        transport.there.sendall(request("3"))  # arrives while the one before it is read
        client.data_received(request("2"))
        assert s.node.ids() == [b"1", b"2"]


# ---------------------------------------------------------------- streamed answers


def test_while_a_long_answer_goes_out_what_comes_stays_unread() -> None:
    """A broken streamed answer closes the connection; a request read by then would stay unanswered."""
    with side() as s:
        client, transport = s.client()
        client.data_received(request("1"))
        assert not client.has_queued_requests()
        client.stream_begin(SOURCE, -1, b"")
        assert transport.paused
        client.stream_end(True)
        assert not transport.paused and client in s.server.idle
        client.data_received(request("2") + request("3"))
        assert client.has_queued_requests()


def test_a_client_that_leaves_during_a_long_answer_is_noticed_though_it_is_not_read() -> None:
    with side() as s:
        client, transport = s.client()
        client.data_received(request("1"))
        client.stream_begin(SOURCE, -1, b"")
        s.server.check_clients(now_us())
        assert not transport.aborted
        transport.there.close()
        s.server.check_clients(now_us())
        assert transport.aborted


def test_a_long_answer_with_a_request_behind_it_that_breaks_takes_no_request_along() -> None:
    """The first answer used to be streamed and broke, so the second request, already read, stayed unanswered."""
    def script(sock, n):  # type: ignore[no-untyped-def]
        if n == 1:
            sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 200000\r\n\r\n" + bytes(150_000))
            return False
        sock.sendall(answer())
        return None

    with running(script) as node:
        client = node.client()
        client.send(client.head("crew") + client.head("crew"))
        assert [client.read().status, client.read().status] == [502, 200]


def test_a_long_answer_with_a_request_behind_it_arrives_whole() -> None:
    with running(lambda s, n: s.sendall(answer(200, bytes(300_000)))) as node:
        client = node.client()
        client.send(client.head() + client.head())
        assert [len(client.read().body), len(client.read().body)] == [300_000, 300_000]


# ---------------------------------------------------------------- descriptors are exhausted


def test_for_a_newcomer_none_is_closed_that_has_just_sent_a_request() -> None:
    with side(max_clients=2) as s:
        (oldest, first), (_, second) = s.client(), s.client()
        first.there.sendall(request("1"))
        s.client()
        assert not first.closed and second.closed
        assert oldest in s.server.idle


def test_none_that_is_owed_an_answer_goes_when_descriptors_are_out() -> None:
    with side(max_clients=1, spare=1) as s:
        waiting, first = s.client()
        waiting.data_received(request("1") + request("2"))
        s.answer(waiting)  # between two queued requests
        half, second = s.client()
        half.data_received(request("3")[:30])
        _, third = s.client()
        assert not first.aborted and not second.aborted and third.aborted


def test_a_resting_connection_is_forgotten_only_when_its_answer_has_gone_out() -> None:
    """An idle connection with unsent output was dropped from the list; a process that ended then cut the answer
    off."""
    with side() as s:
        client, transport = s.client()
        client.data_received(request("1"))
        s.answer(client)
        transport.unsent = 100_000
        s.server.close_idle()
        assert transport.closed and client in s.server.clients and client not in s.server.idle
        client.connection_lost(None)
        assert client not in s.server.clients


def test_what_is_refused_at_the_door_is_told_when_to_come_back() -> None:
    with side(max_clients=1) as s:
        waiting, _ = s.client()
        waiting.data_received(request("1"))
        s.node.retry_us = 1_000_000
        over, transport = s.client()
        over.data_received(request("2"))
        assert transport.written.startswith(b"HTTP/1.1 503 ") and b"\r\nRetry-After: 1.000\r\n" in transport.written
        assert s.node.ids() == [b"1"]


# ---------------------------------------------------------------- clients that stop within a request


@pytest.mark.parametrize("begun", [
    b"GET /api/x HTTP/1.1\r\nHost: x\r\nX-Ca",
    b"POST /api/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: s\r\nX-Call-Class: crew\r\nX-Budget: 9000m\r\n"
    b"Content-Length: 10\r\n\r\nabc",
])
def test_a_client_that_stops_within_a_request_and_stays_has_its_error_in_three_seconds(begun: bytes) -> None:
    with running(None) as node:
        client = node.client()
        assert client.ask().status == 200
        began = time.monotonic()
        client.send(begun)
        assert client.read().status == 408
        assert time.monotonic() - began < 3.5  # the limit is 3 s; the rest allows for a busy machine
        assert client.ended()
        assert len(node.backends[0].requests) == 1


def test_one_that_stops_behind_a_request_that_is_being_answered_has_its_error_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with side() as s:
        now = 1_000_000
        monkeypatch.setattr(clients, "now_us", lambda: now)
        client, transport = s.client()
        client.data_received(request("1") + request("2")[:40])
        now += clients.INPUT_TIMEOUT_US
        s.server.check_clients(now)
        assert client.reading
        now += 1
        s.server.check_clients(now)
        assert not client.reading and not transport.written
        s.answer(client)
        s.node.loop.run()
        assert transport.statuses() == [200, 408] and transport.ended


def test_bytes_now_and_then_are_no_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """A head may take 2 s, with no byte for most of that time."""
    with side() as s:
        now = 1_000_000
        monkeypatch.setattr(clients, "now_us", lambda: now)
        client, _ = s.client()
        whole = request("1")
        for i in range(0, len(whole), 40):
            client.data_received(whole[i:i + 40])
            now += 2_000_000
            s.server.check_clients(now)
        assert s.node.ids() == [b"1"]


def test_one_that_waits_for_continue_behind_another_is_told_to_go_on_in_its_turn() -> None:
    with side() as s:
        client, transport = s.client()
        head = request("2").replace(b"GET", b"POST").replace(b"look", b"crew")[:-2]
        client.data_received(request("1") + head + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        s.server.check_clients(now_us() + 10 * clients.INPUT_TIMEOUT_US)
        assert client.reading and not transport.written
        s.answer(client)
        s.node.loop.run()
        assert transport.written.endswith(b"HTTP/1.1 100 Continue\r\n\r\n")
        client.data_received(b"ab")
        assert s.node.ids() == [b"1", b"2"]


def test_during_shutdown_one_that_has_stopped_is_answered_or_closed_too() -> None:
    with running(None) as node:
        client = node.client()
        client.send(b"GET /api/x HTTP/1.1\r\nHost: x\r\nX-Ca")
        client.wait_delivered()
        began = time.monotonic()
        node.process.terminate()
        assert client.read().status == 408
        assert time.monotonic() - began < 3.5
        assert wait_for(lambda: node.process.poll() is not None) and node.process.returncode == 0
