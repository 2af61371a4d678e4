"""A stub of discovery: the list of servers, and long-poll watches on its changes.

Each node has its own listener, because the servers' addresses differ from node to node, and so that the stub knows
what it sent to which node.  It learns of starts, drains and crashes some time after they happen.  It can be down
(connections are refused, watches end), be silent (requests are accepted and never answered), abort its connections
once, or move to other addresses.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any, cast

import httptools

from headspar.lab.children import now_us
from headspar.world.plan import Plan, ServerPlan
from headspar.world.records import Notification
from headspar.world.scenario import Scenario

Address = tuple[str, int]
MAX_CHANGES = 4096  # a watch that is further behind gets the full list


class Entry:
    """The entry of one server: its state, and its start time in Unix ms (0 if it ran from the beginning)."""

    __slots__ = ("plan", "state", "started_at")

    def __init__(self, plan: ServerPlan) -> None:
        self.plan, self.state, self.started_at = plan, "ready", 0


class NodeConnection(asyncio.Protocol):
    """One connection from a node."""

    def __init__(self, endpoint: NodeEndpoint) -> None:
        self.endpoint = endpoint
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.url = b""
        self.timer: asyncio.TimerHandle | None = None
        self.since = -1  # generation of the pending watch; -1 if there is none
        self.until = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.endpoint.connections.discard(self)
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_message_begin(self) -> None:
        self.url = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        stub = self.endpoint.stub
        stub.requests.append((now_us(), self.endpoint.node))
        wait = stub.service_delay()
        if wait is None:
            stub.loop.call_later(stub.scenario.discovery.timeout_ms / 1000, self._write, 503, {})
        else:
            stub.loop.call_later(wait, self._handle_request, self.url.decode("latin-1"))

    def _handle_request(self, url: str) -> None:
        path, _, query = url.partition("?")
        if path != "/v1/servers":
            self._write(404, {})
            return
        fields = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        if "since" not in fields:
            self.answer_watch(-1)
            return
        self.since = int(fields["since"])
        wait = min(60_000, int(fields.get("timeout_ms", "0"))) / 1000
        if self.endpoint.stub.generation > self.since:
            self.answer_watch(self.since)
        else:
            self.timer = self.endpoint.stub.loop.call_later(wait, self.answer_watch, self.since)

    def list_changed(self) -> None:
        """Answers the pending watch, if there is one, after a change of the list."""
        if self.since >= 0:
            self.answer_watch(self.since)

    def answer_watch(self, since: int) -> None:
        """Answers with the changes after generation ``since``; -1 asks for the full list."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.since = -1
        stub = self.endpoint.stub
        if stub.silent or self.transport is None:
            return
        full, rows = stub.rows(self.endpoint.node, since)
        read_from = now_us()
        self._write(200, {"generation": stub.generation, "reset": full, "instances": rows})
        stub.record_answer(self.endpoint.node, rows, full, read_from)

    def _write(self, status: int, body: dict[str, Any]) -> None:
        data = json.dumps(body).encode()
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(data), data))


class NodeEndpoint:
    """The address at which one node reaches discovery, and its connections."""

    def __init__(self, stub: Discovery, node: str) -> None:
        self.stub, self.node = stub, node
        self.address: Address = (stub.host, 0)
        self.listener: asyncio.Server | None = None
        self.connections: set[NodeConnection] = set()

    async def open(self, new_port: bool = False) -> None:
        port = 0 if new_port else self.address[1]
        self.listener = await self.stub.loop.create_server(
            lambda: NodeConnection(self), self.address[0], port, backlog=64)
        self.address = self.listener.sockets[0].getsockname()[:2]

    def close_listener(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def abort_connections(self) -> None:
        for conn in list(self.connections):
            if conn.transport is not None:
                conn.transport.abort()


class Discovery:
    """The list of servers, its changes, and a record of which node was notified of them."""

    def __init__(self, scenario: Scenario, plan: Plan, nodes: list[str], host: str) -> None:
        self.scenario, self.plan, self.host = scenario, plan, host
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{plan.seed}/discovery")
        self.generation = 1
        self.entries = {p.id: Entry(p) for p in plan.servers if p.starts_at < 0}
        self.plans = {p.id: p for p in plan.servers}
        self.changes: list[tuple[int, str, str, int]] = []  # generation, server, state, started (Unix ms)
        self.addresses: dict[str, dict[str, str]] = {}
        self.endpoints = {node: NodeEndpoint(self, node) for node in nodes}
        self.silent = self.down = False
        self.busy_until = 0.0
        self.rejected = 0
        self.notifications: list[Notification] = []
        self.requests: list[tuple[int, str]] = []  # time (µs) and node of each request
        self.tasks: set[asyncio.Task[None]] = set()
        self.offset_us = time.time_ns() // 1000 - now_us()

    async def start(self, addresses: dict[str, dict[str, str]]) -> None:
        self.addresses = addresses
        for endpoint in self.endpoints.values():
            await endpoint.open(new_port=True)

    def known(self, node: str) -> dict[str, Any]:
        """The full list, in the form that a node is given at its start."""
        return {"generation": self.generation, "reset": True, "instances": self.rows(node, -1)[1]}

    def record_start_list(self, node: str, known: dict[str, Any]) -> None:
        """Records that a node started with this list, which replaces everything it was sent before."""
        now, listed = now_us(), set()
        for row in known["instances"]:
            listed.add(row["instanceId"])
            self.notifications.append(Notification(node, row["instanceId"], now, row["lifecycle"],
                                                   self._start_us(row), False, known["generation"]))
        self.notifications += [Notification(node, id, now, "gone", 0, False, known["generation"])
                               for id in self.plans if id not in listed]

    # ------------------------------------------------------------ answers

    def _row(self, node: str, server: str, state: str, started_ms: int) -> dict[str, Any]:
        p = self.plans[server]
        return {"instanceId": server, "hostPort": self.addresses[server][node], "zone": p.site,
                "machineType": p.machine, "cell": p.cell, "lifecycle": state, "weight": 1.0,
                "startedAtMs": started_ms}

    def rows(self, node: str, since: int) -> tuple[bool, list[dict[str, Any]]]:
        """Returns whether the entries are the full list, and the entries after generation ``since``."""
        too_old = bool(self.changes) and len(self.changes) >= MAX_CHANGES and self.changes[0][0] > since + 1
        if since < 0 or since > self.generation or too_old:
            return True, [self._row(node, id, e.state, e.started_at) for id, e in sorted(self.entries.items())]
        latest: dict[str, tuple[str, int]] = {}
        for generation, server, state, started in self.changes:
            if generation > since:
                latest[server] = state, started
        return False, [self._row(node, id, *change) for id, change in latest.items()]

    def record_answer(self, node: str, rows: list[dict[str, Any]], full: bool, read_from: int) -> None:
        """Records an answer, which the node may have read at any time since ``read_from`` (µs).

        A permission (state ``ready``) counts from before the write, a prohibition from after it.
        """
        now = now_us()
        for row in rows:
            state = row["lifecycle"]
            self.notifications.append(Notification(node, row["instanceId"], read_from if state == "ready" else now,
                                                   state, self._start_us(row), False, self.generation))
        if full:
            listed = {row["instanceId"] for row in rows}
            gone = [id for id in self.plans if id not in listed]
            self.notifications += [Notification(node, id, now, "gone", 0, False, self.generation) for id in gone]

    def _start_us(self, row: dict[str, Any]) -> int:
        return int(row["startedAtMs"] * 1000 - self.offset_us) if row["startedAtMs"] else 0

    # ------------------------------------------------------------ changes and faults

    def service_delay(self) -> float | None:
        """Seconds until a request that arrives now is processed; None if that exceeds the queueing time-out."""
        spec = self.scenario.discovery
        delay = spec.delay_ms / 1000
        if not spec.calls_per_s:
            return delay
        now = self.loop.time()
        begins = max(now, self.busy_until)
        if begins - now > spec.timeout_ms / 1000:
            self.rejected += 1
            return None
        self.busy_until = begins + 1 / spec.calls_per_s
        return self.busy_until - now + delay

    def schedule_change(self, kind: str, server: str, at: int) -> None:
        """Schedules the list change for an event of a server at ``at`` (µs), after a drawn notice delay."""
        spec = self.scenario.discovery
        low, high = spec.add_s if kind == "start" else spec.notice_s
        pause = max(0.0, (at - now_us()) / 1e6 + self.rng.uniform(low, high))
        started = (at + self.offset_us) // 1000 if kind == "start" else 0
        self.loop.call_later(pause, self._apply_change, kind, server, started)

    def _apply_change(self, kind: str, server: str, started_ms: int) -> None:
        if self.down:
            self.loop.call_later(0.2, self._apply_change, kind, server, started_ms)
            return
        entry = self.entries.get(server)
        if kind == "start":
            entry = self.entries[server] = entry or Entry(self.plans[server])
            entry.state, entry.started_at = "ready", started_ms
        elif kind == "drain" and entry is not None:
            entry.state = "draining"
            started_ms = entry.started_at
        elif kind == "die" and entry is not None:
            started_ms = entry.started_at
            del self.entries[server]
        else:
            return
        state = {"start": "ready", "drain": "draining", "die": "gone"}[kind]
        self.generation += 1
        self.changes.append((self.generation, server, state, started_ms))
        del self.changes[:-MAX_CHANGES]
        # A node counts as notified this many seconds later, whether or not it got the message.
        at = now_us() + int(self.scenario.rules.told_after_s * 1e6)
        for node in self.endpoints:
            self.notifications.append(Notification(node, server, at, state, 0, True, self.generation))
        for endpoint in self.endpoints.values():
            for conn in list(endpoint.connections):
                conn.list_changed()

    async def apply(self, kind: str) -> None:
        """Applies a step of the plan for discovery."""
        if kind == "discovery_gone":
            self.down = True
            for endpoint in self.endpoints.values():
                endpoint.close_listener()
                endpoint.abort_connections()
        elif kind == "discovery_silent":
            self.silent = True
        elif kind == "discovery_back":
            was_down, self.down, self.silent = self.down, False, False
            for endpoint in self.endpoints.values():
                if was_down:
                    await endpoint.open()
        elif kind == "discovery_break":
            for endpoint in self.endpoints.values():
                endpoint.abort_connections()
        elif kind == "discovery_move":
            for endpoint in self.endpoints.values():
                too_old, connections = endpoint.listener, list(endpoint.connections)
                await endpoint.open(new_port=True)
                if too_old is not None:
                    too_old.close()
                self.loop.call_later(1.5, self._close_connections, connections)

    @staticmethod
    def _close_connections(connections: list[NodeConnection]) -> None:
        for conn in connections:
            if conn.transport is not None:
                conn.transport.close()

    def close(self) -> None:
        for endpoint in self.endpoints.values():
            endpoint.close_listener()
            endpoint.abort_connections()
