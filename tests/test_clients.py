"""The client side of the whole program: which requests are forwarded, and which are answered at once."""

from __future__ import annotations

import contextlib
import socket
import time

import pytest

from tests.loopback import Client, Script, answer, reset, running, wait_for


def test_served_with_method_path_query_body_and_ids_unchanged() -> None:
    body = bytes(range(256)) * 40
    with running(lambda s, n: s.sendall(answer(200, body[::-1], Content_Type="text/x"))) as node:
        client = node.client()
        path = "/api/7f3a%20c?x=1&y=%2F"
        got = client.ask("pay", body, path=path, X_Call_Id="id-77", Idempotency_Key="k-5")
        assert (got.status, got.body, got.headers["Content-Type"]) == (200, body[::-1], "text/x")
        line, headers, sent = node.backends[0].requests[0]
        assert line == "POST /api/7f3a%20c?x=1&y=%2F HTTP/1.1"
        assert (headers["x-call-id"], headers["idempotency-key"], sent) == ("id-77", "k-5", body)
        assert 0 < int(headers["x-budget"].rstrip("u")) <= 10_000_000
        assert client.ask("look").status == 200  # over the same connections on both sides
        assert node.backends[0].accepted == 1
        line, headers, _ = node.backends[0].requests[1]
        assert line == "GET /api/k1 HTTP/1.1" and "idempotency-key" not in headers


@pytest.mark.parametrize("value", [" 10000m", "10000m \t", "10000.0m", "10000000u"])
def test_white_space_round_a_value_is_no_part_of_it(value: str) -> None:
    """One client in ten of a recorded day padded its header values, and its requests were answered with 400."""
    with running(None) as node:
        got = node.client().ask(budget=value, X_Call_Id="  padded-id  ")
        assert got.status == 200
        assert node.backends[0].requests[0][1]["x-call-id"] == "padded-id"


def test_byte_by_byte_any_case_and_chunked_bodies_are_legal() -> None:
    with running(None) as node:
        client = node.client()
        head = client.head("pay", path="/api/x").replace(b"Content-Length: 0", b"TRANSFER-encoding: chunked")
        head = head.replace(b"X-Budget", b"x-bUdGeT")
        for byte in head + b"3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nT: 1\r\n\r\n":
            client.send(bytes([byte]))
        assert client.read().status == 200
        _, headers, body = node.backends[0].requests[0]
        assert (body, headers["content-length"]) == (b"abcdefg", "7")


def test_pipelined_requests_are_answered_in_order() -> None:
    with running(lambda s, n: s.sendall(answer(200, b"%d" % n))) as node:
        client = node.client()
        client.send(b"".join(client.head() for _ in range(40)))
        assert [client.read().body for _ in range(40)] == [b"%d" % (n + 1) for n in range(40)]
        client.send(client.head() + client.head(X_Budget="soon") + b"GET /x HTTP/1.1\r\nno colon\r\n\r\n")
        assert [client.read().status for _ in range(3)] == [200, 400, 400]
        assert client.ended()


def test_expect_continue() -> None:
    with running(None) as node:
        client = node.client()
        client.send(client.head("pay", b"12345", Expect="100-continue"))
        assert client.sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.send(b"12345")
        assert client.read().status == 200
        client.send(client.head("pay", b"12345", budget="x", Expect="100-Continue"))
        assert client.read().status == 400
        assert client.ended()


HEAD = "GET /api/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Call-Class: look\r\nX-Budget: 900m\r\n"


@pytest.mark.parametrize(("data", "status"), [
    ("NONSENSE\r\n\r\n", 400),
    ("GET /x HTTP/1.1\r\nno colon\r\n\r\n", 400),
    (HEAD + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    (HEAD + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400),
    (HEAD + "Content-Length: -2\r\n\r\n", 400),
    (HEAD + "Content-Length: 33554433\r\n\r\n", 413),
    (HEAD + "X: " + "y" * 70_000 + "\r\n\r\n", 431),
    (HEAD + "X: " + "y" * 70_000, 431),
    (HEAD.replace("GET", "PUT") + "\r\n", 405),
    (HEAD.replace("GET", "BREW") + "\r\n", 405),
    (HEAD.replace("1.1", "1.0") + "\r\n", 505),
])
def test_what_cannot_be_taken_is_answered_and_closed(data: str, status: int) -> None:
    with running(None) as node:
        client = node.client()
        client.send(data.encode())
        assert client.read().status == status
        assert client.ended()
        assert node.client().ask().status == 200
        assert len(node.backends[0].requests) == 1


def test_a_chunked_body_over_32_mb_is_413() -> None:
    with running(None, memory_mb=256) as node:
        client = node.client()
        client.send(client.head("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
        piece = b"100000\r\n" + bytes(1 << 20) + b"\r\n"
        try:
            for _ in range(33):
                client.send(piece)
        except OSError:
            pass
        assert client.read().status == 413
        assert node.backends[0].requests == []


@pytest.mark.parametrize("rest", [b"x", b"Z"])
def test_a_body_that_never_ends_gives_back_what_was_set_aside_for_it(rest: bytes) -> None:
    """Clients that disconnected within a body kept their part of the budget, until all bodies were refused."""
    with running(None, memory_mb=64) as node:
        for _ in range(20):
            client = node.client()
            head = client.head("pay", bytes(1_000_000))
            if rest == b"Z":  # an invalid chunk size: rejected within a body
                head = head.replace(b"Content-Length: 1000000", b"Transfer-Encoding: chunked")
                client.send(head + b"f4240\r\n" + bytes(1_000_000) + b"\r\n" + rest)
                assert client.read().status == 400
            else:
                client.send(head + rest)
            client.close()
        wait_for(lambda: node.client().ask("pay", bytes(1_000_000)).status == 200)


@pytest.mark.parametrize("changes", [
    {"X_Call_Id": ""}, {"X_Call_Id": "x" * 300}, {"X_Budget": ""}, {"X_Budget": "soon"}, {"X_Budget": "12"},
    {"X_Budget": "-5m"}, {"X_Budget": "nanm"}, {"X_Budget": "infu"}, {"X_Budget": "1_000m"}, {"X_Budget": "1e999m"},
])
def test_a_head_that_lacks_what_is_needed_is_400_and_the_connection_goes_on(changes: dict[str, str]) -> None:
    with running(None) as node:
        client = node.client()
        assert client.ask_with(changes).status == 400
        assert client.ask().status == 200
        assert len(node.backends[0].requests) == 1


@pytest.mark.parametrize("cls", ["unheard-of", "", "LOOK", "look2", "l" * 5000])
def test_a_request_of_a_class_that_does_not_exist_reaches_no_server(cls: str) -> None:
    """Guards against a bad client's request that is served: servers are not told its class."""
    with running(None) as node:
        client = node.client()
        assert client.ask_with({"X_Call_Class": cls}).status == 400
        assert client.ask().status == 200
        assert len(node.backends[0].requests) == 1


@pytest.mark.parametrize("changes", [
    {"X_Call_Cost": "much"}, {"X_Call_Cost": ""}, {"X_Call_Cost": "-3"}, {"X_Call_Cost": "nan"},
    {"X_Caller": "nobody"},
    {"Connection": "Upgrade", "Upgrade": "x"},
])
def test_odd_hints_and_tenants_are_served(changes: dict[str, str]) -> None:
    with running(None) as node:
        client = node.client()
        assert client.ask_with(changes).status == 200
        assert client.ask().status == 200


def test_a_client_that_leaves_ends_its_attempt() -> None:
    with running(lambda s, n: None) as node:
        client = node.client()
        client.send(client.head())
        wait_for(lambda: node.backends[0].requests)
        client.close()
        wait_for(lambda: node.backends[0].ended, 8)  # well before its deadline
        assert node.health() == 200


def test_healthz_is_the_only_special_path() -> None:
    with running(None) as node:
        assert node.health() == 200
        assert node.client().ask(path="/healthz/x?y").status == 200
        assert node.client().ask(path="/load").status == 200
        assert [r[0].split()[1] for r in node.backends[0].requests] == ["/healthz/x?y", "/load"]


def test_beyond_the_limit_idle_connections_go_and_busy_ones_are_answered() -> None:
    """Every accepted request is answered, whatever the number of connections, and descriptors stay bounded."""
    def slowly(sock: socket.socket, n: int) -> None:
        time.sleep(2)
        sock.sendall(answer())

    with running(slowly, sockets=128) as node:
        clients = [node.client() for _ in range(150)]
        for client in clients:
            client.sock.settimeout(10)
        answers = []
        for client in clients:
            try:
                client.send(client.head())
            except OSError:
                client.close()
        assert node.files() <= 128
        for client in clients:
            try:
                answers.append(client.read().status)
            except (OSError, ValueError):
                answers.append(0)  # closed while idle, before it sent a request
            except Exception as error:
                assert "RemoteDisconnected" in type(error).__name__
                answers.append(0)
        assert set(answers) <= {0, 200, 502, 503, 504}
        assert answers.count(200) >= 10
        wait_for(lambda: node.client().ask().status == 200)


def test_heads_that_trickle_in_do_not_take_all_connections() -> None:
    """Each connection sends a byte now and then: that is no stall, but far slower than the 2 s allowed for a head."""
    with running(None, sockets=128) as node:
        creeping = [node.client() for _ in range(60)]
        for client in creeping:
            client.send(b"GET /api/x HTTP/1.1\r\nX-Trickle: ")
        for _ in range(7):
            time.sleep(0.5)
            for client in creeping:
                with contextlib.suppress(OSError):
                    client.send(b"a")
        # Connections beyond the limit are refused from the start; the others must make room now.
        assert [node.client().ask().status for _ in range(20)] == [200] * 20
        assert node.files() <= 128


def test_half_read_answers_and_silent_clients_do_not_hold_up_others() -> None:
    with running(lambda s, n: s.sendall(answer(200, b"z" * 60_000))) as node:
        lazy = [node.client() for _ in range(20)]
        for client in lazy:
            client.send(client.head() * 20)
        assert node.client().ask().status == 200


def test_clients_never_share_an_answer() -> None:
    scripts: list[Script] = [
        lambda s, n: s.sendall(answer(200, b"%d" % n)), lambda s, n: s.sendall(answer(200, b"-%d" % n))
    ]
    with running(*scripts) as node:
        clients: list[Client] = [node.client() for _ in range(20)]
        bodies = []
        for _ in range(5):
            for client in clients:
                client.send(client.head())
            bodies += [client.read().body for client in clients]
        assert len(set(bodies)) == 100


# ---------------------------------------------------------------- upgrades, which the node does not offer


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize(("protocol", "connection"), [
    ("websocket", "Upgrade"), ("h2c", "Upgrade, HTTP2-Settings"), ("h2c", "close, Upgrade"),
    ("TLS/1.0", "keep-alive, upgrade"),
])
@pytest.mark.parametrize("pieces", [1, 7])
def test_an_upgrade_is_ignored_and_its_body_hides_no_request(
    protocol: str, connection: str, chunked: bool, pieces: int
) -> None:
    """The parser stops at an upgrade, so its body was parsed as the next request and forwarded."""
    with running(None) as node:
        client = node.client()
        hidden = client.head(path="/api/evil")
        framing = {"Transfer_Encoding": "chunked", "Content_Length": ""} if chunked else {}
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(hidden), hidden) if chunked else hidden
        data = client.head("pay", hidden, Connection=connection, Upgrade=protocol, **framing) + body
        step = -(-len(data) // pieces)
        for at in range(0, len(data), step):
            client.send(data[at:at + step])
            if pieces > 1:
                time.sleep(0.01)
        assert client.read().status == 200
        if "close" in connection:
            assert client.ended()
        else:
            assert client.ask().status == 200
        got = node.backends[0].requests
        assert [line.split(" ")[1] for line, _, _ in got if "k1" not in line] == []
        assert got[0][2] == hidden
        assert len(got) == (1 if "close" in connection else 2)


def test_an_upgrade_with_no_body_is_answered_and_the_next_request_too() -> None:
    with running(None) as node:
        client = node.client()
        head = client.head(Connection="Upgrade", Upgrade="websocket")
        client.send(head + client.head(path="/api/k2"))
        assert [client.read().status, client.read().status] == [200, 200]
        assert len(node.backends[0].requests) == 2


def test_a_rejected_upgrade_has_its_body_dropped() -> None:
    with running(None) as node:
        client = node.client()
        hidden = client.head(path="/api/evil")
        client.send(client.head("pay", hidden, Connection="Upgrade", Upgrade="h2c", X_Budget="x") + hidden)
        assert client.read().status == 400
        assert client.ask().status == 200
        assert len(node.backends[0].requests) == 1


# ---------------------------------------------------------------- requests that contradict their class


@pytest.mark.parametrize(("cls", "method", "key", "status"), [
    ("look", "GET", None, 200), ("look", "GET", "k", 200),
    ("look", "POST", None, 400), ("look", "POST", "k", 400),
    ("pay", "POST", "k", 200), ("pay", "POST", None, 400),
    ("pay", "POST", "  ", 400), ("pay", "GET", "k", 400),
    ("crew", "POST", None, 200), ("crew", "GET", None, 400),
    ("nobody's", "POST", None, 400), ("nobody's", "POST", "k", 400), ("nobody's", "GET", None, 400),
])
def test_a_request_that_contradicts_its_class_reaches_no_server(
    cls: str, method: str, key: str | None, status: int
) -> None:
    with running(None) as node:
        client = node.client()
        lines = f"Idempotency-Key: {key}\r\n" if key is not None else ""
        lines += "Content-Length: 2\r\n" if method == "POST" else ""
        client.send(
            f"{method} /api/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Call-Class: {cls}\r\n"
            f"X-Budget: 9000m\r\n{lines}\r\n{'{}' if method == 'POST' else ''}".encode()
        )
        assert client.read().status == status
        assert client.ask().status == 200  # the connection stays open
        assert len(node.backends[0].requests) == 1 + (status == 200)
        assert len(node.backends[0].requests) == (2 if status == 200 else 1)


def test_a_payment_without_its_key_is_never_sent_before_servers_that_reset() -> None:
    """Without its key the request counted as retryable and was sent six times, and each attempt may have run."""
    def script(sock: socket.socket, n: int) -> bool:
        reset(sock)
        return False

    with running(script, script, script) as node:
        client = node.client()
        assert client.ask("pay", b"{}", Idempotency_Key="").status == 400
        assert sum(len(b.requests) for b in node.backends) == 0


# ---------------------------------------------------------------- headers that may occur only once


@pytest.mark.parametrize("name", [
    "X-Call-Id", "Idempotency-Key", "X-Budget", "X-Call-Class", "X-Caller", "X-Call-Cost", "X-Again", "Host",
    "x-call-ID",
])
@pytest.mark.parametrize("same", [True, False])
def test_a_header_with_a_meaning_that_comes_twice_is_400(name: str, same: bool) -> None:
    with running(None) as node:
        client = node.client()
        head = client.head("pay", b"{}", X_Caller="t", X_Again="1").removesuffix(b"\r\n")
        values = dict(line.split(b": ") for line in head.split(b"\r\n")[1:-1])
        value = {k.lower(): v for k, v in values.items()}[name.lower().encode()]
        again = name.encode() + b": " + (value if same else value + b"0") + b"\r\n\r\n"
        client.send(head + again + b"{}")
        assert client.read().status == 400
        assert client.ask().status == 200
        assert len(node.backends[0].requests) == 1


def test_a_request_without_host_is_400() -> None:
    with running(None) as node:
        client = node.client()
        assert client.ask(Host="").status == 400
        assert client.ask().status == 200
        assert len(node.backends[0].requests) == 1
        client.send(b"GET /healthz HTTP/1.1\r\n\r\n")  # a health check without headers is accepted
        assert client.read().status == 200


@pytest.mark.parametrize("coding", ["gzip, chunked", "deflate,chunked", "chunked;q=1"])
def test_a_transfer_coding_that_is_not_undone_goes_no_further(coding: str) -> None:
    """The body was forwarded with a length and without its coding (RFC 9112 section 6.1 recommends 501)."""
    with running(None) as node:
        client = node.client()
        client.send(client.head("pay", Transfer_Encoding=coding, Content_Length="") + b"2\r\n{}\r\n0\r\n\r\n")
        assert client.read().status in (400, 501)
        assert client.ended()
        assert not node.backends[0].requests
