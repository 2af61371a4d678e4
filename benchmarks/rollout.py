"""Changes in stages: controllers killed at random times over real processes, the cost of a change, and rehearsals.

    python -m benchmarks.rollout --json                 # everything: about ten minutes
    python -m benchmarks.rollout --kills 40 --orders 500

``rules_broken`` and ``lost`` come from the audit, over all valid runs; a run that is not valid counts in ``invalid``
and is repeated once.  ``over_limit_moments``: from the keepers' own timed logs and from the rehearsals.
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
from headspar.lab import keeper_log
from headspar.lab.children import now_us
from headspar.lab.keeper_run import KeeperRun, Script, run_with_keepers
from headspar.lab.result import Result
from headspar.rollout.controller import send
from headspar.rollout.fleet import Member
from headspar.rollout.limits import Limits
from headspar.rollout.record import Record
from headspar.rollout.simulation import NEW, OLD, Faults, Simulation
from headspar.rollout.state import OVER, State
from headspar.world.records import RunEvent
from headspar.world.scenario import parse

TABLE = ('max_out = 2\nmax_out_site = 1\nproving_s = 1.0\nsettle_s = 0.2\npoll_s = 0.1\nlease_s = 0.5\n'
         'ready_s = 15.0\nlost_s = 6.0\nshares = "0.5 1"\n')
JUDGE_OFF = "[judge]\non = false\n"
KEEPER_SETTINGS = "start_s = 15.0\ndrain_s = 2.0\nend_s = 6.0\n"
NODES = 12
MAX_OUT, MAX_OUT_PER_SITE = 2, 1  # as in TABLE
STANDBYS = 3


class Totals:
    """Totals over all runs."""

    def __init__(self, keep: Path | None = None) -> None:
        """``keep``: folder for the logs of runs that exceeded a limit."""
        self.counts: Counter[str] = Counter()
        self.keep = keep

    def run(self, script: Script, seconds: float, seed: int = 1, limits: bool = True,
            table: str = TABLE) -> tuple[Result, KeeperRun]:
        """Runs *script* over real processes and counts its results; raises ``SystemExit`` if neither of two is valid.

        ``limits``: whether the limits of staged changes apply to the run.
        """
        s = parse(f'name = "rollout"\nlength_s = {seconds}\n[nodes]\ncount = {NODES}\n[load]\nrps = 90\n')
        s = replace(s, rules=replace(s.rules, lateness_ms=100.0, answer_slack_ms=s.rules.answer_slack_ms + 150.0))
        for _ in range(2):
            with tempfile.TemporaryDirectory(prefix="headspar-rollout-") as folder:
                result, run = run_with_keepers(s, seed, Path(folder) / "run", script, table + JUDGE_OFF,
                                               KEEPER_SETTINGS)
                if result.verdict.valid:
                    self._count(result, run, limits)
                    return result, run
                self.counts["invalid"] += 1
        raise SystemExit(f"no valid run in two attempts: {result.verdict.doubts}")

    def _count(self, result: Result, run: KeeperRun, limits: bool) -> None:
        counts = result.verdict.counts
        if not limits:  # the comparison without a staged change
            self.counts["at_once_rules_broken"] += sum(counts.values())
            return
        self.counts["lost"] += counts["lost"]
        self.counts["rules_broken"] += sum(counts.values())
        self.counts["excused"] += result.verdict.excused
        for violation in result.verdict.violations[:3]:
            print(violation.line(), file=sys.stderr)
        rows = run.rows()
        self.counts["steps_twice"] += len(keeper_log.steps_applied_twice(rows))
        self.counts["fenced_accepted"] += len(keeper_log.stale_epochs_accepted(rows))
        self.counts["strangers_signalled"] += len(keeper_log.foreign_pids_signalled(rows))
        over = sum(n > MAX_OUT or of_site > MAX_OUT_PER_SITE for n, of_site in run.max_in_transition())
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
    """An edit that makes a generation's program differ from all others."""
    def change(folder: Path) -> None:
        path = folder / "program" / "headspar" / "reason_phrases.py"
        path.write_text(path.read_text() + f"# version {number}\n")

    return change


async def _start_change(run: KeeperRun, folder: Path, name: str) -> asyncio.subprocess.Process:
    return await run.controller("start", str(run.operator_path), str(folder), "--name", name, "--yes", "--json")


async def _statuses(run: KeeperRun) -> list[m.Status]:
    async def one(name: str) -> m.Status | None:
        listen = run.keepers[name].listen
        try:
            return (await send(Member(name, "", f"{listen[0]}:{listen[1]}"), m.QueryStatus())).status
        except OSError:
            return None

    found = [s for s in await asyncio.gather(*(one(name) for name in run.keepers)) if s is not None]
    return found


def kill_controllers(totals: Totals, wanted: int, seed: int) -> int:
    """Kills controllers at random times during successive changes, with standbys; returns how many it killed."""
    killed = 0

    async def script(run: KeeperRun) -> None:
        nonlocal killed
        rng = random.Random(f"{seed}/kills")
        end = now_us() + 75_000_000
        number = 0
        while now_us() < end and killed < wanted:
            number += 1
            folder = run.generation(f"v{number}", new_version(number))
            await _start_change(run, folder, f"c{number}")
            standbys = [await run.controller("run", str(run.operator_path), "--json") for _ in range(STANDBYS)]
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
                # A change lasts as long as its controllers keep being killed within a second of each other.
                if leader is not None and until > time.time() and killed < wanted and now_us() < end:
                    leader.kill()
                    await leader.wait()
                    killed += 1
                    standbys = [s for s in standbys if s.returncode is None]
                    while len(standbys) < STANDBYS:
                        standbys.append(await run.controller("run", str(run.operator_path), "--json"))
            goal = {State.DONE: f"v{number}"}.get(found[0].state)
            statuses = await _statuses(run)
            if goal is not None and {s.present for s in statuses} != {run.generations[goal]}:
                totals.counts["steps_skipped"] += 1
            for controller in run.controllers:
                if controller.returncode is None:
                    controller.kill()
                    await controller.wait()
        ends = Counter(c.returncode for c in run.controllers)
        totals.counts["controllers_fenced"] += ends[4]

    totals.run(script, 30.0, seed)
    return killed


def measure_costs(totals: Totals) -> dict[str, Any]:
    """Time and cost of a staged change of twelve nodes, compared with no change and with a change of all at once."""
    out: dict[str, Any] = {}

    async def no_change(run: KeeperRun) -> None:
        await asyncio.sleep(4.0)
        pids = [k.process.pid for k in run.keepers.values() if k.process is not None]
        before = [_cpu_s(pid) for pid in pids]
        await asyncio.sleep(8.0)
        out["keeper_cpu_pct"] = round(100 * statistics.mean(
            (_cpu_s(pid) - b) / 8.0 for pid, b in zip(pids, before, strict=True)), 2)
        out["keeper_rss_mb"] = round(max(_rss_mb(pid) for pid in pids), 1)

    async def staged(run: KeeperRun) -> None:
        folder = run.generation("new", new_version(1))
        since = time.monotonic()
        process = await _start_change(run, folder, "c1")
        out["change_end"] = await process.wait()
        out["change_s"] = round(time.monotonic() - since, 1)

    async def roll_back(run: KeeperRun) -> None:
        folder = run.generation("new", new_version(1))
        process = await _start_change(run, folder, "c1")
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
            raise SystemExit("the change ended before it could be rolled back: roll-back time not measured")
        out["back_s"] = round(time.monotonic() - since, 1)

    async def at_once(run: KeeperRun) -> None:
        await asyncio.sleep(4.0)
        for name in run.nodes:
            node = run.node(name)
            pid = int((await node.identity())["pid"])
            node.marks.append(RunEvent(now_us(), "node_term", name))
            os.kill(pid, 15)

    for label, script in (
            ("without", no_change), ("staged", staged), ("going_back", roll_back), ("at_once", at_once)):
        # The roll-back command must have started before the last stage is proven.
        table = TABLE.replace("proving_s = 1.0", "proving_s = 6.0") if script is roll_back else TABLE
        result, _ = totals.run(script, 16.0, limits=script is not at_once, table=table)
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
    """A random mixture of faults."""
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
    """One rehearsal with random faults: final state, moments over the limits, and whether fleet and record agree."""
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


def rehearse_large(seed: int) -> tuple[str, int, float]:
    """1,000 nodes in 6 sites under faults: its final state, moments over the limits, and the change's time in s."""
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
    parser.add_argument("--keep", type=Path, help="a folder for the logs of runs that exceeded a limit")
    parser.add_argument("--kills-alone", action="store_true", help="leave out the cost of a change")
    parser.add_argument("--large", type=int, default=2, help="number of rehearsals of 1,000 nodes")
    args = parser.parse_args()
    totals, figures = Totals(args.keep), {}
    since = time.monotonic()
    killed = seed = 0
    while killed < args.kills and seed < 12:
        seed += 1
        killed += kill_controllers(totals, args.kills - killed, seed)
        print(f"kills {killed}, {time.monotonic() - since:.0f} s", file=sys.stderr)
    if args.kills and not args.kills_alone:
        figures = measure_costs(totals)
        print(f"costs {figures}", file=sys.stderr)
    ends: Counter[str] = Counter()
    over = disagree = 0
    with ProcessPoolExecutor() as pool:
        for state, moments, agrees in pool.map(rehearse, range(args.orders), chunksize=20):
            ends[state] += 1
            over += moments
            disagree += not agrees and state != State.PERSON.value
        large_runs = list(pool.map(rehearse_large, range(args.large)))
    in_runs = totals.counts["over_limit_moments"]
    totals.counts["over_limit_moments"] += over + sum(moments for _, moments, _ in large_runs)
    names = ("steps_twice", "steps_skipped", "fenced_accepted", "strangers_signalled", "over_limit_moments",
             "rules_broken", "lost", "excused", "invalid", "controllers_fenced", "at_once_rules_broken")
    print(json.dumps({
        "kills": killed, "over_limit_in_runs": in_runs,
        **{name: totals.counts[name] for name in names}, **figures, "orders": args.orders,
        "orders_ends": dict(ends), "orders_disagreeing": disagree,
        "large": [{"end": end, "over": moments, "s": round(s)} for end, moments, s in large_runs],
        "seconds": round(time.monotonic() - since),
    }))


if __name__ == "__main__":
    main()
