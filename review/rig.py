"""Stand-ins for one node under review: servers, discovery and clients on loopback, in one asyncio loop.

The node itself is the separate process that `run` in deploy/balancer.toml starts.  Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MOST_LAG_S = 0.3  # of the stand-ins' own loop


class CouldNotRun(Exception):
    """The case could not be set up as intended; says nothing about the rule."""


class Record:
    """`record.txt`: what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- the node's settings and configuration


def request_class(name: str, effect: str, **more: Any) -> dict[str, Any]:
    """One row of `classes`, with the figures of a lookup unless others are given."""
    return {"name": name, "effect": effect, "aim_us": 400_000, "give_up_us": 2_000_000, "group": "all",
            "late_worth": 0.5, "stream": False, "window_us": 5_000_000, "worth": 1.0, **more}


def settings(classes: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    """The settings object in the form of the wire page, for a fleet of ten nodes that this one belongs to."""
    return {
        "az": "a", "balancers": 10, "me": 0, "classes": classes, "client_habits": {"marks_retry": True},
        "counted_by": "work", "customers": [], "family_info": {"warm_keys": False},
        "invariants": {"answer_slack_us": 20_000, "ask_every_us": 10_000_000, "cold_share": 0.14,
                       "drain_grace_us": 1_000_000, "fall_multiple": 3.0, "fall_us": 1_500_000,
                       "ramp_time_us": 23_000_000},
        "over_share_worth": 0.2,
        "policy_limits": {"cancel": True, "connect_timeout_us": 200_000, "cpu_us_per_request": 0.0,
                          "cpu_us_per_s": 800_000, "idle_close_us": 15_000_000, "max_retry_after_us": 2_000_000,
                          "may_tell": False, "most_held": 2000, "probes": True, "retry_after": True,
                          "second_copies": True, "streams_per_conn": 1, "try_limit": 6},
        "prices": {"cross_zone": 0.01, "handshake": 0.03, "late_fail": 0.08, "probe": 0.01, "waste": 0.02},
        "quantum_us": 5000, "registry_mode": "subscribe",
        "result_mix": {"whole": 0.55, "worst_class": 0.05, "worst_tenant": 0.25, "worst_window": 0.15},
        "service_type": "proxy", "shapes": ["std"], "stage": 0,
        "telemetry": {"fields": ["eps", "inflight"], "how": "pull"}, "tiers": ["servers"],
        "weight_kind": "silent", "zones": ["a", "b", "c"], **more,
    }


# ---------------------------------------------------------------- messages


class Message:
    """One HTTP/1.1 message."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.line, self.headers, self.body = line, headers, body

    @property
    def status(self) -> int:
        return int(self.line.split()[1])


async def read_message(
    reader: asyncio.StreamReader, gate: Callable[[], Awaitable[None]] | None = None,
    on_head: Callable[[dict[str, str]], None] | None = None,
) -> Message:
    """Read one message with a Content-Length or chunked body.  ``gate`` is awaited before each read.

    Raises ``asyncio.IncompleteReadError`` or ``ConnectionError`` where the connection ends before its last byte.
    """
    async def wait() -> None:
        if gate is not None:
            await gate()

    await wait()
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
    if on_head is not None:
        on_head(headers)
    parts: list[bytes] = []
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            await wait()
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            parts.append(data[:-2])
    else:
        left = int(headers.get("content-length", "0"))
        while left:
            await wait()
            data = await reader.read(min(left, 1 << 16))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            parts.append(data)
            left -= len(data)
    return Message(lines[0], headers, b"".join(parts))


def reset(writer: asyncio.StreamWriter) -> None:
    """Break a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = "".join(f"{h}\r\n" for h in headers)
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


# ---------------------------------------------------------------- servers

Handler = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server that answers one request at a time on each connection; ``handle`` says what it does with one."""

    def __init__(self, name: str, zone: str, handle: Handler) -> None:
        self.name, self.zone, self.handle = name, zone, handle
        self.state, self.started_ms = "ready", 0
        self.record: Callable[[str], None] = lambda text: None
        self.running = asyncio.Event()  # unset while it hangs
        self.running.set()
        self.on_head: Callable[[dict[str, str]], None] = lambda headers: None
        self.listener: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, receive_buffer: int = 0) -> None:
        """Listen; ``receive_buffer`` bounds what the system takes for a server that does not read (bytes)."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.bind((HOST, 0))
        self.listener = await asyncio.start_server(self._serve, sock=sock, backlog=512)
        self.address = "{}:{}".format(*sock.getsockname()[:2])

    async def gate(self) -> None:
        """Return as soon as the server does not hang."""
        await self.running.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while not writer.is_closing():
                message = await read_message(reader, self.gate, self.on_head)
                await self.gate()
                await self.handle(self, message, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the node has ended the connection; an incomplete request is not run
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def row(self) -> dict[str, Any]:
        return {"instanceId": self.name, "hostPort": self.address, "zone": self.zone, "machineType": "std",
                "cell": ord(self.zone), "lifecycle": self.state, "weight": 1.0, "startedAtMs": self.started_ms}


# ---------------------------------------------------------------- discovery


class Discovery:
    """The list of servers and its long-poll watch, as the protocol page describes them."""

    def __init__(self, servers: list[Server], record: Record) -> None:
        self.servers, self.record = servers, record
        self.generation = 1
        self.changed: dict[str, int] = {}  # server -> generation of its last change
        self.gone: dict[str, dict[str, Any]] = {}
        self.event = asyncio.Event()
        self.listener: asyncio.Server | None = None
        self.address = ""
        self.calls = 0
        self.told: dict[str, float] = {}  # "server state" -> when an answer with it had been written
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self.listener.sockets[0].getsockname()[:2])

    def known(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True,
                "instances": [s.row() for s in self.servers if s.state != "gone"]}

    def change(self, server: Server, state: str) -> None:
        server.state = state
        self.generation += 1
        self.changed[server.name] = self.generation
        self.record(f"discovery: {server.name} is {state} from generation {self.generation}")
        self.event.set()
        self.event = asyncio.Event()

    def _rows(self, since: int) -> list[dict[str, Any]]:
        return [s.row() for s in self.servers if self.changed.get(s.name, 0) > since]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while not writer.is_closing():
                message = await read_message(reader)
                self.calls += 1
                path, _, query = message.line.split()[1].partition("?")
                fields = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
                if path != "/v1/servers":
                    writer.write(response(404))
                    continue
                if "since" in fields:
                    since, end = int(fields["since"]), time.monotonic() + int(fields.get("timeout_ms", "0")) / 1000
                    while self.generation <= since and (left := end - time.monotonic()) > 0:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.event.wait(), left)
                    rows = self._rows(since)
                    answer = {"generation": self.generation, "reset": False, "instances": rows}
                else:
                    answer = self.known()
                    rows = [s.row() for s in self.servers]
                self.write_answer(writer, json.dumps(answer).encode())
                await writer.drain()
                for row in rows:
                    key = f"{row['instanceId']} {row['lifecycle']}"
                    if key not in self.told and row["lifecycle"] != "ready":
                        self.told[key] = time.monotonic()
                        self.record(f"discovery: told the node that {key}")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def write_answer(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        writer.write(response(200, body))


# ---------------------------------------------------------------- the node


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


class Node:
    """The program, started with `run` of the deploy file."""

    started: list[Node] = []  # all are ended with the case, however it ends

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], discovery: str) -> None:
        self.record, self.folder = record, folder
        self.listen = free_address()
        self.path = folder / "config.json"
        self.config = {"name": "n0", "listen": self.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, **config}
        self.process: asyncio.subprocess.Process | None = None
        self.started.append(self)

    def configure(self, **more: Any) -> None:
        """Replace the configuration file."""
        self.config |= more
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        os.replace(new, self.path)

    async def start(self) -> None:
        self.configure()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        tmp = self.folder / "tmp"
        tmp.mkdir()
        env = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "HEADSPAR_"))}
        env |= {"ROUTER_NAME": "n0", "ROUTER_LISTEN": self.listen, "ROUTER_DISCOVERY": self.config["discovery"],
                "ROUTER_CONFIG": str(self.path), "TMPDIR": str(tmp)}
        with (self.folder / "node.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CouldNotRun(f"the node ended with {self.process.returncode}: {self.log()[-500:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await Client.open(self.listen)
                client.writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                message = await read_message(client.reader)
                client.close()
                if message.status == 200:
                    self.record("the node is ready")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun("the node was not ready within 30 s")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"{number.name} to the node")
        self.process.send_signal(number)

    def log(self) -> str:
        return (self.folder / "node.log").read_text(errors="replace")

    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Platform:
    """Kills the node when it is over its memory limit, as the deploy page says."""

    def __init__(self, node: Node, record: Record) -> None:
        self.node, self.record = node, record
        self.limit_mb = node.config["limits"]["memory_mb"]
        self.most_kb = 0
        self.killed = False

    def memory_kb(self) -> int:
        """The private memory of the node's process; pages of files and socket buffers in the kernel left out."""
        assert self.node.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.node.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1])
        return 0

    async def watch(self) -> None:
        assert self.node.process is not None
        while self.node.alive():
            used = self.memory_kb()
            if used > self.most_kb + 10_000:
                self.record(f"platform: the node uses {used / 1024:.0f} MB")
            self.most_kb = max(self.most_kb, used)
            if used > self.limit_mb * 1024:
                self.record(f"platform: {used / 1024:.1f} MB are over the node's limit of {self.limit_mb}; killed")
                self.killed = True
                self.node.process.kill()
                return
            await asyncio.sleep(0.02)


# ---------------------------------------------------------------- clients


class Client:
    """One connection of a client to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: str, receive_buffer: int = 0) -> Client:
        """Connect; ``receive_buffer`` bounds what the system holds for a client that has not read it (bytes)."""
        host, _, port = address.rpartition(":")
        if not receive_buffer:
            return cls(*await asyncio.open_connection(host, int(port)))
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return cls(*await asyncio.open_connection(sock=sock, limit=16384))

    def close(self) -> None:
        self.writer.transport.abort()


def request(cls: str, call_id: str, budget_ms: int, *, key: str = "", body: bytes | None = None,
            path: str = "/api/obj1", hint_us: int = 0) -> bytes:
    """A request in the form of the protocol page; a POST if it has a body."""
    method = "GET" if body is None else "POST"
    lines = [f"{method} {path} HTTP/1.1", "Host: api.internal", f"X-Call-Id: {call_id}", f"X-Call-Class: {cls}",
             f"X-Budget: {budget_ms}m"]
    if hint_us:
        lines.append(f"X-Call-Cost: {hint_us}")
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


# ---------------------------------------------------------------- running a case


def run_case(folder: Path, case: Callable[[Record, Path], Awaitable[list[str]]], limit_s: float = 110.0) -> int:
    """Run a case; it returns the breaches that it saw.  Returns the exit status."""
    record = Record(folder)
    record("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        breaches = asyncio.run(_limited(case(record, temporary), record, limit_s))
    except (CouldNotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN
    except Exception:
        record(f"could not run:\n{traceback.format_exc()}")
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        with contextlib.suppress(OSError):
            record("the node's log:\n" + (temporary / "node.log").read_text(errors="replace"))
        shutil.rmtree(temporary, ignore_errors=True)
    for breach in breaches:
        record(f"BROKEN: {breach}")
        print(f"broken: {breach}")
    record("rule broken" if breaches else "rule held")
    print("rule broken" if breaches else "rule held")
    return BROKEN if breaches else HELD


async def _limited(case: Awaitable[list[str]], record: Record, limit_s: float) -> list[str]:
    loop = asyncio.get_running_loop()  # stand-ins that the end of a case cancels are no errors
    loop.set_exception_handler(
        lambda loop, context: None if isinstance(context.get("exception"), asyncio.CancelledError)
        else loop.default_exception_handler(context)
    )
    task = asyncio.current_task()
    assert task is not None
    loop.add_signal_handler(signal.SIGTERM, task.cancel)  # so that the node ends with the case
    lag = asyncio.create_task(_measure_lag())
    try:
        breaches = await asyncio.wait_for(case, limit_s)
    finally:
        lag.cancel()
        for node in Node.started:
            await node.end()
    record(f"the stand-ins ran at most {1000 * Lag.most_s:.0f} ms late")
    if breaches and Lag.most_s > MOST_LAG_S:
        raise CouldNotRun(f"the stand-ins themselves ran {Lag.most_s:.2f} s late")
    return breaches


class Lag:
    """How late the stand-ins' own loop ran; what they were late for is not held against the node."""

    most_s = 0.0


async def _measure_lag() -> None:
    loop = asyncio.get_running_loop()
    while True:
        begin = loop.time()
        await asyncio.sleep(0.02)
        Lag.most_s = max(Lag.most_s, loop.time() - begin - 0.02)
