"""Node processes, and a relay for the datagrams between them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
from pathlib import Path
from typing import Any, cast

from headspar.lab.children import die_with_parent, now_us, package_env
from headspar.world.records import RunEvent

Address = tuple[str, int]
CALL_S = 20.0  # time-out of a request to a node's operator interface


class _Relay(asyncio.DatagramProtocol):
    """The address at which the other nodes reach one node."""

    def __init__(self, peers: Peers, me: int) -> None:
        self.peers, self.me = peers, me
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.peers.forward((addr[0], addr[1]), data, self.me)


class Peers:
    """Relays datagrams between nodes, with loss; the last of ``addresses`` broadcasts to all other nodes."""

    def __init__(self, listens: list[Address], host: str, rng: random.Random) -> None:
        self.listens, self.host, self.rng = listens, host, rng
        self.loss_share = 0.0  # share of datagrams to drop
        self.receive_blocked: set[int] = set()  # nodes that receive nothing but can still send
        self.number = {address: i for i, address in enumerate(listens)}
        self.relays: list[_Relay] = []
        self.addresses: list[Address] = []
        self.datagrams_relayed = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for i in range(len(self.listens) + 1):
            transport, relay = await loop.create_datagram_endpoint(
                lambda i=i: _Relay(self, i), local_addr=(self.host, 0)  # type: ignore[misc]
            )
            self.relays.append(relay)
            self.addresses.append(transport.get_extra_info("sockname")[:2])

    def forward(self, sender: Address, data: bytes, to: int) -> None:
        """Relays one datagram to node ``to``; a number past the last node broadcasts it."""
        number = self.number.get(sender)
        if number is None or len(data) > 256:
            return
        source = self.relays[number].transport
        if source is None:
            return
        targets = range(len(self.listens)) if to >= len(self.listens) else (to,)
        for i in targets:
            if i != number and i not in self.receive_blocked and self.rng.random() >= self.loss_share:
                self.datagrams_relayed += 1
                source.sendto(data, self.listens[i])

    def close(self) -> None:
        for relay in self.relays:
            if relay.transport is not None:
                relay.transport.close()


class NodeProcess:
    """One node: its configuration, its log, and its process across restarts."""

    def __init__(self, name: str, config: dict[str, Any], listen: Address, dir: Path) -> None:
        self.name, self.config, self.listen, self.dir = name, config, listen, dir
        self.path = dir / f"{name}.json"
        self.log = dir / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.exit_watcher: asyncio.Task[None] | None = None
        self.other_exit_watchers: list[asyncio.Task[None]] = []  # of processes started by ``start_new_process``
        self.marks: list[RunEvent] = []
        self.command = [sys.executable, "-m", "headspar"]
        self.operator: Path | None = None  # path of the operator's settings file
        self.stopped = False  # suspended by SIGSTOP
        self.ops = free_address(listen[0], listen)
        self.tmp = dir / f"{name}.tmp"

    def record(self) -> None:
        """Has the node write a flight record, ``NAME.flight``, from its next start on."""
        self.operator = self.dir / f"{self.name}.toml"
        path = json.dumps(str((self.dir / f"{self.name}.flight").absolute()))
        self.operator.write_text(f"[recorder]\nfile = {path}\n")

    async def start(self, known: dict[str, Any], discovery: Address) -> None:
        self.tmp.mkdir(exist_ok=True)
        self.process = await self._spawn(known, discovery)
        self.marks.append(RunEvent(now_us(), "node_start", self.name))
        self.exit_watcher = asyncio.create_task(self._watch(self.process))

    async def _spawn(self, known: dict[str, Any], discovery: Address) -> asyncio.subprocess.Process:
        self.config["known"] = known
        self.configure(discovery)
        env = {k: v for k, v in package_env().items() if not k.startswith("ROUTER_")}
        env.pop("HEADSPAR_OPERATOR", None)
        env |= {"ROUTER_NAME": self.name, "ROUTER_LISTEN": f"{self.listen[0]}:{self.listen[1]}",
                "ROUTER_DISCOVERY": f"{discovery[0]}:{discovery[1]}", "ROUTER_CONFIG": str(self.path),
                "ROUTER_OPS": f"{self.ops[0]}:{self.ops[1]}", "TMPDIR": str(self.tmp.absolute())}
        if self.operator is not None:
            env["HEADSPAR_OPERATOR"] = str(self.operator)
        with self.log.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                *self.command, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=die_with_parent, start_new_session=True,
            )

    # ------------------------------------------------------------ operators' actions

    async def start_new_process(self, known: dict[str, Any], discovery: Address) -> asyncio.subprocess.Process:
        """Starts a new process of the node, which replaces the old one here; returns the old one.

        The new process has its own address for operators.
        """
        first = self.process
        assert first is not None
        self.ops = free_address(self.listen[0], self.listen, self.ops)
        self.process = await self._spawn(known, discovery)
        self.marks.append(RunEvent(now_us(), "node_upgrade", self.name))
        self.other_exit_watchers.append(asyncio.create_task(self._watch(self.process)))
        return first

    def terminate_old_process(self, first: asyncio.subprocess.Process) -> None:
        """Sends SIGTERM to an old process that a new one has replaced."""
        self.marks.append(RunEvent(now_us(), "node_term", self.name))
        with contextlib.suppress(ProcessLookupError):
            first.send_signal(signal.SIGTERM)

    async def call(self, path: str, method: str = "GET") -> tuple[int, dict[str, Any]]:
        """Sends a request to the operator interface; returns the status and the JSON body."""
        reader, writer = await asyncio.open_connection(*self.ops)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n".encode())
            async with asyncio.timeout(CALL_S):
                head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        finally:
            writer.close()
        return int(head.split()[1]), json.loads(body)

    async def wait_ops_ready(self, seconds: float) -> bool:
        """Waits up to ``seconds`` for the operators' health check to answer 200; returns whether it did."""
        end = now_us() + int(seconds * 1e6)
        while now_us() < end and (self.process is None or self.process.returncode is None):
            with contextlib.suppress(OSError, IndexError, ValueError):
                if (await self.call("/healthcheck"))[0] == 200:
                    return True
            await asyncio.sleep(0.01)
        return False

    def configure(self, discovery: Address) -> None:
        """Replaces the configuration file atomically."""
        self.config["discovery"] = f"{discovery[0]}:{discovery[1]}"
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        os.replace(temporary, self.path)

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        self.marks.append(RunEvent(now_us(), "node_exit", self.name, f"ended with status {status}"))

    async def ready(self, seconds: float) -> bool:
        """Waits up to ``seconds`` for ``/healthz`` to answer 200; returns False also if the process exits."""
        try:
            async with asyncio.timeout(seconds):
                while self.process is None or self.process.returncode is None:
                    with contextlib.suppress(OSError):
                        reader, writer = await asyncio.open_connection(*self.listen)
                        writer.write(b"GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                        line = await reader.readline()
                        writer.close()
                        if b" 200 " in line:
                            return True
                    await asyncio.sleep(0.02)
        except TimeoutError:
            pass
        return False

    def signal(self, number: signal.Signals, what: str) -> None:
        """Sends a signal to the process if it runs, and marks it as ``what``."""
        if self.process is not None and self.process.returncode is None:
            self.marks.append(RunEvent(now_us(), what, self.name))
            self.process.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.stopped = number == signal.SIGSTOP

    async def end(self, seconds: float = 6.0) -> None:
        """Sends SIGTERM, then SIGKILL if the process has not exited after ``seconds``."""
        if self.process is None:
            return
        self.signal(signal.SIGTERM, "node_term")
        try:
            async with asyncio.timeout(seconds):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL, "node_kill")
            await self.process.wait()
        if self.exit_watcher is not None:
            await asyncio.gather(self.exit_watcher, *self.other_exit_watchers)

    def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()


def free_address(host: str, *others: Address) -> Address:
    """Returns a free address on ``host`` that is none of ``others``.

    A node binds with port sharing (SO_REUSEPORT), so two equal addresses of one node would take each other's
    connections.
    """
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            address: Address = sock.getsockname()
        if address not in others:
            return address
