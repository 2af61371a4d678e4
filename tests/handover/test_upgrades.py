"""Upgrades of the real program with two processes, and hand-overs to or from a stub process that misbehaves."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from headspar.handover import unix_socket
from headspar.handover.messages import Hello, Offer, Ready
from tests.loopback import TIMEOUT_S, Node, answer, running, wait_for


class Load:
    """Clients that send requests continuously, each on one connection that it never closes itself."""

    def __init__(self, node: Node, clients: int) -> None:
        self.node = node
        self.stopping = False
        self.statuses: list[int] = []
        self.closed: list[str] = []
        self.threads = [threading.Thread(target=self._ask, args=(i,)) for i in range(clients)]
        for thread in self.threads:
            thread.start()

    def _ask(self, i: int) -> None:
        with self.node.client() as client:
            while not self.stopping:
                try:
                    got = client.ask(("look", "pay")[i % 2], b"x" * (10 if i % 2 else 0))
                except Exception as error:  # the connection was closed, which an upgrade must not cause
                    self.closed.append(repr(error))
                    return
                self.statuses.append(got.status)
                if got.headers.get("Connection") == "close":
                    self.closed.append("asked to close")
                    return
                time.sleep(0.02)

    def stop(self) -> None:
        self.stopping = True
        for thread in self.threads:
            thread.join(TIMEOUT_S)


@pytest.fixture
def node() -> Iterator[Node]:
    with running(None, None, ops=True) as node:
        yield node


def files_of(*processes: subprocess.Popen[bytes]) -> int:
    return sum(len(os.listdir(f"/proc/{p.pid}/fd")) for p in processes)


def mb_of(*processes: subprocess.Popen[bytes]) -> float:
    """The proportional set size in MiB, in which shared memory counts once."""
    rows = (Path(f"/proc/{p.pid}/smaps_rollup").read_text().splitlines() for p in processes)
    return sum(int(line.split()[1]) for row in rows for line in row if line.startswith("Pss:")) / 1024


def place(node: Node) -> Path:
    found = unix_socket.socket_path(node.env, node.address)
    assert found is not None
    return found


def test_ten_upgrades_in_a_row_close_no_connection_and_lose_no_request(node: Node) -> None:
    load = Load(node, 50)
    peak = (0, 0.0)
    for _ in range(10):
        asked = len(load.statuses)
        first = node.second()
        for _ in range(5):
            peak = max(peak[0], files_of(first, node.process)), max(peak[1], mb_of(first, node.process))
        first.send_signal(signal.SIGTERM)
        assert first.wait(TIMEOUT_S) == 0
        wait_for(partial(lambda seen: len(load.statuses) > seen + 50, asked))
    load.stop()
    assert 60 < peak[0] < 1024 and 20 < peak[1] < 192
    assert load.closed == []
    assert set(load.statuses) == {200}, (Counter(load.statuses), node.log.read_text())
    assert node.log.read_text().count("connections taken over") == 10


def test_two_processes_stay_within_one_nodes_descriptors() -> None:
    with running(None, None, ops=True, sockets=256) as node:
        load = Load(node, 60)
        wait_for(lambda: len(load.statuses) > 300)
        first = node.second()
        end = time.monotonic() + 1.0
        peak = 0
        while time.monotonic() < end:
            peak = max(peak, files_of(first, node.process))
        first.send_signal(signal.SIGTERM)
        assert first.wait(TIMEOUT_S) == 0
        load.stop()
        assert load.closed == [] and 120 < peak <= 256


def test_a_request_that_runs_is_answered_by_the_process_that_took_it() -> None:
    hold = threading.Event()

    def script(sock: socket.socket, n: int) -> None:
        if n == 1:
            hold.wait(TIMEOUT_S)
        sock.sendall(answer(200, b"%d" % n))

    with running(script, ops=True) as node, node.client() as client:
        client.send(client.head("pay") + client.head("look"))  # the second is pipelined behind it
        wait_for(lambda: node.call("/stats")[1]["concurrent"] == 1)
        first = node.second()
        first.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        assert first.poll() is None
        hold.set()
        assert [client.read().body for _ in range(2)] == [b"1", b"2"]
        assert first.wait(TIMEOUT_S) == 0
        assert client.ask().status == 200  # by the new process, on the same connection


def test_a_first_process_that_dies_in_the_middle_of_it_leaves_the_second_alone(node: Node) -> None:
    hold = threading.Event()

    def script(sock: socket.socket, n: int) -> None:
        hold.wait(TIMEOUT_S)
        sock.sendall(answer())

    for backend in node.backends:
        backend.script = script
    with node.client() as busy, node.client() as idle:
        busy.send(busy.head("crew"))
        wait_for(lambda: node.call("/stats")[1]["concurrent"] == 1)
        first = node.second()
        first.kill()
        assert busy.ended()  # a killed process resets its connections
        wait_for(lambda: "hand-over: over" in node.log.read_text())
        hold.set()
        assert idle.ask().status == 200  # it had been handed over
        node.upgrade()
        assert idle.ask().status == 200


def test_settings_reach_both_processes_in_the_middle_of_an_upgrade(node: Node) -> None:
    assert node.ops is not None
    ops, config = node.ops, node.configuration()
    first = node.second()
    config["settings"]["classes"].append({**config["settings"]["classes"][0], "name": "new"})
    node.reconfigure(config)
    first.send_signal(signal.SIGHUP)
    wait_for(lambda: "new" in node.call("/stats")[1]["replies"])
    node.ops = ops  # of the old process: each process answers for itself
    wait_for(lambda: "new" in node.call("/stats")[1]["replies"])
    assert node.call("/healthcheck") == (503, {"state": "handing over"})
    assert node.call("/healthcheck/fail", "POST")[0] == 200 and node.call("/healthcheck/ok", "POST")[0] == 409
    first.send_signal(signal.SIGTERM)
    assert first.wait(TIMEOUT_S) == 0
    with node.client() as client:
        assert client.ask("look", X_Call_Class="new").status == 200


def test_a_chain_starts_while_the_first_still_has_a_request() -> None:
    hold = threading.Event()

    def script(sock: socket.socket, n: int) -> None:
        if n == 1:
            hold.wait(TIMEOUT_S)
        sock.sendall(answer())

    with running(script, script, ops=True) as node, node.client() as client:
        client.send(client.head("crew"))  # a class that is not hedged
        wait_for(lambda: node.call("/stats")[1]["concurrent"] == 1)
        first = node.second()
        first.send_signal(signal.SIGTERM)
        second = node.second()
        assert first.poll() is None
        second.send_signal(signal.SIGTERM)
        assert second.wait(TIMEOUT_S) == 0
        hold.set()
        assert client.read().status == 200
        assert first.wait(TIMEOUT_S) == 0
        assert client.ended() or client.ask().status == 200
        with node.client() as new:
            assert new.ask().status == 200


def stub_with_offer(node: Node) -> socket.socket:
    """A stub of a new process that has received the offer."""
    link = unix_socket.connect(place(node), TIMEOUT_S)
    unix_socket.send(link, Hello("n0"))
    got = unix_socket.receive(link)
    assert got is not None and isinstance(got[0], Offer)
    unix_socket.close(got[1])
    return link


def test_a_second_process_that_dies_before_its_yes_changes_nothing(node: Node) -> None:
    with node.client() as client:
        assert client.ask().status == 200
        stub_with_offer(node).close()
        wait_for(lambda: "second process is gone" in node.log.read_text())
        assert client.ask().status == 200
        assert node.call("/healthcheck")[0] == 200
        node.upgrade()
        assert client.ask().status == 200


def test_a_second_process_that_dies_after_its_yes_leaves_the_first_serving_again(node: Node) -> None:
    with node.client() as client:
        assert client.ask().status == 200
        link = stub_with_offer(node)
        unix_socket.send(link, Ready())
        wait_for(lambda: node.call("/healthcheck")[1]["state"] == "handing over")
        link.close()
        wait_for(lambda: node.call("/healthcheck")[0] == 200)
        assert node.health() == 200
    with node.client() as new:
        assert new.ask().status == 200
        node.upgrade()  # and a further process can take over
        assert new.ask().status == 200


def test_requests_that_came_just_before_the_second_process_said_yes_have_connections(node: Node) -> None:
    """Backend connections were reserved only for attempts in progress, so requests received but not yet sent were
    refused."""
    with contextlib.ExitStack() as stack:
        clients = [stack.enter_context(node.client()) for _ in range(40)]
        assert [client.ask().status for client in clients] == [200] * 40
        link = stub_with_offer(node)
        # epoll keeps descriptors of the last call at the head of its ready list until the next call.  This answer
        # shows that the next call was made, so the link is reported after the clients that send from now on.
        assert clients[0].ask().status == 200
        with node.paused():
            for client in clients:
                client.send(client.head())
            for client in clients:
                client.wait_delivered()
            unix_socket.send(link, Ready())
        assert [client.read().status for client in clients] == [200] * 40
        link.close()


@pytest.mark.parametrize("packet", [b"what", b'{"v":9,"say":"hello","name":"n0"}', b'{"v":1,"say":"ready"}'])
def test_a_stranger_at_the_meeting_place_is_cut_off(node: Node, packet: bytes) -> None:
    link = unix_socket.connect(place(node), TIMEOUT_S)
    link.send(packet)
    assert link.recv(100) == b""
    link.close()
    silent = unix_socket.connect(place(node), TIMEOUT_S)  # sends nothing: closed after a second
    assert silent.recv(100) == b""
    silent.close()
    node.upgrade()
    with node.client() as client:
        assert client.ask().status == 200


@pytest.mark.parametrize(("behaviour", "line"), [
    ("silent", "no answer"), ("ends", "the other process has ended"), ("newer", "speaks version 2, not 1"),
    ("no sockets", "came with 0 sockets"), ("no", "later"),
])
def test_a_process_that_can_not_hand_over_is_passed_by_with_one_line(node: Node, behaviour: str, line: str) -> None:
    node.stop()
    sock = unix_socket.bind(place(node))
    sock.setblocking(True)
    stopping = threading.Event()

    def talk() -> None:
        link, _ = sock.accept()
        link.recv(4096)
        if behaviour == "silent":
            stopping.wait(TIMEOUT_S)
        elif behaviour == "newer":
            link.send(b'{"v":2,"say":"offer"}')
        elif behaviour == "no sockets":
            link.send(b'{"v":1,"say":"offer","peers":false,"clients":0,"backends":0,"requests":0}')
        elif behaviour == "no":
            link.send(b'{"v":1,"say":"no","reason":"later"}')
        link.close()

    thread = threading.Thread(target=talk)
    thread.start()
    node.log.write_text("")
    node.start()
    stopping.set()
    thread.join(TIMEOUT_S)
    sock.close()
    lines = [text for text in node.log.read_text().splitlines() if text.startswith("hand-over")]
    assert len(lines) == 1 and "starting alone" in lines[0] and line in lines[0]


def test_the_socket_file_of_a_killed_process_is_no_hindrance(node: Node) -> None:
    node.process.kill()
    node.process.wait()
    assert place(node).exists()
    node.start()
    assert "hand-over" not in node.log.read_text()
    node.upgrade()
    node.stop()
    assert not place(node).exists()


def test_beside_a_process_that_does_not_answer_the_second_still_takes_the_address(node: Node) -> None:
    first = node.process
    first.send_signal(signal.SIGSTOP)
    try:
        node.second()
        assert "starting alone: no answer" in node.log.read_text()
    finally:
        first.kill()
        first.wait()
    with node.client() as client:
        assert client.ask().status == 200


def test_without_a_directory_of_its_own_there_is_no_meeting_place() -> None:
    assert unix_socket.socket_path({}, ("127.0.0.1", 80)) is None
    long = Path("/tmp") / ("x" * 200)
    long.mkdir(exist_ok=True)
    try:
        path = unix_socket.socket_path({"TMPDIR": str(long)}, ("127.0.0.1", 80))
        assert path is not None
        sock = unix_socket.bind(path)  # longer than the 108 bytes of a socket address
        unix_socket.connect(path, TIMEOUT_S).close()
        sock.close()
        path.unlink()
    finally:
        long.rmdir()


def test_sigterm_alone_answers_what_runs_longer_than_the_end() -> None:
    with running(lambda sock, n: time.sleep(TIMEOUT_S), ops=True) as node, node.client() as client:
        client.send(client.head("crew", budget="20000m"))
        wait_for(lambda: node.call("/stats")[1]["concurrent"] == 1)
        node.process.send_signal(signal.SIGTERM)
        assert client.read().status == 504
        assert node.process.wait(TIMEOUT_S) == 0


def test_a_new_process_takes_only_the_memory_that_the_old_one_has_left() -> None:
    """Guards against two processes that hold more than the node may: the old one holds over half of it already."""
    large, small = bytes(20_000_000), bytes(8_000_000)
    release = threading.Event()

    def script(sock: socket.socket, n: int) -> None:
        if n == 1:
            release.wait(TIMEOUT_S)
        sock.sendall(answer())

    with running(script, ops=True, memory_mb=96) as node, node.client() as holder:  # 44 MiB for what is held
        holder.send(holder.head("crew", bytes(30_000_000), budget="15000m") + bytes(30_000_000))
        wait_for(lambda: node.backends[0].requests)
        first = node.second()
        with node.client() as client:
            assert client.ask("crew", large).status == 503
        with node.client() as client:
            assert client.ask("crew", small).status == 200
        release.set()
        assert holder.read().status == 200
        first.send_signal(signal.SIGTERM)
        assert first.wait(TIMEOUT_S) == 0

        def taken() -> bool:
            with node.client() as client:
                return client.ask("crew", large).status == 200

        wait_for(taken)
