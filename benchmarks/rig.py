"""What benchmarks of a single process share: instant servers, discovery, and a steady stream of requests.

The servers answer at once at next to no cost, so that the process in between is what is measured.  CPU time is that
process's own, from the scheduler's count in nanoseconds.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

from headspar.lab.children import Child, Hosts, Parent, now_us, run_child
from headspar.lab.nodes import NodeProcess, free_address
from headspar.world.plan import draw
from headspar.world.rules import settings
from headspar.world.scenario import parse

ANSWER_BODY = b'{"call":1,"try":0,"ok":"found"}'
Address = tuple[str, int]


SCENARIO = '''
name = "rig"
length_s = 1
[nodes]
count = 1
peers = false
[load]
rps = 1
quota_of_capacity = 1e6
[discovery]
mode = "pushed"
[[agents]]
name = "agent"
share = 1
[[classes]]
name = "look"
share = 1
work_ms = [30, 30]
wait_ms = [0, 0]
aim_ms = 400
deadline_ms = 2000
[[classes]]
name = "pay"
share = 1
work_ms = [30, 30]
wait_ms = [0, 0]
aim_ms = 400
deadline_ms = 2000
worth = 10
effect = "dedup"
window_ms = 1200
'''


def node_settings() -> dict[str, Any]:
    """A node's settings: two classes, one node, one agent that never exceeds its quota."""
    s = parse(SCENARIO)
    return settings(s, draw(s, 1), 0)


class InstantServer(asyncio.Protocol):
    """A server's connection: responds to each request once its head and body are complete."""

    accepted = 0
    answer = b""

    def __init__(self) -> None:
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        InstantServer.accepted += 1
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        data = self.buffer + data
        while True:
            end = data.find(b"\r\n\r\n")
            if end < 0:
                break
            at = data.find(b"Content-Length: ", 0, end)
            size = int(data[at + 16:data.index(b"\r\n", at)]) if at >= 0 else 0
            if len(data) < end + 4 + size:
                break
            data = data[end + 4 + size:]
            self.transport.write(InstantServer.answer)
        self.buffer = data


async def run_servers(parent: Parent) -> None:
    """The child process: opens ``count`` listeners, reports their addresses, and counts connections on command.

    Responses have ``answer_bytes`` of body.
    """
    loop = asyncio.get_running_loop()
    hosts = Hosts()
    addresses = []
    body = ANSWER_BODY.ljust(parent.task["answer_bytes"])
    InstantServer.answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    for _ in range(parent.task["count"]):
        server = await loop.create_server(InstantServer, hosts.next(), 0, backlog=256)
        host, port = server.sockets[0].getsockname()[:2]
        addresses.append(f"{host}:{port}")
    parent.emit_event("ready", addresses=addresses)

    async def count(command: dict[str, Any]) -> None:
        parent.emit_event("accepted", count=InstantServer.accepted)

    await parent.commands(count)


def instance_rows(addresses: list[str]) -> list[dict[str, Any]]:
    """Rows of the instance list for servers at *addresses*."""
    return [{"instanceId": f"s-{i:04d}", "hostPort": a, "zone": "a", "machineType": "m", "cell": 0,
             "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0} for i, a in enumerate(addresses)]


class Discovery(asyncio.Protocol):
    """Answers each watch after its own time-out, with no update."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        wait = 1.0
        if b"timeout_ms=" in data:
            wait = int(data.partition(b"timeout_ms=")[2].partition(b" ")[0].partition(b"&")[0]) / 1000
        asyncio.get_running_loop().call_later(wait, self._answer)

    def _answer(self) -> None:
        body = b'{"generation":1,"reset":false,"instances":[]}'
        if not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Caller(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.sent_at = 0
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.stream.callers.add(self)

    def data_received(self, data: bytes) -> None:
        data = self.buffer + data
        end = data.find(b"\r\n\r\n")
        at = data.find(b"Content-Length: ", 0, end)
        if end < 0 or len(data) < end + 4 + int(data[at + 16:data.index(b"\r\n", at)]):
            self.buffer = data
            return
        self.buffer = b""
        self.stream.answered(self, data.startswith(b"HTTP/1.1 200"), b"Connection: close" in data[:end])

    def connection_lost(self, exc: Exception | None) -> None:
        self.stream.ended(self)


class Stream:
    """Open-loop requests at a steady mean rate with exponential gaps, independent of the responses."""

    def __init__(self, address: Address, seed: int) -> None:
        self.address = address
        self.rng = random.Random(seed)
        self.idle: list[Caller] = []
        self.callers: set[Caller] = set()
        self.served = self.other = self.sent = self.closed = self.serial = 0
        self.latencies: list[int] = []

    def answered(self, caller: Caller, good: bool, last: bool) -> None:
        """Counts a response: ``good`` if its status is 200, ``last`` if its connection will be closed."""
        self.served += good
        self.other += not good
        self.latencies.append(now_us() - caller.sent_at)
        if not last:  # otherwise the node closes the connection
            self.idle.append(caller)

    def ended(self, caller: Caller) -> None:
        """Counts a connection that the node has closed."""
        self.closed += 1
        self.callers.discard(caller)
        if caller in self.idle:
            self.idle.remove(caller)

    async def send(self) -> None:
        """Sends one request, alternating between the classes, on an idle connection if there is one."""
        if self.idle:
            caller = self.idle.pop()
        else:
            _, caller = await asyncio.get_running_loop().create_connection(lambda: Caller(self), *self.address)
        self.serial += 1
        self.sent += 1
        head = (f"X-Call-Id: b{self.serial:x}\r\nX-Caller: agent\r\nX-Budget: 2000000u\r\nX-Call-Cost: 30000\r\n"
                "Host: api.internal\r\n")
        path = f"/api/r{self.rng.randrange(2000):05d}"
        caller.sent_at = now_us()
        if self.serial % 2:
            caller.transport.write(f"GET {path} HTTP/1.1\r\nX-Call-Class: look\r\n{head}\r\n".encode())
        else:
            caller.transport.write(
                f"POST {path} HTTP/1.1\r\nX-Call-Class: pay\r\n{head}Idempotency-Key: k{self.serial:x}\r\n"
                f"Content-Length: 200\r\n\r\n{'x' * 200}".encode()
            )

    async def run(self, rps: float, seconds: float) -> int:
        """Sends at *rps* for *seconds*; returns how many requests were answered with 200."""
        before, end, due = self.served, now_us() + int(seconds * 1e6), now_us()
        while due < end:
            now = now_us()
            if due > now:
                await asyncio.sleep((due - now) / 1e6)
            while due <= now_us() and due < end:
                due += int(self.rng.expovariate(rps) * 1e6)
                await self.send()
        await asyncio.sleep(0.1)
        return self.served - before


def cpu_us(pid: int) -> float:
    """CPU time that a process has used, in µs, from ``schedstat`` (nanoseconds in its first field)."""
    return sum(
        int((path / "schedstat").read_text().split()[0]) for path in Path(f"/proc/{pid}/task").iterdir()
    ) / 1000


def node_command(checkout: Path, **environment: str) -> list[str]:
    """The command that starts the node of another checkout, with this one's interpreter."""
    more = [f"{name}={value}" for name, value in environment.items()]
    return ["env", "-C", str(checkout.resolve()), f"PYTHONPATH={checkout.resolve()}", *more, sys.executable,
            "-m", "headspar"]


class Rig:
    """Instant servers, discovery and any number of named processes before them."""

    def __init__(self, dir: Path, servers: int, answer_bytes: int = len(ANSWER_BODY)) -> None:
        self.dir, self.count, self.answer_bytes = dir, servers, answer_bytes
        self.hosts = Hosts()
        self.targets: dict[str, NodeProcess] = {}
        self.streams: dict[str, Stream] = {}
        self.addresses: list[str] = []
        self.handshakes: dict[str, int] = {}  # connections to servers during the turns, by target
        self.served: dict[str, int] = {}

    async def start(self) -> None:
        """Starts the servers, in a child process, and discovery."""
        loop = asyncio.get_running_loop()
        task = {"count": self.count, "answer_bytes": self.answer_bytes}
        self.child = await Child.start("servers", "benchmarks.rig", task, self.dir / "servers.log")
        self.addresses = (await self.child.expect("ready", 30))["addresses"]
        self.discovery = await loop.create_server(Discovery, self.hosts.next(), 0)

    async def add(self, name: str, command: list[str] | None = None, *, sockets: int = 1024) -> None:
        """Starts a node, or *command* in its place, with up to *sockets* descriptors, and waits until it is ready."""
        config = {"name": name, "seed": "5eed", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                  "settings": node_settings()}
        node = NodeProcess(name, config, free_address(self.hosts.next()), self.dir)
        if command is not None:
            node.command = command
        known = {"generation": 1, "reset": True, "instances": instance_rows(self.addresses)}
        address = self.discovery.sockets[0].getsockname()[:2]
        await node.start(known, address)
        if not await node.ready(20):
            raise RuntimeError(f"{name} did not become ready within 20 s: {node.log.read_text()[-300:]}")
        self.targets[name] = node
        self.streams[name] = Stream(node.listen, 1)

    async def segment(self, name: str, rps: float, seconds: float) -> float:
        """CPU time of a target per request served, in microseconds."""
        process = self.targets[name].process
        assert process is not None
        before = cpu_us(process.pid)
        served = await self.streams[name].run(rps, seconds)
        return (cpu_us(process.pid) - before) / max(1, served)

    async def beside_relay(
        self, rps: float, turns: int, seconds: float, *, sockets: int = 1024, before: Path | None = None
    ) -> dict[str, list[float]]:
        """Starts and warms up a bare relay and a node, then measures them in turns: µs per request of each, by turn.
        ``before``: a checkout of an earlier state, whose node is measured in the same turns, as ``before``."""
        await self.add("relay", [sys.executable, "-m", "benchmarks.bare_relay"])
        await self.add("node", sockets=sockets)
        costs: dict[str, list[float]] = {"relay": [], "node": []}
        if before is not None:
            await self.add("before", node_command(before), sockets=sockets)
            costs["before"] = []
        for name in costs:
            await self.segment(name, rps, 2.0)
        for turn in range(turns):
            print(f"\rturn {turn + 1} of {turns}", end="", file=sys.stderr)
            for name in sorted(costs, reverse=bool(turn % 2)):
                accepted_before, served_before = await self.accepted(), self.streams[name].served
                costs[name].append(await self.segment(name, rps, seconds))
                self.handshakes[name] = self.handshakes.get(name, 0) + await self.accepted() - accepted_before
                self.served[name] = self.served.get(name, 0) + self.streams[name].served - served_before
        print(file=sys.stderr)
        return costs

    async def accepted(self) -> int:
        """How many connections the servers have accepted so far."""
        self.child.send_command({"cmd": "count"})
        count: int = (await self.child.expect("accepted", 10))["count"]
        return count

    async def close(self) -> None:
        """Ends all nodes, the servers and discovery."""
        for node in self.targets.values():
            await node.end()
        await self.child.close()
        self.discovery.close()


def progress(name: str, length_s: float) -> Callable[[dict[str, Any]], None]:
    """A callback for a run in the lab that prints its progress on one line."""
    def show(state: dict[str, Any]) -> None:
        print(f"\r{name} {state['at_s']:5.1f} of {length_s:.0f} s", end="", file=sys.stderr)

    return show


def write_line(figures: dict[str, Any], as_json: bool) -> None:
    """Prints the figures as a table unless *as_json* is set, then as one line of JSON."""
    if not as_json:
        for name, value in figures.items():
            print(f"{name:<24}{value}")
    print(json.dumps(figures))


if __name__ == "__main__":
    sys.exit(run_child(run_servers))
