"""``python -m benchmarks.snapshot [--json] [--seeds N]``: the benefit of a node's snapshot, and whether it can harm.

In the model, 24 nodes at a load of 0.65 and clients that retry at once: one node, 70% or all of them are killed and
restarted a second later, without a snapshot and with one that is fresh, 10 minutes, an hour or a day old, another
node's, or falsified.  All use the same draws.  ``gain``: worth served in the ten seconds after the failure beyond
that without a snapshot, in seconds of the whole worth, with its 95% interval over the draws; ``worse_than_none``
counts the cases whose interval lies below 0.  On this machine: size and time of one snapshot of a node before 400
servers, and how long the event loop is blocked when it passes one to the writer while the disk hangs.
"""

from __future__ import annotations

import argparse
import json
import math
import os
import statistics
import sys
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from scipy.special import stdtrit  # type: ignore[import-untyped]

from headspar.connections.plan import Plan, PlanSettings
from headspar.decide import Balancer
from headspar.handover.beliefs import Beliefs
from headspar.interface import (
    AttemptEnded,
    BackendEntry,
    BackendList,
    Health,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)
from headspar.model.simulate import Tuning, simulate
from headspar.model.snapshots import MODES
from headspar.snapshot.expiry import Header
from headspar.snapshot.format import encode
from headspar.snapshot.store import Store
from headspar.snapshot.writer import Writer
from headspar.world.mass_failures import FAILURE_AT_S, MassFailure, scenario
from headspar.world.plan import draw

NODES = 24
SHARES = {"one": 1 / NODES, "70%": 0.7, "all": 1.0}
MEASURED_S = 10.0


def play(task: tuple[str, str, int, float]) -> tuple[str, str, int, float, int]:
    """Plays (share, mode, seed, load); returns the first three, the worth served after the mass failure in seconds of
    the whole worth, and the number of rules broken."""
    share, mode, seed, load = task
    s = scenario(MassFailure(nodes=NODES, share=SHARES[share], utilisation=load, again=3, deaf=True), seed)
    result = simulate(s, seed, Tuning(keeps=mode), plan=draw(s, seed))
    rows = [x.worth for x in result.service.seconds[int(FAILURE_AT_S):int(FAILURE_AT_S + MEASURED_S)]]
    served = sum(x.answered for x in rows) / max(1e-9, statistics.mean(x.asked for x in rows))
    return share, mode, seed, served, sum(result.verdict.counts.values())


def interval(values: list[float]) -> tuple[float, float, float]:
    """The mean and the ends of its 95% confidence interval (Student's t)."""
    mean = statistics.mean(values)
    if len(values) < 2:
        return mean, -math.inf, math.inf
    half = float(stdtrit(len(values) - 1, 0.975)) * statistics.stdev(values) / math.sqrt(len(values))
    return mean, mean - half, mean + half


def learned_module(servers: int) -> tuple[Balancer, Plan]:
    """A balancer and a connection plan that have learned from requests to all of their servers."""
    balancer = Balancer(Settings([RequestClass("look", 400_000, 2_000_000)], balancers=3), 7)
    plan = Plan(PlanSettings(servers, 15_000_000), 1)
    entries = [BackendEntry(f"10.0.{i // 250}.{i % 250}:80", "ab"[i % 2], f"k{i % 3}", i, Health.READY, 1.0, 0)
               for i in range(servers)]
    now = 1_000_000
    balancer.handle(now, [BackendList(ListKind.FULL, 5, entries)])
    for e in entries:
        plan.place(e.backend, now)
    for i in range(3 * servers):
        now += 2_000
        for action in balancer.handle(now, [RequestArrived(f"r{i}", "look", now + 2_000_000, 40_000)]):
            if isinstance(action, Send):
                balancer.handle(now, [AttemptEnded(action.id, 0, action.backend, Outcome.OK, 50_000, True)])
    return balancer, plan


class HangingStore(Store):
    """A store whose writes never return, as on a disk that hangs."""

    def write(self, data: bytes, serial: int) -> None:
        threading.Event().wait()


def snapshot_cost(servers: int) -> dict[str, float]:
    """Size of a snapshot in bytes; in ms the event loop's and the writer thread's time for one, and the longest time
    that the loop was blocked."""
    balancer, plan = learned_module(servers)
    known = {"generation": 5, "reset": True, "instances": []}
    header = Header("n0", "a", "s", time.time_ns() // 1000, 0)
    with tempfile.TemporaryDirectory(prefix="headspar-snapshot-") as folder:
        writer = Writer(HangingStore(Path(folder)), lambda text: None)
        spent = []
        for _ in range(200):
            since = time.perf_counter()
            writer.enqueue(header, Beliefs(known, balancer.experience(), plan.learned()))
            writer.log_status_change()
            spent.append(1000 * (time.perf_counter() - since))
            time.sleep(0.002)
        since = time.perf_counter()
        data = encode(header, 1, Beliefs(known, balancer.experience(), plan.learned()))
        encoded = 1000 * (time.perf_counter() - since)
    return {"servers": servers, "bytes": len(data), "hand_over_ms": round(statistics.median(spent), 3),
            "stall_ms_max": round(max(spent), 2), "thread_ms": round(encoded, 2),
            "cpu_pct_every_10_s": round((statistics.median(spent) + encoded) / 100, 3)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON (it always does)")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--load", type=float, default=0.65)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    args = parser.parse_args()
    since = time.monotonic()
    out: dict[str, Any] = {"draws": args.seeds, "gain_first_10s": {}}
    tasks = [(share, mode, seed, args.load) for share in SHARES for mode in ("", *MODES)
             for seed in range(1, args.seeds + 1)]
    served: dict[tuple[str, str], dict[int, float]] = {}
    broken = 0
    with ProcessPoolExecutor(args.workers) as pool:
        for share, mode, seed, value, rules in pool.map(play, tasks, chunksize=2):
            served.setdefault((share, mode), {})[seed] = value
            broken += rules
    worse = []
    for share in SHARES:
        none = served[share, ""]
        row: dict[str, Any] = {"none": round(statistics.mean(none.values()), 3)}
        for mode in MODES:
            mean, low, high = interval([served[share, mode][seed] - none[seed] for seed in none])
            row[mode] = [round(mean, 3), round(low, 3), round(high, 3)]
            if high < 0:
                worse.append(f"{mode}, {share}")
        out["gain_first_10s"][share] = row
        print(f"{share}: {row}, {time.monotonic() - since:.0f} s", file=sys.stderr)
    out |= {"worse_than_none": len(worse), "worse": worse, "rules_broken": broken}
    out["on_this_machine"] = [snapshot_cost(400), snapshot_cost(20_000)]
    out["seconds"] = round(time.monotonic() - since)
    print(json.dumps(out))


if __name__ == "__main__":
    main()
