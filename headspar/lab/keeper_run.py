"""Runs in which each node has a keeper, and a script changes the fleet under audited load.

Keepers start the nodes, and nodes outlive their keepers.  The run therefore puts a token into the environment of all
processes that it starts; a separate process, the reaper, kills every process with that token once the run has ended,
also when it was killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import time
import uuid
from collections.abc import Awaitable, Callable
from datetime import datetime
from pathlib import Path
from typing import Any

from headspar.identity import NO_HANDOVER, PACKAGE, start_ticks
from headspar.keeper.generations import digest
from headspar.lab import keeper_log
from headspar.lab.children import now_us, package_env
from headspar.lab.links import Link
from headspar.lab.nodes import NodeProcess, free_address
from headspar.lab.result import Result
from headspar.lab.run import play
from headspar.lab.scripted import Scripted
from headspar.world.records import RunEvent
from headspar.world.rules import settings
from headspar.world.scenario import Scenario

RUN_TOKEN_VARIABLE = "LAB_KEPT_RUN"  # without the prefix HEADSPAR_, as keepers do not pass such variables on
FRONT_CHECK_INTERVAL_S = 0.1  # between the front's health checks of a node
NODE_EXCLUDES = ("lab", "model", "keeper", "rollout", "world", "__pycache__", "*.pyc")  # a node does not need them
REAPER = f"""
import os, signal, sys, time
sys.stdin.read()
entry = ("{RUN_TOKEN_VARIABLE}=" + sys.argv[1]).encode()
for _ in range(20):
    found = False
    for pid in filter(str.isdigit, os.listdir("/proc")):
        try:
            with open("/proc/%s/environ" % pid, "rb") as file:
                if entry in file.read().split(b"\\0") and int(pid) != os.getpid():
                    os.kill(int(pid), signal.SIGKILL)
                    found = True
        except (OSError, ValueError):
            pass
    if not found:
        break
    time.sleep(0.05)
"""


def make_generation(to: Path, settings_of: dict[str, Any], change: Callable[[Path], None] | None = None) -> str:
    """Writes the folder of a generation with this program, modified by ``change``; returns the generation's name."""
    shutil.copytree(PACKAGE, to / "program" / "headspar", ignore=shutil.ignore_patterns(*NODE_EXCLUDES))
    (to / "settings.json").write_text(json.dumps(settings_of))
    if change is not None:
        change(to)
    return digest(to)


def write_host_file(folder: Path, config_text: str) -> None:
    """Replaces the host file (``host.json``) of a keeper atomically."""
    new = folder / "host.json.new"
    new.write_text(config_text)
    new.replace(folder / "host.json")


class Keeper:
    """The keeper of one node, across its restarts."""

    def __init__(self, name: str, folder: Path, listen: tuple[str, int], env: dict[str, str]) -> None:
        self.name, self.folder, self.listen, self.env = name, folder, listen, env
        self.file = folder / "keeper.toml"
        self.log = folder / "keeper.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, failpoints: str = "") -> None:
        env = {**self.env, "HEADSPAR_FAILPOINTS": failpoints}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen([sys.executable, "-m", "headspar.keeper", str(self.file)], env=env,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def events(self) -> list[dict[str, Any]]:
        """The events in the keeper's log, oldest first; other lines are skipped."""
        rows = []
        with contextlib.suppress(OSError):
            for line in self.log.read_text(errors="replace").splitlines():
                with contextlib.suppress(ValueError):
                    rows.append(json.loads(line))
        return [row for row in rows if isinstance(row, dict) and "event" in row]


class KeptNode(NodeProcess):
    """A node whose processes are started and stopped by its keeper."""

    keeper: Keeper
    ops_addresses: tuple[tuple[str, int], tuple[str, int]]

    async def call(self, path: str, method: str = "GET") -> tuple[int, dict[str, Any]]:
        """Sends a request to the serving process; raises ``OSError`` if there is none.  Remembers its address."""
        for ops in self.ops_addresses:
            self.ops = ops
            with contextlib.suppress(OSError, IndexError, ValueError):
                found = await super().call(path, method)
                if path == "/identity" or (await super().call("/healthcheck"))[0] == 200:
                    return found
        raise OSError("no serving process answers on either operator address")

    async def identity(self) -> dict[str, Any]:
        """The identity of the serving process."""
        return (await self.call("/identity"))[1]

    async def kill_serving_process(self) -> None:
        """Sends SIGKILL to the serving process."""
        await self.call("/stats")  # sets ``ops`` to the address of the serving process
        found = await super().call("/identity")
        pid = int(found[1]["pid"])
        assert start_ticks(pid) == found[1]["started"]
        self.marks.append(RunEvent(now_us(), "node_kill", self.name))
        os.kill(pid, signal.SIGKILL)

    async def end(self, seconds: float = 6.0) -> None:
        """Does nothing: the reaper ends all processes of a run with keepers."""

    def kill(self) -> None:
        pass


Script = Callable[["KeeperRun"], Awaitable[None]]


class KeeperRun(Scripted):
    """A run with keepers and a script.  It ends once both the load and the script have ended.

    ``operator_toml`` and ``keeper_toml`` are further TOML text for the operator's and the keepers' files.
    """

    def __init__(self, scenario: Scenario, seed: int, dir: Path, script: Script, operator_toml: str = "",
                 keeper_toml: str = "", relayed: int = 0) -> None:
        super().__init__(scenario, seed, dir, script, relayed)
        self.operator_toml, self.keeper_toml = operator_toml, keeper_toml
        self.run_token = uuid.uuid4().hex
        self.env = {k: v for k, v in package_env().items() if not k.startswith(("ROUTER_", "HEADSPAR_"))}
        self.env[RUN_TOKEN_VARIABLE] = self.run_token
        self.rng = random.Random(f"{seed}/links")
        self.keepers: dict[str, Keeper] = {}
        self.links: dict[str, Link] = {}
        self.controllers: list[asyncio.subprocess.Process] = []
        self.front_up: dict[str, bool] = {}
        self.generations: dict[str, str] = {}
        self.reaper: subprocess.Popen[bytes] | None = None
        self.wall_offset_us = 0  # wall clock minus the lab's clock, µs
        self.controller_log = dir / "controller.log"

    # ------------------------------------------------------------ start

    async def _start(self) -> None:
        self.wall_offset_us = time.time_ns() // 1000 - now_us()
        self.reaper = subprocess.Popen([sys.executable, "-I", "-S", "-c", REAPER, self.run_token],
                                       stdin=subprocess.PIPE, start_new_session=True)
        self.generation("old")
        await super()._start()
        rows = []
        for name, keeper in self.keepers.items():
            link = self.links[name] = Link(keeper.listen, self.hosts.next(), self.rng)
            await link.start()
            site = self.nodes[name].config["settings"]["az"]
            rows.append(f'[[node]]\nname = "{name}"\nsite = "{site}"\n'
                        f'keeper = "{link.address[0]}:{link.address[1]}"\n')
        (self.dir / "fleet.toml").write_text("\n".join(rows))
        self.operator_path.write_text(
            f'[rollout]\nrecord = "{self.dir / "record.db"}"\nfleet = "{self.dir / "fleet.toml"}"\n'
            f'{self.operator_toml}')
        self._spawn_task(self._run_front())

    @property
    def operator_path(self) -> Path:
        return self.dir / "rollout.toml"

    def generation(self, label: str, change: Callable[[Path], None] | None = None) -> Path:
        """Makes a generation, records its name under ``label`` and returns its folder."""
        folder = self.dir / "sources" / label
        self.generations[label] = make_generation(folder, settings(self.s, self.plan, 0), change)
        return folder

    def _configure_nodes(self, names: list[str], listens: dict[str, tuple[str, int]]) -> None:
        super()._configure_nodes(names, listens)
        for name, process_node in list(self.nodes.items()):
            node = KeptNode(name, process_node.config, process_node.listen, process_node.dir)
            ops = free_address(node.listen[0], node.listen)
            node.ops_addresses = (ops, free_address(node.listen[0], node.listen, ops))
            self.nodes[name] = node

    async def _start_node(self, node: NodeProcess) -> None:
        assert self.discovery is not None and isinstance(node, KeptNode)
        if len(self.discovery_relays) < self.relayed:
            await self._insert_relays(node.name)
        folder = self.dir / node.name
        folder.mkdir()
        keeper = node.keeper = Keeper(node.name, folder, free_address(self.hosts.next()), self.env)
        write_host_file(folder, self.host_config(node))
        first_generation = self.dir / "sources" / "old"
        keeper.file.write_text(
            f'[keeper]\nfolder = "{folder}"\nhost = "{folder / "host.json"}"\nfirst = "{first_generation}"\n'
            f'listen = "{keeper.listen[0]}:{keeper.listen[1]}"\n{self.keeper_toml}')
        known = self.discovery.known(node.name)
        keeper.start()
        self.keepers[node.name] = keeper
        self.discovery.record_start_list(node.name, known)
        self.front_up[node.name] = True

    def host_config(self, node: KeptNode) -> str:
        """The content of the host file, with discovery's list as it is now."""
        assert self.discovery is not None
        config = {k: v for k, v in node.config.items() if k not in ("settings", "name", "discovery")}
        config["known"] = self.discovery.known(node.name)
        own = node.config["settings"]
        address = self._discovery_address(node.name)
        return json.dumps({
            "name": node.name, "site": own["az"], "listen": f"{node.listen[0]}:{node.listen[1]}",
            "discovery": f"{address[0]}:{address[1]}", "ops": [f"{a[0]}:{a[1]}" for a in node.ops_addresses],
            "config": config, "settings": {"az": own["az"], "me": own["me"]},
        })

    # ------------------------------------------------------------ during the run

    async def _run_front(self) -> None:
        """Acts as the front: health-checks each node, and has the callers avoid nodes whose check fails."""
        async def check_node(node: NodeProcess) -> None:
            while True:
                up = await node.ready(0.3) if self.began_at else True
                if up != self.front_up[node.name]:
                    self.front_up[node.name] = up
                    self._notify_front(node, up)
                await asyncio.sleep(FRONT_CHECK_INTERVAL_S)

        async def refresh_host_files() -> None:
            written: dict[str, str] = {}
            while True:
                await asyncio.sleep(0.5)
                for name in self.keepers:
                    config_text = self.host_config(self.node(name))
                    if written.get(name) == config_text:
                        continue
                    # In a thread, as a rename over a file waits for the disk, which the keepers keep busy.  On this
                    # loop it would delay discovery by as much.
                    await asyncio.to_thread(write_host_file, self.dir / name, config_text)
                    written[name] = config_text

        await asyncio.gather(refresh_host_files(), *(check_node(node) for node in self.nodes.values()))

    def rows(self) -> dict[str, list[dict[str, Any]]]:
        """The events of each keeper, for ``keeper_log``."""
        return {name: keeper.events() for name, keeper in self.keepers.items()}

    def max_in_transition(self) -> list[tuple[int, int]]:
        """Result of ``keeper_log.in_transition`` for the time since the start of the load."""
        sites = {name: str(node.config["settings"]["az"]) for name, node in self.nodes.items()}
        return keeper_log.in_transition(self.rows(), sites, self.at, self.began_at)

    def node(self, name: str) -> KeptNode:
        node = self.nodes[name]
        assert isinstance(node, KeptNode)
        return node

    async def controller(self, *arguments: str, failpoints: str = "") -> asyncio.subprocess.Process:
        """Starts a controller process: ``headspar rollout`` with these arguments."""
        env = {**self.env, "HEADSPAR_FAILPOINTS": failpoints}
        with self.controller_log.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "headspar.cli", "rollout", *arguments, env=env, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True)
        self.controllers.append(process)
        return process

    # ------------------------------------------------------------ the end

    async def _close(self) -> None:
        for link in self.links.values():
            link.close()
        await super()._close()
        if self.reaper is not None:
            assert self.reaper.stdin is not None
            self.reaper.stdin.close()
            await asyncio.to_thread(self.reaper.wait)
        for keeper in self.keepers.values():
            if keeper.process is not None:
                keeper.process.wait()
        for process in self.controllers:
            await process.wait()

    def _result(self) -> Result:
        for node in self.nodes.values():
            assert isinstance(node, KeptNode)
            node.marks += self._process_marks(node)
        return super()._result()

    def at(self, event: dict[str, Any]) -> int:
        """The time of an event on the lab's clock, in µs."""
        return int(datetime.fromisoformat(event["timestamp"]).timestamp() * 1e6) - self.wall_offset_us

    def _process_marks(self, node: KeptNode) -> list[RunEvent]:
        """Converts the keeper's events about its node's processes to marks for the audit."""
        marks = []
        events = node.keeper.events()
        never_served = {e["pid"] for e in events
                        if e["event"] == "keeper.process_ended" and e["status"] in (3, NO_HANDOVER)}
        for event in events:
            at = self.at(event)
            if event.get("pid") in never_served:  # it never listened
                continue
            if event["event"] == "keeper.process_started":
                if at > self.began_at > 0:
                    marks.append(RunEvent(at, "node_upgrade" if event["beside"] else "node_start", node.name))
            elif event["event"] == "keeper.signalled" and event["signal"] in ("SIGTERM", "SIGKILL"):
                what = "node_term" if event["signal"] == "SIGTERM" else "node_kill"
                marks.append(RunEvent(at, what, node.name))
            elif event["event"] == "keeper.silent":  # treated as killed for that long, one mark per 0.5 s
                mark_count = int(2 * event["seconds"]) + 3
                marks += [RunEvent(at - i * 500_000, "node_kill", node.name) for i in range(mark_count)]
            elif event["event"] == "keeper.process_ended":
                if event["status"] not in (0, -1):  # a crash or a kill: its requests are lost
                    marks.append(RunEvent(at - 50_000, "node_kill", node.name))
                marks.append(RunEvent(at, "node_exit", node.name, f"ended with status {event['status']}"))
        return marks


def run_with_keepers(scenario: Scenario, seed: int, dir: Path, script: Script, operator_toml: str = "",
                     keeper_toml: str = "", relayed: int = 0) -> tuple[Result, KeeperRun]:
    """Carries out a run with keepers on a new event loop.  Raises ``RunError`` if it cannot be carried out."""
    run = KeeperRun(scenario, seed, dir, script, operator_toml, keeper_toml, relayed)
    return play(run), run
