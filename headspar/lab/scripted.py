"""A run in which a script does to nodes, lists and links what no scenario can say, beside what the scenario says."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from headspar.lab.children import now_us
from headspar.lab.links import Weather
from headspar.lab.nodes import NodeProcess
from headspar.lab.run import Result, Run, RunError, play
from headspar.world.scenario import Scenario

Script = Callable[[Any], Awaitable[None]]  # takes the run
SCRIPT_S = 120.0


class Scripted(Run):
    """``script`` begins with the callers; ``relayed`` nodes reach discovery and servers through relays."""

    def __init__(self, scenario: Scenario, seed: int, dir: Path, script: Script, relayed: int = 0) -> None:
        super().__init__(scenario, seed, dir)
        self.script, self.relayed = script, relayed
        self.rng = random.Random(f"{seed}/script")
        self.played: asyncio.Task[None] | None = None
        self.lists: dict[str, dict[str, Any]] = {}  # by node: what it is given as its last list when it starts

    async def until(self, seconds: float) -> None:
        """Wait for a moment of the run."""
        await asyncio.sleep(max(0.0, self.began_at / 1e6 + seconds - now_us() / 1e6))

    def drawn(self, count: int) -> list[NodeProcess]:
        return self.rng.sample(list(self.nodes.values()), count)

    async def strike(self, nodes: list[NodeProcess], kind: str) -> None:
        """Do to nodes what a step of a scenario does; it ends once the front knows of all."""
        await asyncio.gather(*(self._node_step(kind, node) for node in nodes))

    def remember(self) -> None:
        """Whoever starts from now on starts with the list as it is now, however old it is by then."""
        assert self.discovery is not None
        self.lists = {name: self.discovery.known(name) for name in self.nodes}

    async def cut(self, site: str, weather: Weather) -> int:
        """Between the relayed nodes and the servers of a site; how many links that is."""
        servers = {p.id for p in self.plan.servers if p.site == site}
        links = [stream for (_, server), stream in self.to_servers.items() if server in servers]
        if not weather.hold_up:  # what was written into a cut link is lost with its connection
            for stream in links:
                stream.reset()
            await asyncio.sleep(0.05)
        for stream in links:
            await stream.become(weather)
        return len(links)

    def _known(self, name: str) -> dict[str, Any]:
        return self.lists.get(name) or super()._known(name)

    async def _steps(self) -> None:
        self.played = asyncio.create_task(self._play())
        await super()._steps()

    async def _play(self) -> None:
        await self.until(0.0)
        async with asyncio.timeout(SCRIPT_S):
            await self.script(self)

    async def _more(self) -> None:
        assert self.played is not None
        try:
            await self.played
        except TimeoutError:
            raise RunError(f"the script was not over after {SCRIPT_S:.0f} s") from None

    async def _close(self) -> None:
        if self.played is not None:
            self.played.cancel()
        await super()._close()


def run_scripted(
    scenario: Scenario, seed: int, dir: Path, script: Script, relayed: int = 0,
) -> tuple[Result, Scripted]:
    """Play it on an event loop of its own.  ``RunError`` if it can't be carried out."""
    run = Scripted(scenario, seed, dir, script, relayed)
    return play(run), run
