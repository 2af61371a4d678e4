"""Power analysis before a change: the smallest detectable harm of each stage, and the time that its margin needs."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf, sqrt

from headspar.rollout.judge.baseline import Baseline
from headspar.rollout.judge.compare import MIN_MULTIPLE, Spread, error_share, placebo, ratios, t_quantile, value
from headspar.rollout.judge.types import Figure, Limits, Power

POWER = 0.8
MAX_STAGE_S = 24 * 3600.0
VIEWS = 3  # comparisons of each figure: over the whole stage, over its last part, and of the neighbours


def minimum_detectable_harm(
    spread: Spread, per: float, share: float, new: int, old: int, limits: Limits, tests: int, looks: int,
    power: float = 0.8, before: float = 0.0,
) -> float:
    """Return the smallest harm to a share that is detected with probability ``power`` by look number ``looks``.

    ``new`` and ``old`` are the numbers of nodes of one site.  By then each has had ``per`` requests, and ``before``
    requests in the baseline (0: as many as ``per``), with a baseline value of ``share``.  ``spread`` is the placebo
    spread of the baseline; the result is infinite without it.
    """
    degrees = spread.degrees
    if not degrees or not new or not old or per <= 0:
        return inf
    before = before or per
    variance = value(share * per, per).variance + value(share * before, before).variance
    error = sqrt(max(MIN_MULTIPLE, spread.squares / degrees) * variance * (1.0 / new + 1.0 / old))
    level = limits.error * error_share(looks) / tests
    return (t_quantile(1.0 - level, degrees) + t_quantile(power, degrees)) * error


def powers(before: Baseline, stages: Sequence[Sequence[str]], limits: Limits) -> list[Power]:
    """Return the power of each stage that leaves unchanged nodes, for each figure that is a share of requests.

    A stage is treated as if it were in one site; across several sites its power is slightly higher.
    """
    out, changed = [], 0
    tests = VIEWS * len(limits.figures)
    nodes = before.sites.keys()
    totals = [before.totals(n) for n in nodes]
    reported = {name for t in totals for name in t}
    for number, stage in enumerate(stages):
        changed += len(stage)
        old = len(nodes) - changed
        if old <= 0:
            break
        for f in limits.figures:
            if f.relative or reported and f.per not in reported:  # the running version does not report this count
                continue
            per = sum(t.get(f.per, 0.0) for t in totals)
            share = sum(t.get(f.of, 0.0) for t in totals) / per if per else 0.0
            rate = per / before.seconds / max(1, len(nodes))
            spread = placebo([ratios(f.of, f.per, piece) for piece in before.pieces])
            out.append(_power(number, changed, old, f, spread, rate, share, limits, tests, before.seconds))
    return out


def _power(number: int, new: int, old: int, f: Figure, spread: Spread, rate: float, share: float, limits: Limits,
           tests: int, baseline_s: float) -> Power:
    least = needs = None
    at, look = limits.first_s, 1
    while at <= (limits.most_s if needs is not None else MAX_STAGE_S):
        detectable = minimum_detectable_harm(spread, rate * max(0.0, at - limits.settle_s), share, new, old, limits,
                                             tests, look, POWER, rate * baseline_s)
        if at <= limits.most_s and detectable < inf:
            least = detectable
        if needs is None and detectable <= f.margin:
            needs = at
        at, look = limits.next_look(at), look + 1
    return Power(number, new, old, f.name, f.margin, least, needs)
