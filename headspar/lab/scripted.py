"""Runs with a script, which applies faults to nodes, lists and links that a scenario cannot express."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from headspar.lab.children import now_us
from headspar.lab.links import StreamFaults
from headspar.lab.nodes import NodeProcess
from headspar.lab.result import Result, RunError
from headspar.lab.run import Run, play
from headspar.world.scenario import Scenario

Script = Callable[[Any], Awaitable[None]]  # takes the run
SCRIPT_S = 120.0  # time-out of a script


class Scripted(Run):
    """A run with a script, which starts together with the callers.

    ``relayed``: number of nodes that reach discovery and the servers through relays.
    """

    def __init__(self, scenario: Scenario, seed: int, dir: Path, script: Script, relayed: int = 0) -> None:
        super().__init__(scenario, seed, dir)
        self.script, self.relayed = script, relayed
        self.rng = random.Random(f"{seed}/script")
        self.script_task: asyncio.Task[None] | None = None
        self.start_lists: dict[str, dict[str, Any]] = {}  # by node: the list that it is given at its start

    async def until(self, seconds: float) -> None:
        """Waits until ``seconds`` after the start of the run."""
        await asyncio.sleep(max(0.0, self.began_at / 1e6 + seconds - now_us() / 1e6))

    def draw_nodes(self, count: int) -> list[NodeProcess]:
        """Draws ``count`` different nodes."""
        return self.rng.sample(list(self.nodes.values()), count)

    async def apply_to_nodes(self, nodes: list[NodeProcess], kind: str) -> None:
        """Applies a step of kind ``kind`` to nodes, and returns once the front has been notified of all of them."""
        await asyncio.gather(*(self._node_step(kind, node) for node in nodes))

    def pin_lists(self) -> None:
        """Has nodes that start later start with the list as it is now, however old it is by then."""
        assert self.discovery is not None
        self.start_lists = {name: self.discovery.known(name) for name in self.nodes}

    async def partition_site(self, site: str, faults: StreamFaults) -> int:
        """Applies ``faults`` to the links between relayed nodes and the servers of a site; returns their number."""
        servers = {p.id for p in self.plan.servers if p.site == site}
        links = [stream for (_, server), stream in self.server_relays.items() if server in servers]
        if not faults.hold_up:  # data written into a cut link is lost with its connection
            for stream in links:
                stream.reset()
            await asyncio.sleep(0.05)
        for stream in links:
            await stream.set_faults(faults)
        return len(links)

    def _start_list(self, name: str) -> dict[str, Any]:
        return self.start_lists.get(name) or super()._start_list(name)

    async def _steps(self) -> None:
        self.script_task = asyncio.create_task(self._run_script())
        await super()._steps()

    async def _run_script(self) -> None:
        await self.until(0.0)
        async with asyncio.timeout(SCRIPT_S):
            await self.script(self)

    async def _await_script(self) -> None:
        assert self.script_task is not None
        try:
            await self.script_task
        except TimeoutError:
            raise RunError(f"the script did not end within {SCRIPT_S:.0f} s") from None

    async def _close(self) -> None:
        if self.script_task is not None:
            self.script_task.cancel()
        await super()._close()


def run_scripted(
    scenario: Scenario, seed: int, dir: Path, script: Script, relayed: int = 0,
) -> tuple[Result, Scripted]:
    """Carries out a scripted run on a new event loop.  Raises ``RunError`` if it cannot be carried out."""
    run = Scripted(scenario, seed, dir, script, relayed)
    return play(run), run
