"""The trace: what it tells of a request, and its bounds."""

from __future__ import annotations

import json
import threading
from pathlib import Path
from typing import Any

from headspar.node.trace import EndReason, Trace
from tests.loopback import answer, running, wait_for


def rows(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def traced(dir: Path, monkeypatch: Any) -> Path:
    """Have nodes that start from now on write a trace; return its path."""
    operator, path = dir / "operator.toml", dir / "n0.trace"
    operator.write_text(f'[trace]\nfile = "{dir}/{{name}}.trace"\n')
    monkeypatch.setenv("HEADSPAR_OPERATOR", str(operator))
    return path


def test_a_retried_request_is_followed_from_its_arrival_to_its_answer(tmp_path: Path, monkeypatch: Any) -> None:
    path = traced(tmp_path, monkeypatch)

    def script(sock: Any, n: int) -> None:
        sock.sendall(answer(503, b"", X_Rejected="1") if n == 1 else answer(200, b"ok"))

    with running(script) as node:
        client = node.client()
        assert client.ask("pay").status == 200
        client.close()
        wait_for(lambda: any(row["event"] == "client_closed" and row["state"] != "unused" for row in rows(path)))
        assert node.stop() == 0
    found = [row for row in rows(path) if "id" in row]
    events = ["accepted", "sent", "attempt_ended", "sent", "attempt_ended", "answered"]
    assert [row["event"] for row in found] == events
    assert [row["outcome"] for row in found if row["event"] == "attempt_ended"] == ["FULL", "OK"]
    assert found[-1]["status"] == 200 and found[-1]["attempts"] == 2
    assert len({row["id"] for row in found}) == 1
    assert all(row["connection"] > 0 for row in found if row["event"] in ("sent", "attempt_ended"))


def test_the_reason_of_a_close_and_of_an_end_are_told(tmp_path: Path, monkeypatch: Any) -> None:
    path = traced(tmp_path, monkeypatch)
    with running(lambda sock, n: sock.sendall(b"\x80\x81 noise\r\n\r\n")) as node:
        assert node.client().ask("crew").status == 502
    by_event = {row["event"]: row for row in rows(path)}
    assert by_event["attempt_ended"]["reason"] == "malformed answer"
    assert by_event["closed"]["reason"] == "attempt ended without a complete answer"


def test_how_far_an_answer_had_come_is_told_with_the_end_of_its_attempt(tmp_path: Path, monkeypatch: Any) -> None:
    path = traced(tmp_path, monkeypatch)
    head = b"HTTP/1.1 200 X\r\nContent-Length: 2000\r\n\r\n"
    with running(lambda sock, n: sock.sendall(head + bytes(1200))) as node:
        assert node.client().ask("crew", budget="300m").status in (502, 504)
    ended = next(row for row in rows(path) if row["event"] == "attempt_ended")
    assert ended["answer"] == {"status": 200, "body": 1200, "length": 2000, "passed_on": False}


def test_a_rejection_tells_its_status_and_the_request_before_it(tmp_path: Path, monkeypatch: Any) -> None:
    path = traced(tmp_path, monkeypatch)
    held = threading.Event()

    def script(sock: Any, n: int) -> None:
        held.wait(5.0)
        sock.sendall(answer())

    with running(script) as node:
        client = node.client()
        client.send(client.head("crew", X_Call_Id="open-one"))
        wait_for(lambda: node.backends[0].requests)
        client.send(client.head("crew").replace(b"POST", b"PUT"))
        found = wait_for(lambda: [row for row in rows(path) if row["event"] == "rejected"])
        held.set()
    assert found[0]["status"] == 405 and found[0]["behind"] == "open-one"


def test_why_an_attempt_was_not_written_is_told(tmp_path: Path, monkeypatch: Any) -> None:
    path = traced(tmp_path, monkeypatch)
    with running(None) as node:
        with node.paused():
            client = node.client()
            client.send(client.head("crew"))
            client.wait_delivered()
            client.close()
        found = wait_for(lambda: [row for row in rows(path) if row["event"] == "attempt_ended"])
        assert not node.backends[0].requests
    assert found[0]["reason"] == "the client left before the write"


def test_unexpected_bytes_are_logged_without_a_trace() -> None:
    def script(sock: Any, n: int) -> None:
        sock.sendall(answer())
        answered.wait()
        sock.sendall(b"extra")

    answered = threading.Event()
    with running(script) as node:
        assert node.client().ask().status == 200
        answered.set()
        wait_for(lambda: "5 unexpected bytes on connection" in node.log.read_text())


def test_lines_beyond_the_limit_are_counted_and_the_size_is_bounded(tmp_path: Path) -> None:
    now, path = 5_000_000, tmp_path / "trace"
    trace = Trace(path, 2000, 10, lambda: now, lambda text: None)
    for _ in range(25):
        trace.write("x", reason=EndReason.BROKEN, id=b"a")
    now = 6_000_000
    trace.write("y")
    assert [row["event"] for row in rows(path)] == 10 * ["x"] + ["y"]
    assert rows(path)[-1]["dropped"] == 15 and rows(path)[0]["reason"] == "connection broke"
    for second in range(7, 40):
        now = second * 1_000_000
        for _ in range(10):
            trace.write("z")
    trace.close()
    trace.write("after the end")
    assert sum(file.stat().st_size for file in tmp_path.iterdir()) <= 2000


def test_a_trace_that_can_not_be_written_ends_with_one_log_line(tmp_path: Path) -> None:
    said: list[str] = []
    trace = Trace(Path("/dev/full"), 1 << 20, 100, lambda: 0, said.append)
    for _ in range(5):
        trace.write("x")
    assert said == ["trace: the file could not be written; tracing stopped"]
