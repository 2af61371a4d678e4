"""Recovery after mass failures: time to full service, thundering herds and stale decisions, in the lab and the model.

    python -m benchmarks.recovery --json                       # ten seeds: about half an hour
    python -m benchmarks.recovery --seeds 3 --model-seeds 3    # a short run: ten minutes
    python -m benchmarks.recovery --seeds 0                    # the model alone

The lab runs 24 nodes as processes before 18 stub servers, the model 200 nodes; each draw is played without and with
the mass failure.  A lab run whose verdict is not valid is repeated once and then left out (counted as ``invalid``).
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

from headspar.lab.result import Result
from headspar.lab.run import run_scenario
from headspar.model.simulate import simulate
from headspar.world.mass_failures import MassFailure, scenario, without_failure
from headspar.world.plan import draw
from headspar.world.recovery import Recovery, measure_recovery, summary

NODES, MODEL_NODES = 24, 200
SHARES = (0.7, 1.0)
LATE_KINDS = ("lost: sent after its time", "lost: sent after its answer")


class Tally:
    """Totals over all draws."""

    def __init__(self) -> None:
        self.rules_broken = self.stale_decisions = self.invalid = self.late_sends = 0
        self.worst_cold_ratio = 0.0


def measure_in_lab(failure: MassFailure, seed: int, tally: Tally) -> Recovery | None:
    """One draw in the lab, added to *tally*; ``None`` if either of its runs was not valid twice."""
    s = scenario(failure, seed)
    # Stalls of the machine itself, of about 100 ms, are not the node's fault.
    s = replace(s, rules=replace(s.rules, lateness_ms=150.0, answer_slack_ms=s.rules.answer_slack_ms + 150.0))
    results: list[Result] = []
    for with_node_faults in (False, True):
        for _ in range(2):
            with tempfile.TemporaryDirectory(prefix="headspar-comeback-") as folder:
                result = run_scenario(s, seed, Path(folder) / "run", with_node_faults=with_node_faults)
            if result.verdict.valid:
                results.append(result)
                break
            print(f"  run not valid: {result.verdict.doubts}", file=sys.stderr)
    if len(results) < 2:
        tally.invalid += 1
        return None
    without, result = results
    v = result.verdict
    tally.rules_broken += sum(v.counts.values()) + sum(without.verdict.counts.values())
    for violation in v.violations[:3]:
        print(f"  {violation.line()}", file=sys.stderr)
    if failure.kind == "node_stop":
        tally.late_sends += sum(v.kinds.get(kind, 0) for kind in LATE_KINDS)
    c = measure_recovery(result.recording, without.recording, s.discovery.calls_per_s)
    tally.stale_decisions += sum(c.stale.values())
    tally.worst_cold_ratio = max(tally.worst_cold_ratio, v.cold_peak_ratio)
    return c


def measure_in_model(task: tuple[MassFailure, int]) -> tuple[Recovery, int, float]:
    """One draw in the model: the recovery, rules broken, and the cold peak ratio."""
    failure, seed = task
    s = scenario(failure, seed)
    plan = draw(s, seed)
    without, result = simulate(s, seed, plan=without_failure(plan)), simulate(s, seed, plan=plan)
    c = measure_recovery(result.recording, without.recording, s.discovery.calls_per_s)
    return c, sum(result.verdict.counts.values()), result.verdict.cold_peak_ratio


def figures(rows: list[Recovery]) -> dict[str, Any]:
    """Figures of one mass failure over its draws."""
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
        found = [measure_in_lab(MassFailure(nodes=NODES, share=share), seed, tally)
                 for seed in range(1, args.seeds + 1)]
        out[f"lab_{share:.0%}"] = figures([c for c in found if c is not None])
        print(f"lab {share:.0%}: {out[f'lab_{share:.0%}']}, {time.monotonic() - since:.0f} s", file=sys.stderr)
    if args.seeds:
        stopped = MassFailure(nodes=NODES, share=22 / 24, kind="node_stop", back_s=5.0, spread_s=0.0)
        found = [measure_in_lab(stopped, seed, tally) for seed in range(1, max(2, args.seeds // 3) + 1)]
        out["lab_stopped"] = figures([c for c in found if c is not None])
    single_kill = MassFailure(nodes=NODES, share=1 / NODES, release=False)
    calls = MODEL_NODES / 8
    failures = {
        "model_70%": MassFailure(nodes=MODEL_NODES, share=0.7, calls_per_s=calls),
        "model_100%": MassFailure(nodes=MODEL_NODES, share=1.0, calls_per_s=calls), "model_alone": single_kill,
    }
    with ProcessPoolExecutor(args.workers) as pool:
        for name, failure in failures.items():
            tasks = [(failure, seed) for seed in range(1, args.model_seeds + 1)]
            rows = list(pool.map(measure_in_model, tasks))
            tally.rules_broken += sum(broken for _, broken, _ in rows)
            tally.worst_cold_ratio = max([tally.worst_cold_ratio, *(cold for _, _, cold in rows)])
            tally.stale_decisions += sum(sum(c.stale.values()) for c, _, _ in rows)
            out[name] = figures([c for c, _, _ in rows])
            if failure is single_kill and rows:
                after = [c.from_start_s for c, _, _ in rows]
                out["alone_full_service_s"] = None if None in after else statistics.median(
                    x for x in after if x is not None)
            print(f"{name}: {out[name]}, {time.monotonic() - since:.0f} s", file=sys.stderr)
    print(json.dumps({
        **out, "cold_over_budget": int(tally.worst_cold_ratio > 1.0),
        "cold_peak_ratio": round(tally.worst_cold_ratio, 2), "stale_decisions": tally.stale_decisions,
        "rules_broken": tally.rules_broken, "after_stop_late_sends": tally.late_sends,
        "invalid": tally.invalid, "seconds": round(time.monotonic() - since),
    }))


if __name__ == "__main__":
    main()
