"""Runs a whole scenario in simulated time, with the lab's scenario, plan, audit and records and real decisions.

``simulate`` is deterministic: the same scenario, seed, version and costs give the same records in every process.
"""

from __future__ import annotations

import gc
import hashlib
import random
from typing import Any

import msgspec

from headspar.handover import shares
from headspar.handover.beliefs import Beliefs
from headspar.interface import Settings
from headspar.model import references, snapshots
from headspar.model.callers import Callers, Endpoint
from headspar.model.costs import Costs, Delays
from headspar.model.discovery import Discovery, Watcher
from headspar.model.events import Events
from headspar.model.node import PEER_DELAY_US, Node
from headspar.model.servers import CashServer
from headspar.model.work import MEMORY_MB, Mixture, Reading, VersionChange, Work, load
from headspar.operator_file import Connections as ConnectionsTable
from headspar.operator_file import OperatorError
from headspar.settings import read_settings
from headspar.world.audit import Verdict, audit
from headspar.world.plan import Plan, Step, draw, node_names
from headspar.world.records import Lateness, Recording, RunEvent
from headspar.world.rules import audit_parameters, settings
from headspar.world.scenario import Scenario
from headspar.world.server import Ledger
from headspar.world.service import Service, measure

LEAD_US = 400_000  # from the start of the nodes to the first arrival
CLOCK_START_US = 5_000_000  # the clock at the start of the nodes, so that none of them sees the time 0
TERM_NOTICE_US = 300_000  # until the front learns of a planned restart
DRAIN_NOTICE_US = 200_000  # until the front learns of the start or end of a drain
SHUTDOWN_TIMEOUT_US = 5_000_000  # a process whose shutdown takes longer is killed
OPS_CONNECTIONS = 16  # connections reserved for the operators' listener


class Tuning(msgspec.Struct, frozen=True):
    """Parameters of a run besides scenario and seed.

    ``settings`` overrides the nodes' settings object by dotted name, such as ``policy_limits.try_limit``;
    ``connections`` is the operator's table of that name."""

    settings: dict[str, Any] = {}
    connections: dict[str, Any] = {}
    policy: str = ""  # a reference policy of ``references.NAMES`` that replaces the decision module
    keeps: str = ""  # the snapshot that killed nodes restore, one of ``snapshots.MODES``; none if empty


class TuningError(ValueError):
    """A parameter is unknown or invalid; the message is one line that names it."""


class Result(msgspec.Struct):
    """The result of a run.  ``events``: callbacks that the event queue has run."""

    recording: Recording
    verdict: Verdict
    service: Service
    events: int
    accepted: int  # connections to servers
    discovery_calls: int  # calls to discovery
    plan_digest: str
    readings: list[Reading] = []  # the samples of a mixture

    def digest(self) -> str:
        """Returns the SHA-256 of all records, which is equal for identical runs."""
        r = self.recording
        return hashlib.sha256(msgspec.msgpack.encode((r.asks, r.sent, r.told, r.starts, r.marks))).hexdigest()


def tuned(raw: dict[str, Any], tuning: Tuning) -> dict[str, Any]:
    """Applies the overrides to a settings object, in place.  Raises ``TuningError`` for an unknown name."""
    for name, value in tuning.settings.items():
        *path, last = name.split(".")
        at: Any = raw
        for key in path:
            at = at.get(key) if isinstance(at, dict) else None
        if not isinstance(at, dict) or last not in at:
            raise TuningError(f"settings.{name}: there is no such setting")
        at[last] = value
    return raw


def connections_table(tuning: Tuning) -> ConnectionsTable:
    try:
        return ConnectionsTable(**tuning.connections)
    except (TypeError, OperatorError, ValueError) as error:
        raise TuningError(f"connections: {error}") from None


class _Run:
    """One run: the servers, nodes, discovery and callers on one event queue."""

    def __init__(self, scenario: Scenario, seed: int, tuning: Tuning, costs: Costs, plan: Plan | None,
                 noise: int, mixture: Mixture | None = None) -> None:
        self.s, self.seed, self.costs, self.noise = scenario, seed, costs, noise
        self.plan = plan if plan is not None else draw(scenario, seed)
        self.events = Events(CLOCK_START_US)
        self.began_at = CLOCK_START_US + LEAD_US
        self.delays = Delays(costs, seed, len(self.plan.calls), noise)
        self.ledger = Ledger(scenario, self.plan)
        self.marks: list[RunEvent] = []
        self.servers = {p.id: CashServer(self.events, self.ledger, p, self.delays) for p in self.plan.servers}
        names = node_names(scenario)
        self.endpoints: dict[str, Endpoint[Node]] = {name: Endpoint(name) for name in names}
        self.discovery = Discovery(self.events, scenario, self.plan, names)
        self.tuning, self.mixture = tuning, mixture or Mixture()
        self.readings: list[Reading] = []
        self.version = dict.fromkeys(names, "")
        self.work: dict[Node, Work] = {}  # counters of the running processes
        self.version_of: dict[Node, str] = {}
        if any(f.kind == "node_stop" for f in scenario.faults):
            raise TuningError("faults: node_stop: not supported by the model; use the lab")
        if tuning.policy not in ("", *references.NAMES):
            raise TuningError(f"policy: {tuning.policy!r} is not one of {', '.join(references.NAMES)}")
        self.policy = tuning.policy
        if tuning.keeps not in ("", *snapshots.MODES):
            raise TuningError(f"keeps: {tuning.keeps!r} is not one of {', '.join(snapshots.MODES)}")
        self.snapshots: dict[str, tuple[int, Beliefs]] = {}  # time of the kill and learned state, by node
        self.late_view: dict[str, float] = {}  # expected wait at each server as the policy ``late`` sees it, us
        self.mean_us = sum(c.work_us for c in self.plan.calls) / max(1, len(self.plan.calls))
        if self.policy == "late":
            self._update_late_view(dict.fromkeys(self.servers, 0.0))
        self.settings = [self._settings(i, tuning) for i in range(len(names))]
        self._check_mixture()
        self.max_connections = shares.whole(
            scenario.nodes.sockets, OPS_CONNECTIONS, self.settings[0].most_held).backends
        for server in self.servers.values():
            if server.plan.starts_at < 0:
                server.start(cold=False)
        for endpoint in self.endpoints.values():
            self._start(endpoint)
        self.callers = Callers(self.events, scenario, self.plan, self.delays, list(self.endpoints.values()),
                               self.began_at)
        for step in self.plan.steps:
            self.events.at(self.began_at + step.at, self._step, step)
        if mixture is not None:
            for change in mixture.changes:
                self.events.at(self.began_at + int(1e6 * change.at_s), self._change_version, change)
            self.events.at(self.began_at, self._sample, int(1e6 * mixture.every_s))

    def _settings(self, i: int, tuning: Tuning) -> Settings:
        try:
            return read_settings(tuned(settings(self.s, self.plan, i), tuning))
        except ValueError as error:
            raise TuningError(str(error)) from None

    # ------------------------------------------------------------ mixed versions

    def _check_mixture(self) -> None:
        """Raises ``TuningError`` for an invalid mixture."""
        self.tables = {name: connections_table(self._tuning_of(name)) for name in ("", *self.mixture.versions)}
        for name, version in self.mixture.versions.items():
            self._settings(0, self._tuning_of(name))
            if version.program:
                try:
                    load(version.program)
                except (OSError, AttributeError, SyntaxError, ImportError) as error:
                    raise TuningError(f"versions.{name}.program: {error}") from None
        for change in self.mixture.changes:
            if change.node not in self.endpoints:
                raise TuningError(f"changes: {change.node!r}: there is no such node")
            if change.version and change.version not in self.mixture.versions:
                raise TuningError(f"changes: {change.version!r}: there is no such version")

    def _tuning_of(self, version: str) -> Tuning:
        """Returns the parameters of nodes of a version."""
        if not version:
            return self.tuning
        v, base = self.mixture.versions[version], self.tuning
        return Tuning(base.settings | v.settings, base.connections | v.connections, base.policy, base.keeps)

    def _change_version(self, change: VersionChange) -> None:
        """Replaces a node's process with one of another version."""
        endpoint = self.endpoints[change.node]
        i = list(self.endpoints).index(change.node)
        self.version[change.node] = change.version
        self.settings[i] = self._settings(i, self._tuning_of(change.version))
        if change.way == "upgrade":
            self._node_step("node_upgrade", endpoint)
        else:
            self._node_step("node_term", endpoint)
            self._node_step("node_start", endpoint)

    def _answered(self, t: Any, leaves_at: int, status: int, retry_after_us: int) -> None:
        work = self.work.get(t.process)
        if work is not None:
            version = self.version_of[t.process]
            if version and status == 200:
                leaves_at += int(self.mixture.versions[version].later * (leaves_at - t.sent_at))
            work.answered(t, leaves_at, status)
        self.callers.answered(t, leaves_at, status, retry_after_us)

    def _sample(self, every: int) -> None:
        """Samples the counters of all nodes."""
        now = self.events.now
        at_s = (now - self.began_at) / 1e6
        for endpoint in self.endpoints.values():
            node = endpoint.process
            if node is None or not node.alive:
                continue
            work, version = self.work[node], self.version_of[node]
            up_s = (now - work.began) / 1e6
            counts = work.counts | {"attempts": float(node.attempted), "handshakes": float(node.opened),
                                    "broken": float(node.sent_after_grace), "cpu_ms": node.busy_us / 1000}
            leak = self.mixture.versions[version].leak_mb_min if version else 0.0
            gauges = {"memory_mb": MEMORY_MB + leak * up_s / 60, "servers": float(len(node.hosts)),
                      "cold": float(len(node.warming))}
            self.readings.append(Reading(at_s, endpoint.name, node.settings.zone, version,
                                         f"{endpoint.name}-{work.began}", up_s, counts, gauges))
        self.events.at(now + every, self._sample, every)

    # ------------------------------------------------------------ nodes

    def _start(self, endpoint: Endpoint[Node], old: Node | None = None) -> None:
        i = list(self.endpoints).index(endpoint.name)
        seed = random.Random(
            f"{self.seed}/{endpoint.name}" + (f"/{self.noise}" if self.noise else "")).getrandbits(64)
        version = self.version[endpoint.name]
        node = Node(endpoint.name, self.events, self.settings[i], seed, self.costs, self.delays, self.servers,
                    self.tables[version], self.max_connections, self._answered, self._send_to_peers)
        self.work[node], self.version_of[node] = Work(node.settings, self.events.now), version
        if version and self.mixture.versions[version].program:
            node.balancer = load(self.mixture.versions[version].program)(self.settings[i], seed)
        if self.policy:
            node.balancer = references.Reference(
                self.settings[i], seed, self.late_view.__getitem__ if self.policy == "late" else None)
        node.watcher = Watcher(self.discovery, node)
        node.on_end = lambda ended: self._exit(endpoint, ended)
        endpoint.process = node
        node.watcher.start()
        if old is not None:
            node.take_over(old)
        elif self.tuning.keeps and self.snapshots:
            self._restore_snapshot(endpoint, node)
        self.marks.append(RunEvent(self.events.now, "node_upgrade" if old else "node_start", endpoint.name))

    def _restore_snapshot(self, endpoint: Endpoint[Node], node: Node) -> None:
        """Restores the snapshot of a node that starts after a kill, as far as it is accepted."""
        names, mode = list(self.endpoints), self.tuning.keeps
        of = names[(names.index(endpoint.name) + 1) % len(names)] if mode == snapshots.OTHER else endpoint.name
        if of in self.snapshots:
            at, beliefs = self.snapshots[of]
            accepted = snapshots.accepted_part(mode, beliefs, of, at, endpoint.name, node.settings, self.events.now)
            node.restore(accepted.beliefs)

    def _update_late_view(self, before: dict[str, float]) -> None:
        """Publishes the state of ``STATE_AGE_US`` ago to the policy ``late`` and samples the current state."""
        self.late_view.update(before)
        now = {id: server.expected_wait_us(references.EXTRA_REQUESTS * self.mean_us)
               for id, server in self.servers.items()}
        self.events.at(self.events.now + references.STATE_AGE_US, self._update_late_view, now)

    def _exit(self, endpoint: Endpoint[Node], node: Node) -> None:
        node.watcher.close()
        self.work.pop(node, None)
        self.version_of.pop(node, None)
        self.marks.append(RunEvent(self.events.now, "node_exit", endpoint.name, "ended"))

    def _send_to_peers(self, sender: Node, data: bytes) -> None:
        me = sender.settings.me
        for i, endpoint in enumerate(self.endpoints.values()):
            if i != me and endpoint.process is not None:
                self.events.at(self.events.now + PEER_DELAY_US, endpoint.process.on_peer_message, me, data)

    def _kill(self, endpoint: Endpoint[Node]) -> None:
        node = endpoint.process
        if node is None or not node.alive:
            return
        self.marks.append(RunEvent(self.events.now, "node_kill", endpoint.name))
        if self.tuning.keeps:
            self.snapshots[endpoint.name] = (
                self.events.now, Beliefs(None, node.balancer.experience(), node.plan.learned()))
        node.kill()
        self._exit(endpoint, node)
        self.callers.killed(endpoint)

    # ------------------------------------------------------------ steps

    def _step(self, step: Step) -> None:
        now = self.events.now
        if step.targets == ["d"]:
            self.marks.append(RunEvent(now, step.kind, "discovery"))
            self.discovery.apply(step.kind)
            return
        if step.targets == ["c"]:
            mend = step.kind == "mend"
            self.marks.append(RunEvent(now, step.text if mend else step.kind, "callers", step.kind))
            return
        for target in step.targets:
            endpoint = self.endpoints.get(target)
            if endpoint is not None:
                self._node_step(step.kind, endpoint)
                continue
            value = step.value if step.kind == "slow" else step.share
            what = step.text if step.kind == "mend" else step.kind
            self.marks.append(RunEvent(now, what, target, step.kind, value))
            self.servers[target].apply(step)
            if step.kind in ("start", "drain", "die"):
                self.discovery.server_changed(step.kind, target)

    def _node_step(self, kind: str, endpoint: Endpoint[Node]) -> None:
        now, node = self.events.now, endpoint.process
        schedule = self.events.at
        if kind == "node_term" and node is not None:
            self.marks.append(RunEvent(now, kind, endpoint.name))
            node.shut_down()
            schedule(now + TERM_NOTICE_US, self._set_endpoint_up, endpoint, False)
        elif kind == "node_kill":
            self._kill(endpoint)
            schedule(now + int(self.s.callers.notice_s * 1e6), self._mark_down_if_dead, endpoint)
        elif kind == "node_start":
            if node is not None and node.alive:
                schedule(now + SHUTDOWN_TIMEOUT_US, self._kill_late, endpoint, node)
                node.on_end = lambda ended: self._exit_and_spawn(endpoint, ended)
            else:
                self._spawn(endpoint)
        elif kind == "node_upgrade" and node is not None:
            schedule(now + self.costs.start_us, self._upgrade, endpoint, node)
        elif kind in ("node_drain", "node_undrain"):
            self.marks.append(RunEvent(now, kind, endpoint.name))
            schedule(now + DRAIN_NOTICE_US, self._set_endpoint_up, endpoint, kind == "node_undrain")
        elif kind == "node_hup":
            self.marks.append(RunEvent(now, kind, endpoint.name))

    def _kill_late(self, endpoint: Endpoint[Node], node: Node) -> None:
        if node.alive and endpoint.process is node:
            self._kill(endpoint)
            self._spawn(endpoint)

    def _exit_and_spawn(self, endpoint: Endpoint[Node], node: Node) -> None:
        self._exit(endpoint, node)
        self._spawn(endpoint)

    def _spawn(self, endpoint: Endpoint[Node]) -> None:
        self.events.at(self.events.now + self.costs.start_us, self._ready, endpoint)

    def _ready(self, endpoint: Endpoint[Node]) -> None:
        self._start(endpoint)
        endpoint.up = True

    def _upgrade(self, endpoint: Endpoint[Node], old: Node) -> None:
        if old.alive:
            self._start(endpoint, old)
            self.marks.append(RunEvent(self.events.now, "node_term", endpoint.name))
            old.shut_down()

    def _set_endpoint_up(self, endpoint: Endpoint[Node], up: bool) -> None:
        endpoint.up = up

    def _mark_down_if_dead(self, endpoint: Endpoint[Node]) -> None:
        if endpoint.process is None or not endpoint.process.alive:
            endpoint.up = False

    # ------------------------------------------------------------ run

    def run(self) -> Result:
        length = int(self.s.length_s * 1e6)
        max_attempt_s = max(c.deadline_ms for c in self.s.classes) / 1000 + 0.5
        retries = self.s.callers.retries
        tail_us = int(1e6 * min(60.0, (retries + 1) * max_attempt_s + retries * 2.5))
        self.events.run(self.began_at + length)
        end = self.began_at + length + tail_us
        while self.callers.calls_in_progress and self.events.now < end:
            self.events.run(min(end, self.events.now + 100_000))
        self.events.run(self.events.now + 200_000)
        now = self.events.now
        for row in self.ledger.rows:
            row.ended_at = row.ended_at or now
        attempts = sorted(self.callers.finished_attempts, key=lambda a: (a.ended_at, a.call, a.attempt))
        recording = Recording(
            audit_parameters(self.s, self.plan, self.began_at), attempts, self.ledger.rows,
            self.discovery.sent_updates, self.ledger.starts, self.marks + self.ledger.marks,
            [Lateness("callers 0", 1, 0, 0, 0), Lateness("fleet", 1, 0, 0, 0)],
            accepted=sorted((at, id) for id, server in self.servers.items() for at in server.accepted),
            asked=self.discovery.calls,
        )
        if self.callers.calls_in_progress:
            recording.missing.append(f"{self.callers.calls_in_progress} client attempts that had not ended")
        return Result(recording, audit(recording), measure(recording), self.events.called, len(recording.accepted),
                      len(self.discovery.calls), self.plan.digest(), self.readings)


def simulate(scenario: Scenario, seed: int, tuning: Tuning | None = None, costs: Costs | None = None,
             plan: Plan | None = None, noise: int = 0, mixture: Mixture | None = None) -> Result:
    """Runs a scenario under a seed.

    ``plan`` replaces the plan drawn from scenario and seed, for example by one made from recorded traffic.  Another
    ``noise`` keeps arrivals, work and faults and changes the delays and the random choices of the nodes.  ``mixture``
    runs nodes of several versions.  Raises ``TuningError`` for an unknown or invalid parameter."""
    gc_was_enabled = gc.isenabled()
    gc.disable()  # collecting the cycles of requests and client attempts takes a fifth of the run time
    try:
        return _Run(scenario, seed, tuning or Tuning(), costs or Costs(), plan, noise, mixture).run()
    finally:
        if gc_was_enabled:
            gc.enable()
