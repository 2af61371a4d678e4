"""Stand-ins for the cases 6 to 10: a node started as the deploy file says, backends, discovery and clients.

Standard library only; everything is on loopback addresses. A case calls ``main(folder, case)``; ``case(record, work,
trouble)`` is a coroutine that returns whether the rule held, and raises ``CannotRun`` if that could not be judged.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LIMIT_S = 112.0  # a case may run for 120 s


class CannotRun(Exception):
    """The case could not be judged; the text says why."""


class Record:
    """``record.txt`` of a case: a line for each thing sent, answered or run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, *what: object) -> None:
        self.file.write(f"{self.now():9.3f} " + " ".join(map(str, what)) + "\n")


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def one_class(name: str, effect: str, give_up_ms: int, window_ms: int = 0, aim_ms: int = 400,
              group: str = "all") -> dict[str, Any]:
    return {"name": name, "aim_us": 1000 * aim_ms, "give_up_us": 1000 * give_up_ms, "effect": effect, "group": group,
            "window_us": 1000 * (window_ms or 5000), "worth": 1.0, "late_worth": 0.5, "stream": False}


def settings(classes: list[dict[str, Any]], mode: str = "subscribe") -> dict[str, Any]:
    """The settings of a small deployment, in the form and with the figures of the operators' example."""
    return {
        "az": "camana", "balancers": 1, "me": 0, "stage": 0, "counted_by": "work", "quantum_us": 5000,
        "classes": classes, "customers": [], "registry_mode": mode, "over_share_worth": 0.2,
        "family_info": {"warm_keys": True}, "service_type": "proxy", "shapes": ["c2-normal"], "tiers": ["caja-web"],
        "telemetry": {"fields": ["eps", "inflight"], "how": "pull"}, "weight_kind": "silent",
        "result_mix": {"whole": 0.55, "worst_class": 0.05, "worst_tenant": 0.25, "worst_window": 0.15},
        "zones": ["camana"],
        "invariants": {"answer_slack_us": 20000, "ask_every_us": 10_000_000, "cold_share": 0.14,
                       "drain_grace_us": 1_000_000, "fall_multiple": 3.0, "fall_us": 1_500_000,
                       "ramp_time_us": 23_000_000},
        "policy_limits": {"cancel": True, "connect_timeout_us": 200_000, "cpu_us_per_request": 0.0,
                          "cpu_us_per_s": 8_252_398, "idle_close_us": 15_000_000, "max_retry_after_us": 2_000_000,
                          "may_tell": False, "most_held": 206_309, "probes": True, "retry_after": True,
                          "second_copies": True, "streams_per_conn": 1, "try_limit": 6},
    }


def head_fields(head: bytes) -> tuple[str, dict[str, str]]:
    lines = head.decode("latin-1").split("\r\n")
    return lines[0], {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """The next request on a connection, whose body has a Content-Length; None at the connection's end."""
    try:
        line, fields = head_fields((await reader.readuntil(b"\r\n\r\n"))[:-4])
        return line, fields, await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def response(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


class Server:
    """A listening stand-in; ``talk`` serves one connection."""

    def __init__(self) -> None:
        self.address = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, address: str | None = None) -> None:
        host, _, port = (address or "127.0.0.1:0").partition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20, backlog=512)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            with contextlib.suppress(ConnectionError):
                await self.talk(reader, writer)
        finally:
            self.tasks.discard(task)
            writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


Answer = Callable[["Backend", str, dict[str, str], asyncio.StreamWriter], Awaitable[bool]]


class Backend(Server):
    """A backend: notes each request at its last byte, and answers it. ``answer`` may do so in its place; it returns
    whether the connection goes on."""

    def __init__(self, record: Record, id: str, zone: str = "camana") -> None:
        super().__init__()
        self.record, self.id, self.zone = record, id, zone
        self.started_ms = 0
        self.work_s = 0.005
        self.answer: Answer | None = None
        self.note = True
        self.requests: list[tuple[float, str]] = []  # when, and the call id

    def row(self, lifecycle: str = "ready") -> dict[str, Any]:
        return {"instanceId": self.id, "hostPort": self.address, "zone": self.zone, "machineType": "c2-normal",
                "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": self.started_ms}

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            line, fields, _ = request
            if line.split(" ")[1] in ("/healthz", "/load"):
                writer.write(response(b"inflight=0,eps=0"))
                continue
            call_id = fields.get("x-call-id", "")
            self.requests.append((self.record.now(), call_id))
            if self.note:
                self.record.write("run", self.id, call_id)
            if self.answer is not None:
                if not await self.answer(self, call_id, fields, writer):
                    return
                continue
            await asyncio.sleep(self.work_s)
            writer.write(response(f"{self.id} {call_id}".encode()))


class Discovery(Server):
    """Discovery, or the agent of pushed lists. While ``silent`` is set it answers nothing, and a call of before or
    meanwhile is never answered: a watch that has fallen silent is broken and has to be opened anew."""

    def __init__(self, record: Record, rows: list[dict[str, Any]]) -> None:
        super().__init__()
        self.record = record
        self.rows = {row["instanceId"]: row for row in rows}
        self.generation = 41
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.silent = False
        self.era = 0  # of silence: calls of an earlier one are never answered
        self.told: list[float] = []  # when answers with entries were written
        self.ends_by_close = False  # its answers have no length and end with their connection

    def whole(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    async def publish(self, *rows: dict[str, Any]) -> None:
        async with self.changed:
            self.generation += 1
            for row in rows:
                self.changes.append((self.generation, row))
                if row["lifecycle"] == "gone":
                    self.rows.pop(row["instanceId"], None)
                else:
                    self.rows[row["instanceId"]] = row
                self.record.write("list", self.generation, row["instanceId"], row["lifecycle"])
            self.changed.notify_all()

    def fall_silent(self) -> None:
        self.silent, self.era = True, self.era + 1
        self.record.write("discovery: silent")

    def speak(self) -> None:
        self.silent = False
        self.era += 1
        self.record.write("discovery: back")

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            path, era = request[0].split(" ")[1], self.era
            self.record.write("call", path, "(silent)" if self.silent else "")
            if "since=" in path:
                query = dict(p.split("=") for p in path.partition("?")[2].split("&"))
                since, wait = int(query["since"]), min(60_000, int(query["timeout_ms"])) / 1000
                async with self.changed:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(wait):
                            await self.changed.wait_for(lambda since=since: self.generation > since)
                rows = [row for at, row in self.changes if at > since]
                body = {"generation": self.generation, "reset": False, "instances": rows}
            else:
                body = self.whole()
            if self.silent or era != self.era:
                continue
            data = json.dumps(body).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
            writer.write(head + data if self.ends_by_close else response(data))
            if body["instances"]:
                self.told.append(self.record.now())
                self.record.write("told", self.generation, *(r["instanceId"] + "=" + r["lifecycle"]
                                                             for r in body["instances"]))
            if self.ends_by_close:
                await writer.drain()
                return


class Node:
    """The node, started with the command of the deploy file."""

    def __init__(self, record: Record, folder: Path, discovery: str, known: dict[str, Any], rules: dict[str, Any],
                 sockets: int = 1024, memory_mb: int = 192) -> None:
        self.record, self.folder = record, folder
        self.address = free_address()
        self.path = folder / "config.json"
        self.config = {
            "name": "n0", "listen": self.address, "discovery": discovery, "seed": uuid.uuid4().hex[:16],
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "known": known, "settings": rules,
        }
        self.path.write_text(json.dumps(self.config))
        (folder / "tmp").mkdir(exist_ok=True)
        self.env = dict(os.environ, ROUTER_NAME="n0", ROUTER_LISTEN=self.address, ROUTER_DISCOVERY=discovery,
                        ROUTER_CONFIG=str(self.path), TMPDIR=str(folder / "tmp"))
        for name in ("HEADSPAR_OPERATOR", "ROUTER_OPS"):
            self.env.pop(name, None)
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, ops: str | None = None) -> asyncio.subprocess.Process:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = dict(self.env, **({"ROUTER_OPS": ops} if ops else {}))
        with (self.folder / "node.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec("/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=log,
                                                           stderr=log)
        self.processes.append(process)
        self.record.write("node: started", process.pid)
        return process

    async def ready(self, address: str | None = None, path: str = "/healthz") -> None:
        end = time.monotonic() + 30
        while time.monotonic() < end:
            with contextlib.suppress(OSError, CannotRun):
                client = await Client.connect(address or self.address)
                got = await client.ask(f"GET {path} HTTP/1.1\r\nHost: n0\r\n\r\n".encode(), 2.0)
                client.close()
                if got is not None and got[0] == 200:
                    self.record.write("node: ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("the node is not ready within 30 s")

    def reconfigure(self, process: asyncio.subprocess.Process) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.rename(self.path)
        process.send_signal(signal.SIGHUP)
        self.record.write("node: SIGHUP")

    async def kill(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()


class Client:
    """One client connection, which carries one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.open = True

    @classmethod
    async def connect(cls, address: str) -> Client:
        host, _, port = address.partition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=1 << 26))

    async def ask(self, request: bytes, wait_s: float) -> tuple[int, dict[str, str], bytes] | None:
        """Send a request; return status, fields and body of the whole answer, None if there is none in time."""
        try:
            self.writer.write(request)
            async with asyncio.timeout(wait_s):  # wait_for can lose a cancellation
                return await self._read()
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            self.close()
            return None

    async def _read(self) -> tuple[int, dict[str, str], bytes]:
        line, fields = head_fields((await self.reader.readuntil(b"\r\n\r\n"))[:-4])
        if fields.get("transfer-encoding") == "chunked":
            body = b""
            while size := int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readuntil(b"\r\n")
        else:
            body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), fields, body

    def close(self) -> None:
        self.open = False
        self.writer.close()


def request(cls: str, call_id: str, budget: str, key: str | None = None, safe: bool = False, cost_us: int = 30_000,
            body: bytes = b"x" * 20) -> bytes:
    """A request of a client: GET for a class that is safe to repeat, POST otherwise, with its key if it has one."""
    fields = [f"X-Call-Id: {call_id}", f"X-Call-Class: {cls}", f"X-Budget: {budget}", f"X-Call-Cost: {cost_us}",
              "Host: api.internal"]
    if key is not None:
        fields.append(f"Idempotency-Key: {key}")
    if not safe:
        fields.append(f"Content-Length: {len(body)}")
    method = "GET" if safe else "POST"
    head = f"{method} /api/{call_id[:8]} HTTP/1.1\r\n" + "\r\n".join(fields) + "\r\n\r\n"
    return head.encode() + (b"" if safe else body)


def new_id() -> str:
    return uuid.uuid4().hex


Case = Callable[[Record, Path, bool], Awaitable[bool]]


def main(folder: Path, case: Case) -> None:
    """Run a case and exit as the letter says: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble", int(trouble))
    work = Path(tempfile.mkdtemp(prefix="review-"))
    status = 2

    async def limited() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await case(record, work, trouble)

    try:
        held = asyncio.run(limited())
        record.write("held" if held else "BROKEN")
        status = 0 if held else 1
    except (Exception, asyncio.CancelledError) as error:
        record.write("could not run:", type(error).__name__, error)
    finally:
        log = work / "node.log"
        if log.exists():
            record.file.write("--- the node's log\n" + log.read_text(errors="replace")[-20000:])
        record.file.close()
        shutil.rmtree(work, ignore_errors=True)
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.exit(status)
