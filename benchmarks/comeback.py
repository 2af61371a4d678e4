"""Coming back: time to full service, stampedes and stale decisions, over processes and in the model, in one run.

    python -m benchmarks.comeback --json                       # ten seeds: some half an hour
    python -m benchmarks.comeback --seeds 3 --model-seeds 3    # a look: ten minutes
    python -m benchmarks.comeback --seeds 0                    # the model alone

24 nodes as processes before 18 stand-in servers, 200 nodes in the model; each draw is played without and with the
blow.  A run that the lab can't vouch for is made once more and then left out (``invalid``).
"""

from __future__ import annotations

import argparse
import json
import math
import os
import statistics
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from headspar.lab.run import Result, run_scenario
from headspar.model.simulate import simulate
from headspar.world.comeback import Comeback, comeback, summary
from headspar.world.comebacks import Blow, scenario, unstruck
from headspar.world.plan import draw

NODES, MANY = 24, 200
SHARES = (0.7, 1.0)
LATE_KINDS = ("lost: sent after its time", "lost: sent after its answer")


class Tally:
    """What all draws add up to."""

    def __init__(self) -> None:
        self.rules = self.stale = self.invalid = self.late_sends = 0
        self.cold = 0.0


def in_lab(of: Blow, seed: int, tally: Tally) -> Comeback | None:
    s = scenario(of, seed)
    # A machine's own stalls of some 100 ms are not the node's.
    s = replace(s, rules=replace(s.rules, lateness_ms=150.0, answer_slack_ms=s.rules.answer_slack_ms + 150.0))
    results: list[Result] = []
    for struck in (False, True):
        for _ in range(2):
            with tempfile.TemporaryDirectory(prefix="headspar-comeback-") as folder:
                result = run_scenario(s, seed, Path(folder) / "run", struck=struck)
            if result.verdict.valid:
                results.append(result)
                break
            print(f"  no verdict: {result.verdict.doubts}", file=sys.stderr)
    if len(results) < 2:
        tally.invalid += 1
        return None
    without, result = results
    v = result.verdict
    tally.rules += sum(v.counts.values()) + sum(without.verdict.counts.values())
    for violation in v.violations[:3]:
        print(f"  {violation.line()}", file=sys.stderr)
    if of.kind == "node_stop":
        tally.late_sends += sum(v.kinds.get(kind, 0) for kind in LATE_KINDS)
    c = comeback(result.recording, without.recording, s.discovery.calls_per_s)
    tally.stale += sum(c.stale.values())
    tally.cold = max(tally.cold, v.cold_peak_ratio)
    return c


def in_model(task: tuple[Blow, int]) -> tuple[Comeback, int, float]:
    of, seed = task
    s = scenario(of, seed)
    plan = draw(s, seed)
    without, result = simulate(s, seed, plan=unstruck(plan)), simulate(s, seed, plan=plan)
    c = comeback(result.recording, without.recording, s.discovery.calls_per_s)
    return c, sum(result.verdict.counts.values()), result.verdict.cold_peak_ratio


def figures(rows: list[Comeback]) -> dict[str, Any]:
    """Of one blow over its draws."""
    if not rows:
        return {"draws": 0}
    s = summary(rows)

    def number(value: float) -> float | None:
        return None if math.isinf(value) else round(value, 2)

    return {
        "draws": s.draws, "never": s.never,
        "full_service_s": {"median": number(s.full_s.median), "worst": number(s.full_s.worst)},
        "lost_s": {"median": number(s.lost_s.median), "worst": number(s.lost_s.worst)},
        "causes_s": {name: round(seconds, 2) for name, seconds in s.causes.items() if seconds >= 0.01},
        "discovery_peak_over_rate": round(s.peaks["calls to discovery"].over_capacity, 2),
        "discovery_peak_over_steady": round(s.peaks["calls to discovery"].over_steady, 2),
        "handshake_peak_over_limit": round(s.peaks["handshakes at one server"].over_capacity, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON (it always does)")
    parser.add_argument("--seeds", type=int, default=10, help="draws over processes")
    parser.add_argument("--model-seeds", type=int, default=10, help="draws in the model")
    parser.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    args = parser.parse_args()
    since = time.monotonic()
    tally = Tally()
    out: dict[str, Any] = {}
    for share in SHARES:
        found = [in_lab(Blow(nodes=NODES, share=share), seed, tally) for seed in range(1, args.seeds + 1)]
        out[f"lab_{share:.0%}"] = figures([c for c in found if c is not None])
        print(f"lab {share:.0%}: {out[f'lab_{share:.0%}']}, {time.monotonic() - since:.0f} s", file=sys.stderr)
    if args.seeds:
        stopped = Blow(nodes=NODES, share=22 / 24, kind="node_stop", back_s=5.0, spread_s=0.0)
        found = [in_lab(stopped, seed, tally) for seed in range(1, max(2, args.seeds // 3) + 1)]
        out["lab_stopped"] = figures([c for c in found if c is not None])
    alone = Blow(nodes=NODES, share=1 / NODES, release=False)
    calls = MANY / 8
    todo = {
        "model_70%": Blow(nodes=MANY, share=0.7, calls_per_s=calls),
        "model_100%": Blow(nodes=MANY, share=1.0, calls_per_s=calls), "model_alone": alone,
    }
    with ProcessPoolExecutor(args.workers) as pool:
        for name, of in todo.items():
            tasks = [(of, seed) for seed in range(1, args.model_seeds + 1)]
            rows = list(pool.map(in_model, tasks))
            tally.rules += sum(broken for _, broken, _ in rows)
            tally.cold = max([tally.cold, *(cold for _, _, cold in rows)])
            tally.stale += sum(sum(c.stale.values()) for c, _, _ in rows)
            out[name] = figures([c for c, _, _ in rows])
            if of is alone and rows:
                after = [c.from_start_s for c, _, _ in rows]
                out["alone_full_service_s"] = None if None in after else statistics.median(
                    x for x in after if x is not None)
            print(f"{name}: {out[name]}, {time.monotonic() - since:.0f} s", file=sys.stderr)
    print(json.dumps({
        **out, "cold_over_budget": int(tally.cold > 1.0), "cold_peak_ratio": round(tally.cold, 2),
        "stale_decisions": tally.stale, "rules_broken": tally.rules, "after_stop_late_sends": tally.late_sends,
        "invalid": tally.invalid, "seconds": round(time.monotonic() - since),
    }))


if __name__ == "__main__":
    main()
