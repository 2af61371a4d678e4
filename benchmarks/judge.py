"""``python -m benchmarks.judge [--json] [--draws N]``: the judge of stages over synthetic fleets, drawn by seed.

Twelve nodes in three sites, three of them changed and three restarted as a placebo group, 40 requests a second per
node.  Nodes report counts once a second; servers and single requests are not simulated
(``tests/rollout/judge/world.py``).

``harmless``: for changes that do no harm, by what happens meanwhile, the percentage rolled back
(``false_stops_pct``), paused and allowed to go on.  ``harms``: for each planted harm the percentage rolled back
(``caught_pct``), the median time to that verdict (``to_verdict_s``) and the median share of the fleet's requests in
that time that reached the changed nodes (``exposed_share``).  ``power``: for stages of several sizes the harm that
the plan states it would detect in eight of ten cases, and how often it was detected (``seen_pct``) with a margin of
half that harm.
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
    """Discovery is out for 40 s: all nodes alike learn late of servers that die."""
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
SIZES = ((12, 1), (12, 3), (24, 6))  # nodes of one site, changed nodes


def play_harmless(case: tuple[str, int]) -> tuple[str, VerdictKind]:
    """Name and verdict of one draw."""
    name, seed = case
    return name, HARMLESS[name](seed).play()[0].kind


def play_harm(case: tuple[str, int]) -> tuple[str, VerdictKind, float, float]:
    """Name, verdict, its time in seconds, and the share of requests that reached the changed nodes until then."""
    name, seed = case
    fleet = HARMS[name](seed)
    verdict, at = fleet.play()
    total = sum(fleet.size.values())
    return name, verdict.kind, at, sum(fleet.size[n] for n in fleet.changed) / total


def check_power(case: tuple[int, int, int]) -> tuple[int, int, float, bool]:
    """Nodes, changed nodes, the detectable harm that the plan states for *refused* (0 if none), and whether a harm of
    that size was detected."""
    nodes, new, seed = case
    (figure,) = (f for f in FIGURES if f.name == "refused")
    limits = Limits(figures=(figure,), by_class=(), most_s=200.0)
    quiet = Fleet(nodes=nodes, sites=1, new=new, seed=seed, limits=limits)
    intake = Intake()
    for at, rows in quiet.before():
        for row in rows:
            intake.add(row, at)
    before = take_baseline(intake, 0.0, BEFORE_S - 2)
    stated = next(p for p in powers(before, [sorted(quiet.changed)], limits) if p.figure == "refused")
    if stated.least is None:
        return nodes, new, 0.0, False
    tight = Limits(figures=(Figure("refused", "refused", "taken", stated.least / 2),), by_class=(), most_s=200.0)
    harmed = Fleet(nodes=nodes, sites=1, new=new, seed=seed, limits=tight, harm=Harm(refused=stated.least))
    return nodes, new, stated.least, harmed.play()[0].kind is VerdictKind.BACK


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
        for name, kind in pool.map(play_harmless, [(n, s) for n in HARMLESS for s in seeds], chunksize=4):
            kinds[name][kind] += 1
        for name, found in kinds.items():
            out["harmless"][name] = {
                "false_stops_pct": _pct(found[VerdictKind.BACK], args.draws),
                "paused_pct": _pct(found[VerdictKind.PAUSE], args.draws),
                "on_pct": _pct(found[VerdictKind.GO_ON], args.draws)}
            print(f"{name}: {out['harmless'][name]}", file=sys.stderr)
        rows: dict[str, list[tuple[VerdictKind, float, float]]] = {name: [] for name in HARMS}
        for name, kind, at, share in pool.map(play_harm, [(n, s) for n in HARMS for s in seeds], chunksize=4):
            rows[name].append((kind, at, share))
        for name, results in rows.items():
            caught = [(at, share) for kind, at, share in results if kind is VerdictKind.BACK]
            out["harms"][name] = {
                "caught_pct": _pct(len(caught), len(results)),
                "paused_pct": _pct(sum(kind is VerdictKind.PAUSE for kind, _, _ in results), len(results)),
                "to_verdict_s": round(statistics.median(at for at, _ in caught), 1) if caught else None,
                "exposed_share": round(statistics.median(share for _, share in caught), 3) if caught else None}
            print(f"{name}: {out['harms'][name]}", file=sys.stderr)
        for nodes, new in SIZES:
            power_rows = list(pool.map(check_power, [(nodes, new, s) for s in seeds], chunksize=4))
            stated = [least for _, _, least, _ in power_rows if least > 0]
            out["power"].append({
                "nodes": nodes, "changed": new, "stated": round(statistics.median(stated), 4) if stated else None,
                "seen_pct": _pct(sum(seen for _, _, least, seen in power_rows if least > 0), max(1, len(stated)))})
            print(f"power: {out['power'][-1]}", file=sys.stderr)
    out["seconds"] = round(time.monotonic() - since)
    print(json.dumps(out))


if __name__ == "__main__":
    main()
