"""Traces a failure of the CI: the judge's first row has the largest harm, and need not be the row that decides.

``test_a_version_that_refuses_more_is_taken_back_from_its_first_stage`` (``tests/rollout/test_judged.py``) failed
once.  It expects ``seen[0]`` of the last look to be significant.  Here the judge gets drawn counts of six nodes in
three sites, of which one refuses each fourth request from second 8 on, with the test's limits and the shares of the
classes that its runs have.  Its process comes up some time after the stage has begun.  No process is started here.

    PYTHONPATH=. .venv/bin/python review/first_row.py [requests a second on a node] [draws] [seconds until it is up]
"""

from __future__ import annotations

import random
import sys
from collections import Counter

from msgspec.structs import replace

from headspar.rollout.judge.baseline import take_baseline
from headspar.rollout.judge.judge import Judge
from headspar.rollout.judge.readings import Intake, Reading
from headspar.rollout.judge.types import BY_CLASS, FIGURES, Limits, Stage, Verdict, VerdictKind

MARGINS = {"served in time": 0.15, "late": 0.3, "refused": 0.1, "failed": 0.1, "attempts a request": 3.0,
           "handshakes a request": 100.0, "processor time a request": 10.0, "time to answer": 3.0}
LIMITS = Limits(figures=tuple(replace(f, margin=MARGINS[f.name]) for f in FIGURES),
                by_class=tuple(replace(f, margin=0.5) for f in BY_CLASS),
                first_s=4.0, least_s=4.0, most_s=60.0, settle_s=1.0)
TICK_S, BASELINE_S = 0.25, 8.0
NEW = "n0"
CLASSES = {"lookup": 0.36, "payment": 0.36, "reversal": 0.13, "batch": 0.15}


def last_look(seed: int, rate: float, up_after: float) -> tuple[int, Verdict]:
    """Returns the number of the judge's last look at the stage, and its verdict."""
    rng = random.Random(seed)
    intake, judge = Intake(0.0), None
    nodes = [f"n{i}" for i in range(6)]
    counts: dict[str, Counter[str]] = {n: Counter() for n in nodes}
    up = dict.fromkeys(nodes, 100.0)
    now, serial = 0.0, 0
    while True:
        now += TICK_S
        for i, n in enumerate(nodes):
            new = judge is not None and n == NEW
            up[n] += TICK_S
            if up[n] <= 0.0:
                continue
            for _ in range(sum(rng.random() < rate * TICK_S / 40 for _ in range(40))):
                kind = rng.choices(list(CLASSES), list(CLASSES.values()))[0]
                serial += new
                outcome = "refused" if new and serial % 4 == 0 else "in_time"
                counts[n].update({"taken": 1, f"taken:{kind}": 1, outcome: 1, f"{outcome}:{kind}": 1, "attempts": 1,
                                  "cpu_ms": 1, "served": outcome == "in_time",
                                  "quarters": rng.choice((10, 11, 12)) * (outcome == "in_time")})
            generation = "new" if new else "old"
            intake.add(Reading(n, f"s{i % 3}", generation, n + generation, up[n], dict(counts[n]), {}), now)
        if now == BASELINE_S:
            judge = Judge(intake, Stage(now, frozenset({NEW}), "new"), LIMITS, take_baseline(intake, now, BASELINE_S))
            counts[NEW], up[NEW] = Counter(), -up_after
        elif judge is not None:
            verdict = judge.look(now)
            if verdict.kind in (VerdictKind.BACK, VerdictKind.PAUSE):
                return judge.looks, verdict


def main(rate: float, draws: int, up_after: float) -> None:
    found: Counter[str] = Counter()
    for seed in range(draws):
        looks, verdict = last_look(seed, rate, up_after)
        first = verdict.seen[0]
        significant = first.low > 0 and first.harm >= first.margin
        found[f"{verdict.kind.value}, first row {'significant' if significant else 'not significant'}"] += 1
        if not significant:
            print(f"seed {seed}, look {looks}: {verdict.reason}; first row: {first}")
    print(dict(found))


if __name__ == "__main__":
    given = sys.argv[1:] + ["17", "1000", "1"][len(sys.argv) - 1:]
    main(float(given[0]), int(given[1]), float(given[2]))
