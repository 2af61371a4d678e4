"""``python -m benchmarks.connections [--json] [--before CHECKOUT]``: what connection handling costs and loses.

``plan_us_per_request_*``: the plan alone, ``take`` and ``answered`` with a tick a second, at 10 and at 1,000
servers, each used by as many requests.  ``node_us_*``: CPU of a node of 1,024 descriptors a request, before 3, 90
and 600 instant servers, beside a bare relay in the same run; ``handshakes_per_1000*``: new connections for 1,000
requests there (without a number: before 600), and before 1,000 servers with a third as many descriptors.

``reach_*``: without sockets, 40 nodes and 1,000 servers with 333 connections each: the fewest and the most nodes that
reach a server, and the most servers that one node exchanges when one server goes.

Two runs in the lab.  ``silent-closes``: ``stale_losses`` are payments written to a connection that the server had
dropped without a word, ``payments_lost`` those not answered with 200, ``effects_wrong`` keys with no effect, or
two.  ``returns``: 23% of the servers come back cold at once; ``cold_peak_ratio`` is the most work that was sent to
one of them over what it was allowed.

``--before`` names a checkout of an earlier state, whose node is measured in the same turns and lab runs.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.rig import Rig, earlier, progress, write_line
from headspar.connections.plan import Answer, Plan, PlanSettings
from headspar.connections.subset import Subset, SubsetMember, SubsetSettings
from headspar.lab.run import Result, run_scenario
from headspar.world.audit import effects_per_key
from headspar.world.scenario import parse

FLEETS = ((3, 1024), (90, 1024), (600, 1024), (1000, 333))  # servers, descriptors
SCENARIOS = Path(__file__).resolve().parent.parent / "headspar" / "lab" / "scenarios"


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
            plan.stop_waiting(name)
            plan.opened(told.connection, now, taken=True)
        out.append(told.connection)
        if len(out) > 20:
            plan.answered(out.pop(0), now, keep=True)
        if now - ticked >= 1_000_000:
            ticked = now
            plan.tick(now)
    return (time.perf_counter() - begun) * 1e6 / requests


def evenness(nodes: int = 40, servers: int = 1000, descriptors: int = 333) -> dict[str, int]:
    """By how many nodes each server is reached, and how much a node's reach changes with one server less."""
    members = [SubsetMember(f"i-{i}", f"z{i % 3}", i // 12) for i in range(servers)]
    tier = [Subset(SubsetSettings(descriptors, i, nodes)) for i in range(nodes)]
    count = Counter({m.id: 0 for m in members})
    exchanged = 0
    for subset in tier:
        subset.update(members, 1)
        count.update(subset.held)
        before, now = set(subset.held), 1
        subset.update(members[1:], now)
        while subset.entering or subset.leaving:
            now += subset.settings.swap_us
            subset.tick(now)
        exchanged = max(exchanged, len(before - subset.held))
    return {"reach_least": min(count.values()), "reach_most": max(count.values()), "reach_exchanged": exchanged}


async def fleet(
    dir: Path, servers: int, sockets: int, rps: float, turns: int, seconds: float, before: Path | None
) -> dict[str, float]:
    """CPU and handshakes of each process that took turns."""
    rig = Rig(dir, servers)
    await rig.start()
    try:
        costs = await rig.beside_relay(rps, turns, seconds, sockets=sockets, before=before)
        out = {f"{name}_us": round(statistics.median(rows), 1) for name, rows in costs.items()}
        for name in costs:
            if name != "relay":
                out[f"{name}_handshakes"] = round(1000 * rig.made[name] / max(1, rig.served[name]), 1)
        return out
    finally:
        await rig.close()


def lab(name: str, command: list[str] | None) -> Result:
    """A scenario of the lab with real nodes; a run that the lab can't vouch for is made again, twice at most."""
    s = parse((SCENARIOS / f"{name}.toml").read_text())

    for _ in range(3):
        with tempfile.TemporaryDirectory() as dir:
            result = run_scenario(s, 1, Path(dir), progress(name, s.length_s), command)
        print(file=sys.stderr)
        if result.verdict.valid:
            break
    return result


def stale(result: Result) -> dict[str, Any]:
    """What silent closes cost: payments, and for comparison lookups."""
    r = result.recording
    keyed = {c.name for c in r.rules.classes if c.effect == "dedup"}
    payments = {i for i, call in enumerate(r.rules.calls) if r.rules.classes[call.cls].effect == "dedup"}
    marks = Counter("payments" if m.text in keyed else "lookups" for m in r.marks if m.what == "stale")
    asked = {a.call for a in r.asks} & payments
    served = {a.call for a in r.asks if a.status == 200}
    effects = effects_per_key(r)
    return {
        "payments": len(asked), "stale_losses": marks["payments"], "stale_lookups": marks["lookups"],
        "payments_lost": len(asked - served), "effects_wrong": sum(effects.get(i, 0) != 1 for i in asked & served),
        "stale_run_valid": result.verdict.valid, "stale_run_violations": sum(result.verdict.counts.values()),
    }


def cold(result: Result) -> dict[str, Any]:
    return {
        "cold_peak_ratio": round(result.verdict.cold_peak_ratio, 3), "returned": len(result.recording.starts),
        "cold_violations": result.verdict.counts["cold"], "cold_run_valid": result.verdict.valid,
        "cold_run_served": round(result.verdict.served / max(1, result.verdict.taken), 4),
    }


LAB: tuple[tuple[str, Callable[[Result], dict[str, Any]]], ...] = (("silent-closes", stale), ("returns", cold))


def measure(rps: float, turns: int, seconds: float, before: Path | None) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    runs: dict[int, list[float]] = {10: [], 1000: []}
    for _ in range(5):
        for count, rows in runs.items():
            rows.append(plan_us(count))
    for count, rows in runs.items():
        figures[f"plan_us_per_request_{count}"] = round(statistics.median(rows), 2)
    growths = [b / a for a, b in zip(*runs.values(), strict=True)]
    figures["plan_growth"] = round(statistics.median(growths), 3)
    figures.update(evenness())
    for servers, sockets in FLEETS:
        print(f"{servers} servers, {sockets} descriptors", file=sys.stderr)
        with tempfile.TemporaryDirectory() as dir:
            got = uvloop.run(fleet(Path(dir), servers, sockets, rps, turns, seconds, before))
        for name, value in got.items():
            name = name.removeprefix("node_")
            name = {"us": "node_us", "handshakes": "handshakes_per_1000", "before_us": "node_us_before",
                    "before_handshakes": "handshakes_per_1000_before"}.get(name, name)
            figures[f"{name}_{servers}"] = value
    figures["handshakes_per_1000"] = figures["handshakes_per_1000_600"]
    figures["node_growth"] = round(figures["node_us_600"] / figures["node_us_3"], 3)
    for name, look in LAB:
        figures.update(look(lab(name, None)))
        if before is not None:
            figures.update({f"{k}_before": v for k, v in look(lab(name, earlier(before))).items()})
    return figures


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON")
    parser.add_argument("--before", type=Path, help="a checkout of an earlier state, to be measured beside this one")
    parser.add_argument("--rps", type=float, default=1000.0)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    args = parser.parse_args()
    if args.before is not None and not (args.before / "headspar" / "__main__.py").exists():
        print(f"--before: {args.before} is no checkout", file=sys.stderr)
        return 2
    write_line(measure(args.rps, args.turns, args.seconds, args.before), args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
