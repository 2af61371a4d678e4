"""Statistics of the comparison of old and new nodes over the same time (difference in differences).  No I/O.

The unit is the node, not the request: nodes of one version differ without a reason, and the requests of one node are
correlated.  Each node's figure is compared with the same node's baseline, and the change of the new nodes with that
of the unchanged nodes of the same site in the same seconds.

The spread of a node's figure is estimated as a multiple of its *sampling variance*, which is what counting alone
would cause (low traffic, bad seconds and short periods vary more, for all nodes alike).  The estimate pools the
spread within both groups with that between pieces of the baseline, in which nothing was changed (placebo
comparisons); with only a few nodes, the latter is most of what is known.  If the groups' own multiple is
significantly larger, it is used alone.

The number of looks is not limited: look k spends a part 1 / (k (k + 1)) of the error allowed.  The parts sum to 1, so
the bound holds however correlated the looks are (alpha spending).  Intervals use Student's t; Welch's degrees of
freedom are not used because the multiple is pooled.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import inf, sqrt

import msgspec
from scipy.special import fdtrc, stdtrit  # type: ignore[import-untyped]

F_TEST_ERROR = 0.05  # error allowed in finding the stage's own multiple larger than the baseline's
MIN_MULTIPLE = 0.25  # minimum multiple; figures that vary less than counts do are sums over many


class Value(msgspec.Struct, frozen=True):
    """A node's ratio of two counts, its denominator ``per``, and its sampling variance."""

    ratio: float
    per: float
    variance: float


def value(of: float, per: float) -> Value:
    """Return the ratio ``of / per`` with its sampling variance; ``per`` must be above 0.

    A share varies as a binomial, a ratio above 1 as a Poisson variable.  One is added to the count, so that a count
    of 0 is not taken as certain.
    """
    ratio = of / per
    smoothed = min(0.5, (of + 1.0) / (per + 2.0)) if of <= per else (of + 1.0) / per
    return Value(ratio, per, (smoothed * (1.0 - smoothed) if of <= per else smoothed) / per)


def ratios(of: str, per: str, rows: Mapping[str, Mapping[str, float]]) -> dict[str, Value]:
    """Return the ratio of two counts by node; nodes whose second count is 0 are omitted."""
    return {n: value(r.get(of, 0.0), r[per]) for n, r in rows.items() if r.get(per, 0.0) > 0}


class NodeDelta(msgspec.Struct, frozen=True):
    """How one node's figure has changed: ``by`` is its value now minus its baseline.

    ``weight`` is the node's traffic in the period compared, ``variance`` the sampling variance of ``by``.
    """

    node: str
    site: str
    new: bool
    by: float
    weight: float
    variance: float


class Spread(msgspec.Struct, frozen=True):
    """A sum of squared deviations, each divided by its sampling variance, and its degrees of freedom."""

    squares: float = 0.0
    degrees: int = 0

    def combined_with(self, other: Spread) -> Spread:
        return Spread(self.squares + other.squares, self.degrees + other.degrees)


class Difference(msgspec.Struct, frozen=True):
    """How much more the new nodes' figure has risen than the unchanged nodes'.

    ``low`` and ``high`` bound the confidence interval, ``error`` is the standard error, ``degrees`` its degrees of
    freedom, and ``new`` and ``old`` are the numbers of nodes compared.
    """

    by: float
    low: float
    high: float
    error: float
    degrees: int
    new: int
    old: int


def error_share(look: int) -> float:
    """Return the share of the error allowed that a look spends; looks count from 1."""
    return 1.0 / (look * (look + 1))


def t_quantile(level: float, degrees: int) -> float:
    """Return a quantile of Student's t; infinite without degrees of freedom."""
    return float(stdtrit(degrees, level)) if degrees > 0 else inf


def within_group_spread(groups: Iterable[Sequence[tuple[float, float]]]) -> Spread:
    """Return the spread within groups of (value, sampling variance), each about its precision-weighted mean."""
    total = Spread()
    for group in groups:
        rows = [(x, v) for x, v in group if v > 0]
        if len(rows) > 1:
            mean = sum(x / v for x, v in rows) / sum(1.0 / v for _, v in rows)
            total = total.combined_with(Spread(sum((x - mean) ** 2 / v for x, v in rows), len(rows) - 1))
    return total


def placebo(pieces: Sequence[dict[str, Value]]) -> Spread:
    """Return the spread of the placebo comparisons over consecutive pieces of a time without a change.

    It is the spread, among nodes, of how much a figure moves from one piece to the next.  The pairs of pieces do not
    overlap.
    """
    groups = []
    for a, b in zip(pieces[::2], pieces[1::2], strict=False):
        groups.append([(b[n].ratio - a[n].ratio, a[n].variance + b[n].variance) for n in sorted(a.keys() & b.keys())])
    return within_group_spread(groups)


def pooled(own: Spread, baseline: Spread) -> Spread:
    """Return both spreads pooled, or the stage's own alone if it is significantly larger (F test)."""
    if own.degrees and baseline.degrees and baseline.squares > 0:
        ratio = own.squares / own.degrees / (baseline.squares / baseline.degrees)
        if float(fdtrc(own.degrees, baseline.degrees, ratio)) < F_TEST_ERROR:
            return own
    return own.combined_with(baseline)


def difference(changes: Sequence[NodeDelta], baseline: Spread, level: float) -> Difference | None:
    """Return the traffic-weighted difference within sites; ``level`` is the error on each side.

    None if no site has both new and unchanged nodes.
    """
    sites: dict[str, tuple[list[NodeDelta], list[NodeDelta]]] = {}
    for c in changes:
        if c.weight > 0:
            sites.setdefault(c.site, ([], []))[not c.new].append(c)
    both = [pair for _, pair in sorted(sites.items()) if pair[0] and pair[1]]
    if not both:
        return None
    spread = pooled(within_group_spread([(c.by, c.variance) for c in group] for pair in both for group in pair),
                    baseline)
    total = sum(c.weight for new, _ in both for c in new)
    by = variance = 0.0
    for new, old in both:
        share = sum(c.weight for c in new) / total
        by += share * (_mean(new) - _mean(old))
        variance += share**2 * (_variance(new) + _variance(old))
    degrees = spread.degrees
    error = sqrt(variance * max(MIN_MULTIPLE, spread.squares / degrees)) if degrees else inf
    half = t_quantile(1.0 - level, degrees) * error if degrees else inf
    return Difference(by, by - half, by + half, error, degrees, sum(len(new) for new, _ in both),
                      sum(len(old) for _, old in both))


def _mean(group: Sequence[NodeDelta]) -> float:
    return sum(c.weight * c.by for c in group) / sum(c.weight for c in group)


def _variance(group: Sequence[NodeDelta]) -> float:
    """Return the sampling variance of the weighted mean."""
    return sum(c.weight**2 * c.variance for c in group) / sum(c.weight for c in group) ** 2
