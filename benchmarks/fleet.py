"""``python -m benchmarks.fleet [--json] [--before CHECKOUT] [--seeds N]``: large fleets in the model.

40 nodes, 60 servers, requests twice as heavy as the site's.  ``herd``: 36 nodes are killed at once, and discovery
serves 20 calls a second.  ``zone``: 28 servers die at once and come back cold after 15 s.  ``join``: 36 servers are
drained at once, stop 4 s later and start again, cold.

``*_served_share``: worth answered over worth requested, mean over seeds, with its range as ``*_low``, ``*_high``;
``handshakes_per_first_try``, ``discovery_calls_per_node`` over all runs; ``cold_budget_worst_ratio``: the maximum
work sent to any cold server over what it was allowed.  ``before_*``: the same of an earlier state of the project.
Probe requests and rows of instance lists are not in the model's records and are not reported.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from headspar.model.simulate import simulate
from headspar.world.scenario import parse

NODES = 40
SCENARIO = """
name = "{name}"
length_s = {length}
[nodes]
count = {nodes}
sockets = 384
memory_mb = 80
[[servers]]
count = 60
cold_share = 0.14
ramp_s = 23
[load]
utilisation = 0.65
work_scale = 2
[discovery]
calls_per_s = 20
[[faults]]
at_s = 4
{fault}
"""
FAULTS = {
    "herd": 'kind = "node_kill"\nnodes = 36\nback_s = 1',
    "zone": 'kind = "die"\nservers = 28\nback_s = 15',
    "join": 'kind = "drain"\nservers = 36\nlinger_s = 4\nback_s = 1',
}


def run_one(name: str, seed: int, length_s: float) -> dict[str, float]:
    """Figures of one run with the version of headspar that this process imports."""
    result = simulate(parse(SCENARIO.format(name=name, length=length_s, nodes=NODES, fault=FAULTS[name])), seed)
    return {
        "served": result.service.whole, "tries": result.service.first_tries, "accepted": result.accepted,
        "asked": result.discovery_calls, "cold": result.verdict.cold_peak_ratio,
        "broken": sum(result.verdict.kinds.values()),
    }


def run(checkout: Path, name: str, seed: int, length_s: float) -> dict[str, float]:
    """Figures of one run with the program of *checkout*, in a process of its own."""
    command = [sys.executable, str(Path(__file__).resolve()), "--one", name, "--seeds", str(seed),
               "--length-s", str(length_s)]
    completed = subprocess.run(command, env={**os.environ, "PYTHONPATH": str(checkout)}, cwd=checkout, check=True,
                               stdout=subprocess.PIPE, text=True, timeout=900)
    figures: dict[str, float] = json.loads(completed.stdout)
    return figures


def summary(runs: dict[str, list[dict[str, float]]], prefix: str) -> dict[str, float]:
    """Figures over all runs (rows by scenario name), their names beginning with *prefix*."""
    out: dict[str, float] = {}
    for name, rows in runs.items():
        shares = [row["served"] for row in rows]
        out[f"{prefix}{name}_served_share"] = round(sum(shares) / len(shares), 4)
        out[f"{prefix}{name}_low"], out[f"{prefix}{name}_high"] = round(min(shares), 4), round(max(shares), 4)
    all_rows = [row for rows in runs.values() for row in rows]
    out[f"{prefix}handshakes_per_first_try"] = round(
        sum(row["accepted"] for row in all_rows) / sum(row["tries"] for row in all_rows), 4)
    out[f"{prefix}discovery_calls_per_node"] = round(sum(row["asked"] for row in all_rows) / len(all_rows) / NODES, 2)
    out[f"{prefix}cold_budget_worst_ratio"] = round(max(row["cold"] for row in all_rows), 4)
    out[f"{prefix}rules_broken"] = sum(row["broken"] for row in all_rows)
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--before", type=Path)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--length-s", type=float, default=30.0)
    parser.add_argument("--one", choices=FAULTS, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one:
        print(json.dumps(run_one(args.one, args.seeds, args.length_s)))
        return
    checkouts = {"": Path(__file__).resolve().parents[1]}
    if args.before is not None:
        checkouts["before_"] = args.before.resolve()
    with ThreadPoolExecutor(max_workers=max(1, (os.cpu_count() or 2) - 1)) as pool:
        jobs = {(prefix, name): [pool.submit(run, checkout, name, seed, args.length_s)
                                 for seed in range(1, args.seeds + 1)]
                for prefix, checkout in checkouts.items() for name in FAULTS}
        out: dict[str, float] = {"seeds": args.seeds}
        for prefix in checkouts:
            out.update(summary({name: [job.result() for job in jobs[prefix, name]] for name in FAULTS}, prefix))
    if not args.json:
        for key, value in out.items():
            print(f"{key:32} {value}")
    print(json.dumps(out))


if __name__ == "__main__":
    main()
