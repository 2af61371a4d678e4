"""Changes in stages: controllers killed at drawn moments over real processes, what a change costs, and simulations.

    python -m benchmarks.rollout --json                 # all of it, some ten minutes
    python -m benchmarks.rollout --kills 40 --orders 500

``rules_broken`` and ``lost`` are the audit's, over all runs that it can vouch for; a run that it can't counts in
``invalid`` and is made once more.  ``over_limit_moments``: from the keepers' own log of times and from simulations.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import shutil
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from headspar.keeper import messages as m
from headspar.lab import kept_log
from headspar.lab.children import now_us
from headspar.lab.kept import KeptRun, Script, run_kept
from headspar.lab.run import Result
from headspar.rollout.controller import send
from headspar.rollout.fleet import Member
from headspar.rollout.limits import Limits
from headspar.rollout.record import Record
from headspar.rollout.simulation import NEW, OLD, Faults, Simulation
from headspar.rollout.state import OVER, State
from headspar.world.records import Mark
from headspar.world.scenario import parse

TABLE = ('max_out = 2\nmax_out_site = 1\nproving_s = 1.0\nsettle_s = 0.2\npoll_s = 0.1\nlease_s = 0.5\n'
         'ready_s = 15.0\nlost_s = 6.0\nshares = "0.5 1"\n')
UNJUDGED = "[judge]\non = false\n"
KEEPER = "start_s = 15.0\ndrain_s = 2.0\nend_s = 6.0\n"
NODES = 12
MOST, OF_SITE = 2, 1  # as the table above has them
SPARES = 3


class Sums:
    """What all runs add up to."""

    def __init__(self, keep: Path | None = None) -> None:
        """``keep``: where the logs of runs go that passed a limit."""
        self.counts: Counter[str] = Counter()
        self.keep = keep

    def run(self, script: Script, seconds: float, seed: int = 1, limits: bool = True,
            table: str = TABLE) -> tuple[Result, KeptRun]:
        s = parse(f'name = "rollout"\nlength_s = {seconds}\n[nodes]\ncount = {NODES}\n[load]\nrps = 90\n')
        s = replace(s, rules=replace(s.rules, lateness_ms=100.0, answer_slack_ms=s.rules.answer_slack_ms + 150.0))
        for _ in range(2):
            with tempfile.TemporaryDirectory(prefix="headspar-rollout-") as folder:
                result, run = run_kept(s, seed, Path(folder) / "run", script, table + UNJUDGED, KEEPER)
                if result.verdict.valid:
                    self._count(result, run, limits)
                    return result, run
                self.counts["invalid"] += 1
        raise SystemExit(f"no run that the lab can vouch for: {result.verdict.doubts}")

    def _count(self, result: Result, run: KeptRun, limits: bool) -> None:
        counts = result.verdict.counts
        if not limits:  # no change in stages: what it is compared with
            self.counts["at_once_rules_broken"] += sum(counts.values())
            return
        self.counts["lost"] += counts["lost"]
        self.counts["rules_broken"] += sum(counts.values())
        self.counts["excused"] += result.verdict.excused
        for violation in result.verdict.violations[:3]:
            print(violation.line(), file=sys.stderr)
        rows = run.rows()
        for name in ("steps_twice", "fenced_accepted", "strangers_signalled"):
            self.counts[name] += len(getattr(kept_log, name)(rows))
        over = sum(n > MOST or of_site > OF_SITE for n, of_site in run.most_on_way())
        self.counts["over_limit_moments"] += over
        if over and self.keep is not None:
            shutil.copytree(run.dir, self.keep / f"{time.monotonic_ns()}", ignore=shutil.ignore_patterns("sources"))
        path = run.dir / "record.db"
        if path.exists():
            record = Record(path)
            for change, _ in record.changes():
                self.counts["steps_skipped"] += sum(s.outcome is None for s in record.steps(change.id))
            record.close()


def new_version(number: int) -> Callable[[Path], None]:
    def change(folder: Path) -> None:
        path = folder / "program" / "headspar" / "reasons.py"
        path.write_text(path.read_text() + f"# version {number}\n")

    return change


async def _start(run: KeptRun, folder: Path, name: str) -> asyncio.subprocess.Process:
    return await run.controller("start", str(run.operator_path), str(folder), "--name", name, "--yes", "--json")


async def _states(run: KeptRun) -> list[m.Status]:
    async def one(name: str) -> m.Status | None:
        listen = run.keepers[name].listen
        try:
            return (await send(Member(name, "", f"{listen[0]}:{listen[1]}"), m.QueryStatus())).status
        except OSError:
            return None

    found = [s for s in await asyncio.gather(*(one(name) for name in run.keepers)) if s is not None]
    return found


def kills(sums: Sums, wanted: int, seed: int) -> int:
    """Controllers killed at drawn moments of one change after another, spares standing by; how many were."""
    done = 0

    async def script(run: KeptRun) -> None:
        nonlocal done
        rng = random.Random(f"{seed}/kills")
        end = now_us() + 75_000_000
        number = 0
        while now_us() < end and done < wanted:
            number += 1
            folder = run.generation(f"v{number}", new_version(number))
            await _start(run, folder, f"c{number}")
            spares = [await run.controller("run", str(run.operator_path), "--json") for _ in range(SPARES)]
            record = None
            while True:
                await asyncio.sleep(rng.uniform(0.15, 0.9))
                record = record or (Record(run.dir / "record.db") if (run.dir / "record.db").exists() else None)
                found = record.latest() if record is not None else None
                if found is None or record is None or found[0].id != f"c{number}":
                    continue
                if found[0].state in (*OVER, State.PERSON):
                    break
                holder, _, until = record.holder()
                pid = int(holder.rpartition("/")[2] or 0)
                leader = next((c for c in run.controllers if c.pid == pid and c.returncode is None), None)
                # A change whose controllers all die within a second goes on for as long as they do.
                if leader is not None and until > time.time() and done < wanted and now_us() < end:
                    leader.kill()
                    await leader.wait()
                    done += 1
                    spares = [s for s in spares if s.returncode is None]
                    while len(spares) < SPARES:
                        spares.append(await run.controller("run", str(run.operator_path), "--json"))
            goal = {State.DONE: f"v{number}"}.get(found[0].state)
            states = await _states(run)
            if goal is not None and {s.present for s in states} != {run.generations[goal]}:
                sums.counts["steps_skipped"] += 1
            for controller in run.controllers:
                if controller.returncode is None:
                    controller.kill()
                    await controller.wait()
        ends = Counter(c.returncode for c in run.controllers)
        sums.counts["controllers_fenced"] += ends[4]

    sums.run(script, 30.0, seed)
    return done


def costs(sums: Sums) -> dict[str, Any]:
    """What a change of twelve nodes takes and costs, beside none and beside all at once."""
    out: dict[str, Any] = {}

    async def none(run: KeptRun) -> None:
        await asyncio.sleep(4.0)
        pids = [k.process.pid for k in run.keepers.values() if k.process is not None]
        before = [_cpu_s(pid) for pid in pids]
        await asyncio.sleep(8.0)
        out["keeper_cpu_pct"] = round(100 * statistics.mean(
            (_cpu_s(pid) - b) / 8.0 for pid, b in zip(pids, before, strict=True)), 2)
        out["keeper_rss_mb"] = round(max(_rss_mb(pid) for pid in pids), 1)

    async def staged(run: KeptRun) -> None:
        folder = run.generation("new", new_version(1))
        since = time.monotonic()
        process = await _start(run, folder, "c1")
        out["change_end"] = await process.wait()
        out["change_s"] = round(time.monotonic() - since, 1)

    async def back(run: KeptRun) -> None:
        folder = run.generation("new", new_version(1))
        process = await _start(run, folder, "c1")
        record = None
        while True:
            await asyncio.sleep(0.05)
            record = record or (Record(run.dir / "record.db") if (run.dir / "record.db").exists() else None)
            found = record.latest() if record is not None else None
            if found is not None and found[0].state is State.PROVING and found[0].stage + 1 == len(found[0].stages):
                break
        since = time.monotonic()
        await (await run.controller("back", str(run.operator_path), "--yes")).wait()
        if await process.wait() != 1:
            raise SystemExit("the change was over before it could be taken back: nothing of that was measured")
        out["back_s"] = round(time.monotonic() - since, 1)

    async def at_once(run: KeptRun) -> None:
        await asyncio.sleep(4.0)
        for name in run.nodes:
            node = run.node(name)
            pid = int((await node.who())["pid"])
            node.marks.append(Mark(now_us(), "node_term", name))
            os.kill(pid, 15)

    for label, script in (("without", none), ("staged", staged), ("going_back", back), ("at_once", at_once)):
        # The command that takes it back must have started before the last stage is proven.
        table = TABLE.replace("proving_s = 1.0", "proving_s = 6.0") if script is back else TABLE
        result, _ = sums.run(script, 16.0, limits=script is not at_once, table=table)
        service = result.service
        out[f"served_worth_{label}"] = round(service.whole, 4)
    out["served_worth"] = out["served_worth_staged"]
    return out


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")) / 1024


def _faults(seed: int) -> Faults:
    """A mixture of faults, drawn."""
    rng = random.Random(f"{seed}/faults")
    share = rng.choice([0.0, 0.05, 0.15])
    return Faults(
        drop=share, lose=share, late=share, late_s=rng.choice([5.0, 30.0]), twice=share,
        node_deaths=rng.choice([0.0, 0.0, 0.001]), keeper_deaths=rng.choice([0.0, 0.01, 0.03]),
        state_lost=rng.choice([0.0, 0.3]), controller_deaths=rng.choice([0.0, 0.02, 0.1]),
        cuts=rng.choice([0.0, 0.01, 0.03]), cut_s=rng.choice([2.0, 10.0, 40.0]), until=rng.uniform(60, 200),
        back_at=rng.choice([-1.0, -1.0, rng.uniform(10, 120)]),
        bad=rng.choice(["", "", "", "dies", "no start", "no hand-over"]), silence=rng.choice(["hold", "back"]),
    )


def rehearse(seed: int) -> tuple[str, int, bool]:
    """One drawn order: how it ended, moments over the limits, and whether fleet and record agree."""
    rng = random.Random(f"{seed}/size")
    nodes, sites = rng.choice([(1, 1), (6, 2), (12, 3), (24, 3), (30, 5)])
    world = Simulation(nodes, sites, seed, _faults(seed), Limits(rng.choice([1, 2, 4]), rng.choice([1, 2])),
                       settings_only=rng.random() < 0.2)
    world.run(1500.0)
    state = world.change.state
    wanted = {State.DONE: NEW, State.TAKEN_BACK: OLD}.get(state)
    agree = wanted is not None and world.settled() and world.running() == {wanted: nodes}
    steps = all(len({s for _, s in n.epochs}) == len(n.epochs) for n in world.nodes.values())
    return state.value, world.limit_violations, agree and steps


def large(seed: int) -> tuple[str, int, float]:
    """1,000 nodes in 6 sites under faults: its end, moments over the limits, seconds of the change."""
    faults = Faults(drop=0.02, lose=0.02, late=0.02, twice=0.05, keeper_deaths=0.0005, controller_deaths=0.01,
                    cuts=0.0005, cut_s=1.5, until=400.0)
    world = Simulation(1000, 6, seed, faults, Limits(60, 12))
    world.run(2000.0)
    return world.change.state.value, world.limit_violations, world.change.since


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON (it always does)")
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--orders", type=int, default=10_000)
    parser.add_argument("--keep", type=Path, help="a folder for the logs of runs that passed a limit")
    parser.add_argument("--kills-alone", action="store_true", help="without what a change costs")
    parser.add_argument("--large", type=int, default=2, help="simulations of 1,000 nodes")
    args = parser.parse_args()
    sums, figures = Sums(args.keep), {}
    since = time.monotonic()
    killed = seed = 0
    while killed < args.kills and seed < 12:
        seed += 1
        killed += kills(sums, args.kills - killed, seed)
        print(f"kills {killed}, {time.monotonic() - since:.0f} s", file=sys.stderr)
    if args.kills and not args.kills_alone:
        figures = costs(sums)
        print(f"costs {figures}", file=sys.stderr)
    ends: Counter[str] = Counter()
    over = disagree = 0
    with ProcessPoolExecutor() as pool:
        for state, moments, agree in pool.map(rehearse, range(args.orders), chunksize=20):
            ends[state] += 1
            over += moments
            disagree += not agree and state != State.PERSON.value
        big = list(pool.map(large, range(args.large)))
    in_runs = sums.counts["over_limit_moments"]
    sums.counts["over_limit_moments"] += over + sum(moments for _, moments, _ in big)
    named = ("steps_twice", "steps_skipped", "fenced_accepted", "strangers_signalled", "over_limit_moments",
             "rules_broken", "lost", "excused", "invalid", "controllers_fenced", "at_once_rules_broken")
    print(json.dumps({
        "kills": killed, "over_limit_in_runs": in_runs,
        **{name: sums.counts[name] for name in named}, **figures, "orders": args.orders,
        "orders_ends": dict(ends), "orders_disagreeing": disagree,
        "large": [{"end": end, "over": moments, "s": round(s)} for end, moments, s in big],
        "seconds": round(time.monotonic() - since),
    }))


if __name__ == "__main__":
    main()
