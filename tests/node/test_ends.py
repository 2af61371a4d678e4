"""Shutdown of a process and early signals: requests that arrive meanwhile are answered."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from headspar.node import client_connections, core
from headspar.node.clock import now_us
from headspar.process import NEW_CONNECTION_GRACE_US, Process, drain_accept_queue
from tests.helpers import full, settings
from tests.loopback import ROOT, TIMEOUT_S, Backend, Discovery, answer, free_address, running, text, wait_for
from tests.node.harness import Loop, side
from tests.test_due import make_node

serial = itertools.count()


class RecordingClient:
    """Stub of a request's client that records how it was answered."""

    def __init__(self) -> None:
        self.answers: list[tuple[int, int]] = []

    def refuse(self, r: core.Request, status: int, retry_after_us: int) -> None:
        self.answers.append((status, retry_after_us))


def submit_request(node: core.Node) -> tuple[core.Request, RecordingClient]:
    client = RecordingClient()
    r = core.Request(cast(Any, client))
    r.call_id, r.cls, r.budget_us = b"c%d" % next(serial), "look", 1_000_000
    r.arrived_at = node.arrival_time()
    r.deadline = r.arrived_at + r.budget_us
    node.arrived(r)
    return r, client


@pytest.fixture
def node(monkeypatch: pytest.MonkeyPatch) -> core.Node:
    node, _, _ = make_node(monkeypatch)
    node.backends = cast(Any, SimpleNamespace(repeatable=set(), budget=None))
    return node


def test_what_is_read_after_the_last_answers_were_given_is_refused_at_once(node: core.Node) -> None:
    """Such a request used to be taken, and the process ended before its deadline without an answer."""
    _, before = submit_request(node)
    node.answer_all()
    assert before.answers == [(504, 0)]
    _, after = submit_request(node)
    assert after.answers == [(503, node.retry_after())]
    node.flush_events()
    assert not node.requests and not node.taken_ids.open


def test_what_the_node_refuses_itself_says_when_to_come_back(
    node: core.Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    node.most_held = 0
    monkeypatch.setattr(node.settings, "retry_after", True)
    monkeypatch.setattr(node.settings, "max_retry_after_us", 400_000)
    assert submit_request(node)[1].answers == [(503, 400_000)]
    monkeypatch.setattr(node.settings, "retry_after", False)
    assert submit_request(node)[1].answers == [(503, 0)]


def test_a_request_that_waited_for_its_turn_has_what_is_left_of_its_time(node: core.Node) -> None:
    """Both the budget sent to the backend and the deadline count from the request's last byte."""
    client, loop = RecordingClient(), cast(Any, node.loop)
    r = core.Request(cast(Any, client))
    r.cls, r.budget_us, r.arrived_at = "look", 1_000_000, node.arrival_time()
    r.deadline = r.arrived_at + r.budget_us
    loop.run(loop.now + 700_000)
    node.arrived(r)
    assert r.deadline == r.arrived_at + r.budget_us and not client.answers
    loop.run(loop.now + 301_000)
    assert client.answers == [(504, 0)]


@pytest.mark.parametrize("end", [
    lambda node, r: node.client_gone(r), lambda node, r: node.reject(r, 400), lambda node, r: node.answer_all(),
])
def test_a_request_that_ends_before_it_is_decided_leaves_no_load_behind(end: Callable[[Any, Any], None]) -> None:
    loop = cast(Any, Loop())
    node = core.Node(cast(Any, SimpleNamespace(settings=settings(), seed=1)), loop)
    node.backends = cast(Any, SimpleNamespace(repeatable=set(), budget=None))
    node.reach = cast(Any, SimpleNamespace(draining={}))
    node.balancer.handle(now_us(), [full(2)])
    for _ in range(20):
        r, _ = submit_request(node)
        end(node, r)
        node.closing = False
        loop.run()
    assert [b.outstanding for b in node.balancer.membership.backends.values()] == [0, 0]
    assert not node.balancer.finished and not node.balancer.requests and not node.requests and not node.taken_ids.open


def test_a_request_whose_time_is_cut_by_one_behind_it_is_answered_by_then(
    node: core.Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    r, client = submit_request(node)
    loop = cast(Any, node.loop)
    node.shorten_deadline(r, loop.now + 300_000)
    node.shorten_deadline(r, loop.now + 500_000)  # a deadline is never extended again
    loop.run(loop.now + 299_000)
    assert not client.answers
    loop.run(loop.now + 10_000)
    assert client.answers == [(504, 0)]


def test_connections_in_the_systems_queue_are_served_when_the_listener_closes() -> None:
    """The system reset these connections together with the requests sent on them."""
    async def scenario() -> None:
        listener = socket.socket()
        listener.bind(free_address())
        listener.listen(8)
        listener.setblocking(False)
        clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
        loop = asyncio.get_running_loop()
        transports: list[asyncio.BaseTransport] = []

        class Greeter(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                transports.append(transport)
                cast(asyncio.Transport, transport).write(b"taken")

        async def serve(sock: socket.socket) -> None:
            await loop.connect_accepted_socket(Greeter, sock)

        tasks: list[asyncio.Task[None]] = []
        closed: list[bool] = []
        part = SimpleNamespace(socket=listener, listening=True, _serve=serve,
                               _spawn=lambda work: tasks.append(loop.create_task(work)))
        Process._close_listener(cast(Any, part), cast(Any, SimpleNamespace(close=lambda: closed.append(True))))
        assert closed == [True] and part.listening is None and listener.fileno() == -1
        await asyncio.gather(*tasks)
        assert len(transports) == 3
        for client in clients:
            client.settimeout(TIMEOUT_S)
            assert await asyncio.to_thread(client.recv, 100) == b"taken"
            client.close()
        for transport in transports:
            transport.close()
        with pytest.raises(OSError):
            socket.create_connection(("127.0.0.1", 1), 0.1)

    asyncio.run(scenario())


def test_the_queue_is_emptied_past_a_connection_that_was_aborted_in_it() -> None:
    class Queue:
        def __init__(self, *what: Any) -> None:
            self.what = list(what)

        def accept(self) -> tuple[Any, Any]:
            one = self.what.pop(0)
            if isinstance(one, Exception):
                raise one
            return one, None

    sock = SimpleNamespace(setblocking=lambda flag: None)
    queue = Queue(sock, ConnectionAbortedError(), InterruptedError(), sock, BlockingIOError())
    assert list(drain_accept_queue(cast(Any, queue), 10)) == [sock, sock] and not queue.what
    full = Queue(sock, OSError(24, "too many open files"), sock)
    assert list(drain_accept_queue(cast(Any, full), 10)) == [sock]
    assert len(list(drain_accept_queue(cast(Any, Queue(sock, sock, sock)), 2))) == 2


def test_a_backend_that_hangs_through_the_whole_shutdown_leaves_nobody_without_an_answer() -> None:
    with running(lambda s, n: None) as node:
        config = node.configuration()
        for cls in config["settings"]["classes"]:
            cls["give_up_us"] = 1_000_000
        node.reconfigure(config)
        wait_for(lambda: "new settings" in node.log.read_text())
        clients = [node.client() for _ in range(6)]
        for client in clients:
            client.send(client.head("crew"))
        wait_for(lambda: len(node.backends[0].requests) == 6)
        began = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        node.process.send_signal(signal.SIGTERM)  # a second SIGTERM changes nothing
        statuses = [client.read().status for client in clients]
        assert set(statuses) <= {502, 504}
        assert all(client.ended() for client in clients)
        assert node.process.wait(TIMEOUT_S) == 0
        assert time.monotonic() - began < 5


def test_a_large_answer_to_a_slow_reader_is_whole_though_the_process_ends() -> None:
    """A connection whose answer was still in the write buffer counted as idle, and the process ended before it was
    sent."""
    body = bytes(range(256)) * 4096
    with running(lambda s, n: s.sendall(answer(200, body))) as node:
        client = node.client()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.send(client.head())
        wait_for(lambda: node.backends[0].requests)
        time.sleep(0.2)
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.9)  # beyond the time after which idle connections are closed
        got = client.read()
        assert got.complete and got.body == body
        assert node.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("written", ["", "{\"seed\": \"8c1f", "whole"])
def test_sighup_before_the_node_can_act_on_it_ends_nothing_and_is_not_forgotten(
    tmp_path: Path, written: str
) -> None:
    """The configuration is a named pipe, so the process blocks in its start until the test writes to it."""
    backend = Backend()
    first, second = Discovery([backend.row()]), Discovery([backend.row()])
    from tests.loopback import settings

    def config(discovery: Discovery) -> str:
        return json.dumps({
            "seed": "8c", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 5, "reset": True, "instances": [backend.row()]},
            "settings": settings(), "discovery": text(discovery.address),
        })

    path, new = tmp_path / "config.json", tmp_path / "config.new"
    os.mkfifo(path)
    new.write_text(config(second) if written == "whole" else written)
    address = free_address()
    env = dict(os.environ, ROUTER_NAME="n0", ROUTER_LISTEN=text(address), ROUTER_CONFIG=str(path),
               ROUTER_DISCOVERY=text(first.address), TMPDIR=str(tmp_path))
    log = tmp_path / "log"
    with log.open("wb") as file:
        process = subprocess.Popen([sys.executable, "-m", "headspar"], cwd=ROOT, env=env, stderr=file)
    try:
        pipe = os.open(path, os.O_WRONLY)  # blocks until the process opens it for reading
        new.rename(path)
        process.send_signal(signal.SIGHUP)
        os.write(pipe, config(first).encode())
        os.close(pipe)
        if written == "whole":
            wait_for(lambda: second.calls or process.poll() is not None)
        else:  # an incomplete file must be rejected as a whole
            wait_for(lambda: "nothing taken" in log.read_text() or process.poll() is not None)
            wait_for(lambda: first.calls)
            path.write_text(config(second))
            process.send_signal(signal.SIGHUP)
            wait_for(lambda: second.calls)
        assert process.poll() is None
        process.send_signal(signal.SIGHUP)  # several in a row, also after shutdown has begun
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
        for listener in (backend, first, second):
            listener.close()


def test_a_connection_opened_as_the_listener_closes_has_time_for_its_first_request() -> None:
    """Guards against a close that crosses the first request of a connection, which its client can't send again."""
    async def scenario() -> list[int]:
        graces: list[int] = []
        node = SimpleNamespace(
            lifecycle=SimpleNamespace(move=lambda cause: None, hands_over=False), closing=False, recorder=None,
            settings=SimpleNamespace(classes=[SimpleNamespace(deadline_us=300_000)]), trace=None,
        )
        node.answer_all = lambda: setattr(node, "closing", True)
        part = SimpleNamespace(
            node=node, server=SimpleNamespace(clients=["one"], close_idle=graces.append), tasks=set(), ops=None,
            loop=asyncio.get_running_loop(), listening=None, old_process=None, snapshots=None,
        )
        await Process.end(cast(Any, part))
        assert node.closing
        return graces

    assert set(asyncio.run(scenario())) == {NEW_CONNECTION_GRACE_US}


def test_idle_connections_are_closed_by_the_time_that_they_have_been_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [1_000_000]
    monkeypatch.setattr(client_connections, "now_us", lambda: now[0])
    with side() as s:
        _, old = s.client()
        now[0] += NEW_CONNECTION_GRACE_US
        _, new = s.client()
        s.server.close_idle(NEW_CONNECTION_GRACE_US)
        assert old.closed and not new.closed
        now[0] += NEW_CONNECTION_GRACE_US
        s.server.close_idle(NEW_CONNECTION_GRACE_US)
        assert new.closed
