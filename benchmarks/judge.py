"""``python -m benchmarks.judge [--json] [--draws N]``: the judge of stages over fleets made by hand, drawn by seed.

Twelve nodes in three sites, three of them changed and three restarted alongside, 40 requests a second a node; counts
a second as nodes would tell them, no servers and no requests one by one (``tests/rollout/judge/world.py``).

``harmless``: of changes that do no harm, by what the world does meanwhile, the share in percent taken back
(``false_stops_pct``), paused and let go on.  ``harms``: of each planted harm the share taken back in percent
(``caught_pct``), the median time to that (``to_verdict_s``) and the median share of the fleet's requests of that time
that met the changed nodes (``exposed_share``).  ``power``: for stages of several sizes the harm that the plan says it
would see in eight of ten cases, and in how many it was (``seen``), the margin being half of it.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from headspar.rollout.judge.baseline import take_baseline
from headspar.rollout.judge.power import powers
from headspar.rollout.judge.readings import Intake
from headspar.rollout.judge.types import FIGURES, Environment, Figure, Limits, VerdictKind
from tests.rollout.judge.world import BEFORE_S, Fleet, Harm

DRAWS = 40
ONE_POINT = (Figure("refused", "refused", "taken", 0.01), Figure("failed", "failed", "taken", 0.02))


def _burst(seed: int) -> Fleet:
    return Fleet(seed=seed, placebos=3, load=lambda site, t: 1.5 if 30 < t < 60 else 1.0,
                 trouble=lambda site, t: 0.15 if 30 < t < 60 else 0.0)


def _release(seed: int) -> Fleet:
    return Fleet(seed=seed, placebos=3, trouble=lambda site, t: 0.2 if site == "b" and t > 20 else 0.0,
                 world=Environment(servers_lost={"b": 0.2}))


def _dying(seed: int) -> Fleet:
    return Fleet(seed=seed, new=6, dead=lambda site, t: site == "a" and t > 20)


def _outage(seed: int) -> Fleet:
    """Discovery is gone for 40 s: servers that die are heard of late, at all nodes alike."""
    return Fleet(seed=seed, placebos=3, trouble=lambda site, t: 0.08 if 25 < t < 65 else 0.0)


HARMLESS: dict[str, Callable[[int], Fleet]] = {
    "calm": lambda seed: Fleet(seed=seed, placebos=3), "burst": _burst, "a site's release": _release,
    "a site dies": _dying, "discovery's outage": _outage,
    "traffic differs by half": lambda seed: Fleet(seed=seed, placebos=3, skew=0.5),
    "nothing restarted alongside": lambda seed: Fleet(seed=seed),
}
HARMS: dict[str, Callable[[int], Fleet]] = {
    "late, 5 points": lambda seed: Fleet(seed=seed, placebos=3, harm=Harm(late=0.05)),
    "refused, 4 points": lambda seed: Fleet(seed=seed, placebos=3, harm=Harm(refused=0.04)),
    "refused, 2 points of one class, margin 3": lambda seed: Fleet(
        seed=seed, placebos=3, harm=Harm(pay_refused=0.02)),
    "refused, 2 points of one class, margin 1": lambda seed: Fleet(
        seed=seed, placebos=3, harm=Harm(pay_refused=0.02), limits=Limits(by_class=ONE_POINT)),
    "refused, 6 points of one class": lambda seed: Fleet(seed=seed, placebos=3, harm=Harm(pay_refused=0.06)),
    "failed, 3 points": lambda seed: Fleet(seed=seed, placebos=3, harm=Harm(failed=0.03)),
    "three times the connections": lambda seed: Fleet(seed=seed, placebos=3, harm=Harm(handshakes=3.0)),
    "attempts, 1.4 times": lambda seed: Fleet(seed=seed, placebos=3, harm=Harm(attempts=1.4)),
    "leaks 1 MB a minute": lambda seed: Fleet(seed=seed, placebos=3, harm=Harm(leak_mb_min=1.0),
                                              limits=Limits(memory_mb=140.0, least_s=200.0)),
    "breaks a rule every two seconds": lambda seed: Fleet(seed=seed, placebos=3, harm=Harm(broken=0.5)),
    "neighbours late, 6 points": lambda seed: Fleet(seed=seed, new=2, harm=Harm(neighbours=0.06)),
    "worse in one site, 15 points late": lambda seed: Fleet(seed=seed, new=6, harm=Harm(late=0.15, site="b")),
    "bad after four minutes, 8 points": lambda seed: Fleet(seed=seed, placebos=3, harm=Harm(refused=0.08, from_s=240),
                                                           limits=Limits(least_s=400)),
    "late, 5 points, in a burst": lambda seed: Fleet(
        seed=seed, placebos=3, harm=Harm(late=0.05), load=lambda site, t: 1.5 if 30 < t < 60 else 1.0,
        trouble=lambda site, t: 0.15 if 30 < t < 60 else 0.0),
}
SIZES = ((12, 1), (12, 3), (24, 6))  # nodes of one site, changed


def harmless(case: tuple[str, int]) -> tuple[str, VerdictKind]:
    name, seed = case
    return name, HARMLESS[name](seed).play()[0].kind


def harmful(case: tuple[str, int]) -> tuple[str, VerdictKind, float, float]:
    """With the time, and the share of requests that met the changed nodes until then."""
    name, seed = case
    fleet = HARMS[name](seed)
    verdict, at = fleet.play()
    total = sum(fleet.size.values())
    return name, verdict.kind, at, sum(fleet.size[n] for n in fleet.changed) / total


def power(case: tuple[int, int, int]) -> tuple[int, int, float, bool]:
    """What the plan says of *refused* for one fleet, and whether a harm of that size was seen."""
    nodes, new, seed = case
    (figure,) = (f for f in FIGURES if f.name == "refused")
    limits = Limits(figures=(figure,), by_class=(), most_s=200.0)
    quiet = Fleet(nodes=nodes, sites=1, new=new, seed=seed, limits=limits)
    intake = Intake()
    for at, rows in quiet.before():
        for row in rows:
            intake.add(row, at)
    before = take_baseline(intake, 0.0, BEFORE_S - 2)
    told = next(p for p in powers(before, [sorted(quiet.changed)], limits) if p.figure == "refused")
    if told.least is None:
        return nodes, new, 0.0, False
    tight = Limits(figures=(Figure("refused", "refused", "taken", told.least / 2),), by_class=(), most_s=200.0)
    harmed = Fleet(nodes=nodes, sites=1, new=new, seed=seed, limits=tight, harm=Harm(refused=told.least))
    return nodes, new, told.least, harmed.play()[0].kind is VerdictKind.BACK


def _pct(part: int, whole: int) -> float:
    return round(100 * part / whole, 1)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON (it always does)")
    parser.add_argument("--draws", type=int, default=DRAWS)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    args = parser.parse_args()
    since, seeds = time.monotonic(), range(1000, 1000 + args.draws)
    out: dict[str, Any] = {"draws": args.draws, "harmless": {}, "harms": {}, "power": []}
    with ProcessPoolExecutor(args.workers) as pool:
        kinds: dict[str, Counter[VerdictKind]] = {name: Counter() for name in HARMLESS}
        for name, kind in pool.map(harmless, [(n, s) for n in HARMLESS for s in seeds], chunksize=4):
            kinds[name][kind] += 1
        for name, found in kinds.items():
            out["harmless"][name] = {
                "false_stops_pct": _pct(found[VerdictKind.BACK], args.draws),
                "paused_pct": _pct(found[VerdictKind.PAUSE], args.draws),
                "on_pct": _pct(found[VerdictKind.GO_ON], args.draws)}
            print(f"{name}: {out['harmless'][name]}", file=sys.stderr)
        rows: dict[str, list[tuple[VerdictKind, float, float]]] = {name: [] for name in HARMS}
        for name, kind, at, share in pool.map(harmful, [(n, s) for n in HARMS for s in seeds], chunksize=4):
            rows[name].append((kind, at, share))
        for name, of in rows.items():
            caught = [(at, share) for kind, at, share in of if kind is VerdictKind.BACK]
            out["harms"][name] = {
                "caught_pct": _pct(len(caught), len(of)),
                "paused_pct": _pct(sum(kind is VerdictKind.PAUSE for kind, _, _ in of), len(of)),
                "to_verdict_s": round(statistics.median(at for at, _ in caught), 1) if caught else None,
                "exposed_share": round(statistics.median(share for _, share in caught), 3) if caught else None}
            print(f"{name}: {out['harms'][name]}", file=sys.stderr)
        for nodes, new in SIZES:
            found_ = list(pool.map(power, [(nodes, new, s) for s in seeds], chunksize=4))
            told = [least for _, _, least, _ in found_ if least > 0]
            out["power"].append({
                "nodes": nodes, "changed": new, "stated": round(statistics.median(told), 4) if told else None,
                "seen_pct": _pct(sum(seen for _, _, least, seen in found_ if least > 0), max(1, len(told)))})
            print(f"power: {out['power'][-1]}", file=sys.stderr)
    out["seconds"] = round(time.monotonic() - since)
    print(json.dumps(out))


if __name__ == "__main__":
    main()
