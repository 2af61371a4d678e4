"""The keeper process: executes the actions of ``core``, polls the node and serves controllers' commands."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from headspar.config import ConfigError, parse_address
from headspar.events import Events
from headspar.failpoints import failpoint
from headspar.identity import NO_HANDOVER, boot_id, settings_digest
from headspar.keeper import messages as m
from headspar.keeper import processes
from headspar.keeper.backoff import BackoffSettings, RestartBackoff
from headspar.keeper.commands import apply_command, check_command
from headspar.keeper.core import (
    Action,
    Core,
    Course,
    Drain,
    DurableState,
    Kill,
    Phase,
    Proc,
    Reload,
    Start,
    Term,
    Timing,
    Undrain,
)
from headspar.keeper.fence import Fence
from headspar.keeper.generations import GenerationError, Store, digest
from headspar.keeper.node_client import Address, call, healthy
from headspar.keeper.processes import Handle
from headspar.keeper.state import ProcessRecord, Saved, StateError, StateFile
from headspar.operator_file import KeeperTable

TICK_S = 0.05
READINESS_POLL_S = 0.05  # interval of health checks of a process that starts or drains
POLL_S = 0.5  # interval of polls of the serving process
UNRESPONSIVE_S = 3.0  # without an answer for this time the node is reported, and a trial not yet proven is killed
CONNECTION_TIMEOUT_S = 5.0  # for a controller to send its line, and again to read the reply
MAX_CONNECTIONS = 32  # of controllers, at once


class HostError(Exception):
    """The keeper can't run; the text is a single line."""


class MachineConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The machine-specific part of the node's configuration, read again at each start of a process.

    ``config``: keys of the node's file other than ``settings`` (seed, limits, known, peers ...); ``settings``:
    overrides of the generation's settings (its number, its zone).  ``ops``: the two operators' addresses that
    successive processes use in turn."""

    name: str
    site: str
    listen: str
    discovery: str
    ops: tuple[str, str]
    config: dict[str, Any]
    settings: dict[str, Any] = {}


def read_machine_config(path: Path) -> MachineConfig:
    """Read and check the machine's configuration; ``HostError`` names the file and the fault."""
    try:
        machine = msgspec.json.decode(path.read_bytes(), type=MachineConfig)
        for field, text in (("listen", machine.listen), ("ops[0]", machine.ops[0]), ("ops[1]", machine.ops[1])):
            parse_address(text, field)
    except OSError as error:
        raise HostError(f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, ConfigError) as error:
        raise HostError(f"{path}: {error}") from None
    if machine.ops[0] == machine.ops[1]:
        raise HostError(f"{path}: ops: needs two different addresses, as two processes run at once during an upgrade")
    return machine


class NodeProcess:
    """A process of the node: its key in ``Core``, its handle, generation and operators' address; ``task`` waits until
    it is ready."""

    def __init__(self, key: int, handle: Handle, generation: str, ops: str) -> None:
        self.key, self.handle, self.generation, self.ops = key, handle, generation, ops
        self.task: asyncio.Task[None] | None = None

    @property
    def address(self) -> Address:
        return parse_address(self.ops, "ops")


class Host:
    """One keeper.  ``run`` runs it; ``take`` answers one message."""

    def __init__(self, table: KeeperTable, events: Events, environ: dict[str, str]) -> None:
        self.table, self.events, self.environ = table, events, environ
        self.folder = Path(table.folder).absolute()
        self.machine_path = Path(table.host).absolute()
        self.machine = read_machine_config(self.machine_path)
        try:
            for name in ("run", "tmp", "pycache"):
                (self.folder / name).mkdir(parents=True, exist_ok=True)
            self.store = Store(self.folder / "generations")
        except OSError as error:
            raise HostError(f"{error.filename}: {error.strerror}") from None
        self.state = StateFile(self.folder)
        backoff = RestartBackoff(BackoffSettings(table.pause_s, table.ceiling_s, table.spread_s, table.healthy_s),
                                 random.Random())
        timing = Timing(table.start_s, table.drain_s, table.end_s)
        self.core = Core(timing, backoff, self.store.only_settings, self._log_transition)
        self.fence = Fence()
        self.node_processes: dict[int, NodeProcess] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.fetching = ""
        self.figures, self.figures_at = m.Figures(), float("-inf")
        self.last_reading = (0, 0.0, 0)  # total of answers, time of the reading, pid
        self.identity: dict[str, Any] = {}
        self.silent_since = -1.0
        self.connections = 0
        self.disk_failed = False
        self.began, self.serial = time.time(), 0
        self.stopping = asyncio.Event()
        self.recovered = asyncio.Event()

    # ------------------------------------------------------------ start and end

    async def run(self) -> None:
        """Supervise the node until SIGTERM.  The node keeps running when the keeper stops.  ``HostError`` if the
        listener can't be opened or the first generation is unusable."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        host, port = parse_address(self.table.listen, "keeper.listen")
        try:
            server = await asyncio.start_server(self._serve_connection, host, port, limit=m.MAX_LINE)
        except OSError as error:
            raise HostError(f"keeper.listen: {self.table.listen}: {error.strerror or error}") from None
        await self._recover()
        self.recovered.set()
        self._spawn(self._tick_loop())
        self._spawn(self._poll_loop())
        await self.stopping.wait()
        server.close()
        for task in list(self.tasks):
            task.cancel()
        self.events.emit("keeper.stopped", name=self.machine.name)

    def _log_transition(self, table: str, before: str, cause: str, after: str) -> None:
        self.events.emit("keeper.moved", table=table, before=before, cause=cause, after=after)

    async def _recover(self) -> None:
        """Continue from the state on disk and from the identity that the node reports."""
        now = time.monotonic()
        saved = None
        try:
            saved = self.state.read()
        except StateError as error:
            self.events.emit("keeper.state_lost", why=str(error))
        epoch, step = self.state.read_fence()
        durable = saved.lasting if saved is not None else DurableState()
        self.fence = saved.fence if saved is not None else Fence()
        known = {(k.pid, k.started): k for k in (saved.processes if saved is not None else [])}
        for ops in self.machine.ops:
            with contextlib.suppress(OSError, ConfigError):
                found = await self._identify(ops)
                epoch = max(epoch, int(found.get("epoch") or 0))
                key = (int(found["pid"]), int(found["started"]))
                ready = (await call(parse_address(ops, "ops"), "/healthcheck"))[0] == 200
                role = "serving" if ready else known[key].role if key in known else ""
                known[key] = ProcessRecord(*key, str(found["boot"]), self._generation(found), ops, role, ready)
        if (epoch, step) > (self.fence.epoch, self.fence.step):
            answer = self.fence.answer if step == self.fence.step else None
            self.fence = Fence(max(epoch, self.fence.epoch), max(step, self.fence.step), answer)
        procs, serving, starting = [], None, None
        answering = [k for k in known.values() if k.role == "serving" and k.ready]
        for number, k in enumerate(known.values(), 1):
            handle = Handle.find(k.pid, k.started, k.boot)
            if isinstance(handle, str):
                if handle != "gone":
                    self.events.emit("keeper.not_ours", pid=k.pid, why=handle)
                continue
            self.events.emit("keeper.process_found", pid=k.pid, generation=k.generation, ready=k.ready)
            process = NodeProcess(number, handle, k.generation, k.ops)
            self.node_processes[number] = process
            procs.append(Proc(number, k.generation, now, now if k.ready else -1.0))
            if k.ready and k.role == "serving" and (serving is None or k is answering[-1]):
                serving = number
            elif k.role == "coming":
                starting = number
            self._watch(process)
        if serving is None and starting is None and procs:  # runs without answering: treat it as starting
            starting = procs[-1].key
        if not durable.present and not procs:
            durable.present = self._first_generation()
        if starting is not None:
            self._spawn(self._wait_until_ready(self.node_processes[starting]))
        self.core.resume(durable, procs, serving, starting, now)
        self.events.emit("keeper.started", name=self.machine.name, pid=os.getpid(), found=len(procs),
                         state=self.core.state)
        self._execute(self.core.advance(now))

    async def _identify(self, ops: str) -> dict[str, Any]:
        """The identity reported at an operators' address; ``OSError`` if it is not this machine's node."""
        status, found = await call(parse_address(ops, "ops"), "/identity")
        if status != 200 or found.get("name") != self.machine.name:
            raise OSError("another program answers at this address")
        if not all(isinstance(found.get(key), int) for key in ("pid", "started")):
            raise OSError("the identity lacks pid or start time")
        return found

    def _generation(self, found: dict[str, Any]) -> str:
        """The generation that a process runs, from its reported identity: its settings may have been reloaded since
        its start."""
        named = str(found.get("generation") or "")
        if self._matches(named, found):
            return named
        return next((name for name in self.store.names() if self._matches(name, found)), named)

    def _matches(self, name: str, found: dict[str, Any]) -> bool:
        """Whether an identity has the program and the effective settings of a generation."""
        if not self.store.has(name):
            return False
        with contextlib.suppress(OSError, GenerationError):
            return (self.store.program(name)[0] == found.get("program")
                    and settings_digest(self._settings(name)) == found.get("settings"))
        return False

    def _first_generation(self) -> str:
        """Copy the generation of ``keeper.first``, with which a new machine starts; returns its name, or "" if the
        key is not set."""
        if not self.table.first:
            return ""
        try:
            name = digest(Path(self.table.first))
            self.store.fetch(Path(self.table.first), name)
            return name
        except GenerationError as error:
            raise HostError(f"keeper.first: {error}") from None

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error

    # ------------------------------------------------------------ actions

    def _execute(self, actions: list[Action]) -> None:
        """Execute actions after saving the state.  They are executed also if saving fails: a failing disk must not
        keep a node down."""
        if actions:
            self._save()
        for action in actions:
            failpoint(f"keeper.{type(action).__name__.lower()}")
            if isinstance(action, Start):
                self._start(action)
                continue
            process = self.node_processes.get(action.key)
            if process is None:
                continue
            if isinstance(action, Term | Kill):
                self._signal(process, signal.SIGTERM if isinstance(action, Term) else signal.SIGKILL)
            elif isinstance(action, Drain):
                self._spawn(self._drain(process))
            elif isinstance(action, Undrain):
                self._spawn(self._undrain(process))
            elif isinstance(action, Reload):
                self._spawn(self._reload(process, action.generation))
        if actions:
            self._save()
            failpoint("keeper.acted")

    def _signal(self, process: NodeProcess, number: signal.Signals) -> None:
        self.events.emit("keeper.signalled", pid=process.handle.pid, signal=number.name)
        process.handle.signal(number)

    def _saved(self) -> Saved:
        core = self.core
        rows = []
        for key, r in self.node_processes.items():
            role = "serving" if key == core.serving else "coming" if key == core.starting else ""
            proc = core.procs.get(key)
            rows.append(ProcessRecord(
                r.handle.pid, r.handle.started, boot_id(), proc.generation if proc else r.generation,
                r.ops, role, proc is not None and proc.ready >= 0))
        return Saved(core.durable, self.fence, rows)

    def _save(self) -> bool:
        """Write the state; on failure returns False and logs the first one in a row."""
        try:
            self.state.write(self._saved())
        except OSError as error:
            if not self.disk_failed:
                self.events.emit("keeper.disk", what="state", why=error.strerror or str(error))
            self.disk_failed = True
            return False
        self.disk_failed = False
        return True

    def _settings(self, generation: str) -> dict[str, Any]:
        """A generation's settings with this machine's overrides."""
        return {**self.store.settings(generation), **self.machine.settings}

    def _configure(self, generation: str) -> Path:
        """Write the node's configuration file atomically, from the machine's configuration as it is now."""
        self.machine = read_machine_config(self.machine_path)
        path = self.folder / "run" / "config.json"
        new = path.with_suffix(".new")
        config = {**self.machine.config, "name": self.machine.name, "discovery": self.machine.discovery,
                  "settings": self._settings(generation)}
        new.write_text(json.dumps(config))
        new.replace(path)
        return path

    def _environment(self, generation: str, ops: str, beside: bool) -> dict[str, str]:
        """The node's environment; variables of the router and of headspar are not inherited."""
        folder = self.store.path(generation)
        env = {k: v for k, v in self.environ.items() if not k.startswith(("ROUTER_", "HEADSPAR_"))}
        env |= {
            "ROUTER_NAME": self.machine.name, "ROUTER_LISTEN": self.machine.listen, "ROUTER_OPS": ops,
            "ROUTER_DISCOVERY": self.machine.discovery, "ROUTER_CONFIG": str(self.folder / "run" / "config.json"),
            "TMPDIR": str(self.folder / "tmp"), "PYTHONPATH": str(folder / "program"),
            "PYTHONPYCACHEPREFIX": str(self.folder / "pycache"), "HEADSPAR_GENERATION": generation,
            "HEADSPAR_EPOCH": str(self.fence.epoch),
        }
        if beside:
            env["HEADSPAR_BESIDE"] = "only"
        if (folder / "operator.toml").is_file():
            env["HEADSPAR_OPERATOR"] = str(folder / "operator.toml")
        return env

    def _start(self, action: Start) -> None:
        """Prepare a process, save its record, and only then let it execute the node."""
        now = time.monotonic()
        used = {r.ops for r in self.node_processes.values()}
        ops = next((a for a in self.machine.ops if a not in used), self.machine.ops[0])
        try:
            self._configure(action.generation)
            log = self.folder / "run" / "node.log"
            env = self._environment(action.generation, ops, action.beside)
            handle = processes.prepare([sys.executable, "-m", "headspar"], env, self.folder / "run", log)
        except (OSError, GenerationError, HostError) as error:
            self.events.emit("keeper.disk", what="start", why=str(error))
            asyncio.get_running_loop().call_soon(self._ended, action.key, 1, now)
            return
        process = NodeProcess(action.key, handle, action.generation, ops)
        self.node_processes[action.key] = process
        failpoint("keeper.spawned")
        self._save()
        processes.release(handle)
        self.events.emit("keeper.process_started", pid=handle.pid, generation=action.generation, beside=action.beside)
        self._watch(process)
        process.task = self._spawn(self._wait_until_ready(process))

    def _watch(self, process: NodeProcess) -> None:
        loop = asyncio.get_running_loop()
        loop.add_reader(process.handle.fd, self._exited, process)

    def _exited(self, process: NodeProcess) -> None:
        asyncio.get_running_loop().remove_reader(process.handle.fd)
        status = process.handle.status()
        process.handle.close()
        if process.task is not None:
            process.task.cancel()
        self.node_processes.pop(process.key, None)
        self.events.emit("keeper.process_ended", pid=process.handle.pid, generation=process.generation, status=status)
        self._ended(process.key, status, time.monotonic())

    def _ended(self, key: int, status: int, now: float) -> None:
        self._execute(self.core.ended(key, status == NO_HANDOVER, now))

    async def _wait_until_ready(self, process: NodeProcess) -> None:
        """Poll a starting process until its health check passes."""
        while process.key in self.node_processes and self.core.starting == process.key:
            with contextlib.suppress(OSError):
                if (await call(process.address, "/healthcheck"))[0] == 200:
                    found = await self._identify(process.ops)
                    if found["pid"] == process.handle.pid:
                        failpoint("keeper.ready")
                        self.silent_since = -1.0
                        self._execute(self.core.ready(process.key, time.monotonic()))
                        await self._poll()
                        return
            await asyncio.sleep(READINESS_POLL_S)

    async def _drain(self, process: NodeProcess) -> None:
        """Fail the health check and wait until no request is in progress."""
        with contextlib.suppress(OSError):
            await call(process.address, "/healthcheck/fail", "POST")
            since = time.monotonic()
            while self.core.phase is Phase.DRAINING:
                # The front end notices within 0.2 s; requests it has sent until then may still arrive.
                _, stats = await call(process.address, "/stats")
                if time.monotonic() - since > self.table.drain_s / 2 and stats.get("concurrent") == 0:
                    break
                await asyncio.sleep(READINESS_POLL_S)
        self._execute(self.core.drain_finished(process.key, time.monotonic()))

    async def _undrain(self, process: NodeProcess) -> None:
        with contextlib.suppress(OSError):
            await call(process.address, "/healthcheck/ok", "POST")

    async def _reload(self, process: NodeProcess, generation: str) -> None:
        """Reload the settings by SIGHUP; the node's identity and reload counters show the result."""
        taken, why = False, "the node did not confirm the settings in time"
        try:
            wanted = settings_digest(self._settings(generation))
            before = int((await call(process.address, "/stats"))[1]["reload_failure"])
            self._configure(generation)
            failpoint("keeper.configured")
            self._signal(process, signal.SIGHUP)
            end = time.monotonic() + self.core.timing.reload
            while time.monotonic() < end and not taken:
                taken = (await self._identify(process.ops)).get("settings") == wanted
                if not taken and int((await call(process.address, "/stats"))[1]["reload_failure"]) > before:
                    why = "the node rejected the settings"
                    break
                await asyncio.sleep(READINESS_POLL_S)
        except (OSError, GenerationError, HostError, KeyError, ValueError) as error:
            why = str(error)
        self.events.emit("keeper.settings", generation=generation, taken=taken, why="" if taken else why)
        if not taken:  # the file must contain the settings in force, since the next start reads it
            with contextlib.suppress(OSError, GenerationError, HostError):
                self._configure(self.core.running or self.core.durable.present)
        self._execute(self.core.reloaded(process.key, taken, why, time.monotonic()))

    # ------------------------------------------------------------ timers

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._execute(self.core.advance(time.monotonic()))
            if self.disk_failed:
                self._save()

    async def _poll_loop(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            await self._poll()

    async def _poll(self) -> None:
        """Read the figures of the serving process and check that it answers; during a trial also that its client
        listener passes the health check."""
        key = self.core.serving
        process = self.node_processes.get(key) if key is not None else None
        if process is None or key is None:
            return
        answers = True
        try:
            self.identity = await self._identify(process.ops)
            stats = (await call(process.address, "/stats"))[1]
            self._update_figures(stats, process.handle.pid)
        except (OSError, KeyError, TypeError, ValueError):
            answers = False
        if answers and self.core.course is Course.PROVING:
            answers = await healthy(parse_address(self.machine.listen, "listen"))
        now = time.monotonic()
        if not answers:
            self.core.health_check_failed(key, now)
        if answers:
            self.silent_since = -1.0
        elif self.silent_since < 0:
            self.silent_since = now
        elif now - self.silent_since > UNRESPONSIVE_S and key == self.core.serving:
            self.events.emit("keeper.silent", pid=process.handle.pid, seconds=now - self.silent_since)
            self._execute(self.core.unresponsive(key, now))

    def _update_figures(self, stats: dict[str, Any], pid: int) -> None:
        rows = list(stats["replies"].values())
        success, overload, error = (sum(int(row[k]) for row in rows) for k in ("success", "overload", "error"))
        now, total = time.monotonic(), success + overload + error
        last_total, last_at, last_pid = self.last_reading
        rate = max(0.0, (total - last_total) / (now - last_at)) if last_pid == pid and now > last_at else 0.0
        self.last_reading = (total, now, pid)
        self.figures_at = now
        self.figures = m.Figures(
            success, overload, error, int(stats["concurrent"]), rate, int(stats["targets"]),
            int(self.identity.get("cold", 0)), int(stats["targets_disabled"]),
        )

    # ------------------------------------------------------------ messages of controllers

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            if self.connections > MAX_CONNECTIONS:
                return
            async with asyncio.timeout(CONNECTION_TIMEOUT_S):
                line = await reader.readline()
            await self.recovered.wait()  # the highest epoch seen is not known before
            try:
                message = m.decode(line)
            except msgspec.MsgspecError as error:
                writer.write(m.encode(m.Reply(False, f"invalid message: {error}", None)))
            else:
                writer.write(m.encode(await self.take(message)))
            failpoint("keeper.answer")
            async with asyncio.timeout(CONNECTION_TIMEOUT_S):
                await writer.drain()
        except (OSError, TimeoutError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    def status(self) -> m.Status:
        """The status of this keeper and its node."""
        core, now = self.core, time.monotonic()
        self.serial += 1
        order, pid = core.durable.order, 0
        if core.serving is not None and core.serving in self.node_processes:
            pid = self.node_processes[core.serving].handle.pid
        return m.Status(
            self.machine.name, self.machine.site, core.state, core.course.value,
            core.durable.present, core.durable.before, core.trial,
            order.change if order is not None else "", core.running, core.proved(now),
            order is not None and order.silence == "hold", core.durable.deaths, core.restarts, self.fence.epoch,
            self.fence.step, core.durable.outcome,
            self.store.names(), self.silent_since < 0 and core.serving is not None,
            min(1e9, now - self.figures_at), self.figures, pid, str(self.identity.get("program", "")),
            str(self.identity.get("settings", "")), bool(self.fetching), self.began, self.serial,
            self._silent_for(),
        )

    def _silent_for(self) -> float:
        """Seconds since the node stopped answering; 0 if it answers."""
        return max(0.0, time.monotonic() - self.silent_since) if self.silent_since >= 0 else 0.0

    async def take(self, message: m.Message) -> m.Reply:
        """Handle one message and return the reply.  A command's effect is on disk before the reply is sent."""
        if isinstance(message, m.QueryStatus):
            return m.Reply(True, "", self.status())
        if isinstance(message, m.QueryWork):
            return await self._measure()
        down = self.core.serving is None or self._silent_for() > m.DOWN_S
        assessment = check_command(message, self.machine.name, self.fence, self.core, self.store.has, down)
        if not isinstance(message, m.Heartbeat) or not assessment.ok:
            self.events.emit("keeper.command", say=str(type(message).__struct_config__.tag), epoch=message.epoch,
                             step=assessment.step, verdict=assessment.verdict.value, why=assessment.why)
        now = time.monotonic()
        if assessment.counts:
            before = self.fence
            failpoint("keeper.taken")
            self.fence = apply_command(message, assessment, before, self.core, now, self._save_with_fence)
            if self.fence is before:
                return m.Reply(False, "the state could not be written to disk", self.status())
            failpoint("keeper.kept")
            self._execute(self.core.advance(now))
            failpoint("keeper.done")
        elif assessment.ok:
            self.core.record_contact(message.clock, now)
        if assessment.ok and isinstance(message, m.Fetch):
            return await self._fetch(message)
        return m.Reply(assessment.ok, assessment.why, self.status())

    async def _measure(self) -> m.Reply:
        """Read the totals of the serving process."""
        key = self.core.serving
        process = self.node_processes.get(key) if key is not None else None
        if process is None:
            return m.Reply(False, "no process is serving", self.status())
        generation = self.core.running
        try:
            status, found = await call(process.address, "/work")
            if status != 200:
                raise OSError(f"the node answered with status {status}")
            if self.core.serving != key or self.core.running != generation:
                raise OSError("the serving process changed during the call")
            work = msgspec.convert({**found, "generation": generation}, m.Work)
        except (OSError, msgspec.ValidationError) as error:
            return m.Reply(False, str(error), self.status())
        return m.Reply(True, "", self.status(), work)

    def _save_with_fence(self, fence: Fence) -> bool:
        """Save the state together with a new fence; on failure the fence in force stays."""
        before, self.fence = self.fence, fence
        if self._save():
            return True
        self.fence = before
        return False

    async def _fetch(self, message: m.Fetch) -> m.Reply:
        """Remove the generations that are no longer needed, then copy the requested one."""
        if self.fetching:
            return m.Reply(False, "another generation is being copied", self.status())
        self.fetching = message.generation
        why = ""
        try:
            wanted = {message.generation, self.core.durable.present, self.core.durable.before, self.core.trial,
                      *(p.generation for p in self.core.procs.values())}
            await asyncio.to_thread(self.store.remove_others, wanted)
            await asyncio.to_thread(self.store.fetch, Path(message.path), message.generation)
        except GenerationError as error:
            why = str(error)
        finally:
            self.fetching = ""
        self.events.emit("keeper.fetched", generation=message.generation, taken=not why, why=why)
        return m.Reply(not why, why, self.status())
