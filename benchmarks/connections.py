"""``python -m benchmarks.connections [--json] [--before CHECKOUT]``: the cost of connection handling, and its losses.

``plan_us_per_request_*``: the connection plan alone (``take`` and ``answered``, with one tick a second) at 10 and at
1,000 servers that are used equally.  ``node_us_*``: CPU time per request of a node with 1,024 descriptors before 3,
90 and 600 instant servers, next to a bare relay in the same run; ``handshakes_per_1000*``: new connections per 1,000
requests of these runs (without a number: before 600), and before 1,000 servers with a third as many descriptors.

``reach_*``: without sockets, 40 nodes and 1,000 servers with 333 connections each: the fewest and the most nodes that
have a server in their subset, and the most servers that one node replaces when one server is removed.

Two runs in the lab.  ``silent-closes``: ``stale_losses`` are payments written to a connection that the server had
silently dropped, ``payments_lost`` those not answered with 200, ``effects_wrong`` keys with no effect, or
two.  ``returns``: 23% of the servers come back cold at once; ``cold_peak_ratio`` is the maximum work sent to one of
them over what it was allowed.

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

from benchmarks.rig import Rig, node_command, progress, write_line
from headspar.connections.plan import Answer, Plan, PlanSettings
from headspar.connections.subset import Subset, SubsetMember, SubsetSettings
from headspar.lab.result import Result
from headspar.lab.run import run_scenario
from headspar.world.audit import effects_per_key
from headspar.world.scenario import parse

FLEETS = ((3, 1024), (90, 1024), (600, 1024), (1000, 333))  # servers, descriptors
SCENARIOS = Path(__file__).resolve().parent.parent / "headspar" / "lab" / "scenarios"


def plan_us(servers: int, requests: int = 60_000) -> float:
    """Microseconds of the plan per request, at 1,000 requests a second with 20 outstanding at any time."""
    rng = random.Random(7)
    plan = Plan(PlanSettings(4 * servers + 100, 15_000_000), 1)
    names = [f"s{i}" for i in range(servers)]
    for name in names:
        plan.place(name, 0)
    picks = [rng.choice(names) for _ in range(requests)]
    outstanding: list[int] = []
    now, ticked = 0, 0
    started = time.perf_counter()
    for name in picks:
        now += 1000
        decision = plan.take(name, now, proof=False)
        if decision.answer is Answer.OPEN:
            plan.stop_waiting(name)
            plan.opened(decision.connection, now, taken=True)
        outstanding.append(decision.connection)
        if len(outstanding) > 20:
            plan.answered(outstanding.pop(0), now, keep=True)
        if now - ticked >= 1_000_000:
            ticked = now
            plan.tick(now)
    return (time.perf_counter() - started) * 1e6 / requests


def subset_balance(nodes: int = 40, servers: int = 1000, descriptors: int = 333) -> dict[str, int]:
    """How many nodes have each server in their subset, and how much a subset changes when one server is removed."""
    members = [SubsetMember(f"i-{i}", f"z{i % 3}", i // 12) for i in range(servers)]
    subsets = [Subset(SubsetSettings(descriptors, i, nodes)) for i in range(nodes)]
    count = Counter({m.id: 0 for m in members})
    exchanged = 0
    for subset in subsets:
        subset.update(members, 1)
        count.update(subset.held)
        before, now = set(subset.held), 1
        subset.update(members[1:], now)
        while subset.entering or subset.leaving:
            now += subset.settings.swap_us
            subset.tick(now)
        exchanged = max(exchanged, len(before - subset.held))
    return {"reach_least": min(count.values()), "reach_most": max(count.values()), "reach_exchanged": exchanged}


async def measure_fleet(
    dir: Path, servers: int, sockets: int, rps: float, turns: int, seconds: float, before: Path | None
) -> dict[str, float]:
    """CPU time per request (µs) and handshakes per 1,000 requests of each process."""
    rig = Rig(dir, servers)
    await rig.start()
    try:
        costs = await rig.beside_relay(rps, turns, seconds, sockets=sockets, before=before)
        out = {f"{name}_us": round(statistics.median(rows), 1) for name, rows in costs.items()}
        for name in costs:
            if name != "relay":
                out[f"{name}_handshakes"] = round(1000 * rig.handshakes[name] / max(1, rig.served[name]), 1)
        return out
    finally:
        await rig.close()


def run_lab(name: str, command: list[str] | None) -> Result:
    """Runs a lab scenario with real nodes; a run that is not valid is repeated at most twice."""
    s = parse((SCENARIOS / f"{name}.toml").read_text())

    for _ in range(3):
        with tempfile.TemporaryDirectory() as dir:
            result = run_scenario(s, 1, Path(dir), progress(name, s.length_s), command)
        print(file=sys.stderr)
        if result.verdict.valid:
            break
    return result


def stale_figures(result: Result) -> dict[str, Any]:
    """Losses through silently closed connections: payments, and lookups for comparison."""
    r = result.recording
    keyed_classes = {c.name for c in r.rules.classes if c.effect == "dedup"}
    payments = {i for i, call in enumerate(r.rules.calls) if r.rules.classes[call.cls].effect == "dedup"}
    marks = Counter("payments" if m.text in keyed_classes else "lookups" for m in r.marks if m.what == "stale")
    asked = {a.call for a in r.asks} & payments
    served = {a.call for a in r.asks if a.status == 200}
    effects = effects_per_key(r)
    return {
        "payments": len(asked), "stale_losses": marks["payments"], "stale_lookups": marks["lookups"],
        "payments_lost": len(asked - served), "effects_wrong": sum(effects.get(i, 0) != 1 for i in asked & served),
        "stale_run_valid": result.verdict.valid, "stale_run_violations": sum(result.verdict.counts.values()),
    }


def cold_figures(result: Result) -> dict[str, Any]:
    """Load on servers that come back cold."""
    return {
        "cold_peak_ratio": round(result.verdict.cold_peak_ratio, 3), "returned": len(result.recording.starts),
        "cold_violations": result.verdict.counts["cold"], "cold_run_valid": result.verdict.valid,
        "cold_run_served": round(result.verdict.served / max(1, result.verdict.taken), 4),
    }


LAB: tuple[tuple[str, Callable[[Result], dict[str, Any]]], ...] = (
    ("silent-closes", stale_figures), ("returns", cold_figures))


def measure(rps: float, turns: int, seconds: float, before: Path | None) -> dict[str, Any]:
    """All figures; ``before``: a checkout whose node is measured too."""
    figures: dict[str, Any] = {}
    runs: dict[int, list[float]] = {10: [], 1000: []}
    for _ in range(5):
        for count, rows in runs.items():
            rows.append(plan_us(count))
    for count, rows in runs.items():
        figures[f"plan_us_per_request_{count}"] = round(statistics.median(rows), 2)
    growths = [b / a for a, b in zip(*runs.values(), strict=True)]
    figures["plan_growth"] = round(statistics.median(growths), 3)
    figures.update(subset_balance())
    for servers, sockets in FLEETS:
        print(f"{servers} servers, {sockets} descriptors", file=sys.stderr)
        with tempfile.TemporaryDirectory() as dir:
            measured = uvloop.run(measure_fleet(Path(dir), servers, sockets, rps, turns, seconds, before))
        for name, value in measured.items():
            name = name.removeprefix("node_")
            name = {"us": "node_us", "handshakes": "handshakes_per_1000", "before_us": "node_us_before",
                    "before_handshakes": "handshakes_per_1000_before"}.get(name, name)
            figures[f"{name}_{servers}"] = value
    figures["handshakes_per_1000"] = figures["handshakes_per_1000_600"]
    figures["node_growth"] = round(figures["node_us_600"] / figures["node_us_3"], 3)
    for name, evaluate in LAB:
        figures.update(evaluate(run_lab(name, None)))
        if before is not None:
            figures.update({f"{k}_before": v for k, v in evaluate(run_lab(name, node_command(before))).items()})
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
        print(f"--before: {args.before} has no headspar/__main__.py", file=sys.stderr)
        return 2
    write_line(measure(args.rps, args.turns, args.seconds, args.before), args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
