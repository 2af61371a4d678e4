"""``python -m benchmarks.gate [--json] [--seeds N] [--nodes N] [--results DIR]``: the search over draws.

``draws``, ``broken``: draws of the six days, and those in which a rule was broken or a node crashed; ``failed``: the
same together with those whose verdict is not valid.  ``served_share``: by day the mean over seeds and its 95%
interval (Student's t); ``served_share_plain`` and ``_late`` of the reference policies on the same draws.
``seconds_per_draw``: mean processor time of one draw.  ``drain_late_ms_max``: at 200 nodes (and ``_40``, ``_100``,
``_200``) before a discovery of 20 calls a second, with 36 of 60 servers drained, the latest send after the node
counts as notified of a drain, over the grace where it is above 1,000; ``drain_breaks``: rules broken in those runs.
``planted_faults_caught`` of ``planted_faults``: faults planted in the decision module, each run on a few small draws;
``planted_missed`` names those not caught.  ``shrunk_ok``: whether the first failing draw shrinks to at most 5 nodes
and 5 servers, its size being ``shrunk_size``.
"""

from __future__ import annotations

import argparse
import json
import os
import shutil
import tempfile
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from benchmarks.fleet import FAULTS, SCENARIO
from headspar.model.days import DAYS, day
from headspar.model.figures import Outcome
from headspar.model.gate import Draw, Runs, by_day, search
from headspar.model.references import NAMES
from headspar.model.results import Store
from headspar.model.shrink import shrink, size
from headspar.model.simulate import simulate
from headspar.model.statistics import paired
from headspar.model.versions import HERE, resolve
from headspar.world.records import Recording
from headspar.world.scenario import Scenario, parse

# Cases that small draws of the days do not exercise: one cold server among eleven busy ones, and keyed requests whose
# first attempt hangs until long after their idempotency window.
TARGETED = {
    "one cold": """name = "one-cold"
length_s = 16
[nodes]
count = 12
[[servers]]
count = 12
cold_share = 0.06
[load]
utilisation = 0.75
[discovery]
add_s = [0.1, 0.2]
[[faults]]
at_s = 4
kind = "drain"
servers = 1
linger_s = 0.5
back_s = 0.6
""",
    "late repeats": """name = "late-repeats"
length_s = 14
[nodes]
count = 6
second_copies = false
[load]
utilisation = 0.3
[[classes]]
name = "pago"
share = 1
work_ms = [28, 51]
wait_ms = [28, 51]
aim_ms = 400
deadline_ms = 3000
worth = 10
effect = "dedup"
window_ms = 300
[[faults]]
at_s = 3
kind = "hang"
servers = 0.6
for_s = 9
""",
}
# name -> text in the module, its replacement, and the day (or scenario of the above) that should expose the fault
PLANTED: dict[str, tuple[str, str, str]] = {
    "drains: a drain is ignored": (
        "self.usable = entry.reachable and not self.drained", "self.usable = entry.reachable", "join"),
    "discovery: no retry after a failure": (
        "self.watch_at = now + int(pause * (0.5 + self.rng.random()))", "self.watch_at = now + 10**12", "join"),
    "discovery: a server removed from the list stays in use": (
        "self.backends.pop(id).usable = False", "self.backends[id].usable = True", "join"),
    "repeats: the idempotency window is ignored": (
        "cls.effect is Effect.FRAGILE or now >= a.sent_at + cls.window_us", "cls.effect is Effect.FRAGILE",
        "late repeats"),
    "repeats: the idempotency group is ignored": (
        "if cls.group is Group.ZONE and a.zone != zone:", "if cls.group is Group.ZONE and not zone:", "split"),
    "repeats: a reset is treated as proof that nothing ran": (
        "NEVER_RAN = (Outcome.FULL,", "NEVER_RAN = (Outcome.RESET, Outcome.FULL,", "split"),
    "retries: a request is refused after it may have run": (
        "if may_refuse(r.cls.spec, r.attempts) and not any(a.may_have_run for a in r.attempts):",
        "if self.settings:", "split"),
    "retries: a time-out is treated as proof that nothing ran": (
        "NEVER_RAN = (Outcome.FULL,", "NEVER_RAN = (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.FULL,", "split"),
    "cold budget: the random admission is skipped": (
        "return b if self.rng.random() < chance else None", "return b", "one cold"),
    "cold budget: a cold server is treated as warm": (
        "b.warm = self.settings.warm_share(b.started_at, now)\n            q =", "b.warm = 1.0\n            q =",
        "one cold"),
}


def latest_send_ms(recording: Recording) -> float:
    """The longest time in ms from when a node counts as notified of a drain to a send there while the drain lasts."""
    updates: dict[tuple[str, str], list[tuple[int, int, str]]] = defaultdict(list)
    for t in recording.told:
        updates[t.node, t.server].append((t.at, t.version, t.state))
    worst = 0
    for s in recording.sent:
        newest, since = -1, None
        for at, version, state in sorted(updates.get((s.node, s.server), ())):
            if at > s.arrived_at:
                break
            if version < newest:
                continue
            newest = version
            since = None if state == "ready" else since if since is not None else at
        if since is not None:
            worst = max(worst, s.arrived_at - since)
    return worst / 1000


def drain_lateness(nodes: int, seed: int) -> tuple[float, int]:
    """The latest send after a drain in ms, and how many rules were broken."""
    result = simulate(parse(SCENARIO.format(name="join", length=24, nodes=nodes, fault=FAULTS["join"])), seed)
    return latest_send_ms(result.recording), sum(result.verdict.kinds.values())


def plant_fault(folder: Path, name: str) -> Path:
    """A copy of the program with the named fault planted; raises ``SystemExit`` if its text does not occur once."""
    old, new, _ = PLANTED[name]
    tree = folder / f"planted-{list(PLANTED).index(name)}"
    shutil.copytree(HERE / "headspar", tree / "headspar", ignore=shutil.ignore_patterns("__pycache__"))
    module = tree / "headspar" / "decide.py"
    text = module.read_text()
    if text.count(old) != 1:
        raise SystemExit(f"planted fault {name!r}: its text occurs {text.count(old)} times in the module, not once")
    module.write_text(text.replace(old, new))
    return tree


def catch_faults(folder: Path, seeds: range) -> tuple[dict[str, str], tuple[Scenario, int, Runs] | None]:
    """The rules broken by each planted fault (empty where none was), and one failing draw with its runs."""
    found: dict[str, str] = {}
    first: tuple[Scenario, int, Runs] | None = None
    for name, (_, _, scenario_name) in PLANTED.items():
        runs = Runs(resolve(str(plant_fault(folder, name)), folder), Store(folder))
        if scenario_name in TARGETED:
            s = parse(TARGETED[scenario_name])
            outcomes = runs([(s, seed) for seed in seeds])
            broken = [o.broken for o in outcomes if o is not None and o.broken]
            found[name] = "; ".join(broken[0]) if broken else ""
            continue
        draws = search(runs, [scenario_name], seeds, 12)
        failing = [d for d in draws if d.outcome.broken or d.outcome.crash]
        found[name] = failing[0].text if failing else ""
        if failing and first is None:
            first = day(scenario_name, failing[0].seed, 12), failing[0].seed, runs
    return found, first


def shrunk_size(first: tuple[Scenario, int, Runs] | None) -> tuple[int, int]:
    """Nodes and servers of the failing draw after shrinking; zeros if there is none."""
    if first is None:
        return 0, 0
    scenario, seed, runs = first

    def one(s: Scenario, at: int) -> Outcome:
        outcome = runs([(s, at)])[0]
        assert outcome is not None
        return outcome

    nodes, servers, _, _ = size(shrink(scenario, seed, one)[0])
    return nodes, servers


def served_shares(draws: list[Draw]) -> dict[str, list[float]]:
    """By day: mean served share with the ends of its 95% interval."""
    out = {}
    for f in by_day(draws):
        values = [d.outcome.figures["whole"] for d in draws if d.day == f.day and d.outcome.figures]
        interval = paired(values)
        out[f.day] = [round(x, 4) for x in (interval.mean, interval.low, interval.high)]
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--nodes", type=int, default=200)
    parser.add_argument("--results", type=Path, help="folder to keep runs in; a temporary one if not given")
    args = parser.parse_args()
    out: dict[str, Any] = {"nodes": args.nodes}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        jobs = [(nodes, seed) for nodes in (200, 100, 40) for seed in range(1, 11)]
        with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
            late = list(pool.map(drain_lateness, *zip(*jobs, strict=True)))
        for nodes in (40, 100, 200):
            rows = [ms for (n, _), (ms, _) in zip(jobs, late, strict=True) if n == nodes]
            out[f"drain_late_ms_max_{nodes}"] = max(rows)
        out["drain_late_ms_max"] = out["drain_late_ms_max_200"]
        out["drain_breaks"] = sum(count for _, count in late)
        found, first = catch_faults(folder, range(1, 5))
        out["planted_faults"] = len(found)
        out["planted_faults_caught"] = sum(1 for text in found.values() if text)
        out["planted_missed"] = [fault for fault, text in found.items() if not text]
        out["shrunk_size"] = shrunk_size(first)
        out["shrunk_ok"] = 0 < max(out["shrunk_size"]) <= 5
        runs = Runs(resolve(".", folder), Store(args.results or folder))
        days, seeds = [d for d in DAYS if d != "soak"], range(1, args.seeds + 1)
        draws = search(runs, days, seeds, args.nodes)
        for policy in NAMES:
            out[f"served_share_{policy}"] = served_shares(search(runs, days, seeds, args.nodes, policy=policy))
    out["draws"] = len(draws)
    out["broken"] = sum(1 for d in draws if d.outcome.broken or d.outcome.crash)
    out["failed"] = [f"{d.day} {d.seed}" for d in draws if d.failed]
    out["served_share"] = served_shares(draws)
    out["seconds_per_draw"] = round(sum(d.outcome.took_s for d in draws) / len(draws), 2)
    if not args.json:
        for key, value in out.items():
            print(f"{key:24} {value}")
    print(json.dumps(out))


if __name__ == "__main__":
    main()
