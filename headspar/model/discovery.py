"""Discovery in simulated time: the backend list and its changes, watches, and a server with a limited call rate."""

from __future__ import annotations

import random

from headspar.interface import BackendEntry, BackendList, Health, ListKind
from headspar.model.events import Events, Handle
from headspar.model.ports import DiscoveryFacingNode
from headspar.node.chain import AGAIN_US, PATIENCE_US, Chain, Then
from headspar.world.plan import Plan, ServerPlan
from headspar.world.records import Notification
from headspar.world.scenario import Scenario

MAX_HISTORY = 1000  # changes; a caller that is further behind gets the whole list
LEG_US = 150  # one-way delay between nodes and discovery
HEALTHS = {"ready": Health.READY, "draining": Health.DRAINING, "gone": Health.GONE}
STATES = {health: name for name, health in HEALTHS.items()}


class Entry:
    """A server in the list of discovery."""

    __slots__ = ("plan", "state", "started_at")

    def __init__(self, plan: ServerPlan) -> None:
        self.plan, self.state, self.started_at = plan, "ready", 0

    def row(self, state: str, started_at: int) -> BackendEntry:
        p = self.plan
        return BackendEntry(p.id, p.site, p.machine, p.cell, HEALTHS[state], 1.0, started_at)


class Discovery:
    """The backend list and the calls for it.

    ``sent_updates`` records for the audit what each node was sent, or is presumed to know, and when."""

    def __init__(self, events: Events, scenario: Scenario, plan: Plan, nodes: list[str]) -> None:
        self.events, self.scenario, self.nodes = events, scenario, nodes
        self.rng = random.Random(f"{plan.seed}/discovery")
        self.plans = {p.id: p for p in plan.servers}
        self.entries = {p.id: Entry(p) for p in plan.servers if p.starts_at < 0}
        self.generation = 1
        self.changes: list[tuple[int, str, str, int]] = []
        self.watchers: list[Watcher] = []
        self.waiting_calls: dict[Watcher, tuple[int, Handle]] = {}
        self.down = self.silent = False
        self.busy_until = 0
        self.sent_updates: list[Notification] = []
        self.calls: list[tuple[int, str]] = []
        self.rejected = 0

    def rows(self, since: int) -> tuple[bool, list[BackendEntry]]:
        """Returns whether the response is the whole list, and its entries: those changed after generation ``since``.

        The whole list is returned if ``since`` is -1, newer than the list or older than the history."""
        too_old = len(self.changes) >= MAX_HISTORY and self.changes[0][0] > since + 1
        if since < 0 or since > self.generation or too_old:
            return True, [e.row(e.state, e.started_at) for _, e in sorted(self.entries.items())]
        last = {server: (state, at) for generation, server, state, at in self.changes if generation > since}
        return False, [Entry(self.plans[id]).row(state, at) for id, (state, at) in last.items()]

    # ------------------------------------------------------------ changes

    def server_changed(self, kind: str, server: str) -> None:
        """Schedules the time at which discovery learns of an event of a server that happens now."""
        spec, now = self.scenario.discovery, self.events.now
        low, high = spec.add_s if kind == "start" else spec.notice_s
        pause = int(1e6 * self.rng.uniform(low, high))
        self.events.at(now + pause, self._apply_change, kind, server, now if kind == "start" else 0)

    def _apply_change(self, kind: str, server: str, started_at: int) -> None:
        now = self.events.now
        if self.down:
            self.events.at(now + 200_000, self._apply_change, kind, server, started_at)
            return
        entry = self.entries.get(server)
        if kind == "start":
            entry = self.entries[server] = entry or Entry(self.plans[server])
            entry.state, entry.started_at = "ready", started_at
        elif entry is None:
            return
        elif kind == "drain":
            entry.state, started_at = "draining", entry.started_at
        else:
            started_at = entry.started_at
            del self.entries[server]
        state = {"start": "ready", "drain": "draining", "die": "gone"}[kind]
        self.generation += 1
        self.changes.append((self.generation, server, state, started_at))
        del self.changes[:-MAX_HISTORY]
        at = now + int(self.scenario.rules.told_after_s * 1e6)
        self.sent_updates += [Notification(node, server, at, state, 0, True, self.generation) for node in self.nodes]
        for watcher, (since, handle) in list(self.waiting_calls.items()):
            self.events.cancel(handle)
            self._answer(watcher, since)

    def apply(self, kind: str) -> None:
        """Applies a step of the plan."""
        if kind in ("discovery_gone", "discovery_break"):
            self.down = kind == "discovery_gone"
            self._end(self.watchers)
        elif kind == "discovery_silent":
            self.silent = True
        elif kind == "discovery_back":
            self.down = self.silent = False
        elif kind == "discovery_move":
            for watcher in list(self.watchers):
                watcher.move()

    def _end(self, watchers: list[Watcher]) -> None:
        for watcher in list(watchers):
            waiting = self.waiting_calls.pop(watcher, None)
            if waiting is not None:
                self.events.cancel(waiting[1])
            if watcher.outstanding:
                self.events.at(self.events.now + LEG_US, watcher.failed, watcher.outstanding)

    # ------------------------------------------------------------ calls

    def call(self, watcher: Watcher, number: int, since: int, wait_us: int) -> None:
        """Handles a call from a node."""
        now, spec = self.events.now, self.scenario.discovery
        self.calls.append((now, watcher.node.name))
        if self.down:
            self.events.at(now + LEG_US, watcher.failed, number)
            return
        begins = now
        if spec.calls_per_s:
            begins = max(now, self.busy_until)
            if begins - now > spec.timeout_ms * 1000:
                self.rejected += 1
                self.events.at(now + int(spec.timeout_ms * 1000), watcher.failed, number)
                return
            begins = self.busy_until = begins + int(1e6 / spec.calls_per_s)
        self.events.at(begins + int(spec.delay_ms * 1000), self._begin, watcher, number, since, wait_us)

    def _begin(self, watcher: Watcher, number: int, since: int, wait_us: int) -> None:
        if watcher.outstanding != number or self.down:
            return
        if since < 0 or self.generation > since:
            self._answer(watcher, since)
            return
        self.waiting_calls[watcher] = since, self.events.at(self.events.now + wait_us, self._answer, watcher, since)

    def record_update(self, node: str, rows: list[BackendEntry], whole: bool) -> None:
        """Records for the audit that a node is sent these entries, by an answer or by its initial list."""
        now = self.events.now
        for row in rows:
            self.sent_updates.append(Notification(node, row.backend, now, STATES[row.health], row.started_at_us,
                                                  False, self.generation))
        if whole:
            listed = {row.backend for row in rows}
            self.sent_updates += [Notification(node, id, now, "gone", 0, False, self.generation)
                                  for id in self.plans if id not in listed]

    def _answer(self, watcher: Watcher, since: int) -> None:
        self.waiting_calls.pop(watcher, None)
        if self.silent or not watcher.outstanding:
            return
        whole, rows = self.rows(since)
        self.record_update(watcher.node.name, rows, whole)
        self.events.at(self.events.now + LEG_US, watcher.answered, watcher.outstanding, whole, self.generation, rows)


class Watcher:
    """The node's side: a watch by consecutive long-poll calls, as in ``headspar.node.discovery``."""

    def __init__(self, discovery: Discovery, node: DiscoveryFacingNode) -> None:
        self.discovery, self.node, self.events = discovery, node, discovery.events
        self.chain = Chain(node.settings)
        self.generation = 0
        self.outstanding = 0  # the number of the outstanding call, 0 if there is none
        self.serial = 0
        self.timeout: Handle | None = None
        discovery.watchers.append(self)

    def start(self) -> None:
        """Starts the node with the current list and begins to watch."""
        self.generation = self.discovery.generation
        rows = self.discovery.rows(-1)[1]
        self.discovery.record_update(self.node.name, rows, True)
        self.node.start(BackendList(ListKind.CACHED, self.generation, rows))
        if not self.chain.asked:
            self.watch(True)

    def watch(self, enable: bool) -> None:
        self.chain.watching = enable
        if not enable:
            self._drop()
        elif not self.outstanding:
            self.chain.first = True
            self._ask()

    def move(self) -> None:
        """Starts a new call, as discovery has moved to another address."""
        self._drop()
        self.chain.moved()
        self._ask()

    def _ask(self) -> None:
        if not self.node.alive:
            return
        self.serial += 1
        self.outstanding = self.serial
        now, wait = self.events.now, self.chain.call_wait_us()
        self.timeout = self.events.at(now + wait + PATIENCE_US, self._timed_out)
        since = -1 if self.chain.whole else self.generation
        self.events.at(now + LEG_US, self.discovery.call, self, self.outstanding, since, wait)

    def _timed_out(self) -> None:
        self.timeout = None
        if not self.chain.silent():
            self._fail()
            return
        self._drop()
        self._ask()

    def answered(self, number: int, whole: bool, generation: int, rows: list[BackendEntry]) -> None:
        if number != self.outstanding or not self.chain.watching or not self.node.alive:
            return
        self._drop()
        self.generation = generation
        if rows or whole or self.chain.first:
            event = BackendList(ListKind.FULL if whole else ListKind.DELTA, generation, rows)
            self.node.enqueue(20.0 + 2.0 * len(rows), self.node.on_backend_list, event)
        self.chain.answered()
        self._ask()

    def failed(self, number: int) -> None:
        if number == self.outstanding and self.node.alive:
            self._fail()

    def _fail(self) -> None:
        self._drop()
        then = self.chain.failed()
        if then is Then.TELL:
            self.node.enqueue(10.0, self.node.on_backend_list, BackendList(ListKind.FAILED, self.generation, []))
        elif then is Then.AGAIN:
            self.events.at(self.events.now + AGAIN_US, self.watch, True)

    def _drop(self) -> None:
        self.outstanding = 0
        if self.timeout is not None:
            self.events.cancel(self.timeout)
            self.timeout = None
        waiting = self.discovery.waiting_calls.pop(self, None)
        if waiting is not None:
            self.events.cancel(waiting[1])

    def close(self) -> None:
        """Ends the watch, as the node's process has ended."""
        self.watch(False)
        if self in self.discovery.watchers:
            self.discovery.watchers.remove(self)



