"""``python -m benchmarks.connections [--json]``: what connection handling costs, and whether it grows with the fleet.

``plan_us_per_request``: the plan alone, ``take`` and ``answered`` with a tick a second, at 10 and at 1,000 servers.
``node_us``: CPU of a node of 1,024 descriptors a request, before 3, 90 and 600 instant servers, beside a bare
relay in the same run; ``handshakes_per_1000``: new connections for 1,000 requests there.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.rig import Rig, write_line
from headspar.connections.plan import Answer, Plan, PlanSettings

FLEETS = (3, 90, 600)


def plan_us(servers: int, requests: int = 60_000) -> float:
    """Microseconds of the plan for each request, 1,000 requests a second of which 20 are out at any time."""
    rng = random.Random(7)
    plan = Plan(PlanSettings(4 * servers + 100, 15_000_000), 1)
    names = [f"s{i}" for i in range(servers)]
    for name in names:
        plan.place(name, 0)
    picks = [rng.choice(names) for _ in range(requests)]
    out: list[int] = []
    now, ticked = 0, 0
    begun = time.perf_counter()
    for name in picks:
        now += 1000
        told = plan.take(name, now, proof=False)
        if told.answer is Answer.OPEN:
            plan.waits_no_more(name)
            plan.opened(told.connection, now, taken=True)
        out.append(told.connection)
        if len(out) > 20:
            plan.answered(out.pop(0), now, keep=True)
        if now - ticked >= 1_000_000:
            ticked = now
            plan.tick(now)
    return (time.perf_counter() - begun) * 1e6 / requests


async def fleet(dir: Path, servers: int, rps: float, turns: int, seconds: float) -> dict[str, float]:
    rig = Rig(dir, servers)
    await rig.start()
    try:
        costs = await rig.beside_relay(rps, turns, seconds)
        return {"node": statistics.median(costs["node"]), "relay": statistics.median(costs["relay"]),
                "handshakes": 1000 * rig.made["node"] / max(1, rig.served["node"])}
    finally:
        await rig.close()


async def measure(rps: float, turns: int, seconds: float) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for count in (10, 1000):
        figures[f"plan_us_per_request_{count}"] = round(statistics.median(plan_us(count) for _ in range(3)), 2)
    figures["plan_growth"] = round(figures["plan_us_per_request_1000"] / figures["plan_us_per_request_10"], 3)
    for count in FLEETS:
        print(f"{count} servers", file=sys.stderr)
        with tempfile.TemporaryDirectory() as dir:
            got = await fleet(Path(dir), count, rps, turns, seconds)
        figures[f"node_us_{count}"] = round(got["node"], 1)
        figures[f"relay_us_{count}"] = round(got["relay"], 1)
        figures[f"handshakes_per_1000_{count}"] = round(got["handshakes"], 1)
    figures["node_growth"] = round(figures["node_us_600"] / figures["node_us_3"], 3)
    return figures


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON")
    parser.add_argument("--rps", type=float, default=1000.0)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    args = parser.parse_args()
    write_line(uvloop.run(measure(args.rps, args.turns, args.seconds)), args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
