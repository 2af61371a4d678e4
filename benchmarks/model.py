"""The model's speed, its statistical soundness, and whether its predictions cover what the lab measures.

``python -m benchmarks.model --json``.  With ``--labs N`` (default 5 scenarios, two runs each) real nodes run before
stub servers on loopback, which takes five minutes and needs an otherwise idle machine.  ``--no-lab`` skips that; its
fields are null then.
"""

from __future__ import annotations

import argparse
import json
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Generator
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import simpy

from headspar.lab.run import run_scenario
from headspar.model.calibrate import fit, predict
from headspar.model.compare import Comparing
from headspar.model.costs import Costs
from headspar.model.events import Events
from headspar.model.results import Store
from headspar.model.simulate import simulate
from headspar.model.statistics import bounds, paired
from headspar.model.versions import resolve
from headspar.world.plan import draw
from headspar.world.records import Recording
from headspar.world.scenario import Scenario, parse

FOLDER = Path(__file__).parents[1] / "headspar" / "lab" / "scenarios"
SCALED_SCENARIO = """
name = "size"
length_s = {length}
[nodes]
count = {nodes}
[[servers]]
count = {servers}
[load]
utilisation = 0.6
"""
CALIBRATED = "deaths"
PREDICTED = ("due-date", "growth", "returns", "blip", "drains")
MODEL_RUNS = 12
INTERIM_LOOKS = (8, 12, 16, 20, 24)
EVENTS = 300_000


def attempts_per_s(servers: int, nodes: int, length_s: float) -> float:
    """Client attempts simulated per second on one core, including the time to draw the plan."""
    s = parse(SCALED_SCENARIO.format(length=length_s, nodes=nodes, servers=servers))
    started = time.perf_counter()
    attempts = len(simulate(s, 1, plan=draw(s, 1)).recording.asks)
    return attempts / (time.perf_counter() - started)


def heap_events_per_s() -> float:
    """Events per second of the model's event heap, with a hundred chains of events that each schedule the next."""
    events = Events()
    left = EVENTS

    def step(wait: int) -> None:
        nonlocal left
        left -= 1
        if left > 100:
            events.at(events.now + wait, step, wait)

    for i in range(100):
        events.at(i, step, 10 + i)
    started = time.perf_counter()
    events.run(1 << 60)
    return events.called / (time.perf_counter() - started)


def simpy_events_per_s() -> float:
    """The same with simpy processes."""
    env = simpy.Environment()
    count = EVENTS // 100

    def step(wait: int) -> Generator[Any, Any, None]:
        for _ in range(count):
            yield env.timeout(wait)

    for i in range(100):
        env.process(step(10 + i))
    started = time.perf_counter()
    env.run()
    return 100 * count / (time.perf_counter() - started)


def significant_share(rows: np.ndarray) -> float:
    """The share of comparisons (rows of paired differences) found significant at any interim look."""
    errors = bounds(0.05, INTERIM_LOOKS)
    return sum(any(paired(d[:n], 1 - e).excludes(0.0) for n, e in zip(INTERIM_LOOKS, errors, strict=True))
               for d in rows) / len(rows)


def a_a_share(scenario: Scenario, pairs: int) -> float:
    """The share of A/A comparisons found significant: pairs of the model's own runs on independent seeds, drawn from
    a pool of runs."""
    pool = np.array([simulate(scenario, seed).service.whole for seed in range(1, 41)])
    rng = np.random.Generator(np.random.Philox(11))
    rows = rng.choice(pool, (pairs, 24)) - rng.choice(pool, (pairs, 24))
    return significant_share(rows)


def compare_due_date(folder: Path) -> tuple[float, str]:
    """The whole comparison on the due-date scenario: seconds taken, and its conclusion as a sentence."""
    b = folder / "b.toml"
    b.write_text("[settings.policy_limits]\ntry_limit = 1\n")
    s = parse((FOLDER / "due-date.toml").read_text())
    found = Comparing(resolve(".", folder), resolve(str(b), folder), s, Store(folder)).run()
    return found.took_s, found.sentence


def digest_is_reproducible() -> bool:
    """Whether two processes compute the same digest for the same scenario and seed."""
    code = ("from headspar.world.scenario import parse; from headspar.model.simulate import simulate; "
            f"print(simulate(parse({SCALED_SCENARIO.format(length=4, nodes=2, servers=6)!r}), 5).digest())")
    out = {subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
           for _ in range(2)}
    return len(out) == 1


def run_lab(name: str, seed: int, folder: Path) -> tuple[Scenario, Recording, float] | None:
    """A valid lab run with its served share, or ``None`` if none of three runs is valid."""
    s = parse((FOLDER / f"{name}.toml").read_text())
    for i in range(3):
        result = run_scenario(s, seed, folder / f"{name}-{seed}-{i}")
        if result.verdict.valid:
            return s, result.recording, result.service.whole
    return None  # the machine is too busy for valid lab runs


def coverage(folder: Path, scenarios: int) -> dict[str, Any]:
    """Compares two lab runs of each scenario with the model's predictions for the same plan."""
    calibration = run_lab(CALIBRATED, 1, folder)
    if calibration is None:
        return {"coverage": None, "interval_points": None, "lab": "no valid run: the machine was too busy"}
    costs = fit([calibration[1]])
    rows: list[dict[str, Any]] = []
    for name in PREDICTED[:scenarios]:
        for seed in (1, 2):
            found = run_lab(name, seed, folder)
            if found is None:
                continue
            s, _, whole = found
            p = predict("whole", [simulate(s, seed, costs=costs, noise=i).service.whole for i in range(MODEL_RUNS)])
            rows.append({"run": f"{name} {seed}", "lab": round(whole, 4), "low": round(p.low, 4),
                         "high": round(p.high, 4), "holds": p.contains(whole)})
            print(json.dumps(rows[-1]), file=sys.stderr, flush=True)
    widths = [100 * (r["high"] - r["low"]) for r in rows]
    return {"coverage": f"{sum(r['holds'] for r in rows)} of {len(rows)}", "interval_points": round(max(widths), 2),
            "interval_points_median": round(float(np.median(widths)), 2), "runs": rows,
            "costs": msgspec.to_builtins(costs)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="print only the line of JSON")
    parser.add_argument("--labs", type=int, default=len(PREDICTED))
    parser.add_argument("--no-lab", action="store_true")
    args = parser.parse_args()
    rng = np.random.Generator(np.random.Philox(7))
    out: dict[str, Any] = {
        "requests_per_s": round(attempts_per_s(12, 4, 20)), "requests_per_s_600": round(attempts_per_s(600, 40, 3)),
        "events_per_s": round(heap_events_per_s()), "simpy_events_per_s": round(simpy_events_per_s()),
    }
    out["aa_false_share"] = round(a_a_share(
        parse(SCALED_SCENARIO.format(length=6, nodes=2, servers=4).replace("0.6", "1.1")), 300), 4)
    out["aa_false_share_synthetic"] = round(significant_share(rng.normal(0, 0.02, (300, 24))), 4)
    out["planted_found_share"] = round(significant_share(rng.normal(0.02, 0.03, (300, 24))), 4)
    out["digest_repeats"] = digest_is_reproducible()
    with tempfile.TemporaryDirectory() as folder:
        took, sentence = compare_due_date(Path(folder))
        out |= {"compare_s": round(took, 1), "compare": sentence}
        if args.no_lab:
            out |= {"coverage": None, "interval_points": None}
        else:
            out |= coverage(Path(folder), args.labs)
    out["rss_mb"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
    out["costs_default"] = msgspec.to_builtins(Costs())
    if not args.json:
        print(json.dumps(out, indent=2))
    print(json.dumps(out))


if __name__ == "__main__":
    main()
