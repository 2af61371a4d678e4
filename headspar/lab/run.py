"""Carries out a run: starts, times and stops its processes, then audits their records."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from headspar.lab.callers import CallerRecords
from headspar.lab.children import Child, Hosts, now_us
from headspar.lab.discovery import Discovery
from headspar.lab.fault_proxy import FleetProxies
from headspar.lab.fleet import FleetRecords
from headspar.lab.links import Stream
from headspar.lab.nodes import NodeProcess, Peers, free_address
from headspar.lab.result import Result, RunError
from headspar.lab.sockets import open_idle_connections
from headspar.world.audit import audit
from headspar.world.mass_failures import without_failure
from headspar.world.plan import Step, draw, node_names
from headspar.world.records import Recording, RunEvent, encode, lateness
from headspar.world.rules import audit_parameters, settings
from headspar.world.scenario import Scenario, to_json
from headspar.world.service import measure

READY_S = 30.0  # time-out for a process to get ready
START_DELAY_US = 400_000  # between the last process getting ready and the first arrival
TERM_NOTICE_S = 0.3  # delay until the front learns of a planned restart
DRAIN_NOTICE_S = 0.2  # delay until the front learns of a drain or of its end
MAX_COUNTED_DEADLINE_S = 3.0  # the longest deadline counts as this at most before SIGKILL
KILL_AFTER_DEADLINE_S = 0.7  # from the longest deadline after SIGTERM to SIGKILL
LATENESS_INTERVAL_S = 0.05
PROXIES = "fleet proxies"  # whose lateness counts as the servers'
TRUTH = "truth.bin"  # the records of the run, in the folder of the nodes' flight records


Progress = Callable[[dict[str, Any]], None]


class Run:
    """The processes of one run."""

    def __init__(self, scenario: Scenario, seed: int, dir: Path, on_progress: Progress | None = None,
                 command: list[str] | None = None, record: bool = False, operator: Path | None = None,
                 with_node_faults: bool = True) -> None:
        """``command`` starts a program in place of the real node; tests use it for relays with known flaws.
        ``record``: each node writes its flight record, and the lab the records of the run, to ``dir``.
        ``operator``: the operator's settings file of all nodes.  ``with_node_faults``: False leaves out the steps
        that hit nodes, and nothing else."""
        self.s, self.seed, self.dir, self.command, self.record = scenario, seed, dir, command, record
        self.operator = operator
        self.plan = draw(scenario, seed)
        self.steps = (self.plan if with_node_faults else without_failure(self.plan)).steps
        self.on_progress = on_progress
        self.hosts = Hosts()
        self.nodes: dict[str, NodeProcess] = {}
        self.children: list[Child] = []
        self.callers: list[Child] = []
        self.fleet: Child | None = None
        self.discovery: Discovery | None = None
        self.peers: Peers | None = None
        self.marks: list[RunEvent] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.lateness_us: list[int] = []
        self.missing: list[str] = []
        self.state: dict[str, Any] = {"servers": {}, "callers": {}, "at_s": 0.0, "marks": []}
        self.reported_down: set[str] = set()
        self.began_at = 0
        self.figures: dict[str, dict[str, Any]] = {}
        self.start_lock = asyncio.Lock()
        self.crowds: dict[str, list[asyncio.StreamWriter]] = {}  # idle connections that fill a node's descriptors
        self.relayed = 0  # number of nodes that reach discovery and servers through relays
        self.discovery_relays: dict[str, Stream] = {}
        self.server_relays: dict[tuple[str, str], Stream] = {}  # by node and server
        self.proxies = FleetProxies(scenario.links, self.hosts, seed) if scenario.links is not None else None

    # ------------------------------------------------------------ start

    async def _start(self) -> None:
        s, names = self.s, node_names(self.s)
        task = {"scenario": to_json(s).decode(), "seed": self.seed}
        self.fleet = await self._child("fleet", {**task, "out": str(self.dir / "fleet.bin")})
        for i in range(s.callers.processes):
            listens = {name: free_address(self.hosts.next()) for name in names} if not self.nodes else None
            if listens is not None:
                self._configure_nodes(names, listens)
            child = await self._child(f"callers-{i}", {
                **task, "part": i, "parts": s.callers.processes, "out": str(self.dir / f"callers-{i}.bin"),
                "nodes": {n.name: f"{n.listen[0]}:{n.listen[1]}" for n in self.nodes.values()},
            }, "callers")
            self.callers.append(child)
        ready = await self.fleet.expect("ready", READY_S)
        self._check_plan(ready)
        self.discovery = Discovery(s, self.plan, names, self.hosts.next())
        await self.discovery.start(ready["addresses"])
        if s.nodes.peers:
            await self._start_peers()
        for node in self.nodes.values():
            await self._start_node(node)
        for node in self.nodes.values():
            if not await node.ready(READY_S):
                tail = node.log.read_text(errors="replace").strip().splitlines()[-2:]
                raise RunError(f"node {node.name} did not get ready: {' / '.join(tail) or 'its log is empty'}")
        for child in self.callers:
            self._check_plan(await child.expect("ready", READY_S))

    def _check_plan(self, ready: dict[str, Any]) -> None:
        if ready["digest"] != self.plan.digest():
            raise RunError("a process of the lab drew a different plan from the same seed")

    async def _child(self, name: str, task: dict[str, Any], module: str = "") -> Child:
        child = await Child.start(name, f"headspar.lab.{module or name}", task, self.dir / f"{name}.log")
        child.on_event = self._progress
        self.children.append(child)
        return child

    def _configure_nodes(self, names: list[str], listens: dict[str, tuple[str, int]]) -> None:
        limits = {"cores": 1.0, "memory_mb": self.s.nodes.memory_mb, "sockets": self.s.nodes.sockets}
        for i, name in enumerate(names):
            config = {
                "name": name, "seed": f"{random.Random(f'{self.seed}/{name}').getrandbits(64):016x}",
                "limits": limits, "settings": settings(self.s, self.plan, i), "known": {},
            }
            self.nodes[name] = NodeProcess(name, config, listens[name], self.dir)
            if self.command is not None:
                self.nodes[name].command = self.command
            self.nodes[name].operator = self.operator
            if self.record:
                self.nodes[name].record()

    async def _start_peers(self) -> None:
        nodes = list(self.nodes.values())
        listens = [free_address(self.hosts.next()) for _ in nodes]
        self.peers = Peers(listens, self.hosts.next(), random.Random(f"{self.seed}/datagrams"))
        await self.peers.start()
        texts = [f"{a[0]}:{a[1]}" for a in self.peers.addresses]
        for node, listen in zip(nodes, listens, strict=True):
            node.config |= {"peer_listen": f"{listen[0]}:{listen[1]}", "peers": texts[:-1], "peers_all": texts[-1]}

    async def _insert_relays(self, name: str) -> None:
        """Inserts relays between a node and discovery and each server; discovery then lists the relays' addresses."""
        assert self.discovery is not None
        stream = self.discovery_relays[name] = Stream(self.discovery.endpoints[name].address, self.hosts.next())
        await stream.start()
        for server, addresses in self.discovery.addresses.items():
            host, _, port = addresses[name].rpartition(":")
            stream = self.server_relays[name, server] = Stream((host, int(port)), self.hosts.next())
            await stream.start()
            addresses[name] = f"{stream.address[0]}:{stream.address[1]}"

    def _discovery_address(self, name: str) -> tuple[str, int]:
        """The address at which a node reaches discovery, without proxies."""
        assert self.discovery is not None
        relay = self.discovery_relays.get(name)
        return relay.address if relay is not None else self.discovery.endpoints[name].address

    async def _proxied_discovery_address(self, name: str) -> tuple[str, int]:
        address = self._discovery_address(name)
        return address if self.proxies is None else await self.proxies.discovery_address(name, address)

    def _start_list(self, name: str) -> dict[str, Any]:
        """The list of servers that a node is given at its start."""
        assert self.discovery is not None
        return self.discovery.known(name)

    async def _start_node(self, node: NodeProcess) -> None:
        assert self.discovery is not None
        if len(self.discovery_relays) < self.relayed and node.name not in self.discovery_relays:
            await self._insert_relays(node.name)
        if self.proxies is not None:
            await self.proxies.insert_servers(node.name, self.discovery.addresses)
        # Starting a process blocks this one for some milliseconds.  Starts that are due together run one per round of
        # the loop, so that other work here is not delayed by the sum of them.
        async with self.start_lock:
            known = self._start_list(node.name)
            await node.start(known, await self._proxied_discovery_address(node.name))
            self.discovery.record_start_list(node.name, known)
            await asyncio.sleep(0.002)

    # ------------------------------------------------------------ during the run

    def _progress(self, event: dict[str, Any]) -> None:
        if event["part"] == "fleet":
            self.state["servers"] = event["servers"]
            for id, row in event["servers"].items():
                if row[0] == "down" and id not in self.reported_down and self._crashed_by_itself(id):
                    self.reported_down.add(id)
                    self._mark("fell", id)
                    assert self.discovery is not None
                    self.discovery.schedule_change("die", id, now_us())
        else:
            self.state["callers"][event["number"]] = event
        self.state["at_s"] = max(0.0, (now_us() - self.began_at) / 1e6) if self.began_at else 0.0
        if self.on_progress is not None:
            self.on_progress(self.state)

    def _crashed_by_itself(self, id: str) -> bool:
        """Whether a server that is down was not taken down by a step of the plan."""
        now = now_us() - self.began_at
        applied = [x for x in self.steps if id in x.targets and x.kind in ("die", "start") and x.at <= now + 1e6]
        entry = next(p for p in self.plan.servers if p.id == id)
        if not applied:
            return entry.starts_at < 0 and self.began_at > 0
        return applied[-1].kind == "start" and applied[-1].at < now - 1e6

    def _mark(self, what: str, target: str, text: str = "", value: float = 0.0) -> None:
        self.marks.append(RunEvent(now_us(), what, target, text, value))
        self.state["marks"].append((what, target))

    async def _steps(self) -> None:
        for step in self.steps:
            await asyncio.sleep(max(0.0, (self.began_at + step.at - now_us()) / 1e6))
            self.lateness_us.append(max(0, now_us() - self.began_at - step.at))
            await self._step(step)

    async def _step(self, step: Step) -> None:
        assert self.discovery is not None
        at = self.began_at + step.at
        if step.targets == ["d"]:
            self._mark(step.kind, "discovery")
            await self.discovery.apply(step.kind)
            if step.kind == "discovery_move":
                for node in self.nodes.values():
                    self._spawn_task(self._node_step("node_hup", node))
            return
        if step.targets == ["c"]:
            mend = step.kind == "mend"
            self._mark(step.text if mend else step.kind, "callers", step.kind)
            return
        for target in step.targets:
            if target in self.nodes:
                self._spawn_task(self._node_step(step.kind, self.nodes[target], step.value))
                continue
            value = step.value if step.kind == "slow" else step.share
            self._mark(step.text if step.kind == "mend" else step.kind, target, step.kind, value)
            if step.kind in ("start", "drain", "die"):
                self.discovery.schedule_change(step.kind, target, at)

    async def _node_step(self, kind: str, node: NodeProcess, value: float = 0.0) -> None:
        assert self.discovery is not None
        if kind == "node_term":
            await self._restart_as_planned(node)
        elif kind == "node_crowd":
            self.crowds[node.name] = await open_idle_connections(node.listen, int(value))
            self._mark("crowd", node.name, value=len(self.crowds[node.name]))
        elif kind == "node_crowd_end":
            for writer in self.crowds.pop(node.name, []):
                writer.transport.abort()
        elif kind == "node_kill":
            node.signal(signal.SIGKILL, kind)
            await asyncio.sleep(self.s.callers.notice_s)
            if node.process is not None and node.process.returncode is not None:
                self._notify_front(node, False)
        elif kind == "node_stop":
            node.signal(signal.SIGSTOP, kind)
            await asyncio.sleep(self.s.callers.notice_s)
            if node.stopped:
                self._notify_front(node, False)
        elif kind == "node_cont":
            node.signal(signal.SIGCONT, kind)
            if await node.ready(READY_S):
                self._notify_front(node, True)
        elif kind == "node_hup":
            node.configure(await self._proxied_discovery_address(node.name))
            # Not before the node is ready: its program may not have installed the signal handler yet.
            if await node.ready(READY_S):
                node.signal(signal.SIGHUP, kind)
        elif kind == "node_upgrade":
            await self._upgrade(node)
        elif kind in ("node_drain", "node_undrain"):
            node.marks.append(RunEvent(now_us(), kind, node.name))
            status, _ = await node.call("/healthcheck/fail" if kind == "node_drain" else "/healthcheck/ok", "POST")
            if status != 200:
                raise RunError(f"{node.name} answered status {status} to an operator's request")
            await asyncio.sleep(DRAIN_NOTICE_S)
            self._notify_front(node, kind == "node_undrain")
        elif kind == "node_start":
            if node.process is not None and node.process.returncode is None:
                try:
                    async with asyncio.timeout(5):
                        await node.process.wait()
                except TimeoutError:
                    node.signal(signal.SIGKILL, "node_kill")
                    await node.process.wait()
            await self._start_node(node)
            if await node.ready(READY_S):
                self._notify_front(node, True)

    async def _restart_as_planned(self, node: NodeProcess) -> None:
        """Sends SIGTERM, and SIGKILL to a process that still runs at the earliest time that the protocol allows."""
        process = node.process
        running = process is not None and process.returncode is None
        node.signal(signal.SIGTERM, "node_term")
        await asyncio.sleep(TERM_NOTICE_S)
        self._notify_front(node, False, reuse=self.s.callers.use_until_killed)
        if not self.s.nodes.kill_at_once or not running or process is None:
            return
        longest_s = min(MAX_COUNTED_DEADLINE_S, max(c.deadline_ms for c in self.s.classes) / 1000)
        await asyncio.sleep(longest_s + KILL_AFTER_DEADLINE_S - TERM_NOTICE_S)
        if process.returncode is None and process is node.process:
            node.signal(signal.SIGKILL, "node_overdue_kill")  # excuses nothing, unlike ``node_kill``
        self._notify_front(node, False)

    async def _upgrade(self, node: NodeProcess) -> None:
        """Starts a new process of the node, and sends SIGTERM to the old one once the new one is ready."""
        assert self.discovery is not None
        old_process = await node.start_new_process(self.discovery.known(node.name),
                                                   await self._proxied_discovery_address(node.name))
        if not await node.wait_ops_ready(READY_S):
            raise RunError(f"{node.name}: the new process did not get ready")
        node.terminate_old_process(old_process)

    async def _collect_stats(self) -> None:
        """Reads each node's statistics after the last call; a program in place of a node may not provide them."""
        for node in self.nodes.values():
            with contextlib.suppress(OSError, IndexError, ValueError):
                self.figures[node.name] = (await node.call("/stats"))[1]

    def _notify_front(self, node: NodeProcess, up: bool, reuse: bool = False) -> None:
        for child in self.callers:
            child.send_command({"cmd": "node", "node": node.name, "up": up, "reuse": reuse})

    def _spawn_task(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.missing.append(f"a step of the plan ({task.exception()})")

    async def _measure_lateness(self) -> None:
        while True:
            due = now_us() + int(LATENESS_INTERVAL_S * 1e6)
            await asyncio.sleep(LATENESS_INTERVAL_S)
            self.lateness_us.append(max(0, now_us() - due - 1000))

    # ------------------------------------------------------------ the run

    async def run(self) -> Result:
        """Carries out the run.  All its processes are stopped at the end, also after an error."""
        try:
            await self._start()
            self.began_at = now_us() + START_DELAY_US
            for child in (*self.callers, self.fleet):
                assert child is not None
                child.send_command({"cmd": "start", "at": self.began_at})
            self._spawn_task(self._steps())
            self._spawn_task(self._measure_lateness())
            await asyncio.sleep(START_DELAY_US / 1e6 + self.s.length_s)
            await self._await_script()
            timeout_s = self._drain_timeout_s()
            for child in self.callers:
                child.send_command({"cmd": "finish", "within_s": timeout_s})
            for child in self.callers:
                await self._await_finished(child, timeout_s + 15)
            assert self.fleet is not None
            await asyncio.sleep(0.2)
            self.fleet.send_command({"cmd": "finish"})
            await self._await_finished(self.fleet, 15)
            await self._collect_stats()
            await asyncio.gather(*(node.end() for node in self.nodes.values()))
            return self._result()
        except RuntimeError as error:
            raise RunError(str(error)) from None
        finally:
            await self._close()

    async def _await_script(self) -> None:
        """Waits for anything besides the traffic that has to end before the processes are stopped."""

    def _drain_timeout_s(self) -> float:
        """Upper bound, in seconds, for the last attempts, retries and pauses to end."""
        spec = self.s.callers
        longest = max(c.deadline_ms for c in self.s.classes) / 1000 + 0.5
        longest += max((f.delay_ms or 0.0 for f in self.s.faults if f.kind == "long"), default=0.0) / 1000
        return min(60.0, (spec.retries + 1) * longest + spec.retries * 2.5)

    async def _await_finished(self, child: Child, seconds: float) -> None:
        try:
            await child.expect("finished", seconds)
        except RuntimeError as error:
            self.missing.append(str(error))

    async def _close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for stream in (*self.discovery_relays.values(), *self.server_relays.values()):
            stream.close()
        if self.proxies is not None:
            self.proxies.close()
        for writers in self.crowds.values():
            for writer in writers:
                writer.transport.abort()
        for node in self.nodes.values():
            node.kill()
        await asyncio.gather(*(child.close() for child in self.children), return_exceptions=True)
        for node in self.nodes.values():
            if node.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    await node.process.wait()
        if self.discovery is not None:
            self.discovery.close()
        if self.peers is not None:
            self.peers.close()

    # ------------------------------------------------------------ records

    def _result(self) -> Result:
        assert self.discovery is not None
        recording = Recording(audit_parameters(self.s, self.plan, self.began_at))
        for i in range(len(self.callers)):
            part = self._read(f"callers-{i}.bin", CallerRecords)
            if part is not None:
                recording.asks += part.asks
                recording.lateness += part.lateness
                if part.unfinished:
                    self.missing.append(f"{part.unfinished} tries that had not ended")
        fleet = self._read("fleet.bin", FleetRecords)
        if fleet is not None:
            recording.sent, recording.starts = fleet.sent, fleet.starts
            recording.marks += fleet.marks
            recording.strangers, recording.accepted = fleet.strangers, fleet.accepted
            if fleet.forgotten_early:
                self.missing.append(f"{fleet.forgotten_early} keys that servers dropped before their window ended")
            recording.lateness += fleet.lateness
        recording.told, recording.asked = self.discovery.notifications, self.discovery.requests
        recording.figures = self.figures
        recording.marks += self.marks
        for node in self.nodes.values():
            recording.marks += node.marks
        recording.lateness.append(lateness("discovery", self.lateness_us))
        if self.proxies is not None:  # what they delay, servers receive late
            recording.lateness.append(lateness(PROXIES, self.lateness_us))
        recording.missing = self.missing
        if self.record:
            (self.dir / TRUTH).write_bytes(encode(recording))
        return Result(self.s.name, self.seed, self.plan.digest(), self.plan.rps, audit(recording),
                      measure(recording), recording, self.proxies.counts() if self.proxies is not None else {})

    def _read(self, name: str, what: type[Any]) -> Any:
        try:
            return msgspec.msgpack.decode((self.dir / name).read_bytes(), type=what)
        except (OSError, msgspec.MsgspecError) as error:
            self.missing.append(f"{name} ({error})")
            return None


def run_scenario(scenario: Scenario, seed: int, dir: Path, on_progress: Progress | None = None,
                 command: list[str] | None = None, record: bool = False, operator: Path | None = None,
                 with_node_faults: bool = True) -> Result:
    """Runs a scenario on a new event loop; ``Run`` describes the parameters.

    Raises ``RunError`` if it cannot be carried out.
    """
    return play(Run(scenario, seed, dir, on_progress, command, record, operator, with_node_faults))


def play(run: Run) -> Result:
    """Carries out a run on a new event loop.  Raises ``RunError`` if it cannot be carried out."""
    import uvloop

    run.dir.mkdir(parents=True, exist_ok=True)
    if sys.platform == "win32":  # pragma: no cover
        raise RunError("the lab needs a POSIX system")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run.run())
