"""Discovery's list of backends: the list known at the start, then a long-poll watch on its changes.

Each call of the watch waits for changes, and the next call goes out as soon as an answer has arrived, so that no
change is missed in between. A call that fails ends the watch. Where the settings say that the balancer polls
discovery, it is notified and starts the watch again when it chooses to; where lists are pushed, the agent is on this
machine and the node calls it again by itself.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any, cast

from headspar.config import Address, ConfigError, parse_address
from headspar.interface import BackendEntry, BackendList, Health, ListKind, Settings
from headspar.node.backends import Backends
from headspar.node.chain import AGAIN_US, PATIENCE_US, Chain, Then
from headspar.node.clock import now_us
from headspar.node.core import Node
from headspar.node.http_response import ResponseProtocol
from headspar.node.paced_input import TURN_US

CONNECT_TIMEOUT_US = 1_000_000
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # some 16,000 entries
MAX_BACKENDS = 8192  # in the list
MAX_VALUES = 16 * MAX_BACKENDS  # in an answer; each takes some 100 bytes once it is decoded
MAX_LOGGED = 200  # characters of a log line that lists servers
MAX_NAME = 256  # characters of an entry's id, zone or machine type
MAX_PAUSE_US = 100_000  # between an answer and the next call; a watch ends after 200 ms
HEALTHS = {"ready": Health.READY, "draining": Health.DRAINING, "gone": Health.GONE}
STATES = {health: name for name, health in HEALTHS.items()}


def decode_answer(body: bytes) -> Any:
    """Decode an answer's JSON. Raises ``ValueError`` if it is malformed, or has so many values that they would take
    many times the memory of its text."""
    if body.count(b",") + body.count(b"[") + body.count(b"{") > MAX_VALUES:
        raise ValueError(f"more than {MAX_VALUES} values")
    return json.loads(body)


class Call(ResponseProtocol):
    """One connection to discovery, which carries one call at a time."""

    def __init__(self, owner: Discovery) -> None:
        super().__init__(owner.node.input_turns)
        self.owner = owner
        self.body = bytearray()
        self.in_flight = False
        self.used = False  # a call has been made

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def may_ask(self) -> bool:
        """Return whether a call can be made on this connection."""
        open_ = self.transport is not None and not self.transport.is_closing()
        return open_ and (not self.used or self.reusable())

    def ask(self, path: str) -> None:
        assert self.transport is not None
        self.body.clear()
        self.expect_response()
        self.in_flight = self.used = True
        host, port = self.owner.address
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def close_unused(self) -> None:
        """Close a connection that was established just as its call ended; nothing else would close it."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes | memoryview) -> None:
        if not self.in_flight:
            self.excess_input = True  # it belongs to no call
            return
        error = self.parse(data)
        if error is not None:
            self._give_up(f"malformed answer: {error.__context__ or error}")
        elif self.complete:
            self._answered()
        elif self.overhead.too_large() or len(self.body) > MAX_ANSWER_BYTES:
            self._give_up("answer too large")

    def _answered(self) -> None:
        self._complete(bytes(self.body) if self.status == 200 else None, f"status {self.status}")

    def _give_up(self, reason: str) -> None:
        """End the call; what still comes on this connection is not read."""
        self._complete(None, reason)
        self.pause_reading()

    def on_content(self, data: bytes) -> None:
        self.body += data

    def connection_lost(self, exc: Exception | None) -> None:
        # The owner keeps this call: an answer received before the connection ended, or the failure, is still to be
        # processed. If the owner gave the call up here, both would be ignored and the watch would stop until its wait
        # had run out.
        self.transport = None
        if self.ends_with_connection(exc):
            self._answered()
        else:
            self._complete(None, "connection lost")

    def _complete(self, body: bytes | None, reason: str) -> None:
        if self.in_flight:
            self.in_flight = False
            # Process the answer outside the parser's callback, because the parser is not reentrant.
            self.owner.node.loop.call_soon(self.owner.answered, self, body, reason)


class Discovery:
    """Watches the list and notifies the balancer and the connection pool of changes."""

    def __init__(self, node: Node, backends: Backends, address: Address) -> None:
        self.node, self.backends, self.address = node, backends, address
        self.watch_state = Chain(node.settings)
        self.generation = 0
        self.displaced: set[str] = set()  # by the list that is being applied
        self.call: Call | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.offset_us = now_us() - time.time_ns() // 1000

    def change(self, rules: Settings) -> None:
        """Apply new settings from the next call on."""
        self.watch_state.change(rules)

    def start(self, known: dict[str, Any]) -> None:
        try:
            self._apply(known, ListKind.CACHED)
        except (ValueError, TypeError) as error:
            raise ConfigError(f"known: {error}") from None
        if not self.watch_state.asked:
            self.watch(True)

    def known(self) -> dict[str, Any]:
        """Return the latest list in discovery's own format."""
        hosts, rows = self.backends.hosts, []
        for e in self.node.reach.entries.values():
            host = hosts.get(e.backend)
            if host is not None:
                started = max(1, round((e.started_at_us - self.offset_us) / 1000)) if e.started_at_us else 0
                rows.append({
                    "instanceId": e.backend, "hostPort": f"{host.address[0]}:{host.address[1]}", "zone": e.zone,
                    "machineType": e.kind, "cell": e.cell, "lifecycle": STATES[e.health], "weight": e.weight,
                    "startedAtMs": started,
                })
        return {"generation": self.generation, "reset": True, "instances": rows}

    def watch(self, enable: bool) -> None:
        self.watch_state.watching = enable
        if not enable:
            self._close()
        elif self._is_idle():
            self.watch_state.first = True
            self._ask()

    def _is_idle(self) -> bool:
        """Return whether no call is in flight or being connected."""
        return self.task is None and (self.call is None or not self.call.in_flight)

    def move(self, address: Address) -> None:
        """Switch to the address of a new configuration. The old address goes silent or ends soon, and discovery
        counts as delivered what it would have sent until then. The node therefore asks the new address for the whole
        list at once, even if the balancer has not asked, and continues the watch there."""
        if address == self.address:
            return
        self.address = address
        self._close()
        self.watch_state.moved()
        self._ask()

    def _ask(self) -> None:
        self._stop_timer()
        self.node.ledger.calls += 1
        wait_us = self.watch_state.call_wait_us()
        self.timer = self.node.loop.call_later((wait_us + PATIENCE_US) / 1e6, self._on_timeout)
        path = "/v1/servers"
        if not self.watch_state.whole:
            path += f"?since={self.generation}&timeout_ms={wait_us // 1000}"
        if self.call is not None and self.call.may_ask():
            self.call.ask(path)
        else:
            if self.call is not None:
                self.call.close_unused()
            self.task = self.node.loop.create_task(self._connect(path))

    async def _connect(self, path: str) -> None:
        call = Call(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_US / 1e6):
                await self.node.loop.create_connection(lambda: call, *self.address)
        except asyncio.CancelledError:  # ``task`` already belongs to a newer call
            call.close_unused()
            raise
        except Exception as error:
            call.close_unused()
            self.task = None
            self._failed(f"{type(error).__name__} {error}")
            return
        self.task = None
        if not self.watch_state.watching:
            call.close_unused()
            return
        self.call = call
        self.node.log(
            f"discovery: watching at {self.address[0]}:{self.address[1]} from generation {self.generation}"
        )
        if call.transport is None:
            self._failed("connection lost")
        else:
            call.ask(path)

    def _on_timeout(self) -> None:
        # First process an answer that arrived while the loop was busy or the process was paused (see core._timer).
        self.timer = None
        self.node.loop.call_soon(self.node.loop.call_soon, self._check_answer, self.call)

    def _check_answer(self, call: Call | None) -> None:
        if call is not self.call or self.timer is not None or call is not None and not call.in_flight:
            return
        if not self.watch_state.silent():
            self._failed("no answer")
            return
        self.node.log("discovery: no answer, retrying on a new connection")
        self._close()
        self._ask()

    def answered(self, call: Call, body: bytes | None, reason: str) -> None:
        if call is not self.call or not self.watch_state.watching:
            return
        if body is None:
            self._failed(reason)
            return
        began_at = now_us()
        try:
            raw = decode_answer(body)
            kind = ListKind.FULL if raw.get("reset") else ListKind.DELTA
            if self._is_out_of_order(raw, kind):
                self._ask_for_whole_list()
                return
            self._apply(raw, kind)
        except Exception as error:
            self._failed(f"malformed answer: {error}")
            return
        self.watch_state.answered()
        self._stop_timer()
        if not call.reusable():
            self.call = None
            call.close_unused()
        self._ask_later(now_us() - began_at)

    def _ask_later(self, spent_us: int) -> None:
        """Call again after a pause as long as the processing of the last answer, so that answers without end leave
        the loop to others."""
        if spent_us <= TURN_US:
            self._ask()
        else:
            self.timer = self.node.loop.call_later(min(spent_us, MAX_PAUSE_US) / 1e6, self._ask_if_idle)

    def _ask_if_idle(self) -> None:
        self.timer = None
        if self.watch_state.watching and self._is_idle():
            self._ask()

    def _is_out_of_order(self, raw: dict[str, Any], kind: ListKind) -> bool:
        """Return whether an answer is not the one to the call in flight: that asked for what is newer than the
        generation held, unless it asked for the whole list."""
        if self.watch_state.whole and kind is ListKind.FULL:
            return False
        generation = raw.get("generation", 0)
        if kind is ListKind.DELTA and generation == self.generation:
            return bool(raw.get("instances"))
        return bool(generation < self.generation)

    def _ask_for_whole_list(self) -> None:
        """Ask again on a new connection, on which nothing older can arrive."""
        if not self.watch_state.out_of_order():
            self._failed("answers out of order")
            return
        self.node.log("discovery: answer out of order, asking for the whole list on a new connection")
        self._close()
        self._ask()

    def _failed(self, reason: str) -> None:
        self.node.log(f"discovery: {reason}")
        self._close()
        then = self.watch_state.failed()
        if then is Then.TELL:
            self.node.on_list(BackendList(ListKind.FAILED, self.generation, []))
        elif then is Then.AGAIN:
            self.timer = self.node.loop.call_later(AGAIN_US / 1e6, self.watch, True)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _close(self) -> None:
        self._stop_timer()
        if self.task is not None:
            self.task.cancel()
            self.task = None
        call, self.call = self.call, None
        if call is not None and call.transport is not None:
            call.transport.abort()

    # ------------------------------------------------------------ the list

    def _apply(self, raw: Any, kind: ListKind) -> None:
        """Apply a list or its changes. Raises, and changes nothing, if the data is not a list."""
        rows = raw["instances"] if isinstance(raw, dict) else None
        generation = raw.get("generation", 0) if isinstance(raw, dict) else None
        if not isinstance(rows, list) or isinstance(generation, bool) or not isinstance(generation, int):
            raise ValueError("generation must be an integer and instances a list")
        entries = []
        self.displaced.clear()
        for row in rows:
            try:
                entries.append(self._entry(row))
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                self.node.log(f"discovery: entry skipped: {type(error).__name__} {error} in {str(row)[:200]}")
        entries = self._without_displaced(entries)
        self.generation = generation
        if entries:
            states = [e.health.value for e in entries]
            self.node.log(
                f"discovery: {kind.value} list {generation}: "
                + ", ".join(f"{states.count(s)} {s}" for s in sorted(set(states)))
            )
        if kind is not ListKind.DELTA:
            listed = {entry.backend for entry in entries}
            for id in [id for id in self.backends.hosts if id not in listed]:
                self.backends.remove(id)
        if entries or kind is not ListKind.DELTA or self.watch_state.first:
            self.node.on_list(BackendList(kind, generation, entries))

    def _without_displaced(self, entries: list[BackendEntry]) -> list[BackendEntry]:
        """Mark backends as gone at whose address another one listens now."""
        gone = sorted(id for id in self.displaced if id not in self.backends.hosts)
        if not gone:
            return entries
        self.node.log(f"discovery: gone, as another server has their address: {', '.join(gone)}"[:MAX_LOGGED])
        kept = [entry for entry in entries if entry.backend not in gone]
        return kept + [BackendEntry(id, "", "", 0, Health.GONE, 1.0, 0) for id in gone]

    def _entry(self, row: Any) -> BackendEntry:
        id = row["instanceId"]
        if not isinstance(id, str) or not id:
            raise ValueError("instanceId must be a non-empty string")
        if max(len(id), len(str(row.get("zone", ""))), len(str(row.get("machineType", "")))) > MAX_NAME:
            raise ValueError(f"a name is longer than {MAX_NAME} characters")
        health = HEALTHS[row.get("lifecycle", "ready")]
        started_ms = row.get("startedAtMs") or 0
        # Convert Unix milliseconds to the node's own clock in microseconds. A start time in the future would never
        # age: the balancer would treat the backend as cold, and ration it, for good.
        started = max(1, int(started_ms * 1000) + self.offset_us) if started_ms else 0
        if health is Health.GONE:
            self.backends.remove(id)
            return BackendEntry(id, str(row.get("zone", "")), str(row.get("machineType", "")),
                                int(row.get("cell") or 0), health, 1.0, started)
        entry = BackendEntry(id, str(row["zone"]), str(row.get("machineType", "")), int(row.get("cell") or 0),
                             health, float(row.get("weight", 1.0)), started)
        if id not in self.backends.hosts and len(self.backends.hosts) >= MAX_BACKENDS:
            raise ValueError(f"more than {MAX_BACKENDS} backends")
        displaced = self.backends.add_or_update(id, parse_address(row["hostPort"], "hostPort"), started)
        if displaced is not None:
            self.displaced.add(displaced)
        return entry
