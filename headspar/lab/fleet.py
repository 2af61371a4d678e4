"""``python -m headspar.lab.fleet``: all cash servers of a run, in a separate process.

It draws the plan from the seed, reports the addresses of its servers, applies the plan's steps for servers at their
times, and writes its ledger to a file at the end.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import msgspec

from headspar.lab.cash_server import CashServer, ServerContext
from headspar.lab.children import Hosts, Parent, now_us, run_child
from headspar.world.plan import Step, draw, node_names
from headspar.world.records import AttemptResult, Lateness, RunEvent, ServerAttempt, Start, lateness
from headspar.world.scenario import from_json

PROGRESS_S = 0.25  # between progress events


class FleetRecords(msgspec.Struct):
    """The records that the fleet process writes at the end."""

    sent: list[ServerAttempt]
    starts: list[Start]
    marks: list[RunEvent]
    lateness: list[Lateness]
    strangers: int
    forgotten_early: int
    accepted: list[tuple[int, str]]


class Fleet:
    """The servers of a run, and the steps that apply to them."""

    def __init__(self, parent: Parent) -> None:
        task = parent.task
        self.parent = parent
        self.scenario = from_json(task["scenario"])
        self.plan = draw(self.scenario, task["seed"])
        self.out = Path(task["out"])
        self.context = ServerContext(self.scenario, self.plan)
        hosts = Hosts()
        nodes = node_names(self.scenario)
        self.servers = {p.id: CashServer(self.context, p, hosts.next(), nodes) for p in self.plan.servers}
        self.began_at = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed_steps = 0  # server steps that raised ``OSError``

    async def run(self) -> None:
        for server in self.servers.values():
            if server.plan.starts_at < 0:
                await server.start(cold=False)
        addresses = {
            id: {node: f"{a[0]}:{a[1]}" for node, a in s.addresses.items()} for id, s in self.servers.items()
        }
        self.parent.emit_event("ready", addresses=addresses, digest=self.plan.digest())
        await self.parent.commands(self.command)

    async def command(self, command: dict[str, Any]) -> None:
        if command["cmd"] == "start":
            self.began_at = command["at"]
            for coroutine in (self._steps(), self._progress(), self._sweep_idle()):
                task = asyncio.create_task(coroutine)
                self.tasks.add(task)
        elif command["cmd"] == "finish":
            self.finish()

    async def _steps(self) -> None:
        for step in self.plan.steps:
            await asyncio.sleep(max(0.0, (self.began_at + step.at - now_us()) / 1e6))
            targets = [self.servers[id] for id in step.targets if id in self.servers]
            for server in targets:
                try:
                    await self.apply(step, server)
                except OSError as error:
                    self.failed_steps += 1
                    print(f"{step.kind} {server.plan.id}: {error}", file=sys.stderr, flush=True)

    async def apply(self, step: Step, server: CashServer) -> None:
        kind = step.kind
        if kind == "die":
            server.die()
        elif kind == "start":
            await server.start(cold=True)
        elif kind == "vanish":
            await server.vanish()
        elif kind == "return":
            await server.recover()
        elif kind == "drain":
            server.drain()
        elif "slow" in (kind, step.text):
            server.slow(1.0 if kind == "mend" else step.value)
        else:
            server.core.faults.apply(step)

    async def _sweep_idle(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = now_us()
            for server in self.servers.values():
                server.sweep_idle(now)

    async def _progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_S)
            rows = {}
            for id, server in self.servers.items():
                machine = server.core.machine
                state = "down" if machine is None else "silent" if server.unreachable else (
                    "draining" if machine.draining else "cold" if machine.cold(now_us()) else "warm")
                rows[id] = [state, *server.load()]
            self.parent.emit_event("progress", part="fleet", servers=rows, sent=len(self.context.ledger.rows))

    def finish(self) -> None:
        for task in self.tasks:
            task.cancel()
        context, now = self.context, now_us()
        ledger = context.ledger
        for row in ledger.rows:
            if row.ended_at == 0:
                row.ended_at = now
        late_parts = [lateness("fleet", context.lateness_us)]
        if self.failed_steps:
            ledger.marks.append(RunEvent(now, "lab", "fleet", f"{self.failed_steps} steps could not be applied"))
        records = FleetRecords(
            ledger.rows, ledger.starts, ledger.marks, late_parts, context.unknown_requests,
            sum(m.forgotten_early for m in ledger.memories.values()), context.accepted,
        )
        self.out.write_bytes(msgspec.msgpack.encode(records))
        self.parent.emit_event("finished", open=sum(r.fate is AttemptResult.OPEN for r in ledger.rows))


async def main(parent: Parent) -> None:
    await Fleet(parent).run()


if __name__ == "__main__":
    sys.exit(run_child(main))
