"""The whole program: start, discovery, peers, restarts."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from headspar.node.chain import DELIVERY_AFTER_FAILURE_US, PATIENCE_US, RECONNECT_US
from tests.loopback import (
    ROOT,
    Backend,
    Client,
    Discovery,
    Node,
    Script,
    answer,
    free_address,
    reset,
    running,
    wait_for,
)


def start(tmp_path: Path, env: dict[str, str], config: Any) -> subprocess.CompletedProcess[str]:
    path = tmp_path / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    base = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
    full = {"ROUTER_NAME": "n0", "ROUTER_LISTEN": "127.0.0.1:1", "ROUTER_DISCOVERY": "127.0.0.1:1",
            "ROUTER_CONFIG": str(path), **env}
    return subprocess.run([sys.executable, "-m", "headspar"], cwd=ROOT, capture_output=True, text=True,
                          env={**base, **{k: v for k, v in full.items() if v}}, timeout=30)


def good_config() -> dict[str, Any]:
    from tests.loopback import settings

    return {"seed": "8c", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": []}, "settings": settings()}


@pytest.mark.parametrize(("env", "changes", "field"), [
    ({"ROUTER_NAME": ""}, {}, "ROUTER_NAME"),
    ({"ROUTER_LISTEN": ""}, {}, "ROUTER_LISTEN"),
    ({"ROUTER_LISTEN": "here"}, {}, "ROUTER_LISTEN"),
    ({"ROUTER_LISTEN": "127.0.0.1:0"}, {}, "ROUTER_LISTEN"),
    ({"ROUTER_DISCOVERY": "127.0.0.1:99999"}, {}, "ROUTER_DISCOVERY"),
    ({"ROUTER_CONFIG": "/nowhere/config.json"}, {}, "ROUTER_CONFIG"),
    ({}, {"seed": "xyz"}, "seed"),
    ({}, {"seed": None}, "seed"),
    ({}, {"limits": {"memory_mb": 192}}, "limits.sockets"),
    ({}, {"limits": {"memory_mb": "much", "sockets": 100}}, "limits.memory_mb"),
    ({}, {"limits": []}, "limits.memory_mb"),
    ({}, {"known": []}, "known"),
    ({}, {"known": {"generation": "x", "instances": []}}, "known"),
    ({}, {"settings": {}}, "settings: missing key"),
    ({}, {"settings": 7}, "settings"),
    ({}, {"peers": ["x"]}, "peers[0]"),
    ({}, {"peer_listen": "x"}, "peer_listen"),
])
def test_a_start_that_cannot_go_on_names_the_field_in_one_line(
    tmp_path: Path, env: dict[str, str], changes: dict[str, Any], field: str
) -> None:
    done = start(tmp_path, env, {**good_config(), **changes})
    assert done.returncode not in (0, None)
    assert len(done.stderr.splitlines()) == 1
    assert field in done.stderr


def test_a_configuration_that_is_no_json_or_lacks_a_part(tmp_path: Path) -> None:
    for text in ("", "[1", "[]"):
        done = start(tmp_path, {}, text)
        assert done.returncode and "ROUTER_CONFIG" in done.stderr
    for field in ("seed", "limits", "known", "settings"):
        done = start(tmp_path, {}, {k: v for k, v in good_config().items() if k != field})
        assert done.returncode and done.stderr.startswith(f"headspar: {field}")


def test_an_address_in_use_is_said(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        done = start(tmp_path, {"ROUTER_LISTEN": f"127.0.0.1:{taken.getsockname()[1]}"}, good_config())
        assert done.returncode and "cannot listen" in done.stderr and len(done.stderr.splitlines()) == 1


# ---------------------------------------------------------------- discovery


def test_a_drain_stops_new_requests_and_a_full_list_brings_them_back() -> None:
    with running(None, None) as node:
        one, two = node.backends
        client = node.client()
        wait_for(lambda: node.discovery.calls)
        assert node.discovery.calls[0].startswith("/v1/servers?since=5&timeout_ms=")
        node.discovery.publish([one.row(lifecycle="draining")])
        wait_for(lambda: any("since=6" in call for call in node.discovery.calls))
        time.sleep(0.1)
        before = len(one.requests)
        assert all(client.ask().status == 200 for _ in range(12))
        assert len(one.requests) == before
        node.discovery.publish([one.row(), two.row(lifecycle="draining")], full=True)
        wait_for(lambda: any("since=7" in call for call in node.discovery.calls))
        time.sleep(0.1)
        before = len(two.requests)
        assert all(client.ask().status == 200 for _ in range(12))
        assert len(two.requests) == before
        node.discovery.publish([two.row()], full=True)  # not listed: gone
        wait_for(lambda: any("since=8" in call for call in node.discovery.calls))
        time.sleep(0.1)
        before = len(one.requests)
        assert all(client.ask().status == 200 for _ in range(12))
        assert len(one.requests) == before


def test_the_next_call_follows_an_answer_at_once() -> None:
    with running(None) as node:
        wait_for(lambda: len(node.discovery.calls) >= 4)
        assert node.discovery.accepted == 1
        # Each call waits for the time that the settings allow a node to stay silent; the gap between calls is no
        # pause.
        gaps = [b - a for a, b in zip(node.discovery.times, node.discovery.times[1:], strict=False)]
        assert min(gaps) > 0.5


@pytest.mark.parametrize("raw", [
    answer(503), answer(200, b"{"), answer(200, b"[]"), answer(200, b'{"generation":"x","instances":[]}'),
    answer(200, b'{"generation":9}'), b"nonsense\r\n\r\n", answer(404, b"{}"), answer(200, b"\xff"),
])
def test_malformed_answers_keep_the_old_list_and_the_watch_comes_back(raw: bytes) -> None:
    with running(None) as node:
        node.discovery.raw = raw
        wait_for(lambda: "discovery: " in node.log.read_text())
        assert node.client().ask().status == 200
        node.discovery.raw = None
        one = node.backends[0]
        node.discovery.publish([one.row(instanceId="s-2"), one.row(lifecycle="draining")])
        wait_for(lambda: any("since=6" in call for call in node.discovery.calls))
        assert node.client().ask().status == 200


def test_entries_that_cannot_be_read_are_skipped() -> None:
    with running(None) as node:
        one = node.backends[0]
        bad: list[Any] = [
            7, {}, one.row(instanceId=""), one.row(instanceId="x", hostPort="y"),
            one.row(instanceId="z", lifecycle="?"), one.row(instanceId="w", weight="heavy"),
            one.row(instanceId="v", startedAtMs="x"),
        ]
        wait_for(lambda: node.discovery.calls)
        node.discovery.publish([*bad, one.row(lifecycle="draining"), one.row(instanceId="s-2")])
        wait_for(lambda: any("since=6" in call for call in node.discovery.calls))
        assert node.client().ask().status == 200
        assert node.log.read_text().count("entry skipped") == len(bad)


def test_a_silent_link_is_given_up_and_the_watch_resumed() -> None:
    with running(None) as node:
        node.discovery.silent = True
        wait_for(lambda: "discovery: no answer" in node.log.read_text())
        node.discovery.silent = False
        calls = len(node.discovery.calls)
        wait_for(lambda: len(node.discovery.calls) > calls + 2)


def test_what_a_silent_connection_holds_back_is_heard_on_a_new_one_in_time() -> None:
    """Discovery counts a change as delivered 2 s after it is known, and the grace of a drain is 1 s."""
    with running(None, None, ask_every_us=10_000_000) as node:
        wait_for(lambda: len(node.discovery.calls) > 2)
        node.discovery.unresponsive = node.discovery.open[:]
        one = node.backends[0]
        node.discovery.publish([one.row(lifecycle="draining")])
        wait_for(lambda: any("since=6" in call for call in node.discovery.calls), 6)
        assert "retrying on a new connection" in node.log.read_text()
        time.sleep(0.1)
        before = len(one.requests)
        client = node.client()
        assert all(client.ask().status == 200 for _ in range(12))
        assert len(one.requests) == before


@pytest.mark.parametrize("changed", [False, True])
def test_a_watch_that_discovery_ends_is_begun_anew_at_once(changed: bool) -> None:
    """When the connection ended, the answer before it, or the failure, was ignored until the wait had run out."""
    with running(None, None, ask_every_us=60_000_000) as node:
        one = node.backends[0]
        wait_for(lambda: node.discovery.calls)
        if changed:
            node.discovery.closes_after_answer = True
            node.discovery.publish([one.row(lifecycle="draining")])
            wait_for(lambda: "Partial list 6" in node.log.read_text())
            wait_for(lambda: any("since=6" in call for call in node.discovery.calls))
        else:
            reset(node.discovery.open[0])
            wait_for(lambda: len(node.discovery.calls) > 1)
            assert "discovery: connection lost" in node.log.read_text()
        assert "no answer" not in node.log.read_text()


def test_an_overloaded_discovery_is_called_less_often() -> None:
    with running(None, ask_every_us=10_000_000) as node:
        node.discovery.raw = answer(503)
        wait_for(lambda: node.log.read_text().count("status 503") == 2)
        node.discovery.raw = None
        calls = len(node.discovery.calls)
        wait_for(lambda: len(node.discovery.calls) > calls)
        waits = [int(call.partition("timeout_ms=")[2]) for call in node.discovery.calls]
        longest = (DELIVERY_AFTER_FAILURE_US - PATIENCE_US - RECONNECT_US) // 1000
        assert waits[1] == 2 * waits[0] and waits[2] == longest


def test_starts_with_a_known_list_while_discovery_is_down() -> None:
    discovery = Discovery([])
    discovery.close()
    node = Node([Backend()], discovery)
    try:
        assert node.client().ask().status == 200
        wait_for(lambda: "discovery: " in node.log.read_text())
    finally:
        node.close()


def test_a_backend_that_moved_or_restarted_gets_new_connections() -> None:
    with running(None, None) as node:
        one, two = node.backends
        node.discovery.publish([two.row(lifecycle="gone")])
        wait_for(lambda: any("since=6" in call for call in node.discovery.calls))
        client = node.client()
        assert client.ask().status == 200 and one.accepted == 1
        node.discovery.publish([one.row(startedAtMs=1)])
        wait_for(lambda: one.ended == 1)
        assert client.ask().status == 200 and one.accepted == 2
        node.discovery.publish([two.row(instanceId=one.id)])
        wait_for(lambda: one.ended == 2)
        before = len(two.requests)
        assert client.ask().status == 200 and len(two.requests) == before + 1


def test_a_start_in_unix_milliseconds_is_found_on_the_nodes_own_clock() -> None:
    """Unix times read as the node's monotonic clock lay far in the future, so such backends stayed cold and were
    rationed."""
    long_ago = int(1000 * (time.time() - 60))  # three times the slow-start time
    backend = Backend()
    node = Node([backend], known=[backend.row(startedAtMs=long_ago)])
    try:
        client = node.client()
        assert [client.ask(budget="2000m").status for _ in range(8)] == [200] * 8
    finally:
        node.close()


def test_sighup_moves_the_watch_to_the_new_address_of_discovery() -> None:
    """Without a handler SIGHUP ended the node, together with all requests in progress."""
    def slowly(sock: socket.socket, n: int) -> None:
        time.sleep(0.3)
        sock.sendall(answer())

    with running(slowly, None) as node:
        one, two = node.backends
        wait_for(lambda: node.discovery.calls)
        second = Discovery([one.row(lifecycle="draining"), two.row()])
        second.generation = 2  # each discovery has its own generations
        try:
            busy = [node.client() for _ in range(6)]
            for client in busy:
                client.send(client.head())
            node.reload(second.address)
            wait_for(lambda: any("since=2" in call for call in second.calls))
            node.discovery.close()
            assert [client.read().status for client in busy] == [200] * 6
            before = len(one.requests)
            assert all(busy[0].ask().status == 200 for _ in range(12))
            assert len(one.requests) == before  # only the new discovery reports this drain
            second.publish([one.row(), two.row(lifecycle="draining")])
            wait_for(lambda: any("since=3" in call for call in second.calls))
            before = len(two.requests)
            assert all(busy[0].ask().status == 200 for _ in range(4))
            assert len(two.requests) == before
        finally:
            second.close()


@pytest.mark.parametrize("config", ["", "{", "[]", '{"seed": "1"}', None])
def test_a_bad_configuration_on_sighup_leaves_the_node_on_the_old_one(config: str | None) -> None:
    with running(None) as node:
        wait_for(lambda: node.discovery.calls)
        if config is None:
            node.reload(("nowhere", 0))
        else:
            Path(node.env["ROUTER_CONFIG"]).write_text(config)
            node.process.send_signal(signal.SIGHUP)
        wait_for(lambda: "headspar: " in node.log.read_text())
        assert node.log.read_text().count("headspar: ") == 1
        assert "Traceback" not in node.log.read_text()
        calls = len(node.discovery.calls)
        wait_for(lambda: len(node.discovery.calls) > calls)
        assert node.client().ask().status == 200


def test_the_files_discovery_is_newer_than_the_environments() -> None:
    with running(None) as node:
        wait_for(lambda: node.discovery.calls)
        second = Discovery([node.backends[0].row()])
        try:
            node.reload(second.address)
            wait_for(lambda: second.calls)
            node.stop()
            calls = len(second.calls)
            node.start()
            wait_for(lambda: len(second.calls) > calls)
        finally:
            second.close()


# ---------------------------------------------------------------- peers


def test_peers_are_told_and_strangers_are_dropped() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", 0))
        peer.settimeout(10)
        with running(None, peers=[free_address(), peer.getsockname()]) as node:
            data, source = peer.recvfrom(1000)
            assert len(data) <= 256
            for message in (b"", b"x", b"y" * 300, os.urandom(255)):
                peer.sendto(message, source)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(b"abc", source)
            assert node.client().ask().status == 200


def test_a_nodes_first_answers_do_not_make_it_refuse() -> None:
    """The node estimated its capacity from its first few answers: if these were late or rejections, it refused
    requests."""
    full = answer(503, b"", X_Rejected="1")

    def once_full(sock: socket.socket, n: int) -> None:
        sock.sendall(full if n == 1 else answer())

    with running(*[once_full] * 5) as node:
        client = node.client()
        statuses = []
        for _ in range(30):
            statuses.append(client.ask().status)
            time.sleep(0.05)
        assert statuses == [200] * 30


# ---------------------------------------------------------------- restarts


def test_sigterm_answers_all_that_was_taken_and_ends_in_time() -> None:
    def slowly(sock: socket.socket, n: int) -> None:
        time.sleep(1.0)
        sock.sendall(answer())

    with running(slowly) as node:
        busy, idle = [node.client() for _ in range(5)], node.client()
        for client in busy:
            client.send(client.head(budget="3000m"))
        wait_for(lambda: len(node.backends[0].requests) == 5)
        node.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        late = node.client()  # the load balancer in front has not noticed the shutdown yet
        late.send(late.head(budget="3000m"))
        node.process.send_signal(signal.SIGTERM)
        for client in (*busy, late):
            got = client.read()
            assert (got.status, got.headers["Connection"]) == (200, "close")
            assert client.ended()
            client.close()
        assert idle.ended()
        assert node.process.wait(10) == 0
        assert time.monotonic() - began < 10


def test_sigterm_ends_in_time_whatever_is_left() -> None:
    with running(lambda s, n: None) as node:
        client, half = node.client(), node.client()
        client.send(client.head(budget="60000m"))
        half.send(half.head()[:40])
        wait_for(lambda: node.backends[0].requests)
        began = time.monotonic()
        assert node.stop() == 0
        assert time.monotonic() - began < 10  # ends by itself although a request has 57 s left


def test_healthz_says_no_while_it_ends() -> None:
    with running(lambda s, n: None) as node:
        client = node.client()
        client.send(client.head())
        wait_for(lambda: node.backends[0].requests)
        node.process.send_signal(signal.SIGTERM)
        wait_for(lambda: node.health() == 503)


def test_after_a_kill_the_address_is_taken_again_at_once() -> None:
    with running(None) as node:
        clients = [node.client() for _ in range(5)]
        assert all(client.ask().status == 200 for client in clients)
        node.process.kill()
        node.process.wait()
        node.start()
        assert node.client().ask().status == 200


@pytest.mark.parametrize(("script", "count"), [(None, 120), (lambda s, n: None, 24)])
def test_a_request_that_is_over_is_held_no_longer(script: Script | None, count: int) -> None:
    """Answered requests stayed in memory until new ones were refused, by their number or by the budget for bodies."""
    with running(script, None, memory_mb=64, most_held=30) as node:  # no answer from the backend: hedged requests win
        client = node.client()
        kinds = [("look", b""), ("pay", bytes(1_000_000))]
        assert [client.ask(*kinds[n % 2]).status for n in range(count)] == [200] * count


def test_backends_that_are_gone_are_forgotten() -> None:
    """Backends get new ids all the time, and each id ever listed stayed in memory."""
    with running(None) as node:
        one = node.backends[0]
        client = node.client()

        def replace_all(rounds: range) -> None:
            for n in rounds:
                rows = [one.row(instanceId=f"s-{n}-{i}") for i in range(2500)]
                for changed in (rows, [dict(row, lifecycle="gone") for row in rows]):
                    node.discovery.publish(changed)
                    call = f"since={node.discovery.generation}&"
                    wait_for(lambda call=call: any(call in c for c in node.discovery.calls))  # type: ignore[misc]
                assert client.ask().status == 200

        replace_all(range(2))
        before = node.rss_mb()
        replace_all(range(2, 14))
        assert node.rss_mb() < before + 10


def test_memory_and_descriptors_stay_flat_over_many_requests() -> None:
    with running(None, None) as node:
        def drive(count: int) -> None:
            client = Client(node.address)
            for _ in range(count):
                assert client.ask().status == 200
            client.close()

        drive(300)
        memory, files = node.rss_mb(), node.files()
        threads = [threading.Thread(target=drive, args=(300,)) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for _ in range(200):  # short-lived connections
            node.client().close()
        wait_for(lambda: node.files() <= files + 10)
        assert node.rss_mb() < memory + 8
