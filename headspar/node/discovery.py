"""Discovery's list of backends: the one known at the start, then a watch on its changes.

A watch is a chain of calls, each waiting for news; between an answer and the next call nothing may pass
unheard, so the next one goes out at once.  A call that fails ends the watch.  Where the settings say that
discovery is asked, the module is told and asks again when it sees fit; where lists are pushed, the agent is
on this machine and the node calls it again by itself.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any, cast

import httptools

from headspar.config import Address, ConfigError, parse_address
from headspar.interface import BackendEntry, BackendList, Health, ListKind, Settings
from headspar.node.backends import Backends
from headspar.node.chain import AGAIN_US, PATIENCE_US, Chain, Then
from headspar.node.core import Node, now_us

CONNECT_US = 1_000_000
MAX_ANSWER = 16 * 1024 * 1024
HEALTHS = {"ready": Health.READY, "draining": Health.DRAINING, "gone": Health.GONE}
STATES = {health: name for name, health in HEALTHS.items()}


class Call(asyncio.Protocol):
    """One connection to discovery, carrying a call at a time."""

    def __init__(self, owner: Discovery) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.body = bytearray()
        self.waiting = False
        self.keep = True
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, path: str) -> None:
        assert self.transport is not None
        self.body.clear()
        self.waiting = True
        host, port = self.owner.address
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def give_up(self) -> None:
        """Close the connection, if it was made just as the call ended: nobody else would."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except Exception as error:
            self._done(None, f"malformed answer: {error}")
            return
        if len(self.body) > MAX_ANSWER:
            self._done(None, "over-long answer")

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            self.keep = self.parser.should_keep_alive()
            self._done(bytes(self.body) if status == 200 else None, f"status {status}")

    def connection_lost(self, exc: Exception | None) -> None:
        # It stays its owner's call: the answer before the end, or the failure, is still to be looked at.  One
        # given up here would be passed over, and the watch be dead until its wait had run out.
        self.transport = None
        self._done(None, "connection lost")

    def _done(self, body: bytes | None, reason: str) -> None:
        if self.waiting:
            self.waiting = False
            # The answer is looked at outside the parser's callback, which may not be entered again.
            self.owner.node.loop.call_soon(self.owner.answered, self, body, reason)


class Discovery:
    """Follows the list and tells the module and the connection pool."""

    def __init__(self, node: Node, backends: Backends, address: Address) -> None:
        self.node, self.backends, self.address = node, backends, address
        self.chain = Chain(node.settings)
        self.generation = 0
        self.call: Call | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.offset_us = now_us() - time.time_ns() // 1000

    def change(self, rules: Settings) -> None:
        """New settings, from the next call on."""
        self.chain.change(rules)

    def start(self, known: dict[str, Any]) -> None:
        try:
            self._apply(known, ListKind.CACHED)
        except (ValueError, TypeError) as error:
            raise ConfigError(f"known: {error}") from None
        if not self.chain.asked:
            self.watch(True)

    def known(self) -> dict[str, Any]:
        """The list as it was last told, in discovery's own form."""
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
        self.chain.watching = enable
        if not enable:
            self._drop()
        elif self.task is None and (self.call is None or not self.call.waiting):
            self.chain.first = True
            self._ask()

    def move(self, address: Address) -> None:
        """A new configuration names another address.  The old one falls silent or ends soon, and what it
        would have told until then counts as told: the whole list is asked for at the new one, at once and
        whether or not the module has asked, and the watch goes on from there."""
        if address == self.address:
            return
        self.address = address
        self._drop()
        self.chain.moved()
        self._ask()

    def _ask(self) -> None:
        self.node.ledger.calls += 1
        self.timer = self.node.loop.call_later((self.chain.wait_us + PATIENCE_US) / 1e6, self._silent)
        path = "/v1/servers"
        if not self.chain.whole:
            path += f"?since={self.generation}&timeout_ms={self.chain.wait_us // 1000}"
        if self.call is not None and self.call.transport is not None and not self.call.transport.is_closing():
            self.call.ask(path)
        else:
            self.task = self.node.loop.create_task(self._connect(path))

    async def _connect(self, path: str) -> None:
        call = Call(self)
        try:
            async with asyncio.timeout(CONNECT_US / 1e6):
                await self.node.loop.create_connection(lambda: call, *self.address)
        except asyncio.CancelledError:  # ``task`` is a newer call's by now
            call.give_up()
            raise
        except Exception as error:
            call.give_up()
            self.task = None
            self._failed(f"{type(error).__name__} {error}")
            return
        self.task = None
        if not self.chain.watching:
            call.give_up()
            return
        self.call = call
        self.node.log(
            f"discovery: watching at {self.address[0]}:{self.address[1]} from generation {self.generation}"
        )
        if call.transport is None:
            self._failed("connection lost")
        else:
            call.ask(path)

    def _silent(self) -> None:
        # An answer that came while the loop was busy, or the process stood still, is read first (see core._timer).
        self.timer = None
        self.node.loop.call_soon(self.node.loop.call_soon, self._unanswered, self.call)

    def _unanswered(self, call: Call | None) -> None:
        if call is not self.call or self.timer is not None or call is not None and not call.waiting:
            return
        if not self.chain.silent():
            self._failed("no answer")
            return
        self.node.log("discovery: no answer, asking anew")
        self._drop()
        self._ask()

    def answered(self, call: Call, body: bytes | None, reason: str) -> None:
        if call is not self.call or not self.chain.watching:
            return
        if body is None:
            self._failed(reason)
            return
        try:
            raw = json.loads(body)
            self._apply(raw, ListKind.FULL if raw.get("reset") else ListKind.DELTA)
        except Exception as error:
            self._failed(f"malformed answer: {error}")
            return
        self.chain.answered()
        self._stop_timer()
        if not call.keep and call.transport is not None:
            self.call = None
            call.transport.abort()
        self._ask()

    def _failed(self, reason: str) -> None:
        self.node.log(f"discovery: {reason}")
        self._drop()
        then = self.chain.failed()
        if then is Then.TELL:
            self.node.told(BackendList(ListKind.FAILED, self.generation, []))
        elif then is Then.AGAIN:
            self.timer = self.node.loop.call_later(AGAIN_US / 1e6, self.watch, True)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _drop(self) -> None:
        self._stop_timer()
        if self.task is not None:
            self.task.cancel()
            self.task = None
        call, self.call = self.call, None
        if call is not None and call.transport is not None:
            call.transport.abort()

    # ------------------------------------------------------------ the list

    def _apply(self, raw: Any, kind: ListKind) -> None:
        """Take a list or changes; raises, with nothing changed, if it is no list at all."""
        rows = raw["instances"] if isinstance(raw, dict) else None
        generation = raw.get("generation", 0) if isinstance(raw, dict) else None
        if not isinstance(rows, list) or isinstance(generation, bool) or not isinstance(generation, int):
            raise ValueError("needs a whole-number generation and a list of instances")
        entries = []
        for row in rows:
            try:
                entries.append(self._entry(row))
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                self.node.log(f"discovery: entry skipped: {type(error).__name__} {error} in {str(row)[:200]}")
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
        if entries or kind is not ListKind.DELTA or self.chain.first:
            self.node.told(BackendList(kind, generation, entries))

    def _entry(self, row: Any) -> BackendEntry:
        id = row["instanceId"]
        if not isinstance(id, str) or not id:
            raise ValueError("instanceId")
        health = HEALTHS[row.get("lifecycle", "ready")]
        started_ms = row.get("startedAtMs") or 0
        # Unix milliseconds to the node's own clock in microseconds.  A start that came out later than now
        # would never age: the module would take the backend for cold, and ration it, for good.
        started = max(1, int(started_ms * 1000) + self.offset_us) if started_ms else 0
        if health is Health.GONE:
            self.backends.remove(id)
            return BackendEntry(id, str(row.get("zone", "")), str(row.get("machineType", "")),
                                int(row.get("cell") or 0), health, 1.0, started)
        entry = BackendEntry(id, str(row["zone"]), str(row.get("machineType", "")), int(row.get("cell") or 0),
                             health, float(row.get("weight", 1.0)), started)
        self.backends.place(id, parse_address(row["hostPort"], "hostPort"), started)
        return entry
