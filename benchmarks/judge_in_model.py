"""``python -m benchmarks.judge_in_model [--json] [--draws N]``: the judge over mixed fleets in the model, by seed.

Real decisions in simulated time: nodes in three sites before servers of their own sites, with little and uneven
traffic.  After the baseline period some nodes (``--changed``), alternating between the sites, are restarted with
another version.  A harm is a changed piece of text of the decision module, a setting, or what the model does to a
version's answers.  The judge reads the reports that nodes send once a second, and the state of the fleet's
surroundings, as it does in the controller.

``harmless``: by what happens meanwhile, the percentage rolled back (``false_stops_pct``), paused and allowed to go
on.  ``harms``: the percentage rolled back (``caught_pct``), when (``to_verdict_s``, median, from the beginning of the
stage), and the median share of the fleet's requests until then that reached the changed nodes (``exposed_share``).
"""

from __future__ import annotations

import argparse
import json
import os
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from headspar import decide
from headspar.keeper.messages import Work
from headspar.model.simulate import simulate
from headspar.model.work import Mixture, Version, VersionChange
from headspar.rollout.change_judge import Judging
from headspar.rollout.judge.judge import Judge
from headspar.rollout.judge.types import JudgeSettings, Limits, Stage, VerdictKind
from headspar.settings import read_settings
from headspar.world.plan import draw, node_names
from headspar.world.rules import settings
from headspar.world.scenario import Callers, Discovery, Fault, Load, Nodes, Rules, Scenario, Servers, check

DRAWS = 40
NODES, CHANGED_NODES = 24, 1
RPS = 20.0  # per node
BEFORE_S, STAGE_S = 50.0, 150.0
# Short times, because the runs are short: observed from the first ten seconds on, judged from twenty.
LIMITS = Limits(first_s=20.0, least_s=30.0, most_s=STAGE_S - 5.0, settle_s=5.0)


@dataclass(frozen=True)
class Case:
    """``plant``: texts of the decision module with their replacements; ``faults``: faults of the surroundings, their
    ``at_s`` counted from the beginning of the stage."""

    plant: tuple[tuple[str, str], ...] = ()
    version: Version = field(default_factory=Version)
    faults: tuple[Fault, ...] = ()
    limits: Limits = LIMITS


ARRIVED = '        self.capacity.offered_work += cost\n        a = self.admission\n'
REFUSE = ARRIVED + '''        if {when} and self.rng.random() < {share}:
            self.refused += 1
            self.actions.append(Refuse(e.id, 0))
            return
'''
UNUSABLE = "        self.usable = entry.reachable and not self.drained\n"
DRAWN = "        drawn = self.draw_cold(r, now)\n"


def refuse_share(share: float, when: str = "True") -> tuple[tuple[str, str], ...]:
    """A plant that refuses a share of the requests for which the expression *when* holds."""
    return ((ARRIVED, REFUSE.format(when=when, share=share)),)


RELEASE = (Fault(at_s=20.0, kind="drain", servers=0.25, site="site-a", linger_s=4.0, back_s=6.0),)
HARMLESS: dict[str, Case] = {
    "calm": Case(),
    "a burst": Case(faults=(Fault(at_s=30.0, kind="flood", agent="agent-b", for_s=30.0, factor=3.0),)),
    "a site's release": Case(faults=RELEASE),
    "a site's servers die": Case(faults=(
        Fault(at_s=20.0, kind="die", servers=0.6, site="site-a", back_s=15.0),)),
    "discovery is gone": Case(faults=(Fault(at_s=15.0, kind="discovery_gone", for_s=30.0),
                                      Fault(at_s=20.0, kind="die", servers=0.1, back_s=5.0))),
}
HARMS: dict[str, Case] = {
    "answers 5% later": Case(version=Version(later=0.05)),
    "refuses 4 points": Case(refuse_share(0.04)),
    "refuses 6 points of one class": Case(refuse_share(0.06, 'cls.spec.name == "payment"')),
    "leaks 1 MB a minute": Case(version=Version(leak_mb_min=1.0),
                                limits=Limits(first_s=20.0, least_s=130.0, most_s=STAGE_S - 5.0, settle_s=5.0,
                                              memory_mb=100.0)),
    "sends to drained servers": Case(((UNUSABLE, "        self.usable = entry.reachable\n"),), faults=(
        Fault(at_s=20.0, kind="drain", servers=0.25, linger_s=10.0, back_s=12.0),)),
    "three times the connections": Case(version=Version(connections={"age_s": 1.0})),
    "two attempts for each": Case((
        ("        wait = (1.5 if b.health < 0.6 else OVERDUE) * r.expect\n", "        wait = 0.0\n"),
        ("        if now - last.sent_at < 1.4 * r.expect:\n", "        if False:\n"),
        ("        if not worth_it or self.hedge_tokens < 1.0 or self.capacity.acc <= ACC_FLOOR:\n",
         "        if False:\n"),
    )),
    "worse in one site": Case(refuse_share(0.15, 'self.settings.zone == "site-a"')),
    "bad after 50 s": Case(refuse_share(0.08, "now > 50_000_000 + self.born"), limits=Limits(
        first_s=20.0, least_s=100.0, most_s=STAGE_S - 2.0, settle_s=5.0)),
}
INIT_START_TIME = ("        self.ticked_at = 0\n", "        self.ticked_at = 0\n        self.born = 0\n")
SET_START_TIME = ("            self.tick_at = now_us\n",
                  "            self.tick_at = now_us\n            self.born = now_us\n")


def build_scenario(nodes: int, seed: int, faults: tuple[Fault, ...]) -> Scenario:
    """A fleet whose servers run at half of their capacity, a fifth of them on faster machines."""
    servers = round(nodes * RPS / 27.0 / 0.5)
    shifted = [Fault(**{**{f: getattr(x, f) for f in x.__struct_fields__}, "at_s": BEFORE_S + x.at_s})
               for x in faults]
    return check(Scenario(
        name=f"mixed-{seed}", length_s=BEFORE_S + STAGE_S, nodes=Nodes(count=nodes),
        servers=[Servers(count=servers - servers // 5, connections=nodes, idle_s=8.0),
                 Servers(count=servers // 5, machine="fast", speed=(1.3, 1.6), connections=nodes, idle_s=8.0)],
        load=Load(rps=nodes * RPS, swing=0.1, node_skew=0.4), callers=Callers(retries=1, notice_s=1.0),
        discovery=Discovery(notice_s=(0.5, 1.5), calls_per_s=nodes), rules=Rules(), faults=shifted,
    ))


def planted_version(case: Case, folder: Path) -> Version:
    """The case's version; a changed decision module is written to *folder*.  Raises ``SystemExit`` if a text to
    replace does not occur exactly once."""
    if not case.plant:
        return case.version
    text = Path(decide.__file__).read_text()
    for before, after in (*case.plant, INIT_START_TIME, SET_START_TIME):
        if text.count(before) != 1:
            raise SystemExit(f"planted text occurs {text.count(before)} times, not once: {before!r}")
        text = text.replace(before, after)
    path = folder / "decide.py"
    path.write_text(text)
    return Version(case.version.settings, case.version.connections, str(path), case.version.leak_mb_min,
                   case.version.later)


def play(task: tuple[str, int, int, int]) -> tuple[str, VerdictKind, str, float, float, int]:
    """Plays (case, nodes, changed nodes, seed).  Returns the case's name, the verdict, its reason, its time in
    seconds, the exposed share and the number of rules broken."""
    name, nodes, changed, seed = task
    case = (HARMLESS | HARMS)[name]
    scenario = build_scenario(nodes, seed, case.faults)
    rng = random.Random(f"{seed}/mixed")
    with tempfile.TemporaryDirectory(prefix="headspar-mixed-") as folder:
        sites = [rng.sample(names, len(names)) for _, names in sorted(by_site(scenario, seed).items())]
        new = [sites[i % len(sites)][i // len(sites)] for i in range(changed)]
        changes = [VersionChange(BEFORE_S, n, "new") for n in new]
        result = simulate(scenario, seed, mixture=Mixture({"new": planted_version(case, Path(folder))}, changes))
    reports: dict[int, list[Any]] = {}
    for row in result.readings:
        reports.setdefault(round(row.at_s), []).append(row)
    site_of = {row.node: row.site for row in result.readings}
    judging = Judging(JudgeSettings(True, BEFORE_S - 5.0, 1.0, case.limits), site_of, 0.0, None)
    judge: Judge | None = None
    verdict, at = None, 0.0
    for second in sorted(reports):
        now = float(second)
        for row in reports[second]:
            judging.add_work(row.node, Work(row.process, row.up_s, "new" if row.version else "old", row.counts,
                                            row.gauges), now)
        if now >= BEFORE_S and judge is None:
            before = judging.take_baseline(now)
            judge = Judge(judging.intake, Stage(now, frozenset(new), "new"), case.limits, before)
        elif judge is not None:
            verdict, at = judge.look(now, judging.world(judge.old, now)), now - BEFORE_S
            if verdict.kind is not VerdictKind.WAIT:
                break
    assert verdict is not None and judge is not None
    exposed = total = 0.0
    for node in site_of:
        taken = judging.intake.sums(node, BEFORE_S, BEFORE_S + at).get("taken", 0.0)
        total += taken
        exposed += taken if node in new else 0.0
    return name, verdict.kind, verdict.reason, at, exposed / max(1.0, total), sum(result.verdict.counts.values())


def by_site(scenario: Scenario, seed: int) -> dict[str, list[str]]:
    """Nodes by site."""
    plan = draw(scenario, seed)
    out: dict[str, list[str]] = {}
    for i, name in enumerate(node_names(scenario)):
        out.setdefault(read_settings(settings(scenario, plan, i)).zone, []).append(name)
    return out


def _pct(part: int, whole: int) -> float:
    return round(100 * part / whole, 1)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON (it always does)")
    parser.add_argument("--draws", type=int, default=DRAWS)
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--changed", type=int, default=CHANGED_NODES)
    parser.add_argument("--only", help="names of cases, separated by commas")
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    args = parser.parse_args()
    since = time.monotonic()
    names = [n for n in (*HARMLESS, *HARMS) if not args.only or n in args.only.split(",")]
    rows: dict[str, list[tuple[VerdictKind, str, float, float, int]]] = {n: [] for n in names}
    with ProcessPoolExecutor(args.workers) as pool:
        for name, *row in pool.map(
                play, [(n, args.nodes, args.changed, 1000 + s) for n in names for s in range(args.draws)]):
            rows[name].append(tuple(row))  # type: ignore[arg-type]
            if len(rows[name]) == args.draws:
                kinds = Counter(r[0].value for r in rows[name])
                print(f"{name}: {dict(kinds)}, {time.monotonic() - since:.0f} s", file=sys.stderr)
                for kind, reason, at, _, _ in rows[name][:3]:
                    print(f"    {kind.value} at {at:.0f} s: {reason}", file=sys.stderr)
    out: dict[str, Any] = {"draws": args.draws, "nodes": args.nodes, "changed": args.changed,
                           "harmless": {}, "harms": {}}
    for name, results in rows.items():
        rolled_back = [r for r in results if r[0] is VerdictKind.BACK]
        paused = _pct(sum(r[0] is VerdictKind.PAUSE for r in results), len(results))
        if name in HARMLESS:
            out["harmless"][name] = {"false_stops_pct": _pct(len(rolled_back), len(results)), "paused_pct": paused,
                                     "on_pct": _pct(sum(r[0] is VerdictKind.GO_ON for r in results), len(results))}
        else:
            out["harms"][name] = {
                "caught_pct": _pct(len(rolled_back), len(results)), "paused_pct": paused,
                "to_verdict_s": statistics.median(r[2] for r in rolled_back) if rolled_back else None,
                "exposed_share": round(statistics.median(r[3] for r in rolled_back), 3) if rolled_back else None}
    out["rules_broken_harmless"] = sum(r[4] for name in HARMLESS for r in rows.get(name, []))
    out["seconds"] = round(time.monotonic() - since)
    print(json.dumps(out))


if __name__ == "__main__":
    main()
