"""``python -m benchmarks.lab [--json]``: whether the lab itself sustains the load that it is meant to measure.

Four nodes before twelve servers at 2,400 requests a second for 30 s, with work scaled so that the servers run at
about half of their capacity.  No faults are injected, so every loss or duplicate is caused by the nodes or the lab.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

from benchmarks.rig import progress, write_line
from headspar.lab.run import run_scenario
from headspar.world.scenario import parse

SCENARIO = '''
name = "benchmark"
length_s = {seconds}
[nodes]
count = 4
[[servers]]
count = 12
cores = 4
[load]
rps = {rps}
work_scale = 0.2
swing = 0.0
[callers]
processes = 2
'''


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--rps", type=float, default=2400.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    s = parse(SCENARIO.format(seconds=args.seconds, rps=args.rps))

    with tempfile.TemporaryDirectory() as dir:
        result = run_scenario(s, args.seed, Path(dir), progress(s.name, s.length_s))
    print(file=sys.stderr)
    v, r = result.verdict, result.recording
    first_attempts = [a for a in r.asks if a.attempt == 0]
    span = (max(a.planned_at for a in first_attempts) - min(a.planned_at for a in first_attempts)) / 1e6
    figures = {
        "offered_rps": round(len(first_attempts) / span, 1),
        "lateness_p50_ms": max(x.p50 for x in r.lateness if x.part.startswith("callers")) / 1000,
        "lateness_p99_ms": max(x.p99 for x in r.lateness if x.part.startswith("callers")) / 1000,
        "lateness_most_ms": max(x.most for x in r.lateness if x.part.startswith("callers")) / 1000,
        "fleet_lateness_p99_ms": max(x.p99 for x in r.lateness if x.part.startswith("fleet")) / 1000,
        "taken": v.taken, "served": v.served, "refused": v.refused, "failed": v.failed,
        "lost": v.counts["lost"], "duplicated": v.counts["duplicated"], "drain_violations": v.counts["drain"],
        "cold_violations": v.counts["cold"], "valid": v.valid,
    }
    write_line(figures, args.json)
    return 0 if v.valid else 3


if __name__ == "__main__":
    sys.exit(main())
